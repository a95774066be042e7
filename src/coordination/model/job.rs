//! Jobs and their tasks, and what groups of jobs have in common.

use std::collections::VecDeque;

use crate::protocol::job::{JobOutcome, JobSpec, Kind, Priority, Resources};

use super::Time;

/// One task of a job.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// On how many workers an instance of it may be.
    pub instances: u8,
    /// It has ended well.
    pub done: bool,
    /// Its done bit is in the state service, so workers may forget it.
    pub stored: bool,
    /// It is not started before this time.
    pub not_before: f32,
}

/// How far a job has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// It is to be run.
    Live,
    /// Every task is done; the end is being stored.
    Finishing,
    /// Its user has asked to cancel it; nothing new is started and all of it is stopped, though
    /// it is not known yet whether that is stored.
    Cancelling,
    /// Ended, and stored so. Kept while a worker may still hold an instance of it.
    Terminal(JobOutcome),
}

/// A job that has not ended, or of which a worker may still hold something.
#[derive(Debug)]
pub struct Job {
    /// What its user has asked for.
    pub spec: JobSpec,
    /// Of the stored record.
    pub version: u64,
    /// How far it has come.
    pub state: JobState,
    /// Since when this leader knows that it is to end.
    pub ending_since: Option<Time>,
    /// Index of its team.
    pub team: u32,
    /// Index of its image.
    pub image: u32,
    /// The zone it must run in, if it names one.
    pub zone: Option<u32>,
    /// The instance types it allows, if it names any.
    pub types: Option<Vec<u32>>,
    /// Its tasks by number.
    pub tasks: Vec<Task>,
    /// How many tasks are done.
    pub done: u32,
    /// Tasks that are not done and may be on some worker.
    pub active: u32,
    /// Instances that were last reported as running, for display.
    pub running: u32,
    /// Instances that may exist, by zone.
    pub instances_by_zone: Vec<u32>,
    /// Tasks from this number on have never been started.
    pub first_unstarted: u32,
    /// Tasks below `first_unstarted` that are to be started again.
    pub retry_queue: VecDeque<u32>,
    /// Stored before this leader was elected: an earlier one may have started it.
    pub predates_election: bool,
    /// A worker that has not reported to this leader yet may hold an instance of it.
    pub blocked: bool,
    /// When it was accepted, on this controller's clock.
    pub accepted_at: Time,
    /// When it was accepted, in ms of the time of day.
    pub accepted_ms: u64,
    /// Since when it has not got all the room it wants.
    pub unplaced_since: Option<Time>,
    /// How long after its submission finishing it is still worth most, by its class's objectives.
    pub completion_target_s: f64,
    /// The delay at the start that costs it most of its value, by its class's objectives.
    pub start_delay_tolerance_s: f64,
    /// How long after its submission it must be placed to meet each objective, ascending.
    pub placement_deadlines_s: Vec<f64>,
    /// Small arrays of one scheduling class bid as one.
    pub scheduling_class: Option<u32>,
    /// Its large-task profile, if one task takes most of a worker.
    pub large_task_profile: Option<u32>,
    /// Of a gang: the current attempt, if an instance of it may exist.
    pub attempt: Option<u64>,
    /// A task has run well, so failures are not the job's own fault.
    pub known_good: bool,
    /// Workers it has failed on since it last ran well.
    pub failed_on: Vec<u32>,
    /// Failures since it last ran well.
    pub failures: u32,
    /// Nothing of it is started before this time.
    pub retry_at: Time,
    /// Versions of the stored bitmap chunks, 0 where none is stored.
    pub chunk_versions: Vec<u64>,
    /// When each chunk is to be stored, if it has changed.
    pub chunk_due: Vec<Option<Time>>,
    /// Instances of any kind that workers still have, exited ones included.
    pub listed_instances: u32,
    /// Its team's usage is within its quota.
    pub within_quota: bool,
    /// When the log last warned of it.
    pub warned_at: Time,
    /// Its tasks may be moved while they run: its own setting and its class's both allow it.
    pub movable: bool,
    /// Its user or the settings keep it where it is, whoever plans a migration.
    pub pinned: bool,
    /// An operator is asked before a drain disturbs it.
    pub protected: bool,
}

/// The work that a replica of a service counts as in bids.
const SERVICE_WORK_S: f64 = 600.0;

impl Job {
    /// A job that nobody has started. What depends on the cluster, its settings and the stored
    /// record is left for the caller to set.
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

    /// Tasks that are neither done nor possibly on a worker.
    pub fn waiting(&self) -> u32 {
        self.spec.tasks - self.done - self.active
    }

    /// Its user has asked to cancel it, or it has ended: whatever is left of it is stopped.
    pub fn is_ending(&self) -> bool {
        matches!(self.state, JobState::Cancelling | JobState::Terminal(_))
    }

    /// Its user has asked to cancel it.
    pub fn begin_cancelling(&mut self, now: Time) {
        self.state = JobState::Cancelling;
        self.ending_since.get_or_insert(now);
    }

    /// It was to be cancelled, and is not.
    pub fn resume(&mut self) {
        self.state = JobState::Live;
        self.ending_since = None;
    }

    /// Its end is stored.
    pub fn end(&mut self, outcome: JobOutcome, now: Time) {
        self.state = JobState::Terminal(outcome);
        self.ending_since.get_or_insert(now);
    }

    /// Whether its tasks run together or not at all.
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
            self.spec.estimate_s.max(1.0)
        }
    }

    /// How many of its instances may be in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spec.spread {
            self.spec.tasks.div_ceil(2)
        } else {
            u32::MAX
        }
    }
}

/// Scheduling (equivalence) class: tasks of small arrays that agree in all of this bid as one.
/// Resources are in slots and steps, since such tasks may each want a little less or more.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SchedulingClass {
    /// Index of the team.
    pub team: u32,
    /// Priority of the jobs.
    pub priority: Priority,
    /// The objectives' class of the jobs.
    pub class: String,
    /// Index of the image.
    pub image: u32,
    /// The zone the jobs must run in, if they name one.
    pub zone: Option<u32>,
    /// The instance types the jobs allow, if they name any.
    pub types: Option<Vec<u32>>,
    /// Whether spot workers are allowed.
    pub spot: bool,
    /// CPUs of a task in slots.
    pub cpu_slots: u32,
    /// GPUs of a task in slots.
    pub gpu_slots: u32,
    /// Memory of a task, in half powers of two.
    pub memory_step: u32,
}

/// A kind of task that takes most of a worker. Such jobs come again and again; small tasks must
/// not have taken room on the last empty worker by then.
#[derive(Debug, Clone)]
pub struct LargeTaskProfile {
    /// Resources of one task.
    pub needs: Resources,
    /// The instance types allowed, if any are named.
    pub types: Option<Vec<u32>>,
    /// The zone required, if one is named.
    pub zone: Option<u32>,
    /// Whether spot workers are allowed.
    pub spot: bool,
    /// Priority of the jobs.
    pub priority: Priority,
    /// Arrivals per second, smoothed.
    pub rate: f64,
    /// When the rate was last updated.
    pub rate_updated_at: Time,
}
