//! Explores the interleavings of a small model that runs the code of the fencing record.
//!
//! The model has two controllers, one worker and one state service. At any time there may be a
//! heartbeat, an answer that is sent late or lost, a write that is processed late or never or whose
//! acknowledgement is lost, a crash and a restart, an outage during which the other controller
//! votes for a lease extension, or a failover during a failover. The wall clocks of the two
//! controllers have the greatest error that the bound allows, in opposite directions.
//!
//! The property: when a leader considers the lease of a worker that holds tasks expired, it has
//! expired. All short histories are explored breadth first. There are too many long histories to
//! explore all of them, so they are covered by seeded random walks. Each planted mistake must be
//! found.

use copperfield_fencing::{FencedEntry, FencingRecord, PageWrite, StoredPage, timestamp};
use copperfield_model_checker::{effort_factor, explore, replay, walk};

/// Duration of a step in milliseconds. All times are multiples of it, except for what `timestamp`
/// adds.
const STEP_MS: u64 = 1000;
/// Duration of a worker's lease.
const WORKER_LEASE_MS: u64 = 3 * STEP_MS;
/// TTL of the leader key.
const LEADER_TTL_MS: u64 = 2 * STEP_MS;
/// Bound on the error of wall clocks. It is a whole step, so that a mistake of ignoring it is
/// found.
const CLOCK_ERROR_MS: u64 = STEP_MS;
/// Duration of a process pause between reading the two clocks.
const PAUSE_MS: u64 = 2 * STEP_MS;
/// The time at which a history ends.
const HORIZON_MS: u64 = 9 * STEP_MS;
/// Wall-clock time at the start of a history.
const START_UNIX_MS: u64 = 1_000_000;
const WORKER: &str = "m";
/// The only page of the record.
const PAGE: u32 = 0;
const MAX_VALUE_BYTES: usize = 1000;

/// A mistake planted in the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mistake {
    None,
    /// A worker is answered once its removal from the record was sent, not once it is acknowledged.
    AnswersBeforeAcknowledgement,
    /// Only workers known to be stored are fenced, not those named by a write of unknown outcome.
    IgnoresLostWrites,
    /// The reader ignores the error of the wall clocks.
    IgnoresClockError,
    /// A controller relies on the record alone although it has voted for a lease extension.
    IgnoresOwnVote,
    /// A controller that led under an extended lease and leads again remembers only votes that it
    /// granted itself. This model found the fault in an earlier version.
    ForgetsOwnLeaseExtension,
    /// A process assumes that no earlier process of its controller has voted.
    RestartForgetsVotes,
    /// The next leader does not restore the fenced workers of the record.
    DoesNotRestoreFencedWorkers,
    /// Writes are not guarded by the leader key, so a write of an earlier leader may be processed
    /// after the next leader has read the record.
    WritesNotGuardedByLeaderKey,
    /// The writer reads the wall clock first, and takes the age after a pause.
    ReadsWallClockBeforeAge,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Leader {
    controller: usize,
    /// Until when the leader is valid, by a renewal or by the vote of the other controller.
    valid_until: u64,
    lease_extended_until: u64,
    record: FencingRecord,
    /// When the worker was last answered, or the time of the election if it was not answered yet.
    answered_at: u64,
    /// The leader considered the worker's lease expired and gave its tasks to another worker.
    expired_worker: bool,
}

/// The stored page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Stored {
    version: u64,
    /// The worker's timestamp, if the page names the worker.
    timestamp: Option<u64>,
}

/// A write whose sender waits for its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct InFlight {
    page: PageWrite,
    /// The worker's timestamp, if the write names the worker.
    timestamp: Option<u64>,
}

/// A write whose sender no longer waits for its outcome. It may still be processed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Abandoned {
    /// The fencing token of the leader that sent it.
    token: u8,
    version: u64,
    timestamp: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct FencingModel {
    mistake: Mistake,
    now: u64,
    /// The time from which the worker counts its lease.
    leased_from: u64,
    /// Whether the worker's incarnation holds tasks. A new one holds none until it is answered.
    holds_tasks: bool,
    /// When the heartbeat was sent whose answer is delayed at the leader or in flight.
    answer: Option<u64>,
    leader: Option<Leader>,
    /// When the leader key expires unless it is renewed.
    key_expires_at: u64,
    /// For each controller, until when a leader may rely on its vote, as far as it knows.
    vote_binding_until: [u64; 2],
    outage: bool,
    stored: Stored,
    in_flight: Option<InFlight>,
    abandoned: Option<Abandoned>,
    /// The fencing token of the last election. Writes sent under an earlier token fail.
    token: u8,
    /// The stored version in an acknowledgement that is in flight.
    acknowledgement: Option<u64>,
    remaining: Remaining,
}

/// How many more of the events that multiply the number of states may occur.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Remaining {
    crashes: u8,
    outages: u8,
    losses: u8,
    heartbeats: u8,
    writes: u8,
}

/// Decrements a counter. Returns false if it was already zero.
fn take_one(remaining: &mut u8) -> bool {
    let any = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    any
}

impl FencingModel {
    fn new(mistake: Mistake) -> Self {
        Self {
            mistake,
            now: 0,
            leased_from: 0,
            holds_tasks: true,
            answer: None,
            leader: None,
            key_expires_at: 0,
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

    /// The wall clock of a controller. One is ahead of the true time, the other behind.
    fn unix_ms(&self, controller: usize) -> u64 {
        match controller {
            0 => START_UNIX_MS + self.now + CLOCK_ERROR_MS,
            _ => START_UNIX_MS + self.now - CLOCK_ERROR_MS,
        }
    }

    fn valid_leader(&mut self) -> Option<&mut Leader> {
        let now = self.now;
        self.leader.as_mut().filter(|l| now < l.valid_until)
    }

    // ---- Time and leaders ----

    fn pass_time(&mut self) -> bool {
        self.now += STEP_MS;
        self.now <= HORIZON_MS
    }

    fn renew(&mut self) -> bool {
        let now = self.now;
        let Some(leader) = self.leader.as_mut().filter(|_| !self.outage) else {
            return false;
        };
        let useful = now < self.key_expires_at && leader.valid_until < now + LEADER_TTL_MS;
        leader.valid_until = now + LEADER_TTL_MS;
        self.key_expires_at = now + LEADER_TTL_MS;
        useful
    }

    fn campaign(&mut self, controller: usize) -> bool {
        let free =
            self.now >= self.key_expires_at && self.now >= self.vote_binding_until[controller];
        let follows = self
            .leader
            .as_ref()
            .is_none_or(|l| l.controller != controller);
        if self.outage || !free || !follows {
            return false;
        }
        self.key_expires_at = self.now + LEADER_TTL_MS;
        self.elect(controller);
        true
    }

    fn elect(&mut self, controller: usize) {
        let (record, answered_at) = self.read_record(controller);
        self.leader = Some(Leader {
            controller,
            valid_until: self.now + LEADER_TTL_MS,
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

    /// Reads the stored record as a new leader. Returns the restored record and the latest time at
    /// which the worker can have been answered.
    fn read_record(&self, controller: usize) -> (FencingRecord, u64) {
        let Stored { version, timestamp } = self.stored;
        let mut answered_at = self.now;
        if let Some(timestamp) = timestamp {
            let error = match self.mistake {
                Mistake::IgnoresClockError => 0,
                _ => CLOCK_ERROR_MS,
            };
            let age = timestamp::min_age(timestamp, self.unix_ms(controller), error);
            answered_at = self.now.saturating_sub(age);
            if self.mistake != Mistake::IgnoresOwnVote {
                answered_at = answered_at.max(self.vote_binding_until[controller]);
            }
        }
        let mut record = FencingRecord::new(MAX_VALUE_BYTES);
        if version > 0 {
            let named = timestamp.filter(|_| self.mistake != Mistake::DoesNotRestoreFencedWorkers);
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
        // Its next process must assume that it granted a vote just before the crash.
        self.vote_binding_until[leader.controller] = self.now + LEADER_TTL_MS;
        take_one(&mut self.remaining.crashes)
    }

    fn resign(&mut self) -> bool {
        self.key_expires_at = self.now;
        self.acknowledgement = None;
        if self.in_flight.is_some() {
            self.abandon_write();
        }
        self.leader.take().is_some() && take_one(&mut self.remaining.crashes)
    }

    fn restart_follower(&mut self) -> bool {
        let Some(leader) = &self.leader else {
            return false;
        };
        let binding_until = match self.mistake {
            Mistake::RestartForgetsVotes => self.now,
            _ => self.now + LEADER_TTL_MS,
        };
        self.vote_binding_until[1 - leader.controller] = binding_until;
        take_one(&mut self.remaining.crashes)
    }

    fn begin_outage(&mut self) -> bool {
        self.outage = true;
        take_one(&mut self.remaining.outages)
    }

    fn end_outage(&mut self) -> bool {
        // After an outage every lease starts again with its full TTL.
        self.key_expires_at = self.now + LEADER_TTL_MS;
        std::mem::take(&mut self.outage)
    }

    fn extend_lease(&mut self) -> bool {
        let now = self.now;
        let Some(leader) = self.leader.as_mut().filter(|_| self.outage) else {
            return false;
        };
        let possible =
            now < leader.valid_until && leader.lease_extended_until < now + LEADER_TTL_MS;
        leader.valid_until = leader.valid_until.max(now + LEADER_TTL_MS);
        leader.lease_extended_until = now + LEADER_TTL_MS;
        self.vote_binding_until[1 - leader.controller] = now + LEADER_TTL_MS;
        if self.mistake != Mistake::ForgetsOwnLeaseExtension {
            self.vote_binding_until[leader.controller] = now + LEADER_TTL_MS;
        }
        possible
    }

    // ---- The worker ----

    fn receive_heartbeat(&mut self) -> bool {
        let (now, mistake, stored) = (self.now, self.mistake, self.stored);
        if self.valid_leader().is_none() || !take_one(&mut self.remaining.heartbeats) {
            return false;
        }
        if now >= self.leased_from + WORKER_LEASE_MS {
            self.leased_from = now;
            self.holds_tasks = false;
            self.answer = None;
        }
        let holds_tasks = self.holds_tasks;
        let leader = self.valid_leader().expect("checked above");
        if leader.expired_worker && holds_tasks {
            // Refused: the lease of this incarnation was considered expired.
            return true;
        }
        // Writes are due immediately, so that past due times do not multiply the number of states.
        leader.record.release(WORKER, 0);
        let fenced = match mistake {
            Mistake::AnswersBeforeAcknowledgement => {
                leader.record.wanted_workers().next().is_some()
            }
            Mistake::IgnoresLostWrites => stored.timestamp.is_some(),
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
        // The worker counts its lease from when it sent the heartbeat, and ignores an answer that
        // arrives after its lease has expired.
        if self.now < self.leased_from + WORKER_LEASE_MS {
            self.leased_from = sent_at.max(self.leased_from);
        }
        true
    }

    fn add_worker_to_record(&mut self) -> bool {
        let before = self.clone();
        let Some(leader) = self.valid_leader() else {
            return false;
        };
        leader.record.fence(WORKER, leader.answered_at, 0);
        *self != before
    }

    fn expire_worker_lease(&mut self) -> bool {
        let now = self.now;
        let Some(leader) = self.valid_leader() else {
            return false;
        };
        let newly = now >= leader.answered_at + WORKER_LEASE_MS && !leader.expired_worker;
        leader.expired_worker = newly;
        newly
    }

    // ---- Writes ----

    /// Sends a due write. The process is paused for `pause` between reading its two clocks.
    fn send_write(&mut self, pause: u64) -> bool {
        let earlier_write_pending = self.in_flight.is_some() || self.acknowledgement.is_some();
        if earlier_write_pending || self.abandoned.is_some() {
            return false;
        }
        let before = self.now;
        if self.valid_leader().is_none() || !take_one(&mut self.remaining.writes) {
            return false;
        }
        let leader = self.valid_leader().expect("checked above");
        let controller = leader.controller;
        let Some(page) = leader.record.begin_due_writes(before, 1).pop() else {
            return false;
        };
        let unix_ms_before = self.unix_ms(controller);
        self.now += pause;
        let (age_taken_at, unix_ms) = match self.mistake {
            Mistake::ReadsWallClockBeforeAge => (self.now, unix_ms_before),
            _ => (before, self.unix_ms(controller)),
        };
        let timestamp = page.entries.first().map(|entry| {
            let age = age_taken_at.saturating_sub(entry.answered_at_ms);
            timestamp::from_age(age, unix_ms)
        });
        self.in_flight = Some(InFlight { page, timestamp });
        true
    }

    fn send_write_after_pause(&mut self) -> bool {
        self.now + PAUSE_MS <= HORIZON_MS && self.send_write(PAUSE_MS)
    }

    /// Stores the page if its version still is the one that guards the write. Returns whether it
    /// was stored.
    fn apply(&mut self, version: u64, timestamp: Option<u64>) -> bool {
        let guard_holds = self.stored.version == version;
        if guard_holds {
            let version = version + 1;
            self.stored = Stored { version, timestamp };
        }
        guard_holds
    }

    fn process_write(&mut self) -> bool {
        let Some(InFlight { page, timestamp }) = self.in_flight.take().filter(|_| !self.outage)
        else {
            return false;
        };
        if self.apply(page.version, timestamp) {
            self.acknowledgement = Some(self.stored.version);
        } else if let Some(leader) = &mut self.leader {
            // The guard does not hold. The leader learns this immediately.
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

    /// Marks the write in flight as one whose sender no longer waits for its outcome.
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

    /// After a write of unknown outcome, reads the page back and schedules a write guarded by its
    /// current version.
    fn read_back(&mut self) -> bool {
        let version = self.stored.version;
        let leader = self
            .leader
            .as_mut()
            .expect("only a leader waits for a write");
        leader.record.retry_write(PAGE, version, 0);
        take_one(&mut self.remaining.losses)
    }

    fn process_abandoned_write(&mut self) -> bool {
        let Some(write) = self.abandoned.take().filter(|_| !self.outage) else {
            return false;
        };
        if write.token == self.token || self.mistake == Mistake::WritesNotGuardedByLeaderKey {
            self.apply(write.version, write.timestamp);
        }
        true
    }
}

/// A step of the model: its name, and a function that takes it or returns false if it is not
/// possible.
type Step = (&'static str, fn(&mut FencingModel) -> bool);

/// Random walks choose steps by position, so the order determines which histories a seed covers.
const STEPS: [Step; 21] = [
    ("time passes", FencingModel::pass_time),
    ("the leader renews", FencingModel::renew),
    ("controller 0 is elected", |m| m.campaign(0)),
    ("controller 1 is elected", |m| m.campaign(1)),
    ("the leader crashes", FencingModel::crash_leader),
    ("the leader resigns", FencingModel::resign),
    ("the follower restarts", FencingModel::restart_follower),
    ("an outage begins", FencingModel::begin_outage),
    ("the outage ends", FencingModel::end_outage),
    (
        "the follower votes for a lease extension",
        FencingModel::extend_lease,
    ),
    ("a heartbeat arrives", FencingModel::receive_heartbeat),
    ("the answer arrives", FencingModel::receive_answer),
    (
        "the worker is added to the record",
        FencingModel::add_worker_to_record,
    ),
    ("a write is sent", |m| m.send_write(0)),
    (
        "a write is sent after a pause",
        FencingModel::send_write_after_pause,
    ),
    ("the write is processed", FencingModel::process_write),
    (
        "the acknowledgement arrives",
        FencingModel::receive_acknowledgement,
    ),
    ("the write times out", FencingModel::time_out_write),
    (
        "the acknowledgement is lost",
        FencingModel::lose_acknowledgement,
    ),
    (
        "an abandoned write is processed",
        FencingModel::process_abandoned_write,
    ),
    (
        "the worker's lease is considered expired",
        FencingModel::expire_worker_lease,
    ),
];

impl copperfield_model_checker::ModelState for FencingModel {
    fn successors(&self) -> Vec<(&'static str, FencingModel)> {
        let after_step = |&(name, step): &Step| {
            let mut model = self.clone();
            step(&mut model).then_some((name, model))
        };
        STEPS.iter().filter_map(after_step).collect()
    }

    fn violates_property(&self) -> bool {
        let expired = self.leader.as_ref().is_some_and(|l| l.expired_worker);
        expired && self.holds_tasks && self.now < self.leased_from + WORKER_LEASE_MS
    }
}

#[test]
fn a_worker_lease_considered_expired_has_expired() {
    let states = 150_000 * effort_factor();
    let depth = explore(FencingModel::new(Mistake::None), states as usize)
        .unwrap_or_else(|h| panic!("{h:#?}"));
    println!("{states} states, all histories of up to {depth} steps");
    assert!(depth >= 8, "explored to a depth of {depth} only");
    let walks = 60_000 * effort_factor();
    let steps = walk(&FencingModel::new(Mistake::None), walks, usize::MAX)
        .unwrap_or_else(|h| panic!("{h:#?}"));
    println!("{walks} random histories of {steps} steps");
}

#[test]
fn each_planted_mistake_is_found() {
    use Mistake::*;
    for mistake in [
        AnswersBeforeAcknowledgement,
        IgnoresLostWrites,
        IgnoresClockError,
        IgnoresOwnVote,
        DoesNotRestoreFencedWorkers,
        WritesNotGuardedByLeaderKey,
        ReadsWallClockBeforeAge,
    ] {
        let found = walk(&FencingModel::new(mistake), 400_000, usize::MAX);
        let history = found.expect_err(&format!("the planted mistake {mistake:?} was not found"));
        println!("{mistake:?}: {} steps", history.len());
    }
}

/// These mistakes show only in histories that are too long for random walks to find. The search
/// begins after the given steps.
#[test]
fn votes_bind_after_restarts_and_bind_leaders_that_relied_on_them() {
    let record_stored = [
        "controller 1 is elected",
        "the worker is added to the record",
        "a write is sent",
        "the write is processed",
        "time passes",
    ];
    let leads_again = [
        "time passes",
        "controller 0 is elected",
        "an outage begins",
        "the follower votes for a lease extension",
        "the outage ends",
        "time passes",
        "a heartbeat arrives",
    ];
    let restarts = [
        "an outage begins",
        "the follower votes for a lease extension",
        "the follower restarts",
    ];
    for (mistake, history) in [
        (Mistake::ForgetsOwnLeaseExtension, &leads_again[..]),
        (Mistake::RestartForgetsVotes, &restarts[..]),
    ] {
        let history = [&record_stored[..], history].concat();
        let search =
            |mistake: Mistake| explore(replay(FencingModel::new(mistake), &history), 100_000);
        search(Mistake::None).unwrap_or_else(|h| panic!("{h:#?}"));
        let found = search(mistake).expect_err("the planted mistake was not found");
        println!("{mistake:?}: {found:?}");
    }
}
