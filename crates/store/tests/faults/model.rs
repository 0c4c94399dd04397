//! A model of the store as plain maps, and operations to apply to both.

use std::collections::BTreeMap;

use store::{Entry, Owner, Store, StoreError};

/// An operation on the store.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Appends this many entries of a size.
    Append(u64, usize),
    Truncate(u64),
    Purge(u64),
    /// Saves the record with this number and a size.
    Put(u8, usize),
    /// Saves a snapshot of a size.
    Snapshot(usize),
}

/// The expected contents of a store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    log: BTreeMap<u64, Vec<u8>>,
    /// The index that comes next when the log is empty.
    start: Option<u64>,
    records: BTreeMap<u8, Vec<u8>>,
    snapshot: Option<(Vec<u8>, Vec<u8>)>,
    /// Number of operations so far; makes the bytes of each one differ.
    operation_count: u64,
}

/// Number of records that are compared.
const RECORD_COUNT: u8 = 4;

pub fn owner() -> Owner {
    Owner { cluster: "north".to_owned(), replica: 1 }
}

impl Model {
    fn next_index(&self) -> u64 {
        self.log.last_key_value().map_or(self.start.unwrap_or(0), |(last, _)| last + 1)
    }

    /// Number of entries that were ever appended, if none was truncated.
    pub fn appended(&self) -> u64 {
        self.next_index()
    }

    /// Bytes that differ from those of any other operation.
    fn unique_bytes(&self, size: usize) -> Vec<u8> {
        self.operation_count.to_le_bytes().into_iter().cycle().take(size).collect()
    }

    fn entries(&self, count: u64, size: usize) -> Vec<Entry> {
        let next = self.next_index();
        (next..next + count).map(|index| Entry { index, bytes: self.unique_bytes(size) }).collect()
    }

    /// Applies an operation to a store; the model does not change.
    pub fn apply_to(&self, store: &Store, operation: &Operation) -> Result<(), StoreError> {
        match *operation {
            Operation::Append(count, size) => store.append(&self.entries(count, size)),
            Operation::Truncate(index) => store.truncate_from(index),
            Operation::Purge(index) => store.purge_to(index),
            Operation::Put(name, size) => store.put(&name.to_string(), &self.unique_bytes(size)),
            Operation::Snapshot(size) => store.save_snapshot(&self.unique_bytes(9), &self.unique_bytes(size)),
        }
    }

    /// Returns the model after an operation.
    pub fn after(&self, operation: &Operation) -> Self {
        let mut next = self.clone();
        match *operation {
            Operation::Append(count, size) => {
                next.log
                    .extend(self.entries(count, size).into_iter().map(|entry| (entry.index, entry.bytes)));
            }
            Operation::Truncate(index) => {
                if next.start.is_none() {
                    next.start = next.log.first_key_value().map(|(first, _)| *first.min(&index));
                }
                next.log.split_off(&index);
            }
            Operation::Purge(index) => {
                next.log = next.log.split_off(&(index + 1));
                next.start = next.start.max(Some(index + 1));
            }
            Operation::Put(name, size) => {
                next.records.insert(name, self.unique_bytes(size));
            }
            Operation::Snapshot(size) => {
                next.snapshot = Some((self.unique_bytes(9), self.unique_bytes(size)));
            }
        }
        next.operation_count += 1;
        next
    }

    /// Whether a store holds exactly the model's contents.
    pub fn matches(&self, store: &Store) -> Result<bool, StoreError> {
        let log: BTreeMap<u64, Vec<u8>> =
            store.entries(0..u64::MAX)?.into_iter().map(|entry| (entry.index, entry.bytes)).collect();
        let first = self.log.first_key_value().map_or(self.start.unwrap_or(0), |(first, _)| *first);
        let last =
            self.log.last_key_value().map(|(index, bytes)| Entry { index: *index, bytes: bytes.clone() });
        let mut records = BTreeMap::new();
        for name in 0..RECORD_COUNT {
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

/// A fixed sequence of operations (the script) with every kind of them, some on an emptied log.
pub fn script() -> Vec<Operation> {
    use Operation::{Append, Purge, Put, Snapshot, Truncate};
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
