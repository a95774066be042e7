//! Many workers, several shard owners, random loss and delay of messages, restarts and partitions:
//! never two controllers may answer one worker, and once the faults end every worker is answered and
//! no controller has too many.

use copperfield_sharding::{
    AnswerPermission, HeartbeatDecision, OwnerStatus, Route, ShardCoordinator, ShardLease,
    ShardOwner,
};
use proptest::prelude::*;

const WORKERS: u32 = 40;
/// Controller 0 leads, and answers the workers without a shard owner.
const CONTROLLERS: usize = 5;
const LEASE_MS: u64 = 2350;
const TICK_MS: u64 = 50;
const HEARTBEAT_INTERVAL_MS: u64 = 1000;
const STATUS_INTERVAL_MS: u64 = 250;
const MAX_DELAY_MS: u64 = 100;
/// Once faults have ended: a lease that may still be valid, then three statuses (to learn of the
/// release, to confirm it, to learn of the assignment), each at most 300 ms apart and 100 ms on its
/// way.
const RECOVERY_BOUND_MS: u64 = LEASE_MS + 3 * 400;
/// And all workers beyond the load limits have moved, four in a second.
const BALANCE_BOUND_MS: u64 = 70_000;

struct StatusInTransit {
    arrives_at: u64,
    from: usize,
    status: OwnerStatus,
    /// The workers that wait for an answer there.
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
    up: Vec<bool>,
    to_leader: Vec<StatusInTransit>,
    to_owners: Vec<LeaseInTransit>,
    /// The controller to which each worker sends its heartbeats.
    targets: Vec<usize>,
    /// When each worker was last answered.
    answered_at: Vec<u64>,
}

impl Simulation {
    fn new() -> Self {
        let zones: Vec<u32> = (0..CONTROLLERS as u32).map(|n| n % 2).collect();
        let mut coordinator = ShardCoordinator::new(3, 0, &zones, HEARTBEAT_INTERVAL_MS);
        (0..WORKERS).for_each(|m| coordinator.add(m, m % 2, 0));
        Self {
            now: 0,
            coordinator,
            shard_owners: (1..CONTROLLERS as u64).map(ShardOwner::new).collect(),
            next_process: CONTROLLERS as u64,
            up: vec![true; CONTROLLERS],
            to_leader: Vec::new(),
            to_owners: Vec::new(),
            // All at one controller, as after a start.
            targets: vec![1; WORKERS as usize],
            answered_at: vec![0; WORKERS as usize],
        }
    }

    fn shard_owner(&mut self, n: usize) -> &mut ShardOwner {
        &mut self.shard_owners[n - 1]
    }

    /// A worker sends a heartbeat, and perhaps has to wait for the answer.
    fn send_heartbeat(&mut self, worker: u32) {
        let (now, at) = (self.now, self.targets[worker as usize]);
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
        self.targets[worker as usize] = redirect as usize;
    }

    /// The workers that wait for an answer of a shard owner.
    fn waiting(&self, n: usize) -> Vec<u32> {
        let waits = |m: &u32| {
            let decision = self.shard_owners[n - 1].decide(*m, self.now);
            self.targets[*m as usize] == n
                && matches!(
                    decision,
                    HeartbeatDecision::Wait | HeartbeatDecision::Unknown
                )
        };
        (0..WORKERS).filter(waits).collect()
    }

    /// Advances by one tick. `lost_eighths` of 8 messages are lost.
    fn step(&mut self, seed: u64, lost_eighths: u64) {
        self.now += TICK_MS;
        let mut state = seed | 1;
        let mut draw = |below: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state % below
        };
        let now = self.now;
        for worker in 0..WORKERS {
            if (now / TICK_MS + u64::from(worker))
                .is_multiple_of(HEARTBEAT_INTERVAL_MS / TICK_MS / 4)
                && self.up[self.targets[worker as usize]]
            {
                self.send_heartbeat(worker);
            }
        }
        if now.is_multiple_of(STATUS_INTERVAL_MS) {
            for n in (1..CONTROLLERS).filter(|&n| self.up[n]) {
                let status = self.shard_owners[n - 1].next_status(now, 4);
                let waiting = self.waiting(n);
                if draw(8) >= lost_eighths {
                    self.to_leader.push(StatusInTransit {
                        arrives_at: now + draw(MAX_DELAY_MS),
                        from: n,
                        status,
                        waiting,
                    });
                }
            }
            self.coordinator.tick(now, lost_eighths == 0);
        }
        for message in self.to_leader.extract_if(.., |m| m.arrives_at <= now) {
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
                    self.targets[worker as usize] = to as usize;
                }
            }
            lease.changes = self.coordinator.pending_changes(from);
            if draw(8) >= lost_eighths {
                self.to_owners.push(LeaseInTransit {
                    arrives_at: now + draw(MAX_DELAY_MS),
                    to: message.from,
                    lease,
                });
            }
        }
        for message in self.to_owners.extract_if(.., |m| m.arrives_at <= now) {
            self.shard_owners[message.to - 1].handle_lease(&message.lease);
        }
        for worker in 0..WORKERS {
            let may_answer = |n: &usize| {
                let decision = self.shard_owners[*n - 1].decide(worker, now);
                self.up[*n] && matches!(decision, HeartbeatDecision::Answer(_))
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
    fn no_two_owners_under_faults_and_balanced_ownership_after_them(
        faults in prop::collection::vec((0u8..8, 0usize..CONTROLLERS, any::<u64>()), 100..200),
    ) {
        let mut simulation = Simulation::new();
        for (fault, n, seed) in faults {
            match fault {
                // The controller restarts at once, is cut off, or is reachable again.
                0 if seed % 4 == 0 && n > 0 => {
                    simulation.next_process += 1;
                    *simulation.shard_owner(n) = ShardOwner::new(simulation.next_process);
                }
                1 if n > 0 => simulation.up[n] = seed % 3 > 0,
                // Some workers switch to this controller.
                2 => (0..8).for_each(|i| {
                    simulation.targets[(seed >> (i * 6)) as usize % WORKERS as usize] = n;
                }),
                _ => {}
            }
            simulation.step(seed, 3);
        }
        simulation.up = vec![true; CONTROLLERS];
        let seed = |now: u64| now.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let ended = simulation.now;
        while simulation.now < ended + RECOVERY_BOUND_MS + 1500 {
            simulation.step(seed(simulation.now), 0);
        }
        for (worker, answered_at) in simulation.answered_at.iter().enumerate() {
            prop_assert!(*answered_at > ended, "{worker} was last answered at {answered_at} of {}", simulation.now);
        }
        while simulation.now < ended + BALANCE_BOUND_MS {
            simulation.step(seed(simulation.now), 0);
        }
        // Four shard owners and the leader with half the weight: 8.9 each, and a tenth.
        let loads = simulation.coordinator.loads();
        prop_assert!(loads[1..].iter().all(|&load| load <= 10), "{loads:?}");
        prop_assert!(loads[0] <= 5, "{loads:?}");
    }
}
