//! A replica with an invalid configuration does not start, and names the field and its limit.

mod support;

use std::collections::BTreeMap;

use consensus::{ConsensusError, ReplicaConfig};
use store::MAX_SNAPSHOT_BYTES;
use support::{free_address, ReplicaSlot};

/// Starts a replica of a group of its own; returns the result as the replica gave it.
fn start_with(change: impl FnOnce(&mut ReplicaConfig)) -> Result<(), ConsensusError> {
    let address = free_address();
    let mut config = ReplicaConfig::new(1, "test", address, BTreeMap::from([(1, address)]));
    change(&mut config);
    ReplicaSlot::new(config).start()
}

/// Guards against a limit beyond what the store takes: each snapshot would fail, and the log would grow without end.
#[test]
fn a_snapshot_limit_beyond_the_stores_is_refused_at_the_start() {
    for wrong in [0, MAX_SNAPSHOT_BYTES + 1, usize::MAX] {
        let error = start_with(|config| config.max_snapshot_bytes = wrong).expect_err("the replica started");
        assert!(matches!(error, ConsensusError::Config { field: "max_snapshot_bytes", .. }), "{error:?}");
        let message = error.to_string();
        assert!(message.contains("max_snapshot_bytes") && message.contains("268435456"), "{message}");
        assert_eq!(message.lines().count(), 1);
    }
    for right in [1, MAX_SNAPSHOT_BYTES] {
        start_with(|config| config.max_snapshot_bytes = right).expect("the replica did not start");
    }
}
