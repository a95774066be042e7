//! Moves, drains, faults and cancellations in any order, against the checker of the
//! whole history. Seeded: the same verdict always.

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
const NAMES: [&str; 6] = ["a-0", "a-1", "a-2", "b-0", "b-1", "b-2"];
/// The team may use so many GPUs at once: less than there are.
const MAX_GPUS: f64 = 20.0;

#[derive(Debug, Clone, Copy)]
enum LargeTaskProfile {
    /// Saves, and may move.
    Saving,
    /// Does not save.
    Plain,
    Unmovable,
    /// Two tasks that stay together.
    Pair,
    /// Two replicas, spread over the zones.
    Service,
    Whole,
    /// Two whole workers in one zone.
    WholePair,
}

#[derive(Debug, Clone)]
enum Step {
    Submit(LargeTaskProfile),
    Cancel(usize),
    Run(u8),
    Die(usize),
    FencingRecord(usize),
    Heal,
    Drain(usize, Option<u8>),
    Undrain(usize),
    NextLeader,
    Sleep(u8),
    Outage(bool),
    Saving(CheckpointMode),
}

/// What is needed to choose steps that mean something.
#[derive(Debug, Clone, Default)]
struct Model {
    jobs: usize,
    dead: usize,
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(model: &Self) -> BoxedStrategy<Step> {
        use LargeTaskProfile::{
            Pair, Plain, Saving as Saves, Service, Unmovable, Whole, WholePair,
        };
        let shapes = vec![
            Saves, Saves, Plain, Unmovable, Pair, Service, Whole, Whole, WholePair,
        ];
        let worker = || 0..NAMES.len();
        let job = 0..model.jobs.max(1);
        let saving = prop_oneof![
            Just(CheckpointMode::InTime),
            Just(CheckpointMode::Fails),
            Just(CheckpointMode::Slow(4.0))
        ];
        prop_oneof![
            8 => proptest::sample::select(shapes).prop_map(Step::Submit),
            8 => (1u8..30).prop_map(Step::Run),
            1 => job.prop_map(Step::Cancel),
            1 => worker().prop_map(Step::Die),
            1 => worker().prop_map(Step::FencingRecord),
            1 => Just(Step::Heal),
            2 => (worker(), proptest::option::of(5u8..60)).prop_map(|(m, d)| Step::Drain(m, d)),
            2 => worker().prop_map(Step::Undrain),
            1 => Just(Step::NextLeader),
            1 => (1u8..15).prop_map(Step::Sleep),
            1 => any::<bool>().prop_map(Step::Outage),
            1 => saving.prop_map(Step::Saving),
        ]
        .boxed()
    }

    fn preconditions(model: &Self, step: &Step) -> bool {
        match step {
            Step::Cancel(_) => model.jobs > 0,
            // Enough stay that everything can end.
            Step::Die(_) => model.dead == 0,
            Step::Submit(_) => model.jobs < 24,
            _ => true,
        }
    }

    fn apply(mut model: Self, step: &Step) -> Self {
        match step {
            Step::Submit(_) => model.jobs += 1,
            Step::Die(_) => model.dead += 1,
            _ => {}
        }
        model
    }
}

struct Site {
    crew: CoreHarness,
    jobs: Vec<(JobId, LargeTaskProfile)>,
    cancelled: BTreeSet<JobId>,
    needs: BTreeMap<JobId, f64>,
}

impl Site {
    fn submit(&mut self, shape: LargeTaskProfile) {
        let id = self.jobs.len() as u64 + 1;
        let mut body = json!({"uid": format!("wk-{id:06}"), "jobclass": "c", "cpus": 3.0, "gpus": 1.0,
            "memory_gb": 4.0, "runtime_s": 60.0, "pull_gb": 0.0, "snapshot_every_s": 10.0, "snapshot_s": 1.0});
        let more = match shape {
            LargeTaskProfile::Saving => json!({"shards": 3}),
            LargeTaskProfile::Plain => json!({"snapshot_every_s": 0.0, "runtime_s": 25.0}),
            LargeTaskProfile::Unmovable => json!({"movable": false}),
            LargeTaskProfile::Pair => json!({"shape": "group", "shards": 2, "one_zone": true}),
            LargeTaskProfile::Service => {
                json!({"shape": "service", "shards": 2, "spread": true, "runtime_s": 0.0})
            }
            LargeTaskProfile::Whole => {
                json!({"shape": "group", "gpus": 4.0, "cpus": 12.0, "runtime_s": 30.0})
            }
            LargeTaskProfile::WholePair => {
                json!({"shape": "group", "shards": 2, "gpus": 4.0, "cpus": 12.0,
                "runtime_s": 30.0, "one_zone": true})
            }
        };
        for (k, v) in more.as_object().expect("an object") {
            body[k] = v.clone();
        }
        let job = self.crew.submit(&body);
        self.needs
            .insert(job, body["gpus"].as_f64().expect("a number"));
        self.jobs.push((job, shape));
    }

    /// Rules that hold at any moment.
    fn check(&self) {
        let problems = self.crew.history.violations([]);
        assert!(problems.is_empty(), "{problems:?}");
        let mut used = 0.0;
        for (job, shape) in &self.jobs {
            let places = self.crew.instances_of(*job);
            used += self.needs[job] * places.len() as f64;
            let zones: BTreeSet<&str> = places.iter().map(|(_, m)| &m[..1]).collect();
            match shape {
                LargeTaskProfile::Pair | LargeTaskProfile::WholePair => {
                    assert!(zones.len() < 2, "{job}: {places:?}");
                }
                LargeTaskProfile::Service => {
                    assert!(places.len() < 2 || zones.len() == 2, "{places:?}");
                }
                _ => {}
            }
        }
        assert!(used <= MAX_GPUS, "{used} GPUs of the team's {MAX_GPUS}");
    }

    fn run(&mut self, seconds: f64) {
        let until = self.crew.now + seconds;
        while self.crew.now < until {
            self.crew.run(1.0);
            self.check();
        }
    }

    /// All faults are over: everything ends, once, and nothing stays claimed.
    fn come_to_rest(&mut self) {
        self.crew.unreachable.clear();
        self.crew.checkpointing = CheckpointMode::InTime;
        self.crew.end_outage();
        // What died, or was given back as it did not answer, is replaced.
        for name in self.crew.removed.clone() {
            let zone = if name.starts_with('a') { "a" } else { "b" };
            let now = self.crew.now;
            self.crew
                .add_worker(&format!("{name}-new"), "gpu4", zone, now);
        }
        self.crew.run(15.0);
        for node in NAMES {
            self.crew
                .send_admin_request(AdminRequest::Undrain { node: node.into() });
        }
        self.run(900.0);
        let (status, moves) = self.crew.admin_request(AdminRequest::Moves);
        assert_eq!((status, &moves["live"]), (200, &json!([])));
        assert!(self.crew.drains.is_empty());
        for (job, shape) in &self.jobs {
            let over =
                self.crew.finished.contains(job) || matches!(shape, LargeTaskProfile::Service);
            assert!(over, "{job} {shape:?} is not over: {moves}");
        }
        for (job, shape) in self.jobs.clone() {
            if matches!(shape, LargeTaskProfile::Service) && !self.cancelled.contains(&job) {
                self.crew.cancel(job);
            }
        }
        self.run(20.0);
        let done = self.crew.history.completed();
        for (job, shape) in self
            .jobs
            .iter()
            .filter(|(j, _)| !self.cancelled.contains(j))
        {
            let single = matches!(
                shape,
                LargeTaskProfile::Plain | LargeTaskProfile::Unmovable | LargeTaskProfile::Whole
            );
            if single {
                assert!(
                    done.contains(format!("{job}/0").as_str()),
                    "{job} {shape:?}"
                );
            }
        }
        let left = MAX_GPUS as usize;
        let all = json!({"uid": "wk-000999", "shards": left, "cpus": 1.0, "gpus": 1.0, "memory_gb": 1.0,
            "runtime_s": 500.0, "pull_gb": 0.0});
        let all = self.crew.submit(&all);
        self.run(10.0);
        assert_eq!(
            self.crew.instances_of(all).len(),
            left,
            "something is claimed for nobody"
        );
    }
}

/// A longer hunt than the test's own: `MOVES_CASES=2000 MOVES_SEED=7 cargo test --test
/// moves_random`.
fn number(name: &str, usual: u64) -> u64 {
    let given = std::env::var(name).ok();
    given.map_or(usual, |n| n.parse().expect("a whole number"))
}

struct Moves;

impl StateMachineTest for Moves {
    type SystemUnderTest = Site;
    type Reference = Model;

    fn init_test(_: &Model) -> Site {
        let cluster: Value = json!({"zones": ["a", "b"], "teams": [{"name": "team", "gpus_max": MAX_GPUS}],
            "workers": {"report_s": 2.0, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 30.0},
            "state": {"rps": 200, "write_rps": 50, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 5},
            "limits": {"max_sockets": 1000}, "clock_error_ms": 25});
        let mut tuning = fixed_fleet();
        tuning.defragmentation.enabled = true;
        tuning.defragmentation.again_after_s = 30.0;
        let mut crew = CoreHarness::with_tuning(TYPES, cluster, 50, Snapshot::default(), tuning);
        for (i, name) in NAMES.into_iter().enumerate() {
            let zone = if name.starts_with('a') { "a" } else { "b" };
            crew.add_worker(name, "gpu4", zone, 0.1 + i as f64 * 0.3);
        }
        crew.run(3.0);
        Site {
            crew,
            jobs: Vec::new(),
            cancelled: BTreeSet::new(),
            needs: BTreeMap::new(),
        }
    }

    fn apply(mut site: Site, _: &Model, step: Step) -> Site {
        match step {
            Step::Submit(shape) => site.submit(shape),
            Step::Run(seconds) => site.run(seconds.into()),
            Step::Cancel(at) => {
                let (job, _) = site.jobs[at % site.jobs.len()];
                // Without a state service nobody can be told that a job is cancelled.
                if !site.crew.outage && !site.crew.finished.contains(&job) {
                    site.crew.cancel(job);
                    site.cancelled.insert(job);
                    site.crew.run(0.2);
                }
            }
            Step::Die(m) => site.crew.remove_worker(NAMES[m]),
            Step::FencingRecord(m) => {
                site.crew.unreachable.insert(NAMES[m].into());
            }
            Step::Heal => site.crew.unreachable.clear(),
            Step::Drain(m, deadline) => {
                site.crew.send_admin_request(AdminRequest::Drain {
                    node: NAMES[m].into(),
                    deadline_s: deadline.map(f64::from),
                    yes: true,
                });
            }
            Step::Undrain(m) => {
                site.crew.send_admin_request(AdminRequest::Undrain {
                    node: NAMES[m].into(),
                });
            }
            Step::NextLeader => site.crew.fail_over(),
            Step::Sleep(seconds) => {
                site.crew.pause(seconds.into());
                site.crew.core.paused(seconds.into());
            }
            Step::Outage(true) => site.crew.outage = true,
            Step::Outage(false) => site.crew.end_outage(),
            Step::Saving(saving) => site.crew.checkpointing = saving,
        }
        site.check();
        site
    }

    fn teardown(mut site: Site, _: Model) {
        site.come_to_rest();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: number("MOVES_CASES", 48) as u32,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(number("MOVES_SEED", 20_261_201)),
        max_shrink_iters: 200,
        ..Config::default()
    })]

    #[test]
    fn any_order_of_moves_drains_and_faults_leaves_one_answer_to_every_job(
        sequential 1..40 => Moves
    );
}
