//! The last heartbeat of each worker that reports to this controller.

use std::collections::{BTreeMap, HashMap};

use copperfield_protocol::peer::ForwardedHeartbeat;
use copperfield_protocol::worker::Heartbeat;

use crate::answers::Action;
use crate::status::BodyBudget;

/// A worker waits 4 s for an answer; before that it is redirected to the leader.
const MAX_WAIT_MS: u64 = 2500;
/// Sequences of so many workers that are gone are kept without harm.
const MAX_STALE_SEQUENCES: usize = 256;

/// Orders the heartbeats of a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Sequence {
    incarnation: u64,
    counter: u64,
}

impl Sequence {
    fn of(heartbeat: &Heartbeat) -> Self {
        Self {
            incarnation: heartbeat.incarnation,
            counter: heartbeat.counter,
        }
    }
}

struct BufferedHeartbeat {
    heartbeat: Heartbeat,
    received_at: u64,
    /// The number of the status that forwards it to the leader, once one does.
    forwarded_in: Option<u64>,
    /// Its worker waits for an answer under this ticket.
    ticket: Option<u64>,
}

impl BufferedHeartbeat {
    fn forward(&self, now: u64, awaits_reply: bool) -> ForwardedHeartbeat {
        ForwardedHeartbeat {
            heartbeat: self.heartbeat.clone(),
            age_ms: now - self.received_at,
            awaits_reply,
        }
    }
}

/// A heartbeat that was put into the buffer.
pub(crate) struct Insertion {
    /// The ticket of the worker's last heartbeat, if that still waited.
    pub(crate) superseded_ticket: Option<u64>,
    /// It differs from the last one in what the leader acts on.
    pub(crate) is_news: bool,
}

/// A heartbeat whose worker waits for an answer.
pub(crate) struct WaitingHeartbeat {
    pub(crate) ticket: u64,
    pub(crate) received_at: u64,
    /// The highest fencing token that the worker has seen.
    pub(crate) token: u64,
}

/// What remains of a buffered heartbeat when this controller becomes the leader.
pub struct DrainedHeartbeat {
    /// The heartbeat with its age.
    pub forwarded: ForwardedHeartbeat,
    /// The ticket, if its worker still waits for an answer.
    pub ticket: Option<u64>,
}

pub(crate) struct HeartbeatBuffer {
    by_worker: BTreeMap<String, BufferedHeartbeat>,
    /// The newest heartbeat of each worker that came here.
    newest: HashMap<String, Sequence>,
    /// How long a heartbeat is news to a leader that has not received it.
    retention_ms: u64,
}

impl HeartbeatBuffer {
    pub(crate) fn new(retention_ms: u64) -> Self {
        Self {
            by_worker: BTreeMap::new(),
            newest: HashMap::new(),
            retention_ms,
        }
    }

    /// Puts a heartbeat in place of the worker's last one. `None` for a duplicate or an outdated
    /// heartbeat: nobody waits for the answer, and it renews nothing.
    pub(crate) fn insert(
        &mut self,
        now: u64,
        ticket: u64,
        heartbeat: Heartbeat,
    ) -> Option<Insertion> {
        let worker = heartbeat.worker.clone();
        let newest = self.newest.entry(worker.clone()).or_default();
        let sequence = Sequence::of(&heartbeat);
        if sequence <= *newest {
            return None;
        }
        *newest = sequence;
        let last = self.by_worker.get(&worker);
        let insertion = Insertion {
            superseded_ticket: last.and_then(|last| last.ticket),
            is_news: last.is_none_or(|last| is_news(&last.heartbeat, &heartbeat)),
        };
        let buffered = BufferedHeartbeat {
            heartbeat,
            received_at: now,
            forwarded_in: None,
            ticket: Some(ticket),
        };
        self.by_worker.insert(worker, buffered);
        Some(insertion)
    }

    /// The heartbeat of a worker, if the worker waits for the answer.
    pub(crate) fn waiting(&self, worker: &str) -> Option<WaitingHeartbeat> {
        let buffered = self.by_worker.get(worker)?;
        Some(WaitingHeartbeat {
            ticket: buffered.ticket?,
            received_at: buffered.received_at,
            token: buffered.heartbeat.token,
        })
    }

    /// The workers that wait for an answer.
    pub(crate) fn waiting_workers(&self) -> Vec<String> {
        let waiting = |(_, buffered): &(&String, &BufferedHeartbeat)| buffered.ticket.is_some();
        let waiting = self.by_worker.iter().filter(waiting);
        waiting.map(|(worker, _)| worker.clone()).collect()
    }

    /// A worker is answered.
    pub(crate) fn mark_answered(&mut self, worker: &str) {
        if let Some(buffered) = self.by_worker.get_mut(worker) {
            buffered.ticket = None;
        }
    }

    /// A worker is redirected, if it waits: returns its ticket. Its heartbeat is still forwarded
    /// to the leader, unless it has been.
    pub(crate) fn take_redirected(&mut self, worker: &str) -> Option<u64> {
        let buffered = self.by_worker.get_mut(worker)?;
        let ticket = buffered.ticket.take()?;
        if buffered.forwarded_in.is_some() {
            self.by_worker.remove(worker);
        }
        Some(ticket)
    }

    /// Drops heartbeats that are too old, and redirects those that have waited too long.
    pub(crate) fn expire(&mut self, now: u64) -> Vec<Action> {
        let retention_ms = self.retention_ms;
        let mut actions = Vec::new();
        self.by_worker.retain(|_, buffered| {
            let age = now - buffered.received_at;
            if age >= MAX_WAIT_MS
                && let Some(ticket) = buffered.ticket.take()
            {
                actions.push(Action::redirect_to_leader(ticket));
            }
            age < retention_ms
        });
        actions
    }

    /// Forgets the sequences of workers that are gone, once there are many.
    pub(crate) fn prune_sequences(&mut self, known_workers: &HashMap<String, u32>) {
        let live = known_workers.len() + self.by_worker.len();
        if self.newest.len() > 2 * live + MAX_STALE_SEQUENCES {
            let by_worker = &self.by_worker;
            self.newest.retain(|worker, _| {
                known_workers.contains_key(worker) || by_worker.contains_key(worker)
            });
        }
    }

    /// The heartbeats to forward in the status of this number, as many as fit. Workers that wait
    /// come first, and in every status: the leader need not remember that they do.
    pub(crate) fn forward(
        &mut self,
        now: u64,
        status: u64,
        budget: &mut BodyBudget,
    ) -> Vec<ForwardedHeartbeat> {
        let mut forwarded = Vec::new();
        for awaits_reply in [true, false] {
            let buffered = self.by_worker.values_mut();
            for buffered in buffered.filter(|b| b.ticket.is_some() == awaits_reply) {
                if buffered.forwarded_in.is_some() && !awaits_reply {
                    continue;
                }
                if !budget.reserve_heartbeat(&buffered.heartbeat) {
                    break;
                }
                buffered.forwarded_in = Some(status);
                forwarded.push(buffered.forward(now, awaits_reply));
            }
        }
        forwarded
    }

    /// A status was lost: forwards its heartbeats again. Returns whether there were any.
    pub(crate) fn forward_again(&mut self, lost_status: u64) -> bool {
        let mut any = false;
        for buffered in self.by_worker.values_mut() {
            if buffered.forwarded_in == Some(lost_status) {
                buffered.forwarded_in = None;
                any = true;
            }
        }
        any
    }

    /// Another leader has received nothing but the statuses from `since_status` on.
    pub(crate) fn forward_again_before(&mut self, since_status: u64) {
        for buffered in self.by_worker.values_mut() {
            buffered.forwarded_in = buffered.forwarded_in.filter(|n| *n >= since_status);
        }
    }

    /// Another leader has received nothing.
    pub(crate) fn forward_all_again(&mut self) {
        for buffered in self.by_worker.values_mut() {
            buffered.forwarded_in = None;
        }
    }

    pub(crate) fn drain(self, now: u64) -> Vec<DrainedHeartbeat> {
        let drained = |buffered: BufferedHeartbeat| DrainedHeartbeat {
            forwarded: buffered.forward(now, false),
            ticket: buffered.ticket,
        };
        self.by_worker.into_values().map(drained).collect()
    }
}

/// Whether a heartbeat differs from the worker's last one in what the leader acts on.
fn is_news(last: &Heartbeat, heartbeat: &Heartbeat) -> bool {
    last.tasks != heartbeat.tasks
        || last.incarnation != heartbeat.incarnation
        || last.token != heartbeat.token
        || last.notice_s.is_some() != heartbeat.notice_s.is_some()
}
