//! The leader's core: `step(now, inputs) -> effects`, without any I/O.
//!
//! The core tracks every task instance that may exist, not only those that are likely to. An
//! instance counts until it is proved gone, and each start is checked against all instances that
//! may exist at that moment.
//!
//! This module dispatches each input to the part that handles it, and defines the work of each
//! step.

use std::collections::BTreeMap;

use copperfield_command_tokens::TermTokens;

use crate::protocol::JobId;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::Phase;
use crate::protocol::peer::Lookup;
use crate::storage::{Snapshot, bitmap};

use super::command_tokens::TokenRequests;
use super::failover::FailoverStats;
use super::fencing::Fencing;
use super::job_table::JobTable;
pub use super::messages::*;
use super::migration::Migrations;
use super::model::*;
use super::persistence::WriteQueue;
use super::provisioning::Provisioning;
use super::reconciliation::Reconciliation;
pub use super::state::{Config, Core, TeamUsage};
use super::team_table::TeamTable;
use super::worker_table::WorkerTable;

use super::registry::WorkerRegistry;
use super::state::BATCH_INTERVAL_S;

/// Interval of the checks for unresponsive workers and expired leases, which also run before every
/// batch.
const LEASE_CHECK_INTERVAL_S: Time = 0.05;
/// A longer gap between two steps means that the leader was not valid throughout: while it is
/// valid, steps come at least every 50 ms.
const VALIDITY_GAP_S: Time = 0.5;

impl Core {
    /// Creates the core of a leader elected with this fencing token.
    pub fn new(
        config: Config,
        token: u64,
        now: Time,
        types: Vec<MachineType>,
        snapshot: Snapshot,
    ) -> Self {
        let mut zones = Interner::default();
        for zone in &config.cluster.zones {
            zones.intern(zone);
        }
        let teams = TeamTable::configured(&config.cluster);
        let value_bytes = (config.cluster.state.value_kb * 1024.0) as usize;
        let provisioning = Provisioning::new(token, now);
        let mut core = Self {
            tasks_per_chunk: bitmap::tasks_per_chunk(value_bytes),
            config,
            token,
            command_tokens: TermTokens::new(token),
            token_requests: TokenRequests::default(),
            elected_at: now,
            expecting_heartbeats_since: now,
            valid_since: now,
            now,
            zones,
            types: InstanceTypes::default(),
            images: Images::default(),
            teams,
            jobs: JobTable::default(),
            workers: WorkerTable::default(),
            provisioning,
            large_task_profiles: Vec::new(),
            scheduling_classes: BTreeMap::new(),
            next_tail_job: 0,
            // The token makes attempt numbers unique across leaders.
            last_attempt: first_attempt(token),
            next_message_id: 1,
            effects: Vec::new(),
            write_queue: WriteQueue::default(),
            registry: WorkerRegistry::new(value_bytes),
            fencing: Fencing::new(value_bytes),
            sharding: None,
            lease_extended_until: f64::NEG_INFINITY,
            valid_until: f64::NEG_INFINITY,
            next_batch: now,
            next_periodic_work: now,
            next_lease_check: now,
            replica_downtime_budget_s: 0.0,
            migrations: Migrations::default(),
            drains: BTreeMap::new(),
            reconciliation: Reconciliation::default(),
            failover: None,
        };
        core.types.update(types);
        core.restore(snapshot);
        core.failover = FailoverStats::begin(core.count_awaited_workers());
        core
    }

    /// Restores the state that earlier leaders stored.
    fn restore(&mut self, snapshot: Snapshot) {
        for drain in snapshot.drains {
            self.restore_drain(drain);
        }
        for job in snapshot.jobs {
            self.add_job(job);
        }
        for stored in snapshot.progress {
            self.restore_progress(&stored);
        }
        for page in snapshot.registry {
            self.restore_registry(page);
        }
        self.restore_fencing(snapshot.fencing, snapshot.vote_binding_until);
        for job_index in self.jobs.indices() {
            self.finish_if_done(job_index);
        }
    }

    /// The number of workers whose heartbeats this leader waits for.
    fn count_awaited_workers(&self) -> usize {
        self.workers
            .iter()
            .filter(|(_, worker)| worker.known_to_predecessor && !worker.fenced)
            .count()
    }

    /// Processes the inputs received by `now` and returns the effects to carry out outside the
    /// core.
    pub fn step(&mut self, now: Time, inputs: Vec<Input>) -> Vec<Effect> {
        if now - self.now > VALIDITY_GAP_S {
            self.valid_since = now;
        }
        self.now = now.max(self.now);
        for input in inputs {
            self.handle_input(input);
        }
        let batch_due = self.now >= self.next_batch;
        if batch_due || self.now >= self.next_lease_check {
            // Both scan all workers. When they ran at every input they took most of a step's time.
            self.next_lease_check = self.now + LEASE_CHECK_INTERVAL_S;
            self.expire_leases();
            self.release_unresponsive_workers();
        }
        if batch_due {
            self.next_batch = self.now + BATCH_INTERVAL_S;
            self.block_unreconciled_jobs();
            self.balance_shards();
            self.fence_unresponsive_workers();
            self.run_batch();
        }
        if self.now >= self.next_periodic_work {
            self.next_periodic_work = self.now + 1.0;
            self.run_periodic_work();
        }
        self.record_failover_progress();
        self.flush_commands();
        self.flush_writes();
        std::mem::take(&mut self.effects)
    }

    fn run_periodic_work(&mut self) {
        self.run_provisioning();
        self.advance_migrations();
        self.advance_drains();
        if self.config.tuning.defragmentation.enabled {
            self.free_whole_workers();
        } else {
            self.rebalance_replicas();
        }
        self.log_demand();
        let (now, token) = (self.now, self.token);
        self.reconciliation.lease_log.log_if_due(now, token);
        self.reconciliation.command_log.log_if_due(now, token);
    }

    fn record_failover_progress(&mut self) {
        let Some(failover) = &mut self.failover else {
            return;
        };
        let workers = &self.workers;
        let progress = failover.record_reconciled(self.now - self.elected_at, || {
            let known = workers.iter().filter(|(_, w)| w.known_to_predecessor);
            known.filter(|(_, w)| w.reconciled).count()
        });
        if progress.most_just_reconciled {
            // Jobs that waited for these workers are placed now, not at the end of the interval.
            self.next_batch = self.now;
        }
        if progress.ended {
            let unresponsive = workers.iter().filter(|(_, w)| w.fenced).count();
            failover.log(self.token, unresponsive);
            self.failover = None;
        }
    }

    /// Handles a pause of this process during which its clock kept running. Heartbeat times move by
    /// the length of the pause, so that workers that were due to report during it do not count as
    /// unresponsive. Otherwise the leader would resign or release healthy workers. Leases are not
    /// extended.
    pub fn handle_pause(&mut self, pause_s: f64) {
        self.expecting_heartbeats_since += pause_s;
        self.shift_shard_statuses(pause_s);
        for (_, worker) in self.workers.iter_mut() {
            let heartbeat_times = [
                &mut worker.last_heartbeat_at,
                &mut worker.reported_at,
                &mut worker.unanswered_at,
            ];
            for at in heartbeat_times {
                *at = at.map(|t| t + pause_s);
            }
        }
    }

    /// Looks up the status of a job for a user. Only a leader whose lease is valid may answer with
    /// it.
    pub fn lookup(&self, id: JobId) -> Lookup {
        if let Some(end) = self.jobs.outcome(id) {
            return Lookup::Terminal(end);
        }
        match self
            .jobs
            .index_of(id)
            .map(|job_index| &self.jobs[job_index])
        {
            Some(job) if job.state == JobState::Live => Lookup::Live {
                phase: if job.running > 0 {
                    Phase::Running
                } else {
                    Phase::Pending
                },
                done: job.done,
                running: job.running,
            },
            // While an outcome is being stored, another controller may already have read it.
            _ => Lookup::NotInMemory,
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Heartbeat { ticket, heartbeat } => self.handle_heartbeat(ticket, heartbeat),
            Input::DirectMessageEnded {
                worker,
                message_id,
                outcome,
            } => self.handle_command_outcome(&worker, message_id, outcome),
            Input::ShardStatus { ticket, status } => self.handle_shard_status(ticket, status),
            Input::BufferedHeartbeats(forwarded) => self.handle_buffered_heartbeats(forwarded),
            Input::RelayFailed {
                controller,
                message_ids,
                outcome,
            } => self.handle_relay_failure(controller, message_ids, &outcome),
            Input::Job(job) => self.add_job(job),
            Input::CancelRequested { ticket, job } => {
                let decision = self.begin_cancellation(job);
                self.effects.push(Effect::AnswerCancel { ticket, decision });
            }
            Input::CancelSettled { job, outcome } => self.finish_cancellation(job, outcome),
            Input::Admin {
                ticket,
                request,
                unix_ms,
            } => self.handle_admin_request(ticket, request, unix_ms),
            Input::Written(results) => self.handle_write_results(results),
            Input::MachineTypes(types) => self.update_instance_types(types),
            Input::WorkerList(list) => self.handle_worker_list(list),
            Input::ScaledOut { request, outcome } => {
                self.handle_scale_out_result(&request, outcome);
            }
            Input::ScaledIn { workers, ok } => self.handle_scale_in_result(workers, ok),
        }
    }
}
