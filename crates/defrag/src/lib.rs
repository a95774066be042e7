//! Which running tasks to move so that whole workers come free.
//!
//! A task that takes most of a worker waits while capacity lies about in
//! pieces. [`free`] finds the moves that make room for it with the least work
//! lost, and only if what they free is worth more than they cost; [`empty`]
//! finds places for what runs on a worker that drains.
//!
//! Everything is in the controllers' own terms: amounts in thousandths, times
//! in seconds, costs in money (price per second × seconds × the weight of the
//! work), indices where there are names elsewhere. There is no I/O, no clock
//! and no randomness, so the same fleet gives the same plan.
//!
//! | module | what |
//! | --- | --- |
//! | [`fleet`] | what goes in: workers, work, task instances, a want |
//! | `choose` | the cheapest task instances to take off one worker |
//! | `place` | where each of them goes |
//! | `plan` | which workers to free, and for how much |

#![warn(missing_docs)]

mod choose;
pub mod fleet;
mod place;
mod plan;

pub use fleet::{Fleet, Limits, TaskInstance, Want, Work, Worker, Yield};
pub use plan::{Move, Plan, Reason, empty, free};
