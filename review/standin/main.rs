//! Plays one case of the review against the project's daemons: `standin CASE REPOSITORY FOLDER RECORD TROUBLE`.
//!
//! It exits with 1 if a rule was broken, 0 if all held, and 2 if the case could not run. With a TROUBLE of 0 the
//! disruption is left out.

mod clients;
mod daemons;
mod group;
mod json;
mod link;
mod platform;
mod record;
mod scenes;
mod world;

use std::{path::PathBuf, process::exit};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, repository, folder, record, trouble] = &arguments[..] else {
        eprintln!("usage: standin CASE REPOSITORY FOLDER RECORD TROUBLE");
        exit(2);
    };
    let has_trouble = trouble != "0";
    let (repository, folder) = (PathBuf::from(repository), PathBuf::from(folder));
    let record = match record::Record::create(&PathBuf::from(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            exit(2);
        }
    };
    let result = match case.as_str() {
        "held-order" => scenes::held_order(&repository, &folder, &record, has_trouble),
        "split" => scenes::split(&repository, &folder, &record, has_trouble),
        "late-resume" => scenes::late_resume(&repository, &folder, &record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    };
    let code = match result {
        Ok(false) => {
            record.say("the rule held");
            0
        }
        Ok(true) => {
            record.say("THE RULE WAS BROKEN");
            1
        }
        Err(why) => {
            record.say(&format!("the case could not run: {why}"));
            2
        }
    };
    record.flush();
    exit(code);
}
