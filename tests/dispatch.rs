//! Which worker a leader writes to first when it cannot write to all. Guards against what was seen
//! on 3,000 workers: with everything sent at once, probes timed out before their answers were read
//! and were sent again, and the renewal of the leader's lease waited behind them.

mod bare_core;

use std::collections::BTreeSet;

use copperfield::coordination::core::{Core, Effect, Input, Outcome};
use copperfield::protocol::worker::Heartbeat;
use copperfield_simulation::core_harness::stored;
use serde_json::{Value, json};

use bare_core::{TOKEN, elected_leader};

const WINDOW: usize = 256;

/// A new leader of so many workers in each of two zones, a and b.
fn leader(each: usize, jobs: &[Value]) -> Core {
    let workers = ["b", "a"]
        .iter()
        .flat_map(|zone| (0..each).map(move |i| (format!("{zone}-{i:04}"), zone.to_string())));
    let jobs = jobs.iter().map(|job| stored(job, TOKEN - 1)).collect();
    elected_leader(&["a", "b"], json!({"name": "team"}), workers, jobs)
}

fn heartbeat(name: &str) -> Heartbeat {
    bare_core::heartbeat(name, &name[..1], 1, Vec::new())
}

/// Probes of the workers of zone b time out. Seconds until all of zone a have been probed, and the
/// most probes that were in flight and younger than 150 ms.
fn probe_all(each: usize) -> (f64, usize) {
    let mut core = leader(each, &[]);
    let (mut probed, mut in_flight) = (BTreeSet::new(), Vec::<(f64, String, u64)>::new());
    let (mut now, mut limit) = (0.0, 0);
    while probed.len() < each {
        now += 0.01;
        assert!(now < 10.0, "{} of zone a probed", probed.len());
        let deadline = |name: &str| if name.starts_with('a') { 0.02 } else { 0.5 };
        let (due, rest) = in_flight
            .into_iter()
            .partition(|(since, name, _)| now - since >= deadline(name));
        in_flight = rest;
        let answer = |(_, worker, message_id): (f64, String, u64)| Input::DirectMessageEnded {
            outcome: if worker.starts_with('a') {
                Outcome::Executed(heartbeat(&worker))
            } else {
                Outcome::Unsent
            },
            worker,
            message_id,
        };
        for effect in core.step(now, due.into_iter().map(answer).collect()) {
            let again = matches!(&effect, Effect::SendCommands { .. });
            assert!(
                !again,
                "the probe has carried the fencing token: {effect:?}"
            );
            if let Effect::RequestHeartbeat {
                worker, message_id, ..
            } = effect
            {
                if worker.starts_with('a') {
                    probed.insert(worker.clone());
                }
                in_flight.push((now, worker, message_id));
            }
        }
        let recent = in_flight
            .iter()
            .filter(|(since, ..)| now - since < 0.14)
            .count();
        limit = limit.max(recent);
    }
    (now, limit)
}

/// A third of a second for 1,000 workers that answer in 20 ms each, though as many never do.
#[test]
fn unresponsive_zone_does_not_delay_probes_of_the_others() {
    let (seconds, limit) = probe_all(1000);
    assert!(seconds < 0.75, "{seconds} s");
    assert!(limit <= WINDOW, "{limit} at once");
}

#[test]
fn starts_leave_replicas_first_then_high_priority_then_the_rest() {
    let jobs = [
        json!({"uid": "wk-000001", "shards": 250, "cpus": 2.0}),
        json!({"uid": "wk-000002", "rank": "urgent", "shards": 250, "cpus": 2.0}),
        json!({"uid": "wk-000003", "shape": "service", "rank": "production", "shards": 100,
            "cpus": 2.0, "runtime_s": 0.0, "spread": true}),
    ];
    let mut core = leader(200, &jobs);
    let names = ["a", "b"].map(|z| (0..200).map(move |i| format!("{z}-{i:04}")));
    let heartbeats = names.into_iter().flatten().enumerate();
    let heartbeats = heartbeats.map(|(ticket, name)| Input::Heartbeat {
        ticket: ticket as u64,
        heartbeat: heartbeat(&name),
    });
    let mut inputs: Vec<Input> = heartbeats.collect();
    let (mut urgency, mut at_once) = (Vec::new(), 0);
    for step in 0..100 {
        let effects = core.step(f64::from(step) * 0.05, std::mem::take(&mut inputs));
        let sent = effects.iter().filter_map(|e| match e {
            Effect::SendCommands { commands, .. } => commands.iter().map(|c| c.job.0).max(),
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
