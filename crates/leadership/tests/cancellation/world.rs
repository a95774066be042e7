//! Two controllers, one state service, one worker with one task.

use copperfield_leadership::FencingToken;
use copperfield_model_checker::{ModelState, Successors};

use crate::common::{Faults, Process, TTL};

/// The worker stops the task if nobody renews its lease for as long.
const WORKER_LEASE: u64 = 2;
/// How long a shard owner answers on after the last contact with its leader.
const SHARD_LEASE: u64 = TTL;
/// When a history ends.
pub const HORIZON: u64 = 10;

/// A mistake planted in the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mistake {
    None,
    /// A job whose cancellation is of unknown outcome runs on. This program did so.
    RenewsTaskUntilOutcomeIsKnown,
    /// A leader answers workers before it has read the stored state.
    AnswersBeforeRecovery,
    /// It leads on what it has read before it was elected.
    RecoversBeforeElection,
    /// A shard owner answers on its shard lease for longer than its leader is valid.
    ShardLeaseOutlivesLeader,
    /// The shard lease for the worker is renewed though the job there is to end.
    RenewsShardLeaseAfterCancellation,
    /// A shard lease is granted for a worker whose task is of a job that had ended before the leader
    /// was elected. This program did so.
    GrantsShardLeaseForOrphanedTask,
    /// While a direct message is out, answers renew the lease without the stop. This program did so.
    StopWaitsForDirectMessage,
    /// The answer to a heartbeat that a direct answer has overtaken renews the lease without the
    /// stop. This program did so.
    OvertakenHeartbeatGetsNoStop,
    /// The leader's transaction is not guarded by its key.
    CancellationNotGuarded,
    /// Votes make a leader valid again whose lease has expired.
    VotesReviveExpiredLease,
    /// Controllers that the state service serves grant votes, on evidence of long ago. That is no
    /// danger: a vote forbids the voter to lead and to cancel, whatever it was granted for.
    VotesThoughStoreReachable,
}

/// What a leader knows of the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum JobView {
    Unread,
    Running,
    /// A transaction that cancels it was sent; its outcome is unknown.
    Cancelling,
    Ended,
    /// It had ended before this leader was elected: a task of it is orphaned.
    EndedBefore,
}

impl JobView {
    /// Whether a task of the job is to stop.
    pub fn is_ending(self) -> bool {
        matches!(self, Self::Cancelling | Self::Ended | Self::EndedBefore)
    }
}

/// A direct message to the worker. It may arrive at any time, and renews no lease.
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
    pub lease_ends: u64,
}

/// What guards a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Guard {
    /// The leader key has this version.
    LeaderKey(u8),
    /// There is no leader key, and nobody was elected since the term marker had this version.
    NoLeaderSince(u8),
}

/// A cancellation on its way to the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Transaction {
    pub controller: usize,
    pub process: u8,
    pub guard: Guard,
}

/// The worker, as long as it runs the task.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Worker {
    pub runs_task: bool,
    lease_renewed_at: u64,
    /// The greatest fencing token that it has seen.
    pub token: u8,
}

/// Until when the other controller may answer the worker under the token of its leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ShardLease {
    pub token: u8,
    pub until: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CancellationWorld {
    pub mistake: Mistake,
    pub now: u64,
    pub controllers: Vec<Controller>,
    pub leader_key: Option<LeaderKey>,
    /// The version of the term marker.
    pub term_marker: u8,
    pub cancellation_stored: bool,
    pub in_flight: Option<Transaction>,
    /// When the first user received the answer that the job is cancelled.
    pub reported_at: Option<u64>,
    pub worker: Worker,
    pub shard_lease: ShardLease,
    /// The direct message that is out, or held up by the network.
    pub message: Option<DirectMessage>,
    /// The leader that has had an answer to a direct message, which is newer than the heartbeat
    /// that the worker waits with.
    pub overtaken_at: Option<usize>,
    pub faults: Faults,
}

impl CancellationWorld {
    /// Controller 0 leads and knows the job, and the worker reports to it.
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
                lease_ends: TTL,
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
            overtaken_at: None,
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

    /// Time passes for the worker.
    pub fn expire_worker_lease(&mut self) {
        self.worker.runs_task &= self.now <= self.worker.lease_renewed_at + WORKER_LEASE;
    }

    /// A controller answers the worker: its lease is renewed, and the task perhaps stopped.
    /// Whether this changes anything.
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

    /// The state service commits the transaction if it serves and the guard holds; whether it did.
    pub fn commit(&mut self) -> Option<(Transaction, bool)> {
        let transaction = self.in_flight.filter(|_| !self.faults.is_outage())?;
        let unguarded = self.mistake == Mistake::CancellationNotGuarded;
        let committed = !self.cancellation_stored && (unguarded || self.holds(transaction.guard));
        self.cancellation_stored |= committed;
        self.in_flight = None;
        Some((transaction, committed))
    }

    fn holds(&self, guard: Guard) -> bool {
        let key_version = self.leader_key.map(|key| key.version);
        match guard {
            Guard::LeaderKey(version) => key_version == Some(version),
            Guard::NoLeaderSince(marker) => key_version.is_none() && marker == self.term_marker,
        }
    }

    /// The sender learns the outcome of its transaction; `None`: that it is unknown.
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

impl ModelState for CancellationWorld {
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
        let ends_by = |reported_at| reported_at + SHARD_LEASE + WORKER_LEASE;
        self.worker.runs_task && self.reported_at.is_some_and(|at| self.now > ends_by(at))
    }
}
