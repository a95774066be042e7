//! Task migrations, drains, and faults during both, on the core with simulated workers.
//!
//! Guards against a task that is lost or completed twice because a fault interrupts its migration,
//! and against reservations that remain after a migration. `copperfield_simulation::history` checks
//! the history of a run.

use copperfield::protocol::JobId;
use copperfield::protocol::peer::AdminRequest;
use copperfield::settings::{Class, Tuning};
use copperfield::storage::Snapshot;
use copperfield_simulation::core_harness::{CheckpointMode, CoreHarness, fixed_fleet};
use serde_json::{Value, json};

const TYPES: &str = r#"{"flavors":[
 {"name":"gpu4","cpus":16,"gpus":4,"memory_gb":64,"local_gb":90,"pull_gb_per_s":1,"price":4.0,"ready_s":10,"regions":["a","b"]}]}"#;

fn cluster_settings() -> Value {
    json!({"zones": ["a", "b"], "teams": [{"name": "team"}],
        "workers": {"report_s": 2.0, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 30.0},
        "state": {"rps": 200, "write_rps": 50, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 5},
        "limits": {"max_sockets": 1000}, "clock_error_ms": 25})
}

fn tuning() -> Tuning {
    let mut tuning = fixed_fleet();
    tuning.defragmentation.enabled = true;
    tuning
}

fn gpu_task(id: u64, extra: Value) -> Value {
    let mut body = json!({"uid": format!("wk-{id:06}"), "jobclass": "small", "shards": 1, "cpus": 3.0,
        "gpus": 1.0, "memory_gb": 4.0, "runtime_s": 400.0, "snapshot_every_s": 30.0, "snapshot_s": 1.0, "pull_gb": 0.0});
    for (k, v) in extra.as_object().expect("an object") {
        body[k] = v.clone();
    }
    body
}

fn whole_worker_job(id: u64, runtime_s: f64) -> Value {
    json!({"uid": format!("wk-{id:06}"), "jobclass": "bake", "shape": "group", "cpus": 12.0, "gpus": 4.0,
        "memory_gb": 32.0, "runtime_s": runtime_s, "pull_gb": 0.0, "bundle": "bake"})
}

/// Four workers that each have a part of their GPUs in use.
struct FragmentedCluster {
    harness: CoreHarness,
    /// Jobs of one task with one GPU, which keep running.
    small_jobs: Vec<JobId>,
}

fn worker_names() -> [&'static str; 4] {
    ["a-0", "a-1", "b-0", "b-1"]
}

/// Fills the workers one after another with tasks of which every second one ends soon. Afterwards
/// eight GPUs are free, two on each worker.
fn fragmented_cluster(extra: Value, tuning: Tuning) -> FragmentedCluster {
    let mut harness =
        CoreHarness::with_tuning(TYPES, cluster_settings(), 50, Snapshot::default(), tuning);
    for (i, name) in worker_names().into_iter().enumerate() {
        let zone = if name.starts_with('a') { "a" } else { "b" };
        harness.add_worker(name, "gpu4", zone, 0.1 + i as f64 * 0.4);
    }
    harness.run(3.0);
    // Long and short tasks alternate, so that each worker gets two of each kind.
    let mut small_jobs = Vec::new();
    for zone in ["a", "b"] {
        for n in 0..2u64 {
            for i in 0..2 {
                let id = 10 + n * 2 + i + if zone == "b" { 100 } else { 0 };
                let mut long_task = gpu_task(id, extra.clone());
                long_task["region"] = json!(zone);
                small_jobs.push(harness.submit(&long_task));
                let mut short_task = gpu_task(id + 50, json!({"runtime_s": 8.0}));
                short_task["region"] = json!(zone);
                harness.submit(&short_task);
            }
            harness.run(0.5);
        }
    }
    harness.run(45.0);
    FragmentedCluster {
        harness,
        small_jobs,
    }
}

impl FragmentedCluster {
    /// The number of small tasks on each worker.
    fn tasks_by_worker(&self) -> Vec<usize> {
        let count_on = |name: &str| {
            let places = self
                .small_jobs
                .iter()
                .flat_map(|j| self.harness.instances_of(*j));
            places.filter(|(_, worker)| *worker == name).count()
        };
        worker_names().map(count_on).to_vec()
    }

    fn placed_tasks(&self, job: JobId) -> usize {
        self.harness.instances_of(job).len()
    }

    fn violations(&self) -> Vec<String> {
        let expected: Vec<String> = self.small_jobs.iter().map(|j| format!("{j}/0")).collect();
        self.harness
            .history
            .violations(expected.iter().map(String::as_str))
    }

    fn moves_view(&mut self) -> Value {
        let (status, moves) = self.harness.admin_request(AdminRequest::Moves);
        assert_eq!(status, 200);
        moves
    }

    fn wait_for_migration(&mut self) {
        for _ in 0..200 {
            if !self.moves_view()["live"]
                .as_array()
                .expect("a list")
                .is_empty()
            {
                return;
            }
            self.harness.run(0.05);
        }
        panic!("no task migrates: {}", self.moves_view());
    }
}

#[test]
fn a_whole_worker_is_freed_by_migrations_and_every_task_ends_once() {
    let mut cluster = fragmented_cluster(json!({}), tuning());
    assert_eq!(cluster.tasks_by_worker(), [2, 2, 2, 2], "fragmented");
    let job = cluster.harness.submit(&whole_worker_job(1, 30.0));
    cluster.harness.run(15.0);
    assert_eq!(cluster.placed_tasks(job), 1, "{}", cluster.moves_view());
    cluster.harness.run(600.0);
    assert_eq!(cluster.violations(), [""; 0]);
    assert!(cluster.harness.history.completed().contains("wk-000001/0"));
}

#[test]
fn without_defragmentation_the_same_job_waits() {
    let mut off = tuning();
    off.defragmentation.enabled = false;
    let mut cluster = fragmented_cluster(json!({}), off);
    let job = cluster.harness.submit(&whole_worker_job(1, 30.0));
    cluster.harness.run(60.0);
    assert_eq!(cluster.placed_tasks(job), 0);
}

/// The stricter of the settings of the job and its class applies. A task without checkpoints is
/// migrated only while it would lose little work.
#[test]
fn unmovable_tasks_are_not_migrated() {
    let mut by_class = tuning();
    let unmovable = Class {
        movable: Some(false),
        protected: false,
    };
    by_class.class.insert("small".into(), unmovable);
    let mut protected = tuning();
    let protected_class = Class {
        movable: None,
        protected: true,
    };
    protected.class.insert("small".into(), protected_class);
    for (extra, tuning) in [
        (json!({"movable": false}), tuning()),
        (json!({"movable": true}), by_class),
        (json!({}), protected),
        (json!({"snapshot_every_s": 0.0}), tuning()),
        (
            json!({"shape": "service", "rank": "production", "movable": true}),
            tuning(),
        ),
    ] {
        let mut cluster = fragmented_cluster(extra.clone(), tuning);
        let before = cluster.tasks_by_worker();
        let job = cluster.harness.submit(&whole_worker_job(1, 30.0));
        cluster.harness.run(60.0);
        assert_eq!(
            (cluster.placed_tasks(job), cluster.tasks_by_worker()),
            (0, before),
            "{extra}"
        );
        let reason = cluster.moves_view()["waiting"][0]["reason"].clone();
        assert_eq!(
            reason, "cannot free enough nodes for this job: tasks on them may not be moved",
            "{extra}"
        );
    }
}

/// A gang of two migrates as a whole: both instances are gone before either task starts again.
#[test]
fn a_gang_migrates_as_a_whole_off_a_draining_worker() {
    let mut cluster = fragmented_cluster(json!({"movable": false}), tuning());
    let gang = gpu_task(
        300,
        json!({"shape": "group", "shards": 2, "cpus": 2.0, "one_zone": true}),
    );
    let gang = cluster.harness.submit(&gang);
    cluster.harness.run(45.0);
    let before: Vec<String> = cluster
        .harness
        .instances_of(gang)
        .into_iter()
        .map(|p| p.1.into())
        .collect();
    assert_eq!(before.len(), 2);
    let order = AdminRequest::Drain {
        node: before[0].clone(),
        deadline_s: None,
        yes: false,
    };
    assert_eq!(cluster.harness.admin_request(order).0, 200);
    cluster.harness.run(20.0);
    let after = cluster.harness.instances_of(gang);
    assert_eq!(after.len(), 2);
    assert!(
        after.iter().all(|(_, worker)| *worker != before[0]),
        "{after:?}"
    );
    let starts_of = |task: u32| {
        let task = format!("{gang}/{task}");
        cluster.harness.history.workers_of(&task).len()
    };
    assert_eq!(
        (starts_of(0), starts_of(1)),
        (2, 2),
        "both tasks were migrated once"
    );
}

/// Injects each fault at several stages of a migration. Afterwards every task must have completed
/// exactly once, and no room may be reserved any more, so that a job can use all GPUs.
#[test]
fn a_fault_during_a_migration_leaves_one_result_and_no_reservation() {
    type Fault = fn(&mut FragmentedCluster, &str, &str);
    let faults: [(&str, Fault); 12] = [
        ("the target crashes", |cluster, _, to| {
            cluster.harness.remove_worker(to);
        }),
        ("the source crashes", |cluster, from, _| {
            cluster.harness.remove_worker(from);
        }),
        ("the target is unreachable", |cluster, _, to| {
            cluster.harness.unreachable.insert(to.into());
        }),
        ("the source is unreachable", |cluster, from, _| {
            cluster.harness.unreachable.insert(from.into());
        }),
        ("the target drains", |cluster, _, to| {
            let node = to.to_string();
            cluster.harness.send_admin_request(AdminRequest::Drain {
                node,
                deadline_s: None,
                yes: false,
            });
        }),
        ("the source's zone is unreachable", |cluster, from, _| {
            let zone = &from[..1];
            let in_zone = worker_names().into_iter().filter(|n| n.starts_with(zone));
            cluster
                .harness
                .unreachable
                .extend(in_zone.map(String::from));
        }),
        ("saving the checkpoint fails", |cluster, _, _| {
            cluster.harness.checkpointing = CheckpointMode::Fails;
        }),
        ("saving the checkpoint is slow", |cluster, _, _| {
            cluster.harness.checkpointing = CheckpointMode::Slow(30.0);
        }),
        ("the leader is killed", |cluster, _, _| {
            cluster.harness.fail_over();
        }),
        ("all controllers are killed", |cluster, _, _| {
            cluster.harness.pause(6.0);
            cluster.harness.fail_over();
        }),
        ("the leader is paused", |cluster, _, _| {
            cluster.harness.pause(20.0);
            cluster.harness.core.handle_pause(20.0);
        }),
        ("the state service is unavailable", |cluster, _, _| {
            cluster.harness.outage = true;
        }),
    ];
    for (fault_name, fault) in faults {
        // At the start, while tasks save checkpoints, when they have left, and when they arrive.
        for after in [0.0, 0.4, 1.3, 2.5, 4.0] {
            let mut cluster = fragmented_cluster(json!({}), tuning());
            let job = cluster.harness.submit(&whole_worker_job(1, 20.0));
            cluster.wait_for_migration();
            let migration = cluster.moves_view()["live"][0].clone();
            let name = |of: &str| {
                migration[of]
                    .as_str()
                    .map_or_else(String::new, String::from)
            };
            let (from, to) = (name("from"), name("to"));
            cluster.harness.run(after);
            if !from.is_empty() {
                fault(&mut cluster, &from, &to);
            }
            cluster.harness.run(40.0);
            cluster.harness.unreachable.clear();
            cluster.harness.checkpointing = CheckpointMode::InTime;
            cluster.harness.end_outage();
            for node in worker_names() {
                cluster
                    .harness
                    .send_admin_request(AdminRequest::Undrain { node: node.into() });
            }
            cluster.harness.run(1200.0);
            let case = format!("{fault_name}, after {after} s");
            assert_eq!(cluster.violations(), [""; 0], "{case}");
            assert!(
                cluster
                    .harness
                    .history
                    .completed()
                    .contains(format!("{job}/0").as_str()),
                "{case}"
            );
            assert_eq!(cluster.moves_view()["live"], json!([]), "{case}");
            // Nothing is reserved, so a job can use all GPUs of the remaining workers at once.
            let remaining_workers = worker_names().len() - cluster.harness.removed.len();
            let all = gpu_task(
                900,
                json!({"shards": 4 * remaining_workers, "runtime_s": 5.0}),
            );
            let all = cluster.harness.submit(&all);
            cluster.harness.run(8.0);
            assert!(
                cluster.harness.finished.contains(&all)
                    || cluster.placed_tasks(all) == 4 * remaining_workers,
                "{case}"
            );
        }
    }
}

/// The command to stop the task does not reach its worker, and the task completes there. This must
/// be its only result, and the room reserved for it on the target must be free again.
#[test]
fn a_task_that_ends_during_its_migration_is_done_once() {
    let mut cluster = fragmented_cluster(json!({"runtime_s": 64.0}), tuning());
    let job = cluster.harness.submit(&whole_worker_job(1, 20.0));
    cluster.wait_for_migration();
    let moves = cluster.moves_view();
    let from = moves["live"][0]["from"]
        .as_str()
        .expect("a name")
        .to_string();
    let task = moves["live"][0]["task"]
        .as_str()
        .expect("a task")
        .to_string();
    cluster.harness.unreachable.insert(from);
    cluster.harness.run(8.0);
    cluster.harness.unreachable.clear();
    cluster.harness.run(120.0);
    assert_eq!(cluster.violations(), [""; 0]);
    assert!(cluster.harness.history.completed().contains(task.as_str()));
    assert!(cluster.harness.finished.contains(&job));
    assert_eq!(cluster.moves_view()["live"], json!([]));
}

/// A user cancels either the migrating job or the job that the worker is freed for.
#[test]
fn a_cancellation_during_a_migration_ends_it() {
    for cancel_migrating in [true, false] {
        let mut cluster = fragmented_cluster(json!({}), tuning());
        let job = cluster.harness.submit(&whole_worker_job(1, 20.0));
        cluster.wait_for_migration();
        let task = cluster.moves_view()["live"][0]["task"].clone();
        let task = task.as_str().and_then(|t| t.split('/').next());
        let migrating_job = JobId::parse(task.expect("a task")).expect("an id");
        cluster
            .harness
            .cancel(if cancel_migrating { migrating_job } else { job });
        cluster.harness.run(60.0);
        assert_eq!(cluster.moves_view()["live"], json!([]));
        assert_eq!(
            cluster.placed_tasks(if cancel_migrating { migrating_job } else { job }),
            0
        );
        cluster.harness.run(600.0);
        let others = cluster
            .small_jobs
            .iter()
            .filter(|j| !cancel_migrating || **j != migrating_job);
        let others: Vec<String> = others.map(|j| format!("{j}/0")).collect();
        let violations = cluster
            .harness
            .history
            .violations(others.iter().map(String::as_str));
        assert_eq!(violations, [""; 0]);
    }
}

/// Tasks never finish saving, so their migrations fail. Migrations for the waiting job are retried
/// at growing intervals, and after a limited number of failures no more.
#[test]
fn failing_migrations_are_retried_a_limited_number_of_times() {
    let mut cluster = fragmented_cluster(json!({}), tuning());
    cluster.harness.checkpointing = CheckpointMode::Slow(1e6);
    cluster.harness.submit(&whole_worker_job(1, 20.0));
    cluster.harness.run(900.0);
    let moves = cluster.moves_view();
    let started = moves["recent"].as_array().expect("a list").len();
    assert!((1..=12).contains(&started), "{started} moves: {moves}");
}

#[test]
fn a_drain_survives_failovers_and_can_be_ended() {
    let mut cluster = fragmented_cluster(json!({}), tuning());
    let drain = |deadline_s| AdminRequest::Drain {
        node: "a-0".into(),
        deadline_s,
        yes: false,
    };
    let (status, node) = cluster.harness.admin_request(drain(None));
    assert_eq!((status, &node["state"]), (200, &json!("draining")));
    assert_eq!(
        cluster.harness.admin_request(drain(None)).0,
        200,
        "repeating the request has no effect"
    );
    cluster.harness.run(15.0);
    assert_eq!(
        cluster.tasks_by_worker()[0],
        0,
        "all movable tasks have migrated"
    );
    let state = |cluster: &mut FragmentedCluster| {
        let (_, nodes) = cluster
            .harness
            .admin_request(AdminRequest::Nodes { since: "".into() });
        nodes["nodes"][0]["state"].clone()
    };
    assert_eq!(state(&mut cluster), json!("drained"));
    // All controllers restart, twice.
    for _ in 0..2 {
        cluster.harness.fail_over();
        cluster.harness.run(15.0);
        assert_eq!(state(&mut cluster), json!("drained"));
    }
    let before = cluster.harness.history.events().len();
    let fill = cluster
        .harness
        .submit(&gpu_task(500, json!({"shards": 20, "runtime_s": 5.0})));
    cluster.harness.run(30.0);
    assert!(cluster.harness.finished.contains(&fill));
    let new_events = &cluster.harness.history.events()[before..];
    assert!(
        new_events.iter().all(|e| e.worker != "a-0"),
        "no task starts on the draining worker"
    );
    let (status, node) = cluster
        .harness
        .admin_request(AdminRequest::Undrain { node: "a-0".into() });
    assert_eq!((status, &node["state"]), (200, &json!("ready")));
    assert!(cluster.harness.drains.is_empty());
    let refill = gpu_task(501, json!({"shards": 20, "runtime_s": 5.0}));
    cluster.harness.submit(&refill);
    cluster.harness.run(10.0);
    let new_events = cluster.harness.history.events();
    assert!(new_events[before..].iter().any(|e| e.worker == "a-0"));
}

/// Unmovable tasks run until the deadline of the drain and are then stopped with their grace
/// period. A leader that is elected in between keeps the deadline.
#[test]
fn a_drain_stops_the_remaining_tasks_at_its_deadline() {
    let mut cluster = fragmented_cluster(json!({"movable": false}), tuning());
    let order = AdminRequest::Drain {
        node: "b-1".into(),
        deadline_s: Some(60.0),
        yes: false,
    };
    assert_eq!(cluster.harness.admin_request(order).0, 200);
    cluster.harness.run(20.0);
    cluster.harness.fail_over();
    cluster.harness.run(30.0);
    assert_eq!(cluster.tasks_by_worker()[3], 2, "before the deadline");
    cluster.harness.run(15.0);
    assert_eq!(cluster.tasks_by_worker()[3], 0, "after the deadline");
    assert_eq!(
        cluster.tasks_by_worker().iter().sum::<usize>(),
        8,
        "the tasks run on other workers"
    );
    cluster.harness.run(600.0);
    assert_eq!(cluster.violations(), [""; 0]);
}

#[test]
fn invalid_admin_requests_are_answered_with_an_error() {
    let production = json!({"shape": "service", "rank": "production"});
    let mut cluster = fragmented_cluster(production, tuning());
    let drain = |node: &str, yes| AdminRequest::Drain {
        node: node.into(),
        deadline_s: None,
        yes,
    };
    let (status, body) = cluster.harness.admin_request(drain("nowhere", false));
    assert_eq!(
        (status, body),
        (404, json!({"error": "there is no node \"nowhere\""}))
    );
    let (status, body) = cluster.harness.admin_request(drain("a-0", false));
    assert_eq!(status, 409);
    assert_eq!(
        body["protected"].as_array().map(Vec::len),
        Some(2),
        "{body}"
    );
    assert!(cluster.harness.drains.is_empty(), "no drain was started");
    let before = cluster.tasks_by_worker();
    assert_eq!(cluster.harness.admin_request(drain("a-0", true)).0, 200);
    // All workers drain, one after another. The replicas stay, as no worker can take them.
    for node in ["a-1", "b-0", "b-1"] {
        assert_eq!(cluster.harness.admin_request(drain(node, true)).0, 200);
    }
    cluster.harness.run(60.0);
    assert_eq!(cluster.tasks_by_worker(), before);
    let job = cluster.harness.submit(&gpu_task(400, json!({})));
    cluster.harness.run(20.0);
    assert_eq!(cluster.placed_tasks(job), 0, "no worker may start it");
    assert_eq!(
        cluster
            .harness
            .admin_request(AdminRequest::Undrain { node: "b-0".into() })
            .0,
        200
    );
    cluster.harness.run(5.0);
    assert_eq!(cluster.placed_tasks(job), 1);
    assert_eq!(
        cluster
            .harness
            .admin_request(AdminRequest::Undrain { node: "b-0".into() })
            .0,
        200,
        "repeating the request has no effect"
    );
    assert_eq!(
        cluster
            .harness
            .admin_request(AdminRequest::Undrain {
                node: "nowhere".into()
            })
            .0,
        404
    );
}

/// While the state service is unavailable, a drain takes effect at once, but its request is
/// answered only after the drain is stored.
#[test]
fn a_drain_is_answered_once_it_is_stored() {
    let mut cluster = fragmented_cluster(json!({}), tuning());
    cluster.harness.outage = true;
    let order = AdminRequest::Drain {
        node: "a-0".into(),
        deadline_s: None,
        yes: false,
    };
    let ticket = cluster.harness.send_admin_request(order);
    cluster.harness.run(8.0);
    assert!(!cluster.harness.admin_responses.contains_key(&ticket));
    cluster.harness.end_outage();
    cluster.harness.run(1.0);
    assert_eq!(cluster.harness.admin_responses[&ticket].0, 200);
    assert_eq!(cluster.harness.drains.len(), 1);
}

/// Tasks of lower priority use all free GPUs. They are preempted for migrating tasks and for the
/// waiting job, and every one of them must still complete exactly once.
#[test]
fn best_effort_tasks_are_preempted_for_migrations() {
    let mut cluster = fragmented_cluster(json!({}), tuning());
    let best_effort = gpu_task(
        200,
        json!({"rank": "best_effort", "shards": 8, "cpus": 2.0, "runtime_s": 600.0}),
    );
    let best_effort = cluster.harness.submit(&best_effort);
    cluster.harness.run(10.0);
    assert_eq!(cluster.placed_tasks(best_effort), 8, "all GPUs are in use");
    let job = cluster.harness.submit(&whole_worker_job(1, 30.0));
    cluster.harness.run(20.0);
    assert_eq!(cluster.placed_tasks(job), 1, "{}", cluster.moves_view());
    assert_eq!(
        cluster.tasks_by_worker().iter().sum::<usize>(),
        8,
        "migrated tasks keep running"
    );
    cluster.harness.run(2000.0);
    assert_eq!(cluster.violations(), [""; 0]);
    assert!(cluster.harness.finished.contains(&best_effort));
}
