//! The state service lowers its limits to those that `state.next` announces. Jobs that are accepted
//! and complete after that must still be called done.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use serde_json::Value;

use crate::Outcome;
use crate::deployment::{Deployment, NEXT_LIMITS, rush_frames};
use crate::record::Record;

/// The rule allows 3 s after a job's last task. Only a job that is not called done this long after
/// it counts, so that slow answers do not.
const WAIT_S: f64 = 30.0;
const JOBS: u32 = 10;
const TASKS: u32 = 6;
const RUNTIME_S: f64 = 12.0;

pub fn run(root: &Path, record: &Record, trouble: bool) -> Outcome {
    let mut site = Deployment::start(root, record.clone());
    let outcome = play(&mut site, trouble);
    site.finish();
    outcome
}

fn play(site: &mut Deployment, trouble: bool) -> Outcome {
    if !site.wait_until_ready(15.0) {
        return Outcome::NotRun("no leader within 15 s".into());
    }
    // Some work before the limits change, as on a running site.
    if !site.submit(&rush_frames(1, 24, "img-01", 5.0), 5.0) {
        return Outcome::NotRun("the first job was not accepted".into());
    }
    if !wait_done(site, 1, 30.0) {
        return Outcome::NotRun("the first job was not done before the limits changed".into());
    }
    if trouble {
        site.state.set_limits(NEXT_LIMITS);
        site.record.line(&format!(
            "the state service lowers its limits: {NEXT_LIMITS:?}"
        ));
    }
    let jobs = 2..2 + JOBS;
    for number in jobs.clone() {
        if !site.submit(&rush_frames(number, TASKS, "img-02", RUNTIME_S), RUNTIME_S) {
            return Outcome::NotRun(format!("job {number} was not accepted"));
        }
    }
    // All tasks complete.
    let end = site.record.now() + 45.0;
    while site.record.now() < end
        && !jobs
            .clone()
            .all(|n| site.site.job_done_at(&uid(n)).is_some())
    {
        sleep(Duration::from_millis(200));
    }
    let completed: Vec<u32> = jobs
        .filter(|&n| site.site.job_done_at(&uid(n)).is_some())
        .collect();
    if completed.is_empty() {
        return Outcome::NotRun("no job's tasks completed within 45 s".into());
    }
    site.record.line(&format!(
        "all tasks of {} of {JOBS} jobs have completed",
        completed.len()
    ));
    let last = completed
        .iter()
        .filter_map(|&n| site.site.job_done_at(&uid(n)))
        .fold(0.0, f64::max);
    while site.record.now() < last + WAIT_S {
        let open: Vec<u32> = completed
            .iter()
            .copied()
            .filter(|&n| !is_done(site, n))
            .collect();
        if open.is_empty() {
            return Outcome::Held;
        }
        sleep(Duration::from_secs(4));
    }
    let open: Vec<String> = completed
        .iter()
        .filter(|&&n| is_called_something_else(site, n))
        .map(|&n| uid(n))
        .collect();
    if open.is_empty() {
        return Outcome::Held;
    }
    Outcome::Broken(format!(
        "{} of {JOBS} accepted jobs are not called done {:.0} s after their last task: {}; the state service refused {} transactions",
        open.len(),
        site.record.now() - last,
        open.join(" "),
        site.state.refused()
    ))
}

fn uid(number: u32) -> String {
    format!("wk-{number:06}")
}

fn is_done(site: &mut Deployment, number: u32) -> bool {
    let answer = site.request("GET", &format!("/work/{}", uid(number)), &Value::Null, 2.0);
    answer.is_some_and(|(status, value)| status == 200 && value["phase"] == "done")
}

/// Whether an answer calls the job something other than done. No answer does not count.
fn is_called_something_else(site: &mut Deployment, number: u32) -> bool {
    let answer = site.request("GET", &format!("/work/{}", uid(number)), &Value::Null, 2.0);
    answer.is_some_and(|(status, value)| status == 200 && value["phase"] != "done")
}

fn wait_done(site: &mut Deployment, number: u32, for_s: f64) -> bool {
    let end = site.record.now() + for_s;
    while site.record.now() < end {
        if is_done(site, number) {
            return true;
        }
        sleep(Duration::from_secs(1));
    }
    false
}
