//! Leader election and scheduling.
//!
//! `election` acquires and holds the leader key. `core` is the leader's state machine, which does
//! no I/O; `messages` defines its inputs and effects. The lowest layer holds its data: `model`, the
//! tables of jobs, workers and teams, and `state`. The other modules build on these, each with one
//! responsibility:
//!
//! - task instances and workers: `instances`, `start_conditions`, `reconciliation`, `dispatch`,
//!   `command_tokens`, `failover`;
//! - jobs: `jobs`, `cancellation`, `objectives`, `demand_log`;
//! - placement: `placement`, `auction`, `gangs`, `preemption`, `forecast`, `rebalancing`,
//!   `migration`;
//! - the set of workers: `provisioning`, `drains`, `sharding`, `fencing`;
//! - stored state: `registry`, `persistence`.

pub mod auction;
mod cancellation;
mod command_tokens;
pub mod core;
mod demand_log;
mod dispatch;
mod drains;
pub mod election;
mod failover;
mod fencing;
mod forecast;
mod gangs;
mod instances;
mod job_table;
mod jobs;
mod messages;
mod migration;
pub mod model;
mod objectives;
mod persistence;
mod placement;
mod preemption;
mod provisioning;
mod rebalancing;
mod reconciliation;
mod registry;
mod sharding;
mod start_conditions;
mod state;
mod team_table;
mod time;
mod worker_table;
