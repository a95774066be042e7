//! Tests of the core on a simulated cluster whose workers execute commands at once. Each test
//! guards against a fault that has occurred.

use std::collections::BTreeSet;

use copperfield::protocol::JobId;
use copperfield::protocol::worker::{Command, Verb};
use copperfield::storage::{Snapshot, StoredRegistryPage};
use copperfield_simulation::core_harness::{CoreHarness, stored_job};
use serde_json::{Value, json};

const TYPES: &str = r#"{"flavors":[
 {"name":"small","cpus":4,"memory_gb":16,"local_gb":50,"pull_gb_per_s":1,"price":0.2,"ready_s":10,"regions":["a","b"]},
 {"name":"big","cpus":12,"gpus":2,"memory_gb":48,"local_gb":90,"pull_gb_per_s":1,"price":5.0,"ready_s":10,"regions":["a","b"]}]}"#;

fn cluster() -> Value {
    json!({"zones": ["a", "b"], "teams": [{"name": "team"}],
        "objectives": [{"kind": "wait", "class": "bake", "within_s": 20.0}, {"kind": "wait", "class": "bake", "within_s": 90.0},
            {"kind": "wait", "class": "web", "within_s": 1.0}],
        "workers": {"report_s": 2.0, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 30.0},
        "state": {"rps": 200, "write_rps": 50, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 5},
        "limits": {"max_sockets": 1000}})
}

/// A harness with `count` workers of a type in a zone for each entry, named a-small-0, a-small-1
/// and so on.
fn harness_with(workers: &[(&'static str, &'static str, usize)]) -> CoreHarness {
    let mut harness = CoreHarness::new(TYPES, cluster(), 50);
    for &(zone, flavor, count) in workers {
        for i in 0..count {
            let name = format!("{zone}-{flavor}-{i}");
            // Heartbeats are spread over the heartbeat interval, as in a real cluster.
            harness.add_worker(&name, flavor, zone, 0.1 + i as f64 * 1.9 / count as f64);
        }
    }
    harness
}

fn service_job(id: u64, tasks: u32) -> Value {
    json!({"uid": format!("wk-{id:06}"), "shape": "service", "rank": "production", "shards": tasks,
        "cpus": 2.0, "runtime_s": 0.0, "spread": true, "bundle": "web"})
}

fn gang_job(id: u64, tasks: u32, runtime_s: f64) -> Value {
    json!({"uid": format!("wk-{id:06}"), "jobclass": "bake", "shape": "group", "shards": tasks,
        "cpus": 10.0, "gpus": 2.0, "memory_gb": 38.0, "runtime_s": runtime_s, "one_zone": true,
        "snapshot_every_s": 45.0, "snapshot_s": 2.0, "flavors": ["big"]})
}

fn tasks_placed(harness: &CoreHarness, job: JobId) -> usize {
    let tasks: BTreeSet<u32> = harness
        .instances_of(job)
        .into_iter()
        .map(|(task, _)| task)
        .collect();
    tasks.len()
}

/// Guards against scaling in the workers of a partitioned zone one by one as each becomes late.
/// Their replicas go on serving during the partition, and were missing after it.
#[test]
fn partitioned_zone_keeps_its_workers_and_replicas_return_with_it() {
    let mut harness = harness_with(&[("a", "small", 8), ("b", "small", 8)]);
    let job = harness.submit(&service_job(1, 8));
    harness.run(20.0);
    assert_eq!(tasks_placed(&harness, job), 8);
    let partitioned: BTreeSet<String> = (0..8).map(|i| format!("b-small-{i}")).collect();
    let in_partition = harness
        .instances_of(job)
        .iter()
        .filter(|(_, worker)| partitioned.contains(*worker))
        .count();
    assert_eq!(in_partition, 4, "half of the replicas are in each zone");
    harness.unreachable = partitioned.clone();
    harness.run(16.0);
    assert_eq!(harness.scaled_in, Vec::<String>::new());
    // A `spread` job may have at most half of its replicas in one zone, so no replacements start in
    // the other zone.
    harness.unreachable.clear();
    harness.run(4.0);
    assert_eq!(tasks_placed(&harness, job), 8);
}

/// A single hung worker is scaled in while the others of its zone send heartbeats. That proves at
/// once that its replicas are gone, so they can be restarted.
#[test]
fn single_hung_worker_is_scaled_in_to_restart_its_replicas() {
    let mut harness = harness_with(&[("a", "small", 8), ("b", "small", 8)]);
    let job = harness.submit(&service_job(1, 8));
    harness.run(20.0);
    let hung = harness.instances_of(job)[0].1.to_string();
    harness.unreachable.insert(hung.clone());
    harness.run(5.0);
    assert_eq!(harness.scaled_in, vec![hung]);
    assert_eq!(tasks_placed(&harness, job), 8);
}

/// Guards against treating a service as faulty for ever after one failure. A replica never ends
/// successfully, so nothing cleared the suspicion, and with its other replicas running the service
/// started no more.
#[test]
fn replica_that_failed_on_a_faulty_worker_starts_elsewhere() {
    let mut harness = harness_with(&[("a", "small", 3), ("b", "small", 3)]);
    let job = harness.submit(&service_job(1, 4));
    harness.run(20.0);
    let lost = harness.instances_of(job)[0].1.to_string();
    harness.failing_workers = (0..3).map(|i| format!("a-small-{i}")).collect();
    harness.failing_workers.remove(&lost);
    harness.unreachable.insert(lost);
    harness.run(25.0);
    harness.failing_workers.clear();
    harness.run(30.0);
    assert_eq!(tasks_placed(&harness, job), 4);
}

/// Waiting replicas preempt gangs if there is no other way to make room.
#[test]
fn replicas_preempt_a_gang_where_there_is_no_other_room() {
    let mut harness = harness_with(&[("a", "big", 2), ("b", "big", 2)]);
    let gangs: Vec<JobId> = [1, 2]
        .map(|id| harness.submit(&gang_job(id, 2, 500.0)))
        .into();
    harness.run(10.0);
    assert!(gangs.iter().all(|&g| tasks_placed(&harness, g) == 2));
    let job = harness.submit(&service_job(9, 6));
    harness.run(10.0);
    assert_eq!(tasks_placed(&harness, job), 6);
}

/// Guards against starvation of gangs: single tasks took each worker as it became free, and a gang
/// of several tasks waited for minutes. A gang reserves workers when it is close to its next
/// objective.
#[test]
fn late_gang_gets_workers_although_single_tasks_keep_arriving() {
    let mut harness = harness_with(&[("a", "big", 3)]);
    for id in 1..=3 {
        harness.submit(&gang_job(id, 1, 10.0 + id as f64 * 3.0));
    }
    harness.run(3.0);
    let gang = harness.submit(&gang_job(50, 3, 30.0));
    // A new single task for each one that ends: no two workers are ever free at the same time.
    let mut placed_at = None;
    for id in 100..160 {
        if id % 3 == 0 {
            harness.submit(&gang_job(id, 1, 12.0));
        }
        harness.run(2.0);
        if placed_at.is_none() && tasks_placed(&harness, gang) == 3 {
            placed_at = Some(harness.now);
        }
    }
    let placed_at = placed_at.expect("the gang is placed");
    assert!(
        placed_at < 95.0,
        "in time for its second objective: {placed_at}"
    );
}

/// Guards against replicas that stay on the largest workers where they were started, so that gangs
/// compete for the remaining ones.
#[test]
fn replicas_migrate_off_a_large_worker_that_a_gang_waits_for() {
    let mut harness = harness_with(&[("a", "big", 2)]);
    let job = harness.submit(
        &json!({"uid": "wk-000001", "shape": "service", "rank": "production",
        "shards": 4, "cpus": 2.0, "runtime_s": 0.0, "bundle": "web"}),
    );
    harness.run(40.0);
    for i in 0..2 {
        harness.add_worker(&format!("a-small-{i}"), "small", "a", harness.now + 0.1);
    }
    let gang = harness.submit(&gang_job(2, 2, 60.0));
    harness.run(15.0);
    assert_eq!(tasks_placed(&harness, gang), 2);
    harness.run(5.0);
    assert_eq!(tasks_placed(&harness, job), 4, "every replica runs again");
}

/// Workers are stored many to a registry page, not with one write each.
#[test]
fn many_workers_share_one_registry_page() {
    let mut harness = harness_with(&[("a", "small", 60), ("b", "small", 60)]);
    harness.run(10.0);
    assert!(
        harness.written_changes <= 60,
        "{} changes for 120 workers",
        harness.written_changes
    );
    let stored: usize = harness
        .registry
        .values()
        .map(|v| v.as_object().expect("a map").len())
        .sum();
    assert_eq!(stored, 120);
    assert!(
        harness.largest_value_bytes <= 8 * 1024,
        "within the value limit"
    );
}

/// Guards against keeping dead workers in the registry: the next leader waited for their heartbeats
/// for a whole lease.
#[test]
fn worker_with_an_expired_lease_leaves_the_registry() {
    let mut harness = harness_with(&[("a", "small", 3)]);
    harness.run(5.0);
    harness.unreachable.insert("a-small-1".into());
    harness.run(15.0);
    assert_eq!(registered_workers(&harness), ["a-small-0", "a-small-2"]);
    expect_lost_worker_to_return(harness);
}

/// Checks that a worker that returns is registered again and used.
fn expect_lost_worker_to_return(mut harness: CoreHarness) {
    harness.unreachable.clear();
    harness.run(4.0);
    let job = harness.submit(&json!({"uid": "wk-000001", "shards": 12, "memory_gb": 1.0}));
    harness.run(3.0);
    assert_eq!(
        tasks_placed(&harness, job),
        12,
        "a worker that returns is registered again before it is used"
    );
}

/// The names of the workers in the stored registry.
fn registered_workers(harness: &CoreHarness) -> Vec<&String> {
    let pages = harness.registry.values();
    pages
        .flat_map(|page| page.as_object().expect("a map").keys())
        .collect()
}

/// Guards against the same for workers that this leader has never heard: they stayed in the
/// registry for ever, and each later failover blocked the older jobs for a lease.
#[test]
fn lost_worker_that_the_leader_never_heard_leaves_the_registry() {
    let mut harness = harness_with(&[("a", "small", 3)]);
    harness.run(5.0);
    harness.unreachable.insert("a-small-1".into());
    harness.fail_over();
    harness.run(18.0);
    assert_eq!(registered_workers(&harness), ["a-small-0", "a-small-2"]);
    expect_lost_worker_to_return(harness);
}

/// A leader that has recovered a job, and a registry of two workers, of which only a-small-0 sends
/// heartbeats. `spot` makes a-small-1 a spot worker, and `edit_pages` changes the stored registry.
fn recovered_with_one_unresponsive(
    spot: bool,
    edit_pages: impl Fn(Vec<StoredRegistryPage>) -> Vec<StoredRegistryPage>,
) -> (CoreHarness, JobId) {
    let mut before = harness_with(&[("a", "small", 2)]);
    before.run(3.0);
    let mut pages = before.stored_registry();
    for (name, record) in pages[0].workers.iter_mut().flatten() {
        record.spot = spot && name == "a-small-1";
    }
    let snapshot = Snapshot {
        jobs: vec![stored_job(&json!({"uid": "wk-000001"}), 40)],
        progress: Vec::new(),
        registry: edit_pages(pages),
        ..Snapshot::default()
    };
    let mut harness = CoreHarness::from_snapshot(TYPES, cluster(), 60, snapshot);
    harness.add_worker("a-small-0", "small", "a", 0.2);
    harness.run(2.0);
    (harness, JobId(1))
}

/// Guards against blocking jobs needlessly after a failover. One reclaimed spot worker blocked
/// every old job for a whole lease, although most of them could not have been on it.
#[test]
fn unresponsive_spot_worker_blocks_only_jobs_that_may_be_on_it() {
    let (harness, job) = recovered_with_one_unresponsive(true, |pages| pages);
    assert_eq!(
        tasks_placed(&harness, job),
        1,
        "the job does not allow spot workers"
    );
    let (harness, job) = recovered_with_one_unresponsive(false, |pages| pages);
    assert_eq!(
        tasks_placed(&harness, job),
        0,
        "the job may be on the unresponsive worker"
    );
}

/// A registry page that does not parse is kept, and jobs that may be on its workers are blocked
/// until the leases of these have expired.
#[test]
fn unreadable_registry_page_blocks_old_jobs_for_one_lease() {
    let (mut harness, job) = recovered_with_one_unresponsive(false, |mut pages| {
        pages[0].workers = None;
        pages
    });
    assert_eq!(tasks_placed(&harness, job), 0);
    harness.run(9.5);
    assert_eq!(tasks_placed(&harness, job), 1);
    assert!(
        !harness.registry.contains_key(&0),
        "the unreadable page is never overwritten"
    );
}

/// A job of the maximum size: its done bits are stored in chunks within the value limit, and its
/// size does not delay other jobs.
#[test]
fn job_of_100_000_tasks_does_not_delay_others() {
    let mut harness = harness_with(&[("a", "small", 8), ("b", "small", 8)]);
    harness.submit(
        &json!({"uid": "wk-000001", "shards": 100_000, "runtime_s": 2.0, "memory_gb": 1.0}),
    );
    harness.run(20.0);
    assert!(harness.start_count > 200, "{} starts", harness.start_count);
    assert!(
        harness.largest_value_bytes > 1000,
        "the done bits are stored"
    );
    assert!(
        harness.largest_value_bytes <= 8 * 1024,
        "in chunks within the value limit"
    );
    let job = harness.submit(&service_job(2, 4));
    harness.run(4.0);
    assert_eq!(
        tasks_placed(&harness, job),
        4,
        "replicas are placed at once"
    );
}

/// The harness panics when two instances of a task run.
#[test]
#[should_panic(expected = "ran twice")]
fn duplicate_task_instance_is_detected_by_the_harness() {
    let mut harness = harness_with(&[("a", "small", 2)]);
    let job = harness.submit(&json!({"uid": "wk-000001"}));
    harness.run(3.0);
    let first = harness.instances_of(job)[0].1.to_string();
    let other = if first == "a-small-0" {
        "a-small-1"
    } else {
        "a-small-0"
    };
    let start = Command {
        verb: Verb::Start,
        job,
        task: 0,
        attempt: 7,
    };
    harness.execute_commands(other, harness.core.token, &[start]);
}

/// Guards against a leader that takes every worker for unresponsive after a pause of its process.
/// It resigned, and scaled in healthy workers.
#[test]
fn leader_after_a_process_pause_treats_no_worker_as_unresponsive() {
    for (pause_s, pause_reported) in [(2.0, true), (9.0, true), (9.0, false)] {
        let mut harness = harness_with(&[("a", "small", 8), ("b", "small", 8)]);
        let job = harness.submit(&service_job(1, 12));
        harness.run(30.0);
        harness.pause(pause_s);
        if pause_reported {
            harness.core.handle_pause(pause_s);
        }
        // The first step after the pause runs before any heartbeat has been received.
        harness.unreachable = ["a", "b"]
            .iter()
            .flat_map(|zone| (0..8).map(move |i| format!("{zone}-small-{i}")))
            .collect();
        harness.run(0.06);
        assert_eq!(harness.core.has_lost_all_workers(), !pause_reported);
        harness.unreachable.clear();
        harness.run(1.0);
        assert!(
            !pause_reported || harness.scaled_in.is_empty(),
            "{:?}",
            harness.scaled_in
        );
        harness.run(20.0);
        assert_eq!(tasks_placed(&harness, job), 12);
    }
}

/// Guards against attributing the failures of faulty jobs to workers. Several jobs that fail
/// everywhere, each on its first attempts, looked like good jobs on a faulty worker, and workers
/// that had run nothing else were scaled in.
#[test]
fn failing_jobs_cost_no_healthy_worker_and_few_starts() {
    let mut harness = harness_with(&[("a", "small", 4), ("b", "small", 4)]);
    for id in 1..=12 {
        let mut body = json!({"uid": format!("wk-{id:06}"), "shards": 40});
        if id % 3 == 0 {
            body["shape"] = json!("group");
            body["shards"] = json!(4);
        }
        let job = harness.submit(&body);
        harness.failing_jobs.insert(job);
    }
    harness.run(60.0);
    assert!(harness.scaled_in.is_empty(), "{:?}", harness.scaled_in);
    assert!(
        harness.start_count < 12 * 30,
        "{} starts",
        harness.start_count
    );
    let good = harness.submit(&json!({"uid": "wk-000099", "shards": 32}));
    harness.run(1.0);
    assert_eq!(tasks_placed(&harness, good), 32, "no worker is excluded");
    let before = harness.start_count;
    harness.run(120.0);
    assert!(
        harness.start_count - before < 12 * 10,
        "retries become less frequent"
    );
}

/// Whether a failure is attributed to the worker or to the job depends on whether the job runs well
/// elsewhere.
#[test]
fn faulty_worker_is_recognized_by_a_job_that_runs_elsewhere() {
    let mut harness = harness_with(&[("a", "small", 1), ("b", "small", 2)]);
    harness.failing_workers.insert("a-small-0".into());
    let first = harness.submit(&json!({"uid": "wk-000001", "shards": 9, "runtime_s": 15.0}));
    harness.run(20.0);
    let next = harness.submit(&json!({"uid": "wk-000002", "shards": 8, "runtime_s": 15.0}));
    harness.run(3.0);
    let runs_on_faulty_worker = |job| {
        harness
            .instances_of(job)
            .iter()
            .any(|(_, worker)| *worker == "a-small-0")
    };
    assert!(!runs_on_faulty_worker(first) && !runs_on_faulty_worker(next));
}

/// Guards against workers that never boot: the leader waited for them, and counted on their
/// capacity, for minutes.
#[test]
fn worker_that_never_boots_is_replaced_once_and_scaled_in() {
    let mut harness = harness_with(&[("a", "small", 1)]);
    harness.cloud_capacity = 100;
    harness.submit(&json!({"uid": "wk-000001", "shards": 8, "runtime_s": 400.0}));
    harness.run(10.0);
    let provisioned = harness.provisioned_at.len();
    assert_eq!(provisioned, 1, "4 of 8 tasks have no room");
    harness.run(20.0);
    assert_eq!(
        harness.provisioned_at.len(),
        2,
        "replaced once when it is overdue, and not again"
    );
    harness.run(30.0);
    assert!(harness.scaled_in.contains(&"rented-0".to_string()));
}

/// Guards against slow preemption. Preempted tasks with checkpoints get a grace period to save one,
/// and replicas that had to start within a second waited for that, although other tasks could have
/// been stopped at once.
#[test]
fn urgent_replica_preempts_tasks_that_need_no_checkpoint() {
    let mut harness = harness_with(&[("a", "small", 4), ("b", "small", 4)]);
    let checkpointing = json!({"uid": "wk-000001", "rank": "best_effort", "shards": 16, "runtime_s": 300.0,
        "snapshot_every_s": 30.0, "snapshot_s": 3.0});
    let checkpointing = harness.submit(&checkpointing);
    let without_checkpoints = harness.submit(
        &json!({"uid": "wk-000002", "rank": "best_effort", "shards": 16, "runtime_s": 300.0}),
    );
    harness.run(10.0);
    assert_eq!(
        (
            tasks_placed(&harness, checkpointing),
            tasks_placed(&harness, without_checkpoints)
        ),
        (16, 16)
    );
    let mut urgent = service_job(3, 4);
    urgent["jobclass"] = json!("web");
    let urgent = harness.submit(&urgent);
    harness.run(0.3);
    let placed = (
        tasks_placed(&harness, checkpointing),
        tasks_placed(&harness, without_checkpoints),
    );
    assert_eq!(placed, (16, 8), "two tasks are stopped for each replica");
    harness.run(2.0);
    assert_eq!(tasks_placed(&harness, urgent), 4);
}

/// Guards against evaluating every job on every worker in every batch. With thousands of jobs of
/// one task each, that took longer than the batch interval, and the ratio checked here was 200.
#[test]
fn batch_time_stays_small_with_thousands_of_small_jobs() {
    let step_time = |small_jobs: u64| {
        let mut harness = harness_with(&[("a", "small", 60), ("b", "small", 60)]);
        harness.submit(&json!({"uid": "wk-000001", "shards": 600, "runtime_s": 500.0}));
        for id in 0..small_jobs {
            let cpus = 0.2 + 0.1 * (id % 3) as f64;
            harness.submit(
                &json!({"uid": format!("wk-{:06}", 1000 + id), "rank": "best_effort",
                "cpus": cpus, "runtime_s": 3.0}),
            );
        }
        harness.run(10.0);
        harness.step_durations_s.iter().sum::<f64>()
    };
    let (baseline, loaded) = (step_time(0), step_time(1500));
    assert!(
        loaded < 20.0 * baseline,
        "{loaded} s with small jobs, {baseline} s without"
    );
}

/// Guards against carrying the lease of an old incarnation over to a new one. The heartbeats of
/// many workers were lost for a whole lease while the commands of the leader reached them. Each
/// worker began a new incarnation and was given tasks in it. When the lease of the old incarnation
/// expired, these tasks were taken to be gone, and on a simulated day of such faults 156 tasks were
/// started twice.
#[test]
fn lease_of_a_new_incarnation_starts_with_it() {
    let mut harness = harness_with(&[("a", "small", 24), ("b", "small", 24)]);
    let job = harness.submit(&service_job(1, 60));
    harness.run(20.0);
    harness.heartbeats_lost = (0..24).map(|i| format!("a-small-{i}")).collect();
    harness.run(7.0);
    for name in harness.heartbeats_lost.clone() {
        harness.restart_worker(&name);
    }
    harness.run(8.0);
    harness.heartbeats_lost.clear();
    harness.run(20.0);
    assert_eq!(tasks_placed(&harness, job), 60);
}

/// Guards against exceeding the limit of a team. A new leader blocked the old jobs of the team
/// while a worker that might hold some of them was unresponsive, but started a newer job in
/// addition. Found by random migrations and faults.
#[test]
fn new_job_of_a_limited_team_counts_what_unresponsive_workers_may_hold() {
    let mut limited = cluster();
    limited["teams"] = json!([{"name": "team", "cpus_max": 12.0}]);
    let mut harness = CoreHarness::new(TYPES, limited, 50);
    for i in 0..4 {
        harness.add_worker(&format!("a-small-{i}"), "small", "a", 0.1 + i as f64 * 0.4);
    }
    harness.run(3.0);
    let old = harness.submit(&json!({"uid": "wk-000001", "shards": 8, "runtime_s": 100.0}));
    harness.run(5.0);
    assert_eq!(tasks_placed(&harness, old), 8);
    let workers_of_old: Vec<String> = harness
        .instances_of(old)
        .into_iter()
        .map(|p| p.1.into())
        .collect();
    harness.unreachable.insert(workers_of_old[0].clone());
    harness.fail_over();
    harness.run(0.5);
    let later = harness.submit(&json!({"uid": "wk-000002", "shards": 12, "runtime_s": 100.0}));
    for _ in 0..60 {
        harness.run(0.1);
        let used = tasks_placed(&harness, old) + tasks_placed(&harness, later);
        assert!(used <= 12, "{used} CPUs at {:.1}", harness.now);
    }
    assert!(
        tasks_placed(&harness, later) > 0,
        "tasks that fit in any case start at once"
    );
}

/// Guards against a long recovery after all controllers and many workers have crashed together.
/// Only a few workers without a heartbeat were ever scaled in, so every job older than the election
/// was blocked for a whole lease on workers that were not fenced yet. If most of a zone is
/// unresponsive, the network may be at fault, and no worker is scaled in.
#[test]
fn failover_with_many_dead_workers_blocks_jobs_for_three_probes() {
    for (lost, scaled_in) in [(4, true), (14, false)] {
        let mut harness = harness_with(&[("a", "small", 12), ("b", "small", 12)]);
        let job = harness.submit(&service_job(1, 16));
        harness.run(10.0);
        assert_eq!(tasks_placed(&harness, job), 16);
        for i in 0..lost {
            let zone = ["a", "b"][i % 2];
            harness.remove_worker(&format!("{zone}-small-{}", i / 2));
        }
        harness.fail_over();
        harness.run(4.2);
        assert_eq!(harness.scaled_in.len(), if scaled_in { lost } else { 0 });
        let placed = tasks_placed(&harness, job);
        assert_eq!(
            placed == 16,
            scaled_in,
            "{placed} of 16 after {lost} workers were lost"
        );
        harness.run(8.0);
        let min_placed = if scaled_in { 16 } else { 15 };
        assert!(
            tasks_placed(&harness, job) >= min_placed,
            "the leases have expired"
        );
    }
}

/// A reservation for a task that takes most of a worker is transferred to the most urgent task of
/// the same large-task profile, even if another job made it.
#[test]
fn reservation_for_a_large_task_is_transferred_to_a_more_urgent_one() {
    let mut harness = harness_with(&[("a", "big", 1)]);
    let large = |id: u64, runtime_s: f64| {
        json!({"uid": format!("wk-{id:06}"), "shape": "sweep", "shards": 1, "cpus": 10.0,
            "gpus": 2.0, "memory_gb": 38.0, "runtime_s": runtime_s, "flavors": ["big"]})
    };
    let running = harness.submit(&large(1, 20.0));
    harness.run(5.0);
    assert_eq!(tasks_placed(&harness, running), 1);
    let first = harness.submit(&large(2, 900.0));
    harness.run(2.0);
    let urgent = harness.submit(&large(3, 10.0));
    harness.run(2.0);
    assert_eq!(tasks_placed(&harness, running), 1);
    harness.run(16.0);
    assert_eq!(tasks_placed(&harness, running), 0);
    assert_eq!(tasks_placed(&harness, first), 0);
    assert_eq!(tasks_placed(&harness, urgent), 1);
}
