//! Checks in a model that a job ends once it was reported as cancelled. The model runs the code of
//! this crate and covers lease extensions by votes, shard owners, crashes, and transactions that
//! are committed late.
//!
//! One worker runs the only task of one job. A controller that answers the worker renews its lease,
//! and stops the task if it knows that the job is ending. Leaders also send direct messages, which
//! renew no lease and may be late or lost. The property: if a user was told at time t that the job
//! is cancelled, the task has ended by t + shard lease + worker lease. This is the invariant of
//! docs/notes/cancellation.md. Each planted mistake must break it.

#[path = "../common/mod.rs"]
mod common;
mod state;
mod steps;

use copperfield_model_checker::{effort_factor, explore, replay, walk};

use common::{assert_holds_in_all_histories, assert_holds_in_random_histories, fail};
use state::{CancellationModel, Mistake};

#[test]
fn a_job_reported_as_cancelled_ends_in_time() {
    for mistake in [Mistake::None, Mistake::VotesThoughStoreReachable] {
        let start = CancellationModel::new(mistake);
        assert_holds_in_all_histories(start.clone(), 200_000 * effort_factor(), 7);
        assert_holds_in_random_histories(&start, 40_000 * effort_factor(), 80);
    }
}

/// The lease of controller 0 expires, the state service ends its leader key, and controller 1
/// cancels the job without a leader. The last step is possible only with the planted mistake.
const CANCELLED_WITHOUT_LEADER: [&str; 8] = [
    "time passes",
    "controller 0 answers the worker as the leader",
    "time passes",
    "the leader key expires",
    "controller 1 cancels without a leader",
    "the transaction is processed and acknowledged",
    "an outage begins",
    "controller 0 extends its lease by votes",
];

#[test]
fn each_planted_mistake_is_found() {
    use Mistake::*;
    for mistake in [
        RenewsTaskUntilOutcomeIsKnown,
        AnswersBeforeRecovery,
        RecoversBeforeElection,
        ShardLeaseOutlivesLeader,
        RenewsShardLeaseAfterCancellation,
        GrantsShardLeaseForOrphanedTask,
        StopWaitsForDirectMessage,
        OvertakenHeartbeatGetsNoStop,
        CancellationNotGuarded,
    ] {
        let found = walk(&CancellationModel::new(mistake), 400_000, 80);
        let found = found.expect_err(&format!("the planted mistake {mistake:?} was not found"));
        println!("{mistake:?}: {found:?}");
    }
    // Random histories do not reach this case. Without the mistake the last step is not possible.
    let without_extension = &CANCELLED_WITHOUT_LEADER[..7];
    explore(
        replay(CancellationModel::new(None), without_extension),
        60_000,
    )
    .unwrap_or_else(|history| fail(&history));
    let revived = CancellationModel::new(VotesReviveExpiredLease);
    let revived = replay(revived, &CANCELLED_WITHOUT_LEADER);
    let found = explore(revived, 600_000).expect_err("the planted mistake was not found");
    println!("VotesReviveExpiredLease: {found:?}");
}
