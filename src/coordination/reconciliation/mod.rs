//! Reconciliation: what workers report, and what this leader concludes from it or from its absence.
//!
//! A task instance counts until something proves that it is gone. The proofs are a heartbeat that
//! no longer lists it (`heartbeats`, `task_status`), the outcome of the direct message that carried
//! its start (`command_outcomes`), and the end of its worker's lease (`leases`). What follows for
//! the worker is collected in `worker_commands`. Until every worker of an earlier leader is
//! reconciled or its lease has expired, `blocked_jobs` keeps back the jobs it may hold.

mod blocked_jobs;
mod command_outcomes;
mod heartbeats;
mod lease_log;
mod leases;
mod task_status;
mod worker_commands;

use lease_log::LeaseLog;

/// What a new leader does not know yet of the task instances of earlier leaders.
#[derive(Debug, Default)]
pub(super) struct Reconciliation {
    complete: bool,
    unknown_workers: bool,
    /// What the log says of worker leases.
    pub(super) lease_log: LeaseLog,
}

impl Reconciliation {
    /// No start of an earlier leader can be anywhere without this leader knowing of it.
    pub(super) fn is_complete(&self) -> bool {
        self.complete
    }

    /// A page of the worker registry cannot be read: a worker that nobody knows may hold anything.
    pub(super) fn record_unknown_workers(&mut self) {
        self.unknown_workers = true;
    }
}
