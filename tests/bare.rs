//! A node without a control group, alone in its test process: what it opens can be counted.

mod peers;

use peers::*;

/// No more than before there were control groups: standard error, three descriptors of the runtime's, three for
/// signals, two listeners, one watch; a thread that serves and one that writes the log.
#[test]
fn without_a_control_group_nothing_more_is_opened() {
    let registry = Registry::new(&[host("s0", TestServer::ok("s0").address, "active", 1)]);
    let node = Node::start_ready(&config_with_admin(&registry));
    wait_until("it watches the list", || registry.watches_started() == 1);
    wait_until("no more is open", || node.opened_descriptors() == 10);
    assert_eq!(node.threads(), 2);
    let heard = Client::connect(&node).exchange(&request("look", "t1", 10_000));
    assert_eq!((heard.status(), heard.header("x-policy-epoch")), (200, None));
    assert!(!node.admin_call("GET /metrics").1.contains("policy"));
}
