//! Commands that other controllers relay to workers for the leader.

use std::collections::BTreeMap;

use crate::coordination::model::*;
use crate::coordination::state::Core;
use crate::coordination::time::ceil_ms;
use crate::protocol::peer::CommandOutcome;

use super::Sharding;

/// A relayed message without an outcome after this time counts as lost with its relay.
const RELAY_TIMEOUT_S: Time = 3.0;
/// Delay before a worker that did not answer is probed again, if no other controller can probe it.
const PROBE_RETRY_S: Time = 1.0;

struct RelayedMessage {
    worker: String,
    sent_at: Time,
}

/// Messages that were sent through relays and whose outcome is not known.
#[derive(Default)]
pub(super) struct RelayedMessages {
    by_id: BTreeMap<u64, RelayedMessage>,
}

impl RelayedMessages {
    fn insert(&mut self, message_id: u64, worker: String, sent_at: Time) {
        let message = RelayedMessage { worker, sent_at };
        self.by_id.insert(message_id, message);
    }

    /// Removes a message and returns the worker it was sent to.
    pub(super) fn remove(&mut self, message_id: u64) -> Option<String> {
        Some(self.by_id.remove(&message_id)?.worker)
    }

    fn overdue(&self, now: Time) -> Vec<u64> {
        let messages = self.by_id.iter();
        let overdue = messages.filter(|(_, message)| now - message.sent_at > RELAY_TIMEOUT_S);
        overdue.map(|(message_id, _)| *message_id).collect()
    }
}

impl Core {
    /// The controller that relays messages to a worker, or `None` if the leader sends them itself.
    pub(in crate::coordination) fn relay_for(&self, worker_index: u32) -> Option<u32> {
        let sharding = self.sharding.as_ref()?;
        let worker = &self.workers[worker_index];
        let now = ceil_ms(self.now);
        let owner = sharding.coordinator.owner_relay(worker.shard_number, now);
        match worker.unanswered_senders() {
            // A new leader spreads the probes of workers without a shard owner over all
            // controllers.
            UnansweredSenders {
                own: false,
                relayed: false,
            } if owner.is_none() && !worker.reconciled => sharding
                .coordinator
                .relay_or_leader(worker.shard_number, now),
            // After a failure the other path is tried, since either controller may reach workers
            // that the other does not. Once both have failed, they alternate.
            UnansweredSenders { own, relayed } if own || relayed => {
                let use_relay = !relayed || (own && self.next_message_id.is_multiple_of(2));
                use_relay.then(|| sharding.coordinator.any_relay(worker.shard_number, now))?
            }
            _ => owner,
        }
    }

    /// Whether a worker has left a message of this controller unanswered and, if another controller
    /// can relay, one of that controller as well. If only the leader has lost its connections to
    /// the workers, it must not treat them as lost.
    pub(in crate::coordination) fn is_unreachable_by_all(&self, worker_index: u32) -> bool {
        let UnansweredSenders { own, relayed } = self.workers[worker_index].unanswered_senders();
        own && (relayed || !self.has_relay(worker_index))
    }

    fn has_relay(&self, worker_index: u32) -> bool {
        let now = ceil_ms(self.now);
        let relay = |s: &Sharding| {
            s.coordinator
                .any_relay(self.workers[worker_index].shard_number, now)
        };
        self.sharding.as_ref().and_then(relay).is_some()
    }

    /// When a worker that has not answered is probed next: at once if only one of the two paths,
    /// direct and relayed, has failed and a relay is available.
    pub(in crate::coordination) fn next_probe_at(&self, worker_index: u32) -> Time {
        let UnansweredSenders { own, relayed } = self.workers[worker_index].unanswered_senders();
        if own != relayed && self.has_relay(worker_index) {
            self.now
        } else {
            self.now + PROBE_RETRY_S
        }
    }

    /// Records that a message is sent through a relay.
    pub(in crate::coordination) fn record_relayed_message(
        &mut self,
        worker_index: u32,
        message_id: u64,
    ) {
        if let Some(sharding) = &mut self.sharding {
            let worker = self.workers[worker_index].name.clone();
            sharding.relayed.insert(message_id, worker, self.now);
        }
    }

    /// Records whether a worker answered a command.
    pub(in crate::coordination) fn record_command_result(
        &mut self,
        worker_index: u32,
        answered: bool,
    ) {
        if let Some(sharding) = &mut self.sharding {
            let (now, number) = (ceil_ms(self.now), self.workers[worker_index].shard_number);
            sharding
                .coordinator
                .record_command_result(now, number, answered);
        }
    }

    /// Handles messages that a relay did not accept; all have the same outcome.
    pub(in crate::coordination) fn handle_relay_failure(
        &mut self,
        controller: u32,
        message_ids: Vec<u64>,
        outcome: &CommandOutcome,
    ) {
        if let Some(sharding) = &mut self.sharding {
            let now = ceil_ms(self.now);
            sharding.coordinator.mark_relay_failed(controller, now);
        }
        for message_id in message_ids {
            self.end_relayed_message(message_id, outcome.clone());
        }
    }

    /// Ends messages without an outcome after [`RELAY_TIMEOUT_S`].
    pub(super) fn expire_relayed_messages(&mut self) {
        let Some(sharding) = &self.sharding else {
            return;
        };
        for message_id in sharding.relayed.overdue(self.now) {
            self.end_relayed_message(message_id, CommandOutcome::Unknown);
        }
    }

    /// Ends a message that a relay lost. The worker does not count as having failed to answer.
    fn end_relayed_message(&mut self, message_id: u64, outcome: CommandOutcome) {
        let sharding = self.sharding.as_mut();
        let Some(name) = sharding.and_then(|s| s.relayed.remove(message_id)) else {
            return;
        };
        let Some(worker_index) = self.workers.index_of(&name) else {
            return;
        };
        let worker = &self.workers[worker_index];
        let (unanswered_at, unanswered_senders) = (worker.unanswered_at, worker.unanswered_senders);
        let commands_unanswered = worker.commands_unanswered;
        self.handle_command_outcome(&name, message_id, outcome);
        let worker = &mut self.workers[worker_index];
        worker.unanswered_at = unanswered_at;
        worker.unanswered_senders = unanswered_senders;
        worker.commands_unanswered = commands_unanswered;
        worker.next_message_at = self.now;
    }
}
