//! Not a case. Random jobs, cancellations and troubles of the controllers and the state service, with
//! checks of ran_twice, ran_cancelled, forgotten, not_done and went_back. Seed: CHAOS_SEED.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;

use serde_json::{Value, json};

use crate::Outcome;
use crate::deployment::{Deployment, rush_frames};
use crate::record::Record;

const END_S: f64 = 105.0;

struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.0 >> 33) % bound
    }
}

#[derive(Default, Clone)]
struct Job {
    shards: u32,
    service: bool,
    cancelled: bool,
    told: Option<String>,
}

pub fn run(root: &Path, record: &Record, _trouble: bool) -> Outcome {
    let seed = std::env::var("CHAOS_SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    let mut site = Deployment::start(root, record.clone());
    let outcome = play(&mut site, root, &mut Random(seed));
    site.finish();
    outcome
}

fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(pid.to_string())
        .status();
}

fn play(site: &mut Deployment, root: &Path, random: &mut Random) -> Outcome {
    if !site.wait_until_ready(10.0) {
        return Outcome::NotRun("no leader".into());
    }
    let mut jobs: BTreeMap<u32, Job> = BTreeMap::new();
    let mut problems: Vec<String> = Vec::new();
    let mut next = 1;
    let mut restart_at: [Option<f64>; 3] = [None; 3];
    let mut resume_at: [Option<f64>; 3] = [None; 3];
    let mut outage_until = 0.0;
    let mut next_trouble = 8.0;
    while site.record.now() < END_S {
        let now = site.record.now();
        for i in 0..3 {
            if restart_at[i].is_some_and(|at| at <= now) {
                restart_at[i] = None;
                site.start_controller(root, i);
            }
            if resume_at[i].is_some_and(|at| at <= now) {
                resume_at[i] = None;
                if let Some(pid) = site.pid(i) {
                    signal(pid, "CONT");
                    site.record.line(&format!("host-{i} goes on"));
                }
            }
            if site.ended(i) {
                problems.push(format!("host-{i} ended by itself"));
            }
        }
        if outage_until > 0.0 && now > outage_until {
            outage_until = 0.0;
            site.state.set_outage(false);
            site.record.line("outage ends");
        }
        if now > next_trouble && now < 75.0 {
            next_trouble = now + 3.0 + random.below(8) as f64;
            let busiest = site.leader().unwrap_or(0);
            let i = if random.below(2) == 0 {
                busiest
            } else {
                random.below(3) as usize
            };
            match random.below(5) {
                0 | 1 if restart_at[i].is_none() && resume_at[i].is_none() => {
                    site.kill_controller(i);
                    restart_at[i] = Some(now + [0.1, 0.5, 3.0, 14.0][random.below(4) as usize]);
                }
                2 | 3 if restart_at[i].is_none() && resume_at[i].is_none() => {
                    if let Some(pid) = site.pid(i) {
                        signal(pid, "STOP");
                        site.record.line(&format!("host-{i} stands still"));
                        resume_at[i] =
                            Some(now + [0.8, 2.0, 3.0, 6.0, 20.0][random.below(5) as usize]);
                    }
                }
                4 if outage_until == 0.0 => {
                    site.state.set_outage(true);
                    site.record.line("outage begins");
                    outage_until = now + [1.0, 4.0, 15.0, 25.0][random.below(4) as usize];
                }
                _ => {}
            }
        }
        // Users.
        if now < 85.0 && random.below(3) == 0 {
            let shards = 1 + random.below(5) as u32;
            let runtime = [1.0, 3.0, 8.0, 30.0][random.below(4) as usize];
            let mut body = rush_frames(next, shards, &format!("img-{}", random.below(3)), runtime);
            let service = random.below(4) == 0;
            if service {
                body["shape"] = json!("service");
                body["rank"] = json!("production");
                body["runtime_s"] = json!(0.0);
            }
            site.site.upload(&body, runtime);
            if let Some((200 | 201, _)) = ask(site, random, "POST", "/work", &body) {
                jobs.insert(
                    next,
                    Job {
                        shards,
                        service,
                        ..Job::default()
                    },
                );
            }
            next += 1;
        }
        let numbers: Vec<u32> = jobs.keys().copied().collect();
        for _ in 0..3 {
            if numbers.is_empty() {
                break;
            }
            let number = numbers[random.below(numbers.len() as u64) as usize];
            let uid = format!("wk-{number:06}");
            let job = jobs.get_mut(&number).expect("known");
            let cancel = random.below(8) == 0;
            let answer = if cancel {
                job.cancelled = true;
                ask(
                    site,
                    random,
                    "POST",
                    &format!("/work/{uid}/withdraw"),
                    &Value::Null,
                )
            } else {
                ask(site, random, "GET", &format!("/work/{uid}"), &Value::Null)
            };
            let Some((status, value)) = answer else {
                continue;
            };
            if status == 404 {
                problems.push(format!(
                    "forgotten: {uid} gets 404 at {:.1}",
                    site.record.now()
                ));
            }
            if status != 200 {
                continue;
            }
            let phase = value["phase"].as_str().unwrap_or("").to_string();
            if let Some(told) = &job.told
                && *told != phase
            {
                problems.push(format!(
                    "went_back: {uid} {told} then {phase} at {:.1}",
                    site.record.now()
                ));
            }
            if phase == "withdrawn" && !job.cancelled {
                problems.push(format!("went_back: {uid} withdrawn without a request"));
            }
            if phase == "done" {
                let (_, open) = site.site.progress(&uid, job.shards);
                if job.service || !open.is_empty() {
                    problems.push(format!("not_done: {uid} open {open:?}"));
                }
            }
            if phase == "withdrawn" {
                site.site.told_cancelled(&uid);
            }
            if phase == "done" || phase == "withdrawn" {
                job.told = Some(phase);
            }
        }
        problems.extend(site.site.cancelled_still_running(32.0));
        sleep(Duration::from_millis(150));
    }
    problems.extend(
        site.site
            .violations()
            .into_iter()
            .filter(|v| v.starts_with("ran_twice")),
    );
    let done = jobs.values().filter(|j| j.told.is_some()).count();
    site.record.line(&format!(
        "{} jobs accepted, {done} called done or withdrawn",
        jobs.len()
    ));
    problems.sort();
    problems.dedup();
    if problems.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken(problems.join("; "))
    }
}

fn ask(
    site: &mut Deployment,
    random: &mut Random,
    method: &str,
    path: &str,
    body: &Value,
) -> Option<(u16, Value)> {
    let i = random.below(3) as usize;
    site.ask(
        i,
        method,
        path,
        body,
        if method == "GET" { 1.0 } else { 1.5 },
    )
}
