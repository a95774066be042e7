//! Every answer that renews a worker's lease carries the stops of the cancelled tasks that the
//! worker may run (docs/notes/cancellation.md). Guards against a cancelled task that runs on
//! because its worker's lease is renewed while the stop waits. Tests that depend on the order of
//! messages step the core message by message; the simulated days use whole controllers.

mod bare_core;
mod simulated_cluster;

use std::time::Duration;

use copperfield::coordination::core::{CommandOutcome, Core, Effect, Input};
use copperfield::protocol::JobId;
use copperfield::protocol::job::{JobOutcome, Phase};
use copperfield::protocol::worker::{Heartbeat, TaskPhase, TaskStatus};
use copperfield::storage::StoredJob;
use copperfield::storage::writer::WriteOutcome;
use copperfield_simulation::core_harness::stored_job;
use serde_json::{Value, json};
use tokio::time::sleep;

use bare_core::{TOKEN, elected_leader, heartbeat};
use simulated_cluster::*;

const WORKER: &str = "vm-000001";
const JOB: JobId = JobId(1);
/// A job that the leader has never read, because it ended under an earlier leader.
const UNKNOWN_JOB: JobId = JobId(9);
const ATTEMPT: u64 = 7;
const STEP_S: f64 = 0.05;
/// How long a message without an answer stays in flight.
const PROBE_TIMEOUT_S: f64 = 0.5;

/// A new leader with one worker, to which an earlier leader has given a task.
struct Leader {
    core: Core,
    now: f64,
    inputs: Vec<Input>,
    /// The direct message in flight, and whether it carries commands.
    message: Option<(u64, bool)>,
    /// The commands in each answer to a heartbeat.
    answers: Vec<Vec<Value>>,
    /// Whether writes are acknowledged.
    acknowledge_writes: bool,
    pending_results: Vec<Input>,
    ticket: u64,
}

/// The job of the task that the worker runs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum TaskJob {
    /// The leader has read the job, and a user cancels it.
    KnownJob,
    /// The job ended before the election, so the leader has not read it.
    UnknownJob,
}

impl TaskJob {
    fn job(self) -> JobId {
        match self {
            Self::KnownJob => JOB,
            Self::UnknownJob => UNKNOWN_JOB,
        }
    }

    fn status(self) -> TaskStatus {
        TaskStatus {
            job: self.job(),
            task: 0,
            attempt: ATTEMPT,
            phase: TaskPhase::Running,
        }
    }

    /// A heartbeat of the worker that runs the task.
    fn heartbeat(self, counter: u64, token: u64) -> Heartbeat {
        Heartbeat {
            token,
            ..heartbeat(WORKER, "a", counter, vec![self.status()])
        }
    }
}

impl Leader {
    fn elected() -> Self {
        let body = json!({"uid": "wk-000001", "shards": 1, "cpus": 1.0, "runtime_s": 900.0});
        let jobs: Vec<StoredJob> = vec![stored_job(&body, TOKEN - 1)];
        let workers = [(WORKER.to_string(), "a".to_string())];
        let mut core = elected_leader(&["a"], json!({"name": "team"}), workers, jobs);
        // Without a bound on clock errors no worker is added to the fencing record.
        core.config.cluster.clock_error_ms = 25.0;
        Self {
            core,
            now: 0.0,
            inputs: Vec::new(),
            message: None,
            answers: Vec::new(),
            acknowledge_writes: true,
            pending_results: Vec::new(),
            ticket: 0,
        }
    }

    fn step(&mut self) {
        self.now += STEP_S;
        self.core.valid_until = self.now + 2.0;
        for effect in self.core.step(self.now, std::mem::take(&mut self.inputs)) {
            match effect {
                Effect::AnswerHeartbeat { body, .. } => {
                    let body: Value = serde_json::from_slice(&body).expect("JSON");
                    let orders = body["orders"].as_array().expect("a list");
                    self.answers.push(orders.clone());
                }
                Effect::SendCommands { message_id, .. } => self.message = Some((message_id, true)),
                Effect::RequestHeartbeat { message_id, .. } => {
                    self.message = Some((message_id, false));
                }
                Effect::Write(batch) => {
                    let version = TOKEN + self.ticket;
                    let stored = |write| (write, WriteOutcome::Stored { version });
                    let written = Input::Written(batch.into_iter().map(stored).collect());
                    self.pending_results.push(written);
                }
                _ => {}
            }
        }
        if self.acknowledge_writes {
            self.inputs.append(&mut self.pending_results);
        }
    }

    /// Runs the leader for this long while direct messages get no answer.
    fn run_unreachable(&mut self, seconds: f64) {
        let until = self.now + seconds;
        let mut in_flight_since = self.now;
        while self.now < until {
            let before = self.message;
            self.step();
            if self.message != before {
                in_flight_since = self.now;
            }
            if self.now - in_flight_since >= PROBE_TIMEOUT_S {
                self.end_message(|commands| match commands {
                    true => CommandOutcome::Unknown,
                    false => CommandOutcome::Unsent,
                });
            }
        }
    }

    /// Ends the direct message in flight with this outcome.
    fn end_message(&mut self, outcome: impl Fn(bool) -> CommandOutcome) {
        if let Some((message_id, commands)) = self.message.take() {
            self.inputs.push(Input::DirectMessageEnded {
                worker: WORKER.into(),
                message_id,
                outcome: outcome(commands),
            });
        }
    }

    /// Runs the leader until a direct message is in flight.
    fn await_message(&mut self) {
        for _ in 0..100 {
            if self.message.is_some() {
                return;
            }
            self.step();
        }
        panic!("no direct message within 5 s");
    }

    fn receive(&mut self, heartbeat: Heartbeat) {
        self.ticket += 1;
        let ticket = self.ticket;
        self.inputs.push(Input::Heartbeat { ticket, heartbeat });
    }

    /// Cancels the job for a user; the cancellation is stored and confirmed at once.
    fn cancel(&mut self) {
        let ticket = 1_000_000;
        self.inputs
            .push(Input::CancelRequested { ticket, job: JOB });
        self.step();
        let end = Some(JobOutcome {
            phase: Phase::Cancelled,
            done: 0,
        });
        self.inputs.push(Input::CancelSettled {
            job: JOB,
            outcome: end,
        });
        self.step();
    }

    /// Cancels the job after a heartbeat of the worker, which is unreachable from then on.
    fn cancel_while_unreachable(&mut self, of: TaskJob) {
        self.receive(of.heartbeat(10, TOKEN - 1));
        self.step();
        self.cancel();
        self.run_unreachable(4.0);
        self.answers.clear();
    }
}

fn contains_stop(orders: &[Value], of: TaskJob) -> bool {
    let task = format!("{}/0", of.job());
    orders
        .iter()
        .any(|order| order["verb"] == "halt" && order["shard"] == task && order["try"] == ATTEMPT)
}

const ALL_TASK_JOBS: [TaskJob; 2] = [TaskJob::KnownJob, TaskJob::UnknownJob];

/// Guards against the fault of the incident: while a worker does not answer direct messages, one is
/// in flight to it nearly all the time. The stop waited for that message to end, while each answer
/// to a heartbeat renewed the lease.
#[test]
fn answer_carries_the_stop_while_a_direct_message_is_in_flight() {
    for of in ALL_TASK_JOBS {
        let mut leader = Leader::elected();
        leader.cancel_while_unreachable(of);
        for counter in 20..24 {
            leader.await_message();
            leader.receive(of.heartbeat(counter, TOKEN - 1));
            leader.step();
            let orders = leader.answers.pop().expect("the heartbeat is answered");
            assert!(contains_stop(&orders, of), "{of:?}, {counter}: {orders:?}");
            leader.run_unreachable(1.0);
        }
    }
}

/// The worker answers a probe while an older heartbeat is in the network or waits at the leader.
/// The direct answer is the newer message, but only the answer to the heartbeat renews the lease.
#[test]
fn answer_to_a_heartbeat_overtaken_by_a_direct_answer_carries_the_stop() {
    for of in ALL_TASK_JOBS {
        for orders in [
            answer_to_overtaken(of),
            answer_to_deferred_and_overtaken(of),
        ] {
            assert!(contains_stop(&orders, of), "{of:?}: {orders:?}");
        }
    }
}

/// The commands in the answer to a heartbeat that arrives after a newer direct answer.
fn answer_to_overtaken(of: TaskJob) -> Vec<Value> {
    let mut leader = Leader::elected();
    leader.cancel_while_unreachable(of);
    leader.await_message();
    leader.end_message(|_| CommandOutcome::Executed(of.heartbeat(21, TOKEN)));
    leader.receive(of.heartbeat(20, TOKEN - 1));
    leader.step();
    leader.answers.pop().expect("the heartbeat is answered")
}

/// The commands in the answer to a heartbeat that arrives before a newer direct answer but is
/// answered after it: the worker is fenced, so the answer waits until the worker's removal from the
/// fencing record is stored.
fn answer_to_deferred_and_overtaken(of: TaskJob) -> Vec<Value> {
    let mut leader = Leader::elected();
    leader.cancel_while_unreachable(of);
    // Long enough for the worker to be added to the fencing record.
    leader.run_unreachable(12.0);
    leader.acknowledge_writes = false;
    leader.receive(of.heartbeat(20, TOKEN - 1));
    leader.step();
    assert!(leader.answers.is_empty(), "the worker is fenced");
    leader.await_message();
    leader.end_message(|_| CommandOutcome::Executed(of.heartbeat(21, TOKEN)));
    leader.step();
    leader.acknowledge_writes = true;
    leader.step();
    leader.step();
    leader.answers.pop().expect("the heartbeat is answered")
}

/// When the leader is restarted. The workers become unreachable soon after.
const FAULT_AT_S: f64 = 10.0;
/// When users cancel their jobs.
const CANCEL_AT_S: f64 = FAULT_AT_S + 3.0;
const JOBS: usize = 4;

/// Faults on a simulated day in addition to those of the incident.
#[derive(Clone, Copy, Debug)]
struct ExtraFaults {
    /// The share of direct messages that are late from the cancellation on.
    late_commands: f64,
    /// Whether the workers hang soon after they are reachable again, for nearly as long as a lease.
    workers_hang: bool,
}

/// The time from when the workers are reachable again until they hang. Each has sent a heartbeat or
/// two by then.
const REACHABLE_BEFORE_HANG_S: f64 = 0.9;

/// Simulates the incident: the leader is restarted, no worker is reachable for nearly a lease,
/// users cancel their jobs meanwhile, and the workers are reachable again just before their leases
/// end. Returns the violated rules.
fn simulate_incident(seed: u64, unreachable_s: f64, extra: ExtraFaults) -> Vec<String> {
    simulate(async move {
        let cluster = start_long_lease_cluster(seed);
        tokio::spawn(simulate_workers(cluster.clone()));
        for i in 1..=JOBS {
            let id = format!("wk-{i:06}");
            let body = job(i, "sweep", 4, json!({"cpus": 1.0, "pull_gb": 0.1}));
            tokio::spawn(simulate_user(
                cluster.clone(),
                id.clone(),
                body,
                1e6,
                1.0,
                None,
            ));
            let cluster = cluster.clone();
            tokio::spawn(async move {
                sleep(Duration::from_secs_f64(CANCEL_AT_S)).await;
                cancel_until_answered(cluster, id).await;
            });
        }
        let cut_at_s = FAULT_AT_S + 0.3;
        let mut faults = vec![(FAULT_AT_S, Fault::RestartLeaders(1, 3.0))];
        for worker in 1..=6 {
            faults.push((cut_at_s, Fault::PartitionWorker(worker, unreachable_s)));
            if extra.workers_hang {
                let hang = Fault::HangWorker(worker, LONG_LEASE_S - 1.0);
                faults.push((cut_at_s + unreachable_s + REACHABLE_BEFORE_HANG_S, hang));
            }
        }
        if extra.late_commands > 0.0 {
            let late = Fault::LateCommands(extra.late_commands, 2.0 * LONG_LEASE_S);
            faults.push((CANCEL_AT_S, late));
        }
        for (at, fault) in faults {
            tokio::spawn(inject_fault(cluster.clone(), at, fault, seed));
        }
        sleep(Duration::from_secs_f64(60.0)).await;
        let w = cluster.lock().unwrap();
        w.site.violations.clone()
    })
}

/// The number of simulated days of each kind. The environment variable `DAYS` overrides it.
const DEFAULT_DAYS: u64 = 24;

/// On each day the workers are reachable again at a different time, at which their leases would end
/// within about a second.
#[test]
fn workers_reachable_again_just_within_their_leases_stop_cancelled_tasks() {
    let requested_days = std::env::var("DAYS").ok().and_then(|n| n.parse().ok());
    let mut broken = Vec::new();
    for (late_commands, workers_hang) in [(0.0, false), (0.8, false), (0.8, true)] {
        let extra = ExtraFaults {
            late_commands,
            workers_hang,
        };
        for seed in 0..requested_days.unwrap_or(DEFAULT_DAYS) {
            let unreachable_s = LONG_LEASE_S - 1.25 + 0.025 * (seed % DEFAULT_DAYS) as f64;
            let rules = simulate_incident(seed, unreachable_s, extra);
            if !rules.is_empty() {
                broken.push((extra, seed, rules));
            }
        }
    }
    assert!(broken.is_empty(), "{} days: {broken:#?}", broken.len());
}
