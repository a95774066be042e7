//! Commands for a worker: those in its outbox, and those that follow from its last heartbeat.

use crate::protocol::worker::{Command, Exit, MAX_COMMANDS, TaskPhase, Verb};

use crate::coordination::model::*;
use crate::coordination::state::Core;

use super::task_status::orphan_command;

/// A stop that has had no effect for this long is sent again.
const STOP_RETRY_S: Time = 1.0;

impl Core {
    /// Collects the commands for the answer to a worker's newest heartbeat.
    pub(super) fn collect_commands(&mut self, worker_index: u32, counter: u64) -> Vec<Command> {
        let stops = self.due_stops(worker_index);
        let limit = MAX_COMMANDS - stops.len();
        let mut commands = Vec::new();
        if self.workers[worker_index].in_flight.is_none() {
            commands =
                self.take_queued_commands(worker_index, limit, StartDelivery::Response { counter });
        }
        let follow_up = self.follow_up_commands(worker_index, limit.saturating_sub(commands.len()));
        append_missing(&mut commands, follow_up);
        append_missing(&mut commands, stops);
        commands
    }

    /// The stops that are due on a worker: those of orphaned tasks, of tasks whose jobs have ended
    /// or are being cancelled, and those in the outbox. Returns at most [`MAX_COMMANDS`].
    ///
    /// Every answer to a heartbeat renews the lease, so every answer carries these stops. They are
    /// included even if they were sent before or a direct message in flight carries them: a stop
    /// may be repeated, and a message may be lost. If the stops were only sent from the outbox,
    /// they would wait while a direct message is in flight, and leases would be renewed repeatedly
    /// without them (docs/incidents/cancelled-task-ran-on.md).
    pub(super) fn due_stops(&self, worker_index: u32) -> Vec<Command> {
        let worker = &self.workers[worker_index];
        let mut stops: Vec<Command> = worker.running_orphans().map(orphan_command).collect();
        for (id, instance) in &worker.instances {
            let must_stop = self.jobs[id.job].is_ending() && instance.exit().is_none();
            if !must_stop || instance.start_delivery == StartDelivery::Queued {
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

    /// At most `limit` commands that follow from a worker's newest heartbeat: exited tasks are
    /// forgotten, and commands that had no effect are sent again.
    pub(crate) fn follow_up_commands(&mut self, worker_index: u32, limit: usize) -> Vec<Command> {
        let mut commands = Vec::new();
        let ids: Vec<InstanceId> = self.workers[worker_index]
            .instances
            .keys()
            .copied()
            .collect();
        for id in ids {
            if commands.len() >= limit {
                break;
            }
            match self.follow_up_for(id, &self.workers[worker_index].instances[&id]) {
                FollowUp::Nothing => {}
                FollowUp::Forget => commands.push(self.command(id, Verb::Forget)),
                FollowUp::Start => commands.push(self.command(id, Verb::Start)),
                FollowUp::Stop { grace_s } => {
                    commands.push(self.repeat_stop(worker_index, id, grace_s));
                }
                FollowUp::StartAndStop => {
                    commands.push(self.command(id, Verb::Start));
                    commands.push(self.repeat_stop(worker_index, id, 0.0));
                }
            }
        }
        commands
    }

    fn follow_up_for(&self, id: InstanceId, instance: &TaskInstance) -> FollowUp {
        let job = &self.jobs[id.job];
        let stored =
            job.tasks[id.task as usize].stored || matches!(job.state, JobState::Terminal(_));
        let may_arrive_late = instance.may_arrive_late();
        match (instance.exit(), instance.stop) {
            (Some(Exit::Done), _) if !stored && !job.is_service() => FollowUp::Nothing,
            (Some(_), _) => FollowUp::Forget,
            // The worker does not list the attempt, but its start may still arrive minutes late.
            // With start and stop sent together, the worker holds an exited attempt and ignores the
            // late start.
            (None, Some(_)) if may_arrive_late => FollowUp::StartAndStop,
            (None, Some(stop)) if self.stop_is_overdue(stop, instance) => FollowUp::Stop {
                grace_s: stop.grace_s,
            },
            // The repeated start has the same attempt, so it has no effect if the first one
            // arrived.
            (None, None) if may_arrive_late => FollowUp::Start,
            (None, _) => FollowUp::Nothing,
        }
    }

    fn stop_is_overdue(&self, stop: Stop, instance: &TaskInstance) -> bool {
        stop.sent_at
            .is_some_and(|sent_at| self.now - sent_at > STOP_RETRY_S)
            && instance.phase != Some(TaskPhase::Saving)
    }

    fn repeat_stop(&mut self, worker_index: u32, id: InstanceId, grace_s: f64) -> Command {
        let now = self.now;
        let instance = self.workers[worker_index].instances.get_mut(&id);
        if let Some(stop) = instance.and_then(|i| i.stop.as_mut()) {
            stop.sent_at = Some(now);
        }
        self.command(id, Verb::Stop { grace_s })
    }

    /// Takes at most `limit` commands from the outbox, and records how the starts among them are
    /// sent and when the stops are sent.
    pub(crate) fn take_queued_commands(
        &mut self,
        worker_index: u32,
        limit: usize,
        delivery: StartDelivery,
    ) -> Vec<Command> {
        let now = self.now;
        let worker = &mut self.workers[worker_index];
        let count = worker.outbox.len().min(limit);
        let remaining = worker.outbox.split_off(count);
        let commands = std::mem::replace(&mut worker.outbox, remaining);
        for command in &commands {
            let Some(id) = self.jobs.instance_id(command) else {
                continue;
            };
            let Some(instance) = worker.instances.get_mut(&id) else {
                continue;
            };
            match command.verb {
                Verb::Start => instance.start_delivery = delivery,
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

/// The commands for one instance that follow from a heartbeat.
enum FollowUp {
    Nothing,
    Forget,
    Start,
    Stop { grace_s: f64 },
    StartAndStop,
}
