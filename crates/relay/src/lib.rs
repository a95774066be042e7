#![doc = include_str!("../README.md")]

use std::collections::{BTreeMap, HashMap};

use copperfield_protocol::peer::{Downward, Outcome, Told, Upward};
use copperfield_protocol::worker::Report;
use copperfield_shares::{Holder, Word};

/// The leader hears from a holder at least so often.
const EVERY_MS: u64 = 250;
/// News are gathered for so long: each message costs the leader as much as a report.
const NEWS_MS: u64 = 30;
/// A message without an answer for so long is followed by the next.
const LATE_MS: u64 = 300;
/// Of machines that are no more, so many names are of no account.
const NAMES: usize = 256;
/// Messages whose answers still count.
const OUT: usize = 4;
/// A worker waits 4 s for an answer; then it is better off elsewhere.
const HOLD_MS: u64 = 2500;
/// Well under what a body between controllers may have.
const BYTES: usize = copperfield_protocol::MAX_PEER_BODY as usize / 2;
const BYTES_PER_REPORT: usize = 128;
const BYTES_PER_TASK: usize = 24;

/// What goes back to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Act {
    /// 200 without an order, under this token.
    Answer { ticket: u64, token: u64 },
    /// 421 with this node, or with the leader.
    Away { ticket: u64, to: Option<u32> },
}

/// The last report of a machine that reports here.
struct Kept {
    report: Report,
    came: u64,
    /// In which message the leader has it, or is about to.
    told_in: Option<u64>,
    /// It waits for an answer since it came.
    ticket: Option<u64>,
}

/// A message that was not answered yet.
struct Out {
    number: u64,
    at: u64,
    outcomes: Vec<(u64, Outcome)>,
}

pub struct Relay {
    me: u32,
    holder: Holder,
    /// The leader's number of each machine.
    numbers: HashMap<String, u32>,
    kept: BTreeMap<String, Kept>,
    /// The newest report of each machine that came here, as (session, counter).
    newest: HashMap<String, (u64, u64)>,
    /// How long a report is news to a leader that has not heard it.
    keep_ms: u64,
    outcomes: Vec<(u64, Outcome)>,
    out: Vec<Out>,
    spoke_at: u64,
    /// Something waits that does not bear `EVERY_MS`.
    news: bool,
    /// There was more to tell than fits a message.
    more: bool,
}

fn order(report: &Report) -> (u64, u64) {
    (report.session, report.counter)
}

fn bytes(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Executed(report) | Outcome::Rejected(Some(report)) => size(report),
        _ => 16,
    }
}

fn size(report: &Report) -> usize {
    BYTES_PER_REPORT + report.machine.len() + BYTES_PER_TASK * report.tasks.len()
}

impl Relay {
    /// `me`: this node's place among all nodes; `process`: drawn anew by each relay, never 0;
    /// `report_s`: how often machines report.
    pub fn new(me: u32, process: u64, report_s: f64) -> Self {
        Self {
            me,
            holder: Holder::new(process),
            numbers: HashMap::new(),
            kept: BTreeMap::new(),
            newest: HashMap::new(),
            keep_ms: (report_s * 1500.0) as u64 + 1000,
            outcomes: Vec::new(),
            out: Vec::new(),
            spoke_at: 0,
            news: false,
            more: false,
        }
    }

    /// The token under which machines may be answered, and until when.
    pub fn grant(&self) -> (u64, u64) {
        (self.holder.token(), self.holder.valid_until())
    }

    /// A report has come in.
    pub fn hello(&mut self, now: u64, ticket: u64, report: Report) -> Vec<Act> {
        let mut acts = Vec::new();
        let name = report.machine.clone();
        let newest = self.newest.entry(name.clone()).or_default();
        if order(&report) <= *newest {
            // A copy, or one that its machine has given up: nobody waits for the answer, and it
            // renews nothing.
            return vec![Act::Away { ticket, to: None }];
        }
        *newest = order(&report);
        let before = self.kept.get_mut(&name);
        let waited = before.and_then(|k| k.ticket.take());
        acts.extend(waited.map(|ticket| Act::Away { ticket, to: None }));
        let before = self.kept.get(&name).map(|k| &k.report);
        self.news |= before.is_none_or(|b| {
            let noticed = b.notice_s.is_some() == report.notice_s.is_some();
            b.tasks != report.tasks
                || b.session != report.session
                || b.token != report.token
                || !noticed
        });
        let kept = Kept {
            report,
            came: now,
            told_in: None,
            ticket: Some(ticket),
        };
        self.kept.insert(name.clone(), kept);
        let act = self.decide(now, &name);
        self.news |= act.is_none();
        acts.extend(act);
        acts
    }

    /// What a machine that waits is told, if it can be told now.
    fn decide(&mut self, now: u64, name: &str) -> Option<Act> {
        let kept = self.kept.get_mut(name)?;
        let ticket = kept.ticket?;
        let number = self.numbers.get(name).copied();
        let word = number.map_or(Word::Unknown, |n| self.holder.word(n, now));
        let act = match word {
            // It knows of a newer leader than this node does, and would drop the answer.
            Word::Answer(token) if token < kept.report.token => None,
            Word::Answer(token) => self
                .holder
                .answers(number?, kept.came, now)
                .then_some(Act::Answer { ticket, token }),
            Word::Elsewhere(to) if to != self.me => Some(Act::Away {
                ticket,
                to: Some(to),
            }),
            _ => None,
        };
        match act {
            Some(Act::Answer { .. }) => kept.ticket = None,
            Some(Act::Away { .. }) => self.leave(name),
            None => {}
        }
        act
    }

    /// A machine is sent away; what the leader has not heard of it is still told.
    fn leave(&mut self, name: &str) {
        if let Some(kept) = self.kept.get_mut(name) {
            kept.ticket = None;
            if kept.told_in.is_some() {
                self.kept.remove(name);
            }
        }
    }

    /// What became of a message that this node carried.
    pub fn carried(&mut self, flight: u64, outcome: Outcome) {
        self.outcomes.push((flight, outcome));
        self.news = true;
    }

    /// Another leader is seen, or the same anew: it knows nothing of what was told.
    pub fn new_leader(&mut self) {
        self.kept.values_mut().for_each(|k| k.told_in = None);
        // Of messages that another leader had sent.
        self.outcomes.clear();
        self.out.clear();
        self.news = true;
    }

    /// Time passes.
    pub fn tick(&mut self, now: u64) -> Vec<Act> {
        let keep_ms = self.keep_ms;
        let mut acts = Vec::new();
        self.kept.retain(|_, kept| {
            if now - kept.came >= HOLD_MS
                && let Some(ticket) = kept.ticket.take()
            {
                acts.push(Act::Away { ticket, to: None });
            }
            now - kept.came < keep_ms
        });
        if self.newest.len() > 2 * (self.numbers.len() + self.kept.len()) + NAMES {
            let (numbers, kept) = (&self.numbers, &self.kept);
            self.newest
                .retain(|name, _| numbers.contains_key(name) || kept.contains_key(name));
        }
        acts
    }

    /// What the leader is told now, if it is time. Its answer goes to [`Self::granted`], the
    /// lack of one to [`Self::lost`].
    pub fn upward(&mut self, now: u64) -> Option<Upward> {
        if self.out.iter().any(|o| now - o.at < LATE_MS) {
            return None;
        }
        let pause = match (self.more, self.news) {
            (true, _) => 0,
            (_, true) => NEWS_MS,
            _ => EVERY_MS,
        };
        if now - self.spoke_at < pause {
            return None;
        }
        self.spoke_at = now;
        let statement = self.holder.state(now, OUT);
        let number = statement.number;
        let mut room = BYTES;
        let mut all = true;
        let mut fits = |bytes: usize| {
            let fits = bytes <= room;
            room = room.saturating_sub(bytes);
            all &= fits;
            fits
        };
        let split = self.outcomes.iter().position(|(_, o)| !fits(bytes(o)));
        let later = self
            .outcomes
            .split_off(split.unwrap_or(self.outcomes.len()));
        let outcomes = std::mem::replace(&mut self.outcomes, later);
        let mut told = Vec::new();
        // Machines that wait first, and every time: the leader need not remember who does.
        for waits in [true, false] {
            let alike = self.kept.values_mut();
            for kept in alike.filter(|k| k.ticket.is_some() == waits) {
                if kept.told_in.is_some() && !waits {
                    continue;
                }
                if !fits(size(&kept.report)) {
                    break;
                }
                kept.told_in = Some(number);
                told.push(Told {
                    report: kept.report.clone(),
                    age_ms: now - kept.came,
                    waits,
                });
            }
        }
        self.news = false;
        self.more = !all;
        self.out.push(Out {
            number,
            at: now,
            outcomes: outcomes.clone(),
        });
        if self.out.len() > OUT {
            let oldest = self.out[0].number;
            self.lost(oldest);
        }
        Some(Upward {
            from: self.me,
            statement,
            told,
            outcomes,
            all,
        })
    }

    /// The leader's answer. What waits for it is told now.
    pub fn granted(&mut self, now: u64, down: &Downward) -> Vec<Act> {
        let number = down.grant.number;
        let Some(at) = self.out.iter().position(|o| o.number == number) else {
            return Vec::new();
        };
        self.out.remove(at);
        if down.grant.token > self.holder.token() {
            // Numbers are a leader's own. It has heard what this message told, and no more.
            self.numbers.clear();
            for kept in self.kept.values_mut() {
                kept.told_in = kept.told_in.filter(|told| *told >= number);
            }
            self.news = true;
        }
        for (number, name) in &down.names {
            self.numbers.insert(name.clone(), *number);
        }
        self.holder.granted(&down.grant);
        let mut acts = Vec::new();
        for (name, to) in &down.elsewhere {
            if let Some(ticket) = self.kept.get_mut(name).and_then(|k| k.ticket.take()) {
                let to = Some(*to);
                acts.push(Act::Away { ticket, to });
                self.leave(name);
            }
        }
        let waiting = self.kept.iter().filter(|(_, k)| k.ticket.is_some());
        let waiting: Vec<String> = waiting.map(|(name, _)| name.clone()).collect();
        acts.extend(waiting.iter().filter_map(|name| self.decide(now, name)));
        acts
    }

    /// No answer came: what the message told is told again.
    pub fn lost(&mut self, number: u64) {
        let Some(at) = self.out.iter().position(|o| o.number == number) else {
            return;
        };
        let out = self.out.remove(at);
        self.outcomes.splice(0..0, out.outcomes);
        for kept in self.kept.values_mut() {
            if kept.told_in == Some(number) {
                kept.told_in = None;
                self.news = true;
            }
        }
    }

    /// This node leads now: what it has heard, and with which ticket those are that wait.
    pub fn end(self, now: u64) -> Vec<(Told, Option<u64>)> {
        let heard = |k: Kept| {
            let told = Told {
                age_ms: now - k.came,
                waits: false,
                report: k.report,
            };
            (told, k.ticket)
        };
        self.kept.into_values().map(heard).collect()
    }
}
