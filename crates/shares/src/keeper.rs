//! The leader's choice of who has which machine.
//!
//! A machine is held where it reports: whoever it can reach is no question of this node's. What
//! is left to decide is who has too many, and where a machine that may move is sent.

use std::collections::BTreeMap;

use crate::assign::{Node, bounds, ranking};
use crate::leader::{Place, Shares};
use crate::message::{Change, Grant, Statement};

/// A node that said nothing for so long is down, or cannot reach this one.
const DOWN_MS: u64 = 1500;
/// A leader has its own work besides.
const LEADER_WEIGHT: f64 = 0.5;
/// The same machine is not sent elsewhere again within.
const AGAIN_MS: u64 = 60_000;
/// A node that could not carry messages gets none for so long.
const REFUSED_MS: u64 = 3000;
/// A machine that was taken back since orders did not reach it stays for so long.
const STAYS_MS: u64 = 8000;
/// So many messages in a row that a machine does not answer though it reports.
const UNANSWERED: u32 = 2;
/// In a second this part of the machines moves for balance, and no fewer than these.
const MOVE_PART: usize = 50;
const LEAST_MOVES: usize = 4;

/// What a machine that reports somewhere is told there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Where {
    /// It is answered there, at once or once the node knows it.
    Here,
    Elsewhere(u32),
    /// Somebody else may still answer it, or its silence is on record.
    Wait,
}

/// Who may have a machine now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum May {
    Anybody,
    /// Its silence is on record, or is being put there.
    Nobody,
    /// Only the leader itself.
    Leader,
}

#[derive(Debug, Clone, Copy)]
struct Machine {
    zone: u32,
    /// When it last reported.
    heard: u64,
    /// When it was last sent elsewhere for balance.
    moved: Option<u64>,
    unanswered: u32,
    stays_until: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Seen {
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

pub struct Keeper {
    me: u32,
    report_ms: u64,
    shares: Shares,
    machines: BTreeMap<u32, Machine>,
    nodes: Vec<Seen>,
    /// Moves for balance that are left in this second.
    moves: usize,
    next_second: u64,
}

impl Keeper {
    /// Of a leader with this token, the node at place `me`; `zones`: of all nodes; `report_ms`:
    /// how often machines report.
    pub fn new(token: u64, me: u32, zones: &[u32], report_ms: u64) -> Self {
        let seen = |&zone: &u32| Seen {
            zone,
            ..Seen::default()
        };
        Self {
            me,
            report_ms,
            shares: Shares::new(token, zones.len()),
            machines: BTreeMap::new(),
            nodes: zones.iter().map(seen).collect(),
            moves: 0,
            next_second: 0,
        }
    }

    /// Whether there is such a node, which is not the leader itself.
    pub fn knows(&self, node: u32) -> bool {
        node != self.me && (node as usize) < self.nodes.len()
    }

    /// See [`Shares::add`].
    pub fn add(&mut self, machine: u32, zone: u32, answered: u64) {
        self.shares.add(machine, answered);
        self.machines.insert(
            machine,
            Machine {
                zone,
                heard: 0,
                moved: None,
                unanswered: 0,
                stays_until: 0,
            },
        );
    }

    /// See [`Shares::remove`].
    pub fn remove(&mut self, machine: u32) {
        self.shares.remove(machine);
        self.machines.remove(&machine);
    }

    /// See [`Shares::unanswered_since`].
    pub fn unanswered_since(&self, machine: u32) -> Option<u64> {
        self.shares.unanswered_since(machine)
    }

    /// Who has a machine, if it is not the leader's own.
    pub fn holder(&self, machine: u32) -> Option<u32> {
        match self.shares.place(machine)? {
            Place::Held { by, .. } => Some(by),
            _ => None,
        }
    }

    /// Through whom a machine is written to, if not by the leader itself.
    pub fn carrier(&self, machine: u32, now: u64) -> Option<u32> {
        let by = self.holder(machine)?;
        self.carries(by, now).then_some(by)
    }

    fn carries(&self, node: u32, now: u64) -> bool {
        let seen = &self.nodes[node as usize];
        seen.up && seen.granted && now >= seen.refused_until
    }

    /// The nodes that carry messages.
    fn helpers(&self, now: u64) -> Vec<u32> {
        let all = 0..self.nodes.len() as u32;
        all.filter(|n| self.carries(*n, now)).collect()
    }

    /// Who may write to a machine that nobody has: by turns one of the nodes that carry
    /// messages, or the leader itself (`None`).
    pub fn helper(&self, machine: u32, now: u64) -> Option<u32> {
        let helpers = self.helpers(now);
        helpers.get(machine as usize % (helpers.len() + 1)).copied()
    }

    /// Another node that carries messages to a machine which this one does not reach.
    pub fn any_helper(&self, machine: u32, now: u64) -> Option<u32> {
        let helpers = self.helpers(now);
        (!helpers.is_empty()).then(|| helpers[machine as usize % helpers.len()])
    }

    /// A node could not be given messages.
    pub fn cannot_carry(&mut self, node: u32, now: u64) {
        self.nodes[node as usize].refused_until = now + REFUSED_MS;
    }

    /// Whether every other node has told all that it heard, so that a new leader need not ask
    /// those machines where they are.
    pub fn heard_all(&self) -> bool {
        let others = self.nodes.iter().enumerate();
        let mut others = others.filter(|(n, _)| *n as u32 != self.me);
        others.all(|(_, node)| node.told_all)
    }

    /// A holder has spoken; [`Shares::take`]. `all`: it has told all that it heard.
    pub fn spoke(
        &mut self,
        now: u64,
        from: u32,
        said: &Statement,
        all: bool,
        valid_for: u64,
    ) -> Option<Grant> {
        let node = &mut self.nodes[from as usize];
        node.up = true;
        node.told_all |= all;
        node.granted = self.shares.token() == said.token;
        node.heard = Some(now);
        self.shares.take(now, from, said, valid_for)
    }

    /// See [`Shares::changes`].
    pub fn changes(&self, node: u32) -> Vec<(u64, Change)> {
        self.shares.changes(node)
    }

    /// Whom a node is told to take, of the changes in a grant.
    pub fn taken(grant: &Grant) -> impl Iterator<Item = u32> {
        grant.changes.iter().filter_map(|(_, change)| match change {
            Change::Take(machine) => Some(*machine),
            Change::Leave(..) => None,
        })
    }

    /// A machine has reported to a node. `waits`: for an answer, there and now.
    pub fn reported(&mut self, now: u64, machine: u32, at: u32, may: May, waits: bool) -> Where {
        let Some(place) = self.shares.place(machine) else {
            return Where::Wait;
        };
        let seen = self.machines.get_mut(&machine).expect("as in shares");
        seen.heard = now;
        let may = match may {
            May::Anybody if now < seen.stays_until => May::Leader,
            may => may,
        };
        match place {
            Place::Held { by, .. } if by == at && may == May::Anybody => Where::Here,
            // News of somebody who had it.
            Place::Held { .. } | Place::Leaving { .. } if !waits => Where::Wait,
            Place::Held { .. } | Place::Leaving { .. } => {
                let to = (may == May::Anybody && at != self.me).then_some(at);
                self.shares.want(machine, to);
                Where::Wait
            }
            Place::Nobody { .. } if may == May::Nobody => Where::Wait,
            Place::Nobody { .. } if may == May::Leader && at != self.me => {
                Where::Elsewhere(self.me)
            }
            Place::Nobody { .. } if may == May::Leader => Where::Here,
            Place::Nobody { .. } => {
                if let Some(to) = self.better(now, machine, at) {
                    return Where::Elsewhere(to);
                }
                if at != self.me {
                    self.shares.want(machine, Some(at));
                    self.nodes[at as usize].load += 1;
                }
                Where::Here
            }
        }
    }

    /// Where a machine should rather report, if a move may be spent on it.
    fn better(&mut self, now: u64, machine: u32, at: u32) -> Option<u32> {
        let from = self.nodes[at as usize];
        let seen = self.machines.get_mut(&machine)?;
        let (over, far) = (from.load > from.bound, from.zone != seen.zone);
        if self.moves == 0 || !(over || far) || seen.moved.is_some_and(|t| now - t < AGAIN_MS) {
            return None;
        }
        let zone = seen.zone;
        // The leader gets none so: it has those that come to it. What is not too much for its
        // node only goes to one of its own zone, with which it would fall anyway.
        let room = |n: &usize| {
            let node = &self.nodes[*n];
            *n as u32 != self.me && node.load < node.bound && (over || node.zone == zone)
        };
        if !(0..self.nodes.len()).any(|n| room(&n)) {
            return None;
        }
        let nodes = weighted(&self.nodes, self.me);
        let to = ranking(&nodes, machine, zone).into_iter().find(room)?;
        seen.moved = Some(now);
        self.moves -= 1;
        self.nodes[to].load += 1;
        let from = &mut self.nodes[at as usize];
        from.load = from.load.saturating_sub(1);
        Some(to as u32)
    }

    /// A machine is to be answered by nobody but the leader: it is late, or about to be put on
    /// the record of silent ones.
    pub fn take_back(&mut self, machine: u32) {
        // Nor by whoever was to have it next.
        self.shares.want(machine, None);
    }

    /// A machine has answered a message, or has not.
    pub fn answered(&mut self, now: u64, machine: u32, answered: bool) {
        let Some(seen) = self.machines.get_mut(&machine) else {
            return;
        };
        seen.unanswered = if answered { 0 } else { seen.unanswered + 1 };
        // It reports, but orders do not reach it: with the leader's own answers they will.
        let heard = now - seen.heard < 2 * self.report_ms;
        if seen.unanswered >= UNANSWERED && heard && self.holder(machine).is_some() {
            let seen = self.machines.get_mut(&machine).expect("looked at");
            seen.unanswered = 0;
            seen.stays_until = now + STAYS_MS;
            self.take_back(machine);
        }
    }

    /// The clock ran on while nothing was read: nobody was silent for that.
    pub fn paused(&mut self, pause_ms: u64) {
        for node in &mut self.nodes {
            node.heard = node.heard.map(|t| t + pause_ms);
        }
    }

    /// Time passes. `calm`: no loss is being dealt with, so machines may move for balance.
    /// Returns nodes that are held for down from now on.
    pub fn tick(&mut self, now: u64, calm: bool) -> Vec<u32> {
        let mut down = Vec::new();
        for n in 0..self.nodes.len() as u32 {
            let node = &mut self.nodes[n as usize];
            let silent = node.heard.is_none_or(|t| now.saturating_sub(t) > DOWN_MS);
            if n != self.me && node.up && silent {
                node.up = false;
                self.shares.lost(n);
                down.push(n);
            }
        }
        self.shares.tick(now);
        self.nodes.iter_mut().for_each(|n| n.load = 0);
        let mut all = 0;
        for (machine, by) in self.shares.holders() {
            let seen = &self.machines[&machine];
            if by.is_some() || now.saturating_sub(seen.heard) < 2 * self.report_ms {
                self.nodes[by.unwrap_or(self.me) as usize].load += 1;
                all += 1;
            }
        }
        let weighted = weighted(&self.nodes, self.me);
        for (node, bound) in self.nodes.iter_mut().zip(bounds(&weighted, all)) {
            node.bound = bound;
        }
        if now >= self.next_second {
            self.next_second = now + 1000;
            self.moves = if calm {
                (all / MOVE_PART).max(LEAST_MOVES)
            } else {
                0
            };
            self.balance(now);
        }
        down
    }

    /// Moves machines off those who have too many; the leader sends its own away as they report.
    fn balance(&mut self, now: u64) {
        let held: Vec<(u32, u32)> = self
            .shares
            .holders()
            .filter_map(|(m, _)| Some((m, self.holder(m)?)))
            .collect();
        for (machine, by) in held {
            if self.moves == 0 {
                return;
            }
            if let Some(to) = self.better(now, machine, by) {
                self.shares.want(machine, Some(to));
            }
        }
    }

    /// Machines that each node has, by its place; the leader's own are those that nobody has
    /// and that were heard lately.
    pub fn loads(&self) -> Vec<usize> {
        self.nodes.iter().map(|n| n.load).collect()
    }
}

fn weighted(nodes: &[Seen], me: u32) -> Vec<Node> {
    let node = |(n, seen): (usize, &Seen)| Node {
        zone: seen.zone,
        weight: match seen.up {
            _ if n as u32 == me => LEADER_WEIGHT,
            true => 1.0,
            false => 0.0,
        },
    };
    nodes.iter().enumerate().map(node).collect()
}
