//! The leader's side of sharding the workers among the controllers: which controller answers a
//! worker, and which one relays commands to it. [`copperfield_sharding`] makes these decisions;
//! this module connects it to the rest of the core.
//!
//! `routing` decides where a heartbeat is answered, `status` handles the messages of shard owners,
//! `relays` tracks the commands that they relay, and `balance` does the maintenance of each batch.

mod balance;
mod relays;
mod routing;
mod status;

use std::collections::{BTreeMap, BTreeSet};

use copperfield_sharding::{ControllerIndex, Millis, ShardCoordinator, WorkerNumber};

use super::state::Core;
use super::time::ceil_ms;

use balance::TrafficLog;
use relays::RelayedMessages;

/// The leader's view of the shards. See [`Core::enable_sharding`].
pub(super) struct Sharding {
    coordinator: ShardCoordinator,
    own_index: ControllerIndex,
    /// The names of all controllers, by index.
    controllers: Vec<String>,
    worker_names: BTreeMap<WorkerNumber, String>,
    /// The number of the next worker. Numbers are never reused.
    next_number: WorkerNumber,
    relayed: RelayedMessages,
    traffic: TrafficLog,
    /// Controllers that answer workers only under the leader's own fencing token.
    without_command_tokens: BTreeSet<ControllerIndex>,
}

impl Sharding {
    fn add_worker(&mut self, name: &str, zone: u32, last_answer: Millis) -> WorkerNumber {
        let number = self.next_number;
        self.next_number += 1;
        self.worker_names.insert(number, name.to_string());
        self.coordinator.add(number, zone, last_answer);
        number
    }

    /// Records whether a controller answers workers under fencing tokens above the leader's own.
    pub(super) fn set_command_token_support(
        &mut self,
        controller: ControllerIndex,
        supported: bool,
    ) {
        if supported {
            self.without_command_tokens.remove(&controller);
        } else {
            self.without_command_tokens.insert(controller);
        }
    }

    /// Whether no controller that has sent a status lacks support for raised fencing tokens.
    pub(super) fn all_support_command_tokens(&self) -> bool {
        self.without_command_tokens.is_empty()
    }

    fn remove_worker(&mut self, number: WorkerNumber) {
        self.worker_names.remove(&number);
        self.coordinator.remove(number);
    }
}

impl Core {
    /// Shards the workers among the controllers. `controllers` lists the name and zone of each, and
    /// `own_index` is the position of this one. Must be called before the first step.
    pub fn enable_sharding(&mut self, own_index: u32, controllers: &[(&str, &str)]) {
        let zones: Vec<u32> = controllers
            .iter()
            .map(|(_, zone)| self.zones.intern(zone))
            .collect();
        let interval_ms = ceil_ms(self.config.cluster.workers.heartbeat_interval_s);
        self.sharding = Some(Sharding {
            coordinator: ShardCoordinator::new(self.token, own_index, &zones, interval_ms),
            own_index,
            controllers: controllers
                .iter()
                .map(|(name, _)| name.to_string())
                .collect(),
            worker_names: BTreeMap::new(),
            next_number: 0,
            relayed: RelayedMessages::default(),
            traffic: TrafficLog::new(self.now),
            without_command_tokens: BTreeSet::new(),
        });
        for worker_index in self.workers.indices() {
            self.add_worker_to_shards(worker_index);
        }
    }

    /// Adds a new worker to the shards. Unless it is fenced, shard owners of an earlier leader may
    /// answer it until one TTL after the election. A fenced worker gets no answers.
    pub(super) fn add_worker_to_shards(&mut self, worker_index: u32) {
        let ttl_s = self.config.tuning.leader_ttl_s();
        let Some(sharding) = &mut self.sharding else {
            return;
        };
        let worker = &mut self.workers[worker_index];
        let last_answer = if worker.fenced && worker.answered_at.is_some() {
            0
        } else {
            ceil_ms(self.elected_at + ttl_s)
        };
        worker.shard_number = sharding.add_worker(&worker.name, worker.zone, last_answer);
    }

    /// Removes a worker from the shards.
    pub(super) fn remove_worker_from_shards(&mut self, worker_index: u32) {
        if let Some(sharding) = &mut self.sharding {
            sharding.remove_worker(self.workers[worker_index].shard_number);
        }
    }

    /// The index of this controller among all controllers.
    pub(super) fn own_controller_index(&self) -> u32 {
        self.sharding.as_ref().map_or(0, |s| s.own_index)
    }

    /// Handles a pause of this process, which must not make shard owners count as late.
    pub(super) fn shift_shard_statuses(&mut self, pause_s: f64) {
        if let Some(sharding) = &mut self.sharding {
            sharding.coordinator.handle_pause((pause_s * 1000.0) as u64);
        }
    }
}
