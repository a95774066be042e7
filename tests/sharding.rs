//! Simulations with sharded workers, in which several controllers and workers fail together, or
//! workers change their shard owner while they run tasks.

mod simulated_cluster;

use std::time::Duration;

use copperfield::settings::Switch;
use serde_json::json;
use tokio::time::sleep;

use simulated_cluster::*;

/// Runs one simulation per seed with these faults and checks that no rule is broken.
fn expect_clean_runs(name: &str, seeds: std::ops::Range<u64>, faults: &[(f64, Fault)], loss: f64) {
    for seed in seeds {
        let run = simulate(async {
            let cluster = start_cluster(seed, loss);
            run_scenario_on(cluster, seed, faults, 150.0, JOB_ROUNDS).await
        });
        expect_clean_run(name, seed, JOB_ROUNDS, run);
    }
}

/// Runs a service, a gang and an array job during a fault that must not affect them. Checks that
/// each task is started exactly once, so that none was lost, duplicated or stopped. Returns how
/// often a worker changed to another answering controller.
fn run_jobs_unaffected_by(seed: u64, fault: Fault) -> usize {
    simulate(async {
        let cluster = start_cluster(seed, 0.0);
        for i in 0..6 {
            // With this many workers, losing those that the leader answers does not count as a
            // network fault, in which no worker would be released.
            let (site, zone) = (&mut cluster.lock().unwrap().site, ["a", "b"][i % 2]);
            site.add_worker("small", zone, false, 0.0);
        }
        tokio::spawn(simulate_workers(cluster.clone()));
        let gang = json!({"one_zone": true, "cpus": 1.0});
        for (id, shape, tasks, extra) in [
            (1, "service", 8, json!({"spread": true})),
            (2, "group", 3, gang),
            (3, "sweep", 5, json!({"cpus": 1.0})),
        ] {
            let body = job(id, shape, tasks, extra);
            let name = format!("wk-{id:06}");
            tokio::spawn(simulate_user(cluster.clone(), name, body, 40.0, 1.0, None));
        }
        tokio::spawn(inject_fault(cluster.clone(), 5.0, fault, seed));
        sleep(Duration::from_secs(65)).await;
        let w = cluster.lock().unwrap();
        assert_eq!(w.site.violations, [""; 0], "seed {seed}");
        assert_eq!(w.site.start_count, 16, "seed {seed}");
        for id in [2, 3] {
            let told = w.site.jobs[&format!("wk-{id:06}")].reported_phase;
            assert_eq!(told, Some("done"), "seed {seed}: job {id}");
        }
        w.answered_by.values().map(|by| by.len() - 1).sum()
    })
}

/// Workers change their shard owner without losing tasks when each reports to another controller
/// every second.
#[test]
fn workers_that_change_owner_every_second_keep_their_tasks() {
    for seed in 400..404 {
        let owner_changes = run_jobs_unaffected_by(seed, Fault::SwitchHeartbeatTargets(40, 1.0));
        assert!(
            owner_changes >= 100,
            "seed {seed}: {owner_changes} owner changes"
        );
    }
}

/// Guards against a leader that releases hundreds of healthy workers because it alone has lost its
/// connections to them: its own probes are not answered, while other controllers receive the
/// workers' heartbeats.
#[test]
fn a_leader_without_worker_connections_leads_through_its_relays() {
    for seed in 404..408 {
        run_jobs_unaffected_by(seed, Fault::PartitionLeaderFromWorkers(20.0));
    }
}

/// Workers stay with the controller they report to, so every controller owns some.
#[test]
fn every_controller_owns_workers() {
    let answered_by = simulate(async {
        let cluster = start_cluster(410, 0.0);
        run_scenario_on(cluster.clone(), 410, &[], 40.0, 2).await;
        let w = cluster.lock().unwrap();
        w.answered_by.clone()
    });
    let mut controllers: Vec<usize> = answered_by
        .values()
        .filter_map(|by| by.last().copied())
        .collect();
    controllers.sort_unstable();
    controllers.dedup();
    assert_eq!(controllers.len(), CONTROLLERS, "{answered_by:?}");
}

/// Loses each message between controllers in turn, or the answer to it, while workers change their
/// shard owner.
#[test]
fn a_reassignment_survives_the_loss_of_any_one_message() {
    for step in 0..60 {
        for answer in [false, true] {
            let faults = [
                (8.0, Fault::SwitchHeartbeatTargets(4, 1.5)),
                (8.01, Fault::LosePeerMessage(step, answer)),
            ];
            let name = format!("message {step}, answer lost: {answer}");
            expect_clean_until(&name, 420..421, &faults, 0.0, 60.0, 2);
        }
    }
}

/// Combines failures of controllers and workers with reassignments, in several scenarios.
#[test]
fn shard_owners_and_workers_that_fail_together_break_no_rule() {
    let scenarios: [(&str, &[(f64, Fault)]); 8] = [
        (
            "two controllers and two workers fail at once, during reassignments",
            &[
                (9.5, Fault::SwitchHeartbeatTargets(6, 1.0)),
                (10.0, Fault::CrashController(0)),
                (10.0, Fault::CrashController(1)),
                (10.0, Fault::KillWorker(3)),
                (10.0, Fault::PartitionWorker(2, 9.0)),
                (40.0, Fault::SwitchHeartbeatTargets(8, 0.7)),
                (41.0, Fault::CrashController(2)),
                (41.0, Fault::CrashController(1)),
                (41.2, Fault::HangWorker(5, 5.0)),
            ],
        ),
        (
            "a shard owner and its workers fail in a state service outage",
            &[
                (12.0, Fault::StateOutage(9.0)),
                (13.0, Fault::CrashController(1)),
                (13.0, Fault::PartitionWorker(1, 8.0)),
                (13.0, Fault::PartitionWorker(4, 4.0)),
                (14.0, Fault::SwitchHeartbeatTargets(10, 1.0)),
                (40.0, Fault::PartitionController(2, "*", 10.0)),
                (40.0, Fault::PartitionWorker(2, 10.0)),
                (40.0, Fault::PartitionWorker(5, 10.0)),
            ],
        ),
        (
            "controllers cannot reach each other",
            &[
                (8.0, Fault::PartitionController(0, "host-1", 40.0)),
                (12.0, Fault::SwitchHeartbeatTargets(10, 2.0)),
                (55.0, Fault::PartitionController(1, "host-2", 30.0)),
                (56.0, Fault::PartitionController(0, "host-2", 30.0)),
                (60.0, Fault::SwitchHeartbeatTargets(10, 2.0)),
                (70.0, Fault::KillWorker(1)),
            ],
        ),
        (
            "shard owners are paused during reassignments",
            &[
                (8.0, Fault::SwitchHeartbeatTargets(40, 1.2)),
                (9.0, Fault::PauseController(0, 4.0)),
                (16.0, Fault::PauseController(1, 9.0)),
                (30.0, Fault::PauseController(2, 12.0)),
                (46.0, Fault::PauseController(0, 1.4)),
                (46.0, Fault::PauseController(1, 1.4)),
            ],
        ),
        (
            "a shard owner reaches only its workers, or everything but workers",
            &[
                (9.0, Fault::PartitionController(0, "state", 20.0)),
                (9.0, Fault::PartitionController(0, "host-1", 20.0)),
                (9.0, Fault::PartitionController(0, "host-2", 20.0)),
                (40.0, Fault::PartitionController(1, "vm-000001", 25.0)),
                (40.0, Fault::PartitionController(1, "vm-000003", 25.0)),
                (42.0, Fault::PartitionController(1, "vm-000005", 25.0)),
                (44.0, Fault::SwitchHeartbeatTargets(12, 1.5)),
            ],
        ),
        (
            "immediate restarts during reassignments and with unresponsive workers",
            &[
                (8.0, Fault::SwitchHeartbeatTargets(50, 0.9)),
                (9.0, Fault::RestartLeaders(6, 0.05)),
                (20.0, Fault::RestartAll(0.1)),
                (21.0, Fault::RestartAll(0.3)),
                (24.0, Fault::PartitionWorker(2, 14.0)),
                (27.0, Fault::RestartLeaders(4, 0.2)),
                (50.0, Fault::StateOutage(6.0)),
                (51.0, Fault::RestartAll(0.2)),
            ],
        ),
        (
            "commands do not reach workers whose heartbeats are answered",
            &[
                (10.0, Fault::PartitionController(0, "host-1", 30.0)),
                (10.0, Fault::PartitionController(0, "vm-000001", 30.0)),
                (10.0, Fault::PartitionController(0, "vm-000004", 30.0)),
                (12.0, Fault::SwitchHeartbeatTargets(12, 2.0)),
            ],
        ),
        (
            "a mass loss during reassignments, in which all controllers fail",
            &[
                (9.0, Fault::SwitchHeartbeatTargets(30, 0.8)),
                (10.0, Fault::KillWorker(1)),
                (10.0, Fault::KillWorker(4)),
                (10.1, Fault::PartitionWorker(5, 20.0)),
                (11.0, Fault::RestartAll(0.4)),
                (14.0, Fault::StateOutage(4.0)),
                (30.0, Fault::CrashAll),
                (31.0, Fault::HangWorker(2, 9.0)),
            ],
        ),
    ];
    for (name, faults) in scenarios {
        expect_clean_runs(name, 430..434, faults, 0.004);
    }
}

/// Sharding is on at some controllers and off at others, as happens while an operator restarts them
/// one by one with changed settings.
#[test]
fn mixed_sharding_settings_break_no_rule() {
    for on in 0..8u32 {
        let faults = [
            (8.0, Fault::SwitchHeartbeatTargets(20, 1.5)),
            (12.0, Fault::RestartLeaders(3, 0.3)),
            (30.0, Fault::CrashController(0)),
            (36.0, Fault::PartitionWorker(2, 9.0)),
        ];
        let run = simulate(async {
            let cluster = start_cluster(440, 0.0);
            for i in 0..CONTROLLERS {
                kill_controller(&cluster, i);
                let is_on = on & (1 << i) > 0;
                cluster.lock().unwrap().sharding[i] = if is_on { Switch::On } else { Switch::Off };
                start_controller(&cluster, i, 440 + i as u64);
            }
            run_scenario_on(cluster, 440, &faults, 150.0, JOB_ROUNDS).await
        });
        expect_clean_run(&format!("sharding on at {on:03b}"), 440, JOB_ROUNDS, run);
    }
}

/// A period in which a worker is cut off from all controllers.
struct Cut {
    at_s: f64,
    duration_s: f64,
}

/// Cuts the workers of shard owners off from all controllers during the given periods, while twenty
/// long tasks keep every worker busy. Returns the rules that were broken.
fn violations_with_long_tasks(
    seed: u64,
    cuts: &'static [Cut],
    faults: &[(f64, Fault)],
) -> Vec<String> {
    simulate(async {
        let cluster = start_cluster(seed, 0.0);
        let sweep = job(900, "sweep", 20, json!({"cpus": 1.0}));
        let name = "wk-000900".to_string();
        tokio::spawn(simulate_user(cluster.clone(), name, sweep, 60.0, 0.5, None));
        let shared = cluster.clone();
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(cuts[0].at_s - 0.1)).await;
            let leader_index = leader(&shared).expect("a leader");
            let owned_by_other = |(name, controller): (&String, &usize)| {
                let number: usize = name[3..].parse().expect("worker names end in a number");
                (*controller != leader_index && number <= 6).then_some(number)
            };
            let owned: Vec<usize> = shared
                .lock()
                .unwrap()
                .heartbeat_targets
                .iter()
                .filter_map(owned_by_other)
                .collect();
            for worker in owned {
                for cut in cuts {
                    let fault = Fault::PartitionWorker(worker, cut.duration_s);
                    tokio::spawn(inject_fault(
                        shared.clone(),
                        cut.at_s - cuts[0].at_s + 0.1,
                        fault,
                        seed,
                    ));
                }
            }
        });
        let (violations, ..) = run_scenario_on(cluster, seed, faults, 40.0, 1).await;
        violations
    })
}

/// The fencing record must contain the last answers of shard owners. Otherwise the next leader
/// treats leases as expired that a shard owner has renewed. The previous leader stays down for
/// longer than a TTL, because after a restart it does not know which votes it has granted.
#[test]
fn the_fencing_record_contains_the_last_answers_of_shard_owners() {
    const CUTS: &[Cut] = &[Cut {
        at_s: 10.0,
        duration_s: 25.0,
    }];
    for step in 0..12 {
        let at = 12.4 + 0.1 * f64::from(step);
        let violations =
            violations_with_long_tasks(450, CUTS, &[(at, Fault::RestartLeaders(1, 3.0))]);
        assert!(violations.is_empty(), "step {step}: {violations:#?}");
    }
}

/// Fenced workers are reachable again for one second while the leader cannot store their removal
/// from the fencing record. No shard owner may answer them in that time. If one did and then failed
/// before it could forward anything, the next leader would treat renewed leases as expired.
#[test]
fn no_shard_owner_answers_a_fenced_worker() {
    const CUTS: &[Cut] = &[
        Cut {
            at_s: 10.0,
            duration_s: 4.0,
        },
        Cut {
            at_s: 15.1,
            duration_s: 20.0,
        },
    ];
    for step in 0..16u32 {
        let faults = [
            (
                13.7 + 0.04 * f64::from(step / 2),
                Fault::PartitionLeaderFromState(20.0),
            ),
            (15.0, Fault::CrashFollower(step as usize % 2)),
        ];
        let violations = violations_with_long_tasks(460, CUTS, &faults);
        assert!(violations.is_empty(), "step {step}: {violations:#?}");
    }
}
