//! The watch hub: the newest agreed state, encoded once, and the watchers that wait for the next one.
//!
//! Each line contains the whole state, so a slow watcher needs only the newest one: there is no queue to bound, and a
//! watcher holds at most the line that is being written to it.
//!
//! Rejected: a bounded queue of lines per watcher. It costs memory proportional to watchers times lines, to deliver
//! lines that the next one supersedes.

use std::collections::BTreeMap;
use std::future::poll_fn;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;

use crate::sync::Lock;

/// Publishes lines to watchers; clones share it.
pub struct WatchHub<L: Lock<HubState> = Mutex<HubState>>(Arc<L>);

/// The state under the hub's lock.
#[derive(Default)]
pub struct HubState {
    /// The newest line, and the log version that it contains.
    newest: Option<(u64, Bytes)>,
    /// The number of calls of [`WatchHub::disconnect_all`].
    disconnects: u64,
    closed: bool,
    watcher_count: usize,
    /// The ID of the last watcher.
    last_id: u64,
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
    /// Publishes a line to all watchers if it is newer than the current one.
    pub fn publish(&self, version: u64, line: Bytes) {
        self.update(|state| {
            if state.newest.as_ref().is_none_or(|(newest, _)| *newest < version) {
                state.newest = Some((version, line));
            }
        });
    }

    /// Ends all current watches; new ones may start.
    pub fn disconnect_all(&self) {
        self.update(|state| state.disconnects += 1);
    }

    /// Ends all watches once they have received the newest line; the same applies to new ones.
    pub fn close(&self) {
        self.update(|state| state.closed = true);
    }

    /// Returns the number of watchers.
    pub fn watcher_count(&self) -> usize {
        self.0.with(|state| state.watcher_count)
    }

    /// Starts a watch for a caller that knows the agreed state at version `from`. If that is `None`, older or unknown,
    /// the newest line comes immediately.
    pub fn subscribe(&self, from: Option<u64>) -> Watcher<L> {
        self.0.with(|state| {
            state.watcher_count += 1;
            state.last_id += 1;
            Watcher { hub: self.clone(), id: state.last_id, disconnects: state.disconnects, seen: from }
        })
    }

    fn update(&self, f: impl FnOnce(&mut HubState)) {
        let woken = self.0.with(|state| {
            f(state);
            std::mem::take(&mut state.waiting)
        });
        woken.into_values().for_each(Waker::wake);
    }
}

/// One watch.
pub struct Watcher<L: Lock<HubState> = Mutex<HubState>> {
    hub: WatchHub<L>,
    id: u64,
    /// The value of [`HubState::disconnects`] when the watch started.
    disconnects: u64,
    /// The version of the last line that the watcher has received.
    seen: Option<u64>,
}

impl<L: Lock<HubState>> Watcher<L> {
    /// Returns the next line; `None` once the watch has ended.
    pub async fn next_line(&mut self) -> Option<Bytes> {
        poll_fn(|cx| self.poll_next_line(cx)).await
    }

    /// Polls for the result of [`Watcher::next_line`].
    pub fn poll_next_line(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        // The check and the registration are under one lock, so a line published in between cannot be missed.
        self.hub.0.with(|state| {
            if state.disconnects != self.disconnects {
                return Poll::Ready(None);
            }
            match &state.newest {
                Some((version, line)) if self.seen != Some(*version) => {
                    self.seen = Some(*version);
                    Poll::Ready(Some(line.clone()))
                }
                _ if state.closed => Poll::Ready(None),
                _ => {
                    state.waiting.insert(self.id, cx.waker().clone());
                    Poll::Pending
                }
            }
        })
    }
}

impl<L: Lock<HubState>> Drop for Watcher<L> {
    fn drop(&mut self) {
        let waker = self.hub.0.with(|state| {
            state.watcher_count -= 1;
            state.waiting.remove(&self.id)
        });
        drop(waker);
    }
}

#[cfg(test)]
mod tests {
    use shuttle::{future, thread};

    use super::*;

    type ShuttleHub = WatchHub<shuttle::sync::Mutex<HubState>>;

    fn line(version: u64) -> Bytes {
        version.to_string().into()
    }

    /// Returns all lines of a watch until it ends.
    fn all_lines(mut watcher: Watcher<shuttle::sync::Mutex<HubState>>) -> Vec<Bytes> {
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
    fn a_watcher_sees_increasing_versions_up_to_the_last() {
        let run = || {
            let hub = ShuttleHub::default();
            hub.publish(1, line(1));
            let watcher = hub.subscribe(Some(1));
            let watching = thread::spawn(move || all_lines(watcher));
            hub.publish(2, line(2));
            hub.publish(3, line(3));
            hub.close();
            let seen = watching.join().expect("the thread does not panic");
            assert_eq!(seen.last(), Some(&line(3)));
            assert!(seen.is_sorted() && !seen.contains(&line(1)), "{seen:?}");
            assert_eq!(hub.watcher_count(), 0);
        };
        shuttle::check_dfs(run, None);
    }

    #[test]
    fn disconnect_all_ends_only_the_current_watches() {
        let run = || {
            let hub = ShuttleHub::default();
            let first = hub.subscribe(None);
            let watching = thread::spawn(move || all_lines(first));
            hub.disconnect_all();
            let mut second = hub.subscribe(None);
            hub.publish(7, line(7));
            assert!(watching.join().expect("the thread does not panic").is_empty());
            assert_eq!(future::block_on(second.next_line()), Some(line(7)));
        };
        shuttle::check_dfs(run, None);
    }
}
