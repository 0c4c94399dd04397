//! Crashes, full disks and failing calls at every point of a script.

use crate::model::{owner, script, Call, Model};
use store::faults::{FaultyDisk, UnsyncedWrites};
use store::{Store, StoreError};

/// What a crash may leave, in some draws.
fn kept() -> Vec<UnsyncedWrites> {
    let mut kept = vec![UnsyncedWrites::Lost, UnsyncedWrites::Kept];
    kept.extend((0..3).map(|seed| UnsyncedWrites::PrefixKept { seed }));
    kept.extend((0..3).map(|seed| UnsyncedWrites::SubsetKept { seed }));
    kept
}

/// The model after each call of the script, and how many changes the disk had seen when it returned.
fn recorded(disk: &FaultyDisk) -> Vec<(usize, Model)> {
    let store = Store::open_on(disk.clone(), &owner()).expect("a new disk");
    let mut model = Model::default();
    let mut acknowledged = vec![(disk.change_count(), model.clone())];
    for call in script() {
        model.call(&store, &call).expect("nothing fails");
        model = model.after(&call);
        acknowledged.push((disk.change_count(), model.clone()));
    }
    drop(store);
    acknowledged
}

/// What is acknowledged before a change, and what its call would make of that.
fn around(acknowledged: &[(usize, Model)], change: usize) -> Vec<&Model> {
    let done = acknowledged.partition_point(|(returned, _)| *returned <= change);
    acknowledged[done.saturating_sub(1)..].iter().take(2).map(|(_, model)| model).collect()
}

fn holds_one_of(store: &Store, models: &[&Model]) -> bool {
    models.iter().any(|model| model.is_in(store).expect("a crash is no damage"))
}

#[test]
fn a_crash_at_any_point_leaves_what_was_acknowledged_and_nothing_half() {
    let disk = FaultyDisk::recording();
    let acknowledged = recorded(&disk);
    let mut crashes = 0;
    for change in 0..=disk.change_count() {
        for kept in kept() {
            let found = disk.after_crash_at(change, kept);
            let store = Store::open_on(found, &owner()).unwrap_or_else(|error| {
                panic!("crash at change {change}, {kept:?} kept: {error}");
            });
            let models = around(&acknowledged, change);
            assert!(holds_one_of(&store, &models), "crash at change {change}, {kept:?} kept: {models:?}");
            store.put("later", b"on").expect("and it goes on");
            crashes += 1;
        }
    }
    println!("{crashes} crashes at {} points", disk.change_count());
}

#[test]
fn a_crash_while_opening_after_a_crash_changes_nothing() {
    let disk = FaultyDisk::recording();
    let acknowledged = recorded(&disk);
    let mut crashes = 0;
    for change in (0..disk.change_count()).step_by(4) {
        let first = disk.after_crash_at(change, UnsyncedWrites::SubsetKept { seed: change as u64 });
        let image = first.contents();
        let opening = FaultyDisk::recording_from(image);
        drop(Store::open_on(opening.clone(), &owner()).expect("opened"));
        for again in 0..opening.change_count() {
            let found = opening.after_crash_at(again, UnsyncedWrites::SubsetKept { seed: again as u64 });
            let store = Store::open_on(found, &owner()).unwrap_or_else(|error| {
                panic!("crash at change {change}, then at {again} of opening: {error}");
            });
            assert!(
                holds_one_of(&store, &around(&acknowledged, change)),
                "crash at change {change}, then {again}"
            );
            crashes += 1;
        }
    }
    println!("{crashes} second crashes");
}

/// Makes a call until it goes well; the model then holds what is there.
fn insist(store: &Store, model: &mut Model, call: &Call) -> Vec<StoreError> {
    let mut errors = Vec::new();
    for _ in 0..9 {
        match model.call(store, call) {
            Ok(()) => {
                *model = model.after(call);
                return errors;
            }
            Err(error) => errors.push(error),
        }
        let after = model.after(call);
        if !model.is_in(store).expect("the disk is well again") {
            assert!(after.is_in(store).expect("the disk is well again"), "{call:?} happened in part");
            *model = after;
            return errors;
        }
    }
    panic!("{call:?} fails for good: {errors:?}");
}

#[test]
fn one_failing_call_at_any_point_is_told_and_loses_nothing() {
    let calls = {
        let disk = FaultyDisk::new();
        recorded(&disk);
        disk.call_count()
    };
    let mut told = 0;
    for failing in 0..calls {
        let disk = FaultyDisk::new();
        disk.fail_after(failing);
        let Ok(store) = Store::open_on(disk.clone(), &owner()) else {
            Store::open_on(disk, &owner()).expect("the second time it opens");
            told += 1;
            continue;
        };
        let mut model = Model::default();
        for call in script() {
            for error in insist(&store, &mut model, &call) {
                assert!(matches!(error, StoreError::Io { .. }), "call {failing}: {error}");
                told += 1;
            }
        }
        disk.power_off();
        let store =
            Store::open_on(disk.after_crash(UnsyncedWrites::Lost), &owner()).expect("opened after a crash");
        assert!(model.is_in(&store).expect("whole"), "call {failing} failed");
    }
    println!("{told} failures told in {calls} runs");
    assert!(told > calls / 2, "the failures are met");
}

#[test]
fn a_full_disk_says_so_is_read_on_and_works_again_with_room() {
    for blocks in 0..60 {
        let disk = FaultyDisk::new();
        let store = Store::open_on(disk.clone(), &owner()).expect("a new disk");
        disk.set_capacity(Some(disk.used_bytes() + blocks * 4096));
        let mut model = Model::default();
        let filling = Call::Append(1, 5000);
        let full = loop {
            match model.call(&store, &filling) {
                Ok(()) => model = model.after(&filling),
                Err(error) => break error,
            }
        };
        assert!(matches!(full, StoreError::Full { .. }) && full.advice().contains("make room"), "{full}");
        for _ in 0..3 {
            assert!(model.is_in(&store).expect("it can be read"), "with room for {blocks} blocks");
            assert!(matches!(model.call(&store, &filling), Err(StoreError::Full { .. })));
        }
        drop(store);
        let store = Store::open_on(disk.clone(), &owner()).expect("a full disk opens");
        assert!(model.is_in(&store).expect("it can be read"), "with room for {blocks} blocks, opened anew");
        disk.set_capacity(None);
        for call in script() {
            model.call(&store, &call).expect("there is room");
            model = model.after(&call);
        }
        assert!(model.is_in(&store).expect("read"));
    }
}
