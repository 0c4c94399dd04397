//! What the settings name (classes, tenants, limits) holds for whatever they name, and is kept apart; settings that
//! can't be used end the start.

mod peers;

use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use peers::*;
use serde_json::{json, Value};

/// A configuration with a second address, whose classes are all safe to repeat.
fn with_classes(registry: &Registry, names: &[&str]) -> Value {
    let mut config = operated(registry);
    let class = config["settings"]["Classes"][0].clone();
    let named = names.iter().map(|name| {
        let mut class = class.clone();
        class["Name"] = json!(name);
        class
    });
    config["settings"]["Classes"] = named.collect();
    config
}

/// A request for that path, with more headers.
fn get(path: &str, txn: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}\r\nX-Remaining-Ms: 60000\r\n{headers}\r\n")
}

fn served(node: &Node, class: &str) -> u64 {
    figure(node, &format!("replies.{class}.success"))
}

/// A name with a space or a letter beyond ASCII was answered 404: what a path can't hold comes percent-encoded.
#[test]
fn a_class_has_whatever_name_the_settings_give_it() {
    let server = Peer::good("served");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let names = ["tide table", "señal", "look", "lookout", "50%/2", "50", "5%30", "a.b+c", "ready"];
    let node = Node::ready(&with_classes(&registry, &names));
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
        // As it is, before what it would be decoded.
        ("5%30", "/5%30/7"),
        // The node's own path, but for requests, which bring an id.
        ("ready", "/ready"),
        ("ready", "/ready/7"),
    ];
    let mut client = Client::to(&node);
    for (n, (class, path)) in paths.iter().enumerate() {
        let before = served(&node, class);
        let heard = client.ask(&get(path, &format!("t{n}"), ""));
        assert_eq!((heard.status(), heard.body), (200, b"served".to_vec()), "{path}");
        assert_eq!(served(&node, class), before + 1, "{path}");
    }
    let seen: Vec<String> = server.seen().iter().map(|m| m.path().to_string()).collect();
    assert_eq!(seen, paths.map(|(_, path)| path.to_string()), "they pass on unchanged");
    for path in
        ["/tide+table", "/tide%2520table", "/loo", "/lookou", "/look%00", "/%FF", "/se%F1al", "/", "/Look"]
    {
        assert_eq!(client.ask(&get(path, "none", "")).status(), 404, "{path}");
    }
    assert_eq!(client.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
    assert_eq!(server.seen().len(), paths.len());
}

/// What a tenant sends beyond its share goes after all else. One whose name has letters beyond ASCII had no share.
#[test]
fn a_tenant_that_used_up_its_share_costs_no_other_its_own() {
    let permits = Arc::new(AtomicUsize::new(0));
    let given = permits.clone();
    // Errors of a class that is unsafe to repeat free their places and teach the node nothing of its server's pace.
    let server = Peer::new(move |_| {
        let take = |n: usize| n.checked_sub(1);
        until("a permit", || given.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take).is_ok());
        Say::This(answer(500, "", ""))
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = operated(&registry);
    let settings = &mut config["settings"];
    (settings["Classes"][2]["Slo"], settings["Classes"][2]["Deadline"]) = (json!(600_000), json!(600_000));
    // One request each, and then none for a quarter of an hour.
    settings["Customers"] =
        ["école", "east", "east side"].iter().map(|t| json!({"Name": t, "QuotaPerS": 0.001})).collect();
    (settings["OverShareWorth"], settings["Ejection"]) = (json!(0.1), json!({"Failures": 100}));
    let node = Node::ready(&config);
    let ask = |txn: &str, tenant: &str| {
        let (mut client, before) = (Client::to(&node), figure(&node, "concurrent"));
        let org = format!("Host: x\r\nX-Org: {tenant}");
        client.send(&request("slip", txn, 600_000).replace("Host: service.internal", &org));
        until("it has come", || figure(&node, "concurrent") == before + 1);
        client
    };
    // Who belongs to no tenant fills the server, up to the limit that the node gives it at first.
    let full: Vec<Client> = (0..8).map(|n| ask(&format!("full{n}"), "nobody")).collect();
    until("the server is full", || server.seen().len() == full.len());
    let held = [("east1", "east"), ("a1", "école"), ("a2", "école"), ("a3", "école"), ("side1", "east side")];
    let held = held.map(|(txn, tenant)| ask(txn, tenant));
    for sent in 1..=held.len() {
        permits.fetch_add(1, Ordering::SeqCst);
        until("the place is taken", || server.seen().len() == full.len() + sent);
    }
    // Of those worth as much, the newest goes first.
    let order: Vec<_> =
        server.seen().iter().skip(full.len()).filter_map(|m| Some(m.header("x-txn")?.to_string())).collect();
    assert_eq!(order, ["side1", "a1", "east1", "a3", "a2"]);
}

/// SIGHUP moves discovery and nothing else: classes, limits and names are those of the start.
#[test]
fn a_new_file_moves_discovery_alone() {
    let (a, b) = (Peer::good("a"), Peer::good("b"));
    let old = Registry::new(&[host("s0", a.address, "active", 1)]);
    let new = Registry::new(&[host("s1", b.address, "active", 1)]);
    let node = Node::ready(&with_classes(&old, &["look", "two words"]));
    let mut client = Client::to(&node);
    let mut ask = |path: &str| client.ask(&get(path, "t", ""));
    assert_eq!(ask("/look").body, b"a");
    let mut other = with_classes(&new, &["pay", "look"]);
    other["name"] = json!("other");
    other["settings"]["Classes"][1]["Idempotency"] = json!("side_effect");
    other["settings"]["Limits"]["OpenCap"] = json!(0);
    node.reload(&other.to_string());
    until("discovery is there", || ask("/two%20words").body == b"b");
    assert_eq!((ask("/look").status(), ask("/pay").status()), (200, 404));
    assert!(served(&node, "two words") >= 1 && served(&node, "look") == 2);
    assert!(!node.call("GET /metrics").1.contains("replies.pay"));
}

/// Each field of the settings that can't be used ends the start: one line that names it as the file does, and what to do.
#[test]
fn settings_that_can_not_be_used_are_named_as_in_the_file() {
    // A configuration that is taken nevertheless ends the start too, by the address, and not this test's patience.
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut good = config("127.0.0.1:1".parse().expect("an address"));
    good["listen"] = json!(taken.local_addr().expect("bound").to_string());
    good["settings"]["Customers"] =
        json!([{"Name": "east", "QuotaPerS": 0}, {"Name": "west", "QuotaPerS": 5.5}]);
    good["settings"]["Goal"] = json!({});
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
    let run = |settings: Value| {
        let mut config = good.clone();
        config["settings"] = settings;
        run(&config, &[])
    };
    let (code, words) = run(good["settings"].clone());
    assert!(code == Some(1) && words.contains("listen: "), "good settings: {words}");
    let mut walked = 0;
    for (part, rest, spoilt) in cases {
        let mut field = String::new();
        for step in [part].into_iter().chain(rest.split('/')).filter(|step| !step.is_empty()) {
            let index = step.parse::<usize>().is_ok();
            let dot = if index || field.is_empty() { "" } else { "." };
            field += &if index { format!("[{step}]") } else { format!("{dot}{step}") };
        }
        for bad in spoilt.iter().filter_map(Value::as_array).flatten() {
            let mut settings = good["settings"].clone();
            let mut at = &mut settings;
            for step in [part].into_iter().chain(rest.split('/')).filter(|step| !step.is_empty()) {
                at = match step.parse::<usize>() {
                    Ok(index) => &mut at[index],
                    Err(_) => &mut at[step],
                };
            }
            *at = bad.clone();
            let (code, words) = run(settings);
            let named = words.starts_with(&format!("glenwood: settings: {field}"));
            assert!(
                code == Some(1) && named && words.contains("; correct it under"),
                "{field} {bad}: {code:?} {words}"
            );
            assert_eq!(words.trim().lines().count(), 1, "{words}");
            walked += 1;
        }
    }
    assert!(walked > 100, "{walked}");
}

/// A class that has used up its retry budget leaves another's alone.
#[test]
fn a_class_out_of_its_retry_budget_costs_no_other_its_own() {
    let server = || Peer::new(|_| Say::This(answer(500, "", "")));
    let servers = [server(), server()];
    let registry = Registry::new(&[0, 1].map(|n| host(&format!("s{n}"), servers[n].address, "active", 1)));
    let mut config = with_classes(&registry, &["look", "look too"]);
    config["settings"]["Retry"] = json!({"BudgetShare": 0, "BudgetMax": 1});
    config["settings"]["Ejection"] = json!({"Failures": 100});
    let node = Node::ready(&config);
    let mut attempts = |path: &str| {
        let before = figure(&node, "dispatches");
        assert_eq!(Client::to(&node).ask(&get(path, path, "")).status(), 503);
        figure(&node, "dispatches") - before
    };
    assert_eq!(["/look/1", "/look/2", "/look%20too/1", "/look%20too/2"].map(&mut attempts), [2, 1, 2, 1]);
}
