//! Changed bytes on a disk: they are detected by a checksum and reported, or have no effect. The disks hold the result
//! of the operations of [`script`].

use std::collections::BTreeMap;

use crate::model::{owner, script, Model, Operation};
use store::faults::{FaultyDisk, UnsyncedWrites};
use store::{Store, StoreError};

/// A disk's contents after the operations of [`script`], closed cleanly or by a power failure, and the matching model.
fn written(closed_cleanly: bool) -> (Vec<u8>, Model) {
    let disk = FaultyDisk::new();
    let store = Store::open_on(disk.clone(), &owner()).expect("a new disk was refused");
    let mut model = Model::default();
    for operation in script() {
        model.apply_to(&store, &operation).expect("an operation failed without a fault");
        model = model.after(&operation);
    }
    if !closed_cleanly {
        disk.power_off();
    }
    drop(store);
    (disk.after_crash(UnsyncedWrites::Lost).contents(), model)
}

/// Result of reading a damaged disk.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ReadResult {
    /// All data is intact.
    Intact,
    /// The damage is reported.
    Reported,
    /// The damage is reported after a panic of the library.
    Panicked,
    /// Other data is read as if it had been written.
    WrongData,
}

fn read(store: Result<Store, StoreError>, model: &Model) -> ReadResult {
    match store.and_then(|store| model.matches(&store)) {
        Ok(true) => ReadResult::Intact,
        Ok(false) => ReadResult::WrongData,
        Err(StoreError::Damaged { detail, .. }) if detail.contains("the storage library panicked") => {
            ReadResult::Panicked
        }
        Err(StoreError::Damaged { .. }) => ReadResult::Reported,
        Err(other) => panic!("damage was taken for {other}"),
    }
}

fn open(bytes: Vec<u8>) -> Result<Store, StoreError> {
    Store::open_on(FaultyDisk::with_contents(bytes), &owner())
}

/// A pseudo-random generator of numbers below a bound.
fn random(seed: u64) -> impl FnMut(usize) -> usize {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move |bound| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 20) as usize % bound
    }
}

/// Some random offsets in a file, each with the bits to flip there.
fn random_damage(seed: u64, length: usize) -> Vec<(usize, u8)> {
    let mut below = random(seed);
    let count = 1 + below(8);
    (0..count).map(|_| (below(length), 1 + below(255) as u8)).collect()
}

#[test]
fn only_one_bit_of_the_file_can_hide_a_commit() {
    let mut wrong = Vec::new();
    for closed_cleanly in [true, false] {
        let (bytes, model) = written(closed_cleanly);
        for offset in 0..320 {
            let masks =
                if offset == 9 { (0..8).map(|bit| 1 << bit).collect() } else { vec![1 << (offset % 8)] };
            for mask in masks {
                let mut damaged = bytes.clone();
                damaged[offset] ^= mask;
                if read(open(damaged), &model) == ReadResult::WrongData {
                    wrong.push((closed_cleanly, offset, mask));
                }
            }
        }
    }
    // The library's flag for which of its two roots is the newer one, on a disk that was not closed cleanly: the same
    // bytes occur in the middle of a commit. It hides the last commit.
    assert!(
        wrong.iter().all(|(closed_cleanly, offset, mask)| !closed_cleanly && *offset == 9 && mask & 1 == 1),
        "{wrong:?}"
    );
}

/// Checks that a disk that was read as intact accepts more operations and stays intact: new data does not overwrite old.
fn assert_usable(disk: &FaultyDisk, mut model: Model, seed: u64) {
    let store = Store::open_on(disk.clone(), &owner()).expect("a disk that was read as intact was refused");
    for operation in [
        Operation::Append(3, 9000),
        Operation::Put(3, 9000),
        Operation::Append(1, 100),
        Operation::Put(3, 5000),
    ] {
        model.apply_to(&store, &operation).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        model = model.after(&operation);
    }
    assert_eq!(read(Ok(store), &model), ReadResult::Intact, "seed {seed}");
    assert_eq!(
        read(Store::open_on(disk.clone(), &owner()), &model),
        ReadResult::Intact,
        "seed {seed}, reopened"
    );
}

#[test]
fn damage_anywhere_is_reported_or_has_no_effect() {
    let disks = [written(true), written(false)];
    let mut results = BTreeMap::new();
    for seed in 0..500 {
        let (mut bytes, model) = disks[seed as usize % 2].clone();
        for (offset, mask) in random_damage(seed, bytes.len()) {
            bytes[offset] ^= mask;
        }
        let disk = FaultyDisk::with_contents(bytes);
        let result = read(Store::open_on(disk.clone(), &owner()), &model);
        assert_ne!(result, ReadResult::WrongData, "seed {seed}");
        *results.entry(result).or_insert(0) += 1;
        if result == ReadResult::Intact {
            assert_usable(&disk, model, seed);
        }
    }
    println!("number of disks per result, damaged before opening: {results:?}");
    assert!(
        results[&ReadResult::Intact] > 50 && results[&ReadResult::Reported] > 50,
        "too few disks with one of the results: {results:?}"
    );
}

#[test]
fn damage_under_an_open_store_is_reported_or_has_no_effect() {
    let (bytes, model) = written(true);
    let mut results = BTreeMap::new();
    for seed in 0..500 {
        let disk = FaultyDisk::with_contents(bytes.clone());
        let store = Store::open_on(disk.clone(), &owner()).expect("an intact disk was refused");
        let length = disk.contents().len();
        for (offset, mask) in random_damage(seed, length) {
            disk.flip_bits(offset, mask);
        }
        let result = read(Ok(store.clone()), &model);
        assert_ne!(result, ReadResult::WrongData, "seed {seed}");
        *results.entry(result).or_insert(0) += 1;
        // Further operations may fail, and must not panic.
        let _ = model.apply_to(&store, &Operation::Append(1, 9));
        let _ = model.apply_to(&store, &Operation::Purge(99));
    }
    println!("number of disks per result, damaged while open: {results:?}");
}

#[test]
fn a_truncated_file_is_reported() {
    let (bytes, model) = written(true);
    for length in (1..40).map(|part| bytes.len() * part / 40) {
        let result = read(open(bytes[..length].to_vec()), &model);
        assert!(
            matches!(result, ReadResult::Reported | ReadResult::Panicked),
            "{length} bytes of {}: {result:?}",
            bytes.len()
        );
    }
}
