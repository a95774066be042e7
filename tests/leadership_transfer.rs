//! A leader that the state service refuses alone gives way to one that is served, at once, and
//! an outage of all that follows costs no work. Argued in docs/notes/cancellation.md.

mod simulated_cluster;

use std::time::Duration;

use copperfield_simulation::cluster::LEASE_S;
use serde_json::json;
use tokio::time::{Instant, sleep};

use simulated_cluster::*;

/// Seconds from the refusal until another node has the leader key.
fn until_another_leads(seed: u64, how: Fault) -> f64 {
    simulate(async move {
        let world = site(seed, 0.0);
        tokio::spawn(workers(world.clone()));
        sleep(Duration::from_secs_f64(6.0 + 0.037 * seed as f64)).await;
        let first = leader(&world).expect("a leader");
        let refused = Instant::now();
        tokio::spawn(inflict(world.clone(), 0.0, how, seed));
        while leader(&world).is_none_or(|l| l == first) {
            sleep(Duration::from_millis(5)).await;
        }
        refused.elapsed().as_secs_f64()
    })
}

/// Its lease had to run out first: 1.5 s here, 2.5 s by default.
#[test]
fn a_leader_that_is_refused_alone_hands_over_within_a_moment() {
    for seed in 0..20 {
        let after_s = until_another_leads(seed, Fault::RefuseLeader(8.0));
        assert!(after_s < 0.6, "seed {seed}: {after_s} s");
    }
}

/// The others see nothing of its silence but the key, which runs out.
#[test]
fn a_leader_without_state_and_peers_gives_way_when_its_lease_is_over() {
    for seed in 0..6 {
        let after_s = until_another_leads(seed, Fault::CutLeaderOff(8.0));
        assert!((1.0..2.5).contains(&after_s), "seed {seed}: {after_s} s");
    }
}

/// Tasks that ended early on a day with one long job, an outage of all so long after the leader
/// was refused alone. Nobody was valid in such an outage where it began before the next leader
/// was there, or while the one that was refused was suspended and so vouched for nobody.
fn lost(seed: u64, later_s: f64) -> usize {
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
        assert!(w.site.broken.is_empty(), "{:#?}", w.site.broken);
        w.site.history.places("wk-000001/0").len() - 1
    })
}

#[test]
fn an_outage_after_a_hand_over_costs_no_work() {
    for step in 0..12u32 {
        let later_s = 0.8 + 0.4 * f64::from(step);
        assert_eq!(lost(step.into(), later_s), 0, "outage after {later_s} s");
    }
}
