//! All that the leader's core keeps. The modules of [`crate::coordination`] each own a part of it
//! and of what is done with it.

use std::collections::BTreeMap;

use crate::settings::{Cluster, Tuning};

use super::drains::Drain;
use super::failover::FailoverStats;
use super::fencing::Fencing;
use super::job_table::JobTable;
use super::messages::Effect;
use super::migration::Migrations;
use super::model::*;
use super::persistence::WriteQueue;
use super::provisioning::Provisioning;
use super::reconciliation::Reconciliation;
use super::registry::WorkerRegistry;
use super::sharding::Sharding;
use super::team_table::TeamTable;
pub use super::team_table::TeamUsage;
use super::worker_table::WorkerTable;

/// Tasks that come within this time are placed together.
pub const BATCH_INTERVAL_S: f64 = 0.2;

/// A task is not moved within this time of its start if that can be avoided: by the
/// objectives a start counts only if the task then runs for half a minute.
pub(super) const MIN_RUN_BEFORE_MOVE_S: f64 = 35.0;

/// The settings that the core works by.
pub struct Config {
    /// The cluster, as all controllers have it.
    pub cluster: Cluster,
    /// How the scheduler decides.
    pub tuning: Tuning,
}

/// All that the leader keeps. Each part of [`crate::coordination`] owns some of the fields; the
/// tables and the types of single parts keep theirs private.
pub struct Core {
    /// The settings that it works by.
    pub config: Config,
    /// Its fencing token.
    pub token: u64,
    /// When it was elected.
    pub(super) elected_at: Time,
    /// Its election, later by the pauses of this process since.
    pub(super) expecting_heartbeats_since: Time,
    /// Since when this leader has been valid without a break, as far as its steps tell.
    pub(super) valid_since: Time,
    /// The time of the current step.
    pub(super) now: Time,
    /// Zones by index.
    pub(super) zones: Interner,
    /// Instance types by index.
    pub(super) types: InstanceTypes,
    /// Images by index.
    pub(super) images: Images,
    /// Teams by index, and what they use.
    pub(super) teams: TeamTable,
    /// Jobs by index and id.
    pub(super) jobs: JobTable,
    /// Workers by index and name.
    pub(super) workers: WorkerTable,
    /// What the cloud is asked for.
    pub(super) provisioning: Provisioning,
    /// Kinds of tasks that take most of a worker, by index.
    pub(super) large_task_profiles: Vec<LargeTaskProfile>,
    /// Scheduling classes and their indices.
    pub(super) scheduling_classes: BTreeMap<SchedulingClass, u32>,
    /// Where the last batch left off among the jobs that it had no time for.
    pub(super) next_tail_job: usize,
    /// The last attempt number that was used.
    pub(super) next_attempt: u64,
    /// The id of the next direct message.
    pub(super) next_message_id: u64,
    /// What this step has decided.
    pub(super) effects: Vec<Effect>,
    /// What waits to be written to the state service.
    pub(super) write_queue: WriteQueue,
    pub(super) registry: WorkerRegistry,
    /// Unresponsive workers that this leader does not answer, and their heartbeats that wait.
    pub(super) fencing: Fencing,
    /// Where other nodes speak with some of the workers.
    pub(super) sharding: Option<Sharding>,
    /// Until when the votes of all peers extend this leader's lease.
    pub lease_extended_until: Time,
    /// Until when this leader is valid, for the shard leases that it grants.
    pub valid_until: Time,
    /// When waiting tasks are placed next.
    pub(super) next_batch: Time,
    /// When the work of every second is done next.
    pub(super) next_periodic_work: Time,
    /// When leases and unresponsive workers are looked at next.
    pub(super) next_lease_check: Time,
    /// For how many seconds replicas may still be away for migrations.
    pub(super) replica_downtime_budget_s: f64,
    /// Task migrations under way, and what is remembered of earlier ones.
    pub(super) migrations: Migrations,
    /// Workers that operators drain, by name; they may be unknown yet.
    pub(super) drains: BTreeMap<String, Drain>,
    /// What is not known yet of the task instances of earlier leaders.
    pub(super) reconciliation: Reconciliation,
    /// Statistics of the failover, while it lasts.
    pub(super) failover: Option<FailoverStats>,
    pub(super) tasks_per_chunk: u32,
}
