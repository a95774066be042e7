//! The cases of the review. Usage: `review-standin CASE ROOT RECORD`, with `TROUBLE=0` in the
//! environment for a run without the disruption. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run.

mod chaos;
mod deployment;
mod http;
mod last_machine_taken;
mod limits_in_settings;
mod limits_lowered;
mod record;
mod sick_machines;
mod site;
mod state;
mod zone_machine_taken;

use std::path::PathBuf;
use std::process::exit;

use record::Record;

/// The result of a case.
pub enum Outcome {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE ROOT RECORD");
        exit(2);
    };
    let root = PathBuf::from(root);
    let record = Record::create(&PathBuf::from(record));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {case}, trouble: {trouble}"));
    let outcome = match case.as_str() {
        "last-machine-taken" => last_machine_taken::run(&root, &record, trouble),
        "limits-in-settings" => limits_in_settings::run(&root, &record, trouble),
        "zone-machine-taken" => zone_machine_taken::run(&root, &record, trouble),
        "sick-machines" => sick_machines::run(&root, &record, trouble),
        "chaos" => chaos::run(&root, &record, trouble),
        "limits-lowered" => limits_lowered::run(&root, &record, trouble),
        _ => Outcome::NotRun(format!("unknown case {case}")),
    };
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held".to_string()),
        Outcome::Broken(how) => (1, format!("the rule was broken: {how}")),
        Outcome::NotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
