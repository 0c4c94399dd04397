//! Addresses of one run: a /16 block within 127.0.0.0/8, claimed so that concurrent runs do not collide.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};

use super::LabError;
use crate::plan::MAX_REPLICAS;

/// Second bytes of the blocks that runs may claim.
const SECOND_BYTES: std::ops::Range<u8> = 64..192;
/// Ports: of the claim, of nodes and servers, and of discovery.
const CLAIM_PORT: u16 = 61_000;
const SERVICE_PORT: u16 = 9_000;
const DISCOVERY_PORT: u16 = 8_500;
/// Third bytes: nodes, their discovery agents, and the servers as reached from the first zone.
const NODES_BYTE: u8 = 1;
const DISCOVERY_BYTE: u8 = 8;
const SERVERS_BYTE: u8 = 32;
/// Third bytes: replicas, the links between them, their advertised addresses, and the links of nodes to the first
/// replica.
const REPLICAS_BYTE: u8 = 16;
const REPLICA_LINKS_BYTE: u8 = 17;
const ADVERTISED_BYTE: u8 = 18;
const NODE_LINKS_BYTE: u8 = 96;
const CONTROL_PORT: u16 = 9_300;
/// Third bytes that the nodes' links to one replica take.
const BLOCKS_PER_REPLICA: u8 = 2;
/// Third bytes that the servers take for the nodes of one zone.
const BLOCKS_PER_ZONE: u8 = 8;
const ADDRESSES_PER_BLOCK: usize = 250;

/// A claimed block. It is released when this is dropped, or when the process ends in any way.
#[derive(Debug)]
pub struct AddressBlock {
    second_byte: u8,
    _claim: TcpListener,
}

/// Address plan of a block; can be copied.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    second_byte: u8,
}

impl AddressBlock {
    /// Claims a block that no other run uses.
    ///
    /// # Errors
    /// Fails if all blocks are claimed, or loopback addresses cannot be listened at.
    pub fn claim() -> Result<Self, LabError> {
        // Runs that start at the same time begin at different blocks.
        let first = SECOND_BYTES.start
            + (std::process::id() % u32::from(SECOND_BYTES.end - SECOND_BYTES.start)) as u8;
        let mut last_error = None;
        for second_byte in (first..SECOND_BYTES.end).chain(SECOND_BYTES.start..first) {
            match TcpListener::bind((Ipv4Addr::new(127, second_byte, 0, 1), CLAIM_PORT)) {
                Ok(claim) => return Ok(Self { second_byte, _claim: claim }),
                Err(error) => last_error = Some(error),
            }
        }
        Err(LabError::Addresses(last_error.map_or_else(String::new, |e| e.to_string())))
    }

    /// The address plan of this block.
    pub fn addresses(&self) -> Addresses {
        Addresses { second_byte: self.second_byte }
    }
}

impl Addresses {
    /// The address with this index in the range that starts at a third byte.
    fn address(self, third_byte: u8, index: usize, port: u16) -> SocketAddr {
        let third_byte = third_byte + (index / ADDRESSES_PER_BLOCK) as u8;
        let fourth_byte = 1 + (index % ADDRESSES_PER_BLOCK) as u8;
        SocketAddrV4::new(Ipv4Addr::new(127, self.second_byte, third_byte, fourth_byte), port).into()
    }

    /// Address at which clients reach a node.
    pub fn node(self, node: usize) -> SocketAddr {
        self.address(NODES_BYTE, node, SERVICE_PORT)
    }

    /// Address at which a node reaches its discovery agent.
    pub fn discovery(self, node: usize) -> SocketAddr {
        self.address(DISCOVERY_BYTE, node, DISCOVERY_PORT)
    }

    /// Address at which a replica of the control group listens.
    pub fn replica(self, replica: usize) -> SocketAddr {
        self.address(REPLICAS_BYTE, replica, CONTROL_PORT)
    }

    /// Address of a replica that the group advertises.
    pub fn replica_advertised(self, replica: usize) -> SocketAddr {
        self.address(ADVERTISED_BYTE, replica, CONTROL_PORT)
    }

    /// Address at which a replica reaches another one.
    pub fn replica_for_replica(self, from: usize, to: usize) -> SocketAddr {
        self.address(REPLICA_LINKS_BYTE, MAX_REPLICAS * from + to, CONTROL_PORT)
    }

    /// Address at which a node reaches a replica.
    pub fn replica_for_node(self, node: usize, replica: usize) -> SocketAddr {
        self.address(NODE_LINKS_BYTE + BLOCKS_PER_REPLICA * replica as u8, node, CONTROL_PORT)
    }

    /// Address at which the nodes of a zone reach a server.
    pub fn server(self, server: usize, zone: usize) -> SocketAddr {
        self.address(SERVERS_BYTE + BLOCKS_PER_ZONE * zone as u8, server, SERVICE_PORT)
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
        assert_ne!(one.second_byte, two.second_byte);
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
