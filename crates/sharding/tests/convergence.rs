//! Many workers, several shard owners and messages that are lost and late, at random: never two that
//! may answer one worker, and once faults end every worker is answered and none has too many.

use copperfield_sharding::{
    AnswerPermission, HeartbeatDecision, OwnerStatus, Route, ShardCoordinator, ShardLease,
    ShardOwner,
};
use proptest::prelude::*;

const WORKERS: u32 = 40;
/// Node 0 leads, and answers whom nobody has.
const NODES: usize = 5;
const TTL: u64 = 2350;
const TICK: u64 = 50;
const REPORT: u64 = 1000;
/// Once faults have ended: a grant that may still be out, a statement to be told to leave, one
/// to say so, one to be told to take, each at most 300 ms apart and 100 ms on its way.
const BOUND: u64 = TTL + 3 * 400;
/// And all that are too many for a node have moved, four in a second.
const BALANCED: u64 = 70_000;

struct Site {
    now: u64,
    coordinator: ShardCoordinator,
    shard_owners: Vec<ShardOwner>,
    processes: u64,
    up: Vec<bool>,
    /// With the workers that wait for an answer there.
    to_leader: Vec<(u64, usize, OwnerStatus, Vec<u32>)>,
    to_holder: Vec<(u64, usize, ShardLease)>,
    /// Where each worker reports, and when it was last answered.
    at: Vec<usize>,
    answered: Vec<u64>,
}

impl Site {
    fn new() -> Self {
        let zones: Vec<u32> = (0..NODES as u32).map(|n| n % 2).collect();
        let mut coordinator = ShardCoordinator::new(3, 0, &zones, REPORT);
        (0..WORKERS).for_each(|m| coordinator.add(m, m % 2, 0));
        Self {
            now: 0,
            coordinator,
            shard_owners: (1..NODES as u64).map(ShardOwner::new).collect(),
            processes: NODES as u64,
            up: vec![true; NODES],
            to_leader: Vec::new(),
            to_holder: Vec::new(),
            // All with one, as after a start.
            at: vec![1; WORKERS as usize],
            answered: vec![0; WORKERS as usize],
        }
    }

    fn shard_owner(&mut self, n: usize) -> &mut ShardOwner {
        &mut self.shard_owners[n - 1]
    }

    /// A worker reports, and perhaps has to wait.
    fn report(&mut self, worker: u32) {
        let (now, at) = (self.now, self.at[worker as usize]);
        let redirects = if at == 0 {
            match self
                .coordinator
                .reported(now, worker, 0, AnswerPermission::Anybody, true)
            {
                Route::Here => {
                    for shard_owner in &self.shard_owners {
                        let decide = shard_owner.decide(worker, now);
                        assert!(
                            !matches!(decide, HeartbeatDecision::Answer(_)),
                            "{worker} at {now}"
                        );
                    }
                    self.answered[worker as usize] = now;
                    return;
                }
                Route::Redirect(to) => to,
                Route::Wait => return,
            }
        } else {
            let shard_owner = self.shard_owner(at);
            match shard_owner.decide(worker, now) {
                HeartbeatDecision::Answer(_) => {
                    assert!(shard_owner.answers(worker, now, now));
                    self.answered[worker as usize] = now;
                    return;
                }
                HeartbeatDecision::Redirect(to) => to,
                HeartbeatDecision::Wait | HeartbeatDecision::Unknown => return,
            }
        };
        self.at[worker as usize] = redirects as usize;
    }

    /// The workers that wait with a shard owner.
    fn waiting(&self, n: usize) -> Vec<u32> {
        let waits = |m: &u32| {
            let decide = self.shard_owners[n - 1].decide(*m, self.now);
            self.at[*m as usize] == n
                && matches!(decide, HeartbeatDecision::Wait | HeartbeatDecision::Unknown)
        };
        (0..WORKERS).filter(waits).collect()
    }

    /// One step; `lost` of 8 messages are.
    fn step(&mut self, luck: u64, lost: u64) {
        self.now += TICK;
        let mut luck = luck | 1;
        let mut draw = |below: u64| {
            luck ^= luck << 13;
            luck ^= luck >> 7;
            luck ^= luck << 17;
            luck % below
        };
        let now = self.now;
        for worker in 0..WORKERS {
            if (now / TICK + u64::from(worker)).is_multiple_of(REPORT / TICK / 4)
                && self.up[self.at[worker as usize]]
            {
                self.report(worker);
            }
        }
        if now.is_multiple_of(250) {
            for n in (1..NODES).filter(|&n| self.up[n]) {
                let said = self.shard_owners[n - 1].state(now, 4);
                let waits = self.waiting(n);
                if draw(8) >= lost {
                    self.to_leader.push((now + draw(100), n, said, waits));
                }
            }
            self.coordinator.tick(now, lost == 0);
        }
        for (_, n, said, waits) in self.to_leader.extract_if(.., |m| m.0 <= now) {
            let Some(mut shard_lease) = self.coordinator.spoke(now, n as u32, &said, true, TTL)
            else {
                continue;
            };
            for worker in waits {
                let to = self.coordinator.reported(
                    now,
                    worker,
                    n as u32,
                    AnswerPermission::Anybody,
                    true,
                );
                if let Route::Redirect(to) = to {
                    self.at[worker as usize] = to as usize;
                }
            }
            shard_lease.changes = self.coordinator.changes(n as u32);
            if draw(8) >= lost {
                self.to_holder.push((now + draw(100), n, shard_lease));
            }
        }
        for (_, n, shard_lease) in self.to_holder.extract_if(.., |m| m.0 <= now) {
            self.shard_owners[n - 1].granted(&shard_lease);
        }
        for worker in 0..WORKERS {
            let may = |n: &usize| {
                let decide = self.shard_owners[*n - 1].decide(worker, now);
                self.up[*n] && matches!(decide, HeartbeatDecision::Answer(_))
            };
            let may: Vec<usize> = (1..NODES).filter(may).collect();
            assert!(may.len() <= 1, "machine {worker} at {now}: {may:?}");
            let free = self.coordinator.unanswered_since(worker).is_some();
            assert!(
                !free || may.is_empty(),
                "machine {worker} at {now} is free, and {may:?}"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn one_holder_each_and_one_again_once_faults_end(
        faults in prop::collection::vec((0u8..8, 0usize..NODES, any::<u64>()), 100..200),
    ) {
        let mut site = Site::new();
        for (fault, n, luck) in faults {
            match fault {
                // Ends and is there again at once, or is cut off, or is back.
                0 if luck % 4 == 0 && n > 0 => {
                    site.processes += 1;
                    *site.shard_owner(n) = ShardOwner::new(site.processes);
                }
                1 if n > 0 => site.up[n] = luck % 3 > 0,
                // Some workers report elsewhere.
                2 => (0..8).for_each(|i| {
                    site.at[(luck >> (i * 6)) as usize % WORKERS as usize] = n;
                }),
                _ => {}
            }
            site.step(luck, 3);
        }
        site.up = vec![true; NODES];
        let luck = |now: u64| now.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let ended = site.now;
        while site.now < ended + BOUND + 1500 {
            site.step(luck(site.now), 0);
        }
        for (worker, at) in site.answered.iter().enumerate() {
            prop_assert!(*at > ended, "{worker} was last answered at {at} of {}", site.now);
        }
        while site.now < ended + BALANCED {
            site.step(luck(site.now), 0);
        }
        // Four shard owners and half a node more: 8.9 each, and a tenth.
        let loads = site.coordinator.loads();
        prop_assert!(loads[1..].iter().all(|&load| load <= 10), "{loads:?}");
        prop_assert!(loads[0] <= 5, "{loads:?}");
    }
}
