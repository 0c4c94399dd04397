//! Bytes that changed on a disk: found by a checksum and told, or of no account.

use std::collections::BTreeMap;

use crate::model::{owner, script, Call, Model};
use store::faults::{FaultyDisk, UnsyncedWrites};
use store::{Store, StoreError};

/// A disk after the script, and what is on it; closed in good order or cut off.
fn written(closed: bool) -> (Vec<u8>, Model) {
    let disk = FaultyDisk::new();
    let store = Store::open_on(disk.clone(), &owner()).expect("a new disk");
    let mut model = Model::default();
    for call in script() {
        model.call(&store, &call).expect("nothing fails");
        model = model.after(&call);
    }
    if !closed {
        disk.power_off();
    }
    drop(store);
    (disk.after_crash(UnsyncedWrites::Lost).contents(), model)
}

/// What became of a damaged disk.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Found {
    /// All is there.
    Whole,
    /// Called damaged.
    Told,
    /// Called damaged where the library panicked.
    Panicked,
    /// Something else is there, as if it had been written.
    Wrong,
}

fn read(store: Result<Store, StoreError>, model: &Model) -> Found {
    match store.and_then(|store| model.is_in(&store)) {
        Ok(true) => Found::Whole,
        Ok(false) => Found::Wrong,
        Err(StoreError::Damaged { detail, .. }) if detail.contains("gave up") => Found::Panicked,
        Err(StoreError::Damaged { .. }) => Found::Told,
        Err(other) => panic!("damage was taken for {other}"),
    }
}

fn open(bytes: Vec<u8>) -> Result<Store, StoreError> {
    Store::open_on(FaultyDisk::with_contents(bytes), &owner())
}

/// Numbers that look drawn, the same for the same seed.
fn drawn(seed: u64) -> impl FnMut(usize) -> usize {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move |bound| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 20) as usize % bound
    }
}

/// Some places of a file, and what changes there.
fn places(seed: u64, length: usize) -> Vec<(usize, u8)> {
    let mut draw = drawn(seed);
    let count = 1 + draw(8);
    (0..count).map(|_| (draw(length), 1 + draw(255) as u8)).collect()
}

#[test]
fn one_bit_of_the_file_and_no_other_can_hide_a_commit() {
    let mut wrong = Vec::new();
    for closed in [true, false] {
        let (bytes, model) = written(closed);
        for at in 0..320 {
            let masks = if at == 9 { (0..8).map(|bit| 1 << bit).collect() } else { vec![1 << (at % 8)] };
            for bits in masks {
                let mut damaged = bytes.clone();
                damaged[at] ^= bits;
                if read(open(damaged), &model) == Found::Wrong {
                    wrong.push((closed, at, bits));
                }
            }
        }
    }
    // The library's bit that says which of its two roots is the newer one, on a disk that was not closed in good order:
    // the same bytes are there in the midst of a commit. It hides the last commit.
    assert!(wrong.iter().all(|(closed, at, bits)| !closed && *at == 9 && bits & 1 == 1), "{wrong:?}");
}

/// A disk that was called whole takes more calls, and is still whole: it does not write over what it holds.
fn go_on(disk: &FaultyDisk, mut model: Model, seed: u64) {
    let store = Store::open_on(disk.clone(), &owner()).expect("it was opened before");
    for call in [Call::Append(3, 9000), Call::Put(3, 9000), Call::Append(1, 100), Call::Put(3, 5000)] {
        model.call(&store, &call).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        model = model.after(&call);
    }
    assert_eq!(read(Ok(store), &model), Found::Whole, "seed {seed}");
    assert_eq!(
        read(Store::open_on(disk.clone(), &owner()), &model),
        Found::Whole,
        "seed {seed}, opened anew"
    );
}

#[test]
fn damage_anywhere_is_told_or_of_no_account() {
    let disks = [written(true), written(false)];
    let mut seen = BTreeMap::new();
    for seed in 0..500 {
        let (mut bytes, model) = disks[seed as usize % 2].clone();
        for (at, bits) in places(seed, bytes.len()) {
            bytes[at] ^= bits;
        }
        let disk = FaultyDisk::with_contents(bytes);
        let found = read(Store::open_on(disk.clone(), &owner()), &model);
        assert_ne!(found, Found::Wrong, "seed {seed}");
        *seen.entry(found).or_insert(0) += 1;
        if found == Found::Whole {
            go_on(&disk, model, seed);
        }
    }
    println!("closed: {seen:?}");
    assert!(seen[&Found::Whole] > 50 && seen[&Found::Told] > 50, "both are met: {seen:?}");
}

#[test]
fn damage_under_an_open_store_is_told_or_of_no_account() {
    let (bytes, model) = written(true);
    let mut seen = BTreeMap::new();
    for seed in 0..500 {
        let disk = FaultyDisk::with_contents(bytes.clone());
        let store = Store::open_on(disk.clone(), &owner()).expect("whole");
        let length = disk.contents().len();
        for (at, bits) in places(seed, length) {
            disk.flip_bits(at, bits);
        }
        let found = read(Ok(store.clone()), &model);
        assert_ne!(found, Found::Wrong, "seed {seed}");
        *seen.entry(found).or_insert(0) += 1;
        // Whatever it can do about it, it does not end the program.
        let _ = model.call(&store, &Call::Append(1, 9));
        let _ = model.call(&store, &Call::Purge(99));
    }
    println!("open: {seen:?}");
}

#[test]
fn a_file_cut_short_is_told() {
    let (bytes, model) = written(true);
    for length in (1..40).map(|part| bytes.len() * part / 40) {
        let found = read(open(bytes[..length].to_vec()), &model);
        assert!(
            matches!(found, Found::Told | Found::Panicked),
            "{length} bytes of {}: {found:?}",
            bytes.len()
        );
    }
}
