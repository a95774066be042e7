//! What the core keeps: jobs, workers, and every place where a task may be.

use std::collections::{BTreeMap, VecDeque};

use crate::protocol::JobId;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobOutcome, JobSpec, Kind, Priority, Resources};
use crate::protocol::worker::{Command, Exit, TaskPhase};

/// Seconds on this node's steady clock.
pub type Time = f64;

/// Names mapped to dense indices at the door.
#[derive(Debug, Default, Clone)]
pub struct Interner {
    by_name: BTreeMap<String, u32>,
    names: Vec<String>,
}

impl Interner {
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(&ix) = self.by_name.get(name) {
            return ix;
        }
        let ix = self.names.len() as u32;
        self.by_name.insert(name.to_string(), ix);
        self.names.push(name.to_string());
        ix
    }

    pub fn get(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    pub fn name(&self, ix: u32) -> &str {
        &self.names[ix as usize]
    }

    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

#[derive(Debug, Clone, Default)]
pub struct Task {
    /// Workers that may hold a copy of it.
    pub instances: u8,
    pub done: bool,
    /// Its done bit is in the state service, so workers may forget it.
    pub stored: bool,
    pub not_before: f32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    Live,
    /// Every task is done; the end is being stored.
    Finishing,
    /// Its user has asked to cancel it; nothing new is started and all of it is stopped, though
    /// it is not known yet whether that is stored.
    Cancelling,
    /// Over, and stored so. Kept while a worker may still hold something of it.
    Terminal(JobOutcome),
}

#[derive(Debug)]
pub struct Job {
    pub spec: JobSpec,
    pub version: u64,
    pub state: JobState,
    pub team: u32,
    pub image: u32,
    pub zone: Option<u32>,
    /// Allowed machine types, if the job names any.
    pub types: Option<Vec<u32>>,
    pub tasks: Vec<Task>,
    pub done: u32,
    /// Tasks that are not done and may be somewhere.
    pub active: u32,
    /// Copies that are surely running, for display.
    pub running: u32,
    /// Possible copies by zone.
    pub by_zone: Vec<u32>,
    /// Tasks from here on have never been tried.
    pub fresh: u32,
    /// Tasks that came back.
    pub retry: VecDeque<u32>,
    /// Stored before this leader was elected: an earlier one may have started it.
    pub predates_election: bool,
    /// A worker that has not been heard since may hold something of it.
    pub blocked: bool,
    pub seen_at: Time,
    pub accepted_ms: u64,
    /// When it last failed to get all the room it wants.
    pub unplaced_since: Option<Time>,
    /// What the objectives say of its class, looked up once: how long after its
    /// submission finishing it is worth most, and what delay at the start is.
    pub worthwhile_s: f64,
    pub patience_s: f64,
    /// How long after its submission it must have started for each aim, ascending.
    pub start_by: Vec<f64>,
    /// Small arrays that are alike bid as one.
    pub scheduling_class: Option<u32>,
    /// Of a task that takes most of a worker.
    pub large_task_profile: Option<u32>,
    /// Of a gang: the current attempt, if any copy of it may exist.
    pub attempt: Option<u64>,
    /// A task has run well, so the job itself is not mistaken.
    pub proved: bool,
    pub failed_on: Vec<u32>,
    /// Failures since it last ran well.
    pub failures: u32,
    pub retry_at: Time,
    /// Versions of the stored bitmap chunks.
    pub chunks: Vec<u64>,
    pub chunk_due: Vec<Option<Time>>,
    /// Copies of any kind that workers still have.
    pub entries: u32,
    pub within_quota: bool,
    pub warned_at: Time,
    /// By its own mark and its class's, the stricter: its tasks may be moved.
    pub movable: bool,
    /// Marked by its user or by operators: it stays where it is, whoever plans.
    pub pinned: bool,
    /// An operator is asked before a drain disturbs it.
    pub protected: bool,
}

impl Job {
    pub fn waiting(&self) -> u32 {
        self.spec.tasks - self.done - self.active
    }

    /// Its user has asked to cancel it, or it is over: what is still of it anywhere is stopped.
    pub fn is_ending(&self) -> bool {
        matches!(self.state, JobState::Cancelling | JobState::Terminal(_))
    }

    pub fn is_gang(&self) -> bool {
        self.spec.kind == Kind::Gang
    }

    pub fn is_service(&self) -> bool {
        self.spec.kind == Kind::Service
    }

    /// The work a task is thought to be, for bids.
    pub fn work_s(&self) -> f64 {
        if self.is_service() {
            600.0
        } else {
            self.spec.estimate_s.max(1.0)
        }
    }

    pub fn zone_cap(&self) -> u32 {
        if self.spec.spread {
            self.spec.tasks.div_ceil(2)
        } else {
            u32::MAX
        }
    }
}

/// What makes the tasks of small arrays similar objects of the market. Amounts are
/// in slots and steps, since a swarm's tasks may each want a little less or more.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SchedulingClass {
    pub team: u32,
    pub priority: Priority,
    pub class: String,
    pub image: u32,
    pub zone: Option<u32>,
    pub types: Option<Vec<u32>>,
    pub spot: bool,
    pub cpu_slots: u32,
    pub gpu_slots: u32,
    pub memory_step: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId {
    pub job: u32,
    pub task: u32,
    pub attempt: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Sent {
    /// Decided, but no message has left yet.
    Queued,
    /// In the response to the report with this counter: never late.
    Response { counter: u64 },
    /// In a direct message that has no answer yet.
    Direct { message_id: u64 },
    /// A report has shown it.
    Seen,
}

/// One task that may be on one worker.
#[derive(Debug, Clone)]
pub struct TaskInstance {
    pub sent: Sent,
    pub phase: Option<TaskPhase>,
    /// A direct start without an answer may still arrive.
    pub unacknowledged: bool,
    pub stop: Option<Stop>,
    pub running_since: Option<Time>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stop {
    pub grace_s: f64,
    pub ordered_at: Time,
    pub sent_at: Option<Time>,
}

impl TaskInstance {
    pub fn exit(&self) -> Option<Exit> {
        match self.phase {
            Some(TaskPhase::Exited(exit)) => Some(exit),
            _ => None,
        }
    }

    /// Whether the task may be on the worker, now or later. One that has exited
    /// may not, even with a start in flight: a worker ignores the start of an
    /// attempt that it holds, and a loose attempt is never forgotten.
    pub fn possible(&self) -> bool {
        self.exit().is_none()
    }

    pub fn is_running(&self) -> bool {
        matches!(self.phase, Some(TaskPhase::Running))
    }
}

/// Tasks on a worker of jobs that this leader does not know: over, most of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrphanedTasks {
    None,
    /// They have ended, and are to be forgotten.
    Ended,
    /// They take room of the worker, and of some team.
    Run,
}

#[derive(Debug, Clone)]
pub struct InFlightMessage {
    pub id: u64,
    pub since: Time,
    pub starts: Vec<InstanceId>,
    /// There are orders in it: it is no mere question.
    pub orders: bool,
    /// By another node.
    pub relayed: bool,
}

/// Room kept on a worker for tasks of a job.
#[derive(Debug, Clone)]
pub struct Reservation {
    pub job: u32,
    pub count: u32,
    pub until: Time,
    /// Of a move: kept although no task of the job waits yet.
    pub held: bool,
}

/// A kind of task that takes most of a worker. Such jobs come again and
/// again; small tasks must not have eaten the last whole worker by then.
#[derive(Debug, Clone)]
pub struct LargeTaskProfile {
    pub needs: Resources,
    pub types: Option<Vec<u32>>,
    pub zone: Option<u32>,
    pub spot: bool,
    pub priority: Priority,
    /// Arrivals per second, smoothed.
    pub rate: f64,
    pub rated_at: Time,
}

#[derive(Debug)]
pub struct Worker {
    pub name: String,
    pub address: String,
    pub kind: u32,
    pub zone: u32,
    pub spot: bool,
    pub incarnation: u64,
    pub counter: u64,
    /// Its newest report by itself, as (session, counter), and the place of the node it came to.
    pub reported: ((u64, u64), u32),
    /// When a report of it was last received that we answered.
    pub answered_at: Option<Time>,
    pub last_heartbeat_at: Option<Time>,
    /// When its last report came to any node: what it answers otherwise renews no lease.
    pub reported_at: Option<Time>,
    /// No session up to this one can be alive any more.
    pub expired_incarnation: u64,
    /// It has reported our token: no command of an earlier leader can reach it.
    pub reconciled: bool,
    pub reclaim_at: Option<Time>,
    pub instances: BTreeMap<InstanceId, TaskInstance>,
    pub used: Resources,
    /// Tasks were reported that nobody knows; their room is unknown too.
    pub orphaned_tasks: OrphanedTasks,
    pub outbox: Vec<Command>,
    pub in_message_id: Option<InFlightMessage>,
    /// Its page of the worker registry.
    pub page: Option<u32>,
    /// It surely stands on a stored page, however old.
    pub registered: bool,
    /// By an earlier leader: tasks of that one may be on it.
    pub known_to_predecessor: bool,
    /// The record of silent workers may name it: it gets no answer and no start.
    pub fenced: bool,
    /// Under which the nodes that share the workers speak of it.
    pub number: u32,
    pub images: Vec<u32>,
    pub reservations: Vec<Reservation>,
    /// Kept whole for the next job of this shape.
    pub reserved_for: Option<u32>,
    /// Jobs that failed here since the last success, and until when they stay away.
    pub failed: BTreeMap<u32, Time>,
    pub quarantined_until: Time,
    pub quarantines: u32,
    pub returning: bool,
    /// An operator wants nothing new on it.
    pub draining: bool,
    pub idle_since: Option<Time>,
    pub next_probe: Time,
    /// Orders to it were without an answer or without effect, and it has answered nothing since.
    /// It may report all the same: then it hears nothing.
    pub commands_unanswered: bool,
    /// When it first failed to answer since it was last heard.
    pub unanswered_at: Option<Time>,
    /// Whose messages it has not answered since then.
    pub missed: Unanswered,
}

/// Who has had no answer of a worker: this node, another that carried a message for it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Unanswered {
    pub own: bool,
    pub relayed: bool,
}

impl Worker {
    pub fn note_unanswered(&mut self, now: Time, relayed: bool) {
        if self.unanswered_at <= self.last_heartbeat_at {
            self.unanswered_at = Some(now);
            self.missed = Unanswered::default();
        }
        let missed = &mut self.missed;
        *(if relayed {
            &mut missed.relayed
        } else {
            &mut missed.own
        }) = true;
    }

    /// Who has had no answer since it was last heard.
    pub fn missed(&self) -> Unanswered {
        if self.unanswered_at > self.last_heartbeat_at {
            self.missed
        } else {
            Unanswered::default()
        }
    }
}

/// Machine types by index; an index without an entry is a type the cloud has not described.
#[derive(Debug, Default)]
pub struct Types {
    pub names: Interner,
    pub known: Vec<Option<MachineType>>,
}

impl Types {
    pub fn update(&mut self, types: Vec<MachineType>) {
        for t in types {
            let ix = self.intern(&t.name) as usize;
            self.known[ix] = Some(t);
        }
    }

    pub fn intern(&mut self, name: &str) -> u32 {
        let ix = self.names.intern(name);
        if self.known.len() <= ix as usize {
            self.known.resize(ix as usize + 1, None);
        }
        ix
    }

    /// The lowest rate at which any type fetches images.
    pub fn slowest_fetch(&self) -> f64 {
        self.known
            .iter()
            .flatten()
            .map(|t| t.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min)
    }

    /// The highest rate among the allowed types.
    pub fn fastest_fetch(&self, allowed: Option<&[u32]>) -> f64 {
        let rate = (0u32..)
            .zip(&self.known)
            .filter(|(ix, _)| allowed.is_none_or(|list| list.contains(ix)))
            .filter_map(|(_, t)| Some(t.as_ref()?.fetch_gb_per_s))
            .fold(0.0, f64::max);
        if rate > 0.0 { rate } else { f64::INFINITY }
    }

    pub fn get(&self, ix: u32) -> Option<&MachineType> {
        self.known.get(ix as usize).and_then(Option::as_ref)
    }
}

/// Indices that are handed out again once free.
#[derive(Debug)]
pub struct Slab<T> {
    entries: Vec<Option<T>>,
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Slab<T> {
    pub fn insert(&mut self, value: T) -> u32 {
        if let Some(ix) = self.free.pop() {
            self.entries[ix as usize] = Some(value);
            return ix;
        }
        self.entries.push(Some(value));
        (self.entries.len() - 1) as u32
    }

    pub fn remove(&mut self, ix: u32) -> Option<T> {
        let value = self.entries.get_mut(ix as usize)?.take();
        if value.is_some() {
            self.free.push(ix);
        }
        value
    }

    pub fn get(&self, ix: u32) -> Option<&T> {
        self.entries.get(ix as usize)?.as_ref()
    }

    pub fn get_mut(&mut self, ix: u32) -> Option<&mut T> {
        self.entries.get_mut(ix as usize)?.as_mut()
    }

    pub fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        self.entries
            .iter()
            .enumerate()
            .filter_map(|(ix, e)| e.as_ref().map(|e| (ix as u32, e)))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (u32, &mut T)> {
        self.entries
            .iter_mut()
            .enumerate()
            .filter_map(|(ix, e)| e.as_mut().map(|e| (ix as u32, e)))
    }

    pub fn indices(&self) -> Vec<u32> {
        self.iter().map(|(ix, _)| ix).collect()
    }
}

impl<T> std::ops::Index<u32> for Slab<T> {
    type Output = T;
    fn index(&self, ix: u32) -> &T {
        self.get(ix).expect("index of a live entry")
    }
}

impl<T> std::ops::IndexMut<u32> for Slab<T> {
    fn index_mut(&mut self, ix: u32) -> &mut T {
        self.get_mut(ix).expect("index of a live entry")
    }
}

pub type JobIds = BTreeMap<JobId, u32>;
