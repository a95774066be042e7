//! The state of the model: two controllers, one state service, and one worker with one task.

use copperfield_leadership::FencingToken;
use copperfield_model_checker::{ModelState, Successors};

use crate::common::{Faults, Process, TTL};

/// The worker stops the task if its lease is not renewed for longer than this.
const WORKER_LEASE: u64 = 2;
/// Upper bound on how long a shard owner may answer after the last contact with its leader.
const SHARD_LEASE: u64 = TTL;
/// The time at which a history ends.
pub const HORIZON: u64 = 10;

/// A mistake planted in the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mistake {
    None,
    /// While the outcome of a cancellation is unknown, answers keep the task running. An earlier
    /// version had this fault.
    RenewsTaskUntilOutcomeIsKnown,
    /// A leader answers workers before it has read the stored state.
    AnswersBeforeRecovery,
    /// A leader relies on stored state that it read before it was elected.
    RecoversBeforeElection,
    /// A shard lease lasts longer than the leader that granted it is valid.
    ShardLeaseOutlivesLeader,
    /// The shard lease for a worker is renewed although the job that it runs is ending.
    RenewsShardLeaseAfterCancellation,
    /// A shard lease is granted for a worker that runs a task of a job that ended before the leader
    /// was elected. An earlier version had this fault.
    GrantsShardLeaseForOrphanedTask,
    /// While a direct message is in flight, answers renew the lease without stopping the task. An
    /// earlier version had this fault.
    StopWaitsForDirectMessage,
    /// The answer to a heartbeat that was overtaken by the answer to a direct message renews the
    /// lease without stopping the task. An earlier version had this fault.
    OvertakenHeartbeatGetsNoStop,
    /// The leader's cancellation is not guarded by its leader key.
    CancellationNotGuarded,
    /// Votes make a leader valid again after its lease has expired.
    VotesReviveExpiredLease,
    /// Controllers that can reach the state service grant votes on outdated evidence. This is not a
    /// fault: a vote forbids the voter to lead and to cancel, whatever reason it was granted for.
    VotesThoughStoreReachable,
}

/// What a leader knows about the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum JobView {
    Unread,
    Running,
    /// A transaction that cancels the job was sent, and its outcome is unknown.
    Cancelling,
    Ended,
    /// The job ended before this leader was elected, so a task of it is orphaned.
    EndedBefore,
}

impl JobView {
    /// Whether tasks of the job should stop.
    pub fn is_ending(self) -> bool {
        matches!(self, Self::Cancelling | Self::Ended | Self::EndedBefore)
    }
}

/// A direct message to the worker. It may arrive at any time and renews no lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct DirectMessage {
    pub sender: usize,
    pub token: u8,
    pub stops_task: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Controller {
    pub process: Process,
    pub view: JobView,
    /// The process is storing a cancellation without a leader.
    pub cancels_without_leader: bool,
}

impl Controller {
    fn new(view: JobView) -> Self {
        Self {
            process: Process::first(),
            view,
            cancels_without_leader: false,
        }
    }

    pub fn restarted(&self, now: u64) -> Self {
        Self {
            process: self.process.restarted(now),
            view: JobView::Unread,
            cancels_without_leader: false,
        }
    }
}

/// The leader key at the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaderKey {
    pub controller: usize,
    pub version: u8,
    pub expires_at: u64,
}

/// The guard of a transaction that cancels the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Guard {
    /// The leader key has this version.
    LeaderKey(u8),
    /// There is no leader key, and no controller was elected since the term marker had this
    /// version.
    NoLeaderSince(u8),
}

/// A cancellation in flight to the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Transaction {
    pub controller: usize,
    pub process: u8,
    pub guard: Guard,
}

/// The worker and whether it still runs the task.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Worker {
    pub runs_task: bool,
    lease_renewed_at: u64,
    /// The greatest fencing token that the worker has seen.
    pub token: u8,
}

/// The shard lease that a leader granted to the other controller: until when that controller may
/// answer the worker under the leader's token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ShardLease {
    pub token: u8,
    pub until: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CancellationModel {
    pub mistake: Mistake,
    pub now: u64,
    pub controllers: Vec<Controller>,
    pub leader_key: Option<LeaderKey>,
    /// The version of the term marker.
    pub term_marker: u8,
    pub cancellation_stored: bool,
    pub in_flight: Option<Transaction>,
    /// When a user was first told that the job is cancelled.
    pub reported_at: Option<u64>,
    pub worker: Worker,
    pub shard_lease: ShardLease,
    /// The direct message in flight, which the network may delay.
    pub message: Option<DirectMessage>,
    /// The leader that received an answer to a direct message, if that answer is newer than the
    /// heartbeat that the worker waits to have answered.
    pub leader_with_newer_answer: Option<usize>,
    pub faults: Faults,
}

impl CancellationModel {
    /// Controller 0 leads and knows that the job is running on the worker.
    pub fn new(mistake: Mistake) -> Self {
        let mut controllers = vec![
            Controller::new(JobView::Running),
            Controller::new(JobView::Unread),
        ];
        for controller in &mut controllers {
            controller.process.leadership.release_vote(0);
        }
        let leadership = &mut controllers[0].process.leadership;
        leadership.begin_leading(FencingToken::new(1), 0);
        Self {
            mistake,
            now: 0,
            controllers,
            leader_key: Some(LeaderKey {
                controller: 0,
                version: 1,
                expires_at: TTL,
            }),
            term_marker: 1,
            cancellation_stored: false,
            in_flight: None,
            reported_at: None,
            worker: Worker {
                runs_task: true,
                lease_renewed_at: 0,
                token: 1,
            },
            shard_lease: ShardLease { token: 0, until: 0 },
            message: None,
            leader_with_newer_answer: None,
            faults: Faults::new(2, 3, 2),
        }
    }

    /// The time on the clock of a controller's process.
    pub fn clock(&self, c: usize) -> u64 {
        self.controllers[c].process.clock(self.now)
    }

    pub fn is_valid_leader(&self, c: usize) -> bool {
        self.controllers[c].process.is_valid_leader(self.now)
    }

    /// The fencing token of the term that a controller leads.
    pub fn token(&self, c: usize) -> Option<u8> {
        let leadership = &self.controllers[c].process.leadership;
        (1..=self.term_marker).find(|token| leadership.leads(FencingToken::from(u64::from(*token))))
    }

    /// Ends the task if the worker's lease has expired.
    pub fn expire_worker_lease(&mut self) {
        self.worker.runs_task &= self.now <= self.worker.lease_renewed_at + WORKER_LEASE;
    }

    /// Delivers a controller's answer to the worker, which renews the worker's lease and may stop
    /// the task. Returns whether this changes the worker.
    pub fn answer_worker(&mut self, token: u8, stops_task: bool) -> bool {
        let worker = &mut self.worker;
        if token < worker.token || !worker.runs_task {
            return false;
        }
        let before = worker.clone();
        worker.token = token;
        worker.lease_renewed_at = self.now;
        worker.runs_task = !stops_task;
        *worker != before
    }

    /// Processes the transaction in flight, unless there is an outage: the state service commits it
    /// if its guard holds. Returns the transaction and whether it was committed.
    pub fn commit(&mut self) -> Option<(Transaction, bool)> {
        let transaction = self.in_flight.filter(|_| !self.faults.is_outage())?;
        let unguarded = self.mistake == Mistake::CancellationNotGuarded;
        let committed =
            !self.cancellation_stored && (unguarded || self.guard_holds(transaction.guard));
        self.cancellation_stored |= committed;
        self.in_flight = None;
        Some((transaction, committed))
    }

    fn guard_holds(&self, guard: Guard) -> bool {
        let key_version = self.leader_key.map(|key| key.version);
        match guard {
            Guard::LeaderKey(version) => key_version == Some(version),
            Guard::NoLeaderSince(marker) => key_version.is_none() && marker == self.term_marker,
        }
    }

    /// Reports the outcome of a transaction to its sender; `None` if the outcome is unknown.
    pub fn acknowledge(&mut self, transaction: Transaction, committed: Option<bool>) {
        let leads = self.token(transaction.controller).is_some();
        let controller = &mut self.controllers[transaction.controller];
        if controller.process.number != transaction.process {
            return;
        }
        let without_leader = matches!(transaction.guard, Guard::NoLeaderSince(_));
        if without_leader && std::mem::take(&mut controller.cancels_without_leader) {
            controller.process.leadership.end_leaderless_cancellation();
        }
        if committed == Some(true) {
            self.reported_at.get_or_insert(self.now);
            if leads {
                controller.view = JobView::Ended;
            }
        }
    }
}

impl ModelState for CancellationModel {
    fn successors(&self) -> Vec<(&'static str, Self)> {
        let mut steps = Successors::new(self);
        self.add_service_steps(&mut steps);
        self.add_transaction_steps(&mut steps);
        for c in 0..self.controllers.len() {
            self.add_fault_steps(c, &mut steps);
            self.add_election_steps(c, &mut steps);
            self.add_cancellation_steps(c, &mut steps);
            self.add_worker_steps(c, &mut steps);
        }
        self.add_message_steps(&mut steps);
        self.add_shard_owner_step(&mut steps);
        steps.into_vec()
    }

    fn violates_property(&self) -> bool {
        let must_end_by = |reported_at| reported_at + SHARD_LEASE + WORKER_LEASE;
        self.worker.runs_task
            && self
                .reported_at
                .is_some_and(|at| self.now > must_end_by(at))
    }
}
