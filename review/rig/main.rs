//! Stand-ins and checks of the review's cases. Usage: `rig CASE FOLDER`, in the repository root.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod engine;
mod entry;
mod http;
mod json;
mod link;
mod record;
mod site;
mod store;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::process::exit;

use crate::cases::Outcome;
use crate::record::Record;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: rig CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let run = || match case.as_str() {
        "lost" => cases::lost::run(&record, trouble),
        "promise" => cases::promise::run(&record, trouble),
        "poison" => cases::poison::run(&record, trouble),
        "drain" => cases::drain::run(&record, trouble),
        _ => Outcome::Unable(format!("no case {case}")),
    };
    let outcome = catch_unwind(AssertUnwindSafe(run));
    let outcome = outcome.unwrap_or_else(|_| Outcome::Unable("a stand-in failed".into()));
    let (text, code) = match outcome {
        Outcome::Broken(text) => (format!("BROKEN: {text}"), 1),
        Outcome::Held(text) => (format!("HELD: {text}"), 0),
        Outcome::Unable(text) => (format!("NOT RUN: {text}"), 2),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
