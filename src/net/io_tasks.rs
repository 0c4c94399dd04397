//! Runs the I/O that the node decides on, as tasks on the local runtime.

use std::rc::Rc;

use endpoints::CallId;
use tokio::task::{spawn_local, AbortHandle};
use tulipmount::ServerId;

use super::node::{Node, NodeIo};
use super::request::{AttemptTarget, ForwardedRequest};
use super::{discovery, servers};

/// Spawns a task for each operation; aborting the task closes its connection.
pub struct IoTasks;

impl NodeIo for IoTasks {
    fn start_attempt(
        &self,
        node: Rc<Node>,
        target: AttemptTarget,
        request: Rc<ForwardedRequest>,
    ) -> AbortHandle {
        spawn_local(servers::attempt(node, target, request)).abort_handle()
    }

    fn start_probe(&self, node: Rc<Node>, server: ServerId) {
        spawn_local(servers::probe(node, server));
    }

    fn start_discovery_call(&self, node: Rc<Node>, id: CallId, path: String) -> AbortHandle {
        spawn_local(discovery::call(node, id, path)).abort_handle()
    }
}
