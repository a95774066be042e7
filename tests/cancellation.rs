//! Tests that a cancelled job ends, whatever happens to the transaction that cancels it, to the
//! leader that sent the transaction, and to the state service. See docs/notes/cancellation.md.

mod simulated_cluster;

use std::time::Duration;

use copperfield_simulation::cluster::{CANCEL_S, Job};
use hyper::Method;
use serde_json::json;
use tokio::time::sleep;

use simulated_cluster::*;

/// Number of jobs that are cancelled in one run. Each would run for longer than the simulation.
const JOBS: usize = 6;
/// By this time the tasks of all jobs are running.
const RUNNING_BY_S: f64 = 12.0;
/// The leader's TTL in the simulated cluster, in steps of [`STEP_S`].
const TTL_STEPS: u32 = 30;
const STEP_S: f64 = 0.05;

/// Whether the leader receives the results of the transactions that cancel jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Acknowledgements {
    Delivered,
    /// From shortly before the cancellations, transactions are carried out but their answers are
    /// lost.
    Lost,
}

/// The state service refuses only the leader, and `outage_after_s` later all controllers, for
/// longer than a cancellation may take. Users cancel one job every 0.3 s during the first fault,
/// through any controller. Returns the violated guarantees and the number of users that were told
/// of a cancellation.
fn cancel_between_faults(
    seed: u64,
    outage_after_s: f64,
    acknowledgements: Acknowledgements,
) -> (Vec<String>, usize) {
    simulate(async move {
        let cluster = start_cluster(seed, 0.0);
        tokio::spawn(simulate_workers(cluster.clone()));
        for i in 1..=JOBS {
            let id = format!("wk-{i:06}");
            let body = job(i, "sweep", 2, json!({"cpus": 1.0}));
            let cancel_at = RUNNING_BY_S - 1.2 + 0.3 * i as f64;
            tokio::spawn(submit_and_cancel_at(cluster.clone(), id, body, cancel_at));
        }
        sleep(Duration::from_secs_f64(RUNNING_BY_S - 0.4)).await;
        if acknowledgements == Acknowledgements::Lost {
            cluster.lock().unwrap().lost_transaction_answers = 1.0;
        }
        sleep(Duration::from_secs_f64(0.4)).await;
        tokio::spawn(inject_fault(
            cluster.clone(),
            0.0,
            Fault::RefuseLeader(8.0),
            seed,
        ));
        let outage = Fault::StateOutage(CANCEL_S + 6.0);
        tokio::spawn(inject_fault(cluster.clone(), outage_after_s, outage, seed));
        sleep(Duration::from_secs_f64(outage_after_s + 1.0)).await;
        cluster.lock().unwrap().lost_transaction_answers = 0.0;
        sleep(Duration::from_secs_f64(CANCEL_S + 40.0)).await;
        let w = cluster.lock().unwrap();
        let cancelled = |j: &&Job| j.reported_phase == Some("withdrawn");
        (
            w.site.violations.clone(),
            w.site.jobs.values().filter(cancelled).count(),
        )
    })
}

/// Submits a job that would run forever. From the time `at` on, repeatedly cancels the job and, in
/// parallel, requests its status, each time through some controller.
async fn submit_and_cancel_at(
    cluster: SharedCluster,
    id: String,
    body: serde_json::Value,
    at: f64,
) {
    sleep(Duration::from_secs_f64(1.0)).await;
    let uploaded = Job::new(&body, 1e6);
    cluster
        .lock()
        .unwrap()
        .site
        .jobs
        .insert(id.clone(), uploaded);
    while !matches!(
        send_user_request(
            &cluster,
            Method::POST,
            "/work",
            body.to_string().into_bytes()
        )
        .await,
        Some((200 | 201, _))
    ) {
        sleep(Duration::from_secs(1)).await;
    }
    let now = cluster.lock().unwrap().now();
    cluster
        .lock()
        .unwrap()
        .site
        .jobs
        .get_mut(&id)
        .unwrap()
        .accepted_at = Some(now);
    sleep(Duration::from_secs_f64(at - now)).await;
    cluster.lock().unwrap().site.jobs.get_mut(&id).unwrap().body["asked"] = json!(true);
    let path = format!("/work/{id}");
    tokio::spawn(ask_repeatedly(
        cluster.clone(),
        id.clone(),
        Method::GET,
        path.clone(),
    ));
    ask_repeatedly(cluster, id, Method::POST, format!("{path}/withdraw")).await;
}

async fn ask_repeatedly(cluster: SharedCluster, id: String, method: Method, path: String) {
    loop {
        let asked_at = cluster.lock().unwrap().now();
        if let Some(answer) =
            send_user_request(&cluster, method.clone(), &path, b"{}".to_vec()).await
        {
            record_user_answer(&cluster, &id, asked_at, answer);
        }
        sleep(Duration::from_millis(200)).await;
    }
}

/// Guards against a leader that does not stop the tasks until the outcome of its transaction is
/// known. The transaction is carried out and its answer lost, and another controller reports the
/// cancellation to the user. With the votes of all peers, the leader would then renew the leases of
/// the job's workers throughout an outage.
#[test]
fn a_cancellation_of_unknown_outcome_still_ends_the_tasks() {
    let mut told_users = 0;
    for step in 0..TTL_STEPS {
        let outage_after_s = f64::from(step) * STEP_S;
        let (violations, cancelled) = cancel_between_faults(
            300 + u64::from(step),
            outage_after_s,
            Acknowledgements::Lost,
        );
        assert!(
            violations.is_empty(),
            "outage after {outage_after_s} s: {violations:#?}"
        );
        told_users += cancelled;
    }
    assert!(
        told_users > 3 * TTL_STEPS as usize,
        "only {told_users} users were told of a cancellation"
    );
}

/// The beginning of the outage is varied over one TTL of the leader.
#[test]
fn cancelled_jobs_end_when_first_the_leader_and_then_all_lose_the_state_service() {
    let mut told_users = 0;
    for step in 0..TTL_STEPS {
        let outage_after_s = f64::from(step) * STEP_S;
        let (violations, cancelled) = cancel_between_faults(
            400 + u64::from(step),
            outage_after_s,
            Acknowledgements::Delivered,
        );
        assert!(
            violations.is_empty(),
            "outage after {outage_after_s} s: {violations:#?}"
        );
        told_users += cancelled;
    }
    assert!(
        told_users > 3 * TTL_STEPS as usize,
        "only {told_users} users were told of a cancellation"
    );
}
