//! Workers: renting and returning, silence, faults and quarantine.

use std::collections::BTreeMap;

use crate::protocol::cloud::ListedWorker;
use crate::protocol::job::Resources;

use super::messages::{Effect, ScaleOutOutcome};
use super::model::*;
use super::state::{BootingWorker, Core, ProvisioningRequest};

/// How long a type, zone and kind is left alone after the cloud had none.
const NO_CAPACITY_S: f64 = 20.0;
const LIST_EVERY_S: f64 = 3.0;
const TYPES_EVERY_S: f64 = 20.0;
/// From the first question that was not answered until a second one was not.
const ASKED_AGAIN_S: f64 = 1.6;
/// By then three questions have gone unanswered, each half a second and a second apart.
const ASKED_THRICE_S: f64 = 3.4;
/// Boot times are between half and one and a half of what is usual.
const BOOT_SPREAD: f64 = 1.6;
/// So much longer than that is waited for a worker before it is given back.
const GIVEN_UP: f64 = 2.5;
/// One worker says little about the next, and none says more than this.
const BOOT_WEIGHT: f64 = 0.2;
const MIN_BOOT: f64 = 0.05;
const MAX_BOOT: f64 = 3.0;
/// How long a job that fails everywhere waits at most before it is tried again: a
/// gang fetches its image to every worker it is tried on.
const MISTAKEN_RETRY_S: f64 = 120.0;
/// How long a job stays away from a worker on which it failed.
const DISTRUST_S: f64 = 30.0;
/// Workers asked for at once; the cloud takes no more than 50.
const MAX_PER_RENTAL: u32 = 50;
/// Workers returned at once; the cloud takes no more than 100.
const MAX_PER_RETURN: usize = 100;

/// When workers were last heard, as far as it tells whether their zone is.
#[derive(Default)]
struct Latest {
    by_zone: BTreeMap<u32, Recent>,
    all: Recent,
}

/// Some workers, and the few of them that were heard last, the latest first.
#[derive(Default)]
struct Recent {
    workers: u32,
    last: Vec<(Option<Time>, u32)>,
}

/// So many others that were heard are enough, or a quarter where there are fewer.
const ENOUGH_HEARD: u32 = 3;

impl Recent {
    fn note(&mut self, last_heartbeat_at: Option<Time>, m: u32) {
        self.workers += 1;
        let at = self
            .last
            .partition_point(|(at, _)| *at >= last_heartbeat_at);
        // One more, as the one that is asked about may be among them.
        let limit = ENOUGH_HEARD as usize + 1;
        if at < limit {
            self.last.insert(at, (last_heartbeat_at, m));
            self.last.truncate(limit);
        }
    }

    /// Whether enough were heard since, beside one of them. `None`: there are no others.
    fn heard_beside(&self, one: Option<u32>, since: Option<Time>) -> Option<bool> {
        let others = self.workers - u32::from(one.is_some());
        let others_last = self.last.iter().filter(|(_, m)| Some(*m) != one);
        let heard = others_last.filter(|(at, _)| *at > since).count() as u32;
        (others > 0).then_some(heard >= (others / 4).clamp(1, ENOUGH_HEARD))
    }
}

impl Core {
    pub(super) fn every_second(&mut self) {
        if self.now >= self.provisioning.next_types {
            self.provisioning.next_types = self.now + TYPES_EVERY_S;
            self.effects.push(Effect::ReadTypes);
        }
        if self.now >= self.provisioning.next_list {
            self.provisioning.next_list = self.now + LIST_EVERY_S;
            self.effects.push(Effect::List);
        }
        self.scale_out();
        self.scale_in();
    }

    pub(super) fn handle_worker_list(&mut self, list: Vec<ListedWorker>) {
        self.provisioning.listed_once = true;
        for entry in list {
            if self.workers.is_scaled_in(&entry.name) {
                continue;
            }
            let kind = self.types.intern(&entry.machine_type);
            let zone = self.zones.intern(&entry.zone);
            match entry.phase.as_str() {
                // It stopped by itself; only its return proves that its tasks are gone.
                "failed" => {
                    let m = match self.workers.index_of(&entry.name) {
                        Some(m) => m,
                        None => {
                            self.add_worker(&entry.name, &entry.address, kind, zone, entry.spot)
                        }
                    };
                    self.provisioning.booting.remove(&entry.name);
                    self.workers[m].returning = true;
                }
                "starting" if !self.workers.contains(&entry.name) => {
                    let since = self.now - entry.age_s;
                    self.provisioning
                        .booting
                        .entry(entry.name)
                        .or_insert(BootingWorker {
                            kind,
                            since,
                            spot: entry.spot,
                        });
                }
                _ => {}
            }
        }
    }

    pub(super) fn handle_scale_out_result(&mut self, request: &str, outcome: ScaleOutOutcome) {
        let Some(rental) = self.provisioning.asked.remove(request) else {
            return;
        };
        let place = (rental.kind, rental.zone, rental.spot);
        let until = self.now + NO_CAPACITY_S;
        match outcome {
            ScaleOutOutcome::Workers(names) => {
                if (names.len() as u32) < rental.count {
                    self.provisioning.no_capacity.insert(place, until);
                }
                for name in names {
                    tracing::info!(worker = name, "rented");
                    if !self.workers.contains(&name) {
                        self.provisioning.booting.insert(
                            name,
                            BootingWorker {
                                kind: rental.kind,
                                since: self.now,
                                spot: rental.spot,
                            },
                        );
                    }
                }
            }
            ScaleOutOutcome::NoCapacity => {
                self.provisioning.no_capacity.insert(place, until);
            }
            // Workers of a lost answer show up in the list or report by themselves.
            ScaleOutOutcome::Refused | ScaleOutOutcome::Unknown => {
                self.provisioning.no_capacity.insert(place, self.now + 5.0);
            }
        }
    }

    pub(super) fn handle_scale_in_result(&mut self, names: Vec<String>, ok: bool) {
        self.provisioning.returning = false;
        if !ok {
            return;
        }
        for name in names {
            self.provisioning.booting.remove(&name);
            self.workers.record_scaled_in(&name);
            let Some(m) = self.workers.index_of(&name) else {
                continue;
            };
            tracing::info!(worker = name, "returned: it and all on it are gone");
            self.clear_worker(m);
            self.unregister_worker(m);
            self.remove_worker_from_shards(m);
            self.workers.remove(m);
            self.forget_drain(&name);
        }
    }

    /// A worker reports for the first time: how long did it take?
    pub(super) fn handle_worker_boot(&mut self, name: &str) {
        let Some(booting) = self.provisioning.booting.remove(name) else {
            return;
        };
        let took = self.now - booting.since;
        if let Some(kind) = self.types.get(booting.kind) {
            let seen = (took / kind.boot_s.max(1.0)).clamp(MIN_BOOT, MAX_BOOT);
            let factor = self
                .provisioning
                .boot_factor
                .entry(booting.kind)
                .or_insert(1.0);
            *factor += BOOT_WEIGHT * (seen - *factor);
            tracing::debug!(worker = name, took, factor = *factor, "boot time");
        }
    }

    /// When a worker should be up: later than that others are rented in its place.
    fn boot_overdue_s(&self, kind: u32) -> f64 {
        let factor = self
            .provisioning
            .boot_factor
            .get(&kind)
            .copied()
            .unwrap_or(1.0);
        let boot_s = self.types.get(kind).map_or(60.0, |t| t.boot_s);
        boot_s * factor.clamp(0.5, MAX_BOOT) * BOOT_SPREAD + 2.0
    }

    /// What booting workers will be able to take. What is overdue is not counted:
    /// some never come up, and work once waited minutes for those.
    fn booting_room(&self) -> Vec<(u32, bool, Resources)> {
        self.provisioning
            .booting
            .values()
            .filter(|b| self.now - b.since <= self.boot_overdue_s(b.kind))
            .filter_map(|b| {
                let kind = self.types.get(b.kind)?;
                Some((b.kind, b.spot, kind.whole))
            })
            .collect()
    }

    fn scale_out(&mut self) {
        let now = self.now;
        self.provisioning
            .no_capacity
            .retain(|_, until| *until > now);
        if !self.provisioning.asked.is_empty() || !self.provisioning.listed_once {
            return;
        }
        let limit = self.config.tuning.fleet_max;
        let have = (self.workers.iter().count() + self.provisioning.booting.len()) as u32;
        let mut allowed = if limit == 0 {
            MAX_PER_RENTAL
        } else {
            limit.saturating_sub(have).min(MAX_PER_RENTAL)
        };
        let zones = 0..self.zones.len() as u32;
        let dark: Vec<bool> = zones.map(|z| self.zone_is_dark(z)).collect();
        let at_risk = self.replicas_at_risk(&dark);
        let waits = |j: &Job| j.waiting() > 0 && j.unplaced_since.is_some_and(|t| now - t > 0.5);
        let mut order: Vec<(f64, u32)> = self
            .jobs
            .iter()
            .filter(|(ix, j)| {
                j.state == JobState::Live
                    && !self.is_mistaken(*ix)
                    && (waits(j) || at_risk.contains_key(ix))
            })
            .map(|(ix, _)| (self.weight(ix), ix))
            .collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut room = self.booting_room();
        if !at_risk.is_empty() {
            room.extend(self.free_places(&dark));
        }
        let mut wanted: BTreeMap<(u32, u32, bool), u32> = BTreeMap::new();
        for (_, ix) in order {
            let job = &self.jobs[ix];
            let needs = job.spec.needs;
            let waiting = if waits(job) { job.waiting() } else { 0 };
            let mut left = waiting.min(2000).min(self.canaries(ix));
            left += at_risk.get(&ix).copied().unwrap_or(0);
            for (kind, spot, free) in &mut room {
                let fits = (!*spot || job.spec.spot)
                    && job.types.as_ref().is_none_or(|t| t.contains(kind));
                while left > 0 && fits && needs.fits_in(free) {
                    free.sub(&needs);
                    left -= 1;
                }
            }
            while left > 0 && allowed > 0 {
                let Some((kind, zone, spot)) = self.cheapest_place(ix, &wanted, &dark) else {
                    break;
                };
                *wanted.entry((kind, zone, spot)).or_default() += 1;
                allowed -= 1;
                let mut free = self.types.get(kind).expect("chosen").whole;
                while left > 0 && needs.fits_in(&free) {
                    free.sub(&needs);
                    left -= 1;
                }
                room.push((kind, spot, free));
            }
        }
        // A few calls a second at most: the rest is asked for next time.
        for ((kind, zone, spot), count) in wanted.into_iter().take(3) {
            self.provisioning.next_request += 1;
            let request = format!(
                "cf-{}-{}",
                self.provisioning.token, self.provisioning.next_request
            );
            self.provisioning.asked.insert(
                request.clone(),
                ProvisioningRequest {
                    kind,
                    zone,
                    spot,
                    count,
                },
            );
            self.effects.push(Effect::ScaleOut {
                request,
                machine_type: self.types.names.name(kind).to_string(),
                zone: self.zones.name(zone).to_string(),
                spot,
                count,
            });
        }
    }

    /// By service, its replicas in zones that are dark. They serve on until their leases end,
    /// and will then all want places at once: workers take about as long to boot as leases
    /// to end, so these are rented for before.
    fn replicas_at_risk(&self, dark: &[bool]) -> BTreeMap<u32, u32> {
        let mut all = BTreeMap::new();
        if !dark.contains(&true) {
            return all;
        }
        for (m, worker) in self.workers.iter() {
            if !dark[worker.zone as usize] || !self.is_unresponsive(m) {
                continue;
            }
            for (key, instance) in &worker.instances {
                let job = &self.jobs[key.job];
                if instance.possible() && job.is_service() && job.state == JobState::Live {
                    *all.entry(key.job).or_default() += 1;
                }
            }
        }
        all
    }

    /// What is free on workers outside of dark zones.
    fn free_places(&self, dark: &[bool]) -> Vec<(u32, bool, Resources)> {
        let lit = self.workers.iter().filter(|(m, worker)| {
            !dark[worker.zone as usize] && self.worker_usable(*m) && worker.reservations.is_empty()
        });
        lit.map(|(m, worker)| (worker.kind, worker.spot, self.free_room(m)))
            .collect()
    }

    /// The type, zone and kind where a task of the job costs least.
    fn cheapest_place(
        &self,
        ix: u32,
        wanted: &BTreeMap<(u32, u32, bool), u32>,
        dark: &[bool],
    ) -> Option<(u32, u32, bool)> {
        let job = &self.jobs[ix];
        let mut best: Option<(f64, u32, (u32, u32, bool))> = None;
        for (kind, t) in self.types.known.iter().enumerate() {
            let Some(t) = t else { continue };
            let kind = kind as u32;
            if !job.spec.needs.fits_in(&t.whole)
                || job.types.as_ref().is_some_and(|l| !l.contains(&kind))
            {
                continue;
            }
            for zone in 0..self.zones.len() as u32 {
                if job.zone.is_some_and(|z| z != zone)
                    || !t.zones.iter().any(|z| z == self.zones.name(zone))
                    || !self.zone_allows(ix, zone)
                    || dark[zone as usize]
                {
                    continue;
                }
                for spot in [true, false] {
                    let place = (kind, zone, spot);
                    if (spot && !job.spec.spot)
                        || self.provisioning.no_capacity.contains_key(&place)
                    {
                        continue;
                    }
                    let price = if spot { t.spot_price } else { t.price };
                    let cost = price * job.spec.needs.share_of(&t.whole);
                    // Even spread over zones among equals.
                    let already = wanted.get(&place).copied().unwrap_or(0);
                    if best
                        .as_ref()
                        .is_none_or(|(c, n, _)| (cost, already) < (*c, *n))
                    {
                        best = Some((cost, already, place));
                    }
                }
            }
        }
        best.map(|(_, _, place)| place)
    }

    fn scale_in(&mut self) {
        let now = self.now;
        let live = |j: &Job| j.state == JobState::Live;
        let waiting = self.jobs.iter().any(|(_, j)| live(j) && j.waiting() > 0);
        // While there is work, more can be expected.
        let idle_s = if self.jobs.iter().any(|(_, j)| live(j)) {
            self.config.tuning.idle_return_s
        } else {
            self.config.tuning.deserted_return_s
        };
        for (_, m) in self.workers.iter_mut() {
            let empty = m.instances.is_empty()
                && m.orphaned_tasks == OrphanedTasks::None
                && m.in_flight.is_none();
            if empty && !waiting && !m.draining && m.idle_since.is_some_and(|t| now - t > idle_s) {
                m.returning = true;
            }
            let sick = m.quarantined_until > now && m.quarantines >= 2;
            if sick && empty {
                m.returning = true;
            }
        }
        self.send_scale_in();
    }

    fn send_scale_in(&mut self) {
        if self.provisioning.returning {
            return;
        }
        let now = self.now;
        let mut names: Vec<String> = self
            .workers
            .iter()
            .filter(|(_, m)| m.returning)
            .map(|(_, m)| m.name.clone())
            .take(MAX_PER_RETURN)
            .collect();
        for (name, b) in &self.provisioning.booting {
            let given_up_s = GIVEN_UP * self.boot_overdue_s(b.kind);
            if now - b.since > given_up_s && names.len() < MAX_PER_RETURN {
                tracing::info!(worker = name, "never came up");
                names.push(name.clone());
            }
        }
        if !names.is_empty() {
            self.provisioning.returning = true;
            self.effects.push(Effect::ScaleIn(names));
        }
    }

    // ---- silence ----

    /// A worker that has fallen silent may hold replicas until its lease has
    /// run out. Returning it proves at once that they are gone, so they can
    /// start elsewhere seconds earlier.
    pub(super) fn release_unresponsive_workers(&mut self) {
        // Reports come a quarter early or late. A worker that is not early is
        // asked, so that a late one is known to be silent at once.
        let expected = self.late_after_s();
        let latest = self.latest_heartbeat_s();
        let mut silent = Vec::new();
        let mut heard = 0;
        for m in self.workers.indices() {
            let worker = &self.workers[m];
            let Some(at) = worker.last_heartbeat_at else {
                continue;
            };
            if worker.returning || worker.incarnation <= worker.expired_incarnation {
                continue;
            }
            if self.now - at < expected {
                heard += 1;
            } else {
                silent.push((m, at));
            }
        }
        let late = silent
            .iter()
            .filter(|(_, at)| self.now - at > latest)
            .count();
        let network = is_the_network(late, heard + silent.len() - late);
        let (mut latest_heard, mut questions_left) = (None, None);
        for (m, at) in silent {
            let worker = &self.workers[m];
            let serves = worker
                .instances
                .iter()
                .any(|(k, c)| c.possible() && self.jobs[k.job].is_service());
            if !serves {
                continue;
            }
            let asked = worker.unanswered_at.is_some_and(|t| t >= at + expected);
            let asked = asked && self.answers_no_controller(m);
            let asked = asked && {
                let latest = latest_heard.get_or_insert_with(|| self.latest_heard());
                self.zone_is_heard(latest, m, worker.unanswered_at)
            };
            if asked && !network && self.now - at > latest {
                tracing::warn!(
                    worker = worker.name,
                    "silent: returned for its replicas' sake"
                );
                self.workers[m].returning = true;
                self.send_scale_in();
            } else if worker.in_flight.is_none() && worker.next_probe <= self.now {
                let left = questions_left.get_or_insert_with(|| self.questions_left());
                if *left > 0 {
                    *left -= 1;
                    self.ask_worker(m);
                }
            }
        }
    }

    /// A few recorded workers have not answered a new leader while their zones
    /// have: most are spot workers that were taken. Returning them proves that
    /// nothing is there, and what they hold back starts seconds earlier.
    /// Many wait for a third question: what they hold back is all that is older than the
    /// election, 27 s long after all controllers had ended in a loss.
    pub(super) fn release_unreconciled_workers(&mut self, unreconciled: &[u32]) {
        self.release_one_way_partitioned_workers(unreconciled);
        let all = self.workers.iter().count();
        let many = unreconciled.len() > 1 + all / 20;
        let early = self.now - self.listening_since < ASKED_THRICE_S;
        if many && (early || is_the_network(unreconciled.len(), all - unreconciled.len())) {
            return;
        }
        let since = Some(self.elected_at + 0.5);
        let latest = self.latest_heard();
        for &m in unreconciled {
            let worker = &self.workers[m];
            // Asked once a second: by then two questions have gone unanswered.
            let asked_twice = worker
                .unanswered_at
                .is_some_and(|t| self.now - t > ASKED_AGAIN_S)
                && self.answers_no_controller(m);
            if asked_twice && !worker.returning && self.zone_is_heard(&latest, m, since) {
                tracing::warn!(
                    worker = self.workers[m].name,
                    "never heard by this leader: returned"
                );
                self.workers[m].returning = true;
            }
        }
        self.send_scale_in();
    }

    /// Workers that report and have not learned of this leader for so long that the session in
    /// which an earlier one knew them is over, or else they would have: they hear nothing, so
    /// their tasks are gone, and nothing can be started there. Until they answer, only their
    /// return proves that no order of an earlier leader can reach them any more. A deaf zone once
    /// held everything older than an election back for as long as it was deaf.
    fn release_one_way_partitioned_workers(&mut self, unreconciled: &[u32]) {
        let ttl_s = self.config.tuning.leader_ttl_ms as f64 / 1000.0;
        let over_at = self.elected_at + ttl_s + self.lease_upper_bound_s();
        let late_s = self.latest_heartbeat_s();
        for &m in unreconciled {
            let worker = &self.workers[m];
            let heard = worker
                .last_heartbeat_at
                .is_some_and(|t| t - over_at > late_s);
            if heard && !worker.returning {
                tracing::warn!(worker = worker.name, "reports and hears nothing: returned");
                self.workers[m].returning = true;
            }
        }
    }

    /// Reports come a quarter early or late, and take their time.
    fn latest_heartbeat_s(&self) -> f64 {
        self.config.cluster.workers.heartbeat_interval_s * 1.25 + 0.1
    }

    /// Whether workers of the same zone were heard since. Where none is, the
    /// network is cut, not the worker hung: its replicas serve on until their
    /// lease runs out, and returning it would only end them sooner. A leader
    /// that was cut off itself once returned a dozen good workers, one by one
    /// as each became late; on a larger site one returned a whole zone.
    fn zone_is_heard(&self, latest: &Latest, m: u32, since: Option<Time>) -> bool {
        let worker = &self.workers[m];
        let itself = (worker.incarnation > worker.expired_incarnation).then_some(m);
        // The only worker of its zone is judged by all others.
        let near = latest.by_zone.get(&worker.zone);
        near.and_then(|z| z.heard_beside(itself, since))
            .or_else(|| latest.all.heard_beside(itself, since))
            .unwrap_or(false)
    }

    /// When workers were last heard, by zone. Counted anew for every silent worker, this
    /// took a leader of 3,000 workers with a dark zone more than its batches did.
    fn latest_heard(&self) -> Latest {
        let mut latest = Latest::default();
        for (m, worker) in self.workers.iter() {
            if worker.incarnation > worker.expired_incarnation {
                let zone = latest.by_zone.entry(worker.zone).or_default();
                zone.note(worker.last_heartbeat_at, m);
                latest.all.note(worker.last_heartbeat_at, m);
            }
        }
        latest
    }

    /// Most workers of a zone are silent: new ones there would be too.
    fn zone_is_dark(&self, zone: u32) -> bool {
        let (mut silent, mut all) = (0, 0);
        for (m, worker) in self.workers.iter() {
            if worker.zone == zone && worker.last_heartbeat_at.is_some() {
                all += 1;
                silent += u32::from(self.is_unresponsive(m));
            }
        }
        all > 0 && silent * 2 > all
    }

    // ---- faults ----

    /// A task failed: the worker's fault or the job's? Both are watched until
    /// other workers and other jobs have told.
    pub(super) fn handle_task_failure(&mut self, m: u32, key: InstanceId) {
        let now = self.now;
        let job = &mut self.jobs[key.job];
        let t = &mut job.tasks[key.task as usize];
        t.not_before = (now + 0.5) as f32;
        job.failures += 1;
        if !job.failed_on.contains(&m) {
            job.failed_on.push(m);
        }
        if job.failed_on.len() >= 3 && job.done == 0 && !job.is_service() {
            // It may run well for a while and then fail everywhere all the same.
            job.proved = false;
        }
        if self.is_mistaken(key.job) {
            // It fails wherever it goes: tried ever more seldom, until its user cancels it.
            let job = &mut self.jobs[key.job];
            let pause = 2.0f64.powi(job.failures.min(10) as i32);
            job.retry_at = now + pause.min(MISTAKEN_RETRY_S);
            if now - job.warned_at > 30.0 {
                job.warned_at = now;
                tracing::warn!(job = %job.spec.id, "fails on every machine");
            }
        }
        self.workers[m].failed.insert(key.job, now + DISTRUST_S);
        if self.jobs[key.job].proved {
            self.quarantine(m);
        }
    }

    /// The job has run well, so where it failed the worker was at fault. Only
    /// such a job tells: several mistaken ones at once, each on its first tries,
    /// looked like as many good jobs on a sick worker, and new workers that had
    /// done no other work were given up one after the other.
    pub(super) fn job_proved(&mut self, ix: u32) {
        if std::mem::replace(&mut self.jobs[ix].proved, true) {
            return;
        }
        self.jobs[ix].failures = 0;
        for m in self.workers.indices() {
            let failed = self.workers[m].failed.get(&ix);
            if failed.is_some_and(|&until| until > self.now) {
                self.quarantine(m);
            }
        }
    }

    fn quarantine(&mut self, m: u32) {
        let now = self.now;
        let worker = &mut self.workers[m];
        if worker.quarantined_until <= now {
            worker.quarantines += 1;
            let pause = 15.0 * 2.0f64.powi(worker.quarantines.min(6) as i32 - 1);
            worker.quarantined_until = now + pause;
            tracing::info!(worker = worker.name, pause, "quarantined");
        }
    }

    /// Failed on several workers and never worked anywhere.
    pub(super) fn is_mistaken(&self, ix: u32) -> bool {
        self.jobs
            .get(ix)
            .is_some_and(|j| !j.proved && j.failed_on.len() >= 2)
    }

    pub(super) fn worker_worked(&mut self, m: u32, job: u32) {
        self.jobs[job].failed_on.retain(|&f| f != m);
        let worker = &mut self.workers[m];
        worker.failed.remove(&job);
        if worker.failed.is_empty() && worker.quarantined_until <= self.now {
            worker.quarantines = 0;
        }
    }

    /// How many tasks may be tried at once: few while the job itself is in doubt.
    pub(super) fn canaries(&self, ix: u32) -> u32 {
        let job = &self.jobs[ix];
        if job.proved || job.failed_on.is_empty() {
            u32::MAX
        } else {
            2u32.saturating_sub(job.active)
        }
    }
}

/// When many are silent at once the network is at fault, perhaps our own part of it; they may
/// all be well.
fn is_the_network(silent: usize, heard: usize) -> bool {
    silent as f64 > 0.4 * heard as f64
}
