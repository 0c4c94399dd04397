//! The node round the decision module: sockets in, sockets out, no decisions.
//!
//! A file uses only files that come before it in this order:
//! - `fault`, `log`, `metrics`, `bans`, `config`, `listen`, `saved`, `votes`: each alone with its subject,
//! - `bodies`, `sock`, `request`: what passes through, and on what,
//! - `pool`: connections to servers,
//! - `gate`: whether a request may be taken, by what the fleet has agreed,
//! - `node`: the owner of the module; what it decides it hands to its [`node::Hands`],
//! - `servers`, `discovery`: what is done for it, and told to it,
//! - `hands`: those two as the node's hands,
//! - `replica`, `agreed`: the node's side of the agreed policy,
//! - `clients`, `admin`: who calls it; the program joins these with the rest.

pub mod admin;
pub mod agreed;
pub mod bans;
pub mod bodies;
pub mod clients;
pub mod config;
pub mod discovery;
pub mod fault;
pub mod gate;
pub mod hands;
pub mod listen;
pub mod log;
pub mod metrics;
pub mod node;
pub mod pool;
pub mod replica;
pub mod request;
pub mod saved;
pub mod servers;
pub mod sock;
pub mod votes;

#[cfg(test)]
mod tests {
    use std::fs;
    use std::path::Path;

    /// The order that the words above state holds, and no file is left out of it.
    #[test]
    fn no_file_uses_one_that_comes_after_it() {
        let groups = include_str!("mod.rs").lines().filter_map(|l| l.strip_prefix("//! - "));
        let names = groups.filter_map(|g| g.split_once(": ")).flat_map(|(names, _)| names.split(", "));
        let order: Vec<&str> = names.map(|name| name.trim_matches('`')).collect();
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/net");
        let files = fs::read_dir(&folder).expect("the sources").count();
        assert_eq!(files, order.len() + 1, "{order:?}");
        for (place, name) in order.iter().enumerate() {
            let text = fs::read_to_string(folder.join(format!("{name}.rs"))).expect("a file of that name");
            let code = text.split("#[cfg(test)]").next().unwrap_or_default();
            for used in order.iter().skip(place + 1) {
                let uses = |l: &str| l.contains(&format!("super::{used}"));
                assert!(!code.lines().any(uses), "{name} uses {used}");
                let joint = |l: &str| l.starts_with("use super::{") && l.contains(used);
                assert!(!code.lines().any(joint), "{name} uses {used}");
            }
        }
    }
}
