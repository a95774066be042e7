//! Tasks on their way from one worker to another.

use std::collections::{BTreeMap, VecDeque};

use crate::coordination::model::{InstanceId, Time};
use crate::protocol::JobId;

/// One task on its way to another worker. Names, as indices may be another's by the
/// time that it ends.
#[derive(Debug, Clone)]
pub(in crate::coordination) struct TaskMigration {
    pub(in crate::coordination) id: JobId,
    /// The instance that is to stop.
    pub(in crate::coordination) key: InstanceId,
    pub(in crate::coordination) from: String,
    pub(in crate::coordination) to: String,
    /// The job that waits for the worker; `None`: it drains.
    pub(in crate::coordination) wanted_by: Option<JobId>,
    pub(in crate::coordination) began: Time,
    /// The old instance is gone, so its resources are free.
    pub(in crate::coordination) left: bool,
    /// By when it should be gone, and then by when it should be there.
    pub(in crate::coordination) until: Time,
    /// How long it may take from one to the other.
    pub(in crate::coordination) start_s: f64,
}

#[derive(Debug, Default)]
pub(in crate::coordination) struct Migrations {
    pub(in crate::coordination) live: Vec<TaskMigration>,
    /// The last ones that ended, and how, the newest last.
    pub(in crate::coordination) recent: VecDeque<(TaskMigration, &'static str)>,
    pub(in crate::coordination) ended: usize,
    /// When each task last moved.
    pub(in crate::coordination) moved_at: BTreeMap<(JobId, u32), Time>,
    /// Of jobs that wait for whole workers: how often moves for them came to nothing,
    /// and when they are next tried.
    pub(in crate::coordination) patience: BTreeMap<JobId, (u32, Time)>,
    /// What is done for them, or why nothing is.
    pub(in crate::coordination) reasons: BTreeMap<JobId, String>,
}
