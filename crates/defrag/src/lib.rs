//! Plans which running tasks to migrate so that whole workers come free.
//!
//! A task that takes most of a worker can wait although the cluster has enough
//! free capacity, because that capacity is spread over many workers.
//! [`free_workers`] finds the migrations that make room for such tasks at the
//! lowest cost, and only if the room is worth more than the migrations cost.
//! [`drain_worker`] finds targets for the tasks on a draining worker.
//!
//! Resources are in thousandths, times in seconds, and costs in money (price per
//! second × seconds × the weight of the job). Workers, jobs, zones, types and
//! images are indices. There is no I/O, no clock and no randomness, so the same
//! fleet always gives the same plan.
//!
//! | module | contents |
//! | --- | --- |
//! | [`fleet`] | the input: workers, jobs, task instances, and the waiting job |
//! | `choose` | the cheapest task instances to migrate off one worker |
//! | `place` | the target of each migration |
//! | `plan` | which workers to free, and whether it is worth the cost |

#![warn(missing_docs)]

mod choose;
pub mod fleet;
mod place;
mod plan;

pub use fleet::{Fleet, Job, Limits, Preemptible, TaskInstance, WaitingJob, Worker};
pub use plan::{Migration, Plan, PlanError, drain_worker, free_workers};
