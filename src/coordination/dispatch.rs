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
/// What a message of this node's own takes of the window, and one that a holder carries.
const WHOLE: usize = 4;
const CARRIED: usize = 1;
/// One that is out for longer waits for a machine, not for this process, and makes way: on
/// ordinary days answers come within 20 ms.
const YOUNG_S: Time = 0.2;
/// Questions to machines that are late or silent, at once: most wait out their deadline.
const TO_SILENT: usize = 64;
/// So many old ones of a zone are not taken for a sign yet.
const FEW_OLD: usize = 8;

/// Why a machine is written to, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reason {
    /// Until it has told what it holds, others wait.
    Question,
    Replica,
    /// Rush work, and stops, which make room or have a deadline.
    Rush,
    Rest,
    QuestionToSilent,
}

/// What is out, and to whom.
#[derive(Default)]
struct Out {
    young: usize,
    to_silent: usize,
    /// By zone, those that have waited for longer: a zone that does not answer is asked last.
    old: Vec<usize>,
}

/// What a message takes of the window.
fn cost(flight: &Flight) -> usize {
    if flight.carried { CARRIED } else { WHOLE }
}

impl Core {
    /// Asks a machine for its report.
    pub(super) fn ask(&mut self, m: u32) {
        let flight = self.new_flight();
        self.machines[m].next_probe = self.now + 1.0;
        let via = self.fly(m, flight, Vec::new(), false);
        let machine = &self.machines[m];
        self.effects.push(Effect::Inspect {
            machine: machine.name.clone(),
            address: machine.address.clone(),
            // Most have never lost a lease.
            session: machine.session.max(1),
            flight,
            via,
        });
    }

    fn new_flight(&mut self) -> u64 {
        let flight = self.next_flight;
        self.next_flight += 1;
        flight
    }

    /// A message is out to a machine, with these starts in it.
    /// Through which node, if not from here.
    fn fly(&mut self, m: u32, flight: u64, starts: Vec<CopyKey>, orders: bool) -> Option<u32> {
        let via = self.carrier(m);
        if via.is_some() {
            self.note_carried(m, flight);
        }
        self.machines[m].flight = Some(Flight {
            id: flight,
            since: self.now,
            starts,
            orders,
            carried: via.is_some(),
        });
        via
    }

    /// A machine whose report has not come after this long is late.
    pub(super) fn late_after_s(&self) -> f64 {
        self.config.cluster.workers.report_s * 1.04
    }

    /// How many more late or silent machines may be asked now.
    pub(super) fn questions_left(&self) -> usize {
        TO_SILENT.saturating_sub(self.out().to_silent)
    }

    /// Sends what cannot wait for the next report.
    pub(super) fn flush_commands(&mut self) {
        let mut due: Vec<(Reason, u32)> = Vec::new();
        for m in self.machines.indices() {
            if self.machines[m].flight.is_none()
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
            let old = |m: u32| out.old[self.machines[m].zone as usize] / FEW_OLD;
            due.sort_by_key(|&(reason, m)| (reason, old(m), m));
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
            let machine = &self.machines[m];
            // Whoever has not learned of this leader is asked first: orders wait three times as
            // long for an answer, and that a machine is gone was known a second later.
            if machine.session > machine.dead_session && machine.synced {
                self.send_orders(m);
            } else {
                self.ask(m);
            }
            let flight = &self.machines[m].flight;
            window = window.saturating_sub(flight.as_ref().map_or(WHOLE, cost));
        }
    }

    fn out(&self) -> Out {
        let late_s = self.late_after_s();
        let mut out = Out {
            old: vec![0; self.zones.len()],
            ..Out::default()
        };
        for (_, machine) in self.machines.iter() {
            let Some(flight) = &machine.flight else {
                continue;
            };
            let late = machine.heard_at.is_some_and(|t| self.now - t > late_s);
            out.to_silent += usize::from(machine.on_record || machine.unreached || late);
            if self.now - flight.since < YOUNG_S {
                out.young += cost(flight);
            } else {
                out.old[machine.zone as usize] += 1;
            }
        }
        out
    }

    /// Why a machine is to be written to now, if it is.
    fn due(&mut self, m: u32) -> Option<Reason> {
        let silent = self.is_silent(m);
        let machine = &self.machines[m];
        let may_probe = machine.next_probe <= self.now;
        let unheard = machine.was_recorded && !machine.synced && !self.settled;
        let never = machine.session <= machine.dead_session;
        if never || (silent && unheard) {
            // Recorded by an earlier leader, and not heard yet, or heard by a holder before this
            // leader was there: ask it.
            let asked = unheard && may_probe && !self.is_being_told();
            return asked.then_some(if machine.on_record || !never {
                Reason::QuestionToSilent
            } else {
                Reason::Question
            });
        }
        let on_record = machine.on_record;
        let unreached = machine.unreached;
        if silent || on_record || unreached {
            self.unqueue_all(m);
        }
        if silent || !may_probe {
            return None;
        }
        let machine = &self.machines[m];
        if unreached && machine.outbox.is_empty() {
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
        let most_urgent = machine.outbox.iter().map(reason).min();
        // One that has not learned of this leader yet is taught by a question.
        if machine.synced {
            most_urgent
        } else {
            Some(Reason::Question)
        }
    }

    fn send_orders(&mut self, m: u32) {
        let flight = self.new_flight();
        let commands = self.take_outbox(m, Sent::Direct { flight });
        let starts = commands
            .iter()
            .filter(|c| c.verb == Verb::Start)
            .filter_map(|c| {
                Some(CopyKey {
                    job: *self.job_ids.get(&c.job)?,
                    task: c.task,
                    attempt: c.attempt,
                })
            })
            .collect();
        let via = self.fly(m, flight, starts, true);
        let machine = &self.machines[m];
        self.effects.push(Effect::Direct {
            machine: machine.name.clone(),
            address: machine.address.clone(),
            session: machine.session,
            flight,
            commands,
            via,
        });
    }
}
