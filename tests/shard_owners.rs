//! Tests of a leader's core together with a shard owner's heartbeat forwarder. Messages are passed
//! directly, without a network.

use copperfield::coordination::core::{
    CancelDecision, CommandOutcome, Config, Core, Effect, Input,
};
use copperfield::protocol::JobId;
use copperfield::protocol::cloud::parse_machine_types;
use copperfield::protocol::job::{JobOutcome, Phase};
use copperfield::protocol::worker::{Heartbeat, TaskPhase, TaskStatus};
use copperfield::settings::{Cluster, Tuning};
use copperfield::storage::writer::WriteOutcome;
use copperfield::storage::{Snapshot, StoredRegistryPage, WorkerRecord};
use copperfield_heartbeat_forwarder::{Action, HeartbeatForwarder};
use copperfield_simulation::core_harness::stored_job;
use serde_json::json;

const TYPES: &str = r#"{"flavors":[
 {"name":"small","cpus":4,"memory_gb":16,"local_gb":50,"pull_gb_per_s":1,"price":0.2,"ready_s":10,"regions":["a","b"]}]}"#;
const TOKEN: u64 = 50;
const LEASE_S: f64 = 25.0;
const CANCEL_S: f64 = 40.0;
const STEP_S: f64 = 0.05;

/// Controller 0, which leads, controller 1, a shard owner, and one worker that runs one task and
/// sends its heartbeats to controller 1.
struct Exchange {
    now: f64,
    core: Core,
    forwarder: HeartbeatForwarder,
    worker: Heartbeat,
    next_heartbeat_at: f64,
    /// Whether commands reach the worker.
    reachable: bool,
    /// Whether the leader learns that its cancellation is stored.
    acknowledges_cancellation: bool,
    ticket: u64,
    /// Times of the shard owner's answers to heartbeats.
    answered_at: Vec<f64>,
    /// Times at which heartbeats were redirected to the leader.
    redirected_at: Vec<f64>,
    /// Outcomes of direct messages, with the time at which each one reaches the leader.
    outcomes: Vec<(f64, Input)>,
}

/// Creates the core of a leader elected at time 0, with one job stored before its election.
fn elected_leader(registry: Vec<StoredRegistryPage>) -> Core {
    let cluster = json!({"zones": ["a", "b"], "teams": [{"name": "team"}], "objectives": [],
            "workers": {"report_s": 5.0, "lease_s": LEASE_S, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": CANCEL_S},
            "state": {"rps": 200, "write_rps": 50, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 5},
            "limits": {"max_sockets": 3000}});
    let cluster: Cluster = serde_json::from_value(cluster).expect("valid");
    let body = json!({"uid": "wk-000001", "runtime_s": 900.0});
    let snapshot = Snapshot {
        jobs: vec![stored_job(&body, TOKEN - 1)],
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

impl Exchange {
    fn new() -> Self {
        let core = elected_leader(Vec::new());
        let task = TaskStatus {
            job: JobId(1),
            task: 0,
            attempt: 7,
            phase: TaskPhase::Running,
        };
        Self {
            now: 0.0,
            core,
            forwarder: HeartbeatForwarder::new(1, 9, 5.0),
            worker: Heartbeat {
                tasks: vec![task],
                ..heartbeat("vm-000001")
            },
            next_heartbeat_at: 0.0,
            reachable: true,
            acknowledges_cancellation: true,
            ticket: 0,
            answered_at: Vec::new(),
            redirected_at: Vec::new(),
            outcomes: Vec::new(),
        }
    }

    fn next_heartbeat(&mut self) -> Heartbeat {
        self.worker.counter += 1;
        self.worker.clone()
    }

    fn record_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Answer { .. } => self.answered_at.push(self.now),
                Action::Redirect { to: Some(0), .. } => self.redirected_at.push(self.now),
                Action::Redirect { .. } => {}
            }
        }
    }

    fn run(&mut self, until: f64, mut inputs: Vec<Input>) {
        while self.now < until {
            self.now += STEP_S;
            let ms = (self.now * 1000.0) as u64;
            if self.now >= self.next_heartbeat_at {
                self.next_heartbeat_at = self.now + 5.0;
                self.ticket += 1;
                let heartbeat = self.next_heartbeat();
                let actions = self.forwarder.handle_heartbeat(ms, self.ticket, heartbeat);
                self.record_actions(actions);
            }
            let actions = self.forwarder.tick(ms);
            self.record_actions(actions);
            if let Some(status) = self.forwarder.next_status(ms) {
                inputs.push(Input::ShardStatus { ticket: 0, status });
            }
            let now = self.now;
            inputs.extend(
                self.outcomes
                    .extract_if(.., |(at, _)| *at <= now)
                    .map(|(_, input)| input),
            );
            self.core.valid_until = self.now + 2.0;
            for effect in self.core.step(self.now, std::mem::take(&mut inputs)) {
                match effect {
                    Effect::AnswerShardStatus {
                        update: Some(update),
                        ..
                    } => {
                        let actions = self.forwarder.handle_update(ms, &update);
                        self.record_actions(actions);
                    }
                    Effect::SendCommands {
                        worker, message_id, ..
                    }
                    | Effect::RequestHeartbeat {
                        worker, message_id, ..
                    } => {
                        let outcome = match self.reachable {
                            true => CommandOutcome::Executed(self.next_heartbeat()),
                            false => CommandOutcome::Unsent,
                        };
                        let input = Input::DirectMessageEnded {
                            worker,
                            message_id,
                            outcome,
                        };
                        self.outcomes.push((self.now + 0.5, input));
                    }
                    Effect::AnswerCancel { decision, .. } => {
                        assert!(
                            matches!(decision, CancelDecision::Go { .. }),
                            "{decision:?}"
                        );
                        if !self.acknowledges_cancellation {
                            continue;
                        }
                        let outcome = Some(JobOutcome {
                            phase: Phase::Cancelled,
                            done: 0,
                        });
                        let job = JobId(1);
                        inputs.push(Input::CancelSettled { job, outcome });
                    }
                    _ => {}
                }
            }
        }
    }
}

/// Guards against a cancelled task that runs forever. A shard owner's answers carry no commands but
/// renew the worker's lease, so if commands do not reach the worker directly, it never learns of
/// the cancellation.
#[test]
fn a_worker_that_commands_do_not_reach_is_answered_by_no_shard_owner_after_a_cancellation() {
    let mut exchange = Exchange::new();
    exchange.run(12.0, Vec::new());
    assert!(
        exchange.answered_at.len() >= 2,
        "{:?}",
        exchange.answered_at
    );
    exchange.reachable = false;
    let cancel = Input::CancelRequested {
        ticket: 1,
        job: JobId(1),
    };
    exchange.run(12.0 + CANCEL_S, vec![cancel]);
    let last = *exchange.answered_at.last().expect("there are answers");
    assert!(
        last + LEASE_S < 12.0 + CANCEL_S - 1.0,
        "{:?}",
        exchange.answered_at
    );
    // The worker is redirected to the leader, whose answers carry commands.
    assert!(!exchange.redirected_at.is_empty());
}

/// The worker runs a task of a job that ended before the leader was elected, and commands do not
/// reach it. It is not known how long ago the user was told of the end, so no shard owner may renew
/// the worker's lease.
#[test]
fn a_worker_that_runs_a_task_of_an_unknown_job_is_answered_by_no_shard_owner() {
    let mut exchange = Exchange::new();
    exchange.worker.tasks[0].job = JobId(9);
    exchange.reachable = false;
    exchange.run(60.0, Vec::new());
    assert!(
        exchange.answered_at.is_empty(),
        "{:?}",
        exchange.answered_at
    );
    assert!(!exchange.redirected_at.is_empty());
}

/// The leader learns of a task only long after the cancellation of its job, because the worker
/// could not be reached before. The rest of the worker's lease may then use up the time allowed for
/// the cancellation, so no shard owner may renew it.
#[test]
fn a_worker_that_reports_a_task_long_after_its_cancellation_is_answered_by_no_shard_owner() {
    for acknowledged in [true, false] {
        let mut exchange = Exchange::new();
        exchange.acknowledges_cancellation = acknowledged;
        exchange.reachable = false;
        exchange.next_heartbeat_at = 20.0;
        let cancel = Input::CancelRequested {
            ticket: 1,
            job: JobId(1),
        };
        exchange.run(60.0, vec![cancel]);
        assert!(
            exchange.answered_at.is_empty(),
            "{:?}",
            exchange.answered_at
        );
        assert!(!exchange.redirected_at.is_empty());
    }
}

/// Without faults a worker keeps its shard owner, which waits for the leader only at the first
/// heartbeat.
#[test]
fn an_owned_worker_keeps_its_owner_and_is_answered_at_once() {
    let mut exchange = Exchange::new();
    exchange.run(60.0, Vec::new());
    assert_eq!(exchange.answered_at.len(), 12, "{:?}", exchange.answered_at);
    assert!(exchange.redirected_at.is_empty());
    let answer_delay_s = |(at, n): (&f64, u32)| at - f64::from(n) * 5.0;
    let longest_s = exchange
        .answered_at
        .iter()
        .zip(0..)
        .map(answer_delay_s)
        .fold(0.0, f64::max);
    // The first heartbeat waits until the leader has assigned the worker.
    assert!(longest_s < 0.7, "{:?}", exchange.answered_at);
}

/// A leader may be elected before the shard leases granted by the previous leader have ended, if
/// that leader's key was removed. An unresponsive worker may have been answered until the end of
/// those shard leases, so its tasks may start elsewhere only one worker lease after that.
#[test]
fn worker_leases_count_from_the_end_of_old_shard_leases() {
    let unresponsive = WorkerRecord {
        address: "10.1.0.9:9000".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        images: Vec::new(),
    };
    let mut core = elected_leader(vec![StoredRegistryPage {
        page: 0,
        version: 5,
        workers: Some(vec![("vm-000009".into(), unresponsive)]),
    }]);
    let ttl_s = Tuning::default().leader_ttl_ms as f64 / 1000.0;
    let mut responsive = heartbeat("vm-000002");
    let (mut now, mut inputs) = (0.0, Vec::new());
    let started_at = 'steps: loop {
        now += STEP_S;
        assert!(now < 60.0, "no start within 60 s");
        if responsive.counter < (now / 5.0) as u64 + 1 {
            responsive.counter += 1;
            let heartbeat = responsive.clone();
            inputs.push(Input::Heartbeat {
                ticket: 1,
                heartbeat,
            });
        }
        core.valid_until = now + 2.0;
        for effect in core.step(now, std::mem::take(&mut inputs)) {
            match effect {
                Effect::Write(batch) => {
                    let stored = |w| (w, WriteOutcome::Stored { version: 60 });
                    inputs.push(Input::Written(batch.into_iter().map(stored).collect()));
                }
                Effect::SendCommands {
                    worker, commands, ..
                } if worker == responsive.worker && !commands.is_empty() => break 'steps now,
                _ => {}
            }
        }
    };
    assert!(
        started_at > ttl_s + LEASE_S && started_at < ttl_s + LEASE_S + 2.0,
        "{started_at}"
    );
}
