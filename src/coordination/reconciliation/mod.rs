//! Reconciliation: updates the leader's state from the heartbeats of workers, or from their
//! absence.
//!
//! A task instance counts as possibly running until it is proved gone. The proofs are a heartbeat
//! that no longer lists it (`heartbeats`, `task_status`), the outcome of the direct message that
//! carried its start (`command_outcomes`), and the expiry of its worker's lease (`leases`).
//! `worker_commands` collects the resulting commands for the worker. Until every worker of an
//! earlier leader is reconciled or its lease has expired, `blocked_jobs` blocks the jobs that the
//! worker may hold.

mod blocked_jobs;
mod command_log;
mod command_outcomes;
mod heartbeats;
mod lease_log;
mod leases;
mod line_limiter;
mod task_status;
mod worker_commands;

use command_log::CommandLog;
use lease_log::LeaseLog;

/// What a new leader does not know yet about the task instances of earlier leaders.
#[derive(Debug, Default)]
pub(super) struct Reconciliation {
    complete: bool,
    unknown_workers: bool,
    /// Logs the renewal and refusal of worker leases.
    pub(super) lease_log: LeaseLog,
    /// Logs the commands to workers with their fencing tokens.
    pub(super) command_log: CommandLog,
}

impl Reconciliation {
    /// Whether this leader knows of every task instance that an earlier leader may have started.
    pub(super) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Records that a page of the worker registry cannot be read. The workers on it are unknown,
    /// and they may hold tasks of any job.
    pub(super) fn record_unknown_workers(&mut self) {
        self.unknown_workers = true;
    }
}
