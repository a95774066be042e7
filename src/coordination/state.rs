//! All that the leader's core keeps, as plain data: the modules above it each
//! own a part of what is done with it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use copperfield_fencing::FencingRecord;

use crate::protocol::JobId;
use crate::protocol::job::{JobOutcome, Resources};
use crate::protocol::worker::Heartbeat;
use crate::settings::{Cluster, Tuning};
use crate::storage::DrainRecord;

use super::failover::FailoverStats;
use super::messages::Effect;
use super::model::*;
use super::sharding::Sharding;

/// The batch window of the design.
pub const WINDOW_S: f64 = 0.2;

/// A start counts as one only if the task is left alone for half a minute.
pub(super) const SETTLED_S: f64 = 35.0;

/// Room in a stored page for one worker with its images.
const BYTES_PER_WORKER: usize = 512;
const MAX_PER_PAGE: usize = 32;

pub struct Config {
    pub cluster: Cluster,
    pub tuning: Tuning,
}

#[derive(Debug, Clone, Default)]
pub struct TeamUsage {
    pub quota: Resources,
    pub limit: Resources,
    pub used: Resources,
    /// What workers that have not told this leader yet may hold of it besides.
    pub unknown: Resources,
}

pub struct Core {
    pub config: Config,
    pub token: u64,
    pub(super) elected_at: Time,
    /// The election, put off by the pauses of this process since.
    pub(super) listening_since: Time,
    /// Since when this leader has been valid without a break, as far as its steps tell.
    pub(super) valid_since: Time,
    pub(super) now: Time,
    pub(super) zones: Interner,
    pub(super) types: Types,
    pub(super) images: Interner,
    pub(super) image_gb: Vec<f64>,
    pub(super) team_names: Interner,
    pub(super) teams: Vec<TeamUsage>,
    pub(super) jobs: Slab<Job>,
    pub(super) job_ids: JobIds,
    pub(super) workers: Slab<Worker>,
    pub(super) worker_ids: HashMap<String, u32>,
    /// Workers that were returned: their late reports mean nothing.
    pub(super) gone: BTreeSet<String>,
    pub(super) provisioning: Provisioning,
    pub(super) large_task_profiles: Vec<LargeTaskProfile>,
    pub(super) scheduling_class: BTreeMap<SchedulingClass, u32>,
    /// Chunks of done bits that wait to be stored, the longest first.
    pub(super) progress_due: VecDeque<(u32, u32)>,
    /// Where the last batch left off among the jobs that it had no time for.
    pub(super) next_in_tail: usize,
    /// Jobs that ended under this leader, by number.
    pub(super) over: HashMap<JobId, JobOutcome>,
    /// Jobs to be cancelled that the watch has not shown yet.
    pub(super) cancel_early: BTreeSet<JobId>,
    pub(super) next_attempt: u64,
    pub(super) next_message_id: u64,
    pub(super) effects: Vec<Effect>,
    pub(super) writing: bool,
    pub(super) finish: VecDeque<u32>,
    pub(super) drop_progress: VecDeque<(JobId, u32, u64)>,
    pub(super) registry: WorkerRegistry,
    /// Workers that this leader has promised not to answer.
    pub(super) fencing: FencingRecord,
    /// Reports of such workers, answered once their removal from the record is stored.
    pub(super) deferred_heartbeats: BTreeMap<String, (u64, Heartbeat)>,
    /// Where other nodes speak with some of the workers.
    pub(super) sharding: Option<Sharding>,
    /// Until when the votes of all peers extend this leader's lease.
    pub lease_extended_until: Time,
    /// Until when this leader is valid, for what it grants others.
    pub valid_until: Time,
    /// A page of the worker registry cannot be read: any worker may hold anything.
    pub(super) unknown_workers: bool,
    pub(super) next_batch: Time,
    pub(super) next_second: Time,
    pub(super) next_watch: Time,
    /// How long replicas may be away for moves, in seconds.
    pub(super) move_credit: f64,
    pub(super) migrations: Migrations,
    /// Nodes that operators drain, by name; they may be unknown yet.
    pub(super) drains: BTreeMap<String, Drain>,
    /// No earlier leader's start can be anywhere unknown any more.
    pub(super) reconciliation_complete: bool,
    /// While it lasts.
    pub(super) failover: Option<FailoverStats>,
    pub(super) chunk_tasks: u32,
}

#[derive(Debug, Clone)]
pub(super) struct ProvisioningRequest {
    pub(super) kind: u32,
    pub(super) zone: u32,
    pub(super) spot: bool,
    pub(super) count: u32,
}

/// A worker that was rented and has not reported yet.
#[derive(Debug, Clone)]
pub(super) struct BootingWorker {
    pub(super) kind: u32,
    pub(super) since: Time,
    pub(super) spot: bool,
}

#[derive(Debug)]
pub(super) struct Provisioning {
    pub(super) token: u64,
    pub(super) next_request: u64,
    pub(super) asked: BTreeMap<String, ProvisioningRequest>,
    pub(super) booting: BTreeMap<String, BootingWorker>,
    /// By type: how long workers took to come up, as a multiple of what the cloud says.
    pub(super) boot_factor: BTreeMap<u32, f64>,
    pub(super) no_capacity: BTreeMap<(u32, u32, bool), Time>,
    pub(super) next_list: Time,
    pub(super) next_types: Time,
    pub(super) returning: bool,
    pub(super) listed_once: bool,
}

impl Provisioning {
    pub fn new(token: u64, now: Time) -> Self {
        Self {
            token,
            next_request: 0,
            asked: BTreeMap::new(),
            booting: BTreeMap::new(),
            boot_factor: BTreeMap::new(),
            no_capacity: BTreeMap::new(),
            next_list: now,
            next_types: now,
            returning: false,
            listed_once: false,
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct Page {
    pub(super) workers: Vec<u32>,
    pub(super) version: u64,
    /// When what is stored must say what it does not say yet.
    pub(super) due: Option<Time>,
    pub(super) writing: bool,
    /// Holds a value that does not parse, which is never overwritten.
    pub(super) unreadable: bool,
}

impl Page {
    pub(super) fn due_by(&mut self, at: Time) {
        self.due = Some(self.due.map_or(at, |d| d.min(at)));
    }
}

#[derive(Debug)]
pub(super) struct WorkerRegistry {
    pub(super) pages: Vec<Page>,
    pub(super) per_page: usize,
    pub(super) bytes_per_worker: usize,
}

impl WorkerRegistry {
    pub fn new(value_bytes: usize) -> Self {
        let per_page = (value_bytes / BYTES_PER_WORKER).clamp(1, MAX_PER_PAGE);
        Self {
            pages: Vec::new(),
            per_page,
            bytes_per_worker: value_bytes * 9 / 10 / per_page,
        }
    }

    pub(super) fn page(&mut self, ix: u32) -> &mut Page {
        let ix = ix as usize;
        if self.pages.len() <= ix {
            self.pages.resize_with(ix + 1, Page::default);
        }
        &mut self.pages[ix]
    }
}

/// One task on its way to another worker. Names, as indices may be another's by the
/// time that it ends.
#[derive(Debug, Clone)]
pub(super) struct TaskMigration {
    pub(super) id: JobId,
    /// The copy that is to go.
    pub(super) key: InstanceId,
    pub(super) from: String,
    pub(super) to: String,
    /// The job that waits for the worker; `None`: it drains.
    pub(super) wanted_by: Option<JobId>,
    pub(super) began: Time,
    /// The old copy is gone, so its place is free.
    pub(super) left: bool,
    /// By when it should be gone, and then by when it should be there.
    pub(super) until: Time,
    /// How long it may take from one to the other.
    pub(super) start_s: f64,
}

#[derive(Debug, Default)]
pub(super) struct Migrations {
    pub(super) live: Vec<TaskMigration>,
    /// The last ones that ended, and how, the newest last.
    pub(super) recent: VecDeque<(TaskMigration, &'static str)>,
    pub(super) ended: usize,
    /// When each task last moved.
    pub(super) moved_at: BTreeMap<(JobId, u32), Time>,
    /// Of jobs that wait for whole workers: how often moves for them came to nothing,
    /// and when they are next tried.
    pub(super) patience: BTreeMap<JobId, (u32, Time)>,
    /// What is done for them, or why nothing is.
    pub(super) reasons: BTreeMap<JobId, String>,
}

/// A drain, as it is wanted and as it is stored.
#[derive(Debug, Default)]
pub(super) struct Drain {
    /// `None`: it is to end, which counts once it is stored.
    pub(super) record: Option<DrainRecord>,
    pub(super) until: Option<Time>,
    /// Of the stored record, 0 if there is none.
    pub(super) version: u64,
    /// What is stored differs from what is wanted.
    pub(super) due: bool,
    pub(super) writing: bool,
    /// Operators who are answered once it is stored.
    pub(super) waiters: Vec<u64>,
}
