#![doc = include_str!("../README.md")]
#![warn(missing_docs)]

mod action;
mod buffer;
mod status;

use std::collections::HashMap;

use copperfield_protocol::peer::{CommandOutcome, ShardStatus, ShardUpdate};
use copperfield_protocol::worker::Heartbeat;
use copperfield_sharding::{HeartbeatDecision, ShardOwner};

pub use action::Action;
pub use buffer::DrainedHeartbeat;

use buffer::HeartbeatBuffer;
use status::{MAX_IN_FLIGHT, StatusBudget, StatusQueue};

/// The fencing token and the end of a shard owner's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseValidity {
    /// The fencing token under which workers are answered, or 0 if there is none yet.
    pub token: u64,
    /// The time until which workers may be answered, in ms.
    pub valid_until: u64,
}

/// A shard owner, with the buffered heartbeats of its workers and the statuses that it sends to the
/// leader.
pub struct HeartbeatForwarder {
    own_index: u32,
    shard_owner: ShardOwner,
    /// The leader's numbers for workers, by worker name.
    worker_numbers: HashMap<String, u32>,
    buffer: HeartbeatBuffer,
    statuses: StatusQueue,
    newest_token: NewestToken,
}

/// The highest fencing token that workers may have under a leader.
#[derive(Debug, Clone, Copy, Default)]
struct NewestToken {
    /// The leader's own fencing token.
    term: u64,
    token: u64,
}

impl HeartbeatForwarder {
    /// Creates a forwarder without a lease. `own_index` is this controller's index among all
    /// controllers. `process` is a random number that identifies this forwarder, never 0.
    /// `heartbeat_interval_s` is the interval at which workers send heartbeats.
    pub fn new(own_index: u32, process: u64, heartbeat_interval_s: f64) -> Self {
        // One and a half heartbeat intervals plus one second.
        let retention_ms = (heartbeat_interval_s * 1500.0) as u64 + 1000;
        Self {
            own_index,
            shard_owner: ShardOwner::new(process),
            worker_numbers: HashMap::new(),
            buffer: HeartbeatBuffer::new(retention_ms),
            statuses: StatusQueue::default(),
            newest_token: NewestToken::default(),
        }
    }

    /// The current lease.
    pub fn lease(&self) -> LeaseValidity {
        LeaseValidity {
            token: self.shard_owner.token(),
            valid_until: self.shard_owner.valid_until(),
        }
    }

    /// Handles a heartbeat whose worker waits for an answer under this ticket.
    pub fn handle_heartbeat(&mut self, now: u64, ticket: u64, heartbeat: Heartbeat) -> Vec<Action> {
        let worker = heartbeat.worker.clone();
        let Some(insertion) = self.buffer.insert(now, ticket, heartbeat) else {
            return vec![Action::redirect_to_leader(ticket)];
        };
        let superseded = insertion.superseded_ticket.map(Action::redirect_to_leader);
        let answer = self.answer_waiting(now, &worker);
        if insertion.has_changes || answer.is_none() {
            self.statuses.expedite();
        }
        superseded.into_iter().chain(answer).collect()
    }

    /// Answers a worker that waits, if that is possible now.
    fn answer_waiting(&mut self, now: u64, worker: &str) -> Option<Action> {
        let waiting = self.buffer.waiting_heartbeat(worker)?;
        let ticket = waiting.ticket;
        let number = *self.worker_numbers.get(worker)?;
        match self.shard_owner.decide(number, now) {
            // The worker has seen a newer token than this controller has, and would drop the answer.
            HeartbeatDecision::Answer(term) if self.newest_token(term) < waiting.token => None,
            HeartbeatDecision::Answer(term) => {
                let token = waiting.token.max(term);
                let received_at = waiting.received_at;
                if !self.shard_owner.record_answer(number, received_at, now) {
                    return None;
                }
                self.buffer.mark_answered(worker);
                Some(Action::Answer { ticket, token })
            }
            HeartbeatDecision::Redirect(to) if to != self.own_index => {
                self.buffer.take_ticket_for_redirect(worker);
                let to = Some(to);
                Some(Action::Redirect { ticket, to })
            }
            _ => None,
        }
    }

    /// The highest fencing token that workers may have under the leader with this token.
    fn newest_token(&self, term: u64) -> u64 {
        let newest = self.newest_token;
        if newest.term == term {
            newest.token
        } else {
            term
        }
    }

    /// Records the highest fencing token that workers may have, as announced by the leader with the
    /// token `term`.
    pub fn record_newest_token(&mut self, term: u64, token: u64) {
        let newest = &mut self.newest_token;
        if term > newest.term {
            *newest = NewestToken { term, token };
        } else if term == newest.term {
            newest.token = newest.token.max(token);
        }
    }

    /// Records the outcome of a message that this controller relayed.
    pub fn record_outcome(&mut self, message_id: u64, outcome: CommandOutcome) {
        self.statuses.push_outcome(message_id, outcome);
    }

    /// Handles a new leader, or a restart of the same one. It has received no heartbeats, and it
    /// did not send the messages whose outcomes are queued.
    pub fn handle_new_leader(&mut self) {
        self.buffer.mark_all_unforwarded();
        self.statuses.reset();
    }

    /// Advances the time. Returns redirects for the workers that have waited too long.
    pub fn tick(&mut self, now: u64) -> Vec<Action> {
        let actions = self.buffer.expire(now);
        self.buffer.prune_sequences(&self.worker_numbers);
        actions
    }

    /// Returns the next status for the leader, if it is due. The caller passes the answer to
    /// [`Self::handle_update`], or calls [`Self::handle_lost_status`] if there is none.
    pub fn next_status(&mut self, now: u64) -> Option<ShardStatus> {
        if !self.statuses.is_due(now) {
            return None;
        }
        let owner_status = self.shard_owner.next_status(now, MAX_IN_FLIGHT);
        let number = owner_status.number;
        let mut budget = StatusBudget::new();
        let outcomes = self.statuses.take_outcomes(&mut budget);
        let forwarded = self.buffer.forward_in_status(now, number, &mut budget);
        let has_more = budget.is_exceeded();
        let oldest = self
            .statuses
            .record_sent(now, number, outcomes.clone(), has_more);
        if let Some(oldest) = oldest {
            self.handle_lost_status(oldest);
        }
        Some(ShardStatus {
            from: self.own_index,
            owner_status,
            forwarded,
            outcomes,
            complete: !has_more,
        })
    }

    /// Handles the leader's answer to a status, and answers the waiting workers that it allows to
    /// answer.
    pub fn handle_update(&mut self, now: u64, update: &ShardUpdate) -> Vec<Action> {
        let lease = &update.shard_lease;
        if !self.statuses.acknowledge(lease.status_number) {
            return Vec::new();
        }
        if lease.token > self.shard_owner.token() {
            // Each leader assigns its own worker numbers. This leader has received this status and
            // no earlier one.
            self.worker_numbers.clear();
            self.buffer.mark_unforwarded_before(lease.status_number);
            self.statuses.expedite();
        }
        for (number, worker) in &update.names {
            self.worker_numbers.insert(worker.clone(), *number);
        }
        self.shard_owner.handle_lease(lease);
        let mut actions = Vec::new();
        for (worker, to) in &update.redirects {
            let ticket = self.buffer.take_ticket_for_redirect(worker);
            let to = Some(*to);
            actions.extend(ticket.map(|ticket| Action::Redirect { ticket, to }));
        }
        let waiting = self.buffer.waiting_workers();
        let answers = waiting
            .iter()
            .filter_map(|worker| self.answer_waiting(now, worker));
        actions.extend(answers);
        actions
    }

    /// Handles a status that was not answered: its content is sent again.
    pub fn handle_lost_status(&mut self, number: u64) {
        if self.statuses.requeue_outcomes(number) && self.buffer.mark_unforwarded(number) {
            self.statuses.expedite();
        }
    }

    /// Returns the buffered heartbeats when this controller becomes the leader.
    pub fn into_buffered_heartbeats(self, now: u64) -> Vec<DrainedHeartbeat> {
        self.buffer.drain(now)
    }
}
