//! Runs migrations, drains, faults and cancellations in random order, and checks the whole history.
//!
//! Guards against sequences of events that lose a task, complete it twice, exceed the team's limit
//! or leave room reserved. The seed is fixed, so every run checks the same cases.

use std::collections::{BTreeMap, BTreeSet};

use copperfield::protocol::JobId;
use copperfield::protocol::peer::AdminRequest;
use copperfield::storage::Snapshot;
use copperfield_simulation::core_harness::{CheckpointMode, CoreHarness, fixed_fleet};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use serde_json::{Value, json};

const TYPES: &str = r#"{"flavors":[
 {"name":"gpu4","cpus":16,"gpus":4,"memory_gb":64,"local_gb":90,"pull_gb_per_s":1,"price":4.0,"ready_s":10,"regions":["a","b"]}]}"#;
const WORKERS: [&str; 6] = ["a-0", "a-1", "a-2", "b-0", "b-1", "b-2"];
/// The team's limit of GPUs in use at once, less than the workers have.
const MAX_GPUS: f64 = 20.0;

#[derive(Debug, Clone, Copy)]
enum JobKind {
    /// Three movable tasks with checkpoints.
    Checkpointed,
    /// One task without checkpoints.
    WithoutCheckpoints,
    Unmovable,
    /// A gang of two tasks in one zone.
    Gang,
    /// Two replicas, spread over the zones.
    Service,
    /// One task that needs a whole worker.
    WholeWorker,
    /// A gang that needs two whole workers in one zone.
    WholeWorkerGang,
}

#[derive(Debug, Clone)]
enum Step {
    Submit(JobKind),
    Cancel(usize),
    /// Lets the cluster run for some seconds.
    Run(u8),
    Crash(usize),
    /// Makes a worker unreachable.
    Disconnect(usize),
    /// Makes all workers reachable again.
    Reconnect,
    Drain(usize, Option<u8>),
    Undrain(usize),
    FailOver,
    /// Pauses the leader for some seconds.
    Pause(u8),
    /// Starts or ends an outage of the state service.
    Outage(bool),
    Checkpointing(CheckpointMode),
}

/// The state needed to generate only steps that can be applied.
#[derive(Debug, Clone, Default)]
struct Model {
    jobs: usize,
    crashed: usize,
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(model: &Self) -> BoxedStrategy<Step> {
        use JobKind::{
            Checkpointed, Gang, Service, Unmovable, WholeWorker, WholeWorkerGang,
            WithoutCheckpoints,
        };
        let kinds = vec![
            Checkpointed,
            Checkpointed,
            WithoutCheckpoints,
            Unmovable,
            Gang,
            Service,
            WholeWorker,
            WholeWorker,
            WholeWorkerGang,
        ];
        let worker = || 0..WORKERS.len();
        let job = 0..model.jobs.max(1);
        let checkpointing = prop_oneof![
            Just(CheckpointMode::InTime),
            Just(CheckpointMode::Fails),
            Just(CheckpointMode::Slow(4.0))
        ];
        prop_oneof![
            8 => proptest::sample::select(kinds).prop_map(Step::Submit),
            8 => (1u8..30).prop_map(Step::Run),
            1 => job.prop_map(Step::Cancel),
            1 => worker().prop_map(Step::Crash),
            1 => worker().prop_map(Step::Disconnect),
            1 => Just(Step::Reconnect),
            2 => (worker(), proptest::option::of(5u8..60))
                .prop_map(|(worker_index, deadline)| Step::Drain(worker_index, deadline)),
            2 => worker().prop_map(Step::Undrain),
            1 => Just(Step::FailOver),
            1 => (1u8..15).prop_map(Step::Pause),
            1 => any::<bool>().prop_map(Step::Outage),
            1 => checkpointing.prop_map(Step::Checkpointing),
        ]
        .boxed()
    }

    fn preconditions(model: &Self, step: &Step) -> bool {
        match step {
            Step::Cancel(_) => model.jobs > 0,
            // With at most one crash, the other workers can complete all jobs.
            Step::Crash(_) => model.crashed == 0,
            Step::Submit(_) => model.jobs < 24,
            _ => true,
        }
    }

    fn apply(mut model: Self, step: &Step) -> Self {
        match step {
            Step::Submit(_) => model.jobs += 1,
            Step::Crash(_) => model.crashed += 1,
            _ => {}
        }
        model
    }
}

struct ClusterUnderTest {
    harness: CoreHarness,
    jobs: Vec<(JobId, JobKind)>,
    cancelled: BTreeSet<JobId>,
    gpus_per_task: BTreeMap<JobId, f64>,
}

impl ClusterUnderTest {
    fn submit(&mut self, kind: JobKind) {
        let id = self.jobs.len() as u64 + 1;
        let mut body = json!({"uid": format!("wk-{id:06}"), "jobclass": "c", "cpus": 3.0, "gpus": 1.0,
            "memory_gb": 4.0, "runtime_s": 60.0, "pull_gb": 0.0, "snapshot_every_s": 10.0, "snapshot_s": 1.0});
        let overrides = match kind {
            JobKind::Checkpointed => json!({"shards": 3}),
            JobKind::WithoutCheckpoints => json!({"snapshot_every_s": 0.0, "runtime_s": 25.0}),
            JobKind::Unmovable => json!({"movable": false}),
            JobKind::Gang => json!({"shape": "group", "shards": 2, "one_zone": true}),
            JobKind::Service => {
                json!({"shape": "service", "shards": 2, "spread": true, "runtime_s": 0.0})
            }
            JobKind::WholeWorker => {
                json!({"shape": "group", "gpus": 4.0, "cpus": 12.0, "runtime_s": 30.0})
            }
            JobKind::WholeWorkerGang => {
                json!({"shape": "group", "shards": 2, "gpus": 4.0, "cpus": 12.0,
                "runtime_s": 30.0, "one_zone": true})
            }
        };
        for (k, v) in overrides.as_object().expect("an object") {
            body[k] = v.clone();
        }
        let job = self.harness.submit(&body);
        self.gpus_per_task
            .insert(job, body["gpus"].as_f64().expect("a number"));
        self.jobs.push((job, kind));
    }

    /// Checks the rules that hold at all times.
    fn check(&self) {
        let violations = self.harness.history.violations([]);
        assert!(violations.is_empty(), "{violations:?}");
        let mut used = 0.0;
        for (job, kind) in &self.jobs {
            let places = self.harness.instances_of(*job);
            used += self.gpus_per_task[job] * places.len() as f64;
            let zones: BTreeSet<&str> = places.iter().map(|(_, worker)| &worker[..1]).collect();
            match kind {
                JobKind::Gang | JobKind::WholeWorkerGang => {
                    assert!(zones.len() < 2, "{job}: {places:?}");
                }
                JobKind::Service => {
                    assert!(places.len() < 2 || zones.len() == 2, "{places:?}");
                }
                _ => {}
            }
        }
        assert!(used <= MAX_GPUS, "{used} GPUs of the team's {MAX_GPUS}");
    }

    fn run(&mut self, seconds: f64) {
        let until = self.harness.now + seconds;
        while self.harness.now < until {
            self.harness.run(1.0);
            self.check();
        }
    }

    /// Ends all faults. Then every job must end, each task exactly once, and no room may stay
    /// reserved.
    fn end_faults_and_check(&mut self) {
        self.harness.unreachable.clear();
        self.harness.checkpointing = CheckpointMode::InTime;
        self.harness.end_outage();
        // Replaces the workers that crashed or were scaled in because they did not answer.
        for name in self.harness.removed.clone() {
            let zone = if name.starts_with('a') { "a" } else { "b" };
            let now = self.harness.now;
            self.harness
                .add_worker(&format!("{name}-new"), "gpu4", zone, now);
        }
        self.harness.run(15.0);
        for node in WORKERS {
            self.harness
                .send_admin_request(AdminRequest::Undrain { node: node.into() });
        }
        self.run(900.0);
        let (status, moves) = self.harness.admin_request(AdminRequest::Moves);
        assert_eq!((status, &moves["live"]), (200, &json!([])));
        assert!(self.harness.drains.is_empty());
        for (job, kind) in &self.jobs {
            let over = self.harness.finished.contains(job) || matches!(kind, JobKind::Service);
            assert!(over, "{job} {kind:?} is not over: {moves}");
        }
        for (job, kind) in self.jobs.clone() {
            if matches!(kind, JobKind::Service) && !self.cancelled.contains(&job) {
                self.harness.cancel(job);
            }
        }
        self.run(20.0);
        let done = self.harness.history.completed();
        for (job, kind) in self
            .jobs
            .iter()
            .filter(|(j, _)| !self.cancelled.contains(j))
        {
            let has_one_task = matches!(
                kind,
                JobKind::WithoutCheckpoints | JobKind::Unmovable | JobKind::WholeWorker
            );
            if has_one_task {
                assert!(done.contains(format!("{job}/0").as_str()), "{job} {kind:?}");
            }
        }
        let free_gpus = MAX_GPUS as usize;
        let all = json!({"uid": "wk-000999", "shards": free_gpus, "cpus": 1.0, "gpus": 1.0, "memory_gb": 1.0,
            "runtime_s": 500.0, "pull_gb": 0.0});
        let all = self.harness.submit(&all);
        self.run(10.0);
        assert_eq!(
            self.harness.instances_of(all).len(),
            free_gpus,
            "room is reserved for no job"
        );
    }
}

/// A number from the environment, or its default. For a longer search than by default:
/// `MIGRATION_CASES=2000 MIGRATION_SEED=7 cargo test --test migration_random`.
fn env_number(name: &str, default: u64) -> u64 {
    let given = std::env::var(name).ok();
    given.map_or(default, |n| n.parse().expect("a whole number"))
}

struct Migrations;

impl StateMachineTest for Migrations {
    type SystemUnderTest = ClusterUnderTest;
    type Reference = Model;

    fn init_test(_: &Model) -> ClusterUnderTest {
        let settings: Value = json!({"zones": ["a", "b"], "teams": [{"name": "team", "gpus_max": MAX_GPUS}],
            "workers": {"report_s": 2.0, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 30.0},
            "state": {"rps": 200, "write_rps": 50, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 5},
            "limits": {"max_sockets": 1000}, "clock_error_ms": 25});
        let mut tuning = fixed_fleet();
        tuning.defragmentation.enabled = true;
        tuning.defragmentation.migration_cooldown_s = 30.0;
        let mut harness =
            CoreHarness::with_tuning(TYPES, settings, 50, Snapshot::default(), tuning);
        for (i, name) in WORKERS.into_iter().enumerate() {
            let zone = if name.starts_with('a') { "a" } else { "b" };
            harness.add_worker(name, "gpu4", zone, 0.1 + i as f64 * 0.3);
        }
        harness.run(3.0);
        ClusterUnderTest {
            harness,
            jobs: Vec::new(),
            cancelled: BTreeSet::new(),
            gpus_per_task: BTreeMap::new(),
        }
    }

    fn apply(mut cluster: ClusterUnderTest, _: &Model, step: Step) -> ClusterUnderTest {
        match step {
            Step::Submit(kind) => cluster.submit(kind),
            Step::Run(seconds) => cluster.run(seconds.into()),
            Step::Cancel(at) => {
                let (job, _) = cluster.jobs[at % cluster.jobs.len()];
                // Without the state service no cancellation is confirmed.
                if !cluster.harness.outage && !cluster.harness.finished.contains(&job) {
                    cluster.harness.cancel(job);
                    cluster.cancelled.insert(job);
                    cluster.harness.run(0.2);
                }
            }
            Step::Crash(worker_index) => cluster.harness.remove_worker(WORKERS[worker_index]),
            Step::Disconnect(worker_index) => {
                cluster
                    .harness
                    .unreachable
                    .insert(WORKERS[worker_index].into());
            }
            Step::Reconnect => cluster.harness.unreachable.clear(),
            Step::Drain(worker_index, deadline) => {
                cluster.harness.send_admin_request(AdminRequest::Drain {
                    node: WORKERS[worker_index].into(),
                    deadline_s: deadline.map(f64::from),
                    yes: true,
                });
            }
            Step::Undrain(worker_index) => {
                cluster.harness.send_admin_request(AdminRequest::Undrain {
                    node: WORKERS[worker_index].into(),
                });
            }
            Step::FailOver => cluster.harness.fail_over(),
            Step::Pause(seconds) => {
                cluster.harness.pause(seconds.into());
                cluster.harness.core.handle_pause(seconds.into());
            }
            Step::Outage(true) => cluster.harness.outage = true,
            Step::Outage(false) => cluster.harness.end_outage(),
            Step::Checkpointing(mode) => cluster.harness.checkpointing = mode,
        }
        cluster.check();
        cluster
    }

    fn teardown(mut cluster: ClusterUnderTest, _: Model) {
        cluster.end_faults_and_check();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: env_number("MIGRATION_CASES", 48) as u32,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(env_number("MIGRATION_SEED", 20_261_201)),
        max_shrink_iters: 200,
        ..Config::default()
    })]

    #[test]
    fn any_order_of_migrations_drains_and_faults_leaves_one_result_per_job(
        sequential 1..40 => Migrations
    );
}
