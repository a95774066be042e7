//! Every interleaving of a small world, with both sides' own code in it.
//!
//! One leader after another, two shard owners, one worker that reports to either. Statements and
//! grants are late, lost or doubled; shard owners stand still between reading a report and answering
//! it, and start anew; leaders end, and the next one is elected when the key has run out, or at
//! once if the key was removed (docs/notes/quick-restarts.md).
//!
//! The properties: never two shard owners may answer the worker under one token; and when a leader
//! takes the worker's lease for over, it is over. Planted mistakes must each be found.

use copperfield_model_checker::{after, effort, explore, walk};
use copperfield_sharding::{
    Assignment, HeartbeatDecision, OwnerStatus, ShardLease, ShardOwner, ShardTable,
};

/// Milliseconds a step; what the code keeps back is far less.
const STEP: u64 = 1000;
const LEASE: u64 = 3 * STEP;
const TTL: u64 = 3 * STEP;
const HORIZON: u64 = 12 * STEP;
const WORKER: u32 = 7;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mistake {
    None,
    /// A grant lasts a whole TTL, however long the leader is itself valid.
    GrantsBeyondItsValidity,
    /// The shard owner counts a grant from when it came rather than from when it asked.
    CountsFromTheGrant,
    /// A late grant is taken for the answer to the last statement.
    TakesLateGrants,
    /// The next shard owner is told before the one before has left, or surely cannot answer.
    GivesBeforeItIsLeft,
    /// The next process of a shard owner speaks as if it were the one before.
    SpeaksForItsPredecessor,
    /// A process goes on with the share of another.
    KeepsTheShareOfAnother,
    /// A leader elected at once takes the grants of the last one for ended.
    ForgetsOldGrants,
    /// A report that was read in time is answered without another look.
    AnswersWithoutAnotherLook,
    /// A shard owner that leaves a worker does not say when it last answered it.
    DoesNotSayWhenItAnswered,
    /// The lease of a worker that is held is counted from what the shard owner last told.
    CountsWhatIsHeld,
    /// Changes that went out with a lost grant are not sent again.
    SendsChangesOnce,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Leader {
    token: u64,
    valid_until: u64,
    shares: ShardTable,
    /// The last answer that any shard owner told of.
    forwarded: u64,
    over: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ControllerInfo {
    shard_owner: ShardOwner,
    process: u64,
    /// A report that was read, and whether it is about to be answered.
    report: Option<(u64, Option<u64>)>,
    /// With the last answer before each.
    statements: Vec<(OwnerStatus, Option<u64>)>,
    answered: Option<u64>,
    grants: Vec<ShardLease>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    mistake: Mistake,
    now: u64,
    leader: Option<Leader>,
    /// When the last leader's validity, and so its key, ends.
    key_ends: u64,
    token: u64,
    controllers: Vec<ControllerInfo>,
    /// The worker counts its lease from here.
    leased_from: u64,
    holds_tasks: bool,
    seen: u64,
    /// Under way to it: the token and when the answered report was sent.
    answers: Vec<(u64, u64)>,
    ends: u8,
    doubles: u8,
    statements: u8,
    reports: u8,
    moves: u8,
}

impl World {
    fn new(mistake: Mistake) -> Self {
        let controller = |process| ControllerInfo {
            shard_owner: ShardOwner::new(process),
            process,
            report: None,
            statements: Vec::new(),
            answered: None,
            grants: Vec::new(),
        };
        let mut world = Self {
            mistake,
            now: 0,
            leader: None,
            key_ends: 0,
            token: 0,
            controllers: vec![controller(1), controller(2)],
            leased_from: 0,
            holds_tasks: true,
            seen: 0,
            answers: Vec::new(),
            ends: 2,
            doubles: 1,
            statements: 6,
            reports: 4,
            moves: 3,
        };
        world.elect(0);
        world
    }

    fn elect(&mut self, old_until: u64) {
        self.token += 1;
        self.key_ends = self.now + TTL;
        let mut shares = ShardTable::new(self.token, 2);
        shares.add(WORKER, self.now.max(old_until));
        self.leader = Some(Leader {
            token: self.token,
            valid_until: self.now + TTL,
            shares,
            forwarded: self.now,
            over: false,
        });
    }

    fn valid(&self) -> Option<&Leader> {
        self.leader.as_ref().filter(|l| self.now < l.valid_until)
    }

    fn hears(&mut self, n: usize, (mut said, answered): (OwnerStatus, Option<u64>)) {
        let now = self.now;
        let mistake = self.mistake;
        if self.valid().is_none() {
            return;
        }
        let leader = self.leader.as_mut().expect("valid");
        if mistake == Mistake::DoesNotSayWhenItAnswered {
            said.left.iter_mut().for_each(|l| l.answered = None);
        }
        let for_ms = match mistake {
            Mistake::GrantsBeyondItsValidity => TTL,
            _ => leader.valid_until - now,
        };
        leader.forwarded = leader.forwarded.max(answered.unwrap_or(0));
        if mistake == Mistake::SendsChangesOnce && said.token > 0 {
            said.version = u64::MAX;
        }
        if let Some(mut shard_lease) = leader.shares.take(now, n as u32, &said, for_ms) {
            if mistake == Mistake::KeepsTheShareOfAnother {
                shard_lease.base = 0;
            }
            self.controllers[n].grants.push(shard_lease);
        }
    }

    fn gets(&mut self, n: usize, mut shard_lease: ShardLease) {
        let now = self.now;
        let controller = &mut self.controllers[n];
        match self.mistake {
            Mistake::CountsFromTheGrant => {
                let mut fresh = controller.shard_owner.clone();
                let asked = fresh.state(now, 9).number;
                if shard_lease.process == controller.process && asked > shard_lease.number {
                    shard_lease.number = asked;
                    controller.shard_owner = fresh;
                }
            }
            Mistake::TakesLateGrants if shard_lease.process == controller.process => {
                let mut last = controller.shard_owner.clone();
                shard_lease.number = last.state(now, 9).number - 1;
            }
            _ => {}
        }
        controller.shard_owner.granted(&shard_lease);
    }

    fn may_answer(&self, n: usize) -> Option<u64> {
        match self.controllers[n].shard_owner.decide(WORKER, self.now) {
            HeartbeatDecision::Answer(token) => Some(token),
            _ => None,
        }
    }
}

macro_rules! of {
    ($controller:expr, $what:literal) => {
        [concat!("node 0 ", $what), concat!("node 1 ", $what)][$controller]
    };
}

impl copperfield_model_checker::World for World {
    fn next(&self) -> Vec<(&'static str, World)> {
        let mut all = Vec::new();
        let mut then = |what, f: &dyn Fn(&mut World) -> bool| {
            let mut w = self.clone();
            if f(&mut w) {
                all.push((what, w));
            }
        };
        let mistake = self.mistake;
        then("time passes", &|w| {
            w.now += STEP;
            let (now, valid) = (w.now, w.valid().is_some());
            if let Some(l) = w.leader.as_mut().filter(|_| valid) {
                l.shares.tick(now);
            }
            now <= HORIZON
        });
        then("the leader renews", &|w| {
            let until = w.now + TTL;
            let fresh = w.valid().is_some_and(|l| l.valid_until < until);
            if let Some(l) = w.leader.as_mut().filter(|_| fresh) {
                l.valid_until = until;
                w.key_ends = until;
            }
            fresh
        });
        then("the leader ends", &|w| {
            w.ends = w.ends.wrapping_sub(1);
            w.leader.take().is_some() && w.ends < 9
        });
        then("the next is elected", &|w| {
            let free = w.leader.is_none() && w.now >= w.key_ends;
            if free {
                w.elect(w.now);
            }
            free
        });
        then("the next is elected at once", &|w| {
            let free = w.leader.is_none() && w.now < w.key_ends;
            if free {
                let old_until = match mistake {
                    Mistake::ForgetsOldGrants => w.now,
                    _ => w.now + TTL,
                };
                w.elect(old_until);
            }
            free
        });
        then("nobody is to have the worker", &|w| {
            let valid = w.valid().is_some() && w.moves > 0;
            let Some(l) = w.leader.as_mut().filter(|_| valid) else {
                return false;
            };
            w.moves -= 1;
            let before = l.shares.clone();
            l.shares.want(WORKER, None);
            before != l.shares
        });
        for n in 0..2 {
            then(of!(n, "is to have the worker"), &|w| {
                if w.valid().is_none() || w.moves == 0 {
                    return false;
                }
                w.moves -= 1;
                let l = w.leader.as_mut().expect("valid");
                let before = l.shares.clone();
                l.shares.want(WORKER, Some(n as u32));
                if mistake == Mistake::GivesBeforeItIsLeft {
                    l.shares.tick(u64::MAX / 2);
                }
                before != l.shares
            });
            then(of!(n, "states"), &|w| {
                let now = w.now;
                let controller = &mut w.controllers[n];
                if w.statements == 0 || controller.statements.len() == 2 {
                    return false;
                }
                w.statements -= 1;
                let said = controller.shard_owner.state(now, 3);
                controller.statements.push((said, controller.answered));
                true
            });
            then(of!(n, "starts anew"), &|w| {
                w.ends = w.ends.wrapping_sub(1);
                let controller = &mut w.controllers[n];
                if mistake != Mistake::SpeaksForItsPredecessor {
                    controller.process += 2;
                }
                controller.shard_owner = ShardOwner::new(controller.process);
                if mistake == Mistake::SpeaksForItsPredecessor {
                    // Or its statements would be taken for old ones.
                    for _ in 0..8 {
                        controller.shard_owner.state(0, 1);
                    }
                }
                controller.report = None;
                controller.answered = None;
                w.ends < 9
            });
            then(of!(n, "reads a report"), &|w| {
                let now = w.now;
                if w.reports == 0 || w.controllers[n].report.is_some() {
                    return false;
                }
                w.reports -= 1;
                if now >= w.leased_from + LEASE {
                    w.leased_from = now;
                    w.holds_tasks = false;
                    w.answers.clear();
                }
                let may = w.may_answer(n);
                w.controllers[n].report = Some((now, may));
                may.is_some()
            });
            then(of!(n, "answers"), &|w| {
                let now = w.now;
                let controller = &mut w.controllers[n];
                let Some((came, Some(token))) = controller.report.take() else {
                    return false;
                };
                let may = controller.shard_owner.answers(WORKER, came, now);
                if may || mistake == Mistake::AnswersWithoutAnotherLook {
                    controller.answered = Some(came);
                    w.answers.push((token, came));
                }
                true
            });
            for i in 0..self.controllers[n].statements.len() {
                let heard = match i {
                    0 => of!(n, "is heard"),
                    _ => of!(n, "is heard before what it said first"),
                };
                then(heard, &|w| {
                    let said = w.controllers[n].statements.remove(i);
                    w.hears(n, said);
                    true
                });
                then(of!(n, "is heard, and will be again"), &|w| {
                    w.doubles = w.doubles.wrapping_sub(1);
                    let said = w.controllers[n].statements[i].clone();
                    w.hears(n, said);
                    w.doubles < 9
                });
            }
            for i in 0..self.controllers[n].grants.len() {
                then(of!(n, "gets a grant"), &|w| {
                    let shard_lease = w.controllers[n].grants.remove(i);
                    w.gets(n, shard_lease);
                    true
                });
                then(of!(n, "never gets a grant"), &|w| {
                    w.controllers[n].grants.remove(i);
                    true
                });
            }
        }
        for i in 0..self.answers.len() {
            then("an answer arrives", &|w| {
                let (token, sent) = w.answers.remove(i);
                if token >= w.seen && w.now < w.leased_from + LEASE {
                    w.seen = token;
                    w.leased_from = w.leased_from.max(sent);
                }
                true
            });
        }
        then("the lease is taken for over", &|w| {
            let now = w.now;
            if w.valid().is_none() {
                return false;
            }
            let l = w.leader.as_mut().expect("valid");
            let held = matches!(l.shares.place(WORKER), Some(Assignment::Held { .. }));
            let since = match mistake {
                Mistake::CountsWhatIsHeld if held => Some(l.forwarded),
                _ => l.shares.unanswered_since(WORKER),
            };
            let over = since.is_some_and(|at| now >= at + LEASE) && !l.over;
            l.over = over;
            over
        });
        all
    }

    fn broken(&self) -> bool {
        let over = self.valid().is_some_and(|l| l.over);
        let lost = over && self.holds_tasks && self.now < self.leased_from + LEASE;
        let both = self.may_answer(0).is_some() && self.may_answer(0) == self.may_answer(1);
        lost || both
    }
}

const GIVEN: [&str; 4] = [
    "node 0 is to have the worker",
    "node 0 states",
    "node 0 is heard",
    "node 0 gets a grant",
];
/// Node 0 is asked to give the worker to node 1.
const MOVES: [&str; 1] = ["node 1 is to have the worker"];
/// Node 0 answers a second later.
const ANSWERS: [&str; 4] = [
    "time passes",
    "node 0 reads a report",
    "node 0 answers",
    "an answer arrives",
];
/// The worker is taken back from node 0, which says that it has left it.
const TAKEN_BACK: [&str; 6] = [
    "nobody is to have the worker",
    "node 0 states",
    "node 0 is heard",
    "node 0 gets a grant",
    "node 0 states",
    "node 0 is heard",
];
/// Node 0 asks for its grant to be renewed, and has it.
const RENEWED: [&str; 5] = [
    "time passes",
    "the leader renews",
    "node 0 states",
    "node 0 is heard",
    "node 0 gets a grant",
];

/// A grant that was asked for at 1 is under way at 3, and node 0 has answered until then.
const LATE: [&str; 16] = [
    "node 0 is to have the worker",
    "node 0 states",
    "node 0 is heard",
    "node 0 gets a grant",
    "time passes",
    "node 0 reads a report",
    "node 0 answers",
    "an answer arrives",
    "the leader renews",
    "node 0 states",
    "node 0 is heard",
    "time passes",
    "node 0 reads a report",
    "node 0 answers",
    "an answer arrives",
    "time passes",
];
/// The leader ends, the next is elected when the key has run out, and a second passes.
const NEXT: [&str; 5] = [
    "the leader ends",
    "time passes",
    "the next is elected",
    "time passes",
    "the leader renews",
];

#[test]
fn one_holder_answers_and_a_lease_taken_for_over_is_over() {
    let states = 150_000 * effort();
    let moves = [&GIVEN[..], &MOVES].concat();
    let back = [&GIVEN[..], &ANSWERS, &TAKEN_BACK].concat();
    for start in [&[][..], &GIVEN, &moves, &back] {
        let world = after(World::new(Mistake::None), start);
        let depth = explore(world.clone(), states as usize).unwrap_or_else(|h| panic!("{h:#?}"));
        println!(
            "after {} steps, {states} states, all of {depth} more",
            start.len()
        );
        assert!(depth >= 6, "only to a depth of {depth}");
        let walks = 10_000 * effort();
        let steps = walk(&world, walks, 80).unwrap_or_else(|h| panic!("{h:#?}"));
        println!("{walks} random histories of {steps} steps");
    }
}

/// Each from where it matters; the code as it is holds over as many states from there.
#[test]
fn each_planted_mistake_is_found() {
    use Mistake::*;
    let cases: &[(Mistake, &[&[&str]])] = &[
        (
            GrantsBeyondItsValidity,
            &[&GIVEN, &ANSWERS, &ANSWERS, &GIVEN[1..], &NEXT],
        ),
        (
            CountsFromTheGrant,
            &[&LATE, &["node 0 gets a grant"], &ANSWERS[1..], &NEXT],
        ),
        (
            TakesLateGrants,
            &[
                &LATE,
                &["node 0 states", "node 0 gets a grant"],
                &ANSWERS[1..],
                &NEXT,
            ],
        ),
        (GivesBeforeItIsLeft, &[&GIVEN, &MOVES]),
        (
            SpeaksForItsPredecessor,
            &[
                &GIVEN,
                &ANSWERS,
                &["node 0 starts anew"],
                &TAKEN_BACK,
                &["the leader renews"],
            ],
        ),
        (
            KeepsTheShareOfAnother,
            &[
                &[
                    "node 0 states",
                    "node 0 starts anew",
                    "node 0 is to have the worker",
                ],
                &["node 0 states", "node 0 is heard before what it said first"],
                &[
                    "node 0 gets a grant",
                    "node 0 is heard",
                    "node 0 never gets a grant",
                ],
                &MOVES,
                &RENEWED,
                &["time passes", "time passes"],
            ],
        ),
        (
            ForgetsOldGrants,
            &[
                &GIVEN,
                &["the leader ends", "the next is elected at once"],
                &ANSWERS,
            ],
        ),
        (
            AnswersWithoutAnotherLook,
            &[
                &GIVEN,
                &ANSWERS[..2],
                &TAKEN_BACK,
                &["the leader renews", "time passes"],
            ],
        ),
        (
            DoesNotSayWhenItAnswered,
            &[
                &GIVEN,
                &ANSWERS,
                &TAKEN_BACK,
                &["the leader renews", "time passes"],
            ],
        ),
        (
            CountsWhatIsHeld,
            &[&GIVEN, &ANSWERS, &["the leader renews"]],
        ),
        (
            SendsChangesOnce,
            &[&GIVEN, &MOVES, &RENEWED, &RENEWED, &["time passes"]],
        ),
    ];
    for (mistake, parts) in cases {
        let history = parts.concat();
        let search = |mistake, limit| explore(after(World::new(mistake), &history), limit);
        search(None, 60_000).unwrap_or_else(|h| panic!("{h:#?}"));
        match search(*mistake, 900_000) {
            Ok(depth) => panic!("{mistake:?} is not found in {depth} steps"),
            Err(found) => println!("{mistake:?}: {found:?}"),
        }
    }
}
