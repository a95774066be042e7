//! Workers whose reports arrive and that hear nothing: neither answers nor orders. Their leases
//! run out all the same, so they get no work, and what they had goes elsewhere.

mod simulated_cluster;

use std::time::Duration;

use copperfield_simulation::cluster::LEASE_S;
use copperfield_simulation::history::What;
use serde_json::json;
use tokio::time::sleep;

use simulated_cluster::*;

const DEAF_AT: f64 = 8.0;
/// Small jobs, one a second, from when the workers are deaf.
const JOBS: usize = 10;

/// Two workers hear nothing for so long; perhaps the leader ends 2 s
/// after they went deaf. How long each job takes, the longest first.
fn times(seed: u64, deaf_s: f64, leader_ends: bool) -> Vec<f64> {
    simulate(async move {
        let world = site(seed, 0.0);
        // Nothing else can be had.
        world.lock().unwrap().site.capacity = 6;
        tokio::spawn(workers(world.clone()));
        for deaf in [1, 2] {
            let fault = Fault::Deafen(deaf, deaf_s);
            tokio::spawn(inflict(world.clone(), DEAF_AT, fault, seed));
        }
        if leader_ends {
            let fault = Fault::RestartLeaders(1, 3.0);
            tokio::spawn(inflict(world.clone(), DEAF_AT + 2.0, fault, seed));
        }
        for i in 1..=JOBS {
            let body = job(
                i,
                "sweep",
                4,
                json!({"cpus": 1.0, "bundle": "img-0", "pull_gb": 0.1}),
            );
            let at = DEAF_AT + i as f64;
            let id = format!("wk-{i:06}");
            tokio::spawn(user(world.clone(), id, body, 2.0, at, None));
        }
        sleep(Duration::from_secs_f64(DEAF_AT + deaf_s + 40.0)).await;
        let w = world.lock().unwrap();
        assert!(w.site.broken.is_empty(), "{:#?}", w.site.broken);
        let mut times: Vec<f64> = w
            .site
            .jobs
            .values()
            .map(|j| j.told_at - j.accepted.expect("accepted"))
            .collect();
        times.sort_by(|a, b| b.total_cmp(a));
        times
    })
}

/// An order without an answer once stayed possible until the worker's lease ran out, and then
/// the next was sent there: it had the most room.
#[test]
fn workers_that_hear_nothing_get_no_work() {
    for seed in 0..4 {
        let times = times(seed, 4.0 * LEASE_S, false);
        let (longest, rest) = (times[0], &times[times.len() / 2..]);
        println!("{times:?}");
        // Who was sent there first waits for a lease, but only once.
        assert!(longest < LEASE_S + 8.0, "seed {seed}: {times:?}");
        assert!(rest[0] < 6.0, "seed {seed}: {times:?}");
    }
}

/// Workers whose reports reach nobody, while direct orders reach them, lose their leases, though
/// they answer whatever they are asked. Starts on them, later than half a lease after they fell
/// mute and until they report again.
#[test]
fn workers_that_reach_nobody_get_no_work() {
    for seed in 0..4 {
        let late = simulate(async move {
            let world = site(seed, 0.0);
            tokio::spawn(workers(world.clone()));
            let mute_s = 4.0 * LEASE_S;
            for mute in [1, 2] {
                tokio::spawn(inflict(
                    world.clone(),
                    DEAF_AT,
                    Fault::Mute(mute, mute_s),
                    seed,
                ));
            }
            let service = job(50, "service", 4, json!({"spread": true, "cpus": 1.0}));
            let id = "wk-000050".to_string();
            tokio::spawn(user(world.clone(), id, service, 2.0, 1.0, None));
            for i in 1..=40 {
                let body = job(i, "sweep", 4, json!({"cpus": 1.0, "pull_gb": 0.0}));
                let at = DEAF_AT - 2.0 + i as f64 * 0.5;
                let id = format!("wk-{i:06}");
                tokio::spawn(user(world.clone(), id, body, 2.0, at, None));
            }
            sleep(Duration::from_secs_f64(DEAF_AT + mute_s + 30.0)).await;
            let w = world.lock().unwrap();
            assert!(w.site.broken.is_empty(), "{:#?}", w.site.broken);
            let mute = DEAF_AT + LEASE_S / 2.0 + 1.0..DEAF_AT + mute_s;
            let events = w.site.history.events().iter();
            let on_them = events.filter(|e| mute.contains(&e.at) && e.what == What::Starts);
            let on_them =
                on_them.filter(|e| ["vm-000001", "vm-000002"].contains(&e.worker.as_str()));
            on_them.map(|e| (e.at, e.task.clone())).collect::<Vec<_>>()
        });
        assert!(late.is_empty(), "seed {seed}: {} {late:?}", late.len());
    }
}

/// What a new leader knows of them is what they report, in sessions that end again and again.
#[test]
fn workers_that_hear_nothing_of_a_new_leader_hold_nobody_up_for_longer_than_a_lease() {
    for seed in 0..4 {
        let times = times(seed, 6.0 * LEASE_S, true);
        println!("{times:?}");
        assert!(times[0] < LEASE_S + 12.0, "seed {seed}: {times:?}");
    }
}
