//! Confirms that this replica leads, with one quorum round for all waiting callers.
//!
//! A round is the library's read-index round: a message to each replica, sent after the round started and answered by a
//! majority that knows no later leader, then a wait until everything that was committed before is applied here. A caller
//! that arrives during a round waits for the next one, as the current one may have started before the call.

use std::time::Duration;

use openraft::error::{CheckIsLeaderError, RaftError};
use openraft::Raft;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{timeout, Instant};

use crate::state_machine::TypeConfig;
use crate::{StateMachine, WriteError};

/// Maximum number of waiting callers; all of them share the next round.
pub(crate) const MAX_WAITING_CALLERS: usize = 8192;
/// Delay after a round that found no majority.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Channel to a caller that waits for a round.
pub(crate) type WaitingCaller = oneshot::Sender<Result<(), WriteError>>;

/// Runs a round whenever there are waiting callers, until `callers` is closed.
pub(crate) async fn run_rounds<M: StateMachine>(
    raft: Raft<TypeConfig<M>>,
    mut callers: mpsc::Receiver<WaitingCaller>,
    applied: watch::Receiver<u64>,
    round_timeout: Duration,
) {
    let mut waiting = Vec::new();
    while callers.recv_many(&mut waiting, MAX_WAITING_CALLERS).await > 0 {
        let result = match timeout(round_timeout, round(&raft, applied.clone(), round_timeout)).await {
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
    raft: &Raft<TypeConfig<M>>,
    mut applied: watch::Receiver<u64>,
    round_timeout: Duration,
) -> Result<(), WriteError> {
    let deadline = Instant::now() + round_timeout;
    loop {
        match raft.get_read_log_id().await {
            Ok((read_log_id, _)) => {
                let version = read_log_id.map_or(0, |log_id| log_id.index);
                let stopping = WriteError::Unavailable { reason: "the replica is stopping" };
                return applied.wait_for(|applied| *applied >= version).await.map(drop).map_err(|_| stopping);
            }
            Err(RaftError::APIError(CheckIsLeaderError::ForwardToLeader(to))) => {
                let leader = to.leader_id.zip(to.leader_node.map(|address| address.0));
                return Err(WriteError::NotLeader { leader });
            }
            Err(RaftError::APIError(CheckIsLeaderError::QuorumNotEnough(_))) if Instant::now() < deadline => {
                // Each message of a round has only one heartbeat interval.
                tokio::time::sleep(RETRY_DELAY).await;
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
