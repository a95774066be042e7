//! A shard owner: a controller that answers some of the workers under the leader's lease.

use std::collections::BTreeMap;

use crate::message::{OwnerStatus, ReleasedWorker, ShardChange, ShardLease};
use crate::{ControllerIndex, Millis, WorkerNumber};

/// How a shard owner treats a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatDecision {
    /// It may be answered under this fencing token.
    Answer(u64),
    /// Another controller owns the worker: 421 with its name.
    Redirect(ControllerIndex),
    /// This controller owns the worker but has no valid lease: the heartbeat waits for one.
    Wait,
    /// This controller does not know who owns the worker.
    Unknown,
}

/// A status that the leader has not answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct InFlightStatus {
    number: u64,
    sent_at: Millis,
}

/// A worker that was released, until the leader acknowledges it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PendingRelease {
    /// The change that released it.
    version: u64,
    /// When the last heartbeat that was answered had come in.
    last_answer: Option<Millis>,
    /// The number of the first status that reports the release.
    first_status: u64,
}

/// The state of a shard owner: its shard, its lease, and what the leader has not acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ShardOwner {
    process: u64,
    last_status: u64,
    /// The oldest first.
    in_flight: Vec<InFlightStatus>,
    /// Statuses up to this one have been answered, or a later one has.
    answered_up_to: u64,
    token: u64,
    version: u64,
    valid_until: Millis,
    /// Per worker of the shard, when the last heartbeat that was answered had come in.
    shard: BTreeMap<WorkerNumber, Option<Millis>>,
    released: BTreeMap<WorkerNumber, PendingRelease>,
    redirects: BTreeMap<WorkerNumber, ControllerIndex>,
}

impl ShardOwner {
    /// A shard owner without a shard. `process` is drawn at random by each process, never 0.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            last_status: 0,
            in_flight: Vec::new(),
            answered_up_to: 0,
            token: 0,
            version: 0,
            valid_until: 0,
            shard: BTreeMap::new(),
            released: BTreeMap::new(),
            redirects: BTreeMap::new(),
        }
    }

    /// The next status for the leader, which requests a lease. Beyond `max_in_flight` unanswered
    /// statuses, an answer to the oldest one is not accepted any more.
    pub fn next_status(&mut self, now: Millis, max_in_flight: usize) -> OwnerStatus {
        self.last_status += 1;
        self.in_flight.push(InFlightStatus {
            number: self.last_status,
            sent_at: now,
        });
        if self.in_flight.len() > max_in_flight {
            self.in_flight.remove(0);
        }
        let released = |(&worker, release): (&WorkerNumber, &PendingRelease)| ReleasedWorker {
            worker,
            version: release.version,
            last_answer_age_ms: release.last_answer.map(|at| now.saturating_sub(at)),
        };
        OwnerStatus {
            process: self.process,
            number: self.last_status,
            token: self.token,
            applied_version: self.version,
            released: self.released.iter().map(released).collect(),
        }
    }

    /// Applies the leader's answer to a status. Answers to another process, to an unknown status,
    /// of an earlier leader, or older than one that was applied are ignored.
    pub fn handle_lease(&mut self, lease: &ShardLease) {
        let mut in_flight = self.in_flight.iter();
        let answered = in_flight.find(|status| status.number == lease.status_number);
        let Some(&status) = answered.filter(|_| lease.process == self.process) else {
            return;
        };
        if lease.token < self.token {
            return;
        }
        if lease.token > self.token {
            // Assignments of an earlier leader are void. The new leader assumes that all workers
            // may have been answered until then.
            self.token = lease.token;
            self.version = 0;
            self.valid_until = 0;
            self.drop_shard();
        } else if status.number <= self.answered_up_to {
            return;
        }
        if self.version < lease.base_version {
            self.version = lease.base_version;
            self.drop_shard();
        }
        self.acknowledge(status.number);
        self.valid_until = self.valid_until.max(status.sent_at + lease.duration_ms);
        for &(version, change) in &lease.changes {
            if version > self.version {
                self.version = version;
                self.apply(version, change);
            }
        }
    }

    /// Forgets what the answer to this status acknowledges.
    fn acknowledge(&mut self, number: u64) {
        self.answered_up_to = number;
        self.in_flight.retain(|status| status.number > number);
        self.released
            .retain(|_, release| release.first_status > number);
    }

    fn apply(&mut self, version: u64, change: ShardChange) {
        match change {
            ShardChange::Assign(worker) => {
                self.redirects.remove(&worker);
                self.released.remove(&worker);
                self.shard.entry(worker).or_insert(None);
            }
            ShardChange::Release(worker, to) => {
                let release = PendingRelease {
                    version,
                    last_answer: self.shard.remove(&worker).flatten(),
                    first_status: self.last_status + 1,
                };
                self.released.insert(worker, release);
                if let Some(to) = to {
                    self.redirects.insert(worker, to);
                }
            }
        }
    }

    fn drop_shard(&mut self) {
        self.shard.clear();
        self.released.clear();
        self.redirects.clear();
    }

    /// The fencing token of the leader that assigned the shard, 0 for none yet.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Until when this controller may answer the workers of its shard.
    pub fn valid_until(&self) -> Millis {
        self.valid_until
    }

    /// How a heartbeat of this worker is treated now.
    pub fn decide(&self, worker: WorkerNumber, now: Millis) -> HeartbeatDecision {
        if self.shard.contains_key(&worker) {
            return if now < self.valid_until {
                HeartbeatDecision::Answer(self.token)
            } else {
                HeartbeatDecision::Wait
            };
        }
        match self.redirects.get(&worker) {
            Some(&controller) => HeartbeatDecision::Redirect(controller),
            None => HeartbeatDecision::Unknown,
        }
    }

    /// Records that a heartbeat that came in at `received_at` is about to be answered. False if
    /// that is not allowed any more: the process may have paused since the decision.
    pub fn record_answer(
        &mut self,
        worker: WorkerNumber,
        received_at: Millis,
        now: Millis,
    ) -> bool {
        if now >= self.valid_until {
            return false;
        }
        let Some(last_answer) = self.shard.get_mut(&worker) else {
            return false;
        };
        *last_answer = (*last_answer).max(Some(received_at));
        true
    }
}
