//! Model-checks the sharding protocol: explores the interleavings of a small system that runs the
//! code of the leader and of the shard owners.
//!
//! The system has a sequence of leaders, two shard owners, and one worker that reports to either of
//! them. Statuses are delayed, reordered or duplicated, and leases are delayed, reordered or lost.
//! Shard owners restart, and may pause between receiving a heartbeat and answering it. Leaders
//! crash, and the next one is elected when the leader key has expired, or at once if the key was
//! removed (docs/notes/quick-restarts.md).
//!
//! Two properties are checked. Two shard owners may never answer the worker under the same fencing
//! token. A leader may declare the worker's lease expired only after it has expired on the worker.
//! `Mistake` lists mistakes that are planted in the protocol, and the search must find each of
//! them.

use copperfield_model_checker::{ModelState, effort_factor, explore, replay, walk};
use copperfield_sharding::{
    Assignment, HeartbeatDecision, OwnerStatus, ShardLease, ShardOwner, ShardTable,
};

/// The time that passes in one step. The safety margins in the code are far smaller.
const STEP_MS: u64 = 1000;
const WORKER_LEASE_MS: u64 = 3 * STEP_MS;
const LEADER_TTL_MS: u64 = 3 * STEP_MS;
/// The time at which every history ends.
const HORIZON_MS: u64 = 12 * STEP_MS;
const WORKER: u32 = 7;

/// A mistake that is planted in the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mistake {
    None,
    /// A lease lasts a whole TTL, even if the leader itself is valid for less than that.
    LeasesBeyondOwnValidity,
    /// The shard owner counts a lease from when it arrived rather than from when it was requested.
    CountsLeaseFromArrival,
    /// A late lease is accepted as the answer to the last status.
    AcceptsLateLeases,
    /// The worker is assigned to the next owner before the last one has released it.
    AssignsBeforeRelease,
    /// A restarted shard owner sends statuses under the identity of its predecessor.
    ReusesProcessIdentity,
    /// A process keeps a shard that was assigned to another process of the same controller.
    KeepsShardOfOtherProcess,
    /// A leader that is elected at once assumes that the leases of the previous leader have
    /// expired.
    ForgetsOldLeases,
    /// A heartbeat that was received in time is answered without checking the lease again.
    AnswersWithoutRecheck,
    /// A release does not report the time of the last answer.
    OmitsLastAnswer,
    /// The lease of an owned worker counts from the last answer that its owner reported.
    ExpiresOwnedWorkers,
    /// Changes in a lost lease are not sent again.
    SendsChangesOnce,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Leader {
    token: u64,
    valid_until: u64,
    table: ShardTable,
    /// The time of the last answer that any shard owner reported.
    last_reported_answer: u64,
    /// Whether this leader has declared the worker's lease expired.
    declared_expired: bool,
}

/// A heartbeat that was received and not yet answered.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingHeartbeat {
    received_at: u64,
    /// The fencing token under which it is about to be answered.
    token: Option<u64>,
}

/// A status in transit, with the time of the last answer before it was sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SentStatus {
    status: OwnerStatus,
    last_answer: Option<u64>,
}

/// An answer in transit to the worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Answer {
    token: u64,
    /// When the worker sent the heartbeat that is answered.
    sent_at: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Controller {
    shard_owner: ShardOwner,
    process: u64,
    heartbeat: Option<PendingHeartbeat>,
    statuses: Vec<SentStatus>,
    last_answer: Option<u64>,
    leases: Vec<ShardLease>,
}

/// A state of the modelled system.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SystemState {
    mistake: Mistake,
    now: u64,
    leader: Option<Leader>,
    /// When the validity of the last leader ends, and its key expires.
    key_expires_at: u64,
    token: u64,
    controllers: Vec<Controller>,
    /// The time from which the worker counts its lease.
    lease_started_at: u64,
    holds_tasks: bool,
    /// The highest fencing token that the worker has seen.
    highest_token_seen: u64,
    answers: Vec<Answer>,
    crashes_left: u8,
    duplicates_left: u8,
    statuses_left: u8,
    heartbeats_left: u8,
    reassignments_left: u8,
}

impl SystemState {
    fn new(mistake: Mistake) -> Self {
        let controller = |process| Controller {
            shard_owner: ShardOwner::new(process),
            process,
            heartbeat: None,
            statuses: Vec::new(),
            last_answer: None,
            leases: Vec::new(),
        };
        let mut state = Self {
            mistake,
            now: 0,
            leader: None,
            key_expires_at: 0,
            token: 0,
            controllers: vec![controller(1), controller(2)],
            lease_started_at: 0,
            holds_tasks: true,
            highest_token_seen: 0,
            answers: Vec::new(),
            crashes_left: 2,
            duplicates_left: 1,
            statuses_left: 6,
            heartbeats_left: 4,
            reassignments_left: 3,
        };
        state.elect(0);
        state
    }

    /// Elects a leader. Leases of earlier leaders end at `old_leases_end_at` at the latest.
    fn elect(&mut self, old_leases_end_at: u64) {
        self.token += 1;
        self.key_expires_at = self.now + LEADER_TTL_MS;
        let mut table = ShardTable::new(self.token, 2);
        table.add(WORKER, self.now.max(old_leases_end_at));
        self.leader = Some(Leader {
            token: self.token,
            valid_until: self.now + LEADER_TTL_MS,
            table,
            last_reported_answer: self.now,
            declared_expired: false,
        });
    }

    fn valid_leader(&self) -> Option<&Leader> {
        self.leader
            .as_ref()
            .filter(|leader| self.now < leader.valid_until)
    }

    /// Delivers a status of controller `n` to the leader, and sends the lease that answers it.
    fn deliver_status(&mut self, n: usize, sent: SentStatus) {
        let SentStatus {
            mut status,
            last_answer,
        } = sent;
        let now = self.now;
        let mistake = self.mistake;
        if self.valid_leader().is_none() {
            return;
        }
        let leader = self.leader.as_mut().expect("the leader is valid");
        if mistake == Mistake::OmitsLastAnswer {
            for released in &mut status.released {
                released.last_answer_age_ms = None;
            }
        }
        let valid_for = match mistake {
            Mistake::LeasesBeyondOwnValidity => LEADER_TTL_MS,
            _ => leader.valid_until - now,
        };
        leader.last_reported_answer = leader.last_reported_answer.max(last_answer.unwrap_or(0));
        if mistake == Mistake::SendsChangesOnce && status.token > 0 {
            status.applied_version = u64::MAX;
        }
        if let Some(mut lease) = leader
            .table
            .handle_status(now, n as u32, &status, valid_for)
        {
            if mistake == Mistake::KeepsShardOfOtherProcess {
                lease.base_version = 0;
            }
            self.controllers[n].leases.push(lease);
        }
    }

    /// Delivers a lease to controller `n`.
    fn deliver_lease(&mut self, n: usize, mut lease: ShardLease) {
        let now = self.now;
        let controller = &mut self.controllers[n];
        match self.mistake {
            Mistake::CountsLeaseFromArrival => {
                let mut shard_owner = controller.shard_owner.clone();
                let last = shard_owner.next_status(now, 9).number;
                if lease.process == controller.process && last > lease.status_number {
                    lease.status_number = last;
                    controller.shard_owner = shard_owner;
                }
            }
            Mistake::AcceptsLateLeases if lease.process == controller.process => {
                let mut shard_owner = controller.shard_owner.clone();
                lease.status_number = shard_owner.next_status(now, 9).number - 1;
            }
            _ => {}
        }
        controller.shard_owner.handle_lease(&lease);
    }

    /// The fencing token under which controller `n` may answer the worker now.
    fn answering_token(&self, n: usize) -> Option<u64> {
        match self.controllers[n].shard_owner.decide(WORKER, self.now) {
            HeartbeatDecision::Answer(token) => Some(token),
            _ => None,
        }
    }
}

/// The name of an action of one of the two controllers.
macro_rules! action_name {
    ($controller:expr, $action:literal) => {
        [
            concat!("controller 0 ", $action),
            concat!("controller 1 ", $action),
        ][$controller]
    };
}

/// Collects the states that the possible actions lead to.
struct Successors<'a> {
    current: &'a SystemState,
    successors: Vec<(&'static str, SystemState)>,
}

impl Successors<'_> {
    /// Adds the state after this action, unless the action is impossible in the current state.
    fn add(&mut self, action: &'static str, apply: impl Fn(&mut SystemState) -> bool) {
        let mut state = self.current.clone();
        if apply(&mut state) {
            self.successors.push((action, state));
        }
    }

    /// Adds the passing of time and the actions of the leader: it renews its lease, crashes, is
    /// elected, or revokes the worker.
    fn add_leader_actions(&mut self) {
        let mistake = self.current.mistake;
        self.add("time passes", |s| {
            s.now += STEP_MS;
            let (now, valid) = (s.now, s.valid_leader().is_some());
            if let Some(leader) = s.leader.as_mut().filter(|_| valid) {
                leader.table.expire_releases(now);
            }
            now <= HORIZON_MS
        });
        self.add("the leader renews its lease", |s| {
            let until = s.now + LEADER_TTL_MS;
            let renews = s
                .valid_leader()
                .is_some_and(|leader| leader.valid_until < until);
            if let Some(leader) = s.leader.as_mut().filter(|_| renews) {
                leader.valid_until = until;
                s.key_expires_at = until;
            }
            renews
        });
        self.add("the leader crashes", |s| {
            s.crashes_left = s.crashes_left.wrapping_sub(1);
            s.leader.take().is_some() && s.crashes_left < 9
        });
        self.add("the next leader is elected", |s| {
            let can_elect = s.leader.is_none() && s.now >= s.key_expires_at;
            if can_elect {
                s.elect(s.now);
            }
            can_elect
        });
        self.add("the next leader is elected at once", |s| {
            let can_elect = s.leader.is_none() && s.now < s.key_expires_at;
            if can_elect {
                let old_leases_end_at = match mistake {
                    Mistake::ForgetsOldLeases => s.now,
                    _ => s.now + LEADER_TTL_MS,
                };
                s.elect(old_leases_end_at);
            }
            can_elect
        });
        self.add("the worker is revoked", |s| {
            let valid = s.valid_leader().is_some() && s.reassignments_left > 0;
            let Some(leader) = s.leader.as_mut().filter(|_| valid) else {
                return false;
            };
            s.reassignments_left -= 1;
            let before = leader.table.clone();
            leader.table.reassign(WORKER, None);
            before != leader.table
        });
    }

    /// Adds the assignment of the worker to controller `n`.
    fn add_assignment(&mut self, n: usize) {
        let mistake = self.current.mistake;
        self.add(action_name!(n, "is assigned the worker"), |s| {
            if s.valid_leader().is_none() || s.reassignments_left == 0 {
                return false;
            }
            s.reassignments_left -= 1;
            let leader = s.leader.as_mut().expect("the leader is valid");
            let before = leader.table.clone();
            leader.table.reassign(WORKER, Some(n as u32));
            if mistake == Mistake::AssignsBeforeRelease {
                leader.table.expire_releases(u64::MAX / 2);
            }
            before != leader.table
        });
    }

    /// Adds that controller `n` sends a status or restarts.
    fn add_process_actions(&mut self, n: usize) {
        let mistake = self.current.mistake;
        self.add(action_name!(n, "sends a status"), |s| {
            let now = s.now;
            let controller = &mut s.controllers[n];
            if s.statuses_left == 0 || controller.statuses.len() == 2 {
                return false;
            }
            s.statuses_left -= 1;
            let sent = SentStatus {
                status: controller.shard_owner.next_status(now, 3),
                last_answer: controller.last_answer,
            };
            controller.statuses.push(sent);
            true
        });
        self.add(action_name!(n, "restarts"), |s| {
            s.crashes_left = s.crashes_left.wrapping_sub(1);
            let controller = &mut s.controllers[n];
            if mistake != Mistake::ReusesProcessIdentity {
                controller.process += 2;
            }
            controller.shard_owner = ShardOwner::new(controller.process);
            if mistake == Mistake::ReusesProcessIdentity {
                // Advances the status number, since the leader would ignore lower ones.
                for _ in 0..8 {
                    controller.shard_owner.next_status(0, 1);
                }
            }
            controller.heartbeat = None;
            controller.last_answer = None;
            s.crashes_left < 9
        });
    }

    /// Adds that controller `n` receives a heartbeat or answers it.
    fn add_heartbeat_actions(&mut self, n: usize) {
        let mistake = self.current.mistake;
        self.add(action_name!(n, "receives a heartbeat"), |s| {
            let now = s.now;
            if s.heartbeats_left == 0 || s.controllers[n].heartbeat.is_some() {
                return false;
            }
            s.heartbeats_left -= 1;
            if now >= s.lease_started_at + WORKER_LEASE_MS {
                s.lease_started_at = now;
                s.holds_tasks = false;
                s.answers.clear();
            }
            let token = s.answering_token(n);
            s.controllers[n].heartbeat = Some(PendingHeartbeat {
                received_at: now,
                token,
            });
            token.is_some()
        });
        self.add(action_name!(n, "answers the heartbeat"), |s| {
            let now = s.now;
            let controller = &mut s.controllers[n];
            let Some(PendingHeartbeat {
                received_at,
                token: Some(token),
            }) = controller.heartbeat.take()
            else {
                return false;
            };
            let may_answer = controller
                .shard_owner
                .record_answer(WORKER, received_at, now);
            if may_answer || mistake == Mistake::AnswersWithoutRecheck {
                controller.last_answer = Some(received_at);
                s.answers.push(Answer {
                    token,
                    sent_at: received_at,
                });
            }
            true
        });
    }

    /// Adds that a status or a lease of controller `n` is delivered, duplicated or lost.
    fn add_deliveries(&mut self, n: usize) {
        for i in 0..self.current.controllers[n].statuses.len() {
            let action = match i {
                0 => action_name!(n, "has its oldest status delivered"),
                _ => action_name!(n, "has a status delivered out of order"),
            };
            self.add(action, |s| {
                let sent = s.controllers[n].statuses.remove(i);
                s.deliver_status(n, sent);
                true
            });
            self.add(action_name!(n, "has a status duplicated"), |s| {
                s.duplicates_left = s.duplicates_left.wrapping_sub(1);
                let sent = s.controllers[n].statuses[i].clone();
                s.deliver_status(n, sent);
                s.duplicates_left < 9
            });
        }
        for i in 0..self.current.controllers[n].leases.len() {
            self.add(action_name!(n, "receives a lease"), |s| {
                let lease = s.controllers[n].leases.remove(i);
                s.deliver_lease(n, lease);
                true
            });
            self.add(action_name!(n, "loses a lease"), |s| {
                s.controllers[n].leases.remove(i);
                true
            });
        }
    }

    /// Adds that an answer reaches the worker.
    fn add_answer_arrivals(&mut self) {
        for i in 0..self.current.answers.len() {
            self.add("an answer reaches the worker", |s| {
                let Answer { token, sent_at } = s.answers.remove(i);
                if token >= s.highest_token_seen && s.now < s.lease_started_at + WORKER_LEASE_MS {
                    s.highest_token_seen = token;
                    s.lease_started_at = s.lease_started_at.max(sent_at);
                }
                true
            });
        }
    }

    /// Adds that the leader declares the worker's lease expired.
    fn add_lease_expiry(&mut self) {
        let mistake = self.current.mistake;
        self.add("the leader declares the worker lease expired", |s| {
            let now = s.now;
            if s.valid_leader().is_none() {
                return false;
            }
            let leader = s.leader.as_mut().expect("the leader is valid");
            let owned = matches!(
                leader.table.assignment(WORKER),
                Some(Assignment::Owned { .. })
            );
            let since = match mistake {
                Mistake::ExpiresOwnedWorkers if owned => Some(leader.last_reported_answer),
                _ => leader.table.unanswered_since(WORKER),
            };
            let expired =
                since.is_some_and(|at| now >= at + WORKER_LEASE_MS) && !leader.declared_expired;
            leader.declared_expired = expired;
            expired
        });
    }
}

impl ModelState for SystemState {
    fn successors(&self) -> Vec<(&'static str, SystemState)> {
        let mut successors = Successors {
            current: self,
            successors: Vec::new(),
        };
        successors.add_leader_actions();
        for n in 0..2 {
            successors.add_assignment(n);
            successors.add_process_actions(n);
            successors.add_heartbeat_actions(n);
            successors.add_deliveries(n);
        }
        successors.add_answer_arrivals();
        successors.add_lease_expiry();
        successors.successors
    }

    fn violates_property(&self) -> bool {
        let declared_expired = self
            .valid_leader()
            .is_some_and(|leader| leader.declared_expired);
        let declared_too_early = declared_expired
            && self.holds_tasks
            && self.now < self.lease_started_at + WORKER_LEASE_MS;
        let two_owners =
            self.answering_token(0).is_some() && self.answering_token(0) == self.answering_token(1);
        declared_too_early || two_owners
    }
}

/// Controller 0 is assigned the worker and learns of the assignment.
const ASSIGNED: [&str; 4] = [
    "controller 0 is assigned the worker",
    "controller 0 sends a status",
    "controller 0 has its oldest status delivered",
    "controller 0 receives a lease",
];
/// The leader reassigns the worker from controller 0 to controller 1.
const REASSIGNED: [&str; 1] = ["controller 1 is assigned the worker"];
/// Controller 0 answers a heartbeat one second later.
const ANSWERED: [&str; 4] = [
    "time passes",
    "controller 0 receives a heartbeat",
    "controller 0 answers the heartbeat",
    "an answer reaches the worker",
];
/// The leader revokes the worker from controller 0, which confirms the release.
const REVOKED: [&str; 6] = [
    "the worker is revoked",
    "controller 0 sends a status",
    "controller 0 has its oldest status delivered",
    "controller 0 receives a lease",
    "controller 0 sends a status",
    "controller 0 has its oldest status delivered",
];
/// Controller 0 renews its lease one second later.
const RENEWED: [&str; 5] = [
    "time passes",
    "the leader renews its lease",
    "controller 0 sends a status",
    "controller 0 has its oldest status delivered",
    "controller 0 receives a lease",
];

/// Controller 0 answers heartbeats at 1 s and 2 s under its first lease. A lease that it requested
/// at 1 s is still in transit at 3 s.
const LATE_LEASE: [&str; 16] = [
    "controller 0 is assigned the worker",
    "controller 0 sends a status",
    "controller 0 has its oldest status delivered",
    "controller 0 receives a lease",
    "time passes",
    "controller 0 receives a heartbeat",
    "controller 0 answers the heartbeat",
    "an answer reaches the worker",
    "the leader renews its lease",
    "controller 0 sends a status",
    "controller 0 has its oldest status delivered",
    "time passes",
    "controller 0 receives a heartbeat",
    "controller 0 answers the heartbeat",
    "an answer reaches the worker",
    "time passes",
];
/// The leader crashes, the next one is elected when the key has expired, and one second passes.
const FAILOVER: [&str; 5] = [
    "the leader crashes",
    "time passes",
    "the next leader is elected",
    "time passes",
    "the leader renews its lease",
];

#[test]
fn at_most_one_owner_answers_and_leases_expire_no_earlier_than_on_the_worker() {
    let states = 150_000 * effort_factor();
    let reassigned = [&ASSIGNED[..], &REASSIGNED].concat();
    let revoked = [&ASSIGNED[..], &ANSWERED, &REVOKED].concat();
    for start in [&[][..], &ASSIGNED, &reassigned, &revoked] {
        let state = replay(SystemState::new(Mistake::None), start);
        let depth = explore(state.clone(), states as usize).unwrap_or_else(|h| panic!("{h:#?}"));
        println!(
            "start: history of {} steps; {states} states, all histories of up to {depth} more steps",
            start.len()
        );
        assert!(depth >= 6, "explored to a depth of {depth} only");
        let walks = 10_000 * effort_factor();
        let steps = walk(&state, walks, 80).unwrap_or_else(|h| panic!("{h:#?}"));
        println!("{walks} random histories of {steps} steps");
    }
}

/// Each search starts with a history after which the mistake has an effect. From there, the search
/// must find a violation with the mistake, and none without it.
#[test]
fn each_planted_mistake_is_found() {
    use Mistake::*;
    let cases: &[(Mistake, &[&[&str]])] = &[
        (
            LeasesBeyondOwnValidity,
            &[&ASSIGNED, &ANSWERED, &ANSWERED, &ASSIGNED[1..], &FAILOVER],
        ),
        (
            CountsLeaseFromArrival,
            &[
                &LATE_LEASE,
                &["controller 0 receives a lease"],
                &ANSWERED[1..],
                &FAILOVER,
            ],
        ),
        (
            AcceptsLateLeases,
            &[
                &LATE_LEASE,
                &[
                    "controller 0 sends a status",
                    "controller 0 receives a lease",
                ],
                &ANSWERED[1..],
                &FAILOVER,
            ],
        ),
        (AssignsBeforeRelease, &[&ASSIGNED, &REASSIGNED]),
        (
            ReusesProcessIdentity,
            &[
                &ASSIGNED,
                &ANSWERED,
                &["controller 0 restarts"],
                &REVOKED,
                &["the leader renews its lease"],
            ],
        ),
        (
            KeepsShardOfOtherProcess,
            &[
                &[
                    "controller 0 sends a status",
                    "controller 0 restarts",
                    "controller 0 is assigned the worker",
                ],
                &[
                    "controller 0 sends a status",
                    "controller 0 has a status delivered out of order",
                ],
                &[
                    "controller 0 receives a lease",
                    "controller 0 has its oldest status delivered",
                    "controller 0 loses a lease",
                ],
                &REASSIGNED,
                &RENEWED,
                &["time passes", "time passes"],
            ],
        ),
        (
            ForgetsOldLeases,
            &[
                &ASSIGNED,
                &["the leader crashes", "the next leader is elected at once"],
                &ANSWERED,
            ],
        ),
        (
            AnswersWithoutRecheck,
            &[
                &ASSIGNED,
                &ANSWERED[..2],
                &REVOKED,
                &["the leader renews its lease", "time passes"],
            ],
        ),
        (
            OmitsLastAnswer,
            &[
                &ASSIGNED,
                &ANSWERED,
                &REVOKED,
                &["the leader renews its lease", "time passes"],
            ],
        ),
        (
            ExpiresOwnedWorkers,
            &[&ASSIGNED, &ANSWERED, &["the leader renews its lease"]],
        ),
        (
            SendsChangesOnce,
            &[&ASSIGNED, &REASSIGNED, &RENEWED, &RENEWED, &["time passes"]],
        ),
    ];
    for (mistake, parts) in cases {
        let history = parts.concat();
        let search = |mistake, limit| explore(replay(SystemState::new(mistake), &history), limit);
        search(None, 60_000).unwrap_or_else(|h| panic!("{h:#?}"));
        match search(*mistake, 900_000) {
            Ok(depth) => panic!("{mistake:?} is not found within {depth} steps"),
            Err(found) => println!("{mistake:?}: {found:?}"),
        }
    }
}
