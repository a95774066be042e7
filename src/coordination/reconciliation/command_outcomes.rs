//! What became of direct messages, and of the commands in them.

use crate::protocol::worker::Heartbeat;

use crate::coordination::messages::{Effect, HeartbeatSource, Outcome};
use crate::coordination::model::*;
use crate::coordination::state::Core;

/// A worker that did not execute a message and answered nothing is asked again after this time.
const REJECTED_RETRY_S: Time = 1.0;

impl Core {
    /// A direct message to a worker has ended.
    pub(crate) fn handle_command_outcome(&mut self, name: &str, message_id: u64, outcome: Outcome) {
        let Some(m) = self.workers.index_of(name) else {
            return;
        };
        let in_flight = &mut self.workers[m].in_flight;
        let Some(message) = in_flight.take_if(|message| message.id == message_id) else {
            return;
        };
        let answered = !matches!(outcome, Outcome::Unsent | Outcome::Unknown);
        self.record_command_result(m, answered);
        let worker = &mut self.workers[m];
        worker.commands_unanswered =
            !answered && (message.has_commands || worker.commands_unanswered);
        match outcome {
            Outcome::Unsent => {
                self.record_missed_answer(m, &message);
                self.remove_unsent_starts(m, &message);
            }
            Outcome::Executed(heartbeat) => {
                self.workers[m].next_message_at = self.now;
                self.apply_direct_answer(m, &message, heartbeat, true);
            }
            Outcome::Rejected(heartbeat) => self.handle_rejection(m, &message, heartbeat),
            Outcome::Unknown => self.handle_unknown_outcome(m, &message),
        }
    }

    fn record_missed_answer(&mut self, m: u32, message: &InFlightMessage) {
        self.workers[m].record_unanswered(self.now, message.relayed);
        self.workers[m].next_message_at = self.next_probe_at(m);
    }

    /// The worker has not executed the message.
    fn handle_rejection(
        &mut self,
        m: u32,
        message: &InFlightMessage,
        heartbeat: Option<Heartbeat>,
    ) {
        // One that answers is written to again at once: a new leader's next message carries the
        // fencing token that it needs.
        self.workers[m].next_message_at = if heartbeat.is_some() {
            self.now
        } else {
            self.now + REJECTED_RETRY_S
        };
        self.remove_unsent_starts(m, message);
        if let Some(heartbeat) = heartbeat {
            self.apply_direct_answer(m, message, heartbeat, false);
        }
    }

    /// The network may hold the message for minutes: its starts stay possible, and no attempt of
    /// them is forgotten, until the worker's incarnation changes.
    fn handle_unknown_outcome(&mut self, m: u32, message: &InFlightMessage) {
        let worker = &mut self.workers[m];
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
        self.record_missed_answer(m, message);
    }

    /// Removes the instances whose start was surely not executed.
    fn remove_unsent_starts(&mut self, m: u32, message: &InFlightMessage) {
        for id in &message.starts {
            let unsent = self.workers[m]
                .instances
                .get(id)
                .is_some_and(|i| !i.unacknowledged && i.sent_directly_in(message.id));
            if unsent {
                self.remove_instance(m, *id);
                self.abort_gang_attempt(*id);
            }
        }
    }

    /// Takes in the heartbeat with which a worker has answered a message.
    fn apply_direct_answer(
        &mut self,
        m: u32,
        message: &InFlightMessage,
        heartbeat: Heartbeat,
        executed: bool,
    ) {
        if heartbeat.token > self.token {
            self.effects.push(Effect::StepDown);
            return;
        }
        let worker = &self.workers[m];
        if heartbeat.worker != worker.name || heartbeat.incarnation <= worker.expired_incarnation {
            return;
        }
        if self.is_newer(m, &heartbeat) {
            let source = HeartbeatSource::Direct {
                message_id: message.id,
                executed,
            };
            self.apply_heartbeat(m, heartbeat, source);
        } else if executed {
            self.settle_executed_starts(m, message, &heartbeat);
        }
    }

    /// A later heartbeat has arrived before the answer and could not yet include the result of the
    /// starts in the message.
    fn settle_executed_starts(&mut self, m: u32, message: &InFlightMessage, heartbeat: &Heartbeat) {
        for id in &message.starts {
            let Some(instance) = self.workers[m].instances.get_mut(id) else {
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
                self.remove_instance(m, *id);
            }
        }
    }
}
