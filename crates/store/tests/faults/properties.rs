//! Arbitrary operations in any order, compared with the model; and the file size of a long run.

use crate::model::{owner, Model, Operation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use store::faults::FaultyDisk;
use store::Store;

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => (0..6u64, 0..9000usize).prop_map(|(count, size)| Operation::Append(count, size)),
        1 => (0..30u64).prop_map(Operation::Truncate),
        1 => (0..30u64).prop_map(Operation::Purge),
        2 => (0..4u8, 0..300usize).prop_map(|(name, size)| Operation::Put(name, size)),
        1 => (0..140_000usize).prop_map(Operation::Snapshot),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(17), ..ProptestConfig::with_cases(32) })]

    #[test]
    fn the_store_matches_its_model(operations in prop::collection::vec((operation(), any::<bool>()), 1..40)) {
        let disk = FaultyDisk::new();
        let mut store = Store::open_on(disk.clone(), &owner()).expect("a new disk was refused");
        let mut model = Model::default();
        for (operation, reopen) in operations {
            model.apply_to(&store, &operation).expect("an operation failed without a fault");
            model = model.after(&operation);
            if reopen {
                drop(store);
                store = Store::open_on(disk.clone(), &owner()).expect("the disk was refused");
            }
            prop_assert!(model.matches(&store).expect("the disk was reported as damaged"), "after {:?}", operation);
        }
    }
}

/// Appends entries one at a time, with a snapshot and a purge every 100 entries as replicas make them; returns the
/// greatest size of the file.
fn run(store: &Store, model: &mut Model, entries: u64) -> u64 {
    let mut greatest = 0;
    for number in 0..entries {
        let mut operations = vec![Operation::Append(1, 200)];
        if number % 100 == 99 {
            let purged = model.appended().saturating_sub(50);
            operations.extend([Operation::Snapshot(100_000), Operation::Purge(purged)]);
        }
        for operation in operations {
            model.apply_to(store, &operation).expect("an operation failed without a fault");
            *model = model.after(&operation);
        }
        greatest = greatest.max(store.file_size().expect("the file size cannot be read"));
    }
    greatest
}

#[test]
fn a_long_run_takes_no_more_space_than_a_short_one() {
    let disk = FaultyDisk::new();
    let store = Store::open_on(disk.clone(), &owner()).expect("a new disk was refused");
    let mut model = Model::default();
    let short = run(&store, &mut model, 500);
    let long = run(&store, &mut model, 2000);
    println!("{short} bytes after 500 entries, {long} after 2500");
    assert!(long <= short, "{short} bytes at most in 500 entries, then {long}");
    let large_log = Operation::Append(4000, 1000);
    model.apply_to(&store, &large_log).expect("an operation failed without a fault");
    model = model.after(&large_log);
    let grown = store.file_size().expect("the file size cannot be read");
    let after_purge = run(&store, &mut model, 300);
    println!("{grown} bytes with 4 MB of log, {after_purge} at most after its purge");
    assert!(after_purge <= grown, "purged space is not reused");
}
