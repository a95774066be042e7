//! Why no task is migrated for a job that waits for whole workers.

use copperfield_defrag as defrag;
use thiserror::Error;

/// Why nothing is migrated for a job. Operators read the texts.
#[derive(Debug, Clone, PartialEq, Error)]
pub(super) enum Obstacle {
    #[error("moves for it came to nothing too often")]
    TooManyFailures,
    #[error("moves for it came to nothing; they are tried again later")]
    BackingOff,
    #[error("room for it is claimed and comes free")]
    RoomReserved,
    #[error("tasks of its last attempt have not ended yet")]
    AttemptNotEnded,
    #[error("its team has reached its limit")]
    TeamAtLimit,
    #[error("room for it comes free by itself")]
    RoomComesFree,
    #[error("no machine suits it")]
    NoWorkerSuits,
    #[error("as many moves are under way as may be")]
    TooManyMigrations,
    #[error("room at a target is gone again")]
    TargetRoomGone,
    #[error(transparent)]
    NoPlan(#[from] defrag::Reason),
}
