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

use crate::bookkeeping::Snapshot;
use crate::bookkeeping::recovery::recover;
use crate::commands::{Command, Handle, OperatorAnswer};
use crate::coordination::core::{CancelBegin, Config, Core, Effect, Input};
use crate::errands::{give_to_carry, perform, tell_all_that_it_leads};
use crate::holding::{Heard, Holding};
use crate::protocol::JobId;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::Standing;
use crate::protocol::peer::{Carried, Downward, Lookup};
use crate::protocol::worker::Report;
use crate::settings::Switch;
use crate::shared::Shared;
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
        heard: Heard,
    },
    Leading(Box<Leading>),
}

struct Leading {
    core: Core,
    tickets: HashMap<u64, oneshot::Sender<Outgoing>>,
    cancels: HashMap<u64, oneshot::Sender<Option<(CancelBegin, u64)>>>,
    operators: HashMap<u64, oneshot::Sender<Option<OperatorAnswer>>>,
    holders: HashMap<u64, oneshot::Sender<Option<Downward>>>,
    next_ticket: u64,
    /// What arrived while the lease was in doubt.
    held: Vec<Input>,
}

pub struct Owner {
    shared: Arc<Shared>,
    handle: Handle,
    queue: mpsc::Receiver<Command>,
    role: Role,
    /// While this node does not lead, where machines are shared.
    holding: Option<Holding>,
    leader: Option<String>,
    /// When the key of a leader was last seen, or since when this process looks.
    leader_seen: Instant,
    elected: Instant,
    types: Option<Arc<Vec<MachineType>>>,
    terminals: HashMap<JobId, Standing>,
    terminal_order: VecDeque<JobId>,
    steps: hdrhistogram::Histogram<u64>,
    next_stats: f64,
}

impl Owner {
    pub fn new(shared: Arc<Shared>) -> (Self, Handle) {
        let (tx, rx) = mpsc::channel(QUEUE);
        let handle = Handle::new(tx);
        let owner = Self {
            holding: Holding::begin(&shared, &handle),
            shared,
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
            if let Some(holding) = &mut self.holding {
                holding.tick();
            }
        }
    }

    /// The clocks ran on while nothing was read: nobody was silent for that.
    fn paused(&mut self, pause: Duration) {
        tracing::warn!(?pause, "this process stood still");
        if pause > LONG_PAUSE {
            self.shared.note_pause();
        }
        if let Role::Leading(l) = &mut self.role {
            l.core.paused(pause.as_secs_f64());
        }
    }

    fn take(&mut self, command: Command, inputs: &mut Vec<Input>) {
        match command {
            Command::Hello { report, reply } => self.take_hello(report, reply, inputs),
            Command::Ask { jobs, reply } => {
                let found = jobs.into_iter().map(|job| self.lookup(job)).collect();
                let _ = reply.send((found, self.leader.clone()));
            }
            Command::BeginCancel { job, reply } => match &mut self.role {
                Role::Leading(l) if self.shared.is_valid() => {
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
            Command::Operate { order, reply } => match &mut self.role {
                Role::Leading(l) if self.shared.is_valid() => {
                    let ticket = l.next_ticket;
                    l.next_ticket += 1;
                    l.operators.insert(ticket, reply);
                    inputs.push(Input::Operate {
                        ticket,
                        order,
                        unix_ms: self.shared.unix_ms(),
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
                if let Some(holding) = &mut self.holding {
                    holding.leader_seen(leader.as_deref());
                }
                self.leader = leader;
            }
            Command::Elected { token } => {
                self.elected = Instant::now();
                self.leader = Some(self.shared.settings.member.clone());
                let heard = self.holding.take().map(Holding::end).unwrap_or_default();
                self.role = Role::Recovering { token, heard };
                let shared = self.shared.clone();
                let handle = self.handle.clone();
                tokio::spawn(async move { recover(shared, handle, token).await });
            }
            Command::Recovered { token, snapshot } => self.start_leading(token, snapshot, inputs),
            Command::Lost { .. } => {
                self.leader = None;
                // Dropped replies become 421: the workers look for the next leader.
                self.role = Role::Follower;
                self.holding = Holding::begin(&self.shared, &self.handle);
            }
            Command::Upward { word, reply } => match &mut self.role {
                Role::Leading(l) if self.shared.is_valid() => {
                    let ticket = l.next_ticket;
                    l.next_ticket += 1;
                    l.holders.insert(ticket, reply);
                    inputs.push(Input::Upward { ticket, word });
                }
                _ => {
                    let _ = reply.send(None);
                }
            },
            Command::Downward { number, down } => {
                if let Some(holding) = &mut self.holding {
                    holding.granted(number, down);
                }
            }
            Command::Carried {
                token,
                flight,
                outcome,
            } => {
                if let Some(holding) = &mut self.holding {
                    holding.carried(token, flight, outcome);
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
        let Heard { told, waiting } = match &mut self.role {
            Role::Recovering { token: t, heard } if *t == token => std::mem::take(heard),
            _ => return,
        };
        tracing::info!(
            token,
            unseen = ?self.elected - self.leader_seen,
            read = ?self.elected.elapsed(),
            jobs = snapshot.jobs.len(),
            machines = snapshot.machines(),
            "recovered"
        );
        let config = Config {
            cluster: self.shared.settings.cluster.clone(),
            tuning: self.shared.tuning.clone(),
        };
        let types = self.types.as_deref().cloned().unwrap_or_default();
        let mut core = Core::new(config, token, self.shared.now_s(), types, snapshot);
        let settings = &self.shared.settings;
        if self.shared.tuning.shares == Switch::On && !settings.others.is_empty() {
            core.share_with(settings.place(), &settings.nodes());
            tokio::spawn(tell_all_that_it_leads(self.shared.clone()));
        }
        self.role = Role::Leading(Box::new(Leading {
            core,
            tickets: HashMap::new(),
            cancels: HashMap::new(),
            operators: HashMap::new(),
            holders: HashMap::new(),
            next_ticket: 0,
            held: Vec::new(),
        }));
        inputs.push(Input::Heard(told));
        for (report, reply) in waiting {
            self.take_hello(report, reply, inputs);
        }
    }

    fn take_hello(
        &mut self,
        report: Report,
        reply: oneshot::Sender<Outgoing>,
        inputs: &mut Vec<Input>,
    ) {
        match &mut self.role {
            Role::Leading(l) if self.shared.is_valid() => {
                let ticket = l.next_ticket;
                l.next_ticket += 1;
                l.tickets.insert(ticket, reply);
                inputs.push(Input::Report { ticket, report });
            }
            Role::Recovering { heard, .. } if heard.waiting.len() < WAITING_HEARTBEATS => {
                heard.waiting.push((report, reply));
            }
            Role::Follower if self.holding.is_some() => {
                if let Some(holding) = &mut self.holding {
                    holding.hello(report, reply);
                }
            }
            _ => {
                let _ = reply.send(self.shared.send_to(self.leader.as_deref()));
            }
        }
    }

    fn lookup(&self, job: JobId) -> Lookup {
        if let Some(&end) = self.terminals.get(&job) {
            return Lookup::Terminal(end);
        }
        match &self.role {
            Role::Leading(l) if self.shared.is_valid() => l.core.lookup(job),
            _ => Lookup::NotLeading,
        }
    }

    fn remember(&mut self, job: JobId, end: Standing) {
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
        if !self.shared.is_valid() {
            // Neither an answer nor an order may leave now; facts are kept for later,
            // reports are not: their workers have gone on to the next node.
            for input in inputs {
                match input {
                    Input::Report { ticket, .. } => {
                        l.tickets.remove(&ticket);
                    }
                    Input::CancelBegin { ticket, .. } => {
                        l.cancels.remove(&ticket);
                    }
                    Input::Operate { ticket, .. } => {
                        l.operators.remove(&ticket);
                    }
                    Input::Upward { ticket, .. } => {
                        l.holders.remove(&ticket);
                    }
                    other => l.held.push(other),
                }
            }
            return;
        }
        if l.core.hears_nobody() {
            tracing::warn!(
                token = l.core.token,
                "no worker is heard: giving leadership up"
            );
            self.shared.abdicate(l.core.token);
            return;
        }
        let mut all = std::mem::take(&mut l.held);
        all.extend(inputs);
        let began = std::time::Instant::now();
        l.core.word_until = self.shared.word_until_s();
        let now = self.shared.now_s();
        l.core.valid_until = now + self.shared.valid_for().as_secs_f64();
        let effects = l.core.step(now, all);
        let _ = self.steps.record(began.elapsed().as_micros() as u64);
        let mut carried: BTreeMap<u32, Vec<Carried>> = BTreeMap::new();
        for effect in effects {
            match for_another(effect) {
                Ok((node, message)) => carried.entry(node).or_default().push(message),
                Err(effect) => self.carry_out(effect),
            }
        }
        self.have_carried(carried);
        let now = self.shared.now_s();
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
    fn have_carried(&self, carried: BTreeMap<u32, Vec<Carried>>) {
        let Role::Leading(l) = &self.role else {
            return;
        };
        let token = l.core.token;
        for (node, mut messages) in carried {
            let member = self.shared.settings.node(node);
            let Some(to) = self.shared.peer_address(member) else {
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
                let (shared, handle) = (self.shared.clone(), self.handle.clone());
                tokio::spawn(async move {
                    if let Some(input) = give_to_carry(&shared, token, node, to, now).await {
                        handle.send(Command::Input { token, input }).await;
                    }
                });
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
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
            Effect::SendTo { ticket, node } => {
                let node = self.shared.settings.node(node);
                if let Some(reply) = l.tickets.remove(&ticket) {
                    let _ = reply.send(self.shared.send_to(Some(node)));
                }
            }
            Effect::Granted { ticket, down } => {
                if let Some(reply) = l.holders.remove(&ticket) {
                    let _ = reply.send(down);
                }
            }
            Effect::Cancel { ticket, begin } => {
                if let Some(reply) = l.cancels.remove(&ticket) {
                    let _ = reply.send(Some((begin, token)));
                }
            }
            Effect::Operated {
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
                self.shared.step_down(token);
            }
            effect => {
                let shared = self.shared.clone();
                let handle = self.handle.clone();
                tokio::spawn(async move {
                    if let Some(input) = perform(&shared, &handle, token, effect).await {
                        handle.send(Command::Input { token, input }).await;
                    }
                });
            }
        }
    }
}

/// A message to a machine that another node speaks with, or what else an effect is.
fn for_another(effect: Effect) -> Result<(u32, Carried), Effect> {
    let (node, flight, address, session, commands) = match effect {
        Effect::Direct {
            via: Some(node),
            flight,
            address,
            session,
            commands,
            ..
        } => (node, flight, address, session, commands),
        Effect::Inspect {
            via: Some(node),
            flight,
            address,
            session,
            ..
        } => (node, flight, address, session, Vec::new()),
        other => return Err(other),
    };
    let message = Carried {
        flight,
        address,
        session,
        commands,
    };
    Ok((node, message))
}
