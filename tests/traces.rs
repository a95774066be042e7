//! Golden traces of the core: the inputs and the resulting effects as readable text, compared with
//! the files under `tests/traces`.
//!
//! `KEEP_TRACES=1 cargo test --test traces` rewrites the files; review the diff.

use std::fmt::Write as _;

use copperfield::coordination::core::{CommandOutcome, Config, Core, Effect, Input};
use copperfield::protocol::JobId;
use copperfield::protocol::cloud::parse_machine_types;
use copperfield::protocol::job::{JobOutcome, JobSpec, Phase};
use copperfield::protocol::peer::AdminRequest;
use copperfield::protocol::worker::{Heartbeat, commands_body};
use copperfield::settings::Tuning;
use copperfield::storage::writer::{Write as Store, WriteOutcome};
use copperfield::storage::{Snapshot, StoredJob, StoredRegistryPage, WorkerRecord};
use serde_json::{Value, json};

const TOKEN: u64 = 50;

/// Drives a core, and records its inputs and effects as text.
struct Trace {
    core: Core,
    now: f64,
    text: String,
    /// Ticket of the last heartbeat.
    ticket: u64,
    /// Counter of the last heartbeat.
    counter: u64,
}

fn cluster_settings() -> copperfield::settings::Cluster {
    serde_json::from_value(json!({"zones": ["a", "b"], "teams": [{"name": "team"}],
        "workers": {"report_s": 2.0, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 30.0},
        "state": {"rps": 200, "write_rps": 50, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 5},
        "limits": {"max_sockets": 1000}}))
    .expect("valid")
}

fn job_spec(id: u64, extra: Value) -> JobSpec {
    let mut body = json!({"uid": format!("wk-{id:06}"), "jobclass": "c", "owner": "team", "shape": "sweep",
        "rank": "normal", "shards": 1, "cpus": 2.0, "memory_gb": 4.0, "bundle": "img", "runtime_s": 20.0});
    for (field, value) in extra.as_object().expect("an object") {
        body[field] = value.clone();
    }
    JobSpec::from_json(&body).expect("valid")
}

fn registry(workers: Vec<(String, WorkerRecord)>) -> Vec<StoredRegistryPage> {
    vec![StoredRegistryPage {
        page: 0,
        version: 7,
        workers: Some(workers),
    }]
}

fn stored_job(id: u64, version: u64, extra: Value) -> StoredJob {
    StoredJob {
        spec: job_spec(id, extra),
        accepted_ms: id,
        age_s: 0.0,
        version,
    }
}

fn registered_worker(name: &str, zone: &str) -> (String, WorkerRecord) {
    let record = WorkerRecord {
        address: "10.1.0.1:9000".into(),
        machine_type: "m4".into(),
        zone: zone.into(),
        spot: false,
        images: vec!["img".into()],
    };
    (name.into(), record)
}

impl Trace {
    fn new(snapshot: Snapshot) -> Self {
        let types = parse_machine_types(
            br#"{"flavors":[{"name":"m4","cpus":4,"memory_gb":16,"local_gb":50,"pull_gb_per_s":1,"price":0.4,"ready_s":10,"regions":["a","b"]}]}"#,
        )
        .expect("valid");
        let config = Config {
            cluster: cluster_settings(),
            tuning: Tuning::default(),
        };
        let core = Core::new(config, TOKEN, 100.0, types, snapshot);
        Self {
            core,
            now: 100.0,
            text: String::new(),
            ticket: 0,
            counter: 10,
        }
    }

    /// Adds a line for readers of the trace.
    fn add_note(&mut self, text: &str) {
        writeln!(self.text, "\n# {text}").expect("to a string");
    }

    /// Runs one step of the core, and records the input as `shown` unless that is empty, followed
    /// by the effects. Writes succeed at once.
    fn step(&mut self, shown: &str, inputs: Vec<Input>) {
        if !shown.is_empty() {
            writeln!(self.text, "{:6.1} > {shown}", self.now).expect("to a string");
        }
        let mut next = Vec::new();
        for effect in self.core.step(self.now, inputs) {
            let line = match &effect {
                Effect::AnswerHeartbeat { body, .. } => {
                    format!("answer {}", String::from_utf8_lossy(body))
                }
                Effect::RefuseHeartbeat { reason, .. } => format!("refuse: {reason}"),
                Effect::SendCommands {
                    worker,
                    incarnation,
                    commands,
                    ..
                } => {
                    let body = commands_body(TOKEN, Some(*incarnation), commands);
                    format!("to {worker}: {}", String::from_utf8_lossy(&body))
                }
                Effect::RequestHeartbeat { worker, .. } => format!("ask {worker}"),
                Effect::RedirectWorker { ticket, controller } => {
                    format!("report {ticket}: to node {controller}")
                }
                Effect::AnswerShardStatus { ticket, update, .. } => {
                    format!("holder {ticket}: {update:?}")
                }
                Effect::Write(batch) => {
                    let results = batch
                        .iter()
                        .map(|w| (w.clone(), WriteOutcome::Stored { version: 60 }))
                        .collect();
                    next.push(Input::Written(results));
                    let names: Vec<String> = batch
                        .iter()
                        .map(|w| match w {
                            Store::Finish { job, .. } => format!("{job} is done"),
                            Store::WorkerRegistry { value, .. } => {
                                let names: Vec<&String> =
                                    value.as_object().expect("a map").keys().collect();
                                format!("roster {names:?}")
                            }
                            Store::Progress { job, value, .. } => {
                                format!("progress of {job} {value}")
                            }
                            other => format!("{other:?}"),
                        })
                        .collect();
                    format!("store {}", names.join(", "))
                }
                Effect::ScaleIn(names) => format!("return {}", names.join(", ")),
                Effect::AnswerCancel { decision, .. } => format!("cancel: {decision:?}"),
                Effect::AnswerAdmin { status, body, .. } => {
                    format!("operator: {status} {}", String::from_utf8_lossy(body))
                }
                Effect::StepDown(_) => "deposed".into(),
                // Provisioning happens at its own intervals and is not part of these traces.
                Effect::ScaleOut { .. } | Effect::ListWorkers | Effect::ReadMachineTypes => {
                    continue;
                }
            };
            writeln!(self.text, "{:6.1} < {line}", self.now).expect("to a string");
        }
        if !next.is_empty() {
            self.step("", next);
        }
    }

    fn heartbeat(&mut self, worker: &str, incarnation: u64, token: u64, tasks: Value) -> Heartbeat {
        self.counter += 1;
        let body = json!({"host": worker, "address": "10.1.0.1:9000", "flavor": "m4", "region": "a",
            "tenure": incarnation, "counter": self.counter, "fence": token, "shards": tasks});
        Heartbeat::parse(body.to_string().as_bytes()).expect("valid")
    }

    fn send_heartbeat(&mut self, worker: &str, incarnation: u64, tasks: Value) {
        let heartbeat = self.heartbeat(worker, incarnation, TOKEN, tasks.clone());
        self.ticket += 1;
        let ticket = self.ticket;
        self.step(
            &format!("{worker} reports {tasks}"),
            vec![Input::Heartbeat { ticket, heartbeat }],
        );
    }

    /// Reports the outcome of a direct message to the core. Message ids are numbered from 1.
    fn end_direct_message(
        &mut self,
        worker: &str,
        message_id: u64,
        shown: &str,
        outcome: CommandOutcome,
    ) {
        let input = Input::DirectMessageEnded {
            worker: worker.into(),
            message_id,
            outcome,
        };
        self.step(&format!("{worker} {shown}"), vec![input]);
    }

    /// Runs the core for the given time, in steps of 0.1 s.
    fn wait(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now + 0.01 < until {
            self.now += 0.1;
            self.step("", Vec::new());
        }
    }

    /// Compares the trace with its file, which is rewritten first if `KEEP_TRACES` is set.
    fn assert_matches_file(self, name: &str) {
        let path = format!("{}/tests/traces/{name}.txt", env!("CARGO_MANIFEST_DIR"));
        if std::env::var_os("KEEP_TRACES").is_some() {
            std::fs::write(&path, &self.text).expect("writable");
        }
        let expected = std::fs::read_to_string(&path).unwrap_or_default();
        assert_eq!(self.text, expected, "{path} differs");
    }
}

/// Returns the number of the last attempt in a trace.
fn last_attempt(text: &str) -> u64 {
    let at = text
        .rfind("\"try\":")
        .unwrap_or_else(|| panic!("no start in {text}"))
        + 6;
    text[at..]
        .chars()
        .take_while(char::is_ascii_digit)
        .collect::<String>()
        .parse()
        .expect("a number")
}

#[test]
fn finished_task_is_forgotten_only_after_its_end_is_stored() {
    let mut trace = Trace::new(Snapshot::default());
    trace.add_note("a new machine is recorded before it is given anything");
    trace.send_heartbeat("vm-000001", 1, json!([]));
    trace.wait(0.4);
    trace.add_note("a job comes; its start does not wait for the next report");
    trace.step(
        "job wk-000001",
        vec![Input::Job(stored_job(1, 55, json!({"shards": 2})))],
    );
    trace.wait(0.3);
    let attempt = last_attempt(&trace.text);
    let tasks = |phase: &str| json!([{"shard": "wk-000001/0", "try": attempt - 1, "phase": phase, "exit_reason": "done"}, {"shard": "wk-000001/1", "try": attempt, "phase": "running"}]);
    let heartbeat = trace.heartbeat("vm-000001", 1, TOKEN, tasks("running"));
    trace.end_direct_message(
        "vm-000001",
        1,
        "executes the commands",
        CommandOutcome::Executed(heartbeat),
    );
    trace.add_note("one task is done: it is not cleared before its bit is stored");
    trace.send_heartbeat("vm-000001", 1, tasks("ended"));
    trace.wait(2.2);
    trace.send_heartbeat("vm-000001", 1, tasks("ended"));
    trace.assert_matches_file("start_and_clear");
}

#[test]
fn unanswered_start_stays_possible_and_is_sent_again_with_the_same_attempt() {
    let mut trace = Trace::new(Snapshot::default());
    trace.send_heartbeat("vm-000001", 1, json!([]));
    trace.send_heartbeat("vm-000002", 1, json!([]));
    trace.wait(0.3);
    trace.step(
        "job wk-000001",
        vec![Input::Job(stored_job(1, 55, json!({})))],
    );
    trace.wait(0.3);
    let attempt = last_attempt(&trace.text);
    trace.add_note(
        "no answer: the message may be held for minutes, so the task starts nowhere else",
    );
    trace.end_direct_message("vm-000001", 1, "gives no answer", CommandOutcome::Unknown);
    trace.wait(1.0);
    trace.send_heartbeat("vm-000002", 1, json!([]));
    trace.send_heartbeat("vm-000001", 1, json!([]));
    trace.add_note("its user cancels: held as an exited attempt, and forgotten under a token that refuses the late start");
    trace.step(
        "cancel wk-000001",
        vec![Input::CancelRequested {
            ticket: 1,
            job: JobId(1),
        }],
    );
    trace.step(
        "cancelled, stored",
        vec![Input::CancelSettled {
            job: JobId(1),
            outcome: Some(JobOutcome {
                phase: Phase::Cancelled,
                done: 0,
            }),
        }],
    );
    trace.send_heartbeat("vm-000001", 1, json!([]));
    trace.send_heartbeat(
        "vm-000001",
        1,
        json!([{"shard": "wk-000001/0", "try": attempt, "phase": "ended", "exit_reason": "stopped"}]),
    );
    trace.assert_matches_file("unanswered_start");
}

#[test]
fn unresponsive_worker_is_scaled_in_and_its_replicas_start_elsewhere() {
    let mut trace = Trace::new(Snapshot::default());
    let service = json!({"shape": "service", "rank": "production", "runtime_s": 0.0});
    trace.send_heartbeat("vm-000001", 1, json!([]));
    trace.wait(0.2);
    trace.step(
        "service wk-000001",
        vec![Input::Job(stored_job(1, 55, service))],
    );
    trace.wait(0.3);
    let attempt = last_attempt(&trace.text);
    let running = json!([{"shard": "wk-000001/0", "try": attempt, "phase": "running"}]);
    let heartbeat = trace.heartbeat("vm-000001", 1, TOKEN, running.clone());
    trace.end_direct_message(
        "vm-000001",
        1,
        "executes the commands",
        CommandOutcome::Executed(heartbeat),
    );
    for _ in 0..2 {
        trace.wait(0.5);
        for name in ["vm-000002", "vm-000003", "vm-000004"] {
            trace.send_heartbeat(name, 1, json!([]));
        }
    }
    trace.add_note("vm-000001 falls silent; the others go on");
    trace.wait(1.1);
    trace.end_direct_message("vm-000001", 2, "cannot be reached", CommandOutcome::Unsent);
    trace.wait(0.2);
    for name in ["vm-000002", "vm-000003", "vm-000004"] {
        trace.send_heartbeat(name, 1, json!([]));
    }
    trace.wait(0.5);
    trace.add_note("only the cloud's answer proves that the replica is gone");
    let names = vec!["vm-000001".to_string()];
    trace.step(
        "the cloud has taken it back",
        vec![Input::ScaledIn {
            workers: names,
            ok: true,
        }],
    );
    trace.wait(0.3);
    trace.assert_matches_file("silent_machine");
}

#[test]
fn new_leader_blocks_only_jobs_that_an_unresponsive_worker_may_hold() {
    let snapshot = Snapshot {
        jobs: vec![
            stored_job(1, 40, json!({})),
            stored_job(2, 40, json!({"cpus": 1.0})),
        ],
        progress: Vec::new(),
        registry: registry(vec![
            registered_worker("vm-000001", "a"),
            registered_worker("vm-000002", "b"),
        ]),
        ..Snapshot::default()
    };
    let mut trace = Trace::new(snapshot);
    trace.add_note("elected with token 50; the recorded machines are asked what they hold");
    trace.wait(0.1);
    trace.add_note("one answers: it runs wk-000001 and is taught the token");
    let running = json!([{"shard": "wk-000001/0", "try": 3, "phase": "running"}]);
    let heartbeat = trace.heartbeat("vm-000001", 4, 30, running.clone());
    trace.end_direct_message(
        "vm-000001",
        1,
        "answers",
        CommandOutcome::Rejected(Some(heartbeat)),
    );
    let heartbeat = trace.heartbeat("vm-000001", 4, TOKEN, running.clone());
    trace.end_direct_message(
        "vm-000001",
        3,
        "has seen the token",
        CommandOutcome::Executed(heartbeat),
    );
    trace.add_note("wk-000002 may run on the silent one and waits; wk-000003 came after the election and starts");
    trace.end_direct_message("vm-000002", 2, "cannot be reached", CommandOutcome::Unsent);
    trace.step(
        "job wk-000003",
        vec![Input::Job(stored_job(3, 55, json!({"cpus": 1.0})))],
    );
    trace.wait(0.3);
    let attempt = last_attempt(&trace.text);
    trace.end_direct_message("vm-000001", 4, "cannot be reached", CommandOutcome::Unsent);
    trace.now = 109.0;
    trace.add_note("it reports; before it gets the start once more it has to answer");
    trace.send_heartbeat("vm-000001", 4, running.clone());
    let heartbeat = trace.heartbeat("vm-000001", 4, TOKEN, running.clone());
    trace.end_direct_message(
        "vm-000001",
        5,
        "answers",
        CommandOutcome::Executed(heartbeat),
    );
    trace.wait(0.3);
    let both = json!([{"shard": "wk-000001/0", "try": 3, "phase": "running"}, {"shard": "wk-000003/0", "try": attempt + 1, "phase": "running"}]);
    let heartbeat = trace.heartbeat("vm-000001", 4, TOKEN, both);
    trace.end_direct_message(
        "vm-000001",
        7,
        "executes the commands",
        CommandOutcome::Executed(heartbeat),
    );
    trace.now = 110.0;
    trace.add_note(
        "the silent machine's lease has surely run out 10 s and a margin after the election",
    );
    trace.wait(0.6);
    assert!(attempt > TOKEN << 24, "attempts are unique across leaders");
    assert!(trace.text.contains("wk-000002/0"), "it starts in the end");
    trace.assert_matches_file("new_leader");
}

/// Guards against an incident in which a leader that had lost its network released working workers.
#[test]
fn partitioned_leader_scales_in_no_worker_and_resigns() {
    let mut trace = Trace::new(Snapshot::default());
    let service = json!({"shape": "service", "rank": "production", "runtime_s": 0.0, "shards": 6});
    trace.step(
        "service wk-000001",
        vec![Input::Job(stored_job(1, 55, service))],
    );
    let names = ["vm-000001", "vm-000002", "vm-000003"];
    for name in names {
        trace.send_heartbeat(name, 1, json!([]));
        trace.wait(0.6);
    }
    trace.add_note("from here on nothing arrives and every question goes unanswered");
    for _ in 0..45 {
        trace.wait(0.1);
        for message_id in 1..40 {
            for name in names {
                let input = Input::DirectMessageEnded {
                    worker: name.into(),
                    message_id,
                    outcome: CommandOutcome::Unsent,
                };
                trace.step("", vec![input]);
            }
        }
    }
    assert!(!trace.text.contains("return"), "{}", trace.text);
    assert!(trace.core.has_lost_all_workers());
}

#[test]
fn drain_is_answered_once_stored_and_stops_tasks_at_its_deadline() {
    let mut trace = Trace::new(Snapshot::default());
    trace.send_heartbeat("vm-000001", 1, json!([]));
    trace.wait(0.3);
    trace.step(
        "job wk-000001",
        vec![Input::Job(stored_job(1, 55, json!({})))],
    );
    trace.wait(0.3);
    let attempt = last_attempt(&trace.text);
    let task = json!([{"shard": "wk-000001/0", "try": attempt, "phase": "running"}]);
    let heartbeat = trace.heartbeat("vm-000001", 1, TOKEN, task.clone());
    let executed = CommandOutcome::Executed(heartbeat);
    trace.end_direct_message("vm-000001", 1, "executes the commands", executed);
    trace.add_note("an operator drains the machine: the answer comes after the record");
    let request = AdminRequest::Drain {
        node: "vm-000001".into(),
        deadline_s: Some(3.0),
        yes: false,
    };
    let input = Input::Admin {
        ticket: 9,
        request,
        unix_ms: 1_000_000,
    };
    trace.step("drain vm-000001, 3 s", vec![input]);
    trace.add_note("nothing new starts there");
    let extra = json!({"cpus": 1.0});
    trace.step("job wk-000002", vec![Input::Job(stored_job(2, 56, extra))]);
    trace.wait(1.0);
    trace.send_heartbeat("vm-000001", 1, task.clone());
    trace.add_note("what cannot move runs on until the deadline, and is then stopped");
    trace.wait(1.5);
    trace.send_heartbeat("vm-000001", 1, task);
    trace.wait(1.5);
    let stopped = json!([{"shard": "wk-000001/0", "try": attempt, "phase": "ended", "exit_reason": "stopped"}]);
    trace.send_heartbeat("vm-000001", 1, stopped);
    trace.add_note("taken back: the record goes first, then work comes again");
    let request = AdminRequest::Undrain {
        node: "vm-000001".into(),
    };
    let input = Input::Admin {
        ticket: 10,
        request,
        unix_ms: 1_004_000,
    };
    trace.step("undrain vm-000001", vec![input]);
    trace.wait(0.4);
    trace.assert_matches_file("drain");
}
