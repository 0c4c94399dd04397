//! The store as its callers see it, on real files.

use store::{Entry, Owner, Store, StoreError};

fn owner() -> Owner {
    Owner { cluster: "north".to_owned(), replica: 2 }
}

fn entry(index: u64) -> Entry {
    Entry { index, bytes: format!("entry {index}").into_bytes() }
}

fn indices(store: &Store) -> Vec<u64> {
    store.entries(0..u64::MAX).expect("the disk is whole").iter().map(|entry| entry.index).collect()
}

#[test]
fn what_was_kept_is_there_after_opening_anew() {
    let dir = tempfile::tempdir().expect("a directory");
    let store = Store::open(dir.path(), &owner()).expect("a new disk");
    assert_eq!((store.first_index().expect("read"), store.last_entry().expect("read")), (0, None));
    store.append(&[entry(1), entry(2), entry(3), entry(4)]).expect("in order");
    store.purge_to(1).expect("purged");
    store.truncate_from(4).expect("truncated");
    store.put("vote", b"two").expect("kept");
    let data = vec![7; 200_000];
    store.save_snapshot(b"longer before", &[9; 300_000]).expect("kept");
    store.save_snapshot(b"up to 3", &data).expect("kept");
    drop(store);
    let store = Store::open(dir.path(), &owner()).expect("the same disk");
    assert_eq!(store.entries(0..9).expect("read"), [entry(2), entry(3)]);
    assert_eq!((store.first_index().expect("read"), store.last_entry().expect("read")), (2, Some(entry(3))));
    assert_eq!(store.get("vote").expect("read"), Some(b"two".to_vec()));
    assert_eq!(store.get("else").expect("read"), None);
    let snapshot = store.snapshot().expect("read").expect("saved");
    assert_eq!((snapshot.meta, snapshot.data), (b"up to 3".to_vec(), data));
}

#[test]
fn entries_follow_the_log_or_change_nothing() {
    let dir = tempfile::tempdir().expect("a directory");
    let store = Store::open(dir.path(), &owner()).expect("a new disk");
    store.append(&[entry(5), entry(6)]).expect("a new log begins anywhere");
    for wrong in [vec![entry(6)], vec![entry(8)], vec![entry(7), entry(9)], vec![entry(4)]] {
        let given = wrong.last().expect("not empty").index;
        match store.append(&wrong) {
            Err(StoreError::OutOfOrder { actual: told, .. }) => assert_eq!(told, given),
            other => panic!("{wrong:?} gave {other:?}"),
        }
    }
    assert_eq!(indices(&store), [5, 6]);
    store.truncate_from(5).expect("emptied");
    assert!(matches!(store.append(&[entry(9)]), Err(StoreError::OutOfOrder { expected: 5, .. })));
    store.append(&[entry(5)]).expect("goes on where it was cut");
    store.purge_to(10).expect("purged past its end, as a snapshot from others does");
    assert!(matches!(store.append(&[entry(6)]), Err(StoreError::OutOfOrder { expected: 11, .. })));
    assert_eq!(store.first_index().expect("read"), 11);
    store.append(&[entry(11)]).expect("goes on behind the snapshot");
    assert_eq!(indices(&store), [11]);
}

#[test]
fn a_disk_is_one_owners_and_one_process_at_a_time() {
    let dir = tempfile::tempdir().expect("a directory");
    let store = Store::open(dir.path(), &owner()).expect("a new disk");
    let busy = Store::open(dir.path(), &owner()).expect_err("it is open");
    assert!(matches!(busy, StoreError::InUse { .. }), "{busy}");
    drop(store);
    let other = Owner { cluster: "north".to_owned(), replica: 3 };
    let refused = Store::open(dir.path(), &other).expect_err("replica 2's");
    assert!(
        refused.to_string().contains("belongs to replica 2 of cluster \"north\", not to replica 3"),
        "{refused}"
    );
    let other = Owner { cluster: "south".to_owned(), replica: 2 };
    assert!(matches!(Store::open(dir.path(), &other), Err(StoreError::WrongOwner { .. })));
    Store::open(dir.path(), &owner()).expect("still its owner's");
}

#[test]
fn a_database_that_went_missing_is_damage_and_not_a_new_disk() {
    let dir = tempfile::tempdir().expect("a directory");
    let store = Store::open(dir.path(), &owner()).expect("a new disk");
    store.put("vote", b"two").expect("kept");
    drop(store);
    std::fs::remove_file(dir.path().join("replica.redb")).expect("it is there");
    for _ in 0..2 {
        let error = Store::open(dir.path(), &owner()).expect_err("a replica must not forget its vote");
        assert!(matches!(error, StoreError::Damaged { .. }), "{error}");
    }
}
