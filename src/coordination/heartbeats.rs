//! What workers report, what goes back to them, and what silence proves.

use std::collections::{BTreeMap, BTreeSet};

use copperfield_sharding::Route;

use crate::protocol::job::Resources;
use crate::protocol::worker::{
    Command, Exit, Heartbeat, MAX_COMMANDS, TaskPhase, Verb, commands_body,
};

use super::messages::{Effect, Outcome, Source};
use super::model::*;
use super::state::{Core, TeamUsage};

/// Steady clocks drift apart by 0.05% each way; timers and queues add a little.
const DRIFT: f64 = 1.001;
const LEASE_MARGIN_S: f64 = 0.3;
/// A task that has run for so long shows that its job is not mistaken.
const RUNS_WELL_S: f64 = 10.0;

impl Core {
    pub(super) fn add_worker(
        &mut self,
        name: &str,
        address: &str,
        kind: u32,
        zone: u32,
        spot: bool,
    ) -> u32 {
        let ix = self.workers.insert(Worker {
            name: name.to_string(),
            address: address.to_string(),
            kind,
            zone,
            spot,
            incarnation: 0,
            counter: 0,
            reported: ((0, 0), 0),
            answered_at: None,
            last_heartbeat_at: None,
            reported_at: None,
            expired_incarnation: 0,
            reconciled: false,
            reclaim_at: None,
            instances: BTreeMap::new(),
            used: Resources::default(),
            orphaned_tasks: OrphanedTasks::None,
            outbox: Vec::new(),
            in_message_id: None,
            page: None,
            registered: false,
            known_to_predecessor: false,
            fenced: self.fencing.is_fenced(name),
            number: 0,
            images: Vec::new(),
            reservations: Vec::new(),
            reserved_for: None,
            failed: BTreeMap::new(),
            quarantined_until: 0.0,
            quarantines: 0,
            returning: false,
            draining: self.drains.contains_key(name),
            idle_since: None,
            next_probe: 0.0,
            commands_unanswered: false,
            unanswered_at: None,
            missed: Unanswered::default(),
        });
        self.worker_ids.insert(name.to_string(), ix);
        self.add_worker_to_shards(ix);
        ix
    }

    /// A report has come to this node.
    pub(super) fn handle_heartbeat(&mut self, ticket: u64, heartbeat: Heartbeat) {
        let m = match self.worker_of(&heartbeat) {
            Ok(m) => m,
            Err(why) => return self.effects.push(Effect::Refuse { ticket, why }),
        };
        let order = (heartbeat.incarnation, heartbeat.counter);
        let again = order == self.workers[m].reported.0;
        if again || self.is_duplicate_heartbeat(m, &heartbeat, self.own_controller_index()) {
            let why = "this report or a newer one has come before";
            return self.effects.push(Effect::Refuse { ticket, why });
        }
        self.answer_heartbeat(ticket, heartbeat);
    }

    /// Whether a report that has come to the node of this place has been overtaken. Its worker
    /// has given it up, or has had its answer: none renews a lease any more, and it is no sign of
    /// life. Copies of old reports once kept workers that had died from being given up. A shard owner
    /// tells the same report until it may answer it.
    pub(super) fn is_duplicate_heartbeat(
        &mut self,
        m: u32,
        heartbeat: &Heartbeat,
        place: u32,
    ) -> bool {
        let order = (heartbeat.incarnation, heartbeat.counter);
        let newest = &mut self.workers[m].reported;
        let instance = order < newest.0 || (order == newest.0 && place != newest.1);
        if !instance {
            *newest = (order, place);
        }
        instance
    }

    pub(super) fn answer_heartbeat(&mut self, ticket: u64, heartbeat: Heartbeat) {
        let m = match self.worker_of(&heartbeat) {
            Ok(m) => m,
            Err(why) => return self.effects.push(Effect::Refuse { ticket, why }),
        };
        let Some(heartbeat) = self.may_answer(m, ticket, heartbeat) else {
            return;
        };
        let newer = self.is_newer(m, &heartbeat);
        match self.route_heartbeat(m) {
            Route::Here => {}
            Route::Redirect(controller) => {
                if newer {
                    self.apply_heartbeat(m, heartbeat, Source::Heartbeat);
                }
                return self.effects.push(Effect::SendTo { ticket, controller });
            }
            Route::Wait => return self.defer_answer(ticket, heartbeat),
        }
        self.workers[m].answered_at = Some(self.now);
        let counter = heartbeat.counter;
        if newer {
            self.apply_heartbeat(m, heartbeat, Source::Heartbeat);
        }
        let commands = if newer {
            self.collect_commands(m, counter)
        } else {
            Vec::new()
        };
        self.effects.push(Effect::Answer {
            ticket,
            body: commands_body(self.token, None, &commands),
        });
    }

    /// The worker that a report is of, or why it means nothing to this leader.
    pub(super) fn worker_of(&mut self, heartbeat: &Heartbeat) -> Result<u32, &'static str> {
        if heartbeat.token > self.token {
            self.effects.push(Effect::Deposed);
            return Err("a newer leader is known");
        }
        if self.gone.contains(&heartbeat.worker) {
            return Err("the machine was returned");
        }
        let m = match self.worker_ids.get(&heartbeat.worker) {
            Some(&m) => m,
            None => {
                let kind = self.types.intern(&heartbeat.machine_type);
                let zone = self.zones.intern(&heartbeat.zone);
                tracing::info!(worker = heartbeat.worker, "machine is up");
                self.handle_worker_boot(&heartbeat.worker);
                self.add_worker(
                    &heartbeat.worker,
                    &heartbeat.address,
                    kind,
                    zone,
                    heartbeat.spot,
                )
            }
        };
        if heartbeat.incarnation <= self.workers[m].expired_incarnation {
            // Held back by the network: that session's lease ran out long ago.
            return Err("the session is over");
        }
        Ok(m)
    }

    pub(super) fn is_newer(&self, m: u32, heartbeat: &Heartbeat) -> bool {
        let worker = &self.workers[m];
        (heartbeat.incarnation, heartbeat.counter) > (worker.incarnation, worker.counter)
    }

    pub(super) fn handle_command_outcome(&mut self, name: &str, message_id: u64, outcome: Outcome) {
        let Some(&m) = self.worker_ids.get(name) else {
            return;
        };
        let Some(InFlightMessage {
            starts,
            orders,
            relayed,
            ..
        }) = self.workers[m]
            .in_message_id
            .take_if(|f| f.id == message_id)
        else {
            return;
        };
        let answered = !matches!(outcome, Outcome::Unsent | Outcome::Unknown);
        self.record_command_result(m, answered);
        let worker = &mut self.workers[m];
        worker.commands_unanswered = !answered && (orders || worker.commands_unanswered);
        let (heartbeat, executed) = match outcome {
            Outcome::Unsent => {
                worker.note_unanswered(self.now, relayed);
                self.workers[m].next_probe = self.next_probe_at(m);
                (None, false)
            }
            Outcome::Executed(heartbeat) => {
                worker.next_probe = self.now;
                (Some(heartbeat), true)
            }
            Outcome::Rejected(heartbeat) => {
                // One that answers is not left waiting: a new leader's next message
                // teaches it the token.
                worker.next_probe = if heartbeat.is_some() {
                    self.now
                } else {
                    self.now + 1.0
                };
                (heartbeat, false)
            }
            Outcome::Unknown => {
                // The message may be held by the network for minutes: its starts stay
                // possible, and the attempt is not forgotten, until the session changes.
                tracing::info!(worker = name, starts = starts.len(), "commands unanswered");
                for key in starts {
                    if let Some(instance) = worker.instances.get_mut(&key)
                        && instance.sent == (Sent::Direct { message_id })
                    {
                        instance.unacknowledged = true;
                    }
                }
                worker.note_unanswered(self.now, relayed);
                self.workers[m].next_probe = self.next_probe_at(m);
                return;
            }
        };
        if !executed {
            for key in &starts {
                let unsent = self.workers[m]
                    .instances
                    .get(key)
                    .is_some_and(|c| !c.unacknowledged && c.sent == Sent::Direct { message_id });
                if unsent {
                    self.remove_instance(m, *key);
                    self.gang_lost_task(*key);
                }
            }
        }
        let Some(heartbeat) = heartbeat else { return };
        if heartbeat.token > self.token {
            self.effects.push(Effect::Deposed);
            return;
        }
        let worker = &mut self.workers[m];
        if heartbeat.worker != worker.name || heartbeat.incarnation <= worker.expired_incarnation {
            return;
        }
        let source = Source::Direct {
            message_id,
            executed,
        };
        if self.is_newer(m, &heartbeat) {
            self.apply_heartbeat(m, heartbeat, source);
        } else if executed {
            // A later report has arrived first, and could not yet say what became of these.
            for key in starts {
                if let Some(instance) = self.workers[m].instances.get_mut(&key)
                    && instance.sent == (Sent::Direct { message_id })
                {
                    let listed = heartbeat
                        .tasks
                        .iter()
                        .any(|t| t.task == key.task && t.attempt == key.attempt);
                    if listed {
                        instance.sent = Sent::Seen;
                    } else if !instance.unacknowledged {
                        self.remove_instance(m, key);
                    }
                }
            }
        }
    }

    pub(super) fn apply_heartbeat(&mut self, m: u32, heartbeat: Heartbeat, source: Source) {
        let worker = &mut self.workers[m];
        if heartbeat.incarnation > worker.incarnation {
            if worker.incarnation > 0 && !worker.instances.is_empty() {
                tracing::info!(worker = worker.name, "new session: all its tasks are gone");
            }
            worker.reconciled = false;
            // Its lease runs from when it began, which is before now. Held to the lease of
            // the session before, what was started in it was once thought gone at once.
            worker.answered_at = Some(self.now);
            self.clear_worker(m);
        }
        let now = self.now;
        let own = self.token;
        let mut noticed = false;
        let worker = &mut self.workers[m];
        worker.incarnation = heartbeat.incarnation;
        worker.counter = heartbeat.counter;
        worker.reconciled = heartbeat.token == own;
        worker.last_heartbeat_at = Some(now);
        worker.address = heartbeat.address;
        if let Some(notice) = heartbeat.notice_s
            && worker.reclaim_at.is_none()
        {
            tracing::info!(worker = worker.name, notice, "machine will be taken back");
            worker.reclaim_at = Some(now + notice);
            noticed = true;
        }
        self.register_worker(m);
        let mut listed = BTreeSet::new();
        let mut orphaned_tasks = OrphanedTasks::None;
        for t in &heartbeat.tasks {
            let known = self
                .job_ids
                .get(&t.job)
                .copied()
                .filter(|&ix| (t.task as usize) < self.jobs[ix].tasks.len());
            let Some(job) = known else {
                let exited = matches!(t.phase, TaskPhase::Exited(_));
                orphaned_tasks = orphaned_tasks.max(if exited {
                    OrphanedTasks::Ended
                } else {
                    OrphanedTasks::Run
                });
                continue;
            };
            let key = InstanceId {
                job,
                task: t.task,
                attempt: t.attempt,
            };
            listed.insert(key);
            self.apply_task(m, key, t.phase);
        }
        let absent: Vec<InstanceId> = self.workers[m]
            .instances
            .iter()
            .filter(|(key, instance)| {
                !listed.contains(*key)
                    && !instance.unacknowledged
                    && match instance.sent {
                        Sent::Queued => false,
                        Sent::Seen => true,
                        Sent::Response { counter } => {
                            source == Source::Heartbeat && heartbeat.counter > counter
                        }
                        Sent::Direct { message_id } => {
                            source
                                == (Source::Direct {
                                    message_id,
                                    executed: true,
                                })
                        }
                    }
            })
            .map(|(key, _)| *key)
            .collect();
        for key in absent {
            // An answer with a start in it was lost. Perhaps all are.
            let lost = matches!(self.workers[m].instances[&key].sent, Sent::Response { .. });
            self.workers[m].commands_unanswered |= lost;
            self.remove_instance(m, key);
            self.gang_lost_task(key);
        }
        self.workers[m].orphaned_tasks = orphaned_tasks;
        if orphaned_tasks != OrphanedTasks::None {
            self.clear_orphaned_tasks(m, &heartbeat.tasks);
        }
        if noticed {
            self.save_before_reclaim(m);
        }
        let idle = self.workers[m].instances.is_empty();
        let worker = &mut self.workers[m];
        if idle && orphaned_tasks == OrphanedTasks::None {
            worker.idle_since.get_or_insert(now);
        } else {
            worker.idle_since = None;
        }
    }

    /// Tasks of jobs that nobody knows, or that ended long ago: stopped and cleared.
    pub(super) fn clear_orphaned_tasks(
        &mut self,
        m: u32,
        tasks: &[crate::protocol::worker::TaskStatus],
    ) {
        let mut commands = Vec::new();
        for t in tasks {
            let known = self
                .job_ids
                .get(&t.job)
                .is_some_and(|&ix| (t.task as usize) < self.jobs[ix].tasks.len());
            if known {
                continue;
            }
            let verb = match t.phase {
                TaskPhase::Exited(_) => Verb::Forget,
                _ => Verb::Stop { grace_s: 0.0 },
            };
            commands.push(Command {
                verb,
                job: t.job,
                task: t.task,
                attempt: t.attempt,
            });
        }
        let outbox = &mut self.workers[m].outbox;
        for command in commands {
            if !outbox.contains(&command) {
                outbox.push(command);
            }
        }
    }

    pub(super) fn apply_task(&mut self, m: u32, key: InstanceId, phase: TaskPhase) {
        let now = self.now;
        if !self.workers[m].instances.contains_key(&key) {
            // Started by an earlier leader, or listed again before we cleared it.
            let exited = matches!(phase, TaskPhase::Exited(_));
            let instance = TaskInstance {
                sent: Sent::Seen,
                phase: exited.then_some(phase),
                unacknowledged: false,
                stop: None,
                running_since: None,
            };
            self.add_instance(m, key, instance);
            let job = &mut self.jobs[key.job];
            if !exited && job.is_gang() {
                job.attempt = Some(key.attempt);
            }
            if exited {
                self.task_exited(m, key, phase);
                return;
            }
        }
        let instance = self.workers[m]
            .instances
            .get_mut(&key)
            .expect("just ensured");
        let before = instance.phase;
        if matches!(before, Some(TaskPhase::Exited(_))) {
            return;
        }
        let was_running = instance.is_running();
        let arrived = matches!(instance.sent, Sent::Response { .. }) || instance.unacknowledged;
        instance.sent = Sent::Seen;
        let exits = matches!(phase, TaskPhase::Exited(_));
        let was_possible = instance.possible();
        instance.phase = Some(phase);
        let is_running = instance.is_running();
        if is_running && !was_running {
            instance.running_since = Some(now);
        }
        if arrived && before.is_none() {
            // What leaves with our answers has an effect, though it may answer no message.
            self.workers[m].commands_unanswered = false;
        }
        let instance = &self.workers[m].instances[&key];
        let runs_well = is_running
            && instance
                .running_since
                .is_some_and(|t| now - t > RUNS_WELL_S);
        let still_possible = instance.possible();
        let ending = self.jobs[key.job].is_ending();
        let stopping = instance.stop.is_some();
        let job = &mut self.jobs[key.job];
        job.running = job.running + u32::from(is_running) - u32::from(was_running);
        // A replica never ends, so running is all it can prove. A service that failed
        // on one sick worker once waited for ever with its other replicas running.
        if runs_well {
            self.job_proved(key.job);
        }
        if phase != TaskPhase::Fetching && !exits {
            self.has_image(m, key.job);
        }
        if exits {
            self.task_exited(m, key, phase);
            if was_possible && !still_possible {
                self.release(m, key);
            }
        } else if ending && !stopping {
            self.stop_instance(m, key, 0.0);
        }
    }

    pub(super) fn has_image(&mut self, m: u32, job: u32) {
        let image = self.jobs[job].image;
        let cache = self
            .types
            .get(self.workers[m].kind)
            .map_or(f64::INFINITY, |t| t.cache_gb);
        let worker = &mut self.workers[m];
        let known = worker.images.contains(&image);
        worker.images.retain(|&i| i != image);
        worker.images.push(image);
        let gb = &self.image_gb;
        let mut total: f64 = worker.images.iter().map(|&i| gb[i as usize]).sum();
        while total > cache && worker.images.len() > 1 {
            total -= gb[worker.images.remove(0) as usize];
        }
        // The next leader is told which images are where.
        if !known {
            self.images_changed(m);
        }
    }

    pub(super) fn task_exited(&mut self, m: u32, key: InstanceId, phase: TaskPhase) {
        let TaskPhase::Exited(exit) = phase else {
            return;
        };
        let now = self.now;
        let retry = |job: &mut Job, after: f64| {
            job.tasks[key.task as usize].not_before = (now + after) as f32;
        };
        match exit {
            Exit::Done => {
                self.has_image(m, key.job);
                self.worker_worked(m, key.job);
                self.job_proved(key.job);
                if self.jobs[key.job].is_gang() {
                    // They complete together: when one is done, all of them are.
                    for task in 0..self.jobs[key.job].spec.tasks {
                        self.mark_done(key.job, task);
                    }
                } else {
                    self.mark_done(key.job, key.task);
                }
            }
            Exit::Error => {
                tracing::info!(
                    job = %self.jobs[key.job].spec.id,
                    task = key.task,
                    worker = self.workers[m].name,
                    "task failed"
                );
                self.handle_task_failure(m, key);
            }
            Exit::NoRoom => {
                retry(&mut self.jobs[key.job], 0.3);
                self.workers[m].failed.insert(key.job, now + 3.0);
            }
            Exit::Busy => retry(&mut self.jobs[key.job], 1.0),
            Exit::Unknown => retry(&mut self.jobs[key.job], 1.0),
            Exit::Stopped { .. } | Exit::PeersGone | Exit::Alone => {}
        }
        if exit != Exit::Done {
            self.gang_lost_task(key);
        }
    }

    /// What goes back with the answer to a report.
    pub(super) fn collect_commands(&mut self, m: u32, counter: u64) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.workers[m].in_message_id.is_none() {
            commands = self.drain_outbox(m, Sent::Response { counter });
        }
        commands.extend(self.follow_up_commands(m, MAX_COMMANDS.saturating_sub(commands.len())));
        commands
    }

    /// At most so many orders that follow from what a worker has just reported: what has
    /// ended is forgotten, what had no effect is sent again.
    pub(super) fn follow_up_commands(&mut self, m: u32, limit: usize) -> Vec<Command> {
        let now = self.now;
        let mut commands = Vec::new();
        let keys: Vec<InstanceId> = self.workers[m].instances.keys().copied().collect();
        for key in keys {
            if commands.len() >= limit {
                break;
            }
            let job = &self.jobs[key.job];
            let stored =
                job.tasks[key.task as usize].stored || matches!(job.state, JobState::Terminal(_));
            let instance = &self.workers[m].instances[&key];
            let verb = match (instance.exit(), instance.stop) {
                // A start that may still arrive would start a forgotten attempt anew.
                (Some(_), _) if instance.unacknowledged => continue,
                (Some(Exit::Done), _) if !stored && !job.is_service() => continue,
                (Some(_), _) => Verb::Forget,
                // Not there, but its start may still arrive, perhaps minutes late. Held as
                // an exited attempt that is never forgotten, the late start does nothing.
                (None, Some(_)) if instance.unacknowledged && instance.phase.is_none() => {
                    commands.push(self.command(key, Verb::Start));
                    Verb::Stop { grace_s: 0.0 }
                }
                (
                    None,
                    Some(Stop {
                        grace_s,
                        sent_at: Some(at),
                        ..
                    }),
                ) if now - at > 1.0 && instance.phase != Some(TaskPhase::Saving) => {
                    Verb::Stop { grace_s }
                }
                // Sent again with the same attempt: it does nothing if it arrived before.
                (None, None) if instance.unacknowledged && instance.phase.is_none() => Verb::Start,
                _ => continue,
            };
            if let Verb::Stop { .. } = verb
                && let Some(stop) = &mut self.workers[m]
                    .instances
                    .get_mut(&key)
                    .expect("listed above")
                    .stop
            {
                stop.sent_at = Some(now);
            }
            commands.push(self.command(key, verb));
        }
        commands
    }

    /// Takes what is to be sent, and notes how it leaves.
    pub(super) fn drain_outbox(&mut self, m: u32, how: Sent) -> Vec<Command> {
        let now = self.now;
        let worker = &mut self.workers[m];
        let keep = worker.outbox.len().saturating_sub(MAX_COMMANDS);
        let later = worker.outbox.split_off(worker.outbox.len() - keep);
        let commands = std::mem::replace(&mut worker.outbox, later);
        for c in &commands {
            let Some(&job) = self.job_ids.get(&c.job) else {
                continue;
            };
            let key = InstanceId {
                job,
                task: c.task,
                attempt: c.attempt,
            };
            if let Some(instance) = worker.instances.get_mut(&key) {
                match c.verb {
                    Verb::Start => instance.sent = how,
                    Verb::Stop { .. } => {
                        if let Some(stop) = &mut instance.stop {
                            stop.sent_at = Some(now);
                        }
                    }
                    Verb::Forget => {}
                }
            }
        }
        commands
    }

    /// Whether no worker at all has been heard for longer than they are ever
    /// silent: then it is this node that is cut off, and another should lead.
    pub fn has_lost_all_workers(&self) -> bool {
        let patience = self.unresponsive_after_s() + 0.5;
        let last = self
            .workers
            .iter()
            .filter_map(|(_, m)| m.last_heartbeat_at)
            .fold(self.listening_since, f64::max);
        self.workers
            .iter()
            .any(|(_, m)| m.known_to_predecessor || m.last_heartbeat_at.is_some())
            && self.now - last > patience
    }

    pub(super) fn lease_expires_at(&self, worker: &Worker) -> Time {
        let answered = self.last_answer_by_any(worker);
        answered.map_or(f64::INFINITY, |at| at + self.lease_upper_bound_s())
    }

    /// After this long without an answer a worker has surely dropped its tasks.
    pub(super) fn lease_upper_bound_s(&self) -> f64 {
        self.config.cluster.workers.lease_s * DRIFT + LEASE_MARGIN_S
    }

    pub(super) fn expire_leases(&mut self) {
        for m in self.workers.indices() {
            let worker = &self.workers[m];
            if worker.incarnation <= worker.expired_incarnation
                || self.now <= self.lease_expires_at(worker)
            {
                continue;
            }
            tracing::info!(
                worker = worker.name,
                instances = worker.instances.len(),
                "lease of a silent machine ran out"
            );
            let incarnation = worker.incarnation;
            self.clear_worker(m);
            let worker = &mut self.workers[m];
            worker.expired_incarnation = incarnation;
            worker.reconciled = false;
            // It holds nothing, so the next leader need not wait for its answer. Spot
            // workers that had been taken once held every failover up for a lease.
            self.unregister_worker(m);
        }
    }

    /// Workers that an earlier leader may have given tasks to and that have not
    /// told this one what they hold.
    pub(super) fn unreconciled(&self) -> Vec<u32> {
        self.workers
            .iter()
            .filter(|(_, m)| {
                m.known_to_predecessor
                    && !m.reconciled
                    && !(m.incarnation > 0 && m.incarnation <= m.expired_incarnation)
                    && self.now <= self.lease_expires_at(m)
            })
            .map(|(ix, _)| ix)
            .collect()
    }

    /// What workers may hold of each limited team that this leader does not know: all that is
    /// free of those that have not been heard, and of those on which something runs that it does
    /// not know. Not only of jobs that it has read: a job that was cancelled before the election is
    /// stored as over, and its tasks go on where the order to stop has not arrived. Bounded by
    /// what is left of the jobs that are known, the team once went over its limit beside them.
    fn count_unknown_usage(&mut self, unreconciled: &[u32], unknown: bool) {
        let limited = |t: &TeamUsage| t.limit.cpus > 0 || t.limit.gpus > 0;
        if !self.teams.iter().any(limited) {
            return;
        }
        let strange = self
            .workers
            .iter()
            .filter(|(_, m)| m.orphaned_tasks == OrphanedTasks::Run);
        let mut hidden = Resources::default();
        let mut unknown = unknown;
        for m in unreconciled.iter().copied().chain(strange.map(|(m, _)| m)) {
            unknown |= self.types.get(self.workers[m].kind).is_none();
            let free = self.free_room(m);
            hidden.cpus += free.cpus.max(0);
            hidden.gpus += free.gpus.max(0);
        }
        for team in self.teams.iter_mut().filter(|t| limited(t)) {
            // Where not even the workers are known, the limit may be reached already.
            team.unknown = if unknown { team.limit } else { hidden };
        }
    }

    /// Holds back the jobs of which a silent worker may hold something: those
    /// stored before the election that an earlier leader could have put there.
    /// Once one taken spot worker held back every service for a whole lease.
    pub(super) fn block_unreconciled_jobs(&mut self) {
        if self.reconciliation_complete {
            return self.count_unknown_usage(&[], false);
        }
        let unreconciled = self.unreconciled();
        let unknown =
            self.unknown_workers && self.now <= self.elected_at + self.lease_upper_bound_s();
        let was = self.jobs.iter().filter(|(_, j)| j.blocked).count();
        for ix in self.jobs.indices() {
            let job = &self.jobs[ix];
            let limit = &self.teams[job.team as usize].limit;
            // What else runs of a limited team must be known in full.
            let limited = limit.cpus > 0 || limit.gpus > 0;
            let blocked = job.predates_election
                && (unknown
                    || (limited && !unreconciled.is_empty())
                    || unreconciled.iter().any(|&m| self.worker_suits(ix, m)));
            let freed = std::mem::replace(&mut self.jobs[ix].blocked, blocked) && !blocked;
            if freed && self.is_whole_gang(ix) {
                self.end_broken_attempts(ix);
            }
        }
        self.count_unknown_usage(&unreconciled, unknown);
        let blocked = self.jobs.iter().filter(|(_, j)| j.blocked).count();
        let limits = self.teams.iter().any(|t| t.unknown != Resources::default());
        self.reconciliation_complete = unreconciled.is_empty() && !unknown;
        if blocked > 0 || limits {
            self.release_unreconciled_workers(&unreconciled);
        }
        if was != blocked || self.reconciliation_complete {
            tracing::info!(
                after_s = self.now - self.elected_at,
                unreconciled = unreconciled.len(),
                blocked,
                "jobs held back for silent machines"
            );
        }
    }
}
