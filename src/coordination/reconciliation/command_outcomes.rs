//! Handles the outcomes of direct messages and of the commands in them.

use crate::protocol::worker::Heartbeat;

use crate::coordination::messages::{CommandOutcome, Effect, HeartbeatSource, StepDownReason};
use crate::coordination::model::*;
use crate::coordination::state::Core;

/// The delay before a worker that rejected a message without a heartbeat is sent another one.
const REJECTED_RETRY_S: Time = 1.0;

impl Core {
    /// Handles the outcome of a direct message to a worker.
    pub(crate) fn handle_command_outcome(
        &mut self,
        name: &str,
        message_id: u64,
        outcome: CommandOutcome,
    ) {
        let Some(worker_index) = self.workers.index_of(name) else {
            return;
        };
        let in_flight = &mut self.workers[worker_index].in_flight;
        let Some(message) = in_flight.take_if(|message| message.id == message_id) else {
            return;
        };
        let answered = !matches!(outcome, CommandOutcome::Unsent | CommandOutcome::Unknown);
        self.record_command_result(worker_index, answered);
        let worker = &mut self.workers[worker_index];
        worker.commands_unanswered =
            !answered && (message.has_commands || worker.commands_unanswered);
        match outcome {
            CommandOutcome::Unsent => {
                self.record_unanswered_message(worker_index, &message);
                self.remove_unexecuted_starts(worker_index, &message);
            }
            CommandOutcome::Executed(heartbeat) => {
                self.workers[worker_index].next_message_at = self.now;
                self.apply_direct_answer(worker_index, &message, heartbeat, true);
            }
            CommandOutcome::Rejected(heartbeat) => {
                self.handle_rejection(worker_index, &message, heartbeat);
            }
            CommandOutcome::Unknown => self.handle_unknown_outcome(worker_index, &message),
        }
    }

    fn record_unanswered_message(&mut self, worker_index: u32, message: &InFlightMessage) {
        self.workers[worker_index].record_unanswered(self.now, message.relayed);
        self.workers[worker_index].next_message_at = self.next_probe_at(worker_index);
    }

    /// Handles a message that the worker has rejected without executing it.
    fn handle_rejection(
        &mut self,
        worker_index: u32,
        message: &InFlightMessage,
        heartbeat: Option<Heartbeat>,
    ) {
        // A worker that answers with a heartbeat can be sent the next message at once. After an
        // election, that message carries the new fencing token, without which it rejects commands.
        self.workers[worker_index].next_message_at = if heartbeat.is_some() {
            self.now
        } else {
            self.now + REJECTED_RETRY_S
        };
        self.remove_unexecuted_starts(worker_index, message);
        if let Some(heartbeat) = heartbeat {
            self.apply_direct_answer(worker_index, message, heartbeat, false);
        }
    }

    /// Handles a message that may or may not have arrived. The network may delay it for minutes, so
    /// the starts in it may still be executed, until the worker's token or incarnation changes.
    fn handle_unknown_outcome(&mut self, worker_index: u32, message: &InFlightMessage) {
        let worker = &mut self.workers[worker_index];
        tracing::info!(
            worker = worker.name,
            starts = message.starts.len(),
            "commands unanswered"
        );
        for id in &message.starts {
            if let Some(instance) = worker.instances.get_mut(id)
                && instance.sent_directly_in(message.id)
            {
                instance.unacknowledged = true;
            }
        }
        self.record_unanswered_message(worker_index, message);
    }

    /// Removes the instances whose start was definitely not executed.
    fn remove_unexecuted_starts(&mut self, worker_index: u32, message: &InFlightMessage) {
        for id in &message.starts {
            let not_executed = self.workers[worker_index]
                .instances
                .get(id)
                .is_some_and(|i| !i.unacknowledged && i.sent_directly_in(message.id));
            if not_executed {
                self.remove_instance(worker_index, *id);
                self.abort_gang_attempt(*id);
            }
        }
    }

    /// Applies the heartbeat with which a worker has answered a message.
    fn apply_direct_answer(
        &mut self,
        worker_index: u32,
        message: &InFlightMessage,
        heartbeat: Heartbeat,
        executed: bool,
    ) {
        if self.is_of_later_leader(heartbeat.token) {
            self.effects
                .push(Effect::StepDown(StepDownReason::NewerToken));
            return;
        }
        let worker = &self.workers[worker_index];
        if heartbeat.worker != worker.name || heartbeat.incarnation <= worker.expired_incarnation {
            return;
        }
        if self.is_newer(worker_index, &heartbeat) {
            let source = HeartbeatSource::Direct {
                message_id: message.id,
                executed,
            };
            self.apply_heartbeat(worker_index, heartbeat, source);
        } else if executed {
            self.resolve_executed_starts(worker_index, message, &heartbeat);
        }
    }

    /// Applies the results of the starts in an executed message whose answer was overtaken by a
    /// newer heartbeat. The newer heartbeat alone does not show what happened to these starts.
    fn resolve_executed_starts(
        &mut self,
        worker_index: u32,
        message: &InFlightMessage,
        heartbeat: &Heartbeat,
    ) {
        for id in &message.starts {
            let Some(instance) = self.workers[worker_index].instances.get_mut(id) else {
                continue;
            };
            if !instance.sent_directly_in(message.id) {
                continue;
            }
            let listed = heartbeat
                .tasks
                .iter()
                .any(|status| status.task == id.task && status.attempt == id.attempt);
            if listed {
                instance.start_delivery = StartDelivery::Reported;
            } else if !instance.unacknowledged {
                self.remove_instance(worker_index, *id);
            }
        }
    }
}
