//! Task instances: one attempt of a task that may be on one worker.

use crate::protocol::worker::{Exit, TaskPhase};

use super::Time;

/// Names one attempt of a task within this leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId {
    /// Index of the job.
    pub job: u32,
    /// Number of the task within its job.
    pub task: u32,
    /// Unique across leaders; the tasks of a gang's attempt share one.
    pub attempt: u64,
}

/// How the start of an instance left for its worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StartDelivery {
    /// Decided, but no message has left yet.
    Queued,
    /// In the response to the heartbeat with this counter: it never arrives late.
    Response { counter: u64 },
    /// In a direct message that has no answer yet.
    Direct { message_id: u64 },
    /// A heartbeat has listed the instance.
    Reported,
}

/// One task that may be on one worker.
#[derive(Debug, Clone)]
pub struct TaskInstance {
    /// How its start was sent.
    pub start_delivery: StartDelivery,
    /// What its worker last reported of it.
    pub phase: Option<TaskPhase>,
    /// A direct start without an answer may still arrive.
    pub unacknowledged: bool,
    /// The command to stop, if there is one.
    pub stop: Option<Stop>,
    /// Since when it has been reported as running.
    pub running_since: Option<Time>,
}

/// A command to stop a task instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stop {
    /// How long the task may take to save its work.
    pub grace_s: f64,
    /// When it last left for the worker.
    pub sent_at: Option<Time>,
}

impl TaskInstance {
    /// An instance whose start is decided and not sent yet.
    pub fn queued() -> Self {
        Self {
            start_delivery: StartDelivery::Queued,
            phase: None,
            unacknowledged: false,
            stop: None,
            running_since: None,
        }
    }

    /// An instance that a worker lists and this leader did not know. Unless it has exited, its
    /// phase is taken in as that of any other.
    pub fn adopted(exited: Option<TaskPhase>) -> Self {
        Self {
            start_delivery: StartDelivery::Reported,
            phase: exited,
            ..Self::queued()
        }
    }

    /// Whether its start may still arrive, perhaps minutes late. Together with its stop it is sent
    /// again then: held as an exited attempt that is never forgotten, the late start does nothing.
    pub fn may_arrive_late(&self) -> bool {
        self.unacknowledged && self.phase.is_none()
    }

    /// How it ended, if it has.
    pub fn exit(&self) -> Option<Exit> {
        match self.phase {
            Some(TaskPhase::Exited(exit)) => Some(exit),
            _ => None,
        }
    }

    /// Whether the task may be on the worker, now or later. One that has exited may not, even with
    /// a start in flight: a worker ignores the start of an attempt that it holds, and an
    /// unacknowledged attempt is never forgotten.
    pub fn may_exist(&self) -> bool {
        self.exit().is_none()
    }

    /// Whether its worker last reported it as running.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Some(TaskPhase::Running))
    }

    /// Whether its start left in the direct message with this id and no heartbeat has shown it.
    pub fn sent_directly_in(&self, message_id: u64) -> bool {
        self.start_delivery == (StartDelivery::Direct { message_id })
    }
}
