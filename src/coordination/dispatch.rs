//! Who is written to next: questions of a new leader, orders that cannot wait for a report.
//!
//! A leader has a part of a core. With everything sent at once, after an election or when the
//! leases of a zone run out, thousands of messages waited for the processor together: questions
//! timed out before their answers were read and were asked again, and the renewal of the
//! leader's own lease came last. So few are out at a time, and the most urgent go first.

use crate::protocol::job::Priority;
use crate::protocol::worker::{Command, Verb};

use super::messages::Effect;
use super::model::*;
use super::state::Core;

/// Messages that are out and may be answered any moment.
const WINDOW: usize = 256;
/// What a message of this node's own takes of the window, and one that a shard owner carries.
const WHOLE: usize = 4;
const CARRIED: usize = 1;
/// One that is out for longer waits for a worker, not for this process, and makes way: on
/// ordinary days answers come within 20 ms.
const YOUNG_S: Time = 0.2;
/// Questions to workers that are late or silent, at once: most wait out their deadline.
const TO_SILENT: usize = 64;
/// So many old ones of a zone are not taken for a sign yet.
const FEW_OLD: usize = 8;

/// Why a worker is written to, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reason {
    /// Until it has told what it holds, others wait.
    PendingLookup,
    Replica,
    /// Rush work, and stops, which make room or have a deadline.
    Rush,
    Rest,
    QuestionToSilent,
}

/// What is out, and to whom.
#[derive(Default)]
struct InFlightLoad {
    young: usize,
    to_silent: usize,
    /// By zone, those that have waited for longer: a zone that does not answer is asked last.
    predates_election: Vec<usize>,
}

/// What a message takes of the window.
fn cost(message_id: &InFlightMessage) -> usize {
    if message_id.relayed { CARRIED } else { WHOLE }
}

impl Core {
    /// Asks a worker for its report.
    pub(super) fn ask_worker(&mut self, m: u32) {
        let message_id = self.new_message_id();
        self.workers[m].next_probe = self.now + 1.0;
        let via = self.record_in_flight(m, message_id, Vec::new(), false);
        let worker = &self.workers[m];
        self.effects.push(Effect::Inspect {
            worker: worker.name.clone(),
            address: worker.address.clone(),
            // Most have never lost a lease.
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

    /// A message is out to a worker, with these starts in it.
    /// Through which node, if not from here.
    fn record_in_flight(
        &mut self,
        m: u32,
        message_id: u64,
        starts: Vec<InstanceId>,
        orders: bool,
    ) -> Option<u32> {
        let via = self.relay_for(m);
        if via.is_some() {
            self.record_relayed_message(m, message_id);
        }
        self.workers[m].in_message_id = Some(InFlightMessage {
            id: message_id,
            since: self.now,
            starts,
            orders,
            relayed: via.is_some(),
        });
        via
    }

    /// A worker whose report has not come after this long is late.
    pub(super) fn late_after_s(&self) -> f64 {
        self.config.cluster.workers.report_s * 1.04
    }

    /// How many more late or silent workers may be asked now.
    pub(super) fn questions_left(&self) -> usize {
        TO_SILENT.saturating_sub(self.out().to_silent)
    }

    /// Sends what cannot wait for the next report.
    pub(super) fn flush_commands(&mut self) {
        let mut due: Vec<(Reason, u32)> = Vec::new();
        for m in self.workers.indices() {
            if self.workers[m].in_message_id.is_none()
                && let Some(reason) = self.due(m)
            {
                due.push((reason, m));
            }
        }
        if due.is_empty() {
            return;
        }
        let mut out = self.out();
        let mut window = (WINDOW * WHOLE).saturating_sub(out.young);
        if due.len() * WHOLE > window {
            let predates_election =
                |m: u32| out.predates_election[self.workers[m].zone as usize] / FEW_OLD;
            due.sort_by_key(|&(reason, m)| (reason, predates_election(m), m));
        }
        for (reason, m) in due {
            if window == 0 {
                return;
            }
            if reason == Reason::QuestionToSilent {
                if out.to_silent >= TO_SILENT {
                    continue;
                }
                out.to_silent += 1;
            }
            let worker = &self.workers[m];
            // Whoever has not learned of this leader is asked first: orders wait three times as
            // long for an answer, and that a worker is gone was known a second later.
            if worker.incarnation > worker.expired_incarnation && worker.reconciled {
                self.send_orders(m);
            } else {
                self.ask_worker(m);
            }
            let message_id = &self.workers[m].in_message_id;
            window = window.saturating_sub(message_id.as_ref().map_or(WHOLE, cost));
        }
    }

    fn out(&self) -> InFlightLoad {
        let late_s = self.late_after_s();
        let mut out = InFlightLoad {
            predates_election: vec![0; self.zones.len()],
            ..InFlightLoad::default()
        };
        for (_, worker) in self.workers.iter() {
            let Some(message_id) = &worker.in_message_id else {
                continue;
            };
            let late = worker
                .last_heartbeat_at
                .is_some_and(|t| self.now - t > late_s);
            out.to_silent += usize::from(worker.fenced || worker.commands_unanswered || late);
            if self.now - message_id.since < YOUNG_S {
                out.young += cost(message_id);
            } else {
                out.predates_election[worker.zone as usize] += 1;
            }
        }
        out
    }

    /// Why a worker is to be written to now, if it is.
    fn due(&mut self, m: u32) -> Option<Reason> {
        let silent = self.is_unresponsive(m);
        let worker = &self.workers[m];
        let may_probe = worker.next_probe <= self.now;
        let unreconciled =
            worker.known_to_predecessor && !worker.reconciled && !self.reconciliation_complete;
        let never = worker.incarnation <= worker.expired_incarnation;
        if never || (silent && unreconciled) {
            // Recorded by an earlier leader, and not heard yet, or heard by a shard owner before this
            // leader was there: ask it.
            let asked = unreconciled && may_probe && !self.awaits_forwarded_heartbeats();
            return asked.then_some(if worker.fenced || !never {
                Reason::QuestionToSilent
            } else {
                Reason::PendingLookup
            });
        }
        let fenced = worker.fenced;
        let commands_unanswered = worker.commands_unanswered;
        if silent || fenced || commands_unanswered {
            self.unqueue_all(m);
        }
        if silent || !may_probe {
            return None;
        }
        let worker = &self.workers[m];
        if commands_unanswered && worker.outbox.is_empty() {
            return Some(Reason::QuestionToSilent);
        }
        let reason = |c: &Command| match c.verb {
            Verb::Start => match self.job_ids.get(&c.job).map(|&ix| &self.jobs[ix]) {
                Some(job) if job.is_service() => Reason::Replica,
                Some(job) if job.spec.priority >= Priority::High => Reason::Rush,
                _ => Reason::Rest,
            },
            Verb::Stop { .. } => Reason::Rush,
            Verb::Forget => Reason::Rest,
        };
        let most_urgent = worker.outbox.iter().map(reason).min();
        // One that has not learned of this leader yet is taught by a question.
        if worker.reconciled {
            most_urgent
        } else {
            Some(Reason::PendingLookup)
        }
    }

    fn send_orders(&mut self, m: u32) {
        let message_id = self.new_message_id();
        let commands = self.drain_outbox(m, Sent::Direct { message_id });
        let starts = commands
            .iter()
            .filter(|c| c.verb == Verb::Start)
            .filter_map(|c| {
                Some(InstanceId {
                    job: *self.job_ids.get(&c.job)?,
                    task: c.task,
                    attempt: c.attempt,
                })
            })
            .collect();
        let via = self.record_in_flight(m, message_id, starts, true);
        let worker = &self.workers[m];
        self.effects.push(Effect::Direct {
            worker: worker.name.clone(),
            address: worker.address.clone(),
            incarnation: worker.incarnation,
            message_id,
            commands,
            via,
        });
    }
}
