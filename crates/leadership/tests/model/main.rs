//! Explores the histories of a small model that runs the code of this crate.
//!
//! The model has two or three controllers and one state service. A transaction may be processed
//! late or never, and its outcome may be lost. The state service may refuse a single controller, or
//! all of them in an outage. A process may crash between any two steps. The next process of its
//! controller starts immediately without any of its state, while messages of the previous one are
//! in flight.
//!
//! The properties: no two controllers are valid leaders at the same time, and no cancellation is
//! stored without a leader while a leader is valid. Each planted mistake must be found.

#[path = "../common/mod.rs"]
mod common;
mod mistakes;
mod state;
mod steps;

use copperfield_model_checker::{effort_factor, explore, replay};

use common::{assert_holds_in_all_histories, assert_holds_in_random_histories, fail};
use mistakes::Mistake;
use state::LeadershipModel;

#[test]
fn valid_terms_overlap_neither_each_other_nor_a_leaderless_cancellation() {
    for (controllers, least_depth) in [(2, 7), (3, 5)] {
        println!("{controllers} controllers:");
        let start = LeadershipModel::new(controllers, Mistake::None);
        assert_holds_in_all_histories(start.clone(), 250_000 * effort_factor(), least_depth);
        assert_holds_in_random_histories(&start, 60_000 * effort_factor(), 60);
    }
}

/// Controller 0 is elected at 0 and leads until 2. Its term is confirmed in the term marker, so its
/// next process may remove the key.
const CONTROLLER_0_LEADS: [&str; 5] = [
    "controller 0 campaigns",
    "a transaction is processed",
    "controller 0 receives an outcome",
    "a transaction is processed",
    "controller 0 receives an outcome",
];
/// Controller 0 campaigns at 0 and wins at 1, while a campaign that controller 1 sent at 1 is in
/// flight.
const BOTH_CAMPAIGN: [&str; 5] = [
    "controller 0 campaigns",
    "time passes",
    "controller 1 campaigns",
    "a transaction is processed",
    "controller 0 receives an outcome",
];
const BOTH_CUT_OFF: [&str; 2] = [
    "controller 0 is cut off from the state service",
    "controller 1 is cut off from the state service",
];
const CONTROLLER_1_VOTES: [&str; 2] = [
    "controller 0 requests votes",
    "controller 1 grants its vote",
];
/// The leader key of controller 0 expires, and controller 1 may cancel without a leader.
const KEY_EXPIRED: [&str; 3] = ["time passes", "time passes", "the leader key expires"];
const CONTROLLER_1_SENDS_CANCELLATION: [&str; 3] = [
    "controller 1 begins a cancellation without a leader",
    "controller 1 reads a guard of the cancellation",
    "controller 1 reads a guard of the cancellation",
];
const CONTROLLER_1_WINS: [&str; 3] = [
    "controller 1 campaigns",
    "a transaction is processed",
    "controller 1 receives an outcome",
];
const CONTROLLER_0_WINS_AGAIN: [&str; 4] = [
    "controller 0 steps down",
    "controller 0 campaigns",
    "a transaction is processed",
    "controller 0 receives an outcome",
];
/// After that, no process knows what the previous process of controller 1 sent.
const CONTROLLER_1_RESTARTS: [&str; 1] = ["controller 1 crashes and restarts"];
const TRANSFER_SENT: [&str; 1] = ["controller 1 is sent a leadership transfer"];
/// Controller 0 restarts immediately and finds its own key, which it may then remove.
const CONTROLLER_0_FINDS_OWN_KEY: [&str; 2] = [
    "controller 0 crashes and restarts",
    "controller 0 finds its own leader key",
];

/// Random histories rarely reach states in which votes matter, so the search for each planted
/// mistake begins in such a state. The mistake must be found from there, and without it the
/// properties must hold.
#[test]
fn each_planted_mistake_is_found() {
    use Mistake::*;
    let cases: &[(Mistake, &[&[&str]])] = &[
        (
            RestartForgetsVotes,
            &[
                &CONTROLLER_0_LEADS,
                &BOTH_CUT_OFF,
                &["time passes"],
                &CONTROLLER_1_VOTES,
            ],
        ),
        (
            RemovesKeyOfUnconfirmedTerm,
            &[
                &BOTH_CAMPAIGN,
                &CONTROLLER_1_RESTARTS,
                &BOTH_CUT_OFF,
                &CONTROLLER_1_VOTES,
                &["time passes", "the leader key expires"],
                // The confirmation by controller 0, which fails as its key is gone, and the
                // campaign of the previous process of controller 1.
                &["a transaction is processed", "a transaction is processed"],
                &["controller 1 is reconnected to the state service"],
            ],
        ),
        (
            RemovalIgnoresKeyVersion,
            &[
                &CONTROLLER_0_LEADS,
                &CONTROLLER_0_FINDS_OWN_KEY,
                &KEY_EXPIRED,
                &CONTROLLER_1_WINS,
            ],
        ),
        (
            ReleasesVotesBeforeRemoval,
            &[
                &CONTROLLER_0_LEADS,
                &CONTROLLER_0_FINDS_OWN_KEY,
                &KEY_EXPIRED,
                &CONTROLLER_1_WINS,
                &BOTH_CUT_OFF,
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
                &CONTROLLER_0_LEADS,
                &["time passes", "controller 0 renews", "time passes"],
                &CONTROLLER_0_FINDS_OWN_KEY,
                &[
                    "controller 0 removes its own leader key",
                    "a transaction is processed",
                ],
                &["controller 1 campaigns", "a transaction is processed"],
                &[
                    "controller 1 receives an outcome",
                    "a transaction is processed",
                ],
                &BOTH_CUT_OFF,
                &["time passes", "controller 1 requests votes"],
            ],
        ),
        (VotesDuringCampaign, &[&BOTH_CAMPAIGN, &BOTH_CUT_OFF]),
        (
            IgnoresCampaignNonce,
            &[
                &[
                    "controller 0 campaigns",
                    "a transaction times out but may still be processed",
                ],
                &[
                    "time passes",
                    "controller 0 campaigns",
                    "a transaction is processed",
                ],
            ],
        ),
        (
            ConfirmsWithOnePeer,
            &[
                &CONTROLLER_0_LEADS,
                &BOTH_CUT_OFF,
                &[
                    "controller 2 is cut off from the state service",
                    "time passes",
                ],
                &CONTROLLER_1_VOTES,
                &["controller 2 grants its vote"],
                &CONTROLLER_1_RESTARTS,
                &["time passes", "the leader key expires"],
            ],
        ),
        (
            VotesDuringConfirmation,
            &[
                &[
                    "controller 0 campaigns",
                    "controller 1 begins a no-leader confirmation",
                    "controller 0 confirms that it does not lead",
                ],
                &CONTROLLER_0_LEADS[1..],
                &BOTH_CUT_OFF,
                &[
                    "controller 2 is cut off from the state service",
                    "time passes",
                ],
                &[
                    "controller 0 requests votes",
                    "controller 2 grants its vote",
                ],
            ],
        ),
        (
            VotesReviveExpiredLease,
            &[
                &CONTROLLER_0_LEADS,
                &KEY_EXPIRED,
                &CONTROLLER_1_SENDS_CANCELLATION,
                &CONTROLLER_1_RESTARTS,
            ],
        ),
        (
            CancellationGuardedByMissingKeyOnly,
            &[
                &CONTROLLER_0_LEADS,
                &KEY_EXPIRED,
                &CONTROLLER_1_SENDS_CANCELLATION,
                &CONTROLLER_1_RESTARTS,
                &CONTROLLER_0_WINS_AGAIN,
                &BOTH_CUT_OFF,
            ],
        ),
        (
            ReadsKeyBeforeTermMarker,
            &[
                &CONTROLLER_0_LEADS,
                &KEY_EXPIRED,
                &CONTROLLER_1_SENDS_CANCELLATION[..2],
                &CONTROLLER_0_WINS_AGAIN,
                &["controller 1 reads a guard of the cancellation"],
                &CONTROLLER_1_RESTARTS,
            ],
        ),
        (
            VotesDuringLeaderlessCancellation,
            &[
                &CONTROLLER_0_LEADS,
                &["time passes", "controller 0 renews", "time passes"],
                &CONTROLLER_1_SENDS_CANCELLATION[..2],
                &BOTH_CUT_OFF,
            ],
        ),
    ];
    let transfers: &[(Mistake, &[&[&str]])] = &[
        (
            KeepsLeadingAfterTransfer,
            &[
                &CONTROLLER_0_LEADS,
                &["controller 0 is cut off from the state service"],
            ],
        ),
        // The transfer arrives late, after its receiver has led and then voted for the next leader.
        (
            SuccessorReleasesVotesBeforeRemoval,
            &[
                &CONTROLLER_0_LEADS,
                &["controller 0 is cut off from the state service"],
                &TRANSFER_SENT,
                &["controller 0 is reconnected to the state service"],
                &KEY_EXPIRED,
                &CONTROLLER_0_LEADS[..3],
                &BOTH_CUT_OFF,
                &["time passes"],
                &CONTROLLER_1_VOTES,
                &["time passes", "the leader key expires"],
                &["controller 1 is reconnected to the state service"],
            ],
        ),
    ];
    for (mistake, parts) in cases.iter().chain(transfers) {
        let history = parts.concat();
        let controllers = match mistake {
            ConfirmsWithOnePeer | VotesDuringConfirmation => 3,
            _ => 2,
        };
        let from = |mistake| replay(LeadershipModel::new(controllers, mistake), &history);
        explore(from(None), 60_000).unwrap_or_else(|history| fail(&history));
        let mut start = from(*mistake);
        if *mistake == VotesDuringConfirmation {
            // This step is possible only with the mistake.
            start = replay(start, &["controller 1 grants its vote"]);
        }
        let found = explore(start, 600_000);
        let found = found.expect_err(&format!("the planted mistake {mistake:?} was not found"));
        println!("{mistake:?}: {found:?}");
    }
}

/// Guards against a model that holds only because no restarted controller can lead again
/// immediately.
#[test]
fn a_leader_that_restarts_can_lead_again_immediately() {
    let removed = [
        "controller 0 removes its own leader key",
        "a transaction is processed",
        "controller 0 receives an outcome",
    ];
    let history = [
        &CONTROLLER_0_LEADS[..],
        &CONTROLLER_0_FINDS_OWN_KEY,
        &removed,
        &CONTROLLER_0_LEADS[..3],
    ]
    .concat();
    let model = replay(LeadershipModel::new(2, Mistake::None), &history);
    assert_eq!((model.now, model.is_valid_leader(0)), (0, true));
    assert_eq!(model.controllers[0].process.number, 1);
}

/// A leadership transfer is useful only if the successor is valid before the lease of the previous
/// leader would have expired. A leader whose term is suspended must also vote for its successor.
#[test]
fn the_successor_of_a_transfer_leads_immediately_and_receives_votes() {
    let accepted = [
        "controller 1 accepts a leadership transfer",
        "a transaction is processed",
        "controller 1 receives an outcome",
    ];
    let cut_off = ["controller 0 is cut off from the state service"];
    let history = [
        &CONTROLLER_0_LEADS[..],
        &cut_off,
        &TRANSFER_SENT,
        &accepted,
        &CONTROLLER_1_WINS,
    ]
    .concat();
    let model = replay(LeadershipModel::new(2, Mistake::None), &history);
    assert_eq!((model.now, model.is_valid_leader(1)), (0, true));
    let mut expired = replay(
        LeadershipModel::new(2, Mistake::None),
        &[
            &CONTROLLER_0_LEADS[..],
            &cut_off,
            &KEY_EXPIRED,
            &CONTROLLER_1_WINS,
        ]
        .concat(),
    );
    assert!(
        expired.controllers[0].process.leadership.is_leading(),
        "suspended"
    );
    let newer = expired.leader_key.expect("controller 1 has won").version;
    assert!(expired.answer_vote_request(0, newer));
    assert!(!expired.controllers[0].process.leadership.is_leading());
}
