//! A node without a control group. This is the only test of its process, so that what the node opens can be counted.

mod peers;

use peers::*;

/// A node that follows no control group opens ten descriptors: standard error, three of the runtime, three for signals,
/// two listeners and one watch. It has two threads: one serves, the other writes the log.
#[test]
fn without_a_control_group_no_further_descriptor_or_thread_is_opened() {
    let registry = Registry::new(&[host("s0", TestServer::ok("s0").address, "active", 1)]);
    let node = Node::start_ready(&config_with_admin(&registry));
    wait_until("it watches the list", || registry.watches_started() == 1);
    wait_until("ten descriptors are open", || node.opened_descriptors() == 10);
    assert_eq!(node.threads(), 2);
    let response = Client::connect(&node).exchange(&request("look", "t1", 10_000));
    assert_eq!((response.status(), response.header("x-policy-epoch")), (200, None));
    assert!(!node.admin_call("GET /metrics").1.contains("policy"));
}
