//! What a user has asked to end, ends: whatever becomes of the transaction that says so, of the
//! leader that sent it, and of the state service. Argued in docs/notes/cancellation.md.

mod simulated_cluster;

use std::time::Duration;

use copperfield_simulation::cluster::{CANCEL_S, Job};
use hyper::Method;
use serde_json::json;
use tokio::time::sleep;

use simulated_cluster::*;

/// Of the jobs that are cancelled in a gap; each runs for longer than the day.
const JOBS: usize = 6;
/// Tasks of the jobs run by then.
const SETTLED_S: f64 = 12.0;
/// The leader's TTL in the simulated world, in steps of the sweep.
const TTL_STEPS: u32 = 30;
const STEP_S: f64 = 0.05;

/// What of the leader's cancellations its own end, and users, get to know.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Known,
    /// Transactions are carried out and their answers lost, from just before the cancellations.
    Lost,
}

/// The leader is refused alone; `later_s` later all are, for longer than a cancellation has. Users
/// cancel all along the first of the two, one job every 0.3 s, through any node.
fn gap(seed: u64, later_s: f64, outcome: Outcome) -> (Vec<String>, usize) {
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
        if outcome == Outcome::Lost {
            world.lock().unwrap().answers_lost = 1.0;
        }
        sleep(Duration::from_secs_f64(0.4)).await;
        tokio::spawn(inflict(world.clone(), 0.0, Fault::RefuseLeader(8.0), seed));
        let outage = Fault::Outage(CANCEL_S + 6.0);
        tokio::spawn(inflict(world.clone(), later_s, outage, seed));
        sleep(Duration::from_secs_f64(later_s + 1.0)).await;
        world.lock().unwrap().answers_lost = 0.0;
        sleep(Duration::from_secs_f64(CANCEL_S + 40.0)).await;
        let w = world.lock().unwrap();
        let cancelled = |j: &&Job| j.told == Some("withdrawn");
        (
            w.site.broken.clone(),
            w.site.jobs.values().filter(cancelled).count(),
        )
    })
}

/// Submits a job that would run for ever, and from then on asks for its end and, beside that, how
/// it stands; each question goes to some node.
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

/// A leader had a job as being cancelled and did not stop it before the outcome was known: its
/// transaction was carried out, the answer lost, another controller told the user, and on the word
/// of all others the leader went on renewing the leases of the job's workers for an outage.
#[test]
fn a_cancellation_of_unknown_outcome_ends_the_tasks_all_the_same() {
    let mut told = 0;
    for step in 0..TTL_STEPS {
        let later_s = f64::from(step) * STEP_S;
        let (broken, cancelled) = gap(300 + u64::from(step), later_s, Outcome::Lost);
        assert!(broken.is_empty(), "outage after {later_s} s: {broken:#?}");
        told += cancelled;
    }
    assert!(
        told > 3 * TTL_STEPS as usize,
        "users were told of {told} only"
    );
}

/// The operators' gap, with the moment of the outage swept across a leader's TTL.
#[test]
fn the_leader_is_refused_alone_and_then_everybody_is() {
    let mut told = 0;
    for step in 0..TTL_STEPS {
        let later_s = f64::from(step) * STEP_S;
        let (broken, cancelled) = gap(400 + u64::from(step), later_s, Outcome::Known);
        assert!(broken.is_empty(), "outage after {later_s} s: {broken:#?}");
        told += cancelled;
    }
    assert!(
        told > 3 * TTL_STEPS as usize,
        "users were told of {told} only"
    );
}
