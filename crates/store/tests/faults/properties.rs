//! Any calls in any order, against plain maps; and what a long run leaves on the disk.

use crate::model::{owner, Call, Model};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use store::faults::FaultyDisk;
use store::Store;

fn call() -> impl Strategy<Value = Call> {
    prop_oneof![
        4 => (0..6u64, 0..9000usize).prop_map(|(count, size)| Call::Append(count, size)),
        1 => (0..30u64).prop_map(Call::Truncate),
        1 => (0..30u64).prop_map(Call::Purge),
        2 => (0..4u8, 0..300usize).prop_map(|(name, size)| Call::Put(name, size)),
        1 => (0..140_000usize).prop_map(Call::Snapshot),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(17), ..ProptestConfig::with_cases(32) })]

    #[test]
    fn the_store_is_its_model(calls in prop::collection::vec((call(), any::<bool>()), 1..40)) {
        let disk = FaultyDisk::new();
        let mut store = Store::open_on(disk.clone(), &owner()).expect("a new disk");
        let mut model = Model::default();
        for (call, anew) in calls {
            model.call(&store, &call).expect("nothing fails");
            model = model.after(&call);
            if anew {
                drop(store);
                store = Store::open_on(disk.clone(), &owner()).expect("the same disk");
            }
            prop_assert!(model.is_in(&store).expect("whole"), "after {:?}", call);
        }
    }
}

/// Appends entries one at a time, with a snapshot and a purge now and then as replicas make them, and gives the file's
/// greatest length.
fn run(store: &Store, model: &mut Model, entries: u64) -> u64 {
    let mut greatest = 0;
    for number in 0..entries {
        let mut calls = vec![Call::Append(1, 200)];
        if number % 100 == 99 {
            calls.extend([Call::Snapshot(100_000), Call::Purge(model.appended().saturating_sub(50))]);
        }
        for call in calls {
            model.call(store, &call).expect("nothing fails");
            *model = model.after(&call);
        }
        greatest = greatest.max(store.file_size().expect("it has a length"));
    }
    greatest
}

#[test]
fn a_long_run_takes_no_more_room_than_a_short_one() {
    let disk = FaultyDisk::new();
    let store = Store::open_on(disk.clone(), &owner()).expect("a new disk");
    let mut model = Model::default();
    let short = run(&store, &mut model, 500);
    let long = run(&store, &mut model, 2000);
    println!("{short} bytes after 500 entries, {long} after 2500");
    assert!(long <= short, "{short} bytes at most in 500 entries, then {long}");
    let more = Call::Append(4000, 1000);
    model.call(&store, &more).expect("nothing fails");
    model = model.after(&more);
    let grown = store.file_size().expect("it has a length");
    let again = run(&store, &mut model, 300);
    println!("{grown} bytes with 4 MB of log, {again} at most after its purge");
    assert!(again <= grown, "what is purged is used again");
}
