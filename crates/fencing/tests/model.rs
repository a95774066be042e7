//! Every interleaving of a small world, with the record's own code in it.
//!
//! Two controllers, one worker, one state service, the time of day. Any of these may happen at
//! any moment: a report, an answer that leaves late or is lost, a write that is carried out
//! late or never, or whose acknowledgement is lost, a crash and a restart, an outage in which
//! the other node vouches, a failover of the failover. Clocks of the two nodes are off by as
//! much as the bound allows, in opposite directions.
//!
//! The property: when a leader takes the lease of a worker that holds tasks for over, it is
//! over. All short histories are explored, breadth first; the world has too many states for all
//! long ones, so those are walked at random, seeded. Planted mistakes must each be found.

use copperfield_fencing::{FencingRecord, PageWrite, StoredPage, stamp};
use copperfield_model_checker::{after, effort, explore, walk};

/// Milliseconds a step; everything below is a multiple of it, but for what `stamp` adds.
const STEP: u64 = 1000;
const LEASE: u64 = 3 * STEP;
const TTL: u64 = 2 * STEP;
/// Bounds the time of day. A whole step, so that disregarding it shows.
const ERROR: u64 = STEP;
/// Of a process between two readings of its clocks.
const PAUSE: u64 = 2 * STEP;
const HORIZON: u64 = 9 * STEP;
const DAY: u64 = 1_000_000;
const NAME: &str = "m";

/// What may be done wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mistake {
    None,
    /// A worker is answered when its removal has been sent, not when it is acknowledged.
    AnswersBeforeTheAcknowledgement,
    /// Only what is known to be stored is held back, not a write without an answer.
    ForgetsALostWrite,
    /// The reader takes all clocks for true.
    DisregardsTheClocks,
    /// A node that has vouched counts on the record all the same.
    DisregardsItsWord,
    /// One that led on the other's word, and leads again, remembers only words it gave.
    /// This program did so until this model found it.
    ForgetsWhatItDidOnTheWord,
    /// One that restarts takes it that it had not vouched.
    ForgetsItsWordInARestart,
    /// The next leader does not take the promise over.
    DropsThePromise,
    /// A write of an earlier leader is carried out after the next has read the record.
    DoesNotGuardByTheLeaderKey,
    /// The writer reads the time of day first and the age after a pause.
    StampsBeforeThePause,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Leader {
    node: usize,
    /// Valid until then; renewed or on the other node's word.
    valid_until: u64,
    lease_extended_until: u64,
    record: FencingRecord,
    /// Last answer to the worker, the election if there was none.
    answered: u64,
    /// Taken for over, and given to somebody else.
    over: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    mistake: Mistake,
    now: u64,
    /// The worker counts its lease from here.
    leased_from: u64,
    /// Whether its session holds tasks: a new one holds none until it is answered.
    holds_tasks: bool,
    /// An answer that was decided and has not left yet, or is under way: the report's time.
    answer: Option<u64>,
    leader: Option<Leader>,
    /// Since when there is none; the key has ended.
    key_ends: u64,
    /// Until when each node's word may be acted on, as far as it knows.
    word: [u64; 2],
    outage: bool,
    /// What is stored: version, and the stamp of the worker if it is named.
    stored: (u64, Option<u64>),
    /// The write that is out, with its stamp; its leader waits for the end of it.
    out: Option<(PageWrite, Option<u64>)>,
    /// One that was given up and may still be carried out.
    late: Option<(u8, u64, Option<u64>)>,
    /// Of the leader key: what was sent under an earlier one fails.
    token: u8,
    /// An acknowledgement that has not arrived yet.
    ack: Option<u64>,
    left: ReleasedWorker,
}

/// How often what costs many states may happen.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ReleasedWorker {
    crashes: u8,
    outages: u8,
    losses: u8,
    reports: u8,
    writes: u8,
}

impl World {
    fn new(mistake: Mistake) -> Self {
        Self {
            mistake,
            now: 0,
            leased_from: 0,
            holds_tasks: true,
            answer: None,
            leader: None,
            key_ends: 0,
            word: [0; 2],
            outage: false,
            stored: (0, None),
            out: None,
            late: None,
            token: 0,
            ack: None,
            left: ReleasedWorker {
                crashes: 2,
                outages: 1,
                losses: 2,
                reports: 3,
                writes: 6,
            },
        }
    }

    /// A node's time of day: one is ahead, the other behind.
    fn day(&self, node: usize) -> u64 {
        DAY + self.now + if node == 0 { ERROR } else { 0 } - if node == 1 { ERROR } else { 0 }
    }

    fn elect(&mut self, node: usize, mistake: Mistake) {
        let (version, stamped) = self.stored;
        let error = match mistake {
            Mistake::DisregardsTheClocks => 0,
            _ => ERROR,
        };
        let mut record = FencingRecord::new(1000);
        let mut answered = self.now;
        if let Some(at) = stamped {
            let age = stamp::age(at, self.day(node), error);
            answered = self.now.saturating_sub(age);
            if mistake != Mistake::DisregardsItsWord {
                answered = answered.max(self.word[node]);
            }
        }
        if version > 0 {
            let named = stamped.filter(|_| mistake != Mistake::DropsThePromise);
            let entries = named.map(|_| (NAME.to_string(), answered));
            let page = StoredPage {
                page: 0,
                version,
                entries: Some(entries.into_iter().collect()),
            };
            record.restore(page, 0);
        }
        self.leader = Some(Leader {
            node,
            valid_until: self.now + TTL,
            lease_extended_until: 0,
            record,
            answered,
            over: false,
        });
        if let Some((page, at)) = self.out.take() {
            self.late = Some((self.token, page.version, at));
        }
        self.token += 1;
        self.ack = None;
    }

    /// Stored if nothing has come between, as the guard has it.
    fn apply(&mut self, version: u64, at: Option<u64>) -> bool {
        let fits = self.stored.0 == version;
        if fits {
            self.stored = (version + 1, at);
        }
        fits
    }

    /// Read back, and tried again under the version found.
    fn lose(&mut self) -> bool {
        let version = self.stored.0;
        let l = self.leader.as_mut().expect("looked at");
        l.record.again(0, version, 0);
        self.left.losses = self.left.losses.wrapping_sub(1);
        self.left.losses < 9
    }

    fn send(&mut self, pause: u64, mistake: Mistake) -> bool {
        if self.out.is_some() || self.ack.is_some() || self.late.is_some() {
            return false;
        }
        let before = self.now;
        let Some(l) = &mut self.leader else {
            return false;
        };
        if self.now >= l.valid_until || self.left.writes == 0 {
            return false;
        }
        self.left.writes -= 1;
        let Some(write) = l.record.writes(before, 1).pop() else {
            return false;
        };
        let node = l.node;
        let early = self.day(node);
        self.now += pause;
        let (aged, day) = match mistake {
            Mistake::StampsBeforeThePause => (self.now, early),
            _ => (before, self.day(node)),
        };
        let age = |at: &u64| aged.saturating_sub(*at);
        let at = write
            .entries
            .first()
            .map(|(_, at)| stamp::of_age(age(at), day));
        self.out = Some((write, at));
        true
    }
}

impl copperfield_model_checker::World for World {
    fn next(&self) -> Vec<(&'static str, World)> {
        let mistake = self.mistake;
        let mut all = Vec::new();
        let mut then = |what, f: &dyn Fn(&mut World) -> bool| {
            let mut w = self.clone();
            if f(&mut w) {
                all.push((what, w));
            }
        };
        let valid = |w: &World| w.leader.as_ref().is_some_and(|l| w.now < l.valid_until);
        then("time passes", &|w| {
            w.now += STEP;
            w.now <= HORIZON
        });
        then("the leader renews", &|w| {
            let now = w.now;
            let Some(l) = w.leader.as_mut().filter(|_| !w.outage) else {
                return false;
            };
            let fresh = now < w.key_ends && l.valid_until < now + TTL;
            l.valid_until = now + TTL;
            w.key_ends = now + TTL;
            fresh
        });
        for node in 0..2 {
            then(["node 0 is elected", "node 1 is elected"][node], &|w| {
                let free = !w.outage && w.now >= w.key_ends && w.now >= w.word[node];
                let other = w.leader.as_ref().is_none_or(|l| l.node != node);
                if free && other {
                    w.key_ends = w.now + TTL;
                    w.elect(node, mistake);
                }
                free && other
            });
        }
        then("the leader crashes", &|w| {
            let Some(l) = w.leader.take() else {
                return false;
            };
            let token = w.token;
            let out = w.out.take().map(|(p, at)| (token, p.version, at));
            w.late = out.or(w.late);
            w.ack = None;
            w.left.crashes = w.left.crashes.wrapping_sub(1);
            // It starts anew, and may have vouched just before.
            w.word[l.node] = w.now + TTL;
            w.left.crashes < 9
        });
        then("the leader gives the lead up", &|w| {
            w.key_ends = w.now;
            w.ack = None;
            let token = w.token;
            let out = w.out.take().map(|(p, at)| (token, p.version, at));
            w.late = out.or(w.late);
            w.left.crashes = w.left.crashes.wrapping_sub(1);
            w.leader.take().is_some() && w.left.crashes < 9
        });
        then("the follower restarts", &|w| {
            let Some(l) = &w.leader else { return false };
            let forgotten = match mistake {
                Mistake::ForgetsItsWordInARestart => w.now,
                _ => w.now + TTL,
            };
            w.word[1 - l.node] = forgotten;
            w.left.crashes = w.left.crashes.wrapping_sub(1);
            w.left.crashes < 9
        });
        then("an outage begins", &|w| {
            w.outage = true;
            w.left.outages = w.left.outages.wrapping_sub(1);
            w.left.outages < 9
        });
        then("the outage ends", &|w| {
            // Every lease has its full time again.
            w.key_ends = w.now + TTL;
            std::mem::take(&mut w.outage)
        });
        then("the follower vouches", &|w| {
            let now = w.now;
            let Some(l) = w.leader.as_mut().filter(|_| w.outage) else {
                return false;
            };
            let may = now < l.valid_until && l.lease_extended_until < now + TTL;
            l.valid_until = l.valid_until.max(now + TTL);
            l.lease_extended_until = now + TTL;
            w.word[1 - l.node] = now + TTL;
            if mistake != Mistake::ForgetsWhatItDidOnTheWord {
                w.word[l.node] = now + TTL;
            }
            may
        });
        then("a report comes", &|w| {
            let now = w.now;
            if !valid(w) || w.left.reports == 0 {
                return false;
            }
            w.left.reports -= 1;
            let l = w.leader.as_mut().expect("valid");
            if now >= w.leased_from + LEASE {
                w.leased_from = now;
                w.holds_tasks = false;
                w.answer = None;
            }
            if l.over && w.holds_tasks {
                // Of a session that was taken for over: refused.
                return true;
            }
            // What is due is due at once, so that moments past make no states of their own.
            l.record.heard(NAME, 0);
            let free = match mistake {
                Mistake::AnswersBeforeTheAcknowledgement => l.record.names().next().is_none(),
                Mistake::ForgetsALostWrite => w.stored.1.is_none(),
                _ => !l.record.holds(NAME),
            };
            if free || now < l.lease_extended_until {
                l.answered = now;
                w.answer = Some(now);
                l.over = false;
                w.holds_tasks = true;
            }
            true
        });
        then("the answer arrives", &|w| {
            let Some(sent) = w.answer.take() else {
                return false;
            };
            // The worker counts from when it sent the report, and drops what comes too late.
            if w.now < w.leased_from + LEASE {
                w.leased_from = sent.max(w.leased_from);
            }
            true
        });
        then("the worker is put on the record", &|w| {
            if !valid(w) {
                return false;
            }
            let l = w.leader.as_mut().expect("valid");
            l.record.silent(NAME, l.answered, 0);
            *self != *w
        });
        then("a write leaves", &|w| w.send(0, mistake));
        then("a write leaves after a pause", &|w| {
            w.now + PAUSE <= HORIZON && w.send(PAUSE, mistake)
        });
        then("the write is carried out", &|w| {
            let Some((page, at)) = w.out.take().filter(|_| !w.outage) else {
                return false;
            };
            if w.apply(page.version, at) {
                w.ack = Some(w.stored.0);
            } else if let Some(l) = &mut w.leader {
                // The guard fails, which is told at once.
                l.record.again(0, w.stored.0, 0);
            }
            true
        });
        then("the acknowledgement arrives", &|w| {
            let (Some(l), Some(version)) = (&mut w.leader, w.ack.take()) else {
                return false;
            };
            l.record.stored(0, version);
            true
        });
        then("the write is given up", &|w| {
            let (Some(_), Some((page, at))) = (&w.leader, w.out.take()) else {
                return false;
            };
            w.late = Some((w.token, page.version, at));
            w.lose()
        });
        then("the acknowledgement is lost", &|w| {
            w.ack.take().is_some() && w.lose()
        });
        then("a write of before is carried out", &|w| {
            let Some((token, version, at)) = w.late.take().filter(|_| !w.outage) else {
                return false;
            };
            if token == w.token || mistake == Mistake::DoesNotGuardByTheLeaderKey {
                w.apply(version, at);
            }
            true
        });
        then("the lease is taken for over", &|w| {
            let now = w.now;
            if !valid(w) {
                return false;
            }
            let l = w.leader.as_mut().expect("valid");
            let over = now >= l.answered + LEASE && !l.over;
            l.over = over;
            over
        });
        all
    }

    fn broken(&self) -> bool {
        let over = self.leader.as_ref().is_some_and(|l| l.over);
        over && self.holds_tasks && self.now < self.leased_from + LEASE
    }
}

#[test]
fn a_lease_that_is_taken_for_over_is_over() {
    let states = 150_000 * effort();
    let depth =
        explore(World::new(Mistake::None), states as usize).unwrap_or_else(|h| panic!("{h:#?}"));
    println!("{states} states, all histories of up to {depth} steps");
    assert!(depth >= 8, "only to a depth of {depth}");
    let walks = 60_000 * effort();
    let steps =
        walk(&World::new(Mistake::None), walks, usize::MAX).unwrap_or_else(|h| panic!("{h:#?}"));
    println!("{walks} random histories of {steps} steps");
}

#[test]
fn each_planted_mistake_is_found() {
    use Mistake::*;
    for mistake in [
        AnswersBeforeTheAcknowledgement,
        ForgetsALostWrite,
        DisregardsTheClocks,
        DisregardsItsWord,
        DropsThePromise,
        DoesNotGuardByTheLeaderKey,
        StampsBeforeThePause,
    ] {
        let found = walk(&World::new(mistake), 400_000, usize::MAX);
        let history = found.expect_err(&format!("{mistake:?} is not found"));
        println!("{mistake:?}: {} steps", history.len());
    }
}

/// Too long histories to be met at random, from where they become interesting.
#[test]
fn words_are_remembered_over_restarts_and_by_those_who_acted_on_them() {
    let named = [
        "node 1 is elected",
        "the worker is put on the record",
        "a write leaves",
        "the write is carried out",
        "time passes",
    ];
    let acts_itself = [
        "time passes",
        "node 0 is elected",
        "an outage begins",
        "the follower vouches",
        "the outage ends",
        "time passes",
        "a report comes",
    ];
    let restarts = [
        "an outage begins",
        "the follower vouches",
        "the follower restarts",
    ];
    for (mistake, history) in [
        (Mistake::ForgetsWhatItDidOnTheWord, &acts_itself[..]),
        (Mistake::ForgetsItsWordInARestart, &restarts[..]),
    ] {
        let history = [&named[..], history].concat();
        let search = |mistake: Mistake| explore(after(World::new(mistake), &history), 100_000);
        search(Mistake::None).unwrap_or_else(|h| panic!("{h:#?}"));
        let found = search(mistake).expect_err("found");
        println!("{mistake:?}: {found:?}");
    }
}
