//! Unresponsive workers over failovers, with workers that obey at once: what the fencing record
//! saves, and what it must never cost.

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

/// A service on a cluster of two zones.
struct Service {
    harness: CoreHarness,
    job: JobId,
    /// The workers of zone b.
    zone_b: BTreeSet<String>,
}

fn start_service(clock_error_ms: f64) -> Service {
    let mut harness = CoreHarness::new(TYPES, cluster(clock_error_ms), 50);
    for zone in ["a", "b"] {
        for i in 0..8 {
            let name = format!("{zone}-{i}");
            harness.add_worker(&name, "small", zone, 0.1 + f64::from(i) * 0.2);
        }
    }
    let job = harness.submit(
        &json!({"uid": "wk-000001", "shape": "service", "rank": "production", "shards": 8,
        "cpus": 2.0, "runtime_s": 0.0, "bundle": "web"}),
    );
    harness.run(20.0);
    let zone_b = (0..8).map(|i| format!("b-{i}")).collect();
    let service = Service {
        harness,
        job,
        zone_b,
    };
    assert_eq!(service.placed_tasks(), 8);
    service
}

impl Service {
    /// How many tasks are on some worker.
    fn placed_tasks(&self) -> usize {
        let places = self.harness.instances_of(self.job).into_iter();
        let tasks: BTreeSet<u32> = places.map(|(task, _)| task).collect();
        tasks.len()
    }

    /// How many task instances are in zone b.
    fn instances_in_zone_b(&self) -> usize {
        let places = self.harness.instances_of(self.job);
        let in_b = places.iter().filter(|(_, w)| self.zone_b.contains(*w));
        in_b.count()
    }

    fn instances(&self) -> usize {
        self.harness.instances_of(self.job).len()
    }

    /// How many workers the stored fencing record names.
    fn fenced_workers(&self) -> usize {
        self.harness.fencing.values().map(Vec::len).sum()
    }

    fn cut_zone_b(&mut self) {
        self.harness.unreachable = self.zone_b.clone();
    }

    fn check_history(&self) {
        assert_eq!(self.harness.history.violations([]), Vec::<String>::new());
    }
}

/// Seconds from the cut of zone b until all replicas are placed again, with a failover after each
/// of these delays.
fn recovery_s(clock_error_ms: f64, failovers_after_s: &[f64]) -> f64 {
    let mut service = start_service(clock_error_ms);
    let began = service.harness.now;
    service.cut_zone_b();
    for delay_s in failovers_after_s {
        service.harness.run(*delay_s);
        service.harness.fail_over();
    }
    while service.placed_tasks() < 8 || service.harness.now - began < LEASE_S {
        service.harness.run(0.1);
        assert!(service.harness.now - began < 90.0, "never placed again");
    }
    service.check_history();
    service.harness.now - began
}

/// A leader that ended late in the loss of a zone once made the next one count all leases of the
/// zone from its election. Nor do leaders that end after it: the record outlives them all.
#[test]
fn a_failover_during_the_loss_of_a_zone_restarts_no_lease() {
    let undisturbed_s = recovery_s(25.0, &[]);
    for failovers_after_s in [&[16.0][..], &[12.0, 3.0], &[8.0, 2.0, 2.0, 2.0]] {
        let took_s = recovery_s(25.0, failovers_after_s);
        assert!(
            took_s < undisturbed_s + 1.5,
            "{took_s:.1} s, {undisturbed_s:.1} undisturbed"
        );
    }
    // Where the platform does not bound clocks the record proves nothing.
    assert!(recovery_s(0.0, &[16.0]) > undisturbed_s + 10.0);
}

/// A worker whose lease was renewed must not be taken for lost by the next leader.
#[test]
fn workers_that_come_back_are_answered_once_their_removal_is_stored() {
    let mut service = start_service(25.0);
    service.cut_zone_b();
    service.harness.run(9.0);
    assert_eq!(service.fenced_workers(), 8, "the whole zone is fenced");
    let instances = service.instances();
    service.harness.unreachable.clear();
    service.harness.run(3.0);
    assert_eq!(service.fenced_workers(), 0, "off the record again");
    service.harness.fail_over();
    service.harness.run(3.0 * LEASE_S);
    assert_eq!(
        service.instances(),
        instances,
        "every replica stayed where it was"
    );
    service.check_history();
}

/// While nothing can be stored a fenced worker is answered only under a lease extension that all
/// controllers voted for; then it keeps its lease, and the next leader reckons with that.
#[test]
fn in_an_outage_fenced_workers_are_answered_only_under_a_lease_extension() {
    for extended in [true, false] {
        let mut service = start_service(25.0);
        let in_zone_b = service.instances_in_zone_b();
        assert!(in_zone_b > 0);
        service.cut_zone_b();
        service.harness.run(9.0);
        service.harness.outage = true;
        service.harness.unreachable.clear();
        for _ in 0..40 {
            if extended {
                let now = service.harness.now;
                service.harness.core.lease_extended_until = now + 1.0;
                service.harness.vote_binding_until = now + 1.5;
            }
            service.harness.run(0.5);
        }
        let kept = service.instances_in_zone_b();
        assert_eq!(kept, if extended { in_zone_b } else { 0 });
        // Nothing was stored: the record still names them.
        service.harness.outage = false;
        service.harness.fail_over();
        service.harness.run(2.0 * LEASE_S);
        assert_eq!(service.placed_tasks(), 8);
        service.check_history();
    }
}
