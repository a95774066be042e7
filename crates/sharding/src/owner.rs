//! A controller that speaks with some of the workers for the leader.

use std::collections::BTreeMap;

use crate::message::{Change, OwnerStatus, ReleasedWorker, ShardLease};

/// What a worker that reports here is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatDecision {
    /// Answered, under this token.
    Answer(u64),
    /// Another node has it: 421 with its name.
    Redirect(u32),
    /// This node has it and no grant now: the report waits a moment.
    Wait,
    /// Nobody here knows: 421.
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ShardOwner {
    process: u64,
    /// Of the last statement.
    number: u64,
    /// When each statement that is not answered yet was made, the oldest first.
    out: Vec<(u64, u64)>,
    /// Statements up to this one have been answered, or have been overtaken.
    answered_to: u64,
    token: u64,
    version: u64,
    until: u64,
    /// When each worker of the share was last answered, by when its report came in.
    share: BTreeMap<u32, Option<u64>>,
    /// Given up, and not acknowledged: the change, the last answer, the first statement with it.
    left: BTreeMap<u32, (u64, Option<u64>, u64)>,
    redirects: BTreeMap<u32, u32>,
}

impl ShardOwner {
    /// `process`: drawn anew by each process, never 0.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            number: 0,
            out: Vec::new(),
            answered_to: 0,
            token: 0,
            version: 0,
            until: 0,
            share: BTreeMap::new(),
            left: BTreeMap::new(),
            redirects: BTreeMap::new(),
        }
    }

    /// Asks for a grant. At most `limit` may be without an answer; the oldest is given up.
    pub fn state(&mut self, now: u64, limit: usize) -> OwnerStatus {
        self.number += 1;
        self.out.push((self.number, now));
        if self.out.len() > limit {
            self.out.remove(0);
        }
        let age = |at: u64| now.saturating_sub(at);
        let left = self
            .left
            .iter()
            .map(|(&worker, &(version, at, _))| ReleasedWorker {
                worker,
                version,
                answered: at.map(age),
            });
        OwnerStatus {
            process: self.process,
            number: self.number,
            token: self.token,
            version: self.version,
            left: left.collect(),
        }
    }

    /// An answer to a statement has come. One that was overtaken proves nothing new.
    pub fn granted(&mut self, shard_lease: &ShardLease) {
        let known = self.out.iter().find(|(n, _)| *n == shard_lease.number);
        let Some(&(number, asked)) = known.filter(|_| shard_lease.process == self.process) else {
            return;
        };
        if shard_lease.token < self.token {
            return;
        }
        if shard_lease.token > self.token {
            // Of another leader: what the one before gave is void. It counts all workers as
            // answered until then.
            self.token = shard_lease.token;
            self.version = 0;
            self.until = 0;
            self.give_all_up();
        } else if number <= self.answered_to {
            return;
        }
        if self.version < shard_lease.base {
            self.version = shard_lease.base;
            self.give_all_up();
        }
        self.answered_to = number;
        self.out.retain(|(n, _)| *n > number);
        self.until = self.until.max(asked + shard_lease.for_ms);
        self.left.retain(|_, (_, _, since)| *since > number);
        for &(version, change) in &shard_lease.changes {
            if version <= self.version {
                continue;
            }
            self.version = version;
            match change {
                Change::Assign(worker) => {
                    self.redirects.remove(&worker);
                    self.left.remove(&worker);
                    self.share.entry(worker).or_insert(None);
                }
                Change::Release(worker, to) => {
                    let at = self.share.remove(&worker).flatten();
                    self.left.insert(worker, (version, at, self.number + 1));
                    if let Some(to) = to {
                        self.redirects.insert(worker, to);
                    }
                }
            }
        }
    }

    fn give_all_up(&mut self) {
        self.share.clear();
        self.left.clear();
        self.redirects.clear();
    }

    /// Of the leader that gave the share, 0 for none yet.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Until when this node may answer its workers.
    pub fn valid_until(&self) -> u64 {
        self.until
    }

    /// What a worker that reports now is told.
    pub fn decide(&self, worker: u32, now: u64) -> HeartbeatDecision {
        match (
            self.share.contains_key(&worker),
            self.redirects.get(&worker),
        ) {
            (true, _) if now < self.until => HeartbeatDecision::Answer(self.token),
            (true, _) => HeartbeatDecision::Wait,
            (false, Some(&controller)) => HeartbeatDecision::Redirect(controller),
            (false, None) => HeartbeatDecision::Unknown,
        }
    }

    /// A report that came in at `came` is about to be answered. False if that may not be any
    /// more: the process may have stood still since it was read.
    pub fn answers(&mut self, worker: u32, came: u64, now: u64) -> bool {
        let may = now < self.until;
        if let Some(at) = self.share.get_mut(&worker).filter(|_| may) {
            *at = (*at).max(Some(came));
            return true;
        }
        false
    }
}
