//! The one owner of a controller's state.
//!
//! Everything that happens arrives as a command in one bounded queue and is
//! worked through in batches; what has to be done outside is done by spawned
//! tasks that report back through the same queue.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::controller::commands::{AdminResponse, Command, Handle};
use crate::controller::context::ControllerContext;
use crate::controller::effects::{announce_leadership, execute, send_to_relay};
use crate::controller::follower::{BufferedHeartbeats, Follower};
use crate::coordination::core::{CancelBegin, Config, Core, Effect, Input};
use crate::protocol::JobId;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobOutcome;
use crate::protocol::peer::{Lookup, RelayedCommand, ShardUpdate};
use crate::protocol::worker::Heartbeat;
use crate::settings::Switch;
use crate::storage::Snapshot;
use crate::storage::recovery::recover;
use crate::transport::server::Outgoing;

const QUEUE: usize = 2048;
/// Heartbeats that wait while a new leader reads the stored state: one of each worker of a site of
/// 6,000. The account of requests under way bounds what they hold.
const WAITING_HEARTBEATS: usize = 6144;
const BATCH: usize = 128;
const TICK: Duration = Duration::from_millis(50);
/// Final phases that are remembered to answer polls without asking anyone.
const TERMINALS: usize = 4096;
/// The owner is back at its queue at least every `TICK`. Later than this by so
/// much, the process stood still, or was given no processor, for the difference.
const PAUSE: Duration = Duration::from_millis(600);
/// Users wait 2 s at least. After a longer pause what the sockets hold is stale,
/// and is worked off within a moment.
const LONG_PAUSE: Duration = Duration::from_secs(2);

/// Of a body between controllers, and of what is in it. A part of what may be: its receiver
/// begins with the first while the next are written.
const BODY_BYTES: usize = 40 * 1024;
const CARRIED_BYTES: usize = 64;
const ORDER_BYTES: usize = 32;

enum Role {
    Follower,
    /// Elected, and reading what is stored. Reports wait for that.
    Recovering {
        token: u64,
        heard: BufferedHeartbeats,
    },
    Leading(Box<Leading>),
}

struct Leading {
    core: Core,
    tickets: HashMap<u64, oneshot::Sender<Outgoing>>,
    cancels: HashMap<u64, oneshot::Sender<Option<(CancelBegin, u64)>>>,
    operators: HashMap<u64, oneshot::Sender<Option<AdminResponse>>>,
    shard_owners: HashMap<u64, oneshot::Sender<Option<ShardUpdate>>>,
    next_ticket: u64,
    /// What arrived while the lease was in doubt.
    held: Vec<Input>,
}

pub struct Controller {
    context: Arc<ControllerContext>,
    handle: Handle,
    queue: mpsc::Receiver<Command>,
    role: Role,
    /// While this node does not lead, where workers are shared.
    follower: Option<Follower>,
    leader: Option<String>,
    /// When the key of a leader was last seen, or since when this process looks.
    leader_seen: Instant,
    elected: Instant,
    types: Option<Arc<Vec<MachineType>>>,
    terminals: HashMap<JobId, JobOutcome>,
    terminal_order: VecDeque<JobId>,
    steps: hdrhistogram::Histogram<u64>,
    next_stats: f64,
}

impl Controller {
    pub fn new(context: Arc<ControllerContext>) -> (Self, Handle) {
        let (tx, rx) = mpsc::channel(QUEUE);
        let handle = Handle::new(tx);
        let owner = Self {
            follower: Follower::begin(&context, &handle),
            context,
            handle: handle.clone(),
            queue: rx,
            role: Role::Follower,
            leader: None,
            leader_seen: Instant::now(),
            elected: Instant::now(),
            types: None,
            terminals: HashMap::new(),
            terminal_order: VecDeque::new(),
            steps: hdrhistogram::Histogram::new_with_bounds(1, 60_000_000, 2)
                .expect("bounds are valid"),
            next_stats: 30.0,
        };
        (owner, handle)
    }

    pub async fn run(mut self) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(BATCH);
        let mut before = Instant::now();
        loop {
            tokio::select! {
                n = self.queue.recv_many(&mut batch, BATCH) => {
                    if n == 0 {
                        return;
                    }
                }
                _ = tick.tick() => {}
            }
            let passed = before.elapsed();
            before = Instant::now();
            if passed > PAUSE {
                self.paused(passed - TICK);
            }
            let mut inputs = Vec::new();
            for command in batch.drain(..) {
                self.take(command, &mut inputs);
            }
            self.step(inputs);
            if let Some(follower) = &mut self.follower {
                follower.tick();
            }
        }
    }

    /// The clocks ran on while nothing was read: nobody was silent for that.
    fn paused(&mut self, pause: Duration) {
        tracing::warn!(?pause, "this process stood still");
        if pause > LONG_PAUSE {
            self.context.record_process_pause();
        }
        if let Role::Leading(l) = &mut self.role {
            l.core.paused(pause.as_secs_f64());
        }
    }

    fn take(&mut self, command: Command, inputs: &mut Vec<Input>) {
        match command {
            Command::Heartbeat { heartbeat, reply } => {
                self.answer_heartbeat(heartbeat, reply, inputs);
            }
            Command::Ask { jobs, reply } => {
                let found = jobs.into_iter().map(|job| self.lookup(job)).collect();
                let _ = reply.send((found, self.leader.clone()));
            }
            Command::BeginCancel { job, reply } => match &mut self.role {
                Role::Leading(l) if self.context.leadership.is_valid() => {
                    let ticket = l.next_ticket;
                    l.next_ticket += 1;
                    l.cancels.insert(ticket, reply);
                    inputs.push(Input::CancelBegin { ticket, job });
                }
                _ => {
                    let _ = reply.send(None);
                }
            },
            Command::SettleCancel { job, end } => {
                if let Some(end) = end {
                    self.remember(job, end);
                }
                if let Role::Leading(_) = self.role {
                    inputs.push(Input::CancelSettled { job, end });
                }
            }
            Command::Ended { job, end } => self.remember(job, end),
            Command::Admin { order, reply } => match &mut self.role {
                Role::Leading(l) if self.context.leadership.is_valid() => {
                    let ticket = l.next_ticket;
                    l.next_ticket += 1;
                    l.operators.insert(ticket, reply);
                    inputs.push(Input::Admin {
                        ticket,
                        order,
                        unix_ms: self.context.unix_ms(),
                    });
                }
                _ => {
                    let _ = reply.send(None);
                }
            },
            Command::AskTypes { reply } => {
                let _ = reply.send(self.types.clone());
            }
            Command::Types(types) => {
                if let Role::Leading(_) = self.role {
                    inputs.push(Input::Types(types.clone()));
                }
                self.types = Some(Arc::new(types));
            }
            Command::LeaderSeen(leader) => {
                if leader.is_some() {
                    self.leader_seen = Instant::now();
                }
                if let Some(follower) = &mut self.follower {
                    follower.leader_seen(leader.as_deref());
                }
                self.leader = leader;
            }
            Command::Elected { token } => {
                self.elected = Instant::now();
                self.leader = Some(self.context.settings.member.clone());
                let heard = self.follower.take().map(Follower::end).unwrap_or_default();
                self.role = Role::Recovering { token, heard };
                let context = self.context.clone();
                let handle = self.handle.clone();
                tokio::spawn(async move { recover(context, handle, token).await });
            }
            Command::Recovered { token, snapshot } => self.start_leading(token, snapshot, inputs),
            Command::Lost { .. } => {
                self.leader = None;
                // Dropped replies become 421: the workers look for the next leader.
                self.role = Role::Follower;
                self.follower = Follower::begin(&self.context, &self.handle);
            }
            Command::ShardStatus { word, reply } => match &mut self.role {
                Role::Leading(l) if self.context.leadership.is_valid() => {
                    let ticket = l.next_ticket;
                    l.next_ticket += 1;
                    l.shard_owners.insert(ticket, reply);
                    inputs.push(Input::ShardStatus { ticket, word });
                }
                _ => {
                    let _ = reply.send(None);
                }
            },
            Command::ShardUpdate { number, down } => {
                if let Some(follower) = &mut self.follower {
                    follower.granted(number, down);
                }
            }
            Command::RelayedCommand {
                token,
                message_id,
                outcome,
            } => {
                if let Some(follower) = &mut self.follower {
                    follower.relayed(token, message_id, outcome);
                }
            }
            Command::Input { token, input } => {
                if let Role::Leading(l) = &self.role
                    && l.core.token == token
                {
                    inputs.push(input);
                }
            }
        }
    }

    fn start_leading(&mut self, token: u64, snapshot: Snapshot, inputs: &mut Vec<Input>) {
        let BufferedHeartbeats { forwarded, waiting } = match &mut self.role {
            Role::Recovering { token: t, heard } if *t == token => std::mem::take(heard),
            _ => return,
        };
        tracing::info!(
            token,
            unseen = ?self.elected - self.leader_seen,
            read = ?self.elected.elapsed(),
            jobs = snapshot.jobs.len(),
            workers = snapshot.workers(),
            "recovered"
        );
        let config = Config {
            cluster: self.context.settings.cluster.clone(),
            tuning: self.context.tuning.clone(),
        };
        let types = self.types.as_deref().cloned().unwrap_or_default();
        let mut core = Core::new(config, token, self.context.now_s(), types, snapshot);
        let settings = &self.context.settings;
        if self.context.tuning.shares == Switch::On && !settings.others.is_empty() {
            core.enable_sharding(settings.own_index(), &settings.controllers());
            tokio::spawn(announce_leadership(self.context.clone()));
        }
        self.role = Role::Leading(Box::new(Leading {
            core,
            tickets: HashMap::new(),
            cancels: HashMap::new(),
            operators: HashMap::new(),
            shard_owners: HashMap::new(),
            next_ticket: 0,
            held: Vec::new(),
        }));
        inputs.push(Input::BufferedHeartbeats(forwarded));
        for (heartbeat, reply) in waiting {
            self.answer_heartbeat(heartbeat, reply, inputs);
        }
    }

    fn answer_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        reply: oneshot::Sender<Outgoing>,
        inputs: &mut Vec<Input>,
    ) {
        match &mut self.role {
            Role::Leading(l) if self.context.leadership.is_valid() => {
                let ticket = l.next_ticket;
                l.next_ticket += 1;
                l.tickets.insert(ticket, reply);
                inputs.push(Input::Heartbeat { ticket, heartbeat });
            }
            Role::Recovering { heard, .. } if heard.waiting.len() < WAITING_HEARTBEATS => {
                heard.waiting.push((heartbeat, reply));
            }
            Role::Follower if self.follower.is_some() => {
                if let Some(follower) = &mut self.follower {
                    follower.heartbeat(heartbeat, reply);
                }
            }
            _ => {
                let _ = reply.send(self.context.redirect_worker(self.leader.as_deref()));
            }
        }
    }

    fn lookup(&self, job: JobId) -> Lookup {
        if let Some(&end) = self.terminals.get(&job) {
            return Lookup::Terminal(end);
        }
        match &self.role {
            Role::Leading(l) if self.context.leadership.is_valid() => l.core.lookup(job),
            _ => Lookup::NotLeader,
        }
    }

    fn remember(&mut self, job: JobId, end: JobOutcome) {
        if self.terminals.insert(job, end).is_none() {
            self.terminal_order.push_back(job);
            if self.terminal_order.len() > TERMINALS
                && let Some(oldest) = self.terminal_order.pop_front()
            {
                self.terminals.remove(&oldest);
            }
        }
    }

    fn step(&mut self, inputs: Vec<Input>) {
        let Role::Leading(l) = &mut self.role else {
            return;
        };
        if !self.context.leadership.is_valid() {
            // Neither an answer nor an order may leave now; facts are kept for later,
            // reports are not: their workers have gone on to the next node.
            for input in inputs {
                match input {
                    Input::Heartbeat { ticket, .. } => {
                        l.tickets.remove(&ticket);
                    }
                    Input::CancelBegin { ticket, .. } => {
                        l.cancels.remove(&ticket);
                    }
                    Input::Admin { ticket, .. } => {
                        l.operators.remove(&ticket);
                    }
                    Input::ShardStatus { ticket, .. } => {
                        l.shard_owners.remove(&ticket);
                    }
                    other => l.held.push(other),
                }
            }
            return;
        }
        if l.core.has_lost_all_workers() {
            tracing::warn!(
                token = l.core.token,
                "no worker is heard: giving leadership up"
            );
            self.context.resign(l.core.token);
            return;
        }
        let mut all = std::mem::take(&mut l.held);
        all.extend(inputs);
        let began = std::time::Instant::now();
        l.core.lease_extended_until = self.context.leadership.lease_extended_until_s();
        let now = self.context.now_s();
        l.core.valid_until = now + self.context.leadership.valid_for().as_secs_f64();
        let effects = l.core.step(now, all);
        let _ = self.steps.record(began.elapsed().as_micros() as u64);
        let mut relayed: BTreeMap<u32, Vec<RelayedCommand>> = BTreeMap::new();
        for effect in effects {
            match for_another(effect) {
                Ok((controller, message)) => relayed.entry(controller).or_default().push(message),
                Err(effect) => self.execute_effect(effect),
            }
        }
        self.send_through_relays(relayed);
        let now = self.context.now_s();
        if now >= self.next_stats {
            self.next_stats = now + 30.0;
            tracing::info!(
                steps = self.steps.len(),
                p50_us = self.steps.value_at_quantile(0.5),
                p99_us = self.steps.value_at_quantile(0.99),
                max_us = self.steps.max(),
                "core steps"
            );
            self.steps.reset();
        }
    }

    /// Gives messages to the nodes that are to carry them, in bodies that they take.
    fn send_through_relays(&self, relayed: BTreeMap<u32, Vec<RelayedCommand>>) {
        let Role::Leading(l) = &self.role else {
            return;
        };
        let token = l.core.token;
        for (controller, mut messages) in relayed {
            let member = self.context.settings.controller(controller);
            let Some(to) = self.context.peer_address(member) else {
                continue;
            };
            while !messages.is_empty() {
                let mut bytes = 0;
                let fits = messages.iter().position(|m| {
                    bytes += CARRIED_BYTES + ORDER_BYTES * m.commands.len();
                    bytes > BODY_BYTES
                });
                let later = messages.split_off(fits.unwrap_or(messages.len()).max(1));
                let now = std::mem::replace(&mut messages, later);
                let (context, handle) = (self.context.clone(), self.handle.clone());
                tokio::spawn(async move {
                    if let Some(input) = send_to_relay(&context, token, controller, to, now).await {
                        handle.send(Command::Input { token, input }).await;
                    }
                });
            }
        }
    }

    fn execute_effect(&mut self, effect: Effect) {
        let Role::Leading(l) = &mut self.role else {
            return;
        };
        let token = l.core.token;
        match effect {
            Effect::Answer { ticket, body } => {
                if let Some(reply) = l.tickets.remove(&ticket) {
                    let _ = reply.send(Outgoing {
                        status: 200,
                        body,
                        retry_after_s: None,
                    });
                }
            }
            Effect::Refuse { ticket, why } => {
                if let Some(reply) = l.tickets.remove(&ticket) {
                    let _ = reply.send(Outgoing::error(503, why));
                }
            }
            Effect::SendTo { ticket, controller } => {
                let controller = self.context.settings.controller(controller);
                if let Some(reply) = l.tickets.remove(&ticket) {
                    let _ = reply.send(self.context.redirect_worker(Some(controller)));
                }
            }
            Effect::Granted { ticket, down } => {
                if let Some(reply) = l.shard_owners.remove(&ticket) {
                    let _ = reply.send(down);
                }
            }
            Effect::Cancel { ticket, begin } => {
                if let Some(reply) = l.cancels.remove(&ticket) {
                    let _ = reply.send(Some((begin, token)));
                }
            }
            Effect::AdminAnswered {
                ticket,
                status,
                body,
            } => {
                if let Some(reply) = l.operators.remove(&ticket) {
                    let _ = reply.send(Some((status, body)));
                }
            }
            Effect::Deposed => {
                tracing::warn!(token, "a worker has seen a newer token");
                self.context.leadership.step_down(token);
            }
            effect => {
                let context = self.context.clone();
                let handle = self.handle.clone();
                tokio::spawn(async move {
                    if let Some(input) = execute(&context, &handle, token, effect).await {
                        handle.send(Command::Input { token, input }).await;
                    }
                });
            }
        }
    }
}

/// A message to a worker that another node speaks with, or what else an effect is.
fn for_another(effect: Effect) -> Result<(u32, RelayedCommand), Effect> {
    let (controller, message_id, address, incarnation, commands) = match effect {
        Effect::Direct {
            via: Some(controller),
            message_id,
            address,
            incarnation,
            commands,
            ..
        } => (controller, message_id, address, incarnation, commands),
        Effect::Inspect {
            via: Some(controller),
            message_id,
            address,
            incarnation,
            ..
        } => (controller, message_id, address, incarnation, Vec::new()),
        other => return Err(other),
    };
    let message = RelayedCommand {
        message_id,
        address,
        incarnation,
        commands,
    };
    Ok((controller, message))
}
