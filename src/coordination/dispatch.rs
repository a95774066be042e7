//! Which worker a direct message is sent to next: probes of a new leader, and commands that cannot
//! wait for a heartbeat.
//!
//! A leader has a part of a CPU core. With everything sent at once, after an election or when the
//! leases of a zone expire, thousands of messages would wait for the processor together: probes
//! would time out before their answers are read and be sent again, and the renewal of the leader's
//! own lease would come last. So few are in flight at a time, and the most urgent go first.

use crate::protocol::job::Priority;
use crate::protocol::worker::{Command, MAX_COMMANDS, Verb};

use super::messages::Effect;
use super::model::*;
use super::state::Core;

/// Messages in flight that may be answered any moment.
const WINDOW: usize = 256;
/// What a message takes of the window that this controller delivers itself.
const OWN_COST: usize = 4;
/// What a message takes of the window that a shard owner delivers.
const RELAYED_COST: usize = 1;
/// One in flight for longer waits for a worker, not for this process, and leaves the window: on
/// ordinary days answers come within 20 ms.
const RECENT_S: Time = 0.2;
/// Messages in flight at once to workers that are late or unresponsive: most of these wait out
/// their deadline.
const MAX_TO_UNRESPONSIVE: usize = 64;
/// So many older messages to a zone are not taken for a sign that it is partitioned.
const FEW_OLD: usize = 8;
/// A worker is not probed again for so long.
const PROBE_INTERVAL_S: Time = 1.0;
/// Heartbeats are late after this multiple of their interval.
const LATE_FACTOR: f64 = 1.04;

/// Why a message is sent to a worker, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reason {
    /// Until the worker has reported what it holds, jobs are blocked.
    Reconcile,
    /// The start of a service's replica.
    Replica,
    /// High-priority work, and stops, which make room or have a deadline.
    Urgent,
    /// Any other command.
    Other,
    /// A probe of a worker that is late or unresponsive.
    ProbeUnresponsive,
}

/// What is in flight, and to whom.
#[derive(Default)]
struct InFlightLoad {
    /// What recent messages take of the window.
    recent: usize,
    to_unresponsive: usize,
    /// By zone, messages that are not recent: a zone that does not answer comes last.
    old_by_zone: Vec<usize>,
}

/// What a message takes of the window.
fn cost(message: &InFlightMessage) -> usize {
    if message.relayed {
        RELAYED_COST
    } else {
        OWN_COST
    }
}

impl Core {
    /// Asks a worker for its heartbeat.
    pub(super) fn send_probe(&mut self, m: u32) {
        let message_id = self.new_message_id();
        self.workers[m].next_message_at = self.now + PROBE_INTERVAL_S;
        let via = self.record_in_flight(m, message_id, Vec::new(), false);
        let worker = &self.workers[m];
        self.effects.push(Effect::RequestHeartbeat {
            worker: worker.name.clone(),
            address: worker.address.clone(),
            // The first incarnation is the most likely: few workers ever lose a lease.
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

    /// A message with these starts goes out to a worker. The controller that is to deliver it, if
    /// it is another one.
    fn record_in_flight(
        &mut self,
        m: u32,
        message_id: u64,
        starts: Vec<InstanceId>,
        has_commands: bool,
    ) -> Option<u32> {
        let via = self.relay_for(m);
        if via.is_some() {
            self.record_relayed_message(m, message_id);
        }
        self.workers[m].in_flight = Some(InFlightMessage {
            id: message_id,
            since: self.now,
            starts,
            has_commands,
            relayed: via.is_some(),
        });
        via
    }

    /// A worker whose heartbeat has not come after this long is late.
    pub(super) fn late_after_s(&self) -> f64 {
        self.config.cluster.workers.heartbeat_interval_s * LATE_FACTOR
    }

    /// How many more late or unresponsive workers may be probed now.
    pub(super) fn remaining_probes(&self) -> usize {
        MAX_TO_UNRESPONSIVE.saturating_sub(self.in_flight_load().to_unresponsive)
    }

    /// Sends what cannot wait for the next heartbeat.
    pub(super) fn flush_commands(&mut self) {
        let mut due = self.due_messages();
        if due.is_empty() {
            return;
        }
        let mut load = self.in_flight_load();
        let mut window = (WINDOW * OWN_COST).saturating_sub(load.recent);
        if due.len() * OWN_COST > window {
            let old_in_zone = |m: u32| load.old_by_zone[self.workers[m].zone as usize] / FEW_OLD;
            due.sort_by_key(|&(reason, m)| (reason, old_in_zone(m), m));
        }
        for (reason, m) in due {
            if window == 0 {
                return;
            }
            if reason == Reason::ProbeUnresponsive {
                if load.to_unresponsive >= MAX_TO_UNRESPONSIVE {
                    continue;
                }
                load.to_unresponsive += 1;
            }
            self.send_to(m);
            let message = &self.workers[m].in_flight;
            window = window.saturating_sub(message.as_ref().map_or(OWN_COST, cost));
        }
    }

    /// Workers that a message is to be sent to, and why; by index.
    fn due_messages(&mut self) -> Vec<(Reason, u32)> {
        let mut due = Vec::new();
        for m in self.workers.indices() {
            if self.workers[m].in_flight.is_none()
                && let Some(reason) = self.reason_to_send(m)
            {
                due.push((reason, m));
            }
        }
        due
    }

    /// A worker that has not reported to this leader is probed first: commands wait three times as
    /// long for an answer, so that an unreachable worker would be known as such a second later.
    fn send_to(&mut self, m: u32) {
        let worker = &self.workers[m];
        if worker.may_be_alive() && worker.reconciled {
            self.send_commands(m);
        } else {
            self.send_probe(m);
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
            if self.now - message.since < RECENT_S {
                load.recent += cost(message);
            } else {
                load.old_by_zone[worker.zone as usize] += 1;
            }
        }
        load
    }

    /// Why a message is to be sent to a worker now, if one is.
    fn reason_to_send(&mut self, m: u32) -> Option<Reason> {
        let unresponsive = self.is_unresponsive(m);
        let worker = &self.workers[m];
        let may_probe = worker.next_message_at <= self.now;
        let unreconciled =
            worker.known_to_predecessor && !worker.reconciled && !self.reconciliation.is_complete();
        if !worker.may_be_alive() || (unresponsive && unreconciled) {
            // Registered by an earlier leader, and this one has had no heartbeat from it, or a shard
            // owner had one before this leader was elected.
            let probed = unreconciled && may_probe && !self.awaits_forwarded_heartbeats();
            return probed.then_some(if worker.fenced || worker.may_be_alive() {
                Reason::ProbeUnresponsive
            } else {
                Reason::Reconcile
            });
        }
        let commands_unanswered = worker.commands_unanswered;
        if unresponsive || worker.fenced || commands_unanswered {
            self.cancel_queued_starts(m);
        }
        if unresponsive || !may_probe {
            return None;
        }
        let worker = &self.workers[m];
        if commands_unanswered && worker.outbox.is_empty() {
            return Some(Reason::ProbeUnresponsive);
        }
        // One that has not learned of this leader learns of it by a probe.
        if !worker.reconciled {
            return Some(Reason::Reconcile);
        }
        worker.outbox.iter().map(|c| self.reason_of(c)).min()
    }

    fn reason_of(&self, command: &Command) -> Reason {
        match command.verb {
            Verb::Start => match self.jobs.index_of(command.job).map(|ix| &self.jobs[ix]) {
                Some(job) if job.is_service() => Reason::Replica,
                Some(job) if job.spec.priority >= Priority::High => Reason::Urgent,
                _ => Reason::Other,
            },
            Verb::Stop { .. } => Reason::Urgent,
            Verb::Forget => Reason::Other,
        }
    }

    fn send_commands(&mut self, m: u32) {
        let message_id = self.new_message_id();
        let commands =
            self.take_queued_commands(m, MAX_COMMANDS, StartDelivery::Direct { message_id });
        let starts = commands
            .iter()
            .filter(|command| command.verb == Verb::Start)
            .filter_map(|command| {
                Some(InstanceId {
                    job: self.jobs.index_of(command.job)?,
                    task: command.task,
                    attempt: command.attempt,
                })
            })
            .collect();
        let via = self.record_in_flight(m, message_id, starts, true);
        let worker = &self.workers[m];
        let stops = commands.iter().filter(|command| is_stop(command)).count();
        let log = &mut self.reconciliation.lease_log;
        log.record_direct_stops(self.now, &worker.name, message_id, via, stops);
        self.effects.push(Effect::SendCommands {
            worker: worker.name.clone(),
            address: worker.address.clone(),
            incarnation: worker.incarnation,
            message_id,
            commands,
            via,
        });
    }
}
