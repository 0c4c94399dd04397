//! Whether new requests may be taken, and under which epoch of the agreed policy. Checked at each admission.

use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use member::{AdmissionError, Epoch, Member, MemberConfig, Millis, Process, SavedEpoch, StartMode};

use super::config::Config;
use super::listen::{self, ListenError};

/// Why no new request may be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// This process may not, as a member of its fleet.
    Member(AdmissionError),
    /// The agreed policy does not fit this process, which started after the change with other settings.
    UnusablePolicy,
}

impl HoldReason {
    /// The reason in a few words, for the log.
    pub fn description(self) -> &'static str {
        match self {
            Self::Member(error) => error.description(),
            Self::UnusablePolicy => "the agreed policy cannot be applied on this node",
        }
    }
}

/// This process as a member of its fleet.
pub struct Admission {
    /// Its state in the agreement on policies.
    pub member: RefCell<Member>,
    /// Whether the agreed policy does not fit this process.
    pub policy_unusable: Cell<bool>,
    started: Instant,
    /// Open as long as the process lives, and never accepted from: a refused connection proves that the process has
    /// ended.
    _liveness_listener: TcpListener,
}

impl Admission {
    /// A process that has just started. `saved` is what its disk holds, and `start_mode` how it comes to its first
    /// epoch.
    ///
    /// # Errors
    /// A [`ListenError`] if no other port of its address can be listened at.
    pub fn new(
        config: &Config,
        start_mode: StartMode,
        saved: Option<SavedEpoch>,
    ) -> Result<Self, ListenError> {
        let liveness = listen::bind("control", SocketAddr::new(config.listen.ip(), 0))?;
        let liveness_addr =
            liveness.local_addr().map_err(|error| ListenError::Runtime { field: "control", error })?;
        let started = Instant::now();
        // Unique to the process: hashed with the system's random keys, from the seed, the process id and the time.
        let boot = RandomState::new().hash_one((config.seed, std::process::id(), started));
        let member = MemberConfig {
            process: Process { name: config.name.clone(), boot },
            liveness_addr,
            coexists_with_previous: config.inherited_fd.is_some(),
            start_mode,
        };
        let member = RefCell::new(Member::new(member, saved, 0.0));
        Ok(Self { member, policy_unusable: Cell::new(false), started, _liveness_listener: liveness })
    }

    /// The time on the member's clock: monotonic, and running while the process is stopped.
    pub fn now(&self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// A time on the member's clock as an `Instant`.
    pub fn instant(&self, at: Millis) -> Instant {
        self.started + Duration::from_secs_f64(at.clamp(0.0, 1e12) / 1000.0)
    }

    /// The epoch under which a request may be taken right now.
    ///
    /// # Errors
    /// A [`HoldReason`] if none may be taken.
    pub fn admit(&self) -> Result<Epoch, HoldReason> {
        let epoch = self.member.borrow().admit(self.now()).map_err(HoldReason::Member)?;
        if self.policy_unusable.get() {
            return Err(HoldReason::UnusablePolicy);
        }
        Ok(epoch)
    }
}
