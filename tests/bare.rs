//! A node without a control group, alone in its test process: what it opens can be counted.

mod peers;

use peers::*;

/// No more than before there were control groups: standard error, three descriptors of the runtime's, three for
/// signals, two listeners, one watch; a thread that serves and one that writes the log.
#[test]
fn without_a_control_group_nothing_more_is_opened() {
    let registry = Registry::new(&[host("s0", Peer::good("s0").address, "active", 1)]);
    let node = Node::ready(&operated(&registry));
    until("it watches the list", || registry.watches() == 1);
    until("no more is open", || node.opened() == 10);
    assert_eq!(node.threads(), 2);
    let heard = Client::to(&node).ask(&request("look", "t1", 10_000));
    assert_eq!((heard.status(), heard.header("x-policy-epoch")), (200, None));
    assert!(!node.call("GET /metrics").1.contains("policy"));
}
