//! Leadership made sure, one round for all who wait.
//!
//! A round is the library's: a message to each replica, sent after the round began, and answered by a majority that
//! knows no later leader; then a wait until all that was committed before is applied here. Whoever asks while a round
//! is under way waits for the next one, as this one may have begun before.

use std::time::Duration;

use openraft::error::{CheckIsLeaderError, RaftError};
use openraft::Raft;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{timeout, Instant};

use crate::state_machine::Types;
use crate::{StateMachine, WriteError};

/// The most callers that wait for rounds; all of them share the next one.
pub(crate) const WAITING_MOST: usize = 8192;
/// The pause after a round that found no majority.
const PAUSE: Duration = Duration::from_millis(10);

/// Who waits for a round.
pub(crate) type Waiting = oneshot::Sender<Result<(), WriteError>>;

/// Runs rounds as long as any may ask for one.
pub(crate) async fn rounds<M: StateMachine>(
    raft: Raft<Types<M>>,
    mut asked: mpsc::Receiver<Waiting>,
    applied: watch::Receiver<u64>,
    bound: Duration,
) {
    let mut waiting = Vec::new();
    while asked.recv_many(&mut waiting, WAITING_MOST).await > 0 {
        let result = match timeout(bound, round(&raft, applied.clone(), bound)).await {
            Ok(result) => result,
            Err(_) => Err(WriteError::Unavailable { reason: "no majority of replicas answered in time" }),
        };
        for caller in waiting.drain(..) {
            // A caller that has gone needs no answer.
            let _ = caller.send(result.clone());
        }
    }
}

async fn round<M: StateMachine>(
    raft: &Raft<Types<M>>,
    mut applied: watch::Receiver<u64>,
    bound: Duration,
) -> Result<(), WriteError> {
    let end = Instant::now() + bound;
    loop {
        match raft.get_read_log_id().await {
            Ok((read, _)) => {
                let version = read.map_or(0, |read| read.index);
                let ended = WriteError::Unavailable { reason: "the replica is stopping" };
                return applied.wait_for(|applied| *applied >= version).await.map(drop).map_err(|_| ended);
            }
            Err(RaftError::APIError(CheckIsLeaderError::ForwardToLeader(to))) => {
                let leader = to.leader_id.zip(to.leader_node.map(|place| place.0));
                return Err(WriteError::NotLeader { leader });
            }
            Err(RaftError::APIError(CheckIsLeaderError::QuorumNotEnough(_))) if Instant::now() < end => {
                // Each message of a round has one heartbeat's time only.
                tokio::time::sleep(PAUSE).await;
            }
            Err(RaftError::APIError(CheckIsLeaderError::QuorumNotEnough(_))) => {
                return Err(WriteError::Unavailable { reason: "no majority of replicas answers" });
            }
            Err(RaftError::Fatal(_)) => {
                return Err(WriteError::Unavailable { reason: "the replica has stopped" })
            }
        }
    }
}
