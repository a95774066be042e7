//! What machines report, what goes back to them, and what silence proves.

use std::collections::{BTreeMap, BTreeSet};

use copperfield_shares::Where;

use crate::protocol::job::Amounts;
use crate::protocol::worker::{Command, Exit, MAX_COMMANDS, Report, TaskPhase, Verb, orders_body};

use super::messages::{Effect, Outcome, Source};
use super::model::*;
use super::state::{Core, TeamUse};

/// Steady clocks drift apart by 0.05% each way; timers and queues add a little.
const DRIFT: f64 = 1.001;
const LEASE_MARGIN_S: f64 = 0.3;
/// A task that has run for so long shows that its job is not mistaken.
const RUNS_WELL_S: f64 = 10.0;

impl Core {
    pub(super) fn add_machine(
        &mut self,
        name: &str,
        address: &str,
        kind: u32,
        zone: u32,
        spot: bool,
    ) -> u32 {
        let ix = self.machines.insert(Machine {
            name: name.to_string(),
            address: address.to_string(),
            kind,
            zone,
            spot,
            session: 0,
            counter: 0,
            reported: ((0, 0), 0),
            answered_at: None,
            heard_at: None,
            reported_at: None,
            dead_session: 0,
            synced: false,
            reclaim_at: None,
            copies: BTreeMap::new(),
            used: Amounts::default(),
            strays: Strays::None,
            outbox: Vec::new(),
            flight: None,
            page: None,
            recorded: false,
            was_recorded: false,
            on_record: self.silence.holds(name),
            number: 0,
            images: Vec::new(),
            claims: Vec::new(),
            kept_for: None,
            failed: BTreeMap::new(),
            quarantined_until: 0.0,
            quarantines: 0,
            returning: false,
            draining: self.drains.contains_key(name),
            idle_since: None,
            next_probe: 0.0,
            unreached: false,
            unanswered_at: None,
            missed: Missed::default(),
        });
        self.machine_ids.insert(name.to_string(), ix);
        self.share_machine(ix);
        ix
    }

    /// A report has come to this node.
    pub(super) fn take_report(&mut self, ticket: u64, report: Report) {
        let m = match self.machine_of(&report) {
            Ok(m) => m,
            Err(why) => return self.effects.push(Effect::Refuse { ticket, why }),
        };
        let order = (report.session, report.counter);
        let again = order == self.machines[m].reported.0;
        if again || self.is_copy(m, &report, self.own_place()) {
            let why = "this report or a newer one has come before";
            return self.effects.push(Effect::Refuse { ticket, why });
        }
        self.take_hello(ticket, report);
    }

    /// Whether a report that has come to the node of this place has been overtaken. Its machine
    /// has given it up, or has had its answer: none renews a lease any more, and it is no sign of
    /// life. Copies of old reports once kept machines that had died from being given up. A holder
    /// tells the same report until it may answer it.
    pub(super) fn is_copy(&mut self, m: u32, report: &Report, place: u32) -> bool {
        let order = (report.session, report.counter);
        let newest = &mut self.machines[m].reported;
        let copy = order < newest.0 || (order == newest.0 && place != newest.1);
        if !copy {
            *newest = (order, place);
        }
        copy
    }

    pub(super) fn take_hello(&mut self, ticket: u64, report: Report) {
        let m = match self.machine_of(&report) {
            Ok(m) => m,
            Err(why) => return self.effects.push(Effect::Refuse { ticket, why }),
        };
        let Some(report) = self.may_answer(m, ticket, report) else {
            return;
        };
        let newer = self.is_newer(m, &report);
        match self.reports_here(m) {
            Where::Here => {}
            Where::Elsewhere(node) => {
                if newer {
                    self.apply_report(m, report, Source::Hello);
                }
                return self.effects.push(Effect::SendTo { ticket, node });
            }
            Where::Wait => return self.let_wait(ticket, report),
        }
        self.machines[m].answered_at = Some(self.now);
        let counter = report.counter;
        if newer {
            self.apply_report(m, report, Source::Hello);
        }
        let commands = if newer {
            self.collect_commands(m, counter)
        } else {
            Vec::new()
        };
        self.effects.push(Effect::Answer {
            ticket,
            body: orders_body(self.token, None, &commands),
        });
    }

    /// The machine that a report is of, or why it means nothing to this leader.
    pub(super) fn machine_of(&mut self, report: &Report) -> Result<u32, &'static str> {
        if report.token > self.token {
            self.effects.push(Effect::Deposed);
            return Err("a newer leader is known");
        }
        if self.gone.contains(&report.machine) {
            return Err("the machine was returned");
        }
        let m = match self.machine_ids.get(&report.machine) {
            Some(&m) => m,
            None => {
                let kind = self.types.intern(&report.machine_type);
                let zone = self.zones.intern(&report.zone);
                tracing::info!(machine = report.machine, "machine is up");
                self.machine_booted(&report.machine);
                self.add_machine(&report.machine, &report.address, kind, zone, report.spot)
            }
        };
        if report.session <= self.machines[m].dead_session {
            // Held back by the network: that session's lease ran out long ago.
            return Err("the session is over");
        }
        Ok(m)
    }

    pub(super) fn is_newer(&self, m: u32, report: &Report) -> bool {
        let machine = &self.machines[m];
        (report.session, report.counter) > (machine.session, machine.counter)
    }

    pub(super) fn take_direct(&mut self, name: &str, flight: u64, outcome: Outcome) {
        let Some(&m) = self.machine_ids.get(name) else {
            return;
        };
        let Some(Flight {
            starts,
            orders,
            carried,
            ..
        }) = self.machines[m].flight.take_if(|f| f.id == flight)
        else {
            return;
        };
        let answered = !matches!(outcome, Outcome::Unsent | Outcome::Unknown);
        self.note_answer(m, answered);
        let machine = &mut self.machines[m];
        machine.unreached = !answered && (orders || machine.unreached);
        let (report, executed) = match outcome {
            Outcome::Unsent => {
                machine.note_unanswered(self.now, carried);
                self.machines[m].next_probe = self.ask_again_at(m);
                (None, false)
            }
            Outcome::Executed(report) => {
                machine.next_probe = self.now;
                (Some(report), true)
            }
            Outcome::Rejected(report) => {
                // One that answers is not left waiting: a new leader's next message
                // teaches it the token.
                machine.next_probe = if report.is_some() {
                    self.now
                } else {
                    self.now + 1.0
                };
                (report, false)
            }
            Outcome::Unknown => {
                // The message may be held by the network for minutes: its starts stay
                // possible, and the attempt is not forgotten, until the session changes.
                tracing::info!(machine = name, starts = starts.len(), "commands unanswered");
                for key in starts {
                    if let Some(copy) = machine.copies.get_mut(&key)
                        && copy.sent == (Sent::Direct { flight })
                    {
                        copy.loose = true;
                    }
                }
                machine.note_unanswered(self.now, carried);
                self.machines[m].next_probe = self.ask_again_at(m);
                return;
            }
        };
        if !executed {
            for key in &starts {
                let unsent = self.machines[m]
                    .copies
                    .get(key)
                    .is_some_and(|c| !c.loose && c.sent == Sent::Direct { flight });
                if unsent {
                    self.remove_copy(m, *key);
                    self.gang_lost_task(*key);
                }
            }
        }
        let Some(report) = report else { return };
        if report.token > self.token {
            self.effects.push(Effect::Deposed);
            return;
        }
        let machine = &mut self.machines[m];
        if report.machine != machine.name || report.session <= machine.dead_session {
            return;
        }
        let source = Source::Direct { flight, executed };
        if self.is_newer(m, &report) {
            self.apply_report(m, report, source);
        } else if executed {
            // A later report has arrived first, and could not yet say what became of these.
            for key in starts {
                if let Some(copy) = self.machines[m].copies.get_mut(&key)
                    && copy.sent == (Sent::Direct { flight })
                {
                    let listed = report
                        .tasks
                        .iter()
                        .any(|t| t.task == key.task && t.attempt == key.attempt);
                    if listed {
                        copy.sent = Sent::Seen;
                    } else if !copy.loose {
                        self.remove_copy(m, key);
                    }
                }
            }
        }
    }

    pub(super) fn apply_report(&mut self, m: u32, report: Report, source: Source) {
        let machine = &mut self.machines[m];
        if report.session > machine.session {
            if machine.session > 0 && !machine.copies.is_empty() {
                tracing::info!(
                    machine = machine.name,
                    "new session: all its tasks are gone"
                );
            }
            machine.synced = false;
            // Its lease runs from when it began, which is before now. Held to the lease of
            // the session before, what was started in it was once thought gone at once.
            machine.answered_at = Some(self.now);
            self.clear_machine(m);
        }
        let now = self.now;
        let own = self.token;
        let mut noticed = false;
        let machine = &mut self.machines[m];
        machine.session = report.session;
        machine.counter = report.counter;
        machine.synced = report.token == own;
        machine.heard_at = Some(now);
        machine.address = report.address;
        if let Some(notice) = report.notice_s
            && machine.reclaim_at.is_none()
        {
            tracing::info!(machine = machine.name, notice, "machine will be taken back");
            machine.reclaim_at = Some(now + notice);
            noticed = true;
        }
        self.enlist(m);
        let mut listed = BTreeSet::new();
        let mut strays = Strays::None;
        for t in &report.tasks {
            let known = self
                .job_ids
                .get(&t.job)
                .copied()
                .filter(|&ix| (t.task as usize) < self.jobs[ix].tasks.len());
            let Some(job) = known else {
                let exited = matches!(t.phase, TaskPhase::Exited(_));
                strays = strays.max(if exited { Strays::Ended } else { Strays::Run });
                continue;
            };
            let key = CopyKey {
                job,
                task: t.task,
                attempt: t.attempt,
            };
            listed.insert(key);
            self.apply_task(m, key, t.phase);
        }
        let absent: Vec<CopyKey> = self.machines[m]
            .copies
            .iter()
            .filter(|(key, copy)| {
                !listed.contains(*key)
                    && !copy.loose
                    && match copy.sent {
                        Sent::Queued => false,
                        Sent::Seen => true,
                        Sent::Response { counter } => {
                            source == Source::Hello && report.counter > counter
                        }
                        Sent::Direct { flight } => {
                            source
                                == (Source::Direct {
                                    flight,
                                    executed: true,
                                })
                        }
                    }
            })
            .map(|(key, _)| *key)
            .collect();
        for key in absent {
            // An answer with a start in it was lost. Perhaps all are.
            let lost = matches!(self.machines[m].copies[&key].sent, Sent::Response { .. });
            self.machines[m].unreached |= lost;
            self.remove_copy(m, key);
            self.gang_lost_task(key);
        }
        self.machines[m].strays = strays;
        if strays != Strays::None {
            self.clear_strays(m, &report.tasks);
        }
        if noticed {
            self.save_before_reclaim(m);
        }
        let idle = self.machines[m].copies.is_empty();
        let machine = &mut self.machines[m];
        if idle && strays == Strays::None {
            machine.idle_since.get_or_insert(now);
        } else {
            machine.idle_since = None;
        }
    }

    /// Tasks of jobs that nobody knows, or that ended long ago: stopped and cleared.
    pub(super) fn clear_strays(&mut self, m: u32, tasks: &[crate::protocol::worker::TaskReport]) {
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
        let outbox = &mut self.machines[m].outbox;
        for command in commands {
            if !outbox.contains(&command) {
                outbox.push(command);
            }
        }
    }

    pub(super) fn apply_task(&mut self, m: u32, key: CopyKey, phase: TaskPhase) {
        let now = self.now;
        if !self.machines[m].copies.contains_key(&key) {
            // Started by an earlier leader, or listed again before we cleared it.
            let exited = matches!(phase, TaskPhase::Exited(_));
            let copy = Copy {
                sent: Sent::Seen,
                phase: exited.then_some(phase),
                loose: false,
                stop: None,
                running_since: None,
            };
            self.add_copy(m, key, copy);
            let job = &mut self.jobs[key.job];
            if !exited && job.is_gang() {
                job.attempt = Some(key.attempt);
            }
            if exited {
                self.task_exited(m, key, phase);
                return;
            }
        }
        let copy = self.machines[m].copies.get_mut(&key).expect("just ensured");
        let before = copy.phase;
        if matches!(before, Some(TaskPhase::Exited(_))) {
            return;
        }
        let was_running = copy.is_running();
        let arrived = matches!(copy.sent, Sent::Response { .. }) || copy.loose;
        copy.sent = Sent::Seen;
        let exits = matches!(phase, TaskPhase::Exited(_));
        let was_possible = copy.possible();
        copy.phase = Some(phase);
        let is_running = copy.is_running();
        if is_running && !was_running {
            copy.running_since = Some(now);
        }
        if arrived && before.is_none() {
            // What leaves with our answers has an effect, though it may answer no message.
            self.machines[m].unreached = false;
        }
        let copy = &self.machines[m].copies[&key];
        let runs_well = is_running && copy.running_since.is_some_and(|t| now - t > RUNS_WELL_S);
        let still_possible = copy.possible();
        let ending = self.jobs[key.job].is_ending();
        let stopping = copy.stop.is_some();
        let job = &mut self.jobs[key.job];
        job.running = job.running + u32::from(is_running) - u32::from(was_running);
        // A replica never ends, so running is all it can prove. A service that failed
        // on one sick machine once waited for ever with its other replicas running.
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
            self.stop_copy(m, key, 0.0);
        }
    }

    pub(super) fn has_image(&mut self, m: u32, job: u32) {
        let image = self.jobs[job].image;
        let cache = self
            .types
            .get(self.machines[m].kind)
            .map_or(f64::INFINITY, |t| t.cache_gb);
        let machine = &mut self.machines[m];
        let known = machine.images.contains(&image);
        machine.images.retain(|&i| i != image);
        machine.images.push(image);
        let gb = &self.image_gb;
        let mut total: f64 = machine.images.iter().map(|&i| gb[i as usize]).sum();
        while total > cache && machine.images.len() > 1 {
            total -= gb[machine.images.remove(0) as usize];
        }
        // The next leader is told which images are where.
        if !known {
            self.images_changed(m);
        }
    }

    pub(super) fn task_exited(&mut self, m: u32, key: CopyKey, phase: TaskPhase) {
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
                self.machine_worked(m, key.job);
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
                    machine = self.machines[m].name,
                    "task failed"
                );
                self.task_failed(m, key);
            }
            Exit::NoRoom => {
                retry(&mut self.jobs[key.job], 0.3);
                self.machines[m].failed.insert(key.job, now + 3.0);
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
        if self.machines[m].flight.is_none() {
            commands = self.take_outbox(m, Sent::Response { counter });
        }
        commands.extend(self.follow_ups(m, MAX_COMMANDS.saturating_sub(commands.len())));
        commands
    }

    /// At most so many orders that follow from what a machine has just reported: what has
    /// ended is forgotten, what had no effect is sent again.
    pub(super) fn follow_ups(&mut self, m: u32, most: usize) -> Vec<Command> {
        let now = self.now;
        let mut commands = Vec::new();
        let keys: Vec<CopyKey> = self.machines[m].copies.keys().copied().collect();
        for key in keys {
            if commands.len() >= most {
                break;
            }
            let job = &self.jobs[key.job];
            let stored =
                job.tasks[key.task as usize].stored || matches!(job.state, JobState::Over(_));
            let copy = &self.machines[m].copies[&key];
            let verb = match (copy.exit(), copy.stop) {
                // A start that may still arrive would start a forgotten attempt anew.
                (Some(_), _) if copy.loose => continue,
                (Some(Exit::Done), _) if !stored && !job.is_service() => continue,
                (Some(_), _) => Verb::Forget,
                // Not there, but its start may still arrive, perhaps minutes late. Held as
                // an exited attempt that is never forgotten, the late start does nothing.
                (None, Some(_)) if copy.loose && copy.phase.is_none() => {
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
                ) if now - at > 1.0 && copy.phase != Some(TaskPhase::Saving) => {
                    Verb::Stop { grace_s }
                }
                // Sent again with the same attempt: it does nothing if it arrived before.
                (None, None) if copy.loose && copy.phase.is_none() => Verb::Start,
                _ => continue,
            };
            if let Verb::Stop { .. } = verb
                && let Some(stop) = &mut self.machines[m]
                    .copies
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
    pub(super) fn take_outbox(&mut self, m: u32, how: Sent) -> Vec<Command> {
        let now = self.now;
        let machine = &mut self.machines[m];
        let keep = machine.outbox.len().saturating_sub(MAX_COMMANDS);
        let later = machine.outbox.split_off(machine.outbox.len() - keep);
        let commands = std::mem::replace(&mut machine.outbox, later);
        for c in &commands {
            let Some(&job) = self.job_ids.get(&c.job) else {
                continue;
            };
            let key = CopyKey {
                job,
                task: c.task,
                attempt: c.attempt,
            };
            if let Some(copy) = machine.copies.get_mut(&key) {
                match c.verb {
                    Verb::Start => copy.sent = how,
                    Verb::Stop { .. } => {
                        if let Some(stop) = &mut copy.stop {
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
    pub fn hears_nobody(&self) -> bool {
        let patience = self.silent_after_s() + 0.5;
        let last = self
            .machines
            .iter()
            .filter_map(|(_, m)| m.heard_at)
            .fold(self.listening_since, f64::max);
        self.machines
            .iter()
            .any(|(_, m)| m.was_recorded || m.heard_at.is_some())
            && self.now - last > patience
    }

    pub(super) fn lease_over_at(&self, machine: &Machine) -> Time {
        let answered = self.answered_by_all(machine);
        answered.map_or(f64::INFINITY, |at| at + self.lease_surely_s())
    }

    /// After this long without an answer a worker has surely dropped its tasks.
    pub(super) fn lease_surely_s(&self) -> f64 {
        self.config.cluster.workers.lease_s * DRIFT + LEASE_MARGIN_S
    }

    pub(super) fn expire_leases(&mut self) {
        for m in self.machines.indices() {
            let machine = &self.machines[m];
            if machine.session <= machine.dead_session || self.now <= self.lease_over_at(machine) {
                continue;
            }
            tracing::info!(
                machine = machine.name,
                copies = machine.copies.len(),
                "lease of a silent machine ran out"
            );
            let session = machine.session;
            self.clear_machine(m);
            let machine = &mut self.machines[m];
            machine.dead_session = session;
            machine.synced = false;
            // It holds nothing, so the next leader need not wait for its answer. Spot
            // machines that had been taken once held every failover up for a lease.
            self.strike(m);
        }
    }

    /// Machines that an earlier leader may have given tasks to and that have not
    /// told this one what they hold.
    pub(super) fn unheard(&self) -> Vec<u32> {
        self.machines
            .iter()
            .filter(|(_, m)| {
                m.was_recorded
                    && !m.synced
                    && !(m.session > 0 && m.session <= m.dead_session)
                    && self.now <= self.lease_over_at(m)
            })
            .map(|(ix, _)| ix)
            .collect()
    }

    /// What machines may hold of each limited team that this leader does not know: all that is
    /// free of those that have not been heard, and of those on which something runs that it does
    /// not know. Not only of jobs that it has read: a job that was cancelled before the election is
    /// stored as over, and its tasks go on where the order to stop has not arrived. Bounded by
    /// what is left of the jobs that are known, the team once went over its limit beside them.
    fn count_unknown(&mut self, unheard: &[u32], unknown: bool) {
        let limited = |t: &TeamUse| t.most.cpus > 0 || t.most.gpus > 0;
        if !self.teams.iter().any(limited) {
            return;
        }
        let strange = self
            .machines
            .iter()
            .filter(|(_, m)| m.strays == Strays::Run);
        let mut hidden = Amounts::default();
        let mut unknown = unknown;
        for m in unheard.iter().copied().chain(strange.map(|(m, _)| m)) {
            unknown |= self.types.get(self.machines[m].kind).is_none();
            let free = self.free_room(m);
            hidden.cpus += free.cpus.max(0);
            hidden.gpus += free.gpus.max(0);
        }
        for team in self.teams.iter_mut().filter(|t| limited(t)) {
            // Where not even the machines are known, the limit may be reached already.
            team.unknown = if unknown { team.most } else { hidden };
        }
    }

    /// Holds back the jobs of which a silent machine may hold something: those
    /// stored before the election that an earlier leader could have put there.
    /// Once one taken spot machine held back every service for a whole lease.
    pub(super) fn settle(&mut self) {
        if self.settled {
            return self.count_unknown(&[], false);
        }
        let unheard = self.unheard();
        let unknown = self.unknown_machines && self.now <= self.elected_at + self.lease_surely_s();
        let was = self.jobs.iter().filter(|(_, j)| j.blocked).count();
        for ix in self.jobs.indices() {
            let job = &self.jobs[ix];
            let most = &self.teams[job.team as usize].most;
            // What else runs of a limited team must be known in full.
            let limited = most.cpus > 0 || most.gpus > 0;
            let blocked = job.old
                && (unknown
                    || (limited && !unheard.is_empty())
                    || unheard.iter().any(|&m| self.machine_suits(ix, m)));
            let freed = std::mem::replace(&mut self.jobs[ix].blocked, blocked) && !blocked;
            if freed && self.is_whole_gang(ix) {
                self.end_broken_attempts(ix);
            }
        }
        self.count_unknown(&unheard, unknown);
        let blocked = self.jobs.iter().filter(|(_, j)| j.blocked).count();
        let limits = self.teams.iter().any(|t| t.unknown != Amounts::default());
        self.settled = unheard.is_empty() && !unknown;
        if blocked > 0 || limits {
            self.give_up_unheard(&unheard);
        }
        if was != blocked || self.settled {
            tracing::info!(
                after_s = self.now - self.elected_at,
                unheard = unheard.len(),
                blocked,
                "jobs held back for silent machines"
            );
        }
    }
}
