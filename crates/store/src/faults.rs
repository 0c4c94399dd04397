//! An in-memory disk with injectable faults, for tests.
//!
//! A crash may lose, keep, or partly keep and reorder the writes that were not synced. Writes that a failed sync covered
//! never reach the disk, although they can still be read, as from the page cache. A write needs free space for each
//! block that it is the first to touch; extending the file needs none.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use redb::StorageBackend;

/// Allocation unit of the disk's capacity, in bytes.
const BLOCK_BYTES: usize = 4096;
/// Size of the pieces that a crash writes completely or not at all, in bytes. On real disks they are at least eight
/// times as large.
const ATOMIC_WRITE_BYTES: usize = 64;

/// An in-memory disk. Clones share one disk.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk(Arc<Mutex<State>>);

/// What a crash does to the writes that were not synced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnsyncedWrites {
    /// All are lost.
    Lost,
    /// All are kept.
    Kept,
    /// Those before a random point are kept, in the order in which they were written. The point may be inside a write.
    PrefixKept {
        /// Seed that determines the point.
        seed: u64,
    },
    /// A random subset of their pieces is kept.
    SubsetKept {
        /// Seed that determines the subset.
        seed: u64,
    },
}

#[derive(Debug, Default)]
struct State {
    /// The bytes that reads return.
    live: Vec<u8>,
    /// The bytes that survive any crash.
    synced: Vec<u8>,
    /// The changes since the last sync, in order.
    unsynced: Vec<Change>,
    /// All changes since the recording started, if there is one.
    history: Option<Vec<Change>>,
    /// The bytes on which the recording started.
    recording_base: Vec<u8>,
    /// Which blocks of `live` are allocated.
    allocated_blocks: Vec<bool>,
    /// Capacity in blocks, if limited.
    max_blocks: Option<usize>,
    /// Number of calls of any kind so far.
    call_count: u64,
    /// Number of the call that fails.
    failing_call: Option<u64>,
    powered_off: bool,
    sync_delay: Duration,
}

#[derive(Clone, Debug)]
enum Change {
    Write { offset: usize, data: Vec<u8> },
    SetLength(usize),
    Sync,
    FailedSync,
}

impl FaultyDisk {
    /// Creates an empty disk of unlimited capacity.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty disk that records all changes, for [`FaultyDisk::after_crash_at`].
    pub fn recording() -> Self {
        Self::recording_from(Vec::new())
    }

    /// Creates a disk as [`FaultyDisk::with_contents`] that records all changes from now on, for
    /// [`FaultyDisk::after_crash_at`].
    pub fn recording_from(bytes: Vec<u8>) -> Self {
        let disk = Self::with_contents(bytes);
        let mut state = disk.state();
        (state.history, state.recording_base) = (Some(Vec::new()), state.synced.clone());
        drop(state);
        disk
    }

    /// Makes every further call fail, as after a power failure.
    pub fn power_off(&self) {
        self.state().powered_off = true;
    }

    /// Returns the disk as the next start would find it after a power failure: now, or when [`FaultyDisk::power_off`]
    /// was called.
    pub fn after_crash(&self, unsynced_writes: UnsyncedWrites) -> Self {
        self.state().after_crash(unsynced_writes, None)
    }

    /// Number of recorded changes: writes, length changes and syncs.
    pub fn change_count(&self) -> usize {
        self.state().history.as_ref().map_or(0, Vec::len)
    }

    /// Returns the disk as the next start would have found it if the power had failed in the middle of the recorded
    /// change with this number, counted from 0.
    pub fn after_crash_at(&self, change: usize, unsynced_writes: UnsyncedWrites) -> Self {
        let state = self.state();
        let synced = state.recording_base.clone();
        let mut past = State { live: synced.clone(), synced, ..State::default() };
        let history = state.history.as_deref().unwrap_or_default();
        for completed in &history[..change.min(history.len())] {
            past.apply_change(completed.clone());
        }
        past.after_crash(unsynced_writes, history.get(change))
    }

    /// Limits the disk's capacity to this many bytes, rounded down to whole blocks of 4 KiB; `None` removes the limit.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.state().max_blocks = bytes.map(|bytes| bytes / BLOCK_BYTES);
    }

    /// Number of bytes in allocated blocks.
    pub fn used_bytes(&self) -> usize {
        self.state().allocated_blocks.iter().filter(|allocated| **allocated).count() * BLOCK_BYTES
    }

    /// Number of calls of any kind so far, reads included.
    pub fn call_count(&self) -> u64 {
        self.state().call_count
    }

    /// Makes one call fail: the one after this many further calls.
    pub fn fail_after(&self, calls: u64) {
        let mut state = self.state();
        state.failing_call = Some(state.call_count + calls);
    }

    /// Delays each later sync by this time, before its data becomes durable.
    pub fn set_sync_delay(&self, sync_delay: Duration) {
        self.state().sync_delay = sync_delay;
    }

    /// Flips bits of one byte, also while a store has the disk open.
    ///
    /// # Panics
    /// The offset is beyond the end of the disk's contents.
    pub fn flip_bits(&self, offset: usize, mask: u8) {
        let mut state = self.state();
        state.live[offset] ^= mask;
        state.synced[offset] ^= mask;
    }

    /// The bytes that reads return.
    pub fn contents(&self) -> Vec<u8> {
        self.state().live.clone()
    }

    /// Creates a disk that holds these bytes, all of them synced.
    pub fn with_contents(bytes: Vec<u8>) -> Self {
        let allocated_blocks = vec![true; bytes.len().div_ceil(BLOCK_BYTES)];
        let state = State { live: bytes.clone(), synced: bytes, allocated_blocks, ..State::default() };
        Self(Arc::new(Mutex::new(state)))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call. Returns an error if the call was chosen by [`FaultyDisk::fail_after`] or the disk is powered
    /// off.
    fn begin_call(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.state();
        let number = state.call_count;
        state.call_count += 1;
        if state.powered_off || state.failing_call == Some(number) {
            return Err(io::Error::other("input/output error (injected)"));
        }
        Ok(state)
    }
}

impl State {
    /// Applies a change that completes.
    fn apply_change(&mut self, change: Change) {
        apply(&mut self.live, &change);
        match &change {
            Change::Sync => {
                for change in self.unsynced.drain(..) {
                    apply(&mut self.synced, &change);
                }
            }
            Change::FailedSync => self.unsynced.clear(),
            Change::Write { .. } | Change::SetLength(_) => self.unsynced.push(change.clone()),
        }
        if let Some(history) = &mut self.history {
            history.push(change);
        }
    }

    /// Allocates the blocks that a write touches.
    fn allocate(&mut self, offset: usize, bytes: usize) -> io::Result<()> {
        let touched = offset / BLOCK_BYTES..(offset + bytes).div_ceil(BLOCK_BYTES);
        if self.allocated_blocks.len() < touched.end {
            self.allocated_blocks.resize(touched.end, false);
        }
        let used = self.allocated_blocks.iter().filter(|allocated| **allocated).count();
        let needed = self.allocated_blocks[touched.clone()].iter().filter(|allocated| !**allocated).count();
        if self.max_blocks.is_some_and(|max| used + needed > max && needed > 0) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.allocated_blocks[touched].fill(true);
        Ok(())
    }

    /// The disk after a crash, in the middle of the change `interrupted` if there is one.
    fn after_crash(&self, unsynced_writes: UnsyncedWrites, interrupted: Option<&Change>) -> FaultyDisk {
        let mut bytes = self.synced.clone();
        let unsynced = self.unsynced.iter();
        match unsynced_writes {
            UnsyncedWrites::Lost => {}
            UnsyncedWrites::Kept => unsynced.for_each(|change| apply(&mut bytes, change)),
            UnsyncedWrites::PrefixKept { seed } => {
                let mut random = SplitMix64(seed);
                let changes: Vec<&Change> = unsynced.chain(interrupted).collect();
                let point = random.below(changes.len() + 1);
                changes[..point].iter().for_each(|change| apply(&mut bytes, change));
                if let Some(Change::Write { offset, data }) = changes.get(point) {
                    let kept = random.below(data.len() / ATOMIC_WRITE_BYTES + 1) * ATOMIC_WRITE_BYTES;
                    apply(&mut bytes, &Change::Write { offset: *offset, data: data[..kept].to_vec() });
                }
            }
            UnsyncedWrites::SubsetKept { seed } => {
                let mut random = SplitMix64(seed);
                for change in unsynced.chain(interrupted) {
                    match change {
                        Change::Write { offset, data } => {
                            for (number, piece) in data.chunks(ATOMIC_WRITE_BYTES).enumerate() {
                                if random.below(2) == 0 {
                                    let offset = offset + number * ATOMIC_WRITE_BYTES;
                                    apply(&mut bytes, &Change::Write { offset, data: piece.to_vec() });
                                }
                            }
                        }
                        other if random.below(2) == 0 => apply(&mut bytes, other),
                        _ => {}
                    }
                }
            }
        }
        FaultyDisk::with_contents(bytes)
    }
}

fn apply(bytes: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Write { offset, data } => {
            let end = offset + data.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*offset..end].copy_from_slice(data);
        }
        Change::SetLength(length) => bytes.resize(*length, 0),
        Change::Sync | Change::FailedSync => {}
    }
}

/// The splitmix64 pseudo-random generator.
struct SplitMix64(u64);

impl SplitMix64 {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) as usize % bound
    }
}

impl StorageBackend for FaultyDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.begin_call()?.live.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.begin_call()?;
        let offset = offset as usize;
        let bytes = state.live.get(offset..offset.saturating_add(out.len()));
        out.copy_from_slice(bytes.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.begin_call()?;
        let blocks = (len as usize).div_ceil(BLOCK_BYTES);
        state.allocated_blocks.resize(blocks, false);
        state.apply_change(Change::SetLength(len as usize));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let delay = self.state().sync_delay;
        if !delay.is_zero() {
            std::thread::sleep(delay);
        }
        match self.begin_call() {
            Ok(mut state) => {
                state.apply_change(Change::Sync);
                Ok(())
            }
            Err(error) => {
                let mut state = self.state();
                if !state.powered_off {
                    state.apply_change(Change::FailedSync);
                }
                Err(error)
            }
        }
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.begin_call()?;
        let offset = offset as usize;
        state.allocate(offset, data.len())?;
        state.apply_change(Change::Write { offset, data: data.to_vec() });
        Ok(())
    }
}
