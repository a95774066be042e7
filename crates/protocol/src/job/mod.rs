//! Jobs as users submit them and as they are stored in the state service.

mod fields;
mod resources;
mod spec;

use borsh::{BorshDeserialize, BorshSerialize};

pub use fields::InvalidField;
pub use resources::Resources;
pub use spec::JobSpec;

/// How the tasks of a job relate to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Independent tasks.
    Array,
    /// Tasks that must run at the same time.
    Gang,
    /// Tasks that run until the job is cancelled.
    Service,
}

impl Kind {
    /// Returns the value of `shape` in a submission.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Array => "sweep",
            Self::Gang => "group",
            Self::Service => "service",
        }
    }

    fn parse(text: &str) -> Option<Self> {
        let all = [Self::Array, Self::Gang, Self::Service];
        all.into_iter().find(|kind| kind.as_str() == text)
    }
}

/// The order in which jobs get resources if there are not enough for all. Later variants come
/// first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Best effort.
    Low,
    /// The usual priority.
    Normal,
    /// Urgent work.
    High,
    /// Work on which the users of the site depend.
    Production,
}

impl Priority {
    /// Returns the value of `rank` in a submission.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Low => "best_effort",
            Self::Normal => "normal",
            Self::High => "urgent",
            Self::Production => "production",
        }
    }

    fn parse(text: &str) -> Option<Self> {
        let all = [Self::Low, Self::Normal, Self::High, Self::Production];
        all.into_iter().find(|priority| priority.as_str() == text)
    }
}

/// The state of a job, as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Phase {
    /// The job was accepted, and none of its tasks runs.
    Pending,
    /// At least one of its tasks runs.
    Running,
    /// All of its tasks are completed.
    Done,
    /// A user has cancelled the job.
    Cancelled,
}

impl Phase {
    /// Whether the phase is final.
    pub fn is_terminal(self) -> bool {
        matches!(self, Self::Done | Self::Cancelled)
    }

    /// Returns the value of `phase` in answers to users and in stored records.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Pending => "pending",
            Self::Running => "running",
            Self::Done => "done",
            Self::Cancelled => "withdrawn",
        }
    }
}

/// The phase of a job and the number of its completed tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct JobOutcome {
    /// A terminal phase, except for a job that was just read from the state service.
    pub phase: Phase,
    /// The number of tasks known to be completed. 0 for a job that was cancelled while there was no
    /// leader.
    pub done: u32,
}
