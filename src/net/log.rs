//! Log lines that never block: a full pipe behind standard error must not hold up requests.

use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::OnceLock;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Lines that may wait to be written; further ones are dropped, and counted.
const WAITING: usize = 256;
/// The longest line, in characters: words from outside may be of any length.
const LONGEST: usize = 1000;
/// Lines on single requests and attempts that may be written between two calls of [`refill`].
const TROUBLES: u32 = 20;

static WRITER: OnceLock<(ErrorCounter, WorkerGuard)> = OnceLock::new();
static TROUBLES_LEFT: AtomicU32 = AtomicU32::new(TROUBLES);
/// How many dropped lines have been told of.
static TOLD: AtomicUsize = AtomicUsize::new(0);

/// Starts the thread that writes. Without it, lines go nowhere.
pub fn start() {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(WAITING).thread_name("log");
    let (writer, guard) = builder.finish(std::io::stderr());
    let dropped = writer.error_counter();
    // A line is its words alone, as whoever reads the log knows it.
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

/// Logs one line, or drops it where the log can't keep up.
pub fn line(words: String) {
    tracing::info!("{}", one_line(&words));
}

/// What others wrote is in some of the words: it neither begins a line of its own nor makes one without end.
fn one_line(words: &str) -> String {
    words.chars().take(LONGEST).map(|c| if c.is_control() { ' ' } else { c }).collect()
}

/// Logs what went badly for one request: some of many tell as much as all, and cost a busy node less.
pub fn trouble(words: impl FnOnce() -> String) {
    let take = |left: u32| left.checked_sub(1);
    if TROUBLES_LEFT.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok() {
        line(words());
    }
}

/// Lets further troubles be logged, and tells how many lines were dropped.
pub fn refill() {
    TROUBLES_LEFT.store(TROUBLES, Ordering::Relaxed);
    let dropped = WRITER.get().map_or(0, |(dropped, _)| dropped.dropped_lines());
    if TOLD.swap(dropped, Ordering::Relaxed) != dropped {
        line(format!("log: {dropped} lines dropped so far"));
    }
}
