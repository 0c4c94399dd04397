//! The links of the control group: a relay for each link from a node to a replica and from a replica to another, so
//! that faults can cut it in both directions or in one.
//!
//! All replicas must be configured with the same address of each replica, which they also give to nodes that look for
//! the leader. A router listens at that address, reads from the first request who has connected, and passes the
//! connection on to that party's relay. All of it runs on a thread of its own, so that the lab's measured lateness
//! does not include the forwarding.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread::JoinHandle;

use relay::{ConnectionRouter, Forwarding, LinkFault, Relay, RelayError};
use tokio::sync::oneshot;

use super::addresses::Addresses;
use super::LabError;
use crate::plan::Direction;

/// The party at one end of a link.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Party {
    /// A node.
    Node(usize),
    /// A replica, by its index.
    Replica(usize),
}

/// A link: the party that connects, and the replica.
type LinkId = (Party, usize);

/// All links of a control group.
pub struct Links {
    relays: BTreeMap<LinkId, Relay>,
    routers: Vec<ConnectionRouter>,
    /// Link faults of each active fault.
    active_faults: RefCell<BTreeMap<usize, Vec<(LinkId, LinkFault)>>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Links {
    /// Creates the links between the given numbers of nodes and replicas.
    ///
    /// # Errors
    /// Fails if an address cannot be listened at, or no thread can be started.
    pub fn new(addresses: Addresses, nodes: usize, replicas: usize) -> Result<Self, LabError> {
        let io = |source| LabError::Io { what: "links of the control group".into(), source };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(io)?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel();
        let work = move || drop(runtime.block_on(stopped));
        let thread = std::thread::Builder::new().name("links".into()).spawn(work).map_err(io)?;
        // From here on, dropping `links` ends the thread.
        let mut links = Self {
            relays: BTreeMap::new(),
            routers: Vec::new(),
            active_faults: RefCell::default(),
            stop: Some(stop),
            thread: Some(thread),
        };
        let parties = (0..nodes).map(Party::Node).chain((0..replicas).map(Party::Replica));
        let _within = handle.enter();
        for (party, replica) in parties.flat_map(|p| (0..replicas).map(move |r| (p, r))) {
            if party == Party::Replica(replica) {
                continue;
            }
            let relay = Relay::start_on(relay_address(addresses, party, replica), addresses.replica(replica))
                .map_err(listen_error)?;
            links.relays.insert((party, replica), relay);
        }
        for replica in 0..replicas {
            links.routers.push(start_router(addresses, replica, nodes, replicas)?);
        }
        Ok(links)
    }

    /// Cuts the links between these parties and all other replicas, in both directions or only the given one.
    pub fn partition(&self, fault: usize, parties: &[Party], direction: Option<Direction>) {
        let forwarding = |cut: bool| if cut { Forwarding::Block } else { Forwarding::Pass };
        let link_faults = self.relays.keys().filter_map(|(from, to)| {
            let connects = parties.contains(from);
            if !connects && !parties.contains(&Party::Replica(*to)) {
                return None;
            }
            // Traffic out of a party flows to the target if the party connects, and from the target if it is connected
            // to.
            let (outbound, inbound) = (direction != Some(Direction::In), direction != Some(Direction::Out));
            let (to_target, from_target) = if connects { (outbound, inbound) } else { (inbound, outbound) };
            Some((
                (*from, *to),
                LinkFault {
                    to_target: forwarding(to_target),
                    from_target: forwarding(from_target),
                    refuse_connections: false,
                },
            ))
        });
        let link_faults = link_faults.collect();
        self.active_faults.borrow_mut().insert(fault, link_faults);
        self.apply_faults();
    }

    /// Ends a fault's partition.
    pub fn heal(&self, fault: usize) {
        if self.active_faults.borrow_mut().remove(&fault).is_some() {
            self.apply_faults();
        }
    }

    /// Sets the combined state of all active faults at each relay.
    fn apply_faults(&self) {
        let active_faults = self.active_faults.borrow();
        for (link, relay) in &self.relays {
            let mut state = LinkFault::default();
            for (_, fault) in active_faults.values().flatten().filter(|(faulty, _)| faulty == link) {
                for (flow, other) in
                    [(&mut state.to_target, fault.to_target), (&mut state.from_target, fault.from_target)]
                {
                    if other != Forwarding::Pass {
                        *flow = other;
                    }
                }
            }
            relay.set_fault(state);
        }
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.relays.clear();
        self.routers.clear();
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // The thread ends by itself; if it panicked, its relays are gone all the same.
            let _ = thread.join();
        }
    }
}

/// Address at which a party reaches a replica's relay.
fn relay_address(addresses: Addresses, party: Party, replica: usize) -> SocketAddr {
    match party {
        Party::Node(node) => addresses.replica_for_node(node, replica),
        Party::Replica(other) => addresses.replica_for_replica(other, replica),
    }
}

/// Starts the router at a replica's advertised address.
fn start_router(
    addresses: Addresses,
    replica: usize,
    nodes: usize,
    replicas: usize,
) -> Result<ConnectionRouter, LabError> {
    let is_known = move |party: &Party| match party {
        Party::Node(n) => *n < nodes,
        Party::Replica(r) => *r < replicas && *r != replica,
    };
    let route = move |request: &str| {
        Some(relay_address(addresses, requesting_party(request).filter(is_known)?, replica))
    };
    ConnectionRouter::start(addresses.replica_advertised(replica), route).map_err(listen_error)
}

fn listen_error(error: RelayError) -> LabError {
    LabError::Listen { at: error.address, source: error.source }
}

/// Party that sent a request, by the name in its body: a node's process, or the replica that sends a Raft message.
fn requesting_party(request: &str) -> Option<Party> {
    // A number that is cut off at the end of the received bytes may be incomplete.
    let number = |after: &str| -> Option<usize> {
        let rest = request.split_once(after)?.1;
        rest.split_once(|c: char| !c.is_ascii_digit())?.0.parse().ok()
    };
    // Raft messages are checked first: they may hold entries about nodes' processes after the sender's name.
    if let Some(id) = number("\"from\":{\"cluster\":\"lab\",\"id\":") {
        return id.checked_sub(1).map(Party::Replica);
    }
    number("\"process\":{\"name\":\"n").map(Party::Node)
}

#[cfg(test)]
mod tests {
    use std::cell::Cell;
    use std::future::Future;
    use std::time::Duration;

    use super::*;
    use crate::live::addresses::AddressBlock;
    use relay::ConnectionCounts;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpStream};
    use tokio::sync::watch;

    /// Timeout of every wait, far longer than an event takes even on a busy machine.
    const TEST_TIMEOUT: Duration = Duration::from_secs(20);

    /// Delay between two connect attempts.
    const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(1);

    #[test]
    fn a_request_identifies_its_party_once_its_whole_number_is_received() {
        let head = "POST /v1/session HTTP/1.1\r\nhost: x\r\n\r\n";
        assert_eq!(requesting_party(head), None);
        assert_eq!(requesting_party(&format!("{head}{{\"process\":{{\"name\":\"n1")), None);
        assert_eq!(
            requesting_party(&format!("{head}{{\"process\":{{\"name\":\"n12\",\"boot\":3")),
            Some(Party::Node(12))
        );
        let raft_message =
            |rest: &str| requesting_party(&format!("{{\"from\":{{\"cluster\":\"lab\",\"id\":{rest}"));
        assert_eq!((raft_message("3"), raft_message("3,")), (None, Some(Party::Replica(2))));
        let with_entry = "3,\"disk\":1},\"message\":{\"process\":{\"name\":\"n1\",";
        assert_eq!(
            raft_message(with_entry),
            Some(Party::Replica(2)),
            "a Raft message about a node comes from the replica"
        );
    }

    /// What the links did with a party's request, or with its answer.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    enum Delivery {
        /// It arrived.
        Delivered,
        /// The relay of the party's link held it back.
        Held,
    }
    use Delivery::{Delivered, Held};

    /// Waits for an event that is expected, whichever it is.
    async fn expect<T>(what: &str, event: impl Future<Output = T>) -> T {
        tokio::time::timeout(TEST_TIMEOUT, event).await.unwrap_or_else(|_| panic!("{what} did not come"))
    }

    /// Waits until the relay has held back something more than `before` in one direction.
    async fn held(
        counts: &watch::Receiver<ConnectionCounts>,
        before: ConnectionCounts,
        direction: fn(&ConnectionCounts) -> u64,
    ) {
        let more = |counts: &ConnectionCounts| direction(counts) > direction(&before);
        counts.clone().wait_for(more).await.expect("the relay has ended");
    }

    /// Accepts the connection that carries this request, and reads the request. A request of an earlier connection,
    /// which a partition has held until now, is passed over.
    async fn accept_request(listener: &TcpListener, request: &str) -> TcpStream {
        loop {
            let (mut server, _) = listener.accept().await.expect("accept failed");
            let mut received = vec![0; request.len()];
            if server.read_exact(&mut received).await.is_ok() && received == request.as_bytes() {
                return server;
            }
        }
    }

    /// Opens a connection. A relay may not listen yet.
    async fn connect(to: SocketAddr) -> TcpStream {
        let connection = async {
            loop {
                match TcpStream::connect(to).await {
                    Ok(client) => return client,
                    Err(_) => tokio::time::sleep(CONNECT_RETRY_DELAY).await,
                }
            }
        };
        expect("a connection", connection).await
    }

    /// Reads one byte, unless the relay holds back something more than `before` in that direction.
    async fn receive(
        stream: &mut TcpStream,
        counts: &watch::Receiver<ConnectionCounts>,
        before: ConnectionCounts,
        direction: fn(&ConnectionCounts) -> u64,
    ) -> Delivery {
        let arrival = async {
            tokio::select! {
                read = stream.read_u8() => {
                    read.expect("the connection has ended");
                    Delivered
                }
                () = held(counts, before, direction) => Held,
            }
        };
        expect("a byte or its hold", arrival).await
    }

    /// Sends a party's request to an address of a replica; tells what became of it and of the answer, and returns both
    /// ends of the connection, if it was opened. Each outcome is an event, so that no wait has to be long enough on a
    /// busy machine.
    async fn deliver(
        links: &Links,
        addresses: Addresses,
        to: SocketAddr,
        party: Party,
        request: &str,
    ) -> ((Delivery, Delivery), Option<(TcpStream, TcpStream)>) {
        let listener = TcpListener::bind(addresses.replica(0)).await.expect("free");
        let counts = links.relays[&(party, 0)].connection_counts();
        let before = *counts.borrow();
        let mut client = connect(to).await;
        client.write_all(request.as_bytes()).await.expect("the write succeeds");
        let arrival = async {
            tokio::select! {
                server = accept_request(&listener, request) => Some(server),
                () = held(&counts, before, |counts| counts.held_to_target) => None,
            }
        };
        let Some(mut server) = expect("the request or its hold", arrival).await else {
            return ((Held, Held), None);
        };
        server.write_all(b"x").await.expect("the write succeeds");
        let answer = receive(&mut client, &counts, before, |counts| counts.held_from_target).await;
        ((Delivered, answer), Some((client, server)))
    }

    /// Sends a byte each way on an open connection; tells what became of each.
    async fn exchange(
        links: &Links,
        party: Party,
        ends: &mut (TcpStream, TcpStream),
    ) -> (Delivery, Delivery) {
        let (client, server) = ends;
        let counts = links.relays[&(party, 0)].connection_counts();
        let before = *counts.borrow();
        client.write_all(b"x").await.expect("the write succeeds");
        let to_target = receive(server, &counts, before, |counts| counts.held_to_target).await;
        server.write_all(b"x").await.expect("the write succeeds");
        (to_target, receive(client, &counts, before, |counts| counts.held_from_target).await)
    }

    #[tokio::test]
    async fn a_partition_affects_only_its_parties_also_over_the_advertised_address() {
        let block = AddressBlock::claim().expect("a block");
        let addresses = block.addresses();
        let links = Links::new(addresses, 2, 2).expect("they start");
        let group = addresses.replica_advertised(0);
        let (replica_1, [node_0, node_1]) = (Party::Replica(1), [0, 1].map(Party::Node));
        let request = |party: Party, number: usize| match party {
            Party::Node(node) => format!("{{\"process\":{{\"name\":\"n{node}\",\"boot\":{number}}}}}"),
            Party::Replica(replica) => {
                format!("{{\"from\":{{\"cluster\":\"lab\",\"id\":{},\"disk\":{number}}}}}", replica + 1)
            }
        };
        let number = Cell::new(0);
        let deliver = |to: SocketAddr, party: Party| {
            number.set(number.get() + 1);
            let request = request(party, number.get());
            let links = &links;
            async move { deliver(links, addresses, to, party, &request).await }
        };
        let own = addresses.replica_for_node(1, 0);
        for (to, party) in [(group, node_1), (group, replica_1)] {
            assert_eq!(deliver(to, party).await.0, (Delivered, Delivered), "{party:?}");
        }
        let (outcome, open) = deliver(own, node_1).await;
        assert_eq!(outcome, (Delivered, Delivered));
        let mut open = open.expect("a delivered request has a connection");
        links.partition(7, &[node_1], None);
        assert_eq!(
            exchange(&links, node_1, &mut open).await,
            (Held, Held),
            "an open connection is held, too"
        );
        assert_eq!(deliver(own, node_1).await.0, (Held, Held));
        assert_eq!(deliver(group, node_1).await.0, (Held, Held));
        assert_eq!(deliver(group, node_0).await.0, (Delivered, Delivered));
        links.partition(8, &[Party::Replica(0)], Some(Direction::Out));
        links.heal(7);
        assert_eq!(deliver(own, node_1).await.0, (Delivered, Held), "no traffic out of the replica");
        assert_eq!(deliver(group, replica_1).await.0, (Delivered, Held));
        links.heal(8);
        assert_eq!(deliver(group, replica_1).await.0, (Delivered, Delivered));
        // What was held arrives, and what is sent after it.
        assert_eq!(exchange(&links, node_1, &mut open).await, (Delivered, Delivered));
        assert_eq!(exchange(&links, node_1, &mut open).await, (Delivered, Delivered));
    }
}
