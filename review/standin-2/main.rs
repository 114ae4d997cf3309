//! Stand-ins of clients, servers and the platform, and the scenes of the cases that are scripts.
//!
//! `scene NAME RECORD TROUBLE` runs a scene at the root of the repository. It exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the scene couldn't be run. With 0 for TROUBLE it does the same without the disruption.

mod clients;
mod daemons;
mod group;
mod http;
mod json;
mod record;
mod scenes;
mod store;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scene, record, trouble] = &arguments[..] else {
        eprintln!("usage: scene NAME RECORD TROUBLE");
        exit(2);
    };
    let has_trouble = trouble != "0";
    let record = record::Record::create(record);
    let ended = match scene.as_str() {
        "slow-order" => scenes::slow_order(&record, has_trouble),
        "lost-commit" => scenes::lost_commit(&record, has_trouble),
        _ => Err(format!("no scene {scene}")),
    };
    let (line, code) = match ended {
        Ok(None) => ("held: the rule was kept".to_owned(), 0),
        Ok(Some(broken)) => (format!("BROKEN: {broken}"), 1),
        Err(why) => (format!("not run: {why}"), 2),
    };
    record.line(&line);
    println!("{line}");
    exit(code);
}
