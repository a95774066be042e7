//! Direct messages that workers have carried out and answered arrive again, minutes late and in any
//! order. Guards against a copy of a start that runs a task again after the worker was told to
//! forget the attempt.

mod simulated_cluster;

use std::collections::BTreeMap;

use copperfield::coordination::core::{Input, StepDownReason};
use copperfield::protocol::peer::ShardStatus;
use copperfield::settings::Tuning;
use copperfield_sharding::{COMMAND_TOKENS_FLAG, OwnerStatus};
use copperfield_simulation::core_harness::{CoreHarness, fixed_fleet};
use serde_json::{Value, json};

use simulated_cluster::*;

/// When the first fault begins, in seconds.
const FIRST_FAULT_S: f64 = 1.0;
/// How long messages are repeated, in seconds.
const REPEATING_S: f64 = 60.0;
const TOKEN: u64 = 1000;
const WORKER: &str = "vm-000001";

const TYPES: &str = r#"{"flavors":[
 {"name":"small","cpus":4,"memory_gb":16,"local_gb":50,"pull_gb_per_s":1,"price":0.2,"ready_s":10,"regions":["a","b"]}]}"#;

/// A leader with a fixed number of workers.
fn harness(workers: usize) -> CoreHarness {
    let cluster = json!({"zones": ["a", "b"], "teams": [{"name": "team"}], "objectives": [],
        "workers": {"report_s": 2.5, "lease_s": 12.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 32.0},
        "state": {"rps": 200, "write_rps": 50, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 5},
        "limits": {"max_sockets": 3000}});
    let tuning: Tuning = fixed_fleet();
    let snapshot = copperfield::storage::Snapshot::default();
    let mut harness = CoreHarness::with_tuning(TYPES, cluster, TOKEN, snapshot, tuning);
    for number in 1..=workers {
        let zone = ["a", "b"][number % 2];
        harness.add_worker(&format!("vm-{number:06}"), "small", zone, 0.1);
    }
    harness
}

fn job(number: u32, fields: Value) -> Value {
    let mut body = json!({"uid": format!("wk-{number:06}"), "runtime_s": 3.0});
    for (field, value) in fields.as_object().expect("an object") {
        body[field] = value.clone();
    }
    body
}

/// The status of a shard owner without a shard.
fn shard_status(process: u64, number: u64) -> Input {
    let owner_status = OwnerStatus {
        process,
        number,
        token: 0,
        applied_version: 0,
        released: Vec::new(),
    };
    let status = ShardStatus {
        from: 1,
        owner_status,
        forwarded: Vec::new(),
        outcomes: Vec::new(),
        complete: true,
    };
    Input::ShardStatus { ticket: 0, status }
}

#[test]
fn late_copies_of_starts_of_failed_tasks_run_no_task_twice() {
    let faults = [
        (FIRST_FAULT_S, Fault::RepeatCommands(1.0, REPEATING_S)),
        (FIRST_FAULT_S, Fault::FailTasksOnWorker(1, 20.0)),
        (10.0, Fault::RestartAll(0.2)),
        (20.0, Fault::FailTasksOnWorker(4, 20.0)),
        (30.0, Fault::CrashFollower(0)),
    ];
    expect_clean("failed tasks", 0..6, &faults, 0.0);
}

#[test]
fn late_copies_of_starts_of_cancelled_jobs_start_nothing() {
    let faults = [
        (FIRST_FAULT_S, Fault::RepeatCommands(1.0, REPEATING_S)),
        (8.0, Fault::CancelRunningJobs(3, 0.0)),
        (20.0, Fault::CancelRunningJobs(3, 0.0)),
        (30.0, Fault::CrashFollower(0)),
    ];
    expect_clean("cancelled jobs", 0..6, &faults, 0.0);
}

#[test]
fn a_machine_that_restarts_without_its_token_is_heard_and_its_tasks_run_again() {
    let restarts = (1..=6).map(|i| (4.0 + 2.0 * i as f64, Fault::RestartWorker(i)));
    let faults: Vec<(f64, Fault)> = restarts.collect();
    expect_clean("restarted machines", 0..6, &faults, 0.0);
}

#[test]
fn a_machine_that_restarts_without_its_token_starts_no_forgotten_attempt() {
    let mut faults = vec![(FIRST_FAULT_S, Fault::RepeatCommands(1.0, REPEATING_S))];
    faults.extend((1..=6).map(|i| (4.0 + 2.0 * i as f64, Fault::RestartWorker(i))));
    expect_clean("restarted machines", 0..6, &faults, 0.0);
}

#[test]
fn late_copies_of_all_other_requests_violate_no_rule() {
    let faults = [
        (0.5, Fault::RepeatRequests(1.0, REPEATING_S)),
        (8.0, Fault::CancelRunningJobs(3, 0.0)),
        (10.0, Fault::RestartAll(0.2)),
        (20.0, Fault::RestartLeaders(2, 0.3)),
        (30.0, Fault::StateOutage(5.0)),
    ];
    expect_clean("repeated requests", 0..6, &faults, 0.0);
}

/// All direct messages arrive again twice a second, the newest first, while tasks complete, fail,
/// are preempted and cancelled.
#[test]
fn copies_of_all_messages_start_no_attempt_again() {
    let mut harness = harness(6);
    harness.failing_workers.insert(WORKER.into());
    harness.submit(&job(1, json!({"shards": 60})));
    harness.submit(&job(
        2,
        json!({"shape": "group", "shards": 4, "one_zone": true}),
    ));
    harness.submit(&job(
        3,
        json!({"shards": 12, "rank": "best_effort", "runtime_s": 60.0}),
    ));
    harness.run(4.0);
    let cancelled = harness.submit(&job(4, json!({"shards": 8, "runtime_s": 30.0})));
    harness.submit(&job(
        5,
        json!({"shape": "service", "rank": "production", "shards": 8}),
    ));
    for round in 0..240 {
        harness.run(0.5);
        harness.repeat_messages();
        match round {
            20 => harness.cancel(cancelled),
            40 => harness.fail_over(),
            60 => {
                harness.failing_workers.clear();
            }
            _ => {}
        }
    }
    let mut starts: BTreeMap<(&str, u64), u32> = BTreeMap::new();
    for event in harness.history.events() {
        let is_start = event.kind == copperfield_simulation::history::EventKind::Started;
        *starts.entry((&event.task, event.attempt)).or_default() += u32::from(is_start);
    }
    let repeated: Vec<_> = starts.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "{repeated:?}");
    assert_eq!(harness.history.violations([]), [""; 0]);
    assert!(starts.len() > 80, "only {} attempts", starts.len());
}

#[test]
fn a_worker_lists_few_exited_tasks_under_one_leader_with_many_short_tasks() {
    let mut harness = harness(4);
    harness.submit(&job(1, json!({"shards": 3000, "runtime_s": 0.5})));
    let mut most_listed = 0;
    for _ in 0..200 {
        harness.run(1.0);
        most_listed = most_listed.max(harness.listed_tasks(WORKER));
    }
    let completed = harness.history.completed().len();
    assert!(completed > 1000, "only {completed} tasks completed");
    assert!(most_listed < 40, "{most_listed} tasks are listed");
}

#[test]
fn a_gang_starts_whole_on_one_worker_that_may_not_forget_other_tasks() {
    let mut harness = harness(1);
    harness
        .core
        .enable_sharding(0, &[("host-0", "a"), ("host-1", "b")]);
    harness.schedule(shard_status(9, 1));
    harness.run(1.0);
    harness.submit(&job(1, json!({"shards": 2, "runtime_s": 1.0})));
    harness.run(10.0);
    assert_eq!(harness.listed_tasks(WORKER), 2);
    let gang = harness.submit(&job(
        2,
        json!({"shape": "group", "shards": 3, "runtime_s": 60.0}),
    ));
    harness.run(5.0);
    assert_eq!(harness.instances_of(gang).len(), 3);
}

#[test]
fn no_worker_forgets_a_direct_start_while_a_controller_of_an_earlier_version_takes_part() {
    let mut harness = harness(1);
    let controllers = [("host-0", "a"), ("host-1", "b")];
    harness.core.enable_sharding(0, &controllers);
    harness.schedule(shard_status(9, 1));
    harness.run(1.0);
    harness.submit(&job(1, json!({"shards": 4, "runtime_s": 1.0})));
    harness.run(20.0);
    assert_eq!(harness.listed_tasks(WORKER), 4);
    harness.schedule(shard_status(9 | COMMAND_TOKENS_FLAG, 1));
    harness.run(20.0);
    assert_eq!(harness.listed_tasks(WORKER), 0);
    assert_eq!(harness.stepped_down, None);
    harness.schedule(shard_status(10, 1));
    harness.run(1.0);
    assert_eq!(harness.stepped_down, Some(StepDownReason::OldPeer));
}
