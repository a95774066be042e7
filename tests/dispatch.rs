//! Who a leader writes to first when it cannot write to all. Guards against what was seen on
//! 3,000 workers: with everything sent at once, questions timed out before their answers were
//! read and were asked again, and the renewal of the leader's lease waited behind them.

use std::collections::BTreeSet;

use copperfield::coordination::core::{Config, Core, Effect, Input, Outcome};
use copperfield::protocol::cloud::parse_machine_types;
use copperfield::protocol::worker::Heartbeat;
use copperfield::settings::{Cluster, Tuning};
use copperfield::storage::{Snapshot, StoredRegistryPage, WorkerRecord};
use copperfield_simulation::core_harness::stored;
use serde_json::{Value, json};

const TYPES: &str = r#"{"flavors":[
 {"name":"small","cpus":4,"memory_gb":16,"local_gb":50,"pull_gb_per_s":1,"price":0.2,"ready_s":10,"regions":["a","b"]}]}"#;
const TOKEN: u64 = 50;
const WINDOW: usize = 256;

/// A new leader of so many workers in each of two zones, a and b.
fn leader(each: usize, jobs: &[Value]) -> Core {
    let cluster = json!({"zones": ["a", "b"], "teams": [{"name": "team"}], "objectives": [],
        "workers": {"report_s": 5.0, "lease_s": 25.0, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 40.0},
        "state": {"rps": 200, "write_rps": 50, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 5},
        "limits": {"max_sockets": 3000}});
    let cluster: Cluster = serde_json::from_value(cluster).expect("valid");
    let record = |zone: &str, i| {
        let record = WorkerRecord {
            address: "10.1.0.1:9000".into(),
            machine_type: "small".into(),
            zone: zone.into(),
            spot: false,
            images: Vec::new(),
        };
        (format!("{zone}-{i:04}"), record)
    };
    let workers = ["b", "a"]
        .iter()
        .flat_map(|z| (0..each).map(move |i| record(z, i)));
    let snapshot = Snapshot {
        jobs: jobs.iter().map(|j| stored(j, TOKEN - 1)).collect(),
        registry: vec![StoredRegistryPage {
            page: 0,
            version: 5,
            workers: Some(workers.collect()),
        }],
        ..Snapshot::default()
    };
    let tuning = Tuning::default();
    let types = parse_machine_types(TYPES.as_bytes()).expect("valid");
    Core::new(Config { cluster, tuning }, TOKEN, 0.0, types, snapshot)
}

fn heartbeat(name: &str) -> Heartbeat {
    Heartbeat {
        worker: name.into(),
        address: "10.1.0.1:9000".into(),
        machine_type: "small".into(),
        zone: name[..1].into(),
        spot: false,
        incarnation: 1,
        counter: 1,
        token: TOKEN,
        notice_s: None,
        tasks: Vec::new(),
    }
}

/// Asks of the workers of zone b time out. Seconds until all of zone a have been asked, and
/// the most questions that were out and younger than 150 ms.
fn ask_all(each: usize) -> (f64, usize) {
    let mut core = leader(each, &[]);
    let (mut asked, mut out) = (BTreeSet::new(), Vec::<(f64, String, u64)>::new());
    let (mut now, mut limit) = (0.0, 0);
    while asked.len() < each {
        now += 0.01;
        assert!(now < 10.0, "{} of zone a asked", asked.len());
        let deadline = |name: &str| if name.starts_with('a') { 0.02 } else { 0.5 };
        let (due, rest) = out
            .into_iter()
            .partition(|(since, name, _)| now - since >= deadline(name));
        out = rest;
        let answer = |(_, worker, message_id): (f64, String, u64)| Input::Direct {
            outcome: if worker.starts_with('a') {
                Outcome::Executed(heartbeat(&worker))
            } else {
                Outcome::Unsent
            },
            worker,
            message_id,
        };
        for effect in core.step(now, due.into_iter().map(answer).collect()) {
            let again = matches!(&effect, Effect::Direct { .. });
            assert!(!again, "the question has taught the token: {effect:?}");
            if let Effect::Inspect {
                worker, message_id, ..
            } = effect
            {
                if worker.starts_with('a') {
                    asked.insert(worker.clone());
                }
                out.push((now, worker, message_id));
            }
        }
        let young = out.iter().filter(|(since, ..)| now - since < 0.14).count();
        limit = limit.max(young);
    }
    (now, limit)
}

/// A third of a second for 1,000 that answer in 20 ms each, though as many never do.
#[test]
fn a_silent_zone_does_not_hold_up_the_questions_to_the_others() {
    let (seconds, limit) = ask_all(1000);
    assert!(seconds < 0.75, "{seconds} s");
    assert!(limit <= WINDOW, "{limit} at once");
}

#[test]
fn replicas_are_ordered_before_rush_work_and_that_before_the_rest() {
    let jobs = [
        json!({"uid": "wk-000001", "shards": 250, "cpus": 2.0}),
        json!({"uid": "wk-000002", "rank": "urgent", "shards": 250, "cpus": 2.0}),
        json!({"uid": "wk-000003", "shape": "service", "rank": "production", "shards": 100,
            "cpus": 2.0, "runtime_s": 0.0, "spread": true}),
    ];
    let mut core = leader(200, &jobs);
    let names = ["a", "b"].map(|z| (0..200).map(move |i| format!("{z}-{i:04}")));
    let hellos = names.into_iter().flatten().enumerate();
    let hellos = hellos.map(|(ticket, name)| Input::Heartbeat {
        ticket: ticket as u64,
        heartbeat: heartbeat(&name),
    });
    let mut inputs: Vec<Input> = hellos.collect();
    let (mut urgency, mut at_once) = (Vec::new(), 0);
    for step in 0..100 {
        let effects = core.step(f64::from(step) * 0.05, std::mem::take(&mut inputs));
        let sent = effects.iter().filter_map(|e| match e {
            Effect::Direct { commands, .. } => commands.iter().map(|c| c.job.0).max(),
            _ => None,
        });
        let sent: Vec<u64> = sent.collect();
        at_once = at_once.max(sent.len());
        urgency.extend(sent);
    }
    let of = |job: u64| urgency.iter().filter(|&&j| j == job).count();
    assert!(of(1) > 0 && of(2) > 0 && of(3) > 0, "{urgency:?}");
    assert!(urgency.is_sorted_by(|a, b| a >= b), "{urgency:?}");
    assert_eq!(at_once, WINDOW, "a full window");
}
