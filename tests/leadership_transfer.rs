//! Tests of leadership transfer. A leader that alone cannot reach the state service transfers
//! leadership at once to a controller that can, so that a subsequent outage for all controllers
//! loses no tasks. See docs/notes/cancellation.md.

mod simulated_cluster;

use std::time::Duration;

use copperfield_simulation::cluster::LEASE_S;
use serde_json::json;
use tokio::time::{Instant, sleep};

use simulated_cluster::*;

/// Returns the seconds from the fault until another controller holds the leader key.
fn seconds_until_another_leads(seed: u64, fault: Fault) -> f64 {
    simulate(async move {
        let cluster = start_cluster(seed, 0.0);
        tokio::spawn(simulate_workers(cluster.clone()));
        sleep(Duration::from_secs_f64(6.0 + 0.037 * seed as f64)).await;
        let first = leader(&cluster).expect("a leader");
        let fault_at = Instant::now();
        tokio::spawn(inject_fault(cluster.clone(), 0.0, fault, seed));
        while leader(&cluster).is_none_or(|l| l == first) {
            sleep(Duration::from_millis(5)).await;
        }
        fault_at.elapsed().as_secs_f64()
    })
}

/// Without a transfer the lease would have to expire first, which takes 1.5 s here and 2.5 s with
/// the default settings.
#[test]
fn a_leader_that_alone_cannot_reach_the_state_service_transfers_leadership_within_600_ms() {
    for seed in 0..20 {
        let after_s = seconds_until_another_leads(seed, Fault::RefuseLeader(8.0));
        assert!(after_s < 0.6, "seed {seed}: {after_s} s");
    }
}

/// The peers detect this fault only when the lease of the leader key expires.
#[test]
fn a_leader_cut_off_from_state_service_and_peers_is_replaced_when_its_lease_expires() {
    for seed in 0..6 {
        let after_s =
            seconds_until_another_leads(seed, Fault::PartitionLeaderFromStateAndPeers(8.0));
        assert!((1.0..2.5).contains(&after_s), "seed {seed}: {after_s} s");
    }
}

/// Runs a long job while the leader alone loses the state service and, `outage_after_s` later, all
/// controllers lose it. Returns how often the job's first task was started again.
///
/// No leader would be valid during the outage if it began before the next leader was elected, or
/// while the last one was suspended and therefore granted no vote.
fn count_task_restarts(seed: u64, outage_after_s: f64) -> usize {
    simulate(async move {
        let cluster = start_cluster(seed, 0.0);
        tokio::spawn(simulate_workers(cluster.clone()));
        let body = job(1, "sweep", 6, json!({"cpus": 1.0}));
        let id = "wk-000001".to_string();
        tokio::spawn(simulate_user(cluster.clone(), id, body, 200.0, 1.0, None));
        sleep(Duration::from_secs_f64(8.0)).await;
        tokio::spawn(inject_fault(
            cluster.clone(),
            0.0,
            Fault::RefuseLeader(20.0),
            seed,
        ));
        let outage = Fault::StateOutage(3.0 * LEASE_S);
        tokio::spawn(inject_fault(cluster.clone(), outage_after_s, outage, seed));
        sleep(Duration::from_secs_f64(60.0)).await;
        let w = cluster.lock().unwrap();
        assert!(w.site.violations.is_empty(), "{:#?}", w.site.violations);
        w.site.history.workers_of("wk-000001/0").len() - 1
    })
}

/// Guards against a gap between two leaders in which the outage begins and all worker leases
/// expire.
#[test]
fn an_outage_after_a_leadership_transfer_loses_no_tasks() {
    for step in 0..12u32 {
        let outage_after_s = 0.8 + 0.4 * f64::from(step);
        assert_eq!(
            count_task_restarts(step.into(), outage_after_s),
            0,
            "outage after {outage_after_s} s"
        );
    }
}
