//! The stand-ins and checks of the cases in `review/6` to `review/10`: `cases NAME RECORD`.
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

mod bans;
mod kit;
mod log;
mod memory;
mod trickle;
mod uploads;

fn main() {
    let mut args = std::env::args().skip(1);
    let (case, record) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    kit::begin(std::path::Path::new(&record));
    kit::say(format!("case {case}, disruption: {}", if kit::trouble() { "yes" } else { "no" }));
    let broken = match case.as_str() {
        "trickle" => trickle::run(),
        "memory" => memory::run(),
        "bans" => bans::run(),
        "log" => log::run(),
        "uploads" => uploads::run(),
        _ => panic!("no such case"),
    };
    kit::say(if broken { "the rule was broken" } else { "the rule held" });
    kit::finish(i32::from(broken));
}
