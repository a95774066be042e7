//! Simulates many workers and several shard owners, with random loss and delay of messages,
//! restarts and partitions.
//!
//! Guards against two controllers that may answer the same worker at the same time. Also guards
//! against workers that stay without answers, and controllers that keep too many workers, after the
//! faults end.

use copperfield_sharding::{
    AnswerPermission, HeartbeatDecision, OwnerStatus, Route, ShardCoordinator, ShardLease,
    ShardOwner,
};
use proptest::prelude::*;

const WORKERS: u32 = 40;
/// The number of controllers. Controller 0 leads, and answers the workers without a shard owner.
const CONTROLLERS: usize = 5;
const LEASE_MS: u64 = 2350;
const TICK_MS: u64 = 50;
const HEARTBEAT_INTERVAL_MS: u64 = 1000;
const STATUS_INTERVAL_MS: u64 = 250;
const MAX_DELAY_MS: u64 = 100;
/// Maximum time from the end of the faults until every worker is answered. A lease may still be
/// valid at first. Then the shard owners send three statuses: to learn of the release, to confirm
/// it, and to learn of the assignment. Each status comes at most 300 ms after the last one, and
/// takes up to 100 ms.
const RECOVERY_BOUND_MS: u64 = LEASE_MS + 3 * 400;
/// Maximum time from the end of the faults until all workers beyond the load limits have moved,
/// four per second.
const BALANCE_BOUND_MS: u64 = 70_000;

struct StatusInTransit {
    arrives_at: u64,
    from: usize,
    status: OwnerStatus,
    /// The workers that wait for an answer at the sender.
    waiting: Vec<u32>,
}

struct LeaseInTransit {
    arrives_at: u64,
    to: usize,
    lease: ShardLease,
}

struct Simulation {
    now: u64,
    coordinator: ShardCoordinator,
    shard_owners: Vec<ShardOwner>,
    next_process: u64,
    /// Whether each controller is reachable: it sends statuses and receives heartbeats.
    reachable: Vec<bool>,
    statuses_in_transit: Vec<StatusInTransit>,
    leases_in_transit: Vec<LeaseInTransit>,
    /// The controller to which each worker sends its heartbeats.
    reports_to: Vec<usize>,
    /// When each worker was last answered.
    answered_at: Vec<u64>,
}

impl Simulation {
    fn new() -> Self {
        let zones: Vec<u32> = (0..CONTROLLERS as u32).map(|n| n % 2).collect();
        let mut coordinator = ShardCoordinator::new(3, 0, &zones, HEARTBEAT_INTERVAL_MS);
        (0..WORKERS).for_each(|worker| coordinator.add(worker, worker % 2, 0));
        Self {
            now: 0,
            coordinator,
            shard_owners: (1..CONTROLLERS as u64).map(ShardOwner::new).collect(),
            next_process: CONTROLLERS as u64,
            reachable: vec![true; CONTROLLERS],
            statuses_in_transit: Vec::new(),
            leases_in_transit: Vec::new(),
            // All workers report to one controller, as after a start.
            reports_to: vec![1; WORKERS as usize],
            answered_at: vec![0; WORKERS as usize],
        }
    }

    fn shard_owner(&mut self, n: usize) -> &mut ShardOwner {
        &mut self.shard_owners[n - 1]
    }

    /// Sends a heartbeat of a worker to its controller. It is answered or redirected, or waits.
    fn send_heartbeat(&mut self, worker: u32) {
        let (now, at) = (self.now, self.reports_to[worker as usize]);
        let redirect = if at == 0 {
            match self.coordinator.handle_heartbeat(
                now,
                worker,
                0,
                AnswerPermission::AnyController,
                true,
            ) {
                Route::Here => {
                    for shard_owner in &self.shard_owners {
                        let decision = shard_owner.decide(worker, now);
                        assert!(
                            !matches!(decision, HeartbeatDecision::Answer(_)),
                            "{worker} at {now}"
                        );
                    }
                    self.answered_at[worker as usize] = now;
                    return;
                }
                Route::Redirect(to) => to,
                Route::Wait => return,
            }
        } else {
            let shard_owner = self.shard_owner(at);
            match shard_owner.decide(worker, now) {
                HeartbeatDecision::Answer(_) => {
                    assert!(shard_owner.record_answer(worker, now, now));
                    self.answered_at[worker as usize] = now;
                    return;
                }
                HeartbeatDecision::Redirect(to) => to,
                HeartbeatDecision::Wait | HeartbeatDecision::Unknown => return,
            }
        };
        self.reports_to[worker as usize] = redirect as usize;
    }

    /// The workers that wait for an answer at this shard owner.
    fn waiting(&self, n: usize) -> Vec<u32> {
        let waits = |worker: &u32| {
            let decision = self.shard_owners[n - 1].decide(*worker, self.now);
            self.reports_to[*worker as usize] == n
                && matches!(
                    decision,
                    HeartbeatDecision::Wait | HeartbeatDecision::Unknown
                )
        };
        (0..WORKERS).filter(waits).collect()
    }

    /// Advances the time by one tick. On average, `lost_eighths` of 8 messages are lost.
    fn step(&mut self, seed: u64, lost_eighths: u64) {
        self.now += TICK_MS;
        let mut state = seed | 1;
        let mut random_below = |below: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state % below
        };
        let now = self.now;
        for worker in 0..WORKERS {
            if (now / TICK_MS + u64::from(worker))
                .is_multiple_of(HEARTBEAT_INTERVAL_MS / TICK_MS / 4)
                && self.reachable[self.reports_to[worker as usize]]
            {
                self.send_heartbeat(worker);
            }
        }
        if now.is_multiple_of(STATUS_INTERVAL_MS) {
            for n in (1..CONTROLLERS).filter(|&n| self.reachable[n]) {
                let status = self.shard_owners[n - 1].next_status(now, 4);
                let waiting = self.waiting(n);
                if random_below(8) >= lost_eighths {
                    self.statuses_in_transit.push(StatusInTransit {
                        arrives_at: now + random_below(MAX_DELAY_MS),
                        from: n,
                        status,
                        waiting,
                    });
                }
            }
            self.coordinator.tick(now, lost_eighths == 0);
        }
        for message in self
            .statuses_in_transit
            .extract_if(.., |m| m.arrives_at <= now)
        {
            let from = message.from as u32;
            let lease = self
                .coordinator
                .handle_status(now, from, &message.status, true, LEASE_MS);
            let Some(mut lease) = lease else {
                continue;
            };
            for worker in message.waiting {
                let route = self.coordinator.handle_heartbeat(
                    now,
                    worker,
                    from,
                    AnswerPermission::AnyController,
                    true,
                );
                if let Route::Redirect(to) = route {
                    self.reports_to[worker as usize] = to as usize;
                }
            }
            lease.changes = self.coordinator.pending_changes(from);
            if random_below(8) >= lost_eighths {
                self.leases_in_transit.push(LeaseInTransit {
                    arrives_at: now + random_below(MAX_DELAY_MS),
                    to: message.from,
                    lease,
                });
            }
        }
        for message in self
            .leases_in_transit
            .extract_if(.., |m| m.arrives_at <= now)
        {
            self.shard_owners[message.to - 1].handle_lease(&message.lease);
        }
        for worker in 0..WORKERS {
            let may_answer = |n: &usize| {
                let decision = self.shard_owners[*n - 1].decide(worker, now);
                self.reachable[*n] && matches!(decision, HeartbeatDecision::Answer(_))
            };
            let answering: Vec<usize> = (1..CONTROLLERS).filter(may_answer).collect();
            assert!(
                answering.len() <= 1,
                "worker {worker} at {now}: {answering:?}"
            );
            let unassigned = self.coordinator.unanswered_since(worker).is_some();
            assert!(
                !unassigned || answering.is_empty(),
                "worker {worker} at {now} is unassigned, but {answering:?} may answer it"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn no_worker_has_two_owners_under_faults_and_load_is_balanced_after_them(
        faults in prop::collection::vec((0u8..8, 0usize..CONTROLLERS, any::<u64>()), 100..200),
    ) {
        let mut simulation = Simulation::new();
        for (fault, n, seed) in faults {
            match fault {
                // The controller restarts at once.
                0 if seed % 4 == 0 && n > 0 => {
                    simulation.next_process += 1;
                    *simulation.shard_owner(n) = ShardOwner::new(simulation.next_process);
                }
                // The controller becomes unreachable or reachable.
                1 if n > 0 => simulation.reachable[n] = seed % 3 > 0,
                // Some workers report to this controller from now on.
                2 => (0..8).for_each(|i| {
                    simulation.reports_to[(seed >> (i * 6)) as usize % WORKERS as usize] = n;
                }),
                _ => {}
            }
            simulation.step(seed, 3);
        }
        simulation.reachable = vec![true; CONTROLLERS];
        let seed = |now: u64| now.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let faults_ended_at = simulation.now;
        while simulation.now < faults_ended_at + RECOVERY_BOUND_MS + 1500 {
            simulation.step(seed(simulation.now), 0);
        }
        for (worker, answered_at) in simulation.answered_at.iter().enumerate() {
            prop_assert!(*answered_at > faults_ended_at, "{worker} was last answered at {answered_at} of {}", simulation.now);
        }
        while simulation.now < faults_ended_at + BALANCE_BOUND_MS {
            simulation.step(seed(simulation.now), 0);
        }
        // Four shard owners have weight 1 and the leader has weight 0.5, so the portion of a shard
        // owner is 8.9 workers. The load limit is a tenth higher.
        let loads = simulation.coordinator.loads();
        prop_assert!(loads[1..].iter().all(|&load| load <= 10), "{loads:?}");
        prop_assert!(loads[0] <= 5, "{loads:?}");
    }
}
