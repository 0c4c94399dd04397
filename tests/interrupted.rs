//! The test harness itself, in a test program of its own as the test stops its whole process.

mod peers;

use std::io::Write;
use std::net::TcpListener;
use std::process::Command;

use peers::*;

/// Stops process `$0` and continues it as soon as it has stopped.
const STOP_AND_CONTINUE: &str =
    "kill -STOP $0; until grep -q '^State:.T' /proc/$0/status; do :; done; kill -CONT $0";

/// Guards against taking an interrupted read for the end of a connection: reads that wait while their process is
/// stopped and continued go on waiting.
#[test]
fn a_read_goes_on_after_its_process_was_stopped_and_continued() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("the local address is unknown");
    let client = Client::connect_to(address);
    let (mut server, _) = listener.accept().expect("no connection arrived");
    let (sender, receiver) = std::sync::mpsc::channel();
    let reader = std::thread::spawn(move || {
        let mut client = client;
        let thread = std::fs::read_link("/proc/thread-self").expect("the thread is unknown");
        sender.send(thread).expect("nobody waits for it");
        (client.read(15), client.closed())
    });
    let thread = receiver.recv().expect("the reader has ended");
    let is_sleeping = || {
        let status = std::fs::read_to_string(format!("/proc/{}/status", thread.display()));
        status.expect("the reader has ended").contains("State:\tS")
    };
    wait_until("the reader waits", is_sleeping);
    let stop_and_continue = || {
        let process = std::process::id().to_string();
        let status = Command::new("sh").args(["-c", STOP_AND_CONTINUE, &process]).status();
        assert!(status.expect("sh cannot be started").success());
    };
    stop_and_continue();
    server.write_all(b"HTTP/1.1 200 OK").expect("the connection has ended");
    wait_until("the reader waits for the close", is_sleeping);
    stop_and_continue();
    drop(server);
    let (start, closed) = reader.join().expect("the reader panicked");
    assert_eq!((start, closed), (b"HTTP/1.1 200 OK".to_vec(), true));
}
