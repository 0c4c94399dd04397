//! What the node decides, done on sockets.

use std::rc::Rc;

use tokio::task::{spawn_local, AbortHandle};
use tulipmount::{Discovery, ServerId};

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

    fn follow(&self, node: Rc<Node>) -> AbortHandle {
        let call = match node.config.told.settings.discovery {
            Discovery::Pushed => spawn_local(discovery::keep(node)),
            Discovery::Asked => spawn_local(discovery::follow(node)),
        };
        call.abort_handle()
    }
}
