//! The leader's policy for assigning workers to shard owners.
//!
//! The leader does not know which controllers a worker can reach, so it assigns a worker to the
//! controller that the worker sends its heartbeats to. The coordinator then decides which
//! controllers have too many workers, and to which controller a worker is redirected.

use std::collections::BTreeMap;

use crate::message::{OwnerStatus, ShardChange, ShardLease};
use crate::rendezvous::{ControllerCapacity, load_limits, rank_controllers};
use crate::table::{Assignment, ShardTable};
use crate::{ControllerIndex, Millis, WorkerNumber};

/// A controller that has sent no status for longer than this counts as unreachable: it is down, or
/// cannot reach the leader.
const UNREACHABLE_AFTER_MS: Millis = 1500;
/// The weight of the leader relative to 1 for any other controller. The leader has other work.
const LEADER_WEIGHT: f64 = 0.5;
/// Minimum time between two moves of a worker for balance.
const MOVE_COOLDOWN_MS: Millis = 60_000;
/// How long a controller that failed to relay commands is not used as a relay.
const RELAY_BACKOFF_MS: Millis = 3000;
/// How long only the leader may answer a worker that did not answer commands.
const LEADER_ONLY_MS: Millis = 8000;
/// A worker that sends heartbeats is revoked from its shard owner after this number of consecutive
/// commands without an answer.
const UNANSWERED_COMMANDS_LIMIT: u32 = 2;
/// Length of the period for which the number of moves for balance is limited.
const MOVE_PERIOD_MS: Millis = 1000;
/// In each period, one in this many workers may move for balance.
const WORKERS_PER_MOVE: usize = 50;
/// At least this many workers may move in each period.
const MIN_MOVES: usize = 4;

/// How the controller that received a heartbeat handles it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// That controller answers the heartbeat, at once or when it learns that it owns the worker.
    Here,
    /// The worker is redirected to this controller.
    Redirect(ControllerIndex),
    /// The heartbeat is not answered now, because another controller may still answer the worker,
    /// or because the worker is fenced.
    Wait,
}

/// Which controllers may be assigned a worker now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerPermission {
    /// Any controller.
    AnyController,
    /// No controller, because the worker is fenced or about to be fenced.
    NoController,
    /// Only the leader itself.
    LeaderOnly,
}

#[derive(Debug, Clone, Copy)]
struct WorkerState {
    zone: u32,
    last_heartbeat_at: Millis,
    /// When the worker was last moved for balance.
    last_moved_at: Option<Millis>,
    unanswered_commands: u32,
    leader_only_until: Millis,
}

#[derive(Debug, Clone, Copy, Default)]
struct ControllerState {
    zone: u32,
    last_status_at: Option<Millis>,
    /// Whether it has forwarded all heartbeats that it received before this leader's election.
    has_forwarded_all: bool,
    /// Whether it has a lease from this leader. Without one it relays no commands.
    has_lease: bool,
    reachable: bool,
    relay_backoff_until: Millis,
    load: usize,
    load_limit: usize,
}

/// Decides for the leader which controller owns which worker, and which controllers relay commands.
pub struct ShardCoordinator {
    leader: ControllerIndex,
    heartbeat_interval_ms: Millis,
    table: ShardTable,
    workers: BTreeMap<WorkerNumber, WorkerState>,
    controllers: Vec<ControllerState>,
    /// The number of workers that may still move for balance in this period.
    moves_left: usize,
    next_period_at: Millis,
}

impl ShardCoordinator {
    /// Creates the coordinator of the leader with this fencing token and controller index. `zones`
    /// lists the zone of each controller.
    pub fn new(
        token: u64,
        leader: ControllerIndex,
        zones: &[u32],
        heartbeat_interval_ms: Millis,
    ) -> Self {
        let new_controller = |&zone: &u32| ControllerState {
            zone,
            ..ControllerState::default()
        };
        Self {
            leader,
            heartbeat_interval_ms,
            table: ShardTable::new(token, zones.len()),
            workers: BTreeMap::new(),
            controllers: zones.iter().map(new_controller).collect(),
            moves_left: 0,
            next_period_at: 0,
        }
    }

    /// Whether a controller of this index exists and is not the leader itself.
    pub fn is_peer(&self, controller: ControllerIndex) -> bool {
        controller != self.leader && (controller as usize) < self.controllers.len()
    }

    /// Adds a worker, see [`ShardTable::add`].
    pub fn add(&mut self, worker: WorkerNumber, zone: u32, last_answer: Millis) {
        self.table.add(worker, last_answer);
        self.workers.insert(
            worker,
            WorkerState {
                zone,
                last_heartbeat_at: 0,
                last_moved_at: None,
                unanswered_commands: 0,
                leader_only_until: 0,
            },
        );
    }

    /// Removes a worker, see [`ShardTable::remove`].
    pub fn remove(&mut self, worker: WorkerNumber) {
        self.table.remove(worker);
        self.workers.remove(&worker);
    }

    /// Since when a worker has not been answered, see [`ShardTable::unanswered_since`].
    pub fn unanswered_since(&self, worker: WorkerNumber) -> Option<Millis> {
        self.table.unanswered_since(worker)
    }

    /// The shard owner of a worker, or `None` if only the leader may answer the worker.
    pub fn shard_owner(&self, worker: WorkerNumber) -> Option<ControllerIndex> {
        match self.table.assignment(worker)? {
            Assignment::Owned { owner, .. } => Some(owner),
            _ => None,
        }
    }

    /// The shard owner of a worker, if that controller can relay commands.
    pub fn owner_relay(&self, worker: WorkerNumber, now: Millis) -> Option<ControllerIndex> {
        let owner = self.shard_owner(worker)?;
        self.can_relay(owner, now).then_some(owner)
    }

    fn can_relay(&self, controller: ControllerIndex, now: Millis) -> bool {
        let controller = &self.controllers[controller as usize];
        controller.reachable && controller.has_lease && now >= controller.relay_backoff_until
    }

    fn available_relays(&self, now: Millis) -> Vec<ControllerIndex> {
        let all = 0..self.controllers.len() as u32;
        all.filter(|&controller| self.can_relay(controller, now))
            .collect()
    }

    /// The relay for commands to a worker without a shard owner, or `None` if the leader sends them
    /// itself. Spreads such workers over the available relays and the leader.
    pub fn relay_or_leader(&self, worker: WorkerNumber, now: Millis) -> Option<ControllerIndex> {
        let relays = self.available_relays(now);
        relays.get(worker as usize % (relays.len() + 1)).copied()
    }

    /// Another controller that can relay commands to a worker that the leader cannot reach.
    pub fn any_relay(&self, worker: WorkerNumber, now: Millis) -> Option<ControllerIndex> {
        let relays = self.available_relays(now);
        (!relays.is_empty()).then(|| relays[worker as usize % relays.len()])
    }

    /// Records that a controller failed to accept commands, and stops using it as a relay for
    /// `RELAY_BACKOFF_MS`.
    pub fn mark_relay_failed(&mut self, controller: ControllerIndex, now: Millis) {
        self.controllers[controller as usize].relay_backoff_until = now + RELAY_BACKOFF_MS;
    }

    /// Whether every other controller has forwarded all heartbeats that it had buffered. A new
    /// leader need not probe the workers that sent them.
    pub fn all_peers_have_forwarded(&self) -> bool {
        self.peers().all(|peer| peer.has_forwarded_all)
    }

    /// Whether every other controller has sent a status lately, with the heartbeats that it has
    /// received.
    pub fn all_peers_reachable(&self) -> bool {
        self.peers().all(|peer| peer.reachable)
    }

    fn peers(&self) -> impl Iterator<Item = &ControllerState> {
        let controllers = (0u32..).zip(&self.controllers);
        let peers = controllers.filter(|(index, _)| *index != self.leader);
        peers.map(|(_, controller)| controller)
    }

    /// Handles the status of a shard owner, see [`ShardTable::handle_status`]. `has_forwarded_all`
    /// tells whether the shard owner has no more heartbeats to forward.
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

    /// The changes that a controller has not acknowledged, see [`ShardTable::pending_changes`].
    pub fn pending_changes(&self, controller: ControllerIndex) -> Vec<(u64, ShardChange)> {
        self.table.pending_changes(controller)
    }

    /// Routes a heartbeat that the controller `at` received. `waits` tells whether the worker's
    /// request is still open at that controller.
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
                // If the worker does not wait, its previous owner forwards an old heartbeat, and
                // the assignment stays.
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
                if let Some(to) = self.plan_move(now, worker, at) {
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

    /// Chooses a better owner for a worker at the controller `at`, and counts the move. The worker
    /// moves only if `at` has too many workers or is in another zone, if moves are left in this
    /// period, and if another controller has room.
    fn plan_move(
        &mut self,
        now: Millis,
        worker: WorkerNumber,
        at: ControllerIndex,
    ) -> Option<ControllerIndex> {
        let from = self.controllers[at as usize];
        let state = self.workers.get_mut(&worker)?;
        let overloaded = from.load > from.load_limit;
        let is_cooling_down = state
            .last_moved_at
            .is_some_and(|t| now - t < MOVE_COOLDOWN_MS);
        if self.moves_left == 0 || !(overloaded || from.zone != state.zone) || is_cooling_down {
            return None;
        }
        let zone = state.zone;
        // No worker is moved to the leader. A controller that is not overloaded hands a worker over
        // only to a controller in the worker's own zone: if that zone fails, the worker fails too.
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
        state.last_moved_at = Some(now);
        self.moves_left -= 1;
        self.controllers[to].load += 1;
        let from = &mut self.controllers[at as usize];
        from.load = from.load.saturating_sub(1);
        Some(to as u32)
    }

    /// Revokes a worker from its shard owner, and from its next one during a reassignment, so that
    /// only the leader may answer it. Used for a worker that is late or about to be fenced.
    pub fn revoke(&mut self, worker: WorkerNumber) {
        self.table.reassign(worker, None);
    }

    /// Records whether a worker has answered a command. A worker that sends heartbeats but does
    /// not answer commands is revoked from its shard owner, because the leader's own answers to
    /// heartbeats carry commands.
    pub fn record_command_result(&mut self, now: Millis, worker: WorkerNumber, answered: bool) {
        let Some(state) = self.workers.get_mut(&worker) else {
            return;
        };
        state.unanswered_commands = if answered {
            0
        } else {
            state.unanswered_commands + 1
        };
        let limit_reached = state.unanswered_commands >= UNANSWERED_COMMANDS_LIMIT;
        let sends_heartbeats = now - state.last_heartbeat_at < 2 * self.heartbeat_interval_ms;
        if limit_reached && sends_heartbeats && self.shard_owner(worker).is_some() {
            let state = self
                .workers
                .get_mut(&worker)
                .expect("the worker was found above");
            state.unanswered_commands = 0;
            state.leader_only_until = now + LEADER_ONLY_MS;
            self.revoke(worker);
        }
    }

    /// Handles a pause of this process, which read no statuses meanwhile: shifts the times of the
    /// last statuses, so that no controller becomes unreachable because of the pause.
    pub fn handle_pause(&mut self, pause_ms: Millis) {
        for controller in &mut self.controllers {
            controller.last_status_at = controller.last_status_at.map(|t| t + pause_ms);
        }
    }

    /// Advances the time. `allow_moves` tells whether workers may move for balance, which they may
    /// not during a mass loss of workers. Returns the controllers that have become unreachable.
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

    /// Counts the workers of each controller and returns the total.
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

    /// Moves workers from their shard owners to better ones. The leader redirects workers without a
    /// shard owner when they send a heartbeat.
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
            if let Some(to) = self.plan_move(now, worker, owner) {
                self.table.reassign(worker, Some(to));
            }
        }
    }

    /// The number of workers of each controller, by index. Workers without a shard owner count for
    /// the leader if they sent a heartbeat within the last two intervals.
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
