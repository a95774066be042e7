//! Every interleaving of a small world, with the record's own code in it.
//!
//! Two controllers, one worker, one state service, the time of day. Any of these may happen at
//! any moment: a heartbeat, an answer that leaves late or is lost, a write that is carried out
//! late or never, or whose acknowledgement is lost, a crash and a restart, an outage in which the
//! other controller votes for a lease extension, a failover during a failover. Clocks of the two
//! controllers are off by as much as the bound allows, in opposite directions.
//!
//! The property: when a leader takes the lease of a worker that holds tasks for expired, it is
//! expired. All short histories are explored, breadth first; the world has too many states for all
//! long ones, so those are walked at random, seeded. Planted mistakes must each be found.

use copperfield_fencing::{FencedEntry, FencingRecord, PageWrite, StoredPage, timestamp};
use copperfield_model_checker::{effort_factor, explore, replay, walk};

/// Milliseconds a step; everything below is a multiple of it, but for what `timestamp` adds.
const STEP: u64 = 1000;
/// Of a worker.
const LEASE: u64 = 3 * STEP;
/// Of the leader key.
const TTL: u64 = 2 * STEP;
/// Bounds the time of day. A whole step, so that disregarding it shows.
const CLOCK_ERROR: u64 = STEP;
/// Of a process between two readings of its clocks.
const PAUSE: u64 = 2 * STEP;
const HORIZON: u64 = 9 * STEP;
const DAY: u64 = 1_000_000;
const WORKER: &str = "m";
/// The record's only page.
const PAGE: u32 = 0;
const PAGE_BYTES: usize = 1000;

/// What may be done wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mistake {
    None,
    /// A worker is answered when its removal has been sent, not when it is acknowledged.
    AnswersBeforeTheAcknowledgement,
    /// Only what is known to be stored fences, not a write without an answer.
    ForgetsALostWrite,
    /// The reader disregards the error of all clocks.
    DisregardsTheClocks,
    /// A controller that has voted for a lease extension counts on the record all the same.
    DisregardsItsVote,
    /// One that led by the other's vote, and leads again, remembers only votes of its own. This
    /// program did so until this model found it.
    ForgetsItsExtendedLease,
    /// One that restarts takes it that it had not voted.
    ForgetsItsVoteInARestart,
    /// The next leader does not restore whom the record fences.
    DropsFencedWorkers,
    /// A write of an earlier leader is carried out after the next has read the record.
    DoesNotGuardByTheLeaderKey,
    /// The writer reads the time of day first and the age after a pause.
    ReadsTheClockBeforeThePause,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Leader {
    controller: usize,
    /// Valid until then; renewed or extended by the other controller's vote.
    valid_until: u64,
    lease_extended_until: u64,
    record: FencingRecord,
    /// Last answer to the worker, the election if there was none.
    answered_at: u64,
    /// The worker's lease was taken for expired, and its tasks were given to somebody else.
    expired_worker: bool,
}

/// The stored page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Stored {
    version: u64,
    /// Of the worker, if it is named.
    timestamp: Option<u64>,
}

/// A write that waits for its end, with the worker's timestamp if it names it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct InFlight {
    page: PageWrite,
    timestamp: Option<u64>,
}

/// A write whose sender waits for it no more, and that may still be carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Abandoned {
    /// Of the leader key when it was sent.
    token: u8,
    version: u64,
    timestamp: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    mistake: Mistake,
    now: u64,
    /// The worker counts its lease from here.
    leased_from: u64,
    /// Whether its incarnation holds tasks: a new one holds none until it is answered.
    holds_tasks: bool,
    /// An answer that was decided and has not left yet, or is under way: the heartbeat's time.
    answer: Option<u64>,
    leader: Option<Leader>,
    /// When the leader key ends, if nobody renews it.
    key_ends: u64,
    /// Until when each controller's vote may be acted on, as far as it knows.
    vote_binding_until: [u64; 2],
    outage: bool,
    stored: Stored,
    in_flight: Option<InFlight>,
    abandoned: Option<Abandoned>,
    /// Of the leader key: what was sent under an earlier one fails.
    token: u8,
    /// The version in an acknowledgement that has not arrived yet.
    acknowledgement: Option<u64>,
    remaining: Remaining,
}

/// How often what costs many states may still happen.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Remaining {
    crashes: u8,
    outages: u8,
    losses: u8,
    heartbeats: u8,
    writes: u8,
}

/// Takes one away; false if there was none.
fn spend(remaining: &mut u8) -> bool {
    let any = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    any
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
            vote_binding_until: [0; 2],
            outage: false,
            stored: Stored {
                version: 0,
                timestamp: None,
            },
            in_flight: None,
            abandoned: None,
            token: 0,
            acknowledgement: None,
            remaining: Remaining {
                crashes: 2,
                outages: 1,
                losses: 2,
                heartbeats: 3,
                writes: 6,
            },
        }
    }

    /// A controller's time of day: one is ahead, the other behind.
    fn time_of_day(&self, controller: usize) -> u64 {
        match controller {
            0 => DAY + self.now + CLOCK_ERROR,
            _ => DAY + self.now - CLOCK_ERROR,
        }
    }

    fn valid_leader(&mut self) -> Option<&mut Leader> {
        let now = self.now;
        self.leader.as_mut().filter(|l| now < l.valid_until)
    }

    // ---- time and leaders ----

    fn pass_time(&mut self) -> bool {
        self.now += STEP;
        self.now <= HORIZON
    }

    fn renew(&mut self) -> bool {
        let now = self.now;
        let Some(leader) = self.leader.as_mut().filter(|_| !self.outage) else {
            return false;
        };
        let useful = now < self.key_ends && leader.valid_until < now + TTL;
        leader.valid_until = now + TTL;
        self.key_ends = now + TTL;
        useful
    }

    fn campaign(&mut self, controller: usize) -> bool {
        let free = self.now >= self.key_ends && self.now >= self.vote_binding_until[controller];
        let follows = self
            .leader
            .as_ref()
            .is_none_or(|l| l.controller != controller);
        if self.outage || !free || !follows {
            return false;
        }
        self.key_ends = self.now + TTL;
        self.elect(controller);
        true
    }

    fn elect(&mut self, controller: usize) {
        let (record, answered_at) = self.read_record(controller);
        self.leader = Some(Leader {
            controller,
            valid_until: self.now + TTL,
            lease_extended_until: 0,
            record,
            answered_at,
            expired_worker: false,
        });
        if self.in_flight.is_some() {
            self.abandon_write();
        }
        self.token += 1;
        self.acknowledgement = None;
    }

    /// What a new leader starts from: the record, and when the worker was last answered.
    fn read_record(&self, controller: usize) -> (FencingRecord, u64) {
        let Stored { version, timestamp } = self.stored;
        let mut answered_at = self.now;
        if let Some(timestamp) = timestamp {
            let error = match self.mistake {
                Mistake::DisregardsTheClocks => 0,
                _ => CLOCK_ERROR,
            };
            let age = timestamp::min_age(timestamp, self.time_of_day(controller), error);
            answered_at = self.now.saturating_sub(age);
            if self.mistake != Mistake::DisregardsItsVote {
                answered_at = answered_at.max(self.vote_binding_until[controller]);
            }
        }
        let mut record = FencingRecord::new(PAGE_BYTES);
        if version > 0 {
            let named = timestamp.filter(|_| self.mistake != Mistake::DropsFencedWorkers);
            let entry = named.map(|_| FencedEntry {
                worker: WORKER.to_string(),
                answered_at_ms: answered_at,
            });
            let page = StoredPage {
                page: PAGE,
                version,
                entries: Some(entry.into_iter().collect()),
            };
            record.restore(page, 0);
        }
        (record, answered_at)
    }

    fn crash_leader(&mut self) -> bool {
        let Some(leader) = self.leader.take() else {
            return false;
        };
        if self.in_flight.is_some() {
            self.abandon_write();
        }
        self.acknowledgement = None;
        // It starts anew, and may have voted just before.
        self.vote_binding_until[leader.controller] = self.now + TTL;
        spend(&mut self.remaining.crashes)
    }

    fn resign(&mut self) -> bool {
        self.key_ends = self.now;
        self.acknowledgement = None;
        if self.in_flight.is_some() {
            self.abandon_write();
        }
        self.leader.take().is_some() && spend(&mut self.remaining.crashes)
    }

    fn restart_follower(&mut self) -> bool {
        let Some(leader) = &self.leader else {
            return false;
        };
        let binding_until = match self.mistake {
            Mistake::ForgetsItsVoteInARestart => self.now,
            _ => self.now + TTL,
        };
        self.vote_binding_until[1 - leader.controller] = binding_until;
        spend(&mut self.remaining.crashes)
    }

    fn begin_outage(&mut self) -> bool {
        self.outage = true;
        spend(&mut self.remaining.outages)
    }

    fn end_outage(&mut self) -> bool {
        // Every lease has its full time again.
        self.key_ends = self.now + TTL;
        std::mem::take(&mut self.outage)
    }

    fn extend_lease(&mut self) -> bool {
        let now = self.now;
        let Some(leader) = self.leader.as_mut().filter(|_| self.outage) else {
            return false;
        };
        let possible = now < leader.valid_until && leader.lease_extended_until < now + TTL;
        leader.valid_until = leader.valid_until.max(now + TTL);
        leader.lease_extended_until = now + TTL;
        self.vote_binding_until[1 - leader.controller] = now + TTL;
        if self.mistake != Mistake::ForgetsItsExtendedLease {
            self.vote_binding_until[leader.controller] = now + TTL;
        }
        possible
    }

    // ---- the worker ----

    fn receive_heartbeat(&mut self) -> bool {
        let (now, mistake, stored) = (self.now, self.mistake, self.stored);
        if self.valid_leader().is_none() || !spend(&mut self.remaining.heartbeats) {
            return false;
        }
        if now >= self.leased_from + LEASE {
            self.leased_from = now;
            self.holds_tasks = false;
            self.answer = None;
        }
        let holds_tasks = self.holds_tasks;
        let leader = self.valid_leader().expect("checked above");
        if leader.expired_worker && holds_tasks {
            // Of an incarnation whose lease was taken for expired: refused.
            return true;
        }
        // What is due is due at once, so that moments past make no states of their own.
        leader.record.release(WORKER, 0);
        let fenced = match mistake {
            Mistake::AnswersBeforeTheAcknowledgement => {
                leader.record.wanted_workers().next().is_some()
            }
            Mistake::ForgetsALostWrite => stored.timestamp.is_some(),
            _ => leader.record.is_fenced(WORKER),
        };
        if !fenced || now < leader.lease_extended_until {
            leader.answered_at = now;
            leader.expired_worker = false;
            self.answer = Some(now);
            self.holds_tasks = true;
        }
        true
    }

    fn receive_answer(&mut self) -> bool {
        let Some(sent_at) = self.answer.take() else {
            return false;
        };
        // The worker counts from when it sent the heartbeat, and drops what comes too late.
        if self.now < self.leased_from + LEASE {
            self.leased_from = sent_at.max(self.leased_from);
        }
        true
    }

    fn fence_worker(&mut self) -> bool {
        let before = self.clone();
        let Some(leader) = self.valid_leader() else {
            return false;
        };
        leader.record.fence(WORKER, leader.answered_at, 0);
        *self != before
    }

    fn expire_lease(&mut self) -> bool {
        let now = self.now;
        let Some(leader) = self.valid_leader() else {
            return false;
        };
        let newly = now >= leader.answered_at + LEASE && !leader.expired_worker;
        leader.expired_worker = newly;
        newly
    }

    // ---- writes ----

    /// Sends what is due; the process is paused between the two readings of its clocks.
    fn send_write(&mut self, pause: u64) -> bool {
        let waits = self.in_flight.is_some() || self.acknowledgement.is_some();
        if waits || self.abandoned.is_some() {
            return false;
        }
        let before = self.now;
        if self.valid_leader().is_none() || !spend(&mut self.remaining.writes) {
            return false;
        }
        let leader = self.valid_leader().expect("checked above");
        let controller = leader.controller;
        let Some(page) = leader.record.begin_due_writes(before, 1).pop() else {
            return false;
        };
        let day_before = self.time_of_day(controller);
        self.now += pause;
        let (aged_at, day) = match self.mistake {
            Mistake::ReadsTheClockBeforeThePause => (self.now, day_before),
            _ => (before, self.time_of_day(controller)),
        };
        let timestamp = page.entries.first().map(|entry| {
            let age = aged_at.saturating_sub(entry.answered_at_ms);
            timestamp::from_age(age, day)
        });
        self.in_flight = Some(InFlight { page, timestamp });
        true
    }

    fn send_write_after_a_pause(&mut self) -> bool {
        self.now + PAUSE <= HORIZON && self.send_write(PAUSE)
    }

    /// Stored if nothing has come between, as the guard has it.
    fn apply(&mut self, version: u64, timestamp: Option<u64>) -> bool {
        let fits = self.stored.version == version;
        if fits {
            let version = version + 1;
            self.stored = Stored { version, timestamp };
        }
        fits
    }

    fn carry_out_write(&mut self) -> bool {
        let Some(InFlight { page, timestamp }) = self.in_flight.take().filter(|_| !self.outage)
        else {
            return false;
        };
        if self.apply(page.version, timestamp) {
            self.acknowledgement = Some(self.stored.version);
        } else if let Some(leader) = &mut self.leader {
            // The guard fails, which the leader learns at once.
            leader.record.retry_write(PAGE, self.stored.version, 0);
        }
        true
    }

    fn receive_acknowledgement(&mut self) -> bool {
        let (Some(leader), Some(version)) = (&mut self.leader, self.acknowledgement.take()) else {
            return false;
        };
        leader.record.confirm_write(PAGE, version);
        true
    }

    /// The write in flight has no sender any more that waits for it.
    fn abandon_write(&mut self) {
        let token = self.token;
        self.abandoned = self.in_flight.take().map(|write| Abandoned {
            token,
            version: write.page.version,
            timestamp: write.timestamp,
        });
    }

    fn time_out_write(&mut self) -> bool {
        if self.leader.is_none() || self.in_flight.is_none() {
            return false;
        }
        self.abandon_write();
        self.read_back()
    }

    fn lose_acknowledgement(&mut self) -> bool {
        self.acknowledgement.take().is_some() && self.read_back()
    }

    /// Without an answer the page is read back, and written again under the version found.
    fn read_back(&mut self) -> bool {
        let version = self.stored.version;
        let leader = self
            .leader
            .as_mut()
            .expect("only a leader waits for a write");
        leader.record.retry_write(PAGE, version, 0);
        spend(&mut self.remaining.losses)
    }

    fn carry_out_abandoned_write(&mut self) -> bool {
        let Some(write) = self.abandoned.take().filter(|_| !self.outage) else {
            return false;
        };
        if write.token == self.token || self.mistake == Mistake::DoesNotGuardByTheLeaderKey {
            self.apply(write.version, write.timestamp);
        }
        true
    }
}

/// What may happen, by what it is called. False if it cannot happen now.
type Step = (&'static str, fn(&mut World) -> bool);

/// Random walks choose by position, so the order decides what a seed finds.
const STEPS: [Step; 21] = [
    ("time passes", World::pass_time),
    ("the leader renews", World::renew),
    ("controller 0 is elected", |w| w.campaign(0)),
    ("controller 1 is elected", |w| w.campaign(1)),
    ("the leader crashes", World::crash_leader),
    ("the leader resigns", World::resign),
    ("the follower restarts", World::restart_follower),
    ("an outage begins", World::begin_outage),
    ("the outage ends", World::end_outage),
    ("the follower votes for an extension", World::extend_lease),
    ("a heartbeat comes", World::receive_heartbeat),
    ("the answer arrives", World::receive_answer),
    ("the worker is put on the record", World::fence_worker),
    ("a write leaves", |w| w.send_write(0)),
    (
        "a write leaves after a pause",
        World::send_write_after_a_pause,
    ),
    ("the write is carried out", World::carry_out_write),
    (
        "the acknowledgement arrives",
        World::receive_acknowledgement,
    ),
    ("the write times out", World::time_out_write),
    ("the acknowledgement is lost", World::lose_acknowledgement),
    (
        "an abandoned write is carried out",
        World::carry_out_abandoned_write,
    ),
    ("the lease is taken for expired", World::expire_lease),
];

impl copperfield_model_checker::ModelState for World {
    fn successors(&self) -> Vec<(&'static str, World)> {
        let after_step = |&(name, step): &Step| {
            let mut world = self.clone();
            step(&mut world).then_some((name, world))
        };
        STEPS.iter().filter_map(after_step).collect()
    }

    fn violates_property(&self) -> bool {
        let expired = self.leader.as_ref().is_some_and(|l| l.expired_worker);
        expired && self.holds_tasks && self.now < self.leased_from + LEASE
    }
}

#[test]
fn a_lease_that_is_taken_for_expired_is_expired() {
    let states = 150_000 * effort_factor();
    let depth =
        explore(World::new(Mistake::None), states as usize).unwrap_or_else(|h| panic!("{h:#?}"));
    println!("{states} states, all histories of up to {depth} steps");
    assert!(depth >= 8, "only to a depth of {depth}");
    let walks = 60_000 * effort_factor();
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
        DisregardsItsVote,
        DropsFencedWorkers,
        DoesNotGuardByTheLeaderKey,
        ReadsTheClockBeforeThePause,
    ] {
        let found = walk(&World::new(mistake), 400_000, usize::MAX);
        let history = found.expect_err(&format!("{mistake:?} is not found"));
        println!("{mistake:?}: {} steps", history.len());
    }
}

/// Too long histories to be met at random, from where they become interesting.
#[test]
fn votes_are_remembered_over_restarts_and_by_leaders_that_acted_on_them() {
    let fenced = [
        "controller 1 is elected",
        "the worker is put on the record",
        "a write leaves",
        "the write is carried out",
        "time passes",
    ];
    let acts_itself = [
        "time passes",
        "controller 0 is elected",
        "an outage begins",
        "the follower votes for an extension",
        "the outage ends",
        "time passes",
        "a heartbeat comes",
    ];
    let restarts = [
        "an outage begins",
        "the follower votes for an extension",
        "the follower restarts",
    ];
    for (mistake, history) in [
        (Mistake::ForgetsItsExtendedLease, &acts_itself[..]),
        (Mistake::ForgetsItsVoteInARestart, &restarts[..]),
    ] {
        let history = [&fenced[..], history].concat();
        let search = |mistake: Mistake| explore(replay(World::new(mistake), &history), 100_000);
        search(Mistake::None).unwrap_or_else(|h| panic!("{h:#?}"));
        let found = search(mistake).expect_err("found");
        println!("{mistake:?}: {found:?}");
    }
}
