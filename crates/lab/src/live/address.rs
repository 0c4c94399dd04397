//! The addresses of one run: a /16 of its own within 127.0.0.0/8, claimed so that runs side by side do not meet.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};

use super::LabError;
use crate::plan::MAX_REPLICAS;

/// The second bytes of the blocks that runs may claim.
const BLOCKS: std::ops::Range<u8> = 64..192;
/// The port of the claim, of nodes and servers, and of discovery.
const CLAIM_PORT: u16 = 61_000;
const PORT: u16 = 9_000;
const LIST_PORT: u16 = 8_500;
/// The third bytes: nodes, their discovery, and the servers of each zone.
const NODES: u8 = 1;
const LISTS: u8 = 8;
const SERVERS: u8 = 32;
/// Replicas, their links to each other, the addresses that they tell, and the links of nodes to each of them.
const REPLICAS: u8 = 16;
const BETWEEN: u8 = 17;
const GROUP: u8 = 18;
const CONTROL: u8 = 96;
const CONTROL_PORT: u16 = 9_300;
/// Blocks that the nodes' links to one replica have.
const NODE_BLOCKS: u8 = 2;
/// Blocks of 250 addresses that each zone's servers have.
const SERVER_BLOCKS: u8 = 8;
const IN_BLOCK: usize = 250;

/// A claimed block. It is free again when this is dropped, or its process ends in any way.
#[derive(Debug)]
pub struct Block {
    second: u8,
    _claim: TcpListener,
}

/// Addresses that can be passed on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    second: u8,
}

impl Block {
    /// Claims a block that no other run has.
    ///
    /// # Errors
    /// Where all are taken, or loopback addresses can't be listened at.
    pub fn claim() -> Result<Self, LabError> {
        // Runs that start together begin at different places.
        let first = BLOCKS.start + (std::process::id() % u32::from(BLOCKS.end - BLOCKS.start)) as u8;
        let mut last = None;
        for second in (first..BLOCKS.end).chain(BLOCKS.start..first) {
            match TcpListener::bind((Ipv4Addr::new(127, second, 0, 1), CLAIM_PORT)) {
                Ok(claim) => return Ok(Self { second, _claim: claim }),
                Err(error) => last = Some(error),
            }
        }
        Err(LabError::Addresses(last.map_or_else(String::new, |e| e.to_string())))
    }

    /// Its addresses.
    pub fn addresses(&self) -> Addresses {
        Addresses { second: self.second }
    }
}

impl Addresses {
    fn at(self, third: u8, place: usize, port: u16) -> SocketAddr {
        let third = third + (place / IN_BLOCK) as u8;
        let fourth = 1 + (place % IN_BLOCK) as u8;
        SocketAddrV4::new(Ipv4Addr::new(127, self.second, third, fourth), port).into()
    }

    /// Where clients reach a node.
    pub fn node(self, node: usize) -> SocketAddr {
        self.at(NODES, node, PORT)
    }

    /// Where a node finds discovery.
    pub fn list(self, node: usize) -> SocketAddr {
        self.at(LISTS, node, LIST_PORT)
    }

    /// Where a replica of the control group listens.
    pub fn replica(self, replica: usize) -> SocketAddr {
        self.at(REPLICAS, replica, CONTROL_PORT)
    }

    /// Where a replica is reached, as the group tells it.
    pub fn replica_of_group(self, replica: usize) -> SocketAddr {
        self.at(GROUP, replica, CONTROL_PORT)
    }

    /// Where a replica reaches another.
    pub fn replica_for_replica(self, from: usize, to: usize) -> SocketAddr {
        self.at(BETWEEN, MAX_REPLICAS * from + to, CONTROL_PORT)
    }

    /// Where a node reaches a replica.
    pub fn replica_for_node(self, node: usize, replica: usize) -> SocketAddr {
        self.at(CONTROL + NODE_BLOCKS * replica as u8, node, CONTROL_PORT)
    }

    /// Where the nodes of a zone reach a server.
    pub fn server(self, server: usize, zone: usize) -> SocketAddr {
        self.at(SERVERS + SERVER_BLOCKS * zone as u8, server, PORT)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::plan::{MAX_NODES, MAX_SERVERS, MAX_ZONES};
    use std::collections::BTreeSet;

    #[test]
    fn two_runs_and_all_parties_of_one_have_addresses_of_their_own() {
        let (one, two) = (Block::claim().expect("a block"), Block::claim().expect("another"));
        assert_ne!(one.second, two.second);
        let a = one.addresses();
        let mut seen = BTreeSet::new();
        for n in 0..MAX_NODES {
            assert!(seen.insert(a.node(n).ip()) && seen.insert(a.list(n).ip()));
        }
        for zone in 0..MAX_ZONES {
            // Each server may be replaced.
            for server in 0..2 * MAX_SERVERS {
                assert!(seen.insert(a.server(server, zone).ip()));
            }
        }
        for replica in 0..MAX_REPLICAS {
            assert!(seen.insert(a.replica(replica).ip()) && seen.insert(a.replica_of_group(replica).ip()));
            for other in 0..MAX_REPLICAS {
                assert!(seen.insert(a.replica_for_replica(replica, other).ip()));
            }
            for node in 0..MAX_NODES {
                assert!(seen.insert(a.replica_for_node(node, replica).ip()));
            }
        }
        assert!(seen.iter().all(std::net::IpAddr::is_loopback));
    }
}
