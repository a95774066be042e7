//! A job that its user has cancelled ends, whatever becomes of the transaction that stores the
//! cancellation, of the leader that sent it, and of the state service. The reasoning is in
//! docs/notes/cancellation.md.

mod simulated_cluster;

use std::time::Duration;

use copperfield_simulation::cluster::{CANCEL_S, Job};
use hyper::Method;
use serde_json::json;
use tokio::time::sleep;

use simulated_cluster::*;

/// Jobs cancelled in each run; each would run for longer than that.
const JOBS: usize = 6;
/// Tasks of the jobs run by then, in seconds from the start.
const SETTLED_S: f64 = 12.0;
/// The leader's TTL in the simulated cluster, in steps of the sweep.
const TTL_STEPS: u32 = 30;
const STEP_S: f64 = 0.05;
/// Of the jobs of all steps, at least so many cancellations a step must reach a user.
const MIN_CANCELLED_PER_STEP: usize = 3;

/// What becomes of the state service's answers to the leader's cancellations.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Answers {
    Delivered,
    /// Transactions are carried out and their answers lost, from just before the cancellations.
    Lost,
}

/// What a run has shown.
struct Observed {
    /// The rules that were broken.
    violations: Vec<String>,
    /// Jobs that users were told are cancelled.
    cancelled: usize,
}

/// The state service refuses the leader alone; `outage_after_s` later it refuses everybody, for
/// longer than a cancellation may take. Users cancel all along the first of the two, one job every
/// 0.3 s, through any controller.
fn refuse_leader_then_everybody(seed: u64, outage_after_s: f64, answers: Answers) -> Observed {
    simulate(async move {
        let world = site(seed, 0.0);
        tokio::spawn(workers(world.clone()));
        for i in 1..=JOBS {
            let id = format!("wk-{i:06}");
            let body = job(i, "sweep", 2, json!({"cpus": 1.0}));
            let cancel = SETTLED_S - 1.2 + 0.3 * i as f64;
            tokio::spawn(cancelled_at(world.clone(), id, body, cancel));
        }
        sleep(Duration::from_secs_f64(SETTLED_S - 0.4)).await;
        if answers == Answers::Lost {
            world.lock().unwrap().answers_lost = 1.0;
        }
        sleep(Duration::from_secs_f64(0.4)).await;
        tokio::spawn(inflict(world.clone(), 0.0, Fault::RefuseLeader(8.0), seed));
        let outage = Fault::Outage(CANCEL_S + 6.0);
        tokio::spawn(inflict(world.clone(), outage_after_s, outage, seed));
        sleep(Duration::from_secs_f64(outage_after_s + 1.0)).await;
        world.lock().unwrap().answers_lost = 0.0;
        sleep(Duration::from_secs_f64(CANCEL_S + 40.0)).await;
        let w = world.lock().unwrap();
        let cancelled = |j: &&Job| j.told == Some("withdrawn");
        Observed {
            violations: w.site.broken.clone(),
            cancelled: w.site.jobs.values().filter(cancelled).count(),
        }
    })
}

/// Submits a job that would run for ever, and from `at` on sends its cancellation and, beside that,
/// lookups; each request goes to some controller.
async fn cancelled_at(world: SharedCluster, id: String, body: serde_json::Value, at: f64) {
    sleep(Duration::from_secs_f64(1.0)).await;
    let uploaded = Job::uploaded(&body, 1e6);
    world.lock().unwrap().site.jobs.insert(id.clone(), uploaded);
    while !matches!(
        ask(&world, Method::POST, "/work", body.to_string().into_bytes()).await,
        Some((200 | 201, _))
    ) {
        sleep(Duration::from_secs(1)).await;
    }
    let now = world.lock().unwrap().now();
    world
        .lock()
        .unwrap()
        .site
        .jobs
        .get_mut(&id)
        .unwrap()
        .accepted = Some(now);
    sleep(Duration::from_secs_f64(at - now)).await;
    world.lock().unwrap().site.jobs.get_mut(&id).unwrap().body["asked"] = json!(true);
    let path = format!("/work/{id}");
    tokio::spawn(ask_again(
        world.clone(),
        id.clone(),
        Method::GET,
        path.clone(),
    ));
    ask_again(world, id, Method::POST, format!("{path}/withdraw")).await;
}

async fn ask_again(world: SharedCluster, id: String, method: Method, path: String) {
    loop {
        let asked_at = world.lock().unwrap().now();
        if let Some(answer) = ask(&world, method.clone(), &path, b"{}".to_vec()).await {
            user_told(&world, &id, asked_at, answer);
        }
        sleep(Duration::from_millis(200)).await;
    }
}

/// The moment of the outage is swept across a leader's TTL.
fn sweep_outage(first_seed: u64, answers: Answers) {
    let mut cancelled = 0;
    for step in 0..TTL_STEPS {
        let after_s = f64::from(step) * STEP_S;
        let seed = first_seed + u64::from(step);
        let observed = refuse_leader_then_everybody(seed, after_s, answers);
        let violations = observed.violations;
        assert!(
            violations.is_empty(),
            "outage after {after_s} s: {violations:#?}"
        );
        cancelled += observed.cancelled;
    }
    assert!(
        cancelled > MIN_CANCELLED_PER_STEP * TTL_STEPS as usize,
        "users were told of {cancelled} only"
    );
}

/// A leader must stop the tasks of a job before it stores the cancellation, not once it knows the
/// outcome: if the transaction is carried out and its answer lost, another controller tells the
/// user, while the leader, its own lease extended by its peers, could go on renewing the leases of
/// the job's workers for the whole outage.
#[test]
fn a_cancellation_of_unknown_outcome_ends_the_tasks_all_the_same() {
    sweep_outage(300, Answers::Lost);
}

#[test]
fn cancellations_hold_while_the_leader_is_refused_alone_and_then_everybody_is() {
    sweep_outage(400, Answers::Delivered);
}
