//! A huge array is under way when all controllers are restarted with the lower limits of the state
//! service in their settings. The job must not be called done before every one of its tasks is.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use serde_json::{Value, json};

use crate::Outcome;
use crate::deployment::{Deployment, NEXT_LIMITS, ZONES};
use crate::record::Record;

const JOB: &str = "wk-000001";
/// At most 100,000 tasks are allowed.
const SHARDS: u32 = 33_000;
const RUNTIME_S: f64 = 0.3;
/// Some tasks that run longer than the others.
const LONG_TASKS: std::ops::Range<u32> = 8000..8016;
const LONG_RUNTIME_S: f64 = 62.0;

pub fn run(root: &Path, record: &Record, trouble: bool) -> Outcome {
    let mut site = Deployment::start_with(root, record.clone(), |site| {
        for zone in ZONES {
            site.add_machines("middel-kast", zone, false, 13);
        }
    });
    let outcome = play(&mut site, root, trouble);
    site.finish();
    outcome
}

fn play(site: &mut Deployment, root: &Path, trouble: bool) -> Outcome {
    if !site.wait_until_ready(10.0) {
        return Outcome::NotRun("no leader within 10 s".into());
    }
    let job = json!({"uid": JOB, "jobclass": "stadsscan", "owner": "beeldteam", "shape": "sweep",
        "rank": "best_effort", "shards": SHARDS, "cpus": 0.25, "gpus": 0.0, "memory_gb": 0.9, "bundle": "img-01",
        "pull_gb": 0.5, "flavors": null, "region": null, "one_zone": false, "spread": false, "preemptibles": true,
        "runtime_s": RUNTIME_S, "snapshot_every_s": 0.0, "snapshot_s": 0.0, "due_s": null});
    for task in LONG_TASKS {
        site.site
            .set_run_time(format!("{JOB}/{task}"), LONG_RUNTIME_S);
    }
    if !site.submit(&job, RUNTIME_S) {
        return Outcome::NotRun("the job was not accepted".into());
    }
    // All other tasks complete.
    let others = SHARDS - LONG_TASKS.len() as u32;
    loop {
        let (done, _) = site.site.progress(JOB, SHARDS);
        if done >= others {
            break;
        }
        if site.record.now() > 65.0 {
            return Outcome::NotRun(format!(
                "only {done} of {SHARDS} tasks were done after 65 s"
            ));
        }
        if let Some(broken) = judge(site) {
            return broken;
        }
        sleep(Duration::from_millis(1000));
    }
    site.record.line(&format!(
        "{others} of {SHARDS} tasks have completed, the others run"
    ));
    // Their progress is stored within some seconds.
    sleep(Duration::from_secs(4));
    if trouble {
        site.state.set_limits(NEXT_LIMITS);
        for i in 0..3 {
            site.kill_controller(i);
            site.set_state_limits(i, NEXT_LIMITS);
        }
        sleep(Duration::from_secs(3));
        for i in 0..3 {
            site.start_controller(root, i);
        }
    }
    while site.record.now() < 108.0 {
        if let Some(broken) = judge(site) {
            return broken;
        }
        let (_, open) = site.site.progress(JOB, SHARDS);
        if open.is_empty() && is_called_done(site) {
            return Outcome::Held;
        }
        sleep(Duration::from_millis(500));
    }
    Outcome::NotRun("the job was not called done in time".into())
}

fn is_called_done(site: &mut Deployment) -> bool {
    let answer = site.request("GET", &format!("/work/{JOB}"), &Value::Null, 2.0);
    answer.is_some_and(|(status, value)| status == 200 && value["phase"] == "done")
}

/// Asks for the job. It is broken if the job is called done while tasks are not done.
fn judge(site: &mut Deployment) -> Option<Outcome> {
    let (status, value) = site.request("GET", &format!("/work/{JOB}"), &Value::Null, 2.0)?;
    // Tasks that complete after the answer count as done too, which favours the controllers.
    let (done, open) = site.site.progress(JOB, SHARDS);
    if status != 200 || value["phase"] != "done" || open.is_empty() {
        return None;
    }
    Some(Outcome::Broken(format!(
        "{JOB} is called done although {} of its {SHARDS} tasks are not: {open:?}; {done} are",
        open.len()
    )))
}
