//! The leader's side: who may answer which worker, and since when nobody has.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::message::{Change, OwnerStatus, ShardLease};

/// Grants end a little sooner on the shard owner's clock than on the leader's: steady clocks drift
/// apart by 0.05% each way, and timers have steps of a few ms.
const DRIFT_PARTS: u64 = 500;
const STEPS_MS: u64 = 5;
/// No change has this version, so nobody can say that it has taken it.
const NEVER_TOLD: u64 = 0;

/// Where a worker is. Times are when an answer may last have gone out, or bound it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Assignment {
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
struct ControllerInfo {
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
pub struct ShardTable {
    token: u64,
    controllers: Vec<ControllerInfo>,
    workers: BTreeMap<u32, Assignment>,
    /// Where a worker is to go once it is free.
    wanted: BTreeMap<u32, u32>,
    /// Those that are being left, so that time need not look at all.
    leaving: BTreeSet<u32>,
}

impl ShardTable {
    /// Of a leader with this token.
    pub fn new(token: u64, controllers: usize) -> Self {
        Self {
            token,
            controllers: vec![ControllerInfo::default(); controllers],
            workers: BTreeMap::new(),
            wanted: BTreeMap::new(),
            leaving: BTreeSet::new(),
        }
    }

    pub fn token(&self) -> u64 {
        self.token
    }

    /// A worker that was not known. `answered`: when it may last have been answered, also by
    /// the shard owners of an earlier leader. Their grants have ended when its key has run out; if the
    /// key was removed before that, only a TTL after it was renewed for the last time.
    pub fn add(&mut self, worker: u32, answered: u64) {
        let place = Assignment::Nobody { answered };
        self.workers.entry(worker).or_insert(place);
    }

    /// A worker that is gone for good. What its shard owner still says to it reaches nobody.
    pub fn remove(&mut self, worker: u32) {
        self.wanted.remove(&worker);
        self.leaving.remove(&worker);
        if let Some(Assignment::Held { by, .. }) = self.workers.remove(&worker) {
            self.tell(by, Change::Release(worker, None));
        }
    }

    pub fn place(&self, worker: u32) -> Option<Assignment> {
        self.workers.get(&worker).copied()
    }

    /// Who has, or is to have, each worker, for `assign`.
    pub fn shard_owners(&self) -> impl Iterator<Item = (u32, Option<u32>)> {
        self.workers.iter().map(|(&m, place)| {
            let by = match *place {
                Assignment::Held { by, .. } => Some(by),
                _ => self.wanted.get(&m).copied(),
            };
            (m, by)
        })
    }

    fn tell(&mut self, controller: u32, change: Change) -> u64 {
        let controller = &mut self.controllers[controller as usize];
        controller.version += 1;
        controller.log.push_back((controller.version, change));
        controller.version
    }

    /// A worker is to be answered by this node, or by nobody: then its silence is to be put on
    /// record, which is a promise. Takes effect once whoever has it has left it.
    pub fn want(&mut self, worker: u32, to: Option<u32>) {
        let Some(&place) = self.workers.get(&worker) else {
            return;
        };
        match to {
            Some(to) => self.wanted.insert(worker, to),
            None => self.wanted.remove(&worker),
        };
        match place {
            Assignment::Held { by, answered } if to != Some(by) => {
                let until = self.controllers[by as usize].granted_until;
                let version = self.tell(by, Change::Release(worker, to));
                let leaving = Assignment::Leaving {
                    by,
                    version,
                    until,
                    answered,
                };
                self.workers.insert(worker, leaving);
                self.leaving.insert(worker);
            }
            Assignment::Nobody { answered } => self.free(worker, answered),
            _ => {}
        }
    }

    /// Nobody answers it any more, and it goes where it is wanted.
    fn free(&mut self, worker: u32, answered: u64) {
        self.leaving.remove(&worker);
        let place = match self.wanted.remove(&worker) {
            Some(by) => {
                self.tell(by, Change::Assign(worker));
                Assignment::Held { by, answered }
            }
            None => Assignment::Nobody { answered },
        };
        self.workers.insert(worker, place);
    }

    /// A node that is not heard any more: what it has is to leave it when its grant has ended.
    /// The grants that it gets once it is heard again tell it so first.
    pub fn lost(&mut self, controller: u32) {
        let held =
            |place: &Assignment| matches!(place, Assignment::Held { by, .. } if *by == controller);
        let all: Vec<u32> = self
            .workers
            .iter()
            .filter(|(_, p)| held(p))
            .map(|(&m, _)| m)
            .collect();
        for worker in all {
            self.want(worker, None);
        }
    }

    /// A process of this node knows nothing of what another had, nor what that answered.
    fn begin_anew(&mut self, from: u32) {
        self.lost(from);
        for worker in &self.leaving {
            if let Some(Assignment::Leaving { by, version, .. }) = self.workers.get_mut(worker)
                && *by == from
            {
                *version = NEVER_TOLD;
            }
        }
        let controller = &mut self.controllers[from as usize];
        controller.log.clear();
        controller.version += 1;
        controller.base = controller.version;
    }

    /// What time alone proves: nodes that were told to leave workers and have not said that
    /// they did cannot answer any more.
    pub fn tick(&mut self, now: u64) {
        let over = |place: &Assignment| match *place {
            Assignment::Leaving {
                until, answered, ..
            } if now >= until => Some(until.max(answered)),
            _ => None,
        };
        let all: Vec<(u32, u64)> = self
            .leaving
            .iter()
            .filter_map(|m| Some((*m, over(self.workers.get(m)?)?)))
            .collect();
        for (worker, answered) in all {
            self.free(worker, answered);
        }
    }

    /// A statement of a node, and the grant that answers it. `valid_for`: how long this leader
    /// is itself valid. `None` for one that was overtaken, which proves nothing.
    pub fn take(
        &mut self,
        now: u64,
        from: u32,
        said: &OwnerStatus,
        valid_for: u64,
    ) -> Option<ShardLease> {
        let controller = &mut self.controllers[from as usize];
        if said.process != controller.process {
            // Another process of the node. Which of the two is the later is not known here, so
            // the other's grant counts until it ends, and whoever speaks next begins anew.
            let first = controller.process == 0;
            controller.process = said.process;
            controller.number = 0;
            if !first {
                self.begin_anew(from);
            }
        }
        let controller = &mut self.controllers[from as usize];
        if said.number <= controller.number {
            return None;
        }
        controller.number = said.number;
        if said.token == self.token {
            controller
                .log
                .retain(|(version, _)| *version > said.version);
            for left in &said.left {
                let Some(&Assignment::Leaving {
                    by,
                    version,
                    answered,
                    ..
                }) = self.workers.get(&left.worker)
                else {
                    continue;
                };
                if by == from && version == left.version {
                    // It came in before the statement was made, and that was before now.
                    let last = left
                        .answered
                        .map_or(answered, |age| now.saturating_sub(age));
                    self.free(left.worker, last.max(answered));
                }
            }
        }
        self.tick(now);
        let controller = &mut self.controllers[from as usize];
        controller.granted_until = controller.granted_until.max(now + valid_for);
        Some(ShardLease {
            process: said.process,
            number: said.number,
            token: self.token,
            base: self.controllers[from as usize].base,
            for_ms: valid_for.saturating_sub(valid_for / DRIFT_PARTS + STEPS_MS),
            changes: self.changes(from),
        })
    }

    /// What a node has not acknowledged: any grant to it may carry that.
    pub fn changes(&self, controller: u32) -> Vec<(u64, Change)> {
        self.controllers[controller as usize]
            .log
            .iter()
            .copied()
            .collect()
    }

    /// When a worker may last have been answered, for the end of its lease. `None`: somebody
    /// may answer it now.
    pub fn unanswered_since(&self, worker: u32) -> Option<u64> {
        match self.workers.get(&worker)? {
            Assignment::Nobody { answered } => Some(*answered),
            _ => None,
        }
    }
}
