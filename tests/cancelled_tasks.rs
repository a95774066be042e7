//! A worker's lease is renewed only together with the stop of each cancelled task that it may run:
//! docs/notes/cancellation.md. The core is stepped message by message where the order of messages
//! decides; the days below play the same with whole controllers.

mod bare_core;
mod simulated_cluster;

use std::time::Duration;

use copperfield::coordination::core::{Core, Effect, Input, Outcome};
use copperfield::protocol::JobId;
use copperfield::protocol::job::{JobOutcome, Phase};
use copperfield::protocol::worker::{Heartbeat, TaskPhase, TaskStatus};
use copperfield::storage::StoredJob;
use copperfield::storage::writer::Written;
use copperfield_simulation::core_harness::stored;
use serde_json::{Value, json};
use tokio::time::sleep;

use bare_core::{TOKEN, elected_leader, heartbeat};
use simulated_cluster::*;

const WORKER: &str = "vm-000001";
const JOB: JobId = JobId(1);
/// A job that the leader has never read, because it ended under an earlier one.
const UNKNOWN_JOB: JobId = JobId(9);
const ATTEMPT: u64 = 7;
const STEP_S: f64 = 0.05;
/// How long a probe without an answer is out.
const PROBE_S: f64 = 0.5;

/// A new leader, and one worker that an earlier leader has given a task.
struct Leader {
    core: Core,
    now: f64,
    inputs: Vec<Input>,
    /// The direct message that is out, and whether it carries commands.
    message: Option<(u64, bool)>,
    /// Answers to heartbeats: the orders in each.
    answers: Vec<Vec<Value>>,
    /// Whether writes are acknowledged.
    stores: bool,
    unwritten: Vec<Input>,
    ticket: u64,
}

/// Whose task the worker runs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum TaskOf {
    /// The leader has read the job, and its user cancels it.
    KnownJob,
    /// The job ended before the election, so the leader has not read it.
    UnknownJob,
}

impl TaskOf {
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

    /// The heartbeat of the worker that runs the task.
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
        let jobs: Vec<StoredJob> = vec![stored(&body, TOKEN - 1)];
        let workers = [(WORKER.to_string(), "a".to_string())];
        let mut core = elected_leader(&["a"], json!({"name": "team"}), workers, jobs);
        // Without a bound on clocks nothing is put on the fencing record.
        core.config.cluster.clock_error_ms = 25.0;
        Self {
            core,
            now: 0.0,
            inputs: Vec::new(),
            message: None,
            answers: Vec::new(),
            stores: true,
            unwritten: Vec::new(),
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
                    let stored = |write| (write, Written::Stored { version });
                    let written = Input::Written(batch.into_iter().map(stored).collect());
                    self.unwritten.push(written);
                }
                _ => {}
            }
        }
        if self.stores {
            self.inputs.append(&mut self.unwritten);
        }
    }

    /// Lets time pass. Direct messages get no answer.
    fn run_unreachable(&mut self, seconds: f64) {
        let until = self.now + seconds;
        let mut out_since = self.now;
        while self.now < until {
            let before = self.message;
            self.step();
            if self.message != before {
                out_since = self.now;
            }
            if self.now - out_since >= PROBE_S {
                self.end_message(|commands| match commands {
                    true => Outcome::Unknown,
                    false => Outcome::Unsent,
                });
            }
        }
    }

    /// The direct message that is out has ended.
    fn end_message(&mut self, outcome: impl Fn(bool) -> Outcome) {
        if let Some((message_id, commands)) = self.message.take() {
            self.inputs.push(Input::DirectMessageEnded {
                worker: WORKER.into(),
                message_id,
                outcome: outcome(commands),
            });
        }
    }

    /// Until a direct message is out whose outcome is not known.
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

    /// A user cancels the job, which is stored and answered at once.
    fn cancel(&mut self) {
        let ticket = 1_000_000;
        self.inputs
            .push(Input::CancelRequested { ticket, job: JOB });
        self.step();
        let end = Some(JobOutcome {
            phase: Phase::Cancelled,
            done: 0,
        });
        self.inputs.push(Input::CancelSettled { job: JOB, end });
        self.step();
    }

    /// The worker has reported before the cancellation, and cannot be reached from then on.
    fn cancel_out_of_reach(&mut self, of: TaskOf) {
        self.receive(of.heartbeat(10, TOKEN - 1));
        self.step();
        self.cancel();
        self.run_unreachable(4.0);
        self.answers.clear();
    }
}

fn orders_stop(orders: &[Value], of: TaskOf) -> bool {
    let task = format!("{}/0", of.job());
    orders
        .iter()
        .any(|order| order["verb"] == "halt" && order["shard"] == task && order["try"] == ATTEMPT)
}

const BOTH: [TaskOf; 2] = [TaskOf::KnownJob, TaskOf::UnknownJob];

/// The incident: a probe or a message is out to a worker nearly all the time while it does not
/// answer directly, and the stop waited for its end. Meanwhile each answer renewed the lease.
#[test]
fn an_answer_carries_the_stop_while_a_direct_message_is_out() {
    for of in BOTH {
        let mut leader = Leader::elected();
        leader.cancel_out_of_reach(of);
        for counter in 20..24 {
            leader.await_message();
            leader.receive(of.heartbeat(counter, TOKEN - 1));
            leader.step();
            let orders = leader.answers.pop().expect("the heartbeat is answered");
            assert!(orders_stop(&orders, of), "{of:?}, {counter}: {orders:?}");
            leader.run_unreachable(1.0);
        }
    }
}

/// The worker answers a probe while its heartbeat is on its way, or waits at the leader: the direct
/// answer is the newer message, but it is the heartbeat whose answer renews the lease.
#[test]
fn the_answer_to_a_heartbeat_that_a_direct_answer_overtook_carries_the_stop() {
    for of in BOTH {
        for orders in [overtaken(of), deferred_and_overtaken(of)] {
            assert!(orders_stop(&orders, of), "{of:?}: {orders:?}");
        }
    }
}

/// What answers a heartbeat that arrives after the answer to a probe that was sent later.
fn overtaken(of: TaskOf) -> Vec<Value> {
    let mut leader = Leader::elected();
    leader.cancel_out_of_reach(of);
    leader.await_message();
    leader.end_message(|_| Outcome::Executed(of.heartbeat(21, TOKEN)));
    leader.receive(of.heartbeat(20, TOKEN - 1));
    leader.step();
    leader.answers.pop().expect("the heartbeat is answered")
}

/// The same where the heartbeat was there first and its worker is fenced: the answer waits until
/// the worker's removal from the fencing record is stored.
fn deferred_and_overtaken(of: TaskOf) -> Vec<Value> {
    let mut leader = Leader::elected();
    leader.cancel_out_of_reach(of);
    // Long enough to be put on the fencing record.
    leader.run_unreachable(12.0);
    leader.stores = false;
    leader.receive(of.heartbeat(20, TOKEN - 1));
    leader.step();
    assert!(leader.answers.is_empty(), "the worker is fenced");
    leader.await_message();
    leader.end_message(|_| Outcome::Executed(of.heartbeat(21, TOKEN)));
    leader.step();
    leader.stores = true;
    leader.step();
    leader.step();
    leader.answers.pop().expect("the heartbeat is answered")
}

/// When the leader ends, and when the workers are out of reach.
const FAULT_AT_S: f64 = 10.0;
const CANCEL_AT_S: f64 = FAULT_AT_S + 3.0;
const JOBS: usize = 4;

/// What else happens on a day of the incident.
#[derive(Clone, Copy, Debug)]
struct Beside {
    /// Share of direct messages that are late from the cancellation on.
    late_commands: f64,
    /// The workers hang soon after they have come back, for as long as their leases last.
    workers_hang: bool,
}

/// From when the workers are back until they hang: each has sent a heartbeat or two by then.
const BACK_S: f64 = 0.9;

/// The incident as a day: the leader ends, no worker can be reached for nearly a lease, users
/// cancel meanwhile, and the workers come back just before their leases end. Which rules broke.
fn day_of_the_incident(seed: u64, away_s: f64, beside: Beside) -> Vec<String> {
    simulate(async move {
        let world = long_lease_site(seed);
        tokio::spawn(workers(world.clone()));
        for i in 1..=JOBS {
            let id = format!("wk-{i:06}");
            let body = job(i, "sweep", 4, json!({"cpus": 1.0, "pull_gb": 0.1}));
            tokio::spawn(user(world.clone(), id.clone(), body, 1e6, 1.0, None));
            let world = world.clone();
            tokio::spawn(async move {
                sleep(Duration::from_secs_f64(CANCEL_AT_S)).await;
                call_off(world, id).await;
            });
        }
        let cut_at = FAULT_AT_S + 0.3;
        let mut faults = vec![(FAULT_AT_S, Fault::RestartLeaders(1, 3.0))];
        for worker in 1..=6 {
            faults.push((cut_at, Fault::CutWorker(worker, away_s)));
            if beside.workers_hang {
                let hang = Fault::Hang(worker, LONG_LEASE_S - 1.0);
                faults.push((cut_at + away_s + BACK_S, hang));
            }
        }
        if beside.late_commands > 0.0 {
            let late = Fault::LateCommands(beside.late_commands, 2.0 * LONG_LEASE_S);
            faults.push((CANCEL_AT_S, late));
        }
        for (at, fault) in faults {
            tokio::spawn(inflict(world.clone(), at, fault, seed));
        }
        sleep(Duration::from_secs_f64(60.0)).await;
        let w = world.lock().unwrap();
        w.site.violations.clone()
    })
}

/// How many days of each kind are played; `DAYS=500` for more.
const DAYS: u64 = 24;

/// On each day the workers come back at another time: their leases would end within a second or so.
#[test]
fn workers_that_come_back_just_within_their_leases_are_told_to_stop() {
    let wanted = std::env::var("DAYS").ok().and_then(|n| n.parse().ok());
    let mut broken = Vec::new();
    for (late_commands, workers_hang) in [(0.0, false), (0.8, false), (0.8, true)] {
        let beside = Beside {
            late_commands,
            workers_hang,
        };
        for seed in 0..wanted.unwrap_or(DAYS) {
            let away_s = LONG_LEASE_S - 1.25 + 0.025 * (seed % DAYS) as f64;
            let rules = day_of_the_incident(seed, away_s, beside);
            if !rules.is_empty() {
                broken.push((beside, seed, rules));
            }
        }
    }
    assert!(broken.is_empty(), "{} days: {broken:#?}", broken.len());
}
