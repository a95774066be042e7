//! At a quiet hour one cheap machine is up and runs the only job. The cloud takes the machine back
//! without a notice. The job must run again on another machine, of which the cloud has many.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use serde_json::Value;

use crate::Outcome;
use crate::deployment::{Deployment, rush_frames};
use crate::record::Record;

const JOB: &str = "wk-000001";
const RUNTIME_S: f64 = 25.0;
/// How long a job may wait once the trouble is over.
const WAIT_S: f64 = 90.0;

pub fn run(root: &Path, record: &Record, trouble: bool) -> Outcome {
    let mut site = Deployment::start_with(root, record.clone(), |site| {
        site.add_machines("klein-kast", "zolder", true, 1);
    });
    let outcome = play(&mut site, trouble);
    site.finish();
    outcome
}

fn play(site: &mut Deployment, trouble: bool) -> Outcome {
    if !site.wait_until_ready(10.0) {
        return Outcome::NotRun("no leader within 10 s".into());
    }
    if !site.submit(&rush_frames(1, 2, "img-01", RUNTIME_S), RUNTIME_S) {
        return Outcome::NotRun("the job was not accepted".into());
    }
    let starts = |site: &Deployment| {
        (0..2)
            .map(|task| site.site.history(&format!("{JOB}/{task}")).starts)
            .collect::<Vec<_>>()
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
        for name in site.site.machines() {
            site.site.take(&name);
        }
    }
    let taken_at = site.record.now();
    let mut leaders = Vec::new();
    while site.record.now() < taken_at + WAIT_S {
        if let Some(leader) = site.leader()
            && leaders.last() != Some(&leader)
        {
            leaders.push(leader);
            site.record.line(&format!("host-{leader} leads"));
        }
        let restarted = starts(site)
            .iter()
            .zip(&before)
            .any(|(now, then)| now > then);
        if restarted || is_done(site) {
            return Outcome::Held;
        }
        sleep(Duration::from_secs(1));
    }
    Outcome::Broken(format!(
        "{JOB} has not been started again {WAIT_S} s after its machine was taken back; machines rented since: {:?}; changes of leader: {}",
        site.site.machines(),
        leaders.len() - 1
    ))
}

fn is_done(site: &mut Deployment) -> bool {
    let answer = site.request("GET", &format!("/work/{JOB}"), &Value::Null, 2.0);
    answer.is_some_and(|(status, value)| status == 200 && value["phase"] == "done")
}
