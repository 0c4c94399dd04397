//! Classes, tenants and limits of the settings: any name is accepted, each has a share and a retry budget of its own,
//! and unusable settings end the start.

mod peers;

use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use peers::*;
use serde_json::{json, Value};

/// A configuration with an admin address and classes of these names, all safe to repeat.
fn with_classes(registry: &Registry, names: &[&str]) -> Value {
    let mut config = config_with_admin(registry);
    let class = config["settings"]["Classes"][0].clone();
    let named = names.iter().map(|name| {
        let mut class = class.clone();
        class["Name"] = json!(name);
        class
    });
    config["settings"]["Classes"] = named.collect();
    config
}

/// A request for this path, with further headers.
fn get(path: &str, txn: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}\r\nX-Remaining-Ms: 60000\r\n{headers}\r\n")
}

/// Number of requests of a class that were served.
fn served(node: &Node, class: &str) -> u64 {
    metric(node, &format!("replies.{class}.success"))
}

/// Requests of a class with a space or a letter beyond ASCII in its name used to get a 404, as clients percent-encode
/// such names.
#[test]
fn class_names_are_matched_percent_decoded() {
    let server = TestServer::ok("served");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let names = ["tide table", "señal", "look", "lookout", "50%/2", "50", "5%30", "a.b+c", "ready"];
    let node = Node::start_ready(&with_classes(&registry, &names));
    let paths = [
        ("tide table", "/tide%20table"),
        ("tide table", "/tide%20table/7?q=a%20b"),
        ("señal", "/se%C3%B1al/7"),
        ("señal", "/se%c3%b1al?q=1"),
        ("señal", "/señal/7"),
        ("look", "/look/out"),
        ("look", "/%6Cook"),
        ("lookout", "/lookout/7"),
        ("50%/2", "/50%25%2F2/7"),
        ("a.b+c", "/a.b+c"),
        // The name as written takes precedence over the decoded one.
        ("5%30", "/5%30/7"),
        // The path of the node's own readiness check, which has no `X-Txn`.
        ("ready", "/ready"),
        ("ready", "/ready/7"),
    ];
    let mut client = Client::connect(&node);
    for (n, (class, path)) in paths.iter().enumerate() {
        let before = served(&node, class);
        let response = client.exchange(&get(path, &format!("t{n}"), ""));
        assert_eq!((response.status(), response.body), (200, b"served".to_vec()), "{path}");
        assert_eq!(served(&node, class), before + 1, "{path}");
    }
    let seen: Vec<String> = server.requests().iter().map(|m| m.path().to_string()).collect();
    assert_eq!(seen, paths.map(|(_, path)| path.to_string()), "paths are passed on unchanged");
    for path in
        ["/tide+table", "/tide%2520table", "/loo", "/lookou", "/look%00", "/%FF", "/se%F1al", "/", "/Look"]
    {
        assert_eq!(client.exchange(&get(path, "none", "")).status(), 404, "{path}");
    }
    assert_eq!(client.exchange("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
    assert_eq!(server.requests().len(), paths.len());
}

/// Requests beyond a tenant's share are sent after all others. A tenant with letters beyond ASCII in its name used to
/// have no share.
#[test]
fn requests_beyond_a_tenants_share_are_sent_after_those_within_one() {
    let permits = Arc::new(AtomicUsize::new(0));
    let issued = permits.clone();
    // An error in a class that is unsafe to repeat ends the attempt and tells nothing about the server's speed.
    let server = TestServer::new(move |_| {
        let take = |n: usize| n.checked_sub(1);
        wait_until("a permit is issued", || {
            issued.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_ok()
        });
        Reply::Send(http_response(500, "", ""))
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config_with_admin(&registry);
    let settings = &mut config["settings"];
    (settings["Classes"][2]["Slo"], settings["Classes"][2]["Deadline"]) = (json!(600_000), json!(600_000));
    // One request is within each tenant's share, and none more for a quarter of an hour.
    settings["Customers"] =
        ["école", "east", "east side"].iter().map(|t| json!({"Name": t, "QuotaPerS": 0.001})).collect();
    (settings["OverShareWorth"], settings["Ejection"]) = (json!(0.1), json!({"Failures": 100}));
    let node = Node::start_ready(&config);
    let send_request = |txn: &str, tenant: &str| {
        let (mut client, before) = (Client::connect(&node), metric(&node, "concurrent"));
        let org = format!("Host: x\r\nX-Org: {tenant}");
        client.send(&request("slip", txn, 600_000).replace("Host: service.internal", &org));
        wait_until("the request is accepted", || metric(&node, "concurrent") == before + 1);
        client
    };
    // Requests of no tenant fill the server up to its initial concurrency limit.
    let fillers: Vec<Client> = (0..8).map(|n| send_request(&format!("full{n}"), "nobody")).collect();
    wait_until("the server is full", || server.requests().len() == fillers.len());
    let held = [("east1", "east"), ("a1", "école"), ("a2", "école"), ("a3", "école"), ("side1", "east side")];
    let held = held.map(|(txn, tenant)| send_request(txn, tenant));
    for sent in 1..=held.len() {
        permits.fetch_add(1, Ordering::SeqCst);
        wait_until("a held request is sent", || server.requests().len() == fillers.len() + sent);
    }
    // Among requests of equal worth the newest is sent first.
    let order: Vec<_> = server
        .requests()
        .iter()
        .skip(fillers.len())
        .filter_map(|m| Some(m.header("x-txn")?.to_string()))
        .collect();
    assert_eq!(order, ["side1", "a1", "east1", "a3", "a2"]);
}

/// After SIGHUP classes, limits and names are still those of the start.
#[test]
fn sighup_changes_the_discovery_address_and_nothing_else() {
    let (a, b) = (TestServer::ok("a"), TestServer::ok("b"));
    let old = Registry::new(&[host("s0", a.address, "active", 1)]);
    let new = Registry::new(&[host("s1", b.address, "active", 1)]);
    let node = Node::start_ready(&with_classes(&old, &["look", "two words"]));
    let mut client = Client::connect(&node);
    let mut send_request = |path: &str| client.exchange(&get(path, "t", ""));
    assert_eq!(send_request("/look").body, b"a");
    let mut changed = with_classes(&new, &["pay", "look"]);
    changed["name"] = json!("other");
    changed["settings"]["Classes"][1]["Idempotency"] = json!("side_effect");
    changed["settings"]["Limits"]["OpenCap"] = json!(0);
    node.reload(&changed.to_string());
    wait_until("discovery has moved", || send_request("/two%20words").body == b"b");
    assert_eq!((send_request("/look").status(), send_request("/pay").status()), (200, 404));
    assert!(served(&node, "two words") >= 1 && served(&node, "look") == 2);
    assert!(!node.admin_call("GET /metrics").1.contains("replies.pay"));
}

/// The program ends with one line that names the field as the file does and says what to do.
#[test]
fn unusable_settings_end_the_start_and_are_named_as_in_the_file() {
    // The address is in use, so that a configuration that is accepted in error ends the start, too, without a timeout.
    let in_use = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let mut valid = config("127.0.0.1:1".parse().expect("not an address"));
    valid["listen"] = json!(in_use.local_addr().expect("the local address is unknown").to_string());
    valid["settings"]["Customers"] =
        json!([{"Name": "east", "QuotaPerS": 0}, {"Name": "west", "QuotaPerS": 5.5}]);
    valid["settings"]["Goal"] = json!({});
    let number = || json!(["NaN", "1", true, [1], {}, -1, -1e300]);
    let (positive, share) = (json!([0, -0.0, 1e300]), json!([1.01, 1e300]));
    let (whole, text) = (json!([0, 0.5, "0"]), json!(["", 7, true, "all "]));
    let huge = json!([1e300, 1_000_000_000_001u64]);
    #[rustfmt::skip]
    let cases = [
        ("", "", vec![json!(["", 7, [], true])]),
        ("Classes", "", vec![json!([[], {}, "look"])]),
        ("Classes", "/0", vec![json!(["look", 7, []])]),
        ("Classes", "/1/Name", vec![json!(["", "look", "a\nb", "\u{7f}", 7, [], null])]),
        ("Classes", "/1/Idempotency", vec![text.clone(), json!([null, "safe", "Pure"])]),
        ("Classes", "/1/DedupScope", vec![text.clone()]),
        ("Classes", "/1/MemorySpan", vec![number(), huge.clone()]),
        ("Classes", "/2/Slo", vec![number(), positive.clone(), json!([null])]),
        ("Classes", "/2/Deadline", vec![number(), positive]),
        ("Classes", "/2/Value", vec![number()]),
        ("Classes", "/2/LateValue", vec![number(), share.clone()]),
        ("Customers", "", vec![json!(["east", {}, 7])]),
        ("Customers", "/1/Name", vec![json!(["", "east", "\t", null])]),
        ("Customers", "/1/QuotaPerS", vec![number(), json!([null])]),
        ("Limits", "", vec![json!([null, [], "none"])]),
        ("Limits", "/AttemptsCap", vec![number(), whole.clone(), json!([null])]),
        ("Limits", "/ConnectTimeout", vec![number(), huge.clone(), json!([null])]),
        ("Limits", "/MaxRetryAfter", vec![number(), huge.clone()]),
        ("Limits", "/Keepalive", vec![number(), huge.clone()]),
        ("Limits", "/OpenCap", vec![number(), whole.clone()]),
        ("Limits", "/Cancel", vec![json!([0, "yes"])]),
        ("Contract", "", vec![json!([null, 7])]),
        ("Contract", "/ColdShare", vec![number(), share.clone(), json!([null])]),
        ("Contract", "/WarmWithin", vec![number(), huge.clone(), json!([null])]),
        ("Contract", "/FallMultiple", vec![number(), json!([null])]),
        ("Contract", "/Fall", vec![number(), huge, json!([null])]),
        ("Goal", "/WorstTenant", vec![number()]),
        ("OverShareWorth", "", vec![number(), share]),
        ("Tick", "", vec![number()]),
        ("Discovery", "", vec![text.clone()]),
        ("Weights", "", vec![text]),
        ("Me", "", vec![number(), json!([null, 1, 0.5])]),
        ("PeersTotal", "", vec![number(), whole, json!([null, 1e18, 100_001])]),
        ("ServerWeights", "/s1", vec![number(), json!([0, 101])]),
        ("ServerBans", "", vec![json!(["s1", {}])]),
    ];
    let run_with = |settings: Value| {
        let mut config = valid.clone();
        config["settings"] = settings;
        run_to_exit(&config, &[])
    };
    let (code, errors) = run_with(valid["settings"].clone());
    assert!(code == Some(1) && errors.contains("listen: "), "valid settings: {errors}");
    let mut checked = 0;
    for (part, rest, bad_values) in cases {
        let mut field = String::new();
        for step in [part].into_iter().chain(rest.split('/')).filter(|step| !step.is_empty()) {
            let index = step.parse::<usize>().is_ok();
            let dot = if index || field.is_empty() { "" } else { "." };
            field += &if index { format!("[{step}]") } else { format!("{dot}{step}") };
        }
        for bad in bad_values.iter().filter_map(Value::as_array).flatten() {
            let mut settings = valid["settings"].clone();
            let mut value = &mut settings;
            for step in [part].into_iter().chain(rest.split('/')).filter(|step| !step.is_empty()) {
                value = match step.parse::<usize>() {
                    Ok(index) => &mut value[index],
                    Err(_) => &mut value[step],
                };
            }
            *value = bad.clone();
            let (code, errors) = run_with(settings);
            let named = errors.starts_with(&format!("glenwood: settings: {field}"));
            assert!(
                code == Some(1) && named && errors.contains("; correct it under"),
                "{field} {bad}: {code:?} {errors}"
            );
            assert_eq!(errors.trim().lines().count(), 1, "{errors}");
            checked += 1;
        }
    }
    assert!(checked > 100, "{checked}");
}

/// A class that has used up its retry budget leaves the budget of another as it is.
#[test]
fn retry_budgets_are_separate_for_each_class() {
    let server = || TestServer::new(|_| Reply::Send(http_response(500, "", "")));
    let servers = [server(), server()];
    let registry = Registry::new(&[0, 1].map(|n| host(&format!("s{n}"), servers[n].address, "active", 1)));
    let mut config = with_classes(&registry, &["look", "look too"]);
    config["settings"]["Retry"] = json!({"BudgetShare": 0, "BudgetMax": 1});
    config["settings"]["Ejection"] = json!({"Failures": 100});
    let node = Node::start_ready(&config);
    let mut attempts = |path: &str| {
        let before = metric(&node, "dispatches");
        assert_eq!(Client::connect(&node).exchange(&get(path, path, "")).status(), 503);
        metric(&node, "dispatches") - before
    };
    assert_eq!(["/look/1", "/look/2", "/look%20too/1", "/look%20too/2"].map(&mut attempts), [2, 1, 2, 1]);
}
