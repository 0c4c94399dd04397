//! The node around the decision module: all I/O, no balancing decisions.
//!
//! A file uses only files that come before it in this order:
//! - `advice`, `log`, `metrics`, `bans`, `config`, `listen`, `epoch_file`, `votes`, `abandoned_ids`: one subject each,
//! - `memory`, `capacity`, `head_memory`, `bodies`, `socket`, `request`, `request_memory`: what passes through the node, and the sockets that carry it,
//! - `pool`: connections to servers,
//! - `admission`: whether new requests may be taken under the agreed policy,
//! - `node`: the owner of the decision module, which starts I/O through [`node::NodeIo`],
//! - `servers`, `discovery`: I/O that the node starts, and that reports back to it,
//! - `io_tasks`: those two as the node's [`node::NodeIo`],
//! - `replica`, `membership`: the node as a member of its fleet, which agrees on a policy,
//! - `backlog`: connections that wait to be accepted,
//! - `incoming`: the reading and checking of a client's request,
//! - `clients`, `admin`: the servers for clients and operators, started by the program.

pub mod abandoned_ids;
pub mod admin;
pub mod admission;
pub mod advice;
pub mod backlog;
pub mod bans;
pub mod bodies;
pub mod capacity;
pub mod clients;
pub mod config;
pub mod discovery;
pub mod epoch_file;
pub mod head_memory;
pub mod incoming;
pub mod io_tasks;
pub mod listen;
pub mod log;
pub mod membership;
pub mod memory;
pub mod metrics;
pub mod node;
pub mod pool;
pub mod replica;
pub mod request;
pub mod request_memory;
pub mod servers;
pub mod socket;
pub mod votes;

#[cfg(test)]
mod tests {
    use std::fs;
    use std::path::Path;

    /// The order in the module's doc comment holds and lists every file.
    #[test]
    fn no_file_uses_one_that_comes_after_it() {
        let groups = include_str!("mod.rs").lines().filter_map(|l| l.strip_prefix("//! - "));
        let names = groups.filter_map(|g| g.split_once(": ")).flat_map(|(names, _)| names.split(", "));
        let order: Vec<&str> = names.map(|name| name.trim_matches('`')).collect();
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/net");
        let files = fs::read_dir(&folder).expect("the sources").count();
        assert_eq!(files, order.len() + 1, "{order:?}");
        for (index, name) in order.iter().enumerate() {
            let text = fs::read_to_string(folder.join(format!("{name}.rs"))).expect("a file of that name");
            let code = text.split("#[cfg(test)]").next().unwrap_or_default();
            for used in order.iter().skip(index + 1) {
                let uses = |l: &str| l.contains(&format!("super::{used}"));
                assert!(!code.lines().any(uses), "{name} uses {used}");
                let joint = |l: &str| l.starts_with("use super::{") && l.contains(used);
                assert!(!code.lines().any(joint), "{name} uses {used}");
            }
        }
    }
}
