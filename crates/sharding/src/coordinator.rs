//! The leader's choice of the shard owner of each worker.
//!
//! A worker belongs to the controller that it reports to: which controllers it can reach is not
//! known here. What is left to decide is which controllers have too many workers, and where a
//! worker that may move is redirected.

use std::collections::BTreeMap;

use crate::message::{OwnerStatus, ShardChange, ShardLease};
use crate::rendezvous::{ControllerCapacity, load_limits, rank_controllers};
use crate::table::{Assignment, ShardTable};
use crate::{ControllerIndex, Millis, WorkerNumber};

/// A controller without a status for so long is down, or cannot reach the leader.
const UNREACHABLE_AFTER_MS: Millis = 1500;
/// The weight of the leader, which has other work, against 1 for any other controller.
const LEADER_WEIGHT: f64 = 0.5;
/// A worker is not moved again for balance within this time.
const MOVE_COOLDOWN_MS: Millis = 60_000;
/// A controller that could not relay commands is not asked to for so long.
const RELAY_BACKOFF_MS: Millis = 3000;
/// A worker that commands did not reach is answered by the leader alone for so long.
const LEADER_ONLY_MS: Millis = 8000;
/// So many commands in a row without an answer, from a worker that sends heartbeats.
const MAX_UNANSWERED_COMMANDS: u32 = 2;
/// How often workers may move for balance.
const MOVE_PERIOD_MS: Millis = 1000;
/// In each period one worker in so many may move,
const WORKERS_PER_MOVE: usize = 50;
/// and no fewer than these.
const MIN_MOVES: usize = 4;

/// How a heartbeat is routed at the controller that received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// It is answered there, at once or once that controller knows of its assignment.
    Here,
    /// The worker is to report to this controller.
    Redirect(ControllerIndex),
    /// Another controller may still answer the worker, or the worker is fenced.
    Wait,
}

/// Which controllers may be assigned a worker now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerPermission {
    /// Any controller.
    AnyController,
    /// None: the worker is fenced, or about to be.
    NoController,
    /// Only the leader itself.
    LeaderOnly,
}

#[derive(Debug, Clone, Copy)]
struct WorkerState {
    zone: u32,
    last_heartbeat_at: Millis,
    /// When it was last moved for balance.
    moved_at: Option<Millis>,
    unanswered_commands: u32,
    leader_only_until: Millis,
}

#[derive(Debug, Clone, Copy, Default)]
struct ControllerState {
    zone: u32,
    last_status_at: Option<Millis>,
    /// It has forwarded all heartbeats that it had received before this leader's election.
    has_forwarded_all: bool,
    /// It has a lease of this leader: before that it relays no commands.
    has_lease: bool,
    reachable: bool,
    no_relay_until: Millis,
    load: usize,
    load_limit: usize,
}

/// The leader's sharding decisions: who owns which worker, and which controllers relay commands.
pub struct ShardCoordinator {
    leader: ControllerIndex,
    heartbeat_interval_ms: Millis,
    table: ShardTable,
    workers: BTreeMap<WorkerNumber, WorkerState>,
    controllers: Vec<ControllerState>,
    /// How many workers may still move for balance in this period.
    moves_left: usize,
    next_period_at: Millis,
}

impl ShardCoordinator {
    /// The coordinator of a leader with this fencing token and index; `zones` of all controllers.
    pub fn new(
        token: u64,
        leader: ControllerIndex,
        zones: &[u32],
        heartbeat_interval_ms: Millis,
    ) -> Self {
        let controller = |&zone: &u32| ControllerState {
            zone,
            ..ControllerState::default()
        };
        Self {
            leader,
            heartbeat_interval_ms,
            table: ShardTable::new(token, zones.len()),
            workers: BTreeMap::new(),
            controllers: zones.iter().map(controller).collect(),
            moves_left: 0,
            next_period_at: 0,
        }
    }

    /// Whether there is such a controller, and it is not the leader itself.
    pub fn is_peer(&self, controller: ControllerIndex) -> bool {
        controller != self.leader && (controller as usize) < self.controllers.len()
    }

    /// See [`ShardTable::add`].
    pub fn add(&mut self, worker: WorkerNumber, zone: u32, last_answer: Millis) {
        self.table.add(worker, last_answer);
        self.workers.insert(
            worker,
            WorkerState {
                zone,
                last_heartbeat_at: 0,
                moved_at: None,
                unanswered_commands: 0,
                leader_only_until: 0,
            },
        );
    }

    /// See [`ShardTable::remove`].
    pub fn remove(&mut self, worker: WorkerNumber) {
        self.table.remove(worker);
        self.workers.remove(&worker);
    }

    /// See [`ShardTable::unanswered_since`].
    pub fn unanswered_since(&self, worker: WorkerNumber) -> Option<Millis> {
        self.table.unanswered_since(worker)
    }

    /// The shard owner of a worker, `None` if only the leader may answer it.
    pub fn shard_owner(&self, worker: WorkerNumber) -> Option<ControllerIndex> {
        match self.table.assignment(worker)? {
            Assignment::Owned { owner, .. } => Some(owner),
            _ => None,
        }
    }

    /// The shard owner of a worker, if it can relay commands to it.
    pub fn owner_relay(&self, worker: WorkerNumber, now: Millis) -> Option<ControllerIndex> {
        let owner = self.shard_owner(worker)?;
        self.can_relay(owner, now).then_some(owner)
    }

    fn can_relay(&self, controller: ControllerIndex, now: Millis) -> bool {
        let controller = &self.controllers[controller as usize];
        controller.reachable && controller.has_lease && now >= controller.no_relay_until
    }

    fn available_relays(&self, now: Millis) -> Vec<ControllerIndex> {
        let all = 0..self.controllers.len() as u32;
        all.filter(|&controller| self.can_relay(controller, now))
            .collect()
    }

    /// Who may send commands to a worker without a shard owner: such workers are spread over the
    /// available relays and the leader itself (`None`).
    pub fn relay_or_leader(&self, worker: WorkerNumber, now: Millis) -> Option<ControllerIndex> {
        let relays = self.available_relays(now);
        relays.get(worker as usize % (relays.len() + 1)).copied()
    }

    /// Another controller that can relay commands to a worker which the leader does not reach.
    pub fn any_relay(&self, worker: WorkerNumber, now: Millis) -> Option<ControllerIndex> {
        let relays = self.available_relays(now);
        (!relays.is_empty()).then(|| relays[worker as usize % relays.len()])
    }

    /// A controller could not be given commands to relay.
    pub fn mark_relay_failed(&mut self, controller: ControllerIndex, now: Millis) {
        self.controllers[controller as usize].no_relay_until = now + RELAY_BACKOFF_MS;
    }

    /// Whether every other controller has forwarded all heartbeats that it had buffered, so that a
    /// new leader need not probe those workers.
    pub fn all_peers_have_forwarded(&self) -> bool {
        let controllers = (0u32..).zip(&self.controllers);
        let mut peers = controllers.filter(|(index, _)| *index != self.leader);
        peers.all(|(_, controller)| controller.has_forwarded_all)
    }

    /// Handles the status of a shard owner, see [`ShardTable::handle_status`].
    /// `has_forwarded_all`: it has no more heartbeats to forward.
    pub fn handle_status(
        &mut self,
        now: Millis,
        from: ControllerIndex,
        status: &OwnerStatus,
        has_forwarded_all: bool,
        valid_for: Millis,
    ) -> Option<ShardLease> {
        let controller = &mut self.controllers[from as usize];
        controller.reachable = true;
        controller.has_forwarded_all |= has_forwarded_all;
        controller.has_lease = self.table.token() == status.token;
        controller.last_status_at = Some(now);
        self.table.handle_status(now, from, status, valid_for)
    }

    /// See [`ShardTable::pending_changes`].
    pub fn pending_changes(&self, controller: ControllerIndex) -> Vec<(u64, ShardChange)> {
        self.table.pending_changes(controller)
    }

    /// Routes a heartbeat that the controller `at` received. `waits`: the worker waits for an
    /// answer there and now.
    pub fn handle_heartbeat(
        &mut self,
        now: Millis,
        worker: WorkerNumber,
        at: ControllerIndex,
        permission: AnswerPermission,
        waits: bool,
    ) -> Route {
        let Some(assignment) = self.table.assignment(worker) else {
            return Route::Wait;
        };
        let state = self
            .workers
            .get_mut(&worker)
            .expect("every worker of the table has a state");
        state.last_heartbeat_at = now;
        let permission = match permission {
            AnswerPermission::AnyController if now < state.leader_only_until => {
                AnswerPermission::LeaderOnly
            }
            permission => permission,
        };
        let any_controller = permission == AnswerPermission::AnyController;
        match assignment {
            Assignment::Owned { owner, .. } if owner == at && any_controller => Route::Here,
            Assignment::Owned { .. } | Assignment::Releasing { .. } => {
                // Unless the worker waits, this is an old heartbeat that its last owner forwards.
                if waits {
                    let to = (any_controller && at != self.leader).then_some(at);
                    self.table.reassign(worker, to);
                }
                Route::Wait
            }
            Assignment::Unassigned { .. } => self.route_unassigned(now, worker, at, permission),
        }
    }

    fn route_unassigned(
        &mut self,
        now: Millis,
        worker: WorkerNumber,
        at: ControllerIndex,
        permission: AnswerPermission,
    ) -> Route {
        match permission {
            AnswerPermission::NoController => Route::Wait,
            AnswerPermission::LeaderOnly if at == self.leader => Route::Here,
            AnswerPermission::LeaderOnly => Route::Redirect(self.leader),
            AnswerPermission::AnyController => {
                if let Some(to) = self.spend_move(now, worker, at) {
                    return Route::Redirect(to);
                }
                if at != self.leader {
                    self.table.reassign(worker, Some(at));
                    self.controllers[at as usize].load += 1;
                }
                Route::Here
            }
        }
    }

    /// A better owner for a worker at the controller `at`, if a move may be spent on it: one with
    /// room, where `at` has too many workers or is in another zone.
    fn spend_move(
        &mut self,
        now: Millis,
        worker: WorkerNumber,
        at: ControllerIndex,
    ) -> Option<ControllerIndex> {
        let from = self.controllers[at as usize];
        let state = self.workers.get_mut(&worker)?;
        let overloaded = from.load > from.load_limit;
        let is_cooling_down = state.moved_at.is_some_and(|t| now - t < MOVE_COOLDOWN_MS);
        if self.moves_left == 0 || !(overloaded || from.zone != state.zone) || is_cooling_down {
            return None;
        }
        let zone = state.zone;
        // The leader has only those workers that come to it. From a controller that is not
        // overloaded a worker goes only to its own zone, with which it would fail anyway.
        let has_room = |index: &usize| {
            let controller = &self.controllers[*index];
            *index as u32 != self.leader
                && controller.load < controller.load_limit
                && (overloaded || controller.zone == zone)
        };
        if !(0..self.controllers.len()).any(|index| has_room(&index)) {
            return None;
        }
        let capacities = capacities(&self.controllers, self.leader);
        let ranking = rank_controllers(&capacities, worker, zone);
        let to = ranking.into_iter().find(has_room)?;
        state.moved_at = Some(now);
        self.moves_left -= 1;
        self.controllers[to].load += 1;
        let from = &mut self.controllers[at as usize];
        from.load = from.load.saturating_sub(1);
        Some(to as u32)
    }

    /// Revokes a worker, also from its next owner: it is late, or about to be fenced, and only the
    /// leader may answer it.
    pub fn revoke(&mut self, worker: WorkerNumber) {
        self.table.reassign(worker, None);
    }

    /// Records whether a worker has answered a command. A worker that sends heartbeats but does
    /// not answer commands is revoked: the leader's own answers carry them.
    pub fn record_command_result(&mut self, now: Millis, worker: WorkerNumber, answered: bool) {
        let Some(state) = self.workers.get_mut(&worker) else {
            return;
        };
        state.unanswered_commands = if answered {
            0
        } else {
            state.unanswered_commands + 1
        };
        let is_unanswered = state.unanswered_commands >= MAX_UNANSWERED_COMMANDS;
        let is_alive = now - state.last_heartbeat_at < 2 * self.heartbeat_interval_ms;
        if is_unanswered && is_alive && self.shard_owner(worker).is_some() {
            let state = self
                .workers
                .get_mut(&worker)
                .expect("the worker was found above");
            state.unanswered_commands = 0;
            state.leader_only_until = now + LEADER_ONLY_MS;
            self.revoke(worker);
        }
    }

    /// This process was paused and read nothing meanwhile: no controller is late because of that.
    pub fn handle_pause(&mut self, pause_ms: Millis) {
        for controller in &mut self.controllers {
            controller.last_status_at = controller.last_status_at.map(|t| t + pause_ms);
        }
    }

    /// Advances the time. `allow_moves`: no mass loss is being handled, so workers may move for
    /// balance. Returns the controllers that are unreachable from now on.
    pub fn tick(&mut self, now: Millis, allow_moves: bool) -> Vec<ControllerIndex> {
        let unreachable = self.revoke_from_unreachable(now);
        self.table.expire_releases(now);
        let workers = self.update_loads(now);
        let capacities = capacities(&self.controllers, self.leader);
        let limits = load_limits(&capacities, workers);
        for (controller, limit) in self.controllers.iter_mut().zip(limits) {
            controller.load_limit = limit;
        }
        if now >= self.next_period_at {
            self.next_period_at = now + MOVE_PERIOD_MS;
            self.moves_left = if allow_moves {
                (workers / WORKERS_PER_MOVE).max(MIN_MOVES)
            } else {
                0
            };
            self.rebalance(now);
        }
        unreachable
    }

    fn revoke_from_unreachable(&mut self, now: Millis) -> Vec<ControllerIndex> {
        let mut unreachable = Vec::new();
        for index in 0..self.controllers.len() as u32 {
            let controller = &mut self.controllers[index as usize];
            let is_late = controller
                .last_status_at
                .is_none_or(|t| now.saturating_sub(t) > UNREACHABLE_AFTER_MS);
            if index != self.leader && controller.reachable && is_late {
                controller.reachable = false;
                self.table.revoke_all(index);
                unreachable.push(index);
            }
        }
        unreachable
    }

    /// Counts the workers of each controller, and returns the sum.
    fn update_loads(&mut self, now: Millis) -> usize {
        for controller in &mut self.controllers {
            controller.load = 0;
        }
        let mut workers = 0;
        for (worker, owner) in self.table.planned_owners() {
            let heartbeat_age = now.saturating_sub(self.workers[&worker].last_heartbeat_at);
            if owner.is_some() || heartbeat_age < 2 * self.heartbeat_interval_ms {
                self.controllers[owner.unwrap_or(self.leader) as usize].load += 1;
                workers += 1;
            }
        }
        workers
    }

    /// Moves workers away from overloaded shard owners; the leader redirects its own as they
    /// report.
    fn rebalance(&mut self, now: Millis) {
        let owned: Vec<(WorkerNumber, ControllerIndex)> = self
            .workers
            .keys()
            .filter_map(|&worker| Some((worker, self.shard_owner(worker)?)))
            .collect();
        for (worker, owner) in owned {
            if self.moves_left == 0 {
                return;
            }
            if let Some(to) = self.spend_move(now, worker, owner) {
                self.table.reassign(worker, Some(to));
            }
        }
    }

    /// The number of workers of each controller, by index. The leader's are those without a shard
    /// owner that sent a heartbeat lately.
    pub fn loads(&self) -> Vec<usize> {
        self.controllers.iter().map(|c| c.load).collect()
    }
}

fn capacities(controllers: &[ControllerState], leader: ControllerIndex) -> Vec<ControllerCapacity> {
    let capacity = |(index, controller): (u32, &ControllerState)| ControllerCapacity {
        zone: controller.zone,
        weight: match controller.reachable {
            _ if index == leader => LEADER_WEIGHT,
            true => 1.0,
            false => 0.0,
        },
    };
    (0u32..).zip(controllers).map(capacity).collect()
}
