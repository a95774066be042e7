//! Explores the interleavings of a small system that runs the code of both sides.
//!
//! One leader after another, two shard owners, one worker that reports to either. Statuses and leases
//! are late, lost or duplicated; shard owners pause between reading a heartbeat and answering it, and
//! restart; leaders end, and the next one is elected when the key has expired, or at once if the key
//! was removed (docs/notes/quick-restarts.md).
//!
//! The properties: never two shard owners may answer the worker under one fencing token; and when a
//! leader takes the worker's lease for expired, it is expired. Each planted mistake must be found.

use copperfield_model_checker::{effort_factor, explore, replay, walk};
use copperfield_sharding::{
    Assignment, HeartbeatDecision, OwnerStatus, ShardLease, ShardOwner, ShardTable,
};

/// The safety margins in the code are far below one step.
const STEP_MS: u64 = 1000;
const WORKER_LEASE_MS: u64 = 3 * STEP_MS;
const LEADER_TTL_MS: u64 = 3 * STEP_MS;
const HORIZON_MS: u64 = 12 * STEP_MS;
const WORKER: u32 = 7;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mistake {
    None,
    /// A lease lasts a whole TTL, however long the leader is itself valid.
    LeasesBeyondOwnValidity,
    /// The shard owner counts a lease from when it arrived rather than from when it was requested.
    CountsFromArrival,
    /// A late lease is taken for the answer to the last status.
    AcceptsLateLeases,
    /// The worker is assigned to the next owner before the last one has released it.
    AssignsBeforeRelease,
    /// A restarted shard owner sends statuses under the identity of its predecessor.
    ReusesProcessIdentity,
    /// A process keeps the shard of another one.
    KeepsShardOfOtherProcess,
    /// A leader elected at once takes the leases of the last one for expired.
    ForgetsOldLeases,
    /// A heartbeat that was read in time is answered without checking the lease again.
    AnswersWithoutRecheck,
    /// A release does not carry the time of the last answer.
    OmitsLastAnswer,
    /// The lease of an owned worker is counted from the last answer that its owner reported.
    ExpiresOwnedWorkers,
    /// Changes in a lost lease are not sent again.
    SendsChangesOnce,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Leader {
    token: u64,
    valid_until: u64,
    table: ShardTable,
    /// The last answer that any shard owner reported.
    last_reported_answer: u64,
    lease_expired: bool,
}

/// A heartbeat that was read and is not answered yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingHeartbeat {
    received_at: u64,
    /// The token under which it is about to be answered.
    token: Option<u64>,
}

/// A status on its way, with the last answer before it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SentStatus {
    status: OwnerStatus,
    last_answer: Option<u64>,
}

/// An answer on its way to the worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Answer {
    token: u64,
    /// When the heartbeat that it answers was sent.
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

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    mistake: Mistake,
    now: u64,
    leader: Option<Leader>,
    /// When the last leader's validity, and so its key, ends.
    key_expires_at: u64,
    token: u64,
    controllers: Vec<Controller>,
    /// The worker counts its lease from here.
    leased_from: u64,
    holds_tasks: bool,
    /// The highest token that the worker has seen.
    token_seen: u64,
    answers: Vec<Answer>,
    crashes_left: u8,
    duplicates_left: u8,
    statuses_left: u8,
    heartbeats_left: u8,
    reassignments_left: u8,
}

impl World {
    fn new(mistake: Mistake) -> Self {
        let controller = |process| Controller {
            shard_owner: ShardOwner::new(process),
            process,
            heartbeat: None,
            statuses: Vec::new(),
            last_answer: None,
            leases: Vec::new(),
        };
        let mut world = Self {
            mistake,
            now: 0,
            leader: None,
            key_expires_at: 0,
            token: 0,
            controllers: vec![controller(1), controller(2)],
            leased_from: 0,
            holds_tasks: true,
            token_seen: 0,
            answers: Vec::new(),
            crashes_left: 2,
            duplicates_left: 1,
            statuses_left: 6,
            heartbeats_left: 4,
            reassignments_left: 3,
        };
        world.elect(0);
        world
    }

    fn elect(&mut self, old_leases_end: u64) {
        self.token += 1;
        self.key_expires_at = self.now + LEADER_TTL_MS;
        let mut table = ShardTable::new(self.token, 2);
        table.add(WORKER, self.now.max(old_leases_end));
        self.leader = Some(Leader {
            token: self.token,
            valid_until: self.now + LEADER_TTL_MS,
            table,
            last_reported_answer: self.now,
            lease_expired: false,
        });
    }

    fn valid_leader(&self) -> Option<&Leader> {
        self.leader.as_ref().filter(|l| self.now < l.valid_until)
    }

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
        let leader = self.leader.as_mut().expect("valid");
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

    fn deliver_lease(&mut self, n: usize, mut lease: ShardLease) {
        let now = self.now;
        let controller = &mut self.controllers[n];
        match self.mistake {
            Mistake::CountsFromArrival => {
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

    fn answering_token(&self, n: usize) -> Option<u64> {
        match self.controllers[n].shard_owner.decide(WORKER, self.now) {
            HeartbeatDecision::Answer(token) => Some(token),
            _ => None,
        }
    }
}

/// The name of an action of one of the two controllers.
macro_rules! of {
    ($controller:expr, $action:literal) => {
        [
            concat!("controller 0 ", $action),
            concat!("controller 1 ", $action),
        ][$controller]
    };
}

/// The worlds that one action leads to.
struct Successors<'a> {
    world: &'a World,
    found: Vec<(&'static str, World)>,
}

impl Successors<'_> {
    /// Adds the world after this action, unless it is impossible now.
    fn then(&mut self, action: &'static str, apply: impl Fn(&mut World) -> bool) {
        let mut world = self.world.clone();
        if apply(&mut world) {
            self.found.push((action, world));
        }
    }

    /// Time passes; the leader renews, ends, is elected, or revokes the worker.
    fn add_leader_actions(&mut self) {
        let mistake = self.world.mistake;
        self.then("time passes", |w| {
            w.now += STEP_MS;
            let (now, valid) = (w.now, w.valid_leader().is_some());
            if let Some(l) = w.leader.as_mut().filter(|_| valid) {
                l.table.expire_releases(now);
            }
            now <= HORIZON_MS
        });
        self.then("the leader renews", |w| {
            let until = w.now + LEADER_TTL_MS;
            let renews = w.valid_leader().is_some_and(|l| l.valid_until < until);
            if let Some(l) = w.leader.as_mut().filter(|_| renews) {
                l.valid_until = until;
                w.key_expires_at = until;
            }
            renews
        });
        self.then("the leader ends", |w| {
            w.crashes_left = w.crashes_left.wrapping_sub(1);
            w.leader.take().is_some() && w.crashes_left < 9
        });
        self.then("the next is elected", |w| {
            let can_elect = w.leader.is_none() && w.now >= w.key_expires_at;
            if can_elect {
                w.elect(w.now);
            }
            can_elect
        });
        self.then("the next is elected at once", |w| {
            let can_elect = w.leader.is_none() && w.now < w.key_expires_at;
            if can_elect {
                let old_leases_end = match mistake {
                    Mistake::ForgetsOldLeases => w.now,
                    _ => w.now + LEADER_TTL_MS,
                };
                w.elect(old_leases_end);
            }
            can_elect
        });
        self.then("the worker is revoked", |w| {
            let valid = w.valid_leader().is_some() && w.reassignments_left > 0;
            let Some(l) = w.leader.as_mut().filter(|_| valid) else {
                return false;
            };
            w.reassignments_left -= 1;
            let before = l.table.clone();
            l.table.reassign(WORKER, None);
            before != l.table
        });
    }

    /// The leader assigns the worker to a controller.
    fn add_assignment(&mut self, n: usize) {
        let mistake = self.world.mistake;
        self.then(of!(n, "is assigned the worker"), |w| {
            if w.valid_leader().is_none() || w.reassignments_left == 0 {
                return false;
            }
            w.reassignments_left -= 1;
            let l = w.leader.as_mut().expect("valid");
            let before = l.table.clone();
            l.table.reassign(WORKER, Some(n as u32));
            if mistake == Mistake::AssignsBeforeRelease {
                l.table.expire_releases(u64::MAX / 2);
            }
            before != l.table
        });
    }

    /// A controller sends a status or restarts.
    fn add_process_actions(&mut self, n: usize) {
        let mistake = self.world.mistake;
        self.then(of!(n, "sends a status"), |w| {
            let now = w.now;
            let controller = &mut w.controllers[n];
            if w.statuses_left == 0 || controller.statuses.len() == 2 {
                return false;
            }
            w.statuses_left -= 1;
            let sent = SentStatus {
                status: controller.shard_owner.next_status(now, 3),
                last_answer: controller.last_answer,
            };
            controller.statuses.push(sent);
            true
        });
        self.then(of!(n, "restarts"), |w| {
            w.crashes_left = w.crashes_left.wrapping_sub(1);
            let controller = &mut w.controllers[n];
            if mistake != Mistake::ReusesProcessIdentity {
                controller.process += 2;
            }
            controller.shard_owner = ShardOwner::new(controller.process);
            if mistake == Mistake::ReusesProcessIdentity {
                // Or its statuses would be taken for old ones.
                for _ in 0..8 {
                    controller.shard_owner.next_status(0, 1);
                }
            }
            controller.heartbeat = None;
            controller.last_answer = None;
            w.crashes_left < 9
        });
    }

    /// A controller reads a heartbeat or answers it.
    fn add_heartbeat_actions(&mut self, n: usize) {
        let mistake = self.world.mistake;
        self.then(of!(n, "reads a heartbeat"), |w| {
            let now = w.now;
            if w.heartbeats_left == 0 || w.controllers[n].heartbeat.is_some() {
                return false;
            }
            w.heartbeats_left -= 1;
            if now >= w.leased_from + WORKER_LEASE_MS {
                w.leased_from = now;
                w.holds_tasks = false;
                w.answers.clear();
            }
            let token = w.answering_token(n);
            w.controllers[n].heartbeat = Some(PendingHeartbeat {
                received_at: now,
                token,
            });
            token.is_some()
        });
        self.then(of!(n, "answers"), |w| {
            let now = w.now;
            let controller = &mut w.controllers[n];
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
                w.answers.push(Answer {
                    token,
                    sent_at: received_at,
                });
            }
            true
        });
    }

    /// A status or a lease of a controller is delivered, duplicated or lost.
    fn add_deliveries(&mut self, n: usize) {
        for i in 0..self.world.controllers[n].statuses.len() {
            let action = match i {
                0 => of!(n, "has a status delivered"),
                _ => of!(n, "has a status delivered out of order"),
            };
            self.then(action, |w| {
                let sent = w.controllers[n].statuses.remove(i);
                w.deliver_status(n, sent);
                true
            });
            self.then(of!(n, "has a status duplicated"), |w| {
                w.duplicates_left = w.duplicates_left.wrapping_sub(1);
                let sent = w.controllers[n].statuses[i].clone();
                w.deliver_status(n, sent);
                w.duplicates_left < 9
            });
        }
        for i in 0..self.world.controllers[n].leases.len() {
            self.then(of!(n, "receives a lease"), |w| {
                let lease = w.controllers[n].leases.remove(i);
                w.deliver_lease(n, lease);
                true
            });
            self.then(of!(n, "loses a lease"), |w| {
                w.controllers[n].leases.remove(i);
                true
            });
        }
    }

    /// An answer reaches the worker.
    fn add_answer_arrivals(&mut self) {
        for i in 0..self.world.answers.len() {
            self.then("an answer arrives", |w| {
                let Answer { token, sent_at } = w.answers.remove(i);
                if token >= w.token_seen && w.now < w.leased_from + WORKER_LEASE_MS {
                    w.token_seen = token;
                    w.leased_from = w.leased_from.max(sent_at);
                }
                true
            });
        }
    }

    /// The leader takes the worker's lease for expired.
    fn add_lease_expiry(&mut self) {
        let mistake = self.world.mistake;
        self.then("the lease is taken for expired", |w| {
            let now = w.now;
            if w.valid_leader().is_none() {
                return false;
            }
            let l = w.leader.as_mut().expect("valid");
            let owned = matches!(l.table.assignment(WORKER), Some(Assignment::Owned { .. }));
            let since = match mistake {
                Mistake::ExpiresOwnedWorkers if owned => Some(l.last_reported_answer),
                _ => l.table.unanswered_since(WORKER),
            };
            let expired = since.is_some_and(|at| now >= at + WORKER_LEASE_MS) && !l.lease_expired;
            l.lease_expired = expired;
            expired
        });
    }
}

impl copperfield_model_checker::ModelState for World {
    fn successors(&self) -> Vec<(&'static str, World)> {
        let mut successors = Successors {
            world: self,
            found: Vec::new(),
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
        successors.found
    }

    fn violates_property(&self) -> bool {
        let expired = self.valid_leader().is_some_and(|l| l.lease_expired);
        let expired_too_early =
            expired && self.holds_tasks && self.now < self.leased_from + WORKER_LEASE_MS;
        let two_owners =
            self.answering_token(0).is_some() && self.answering_token(0) == self.answering_token(1);
        expired_too_early || two_owners
    }
}

const ASSIGNED: [&str; 4] = [
    "controller 0 is assigned the worker",
    "controller 0 sends a status",
    "controller 0 has a status delivered",
    "controller 0 receives a lease",
];
/// The worker is reassigned from controller 0 to controller 1.
const REASSIGNED: [&str; 1] = ["controller 1 is assigned the worker"];
/// Controller 0 answers a second later.
const ANSWERED: [&str; 4] = [
    "time passes",
    "controller 0 reads a heartbeat",
    "controller 0 answers",
    "an answer arrives",
];
/// The worker is revoked from controller 0, which confirms that it has released it.
const REVOKED: [&str; 6] = [
    "the worker is revoked",
    "controller 0 sends a status",
    "controller 0 has a status delivered",
    "controller 0 receives a lease",
    "controller 0 sends a status",
    "controller 0 has a status delivered",
];
/// Controller 0 requests that its lease be renewed, and receives it.
const RENEWED: [&str; 5] = [
    "time passes",
    "the leader renews",
    "controller 0 sends a status",
    "controller 0 has a status delivered",
    "controller 0 receives a lease",
];

/// A lease that was requested at 1 is still on its way at 3, and controller 0 has answered until then.
const LATE_LEASE: [&str; 16] = [
    "controller 0 is assigned the worker",
    "controller 0 sends a status",
    "controller 0 has a status delivered",
    "controller 0 receives a lease",
    "time passes",
    "controller 0 reads a heartbeat",
    "controller 0 answers",
    "an answer arrives",
    "the leader renews",
    "controller 0 sends a status",
    "controller 0 has a status delivered",
    "time passes",
    "controller 0 reads a heartbeat",
    "controller 0 answers",
    "an answer arrives",
    "time passes",
];
/// The leader ends, the next is elected when the key has expired, and a second passes.
const FAILOVER: [&str; 5] = [
    "the leader ends",
    "time passes",
    "the next is elected",
    "time passes",
    "the leader renews",
];

#[test]
fn at_most_one_owner_answers_and_leases_expire_no_earlier_than_on_the_worker() {
    let states = 150_000 * effort_factor();
    let reassigned = [&ASSIGNED[..], &REASSIGNED].concat();
    let revoked = [&ASSIGNED[..], &ANSWERED, &REVOKED].concat();
    for start in [&[][..], &ASSIGNED, &reassigned, &revoked] {
        let world = replay(World::new(Mistake::None), start);
        let depth = explore(world.clone(), states as usize).unwrap_or_else(|h| panic!("{h:#?}"));
        println!(
            "after {} steps, {states} states, all of {depth} more",
            start.len()
        );
        assert!(depth >= 6, "only to a depth of {depth}");
        let walks = 10_000 * effort_factor();
        let steps = walk(&world, walks, 80).unwrap_or_else(|h| panic!("{h:#?}"));
        println!("{walks} random histories of {steps} steps");
    }
}

/// Each from a history where it matters; the unchanged code holds from there.
#[test]
fn each_planted_mistake_is_found() {
    use Mistake::*;
    let cases: &[(Mistake, &[&[&str]])] = &[
        (
            LeasesBeyondOwnValidity,
            &[&ASSIGNED, &ANSWERED, &ANSWERED, &ASSIGNED[1..], &FAILOVER],
        ),
        (
            CountsFromArrival,
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
                &["the leader renews"],
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
                    "controller 0 has a status delivered",
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
                &["the leader ends", "the next is elected at once"],
                &ANSWERED,
            ],
        ),
        (
            AnswersWithoutRecheck,
            &[
                &ASSIGNED,
                &ANSWERED[..2],
                &REVOKED,
                &["the leader renews", "time passes"],
            ],
        ),
        (
            OmitsLastAnswer,
            &[
                &ASSIGNED,
                &ANSWERED,
                &REVOKED,
                &["the leader renews", "time passes"],
            ],
        ),
        (
            ExpiresOwnedWorkers,
            &[&ASSIGNED, &ANSWERED, &["the leader renews"]],
        ),
        (
            SendsChangesOnce,
            &[&ASSIGNED, &REASSIGNED, &RENEWED, &RENEWED, &["time passes"]],
        ),
    ];
    for (mistake, parts) in cases {
        let history = parts.concat();
        let search = |mistake, limit| explore(replay(World::new(mistake), &history), limit);
        search(None, 60_000).unwrap_or_else(|h| panic!("{h:#?}"));
        match search(*mistake, 900_000) {
            Ok(depth) => panic!("{mistake:?} is not found in {depth} steps"),
            Err(found) => println!("{mistake:?}: {found:?}"),
        }
    }
}
