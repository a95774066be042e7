//! The leader's side: who may answer which machine, and since when nobody has.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::message::{Change, Grant, Statement};

/// Grants end a little sooner on the holder's clock than on the leader's: steady clocks drift
/// apart by 0.05% each way, and timers have steps of a few ms.
const DRIFT_PARTS: u64 = 500;
const STEPS_MS: u64 = 5;
/// No change has this version, so nobody can say that it has taken it.
const NEVER_TOLD: u64 = 0;

/// Where a machine is. Times are when an answer may last have gone out, or bound it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Place {
    /// Nobody may answer it, and nobody has since `answered`.
    Nobody { answered: u64 },
    /// This node may, or will be told that it may; `answered`: before that.
    Held { by: u32, answered: u64 },
    /// This node is told to leave it. Unless it says so before, it may answer until `until`.
    Leaving {
        by: u32,
        version: u64,
        until: u64,
        answered: u64,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Node {
    process: u64,
    /// Of the last statement that was taken from that process.
    number: u64,
    /// Of the last change to its share.
    version: u64,
    /// At this version its share was empty: what it has from before it has not from here.
    base: u64,
    /// Changes that it has not acknowledged, the oldest first.
    log: VecDeque<(u64, Change)>,
    /// Until when any grant may let it answer, whichever process has it.
    granted_until: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Shares {
    token: u64,
    nodes: Vec<Node>,
    machines: BTreeMap<u32, Place>,
    /// Where a machine is to go once it is free.
    wanted: BTreeMap<u32, u32>,
    /// Those that are being left, so that time need not look at all.
    leaving: BTreeSet<u32>,
}

impl Shares {
    /// Of a leader with this token.
    pub fn new(token: u64, nodes: usize) -> Self {
        Self {
            token,
            nodes: vec![Node::default(); nodes],
            machines: BTreeMap::new(),
            wanted: BTreeMap::new(),
            leaving: BTreeSet::new(),
        }
    }

    pub fn token(&self) -> u64 {
        self.token
    }

    /// A machine that was not known. `answered`: when it may last have been answered, also by
    /// the holders of an earlier leader. Their grants have ended when its key has run out; if the
    /// key was removed before that, only a TTL after it was renewed for the last time.
    pub fn add(&mut self, machine: u32, answered: u64) {
        let place = Place::Nobody { answered };
        self.machines.entry(machine).or_insert(place);
    }

    /// A machine that is gone for good. What its holder still says to it reaches nobody.
    pub fn remove(&mut self, machine: u32) {
        self.wanted.remove(&machine);
        self.leaving.remove(&machine);
        if let Some(Place::Held { by, .. }) = self.machines.remove(&machine) {
            self.tell(by, Change::Leave(machine, None));
        }
    }

    pub fn place(&self, machine: u32) -> Option<Place> {
        self.machines.get(&machine).copied()
    }

    /// Who has, or is to have, each machine, for [`crate::assign`].
    pub fn holders(&self) -> impl Iterator<Item = (u32, Option<u32>)> {
        self.machines.iter().map(|(&m, place)| {
            let by = match *place {
                Place::Held { by, .. } => Some(by),
                _ => self.wanted.get(&m).copied(),
            };
            (m, by)
        })
    }

    fn tell(&mut self, node: u32, change: Change) -> u64 {
        let node = &mut self.nodes[node as usize];
        node.version += 1;
        node.log.push_back((node.version, change));
        node.version
    }

    /// A machine is to be answered by this node, or by nobody: then its silence is to be put on
    /// record, which is a promise. Takes effect once whoever has it has left it.
    pub fn want(&mut self, machine: u32, to: Option<u32>) {
        let Some(&place) = self.machines.get(&machine) else {
            return;
        };
        match to {
            Some(to) => self.wanted.insert(machine, to),
            None => self.wanted.remove(&machine),
        };
        match place {
            Place::Held { by, answered } if to != Some(by) => {
                let until = self.nodes[by as usize].granted_until;
                let version = self.tell(by, Change::Leave(machine, to));
                let leaving = Place::Leaving {
                    by,
                    version,
                    until,
                    answered,
                };
                self.machines.insert(machine, leaving);
                self.leaving.insert(machine);
            }
            Place::Nobody { answered } => self.free(machine, answered),
            _ => {}
        }
    }

    /// Nobody answers it any more, and it goes where it is wanted.
    fn free(&mut self, machine: u32, answered: u64) {
        self.leaving.remove(&machine);
        let place = match self.wanted.remove(&machine) {
            Some(by) => {
                self.tell(by, Change::Take(machine));
                Place::Held { by, answered }
            }
            None => Place::Nobody { answered },
        };
        self.machines.insert(machine, place);
    }

    /// A node that is not heard any more: what it has is to leave it when its grant has ended.
    /// The grants that it gets once it is heard again tell it so first.
    pub fn lost(&mut self, node: u32) {
        let held = |place: &Place| matches!(place, Place::Held { by, .. } if *by == node);
        let all: Vec<u32> = self
            .machines
            .iter()
            .filter(|(_, p)| held(p))
            .map(|(&m, _)| m)
            .collect();
        for machine in all {
            self.want(machine, None);
        }
    }

    /// A process of this node knows nothing of what another had, nor what that answered.
    fn begin_anew(&mut self, from: u32) {
        self.lost(from);
        for machine in &self.leaving {
            if let Some(Place::Leaving { by, version, .. }) = self.machines.get_mut(machine)
                && *by == from
            {
                *version = NEVER_TOLD;
            }
        }
        let node = &mut self.nodes[from as usize];
        node.log.clear();
        node.version += 1;
        node.base = node.version;
    }

    /// What time alone proves: nodes that were told to leave machines and have not said that
    /// they did cannot answer any more.
    pub fn tick(&mut self, now: u64) {
        let over = |place: &Place| match *place {
            Place::Leaving {
                until, answered, ..
            } if now >= until => Some(until.max(answered)),
            _ => None,
        };
        let all: Vec<(u32, u64)> = self
            .leaving
            .iter()
            .filter_map(|m| Some((*m, over(self.machines.get(m)?)?)))
            .collect();
        for (machine, answered) in all {
            self.free(machine, answered);
        }
    }

    /// A statement of a node, and the grant that answers it. `valid_for`: how long this leader
    /// is itself valid. `None` for one that was overtaken, which proves nothing.
    pub fn take(&mut self, now: u64, from: u32, said: &Statement, valid_for: u64) -> Option<Grant> {
        let node = &mut self.nodes[from as usize];
        if said.process != node.process {
            // Another process of the node. Which of the two is the later is not known here, so
            // the other's grant counts until it ends, and whoever speaks next begins anew.
            let first = node.process == 0;
            node.process = said.process;
            node.number = 0;
            if !first {
                self.begin_anew(from);
            }
        }
        let node = &mut self.nodes[from as usize];
        if said.number <= node.number {
            return None;
        }
        node.number = said.number;
        if said.token == self.token {
            node.log.retain(|(version, _)| *version > said.version);
            for left in &said.left {
                let Some(&Place::Leaving {
                    by,
                    version,
                    answered,
                    ..
                }) = self.machines.get(&left.machine)
                else {
                    continue;
                };
                if by == from && version == left.version {
                    // It came in before the statement was made, and that was before now.
                    let last = left
                        .answered
                        .map_or(answered, |age| now.saturating_sub(age));
                    self.free(left.machine, last.max(answered));
                }
            }
        }
        self.tick(now);
        let node = &mut self.nodes[from as usize];
        node.granted_until = node.granted_until.max(now + valid_for);
        Some(Grant {
            process: said.process,
            number: said.number,
            token: self.token,
            base: self.nodes[from as usize].base,
            for_ms: valid_for.saturating_sub(valid_for / DRIFT_PARTS + STEPS_MS),
            changes: self.changes(from),
        })
    }

    /// What a node has not acknowledged: any grant to it may carry that.
    pub fn changes(&self, node: u32) -> Vec<(u64, Change)> {
        self.nodes[node as usize].log.iter().copied().collect()
    }

    /// When a machine may last have been answered, for the end of its lease. `None`: somebody
    /// may answer it now.
    pub fn unanswered_since(&self, machine: u32) -> Option<u64> {
        match self.machines.get(&machine)? {
            Place::Nobody { answered } => Some(*answered),
            _ => None,
        }
    }
}
