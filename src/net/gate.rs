//! Whether a client's request may be taken, and under which epoch: asked at each admission.

use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use member::{AdmissionError, Epoch, Member, MemberConfig, Millis, Process, SavedEpoch, StartMode};

use super::config::Config;
use super::listen::{self, ListenError};

/// Why nothing new is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// The member may not.
    Held(AdmissionError),
    /// The agreed policy can't be judged by here: a process that came later than the change.
    Unfit,
}

impl Stop {
    /// In a few words, for the log.
    pub fn words(self) -> &'static str {
        match self {
            Self::Held(held) => held.description(),
            Self::Unfit => "the agreed policy can't be borne here",
        }
    }
}

/// This process as a member of its fleet.
pub struct Gate {
    /// What it knows and has promised.
    pub member: RefCell<Member>,
    /// The agreed policy can't be judged by.
    pub unfit: Cell<bool>,
    start: Instant,
    /// Open as long as the process lives, and never accepted from: refused, a connection there proves its end.
    _life: TcpListener,
}

impl Gate {
    /// A process that has just started and knows `saved` from its disk; `first` is how it comes to its first epoch.
    ///
    /// # Errors
    /// Where it can't listen at another port of its address.
    pub fn new(config: &Config, first: StartMode, saved: Option<SavedEpoch>) -> Result<Self, ListenError> {
        let life = listen::bind("control", SocketAddr::new(config.listen.ip(), 0))?;
        let at = life.local_addr().map_err(|error| ListenError::Runtime { field: "control", error })?;
        let start = Instant::now();
        // Never the same again: the system's own random keys, and who and when besides.
        let boot = RandomState::new().hash_one((config.seed, std::process::id(), start));
        let member = MemberConfig {
            process: Process { name: config.name.clone(), boot },
            liveness_addr: at,
            coexists_with_previous: config.inherited.is_some(),
            start_mode: first,
        };
        let member = RefCell::new(Member::new(member, saved, 0.0));
        Ok(Self { member, unfit: Cell::new(false), start, _life: life })
    }

    /// The time by the member's clock: monotonic, and going on while the process is stopped.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// When that is by the runtime's.
    pub fn instant(&self, at: Millis) -> Instant {
        self.start + Duration::from_secs_f64(at.clamp(0.0, 1e12) / 1000.0)
    }

    /// Whether a request may be taken right now, and under which epoch.
    ///
    /// # Errors
    /// Why not.
    pub fn admit(&self) -> Result<Epoch, Stop> {
        let epoch = self.member.borrow().admit(self.now()).map_err(Stop::Held)?;
        if self.unfit.get() {
            return Err(Stop::Unfit);
        }
        Ok(epoch)
    }
}
