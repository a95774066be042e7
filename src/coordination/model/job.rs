//! Jobs, their tasks, scheduling classes and large-task profiles.

use std::collections::VecDeque;

use crate::protocol::job::{JobOutcome, JobSpec, Kind, Priority, Resources};

use super::Time;

/// One task of a job.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// The number of instances that may exist, each on a different worker.
    pub instances: u8,
    /// It has completed successfully.
    pub done: bool,
    /// Its done bit is in the state service, so a worker may forget the exited task.
    pub stored: bool,
    /// It is not started again before this time.
    pub not_before: f32,
}

/// The state of a job in its lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// The job is waiting or running.
    Live,
    /// Every task is done and the job's end is being stored.
    Finishing,
    /// A user has asked to cancel the job. Nothing of it is started and all of its tasks are
    /// stopped, although it is not known yet whether the cancellation is stored.
    Cancelling,
    /// The end is stored. The job is kept while a worker may still hold an instance of it.
    Terminal(JobOutcome),
}

/// A job that has not ended, or of which a worker may still hold an instance.
#[derive(Debug)]
pub struct Job {
    /// The user's specification.
    pub spec: JobSpec,
    /// The version of the stored record.
    pub version: u64,
    /// The state in its lifecycle.
    pub state: JobState,
    /// When this leader learned that the job was cancelled or has ended.
    pub ending_since: Option<Time>,
    /// The index of its team.
    pub team: u32,
    /// The index of its image.
    pub image: u32,
    /// The zone it must run in, if it names one.
    pub zone: Option<u32>,
    /// The instance types it allows, if it names any.
    pub types: Option<Vec<u32>>,
    /// The tasks, by task number.
    pub tasks: Vec<Task>,
    /// The number of tasks that are done.
    pub done: u32,
    /// The number of tasks that are not done and may be on some worker.
    pub active: u32,
    /// The number of instances that were last reported as running, for display.
    pub running: u32,
    /// The number of instances that may exist, by zone.
    pub instances_by_zone: Vec<u32>,
    /// Tasks with this number or a higher one have never been started.
    pub first_unstarted: u32,
    /// Tasks below `first_unstarted` that must be started again.
    pub retry_queue: VecDeque<u32>,
    /// The job was stored before this leader was elected, so an earlier leader may have started it.
    pub predates_election: bool,
    /// A worker that has not reported to this leader yet may hold an instance of it. Nothing of the
    /// job is started until then.
    pub blocked: bool,
    /// When the job was accepted, on this controller's steady clock.
    pub accepted_at: Time,
    /// When the job was accepted, in ms of wall-clock time.
    pub accepted_ms: u64,
    /// Since when some of its tasks have not been placed.
    pub unplaced_since: Option<Time>,
    /// The time from submission within which its class's objectives want it finished.
    pub completion_target_s: f64,
    /// The start delay that costs the job most of its value, by its class's objectives.
    pub start_delay_tolerance_s: f64,
    /// The time from submission within which it must be placed to meet each objective, ascending.
    pub placement_deadlines_s: Vec<f64>,
    /// Its scheduling class, if it is a small array. All jobs of a class bid together.
    pub scheduling_class: Option<u32>,
    /// Its large-task profile, if one of its tasks takes most of a worker.
    pub large_task_profile: Option<u32>,
    /// The current attempt of a gang, if an instance of it may exist.
    pub attempt: Option<u64>,
    /// A task has run well, so failures are attributed to workers and not to the job.
    pub known_good: bool,
    /// Workers on which it has failed since it last ran well.
    pub failed_on: Vec<u32>,
    /// The number of failures since it last ran well.
    pub failures: u32,
    /// None of its tasks is started before this time.
    pub retry_at: Time,
    /// Versions of the stored chunks of its done bitmap; 0 where no chunk is stored.
    pub chunk_versions: Vec<u64>,
    /// When each changed chunk is due to be stored; `None` for unchanged chunks.
    pub chunk_due: Vec<Option<Time>>,
    /// The number of instances in all workers' lists, exited ones included.
    pub listed_instances: u32,
    /// Its team is within its quota.
    pub within_quota: bool,
    /// When the last warning about the job was logged.
    pub warned_at: Time,
    /// Its tasks may be migrated while they run: both its own setting and its class's allow it.
    pub movable: bool,
    /// Its user or the settings forbid every migration of its tasks, whatever the migration is for.
    pub pinned: bool,
    /// A drain needs an operator's confirmation before it disturbs the job.
    pub protected: bool,
}

/// The expected work of a service replica in bids. A replica does not end by itself.
const SERVICE_WORK_S: f64 = 600.0;

impl Job {
    /// A job of which nothing has been started. The caller sets the fields that depend on the
    /// cluster, its settings and the stored record.
    pub fn new(spec: JobSpec, team: u32, image: u32) -> Self {
        Self {
            version: 0,
            state: JobState::Live,
            ending_since: None,
            team,
            image,
            zone: None,
            types: None,
            tasks: vec![Task::default(); spec.tasks as usize],
            done: 0,
            active: 0,
            running: 0,
            instances_by_zone: Vec::new(),
            first_unstarted: 0,
            retry_queue: VecDeque::new(),
            predates_election: false,
            blocked: false,
            accepted_at: 0.0,
            accepted_ms: 0,
            unplaced_since: None,
            completion_target_s: 0.0,
            start_delay_tolerance_s: 0.0,
            placement_deadlines_s: Vec::new(),
            scheduling_class: None,
            large_task_profile: None,
            attempt: None,
            known_good: false,
            failed_on: Vec::new(),
            failures: 0,
            retry_at: 0.0,
            chunk_versions: Vec::new(),
            chunk_due: Vec::new(),
            listed_instances: 0,
            within_quota: false,
            warned_at: 0.0,
            movable: false,
            pinned: false,
            protected: false,
            spec,
        }
    }

    /// Whether the job allows workers of this instance type.
    pub fn allows_type(&self, instance_type: u32) -> bool {
        let allowed = self.types.as_ref();
        allowed.is_none_or(|types| types.contains(&instance_type))
    }

    /// The number of tasks that are not done and certainly not on any worker.
    pub fn waiting(&self) -> u32 {
        self.spec.tasks - self.done - self.active
    }

    /// Whether the job is being cancelled or has ended, so that its remaining instances are
    /// stopped.
    pub fn is_ending(&self) -> bool {
        matches!(self.state, JobState::Cancelling | JobState::Terminal(_))
    }

    /// Records a user's request to cancel the job.
    pub fn begin_cancelling(&mut self, now: Time) {
        self.state = JobState::Cancelling;
        self.ending_since.get_or_insert(now);
    }

    /// Reverts a cancellation that was not stored.
    pub fn resume(&mut self) {
        self.state = JobState::Live;
        self.ending_since = None;
    }

    /// Records that the job's end is stored.
    pub fn end(&mut self, outcome: JobOutcome, now: Time) {
        self.state = JobState::Terminal(outcome);
        self.ending_since.get_or_insert(now);
    }

    /// Whether all of its tasks must run at the same time.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == Kind::Gang
    }

    /// Whether its tasks are replicas that run until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.spec.kind == Kind::Service
    }

    /// The expected work of a task in seconds, for bids.
    pub fn work_s(&self) -> f64 {
        if self.is_service() {
            SERVICE_WORK_S
        } else {
            self.spec.estimated_runtime_s.max(1.0)
        }
    }

    /// The maximum number of its instances in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spec.spread {
            self.spec.tasks.div_ceil(2)
        } else {
            u32::MAX
        }
    }
}

/// Scheduling (equivalence) class: small arrays that agree in all of these fields bid together.
/// Resources are rounded to slots and steps, so that jobs with slightly different needs share a
/// class.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SchedulingClass {
    /// The index of the team.
    pub team: u32,
    /// The priority of the jobs.
    pub priority: Priority,
    /// The jobs' class in the settings' objectives.
    pub class: String,
    /// The index of the image.
    pub image: u32,
    /// The zone the jobs must run in, if they name one.
    pub zone: Option<u32>,
    /// The instance types the jobs allow, if they name any.
    pub types: Option<Vec<u32>>,
    /// Whether spot workers are allowed.
    pub spot: bool,
    /// The CPUs of a task, in slots.
    pub cpu_slots: u32,
    /// The GPUs of a task, in slots.
    pub gpu_slots: u32,
    /// The memory of a task as a base-2 logarithm, in steps of one half.
    pub memory_step: u32,
}

/// A kind of task that takes most of a worker. Such jobs arrive repeatedly, and small tasks must
/// not fill the last empty worker before the next one arrives.
#[derive(Debug, Clone)]
pub struct LargeTaskProfile {
    /// The resources of one task.
    pub needs: Resources,
    /// The allowed instance types, if any are named.
    pub types: Option<Vec<u32>>,
    /// The required zone, if one is named.
    pub zone: Option<u32>,
    /// Whether spot workers are allowed.
    pub spot: bool,
    /// Priority of the jobs.
    pub priority: Priority,
    /// The smoothed arrival rate, in arrivals per second.
    pub rate: f64,
    /// When the rate was last updated.
    pub rate_updated_at: Time,
}
