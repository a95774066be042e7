//! Silent workers over the end of a leader, with workers that obey at once: what the record
//! of them earns, and what it must never cost.

use std::collections::BTreeSet;

use copperfield::protocol::JobId;
use copperfield_simulation::core_harness::CoreHarness;
use serde_json::{Value, json};

const TYPES: &str = r#"{"flavors":[
 {"name":"small","cpus":4,"memory_gb":16,"local_gb":50,"pull_gb_per_s":1,"price":0.2,"ready_s":10,"regions":["a","b"]}]}"#;
const LEASE_S: f64 = 20.0;

fn cluster(clock_error_ms: f64) -> Value {
    json!({"zones": ["a", "b"], "teams": [{"name": "team"}], "objectives": [],
        "workers": {"report_s": 2.0, "lease_s": LEASE_S, "gang_wait_s": 30.0, "gang_peer_s": 4.0, "cancel_s": 40.0},
        "state": {"rps": 200, "write_rps": 50, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 5},
        "limits": {"max_sockets": 1000}, "clock_error_ms": clock_error_ms})
}

/// A site of two zones with a service on it, and the workers of zone b.
fn site(clock_error_ms: f64) -> (CoreHarness, JobId, BTreeSet<String>) {
    let mut crew = CoreHarness::new(TYPES, cluster(clock_error_ms), 50);
    for zone in ["a", "b"] {
        for i in 0..8 {
            let name = format!("{zone}-{i}");
            crew.add(&name, "small", zone, 0.1 + f64::from(i) * 0.2);
        }
    }
    let job = crew.submit(
        &json!({"uid": "wk-000001", "shape": "service", "rank": "production", "shards": 8,
        "cpus": 2.0, "runtime_s": 0.0, "bundle": "web"}),
    );
    crew.run(20.0);
    assert_eq!(placed(&crew, job), 8);
    let b = (0..8).map(|i| format!("b-{i}")).collect();
    (crew, job, b)
}

fn placed(crew: &CoreHarness, job: JobId) -> usize {
    let tasks: BTreeSet<u32> = crew.places(job).into_iter().map(|(t, _)| t).collect();
    tasks.len()
}

/// Seconds from the cut of zone b to the return of all replicas, the leader ending `after` it.
fn away(clock_error_ms: f64, after: &[f64]) -> f64 {
    let (mut crew, job, b) = site(clock_error_ms);
    let began = crew.now;
    crew.silent = b;
    for s in after {
        crew.run(*s);
        crew.next_leader();
    }
    while placed(&crew, job) < 8 || crew.now - began < LEASE_S {
        crew.run(0.1);
        assert!(crew.now - began < 90.0, "never back");
    }
    let broken = crew.history.problems([]);
    assert!(broken.is_empty(), "{broken:?}");
    crew.now - began
}

/// A leader that ended late in the cut of a zone once started all leases of the zone anew.
/// Nor does one that ends after it: what is on the record outlives them all.
#[test]
fn a_leader_that_ends_in_the_middle_of_a_loss_starts_no_lease_anew() {
    let undisturbed = away(25.0, &[]);
    for after in [&[16.0][..], &[12.0, 3.0], &[8.0, 2.0, 2.0, 2.0]] {
        let took = away(25.0, after);
        assert!(
            took < undisturbed + 1.5,
            "{took:.1} s, {undisturbed:.1} undisturbed"
        );
    }
    // Where the platform does not bound clocks the record proves nothing.
    assert!(away(0.0, &[16.0]) > undisturbed + 10.0);
}

/// What a worker has been told it may keep, the next leader must not take for lost.
#[test]
fn workers_that_come_back_are_answered_once_their_removal_is_stored() {
    let (mut crew, job, b) = site(25.0);
    crew.silent = b;
    crew.run(9.0);
    let named: usize = crew.fencing.values().map(Vec::len).sum();
    assert_eq!(named, 8, "all of the zone are on the record");
    let incarnations = crew.places(job).len();
    crew.silent.clear();
    crew.run(3.0);
    let named: usize = crew.fencing.values().map(Vec::len).sum();
    assert_eq!(named, 0, "off it again");
    crew.next_leader();
    crew.run(3.0 * LEASE_S);
    assert_eq!(
        crew.places(job).len(),
        incarnations,
        "every replica stayed where it was"
    );
    assert_eq!(crew.history.problems([]), Vec::<String>::new());
}

/// While nothing can be stored a worker on the record is not answered, unless all nodes
/// have given their word; then it keeps its lease, and the next leader takes that for given.
#[test]
fn in_an_outage_it_is_the_word_of_all_nodes_that_lets_workers_be_answered() {
    for on_word in [true, false] {
        let (mut crew, job, b) = site(25.0);
        let there = crew
            .places(job)
            .iter()
            .filter(|(_, m)| b.contains(*m))
            .count();
        assert!(there > 0);
        crew.silent = b.clone();
        crew.run(9.0);
        crew.outage = true;
        crew.silent.clear();
        for _ in 0..40 {
            if on_word {
                crew.core.lease_extended_until = crew.now + 1.0;
                crew.vote_binding_until = crew.now + 1.5;
            }
            crew.run(0.5);
        }
        let kept = crew
            .places(job)
            .iter()
            .filter(|(_, m)| b.contains(*m))
            .count();
        assert_eq!(kept, if on_word { there } else { 0 });
        // Nothing was stored: the record still names them.
        crew.outage = false;
        crew.next_leader();
        crew.run(2.0 * LEASE_S);
        assert_eq!(placed(&crew, job), 8);
        assert_eq!(crew.history.problems([]), Vec::<String>::new());
    }
}
