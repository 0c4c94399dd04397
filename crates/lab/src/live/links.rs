//! The links of the control group: a relay on each one from a node to a replica, and from a replica to another, so that
//! faults can cut it, both ways or one.
//!
//! A group's replicas all have to be told the same address of each, which they also tell nodes that look for the
//! leader. So a front listens there, which reads from the first request who has connected, and passes the connection on
//! to that party's relay. All of it runs on a thread of its own, so that the lab's own lateness tells of the lab alone.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread::JoinHandle;

use relay::{ConnectionRouter, Forwarding, LinkFault, Relay, RelayError};
use tokio::sync::oneshot;

use super::address::Addresses;
use super::LabError;
use crate::plan::Way;

/// Who is at a link's end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Party {
    /// A node.
    Node(usize),
    /// A replica, by place.
    Replica(usize),
}

/// A link, by who connects and to which replica.
type Link = (Party, usize);

/// All links of a group.
pub struct Links {
    relays: BTreeMap<Link, Relay>,
    fronts: Vec<ConnectionRouter>,
    /// What each fault does to which relay.
    cuts: RefCell<BTreeMap<usize, Vec<(Link, LinkFault)>>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Links {
    /// The links between so many nodes and replicas.
    ///
    /// # Errors
    /// Where an address can't be listened at, or there is no thread.
    pub fn new(addresses: Addresses, nodes: usize, replicas: usize) -> Result<Self, LabError> {
        let io = |source| LabError::Io { what: "links of the control group".into(), source };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(io)?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel();
        let work = move || drop(runtime.block_on(stopped));
        let thread = std::thread::Builder::new().name("links".into()).spawn(work).map_err(io)?;
        // From here on whatever is dropped ends the thread.
        let mut links = Self {
            relays: BTreeMap::new(),
            fronts: Vec::new(),
            cuts: RefCell::default(),
            stop: Some(stop),
            thread: Some(thread),
        };
        let parties = (0..nodes).map(Party::Node).chain((0..replicas).map(Party::Replica));
        let _within = handle.enter();
        for (party, replica) in parties.flat_map(|p| (0..replicas).map(move |r| (p, r))) {
            if party == Party::Replica(replica) {
                continue;
            }
            let relay =
                Relay::start_on(at(addresses, party, replica), addresses.replica(replica)).map_err(listen)?;
            links.relays.insert((party, replica), relay);
        }
        for replica in 0..replicas {
            links.fronts.push(front(addresses, replica, nodes, replicas)?);
        }
        Ok(links)
    }

    /// Nothing passes between these parties and all replicas but themselves, both ways or the one that is named.
    pub fn cut(&self, fault: usize, parties: &[Party], way: Option<Way>) {
        let flow = |cut: bool| if cut { Forwarding::Block } else { Forwarding::Pass };
        let cut = self.relays.keys().filter_map(|(from, to)| {
            let asks = parties.contains(from);
            if !asks && !parties.contains(&Party::Replica(*to)) {
                return None;
            }
            // What goes out of the party is the way there where it asks, and the way back where it is asked.
            let (out, into) = (way != Some(Way::In), way != Some(Way::Out));
            let (there, back) = if asks { (out, into) } else { (into, out) };
            Some((
                (*from, *to),
                LinkFault { to_target: flow(there), from_target: flow(back), refuse_connections: false },
            ))
        });
        let cut = cut.collect();
        self.cuts.borrow_mut().insert(fault, cut);
        self.settle();
    }

    /// A fault's cuts are over.
    pub fn mend(&self, fault: usize) {
        if self.cuts.borrow_mut().remove(&fault).is_some() {
            self.settle();
        }
    }

    fn settle(&self) {
        let cuts = self.cuts.borrow();
        for (link, relay) in &self.relays {
            let mut state = LinkFault::default();
            for (_, fault) in cuts.values().flatten().filter(|(cut, _)| cut == link) {
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
        self.fronts.clear();
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // It ends by itself; had it panicked, its relays are gone all the same.
            let _ = thread.join();
        }
    }
}

/// Where a party reaches a replica by a relay.
fn at(addresses: Addresses, party: Party, replica: usize) -> SocketAddr {
    match party {
        Party::Node(node) => addresses.replica_for_node(node, replica),
        Party::Replica(other) => addresses.replica_for_replica(other, replica),
    }
}

/// Listens at a replica's address for whoever has it from another replica.
fn front(
    addresses: Addresses,
    replica: usize,
    nodes: usize,
    replicas: usize,
) -> Result<ConnectionRouter, LabError> {
    let there = move |party: &Party| match party {
        Party::Node(n) => *n < nodes,
        Party::Replica(r) => *r < replicas && *r != replica,
    };
    let route = move |request: &str| Some(at(addresses, party(request).filter(there)?, replica));
    ConnectionRouter::start(addresses.replica_of_group(replica), route).map_err(listen)
}

fn listen(error: RelayError) -> LabError {
    LabError::Listen { at: error.address, source: error.source }
}

/// Who a request is from, by the name in its body: a node's process, or the replica that sends a letter.
fn party(request: &str) -> Option<Party> {
    // A number that is cut off by the end of what has come may be another one.
    let number = |after: &str| -> Option<usize> {
        let rest = request.split_once(after)?.1;
        rest.split_once(|c: char| !c.is_ascii_digit())?.0.parse().ok()
    };
    // A letter first: it may hold entries about nodes' processes, after the sender's name.
    if let Some(id) = number("\"from\":{\"cluster\":\"lab\",\"id\":") {
        return id.checked_sub(1).map(Party::Replica);
    }
    number("\"process\":{\"name\":\"n").map(Party::Node)
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;
    use crate::live::address::Block;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpStream};

    /// Between two tries.
    const LOOK: Duration = Duration::from_millis(1);

    #[test]
    fn a_request_tells_who_it_is_from_once_the_whole_number_is_there() {
        let head = "POST /v1/session HTTP/1.1\r\nhost: x\r\n\r\n";
        assert_eq!(party(head), None);
        assert_eq!(party(&format!("{head}{{\"process\":{{\"name\":\"n1")), None);
        assert_eq!(
            party(&format!("{head}{{\"process\":{{\"name\":\"n12\",\"boot\":3")),
            Some(Party::Node(12))
        );
        let letter = |rest: &str| party(&format!("{{\"from\":{{\"cluster\":\"lab\",\"id\":{rest}"));
        assert_eq!((letter("3"), letter("3,")), (None, Some(Party::Replica(2))));
        let joins = "3,\"disk\":1},\"message\":{\"process\":{\"name\":\"n1\",";
        assert_eq!(letter(joins), Some(Party::Replica(2)), "a letter about a node is the replica's");
    }

    /// Does what is written to a replica by a party reach it, and its answer that party?
    async fn passes(addresses: Addresses, to: SocketAddr, replica: usize, words: &str) -> (bool, bool) {
        let listener = TcpListener::bind(addresses.replica(replica)).await.expect("free");
        // A relay may be about to listen.
        let mut client = loop {
            match TcpStream::connect(to).await {
                Ok(client) => break client,
                Err(_) => tokio::time::sleep(LOOK).await,
            }
        };
        client.write_all(words.as_bytes()).await.expect("it is taken");
        let soon = Duration::from_millis(300);
        let Ok(Ok((mut server, _))) = tokio::time::timeout(soon, listener.accept()).await else {
            return (false, false);
        };
        let mut byte = [0; 1];
        let there = matches!(tokio::time::timeout(soon, server.read(&mut byte)).await, Ok(Ok(1)));
        server.write_all(b"x").await.expect("it is taken");
        let back = matches!(tokio::time::timeout(soon, client.read(&mut byte)).await, Ok(Ok(1)));
        (there, back)
    }

    #[tokio::test]
    async fn a_cut_holds_for_the_parties_that_are_named_also_where_they_come_by_the_groups_address() {
        let block = Block::claim().expect("a block");
        let addresses = block.addresses();
        let links = Links::new(addresses, 2, 2).expect("they start");
        let beat = |node: usize| format!("{{\"process\":{{\"name\":\"n{node}\",\"boot\":1}}}}");
        let letter = "{\"from\":{\"cluster\":\"lab\",\"id\":2,\"disk\":1}}";
        let own = |node| addresses.replica_for_node(node, 0);
        let group = addresses.replica_of_group(0);
        for (to, words) in [(own(1), &beat(1)), (group, &beat(1)), (group, &letter.to_string())] {
            assert_eq!(passes(addresses, to, 0, words).await, (true, true), "{words}");
        }
        links.cut(7, &[Party::Node(1)], None);
        assert_eq!(passes(addresses, own(1), 0, &beat(1)).await, (false, false));
        assert_eq!(passes(addresses, group, 0, &beat(1)).await, (false, false));
        assert_eq!(passes(addresses, group, 0, &beat(0)).await, (true, true));
        links.cut(8, &[Party::Replica(0)], Some(Way::Out));
        links.mend(7);
        assert_eq!(passes(addresses, own(1), 0, &beat(1)).await, (true, false), "nothing out of the replica");
        assert_eq!(passes(addresses, group, 0, letter).await, (true, false));
        links.mend(8);
        assert_eq!(passes(addresses, group, 0, letter).await, (true, true));
    }
}
