//! Bodies on their way through the node.

use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Sleep};

use super::metrics::{End, Taken};

/// How slowly a body may come.
#[derive(Clone, Copy)]
pub struct Pace {
    /// How long it may be waited for in all, ...
    pub wait: Duration,
    /// ... and how much longer for each KiB that has come.
    pub per_kib: Duration,
    /// The longest that it may be, in bytes.
    pub most: usize,
}

/// Why a body ended early.
#[derive(Debug)]
pub enum Cut {
    /// It came too slowly.
    Slow,
    /// It is longer than it may be.
    Long,
    /// There was no room to pass it on.
    NoRoom,
    /// Its connection broke, or it can't be read.
    Broken(hyper::Error),
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Slow => write!(f, "came too slowly"),
            Self::Long => write!(f, "longer than it may be"),
            Self::NoRoom => write!(f, "no room to pass it on"),
            Self::Broken(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for Cut {}

/// A body whose sender is waited for only as long as it keeps its pace. While nobody asks for more, no time
/// counts against it.
pub struct Paced {
    body: Incoming,
    pace: Pace,
    /// What was waited in all, and since when it is waited now.
    waited: Duration,
    since: Option<Instant>,
    came: usize,
    /// Made once it is first waited for: most bodies come at once, or are empty.
    late: Option<Pin<Box<Sleep>>>,
}

impl Paced {
    /// Nothing has come yet, and nothing was asked for.
    pub fn new(body: Incoming, pace: Pace) -> Self {
        Self { body, pace, waited: Duration::ZERO, since: None, came: 0, late: None }
    }
}

impl Body for Paced {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let this = &mut *self;
        let frame = match Pin::new(&mut this.body).poll_frame(cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                let late = this.late.get_or_insert_with(|| Box::pin(sleep_until(Instant::now().into())));
                if this.since.is_none() {
                    let now = Instant::now();
                    let kib = u32::try_from(this.came / 1024).unwrap_or(u32::MAX);
                    let allowed = this.pace.wait + this.pace.per_kib * kib;
                    this.since = Some(now);
                    late.as_mut().reset((now + allowed.saturating_sub(this.waited)).into());
                }
                ready!(late.as_mut().poll(cx));
                return Poll::Ready(Some(Err(Cut::Slow)));
            }
        };
        if let Some(since) = this.since.take() {
            this.waited += since.elapsed();
        }
        if let Some(data) = frame.as_ref().and_then(|f| f.as_ref().ok()?.data_ref()) {
            this.came += data.len();
            if this.came > this.pace.most {
                return Poll::Ready(Some(Err(Cut::Long)));
            }
        }
        Poll::Ready(frame.map(|f| f.map_err(Cut::Broken)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The bytes that all bodies together may take.
#[derive(Clone)]
pub struct Budget(Rc<Room>);

struct Room {
    most: isize,
    /// What of it is this process's now.
    all: Cell<isize>,
    /// Below 0 where more is taken than it had left when its part became smaller.
    left: Cell<isize>,
    freed: Notify,
}

/// A part of the budget, until it is dropped.
pub struct Held {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// So many bytes.
    pub fn new(bytes: usize) -> Self {
        let most = isize::try_from(bytes).unwrap_or(isize::MAX);
        Self(Rc::new(Room { most, all: Cell::new(most), left: Cell::new(most), freed: Notify::new() }))
    }

    /// Leaves half of it to another process, or no longer does.
    pub fn share(&self, shared: bool) {
        let all = if shared { self.0.most / 2 } else { self.0.most };
        let more = all - self.0.all.replace(all);
        self.give(more);
    }

    fn give(&self, bytes: isize) {
        self.0.left.set(self.0.left.get() + bytes);
        self.0.freed.notify_waiters();
    }

    /// Takes so many bytes, if that leaves a part of the budget, one in `spare`, to others.
    fn take(&self, bytes: usize, spare: isize) -> Option<Held> {
        let left = self.0.left.get() - bytes as isize;
        if left < self.0.all.get().checked_div(spare).unwrap_or(0) {
            return None;
        }
        self.0.left.set(left);
        Some(Held { budget: self.clone(), bytes })
    }

    /// The same once there is room, if there soon is.
    async fn wait(&self, bytes: usize, spare: isize) -> Result<Held, Cut> {
        let room = async {
            loop {
                if let Some(held) = self.take(bytes, spare) {
                    return held;
                }
                self.0.freed.notified().await;
            }
        };
        timeout(ROOM_WITHIN, room).await.map_err(|_| Cut::NoRoom)
    }
}

impl Held {
    /// Gives back what is not needed.
    fn shrink(&mut self, bytes: usize) {
        let over = self.bytes.saturating_sub(bytes);
        self.bytes -= over;
        self.budget.give(over as isize);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

/// What has become of a body that is passed on as it comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is coming.
    Coming,
    /// All of it was handed on.
    Whole,
    /// Its sender broke off, or was too slow.
    Cut,
    /// Nobody takes the rest.
    Dropped,
}

/// Where the fate of a body can be seen.
#[derive(Clone)]
pub struct Passage(Rc<(Cell<Fate>, Notify)>);

impl Passage {
    /// For a body that is coming.
    fn new() -> Self {
        Self(Rc::new((Cell::new(Fate::Coming), Notify::new())))
    }

    /// What has become of the body.
    pub fn fate(&self) -> Fate {
        self.0 .0.get()
    }

    /// Waits until it is no longer coming.
    pub async fn ended(&self) -> Fate {
        while self.fate() == Fate::Coming {
            self.0 .1.notified().await;
        }
        self.fate()
    }

    fn end(&self, fate: Fate) {
        if self.fate() == Fate::Coming {
            self.0 .0.set(fate);
            self.0 .1.notify_waiters();
        }
    }
}

/// Longer than anything lasts here.
const NEVER: Duration = Duration::from_secs(86_400);
/// How long a body waits for room.
const ROOM_WITHIN: Duration = Duration::from_secs(2);
/// What a body that is passed on takes on its way: a piece in hand, and the buffers of two connections.
const PASSING: usize = 128 * 1024;
/// The largest body that is held whole.
pub const HELD_MOST: usize = 64 * 1024;

/// A body that is held whole.
pub struct Kept {
    /// All of it.
    pub bytes: Bytes,
    /// Its part of the budget; the node's own few words need none.
    _held: Option<Held>,
}

impl From<Bytes> for Kept {
    fn from(bytes: Bytes) -> Self {
        Self { bytes, _held: None }
    }
}

/// A body as far as it was read before it goes on.
pub enum Gathered {
    /// All of it.
    Whole(Kept),
    /// The rest is passed on as it comes.
    Coming(Coming),
}

/// Whose body it is that is read.
#[derive(Clone, Copy)]
pub enum Side {
    /// A request's: it leaves room for answers, as its own answer needs some while it is held.
    Request,
    /// An answer's, which is held for so long after its first bytes where its length was not said.
    Answer(Duration),
}

/// Reads a body whole, if it is short and the budget has room for it; else up to its first bytes. Long ones leave
/// half of the budget to short ones.
pub async fn gather(mut body: Paced, budget: &Budget, side: Side) -> Result<Gathered, Cut> {
    let said = body.size_hint().exact().map(|n| usize::try_from(n).unwrap_or(usize::MAX));
    let (spare, hold) = match side {
        Side::Request => (4, NEVER),
        Side::Answer(hold) => (0, hold),
    };
    let mut held = match said {
        Some(length) if length > HELD_MOST => Some(budget.wait(PASSING, 2).await?),
        Some(length) => budget.take(length, spare),
        None => budget.take(PASSING, spare),
    };
    let most = if said.is_some_and(|length| length > HELD_MOST) || held.is_none() { 0 } else { HELD_MOST };
    let mut bytes = BytesMut::new();
    let mut over = pin!(tokio::time::sleep(NEVER));
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut over => break,
        };
        let Some(frame) = frame else {
            if let Some(held) = &mut held {
                held.shrink(bytes.len());
            }
            return Ok(Gathered::Whole(Kept { bytes: bytes.freeze(), _held: held }));
        };
        let Ok(data) = frame?.into_data() else { continue };
        if said.is_none() && bytes.is_empty() {
            over.as_mut().reset((Instant::now() + hold).into());
        }
        bytes.extend_from_slice(&data);
        if bytes.len() > most {
            break;
        }
    }
    Ok(Gathered::Coming(Coming::new(bytes.freeze(), body, held)))
}

/// A body that goes out: held whole, or passed on as it comes.
pub enum Outgoing {
    /// Held; `None` once it is out.
    Whole(Option<Kept>),
    /// Passed on.
    Coming(Coming),
}

/// A body that is passed on as it comes.
pub struct Coming {
    /// What was read of it before.
    first: Option<Bytes>,
    rest: Paced,
    passage: Passage,
    /// The request that ends with it.
    taken: Option<Taken>,
    /// Its part of the budget; a short one that found no room goes without.
    _held: Option<Held>,
}

impl Coming {
    /// A body of which `first` has been read.
    fn new(first: Bytes, rest: Paced, held: Option<Held>) -> Self {
        let first = Some(first).filter(|f| !f.is_empty());
        Self { first, rest, passage: Passage::new(), taken: None, _held: held }
    }

    /// Where its fate can be seen.
    pub fn passage(&self) -> Passage {
        self.passage.clone()
    }

    /// The request ends with this body, as served if all of it goes out.
    pub fn ends(&mut self, taken: Taken) {
        self.taken = Some(taken);
    }

    fn end(&mut self, fate: Fate) {
        self.passage.end(fate);
        if let Some(mut taken) = self.taken.take() {
            taken.end = if self.passage.fate() == Fate::Whole { End::Success } else { End::Error };
        }
    }
}

impl Drop for Coming {
    fn drop(&mut self) {
        // A body whose length was said is not asked for more once it has all come.
        let whole = self.first.is_none() && self.rest.is_end_stream();
        self.end(if whole { Fate::Whole } else { Fate::Dropped });
    }
}

impl Outgoing {
    /// What is held whole.
    pub fn held(kept: impl Into<Kept>) -> Self {
        Self::Whole(Some(kept.into()).filter(|k| !k.bytes.is_empty()))
    }

    /// Where the fate of one that is coming can be seen.
    pub fn passage(&self) -> Option<Passage> {
        match self {
            Self::Whole(..) => None,
            Self::Coming(coming) => Some(coming.passage()),
        }
    }

    /// Its length, if that is known.
    pub fn length(&self) -> Option<u64> {
        self.size_hint().exact()
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let coming = match &mut *self {
            Self::Whole(kept) => return Poll::Ready(kept.take().map(|k| Ok(Frame::data(k.bytes)))),
            Self::Coming(coming) => coming,
        };
        if let Some(first) = coming.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let frame = ready!(Pin::new(&mut coming.rest).poll_frame(cx));
        match &frame {
            Some(Ok(_)) if !coming.rest.is_end_stream() => {}
            Some(Ok(_)) | None => coming.end(Fate::Whole),
            Some(Err(_)) => coming.end(Fate::Cut),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(kept) => kept.is_none(),
            Self::Coming(coming) => coming.first.is_none() && coming.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(kept) => SizeHint::with_exact(kept.as_ref().map_or(0, |k| k.bytes.len() as u64)),
            Self::Coming(coming) => {
                let first = coming.first.as_ref().map_or(0, |f| f.len() as u64);
                let rest = coming.rest.size_hint().exact();
                rest.map_or_else(SizeHint::new, |rest| SizeHint::with_exact(first + rest))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Half of the budget is the other process's, also where more is taken when that one comes; what long bodies
    /// leave to short ones is then a half of the half.
    #[test]
    fn half_of_the_budget_can_be_left_to_others() {
        let budget = Budget::new(1000);
        let most = budget.take(900, 0).expect("room");
        budget.share(true);
        budget.share(true);
        assert!(budget.take(1, 0).is_none());
        drop(most);
        let rest = budget.take(250, 2).expect("half of its half");
        assert!(budget.take(1, 2).is_none() && budget.take(251, 0).is_none());
        budget.share(false);
        assert!(budget.take(250, 2).is_some() && budget.take(251, 2).is_none());
        drop(rest);
        assert!(budget.take(1000, 0).is_some());
    }

    /// Whoever waits for room is given it as soon as there is some, and told where there is none for long.
    #[test]
    fn room_is_waited_for() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let budget = Budget::new(1000);
            let held = budget.take(800, 0).expect("room");
            assert!(matches!(budget.wait(300, 0).await, Err(Cut::NoRoom)));
            let (got, ()) = tokio::join!(budget.wait(300, 0), async move { drop(held) });
            assert!(got.is_ok());
        });
    }
}
