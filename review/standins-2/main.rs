//! Runs one case of the second review: `review-2 CASE FOLDER`, from the repository's root.
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

#![allow(dead_code)]

mod client;
mod crowd;
mod cut;
mod deployment;
mod entry;
mod front;
mod gone;
mod http;
mod json;
mod leaf;

mod record;
mod relay;
mod roll;
mod stop;
mod store;

use cut::OwnerTrouble;
use record::Record;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let root = std::env::current_dir().expect("current folder");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&folder.join("record.txt"));
    record.say(&format!("case {case}, with the disruption: {trouble}"));
    let run = || match case.as_str() {
        "crowd" => crowd::run(&root, &record, trouble),
        "entry" => entry::run(&root, &record, trouble),
        "roll" => roll::run(&root, &record, trouble),
        "stop" => stop::run(&root, &record, trouble),
        "gone" => gone::run(&root, &record, trouble),
        "cut" => cut::run(&root, &record, trouble, OwnerTrouble::Cut),
        "freeze" => cut::run(&root, &record, trouble, OwnerTrouble::Frozen),
        _ => 2,
    };
    let code = catch_unwind(AssertUnwindSafe(run)).unwrap_or(2);
    let verdict = match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    };
    record.say(verdict);
    std::process::exit(code);
}
