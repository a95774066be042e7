//! The leader's choice of who has which worker.
//!
//! A worker is held where it reports: whoever it can reach is no question of this node's. What
//! is left to decide is who has too many, and where a worker that may move is sent.

use std::collections::BTreeMap;

use crate::assign::{ControllerInfo, bounds, ranking};
use crate::message::{Change, OwnerStatus, ShardLease};
use crate::table::{Assignment, ShardTable};

/// A node that said nothing for so long is down, or cannot reach this one.
const DOWN_MS: u64 = 1500;
/// A leader has its own work besides.
const LEADER_WEIGHT: f64 = 0.5;
/// The same worker is not sent elsewhere again within.
const AGAIN_MS: u64 = 60_000;
/// A node that could not carry messages gets none for so long.
const REFUSED_MS: u64 = 3000;
/// A worker that was taken back since orders did not reach it stays for so long.
const STAYS_MS: u64 = 8000;
/// So many messages in a row that a worker does not answer though it reports.
const UNANSWERED: u32 = 2;
/// In a second this part of the workers moves for balance, and no fewer than these.
const MOVE_PART: usize = 50;
const MIN_MOVES: usize = 4;

/// What a worker that reports somewhere is told there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// It is answered there, at once or once the node knows it.
    Here,
    Redirect(u32),
    /// Somebody else may still answer it, or its silence is on record.
    Wait,
}

/// Who may have a worker now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerPermission {
    Anybody,
    /// Its silence is on record, or is being put there.
    Nobody,
    /// Only the leader itself.
    Leader,
}

#[derive(Debug, Clone, Copy)]
struct Worker {
    zone: u32,
    /// When it last reported.
    heard: u64,
    /// When it was last sent elsewhere for balance.
    moved: Option<u64>,
    unanswered: u32,
    stays_until: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct PeerState {
    zone: u32,
    heard: Option<u64>,
    /// Once it has told all that it had heard.
    told_all: bool,
    /// Once it has a grant of this leader: before that it carries nothing.
    granted: bool,
    up: bool,
    refused_until: u64,
    load: usize,
    bound: usize,
}

pub struct ShardCoordinator {
    me: u32,
    report_ms: u64,
    shares: ShardTable,
    workers: BTreeMap<u32, Worker>,
    controllers: Vec<PeerState>,
    /// Moves for balance that are left in this second.
    moves: usize,
    next_second: u64,
}

impl ShardCoordinator {
    /// Of a leader with this token, the node at place `me`; `zones`: of all nodes; `report_ms`:
    /// how often workers report.
    pub fn new(token: u64, me: u32, zones: &[u32], report_ms: u64) -> Self {
        let seen = |&zone: &u32| PeerState {
            zone,
            ..PeerState::default()
        };
        Self {
            me,
            report_ms,
            shares: ShardTable::new(token, zones.len()),
            workers: BTreeMap::new(),
            controllers: zones.iter().map(seen).collect(),
            moves: 0,
            next_second: 0,
        }
    }

    /// Whether there is such a node, which is not the leader itself.
    pub fn knows(&self, controller: u32) -> bool {
        controller != self.me && (controller as usize) < self.controllers.len()
    }

    /// See [`ShardTable::add`].
    pub fn add(&mut self, worker: u32, zone: u32, answered: u64) {
        self.shares.add(worker, answered);
        self.workers.insert(
            worker,
            Worker {
                zone,
                heard: 0,
                moved: None,
                unanswered: 0,
                stays_until: 0,
            },
        );
    }

    /// See [`ShardTable::remove`].
    pub fn remove(&mut self, worker: u32) {
        self.shares.remove(worker);
        self.workers.remove(&worker);
    }

    /// See [`ShardTable::unanswered_since`].
    pub fn unanswered_since(&self, worker: u32) -> Option<u64> {
        self.shares.unanswered_since(worker)
    }

    /// Who has a worker, if it is not the leader's own.
    pub fn shard_owner(&self, worker: u32) -> Option<u32> {
        match self.shares.place(worker)? {
            Assignment::Held { by, .. } => Some(by),
            _ => None,
        }
    }

    /// Through whom a worker is written to, if not by the leader itself.
    pub fn relay_for(&self, worker: u32, now: u64) -> Option<u32> {
        let by = self.shard_owner(worker)?;
        self.can_relay(by, now).then_some(by)
    }

    fn can_relay(&self, controller: u32, now: u64) -> bool {
        let seen = &self.controllers[controller as usize];
        seen.up && seen.granted && now >= seen.refused_until
    }

    /// The nodes that carry messages.
    fn helpers(&self, now: u64) -> Vec<u32> {
        let all = 0..self.controllers.len() as u32;
        all.filter(|n| self.can_relay(*n, now)).collect()
    }

    /// Who may write to a worker that nobody has: by turns one of the nodes that carry
    /// messages, or the leader itself (`None`).
    pub fn helper(&self, worker: u32, now: u64) -> Option<u32> {
        let helpers = self.helpers(now);
        helpers.get(worker as usize % (helpers.len() + 1)).copied()
    }

    /// Another node that carries messages to a worker which this one does not reach.
    pub fn any_helper(&self, worker: u32, now: u64) -> Option<u32> {
        let helpers = self.helpers(now);
        (!helpers.is_empty()).then(|| helpers[worker as usize % helpers.len()])
    }

    /// A node could not be given messages.
    pub fn mark_relay_refused(&mut self, controller: u32, now: u64) {
        self.controllers[controller as usize].refused_until = now + REFUSED_MS;
    }

    /// Whether every other node has told all that it heard, so that a new leader need not ask
    /// those workers where they are.
    pub fn heard_all(&self) -> bool {
        let others = self.controllers.iter().enumerate();
        let mut others = others.filter(|(n, _)| *n as u32 != self.me);
        others.all(|(_, controller)| controller.told_all)
    }

    /// A shard owner has spoken; [`ShardTable::take`]. `all`: it has told all that it heard.
    pub fn spoke(
        &mut self,
        now: u64,
        from: u32,
        said: &OwnerStatus,
        all: bool,
        valid_for: u64,
    ) -> Option<ShardLease> {
        let controller = &mut self.controllers[from as usize];
        controller.up = true;
        controller.told_all |= all;
        controller.granted = self.shares.token() == said.token;
        controller.heard = Some(now);
        self.shares.take(now, from, said, valid_for)
    }

    /// See [`ShardTable::changes`].
    pub fn changes(&self, controller: u32) -> Vec<(u64, Change)> {
        self.shares.changes(controller)
    }

    /// Whom a node is told to take, of the changes in a grant.
    pub fn taken(shard_lease: &ShardLease) -> impl Iterator<Item = u32> {
        shard_lease
            .changes
            .iter()
            .filter_map(|(_, change)| match change {
                Change::Assign(worker) => Some(*worker),
                Change::Release(..) => None,
            })
    }

    /// A worker has reported to a node. `waits`: for an answer, there and now.
    pub fn reported(
        &mut self,
        now: u64,
        worker: u32,
        at: u32,
        may: AnswerPermission,
        waits: bool,
    ) -> Route {
        let Some(place) = self.shares.place(worker) else {
            return Route::Wait;
        };
        let seen = self.workers.get_mut(&worker).expect("as in shares");
        seen.heard = now;
        let may = match may {
            AnswerPermission::Anybody if now < seen.stays_until => AnswerPermission::Leader,
            may => may,
        };
        match place {
            Assignment::Held { by, .. } if by == at && may == AnswerPermission::Anybody => {
                Route::Here
            }
            // News of somebody who had it.
            Assignment::Held { .. } | Assignment::Leaving { .. } if !waits => Route::Wait,
            Assignment::Held { .. } | Assignment::Leaving { .. } => {
                let to = (may == AnswerPermission::Anybody && at != self.me).then_some(at);
                self.shares.want(worker, to);
                Route::Wait
            }
            Assignment::Nobody { .. } if may == AnswerPermission::Nobody => Route::Wait,
            Assignment::Nobody { .. } if may == AnswerPermission::Leader && at != self.me => {
                Route::Redirect(self.me)
            }
            Assignment::Nobody { .. } if may == AnswerPermission::Leader => Route::Here,
            Assignment::Nobody { .. } => {
                if let Some(to) = self.better(now, worker, at) {
                    return Route::Redirect(to);
                }
                if at != self.me {
                    self.shares.want(worker, Some(at));
                    self.controllers[at as usize].load += 1;
                }
                Route::Here
            }
        }
    }

    /// Where a worker should rather report, if a move may be spent on it.
    fn better(&mut self, now: u64, worker: u32, at: u32) -> Option<u32> {
        let from = self.controllers[at as usize];
        let seen = self.workers.get_mut(&worker)?;
        let (over, far) = (from.load > from.bound, from.zone != seen.zone);
        if self.moves == 0 || !(over || far) || seen.moved.is_some_and(|t| now - t < AGAIN_MS) {
            return None;
        }
        let zone = seen.zone;
        // The leader gets none so: it has those that come to it. What is not too much for its
        // node only goes to one of its own zone, with which it would fall anyway.
        let room = |n: &usize| {
            let controller = &self.controllers[*n];
            *n as u32 != self.me
                && controller.load < controller.bound
                && (over || controller.zone == zone)
        };
        if !(0..self.controllers.len()).any(|n| room(&n)) {
            return None;
        }
        let controllers = weighted(&self.controllers, self.me);
        let to = ranking(&controllers, worker, zone).into_iter().find(room)?;
        seen.moved = Some(now);
        self.moves -= 1;
        self.controllers[to].load += 1;
        let from = &mut self.controllers[at as usize];
        from.load = from.load.saturating_sub(1);
        Some(to as u32)
    }

    /// A worker is to be answered by nobody but the leader: it is late, or about to be put on
    /// the record of silent ones.
    pub fn take_back(&mut self, worker: u32) {
        // Nor by whoever was to have it next.
        self.shares.want(worker, None);
    }

    /// A worker has answered a message, or has not.
    pub fn answered(&mut self, now: u64, worker: u32, answered: bool) {
        let Some(seen) = self.workers.get_mut(&worker) else {
            return;
        };
        seen.unanswered = if answered { 0 } else { seen.unanswered + 1 };
        // It reports, but orders do not reach it: with the leader's own answers they will.
        let heard = now - seen.heard < 2 * self.report_ms;
        if seen.unanswered >= UNANSWERED && heard && self.shard_owner(worker).is_some() {
            let seen = self.workers.get_mut(&worker).expect("looked at");
            seen.unanswered = 0;
            seen.stays_until = now + STAYS_MS;
            self.take_back(worker);
        }
    }

    /// The clock ran on while nothing was read: nobody was silent for that.
    pub fn paused(&mut self, pause_ms: u64) {
        for controller in &mut self.controllers {
            controller.heard = controller.heard.map(|t| t + pause_ms);
        }
    }

    /// Time passes. `calm`: no loss is being dealt with, so workers may move for balance.
    /// Returns nodes that are held for down from now on.
    pub fn tick(&mut self, now: u64, calm: bool) -> Vec<u32> {
        let mut down = Vec::new();
        for n in 0..self.controllers.len() as u32 {
            let controller = &mut self.controllers[n as usize];
            let silent = controller
                .heard
                .is_none_or(|t| now.saturating_sub(t) > DOWN_MS);
            if n != self.me && controller.up && silent {
                controller.up = false;
                self.shares.lost(n);
                down.push(n);
            }
        }
        self.shares.tick(now);
        self.controllers.iter_mut().for_each(|n| n.load = 0);
        let mut all = 0;
        for (worker, by) in self.shares.shard_owners() {
            let seen = &self.workers[&worker];
            if by.is_some() || now.saturating_sub(seen.heard) < 2 * self.report_ms {
                self.controllers[by.unwrap_or(self.me) as usize].load += 1;
                all += 1;
            }
        }
        let weighted = weighted(&self.controllers, self.me);
        for (controller, bound) in self.controllers.iter_mut().zip(bounds(&weighted, all)) {
            controller.bound = bound;
        }
        if now >= self.next_second {
            self.next_second = now + 1000;
            self.moves = if calm {
                (all / MOVE_PART).max(MIN_MOVES)
            } else {
                0
            };
            self.balance(now);
        }
        down
    }

    /// Moves workers off those who have too many; the leader sends its own away as they report.
    fn balance(&mut self, now: u64) {
        let held: Vec<(u32, u32)> = self
            .shares
            .shard_owners()
            .filter_map(|(m, _)| Some((m, self.shard_owner(m)?)))
            .collect();
        for (worker, by) in held {
            if self.moves == 0 {
                return;
            }
            if let Some(to) = self.better(now, worker, by) {
                self.shares.want(worker, Some(to));
            }
        }
    }

    /// Workers that each node has, by its place; the leader's own are those that nobody has
    /// and that were heard lately.
    pub fn loads(&self) -> Vec<usize> {
        self.controllers.iter().map(|n| n.load).collect()
    }
}

fn weighted(controllers: &[PeerState], me: u32) -> Vec<ControllerInfo> {
    let controller = |(n, seen): (usize, &PeerState)| ControllerInfo {
        zone: seen.zone,
        weight: match seen.up {
            _ if n as u32 == me => LEADER_WEIGHT,
            true => 1.0,
            false => 0.0,
        },
    };
    controllers.iter().enumerate().map(controller).collect()
}
