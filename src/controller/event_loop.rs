//! The event loop, which is the only owner of a controller's state.
//!
//! Every event arrives as a command in one bounded queue, and commands are processed in batches.
//! Spawned tasks execute the effects outside the process, and report their results through the
//! same queue.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::controller::commands::{
    AdminResponse, BegunCancellation, Command, ControllerHandle, JobLookups, ShardAnswer,
};
use crate::controller::context::ControllerContext;
use crate::controller::effects::{EffectExecutor, announce_leadership};
use crate::controller::follower::{BufferedHeartbeats, Follower, PendingHeartbeat};
use crate::controller::leader::Leader;
use crate::controller::outcome_cache::OutcomeCache;
use crate::controller::pause_detector::PauseDetector;
use crate::controller::pending_replies::PendingReply;
use crate::controller::resignation::ResignationPolicy;
use crate::controller::step_stats::StepStats;
use crate::coordination::core::{Config, Core, Input};
use crate::protocol::JobId;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobOutcome;
use crate::protocol::peer::{AdminRequest, Lookup, ShardStatus};
use crate::protocol::worker::Heartbeat;
use crate::settings::Switch;
use crate::storage::Snapshot;
use crate::storage::recovery::recover;
use crate::transport::server::ApiResponse;

const QUEUE_CAPACITY: usize = 2048;
const BATCH_SIZE: usize = 128;
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// The maximum number of heartbeats that wait while a new leader reads the stored state: one for
/// each worker of a site with 6,000 workers. The memory budget for requests in progress bounds the memory
/// that they hold.
const MAX_PENDING_HEARTBEATS: usize = 6144;
/// After a process pause longer than this, the requests in the sockets may be stale. Users wait at
/// least 2 s for an answer.
const STALE_REQUESTS_AFTER: Duration = Duration::from_secs(2);

/// The role of a controller, with the state that belongs to it.
enum Role {
    /// Not the leader. `None` if sharding is off or there are no other controllers.
    Follower(Option<Box<Follower>>),
    /// Elected and reading the stored state. Heartbeats wait until it has been read.
    Recovering {
        token: u64,
        heartbeats: BufferedHeartbeats,
    },
    /// Leading, with the state of the term.
    Leader(Box<Leader>),
}

/// A controller's state and its queue of commands.
pub struct Controller {
    context: Arc<ControllerContext>,
    handle: ControllerHandle,
    queue: mpsc::Receiver<Command>,
    role: Role,
    /// The member name of the leader, if it is known.
    leader: Option<String>,
    /// When a leader key was last seen. Initially the start of this process.
    leader_seen_at: Instant,
    /// When this controller was last elected. Initially the start of this process.
    elected_at: Instant,
    machine_types: Option<Arc<Vec<MachineType>>>,
    outcomes: OutcomeCache,
    resignation: ResignationPolicy,
    step_stats: StepStats,
}

impl Controller {
    /// Creates a controller that follows, and the handle that sends commands to it.
    pub fn new(context: Arc<ControllerContext>) -> (Self, ControllerHandle) {
        let (sender, queue) = mpsc::channel(QUEUE_CAPACITY);
        let handle = ControllerHandle::new(sender);
        let controller = Self {
            resignation: ResignationPolicy::new(!context.settings.peers.is_empty()),
            role: Role::Follower(start_follower(&context, &handle)),
            context,
            handle: handle.clone(),
            queue,
            leader: None,
            leader_seen_at: Instant::now(),
            elected_at: Instant::now(),
            machine_types: None,
            outcomes: OutcomeCache::default(),
            step_stats: StepStats::default(),
        };
        (controller, handle)
    }

    /// Runs until all handles are dropped.
    pub async fn run(mut self) {
        let mut tick = tokio::time::interval(TICK_PERIOD);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(BATCH_SIZE);
        let mut pause_detector = PauseDetector::new(TICK_PERIOD);
        loop {
            tokio::select! {
                received = self.queue.recv_many(&mut batch, BATCH_SIZE) => {
                    if received == 0 {
                        return;
                    }
                }
                _ = tick.tick() => {}
            }
            if let Some(pause) = pause_detector.record_iteration() {
                self.handle_pause(pause);
            }
            let mut inputs = Vec::new();
            for command in batch.drain(..) {
                self.handle_command(command, &mut inputs);
            }
            self.step_core(inputs);
            if let Some(follower) = self.follower() {
                follower.tick();
            }
        }
    }

    /// Handles a process pause. The clock advanced while no heartbeat was read, so workers must not
    /// be regarded as unresponsive because of the pause.
    fn handle_pause(&mut self, pause: Duration) {
        tracing::warn!(?pause, "process pause detected");
        if pause > STALE_REQUESTS_AFTER {
            self.context.record_process_pause();
        }
        if let Role::Leader(leader) = &mut self.role {
            leader.record_pause(pause);
        }
    }

    /// Processes a command, and adds the resulting inputs for the core to `inputs`.
    fn handle_command(&mut self, command: Command, inputs: &mut Vec<Input>) {
        match command {
            Command::Heartbeat { heartbeat, reply } => {
                self.handle_heartbeat(heartbeat, reply, inputs);
            }
            Command::ShardStatus { status, reply } => {
                self.handle_shard_status(status, reply, inputs);
            }
            Command::ShardUpdate { number, update } => {
                if let Some(follower) = self.follower() {
                    follower.handle_shard_update(number, update);
                }
            }
            Command::RelayCompleted {
                token,
                message_id,
                outcome,
            } => {
                if let Some(follower) = self.follower() {
                    follower.record_relay_outcome(token, message_id, outcome);
                }
            }
            Command::LookUpJobs { jobs, reply } => {
                let _ = reply.send(self.look_up_jobs(jobs));
            }
            Command::BeginCancellation { job, reply } => {
                self.begin_cancellation(job, reply, inputs);
            }
            Command::FinishCancellation { job, outcome } => {
                self.finish_cancellation(job, outcome, inputs);
            }
            Command::JobFinished { job, outcome } => self.outcomes.insert(job, outcome),
            Command::Admin { request, reply } => self.handle_admin(request, reply, inputs),
            Command::GetMachineTypes { reply } => {
                let _ = reply.send(self.machine_types.clone());
            }
            Command::SetMachineTypes(types) => self.set_machine_types(types, inputs),
            Command::LeaderSeen(leader) => self.handle_leader_seen(leader),
            Command::Elected { token } => self.start_recovery(token),
            Command::Recovered { token, snapshot } => self.start_leading(token, snapshot, inputs),
            Command::LeadershipLost => self.start_following(),
            Command::Input { token, input } => {
                if let Role::Leader(leader) = &self.role
                    && leader.token() == token
                {
                    inputs.push(input);
                }
            }
        }
    }

    // ---- roles ----

    fn follower(&mut self) -> Option<&mut Follower> {
        match &mut self.role {
            Role::Follower(follower) => follower.as_deref_mut(),
            Role::Recovering { .. } | Role::Leader(_) => None,
        }
    }

    /// The leader's state, if this controller leads and its lease is valid.
    fn valid_leader(&mut self) -> Option<&mut Leader> {
        match &mut self.role {
            Role::Leader(leader) if self.context.leadership.is_valid() => Some(leader),
            _ => None,
        }
    }

    fn handle_leader_seen(&mut self, leader: Option<String>) {
        if leader.is_some() {
            self.leader_seen_at = Instant::now();
        }
        if let Some(follower) = self.follower() {
            follower.set_leader(leader.clone());
        }
        self.leader = leader;
    }

    fn start_recovery(&mut self, token: u64) {
        self.elected_at = Instant::now();
        self.leader = Some(self.context.settings.member.clone());
        let heartbeats = match std::mem::replace(&mut self.role, Role::Follower(None)) {
            Role::Follower(Some(follower)) => follower.into_buffered_heartbeats(),
            _ => BufferedHeartbeats::default(),
        };
        self.role = Role::Recovering { token, heartbeats };
        tokio::spawn(recover(self.context.clone(), self.handle.clone(), token));
    }

    fn start_leading(&mut self, token: u64, snapshot: Snapshot, inputs: &mut Vec<Input>) {
        let BufferedHeartbeats { forwarded, pending } = match &mut self.role {
            Role::Recovering {
                token: recovery_token,
                heartbeats,
            } if *recovery_token == token => std::mem::take(heartbeats),
            _ => return,
        };
        tracing::info!(
            token,
            leaderless = ?self.elected_at - self.leader_seen_at,
            recovery = ?self.elected_at.elapsed(),
            jobs = snapshot.jobs.len(),
            workers = snapshot.worker_count(),
            "recovered"
        );
        let mut core = self.recovered_core(token, snapshot);
        let settings = &self.context.settings;
        if self.context.tuning.sharding == Switch::On && !settings.peers.is_empty() {
            core.enable_sharding(settings.own_index(), &settings.controllers());
            tokio::spawn(announce_leadership(self.context.clone()));
        }
        self.role = Role::Leader(Box::new(Leader::new(core)));
        inputs.push(Input::BufferedHeartbeats(forwarded));
        for PendingHeartbeat { heartbeat, reply } in pending {
            self.handle_heartbeat(heartbeat, reply, inputs);
        }
    }

    fn recovered_core(&self, token: u64, snapshot: Snapshot) -> Core {
        let config = Config {
            cluster: self.context.settings.cluster.clone(),
            tuning: self.context.tuning.clone(),
        };
        let types = self.machine_types.as_deref().cloned().unwrap_or_default();
        Core::new(config, token, self.context.now_s(), types, snapshot)
    }

    fn start_following(&mut self) {
        self.leader = None;
        // Dropping the previous role drops its pending replies. Their workers are redirected and
        // look for the next leader.
        self.role = Role::Follower(None);
        self.role = Role::Follower(start_follower(&self.context, &self.handle));
    }

    // ---- requests ----

    fn handle_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        reply: oneshot::Sender<ApiResponse>,
        inputs: &mut Vec<Input>,
    ) {
        self.resignation.record_heartbeat();
        match &mut self.role {
            Role::Leader(leader) if self.context.leadership.is_valid() => {
                let ticket = leader.register(PendingReply::Heartbeat(reply));
                inputs.push(Input::Heartbeat { ticket, heartbeat });
            }
            Role::Recovering { heartbeats, .. }
                if heartbeats.pending.len() < MAX_PENDING_HEARTBEATS =>
            {
                let pending = PendingHeartbeat { heartbeat, reply };
                heartbeats.pending.push(pending);
            }
            Role::Follower(Some(follower)) => follower.handle_heartbeat(heartbeat, reply),
            _ => {
                let _ = reply.send(self.context.redirect_worker(self.leader.as_deref()));
            }
        }
    }

    fn handle_shard_status(
        &mut self,
        status: ShardStatus,
        reply: oneshot::Sender<Option<ShardAnswer>>,
        inputs: &mut Vec<Input>,
    ) {
        let Some(leader) = self.valid_leader() else {
            let _ = reply.send(None);
            return;
        };
        let ticket = leader.register(PendingReply::ShardStatus(reply));
        inputs.push(Input::ShardStatus { ticket, status });
    }

    fn handle_admin(
        &mut self,
        request: AdminRequest,
        reply: oneshot::Sender<Option<AdminResponse>>,
        inputs: &mut Vec<Input>,
    ) {
        let Some(leader) = self.valid_leader() else {
            let _ = reply.send(None);
            return;
        };
        let ticket = leader.register(PendingReply::Admin(reply));
        inputs.push(Input::Admin {
            ticket,
            request,
            unix_ms: self.context.unix_ms(),
        });
    }

    fn begin_cancellation(
        &mut self,
        job: JobId,
        reply: oneshot::Sender<Option<BegunCancellation>>,
        inputs: &mut Vec<Input>,
    ) {
        let Some(leader) = self.valid_leader() else {
            let _ = reply.send(None);
            return;
        };
        let ticket = leader.register(PendingReply::Cancellation(reply));
        inputs.push(Input::CancelRequested { ticket, job });
    }

    fn finish_cancellation(
        &mut self,
        job: JobId,
        outcome: Option<JobOutcome>,
        inputs: &mut Vec<Input>,
    ) {
        if let Some(outcome) = outcome {
            self.outcomes.insert(job, outcome);
        }
        if let Role::Leader(_) = self.role {
            inputs.push(Input::CancelSettled { job, outcome });
        }
    }

    fn set_machine_types(&mut self, types: Vec<MachineType>, inputs: &mut Vec<Input>) {
        if let Role::Leader(_) = self.role {
            inputs.push(Input::MachineTypes(types.clone()));
        }
        self.machine_types = Some(Arc::new(types));
    }

    fn look_up_jobs(&self, jobs: Vec<JobId>) -> JobLookups {
        JobLookups {
            lookups: jobs.into_iter().map(|job| self.look_up_job(job)).collect(),
            leader: self.leader.clone(),
        }
    }

    fn look_up_job(&self, job: JobId) -> Lookup {
        if let Some(outcome) = self.outcomes.get(job) {
            return Lookup::Terminal(outcome);
        }
        match &self.role {
            Role::Leader(leader) if self.context.leadership.is_valid() => leader.lookup(job),
            _ => Lookup::NotLeader,
        }
    }

    // ---- the core ----

    /// Runs one step of the core with these inputs, if this controller leads.
    fn step_core(&mut self, inputs: Vec<Input>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if !self.context.leadership.is_valid() {
            leader.defer(inputs);
            return;
        }
        let token = leader.token();
        if self.resignation.should_resign(leader) {
            tracing::warn!(token, "all workers unresponsive: resigning leadership");
            self.resignation.record_resignation();
            self.context.resign(token);
            return;
        }
        let started = std::time::Instant::now();
        let effects = leader.step(&self.context, inputs);
        self.step_stats.record(started.elapsed());
        let executor = EffectExecutor::new(&self.context, &self.handle, token);
        leader.execute(effects, &executor);
        self.step_stats.log_if_due(self.context.now_s());
    }
}

fn start_follower(
    context: &Arc<ControllerContext>,
    handle: &ControllerHandle,
) -> Option<Box<Follower>> {
    Follower::start(context, handle).map(Box::new)
}
