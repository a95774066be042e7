//! A leader's core and a shard owner's relay, message by message, without a network.

use copperfield::coordination::core::{CancelBegin, Config, Core, Effect, Input, Outcome};
use copperfield::protocol::JobId;
use copperfield::protocol::cloud::parse_machine_types;
use copperfield::protocol::job::{JobOutcome, Phase};
use copperfield::protocol::worker::{Heartbeat, TaskPhase, TaskStatus};
use copperfield::settings::{Cluster, Tuning};
use copperfield::storage::writer::Written;
use copperfield::storage::{Snapshot, StoredRegistryPage, WorkerRecord};
use copperfield_heartbeat_forwarder::{Action, HeartbeatForwarder};
use copperfield_simulation::core_harness::stored;
use serde_json::json;

const TYPES: &str = r#"{"flavors":[
 {"name":"small","cpus":4,"memory_gb":16,"local_gb":50,"pull_gb_per_s":1,"price":0.2,"ready_s":10,"regions":["a","b"]}]}"#;
const TOKEN: u64 = 50;
const LEASE_S: f64 = 25.0;
const CANCEL_S: f64 = 40.0;
const STEP_S: f64 = 0.05;

/// Node 0, which leads, and node 1, where one worker with one running task reports.
struct Site {
    now: f64,
    core: Core,
    relay: HeartbeatForwarder,
    worker: Heartbeat,
    next_report: f64,
    /// Whether orders reach the worker.
    reached: bool,
    ticket: u64,
    /// When each answer of the shard owner left.
    answered: Vec<f64>,
    /// Those that were told to report to the leader.
    sent_to_leader: Vec<f64>,
    message_ids: Vec<(f64, Input)>,
}

/// A leader that was elected at 0, of one old job.
fn elected(registry: Vec<StoredRegistryPage>) -> Core {
    let cluster = json!({"zones": ["a", "b"], "teams": [{"name": "team"}], "objectives": [],
            "workers": {"report_s": 5.0, "lease_s": LEASE_S, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": CANCEL_S},
            "state": {"rps": 200, "write_rps": 50, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 5},
            "limits": {"max_sockets": 3000}});
    let cluster: Cluster = serde_json::from_value(cluster).expect("valid");
    let body = json!({"uid": "wk-000001", "runtime_s": 900.0});
    let snapshot = Snapshot {
        jobs: vec![stored(&body, TOKEN - 1)],
        registry,
        ..Snapshot::default()
    };
    let types = parse_machine_types(TYPES.as_bytes()).expect("valid");
    let tuning = Tuning::default();
    let mut core = Core::new(Config { cluster, tuning }, TOKEN, 0.0, types, snapshot);
    core.enable_sharding(0, &[("host-0", "a"), ("host-1", "a")]);
    core
}

fn heartbeat(name: &str) -> Heartbeat {
    Heartbeat {
        worker: name.into(),
        address: "10.1.0.1:9000".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        counter: 0,
        token: TOKEN,
        notice_s: None,
        tasks: Vec::new(),
    }
}

impl Site {
    fn new() -> Self {
        let core = elected(Vec::new());
        let task = TaskStatus {
            job: JobId(1),
            task: 0,
            attempt: 7,
            phase: TaskPhase::Running,
        };
        Self {
            now: 0.0,
            core,
            relay: HeartbeatForwarder::new(1, 9, 5.0),
            worker: Heartbeat {
                tasks: vec![task],
                ..heartbeat("vm-000001")
            },
            next_report: 0.0,
            reached: true,
            ticket: 0,
            answered: Vec::new(),
            sent_to_leader: Vec::new(),
            message_ids: Vec::new(),
        }
    }

    fn heartbeat(&mut self) -> Heartbeat {
        self.worker.counter += 1;
        self.worker.clone()
    }

    fn act(&mut self, acts: Vec<Action>) {
        for act in acts {
            match act {
                Action::Answer { .. } => self.answered.push(self.now),
                Action::Redirect { to: Some(0), .. } => self.sent_to_leader.push(self.now),
                Action::Redirect { .. } => {}
            }
        }
    }

    fn run(&mut self, until: f64, mut inputs: Vec<Input>) {
        while self.now < until {
            self.now += STEP_S;
            let ms = (self.now * 1000.0) as u64;
            if self.now >= self.next_report {
                self.next_report = self.now + 5.0;
                self.ticket += 1;
                let heartbeat = self.heartbeat();
                let acts = self.relay.handle_heartbeat(ms, self.ticket, heartbeat);
                self.act(acts);
            }
            let acts = self.relay.tick(ms);
            self.act(acts);
            if let Some(word) = self.relay.next_status(ms) {
                inputs.push(Input::ShardStatus { ticket: 0, word });
            }
            let now = self.now;
            inputs.extend(self.message_ids.extract_if(.., |f| f.0 <= now).map(|f| f.1));
            self.core.valid_until = self.now + 2.0;
            for effect in self.core.step(self.now, std::mem::take(&mut inputs)) {
                match effect {
                    Effect::Granted {
                        down: Some(down), ..
                    } => {
                        let acts = self.relay.handle_update(ms, &down);
                        self.act(acts);
                    }
                    Effect::Direct {
                        worker, message_id, ..
                    }
                    | Effect::Inspect {
                        worker, message_id, ..
                    } => {
                        let outcome = match self.reached {
                            true => Outcome::Executed(self.heartbeat()),
                            false => Outcome::Unsent,
                        };
                        let input = Input::Direct {
                            worker,
                            message_id,
                            outcome,
                        };
                        self.message_ids.push((self.now + 0.5, input));
                    }
                    Effect::Cancel { begin, .. } => {
                        assert!(matches!(begin, CancelBegin::Go { .. }), "{begin:?}");
                        let end = Some(JobOutcome {
                            phase: Phase::Cancelled,
                            done: 0,
                        });
                        let job = JobId(1);
                        inputs.push(Input::CancelSettled { job, end });
                    }
                    _ => {}
                }
            }
        }
    }
}

/// A shard owner's answer carries no orders. Where none reaches a worker directly, the shard owner would
/// renew the lease of a task that its user has cancelled for as long as it likes.
#[test]
fn a_worker_that_orders_do_not_reach_is_answered_by_no_holder_after_a_cancellation() {
    let mut site = Site::new();
    site.run(12.0, Vec::new());
    assert!(site.answered.len() >= 2, "{:?}", site.answered);
    site.reached = false;
    let cancel = Input::CancelBegin {
        ticket: 1,
        job: JobId(1),
    };
    site.run(12.0 + CANCEL_S, vec![cancel]);
    let last = *site.answered.last().expect("looked at");
    assert!(
        last + LEASE_S < 12.0 + CANCEL_S - 1.0,
        "{:?}",
        site.answered
    );
    // There its orders come with the answer.
    assert!(!site.sent_to_leader.is_empty());
}

/// While all is well it stays where it is, answered at once, and the leader is asked for it once.
#[test]
fn a_held_worker_stays_and_is_answered_at_once() {
    let mut site = Site::new();
    site.run(60.0, Vec::new());
    assert_eq!(site.answered.len(), 12, "{:?}", site.answered);
    assert!(site.sent_to_leader.is_empty());
    let waits = |(at, n): (&f64, u32)| at - f64::from(n) * 5.0;
    let longest = site.answered.iter().zip(0..).map(waits).fold(0.0, f64::max);
    // The first has to be taken, which the leader is asked for.
    assert!(longest < 0.7, "{:?}", site.answered);
}

/// A leader may be elected before the grants of the last one have ended, if that one's key was
/// removed. A worker of which nothing is heard may have been answered until then, and what it
/// may hold starts elsewhere only a lease later.
#[test]
fn leases_count_from_the_end_of_old_grants() {
    let silent = WorkerRecord {
        address: "10.1.0.9:9000".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        images: Vec::new(),
    };
    let mut core = elected(vec![StoredRegistryPage {
        page: 0,
        version: 5,
        workers: Some(vec![("vm-000009".into(), silent)]),
    }]);
    let ttl_s = Tuning::default().leader_ttl_ms as f64 / 1000.0;
    let mut heard = heartbeat("vm-000002");
    let (mut now, mut inputs) = (0.0, Vec::new());
    let started = 'days: loop {
        now += STEP_S;
        assert!(now < 60.0, "never started");
        if heard.counter < (now / 5.0) as u64 + 1 {
            heard.counter += 1;
            let heartbeat = heard.clone();
            inputs.push(Input::Heartbeat {
                ticket: 1,
                heartbeat,
            });
        }
        core.valid_until = now + 2.0;
        for effect in core.step(now, std::mem::take(&mut inputs)) {
            match effect {
                Effect::Write(batch) => {
                    let stored = |w| (w, Written::Stored { version: 60 });
                    inputs.push(Input::Written(batch.into_iter().map(stored).collect()));
                }
                Effect::Direct {
                    worker, commands, ..
                } if worker == heard.worker && !commands.is_empty() => break 'days now,
                _ => {}
            }
        }
    };
    assert!(
        started > ttl_s + LEASE_S && started < ttl_s + LEASE_S + 2.0,
        "{started}"
    );
}
