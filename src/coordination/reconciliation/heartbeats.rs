//! Heartbeats of workers: which of them are answered, by which controller, and how they are
//! applied.

use std::collections::BTreeSet;

use copperfield_sharding::Route;

use crate::protocol::worker::{Command, Heartbeat, TaskStatus, commands_body};

use crate::coordination::command_tokens::{CommandChannel, FencedCommands};
use crate::coordination::messages::{Effect, HeartbeatRefusal, HeartbeatSource, StepDownReason};
use crate::coordination::model::*;
use crate::coordination::state::Core;

use super::lease_log::{AppliedHeartbeat, Renewal};

impl Core {
    /// Adds a new worker and returns its index.
    pub(crate) fn add_worker(
        &mut self,
        name: &str,
        address: &str,
        instance_type: u32,
        zone: u32,
        spot: bool,
    ) -> u32 {
        let mut worker = Worker::new(name, address, instance_type, zone, spot);
        worker.fenced = self.fencing.is_fenced(name);
        worker.draining = self.drains.contains_key(name);
        worker.known_since = self.now;
        let index = self.workers.insert(worker);
        self.add_worker_to_shards(index);
        index
    }

    /// Handles a heartbeat that this controller has received from a worker.
    pub(crate) fn handle_heartbeat(&mut self, ticket: u64, heartbeat: Heartbeat) {
        let worker_index = match self.worker_of(&heartbeat) {
            Ok(worker_index) => worker_index,
            Err(reason) => return self.refuse(ticket, &heartbeat, reason),
        };
        let is_repeat =
            HeartbeatSequence::of(&heartbeat) == self.workers[worker_index].newest_receipt.sequence;
        if is_repeat
            || self.is_duplicate_heartbeat(worker_index, &heartbeat, self.own_controller_index())
        {
            return self.refuse(ticket, &heartbeat, HeartbeatRefusal::Duplicate);
        }
        self.answer_heartbeat(ticket, heartbeat);
    }

    /// Refuses a heartbeat. The refusal does not renew the worker's lease.
    fn refuse(&mut self, ticket: u64, heartbeat: &Heartbeat, reason: HeartbeatRefusal) {
        let log = &mut self.reconciliation.lease_log;
        log.record_refusal(self.now, &heartbeat.worker, reason);
        self.effects
            .push(Effect::RefuseHeartbeat { ticket, reason });
    }

    /// Whether a newer heartbeat of the worker has been received, or the same one by another
    /// controller. The worker has received the answer to such a heartbeat or no longer waits for
    /// it, so the heartbeat must not renew the lease or count as a sign of life. Without this
    /// check, delayed duplicates kept dead workers from being released. A shard owner forwards the
    /// same heartbeat repeatedly until it may answer it; these copies are not duplicates.
    pub(crate) fn is_duplicate_heartbeat(
        &mut self,
        worker_index: u32,
        heartbeat: &Heartbeat,
        controller: u32,
    ) -> bool {
        let sequence = HeartbeatSequence::of(heartbeat);
        let newest = &mut self.workers[worker_index].newest_receipt;
        let duplicate = sequence < newest.sequence
            || (sequence == newest.sequence && controller != newest.controller);
        if !duplicate {
            *newest = HeartbeatReceipt {
                sequence,
                controller,
            };
        }
        duplicate
    }

    /// Answers a heartbeat, redirects its worker to the shard owner, or defers the answer.
    pub(crate) fn answer_heartbeat(&mut self, ticket: u64, heartbeat: Heartbeat) {
        let worker_index = match self.worker_of(&heartbeat) {
            Ok(worker_index) => worker_index,
            Err(reason) => return self.refuse(ticket, &heartbeat, reason),
        };
        let Some(heartbeat) = self.defer_if_fenced(worker_index, ticket, heartbeat) else {
            return;
        };
        let newer = self.is_newer(worker_index, &heartbeat);
        match self.route_heartbeat(worker_index, self.own_controller_index(), true) {
            Route::Here => {}
            Route::Redirect(controller) => {
                if newer {
                    self.apply_heartbeat(worker_index, heartbeat, HeartbeatSource::Worker);
                }
                self.reconciliation.lease_log.record_redirect();
                return self
                    .effects
                    .push(Effect::RedirectWorker { ticket, controller });
            }
            Route::Wait => return self.defer_answer(ticket, heartbeat),
        }
        self.workers[worker_index].answered_at = Some(self.now);
        let sequence = HeartbeatSequence::of(&heartbeat);
        if newer {
            self.apply_heartbeat(worker_index, heartbeat, HeartbeatSource::Worker);
        }
        let forget_token = self.forget_token(worker_index);
        let commands = if newer {
            self.collect_commands(worker_index, sequence.counter)
        } else {
            // A direct answer has overtaken the heartbeat, but the answer still renews the lease.
            self.due_stops(worker_index)
        };
        let channel = CommandChannel::Response;
        let FencedCommands { token, commands } =
            self.fence_commands(worker_index, commands, forget_token, channel);
        self.record_renewal(worker_index, sequence, !newer, &commands);
        self.effects.push(Effect::AnswerHeartbeat {
            ticket,
            body: commands_body(token, None, &commands),
        });
    }

    fn record_renewal(
        &mut self,
        worker_index: u32,
        sequence: HeartbeatSequence,
        overtaken: bool,
        commands: &[Command],
    ) {
        let worker = &self.workers[worker_index];
        let renewal = Renewal {
            worker: &worker.name,
            sequence,
            overtaken,
            message_in_flight: worker.in_flight.is_some(),
            stops: commands.iter().filter(|command| is_stop(command)).count(),
        };
        let log = &mut self.reconciliation.lease_log;
        log.record_renewal(self.now, &renewal);
    }

    /// The index of the worker that sent a heartbeat, which is added if it is new, or the reason
    /// why the heartbeat is refused.
    pub(crate) fn worker_of(&mut self, heartbeat: &Heartbeat) -> Result<u32, HeartbeatRefusal> {
        if self.is_of_later_leader(heartbeat.token) {
            self.effects
                .push(Effect::StepDown(StepDownReason::NewerToken));
            return Err(HeartbeatRefusal::NewerLeader);
        }
        if self.workers.is_scaled_in(&heartbeat.worker) {
            return Err(HeartbeatRefusal::ScaledIn);
        }
        let worker_index = match self.workers.index_of(&heartbeat.worker) {
            Some(worker_index) => worker_index,
            None => self.add_booted_worker(heartbeat),
        };
        if heartbeat.incarnation <= self.workers[worker_index].expired_incarnation {
            // The network has delayed the heartbeat: the lease of that incarnation has expired.
            return Err(HeartbeatRefusal::IncarnationExpired);
        }
        Ok(worker_index)
    }

    fn add_booted_worker(&mut self, heartbeat: &Heartbeat) -> u32 {
        let instance_type = self.types.intern(&heartbeat.machine_type);
        let zone = self.zones.intern(&heartbeat.zone);
        tracing::info!(worker = heartbeat.worker, "worker joined");
        self.handle_worker_boot(&heartbeat.worker);
        self.add_worker(
            &heartbeat.worker,
            &heartbeat.address,
            instance_type,
            zone,
            heartbeat.spot,
        )
    }

    /// Whether a heartbeat is newer than every heartbeat applied so far.
    pub(crate) fn is_newer(&self, worker_index: u32, heartbeat: &Heartbeat) -> bool {
        HeartbeatSequence::of(heartbeat) > self.workers[worker_index].sequence()
    }

    /// Applies a heartbeat that is newer than every heartbeat applied so far.
    pub(crate) fn apply_heartbeat(
        &mut self,
        worker_index: u32,
        heartbeat: Heartbeat,
        source: HeartbeatSource,
    ) {
        if heartbeat.incarnation > self.workers[worker_index].incarnation {
            self.begin_incarnation(worker_index);
        }
        let counter = heartbeat.counter;
        let was_reconciled = self.workers[worker_index].reconciled;
        let reclaim_noticed = self.update_worker(worker_index, &heartbeat);
        self.register_worker(worker_index);
        let (listed, orphaned_tasks) = self.apply_listed_tasks(worker_index, &heartbeat.tasks);
        self.remove_absent_instances(worker_index, &listed, counter, source);
        self.workers[worker_index].orphaned_tasks = orphaned_tasks;
        self.queue_orphan_commands(worker_index);
        self.log_applied_heartbeat(worker_index, &heartbeat, source, was_reconciled);
        if reclaim_noticed {
            self.checkpoint_before_reclaim(worker_index);
        }
        let now = self.now;
        let worker = &mut self.workers[worker_index];
        if worker.instances.is_empty() && worker.orphaned_tasks.is_empty() {
            worker.idle_since.get_or_insert(now);
        } else {
            worker.idle_since = None;
        }
    }

    fn log_applied_heartbeat(
        &mut self,
        worker_index: u32,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        was_reconciled: bool,
    ) {
        let worker = &self.workers[worker_index];
        let reconciles = worker.reconciled && !was_reconciled;
        let orphaned = worker.running_orphans().count();
        if !reconciles && orphaned == 0 {
            return;
        }
        let applied = AppliedHeartbeat {
            worker: &worker.name,
            sequence: HeartbeatSequence::of(heartbeat),
            direct: source != HeartbeatSource::Worker,
            token: heartbeat.token,
            tasks: heartbeat.tasks.len(),
            orphaned,
        };
        let log = &mut self.reconciliation.lease_log;
        if reconciles {
            log.record_reconciliation(self.now, &applied);
        }
        if orphaned > 0 {
            log.record_orphans(self.now, &applied);
        }
    }

    /// Records a new incarnation of a worker, which holds none of the tasks of earlier ones.
    fn begin_incarnation(&mut self, worker_index: u32) {
        let worker = &mut self.workers[worker_index];
        if worker.incarnation > 0 && !worker.instances.is_empty() {
            tracing::info!(
                worker = worker.name,
                instances = worker.instances.len(),
                "new incarnation: all its task instances are gone"
            );
        }
        worker.reconciled = false;
        // The lease of the new incarnation began before now, so counting from now is safe. If the
        // lease of the previous incarnation still counted, tasks started in the new one would be
        // considered gone as soon as that lease expired.
        worker.answered_at = Some(self.now);
        self.clear_worker(worker_index);
    }

    /// Applies the heartbeat's fields that describe the worker itself. Returns whether this is the
    /// first heartbeat with a notice that the cloud will reclaim the worker.
    fn update_worker(&mut self, worker_index: u32, heartbeat: &Heartbeat) -> bool {
        let now = self.now;
        let reconciled = self.is_own_token(heartbeat.token);
        let worker = &mut self.workers[worker_index];
        worker.incarnation = heartbeat.incarnation;
        worker.counter = heartbeat.counter;
        worker.reconciled = reconciled;
        if reconciled {
            worker.tokens.record_reported(heartbeat.token);
        }
        worker.last_heartbeat_at = Some(now);
        worker.address.clone_from(&heartbeat.address);
        if let Some(notice_s) = heartbeat.notice_s
            && worker.reclaim_at.is_none()
        {
            tracing::info!(worker = worker.name, notice_s, "worker will be reclaimed");
            worker.reclaim_at = Some(now + notice_s);
            return true;
        }
        false
    }

    /// Applies the status of each listed task. Returns the listed instances of known jobs, and the
    /// listed tasks of unknown jobs.
    fn apply_listed_tasks(
        &mut self,
        worker_index: u32,
        tasks: &[TaskStatus],
    ) -> (BTreeSet<InstanceId>, Vec<TaskStatus>) {
        let mut listed = BTreeSet::new();
        let mut orphaned_tasks = Vec::new();
        for status in tasks {
            let Some(job) = self.known_job_of(status) else {
                orphaned_tasks.push(status.clone());
                continue;
            };
            let id = InstanceId {
                job,
                task: status.task,
                attempt: status.attempt,
            };
            listed.insert(id);
            self.log_unexplained_task(worker_index, id);
            self.apply_task_phase(worker_index, id, status.phase);
        }
        (listed, orphaned_tasks)
    }

    /// Logs a task that this leader started on a worker, and that it holds for gone from there.
    fn log_unexplained_task(&mut self, worker_index: u32, id: InstanceId) {
        let worker = &self.workers[worker_index];
        if token_of_attempt(id.attempt) != self.token || worker.instances.contains_key(&id) {
            return;
        }
        let job = self.jobs[id.job].spec.id;
        let log = &mut self.reconciliation.command_log;
        log.record_unexplained(self.now, &worker.name, job, id);
    }

    /// The index of the job of a listed task, if the job is known and has a task of that number.
    pub(super) fn known_job_of(&self, status: &TaskStatus) -> Option<u32> {
        let job = self.jobs.index_of(status.job)?;
        ((status.task as usize) < self.jobs[job].tasks.len()).then_some(job)
    }

    /// Removes the instances that a heartbeat does not list although their starts must have reached
    /// the worker before it was sent.
    fn remove_absent_instances(
        &mut self,
        worker_index: u32,
        listed: &BTreeSet<InstanceId>,
        counter: u64,
        source: HeartbeatSource,
    ) {
        let absent: Vec<InstanceId> = self.workers[worker_index]
            .instances
            .iter()
            .filter(|(id, instance)| {
                // An exited task that is no longer listed was forgotten, and its start is refused.
                let settled = !instance.unacknowledged || instance.exit().is_some();
                !listed.contains(*id)
                    && settled
                    && start_is_settled(instance.start_delivery, counter, source)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in absent {
            // The answer with the start was lost, so later answers may be lost as well.
            let lost = matches!(
                self.workers[worker_index].instances[&id].start_delivery,
                StartDelivery::Response { .. }
            );
            self.workers[worker_index].commands_unanswered |= lost;
            self.remove_instance(worker_index, id);
            self.abort_gang_attempt(id);
        }
    }
}

/// Whether a start had either reached the worker or been lost for good when the worker sent the
/// heartbeat with this counter.
fn start_is_settled(
    delivery: StartDelivery,
    heartbeat_counter: u64,
    source: HeartbeatSource,
) -> bool {
    match delivery {
        StartDelivery::Queued => false,
        StartDelivery::Reported => true,
        StartDelivery::Response { counter } => {
            source == HeartbeatSource::Worker && heartbeat_counter > counter
        }
        StartDelivery::Direct { message_id } => {
            source
                == (HeartbeatSource::Direct {
                    message_id,
                    executed: true,
                })
        }
    }
}
