//! Handles the messages of shard owners: their statuses and the heartbeats they forward.

use copperfield_sharding::Route;

use crate::coordination::messages::{Effect, HeartbeatSource};
use crate::coordination::model::*;
use crate::coordination::state::Core;
use crate::coordination::time::{OptionalTime, ceil_ms};
use crate::protocol::peer::{ForwardedHeartbeat, ShardStatus, ShardUpdate};
use crate::protocol::worker::Heartbeat;

/// How long a new leader waits for the heartbeats that shard owners have buffered before it probes
/// the workers itself.
const FORWARDING_WAIT_S: Time = 0.12;

impl Core {
    /// Handles the status of a shard owner and answers it.
    pub(in crate::coordination) fn handle_shard_status(
        &mut self,
        ticket: u64,
        status: ShardStatus,
    ) {
        let supports_tokens = status.owner_status.supports_command_tokens();
        let update = self.apply_shard_status(status);
        let newest_token = supports_tokens.then(|| self.command_tokens.newest());
        self.effects.push(Effect::AnswerShardStatus {
            ticket,
            update,
            newest_token,
        });
    }

    /// Applies a status. Returns `None` if the sender is not a peer or the status is not newer than
    /// its last one.
    fn apply_shard_status(&mut self, status: ShardStatus) -> Option<ShardUpdate> {
        let now = ceil_ms(self.now);
        let valid_for = ceil_ms(self.valid_until - self.now).saturating_sub(1);
        let from = status.from;
        let sharding = self.sharding.as_mut()?;
        if !sharding.coordinator.is_peer(from) {
            return None;
        }
        sharding.traffic.record_status(status.forwarded.len());
        // The owner status is applied first, because heartbeats of workers that the owner has
        // released are routed by it.
        let (owner_status, has_forwarded_all) = (&status.owner_status, status.complete);
        let lease = sharding.coordinator.handle_status(
            now,
            from,
            owner_status,
            has_forwarded_all,
            valid_for,
        );
        if lease.is_some() {
            let supported = owner_status.supports_command_tokens();
            self.record_command_token_support(from, supported);
        }
        for (message_id, outcome) in status.outcomes {
            let sharding = self.sharding.as_mut()?;
            if let Some(worker) = sharding.relayed.remove(message_id) {
                self.handle_command_outcome(&worker, message_id, outcome);
            }
        }
        let mut redirects = Vec::new();
        for forwarded in status.forwarded {
            let worker = forwarded.heartbeat.worker.clone();
            if let Some(to) = self.handle_forwarded_heartbeat(from, forwarded, lease.is_none()) {
                redirects.push((worker, to));
            }
        }
        let mut shard_lease = lease?;
        let sharding = self.sharding.as_ref()?;
        // Handling the heartbeats may have added changes.
        shard_lease.changes = sharding.coordinator.pending_changes(from);
        let names = shard_lease
            .assigned_workers()
            .filter_map(|number| Some((number, sharding.worker_names.get(&number)?.clone())))
            .collect();
        Some(ShardUpdate {
            shard_lease,
            names,
            redirects,
        })
    }

    /// Handles the heartbeats that this controller buffered as a shard owner before it was elected.
    pub(in crate::coordination) fn handle_buffered_heartbeats(
        &mut self,
        buffered: Vec<ForwardedHeartbeat>,
    ) {
        if self.sharding.is_none() {
            return;
        }
        for forwarded in buffered {
            self.handle_forwarded_heartbeat(self.own_controller_index(), forwarded, true);
        }
    }

    /// Handles a heartbeat that a shard owner received. `is_outdated` tells whether the status that
    /// forwards it is outdated. Returns the controller to which the worker is redirected, if any.
    fn handle_forwarded_heartbeat(
        &mut self,
        from: u32,
        forwarded: ForwardedHeartbeat,
        is_outdated: bool,
    ) -> Option<u32> {
        let ForwardedHeartbeat {
            heartbeat,
            age_ms,
            awaits_reply,
        } = forwarded;
        let worker_index = self.worker_of(&heartbeat).ok()?;
        if self.is_duplicate_heartbeat(worker_index, &heartbeat, from) {
            return None;
        }
        let received_at = self.now - age_ms as f64 / 1000.0;
        let is_newer = self.is_newer(worker_index, &heartbeat);
        if is_newer || awaits_reply {
            let worker = &mut self.workers[worker_index];
            worker.last_heartbeat_at = worker.last_heartbeat_at.or_later(received_at);
            worker.reported_at = worker.reported_at.or_later(received_at);
            self.fencing.release(&worker.name, self.now);
        }
        if is_newer {
            self.apply_forwarded_heartbeat(worker_index, heartbeat, received_at);
        }
        if is_outdated || !(is_newer || awaits_reply) {
            return None;
        }
        match self.route_heartbeat(worker_index, from, awaits_reply) {
            Route::Redirect(to) if awaits_reply => Some(to),
            _ => None,
        }
    }

    /// Applies a forwarded heartbeat with the time at which the shard owner received it.
    fn apply_forwarded_heartbeat(
        &mut self,
        worker_index: u32,
        heartbeat: Heartbeat,
        received_at: Time,
    ) {
        let worker = &self.workers[worker_index];
        let (answered_at, last_heartbeat_at) = (worker.answered_at, worker.last_heartbeat_at);
        let incarnation = worker.incarnation;
        self.apply_heartbeat(worker_index, heartbeat, HeartbeatSource::Worker);
        let worker = &mut self.workers[worker_index];
        worker.last_heartbeat_at = last_heartbeat_at;
        if worker.incarnation > incarnation {
            // The incarnation had begun by the time of the heartbeat. Later answers by other
            // controllers are bounded by the shard coordinator.
            worker.answered_at = answered_at.or_later(received_at);
        }
        self.queue_follow_up(worker_index);
    }

    /// Queues the commands that follow from a heartbeat. A shard owner's answer carries no
    /// commands, so they are sent with the next direct message.
    fn queue_follow_up(&mut self, worker_index: u32) {
        if self.workers[worker_index].in_flight.is_some() {
            return;
        }
        let commands = self.follow_up_commands(worker_index, usize::MAX);
        self.workers[worker_index].queue_missing(commands);
    }

    /// Whether every other controller forwards the heartbeats that it receives, so that no
    /// controller hears a worker that this leader does not hear.
    pub fn receives_heartbeats_of_all_peers(&self) -> bool {
        let sharding = self.sharding.as_ref();
        sharding.is_some_and(|s| s.coordinator.all_peers_reachable())
    }

    /// Whether a new leader still waits for the heartbeats that shard owners have buffered.
    pub(in crate::coordination) fn awaits_forwarded_heartbeats(&self) -> bool {
        self.now < self.elected_at + FORWARDING_WAIT_S
            && self
                .sharding
                .as_ref()
                .is_some_and(|s| !s.coordinator.all_peers_have_forwarded())
    }
}
