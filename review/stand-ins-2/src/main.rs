//! Runs one case of the review: `review-case NAME RECORD`. It ends with 1 if the rule was broken, 0
//! if it held, and 2 if the case could not run.

mod cases;
mod cluster;
mod http;
mod record;
mod site;
mod state;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// No case takes longer. `run.sh` ends what is left.
const LIMIT: Duration = Duration::from_secs(118);

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let name = args.next().unwrap_or_default();
    let file = args.next().unwrap_or("record.txt".into());
    let Some((_, run)) = cases::ALL.iter().find(|(case, _)| *case == name) else {
        eprintln!("no case {name:?}");
        return ExitCode::from(cases::NOT_RUN);
    };
    let Ok(record) = Record::create(Path::new(&file)) else {
        eprintln!("{file} cannot be written");
        return ExitCode::from(cases::NOT_RUN);
    };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        std::process::exit(cases::NOT_RUN.into());
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    ExitCode::from(run(Arc::new(record), trouble))
}
