//! Tests of one-way partitions: workers whose heartbeats arrive but that receive neither answers
//! nor commands, and the reverse. In both cases their leases expire, so they must get no tasks, and
//! the tasks they had must start elsewhere.

mod simulated_cluster;

use std::time::Duration;

use copperfield_simulation::cluster::LEASE_S;
use copperfield_simulation::history::EventKind;
use serde_json::json;
use tokio::time::sleep;

use simulated_cluster::*;

const PARTITION_AT_S: f64 = 8.0;
/// Number of small jobs, submitted at one per second from the beginning of the partition.
const JOBS: usize = 10;

/// Partitions two workers for `partition_s` seconds so that they receive nothing. If
/// `leader_crashes`, the leader crashes 2 s after the partition began. Returns the duration of each
/// job in seconds, in descending order.
fn job_durations(seed: u64, partition_s: f64, leader_crashes: bool) -> Vec<f64> {
    simulate(async move {
        let cluster = start_cluster(seed, 0.0);
        // The cloud has no further workers.
        cluster.lock().unwrap().site.capacity = 6;
        tokio::spawn(simulate_workers(cluster.clone()));
        for worker in [1, 2] {
            let fault = Fault::DropMessagesToWorker(worker, partition_s);
            tokio::spawn(inject_fault(cluster.clone(), PARTITION_AT_S, fault, seed));
        }
        if leader_crashes {
            let fault = Fault::RestartLeaders(1, 3.0);
            tokio::spawn(inject_fault(
                cluster.clone(),
                PARTITION_AT_S + 2.0,
                fault,
                seed,
            ));
        }
        for i in 1..=JOBS {
            let body = job(
                i,
                "sweep",
                4,
                json!({"cpus": 1.0, "bundle": "img-0", "pull_gb": 0.1}),
            );
            let at = PARTITION_AT_S + i as f64;
            let id = format!("wk-{i:06}");
            tokio::spawn(simulate_user(cluster.clone(), id, body, 2.0, at, None));
        }
        sleep(Duration::from_secs_f64(PARTITION_AT_S + partition_s + 40.0)).await;
        let w = cluster.lock().unwrap();
        assert!(w.site.violations.is_empty(), "{:#?}", w.site.violations);
        let mut times: Vec<f64> = w
            .site
            .jobs
            .values()
            .map(|j| j.reported_at - j.accepted_at.expect("accepted"))
            .collect();
        times.sort_by(|a, b| b.total_cmp(a));
        times
    })
}

/// Guards against starts on workers that cannot receive them. Such a start stays unresolved until
/// the worker's lease expires, and the next one would go to the same worker because it has the most
/// room.
#[test]
fn workers_that_receive_nothing_get_no_tasks() {
    for seed in 0..4 {
        let times = job_durations(seed, 4.0 * LEASE_S, false);
        let (longest, rest) = (times[0], &times[times.len() / 2..]);
        println!("{times:?}");
        // The first job that is sent to a partitioned worker waits for one lease, but only once.
        assert!(longest < LEASE_S + 8.0, "seed {seed}: {times:?}");
        assert!(rest[0] < 6.0, "seed {seed}: {times:?}");
    }
}

/// The heartbeats of two workers reach no controller, but direct messages reach the workers. They
/// lose their leases although they answer every probe, so nothing may start on them from half a
/// lease after the partition begins until it ends.
#[test]
fn workers_whose_heartbeats_are_lost_get_no_tasks() {
    for seed in 0..4 {
        let starts = simulate(async move {
            let cluster = start_cluster(seed, 0.0);
            tokio::spawn(simulate_workers(cluster.clone()));
            let partition_s = 4.0 * LEASE_S;
            for worker in [1, 2] {
                tokio::spawn(inject_fault(
                    cluster.clone(),
                    PARTITION_AT_S,
                    Fault::DropHeartbeatsFromWorker(worker, partition_s),
                    seed,
                ));
            }
            let service = job(50, "service", 4, json!({"spread": true, "cpus": 1.0}));
            let id = "wk-000050".to_string();
            tokio::spawn(simulate_user(cluster.clone(), id, service, 2.0, 1.0, None));
            for i in 1..=40 {
                let body = job(i, "sweep", 4, json!({"cpus": 1.0, "pull_gb": 0.0}));
                let at = PARTITION_AT_S - 2.0 + i as f64 * 0.5;
                let id = format!("wk-{i:06}");
                tokio::spawn(simulate_user(cluster.clone(), id, body, 2.0, at, None));
            }
            sleep(Duration::from_secs_f64(PARTITION_AT_S + partition_s + 30.0)).await;
            let w = cluster.lock().unwrap();
            assert!(w.site.violations.is_empty(), "{:#?}", w.site.violations);
            let unusable = PARTITION_AT_S + LEASE_S / 2.0 + 1.0..PARTITION_AT_S + partition_s;
            let events = w.site.history.events().iter();
            let starts =
                events.filter(|e| unusable.contains(&e.at) && e.kind == EventKind::Started);
            let starts = starts.filter(|e| ["vm-000001", "vm-000002"].contains(&e.worker.as_str()));
            starts.map(|e| (e.at, e.task.clone())).collect::<Vec<_>>()
        });
        assert!(
            starts.is_empty(),
            "seed {seed}: {} starts: {starts:?}",
            starts.len()
        );
    }
}

/// A new leader knows of the partitioned workers only through their heartbeats, whose incarnations
/// end repeatedly because the workers receive no answers.
#[test]
fn workers_that_never_learn_of_a_new_leader_delay_jobs_by_at_most_one_lease() {
    for seed in 0..4 {
        let times = job_durations(seed, 6.0 * LEASE_S, true);
        println!("{times:?}");
        assert!(times[0] < LEASE_S + 12.0, "seed {seed}: {times:?}");
    }
}
