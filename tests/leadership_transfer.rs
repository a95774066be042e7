//! A leader that alone cannot reach the state service transfers leadership at once to a controller
//! that can, and an outage for all that follows costs no work: docs/notes/cancellation.md.

mod simulated_cluster;

use std::time::Duration;

use copperfield_simulation::cluster::LEASE_S;
use serde_json::json;
use tokio::time::{Instant, sleep};

use simulated_cluster::*;

/// Seconds from the fault until another controller has the leader key.
fn seconds_until_another_leads(seed: u64, fault: Fault) -> f64 {
    simulate(async move {
        let world = site(seed, 0.0);
        tokio::spawn(workers(world.clone()));
        sleep(Duration::from_secs_f64(6.0 + 0.037 * seed as f64)).await;
        let first = leader(&world).expect("a leader");
        let fault_at = Instant::now();
        tokio::spawn(inflict(world.clone(), 0.0, fault, seed));
        while leader(&world).is_none_or(|l| l == first) {
            sleep(Duration::from_millis(5)).await;
        }
        fault_at.elapsed().as_secs_f64()
    })
}

/// Without a transfer its lease would have to expire first: 1.5 s here, 2.5 s by default.
#[test]
fn a_leader_that_alone_cannot_reach_the_store_transfers_leadership_within_600_ms() {
    for seed in 0..20 {
        let after_s = seconds_until_another_leads(seed, Fault::RefuseLeader(8.0));
        assert!(after_s < 0.6, "seed {seed}: {after_s} s");
    }
}

/// Its peers see nothing of the fault but the leader key, whose lease expires.
#[test]
fn a_leader_cut_off_from_store_and_peers_is_replaced_when_its_lease_expires() {
    for seed in 0..6 {
        let after_s = seconds_until_another_leads(seed, Fault::CutLeaderOff(8.0));
        assert!((1.0..2.5).contains(&after_s), "seed {seed}: {after_s} s");
    }
}

/// Tasks of one long job that ended early, with an outage for all `later_s` after the leader alone
/// lost the state service. In such an outage nobody would be valid if it began before the next
/// leader was there, or while the last one was suspended and so granted no vote.
fn lost_tasks(seed: u64, later_s: f64) -> usize {
    simulate(async move {
        let world = site(seed, 0.0);
        tokio::spawn(workers(world.clone()));
        let body = job(1, "sweep", 6, json!({"cpus": 1.0}));
        let id = "wk-000001".to_string();
        tokio::spawn(user(world.clone(), id, body, 200.0, 1.0, None));
        sleep(Duration::from_secs_f64(8.0)).await;
        tokio::spawn(inflict(world.clone(), 0.0, Fault::RefuseLeader(20.0), seed));
        let outage = Fault::Outage(3.0 * LEASE_S);
        tokio::spawn(inflict(world.clone(), later_s, outage, seed));
        sleep(Duration::from_secs_f64(60.0)).await;
        let w = world.lock().unwrap();
        assert!(w.site.violations.is_empty(), "{:#?}", w.site.violations);
        w.site.history.workers_of("wk-000001/0").len() - 1
    })
}

#[test]
fn an_outage_after_a_leadership_transfer_loses_no_tasks() {
    for step in 0..12u32 {
        let later_s = 0.8 + 0.4 * f64::from(step);
        assert_eq!(
            lost_tasks(step.into(), later_s),
            0,
            "outage after {later_s} s"
        );
    }
}
