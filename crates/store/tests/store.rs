//! The store's interface on real files.

use store::{Entry, Owner, Store, StoreError};

fn owner() -> Owner {
    Owner { cluster: "north".to_owned(), replica: 2 }
}

fn entry(index: u64) -> Entry {
    Entry { index, bytes: format!("entry {index}").into_bytes() }
}

fn indices(store: &Store) -> Vec<u64> {
    store.entries(0..u64::MAX).expect("the store cannot be read").iter().map(|entry| entry.index).collect()
}

#[test]
fn data_survives_reopening() {
    let dir = tempfile::tempdir().expect("the temporary directory cannot be created");
    let store = Store::open(dir.path(), &owner()).expect("a new disk was refused");
    assert_eq!(
        (
            store.first_index().expect("the store cannot be read"),
            store.last_entry().expect("the store cannot be read")
        ),
        (0, None)
    );
    store.append(&[entry(1), entry(2), entry(3), entry(4)]).expect("entries in order were refused");
    store.purge_to(1).expect("the purge failed");
    store.truncate_from(4).expect("the truncation failed");
    store.put("vote", b"two").expect("the value was not saved");
    let data = vec![7; 200_000];
    store.save_snapshot(b"longer before", &[9; 300_000]).expect("the value was not saved");
    store.save_snapshot(b"up to 3", &data).expect("the value was not saved");
    drop(store);
    let store = Store::open(dir.path(), &owner()).expect("the disk was refused");
    assert_eq!(store.entries(0..9).expect("the store cannot be read"), [entry(2), entry(3)]);
    assert_eq!(
        (
            store.first_index().expect("the store cannot be read"),
            store.last_entry().expect("the store cannot be read")
        ),
        (2, Some(entry(3)))
    );
    assert_eq!(store.get("vote").expect("the store cannot be read"), Some(b"two".to_vec()));
    assert_eq!(store.get("else").expect("the store cannot be read"), None);
    let snapshot = store.snapshot().expect("the store cannot be read").expect("no snapshot was saved");
    assert_eq!((snapshot.meta, snapshot.data), (b"up to 3".to_vec(), data));
}

#[test]
fn entries_out_of_order_are_refused_and_change_nothing() {
    let dir = tempfile::tempdir().expect("the temporary directory cannot be created");
    let store = Store::open(dir.path(), &owner()).expect("a new disk was refused");
    store.append(&[entry(5), entry(6)]).expect("a new log refused its first index");
    for out_of_order in [vec![entry(6)], vec![entry(8)], vec![entry(7), entry(9)], vec![entry(4)]] {
        let last = out_of_order.last().expect("the case has no entries").index;
        match store.append(&out_of_order) {
            Err(StoreError::OutOfOrder { actual, .. }) => assert_eq!(actual, last),
            other => panic!("{out_of_order:?} gave {other:?}"),
        }
    }
    assert_eq!(indices(&store), [5, 6]);
    store.truncate_from(5).expect("the truncation failed");
    assert!(matches!(store.append(&[entry(9)]), Err(StoreError::OutOfOrder { expected: 5, .. })));
    store.append(&[entry(5)]).expect("the next entry was refused after the truncation");
    // As after a snapshot from the leader.
    store.purge_to(10).expect("a purge past the end failed");
    assert!(matches!(store.append(&[entry(6)]), Err(StoreError::OutOfOrder { expected: 11, .. })));
    assert_eq!(store.first_index().expect("the store cannot be read"), 11);
    store.append(&[entry(11)]).expect("the next entry was refused after the purge");
    assert_eq!(indices(&store), [11]);
}

#[test]
fn a_store_has_one_owner_and_is_opened_only_once_at_a_time() {
    let dir = tempfile::tempdir().expect("the temporary directory cannot be created");
    let store = Store::open(dir.path(), &owner()).expect("a new disk was refused");
    let in_use = Store::open(dir.path(), &owner()).expect_err("a store was opened twice");
    assert!(matches!(in_use, StoreError::InUse { .. }), "{in_use}");
    drop(store);
    let other = Owner { cluster: "north".to_owned(), replica: 3 };
    let refused = Store::open(dir.path(), &other).expect_err("another owner opened the store");
    assert!(
        refused.to_string().contains("belongs to replica 2 of cluster \"north\", not to replica 3"),
        "{refused}"
    );
    let other = Owner { cluster: "south".to_owned(), replica: 2 };
    assert!(matches!(Store::open(dir.path(), &other), Err(StoreError::WrongOwner { .. })));
    Store::open(dir.path(), &owner()).expect("the owner was refused");
}

#[test]
fn a_missing_database_is_damage_and_not_a_new_disk() {
    let dir = tempfile::tempdir().expect("the temporary directory cannot be created");
    let store = Store::open(dir.path(), &owner()).expect("a new disk was refused");
    store.put("vote", b"two").expect("the value was not saved");
    drop(store);
    std::fs::remove_file(dir.path().join("replica.redb")).expect("the file cannot be removed");
    for _ in 0..2 {
        let error =
            Store::open(dir.path(), &owner()).expect_err("a missing database was taken for a new disk");
        assert!(matches!(error, StoreError::Damaged { .. }), "{error}");
    }
}
