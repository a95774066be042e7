//! Commands for a worker: what waits to be sent, and what follows from its last heartbeat.

use crate::protocol::worker::{Command, Exit, MAX_COMMANDS, TaskPhase, Verb};

use crate::coordination::model::*;
use crate::coordination::state::Core;

use super::task_status::orphan_command;

/// A stop that had no effect for so long is sent again.
const STOP_RETRY_S: Time = 1.0;

impl Core {
    /// What goes back with the answer to the newest heartbeat of a worker.
    pub(super) fn collect_commands(&mut self, m: u32, counter: u64) -> Vec<Command> {
        let stops = self.due_stops(m);
        let room = MAX_COMMANDS - stops.len();
        let mut commands = Vec::new();
        if self.workers[m].in_flight.is_none() {
            commands = self.take_queued_commands(m, room, StartDelivery::Response { counter });
        }
        let follow_up = self.follow_up_commands(m, room.saturating_sub(commands.len()));
        append_missing(&mut commands, follow_up);
        append_missing(&mut commands, stops);
        commands
    }

    /// What must stop on a worker now. Each answer to a heartbeat carries it, for each renews the
    /// lease: of all tasks whose jobs have ended or are being cancelled, and of what else was
    /// ordered to stop and has not been sent. Also while a direct message is out that may carry the
    /// same, and whether or not it was sent before: stops may be repeated, and messages be lost. At
    /// most as many as an answer may have.
    ///
    /// The stops once left with the queue alone, which waits while a message is out. Leases were
    /// renewed again and again without them (docs/incidents/cancelled-task-ran-on.md).
    pub(super) fn due_stops(&self, m: u32) -> Vec<Command> {
        let worker = &self.workers[m];
        let mut stops: Vec<Command> = worker.running_orphans().map(orphan_command).collect();
        for (id, instance) in &worker.instances {
            let ends = self.jobs[id.job].is_ending() && instance.exit().is_none();
            if !ends || instance.start_delivery == StartDelivery::Queued {
                continue;
            }
            if instance.may_arrive_late() {
                stops.push(self.command(*id, Verb::Start));
            }
            stops.push(self.command(*id, Verb::Stop { grace_s: 0.0 }));
        }
        let queued = worker.outbox.iter().filter(|command| is_stop(command));
        append_missing(&mut stops, queued.cloned().collect());
        stops.truncate(MAX_COMMANDS);
        stops
    }

    /// At most `limit` commands that follow from what a worker has just reported: what has exited
    /// is forgotten, what had no effect is sent again.
    pub(crate) fn follow_up_commands(&mut self, m: u32, limit: usize) -> Vec<Command> {
        let mut commands = Vec::new();
        let ids: Vec<InstanceId> = self.workers[m].instances.keys().copied().collect();
        for id in ids {
            if commands.len() >= limit {
                break;
            }
            match self.follow_up_of(id, &self.workers[m].instances[&id]) {
                FollowUp::Nothing => {}
                FollowUp::Forget => commands.push(self.command(id, Verb::Forget)),
                FollowUp::Start => commands.push(self.command(id, Verb::Start)),
                FollowUp::Stop { grace_s } => commands.push(self.repeat_stop(m, id, grace_s)),
                FollowUp::StartAndStop => {
                    commands.push(self.command(id, Verb::Start));
                    commands.push(self.repeat_stop(m, id, 0.0));
                }
            }
        }
        commands
    }

    fn follow_up_of(&self, id: InstanceId, instance: &TaskInstance) -> FollowUp {
        let job = &self.jobs[id.job];
        let stored =
            job.tasks[id.task as usize].stored || matches!(job.state, JobState::Terminal(_));
        let never_reported = instance.may_arrive_late();
        match (instance.exit(), instance.stop) {
            // A start that may still arrive would start a forgotten attempt anew.
            (Some(_), _) if instance.unacknowledged => FollowUp::Nothing,
            (Some(Exit::Done), _) if !stored && !job.is_service() => FollowUp::Nothing,
            (Some(_), _) => FollowUp::Forget,
            // Not there, but its start may still arrive, perhaps minutes late. Held as an exited
            // attempt that is never forgotten, the late start does nothing.
            (None, Some(_)) if never_reported => FollowUp::StartAndStop,
            (None, Some(stop)) if self.stop_is_overdue(stop, instance) => FollowUp::Stop {
                grace_s: stop.grace_s,
            },
            // Sent again with the same attempt: it does nothing if it arrived before.
            (None, None) if never_reported => FollowUp::Start,
            (None, _) => FollowUp::Nothing,
        }
    }

    fn stop_is_overdue(&self, stop: Stop, instance: &TaskInstance) -> bool {
        stop.sent_at
            .is_some_and(|sent_at| self.now - sent_at > STOP_RETRY_S)
            && instance.phase != Some(TaskPhase::Saving)
    }

    fn repeat_stop(&mut self, m: u32, id: InstanceId, grace_s: f64) -> Command {
        let now = self.now;
        let instance = self.workers[m].instances.get_mut(&id);
        if let Some(stop) = instance.and_then(|i| i.stop.as_mut()) {
            stop.sent_at = Some(now);
        }
        self.command(id, Verb::Stop { grace_s })
    }

    /// Takes the commands that are to be sent, at most `limit`, and records how their starts leave.
    pub(crate) fn take_queued_commands(
        &mut self,
        m: u32,
        limit: usize,
        how: StartDelivery,
    ) -> Vec<Command> {
        let now = self.now;
        let worker = &mut self.workers[m];
        let count = worker.outbox.len().min(limit);
        let later = worker.outbox.split_off(count);
        let commands = std::mem::replace(&mut worker.outbox, later);
        for command in &commands {
            let Some(job) = self.jobs.index_of(command.job) else {
                continue;
            };
            let id = InstanceId {
                job,
                task: command.task,
                attempt: command.attempt,
            };
            let Some(instance) = worker.instances.get_mut(&id) else {
                continue;
            };
            match command.verb {
                Verb::Start => instance.start_delivery = how,
                Verb::Stop { .. } => {
                    if let Some(stop) = &mut instance.stop {
                        stop.sent_at = Some(now);
                    }
                }
                Verb::Forget => {}
            }
        }
        commands
    }
}

/// What is sent for one instance after a heartbeat.
enum FollowUp {
    Nothing,
    Forget,
    Start,
    Stop { grace_s: f64 },
    StartAndStop,
}
