//! The state of a shard owner: a controller that answers the workers of its shard under a lease
//! from the leader.

use std::collections::BTreeMap;

use crate::message::{OwnerStatus, ReleasedWorker, ShardChange, ShardLease};
use crate::{ControllerIndex, Millis, WorkerNumber};

/// How a shard owner treats a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatDecision {
    /// The heartbeat may be answered under this fencing token.
    Answer(u64),
    /// Another controller owns the worker: the heartbeat is answered by a redirect to it.
    Redirect(ControllerIndex),
    /// This controller owns the worker but has no valid lease. The heartbeat waits for one.
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

/// The release of a worker, kept until the leader acknowledges it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PendingRelease {
    /// The version of the change that released the worker.
    version: u64,
    /// When the last heartbeat that was answered was received.
    last_answer: Option<Millis>,
    /// The number of the first status that reports the release.
    first_status_number: u64,
}

/// The state of a shard owner: its shard, its lease, and the releases that the leader has not
/// acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ShardOwner {
    process: u64,
    last_status_number: u64,
    /// Statuses without an answer, the oldest first.
    in_flight: Vec<InFlightStatus>,
    /// The highest number of a status that was answered. Answers to earlier ones are ignored.
    last_answered_number: u64,
    token: u64,
    version: u64,
    valid_until: Millis,
    /// The workers of the shard, with the time at which the last answered heartbeat was received.
    shard: BTreeMap<WorkerNumber, Option<Millis>>,
    released: BTreeMap<WorkerNumber, PendingRelease>,
    redirects: BTreeMap<WorkerNumber, ControllerIndex>,
}

impl ShardOwner {
    /// Creates a shard owner without a shard. `process` is a random number that identifies this
    /// process, never 0.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            last_status_number: 0,
            in_flight: Vec::new(),
            last_answered_number: 0,
            token: 0,
            version: 0,
            valid_until: 0,
            shard: BTreeMap::new(),
            released: BTreeMap::new(),
            redirects: BTreeMap::new(),
        }
    }

    /// Creates the next status for the leader, which requests a lease. If more than `max_in_flight`
    /// statuses are unanswered, an answer to the oldest one is no longer accepted.
    pub fn next_status(&mut self, now: Millis, max_in_flight: usize) -> OwnerStatus {
        self.last_status_number += 1;
        self.in_flight.push(InFlightStatus {
            number: self.last_status_number,
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
            number: self.last_status_number,
            token: self.token,
            applied_version: self.version,
            released: self.released.iter().map(released).collect(),
        }
    }

    /// Applies the leader's answer to a status. Ignores answers to another process, to an unknown
    /// status, from an earlier leader, and to a status before one that was already answered.
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
            // Assignments of an earlier leader are void. The new leader assumes that every worker
            // may have been answered until the earlier leader's leases ended.
            self.token = lease.token;
            self.version = 0;
            self.valid_until = 0;
            self.drop_shard();
        } else if status.number <= self.last_answered_number {
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

    /// Removes the statuses and releases that the answer to this status acknowledges.
    fn acknowledge(&mut self, number: u64) {
        self.last_answered_number = number;
        self.in_flight.retain(|status| status.number > number);
        self.released
            .retain(|_, release| release.first_status_number > number);
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
                    first_status_number: self.last_status_number + 1,
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

    /// The fencing token of the leader that assigned the shard, or 0 if none has yet.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// The time until which this controller may answer the workers of its shard.
    pub fn valid_until(&self) -> Millis {
        self.valid_until
    }

    /// Decides how a heartbeat of this worker is treated now.
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

    /// Records that a heartbeat received at `received_at` is about to be answered. Returns false if
    /// it may no longer be answered, since the process may have paused after the decision.
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
