//! Jobs as users submit them and as the state service keeps them.

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
    /// Tasks that run only together.
    Gang,
    /// Tasks that run until the job is cancelled.
    Service,
}

impl Kind {
    /// The value of a submission's `shape`.
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

/// Who goes first where not all fit; a later variant goes before an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Best effort.
    Low,
    /// What most jobs have.
    Normal,
    /// Urgent work.
    High,
    /// What users of the site depend on.
    Production,
}

impl Priority {
    /// The value of a submission's `rank`.
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
    /// Accepted; none of its tasks runs.
    Pending,
    /// At least one of its tasks runs.
    Running,
    /// All of its tasks are completed.
    Done,
    /// Its user has ended it.
    Cancelled,
}

impl Phase {
    /// Whether a job in this phase stays in it for ever.
    pub fn is_terminal(self) -> bool {
        matches!(self, Self::Done | Self::Cancelled)
    }

    /// The value of `phase` in answers and in stored records.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Pending => "pending",
            Self::Running => "running",
            Self::Done => "done",
            Self::Cancelled => "withdrawn",
        }
    }
}

/// The phase of a job and how many of its tasks were completed by then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct JobOutcome {
    /// Terminal, except for a job that was just read from the state service.
    pub phase: Phase,
    /// Tasks that are known to be completed; 0 of a job that was cancelled while nobody led.
    pub done: u32,
}
