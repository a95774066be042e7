//! Tests of which heartbeats a shard owner answers, which ones it forwards to the leader, and what
//! it sends again after a loss.

use copperfield_heartbeat_forwarder::{Action, HeartbeatForwarder, LeaseValidity};
use copperfield_protocol::peer::{CommandOutcome, ShardStatus, ShardUpdate};
use copperfield_protocol::worker::Heartbeat;
use copperfield_sharding::{ShardChange, ShardLease};

const OWN_INDEX: u32 = 1;
const LEADER: u32 = 0;
const PROCESS: u64 = 7;
const TOKEN: u64 = 5;
const LEASE_MS: u64 = 1000;
const WORKER: &str = "vm-000001";
const WORKER_NUMBER: u32 = 1;
const TICKET: u64 = 30;

fn forwarder() -> HeartbeatForwarder {
    HeartbeatForwarder::new(OWN_INDEX, PROCESS, 2.5)
}

fn heartbeat(counter: u64) -> Heartbeat {
    Heartbeat {
        worker: WORKER.into(),
        address: "10.1.0.1:9000".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        counter,
        token: 0,
        notice_s: None,
        tasks: Vec::new(),
    }
}

/// A heartbeat of a worker whose fencing token was raised.
fn heartbeat_with_token(counter: u64, token: u64) -> Heartbeat {
    Heartbeat {
        token,
        ..heartbeat(counter)
    }
}

#[test]
fn raised_token_is_answered_only_once_the_leader_has_announced_it() {
    let raised = TOKEN + 3;
    let mut forwarder = forwarder_owning_worker();
    let answers = forwarder.handle_heartbeat(1100, 31, heartbeat_with_token(2, raised));
    assert_eq!(answers, []);
    forwarder.record_newest_token(TOKEN - 1, raised);
    let status = forwarder.next_status(1200).expect("due");
    assert_eq!(forwarder.handle_update(1210, &update(&status, &[])), []);
    forwarder.record_newest_token(TOKEN, raised);
    let status = forwarder.next_status(1700).expect("due");
    let answers = forwarder.handle_update(1710, &update(&status, &[]));
    let (ticket, token) = (31, raised);
    assert_eq!(answers, [Action::Answer { ticket, token }]);
    // A token above the announced one is of a later leader.
    let answers = forwarder.handle_heartbeat(1800, 32, heartbeat_with_token(3, raised + 1));
    assert_eq!(answers, []);
}

/// The leader's answer to a status. The changes have the versions 1 and up.
fn update(status: &ShardStatus, changes: &[ShardChange]) -> ShardUpdate {
    ShardUpdate {
        shard_lease: ShardLease {
            process: PROCESS,
            status_number: status.owner_status.number,
            token: TOKEN,
            base_version: 0,
            duration_ms: LEASE_MS,
            changes: (1..).zip(changes.iter().copied()).collect(),
        },
        names: vec![(WORKER_NUMBER, WORKER.into())],
        redirects: Vec::new(),
    }
}

/// A forwarder that owns the worker, has answered its first heartbeat, and holds a lease requested
/// at 1000.
fn forwarder_owning_worker() -> HeartbeatForwarder {
    let mut forwarder = forwarder();
    assert_eq!(forwarder.handle_heartbeat(970, TICKET, heartbeat(1)), []);
    let status = forwarder.next_status(1000).expect("due");
    let answers = forwarder.handle_update(
        1010,
        &update(&status, &[ShardChange::Assign(WORKER_NUMBER)]),
    );
    let (ticket, token) = (TICKET, TOKEN);
    assert_eq!(answers, [Action::Answer { ticket, token }]);
    forwarder
}

#[test]
fn a_first_heartbeat_waits_until_the_leader_assigns_its_worker() {
    let forwarder = forwarder_owning_worker();
    let lease = LeaseValidity {
        token: TOKEN,
        valid_until: 1000 + LEASE_MS,
    };
    assert_eq!(forwarder.lease(), lease);
}

#[test]
fn a_duplicate_heartbeat_is_redirected_to_the_leader_and_not_forwarded() {
    let mut forwarder = forwarder_owning_worker();
    let actions = forwarder.handle_heartbeat(1100, 31, heartbeat(1));
    let redirect = Action::Redirect {
        ticket: 31,
        to: None,
    };
    assert_eq!(actions, [redirect]);
    let status = forwarder.next_status(1300).expect("due");
    assert_eq!(status.forwarded, []);
}

#[test]
fn no_heartbeat_is_answered_after_the_end_of_the_lease() {
    let mut forwarder = forwarder_owning_worker();
    let (before, after) = (1000 + LEASE_MS - 1, 1000 + LEASE_MS);
    let (ticket, token) = (31, TOKEN);
    let answered = forwarder.handle_heartbeat(before, ticket, heartbeat(2));
    assert_eq!(answered, [Action::Answer { ticket, token }]);
    assert_eq!(forwarder.handle_heartbeat(after, 32, heartbeat(3)), []);
    // The heartbeat waits up to 2.5 s for a new lease.
    assert_eq!(forwarder.tick(after + 2499), []);
    let redirect = Action::Redirect {
        ticket: 32,
        to: None,
    };
    assert_eq!(forwarder.tick(after + 2500), [redirect]);
}

#[test]
fn a_released_worker_is_redirected_to_its_next_owner() {
    let mut forwarder = forwarder_owning_worker();
    let status = forwarder.next_status(1300).expect("due");
    let changes = [
        ShardChange::Assign(WORKER_NUMBER),
        ShardChange::Release(WORKER_NUMBER, Some(LEADER)),
    ];
    assert_eq!(
        forwarder.handle_update(1310, &update(&status, &changes)),
        []
    );
    let actions = forwarder.handle_heartbeat(1400, 31, heartbeat(2));
    let redirect = Action::Redirect {
        ticket: 31,
        to: Some(LEADER),
    };
    assert_eq!(actions, [redirect]);
    let status = forwarder.next_status(1700).expect("due");
    let released = &status.owner_status.released;
    assert_eq!(released.len(), 1);
    assert_eq!(
        (released[0].worker, released[0].version),
        (WORKER_NUMBER, 2)
    );
    assert_eq!(released[0].last_answer_age_ms, Some(1700 - 970));
}

#[test]
fn the_content_of_a_lost_status_is_sent_again() {
    let mut forwarder = forwarder_owning_worker();
    forwarder.record_outcome(40, CommandOutcome::Unsent);
    forwarder.handle_heartbeat(1100, 31, heartbeat(2));
    let lost = forwarder.next_status(1300).expect("due");
    assert_eq!(lost.outcomes, [(40, CommandOutcome::Unsent)]);
    assert_eq!(lost.forwarded.len(), 1);
    assert!(
        forwarder.next_status(1400).is_none(),
        "one status in flight at a time"
    );
    forwarder.record_outcome(41, CommandOutcome::Unknown);
    forwarder.handle_lost_status(lost.owner_status.number);
    let next = forwarder.next_status(1400).expect("due");
    assert_eq!(
        next.outcomes,
        [(40, CommandOutcome::Unsent), (41, CommandOutcome::Unknown)]
    );
    assert_eq!(next.forwarded.len(), 1);
    assert_eq!(next.forwarded[0].age_ms, 300);
}

#[test]
fn a_new_leader_receives_the_buffered_heartbeats_and_no_old_outcomes() {
    let mut forwarder = forwarder_owning_worker();
    forwarder.record_outcome(40, CommandOutcome::Unsent);
    forwarder.handle_new_leader();
    let status = forwarder.next_status(1300).expect("due");
    assert_eq!(status.outcomes, []);
    assert_eq!(status.forwarded.len(), 1);
    assert!(!status.forwarded[0].awaits_reply);
}
