//! Release of workers that the cloud no longer lists. Guards against returning a new worker that the
//! list does not show yet, and one that works.

mod bare_core;

use copperfield::coordination::core::{Core, Effect, Input, WorkerList};
use serde_json::json;

use bare_core::{LIST_LAG_S, elected_leader, heartbeat};

const SILENT: &str = "vm-000001";
const WORKING: &str = "vm-000002";

/// Steps a core to `now` with these inputs, and returns the workers that it returns to the cloud.
fn scaled_in(core: &mut Core, now: f64, inputs: Vec<Input>) -> Vec<String> {
    core.valid_until = now + 2.0;
    let effects = core.step(now, inputs);
    let names = effects.into_iter().filter_map(|effect| match effect {
        Effect::ScaleIn(names) => Some(names),
        _ => None,
    });
    names.flatten().collect()
}

/// Runs a leader elected at time 0 with two registered workers, of which one sends a single
/// heartbeat, and lets it read an empty list that was requested at `requested_at`. Returns the
/// workers that it returns to the cloud within a lease.
fn scaled_in_by_empty_list(requested_at: f64) -> Vec<String> {
    let workers = [SILENT, WORKING].map(|name| (name.to_string(), "a".to_string()));
    let mut core = elected_leader(&["a"], json!({"name": "team"}), workers, Vec::new());
    let mut names = Vec::new();
    for tenth in 1..250u64 {
        let now = tenth as f64 / 10.0;
        let mut inputs = Vec::new();
        for (worker, reports) in [(SILENT, tenth == 10), (WORKING, tenth.is_multiple_of(10))] {
            let heartbeat = heartbeat(worker, "a", tenth, Vec::new());
            let ticket = tenth;
            inputs.extend(reports.then_some(Input::Heartbeat { ticket, heartbeat }));
        }
        if (now - requested_at).abs() < 0.05 {
            let workers = Vec::new();
            inputs.push(Input::WorkerList(WorkerList {
                requested_at,
                workers,
            }));
        }
        names.extend(scaled_in(&mut core, now, inputs));
    }
    names.dedup();
    names
}

#[test]
fn a_list_that_may_be_older_than_a_worker_does_not_prove_it_gone() {
    let newer_at = 2.0 * LIST_LAG_S + 0.1;
    let none: [&str; 0] = [];
    assert_eq!(scaled_in_by_empty_list(newer_at - 0.2), none);
    assert_eq!(scaled_in_by_empty_list(newer_at), [SILENT]);
}
