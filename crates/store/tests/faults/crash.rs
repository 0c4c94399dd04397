//! Crashes, full disks and failing calls at every point of a fixed sequence of operations, the script.

use crate::model::{owner, script, Model, Operation};
use store::faults::{FaultyDisk, UnsyncedWrites};
use store::{Store, StoreError};

/// The crash variants to test, some of them with several seeds.
fn crash_variants() -> Vec<UnsyncedWrites> {
    let mut variants = vec![UnsyncedWrites::Lost, UnsyncedWrites::Kept];
    variants.extend((0..3).map(|seed| UnsyncedWrites::PrefixKept { seed }));
    variants.extend((0..3).map(|seed| UnsyncedWrites::SubsetKept { seed }));
    variants
}

/// Runs the script; returns the model after each operation, with the number of disk changes when it returned.
fn run_recorded(disk: &FaultyDisk) -> Vec<(usize, Model)> {
    let store = Store::open_on(disk.clone(), &owner()).expect("a new disk was refused");
    let mut model = Model::default();
    let mut acknowledged = vec![(disk.change_count(), model.clone())];
    for operation in script() {
        model.apply_to(&store, &operation).expect("an operation failed without a fault");
        model = model.after(&operation);
        acknowledged.push((disk.change_count(), model.clone()));
    }
    drop(store);
    acknowledged
}

/// The state that is acknowledged before a disk change, and the one after the operation in progress.
fn states_around(acknowledged: &[(usize, Model)], change: usize) -> Vec<&Model> {
    let completed = acknowledged.partition_point(|(returned, _)| *returned <= change);
    acknowledged[completed.saturating_sub(1)..].iter().take(2).map(|(_, model)| model).collect()
}

fn matches_one_of(store: &Store, models: &[&Model]) -> bool {
    models.iter().any(|model| model.matches(store).expect("a crash was taken for damage"))
}

#[test]
fn a_crash_at_any_point_keeps_what_was_acknowledged_and_nothing_partial() {
    let disk = FaultyDisk::recording();
    let acknowledged = run_recorded(&disk);
    let mut crashes = 0;
    for change in 0..=disk.change_count() {
        for variant in crash_variants() {
            let disk_after = disk.after_crash_at(change, variant);
            let store = Store::open_on(disk_after, &owner()).unwrap_or_else(|error| {
                panic!("crash at change {change}, {variant:?}: {error}");
            });
            let models = states_around(&acknowledged, change);
            assert!(matches_one_of(&store, &models), "crash at change {change}, {variant:?}: {models:?}");
            store.put("later", b"on").expect("a write failed after the crash");
            crashes += 1;
        }
    }
    println!("{crashes} crashes at {} points", disk.change_count());
}

#[test]
fn a_crash_while_reopening_after_a_crash_changes_nothing() {
    let disk = FaultyDisk::recording();
    let acknowledged = run_recorded(&disk);
    let mut crashes = 0;
    for change in (0..disk.change_count()).step_by(4) {
        let after_first = disk.after_crash_at(change, UnsyncedWrites::SubsetKept { seed: change as u64 });
        let image = after_first.contents();
        let opening = FaultyDisk::recording_from(image);
        drop(Store::open_on(opening.clone(), &owner()).expect("the disk was refused"));
        for second in 0..opening.change_count() {
            let after_second =
                opening.after_crash_at(second, UnsyncedWrites::SubsetKept { seed: second as u64 });
            let store = Store::open_on(after_second, &owner()).unwrap_or_else(|error| {
                panic!("crash at change {change}, then at {second} of opening: {error}");
            });
            assert!(
                matches_one_of(&store, &states_around(&acknowledged, change)),
                "crash at change {change}, then {second}"
            );
            crashes += 1;
        }
    }
    println!("{crashes} second crashes");
}

/// Repeats an operation until it succeeds or is found applied; the model then holds the store's contents.
fn retry_until_applied(store: &Store, model: &mut Model, operation: &Operation) -> Vec<StoreError> {
    let mut errors = Vec::new();
    for _ in 0..9 {
        match model.apply_to(store, operation) {
            Ok(()) => {
                *model = model.after(operation);
                return errors;
            }
            Err(error) => errors.push(error),
        }
        let after = model.after(operation);
        if !model.matches(store).expect("the store cannot be read") {
            assert!(
                after.matches(store).expect("the store cannot be read"),
                "{operation:?} was applied in part"
            );
            *model = after;
            return errors;
        }
    }
    panic!("{operation:?} keeps failing: {errors:?}");
}

#[test]
fn one_failing_disk_call_at_any_point_is_reported_and_loses_nothing() {
    let calls = {
        let disk = FaultyDisk::new();
        run_recorded(&disk);
        disk.call_count()
    };
    let mut reported = 0;
    for failing in 0..calls {
        let disk = FaultyDisk::new();
        disk.fail_after(failing);
        let Ok(store) = Store::open_on(disk.clone(), &owner()) else {
            Store::open_on(disk, &owner()).expect("the second attempt to open it failed");
            reported += 1;
            continue;
        };
        let mut model = Model::default();
        for operation in script() {
            for error in retry_until_applied(&store, &mut model, &operation) {
                assert!(matches!(error, StoreError::Io { .. }), "call {failing}: {error}");
                reported += 1;
            }
        }
        disk.power_off();
        let store = Store::open_on(disk.after_crash(UnsyncedWrites::Lost), &owner())
            .expect("the disk was refused after the crash");
        assert!(model.matches(&store).expect("the disk was reported as damaged"), "call {failing} failed");
    }
    println!("{reported} failures reported in {calls} runs");
    assert!(reported > calls / 2, "too few failures were reported");
}

#[test]
fn a_full_disk_is_reported_stays_readable_and_works_again_with_space() {
    for blocks in 0..60 {
        let disk = FaultyDisk::new();
        let store = Store::open_on(disk.clone(), &owner()).expect("a new disk was refused");
        disk.set_capacity(Some(disk.used_bytes() + blocks * 4096));
        let mut model = Model::default();
        let filling = Operation::Append(1, 5000);
        let full = loop {
            match model.apply_to(&store, &filling) {
                Ok(()) => model = model.after(&filling),
                Err(error) => break error,
            }
        };
        assert!(matches!(full, StoreError::Full { .. }) && full.advice().contains("make room"), "{full}");
        for _ in 0..3 {
            assert!(
                model.matches(&store).expect("the store cannot be read"),
                "with space for {blocks} blocks"
            );
            assert!(matches!(model.apply_to(&store, &filling), Err(StoreError::Full { .. })));
        }
        drop(store);
        let store = Store::open_on(disk.clone(), &owner()).expect("a full disk was refused");
        assert!(
            model.matches(&store).expect("the store cannot be read"),
            "with space for {blocks} blocks, reopened"
        );
        disk.set_capacity(None);
        for operation in script() {
            model.apply_to(&store, &operation).expect("an operation failed with enough space");
            model = model.after(&operation);
        }
        assert!(model.matches(&store).expect("the store cannot be read"));
    }
}
