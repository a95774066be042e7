//! The leader's table: which controller may answer which worker, and since when none may.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::message::{OwnerStatus, ReleasedWorker, ShardChange, ShardLease};
use crate::{ControllerIndex, Millis, WorkerNumber};

/// Leases end a little sooner on the shard owner's clock than on the leader's: monotonic clocks
/// drift apart by 0.05% each way, so a lease is shortened by this fraction of its length,
const CLOCK_DRIFT_DIVISOR: u64 = 500;
/// and timers have a granularity of a few ms.
const TIMER_GRANULARITY_MS: Millis = 5;
/// No change has this version, so no status can acknowledge a release of this version.
const UNACKNOWLEDGEABLE_VERSION: u64 = 0;

/// Who may answer a worker. `last_answer` is an upper bound of when it was last answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Assignment {
    /// No controller but the leader may answer it, and none has since `last_answer`.
    Unassigned {
        /// Nobody has answered it since.
        last_answer: Millis,
    },
    /// This controller may answer it, or will learn that it may.
    Owned {
        /// The shard owner.
        owner: ControllerIndex,
        /// The bound for answers of earlier owners.
        last_answer: Millis,
    },
    /// This controller is to release it. Unless it confirms that, it may answer until `lease_end`.
    Releasing {
        /// The shard owner.
        owner: ControllerIndex,
        /// The change that releases the worker.
        version: u64,
        /// When the last lease without that change ends.
        lease_end: Millis,
        /// The bound for answers of earlier owners.
        last_answer: Millis,
    },
}

/// What the leader knows of a controller as a shard owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct OwnerState {
    /// The process that sent the last status, 0 for none yet.
    process: u64,
    /// The number of the last status that was accepted from that process.
    last_status: u64,
    /// The version of the last change to its shard.
    version: u64,
    /// At this version its shard was empty: anything older was another process's.
    base_version: u64,
    /// Changes that it has not acknowledged, the oldest first.
    pending: VecDeque<(u64, ShardChange)>,
    /// When its last lease ends, whichever process has it.
    lease_end: Millis,
}

/// Which controller may answer which worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ShardTable {
    token: u64,
    controllers: Vec<OwnerState>,
    workers: BTreeMap<WorkerNumber, Assignment>,
    /// The next owner of workers that are being released.
    next_owners: BTreeMap<WorkerNumber, ControllerIndex>,
    /// The workers that are being released, so that expiry need not visit all.
    releasing: BTreeSet<WorkerNumber>,
}

impl ShardTable {
    /// An empty table of a leader with this fencing token.
    pub fn new(token: u64, controllers: usize) -> Self {
        Self {
            token,
            controllers: vec![OwnerState::default(); controllers],
            workers: BTreeMap::new(),
            next_owners: BTreeMap::new(),
            releasing: BTreeSet::new(),
        }
    }

    /// The leader's fencing token.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Adds a worker. `last_answer`: when it may last have been answered, also by the shard owners
    /// of an earlier leader. Their leases have ended when that leader's key has expired; if the key
    /// was removed before, only a TTL after its last renewal.
    pub fn add(&mut self, worker: WorkerNumber, last_answer: Millis) {
        let assignment = Assignment::Unassigned { last_answer };
        self.workers.entry(worker).or_insert(assignment);
    }

    /// Removes a worker that is gone for good: answers of its shard owner reach nobody.
    pub fn remove(&mut self, worker: WorkerNumber) {
        self.next_owners.remove(&worker);
        self.releasing.remove(&worker);
        if let Some(Assignment::Owned { owner, .. }) = self.workers.remove(&worker) {
            self.queue_change(owner, ShardChange::Release(worker, None));
        }
    }

    /// Who may answer this worker, `None` if it is not known.
    pub fn assignment(&self, worker: WorkerNumber) -> Option<Assignment> {
        self.workers.get(&worker).copied()
    }

    /// All workers with their owner, or with the next one while the last one releases them.
    pub fn planned_owners(&self) -> impl Iterator<Item = (WorkerNumber, Option<ControllerIndex>)> {
        self.workers.iter().map(|(&worker, assignment)| {
            let owner = match *assignment {
                Assignment::Owned { owner, .. } => Some(owner),
                _ => self.next_owners.get(&worker).copied(),
            };
            (worker, owner)
        })
    }

    /// Adds a change to the shard of a controller, and returns its version.
    fn queue_change(&mut self, controller: ControllerIndex, change: ShardChange) -> u64 {
        let controller = self.owner_state(controller);
        controller.version += 1;
        controller.pending.push_back((controller.version, change));
        controller.version
    }

    fn owner_state(&mut self, controller: ControllerIndex) -> &mut OwnerState {
        &mut self.controllers[controller as usize]
    }

    /// Assigns a worker to this controller, or to none, as is needed before it is recorded as
    /// unresponsive. Takes effect once the current owner has released it.
    pub fn reassign(&mut self, worker: WorkerNumber, to: Option<ControllerIndex>) {
        let Some(&assignment) = self.workers.get(&worker) else {
            return;
        };
        match to {
            Some(to) => self.next_owners.insert(worker, to),
            None => self.next_owners.remove(&worker),
        };
        match assignment {
            Assignment::Owned { owner, last_answer } if to != Some(owner) => {
                let releasing = Assignment::Releasing {
                    owner,
                    lease_end: self.owner_state(owner).lease_end,
                    version: self.queue_change(owner, ShardChange::Release(worker, to)),
                    last_answer,
                };
                self.workers.insert(worker, releasing);
                self.releasing.insert(worker);
            }
            Assignment::Unassigned { last_answer } => self.complete_release(worker, last_answer),
            _ => {}
        }
    }

    /// No shard owner may answer this worker any more: it goes to the next owner, if there is one.
    fn complete_release(&mut self, worker: WorkerNumber, last_answer: Millis) {
        self.releasing.remove(&worker);
        let assignment = match self.next_owners.remove(&worker) {
            Some(owner) => {
                self.queue_change(owner, ShardChange::Assign(worker));
                Assignment::Owned { owner, last_answer }
            }
            None => Assignment::Unassigned { last_answer },
        };
        self.workers.insert(worker, assignment);
    }

    /// Revokes all workers of a controller that is unreachable. They are free once its lease has
    /// ended; any later lease carries the releases.
    pub fn revoke_all(&mut self, controller: ControllerIndex) {
        let is_owned = |assignment: &Assignment| matches!(assignment, Assignment::Owned { owner, .. } if *owner == controller);
        let owned: Vec<WorkerNumber> = self
            .workers
            .iter()
            .filter(|(_, assignment)| is_owned(assignment))
            .map(|(&worker, _)| worker)
            .collect();
        for worker in owned {
            self.reassign(worker, None);
        }
    }

    /// Another process of a controller sends statuses. Which of the two is the later one is not
    /// known here, so the other's lease counts until it ends, and the sender's shard is reset.
    fn switch_process(&mut self, from: ControllerIndex, process: u64) {
        let controller = self.owner_state(from);
        let is_first = controller.process == 0;
        controller.process = process;
        controller.last_status = 0;
        if !is_first {
            self.reset_shard(from);
        }
    }

    /// Resets the shard of a controller whose process knows nothing of what another process
    /// owned and answered.
    fn reset_shard(&mut self, from: ControllerIndex) {
        self.revoke_all(from);
        for worker in &self.releasing {
            if let Some(Assignment::Releasing { owner, version, .. }) = self.workers.get_mut(worker)
                && *owner == from
            {
                *version = UNACKNOWLEDGEABLE_VERSION;
            }
        }
        let controller = self.owner_state(from);
        controller.pending.clear();
        controller.version += 1;
        controller.base_version = controller.version;
    }

    /// Completes the releases that were not confirmed by controllers whose leases have ended.
    pub fn expire_releases(&mut self, now: Millis) {
        let expired = |worker: &WorkerNumber| match *self.workers.get(worker)? {
            Assignment::Releasing {
                lease_end,
                last_answer,
                ..
            } if now >= lease_end => Some((*worker, lease_end.max(last_answer))),
            _ => None,
        };
        let expired: Vec<(WorkerNumber, Millis)> =
            self.releasing.iter().filter_map(expired).collect();
        for (worker, last_answer) in expired {
            self.complete_release(worker, last_answer);
        }
    }

    /// Handles the status of a shard owner and returns the lease that answers it. `valid_for`: how
    /// long this leader is itself valid. `None` for a status that is not newer than the last one,
    /// which proves nothing.
    pub fn handle_status(
        &mut self,
        now: Millis,
        from: ControllerIndex,
        status: &OwnerStatus,
        valid_for: Millis,
    ) -> Option<ShardLease> {
        if status.process != self.owner_state(from).process {
            self.switch_process(from, status.process);
        }
        let controller = self.owner_state(from);
        if status.number <= controller.last_status {
            return None;
        }
        controller.last_status = status.number;
        if status.token == self.token {
            self.owner_state(from)
                .pending
                .retain(|(version, _)| *version > status.applied_version);
            for released in &status.released {
                self.confirm_release(now, from, released);
            }
        }
        self.expire_releases(now);
        Some(self.issue_lease(now, from, status, valid_for))
    }

    /// Completes a release if the shard owner confirms the very change that requested it.
    fn confirm_release(&mut self, now: Millis, from: ControllerIndex, released: &ReleasedWorker) {
        let Some(&Assignment::Releasing {
            owner,
            version,
            last_answer,
            ..
        }) = self.workers.get(&released.worker)
        else {
            return;
        };
        if owner == from && version == released.version {
            // Ages count from when the status was sent, which was before now.
            let answered_at = released
                .last_answer_age_ms
                .map_or(last_answer, |age| now.saturating_sub(age));
            self.complete_release(released.worker, answered_at.max(last_answer));
        }
    }

    fn issue_lease(
        &mut self,
        now: Millis,
        to: ControllerIndex,
        status: &OwnerStatus,
        valid_for: Millis,
    ) -> ShardLease {
        let controller = self.owner_state(to);
        controller.lease_end = controller.lease_end.max(now + valid_for);
        let base_version = controller.base_version;
        let margin = valid_for / CLOCK_DRIFT_DIVISOR + TIMER_GRANULARITY_MS;
        ShardLease {
            process: status.process,
            status_number: status.number,
            token: self.token,
            base_version,
            duration_ms: valid_for.saturating_sub(margin),
            changes: self.pending_changes(to),
        }
    }

    /// The changes that a controller has not acknowledged: any lease for it may carry them.
    pub fn pending_changes(&self, controller: ControllerIndex) -> Vec<(u64, ShardChange)> {
        let pending = &self.controllers[controller as usize].pending;
        pending.iter().copied().collect()
    }

    /// When a worker may last have been answered, for the end of its lease. `None`: a shard owner
    /// may answer it now.
    pub fn unanswered_since(&self, worker: WorkerNumber) -> Option<Millis> {
        match self.workers.get(&worker)? {
            Assignment::Unassigned { last_answer } => Some(*last_answer),
            _ => None,
        }
    }
}
