//! The workers shared among the controllers, as the leader has it: what shard owners tell, who is
//! to have which worker, and whose silence proves what. The decisions are `copperfield-shares`.

use std::collections::BTreeMap;

use copperfield_sharding::{AnswerPermission, Route, ShardCoordinator};

use crate::protocol::peer::{ForwardedHeartbeat, Outcome, ShardStatus, ShardUpdate};

use super::fencing::DeferredHeartbeat;
use super::messages::{Effect, Source};
use super::model::*;
use super::state::Core;

/// A new leader waits so long for what the shard owners have heard before it asks workers itself.
const TELLING_S: Time = 0.12;
/// A message that a shard owner took and says nothing of for so long is lost with it.
const CARRIED_S: Time = 3.0;
/// A worker on which a stop that cannot wait has no effect for so long is answered by the
/// leader alone: its answers carry orders, and without them the lease runs out.
const DISOBEYS_S: Time = 6.0;
/// Workers that are so much nearer to being late than to being silent are taken back.
const TAKE_BACK_S: Time = 0.6;
/// With more of the workers silent than this part a loss is being dealt with.
const LOSS_PART: usize = 50;
const TELL_EVERY_S: Time = 30.0;

/// See [`Core::enable_sharding`].
pub(super) struct Sharding {
    pub(super) coordinator: ShardCoordinator,
    me: u32,
    controllers: Vec<String>,
    /// Workers by the keeper's numbers, which are never used twice.
    names: BTreeMap<u32, String>,
    next_number: u32,
    /// Messages that shard owners carry: to which worker, since when.
    relayed: BTreeMap<u64, (String, Time)>,
    next_told: Time,
    /// Since then: words of shard owners, and reports in them.
    words: u32,
    heartbeats: usize,
}

trait Latest {
    fn max_of(self, at: Time) -> Self;
}

impl Latest for Option<Time> {
    fn max_of(self, at: Time) -> Self {
        Some(self.map_or(at, |t| t.max(at)))
    }
}

fn ms(at: Time) -> u64 {
    (at.max(0.0) * 1000.0).ceil() as u64
}

impl Core {
    /// Shares the workers with the other nodes: all by name and zone, of which this one has the
    /// place `me`. To be called before the first step.
    pub fn enable_sharding(&mut self, me: u32, controllers: &[(&str, &str)]) {
        let zones: Vec<u32> = controllers
            .iter()
            .map(|(_, z)| self.zones.intern(z))
            .collect();
        let report_ms = ms(self.config.cluster.workers.report_s);
        self.sharding = Some(Sharding {
            coordinator: ShardCoordinator::new(self.token, me, &zones, report_ms),
            me,
            controllers: controllers
                .iter()
                .map(|(name, _)| name.to_string())
                .collect(),
            names: BTreeMap::new(),
            next_number: 0,
            relayed: BTreeMap::new(),
            next_told: self.now + TELL_EVERY_S,
            words: 0,
            heartbeats: 0,
        });
        for m in self.workers.indices() {
            self.add_worker_to_shards(m);
        }
    }

    /// A worker that was not known. Holders of an earlier leader may have answered it for a
    /// TTL from now on, unless that one had promised that nobody would.
    pub(super) fn add_worker_to_shards(&mut self, m: u32) {
        let ttl_s = self.config.tuning.leader_ttl_ms as f64 / 1000.0;
        let Some(sharding) = &mut self.sharding else {
            return;
        };
        let worker = &mut self.workers[m];
        let promised = worker.fenced && worker.answered_at.is_some();
        let answered = if promised {
            0
        } else {
            ms(self.elected_at + ttl_s)
        };
        worker.number = sharding.next_number;
        sharding.next_number += 1;
        sharding.names.insert(worker.number, worker.name.clone());
        sharding
            .coordinator
            .add(worker.number, worker.zone, answered);
    }

    pub(super) fn remove_worker_from_shards(&mut self, m: u32) {
        if let Some(sharding) = &mut self.sharding {
            let number = self.workers[m].number;
            sharding.names.remove(&number);
            sharding.coordinator.remove(number);
        }
    }

    /// Of this node among all.
    pub(super) fn own_controller_index(&self) -> u32 {
        self.sharding.as_ref().map_or(0, |s| s.me)
    }

    /// When a worker may last have been answered, by whomever. `None`: a shard owner may answer it
    /// now.
    pub(super) fn answered_by_all(&self, worker: &Worker) -> Option<Time> {
        let own = worker.answered_at.unwrap_or(self.elected_at);
        let Some(sharding) = &self.sharding else {
            return Some(own);
        };
        let theirs = sharding.coordinator.unanswered_since(worker.number)?;
        Some(own.max(theirs as f64 / 1000.0))
    }

    /// Through whom a worker is written to, if not by this node.
    pub(super) fn relay_for(&self, m: u32) -> Option<u32> {
        let sharding = self.sharding.as_ref()?;
        let worker = &self.workers[m];
        let now = ms(self.now);
        let shard_owner = sharding.coordinator.relay_for(worker.number, now);
        match worker.missed() {
            // Whom nobody has, a new leader asks with the help of all others.
            Unanswered {
                own: false,
                relayed: false,
            } if shard_owner.is_none() && !worker.reconciled => {
                sharding.coordinator.helper(worker.number, now)
            }
            // The other way: neither node need reach what the other does. By turns from then on.
            Unanswered { own, relayed } if own || relayed => {
                let by_other = !relayed || (own && self.next_message_id.is_multiple_of(2));
                by_other.then(|| sharding.coordinator.any_helper(worker.number, now))?
            }
            _ => shard_owner,
        }
    }

    /// Whether a worker has answered nobody: neither this node, nor, if there is one, another.
    /// A leader that had lost its workers, and only it, once returned 446 good workers.
    pub(super) fn answers_no_controller(&self, m: u32) -> bool {
        let Unanswered { own, relayed } = self.workers[m].missed();
        own && (relayed || !self.has_helper(m))
    }

    fn has_helper(&self, m: u32) -> bool {
        let now = ms(self.now);
        let helper = |s: &Sharding| s.coordinator.any_helper(self.workers[m].number, now);
        self.sharding.as_ref().and_then(helper).is_some()
    }

    /// When a worker that has not answered is asked again: at once, if it is by another node.
    pub(super) fn ask_again_at(&self, m: u32) -> Time {
        let Unanswered { own, relayed } = self.workers[m].missed();
        if own != relayed && self.has_helper(m) {
            self.now
        } else {
            self.now + 1.0
        }
    }

    pub(super) fn shard_owner_of(&self, m: u32) -> Option<u32> {
        let sharding = self.sharding.as_ref()?;
        sharding.coordinator.shard_owner(self.workers[m].number)
    }

    /// The name of the node that answers a worker, where they are shared.
    pub(super) fn answered_at_node(&self, m: u32) -> Option<&str> {
        let sharding = self.sharding.as_ref()?;
        let at = match self.shard_owner_of(m) {
            Some(controller) => controller,
            None if self.is_unresponsive(m) => return None,
            None => sharding.me,
        };
        sharding.controllers.get(at as usize).map(String::as_str)
    }

    fn answer_permission(&self, m: u32) -> AnswerPermission {
        let worker = &self.workers[m];
        if self.fencing.is_fenced(&worker.name) {
            // On the word of all others the leader itself answers it all the same.
            return if self.now < self.lease_extended_until {
                AnswerPermission::Leader
            } else {
                AnswerPermission::Nobody
            };
        }
        if self.disobeys(m) {
            AnswerPermission::Leader
        } else {
            AnswerPermission::Anybody
        }
    }

    /// Whether something is on a worker that was to stop at once, long ago.
    fn disobeys(&self, m: u32) -> bool {
        self.workers[m].instances.iter().any(|(key, instance)| {
            let since = instance.stop.map(|s| s.ordered_at);
            instance.exit().is_none()
                && since.is_some_and(|t| self.now - t > DISOBEYS_S)
                && !matches!(self.jobs[key.job].state, JobState::Live)
        })
    }

    /// Where a worker that reports to this node is to be answered.
    pub(super) fn route_heartbeat(&mut self, m: u32) -> Route {
        let may = self.answer_permission(m);
        let Some(sharding) = &mut self.sharding else {
            return Route::Here;
        };
        let number = self.workers[m].number;
        let now = ms(self.now);
        sharding
            .coordinator
            .reported(now, number, sharding.me, may, true)
    }

    /// What a shard owner has heard and done, and what it may do next.
    pub(super) fn handle_shard_status(&mut self, ticket: u64, word: ShardStatus) {
        let knows = |s: &&mut Sharding| s.coordinator.knows(word.from);
        let Some(sharding) = self.sharding.as_mut().filter(knows) else {
            self.effects.push(Effect::Granted { ticket, down: None });
            return;
        };
        let now = ms(self.now);
        let valid_for = ms(self.valid_until - self.now).saturating_sub(1);
        sharding.words += 1;
        sharding.heartbeats += word.forwarded.len();
        // Before anything else: what it has left is free, for what it tells of it.
        let shard_lease =
            sharding
                .coordinator
                .spoke(now, word.from, &word.owner_status, word.all, valid_for);
        let overtaken = shard_lease.is_none();
        for (message_id, outcome) in word.outcomes {
            let sharding = self.sharding.as_mut().expect("looked at");
            if let Some((name, _)) = sharding.relayed.remove(&message_id) {
                self.handle_command_outcome(&name, message_id, outcome);
            }
        }
        let mut redirects = Vec::new();
        for forwarded in word.forwarded {
            let name = forwarded.heartbeat.worker.clone();
            if let Some(to) = self.handle_forwarded_heartbeat(word.from, forwarded, overtaken) {
                redirects.push((name, to));
            }
        }
        let Some(mut shard_lease) = shard_lease else {
            self.effects.push(Effect::Granted { ticket, down: None });
            return;
        };
        let sharding = self.sharding.as_mut().expect("looked at");
        shard_lease.changes = sharding.coordinator.changes(word.from);
        let names = ShardCoordinator::taken(&shard_lease)
            .filter_map(|number| Some((number, sharding.names.get(&number)?.clone())))
            .collect();
        let down = Some(ShardUpdate {
            shard_lease,
            names,
            redirects,
        });
        self.effects.push(Effect::Granted { ticket, down });
    }

    /// What this node had heard as a shard owner before it was elected.
    pub(super) fn handle_buffered_heartbeats(&mut self, forwarded: Vec<ForwardedHeartbeat>) {
        if self.sharding.is_none() {
            return;
        }
        for forwarded in forwarded {
            self.handle_forwarded_heartbeat(self.own_controller_index(), forwarded, true);
        }
    }

    /// A report that came to a shard owner. Where it is to report instead, if so.
    fn handle_forwarded_heartbeat(
        &mut self,
        from: u32,
        forwarded: ForwardedHeartbeat,
        overtaken: bool,
    ) -> Option<u32> {
        let ForwardedHeartbeat {
            heartbeat,
            age_ms,
            waits,
        } = forwarded;
        let m = self.worker_of(&heartbeat).ok()?;
        if self.is_duplicate_heartbeat(m, &heartbeat, from) {
            return None;
        }
        let heard = self.now - age_ms as f64 / 1000.0;
        let newer = self.is_newer(m, &heartbeat);
        if newer || waits {
            let worker = &mut self.workers[m];
            worker.last_heartbeat_at = worker.last_heartbeat_at.max_of(heard);
            worker.reported_at = worker.reported_at.max_of(heard);
            self.fencing.release(&self.workers[m].name, self.now);
        }
        if newer {
            let worker = &self.workers[m];
            let (answered_at, last_heartbeat_at) = (worker.answered_at, worker.last_heartbeat_at);
            let incarnation = worker.incarnation;
            self.apply_heartbeat(m, heartbeat, Source::Heartbeat);
            let worker = &mut self.workers[m];
            // Not now, but when the report came in.
            worker.last_heartbeat_at = last_heartbeat_at;
            if worker.incarnation > incarnation {
                // It had begun by then. Who may have answered it since is counted as
                // everybody's answers are.
                worker.answered_at = answered_at.max_of(heard);
            }
            self.follow_up(m);
        }
        if overtaken || !(newer || waits) {
            return None;
        }
        let may = self.answer_permission(m);
        let number = self.workers[m].number;
        let sharding = self.sharding.as_mut()?;
        match sharding
            .coordinator
            .reported(ms(self.now), number, from, may, waits)
        {
            Route::Redirect(to) if waits => Some(to),
            _ => None,
        }
    }

    /// What goes to a worker that a shard owner answers: as that answer has no orders, they leave
    /// with the next direct message.
    fn follow_up(&mut self, m: u32) {
        if self.workers[m].in_message_id.is_some() {
            return;
        }
        let commands = self.follow_up_commands(m, usize::MAX);
        let outbox = &mut self.workers[m].outbox;
        for command in commands {
            if !outbox.contains(&command) {
                outbox.push(command);
            }
        }
    }

    /// Messages that could not be given to a shard owner. `surely`: none was carried.
    pub(super) fn handle_relay_failure(
        &mut self,
        controller: u32,
        message_ids: Vec<u64>,
        surely: bool,
    ) {
        if let Some(sharding) = &mut self.sharding {
            sharding
                .coordinator
                .mark_relay_refused(controller, ms(self.now));
        }
        for message_id in message_ids {
            self.end_carried(message_id, surely);
        }
    }

    /// Ends a message of which nothing was heard, which is not the worker's fault.
    fn end_carried(&mut self, message_id: u64, surely: bool) {
        let sharding = self.sharding.as_mut().expect("it has carriers");
        let Some((name, _)) = sharding.relayed.remove(&message_id) else {
            return;
        };
        let Some(&m) = self.worker_ids.get(&name) else {
            return;
        };
        let worker = &self.workers[m];
        let before = (
            worker.unanswered_at,
            worker.missed,
            worker.commands_unanswered,
        );
        let outcome = if surely {
            Outcome::Unsent
        } else {
            Outcome::Unknown
        };
        self.handle_command_outcome(&name, message_id, outcome);
        let worker = &mut self.workers[m];
        (
            worker.unanswered_at,
            worker.missed,
            worker.commands_unanswered,
        ) = before;
        worker.next_probe = self.now;
    }

    /// A message goes out through another node.
    pub(super) fn note_carried(&mut self, m: u32, message_id: u64) {
        if let Some(sharding) = &mut self.sharding {
            let name = self.workers[m].name.clone();
            sharding.relayed.insert(message_id, (name, self.now));
        }
    }

    /// A worker has answered a message, or has not.
    pub(super) fn note_answer(&mut self, m: u32, answered: bool) {
        if let Some(sharding) = &mut self.sharding {
            let number = self.workers[m].number;
            sharding
                .coordinator
                .answered(ms(self.now), number, answered);
        }
    }

    /// Whether a new leader still waits for what the shard owners have heard.
    pub(super) fn is_being_told(&self) -> bool {
        self.now < self.elected_at + TELLING_S
            && self
                .sharding
                .as_ref()
                .is_some_and(|s| !s.coordinator.heard_all())
    }

    /// Once a batch: workers that are nearly silent are taken back, shard owners that are down lose
    /// what they have, and what they took along is ended.
    pub(super) fn balance_shards(&mut self) {
        if self.sharding.is_none() {
            return;
        }
        let nearly_s = self.unresponsive_after_s() - TAKE_BACK_S;
        let (mut silent, mut all) = (0, 0);
        let mut back = Vec::new();
        for (m, worker) in self.workers.iter() {
            let heard = worker.last_heartbeat_at.unwrap_or(self.listening_since);
            let late = self.now - heard > nearly_s;
            all += 1;
            // One whose lease is over is dealt with.
            silent += usize::from(late && worker.incarnation > worker.expired_incarnation);
            if late || self.disobeys(m) {
                back.push(worker.number);
            }
        }
        let calm = self.reconciliation_complete && silent * LOSS_PART <= all;
        let now = ms(self.now);
        let sharding = self.sharding.as_mut().expect("looked at");
        for number in back {
            if sharding.coordinator.unanswered_since(number).is_none() {
                sharding.coordinator.take_back(number);
            }
        }
        for controller in sharding.coordinator.tick(now, calm) {
            let controller = &sharding.controllers[controller as usize];
            tracing::info!(
                controller,
                "a holder is not heard: its machines go to others"
            );
        }
        if self.now >= sharding.next_told {
            sharding.next_told = self.now + TELL_EVERY_S;
            let workers: BTreeMap<&String, usize> = sharding
                .controllers
                .iter()
                .zip(sharding.coordinator.loads())
                .collect();
            let (words, heartbeats) = (sharding.words, sharding.heartbeats);
            (sharding.words, sharding.heartbeats) = (0, 0);
            tracing::info!(?workers, words, heartbeats, "shares");
        }
        let lost = |(message_id, (_, since)): (&u64, &(String, Time))| {
            (self.now - since > CARRIED_S).then_some(*message_id)
        };
        let lost: Vec<u64> = sharding.relayed.iter().filter_map(lost).collect();
        for message_id in lost {
            self.end_carried(message_id, false);
        }
        self.answer_deferred_heartbeats();
    }

    /// Reports that came here while somebody else might still answer their workers, or
    /// while those were on record.
    pub(super) fn answer_deferred_heartbeats(&mut self) {
        for (name, DeferredHeartbeat { ticket, heartbeat }) in self.fencing.take_deferred() {
            let fenced = self.fencing.is_fenced(&name) && self.now >= self.lease_extended_until;
            let m = self.worker_ids.get(&name).copied();
            if let Some(controller) = m.and_then(|m| self.shard_owner_of(m)) {
                // It has found another way meanwhile.
                self.effects.push(Effect::SendTo { ticket, controller });
                continue;
            }
            let held = m.is_some_and(|m| self.answered_by_all(&self.workers[m]).is_none());
            if fenced || held {
                self.fencing.defer(ticket, heartbeat);
            } else {
                self.answer_heartbeat(ticket, heartbeat);
            }
        }
    }
}
