//! Task instances: attempts of tasks, each on one worker.

use crate::protocol::worker::{Exit, TaskPhase};

use super::Time;

/// Identifies one attempt of a task within this leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId {
    /// Index of the job.
    pub job: u32,
    /// Number of the task within its job.
    pub task: u32,
    /// Unique across leaders. All tasks of one gang attempt share it.
    pub attempt: u64,
}

/// Attempts are numbered from the leader's fencing token, shifted by this many bits.
const ATTEMPT_BITS: u32 = 24;

/// The number before the first attempt of the leader with this fencing token. Later leaders have
/// higher ones.
pub fn first_attempt(token: u64) -> u64 {
    (token << ATTEMPT_BITS) + 1
}

/// The fencing token of the leader that started an attempt.
pub fn token_of_attempt(attempt: u64) -> u64 {
    attempt >> ATTEMPT_BITS
}

/// The delivery state of an instance's start command.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StartDelivery {
    /// In the worker's outbox: no message has carried it yet.
    Queued,
    /// Sent in the response to the heartbeat with this counter. Such a start never arrives late.
    Response { counter: u64 },
    /// Sent in a direct message that has no answer yet.
    Direct { message_id: u64 },
    /// The worker has listed the instance in a heartbeat.
    Reported,
}

/// An attempt of a task that a worker may hold.
#[derive(Debug, Clone)]
pub struct TaskInstance {
    /// The delivery state of its start command.
    pub start_delivery: StartDelivery,
    /// The phase that its worker last reported.
    pub phase: Option<TaskPhase>,
    /// A direct message with its start had no answer and may still arrive.
    pub unacknowledged: bool,
    /// The stop that was ordered, if any.
    pub stop: Option<Stop>,
    /// When it was first reported as running.
    pub running_since: Option<Time>,
}

/// A command to stop a task instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Stop {
    /// How long the task may take to save a checkpoint.
    pub grace_s: f64,
    /// When the stop was last sent to the worker.
    pub sent_at: Option<Time>,
}

impl TaskInstance {
    /// An instance whose start is queued and not sent yet.
    pub fn queued() -> Self {
        Self {
            start_delivery: StartDelivery::Queued,
            phase: None,
            unacknowledged: false,
            stop: None,
            running_since: None,
        }
    }

    /// An instance that a worker has listed and that this leader did not know. `exited` is its
    /// phase if it has exited; the phase of a live instance is applied afterwards like that of any
    /// other.
    pub fn adopted(exited: Option<TaskPhase>) -> Self {
        Self {
            start_delivery: StartDelivery::Reported,
            phase: exited,
            ..Self::queued()
        }
    }

    /// Whether its start may still arrive, perhaps minutes late. In that case the stop is sent
    /// together with a repeated start: the worker then holds an exited attempt and ignores the late
    /// start. It is told to forget the attempt only under a token with which it refuses the start.
    pub fn may_arrive_late(&self) -> bool {
        self.unacknowledged && self.phase.is_none()
    }

    /// How it exited, if it has.
    pub fn exit(&self) -> Option<Exit> {
        match self.phase {
            Some(TaskPhase::Exited(exit)) => Some(exit),
            _ => None,
        }
    }

    /// Whether the task may run on the worker, now or later. An exited instance may not, even with
    /// a start in flight: a worker ignores the start of an attempt that it holds, and refuses it
    /// once it was told to forget the attempt.
    pub fn may_exist(&self) -> bool {
        self.exit().is_none()
    }

    /// Whether its worker last reported it as running.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, Some(TaskPhase::Running))
    }

    /// Whether its start was sent in the direct message with this id and no heartbeat has listed
    /// the instance since.
    pub fn sent_directly_in(&self, message_id: u64) -> bool {
        self.start_delivery == (StartDelivery::Direct { message_id })
    }
}
