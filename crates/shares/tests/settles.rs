//! Many machines, several holders and messages that are lost and late, at random: never two that
//! may answer one machine, and once faults end every machine has the holder it is to have.

use std::collections::BTreeMap;

use copperfield_shares::assign::{Node, assign};
use copperfield_shares::{Grant, Holder, Place, Shares, Statement, Word};
use proptest::prelude::*;

const MACHINES: u32 = 40;
const NODES: usize = 4;
const TTL: u64 = 2350;
const TICK: u64 = 50;
/// Once faults have ended: a grant that may still be out, a statement to be told to leave, one
/// to say so, one to be told to take, each at most 300 ms apart and 100 ms on its way.
const BOUND: u64 = TTL + 3 * 400;

struct Site {
    now: u64,
    shares: Shares,
    holders: Vec<Holder>,
    processes: u64,
    up: Vec<bool>,
    to_leader: Vec<(u64, usize, Statement)>,
    to_holder: Vec<(u64, usize, Grant)>,
    heard: Vec<u64>,
}

impl Site {
    fn new() -> Self {
        let mut shares = Shares::new(3, NODES, 0);
        (0..MACHINES).for_each(|m| shares.add(m, 0));
        Self {
            now: 0,
            shares,
            holders: (1..=NODES as u64).map(Holder::new).collect(),
            processes: NODES as u64,
            up: vec![true; NODES],
            to_leader: Vec::new(),
            to_holder: Vec::new(),
            heard: vec![0; NODES],
        }
    }

    /// What the leader does about who has what: whoever has been heard lately has a share.
    fn assign(&mut self) {
        let node = |n: usize| {
            let heard = self.now - self.heard[n] < 1000;
            Node {
                zone: n as u32,
                weight: if heard { 1.0 } else { 0.0 },
            }
        };
        let nodes: Vec<Node> = (0..NODES).map(node).collect();
        let up = |n: &u32| nodes[*n as usize].weight > 0.0;
        let now = |by: Option<u32>| by.filter(up).map(|n| n as usize);
        let machines: BTreeMap<u32, (u32, Option<usize>)> = self
            .shares
            .holders()
            .map(|(m, by)| (m, (m % NODES as u32, now(by))))
            .collect();
        for (machine, to) in assign(&nodes, &machines) {
            self.shares.want(machine, Some(to as u32));
        }
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
        if self.now.is_multiple_of(300) {
            for n in (0..NODES).filter(|&n| self.up[n]) {
                let said = self.holders[n].state(self.now, 4);
                if draw(8) >= lost {
                    self.to_leader.push((self.now + draw(100), n, said));
                }
            }
            self.assign();
        }
        let now = self.now;
        for (_, n, said) in self.to_leader.extract_if(.., |(at, ..)| *at <= now) {
            self.heard[n] = now;
            if let Some(grant) = self.shares.take(now, n as u32, &said, TTL)
                && draw(8) >= lost
            {
                self.to_holder.push((now + draw(100), n, grant));
            }
        }
        for (_, n, grant) in self.to_holder.extract_if(.., |(at, ..)| *at <= now) {
            self.holders[n].granted(&grant);
        }
        self.shares.tick(now);
        for machine in 0..MACHINES {
            let may = (0..NODES).filter(|&n| {
                let up = self.up[n];
                up && matches!(self.holders[n].word(machine, now), Word::Answer(_))
            });
            let may: Vec<usize> = may.collect();
            assert!(may.len() <= 1, "machine {machine} at {now}: {may:?}");
            let free = self.shares.unanswered_since(machine).is_some();
            assert!(
                !free || may.is_empty(),
                "machine {machine} at {now} is free, and {may:?}"
            );
            for n in may {
                assert!(self.holders[n].answers(machine, now, now));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn one_holder_each_and_one_again_once_faults_end(
        faults in prop::collection::vec((0u8..6, 0usize..NODES, any::<u64>()), 100..200),
    ) {
        let mut site = Site::new();
        for (fault, n, luck) in faults {
            match fault {
                // Ends and is there again at once, or is cut off, or is back.
                0 if luck % 4 == 0 => {
                    site.processes += 1;
                    site.holders[n] = Holder::new(site.processes);
                }
                1 => site.up[n] = luck % 3 > 0,
                _ => {}
            }
            site.step(luck, 3);
        }
        site.up = vec![true; NODES];
        let end = site.now + BOUND + 1000;
        while site.now < end {
            site.step(site.now.wrapping_mul(0x9e37_79b9_7f4a_7c15), 0);
        }
        for machine in 0..MACHINES {
            let Some(Place::Held { by, .. }) = site.shares.place(machine) else {
                return Err(TestCaseError::fail(format!("{machine} is with nobody")));
            };
            let word = site.holders[by as usize].word(machine, site.now);
            prop_assert_eq!(word, Word::Answer(3));
        }
        let most = (0..NODES).map(|n| site.holders[n].share().count()).max();
        prop_assert!(most.unwrap_or(0) <= 11, "40 machines, four nodes and a tenth");
    }
}
