//! Every history of a small world, with the code of this package in it.
//!
//! There are two or three controllers and one state service. A transaction is carried out late or
//! never, and its outcome may be lost. The state service may refuse any controller alone, or all
//! in an outage. A process may end between any two steps; the next process of its controller
//! starts at once and knows nothing, while what the last one has sent is still on its way.
//!
//! The properties: no two controllers are valid leaders at one time; and no cancellation is stored
//! without a leader while somebody is valid. Planted mistakes must each be found.

#[path = "../common/mod.rs"]
mod common;
mod mistakes;
mod steps;
mod world;

use copperfield_model_checker::{effort_factor, explore, replay};

use common::{assert_holds_in_all_histories, assert_holds_in_random_histories, fail};
use mistakes::Mistake;
use world::LeadershipWorld;

#[test]
fn nobody_leads_beside_another_and_nothing_is_cancelled_beside_a_leader() {
    for (controllers, least_depth) in [(2, 7), (3, 5)] {
        println!("{controllers} controllers:");
        let start = LeadershipWorld::new(controllers, Mistake::None);
        assert_holds_in_all_histories(start.clone(), 250_000 * effort_factor(), least_depth);
        assert_holds_in_random_histories(&start, 60_000 * effort_factor(), 60);
    }
}

/// Controller 0 leads until 2, and its next process would know.
const LEADS: [&str; 5] = [
    "controller 0 campaigns",
    "a transaction is carried out",
    "controller 0 is answered",
    "a transaction is carried out",
    "controller 0 is answered",
];
/// Controller 0 campaigns at 0 and wins at 1, while a campaign of controller 1 is in flight since 1.
const BOTH_CAMPAIGN: [&str; 5] = [
    "controller 0 campaigns",
    "time passes",
    "controller 1 campaigns",
    "a transaction is carried out",
    "controller 0 is answered",
];
const ALL_REFUSED: [&str; 2] = [
    "controller 0 alone is refused",
    "controller 1 alone is refused",
];
const EXTENDED_BY_VOTE: [&str; 2] = [
    "controller 0 requests votes",
    "controller 1 grants its vote",
];
/// The key of controller 0 is gone, and controller 1 may cancel without a leader.
const KEY_EXPIRED: [&str; 3] = ["time passes", "time passes", "the lease of the key ends"];
const CANCELS_WITHOUT_LEADER: [&str; 3] = [
    "controller 1 is asked to cancel",
    "controller 1 reads a record for that",
    "controller 1 reads a record for that",
];
const OTHER_WINS: [&str; 3] = [
    "controller 1 campaigns",
    "a transaction is carried out",
    "controller 1 is answered",
];
const LEADS_AGAIN: [&str; 4] = [
    "controller 0 steps down",
    "controller 0 campaigns",
    "a transaction is carried out",
    "controller 0 is answered",
];
/// Then controller 1 does not know what its last process sent, and nobody else does.
const SUCCESSOR_RESTARTS: [&str; 1] = ["controller 1 ends and restarts"];
const TRANSFERRED: [&str; 1] = ["controller 1 is ready for transfer, and the leader steps down"];
/// Controller 0 restarts at once and is about to remove its own key.
const FINDS_OWN_KEY: [&str; 2] = [
    "controller 0 ends and restarts",
    "controller 0 sees its own name on the key",
];

/// Random histories rarely get to where votes matter, so each mistake is searched for from there.
/// It must be found, and the program as it is must hold in the histories from there.
#[test]
fn each_planted_mistake_is_found() {
    use Mistake::*;
    let cases: &[(Mistake, &[&[&str]])] = &[
        (
            RestartForgetsVotes,
            &[&LEADS, &ALL_REFUSED, &["time passes"], &EXTENDED_BY_VOTE],
        ),
        (
            RemovesKeyOfUnconfirmedTerm,
            &[
                &BOTH_CAMPAIGN,
                &SUCCESSOR_RESTARTS,
                &ALL_REFUSED,
                &EXTENDED_BY_VOTE,
                &["time passes", "the lease of the key ends"],
                // The confirmation by controller 0, in vain, and the campaign of the process before.
                &[
                    "a transaction is carried out",
                    "a transaction is carried out",
                ],
                &["controller 1 is served again"],
            ],
        ),
        (
            RemovalIgnoresKeyVersion,
            &[&LEADS, &FINDS_OWN_KEY, &KEY_EXPIRED, &OTHER_WINS],
        ),
        (
            ReleasesVotesBeforeRemoval,
            &[
                &LEADS,
                &FINDS_OWN_KEY,
                &KEY_EXPIRED,
                &OTHER_WINS,
                &ALL_REFUSED,
                &[
                    "time passes",
                    "controller 1 requests votes",
                    "controller 0 grants its vote",
                ],
            ],
        ),
        (
            VotesDuringKeyRemoval,
            &[
                &LEADS,
                &["time passes", "controller 0 renews", "time passes"],
                &FINDS_OWN_KEY,
                &[
                    "controller 0 removes that key",
                    "a transaction is carried out",
                ],
                &["controller 1 campaigns", "a transaction is carried out"],
                &["controller 1 is answered", "a transaction is carried out"],
                &ALL_REFUSED,
                &["time passes", "controller 1 requests votes"],
            ],
        ),
        (VotesDuringCampaign, &[&BOTH_CAMPAIGN, &ALL_REFUSED]),
        (
            IgnoresCampaignNonce,
            &[
                &[
                    "controller 0 campaigns",
                    "a transaction times out, and may still land",
                ],
                &[
                    "time passes",
                    "controller 0 campaigns",
                    "a transaction is carried out",
                ],
            ],
        ),
        (
            ConfirmsWithOnePeer,
            &[
                &LEADS,
                &ALL_REFUSED,
                &["controller 2 alone is refused", "time passes"],
                &EXTENDED_BY_VOTE,
                &["controller 2 grants its vote"],
                &SUCCESSOR_RESTARTS,
                &["time passes", "the lease of the key ends"],
            ],
        ),
        (
            VotesDuringConfirmation,
            &[
                &[
                    "controller 0 campaigns",
                    "controller 1 asks whether nobody leads",
                    "controller 0 confirms not to lead",
                ],
                &LEADS[1..],
                &ALL_REFUSED,
                &["controller 2 alone is refused", "time passes"],
                &[
                    "controller 0 requests votes",
                    "controller 2 grants its vote",
                ],
            ],
        ),
        (
            VotesReviveExpiredLease,
            &[
                &LEADS,
                &KEY_EXPIRED,
                &CANCELS_WITHOUT_LEADER,
                &SUCCESSOR_RESTARTS,
            ],
        ),
        (
            CancellationGuardedByMissingKeyOnly,
            &[
                &LEADS,
                &KEY_EXPIRED,
                &CANCELS_WITHOUT_LEADER,
                &SUCCESSOR_RESTARTS,
                &LEADS_AGAIN,
                &ALL_REFUSED,
            ],
        ),
        (
            ReadsKeyBeforeTermMarker,
            &[
                &LEADS,
                &KEY_EXPIRED,
                &CANCELS_WITHOUT_LEADER[..2],
                &LEADS_AGAIN,
                &["controller 1 reads a record for that"],
                &SUCCESSOR_RESTARTS,
            ],
        ),
        (
            VotesDuringLeaderlessCancellation,
            &[
                &LEADS,
                &["time passes", "controller 0 renews", "time passes"],
                &CANCELS_WITHOUT_LEADER[..2],
                &ALL_REFUSED,
            ],
        ),
    ];
    let transfers: &[(Mistake, &[&[&str]])] = &[
        (
            LeadsOnAfterTransfer,
            &[&LEADS, &["controller 0 alone is refused"]],
        ),
        // The transfer is late: its receiver has led, and has voted for the next leader, before it
        // arrives.
        (
            SuccessorReleasesVotesBeforeRemoval,
            &[
                &LEADS,
                &["controller 0 alone is refused"],
                &TRANSFERRED,
                &["controller 0 is served again"],
                &KEY_EXPIRED,
                &LEADS[..3],
                &ALL_REFUSED,
                &["time passes"],
                &EXTENDED_BY_VOTE,
                &["time passes", "the lease of the key ends"],
                &["controller 1 is served again"],
            ],
        ),
    ];
    for (mistake, parts) in cases.iter().chain(transfers) {
        let history = parts.concat();
        let controllers = match mistake {
            ConfirmsWithOnePeer | VotesDuringConfirmation => 3,
            _ => 2,
        };
        let from = |mistake| replay(LeadershipWorld::new(controllers, mistake), &history);
        explore(from(None), 60_000).unwrap_or_else(|history| fail(&history));
        let mut wrong = from(*mistake);
        if *mistake == VotesDuringConfirmation {
            // What the program as it is would not do.
            wrong = replay(wrong, &["controller 1 grants its vote"]);
        }
        let found = explore(wrong, 600_000);
        let found = found.expect_err(&format!("{mistake:?} is not found"));
        println!("{mistake:?}: {found:?}");
    }
}

/// The model proves nothing if nobody in it can lead again at once.
#[test]
fn a_leader_that_restarts_at_once_leads_at_once() {
    let removed = [
        "controller 0 removes that key",
        "a transaction is carried out",
        "controller 0 is answered",
    ];
    let history = [&LEADS[..], &FINDS_OWN_KEY, &removed, &LEADS[..3]].concat();
    let world = replay(LeadershipWorld::new(2, Mistake::None), &history);
    assert_eq!((world.now, world.is_valid_leader(0)), (0, true));
    assert_eq!(world.controllers[0].process.number, 1);
}

/// A leadership transfer is worth nothing unless the successor is valid before the lease of the
/// last leader would have expired, and unless a suspended leader votes for its successor.
#[test]
fn the_successor_of_a_transfer_leads_at_once_and_gets_votes() {
    let taken_up = [
        "controller 1 takes up a transfer",
        "a transaction is carried out",
        "controller 1 is answered",
    ];
    let refused = ["controller 0 alone is refused"];
    let history = [&LEADS[..], &refused, &TRANSFERRED, &taken_up, &OTHER_WINS].concat();
    let world = replay(LeadershipWorld::new(2, Mistake::None), &history);
    assert_eq!((world.now, world.is_valid_leader(1)), (0, true));
    let mut expired = replay(
        LeadershipWorld::new(2, Mistake::None),
        &[&LEADS[..], &refused, &KEY_EXPIRED, &OTHER_WINS].concat(),
    );
    assert!(
        expired.controllers[0].process.leadership.is_leading(),
        "suspended"
    );
    let newer = expired.leader_key.expect("controller 1 has won").version;
    assert!(expired.vote(0, newer));
    assert!(!expired.controllers[0].process.leadership.is_leading());
}
