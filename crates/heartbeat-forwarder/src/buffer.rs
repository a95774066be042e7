//! The last heartbeat of each worker that reports to this controller.

use std::collections::{BTreeMap, HashMap};

use copperfield_protocol::peer::ForwardedHeartbeat;
use copperfield_protocol::worker::Heartbeat;

use crate::action::Action;
use crate::status::StatusBudget;

/// A worker is redirected to the leader after it has waited for an answer this long. Workers give
/// up after 4 s.
const MAX_WAIT_MS: u64 = 2500;
/// The sequences of up to this many workers that are gone are kept, which does no harm.
const MAX_STALE_SEQUENCES: usize = 256;

/// The position of a heartbeat in the order of all heartbeats of a worker.
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
    /// The number of the status that forwards it to the leader, or `None` if none does yet.
    forwarded_in: Option<u64>,
    /// The ticket under which its worker waits for an answer, or `None` if the worker does not
    /// wait.
    ticket: Option<u64>,
}

impl BufferedHeartbeat {
    fn to_forwarded(&self, now: u64, awaits_reply: bool) -> ForwardedHeartbeat {
        ForwardedHeartbeat {
            heartbeat: self.heartbeat.clone(),
            age_ms: now - self.received_at,
            awaits_reply,
        }
    }
}

/// The result of adding a heartbeat to the buffer.
pub(crate) struct Insertion {
    /// The ticket of the worker's previous heartbeat, if the worker still waited under it.
    pub(crate) superseded_ticket: Option<u64>,
    /// Whether the heartbeat is the worker's first one here, or differs from the previous one in
    /// what the leader acts on.
    pub(crate) has_changes: bool,
}

/// A heartbeat whose worker waits for an answer.
pub(crate) struct WaitingHeartbeat {
    pub(crate) ticket: u64,
    pub(crate) received_at: u64,
    /// The highest fencing token that the worker has seen.
    pub(crate) token: u64,
}

/// A buffered heartbeat that is handed over when this controller becomes the leader.
pub struct DrainedHeartbeat {
    /// The heartbeat with its age.
    pub forwarded: ForwardedHeartbeat,
    /// The ticket under which its worker waits for an answer, if it does.
    pub ticket: Option<u64>,
}

/// The last heartbeat of each worker, and which status forwards it.
pub(crate) struct HeartbeatBuffer {
    by_worker: BTreeMap<String, BufferedHeartbeat>,
    /// The newest sequence received from each worker.
    newest_sequences: HashMap<String, Sequence>,
    /// How long a heartbeat is kept for a leader that has not received it.
    retention_ms: u64,
}

impl HeartbeatBuffer {
    pub(crate) fn new(retention_ms: u64) -> Self {
        Self {
            by_worker: BTreeMap::new(),
            newest_sequences: HashMap::new(),
            retention_ms,
        }
    }

    /// Replaces the worker's previous heartbeat by this one. Returns `None` for a duplicate or
    /// outdated heartbeat: the worker does not wait for its answer, and its answer renews no lease.
    pub(crate) fn insert(
        &mut self,
        now: u64,
        ticket: u64,
        heartbeat: Heartbeat,
    ) -> Option<Insertion> {
        let worker = heartbeat.worker.clone();
        let newest = self.newest_sequences.entry(worker.clone()).or_default();
        let sequence = Sequence::of(&heartbeat);
        if sequence <= *newest {
            return None;
        }
        *newest = sequence;
        let last = self.by_worker.get(&worker);
        let insertion = Insertion {
            superseded_ticket: last.and_then(|last| last.ticket),
            has_changes: last.is_none_or(|last| differs_for_leader(&last.heartbeat, &heartbeat)),
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

    /// The heartbeat of a worker that waits for an answer.
    pub(crate) fn waiting_heartbeat(&self, worker: &str) -> Option<WaitingHeartbeat> {
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

    /// Records that a worker has been answered.
    pub(crate) fn mark_answered(&mut self, worker: &str) {
        if let Some(buffered) = self.by_worker.get_mut(worker) {
            buffered.ticket = None;
        }
    }

    /// Returns the ticket of a worker that waits and is to be redirected. Its heartbeat is kept
    /// until it has been forwarded to the leader.
    pub(crate) fn take_ticket_for_redirect(&mut self, worker: &str) -> Option<u64> {
        let buffered = self.by_worker.get_mut(worker)?;
        let ticket = buffered.ticket.take()?;
        if buffered.forwarded_in.is_some() {
            self.by_worker.remove(worker);
        }
        Some(ticket)
    }

    /// Drops heartbeats that are too old, and redirects workers that have waited too long.
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

    /// Removes the sequences of workers that are gone, once there are many.
    pub(crate) fn prune_sequences(&mut self, known_workers: &HashMap<String, u32>) {
        let live = known_workers.len() + self.by_worker.len();
        if self.newest_sequences.len() > 2 * live + MAX_STALE_SEQUENCES {
            let by_worker = &self.by_worker;
            self.newest_sequences.retain(|worker, _| {
                known_workers.contains_key(worker) || by_worker.contains_key(worker)
            });
        }
    }

    /// Returns the heartbeats to forward in the status of this number, as many as fit. Heartbeats
    /// whose workers wait come first, and are part of every status, so that the leader need not
    /// remember that they wait.
    pub(crate) fn forward_in_status(
        &mut self,
        now: u64,
        status_number: u64,
        budget: &mut StatusBudget,
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
                buffered.forwarded_in = Some(status_number);
                forwarded.push(buffered.to_forwarded(now, awaits_reply));
            }
        }
        forwarded
    }

    /// Marks the heartbeats of a lost status as not forwarded. Returns whether there were any.
    pub(crate) fn mark_unforwarded(&mut self, lost_status_number: u64) -> bool {
        let mut any = false;
        for buffered in self.by_worker.values_mut() {
            if buffered.forwarded_in == Some(lost_status_number) {
                buffered.forwarded_in = None;
                any = true;
            }
        }
        any
    }

    /// Marks heartbeats as not forwarded unless the status `since_status_number` or a later one
    /// forwards them. A new leader has received no earlier status.
    pub(crate) fn mark_unforwarded_before(&mut self, since_status_number: u64) {
        for buffered in self.by_worker.values_mut() {
            buffered.forwarded_in = buffered.forwarded_in.filter(|n| *n >= since_status_number);
        }
    }

    /// Marks all heartbeats as not forwarded, since a new leader has received none.
    pub(crate) fn mark_all_unforwarded(&mut self) {
        for buffered in self.by_worker.values_mut() {
            buffered.forwarded_in = None;
        }
    }

    /// Returns all buffered heartbeats.
    pub(crate) fn drain(self, now: u64) -> Vec<DrainedHeartbeat> {
        let drained = |buffered: BufferedHeartbeat| DrainedHeartbeat {
            forwarded: buffered.to_forwarded(now, false),
            ticket: buffered.ticket,
        };
        self.by_worker.into_values().map(drained).collect()
    }
}

/// Whether a heartbeat differs from the worker's last one in what the leader acts on.
fn differs_for_leader(last: &Heartbeat, heartbeat: &Heartbeat) -> bool {
    last.tasks != heartbeat.tasks
        || last.incarnation != heartbeat.incarnation
        || last.token != heartbeat.token
        || last.notice_s.is_some() != heartbeat.notice_s.is_some()
}
