//! The one owner of a controller's state.
//!
//! Everything that happens arrives as a command in one bounded queue and is
//! worked through in batches; what has to be done outside is done by spawned
//! tasks that report back through the same queue.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::bookkeeping::store::{Store, StoreError};
use crate::bookkeeping::writer::{self, WriteError};
use crate::bookkeeping::{
    JOBS, MachineRecord, PROGRESS, ROSTER, RosterPage, Snapshot, StoredJob, bitmap,
    parse_job_record,
};
use crate::coordination::core::{
    CancelBegin, Config, Core, DirectOutcome, Effect, Input, RentOutcome,
};
use crate::protocol::JobId;
use crate::protocol::cloud::{self, MachineType};
use crate::protocol::job::Phase;
use crate::protocol::peer::Lookup;
use crate::protocol::worker::{Report, orders_body};
use crate::settings::{Settings, Tuning};
use crate::transport::budget::{Budget, Urgency};
use crate::transport::client::{CallError, Network};
use crate::transport::server::Outgoing;

const QUEUE: usize = 2048;
const BATCH: usize = 128;
const TICK: Duration = Duration::from_millis(50);
/// Final phases that are remembered to answer polls without asking anyone.
const TERMINALS: usize = 4096;
const DIRECT_DEADLINE: Duration = Duration::from_millis(1500);
/// How long a leader that heard no worker lets others go first.
const ABDICATION_MS: u64 = 8000;
/// How long a transaction without an answer may still be under way.
const UNSETTLED_MS: u64 = 180_000;
/// The owner is back at its queue at least every `TICK`. Later than this by so
/// much, the process stood still, or was given no processor, for the difference.
const PAUSE: Duration = Duration::from_millis(600);
/// Users wait 2 s at least. After a longer pause what the sockets hold is stale,
/// and is worked off within a moment.
const LONG_PAUSE: Duration = Duration::from_secs(2);
const STALE_MS: u64 = 100;
const INSPECT_DEADLINE: Duration = Duration::from_millis(500);
const CLOUD_DEADLINE: Duration = Duration::from_secs(3);

/// What the tasks of a process share without asking the owner.
pub struct Shared {
    pub settings: Settings,
    pub tuning: Tuning,
    pub http: Arc<dyn Network>,
    rng: Mutex<StdRng>,
    pub store: Arc<Store>,
    pub cloud_budget: Budget,
    start: Instant,
    /// Until when this node may act as leader, in ms since `start`.
    valid_until: AtomicU64,
    /// The token under which this node leads, 0 if it does not.
    leading: AtomicU64,
    /// Until when this node has promised not to campaign, in ms since `start`.
    promised_until: AtomicU64,
    campaigning: AtomicBool,
    /// Until when others are let go first, in ms since `start`.
    stand_back_until: AtomicU64,
    /// When a peer was last heard, in ms since `start`.
    peer_heard: AtomicU64,
    /// Cancellations that this node may be storing for want of a leader.
    leaderless: AtomicU64,
    /// Until when such a one, left without an answer, may still be carried out.
    unsettled_until: AtomicU64,
    /// Until when requests may have lain in a socket while this process stood still.
    stale_until: AtomicU64,
}

impl Shared {
    /// `seed` decides the few random choices, so that tests repeat.
    pub fn new(settings: Settings, tuning: Tuning, http: Arc<dyn Network>, seed: u64) -> Self {
        let limits = &settings.cluster.state;
        // Any node may lead, and the leader needs the most. One leader at half
        // and the others at the rest stay under the published limits together.
        let share = 0.95 / (1.0 + 0.5 * settings.others.len() as f64);
        let store = Arc::new(Store::new(
            http.clone(),
            settings.external.state,
            settings.others.iter().map(|p| p.peer_addr).collect(),
            limits.rps * share,
            limits.write_rps * share,
        ));
        Self {
            cloud_budget: Budget::new(settings.cluster.cloud.rps * 0.8, 1.0),
            http,
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            store,
            start: Instant::now(),
            valid_until: AtomicU64::new(0),
            leading: AtomicU64::new(0),
            // A promise made before a crash is forgotten, so none is taken as over
            // until one TTL has passed.
            promised_until: AtomicU64::new(tuning.leader_ttl_ms),
            campaigning: AtomicBool::new(false),
            stand_back_until: AtomicU64::new(0),
            peer_heard: AtomicU64::new(0),
            leaderless: AtomicU64::new(0),
            unsettled_until: AtomicU64::new(0),
            stale_until: AtomicU64::new(0),
            settings,
            tuning,
        }
    }

    pub fn random(&self, below: u64) -> u64 {
        let mut rng = self.rng.lock().expect("no panic while held");
        rng.random_range(0..below)
    }

    fn ms(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_millis() as u64
    }

    pub fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn extend_validity(&self, until: Instant) {
        self.valid_until
            .fetch_max(self.ms(until), Ordering::Relaxed);
    }

    pub fn valid_for(&self) -> Duration {
        let now = self.ms(Instant::now());
        Duration::from_millis(self.valid_until.load(Ordering::Relaxed).saturating_sub(now))
    }

    pub fn is_valid(&self) -> bool {
        !self.valid_for().is_zero()
    }

    pub fn begin_leading(&self, token: u64, until: Instant) {
        self.leading.store(token, Ordering::Relaxed);
        self.valid_until.store(self.ms(until), Ordering::Relaxed);
    }

    /// Ends this node's leadership for good, unless it already leads anew.
    pub fn step_down(&self, token: u64) {
        if self.leads(token) {
            self.leading.store(0, Ordering::Relaxed);
            self.valid_until.store(0, Ordering::Relaxed);
        }
    }

    /// Steps down for a while, so that a node that workers can reach takes over.
    pub fn abdicate(&self, token: u64) {
        let until = self.ms(Instant::now()) + ABDICATION_MS;
        self.stand_back_until.store(until, Ordering::Relaxed);
        self.step_down(token);
    }

    pub fn stands_back(&self) -> bool {
        self.stand_back_until.load(Ordering::Relaxed) > self.ms(Instant::now())
    }

    /// Whether the leadership of this token goes on, be it suspended.
    pub fn leads(&self, token: u64) -> bool {
        self.leading.load(Ordering::Relaxed) == token
    }

    /// Whether a leader may be acting on this node's word.
    pub fn has_promised(&self) -> bool {
        self.promised_until.load(Ordering::Relaxed) > self.ms(Instant::now())
    }

    /// Vouches for a leader that cannot renew: the state service refuses this
    /// node too, and it will not campaign for one TTL.
    pub fn vouch(&self) -> bool {
        let now = self.ms(Instant::now());
        let free = self.leads(0)
            && !self.campaigning.load(Ordering::Relaxed)
            && self.leaderless.load(Ordering::Relaxed) == 0
            && self.unsettled_until.load(Ordering::Relaxed) <= now
            && self.store.is_refused();
        if free {
            let until = now + self.tuning.leader_ttl_ms;
            self.promised_until.fetch_max(until, Ordering::Relaxed);
        }
        free
    }

    /// Before a cancellation is stored for want of a leader. False if a leader may
    /// be answering users on this node's word; else no word is given until
    /// [`Self::end_leaderless`], so that none can be called running meanwhile.
    pub fn begin_leaderless(&self) -> bool {
        self.leaderless.fetch_add(1, Ordering::Relaxed);
        let free = !self.has_promised();
        if !free {
            self.leaderless.fetch_sub(1, Ordering::Relaxed);
        }
        free
    }

    pub fn end_leaderless(&self, settled: bool) {
        if !settled {
            // The network may carry the transaction out minutes later.
            let until = self.ms(Instant::now()) + UNSETTLED_MS;
            self.unsettled_until.fetch_max(until, Ordering::Relaxed);
        }
        self.leaderless.fetch_sub(1, Ordering::Relaxed);
    }

    /// This process stood still: what came in meanwhile may be of users that have
    /// given up.
    fn note_pause(&self) {
        let until = self.ms(Instant::now()) + STALE_MS;
        self.stale_until.store(until, Ordering::Relaxed);
    }

    /// Whether a request read now may have waited longer than its user.
    pub fn may_be_stale(&self) -> bool {
        self.stale_until.load(Ordering::Relaxed) > self.ms(Instant::now())
    }

    /// Kept up from before the promise is looked at until the outcome is known.
    pub fn set_campaigning(&self, campaigning: bool) {
        self.campaigning.store(campaigning, Ordering::Relaxed);
    }

    pub fn heard_peer(&self) {
        self.peer_heard
            .store(self.ms(Instant::now()), Ordering::Relaxed);
    }

    /// Seconds since a peer was heard; also counted from the start of the process.
    pub fn peers_silent_s(&self) -> f64 {
        let now = self.ms(Instant::now());
        (now - self.peer_heard.load(Ordering::Relaxed).min(now)) as f64 / 1000.0
    }

    pub fn peer_address(&self, member: &str) -> Option<SocketAddr> {
        self.settings
            .others
            .iter()
            .find(|p| p.member == member)
            .map(|p| p.peer_addr)
    }
}

#[derive(Debug)]
pub enum Command {
    Hello {
        report: Report,
        reply: oneshot::Sender<Outgoing>,
    },
    /// What is known of each of these jobs, and who is thought to lead.
    Ask {
        jobs: Vec<JobId>,
        reply: oneshot::Sender<(Vec<Lookup>, Option<String>)>,
    },
    BeginCancel {
        job: JobId,
        reply: oneshot::Sender<Option<(CancelBegin, u64)>>,
    },
    SettleCancel {
        job: JobId,
        phase: Option<Phase>,
    },
    /// A final phase, stored, to be remembered.
    Ended {
        job: JobId,
        phase: Phase,
    },
    AskTypes {
        reply: oneshot::Sender<Option<Arc<Vec<MachineType>>>>,
    },
    Types(Vec<MachineType>),
    LeaderSeen(Option<String>),
    Elected {
        token: u64,
    },
    Recovered {
        token: u64,
        snapshot: Snapshot,
    },
    Lost {
        token: u64,
    },
    /// Something the core asked for has come back.
    Input {
        token: u64,
        input: Input,
    },
}

#[derive(Clone)]
pub struct Handle {
    queue: mpsc::Sender<Command>,
}

impl Handle {
    pub async fn send(&self, command: Command) {
        // Fails only when the owner has ended, and then the process ends.
        let _ = self.queue.send(command).await;
    }

    pub async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.queue.send(command(reply)).await.ok()?;
        answer.await.ok()
    }
}

enum Role {
    Follower,
    /// Elected, and reading what is stored. Reports wait for that.
    Recovering {
        token: u64,
        waiting: Vec<(Report, oneshot::Sender<Outgoing>)>,
    },
    Leading(Box<Leading>),
}

struct Leading {
    core: Core,
    tickets: HashMap<u64, oneshot::Sender<Outgoing>>,
    cancels: HashMap<u64, oneshot::Sender<Option<(CancelBegin, u64)>>>,
    next_ticket: u64,
    /// What arrived while the lease was in doubt.
    held: Vec<Input>,
}

pub struct Owner {
    shared: Arc<Shared>,
    handle: Handle,
    queue: mpsc::Receiver<Command>,
    role: Role,
    leader: Option<String>,
    types: Option<Arc<Vec<MachineType>>>,
    terminals: HashMap<JobId, Phase>,
    terminal_order: VecDeque<JobId>,
    steps: hdrhistogram::Histogram<u64>,
    next_stats: f64,
}

impl Owner {
    pub fn new(shared: Arc<Shared>) -> (Self, Handle) {
        let (tx, rx) = mpsc::channel(QUEUE);
        let handle = Handle { queue: tx };
        let owner = Self {
            shared,
            handle: handle.clone(),
            queue: rx,
            role: Role::Follower,
            leader: None,
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
            Command::SettleCancel { job, phase } => {
                if let Some(phase) = phase {
                    self.remember(job, phase);
                }
                if let Role::Leading(_) = self.role {
                    inputs.push(Input::CancelSettled { job, phase });
                }
            }
            Command::Ended { job, phase } => self.remember(job, phase),
            Command::AskTypes { reply } => {
                let _ = reply.send(self.types.clone());
            }
            Command::Types(types) => {
                if let Role::Leading(_) = self.role {
                    inputs.push(Input::Types(types.clone()));
                }
                self.types = Some(Arc::new(types));
            }
            Command::LeaderSeen(leader) => self.leader = leader,
            Command::Elected { token } => {
                self.leader = Some(self.shared.settings.member.clone());
                self.role = Role::Recovering {
                    token,
                    waiting: Vec::new(),
                };
                let shared = self.shared.clone();
                let handle = self.handle.clone();
                tokio::spawn(async move { recover(shared, handle, token).await });
            }
            Command::Recovered { token, snapshot } => self.start_leading(token, snapshot, inputs),
            Command::Lost { .. } => {
                self.leader = None;
                // Dropped replies become 421: the workers look for the next leader.
                self.role = Role::Follower;
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
        let waiting = match &mut self.role {
            Role::Recovering { token: t, waiting } if *t == token => std::mem::take(waiting),
            _ => return,
        };
        tracing::info!(
            token,
            jobs = snapshot.jobs.len(),
            machines = snapshot.machines(),
            "recovered"
        );
        let config = Config {
            cluster: self.shared.settings.cluster.clone(),
            tuning: self.shared.tuning.clone(),
        };
        let types = self.types.as_deref().cloned().unwrap_or_default();
        let core = Core::new(config, token, self.shared.now_s(), types, snapshot);
        self.role = Role::Leading(Box::new(Leading {
            core,
            tickets: HashMap::new(),
            cancels: HashMap::new(),
            next_ticket: 0,
            held: Vec::new(),
        }));
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
            Role::Recovering { waiting, .. } if waiting.len() < QUEUE => {
                waiting.push((report, reply));
            }
            _ => {
                let me = &self.shared.settings.member;
                let body = match &self.leader {
                    Some(leader) if leader != me => serde_json::json!({"controller": leader}),
                    _ => serde_json::json!({}),
                };
                let _ = reply.send(Outgoing::json(421, &body));
            }
        }
    }

    fn lookup(&self, job: JobId) -> Lookup {
        if let Some(&phase) = self.terminals.get(&job) {
            return Lookup::Terminal(phase);
        }
        match &self.role {
            Role::Leading(l) if self.shared.is_valid() => l.core.lookup(job),
            _ => Lookup::NotLeading,
        }
    }

    fn remember(&mut self, job: JobId, phase: Phase) {
        if self.terminals.insert(job, phase).is_none() {
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
        let effects = l.core.step(self.shared.now_s(), all);
        let _ = self.steps.record(began.elapsed().as_micros() as u64);
        for effect in effects {
            self.carry_out(effect);
        }
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
            Effect::Cancel { ticket, begin } => {
                if let Some(reply) = l.cancels.remove(&ticket) {
                    let _ = reply.send(Some((begin, token)));
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

/// Does what the core cannot: talks to workers, the cloud and the state service.
async fn perform(
    shared: &Arc<Shared>,
    handle: &Handle,
    token: u64,
    effect: Effect,
) -> Option<Input> {
    match effect {
        Effect::Direct {
            machine,
            address,
            session,
            flight,
            commands,
        } => {
            let body = orders_body(token, Some(session), &commands);
            let outcome = match address.parse() {
                Ok(to) if shared.is_valid() => {
                    send_direct(shared, Method::POST, to, "/orders", body).await
                }
                _ => DirectOutcome::Unsent,
            };
            Some(Input::Direct {
                machine,
                flight,
                outcome,
            })
        }
        Effect::Inspect {
            machine,
            address,
            flight,
        } => {
            let outcome = match address.parse() {
                Ok(to) => {
                    let asked = send_direct(shared, Method::GET, to, "/inspect", Vec::new());
                    match tokio::time::timeout(INSPECT_DEADLINE, asked).await {
                        Ok(DirectOutcome::Executed(report)) => {
                            DirectOutcome::Rejected(Some(report))
                        }
                        _ => DirectOutcome::Unsent,
                    }
                }
                Err(_) => DirectOutcome::Unsent,
            };
            Some(Input::Direct {
                machine,
                flight,
                outcome,
            })
        }
        Effect::Write(batch) => {
            let alive = shared.clone();
            let wanted = move || alive.leads(token);
            match writer::write(shared.store.clone(), token, batch, wanted).await {
                Ok(results) => {
                    for (write, written) in &results {
                        let phase = match (write, written) {
                            (writer::Write::Finish { .. }, writer::Written::Stored { .. }) => {
                                Phase::Done
                            }
                            (writer::Write::Finish { .. }, writer::Written::Ended(phase)) => *phase,
                            _ => continue,
                        };
                        if let writer::Write::Finish { job, .. } = write {
                            handle.send(Command::Ended { job: *job, phase }).await;
                        }
                    }
                    Some(Input::Written(results))
                }
                Err(WriteError::Deposed) => {
                    tracing::warn!(token, "the leader key has moved on");
                    shared.step_down(token);
                    None
                }
            }
        }
        Effect::Rent {
            request,
            machine_type,
            zone,
            spot,
            count,
        } => {
            let body = cloud::rental_body(&request, &machine_type, &zone, spot, count).to_string();
            let outcome = rent(shared, body.into_bytes()).await;
            Some(Input::Rented { request, outcome })
        }
        Effect::Return(machines) => {
            let body = cloud::return_body(&machines).to_string().into_bytes();
            shared.cloud_budget.spend(1.0, Urgency::High).await;
            // A leader that stood still meanwhile would return what the next one uses.
            let ok = shared.is_valid()
                && matches!(
                    cloud_call(shared, Method::POST, "/rentals/return", body).await,
                    Ok(answer) if answer.status == 200
                );
            Some(Input::Returned { machines, ok })
        }
        Effect::List => list_machines(shared).await.map(Input::Listed),
        Effect::ReadTypes => {
            if let Some(types) = read_types(shared).await {
                handle.send(Command::Types(types)).await;
            }
            None
        }
        _ => None,
    }
}

async fn send_direct(
    shared: &Shared,
    method: Method,
    to: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> DirectOutcome {
    let answer = match shared
        .http
        .call(method, to, path, body, DIRECT_DEADLINE)
        .await
    {
        Ok(answer) => answer,
        Err(CallError::Unsent) => return DirectOutcome::Unsent,
        Err(CallError::Unknown(_)) => return DirectOutcome::Unknown,
    };
    match (answer.status, Report::parse(&answer.body)) {
        (200, Ok(report)) => DirectOutcome::Executed(report),
        (409, report) => DirectOutcome::Rejected(report.ok()),
        (400, _) => DirectOutcome::Rejected(None),
        _ => DirectOutcome::Unknown,
    }
}

async fn cloud_call(
    shared: &Shared,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<crate::transport::client::Answer, CallError> {
    let to = shared.settings.external.cloud;
    shared
        .http
        .call(method, to, path, body, CLOUD_DEADLINE)
        .await
}

/// The same request name gives the same answer and rents nothing twice, so a
/// lost answer is asked for again.
async fn rent(shared: &Shared, body: Vec<u8>) -> RentOutcome {
    for _ in 0..3 {
        shared.cloud_budget.spend(1.0, Urgency::Normal).await;
        if !shared.is_valid() {
            return RentOutcome::Unknown;
        }
        match cloud_call(shared, Method::POST, "/rentals", body.clone()).await {
            Ok(answer) if answer.status == 200 => {
                if let Ok(machines) = cloud::parse_rented(&answer.body) {
                    return RentOutcome::Machines(machines);
                }
            }
            Ok(answer) if answer.status == 503 => {
                let full = answer.body.windows(11).any(|w| w == b"no capacity");
                return if full {
                    RentOutcome::NoCapacity
                } else {
                    RentOutcome::Refused
                };
            }
            Ok(answer) => {
                tracing::warn!(status = answer.status, "the cloud refuses a rental");
                return RentOutcome::Refused;
            }
            Err(CallError::Unsent) => return RentOutcome::Refused,
            Err(CallError::Unknown(_)) => {}
        }
    }
    RentOutcome::Unknown
}

async fn list_machines(shared: &Shared) -> Option<Vec<cloud::Listed>> {
    let mut all: Vec<cloud::Listed> = Vec::new();
    loop {
        shared.cloud_budget.spend(1.0, Urgency::Low).await;
        let path = match all.last() {
            Some(last) => format!("/rentals?since={}&page=500", last.name),
            None => "/rentals?page=500".to_string(),
        };
        let answer = cloud_call(shared, Method::GET, &path, Vec::new())
            .await
            .ok()?;
        if answer.status != 200 {
            return None;
        }
        let (hosts, more) = cloud::parse_list(&answer.body)
            .inspect_err(|error| tracing::warn!(%error, "machine list does not parse"))
            .ok()?;
        let empty = hosts.is_empty();
        all.extend(hosts);
        if !more || empty {
            return Some(all);
        }
    }
}

pub async fn read_types(shared: &Shared) -> Option<Vec<MachineType>> {
    shared.cloud_budget.spend(1.0, Urgency::Normal).await;
    let answer = cloud_call(shared, Method::GET, "/machine_types", Vec::new())
        .await
        .ok()?;
    if answer.status != 200 {
        return None;
    }
    cloud::parse_types(&answer.body)
        .inspect_err(|error| tracing::warn!(%error, "machine types do not parse"))
        .ok()
}

/// Reads what earlier leaders have stored, then follows new jobs.
async fn recover(shared: Arc<Shared>, handle: Handle, token: u64) {
    let (snapshot, revision) = loop {
        if !shared.leads(token) {
            return;
        }
        match read_snapshot(&shared.store).await {
            Ok(found) => break found,
            Err(error) => {
                tracing::info!(%error, "cannot read the stored state yet");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    };
    handle.send(Command::Recovered { token, snapshot }).await;
    follow_jobs(shared, handle, token, revision).await;
}

async fn read_snapshot(store: &Store) -> Result<(Snapshot, u64), StoreError> {
    let mut snapshot = Snapshot::default();
    let (pages, _) = store.list(ROSTER).await?;
    for item in pages {
        let Ok(page) = item.key[ROSTER.len()..].parse::<u16>() else {
            tracing::error!(key = item.key, "not a page of the roster");
            continue;
        };
        // Never dropped: the core then holds back what machines unknown to it may hold.
        let machines = serde_json::from_value::<BTreeMap<String, MachineRecord>>(item.value)
            .inspect_err(|error| tracing::error!(page, %error, "roster page does not parse"));
        snapshot.roster.push(RosterPage {
            page: page.into(),
            version: item.version,
            machines: machines.ok().map(|m| m.into_iter().collect()),
        });
    }
    let (progress, _) = store.list(PROGRESS).await?;
    for item in progress {
        let parsed = item.key[PROGRESS.len()..]
            .split_once('/')
            .and_then(|(job, chunk)| {
                Some((
                    JobId::parse(job)?,
                    chunk.parse().ok()?,
                    bitmap::from_record(&item.value)?,
                ))
            });
        match parsed {
            Some((job, chunk, bits)) => snapshot.progress.push((job, chunk, bits, item.version)),
            None => tracing::error!(key = item.key, "progress record does not parse"),
        }
    }
    let (jobs, revision) = store.list(JOBS).await?;
    for item in jobs {
        snapshot
            .jobs
            .extend(stored_job(&item.key, &item.value, item.version));
    }
    Ok((snapshot, revision))
}

fn stored_job(key: &str, value: &serde_json::Value, version: u64) -> Option<StoredJob> {
    match parse_job_record(value) {
        Ok((spec, accepted_ms)) => Some(StoredJob {
            spec,
            age_s: unix_ms().saturating_sub(accepted_ms) as f64 / 1000.0,
            accepted_ms,
            version,
        }),
        // Never dropped: whoever can read it may still run it.
        Err(error) => {
            tracing::error!(key, error, "job record does not parse");
            None
        }
    }
}

async fn follow_jobs(shared: Arc<Shared>, handle: Handle, token: u64, mut since: u64) {
    let block = Duration::from_secs(2);
    while shared.leads(token) {
        match shared.store.watch(JOBS, since, block).await {
            Ok(changes) => {
                since = since.max(changes.revision);
                for event in changes.events {
                    let Some(key) = event.put else { continue };
                    if let Some(job) = stored_job(&key, &event.value, event.version) {
                        let input = Input::Job(job);
                        handle.send(Command::Input { token, input }).await;
                    }
                }
                // A burst comes in a few answers rather than one for each job.
                tokio::time::sleep(Duration::from_millis(15)).await;
            }
            Err(StoreError::TooOld) => match shared.store.list(JOBS).await {
                Ok((items, revision)) => {
                    since = revision;
                    for item in items {
                        if let Some(job) = stored_job(&item.key, &item.value, item.version) {
                            let input = Input::Job(job);
                            handle.send(Command::Input { token, input }).await;
                        }
                    }
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(300)).await,
            },
            Err(error) => {
                tracing::debug!(%error, "watch failed");
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        }
    }
}

/// The time of day. Only ages are taken from it, never an order of events.
pub fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}
