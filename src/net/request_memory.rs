//! The memory of a request: while it waits to be taken, and while it is open.

use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::HeaderMap;

use super::log;
use super::memory::{MemoryBudget, OutOfMemory, Purpose, Reservation};
use super::request::TXN;

/// The memory of an open request besides its head and held bodies, in bytes: tasks, and pieces of a body that is passed on.
const REQUEST_BYTES: usize = 24 * 1024;
/// How often an open request's head is held: as it came, as it is forwarded, and while that is written.
const HEAD_COPIES: usize = 3;
/// The memory of a field's place in a map of fields, in bytes.
const FIELD_PLACE_BYTES: usize = 104;
/// The memory of the blocks that hold a field's name and value, besides their text, in bytes.
const FIELD_TEXT_BYTES: usize = 96;
/// The memory of a request that waits, besides its head, in bytes: its place in the queue, and the map's table.
const WAITING_BYTES: usize = 1024;

/// Reserves the memory of a request with this head, in turn with others, until `deadline`. The head is counted meanwhile.
///
/// # Errors
/// [`OutOfMemory`] if there is none in time, or none for a head that waits. The latter is told after `refusal_delay`.
pub async fn reserve_request(
    budget: &MemoryBudget,
    parts: &mut Parts,
    deadline: Instant,
    refusal_delay: Duration,
) -> Result<Reservation, OutOfMemory> {
    let needed = request_bytes(parts);
    if let Ok(memory) = budget.try_reserve_in_turn(needed, Purpose::Request) {
        return Ok(memory);
    }
    detach(parts);
    let Ok(_waiting) = budget.try_reserve(waiting_bytes(parts), Purpose::WaitingHead) else {
        log_refusal(parts, "no memory for its head", budget);
        parts.headers = HeaderMap::new();
        budget.pause_until(deadline.min(Instant::now() + refusal_delay)).await;
        return Err(OutOfMemory);
    };
    let reserved = budget.reserve(needed, Purpose::Request, deadline).await;
    reserved.inspect_err(|OutOfMemory| log_refusal(parts, "no memory in time", budget))
}

fn log_refusal(parts: &Parts, reason: &str, budget: &MemoryBudget) {
    let txn = parts.headers.get(TXN).and_then(|value| value.to_str().ok()).unwrap_or("no id");
    log::limited(|| format!("{txn}: refused, {reason}: {}", budget.describe()));
}

/// Copies a head out of the buffer into which it was read, of which it would keep all.
fn detach(parts: &mut Parts) {
    let copied = |value: &HeaderValue| HeaderValue::from_bytes(value.as_bytes()).ok();
    let headers = parts.headers.iter().filter_map(|(name, value)| Some((name.clone(), copied(value)?)));
    parts.headers = headers.collect();
    if let Ok(uri) = parts.uri.to_string().parse() {
        parts.uri = uri;
    }
}

/// The memory that a request takes while it waits for that of an open one.
fn waiting_bytes(parts: &Parts) -> usize {
    WAITING_BYTES + head_bytes(parts, 1)
}

/// The memory that a request takes while it is open, besides bodies that are held.
fn request_bytes(parts: &Parts) -> usize {
    REQUEST_BYTES + head_bytes(parts, HEAD_COPIES)
}

/// The memory of this many copies of a head. They share the text of its fields until that is written.
fn head_bytes(parts: &Parts, copies: usize) -> usize {
    let path = parts.uri.path_and_query().map_or(0, |path| path.as_str().len());
    let text: usize = parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    let (fields, places) = (parts.headers.len(), parts.headers.capacity());
    copies * (path + text + places.max(fields) * FIELD_PLACE_BYTES) + fields * FIELD_TEXT_BYTES
}

#[cfg(test)]
mod tests {
    use hyper::Request;

    use super::*;

    const DELAY: Duration = Duration::from_millis(20);

    fn head(fields: usize) -> Parts {
        let mut request = Request::builder().uri("/look/7?q=1");
        for field in 0..fields {
            request = request.header(format!("a{field}"), "b");
        }
        request.body(()).expect("a request").into_parts().0
    }

    /// A head that waits is the same, without the memory that it was read into.
    #[test]
    fn a_detached_head_is_the_same() {
        let (original, mut detached) = (head(90), head(90));
        detach(&mut detached);
        assert_eq!((&detached.headers, &detached.uri), (&original.headers, &original.uri));
    }

    /// Heads count for what their fields take, however short these are, and for more while they are forwarded.
    #[test]
    fn many_short_fields_count() {
        let (few, many) = (head(4), head(90));
        assert!(waiting_bytes(&many) >= waiting_bytes(&few) + 86 * (FIELD_PLACE_BYTES + FIELD_TEXT_BYTES));
        assert!(request_bytes(&many) - REQUEST_BYTES >= 90 * HEAD_COPIES * FIELD_PLACE_BYTES);
    }

    /// Guards against a request that waits for its refusal until the process is killed.
    #[test]
    fn a_refusal_is_not_delayed_once_waits_have_ended() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let budget = MemoryBudget::of(1000);
            let started = Instant::now();
            for _ in 0..2 {
                let mut head = head(4);
                let deadline = started + 1000 * DELAY;
                let refused = reserve_request(&budget, &mut head, deadline, 1000 * DELAY);
                let (refused, ()) = tokio::join!(refused, async { budget.end_waits() });
                assert!(refused.is_err() && Instant::now() < deadline);
            }
        });
    }

    /// A request waits for memory with its head counted, and is refused if there is none for that.
    #[test]
    fn a_request_waits_only_if_there_is_memory_for_its_head() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let (mut short, mut long) = (head(4), head(90));
            let budget = MemoryBudget::of(4 * waiting_bytes(&long));
            let held = budget.try_reserve(3 * waiting_bytes(&long), Purpose::RequestBody).expect("room");
            let _rest = budget.try_reserve(waiting_bytes(&short), Purpose::ResponseBody).expect("room");
            let started = Instant::now();
            let refused = reserve_request(&budget, &mut long, started + 1000 * DELAY, DELAY).await;
            assert!(refused.is_err() && long.headers.is_empty() && started.elapsed() >= DELAY);
            let waiting = reserve_request(&budget, &mut short, started + 1000 * DELAY, DELAY);
            let (granted, ()) = tokio::join!(waiting, async move { drop(held) });
            assert!(granted.is_ok() && !short.headers.is_empty());
        });
    }
}
