#![doc = include_str!("../README.md")]

use std::collections::{BTreeMap, HashMap};

use copperfield_protocol::peer::{ForwardedHeartbeat, Outcome, ShardStatus, ShardUpdate};
use copperfield_protocol::worker::Heartbeat;
use copperfield_sharding::{HeartbeatDecision, ShardOwner};

/// The leader hears from a shard owner at least so often.
const EVERY_MS: u64 = 250;
/// News are gathered for so long: each message costs the leader as much as a report.
const NEWS_MS: u64 = 30;
/// A message without an answer for so long is followed by the next.
const LATE_MS: u64 = 300;
/// Of workers that are no more, so many names are of no account.
const NAMES: usize = 256;
/// Messages whose answers still count.
const OUT: usize = 4;
/// A worker waits 4 s for an answer; then it is better off elsewhere.
const HOLD_MS: u64 = 2500;
/// Well under what a body between controllers may have.
const BYTES: usize = copperfield_protocol::MAX_PEER_BODY as usize / 2;
const BYTES_PER_HEARTBEAT: usize = 128;
const BYTES_PER_TASK: usize = 24;

/// What goes back to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// 200 without an order, under this token.
    Answer { ticket: u64, token: u64 },
    /// 421 with this node, or with the leader.
    Away { ticket: u64, to: Option<u32> },
}

/// The last report of a worker that reports here.
struct BufferedHeartbeat {
    heartbeat: Heartbeat,
    came: u64,
    /// In which message the leader has it, or is about to.
    told_in: Option<u64>,
    /// It waits for an answer since it came.
    ticket: Option<u64>,
}

/// A message that was not answered yet.
struct InFlightStatus {
    number: u64,
    at: u64,
    outcomes: Vec<(u64, Outcome)>,
}

pub struct HeartbeatForwarder {
    me: u32,
    shard_owner: ShardOwner,
    /// The leader's number of each worker.
    numbers: HashMap<String, u32>,
    buffered: BTreeMap<String, BufferedHeartbeat>,
    /// The newest report of each worker that came here, as (session, counter).
    newest: HashMap<String, (u64, u64)>,
    /// How long a report is news to a leader that has not heard it.
    keep_ms: u64,
    outcomes: Vec<(u64, Outcome)>,
    out: Vec<InFlightStatus>,
    spoke_at: u64,
    /// Something waits that does not bear `EVERY_MS`.
    news: bool,
    /// There was more to tell than fits a message.
    more: bool,
}

fn order(heartbeat: &Heartbeat) -> (u64, u64) {
    (heartbeat.incarnation, heartbeat.counter)
}

fn bytes(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Executed(heartbeat) | Outcome::Rejected(Some(heartbeat)) => size(heartbeat),
        _ => 16,
    }
}

fn size(heartbeat: &Heartbeat) -> usize {
    BYTES_PER_HEARTBEAT + heartbeat.worker.len() + BYTES_PER_TASK * heartbeat.tasks.len()
}

impl HeartbeatForwarder {
    /// `me`: this node's place among all nodes; `process`: drawn anew by each relay, never 0;
    /// `report_s`: how often workers report.
    pub fn new(me: u32, process: u64, report_s: f64) -> Self {
        Self {
            me,
            shard_owner: ShardOwner::new(process),
            numbers: HashMap::new(),
            buffered: BTreeMap::new(),
            newest: HashMap::new(),
            keep_ms: (report_s * 1500.0) as u64 + 1000,
            outcomes: Vec::new(),
            out: Vec::new(),
            spoke_at: 0,
            news: false,
            more: false,
        }
    }

    /// The token under which workers may be answered, and until when.
    pub fn shard_lease(&self) -> (u64, u64) {
        (self.shard_owner.token(), self.shard_owner.valid_until())
    }

    /// A report has come in.
    pub fn heartbeat(&mut self, now: u64, ticket: u64, heartbeat: Heartbeat) -> Vec<Action> {
        let mut acts = Vec::new();
        let name = heartbeat.worker.clone();
        let newest = self.newest.entry(name.clone()).or_default();
        if order(&heartbeat) <= *newest {
            // A copy, or one that its worker has given up: nobody waits for the answer, and it
            // renews nothing.
            return vec![Action::Away { ticket, to: None }];
        }
        *newest = order(&heartbeat);
        let before = self.buffered.get_mut(&name);
        let waited = before.and_then(|k| k.ticket.take());
        acts.extend(waited.map(|ticket| Action::Away { ticket, to: None }));
        let before = self.buffered.get(&name).map(|k| &k.heartbeat);
        self.news |= before.is_none_or(|b| {
            let noticed = b.notice_s.is_some() == heartbeat.notice_s.is_some();
            b.tasks != heartbeat.tasks
                || b.incarnation != heartbeat.incarnation
                || b.token != heartbeat.token
                || !noticed
        });
        let buffered = BufferedHeartbeat {
            heartbeat,
            came: now,
            told_in: None,
            ticket: Some(ticket),
        };
        self.buffered.insert(name.clone(), buffered);
        let act = self.decide(now, &name);
        self.news |= act.is_none();
        acts.extend(act);
        acts
    }

    /// What a worker that waits is told, if it can be told now.
    fn decide(&mut self, now: u64, name: &str) -> Option<Action> {
        let buffered = self.buffered.get_mut(name)?;
        let ticket = buffered.ticket?;
        let number = self.numbers.get(name).copied();
        let decide = number.map_or(HeartbeatDecision::Unknown, |n| {
            self.shard_owner.decide(n, now)
        });
        let act = match decide {
            // It knows of a newer leader than this node does, and would drop the answer.
            HeartbeatDecision::Answer(token) if token < buffered.heartbeat.token => None,
            HeartbeatDecision::Answer(token) => self
                .shard_owner
                .record_answer(number?, buffered.came, now)
                .then_some(Action::Answer { ticket, token }),
            HeartbeatDecision::Redirect(to) if to != self.me => Some(Action::Away {
                ticket,
                to: Some(to),
            }),
            _ => None,
        };
        match act {
            Some(Action::Answer { .. }) => buffered.ticket = None,
            Some(Action::Away { .. }) => self.leave(name),
            None => {}
        }
        act
    }

    /// A worker is sent away; what the leader has not heard of it is still told.
    fn leave(&mut self, name: &str) {
        if let Some(buffered) = self.buffered.get_mut(name) {
            buffered.ticket = None;
            if buffered.told_in.is_some() {
                self.buffered.remove(name);
            }
        }
    }

    /// What became of a message that this node carried.
    pub fn relayed(&mut self, message_id: u64, outcome: Outcome) {
        self.outcomes.push((message_id, outcome));
        self.news = true;
    }

    /// Another leader is seen, or the same anew: it knows nothing of what was told.
    pub fn new_leader(&mut self) {
        self.buffered.values_mut().for_each(|k| k.told_in = None);
        // Of messages that another leader had sent.
        self.outcomes.clear();
        self.out.clear();
        self.news = true;
    }

    /// Time passes.
    pub fn tick(&mut self, now: u64) -> Vec<Action> {
        let keep_ms = self.keep_ms;
        let mut acts = Vec::new();
        self.buffered.retain(|_, buffered| {
            if now - buffered.came >= HOLD_MS
                && let Some(ticket) = buffered.ticket.take()
            {
                acts.push(Action::Away { ticket, to: None });
            }
            now - buffered.came < keep_ms
        });
        if self.newest.len() > 2 * (self.numbers.len() + self.buffered.len()) + NAMES {
            let (numbers, buffered) = (&self.numbers, &self.buffered);
            self.newest
                .retain(|name, _| numbers.contains_key(name) || buffered.contains_key(name));
        }
        acts
    }

    /// What the leader is told now, if it is time. Its answer goes to [`Self::granted`], the
    /// lack of one to [`Self::lost`].
    pub fn upward(&mut self, now: u64) -> Option<ShardStatus> {
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
        let owner_status = self.shard_owner.next_status(now, OUT);
        let number = owner_status.number;
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
        let mut forwarded = Vec::new();
        // Workers that wait first, and every time: the leader need not remember who does.
        for waits in [true, false] {
            let alike = self.buffered.values_mut();
            for buffered in alike.filter(|k| k.ticket.is_some() == waits) {
                if buffered.told_in.is_some() && !waits {
                    continue;
                }
                if !fits(size(&buffered.heartbeat)) {
                    break;
                }
                buffered.told_in = Some(number);
                forwarded.push(ForwardedHeartbeat {
                    heartbeat: buffered.heartbeat.clone(),
                    age_ms: now - buffered.came,
                    waits,
                });
            }
        }
        self.news = false;
        self.more = !all;
        self.out.push(InFlightStatus {
            number,
            at: now,
            outcomes: outcomes.clone(),
        });
        if self.out.len() > OUT {
            let oldest = self.out[0].number;
            self.lost(oldest);
        }
        Some(ShardStatus {
            from: self.me,
            owner_status,
            forwarded,
            outcomes,
            all,
        })
    }

    /// The leader's answer. What waits for it is told now.
    pub fn granted(&mut self, now: u64, down: &ShardUpdate) -> Vec<Action> {
        let number = down.shard_lease.number;
        let Some(at) = self.out.iter().position(|o| o.number == number) else {
            return Vec::new();
        };
        self.out.remove(at);
        if down.shard_lease.token > self.shard_owner.token() {
            // Numbers are a leader's own. It has heard what this message told, and no more.
            self.numbers.clear();
            for buffered in self.buffered.values_mut() {
                buffered.told_in = buffered.told_in.filter(|forwarded| *forwarded >= number);
            }
            self.news = true;
        }
        for (number, name) in &down.names {
            self.numbers.insert(name.clone(), *number);
        }
        self.shard_owner.handle_lease(&down.shard_lease);
        let mut acts = Vec::new();
        for (name, to) in &down.redirects {
            if let Some(ticket) = self.buffered.get_mut(name).and_then(|k| k.ticket.take()) {
                let to = Some(*to);
                acts.push(Action::Away { ticket, to });
                self.leave(name);
            }
        }
        let waiting = self.buffered.iter().filter(|(_, k)| k.ticket.is_some());
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
        for buffered in self.buffered.values_mut() {
            if buffered.told_in == Some(number) {
                buffered.told_in = None;
                self.news = true;
            }
        }
    }

    /// This node leads now: what it has heard, and with which ticket those are that wait.
    pub fn end(self, now: u64) -> Vec<(ForwardedHeartbeat, Option<u64>)> {
        let heard = |k: BufferedHeartbeat| {
            let forwarded = ForwardedHeartbeat {
                age_ms: now - k.came,
                waits: false,
                heartbeat: k.heartbeat,
            };
            (forwarded, k.ticket)
        };
        self.buffered.into_values().map(heard).collect()
    }
}
