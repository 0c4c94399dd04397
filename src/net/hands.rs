//! What the node decides, done on sockets.

use std::rc::Rc;

use endpoints::CallId;
use tokio::task::{spawn_local, AbortHandle};
use tulipmount::ServerId;

use super::node::{Hands, Node};
use super::request::{Asked, To};
use super::{discovery, servers};

/// A task for each thing that is begun; ending the task closes its connection.
pub struct Tasks;

impl Hands for Tasks {
    fn attempt(&self, node: Rc<Node>, to: To, asked: Rc<Asked>) -> AbortHandle {
        spawn_local(servers::attempt(node, to, asked)).abort_handle()
    }

    fn probe(&self, node: Rc<Node>, server: ServerId) {
        spawn_local(servers::probe(node, server));
    }

    fn call(&self, node: Rc<Node>, id: CallId, path: String) -> AbortHandle {
        spawn_local(discovery::call(node, id, path)).abort_handle()
    }
}
