//! Adds and removes replicas, one at a time.
//!
//! A new replica starts as a learner: it receives the log and does not vote. Once it has the log that the leader had when it
//! was added, it becomes a voter through the library's joint membership change. A call that was interrupted, because the
//! leader ended in the middle of it, can be repeated and continues where it was.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use openraft::error::{ChangeMembershipError, ClientWriteError, RaftError};
use openraft::raft::ClientWriteResponse;
use openraft::{ChangeMembers, LogId};
use tokio::time::timeout;

use crate::state_machine::{NodeAddress, TypeConfig};
use crate::{Replica, StateMachine, WriteError};

type ChangeResult<M> =
    Result<ClientWriteResponse<TypeConfig<M>>, RaftError<u64, ClientWriteError<u64, NodeAddress>>>;

impl<M: StateMachine> Replica<M> {
    /// Adds replica `id` at `address`, and waits until it has caught up and is a voter. Changes the address of a replica
    /// that is already a member.
    ///
    /// Works at the leader only. Add and remove one replica at a time. A replica that lost its disk is removed, and added
    /// under an id that was never used.
    ///
    /// # Errors
    /// [`WriteError::InvalidChange`] for an id that was used before. [`WriteError::Unavailable`] if the new replica does
    /// not catch up in time: it stays a learner, and the call can be repeated.
    pub async fn set_peer(&self, id: u64, address: SocketAddr) -> Result<(), WriteError> {
        let metrics = self.raft().metrics().borrow().clone();
        let members = metrics.membership_config.membership();
        let node = NodeAddress(address);
        match members.get_node(&id) {
            Some(known) if *known == node => {}
            Some(_) => self.change(ChangeMembers::SetNodes(BTreeMap::from([(id, node)])), true).await?,
            None if self.is_known(id) => {
                let reason = format!(
                    "replica {id} was in use before: add the new one under an id that was never used"
                );
                return Err(WriteError::InvalidChange { reason });
            }
            None => self.change(ChangeMembers::AddNodes(BTreeMap::from([(id, node)])), true).await?,
        }
        if members.voter_ids().any(|voter| voter == id) && members.get_joint_config().len() == 1 {
            return Ok(());
        }
        self.wait_until_caught_up(id).await?;
        self.change(ChangeMembers::AddVoterIds(BTreeSet::from([id])), true).await
    }

    /// Removes replica `id`. If it is this one, another replica leads after the call. Works at the leader only.
    ///
    /// # Errors
    /// [`WriteError::InvalidChange`] for the last replica.
    pub async fn remove_peer(&self, id: u64) -> Result<(), WriteError> {
        let metrics = self.raft().metrics().borrow().clone();
        let members = metrics.membership_config.membership();
        let voters: BTreeSet<u64> = members.voter_ids().collect();
        if voters.contains(&id) {
            if voters.len() == 1 {
                return Err(WriteError::InvalidChange { reason: format!("replica {id} is the last one") });
            }
            return self.change(ChangeMembers::RemoveVoters(BTreeSet::from([id])), false).await;
        }
        if members.get_node(&id).is_some() {
            return self.change(ChangeMembers::RemoveNodes(BTreeSet::from([id])), false).await;
        }
        Ok(())
    }

    async fn change(&self, change: ChangeMembers<u64, NodeAddress>, retain: bool) -> Result<(), WriteError> {
        let change = self.raft().change_membership(change, retain);
        self.await_change(change).await
    }

    /// Waits for a membership change, within the timeout of a write.
    async fn await_change(&self, change: impl Future<Output = ChangeResult<M>>) -> Result<(), WriteError> {
        match timeout(self.write_timeout(), change).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(to)))) => {
                Err(WriteError::NotLeader { leader: to.leader_id.zip(to.leader_node.map(|node| node.0)) })
            }
            Ok(Err(RaftError::APIError(ClientWriteError::ChangeMembershipError(e)))) => match e {
                ChangeMembershipError::InProgress(_) => Err(WriteError::InvalidChange {
                    reason: "another change of the group is in progress".to_owned(),
                }),
                e => Err(WriteError::InvalidChange { reason: e.to_string() }),
            },
            Ok(Err(RaftError::Fatal(_))) => Err(self.stopped_error()),
            Err(_) => Err(WriteError::Unavailable {
                reason: "no majority of replicas accepted the change of the group in time",
            }),
        }
    }

    /// Waits until a learner has the log that the leader has now.
    async fn wait_until_caught_up(&self, id: u64) -> Result<(), WriteError> {
        let mut metrics = self.raft().metrics();
        let target = metrics.borrow().last_log_index;
        let caught_up = async {
            let has_target = |matched: &BTreeMap<u64, Option<LogId<u64>>>| {
                matched.get(&id).is_some_and(|log_id| log_id.map(|log_id| log_id.index) >= target)
            };
            let found = metrics.wait_for(|metrics| metrics.replication.as_ref().is_none_or(has_target)).await;
            found.map(|metrics| metrics.replication.is_some())
        };
        match timeout(Duration::from_millis(self.config().catch_up_ms), caught_up).await {
            Ok(Ok(true)) => Ok(()),
            Ok(Ok(false)) => Err(WriteError::NotLeader { leader: self.watch_leadership().borrow().leader }),
            Ok(Err(_)) => Err(self.stopped_error()),
            Err(_) => Err(WriteError::Unavailable {
                reason:
                    "the new replica has not caught up in time; it continues to catch up: repeat the call",
            }),
        }
    }
}
