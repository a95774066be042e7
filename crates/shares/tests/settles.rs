//! Many machines, several holders and messages that are lost and late, at random: never two that
//! may answer one machine, and once faults end every machine is answered and none has too many.

use copperfield_shares::{Grant, Holder, Keeper, May, Statement, Where, Word};
use proptest::prelude::*;

const MACHINES: u32 = 40;
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
    keeper: Keeper,
    holders: Vec<Holder>,
    processes: u64,
    up: Vec<bool>,
    /// With the machines that wait for an answer there.
    to_leader: Vec<(u64, usize, Statement, Vec<u32>)>,
    to_holder: Vec<(u64, usize, Grant)>,
    /// Where each machine reports, and when it was last answered.
    at: Vec<usize>,
    answered: Vec<u64>,
}

impl Site {
    fn new() -> Self {
        let zones: Vec<u32> = (0..NODES as u32).map(|n| n % 2).collect();
        let mut keeper = Keeper::new(3, 0, &zones, REPORT);
        (0..MACHINES).for_each(|m| keeper.add(m, m % 2, 0));
        Self {
            now: 0,
            keeper,
            holders: (1..NODES as u64).map(Holder::new).collect(),
            processes: NODES as u64,
            up: vec![true; NODES],
            to_leader: Vec::new(),
            to_holder: Vec::new(),
            // All with one, as after a start.
            at: vec![1; MACHINES as usize],
            answered: vec![0; MACHINES as usize],
        }
    }

    fn holder(&mut self, n: usize) -> &mut Holder {
        &mut self.holders[n - 1]
    }

    /// A machine reports, and perhaps has to wait.
    fn report(&mut self, machine: u32) {
        let (now, at) = (self.now, self.at[machine as usize]);
        let elsewhere = if at == 0 {
            match self.keeper.reported(now, machine, 0, May::Anybody, true) {
                Where::Here => {
                    for holder in &self.holders {
                        let word = holder.word(machine, now);
                        assert!(!matches!(word, Word::Answer(_)), "{machine} at {now}");
                    }
                    self.answered[machine as usize] = now;
                    return;
                }
                Where::Elsewhere(to) => to,
                Where::Wait => return,
            }
        } else {
            let holder = self.holder(at);
            match holder.word(machine, now) {
                Word::Answer(_) => {
                    assert!(holder.answers(machine, now, now));
                    self.answered[machine as usize] = now;
                    return;
                }
                Word::Elsewhere(to) => to,
                Word::Wait | Word::Unknown => return,
            }
        };
        self.at[machine as usize] = elsewhere as usize;
    }

    /// The machines that wait with a holder.
    fn waiting(&self, n: usize) -> Vec<u32> {
        let waits = |m: &u32| {
            let word = self.holders[n - 1].word(*m, self.now);
            self.at[*m as usize] == n && matches!(word, Word::Wait | Word::Unknown)
        };
        (0..MACHINES).filter(waits).collect()
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
        for machine in 0..MACHINES {
            if (now / TICK + u64::from(machine)).is_multiple_of(REPORT / TICK / 4)
                && self.up[self.at[machine as usize]]
            {
                self.report(machine);
            }
        }
        if now.is_multiple_of(250) {
            for n in (1..NODES).filter(|&n| self.up[n]) {
                let said = self.holders[n - 1].state(now, 4);
                let waits = self.waiting(n);
                if draw(8) >= lost {
                    self.to_leader.push((now + draw(100), n, said, waits));
                }
            }
            self.keeper.tick(now, lost == 0);
        }
        for (_, n, said, waits) in self.to_leader.extract_if(.., |m| m.0 <= now) {
            let Some(mut grant) = self.keeper.spoke(now, n as u32, &said, true, TTL) else {
                continue;
            };
            for machine in waits {
                let to = self
                    .keeper
                    .reported(now, machine, n as u32, May::Anybody, true);
                if let Where::Elsewhere(to) = to {
                    self.at[machine as usize] = to as usize;
                }
            }
            grant.changes = self.keeper.changes(n as u32);
            if draw(8) >= lost {
                self.to_holder.push((now + draw(100), n, grant));
            }
        }
        for (_, n, grant) in self.to_holder.extract_if(.., |m| m.0 <= now) {
            self.holders[n - 1].granted(&grant);
        }
        for machine in 0..MACHINES {
            let may = |n: &usize| {
                let word = self.holders[*n - 1].word(machine, now);
                self.up[*n] && matches!(word, Word::Answer(_))
            };
            let may: Vec<usize> = (1..NODES).filter(may).collect();
            assert!(may.len() <= 1, "machine {machine} at {now}: {may:?}");
            let free = self.keeper.unanswered_since(machine).is_some();
            assert!(
                !free || may.is_empty(),
                "machine {machine} at {now} is free, and {may:?}"
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
                    *site.holder(n) = Holder::new(site.processes);
                }
                1 if n > 0 => site.up[n] = luck % 3 > 0,
                // Some machines report elsewhere.
                2 => (0..8).for_each(|i| {
                    site.at[(luck >> (i * 6)) as usize % MACHINES as usize] = n;
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
        for (machine, at) in site.answered.iter().enumerate() {
            prop_assert!(*at > ended, "{machine} was last answered at {at} of {}", site.now);
        }
        while site.now < ended + BALANCED {
            site.step(luck(site.now), 0);
        }
        // Four holders and half a node more: 8.9 each, and a tenth.
        let loads = site.keeper.loads();
        prop_assert!(loads[1..].iter().all(|&load| load <= 10), "{loads:?}");
        prop_assert!(loads[0] <= 5, "{loads:?}");
    }
}
