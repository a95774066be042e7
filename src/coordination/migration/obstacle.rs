//! Why no task is migrated for a job that waits for whole workers.

use copperfield_defrag as defrag;
use thiserror::Error;

/// Why no task is migrated for a job.
///
/// The texts are part of the operators' view of migrations, which shows them next to the job. They
/// call a migration a move and a worker a node, as that view does.
#[derive(Debug, Clone, PartialEq, Error)]
pub(super) enum Obstacle {
    #[error(
        "no more moves are tried for this job: too often, tasks did not leave their nodes in time"
    )]
    TooManyFailures,
    #[error("moves for this job are tried again later: tasks did not leave their nodes in time")]
    BackingOff,
    #[error("no move is needed: the nodes reserved for this job have room or come free soon")]
    RoomReserved,
    #[error("cannot place this job: tasks of its last attempt have not ended yet")]
    AttemptNotEnded,
    #[error("cannot start more tasks of this job: its team has reached its limit")]
    TeamAtLimit,
    #[error("no move is needed: room for this job comes free by itself")]
    RoomComesFree,
    #[error("no known machine type can run a task of this job")]
    NoSuitableType,
    #[error("cannot start moves for this job: the limit of moves under way is reached")]
    TooManyMigrations,
    #[error("cannot start the planned moves: a target node has no room any more")]
    NoRoomOnTarget,
    #[error(transparent)]
    NoPlan(#[from] defrag::PlanError),
}
