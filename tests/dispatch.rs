//! The order in which a leader sends direct messages when it cannot send all at once. Guards
//! against a failure seen with 3,000 workers: when all messages were sent at once, probes timed out
//! before their answers were read and were sent again, and the renewal of the leader's lease was
//! delayed.

mod bare_core;

use std::collections::BTreeSet;

use copperfield::coordination::core::{CommandOutcome, Core, Effect, Input};
use copperfield::protocol::worker::Heartbeat;
use copperfield_simulation::core_harness::stored_job;
use serde_json::{Value, json};

use bare_core::{TOKEN, elected_leader};

const MAX_RECENT_IN_FLIGHT: usize = 256;

/// A new leader with `per_zone` workers in each of two zones, a and b.
fn new_leader(per_zone: usize, jobs: &[Value]) -> Core {
    let workers = ["b", "a"]
        .iter()
        .flat_map(|zone| (0..per_zone).map(move |i| (format!("{zone}-{i:04}"), zone.to_string())));
    let jobs = jobs.iter().map(|job| stored_job(job, TOKEN - 1)).collect();
    elected_leader(&["a", "b"], json!({"name": "team"}), workers, jobs)
}

fn heartbeat(name: &str) -> Heartbeat {
    bare_core::heartbeat(name, &name[..1], 1, Vec::new())
}

/// Probes of all workers of zone b time out. Returns the seconds until all workers of zone a have
/// been probed, and the maximum number of probes in flight that were younger than 140 ms.
fn probe_both_zones(per_zone: usize) -> (f64, usize) {
    let mut core = new_leader(per_zone, &[]);
    let (mut probed, mut in_flight) = (BTreeSet::new(), Vec::<(f64, String, u64)>::new());
    let (mut now, mut max_recent) = (0.0, 0);
    while probed.len() < per_zone {
        now += 0.01;
        assert!(now < 10.0, "{} of zone a probed", probed.len());
        let outcome_after_s = |name: &str| if name.starts_with('a') { 0.02 } else { 0.5 };
        let (due, rest) = in_flight
            .into_iter()
            .partition(|(since, name, _)| now - since >= outcome_after_s(name));
        in_flight = rest;
        let answer = |(_, worker, message_id): (f64, String, u64)| Input::DirectMessageEnded {
            outcome: if worker.starts_with('a') {
                CommandOutcome::Executed(heartbeat(&worker))
            } else {
                CommandOutcome::Unsent
            },
            worker,
            message_id,
        };
        for effect in core.step(now, due.into_iter().map(answer).collect()) {
            let sends_commands = matches!(&effect, Effect::SendCommands { .. });
            assert!(
                !sends_commands,
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
        max_recent = max_recent.max(recent);
    }
    (now, max_recent)
}

/// Probing 1,000 workers that answer within 20 ms takes about a third of a second, although another
/// 1,000 workers never answer.
#[test]
fn unresponsive_zone_does_not_delay_probes_of_the_others() {
    let (seconds, max_recent) = probe_both_zones(1000);
    assert!(seconds < 0.75, "{seconds} s");
    assert!(max_recent <= MAX_RECENT_IN_FLIGHT, "{max_recent} at once");
}

#[test]
fn starts_leave_replicas_first_then_high_priority_then_the_rest() {
    let jobs = [
        json!({"uid": "wk-000001", "shards": 250, "cpus": 2.0}),
        json!({"uid": "wk-000002", "rank": "urgent", "shards": 250, "cpus": 2.0}),
        json!({"uid": "wk-000003", "shape": "service", "rank": "production", "shards": 100,
            "cpus": 2.0, "runtime_s": 0.0, "spread": true}),
    ];
    let mut core = new_leader(200, &jobs);
    let names = ["a", "b"].map(|z| (0..200).map(move |i| format!("{z}-{i:04}")));
    let heartbeats = names.into_iter().flatten().enumerate();
    let heartbeats = heartbeats.map(|(ticket, name)| Input::Heartbeat {
        ticket: ticket as u64,
        heartbeat: heartbeat(&name),
    });
    let mut inputs: Vec<Input> = heartbeats.collect();
    let (mut sent_jobs, mut max_at_once) = (Vec::new(), 0);
    for step in 0..100 {
        let effects = core.step(f64::from(step) * 0.05, std::mem::take(&mut inputs));
        let sent = effects.iter().filter_map(|e| match e {
            Effect::SendCommands { commands, .. } => commands.iter().map(|c| c.job.0).max(),
            _ => None,
        });
        let sent: Vec<u64> = sent.collect();
        max_at_once = max_at_once.max(sent.len());
        sent_jobs.extend(sent);
    }
    let starts_of = |job: u64| sent_jobs.iter().filter(|&&j| j == job).count();
    assert!(
        starts_of(1) > 0 && starts_of(2) > 0 && starts_of(3) > 0,
        "{sent_jobs:?}"
    );
    assert!(sent_jobs.is_sorted_by(|a, b| a >= b), "{sent_jobs:?}");
    assert_eq!(max_at_once, MAX_RECENT_IN_FLIGHT, "a full window");
}
