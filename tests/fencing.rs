//! Tests of the fencing record over failovers, with workers that execute commands at once. The
//! record must shorten the recovery from the loss of workers, and must never cause a lease that was
//! renewed to be taken for expired.

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

/// A running service on a cluster of two zones.
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
    /// Number of tasks with at least one instance.
    fn placed_tasks(&self) -> usize {
        let instances = self.harness.instances_of(self.job).into_iter();
        let tasks: BTreeSet<u32> = instances.map(|(task, _)| task).collect();
        tasks.len()
    }

    /// Number of task instances in zone b.
    fn instances_in_zone_b(&self) -> usize {
        let instances = self.harness.instances_of(self.job);
        let in_zone_b = instances.iter().filter(|(_, w)| self.zone_b.contains(*w));
        in_zone_b.count()
    }

    fn instances(&self) -> usize {
        self.harness.instances_of(self.job).len()
    }

    /// Number of workers that the stored fencing record names.
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

/// Cuts off zone b and fails over after each of these delays. Returns the seconds from the cut
/// until all replicas are placed again.
fn recovery_s(clock_error_ms: f64, failovers_after_s: &[f64]) -> f64 {
    let mut service = start_service(clock_error_ms);
    let cut_at = service.harness.now;
    service.cut_zone_b();
    for delay_s in failovers_after_s {
        service.harness.run(*delay_s);
        service.harness.fail_over();
    }
    while service.placed_tasks() < 8 || service.harness.now - cut_at < LEASE_S {
        service.harness.run(0.1);
        assert!(
            service.harness.now - cut_at < 90.0,
            "replicas not placed again within 90 s"
        );
    }
    service.check_history();
    service.harness.now - cut_at
}

/// Guards against a failover late in the loss of a zone that makes the next leader count all leases
/// of the zone from its own election. The record must persist over any number of failovers.
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
    // Without a bound on the clock error the record proves nothing, and the leases are counted
    // anew.
    assert!(recovery_s(0.0, &[16.0]) > undisturbed_s + 10.0);
}

/// Guards against a next leader that treats a worker as lost although its lease was renewed.
#[test]
fn workers_that_come_back_are_answered_once_their_removal_is_stored() {
    let mut service = start_service(25.0);
    service.cut_zone_b();
    service.harness.run(9.0);
    assert_eq!(
        service.fenced_workers(),
        8,
        "workers of the zone that are fenced"
    );
    let instances = service.instances();
    service.harness.unreachable.clear();
    service.harness.run(3.0);
    assert_eq!(
        service.fenced_workers(),
        0,
        "workers that are still on the record"
    );
    service.harness.fail_over();
    service.harness.run(3.0 * LEASE_S);
    assert_eq!(
        service.instances(),
        instances,
        "instances after the failover"
    );
    service.check_history();
}

/// While nothing can be stored, a fenced worker is answered only under a lease extension that all
/// controllers voted for. It then keeps its lease, and the next leader must allow for that.
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
        let remaining = service.instances_in_zone_b();
        assert_eq!(remaining, if extended { in_zone_b } else { 0 });
        // Nothing could be stored, so the record still names the workers.
        service.harness.outage = false;
        service.harness.fail_over();
        service.harness.run(2.0 * LEASE_S);
        assert_eq!(service.placed_tasks(), 8);
        service.check_history();
    }
}
