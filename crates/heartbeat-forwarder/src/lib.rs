#![doc = include_str!("../README.md")]
#![warn(missing_docs)]

mod answers;
mod buffer;
mod status;

use std::collections::HashMap;

use copperfield_protocol::peer::{Outcome, ShardStatus, ShardUpdate};
use copperfield_protocol::worker::Heartbeat;
use copperfield_sharding::{HeartbeatDecision, ShardOwner};

pub use answers::Action;
pub use buffer::DrainedHeartbeat;

use buffer::HeartbeatBuffer;
use status::{BodyBudget, MAX_IN_FLIGHT, StatusQueue};

/// The lease of a shard owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseValidity {
    /// The fencing token under which workers are answered, 0 for none yet.
    pub token: u64,
    /// Until when they may be.
    pub valid_until: u64,
}

/// A shard owner with the heartbeats of its workers and the statuses that it sends to the leader.
pub struct HeartbeatForwarder {
    own_index: u32,
    shard_owner: ShardOwner,
    /// The leader's number of each worker.
    worker_numbers: HashMap<String, u32>,
    buffer: HeartbeatBuffer,
    statuses: StatusQueue,
}

impl HeartbeatForwarder {
    /// `own_index`: this controller's index among all; `process`: drawn at random by each
    /// forwarder, never 0; `heartbeat_interval_s`: how often workers send heartbeats.
    pub fn new(own_index: u32, process: u64, heartbeat_interval_s: f64) -> Self {
        // One and a half heartbeat intervals, and a second.
        let retention_ms = (heartbeat_interval_s * 1500.0) as u64 + 1000;
        Self {
            own_index,
            shard_owner: ShardOwner::new(process),
            worker_numbers: HashMap::new(),
            buffer: HeartbeatBuffer::new(retention_ms),
            statuses: StatusQueue::default(),
        }
    }

    /// The lease under which workers are answered.
    pub fn lease(&self) -> LeaseValidity {
        LeaseValidity {
            token: self.shard_owner.token(),
            valid_until: self.shard_owner.valid_until(),
        }
    }

    /// Handles a heartbeat that waits for its answer under this ticket.
    pub fn handle_heartbeat(&mut self, now: u64, ticket: u64, heartbeat: Heartbeat) -> Vec<Action> {
        let worker = heartbeat.worker.clone();
        let Some(insertion) = self.buffer.insert(now, ticket, heartbeat) else {
            return vec![Action::redirect_to_leader(ticket)];
        };
        let superseded = insertion.superseded_ticket.map(Action::redirect_to_leader);
        let answer = self.answer_waiting(now, &worker);
        if insertion.is_news || answer.is_none() {
            self.statuses.mark_news();
        }
        superseded.into_iter().chain(answer).collect()
    }

    /// The answer to a worker that waits, if it can be given now.
    fn answer_waiting(&mut self, now: u64, worker: &str) -> Option<Action> {
        let waiting = self.buffer.waiting(worker)?;
        let ticket = waiting.ticket;
        let number = *self.worker_numbers.get(worker)?;
        match self.shard_owner.decide(number, now) {
            // The worker has seen a newer leader than this controller, and would drop the answer.
            HeartbeatDecision::Answer(token) if token < waiting.token => None,
            HeartbeatDecision::Answer(token) => {
                let received_at = waiting.received_at;
                if !self.shard_owner.record_answer(number, received_at, now) {
                    return None;
                }
                self.buffer.mark_answered(worker);
                Some(Action::Answer { ticket, token })
            }
            HeartbeatDecision::Redirect(to) if to != self.own_index => {
                self.buffer.take_redirected(worker);
                let to = Some(to);
                Some(Action::Redirect { ticket, to })
            }
            _ => None,
        }
    }

    /// Records the outcome of a message that this controller relayed.
    pub fn record_outcome(&mut self, message_id: u64, outcome: Outcome) {
        self.statuses.push_outcome(message_id, outcome);
    }

    /// Another leader is seen, or the same one after a restart: it has received nothing, and did
    /// not send the messages whose outcomes are known.
    pub fn handle_new_leader(&mut self) {
        self.buffer.forward_all_again();
        self.statuses.reset();
    }

    /// Advances the time: heartbeats that have waited too long are redirected.
    pub fn tick(&mut self, now: u64) -> Vec<Action> {
        let actions = self.buffer.expire(now);
        self.buffer.prune_sequences(&self.worker_numbers);
        actions
    }

    /// The next status for the leader, if it is due. Its answer goes to [`Self::handle_update`],
    /// the lack of one to [`Self::handle_lost_status`].
    pub fn next_status(&mut self, now: u64) -> Option<ShardStatus> {
        if !self.statuses.is_due(now) {
            return None;
        }
        let owner_status = self.shard_owner.next_status(now, MAX_IN_FLIGHT);
        let number = owner_status.number;
        let mut budget = BodyBudget::new();
        let outcomes = self.statuses.take_outcomes(&mut budget);
        let forwarded = self.buffer.forward(now, number, &mut budget);
        let has_more = budget.is_exceeded();
        let oldest = self.statuses.push(now, number, outcomes.clone(), has_more);
        if let Some(oldest) = oldest {
            self.handle_lost_status(oldest);
        }
        Some(ShardStatus {
            from: self.own_index,
            owner_status,
            forwarded,
            outcomes,
            all: !has_more,
        })
    }

    /// Handles the leader's answer to a status, and answers the workers that waited for it.
    pub fn handle_update(&mut self, now: u64, update: &ShardUpdate) -> Vec<Action> {
        let lease = &update.shard_lease;
        if !self.statuses.acknowledge(lease.status_number) {
            return Vec::new();
        }
        if lease.token > self.shard_owner.token() {
            // Worker numbers are a leader's own. It has received this status and no earlier one.
            self.worker_numbers.clear();
            self.buffer.forward_again_before(lease.status_number);
            self.statuses.mark_news();
        }
        for (number, worker) in &update.names {
            self.worker_numbers.insert(worker.clone(), *number);
        }
        self.shard_owner.handle_lease(lease);
        let mut actions = Vec::new();
        for (worker, to) in &update.redirects {
            let ticket = self.buffer.take_redirected(worker);
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

    /// No answer to a status came: sends its content again.
    pub fn handle_lost_status(&mut self, number: u64) {
        if self.statuses.requeue(number) && self.buffer.forward_again(number) {
            self.statuses.mark_news();
        }
    }

    /// This controller becomes the leader: the heartbeats that it has buffered.
    pub fn into_buffered_heartbeats(self, now: u64) -> Vec<DrainedHeartbeat> {
        self.buffer.drain(now)
    }
}
