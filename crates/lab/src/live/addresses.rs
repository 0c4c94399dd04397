//! Addresses of one run: a /16 block within 127.0.0.0/8, claimed so that concurrent runs do not collide.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};

use super::LabError;
use crate::plan::MAX_REPLICAS;

/// Second octets of the /16 blocks that runs may claim.
const SECOND_OCTETS: std::ops::Range<u8> = 64..192;
/// Port that a run listens on to claim its block.
const CLAIM_PORT: u16 = 61_000;
/// Port of nodes and servers.
const SERVICE_PORT: u16 = 9_000;
/// Port of discovery agents.
const DISCOVERY_PORT: u16 = 8_500;
/// Third octet of the first nodes.
const NODES_OCTET: u8 = 1;
/// Third octet of the first nodes' discovery agents.
const DISCOVERY_OCTET: u8 = 8;
/// Third octet of the first servers, as reached from the first zone.
const SERVERS_OCTET: u8 = 32;
/// Third octet of the replicas.
const REPLICAS_OCTET: u8 = 16;
/// Third octet of the links between replicas.
const REPLICA_LINKS_OCTET: u8 = 17;
/// Third octet of the replicas' advertised addresses.
const ADVERTISED_OCTET: u8 = 18;
/// Third octet of the first nodes' links to the first replica.
const NODE_LINKS_OCTET: u8 = 96;
/// Port of replicas.
const CONTROL_PORT: u16 = 9_300;
/// Number of third octets for the nodes' links to one replica.
const OCTETS_PER_REPLICA: u8 = 2;
/// Number of third octets for the servers as reached from one zone.
const OCTETS_PER_ZONE: u8 = 8;
/// Number of addresses with the same third octet.
const ADDRESSES_PER_THIRD_OCTET: usize = 250;

/// A claimed block. It is released when this is dropped, or when the process ends in any way.
#[derive(Debug)]
pub struct AddressBlock {
    second_octet: u8,
    _claim: TcpListener,
}

/// Address plan of a block; can be copied.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    second_octet: u8,
}

impl AddressBlock {
    /// Claims a block that no other run uses.
    ///
    /// # Errors
    /// Fails if all blocks are claimed, or loopback addresses cannot be listened at.
    pub fn claim() -> Result<Self, LabError> {
        // Runs that start at the same time begin at different blocks.
        let first = SECOND_OCTETS.start
            + (std::process::id() % u32::from(SECOND_OCTETS.end - SECOND_OCTETS.start)) as u8;
        let mut last_error = None;
        for second_octet in (first..SECOND_OCTETS.end).chain(SECOND_OCTETS.start..first) {
            match TcpListener::bind((Ipv4Addr::new(127, second_octet, 0, 1), CLAIM_PORT)) {
                Ok(claim) => return Ok(Self { second_octet, _claim: claim }),
                Err(error) => last_error = Some(error),
            }
        }
        Err(LabError::Addresses(last_error.map_or_else(String::new, |e| e.to_string())))
    }

    /// The address plan of this block.
    pub fn addresses(&self) -> Addresses {
        Addresses { second_octet: self.second_octet }
    }
}

impl Addresses {
    /// The address with this index in the range that starts at a third octet.
    fn address(self, third_octet: u8, index: usize, port: u16) -> SocketAddr {
        let third_octet = third_octet + (index / ADDRESSES_PER_THIRD_OCTET) as u8;
        let fourth_octet = 1 + (index % ADDRESSES_PER_THIRD_OCTET) as u8;
        SocketAddrV4::new(Ipv4Addr::new(127, self.second_octet, third_octet, fourth_octet), port).into()
    }

    /// Address at which clients reach a node.
    pub fn node(self, node: usize) -> SocketAddr {
        self.address(NODES_OCTET, node, SERVICE_PORT)
    }

    /// Address at which a node reaches its discovery agent.
    pub fn discovery(self, node: usize) -> SocketAddr {
        self.address(DISCOVERY_OCTET, node, DISCOVERY_PORT)
    }

    /// Address at which a replica of the control group listens.
    pub fn replica(self, replica: usize) -> SocketAddr {
        self.address(REPLICAS_OCTET, replica, CONTROL_PORT)
    }

    /// Address of a replica that the group advertises.
    pub fn replica_advertised(self, replica: usize) -> SocketAddr {
        self.address(ADVERTISED_OCTET, replica, CONTROL_PORT)
    }

    /// Address at which a replica reaches another one.
    pub fn replica_for_replica(self, from: usize, to: usize) -> SocketAddr {
        self.address(REPLICA_LINKS_OCTET, MAX_REPLICAS * from + to, CONTROL_PORT)
    }

    /// Address at which a node reaches a replica.
    pub fn replica_for_node(self, node: usize, replica: usize) -> SocketAddr {
        self.address(NODE_LINKS_OCTET + OCTETS_PER_REPLICA * replica as u8, node, CONTROL_PORT)
    }

    /// Address at which the nodes of a zone reach a server.
    pub fn server(self, server: usize, zone: usize) -> SocketAddr {
        self.address(SERVERS_OCTET + OCTETS_PER_ZONE * zone as u8, server, SERVICE_PORT)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::plan::{MAX_NODES, MAX_SERVERS, MAX_ZONES};
    use std::collections::BTreeSet;

    #[test]
    fn runs_and_the_parties_of_a_run_have_distinct_addresses() {
        let (one, two) = (AddressBlock::claim().expect("a block"), AddressBlock::claim().expect("another"));
        assert_ne!(one.second_octet, two.second_octet);
        let addresses = one.addresses();
        let mut seen = BTreeSet::new();
        for n in 0..MAX_NODES {
            assert!(seen.insert(addresses.node(n).ip()) && seen.insert(addresses.discovery(n).ip()));
        }
        for zone in 0..MAX_ZONES {
            // Each server may be replaced once.
            for server in 0..2 * MAX_SERVERS {
                assert!(seen.insert(addresses.server(server, zone).ip()));
            }
        }
        for replica in 0..MAX_REPLICAS {
            assert!(
                seen.insert(addresses.replica(replica).ip())
                    && seen.insert(addresses.replica_advertised(replica).ip())
            );
            for other in 0..MAX_REPLICAS {
                assert!(seen.insert(addresses.replica_for_replica(replica, other).ip()));
            }
            for node in 0..MAX_NODES {
                assert!(seen.insert(addresses.replica_for_node(node, replica).ip()));
            }
        }
        assert!(seen.iter().all(std::net::IpAddr::is_loopback));
    }
}
