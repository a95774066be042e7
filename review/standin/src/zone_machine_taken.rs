//! A job is bound to one zone, in which one cheap machine is up and runs it. The cloud takes that
//! machine back without a notice; the machines of the other zones go on. The job must run again on
//! another machine of its zone, of which the cloud has many.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use serde_json::{Value, json};

use crate::Outcome;
use crate::deployment::{Deployment, rush_frames};
use crate::record::Record;

const JOB: &str = "wk-000001";
const TASKS: u32 = 4;
const RUNTIME_S: f64 = 25.0;
const ZONE: &str = "kelder";
const MACHINE: &str = "vm-000001";
/// How long a job may wait once the trouble is over.
const WAIT_S: f64 = 90.0;

pub fn run(root: &Path, record: &Record, trouble: bool) -> Outcome {
    let mut site = Deployment::start_with(root, record.clone(), |site| {
        site.add_machines("klein-kast", ZONE, true, 1);
        site.add_machines("klein-kast", "zolder", false, 3);
        site.add_machines("klein-kast", "havenhal", false, 3);
    });
    let outcome = play(&mut site, trouble);
    site.finish();
    outcome
}

fn play(site: &mut Deployment, trouble: bool) -> Outcome {
    if !site.wait_until_ready(10.0) {
        return Outcome::NotRun("no leader within 10 s".into());
    }
    let mut job = rush_frames(1, TASKS, "img-01", RUNTIME_S);
    job["region"] = json!(ZONE);
    if !site.submit(&job, RUNTIME_S) {
        return Outcome::NotRun("the job was not accepted".into());
    }
    let starts = |site: &Deployment| {
        let task_starts = |task| site.site.history(&format!("{JOB}/{task}")).starts;
        (0..TASKS).map(task_starts).collect::<Vec<_>>()
    };
    let end = site.record.now() + 12.0;
    while site.record.now() < end && starts(site).contains(&0) {
        sleep(Duration::from_millis(100));
    }
    if starts(site).contains(&0) {
        return Outcome::NotRun("the job did not start within 12 s".into());
    }
    sleep(Duration::from_secs(2));
    let before = starts(site);
    if trouble {
        site.site.take(MACHINE);
    }
    let taken_at = site.record.now();
    while site.record.now() < taken_at + WAIT_S {
        let restarted = starts(site)
            .iter()
            .zip(&before)
            .any(|(now, then)| now > then);
        if restarted || is_done(site) {
            return Outcome::Held;
        }
        sleep(Duration::from_secs(2));
    }
    Outcome::Broken(format!(
        "{JOB}, bound to {ZONE}, has not been started again {WAIT_S} s after its machine was taken back; machines: {:?}",
        site.site.machines()
    ))
}

fn is_done(site: &mut Deployment) -> bool {
    let answer = site.request("GET", &format!("/work/{JOB}"), &Value::Null, 2.0);
    answer.is_some_and(|(status, value)| status == 200 && value["phase"] == "done")
}
