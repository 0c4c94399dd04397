//! A run whose ports are occupied by other programs. The test is in a file of its own, so that it runs alone: it
//! occupies a port in every address block that a run may claim.

use std::net::{Ipv4Addr, TcpListener};
use std::process::Command;

#[test]
fn an_occupied_port_is_named_in_one_line() {
    // Ports that can't be bound are occupied by other runs on this machine.
    let listeners: Vec<TcpListener> = (64..192)
        .filter_map(|second| TcpListener::bind((Ipv4Addr::new(127, second, 32, 1), 9000)).ok())
        .collect();
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("x.toml");
    std::fs::write(&file, "schema = 1\nname = \"x\"\nlength_s = 1\n").expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_stoneshift"));
    let output =
        command.args(["lab", "run"]).arg(&file).arg("--out").arg(folder.path()).output().expect("it runs");
    drop(listeners);
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!((output.status.code(), message.lines().count()), (Some(2), 1), "{message}");
    assert!(message.contains(".32.1:9000 can't be listened at"), "{message}");
}
