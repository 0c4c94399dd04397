//! The store as plain maps, and calls to make of both.

use std::collections::BTreeMap;

use store::{Entry, Owner, Store, StoreError};

/// A call.
#[derive(Clone, Debug)]
pub enum Call {
    /// Adds this many entries of a size.
    Append(u64, usize),
    Truncate(u64),
    Purge(u64),
    /// A record by number, and its size.
    Put(u8, usize),
    /// The size of a snapshot.
    Snapshot(usize),
}

/// What is on a disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    log: BTreeMap<u64, Vec<u8>>,
    /// Where the log goes on when it is empty.
    start: Option<u64>,
    records: BTreeMap<u8, Vec<u8>>,
    snapshot: Option<(Vec<u8>, Vec<u8>)>,
    /// Calls that went well, for bytes that differ.
    calls: u64,
}

/// Records that are looked for.
const RECORDS: u8 = 4;

pub fn owner() -> Owner {
    Owner { cluster: "north".to_owned(), replica: 1 }
}

impl Model {
    fn next(&self) -> u64 {
        self.log.last_key_value().map_or(self.start.unwrap_or(0), |(last, _)| last + 1)
    }

    /// How many entries were ever appended, where none was cut off.
    pub fn appended(&self) -> u64 {
        self.next()
    }

    /// Bytes that no other call has.
    fn bytes(&self, size: usize) -> Vec<u8> {
        self.calls.to_le_bytes().into_iter().cycle().take(size).collect()
    }

    fn entries(&self, count: u64, size: usize) -> Vec<Entry> {
        let next = self.next();
        (next..next + count).map(|index| Entry { index, bytes: self.bytes(size) }).collect()
    }

    /// The same call of a store; nothing here changes.
    pub fn call(&self, store: &Store, call: &Call) -> Result<(), StoreError> {
        match *call {
            Call::Append(count, size) => store.append(&self.entries(count, size)),
            Call::Truncate(index) => store.truncate_from(index),
            Call::Purge(index) => store.purge_to(index),
            Call::Put(name, size) => store.put(&name.to_string(), &self.bytes(size)),
            Call::Snapshot(size) => store.save_snapshot(&self.bytes(9), &self.bytes(size)),
        }
    }

    /// What is there after a call.
    pub fn after(&self, call: &Call) -> Self {
        let mut next = self.clone();
        match *call {
            Call::Append(count, size) => {
                next.log
                    .extend(self.entries(count, size).into_iter().map(|entry| (entry.index, entry.bytes)));
            }
            Call::Truncate(index) => {
                if next.start.is_none() {
                    next.start = next.log.first_key_value().map(|(first, _)| *first.min(&index));
                }
                next.log.split_off(&index);
            }
            Call::Purge(index) => {
                next.log = next.log.split_off(&(index + 1));
                next.start = next.start.max(Some(index + 1));
            }
            Call::Put(name, size) => {
                next.records.insert(name, self.bytes(size));
            }
            Call::Snapshot(size) => next.snapshot = Some((self.bytes(9), self.bytes(size))),
        }
        next.calls += 1;
        next
    }

    /// Whether a store holds just this.
    pub fn is_in(&self, store: &Store) -> Result<bool, StoreError> {
        let log: BTreeMap<u64, Vec<u8>> =
            store.entries(0..u64::MAX)?.into_iter().map(|entry| (entry.index, entry.bytes)).collect();
        let first = self.log.first_key_value().map_or(self.start.unwrap_or(0), |(first, _)| *first);
        let last =
            self.log.last_key_value().map(|(index, bytes)| Entry { index: *index, bytes: bytes.clone() });
        let mut records = BTreeMap::new();
        for name in 0..RECORDS {
            if let Some(bytes) = store.get(&name.to_string())? {
                records.insert(name, bytes);
            }
        }
        let snapshot = store.snapshot()?.map(|snapshot| (snapshot.meta, snapshot.data));
        Ok(log == self.log
            && store.first_index()? == first
            && store.last_entry()? == last
            && records == self.records
            && snapshot == self.snapshot)
    }
}

/// A script that makes each call, some on an emptied log.
pub fn script() -> Vec<Call> {
    use Call::{Append, Purge, Put, Snapshot, Truncate};
    vec![
        Put(0, 20),
        Append(3, 100),
        Put(0, 21),
        Append(2, 9000),
        Truncate(3),
        Append(4, 50),
        Snapshot(70_000),
        Purge(4),
        Append(1, 0),
        Put(1, 5000),
        Truncate(0),
        Append(2, 700),
        Snapshot(10),
        Purge(20),
        Append(2, 70),
        Put(0, 22),
    ]
}
