//! The lifecycle of a job in the core, from its stored record to its stored end.

use crate::protocol::JobId;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobOutcome, Kind};
use crate::storage::StoredJob;

use super::auction::BidderGroup;
use super::model::*;
use super::objectives;
use super::state::Core;

/// How long changes to a job's done bitmap are collected before they are stored together.
const PROGRESS_WRITE_DELAY_S: Time = 2.0;
/// Arrays with at most this many tasks bid together with the others of their scheduling class.
const MAX_SMALL_ARRAY_TASKS: u32 = 8;
/// The number of memory steps per factor of two in a scheduling class.
const MEMORY_STEPS_PER_DOUBLING: f64 = 2.0;

impl Core {
    /// Updates the cloud's descriptions of instance types.
    pub(super) fn update_instance_types(&mut self, types: Vec<MachineType>) {
        self.types.update(types);
        for job_index in self.jobs.indices() {
            // The job was added before its instance types were described.
            if self.jobs[job_index].large_task_profile.is_none() {
                self.jobs[job_index].large_task_profile = self.record_large_task_arrival(job_index);
            }
        }
    }

    /// Returns the index of an image, adding it if it is new. A `stated_gb` of 0 states no size.
    pub(super) fn intern_image(&mut self, name: &str, stated_gb: f64) -> u32 {
        self.images.intern(name, stated_gb)
    }

    /// Adds a stored job unless it is already known or has ended.
    pub(super) fn add_job(&mut self, stored: StoredJob) {
        let id = stored.spec.id;
        // The watch may report a job that was in the snapshot, or one that has ended since.
        if self.jobs.index_of(id).is_some() || self.jobs.outcome(id).is_some() {
            return;
        }
        let spec = stored.spec;
        let image = self.intern_image(&spec.image, spec.image_gb);
        let team = self.teams.intern(&spec.team);
        let zone = spec.zone.as_ref().map(|zone| self.zones.intern(zone));
        let types = spec
            .machine_types
            .as_ref()
            .map(|list| list.iter().map(|t| self.types.intern(t)).collect());
        let chunks = spec.tasks.div_ceil(self.tasks_per_chunk) as usize;
        let fetch_s = spec.image_gb / self.types.max_fetch_gb_per_s(types.as_deref());
        let predates_election = stored.version < self.token;
        let objective_settings = &self.config.cluster.objectives;
        let tuning = &self.config.tuning;
        let mut job = Job::new(spec, team, image);
        if self.jobs.has_early_cancellation(id) {
            job.begin_cancelling(self.now);
        }
        job.version = stored.version;
        job.zone = zone;
        job.types = types;
        job.instances_by_zone = vec![0; self.zones.len()];
        job.chunk_versions = vec![0; chunks];
        job.chunk_due = vec![None; chunks];
        job.predates_election = predates_election;
        job.blocked = predates_election && !self.reconciliation.is_complete();
        job.accepted_at = self.now - stored.age_s;
        job.accepted_ms = stored.accepted_ms;
        job.completion_target_s = objectives::completion_target_s(objective_settings, &job.spec);
        job.start_delay_tolerance_s =
            objectives::start_delay_tolerance_s(objective_settings, &job.spec);
        job.placement_deadlines_s =
            objectives::placement_deadlines_s(objective_settings, &job.spec, fetch_s);
        job.movable = objectives::movable(tuning, &job.spec);
        job.pinned = objectives::pinned(tuning, &job.spec);
        job.protected = objectives::protected(tuning, &job.spec);
        let job_index = self.jobs.insert(job);
        self.jobs[job_index].large_task_profile = self.record_large_task_arrival(job_index);
        self.jobs[job_index].scheduling_class = self.scheduling_class_of(job_index);
    }

    /// The index of the scheduling class of a job, if its tasks bid together with those of others.
    fn scheduling_class_of(&mut self, job_index: u32) -> Option<u32> {
        let job = &self.jobs[job_index];
        let spec = &job.spec;
        let small = spec.kind == Kind::Array
            && spec.tasks <= MAX_SMALL_ARRAY_TASKS
            && job.large_task_profile.is_none();
        if !small || spec.one_zone || spec.spread {
            return None;
        }
        let (cpu_slots, gpu_slots) =
            BidderGroup::slots_needed(&spec.needs, self.config.tuning.slot_cpus);
        let class = SchedulingClass {
            team: job.team,
            priority: spec.priority,
            class: spec.class.clone(),
            image: job.image,
            zone: job.zone,
            types: job.types.clone(),
            spot: spec.spot,
            cpu_slots,
            gpu_slots,
            memory_step: ((spec.needs.memory.max(1) as f64).log2() * MEMORY_STEPS_PER_DOUBLING)
                .ceil() as u32,
        };
        let next = self.scheduling_classes.len() as u32;
        Some(*self.scheduling_classes.entry(class).or_insert(next))
    }

    /// Records that the end of a job is stored, and stops its remaining instances.
    pub(super) fn end_job(&mut self, id: JobId, outcome: JobOutcome) {
        self.jobs.record_outcome(id, outcome);
        let Some(job_index) = self.jobs.index_of(id) else {
            return;
        };
        let job = &mut self.jobs[job_index];
        job.end(outcome, self.now);
        let chunks: Vec<(u32, u64)> = (0u32..).zip(job.chunk_versions.iter().copied()).collect();
        for (chunk, version) in chunks {
            self.remove_chunk(id, chunk, version);
        }
        tracing::info!(job = %id, phase = outcome.phase.as_str(), "job finished");
        if self.jobs[job_index].listed_instances == 0 {
            self.remove_if_ended(job_index);
            return;
        }
        // The job is removed together with its last instance.
        self.stop_all_instances(job_index);
    }

    /// Stops all instances of a job that may be on a worker, and cancels its queued starts.
    pub(super) fn stop_all_instances(&mut self, job_index: u32) {
        for worker_index in self.workers.indices() {
            for id in self.instances_of(worker_index, job_index) {
                self.stop_instance(worker_index, id, 0.0);
            }
        }
    }

    /// Removes a job that has ended, if no worker holds an instance of it.
    pub(super) fn remove_if_ended(&mut self, job_index: u32) {
        let job = &self.jobs[job_index];
        if !matches!(job.state, JobState::Terminal(_)) || job.listed_instances > 0 {
            return;
        }
        for (_, worker) in self.workers.iter_mut() {
            worker
                .reservations
                .retain(|reservation| reservation.job != job_index);
            worker.failed_jobs.remove(&job_index);
        }
        self.jobs.remove(job_index);
    }

    /// Marks a task as done and schedules the write of its done bit.
    pub(super) fn mark_task_done(&mut self, job_index: u32, task: u32) {
        let tasks_per_chunk = self.tasks_per_chunk;
        let due = self.now + PROGRESS_WRITE_DELAY_S;
        let job = &mut self.jobs[job_index];
        let is_service = job.is_service();
        let state = &mut job.tasks[task as usize];
        if state.done || is_service {
            return;
        }
        state.done = true;
        if state.instances > 0 {
            job.active -= 1;
        }
        job.done += 1;
        self.schedule_progress_write(job_index, task / tasks_per_chunk, due);
        self.finish_if_done(job_index);
    }

    /// Queues the end of a job to be stored if all of its tasks are done.
    pub(super) fn finish_if_done(&mut self, job_index: u32) {
        let job = &mut self.jobs[job_index];
        if job.state == JobState::Live && job.done == job.spec.tasks {
            job.state = JobState::Finishing;
            self.write_queue.push_finished_job(job_index);
        }
    }
}
