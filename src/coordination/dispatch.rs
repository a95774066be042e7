//! Chooses the workers to which direct messages are sent next: probes, and commands that cannot
//! wait for a heartbeat.
//!
//! A leader has only a share of a CPU core. If it sent all messages at once after an election, or
//! when the leases of a zone expire, thousands would compete for the processor: probes would time
//! out before their answers are read and be sent again, and the renewal of the leader's own lease
//! would be delayed. Therefore the number of messages in flight is limited, and the most urgent
//! messages are sent first.

use crate::protocol::job::Priority;
use crate::protocol::worker::{Command, MAX_COMMANDS, Verb};

use super::command_tokens::{CommandChannel, FencedCommands};
use super::messages::Effect;
use super::model::*;
use super::state::Core;

/// The maximum number of recent messages in flight, if this controller delivers all of them.
const MAX_RECENT_IN_FLIGHT: usize = 256;
/// The units that a message takes of the window for recent messages, if this controller delivers it
/// itself. The window has `MAX_RECENT_IN_FLIGHT * OWN_COST` units.
const OWN_COST: usize = 4;
/// The window units taken by a message that a shard owner delivers.
const RELAYED_COST: usize = 1;
/// The age from which a message in flight takes no window units. Answers normally arrive within
/// 20 ms, so an older message waits for its worker and not for this process.
const RECENT_S: Time = 0.2;
/// The maximum number of messages in flight to late or unresponsive workers. Most of these messages
/// time out.
const MAX_IN_FLIGHT_TO_UNRESPONSIVE: usize = 64;
/// Zones are ranked by their number of old messages in steps of this size, so that a few old
/// messages do not make a zone look partitioned.
const OLD_MESSAGES_STEP: usize = 8;
/// The minimum interval between two probes of a worker.
const PROBE_INTERVAL_S: Time = 1.0;
/// A heartbeat is late after this multiple of the heartbeat interval.
const LATE_FACTOR: f64 = 1.04;

/// Why a message is sent to a worker, in descending order of urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SendReason {
    /// A probe of a worker that has not reported its tasks yet, which blocks jobs.
    Reconcile,
    /// The start of a service replica.
    Replica,
    /// The start of a high-priority task, or a stop, which frees resources or has a deadline.
    Urgent,
    /// Any other command.
    Other,
    /// A probe of a worker that is late or unresponsive.
    ProbeUnresponsive,
}

/// The messages in flight.
#[derive(Default)]
struct InFlightLoad {
    /// The window units that recent messages take.
    recent: usize,
    /// The number of messages to late or unresponsive workers.
    to_unresponsive: usize,
    /// The number of messages per zone that are not recent. Zones that do not answer come last.
    old_by_zone: Vec<usize>,
}

/// The window units that a message takes.
fn window_cost(message: &InFlightMessage) -> usize {
    if message.relayed {
        RELAYED_COST
    } else {
        OWN_COST
    }
}

impl Core {
    /// Sends a worker a probe, which asks it for a heartbeat.
    pub(super) fn send_probe(&mut self, worker_index: u32) {
        let message_id = self.new_message_id();
        self.workers[worker_index].next_message_at = self.now + PROBE_INTERVAL_S;
        let token = self.worker_token(worker_index);
        let via = self.record_in_flight(worker_index, message_id, Vec::new(), false);
        let worker = &self.workers[worker_index];
        self.effects.push(Effect::RequestHeartbeat {
            worker: worker.name.clone(),
            address: worker.address.clone(),
            token,
            // If no incarnation is known, the first one is assumed, because few workers ever lose
            // a lease.
            incarnation: worker.incarnation.max(1),
            message_id,
            via,
        });
    }

    fn new_message_id(&mut self) -> u64 {
        let message_id = self.next_message_id;
        self.next_message_id += 1;
        message_id
    }

    /// Records a direct message with these starts as in flight to a worker. Returns the controller
    /// that delivers it, if it is another one.
    fn record_in_flight(
        &mut self,
        worker_index: u32,
        message_id: u64,
        starts: Vec<InstanceId>,
        has_commands: bool,
    ) -> Option<u32> {
        let via = self.relay_for(worker_index);
        if via.is_some() {
            self.record_relayed_message(worker_index, message_id);
        }
        self.workers[worker_index].in_flight = Some(InFlightMessage {
            id: message_id,
            sent_at: self.now,
            starts,
            has_commands,
            relayed: via.is_some(),
        });
        via
    }

    /// The time without a heartbeat after which a worker is late.
    pub(super) fn late_after_s(&self) -> f64 {
        self.config.cluster.workers.heartbeat_interval_s * LATE_FACTOR
    }

    /// How many more late or unresponsive workers may be probed now.
    pub(super) fn remaining_probes(&self) -> usize {
        MAX_IN_FLIGHT_TO_UNRESPONSIVE.saturating_sub(self.in_flight_load().to_unresponsive)
    }

    /// Sends the probes and commands that cannot wait for the next heartbeat.
    pub(super) fn flush_commands(&mut self) {
        let mut due = self.workers_with_due_message();
        if due.is_empty() {
            return;
        }
        let mut load = self.in_flight_load();
        let mut remaining_units = (MAX_RECENT_IN_FLIGHT * OWN_COST).saturating_sub(load.recent);
        if due.len() * OWN_COST > remaining_units {
            let zone_rank = |worker_index: u32| {
                load.old_by_zone[self.workers[worker_index].zone as usize] / OLD_MESSAGES_STEP
            };
            due.sort_by_key(|&(reason, worker_index)| {
                (reason, zone_rank(worker_index), worker_index)
            });
        }
        for (reason, worker_index) in due {
            if remaining_units == 0 {
                return;
            }
            if reason == SendReason::ProbeUnresponsive {
                if load.to_unresponsive >= MAX_IN_FLIGHT_TO_UNRESPONSIVE {
                    continue;
                }
                load.to_unresponsive += 1;
            }
            self.send_message(worker_index);
            let message = &self.workers[worker_index].in_flight;
            remaining_units =
                remaining_units.saturating_sub(message.as_ref().map_or(OWN_COST, window_cost));
        }
    }

    /// The workers to which a message is due, and the reasons, in the order of worker indices.
    fn workers_with_due_message(&mut self) -> Vec<(SendReason, u32)> {
        let mut due = Vec::new();
        for worker_index in self.workers.indices() {
            if self.workers[worker_index].in_flight.is_none()
                && let Some(reason) = self.reason_to_send(worker_index)
            {
                due.push((reason, worker_index));
            }
        }
        due
    }

    /// Sends a worker its commands, or a probe if it has not reported to this leader yet. Commands
    /// wait three times as long for an answer as probes do, so sending commands first would detect
    /// an unreachable worker a second later.
    fn send_message(&mut self, worker_index: u32) {
        let worker = &self.workers[worker_index];
        if worker.may_be_alive() && worker.reconciled {
            self.send_commands(worker_index);
        } else {
            self.send_probe(worker_index);
        }
    }

    fn in_flight_load(&self) -> InFlightLoad {
        let late_s = self.late_after_s();
        let mut load = InFlightLoad {
            old_by_zone: vec![0; self.zones.len()],
            ..InFlightLoad::default()
        };
        for (_, worker) in self.workers.iter() {
            let Some(message) = &worker.in_flight else {
                continue;
            };
            let late = worker
                .last_heartbeat_at
                .is_some_and(|at| self.now - at > late_s);
            let unresponsive = worker.fenced || worker.commands_unanswered || late;
            load.to_unresponsive += usize::from(unresponsive);
            if self.now - message.sent_at < RECENT_S {
                load.recent += window_cost(message);
            } else {
                load.old_by_zone[worker.zone as usize] += 1;
            }
        }
        load
    }

    /// Why a message is due to a worker, if one is.
    fn reason_to_send(&mut self, worker_index: u32) -> Option<SendReason> {
        let unresponsive = self.is_unresponsive(worker_index);
        let worker = &self.workers[worker_index];
        let message_allowed = worker.next_message_at <= self.now;
        let unreconciled =
            worker.known_to_predecessor && !worker.reconciled && !self.reconciliation.is_complete();
        if !worker.may_be_alive() || (unresponsive && unreconciled) {
            // An earlier leader registered the worker, and this leader has had no heartbeat from
            // it, or only one that a shard owner received before this leader was elected.
            let probed = unreconciled && message_allowed && !self.awaits_forwarded_heartbeats();
            return probed.then_some(if worker.fenced || worker.may_be_alive() {
                SendReason::ProbeUnresponsive
            } else {
                SendReason::Reconcile
            });
        }
        let commands_unanswered = worker.commands_unanswered;
        if unresponsive || worker.fenced || commands_unanswered {
            self.cancel_queued_starts(worker_index);
        }
        if unresponsive || !message_allowed {
            return None;
        }
        let worker = &self.workers[worker_index];
        if commands_unanswered && worker.outbox.is_empty() {
            return Some(SendReason::ProbeUnresponsive);
        }
        // A probe informs the worker of this leader's fencing token.
        if !worker.reconciled {
            return Some(SendReason::Reconcile);
        }
        worker.outbox.iter().map(|c| self.command_urgency(c)).min()
    }

    fn command_urgency(&self, command: &Command) -> SendReason {
        match command.verb {
            Verb::Start => match self
                .jobs
                .index_of(command.job)
                .map(|job_index| &self.jobs[job_index])
            {
                Some(job) if job.is_service() => SendReason::Replica,
                Some(job) if job.spec.priority >= Priority::High => SendReason::Urgent,
                _ => SendReason::Other,
            },
            Verb::Stop { .. } => SendReason::Urgent,
            Verb::Forget => SendReason::Other,
        }
    }

    fn send_commands(&mut self, worker_index: u32) {
        let message_id = self.new_message_id();
        let forget_token = self.forget_token(worker_index);
        let delivery = StartDelivery::Direct { message_id };
        let commands = self.take_queued_commands(worker_index, MAX_COMMANDS, delivery);
        let is_probe = commands.is_empty();
        let channel = CommandChannel::Direct;
        let FencedCommands { token, commands } =
            self.fence_commands(worker_index, commands, forget_token, channel);
        if commands.is_empty() && !is_probe {
            return;
        }
        let starts = commands
            .iter()
            .filter(|command| command.verb == Verb::Start)
            .filter_map(|command| self.jobs.instance_id(command))
            .collect();
        let via = self.record_in_flight(worker_index, message_id, starts, true);
        let worker = &self.workers[worker_index];
        let stops = commands.iter().filter(|command| is_stop(command)).count();
        let log = &mut self.reconciliation.lease_log;
        log.record_direct_stops(self.now, &worker.name, message_id, via, stops);
        self.effects.push(Effect::SendCommands {
            worker: worker.name.clone(),
            address: worker.address.clone(),
            token,
            incarnation: worker.incarnation,
            message_id,
            commands,
            via,
        });
    }
}
