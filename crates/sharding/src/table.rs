//! The leader's table of which controller may answer which worker, and of when a worker may last
//! have been answered.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::message::{OwnerStatus, ReleasedWorker, ShardChange, ShardLease};
use crate::{ControllerIndex, Millis, WorkerNumber};

/// A lease is shortened by its length divided by this number, so that it ends on the shard owner's
/// clock before it ends on the leader's. Each monotonic clock may drift by 0.05%.
const CLOCK_DRIFT_DIVISOR: u64 = 500;
/// A lease is also shortened by this, because timers have a granularity of a few ms.
const TIMER_GRANULARITY_MS: Millis = 5;
/// A version that no change has, so that no status can confirm a release with this version.
const UNCONFIRMABLE_VERSION: u64 = 0;

/// Which controller may answer a worker. In all variants, `last_answer` is an upper bound of when
/// the worker was last answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Assignment {
    /// Only the leader may answer the worker, and no other controller has since `last_answer`.
    Unassigned {
        /// No shard owner has answered the worker since this time.
        last_answer: Millis,
    },
    /// This shard owner may answer the worker, now or once it learns of the assignment.
    Owned {
        /// The shard owner.
        owner: ControllerIndex,
        /// The bound for answers of earlier owners.
        last_answer: Millis,
    },
    /// This shard owner is to release the worker. It may answer the worker until it confirms the
    /// release or `lease_end` has passed.
    Releasing {
        /// The shard owner.
        owner: ControllerIndex,
        /// The version of the change that releases the worker.
        version: u64,
        /// When the last lease that does not carry that change ends.
        lease_end: Millis,
        /// The bound for answers of earlier owners.
        last_answer: Millis,
    },
}

/// The leader's state for a controller as a shard owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct OwnerState {
    /// The process that sent the last status, or 0 if none has been received.
    process: u64,
    /// The number of the last status that was accepted from that process.
    last_status_number: u64,
    /// The version of the last change to its shard.
    version: u64,
    /// The version at which its shard was last reset to empty. Earlier changes were made for
    /// another process.
    base_version: u64,
    /// Changes that it has not acknowledged, the oldest first.
    pending_changes: VecDeque<(u64, ShardChange)>,
    /// When the last lease of any of its processes ends.
    lease_end: Millis,
}

/// The leader's table of which controller may answer which worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ShardTable {
    token: u64,
    controllers: Vec<OwnerState>,
    workers: BTreeMap<WorkerNumber, Assignment>,
    /// The next owners of workers that are being released.
    next_owners: BTreeMap<WorkerNumber, ControllerIndex>,
    /// The workers that are being released. [`Self::expire_releases`] visits only these.
    releasing: BTreeSet<WorkerNumber>,
}

impl ShardTable {
    /// Creates an empty table for the leader with this fencing token.
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

    /// Adds a worker. `last_answer` is the latest time at which it may have been answered, also by
    /// the shard owners of an earlier leader. Their leases have ended when that leader's key
    /// expires. If the key was removed earlier, they end at the latest one TTL after its last
    /// renewal.
    pub fn add(&mut self, worker: WorkerNumber, last_answer: Millis) {
        let assignment = Assignment::Unassigned { last_answer };
        self.workers.entry(worker).or_insert(assignment);
    }

    /// Removes a worker that is gone for good. Its shard owner may still answer it, but no worker
    /// receives those answers.
    pub fn remove(&mut self, worker: WorkerNumber) {
        self.next_owners.remove(&worker);
        self.releasing.remove(&worker);
        if let Some(Assignment::Owned { owner, .. }) = self.workers.remove(&worker) {
            self.queue_change(owner, ShardChange::Release(worker, None));
        }
    }

    /// Which controller may answer this worker, or `None` if the worker is not in the table.
    pub fn assignment(&self, worker: WorkerNumber) -> Option<Assignment> {
        self.workers.get(&worker).copied()
    }

    /// All workers with their owners. A worker that is being released is listed with its next
    /// owner.
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
        controller
            .pending_changes
            .push_back((controller.version, change));
        controller.version
    }

    fn owner_state(&mut self, controller: ControllerIndex) -> &mut OwnerState {
        &mut self.controllers[controller as usize]
    }

    /// Assigns a worker to this controller, or revokes it if `to` is `None`, which must happen
    /// before the worker is recorded as unresponsive. Takes effect once the current owner has
    /// released the worker.
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

    /// Assigns a worker that no shard owner may answer any more to its next owner, if it has one.
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

    /// Revokes all workers of a controller that is unreachable. They can be assigned again once its
    /// lease has ended. Any later lease for it carries the releases.
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

    /// Handles a status from another process of a controller. Either process may be the later one,
    /// so the lease of the other one counts until it ends, and the shard of the sender is reset.
    fn switch_process(&mut self, from: ControllerIndex, process: u64) {
        let controller = self.owner_state(from);
        let is_first = controller.process == 0;
        controller.process = process;
        controller.last_status_number = 0;
        if !is_first {
            self.reset_shard(from);
        }
    }

    /// Resets the shard of a controller whose process does not know which workers another process
    /// owned and when it answered them.
    fn reset_shard(&mut self, from: ControllerIndex) {
        self.revoke_all(from);
        for worker in &self.releasing {
            if let Some(Assignment::Releasing { owner, version, .. }) = self.workers.get_mut(worker)
                && *owner == from
            {
                *version = UNCONFIRMABLE_VERSION;
            }
        }
        let controller = self.owner_state(from);
        controller.pending_changes.clear();
        controller.version += 1;
        controller.base_version = controller.version;
    }

    /// Completes the releases that are not confirmed but whose shard owner's lease has ended.
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

    /// Handles the status of a shard owner and returns the lease that answers it. `valid_for` is
    /// how long this leader is itself valid. Returns `None` for a status that is not newer than the
    /// last one: it may be a late duplicate, and is ignored.
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
        if status.number <= controller.last_status_number {
            return None;
        }
        controller.last_status_number = status.number;
        if status.token == self.token {
            self.owner_state(from)
                .pending_changes
                .retain(|(version, _)| *version > status.applied_version);
            for released in &status.released {
                self.confirm_release(now, from, released);
            }
        }
        self.expire_releases(now);
        Some(self.issue_lease(now, from, status, valid_for))
    }

    /// Completes a release if the shard owner confirms exactly the change that requested it.
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
            // Ages count from when the status was sent, which was before `now`, so this time is an
            // upper bound.
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

    /// The changes that a controller has not acknowledged. Any lease for it may carry them.
    pub fn pending_changes(&self, controller: ControllerIndex) -> Vec<(u64, ShardChange)> {
        let pending = &self.controllers[controller as usize].pending_changes;
        pending.iter().copied().collect()
    }

    /// The latest time at which a worker may have been answered, from which its lease counts, or
    /// `None` if a shard owner may answer it now.
    pub fn unanswered_since(&self, worker: WorkerNumber) -> Option<Millis> {
        match self.workers.get(&worker)? {
            Assignment::Unassigned { last_answer } => Some(*last_answer),
            _ => None,
        }
    }
}
