//! The watch hub: what was last agreed, encoded once, and whoever waits for the next.
//!
//! A line holds the whole state, so that a watcher who was slow needs only the newest one: there is no queue to bound,
//! each watcher has at most the line that is being written to it.
//!
//! Rejected: a bounded queue of lines a watcher. It costs memory by watchers times lines to deliver what the next line
//! overtakes.

use std::collections::BTreeMap;
use std::future::poll_fn;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;

use crate::sync::Lock;

/// Shared by whoever publishes and all who watch.
pub struct WatchHub<L: Lock<HubState> = Mutex<HubState>>(Arc<L>);

/// What is under the hub's lock.
#[derive(Default)]
pub struct HubState {
    /// The newest line, and the log's version that it tells of.
    line: Option<(u64, Bytes)>,
    /// How often watches were cut off.
    cuts: u64,
    closed: bool,
    /// How many watch, and the number of the next one.
    watchers: usize,
    next: u64,
    waiting: BTreeMap<u64, Waker>,
}

impl<L: Lock<HubState>> Clone for WatchHub<L> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<L: Lock<HubState>> Default for WatchHub<L> {
    fn default() -> Self {
        Self(Arc::new(L::new(HubState::default())))
    }
}

impl<L: Lock<HubState>> WatchHub<L> {
    /// Shows a line to all who watch, unless it is not newer than the one that is shown.
    pub fn publish(&self, version: u64, line: Bytes) {
        self.change(|board| {
            if board.line.as_ref().is_none_or(|(shown, _)| *shown < version) {
                board.line = Some((version, line));
            }
        });
    }

    /// Ends all watches that are on now; others may begin.
    pub fn disconnect_all(&self) {
        self.change(|board| board.cuts += 1);
    }

    /// Ends all watches, and those that begin from now on too.
    pub fn close(&self) {
        self.change(|board| board.closed = true);
    }

    /// How many watch.
    pub fn watcher_count(&self) -> usize {
        self.0.with(|board| board.watchers)
    }

    /// Begins a watch for whoever knows what was agreed at version `from`; of `None`, an older or an unknown version
    /// the newest line comes at once.
    pub fn subscribe(&self, from: Option<u64>) -> Watcher<L> {
        self.0.with(|board| {
            board.watchers += 1;
            board.next += 1;
            Watcher { hub: self.clone(), number: board.next, cuts: board.cuts, seen: from }
        })
    }

    fn change(&self, f: impl FnOnce(&mut HubState)) {
        let woken = self.0.with(|board| {
            f(board);
            std::mem::take(&mut board.waiting)
        });
        woken.into_values().for_each(Waker::wake);
    }
}

/// One watch.
pub struct Watcher<L: Lock<HubState> = Mutex<HubState>> {
    hub: WatchHub<L>,
    number: u64,
    cuts: u64,
    seen: Option<u64>,
}

impl<L: Lock<HubState>> Watcher<L> {
    /// The next line; `None` once the watch is over.
    pub async fn next_line(&mut self) -> Option<Bytes> {
        poll_fn(|cx| self.poll_next_line(cx)).await
    }

    /// As [`Watcher::next_line`].
    pub fn poll_next_line(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        // Looked at and waited for under one lock: what is published in between would wake nobody.
        self.hub.0.with(|board| {
            if board.cuts != self.cuts {
                return Poll::Ready(None);
            }
            match &board.line {
                Some((version, line)) if self.seen != Some(*version) => {
                    self.seen = Some(*version);
                    Poll::Ready(Some(line.clone()))
                }
                _ if board.closed => Poll::Ready(None),
                _ => {
                    board.waiting.insert(self.number, cx.waker().clone());
                    Poll::Pending
                }
            }
        })
    }
}

impl<L: Lock<HubState>> Drop for Watcher<L> {
    fn drop(&mut self) {
        let waker = self.hub.0.with(|board| {
            board.watchers -= 1;
            board.waiting.remove(&self.number)
        });
        drop(waker);
    }
}

#[cfg(test)]
mod tests {
    use shuttle::{future, thread};

    use super::*;

    type Shared = WatchHub<shuttle::sync::Mutex<HubState>>;

    fn line(version: u64) -> Bytes {
        version.to_string().into()
    }

    /// All lines of a watch until it ends.
    fn all(mut watcher: Watcher<shuttle::sync::Mutex<HubState>>) -> Vec<Bytes> {
        future::block_on(async {
            let mut lines = Vec::new();
            while let Some(line) = watcher.next_line().await {
                lines.push(line);
            }
            lines
        })
    }

    /// A lost wake-up is a deadlock, which the checker reports.
    #[test]
    fn a_watcher_sees_versions_grow_up_to_the_last() {
        let run = || {
            let hub = Shared::default();
            hub.publish(1, line(1));
            let watcher = hub.subscribe(Some(1));
            let watching = thread::spawn(move || all(watcher));
            hub.publish(2, line(2));
            hub.publish(3, line(3));
            hub.close();
            let seen = watching.join().expect("ends");
            assert_eq!(seen.last(), Some(&line(3)));
            assert!(seen.is_sorted() && !seen.contains(&line(1)), "{seen:?}");
            assert_eq!(hub.watcher_count(), 0);
        };
        shuttle::check_dfs(run, None);
    }

    #[test]
    fn a_cut_ends_present_watches_alone() {
        let run = || {
            let hub = Shared::default();
            let first = hub.subscribe(None);
            let watching = thread::spawn(move || all(first));
            hub.disconnect_all();
            let mut second = hub.subscribe(None);
            hub.publish(7, line(7));
            assert!(watching.join().expect("ends").is_empty());
            assert_eq!(future::block_on(second.next_line()), Some(line(7)));
        };
        shuttle::check_dfs(run, None);
    }
}
