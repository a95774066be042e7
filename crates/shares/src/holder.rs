//! A controller that speaks with some of the machines for the leader.

use std::collections::BTreeMap;

use crate::message::{Change, Grant, Left, Statement};

/// What a machine that reports here is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word {
    /// Answered, under this token.
    Answer(u64),
    /// Another node has it: 421 with its name.
    Elsewhere(u32),
    /// This node has it and no grant now: the report waits a moment.
    Wait,
    /// Nobody here knows: 421.
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
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
    /// When each machine of the share was last answered, by when its report came in.
    share: BTreeMap<u32, Option<u64>>,
    /// Given up, and not acknowledged: the change, the last answer, the first statement with it.
    left: BTreeMap<u32, (u64, Option<u64>, u64)>,
    elsewhere: BTreeMap<u32, u32>,
}

impl Holder {
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
            elsewhere: BTreeMap::new(),
        }
    }

    /// Asks for a grant. At most `most` may be without an answer; the oldest is given up.
    pub fn state(&mut self, now: u64, most: usize) -> Statement {
        self.number += 1;
        self.out.push((self.number, now));
        if self.out.len() > most {
            self.out.remove(0);
        }
        let age = |at: u64| now.saturating_sub(at);
        let left = self.left.iter().map(|(&machine, &(version, at, _))| Left {
            machine,
            version,
            answered: at.map(age),
        });
        Statement {
            process: self.process,
            number: self.number,
            token: self.token,
            version: self.version,
            left: left.collect(),
        }
    }

    /// An answer to a statement has come. One that was overtaken proves nothing new.
    pub fn granted(&mut self, grant: &Grant) {
        let known = self.out.iter().find(|(n, _)| *n == grant.number);
        let Some(&(number, asked)) = known.filter(|_| grant.process == self.process) else {
            return;
        };
        if grant.token < self.token {
            return;
        }
        if grant.token > self.token {
            // Of another leader: what the one before gave is void. It counts all machines as
            // answered until then.
            self.token = grant.token;
            self.version = 0;
            self.until = 0;
            self.give_all_up();
        } else if number <= self.answered_to {
            return;
        }
        if self.version < grant.base {
            self.version = grant.base;
            self.give_all_up();
        }
        self.answered_to = number;
        self.out.retain(|(n, _)| *n > number);
        self.until = self.until.max(asked + grant.for_ms);
        self.left.retain(|_, (_, _, since)| *since > number);
        for &(version, change) in &grant.changes {
            if version <= self.version {
                continue;
            }
            self.version = version;
            match change {
                Change::Take(machine) => {
                    self.elsewhere.remove(&machine);
                    self.left.remove(&machine);
                    self.share.entry(machine).or_insert(None);
                }
                Change::Leave(machine, to) => {
                    let at = self.share.remove(&machine).flatten();
                    self.left.insert(machine, (version, at, self.number + 1));
                    if let Some(to) = to {
                        self.elsewhere.insert(machine, to);
                    }
                }
            }
        }
    }

    fn give_all_up(&mut self) {
        self.share.clear();
        self.left.clear();
        self.elsewhere.clear();
    }

    /// Of the leader that gave the share, 0 for none yet.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Until when this node may answer its machines.
    pub fn valid_until(&self) -> u64 {
        self.until
    }

    /// What a machine that reports now is told.
    pub fn word(&self, machine: u32, now: u64) -> Word {
        match (
            self.share.contains_key(&machine),
            self.elsewhere.get(&machine),
        ) {
            (true, _) if now < self.until => Word::Answer(self.token),
            (true, _) => Word::Wait,
            (false, Some(&node)) => Word::Elsewhere(node),
            (false, None) => Word::Unknown,
        }
    }

    /// A report that came in at `came` is about to be answered. False if that may not be any
    /// more: the process may have stood still since it was read.
    pub fn answers(&mut self, machine: u32, came: u64, now: u64) -> bool {
        let may = now < self.until;
        if let Some(at) = self.share.get_mut(&machine).filter(|_| may) {
            *at = (*at).max(Some(came));
            return true;
        }
        false
    }
}
