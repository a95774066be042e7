//! Not one of the three cases. Two of 48 machines fail every task that they start for 10 s. An array
//! starts meanwhile. No task of it may wait for 90 s after that while a machine has room.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use serde_json::Value;

use crate::Outcome;
use crate::deployment::{Deployment, ZONES, rush_frames};
use crate::record::Record;

const JOB: &str = "wk-000001";
const TASKS: u32 = 160;
const RUNTIME_S: f64 = 15.0;
const SICK_S: f64 = 10.0;
const WAIT_S: f64 = 90.0;

pub fn run(root: &Path, record: &Record, trouble: bool) -> Outcome {
    let mut site = Deployment::start_with(root, record.clone(), |site| {
        for zone in ZONES {
            site.add_machines("klein-kast", zone, false, 16);
        }
    });
    let outcome = play(&mut site, trouble);
    site.finish();
    outcome
}

fn play(site: &mut Deployment, trouble: bool) -> Outcome {
    if !site.wait_until_ready(10.0) {
        return Outcome::NotRun("no leader within 10 s".into());
    }
    sleep(Duration::from_secs(2));
    let sick: Vec<String> = ["vm-000001", "vm-000002"].map(String::from).into();
    if trouble {
        site.site.make_sick(&sick, SICK_S);
    }
    let sick_until = site.record.now() + SICK_S;
    if !site.submit(&rush_frames(1, TASKS, "img-01", RUNTIME_S), RUNTIME_S) {
        return Outcome::NotRun("the job was not accepted".into());
    }
    while site.record.now() < sick_until + WAIT_S {
        let (_, open) = site.site.progress(JOB, TASKS);
        if open.is_empty() {
            return Outcome::Held;
        }
        let _ = site.request("GET", &format!("/work/{JOB}"), &Value::Null, 2.0);
        sleep(Duration::from_secs(3));
    }
    let (_, open) = site.site.progress(JOB, TASKS);
    let waiting: Vec<u32> = open
        .iter()
        .copied()
        .filter(|t| site.site.history(&format!("{JOB}/{t}")).starts == 0)
        .collect();
    if waiting.is_empty() {
        return Outcome::Held;
    }
    let room: f64 = site
        .site
        .free_cpus()
        .iter()
        .filter(|(name, _)| !sick.contains(name))
        .map(|(_, free)| free)
        .sum();
    Outcome::Broken(format!(
        "tasks {waiting:?} of {JOB} have waited for {WAIT_S} s since the machines are well; {room} CPUs are free on the machines that were never sick"
    ))
}
