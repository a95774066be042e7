//! Data model of the leader's core: jobs, workers and task instances.

mod command_list;
mod images;
mod instance;
mod instance_types;
mod interner;
mod job;
mod slab;
mod worker;

pub use command_list::{append_missing, is_stop};
pub use images::Images;
pub use instance::{
    InstanceId, StartDelivery, Stop, TaskInstance, first_attempt, token_of_attempt,
};
pub use instance_types::InstanceTypes;
pub use interner::Interner;
pub use job::{Job, JobState, LargeTaskProfile, SchedulingClass, Task};
pub use slab::Slab;
pub use worker::{
    HeartbeatReceipt, HeartbeatSequence, InFlightMessage, Reservation, UnansweredSenders, Worker,
};

/// Seconds on this controller's steady clock.
pub type Time = f64;
