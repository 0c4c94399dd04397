//! Log lines that never block: a full pipe behind standard error must not delay requests.

use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::OnceLock;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Lines that may be queued; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 256;
/// The longest line in characters: text from outside may be of any length.
const MAX_LINE_CHARS: usize = 1000;
/// Rate-limited lines, on single requests and attempts, that may be written between two calls of [`refill_limit`].
const LIMITED_LINES: u32 = 20;

static WRITER: OnceLock<(ErrorCounter, WorkerGuard)> = OnceLock::new();
static LIMITED_LINES_LEFT: AtomicU32 = AtomicU32::new(LIMITED_LINES);
/// How many dropped lines have been reported.
static REPORTED_DROPS: AtomicUsize = AtomicUsize::new(0);

/// Starts the writing thread. Until then, lines are discarded.
pub fn start() {
    let builder =
        NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES).thread_name("log");
    let (writer, guard) = builder.finish(std::io::stderr());
    let dropped = writer.error_counter();
    // A line is its text alone, without time or level: operators and tests match it as it is.
    let lines = tracing_subscriber::fmt()
        .with_writer(writer)
        .with_ansi(false)
        .with_level(false)
        .with_target(false)
        .without_time();
    if lines.try_init().is_ok() {
        let _ = WRITER.set((dropped, guard));
    }
}

/// Logs one line, or drops it if the queue is full.
pub fn line(text: String) {
    tracing::info!("{}", one_line(&text));
}

/// Part of the text may come from outside: it must neither start a new line nor be without end.
fn one_line(text: &str) -> String {
    text.chars().take(MAX_LINE_CHARS).map(|c| if c.is_control() { ' ' } else { c }).collect()
}

/// Logs a problem of a single request or attempt, rate-limited: a sample says as much as all and costs a busy node
/// less.
pub fn limited(text: impl FnOnce() -> String) {
    let decrement = |left: u32| left.checked_sub(1);
    if LIMITED_LINES_LEFT.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).is_ok() {
        line(text());
    }
}

/// Allows further rate-limited lines, and reports how many lines were dropped.
pub fn refill_limit() {
    LIMITED_LINES_LEFT.store(LIMITED_LINES, Ordering::Relaxed);
    let dropped = WRITER.get().map_or(0, |(dropped, _)| dropped.dropped_lines());
    if REPORTED_DROPS.swap(dropped, Ordering::Relaxed) != dropped {
        line(format!("log: {dropped} lines dropped so far"));
    }
}
