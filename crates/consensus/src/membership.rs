//! Replicas added and removed, one at a time.
//!
//! A new replica is a learner first: it takes the log and does not count. Once it has what the leader had when it was
//! added, it becomes a voter, by the library's joint change. A call that was cut short (the leader ended in its middle)
//! is made again and goes on where it was.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use openraft::error::{ChangeMembershipError, ClientWriteError, RaftError};
use openraft::raft::ClientWriteResponse;
use openraft::{ChangeMembers, LogId};
use tokio::time::timeout;

use crate::state_machine::{Place, Types};
use crate::{Replica, StateMachine, WriteError};

type Changed<M> = Result<ClientWriteResponse<Types<M>>, RaftError<u64, ClientWriteError<u64, Place>>>;

impl<M: StateMachine> Replica<M> {
    /// Adds replica `id`, reached at `address`, and waits until it is up to date and counts; for a replica that is
    /// there already, changes its address. At the leader only. Add and remove one replica at a time; a replica that
    /// lost its disk is removed and added under an id that was never used.
    ///
    /// # Errors
    /// [`WriteError::InvalidChange`] for an id that was used before. [`WriteError::Unavailable`] when the new replica is not
    /// up to date in time: it stays a learner, and the call can be made again.
    pub async fn set_peer(&self, id: u64, address: SocketAddr) -> Result<(), WriteError> {
        let metrics = self.raft().metrics().borrow().clone();
        let members = metrics.membership_config.membership();
        let place = Place(address);
        match members.get_node(&id) {
            Some(known) if *known == place => {}
            Some(_) => self.change(ChangeMembers::SetNodes(BTreeMap::from([(id, place)])), true).await?,
            None if self.knows(id) => {
                let reason = format!(
                    "replica {id} was in use before: add the new one under an id that was never used"
                );
                return Err(WriteError::InvalidChange { reason });
            }
            None => self.change(ChangeMembers::AddNodes(BTreeMap::from([(id, place)])), true).await?,
        }
        if members.voter_ids().any(|voter| voter == id) && members.get_joint_config().len() == 1 {
            return Ok(());
        }
        self.caught_up(id).await?;
        self.change(ChangeMembers::AddVoterIds(BTreeSet::from([id])), true).await
    }

    /// Removes replica `id`, which may be this one: then another leads from the end of the call on. At the leader only.
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

    async fn change(&self, change: ChangeMembers<u64, Place>, retain: bool) -> Result<(), WriteError> {
        let change = self.raft().change_membership(change, retain);
        self.bounded(change).await
    }

    async fn bounded(&self, change: impl Future<Output = Changed<M>>) -> Result<(), WriteError> {
        match timeout(self.write_bound(), change).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(to)))) => {
                Err(WriteError::NotLeader { leader: to.leader_id.zip(to.leader_node.map(|place| place.0)) })
            }
            Ok(Err(RaftError::APIError(ClientWriteError::ChangeMembershipError(e)))) => match e {
                ChangeMembershipError::InProgress(_) => Err(WriteError::InvalidChange {
                    reason: "another change of the group is under way".to_owned(),
                }),
                e => Err(WriteError::InvalidChange { reason: e.to_string() }),
            },
            Ok(Err(RaftError::Fatal(_))) => Err(self.stopped()),
            Err(_) => Err(WriteError::Unavailable {
                reason: "no majority of replicas took the change of the group in time",
            }),
        }
    }

    /// Waits until a learner has what the leader has now.
    async fn caught_up(&self, id: u64) -> Result<(), WriteError> {
        let mut metrics = self.raft().metrics();
        let target = metrics.borrow().last_log_index;
        let reached = async {
            let at = |matched: &BTreeMap<u64, Option<LogId<u64>>>| {
                matched.get(&id).is_some_and(|log| log.map(|log| log.index) >= target)
            };
            let found = metrics.wait_for(|metrics| metrics.replication.as_ref().is_none_or(at)).await;
            found.map(|metrics| metrics.replication.is_some())
        };
        match timeout(Duration::from_millis(self.config().catch_up_ms), reached).await {
            Ok(Ok(true)) => Ok(()),
            Ok(Ok(false)) => Err(WriteError::NotLeader { leader: self.watch_leadership().borrow().leader }),
            Ok(Err(_)) => Err(self.stopped()),
            Err(_) => Err(WriteError::Unavailable {
                reason: "the new replica is not up to date yet: it goes on, ask again",
            }),
        }
    }
}
