//! The state of the leader's core. Each module of [`crate::coordination`] owns a part of the state
//! and the operations on it.

use std::collections::BTreeMap;

use copperfield_command_tokens::TermTokens;

use crate::settings::{Cluster, Tuning};

use super::command_tokens::TokenRequests;
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

/// Interval of placement batches: tasks that arrive within it are placed together.
pub const BATCH_INTERVAL_S: f64 = 0.2;

/// A task is not migrated within this time of its start if that can be avoided, because a start
/// counts towards the objectives only if the task then runs for half a minute.
pub(super) const MIN_RUN_BEFORE_MIGRATION_S: f64 = 35.0;

/// The settings of the core.
pub struct Config {
    /// The cluster settings, which are the same for all controllers.
    pub cluster: Cluster,
    /// Parameters of the scheduler's decisions.
    pub tuning: Tuning,
}

/// The leader's core. Each module of [`crate::coordination`] owns some of the fields; the fields of
/// the tables and of the types that belong to a single module are private.
pub struct Core {
    /// The settings.
    pub config: Config,
    /// The version of the leader key, which is the leader's fencing token.
    pub token: u64,
    /// The fencing tokens of commands to workers.
    pub(super) command_tokens: TermTokens,
    /// The requests for newer tokens of commands.
    pub(super) token_requests: TokenRequests,
    /// When the leader was elected.
    pub(super) elected_at: Time,
    /// The time from which this leader expects heartbeats: its election, shifted by the length of
    /// all pauses of this process since.
    pub(super) expecting_heartbeats_since: Time,
    /// Since when this leader has been valid without interruption, judged by the gaps between its
    /// steps.
    pub(super) valid_since: Time,
    /// The time of the current step.
    pub(super) now: Time,
    /// Zones by index.
    pub(super) zones: Interner,
    /// Instance types by index.
    pub(super) types: InstanceTypes,
    /// Images by index.
    pub(super) images: Images,
    /// Teams by index, with their usage.
    pub(super) teams: TeamTable,
    /// Jobs by index and id.
    pub(super) jobs: JobTable,
    /// Workers by index and name.
    pub(super) workers: WorkerTable,
    /// Requests to the cloud: scaling out and in.
    pub(super) provisioning: Provisioning,
    /// Profiles of tasks that need most of a worker, by index.
    pub(super) large_task_profiles: Vec<LargeTaskProfile>,
    /// Index of each scheduling class.
    pub(super) scheduling_classes: BTreeMap<SchedulingClass, u32>,
    /// Position at which the next batch continues among the jobs that do not fit every batch.
    pub(super) next_tail_job: usize,
    /// The last attempt number used.
    pub(super) last_attempt: u64,
    /// The id of the next direct message.
    pub(super) next_message_id: u64,
    /// Effects of the current step.
    pub(super) effects: Vec<Effect>,
    /// Changes that wait to be written to the state service.
    pub(super) write_queue: WriteQueue,
    /// The worker registry and the state of its stored pages.
    pub(super) registry: WorkerRegistry,
    /// Fenced workers, and heartbeats whose answers are deferred.
    pub(super) fencing: Fencing,
    /// Assignment of workers to controllers, if workers are sharded.
    pub(super) sharding: Option<Sharding>,
    /// Until when the votes of all peers extend this leader's lease.
    pub lease_extended_until: Time,
    /// Until when this leader is valid, which bounds the shard leases that it grants.
    pub valid_until: Time,
    /// Time of the next placement batch.
    pub(super) next_batch: Time,
    /// Time of the next periodic work, which is done once per second.
    pub(super) next_periodic_work: Time,
    /// Time of the next check for expired leases and unresponsive workers.
    pub(super) next_lease_check: Time,
    /// Remaining downtime in seconds that replicas may have for migrations.
    pub(super) replica_downtime_budget_s: f64,
    /// Task migrations in progress, and records of earlier ones.
    pub(super) migrations: Migrations,
    /// Drains requested by operators, by worker name. The workers may not be known yet.
    pub(super) drains: BTreeMap<String, Drain>,
    /// Reconciliation of the task instances that earlier leaders started.
    pub(super) reconciliation: Reconciliation,
    /// Statistics of the failover, until it is complete.
    pub(super) failover: Option<FailoverStats>,
    /// Number of tasks in one stored chunk of a job's progress.
    pub(super) tasks_per_chunk: u32,
}
