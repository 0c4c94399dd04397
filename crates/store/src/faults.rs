//! A disk in memory that fails as disks do, for tests.
//!
//! What was written and not synced is lost in a crash, or kept, or kept in part and out of order; what a sync that
//! failed was about is never on the disk although it can still be read, as the page cache has it. A write needs room
//! for each block that it is the first to touch; a file made longer needs none.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use redb::StorageBackend;

/// Bytes of a block, for room.
const BLOCK: usize = 4096;
/// Bytes that are written whole or not at all. Real disks have at least eight times as many.
const PIECE: usize = 64;

/// A disk. Clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk(Arc<Mutex<State>>);

/// What of the bytes that were not synced a crash leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnsyncedWrites {
    /// None.
    Lost,
    /// All.
    Kept,
    /// Those before some point, in the order in which they were written, which may lie inside a write.
    PrefixKept {
        /// Draws the point.
        seed: u64,
    },
    /// Any, in pieces.
    SubsetKept {
        /// Draws which.
        seed: u64,
    },
}

#[derive(Debug, Default)]
struct State {
    /// What reads see.
    live: Vec<u8>,
    /// What surely outlives a crash.
    synced: Vec<u8>,
    /// What came since, in order.
    unsynced: Vec<Change>,
    /// All that came, where it is recorded.
    history: Option<Vec<Change>>,
    /// What was there before the record.
    recorded_on: Vec<u8>,
    /// Which blocks of `live` have room on the disk.
    blocks: Vec<bool>,
    /// How many blocks there is room for.
    room: Option<usize>,
    /// How many calls were made, of any kind.
    calls: u64,
    /// The call that fails.
    failing: Option<u64>,
    /// The power is off.
    off: bool,
    /// How long a sync takes.
    sync_takes: Duration,
}

#[derive(Clone, Debug)]
enum Change {
    Write { offset: usize, data: Vec<u8> },
    Length(usize),
    Sync,
    FailedSync,
}

impl FaultyDisk {
    /// An empty disk with room for all.
    pub fn new() -> Self {
        Self::default()
    }

    /// An empty disk that remembers all changes, for [`FaultyDisk::after_crash_at`].
    pub fn recording() -> Self {
        Self::recording_from(Vec::new())
    }

    /// As [`FaultyDisk::with_contents`], and remembers all changes from now on, for [`FaultyDisk::after_crash_at`].
    pub fn recording_from(bytes: Vec<u8>) -> Self {
        let disk = Self::with_contents(bytes);
        let mut state = disk.state();
        (state.history, state.recorded_on) = (Some(Vec::new()), state.synced.clone());
        drop(state);
        disk
    }

    /// The power goes now: every further call fails.
    pub fn power_off(&self) {
        self.state().off = true;
    }

    /// What the next start finds if the power goes, or went, now.
    pub fn after_crash(&self, kept: UnsyncedWrites) -> Self {
        self.state().crashed(kept, None)
    }

    /// How many changes were recorded: writes, new lengths and syncs.
    pub fn change_count(&self) -> usize {
        self.state().history.as_ref().map_or(0, Vec::len)
    }

    /// What the next start would have found if the power had gone in the midst of the recorded change with this number,
    /// counted from 0.
    pub fn after_crash_at(&self, change: usize, kept: UnsyncedWrites) -> Self {
        let state = self.state();
        let synced = state.recorded_on.clone();
        let mut past = State { live: synced.clone(), synced, ..State::default() };
        let history = state.history.as_deref().unwrap_or_default();
        for done in &history[..change.min(history.len())] {
            past.take(done.clone());
        }
        past.crashed(kept, history.get(change))
    }

    /// From now on there is room for this many bytes in all, or for any number.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.state().room = bytes.map(|bytes| bytes / BLOCK);
    }

    /// Bytes that take room.
    pub fn used_bytes(&self) -> usize {
        self.state().blocks.iter().filter(|used| **used).count() * BLOCK
    }

    /// How many calls were made of it, reads among them.
    pub fn call_count(&self) -> u64 {
        self.state().calls
    }

    /// The call that comes after this many others from now fails.
    pub fn fail_after(&self, calls: u64) {
        let mut state = self.state();
        state.failing = Some(state.calls + calls);
    }

    /// Each sync takes this long.
    pub fn set_sync_delay(&self, sync_takes: Duration) {
        self.state().sync_takes = sync_takes;
    }

    /// Changes the bits of a byte under whoever uses it.
    pub fn flip_bits(&self, at: usize, bits: u8) {
        let mut state = self.state();
        state.live[at] ^= bits;
        state.synced[at] ^= bits;
    }

    /// Its bytes, as reads see them.
    pub fn contents(&self) -> Vec<u8> {
        self.state().live.clone()
    }

    /// A disk that holds these bytes, all synced.
    pub fn with_contents(bytes: Vec<u8>) -> Self {
        let blocks = vec![true; bytes.len().div_ceil(BLOCK)];
        Self(Arc::new(Mutex::new(State { live: bytes.clone(), synced: bytes, blocks, ..State::default() })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn call(&self) -> io::Result<MutexGuard<'_, State>> {
        let mut state = self.state();
        let number = state.calls;
        state.calls += 1;
        if state.off || state.failing == Some(number) {
            return Err(io::Error::other("input/output error (injected)"));
        }
        Ok(state)
    }
}

impl State {
    /// Takes a change that goes well.
    fn take(&mut self, change: Change) {
        apply(&mut self.live, &change);
        match &change {
            Change::Sync => {
                for change in self.unsynced.drain(..) {
                    apply(&mut self.synced, &change);
                }
            }
            Change::FailedSync => self.unsynced.clear(),
            Change::Write { .. } | Change::Length(_) => self.unsynced.push(change.clone()),
        }
        if let Some(history) = &mut self.history {
            history.push(change);
        }
    }

    /// Finds room for a write.
    fn allocate(&mut self, offset: usize, bytes: usize) -> io::Result<()> {
        let touched = offset / BLOCK..(offset + bytes).div_ceil(BLOCK);
        if self.blocks.len() < touched.end {
            self.blocks.resize(touched.end, false);
        }
        let used = self.blocks.iter().filter(|used| **used).count();
        let more = self.blocks[touched.clone()].iter().filter(|used| !**used).count();
        if self.room.is_some_and(|room| used + more > room && more > 0) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.blocks[touched].fill(true);
        Ok(())
    }

    fn crashed(&self, kept: UnsyncedWrites, midst: Option<&Change>) -> FaultyDisk {
        let mut bytes = self.synced.clone();
        let unsynced = self.unsynced.iter();
        match kept {
            UnsyncedWrites::Lost => {}
            UnsyncedWrites::Kept => unsynced.for_each(|change| apply(&mut bytes, change)),
            UnsyncedWrites::PrefixKept { seed } => {
                let mut draw = Draw(seed);
                let changes: Vec<&Change> = unsynced.chain(midst).collect();
                let point = draw.below(changes.len() + 1);
                changes[..point].iter().for_each(|change| apply(&mut bytes, change));
                if let Some(Change::Write { offset, data }) = changes.get(point) {
                    let whole = draw.below(data.len() / PIECE + 1) * PIECE;
                    apply(&mut bytes, &Change::Write { offset: *offset, data: data[..whole].to_vec() });
                }
            }
            UnsyncedWrites::SubsetKept { seed } => {
                let mut draw = Draw(seed);
                for change in unsynced.chain(midst) {
                    match change {
                        Change::Write { offset, data } => {
                            for (number, piece) in data.chunks(PIECE).enumerate() {
                                if draw.below(2) == 0 {
                                    let offset = offset + number * PIECE;
                                    apply(&mut bytes, &Change::Write { offset, data: piece.to_vec() });
                                }
                            }
                        }
                        other if draw.below(2) == 0 => apply(&mut bytes, other),
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
        Change::Length(length) => bytes.resize(*length, 0),
        Change::Sync | Change::FailedSync => {}
    }
}

/// Numbers that look drawn (splitmix64), the same for the same seed.
struct Draw(u64);

impl Draw {
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
        Ok(self.call()?.live.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.call()?;
        let offset = offset as usize;
        let bytes = state.live.get(offset..offset.saturating_add(out.len()));
        out.copy_from_slice(bytes.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.call()?;
        let blocks = (len as usize).div_ceil(BLOCK);
        state.blocks.resize(blocks, false);
        state.take(Change::Length(len as usize));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let takes = self.state().sync_takes;
        if !takes.is_zero() {
            std::thread::sleep(takes);
        }
        match self.call() {
            Ok(mut state) => {
                state.take(Change::Sync);
                Ok(())
            }
            Err(error) => {
                let mut state = self.state();
                if !state.off {
                    state.take(Change::FailedSync);
                }
                Err(error)
            }
        }
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.call()?;
        let offset = offset as usize;
        state.allocate(offset, data.len())?;
        state.take(Change::Write { offset, data: data.to_vec() });
        Ok(())
    }
}
