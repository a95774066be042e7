//! Responses of the admin API about workers, migrations and waiting jobs.
//!
//! The admin API calls a worker a node and a migration a move.

use copperfield_admin::views;
use serde::Serialize;
use serde_json::json;

use crate::coordination::messages::Effect;
use crate::coordination::migration::TaskMigration;
use crate::coordination::model::*;
use crate::coordination::state::Core;
use crate::protocol::JobId;
use crate::protocol::job::Resources;
use crate::protocol::peer::AdminRequest;

/// The maximum number of items of a list in one response, which keeps it well under 64 KiB.
pub(super) const PAGE_SIZE: usize = 100;

impl Core {
    /// Handles a request of an operator.
    pub(in crate::coordination) fn handle_admin_request(
        &mut self,
        ticket: u64,
        request: AdminRequest,
        unix_ms: u64,
    ) {
        match request {
            AdminRequest::Nodes { since } => {
                let nodes = self.nodes_view(&since);
                self.answer_admin(ticket, 200, &nodes);
            }
            AdminRequest::Moves => {
                let moves = self.moves_view();
                self.answer_admin(ticket, 200, &moves);
            }
            AdminRequest::Drain {
                node,
                deadline_s,
                yes,
            } => self.drain(ticket, node, deadline_s, yes, unix_ms),
            AdminRequest::Undrain { node } => self.undrain(ticket, &node),
        }
    }

    /// Answers a request of an operator with a status and a JSON body.
    pub(super) fn answer_admin(&mut self, ticket: u64, status: u16, value: &impl Serialize) {
        self.effects.push(Effect::AnswerAdmin {
            ticket,
            status,
            body: serde_json::to_vec(value).expect("views hold plain data"),
        });
    }

    /// Answers that no worker has this name.
    pub(super) fn answer_unknown_node(&mut self, ticket: u64, name: &str) {
        let error = json!({"error": format!("there is no node {name:?}")});
        self.answer_admin(ticket, 404, &error);
    }

    /// Answers with the view of one worker.
    pub(super) fn answer_node(&mut self, ticket: u64, name: &str) {
        let node = self.node_view_by_name(name);
        self.answer_admin(ticket, 200, &node);
    }

    /// Returns the view of a worker, which may be a draining worker that this leader does not know.
    fn node_view_by_name(&self, name: &str) -> views::Node {
        match self.workers.index_of(name) {
            Some(worker_index) => self.node_view(worker_index),
            None => unknown_node_view(name),
        }
    }

    /// Returns one page of workers whose names follow `since`, including draining workers that this
    /// leader does not know.
    fn nodes_view(&self, since: &str) -> views::Nodes {
        let known = self.workers.names();
        let unknown = self.drains.keys().map(String::as_str);
        let unknown = unknown.filter(|name| !self.workers.contains(name));
        let mut names: Vec<&str> = known.chain(unknown).filter(|name| *name > since).collect();
        names.sort_unstable();
        let more = names.len() > PAGE_SIZE;
        names.truncate(PAGE_SIZE);
        views::Nodes {
            nodes: names
                .into_iter()
                .map(|name| self.node_view_by_name(name))
                .collect(),
            more,
        }
    }

    fn node_view(&self, worker_index: u32) -> views::Node {
        let worker = &self.workers[worker_index];
        let instances = || {
            let listed = worker.instances.iter();
            listed.filter(|(_, instance)| instance.may_exist())
        };
        let capacity = self
            .types
            .get(worker.instance_type)
            .map(|instance_type| instance_type.capacity);
        let capacity = display_units(&capacity.unwrap_or_default());
        let used = display_units(&worker.used);
        let usage = |resource: usize| views::ResourceUsage {
            used: used[resource],
            capacity: capacity[resource],
        };
        let deadline = self
            .drains
            .get(&worker.name)
            .and_then(|drain| drain.deadline);
        views::Node {
            name: worker.name.clone(),
            machine_type: self.types.names.name(worker.instance_type).to_string(),
            zone: self.zones.name(worker.zone).to_string(),
            spot: worker.spot,
            state: self.node_state(worker_index),
            tasks: instances().count() as u32,
            protected: instances()
                .filter(|(id, _)| self.jobs[id.job].protected)
                .count() as u32,
            leaving: self.leaving_tasks(&worker.name),
            cpus: usage(0),
            gpus: usage(1),
            memory_gb: usage(2),
            deadline_s: deadline.map(|time| (time - self.now).max(0.0)),
            heard_s: worker.last_heartbeat_at.map(|time| self.now - time),
            controller: self.answering_controller(worker_index).map(str::to_string),
        }
    }

    fn node_state(&self, worker_index: u32) -> views::NodeState {
        let worker = &self.workers[worker_index];
        let is_empty = || !worker.instances.values().any(TaskInstance::may_exist);
        if worker.scaling_in {
            views::NodeState::Returning
        } else if worker.incarnation <= worker.expired_incarnation {
            views::NodeState::Lost
        } else if self.is_unresponsive(worker_index) {
            views::NodeState::Late
        } else if worker.draining && is_empty() {
            views::NodeState::Drained
        } else if worker.draining {
            views::NodeState::Draining
        } else if worker.reclaim_at.is_some() {
            views::NodeState::Reclaimed
        } else if worker.quarantined_until > self.now {
            views::NodeState::Quarantined
        } else {
            views::NodeState::Ready
        }
    }

    fn moves_view(&self) -> views::Moves {
        let migrations = &self.migrations;
        let live = migrations.live().take(PAGE_SIZE);
        let waiting = migrations.plan_statuses().take(PAGE_SIZE);
        views::Moves {
            enabled: self.config.tuning.defragmentation.enabled,
            live: live
                .map(|migration| self.move_view(migration, migration.stage_name()))
                .collect(),
            recent: migrations
                .recent()
                .map(|(migration, outcome)| self.move_view(migration, outcome))
                .collect(),
            waiting: waiting
                .filter_map(|(id, reason)| self.waiting_view(id, reason))
                .collect(),
        }
    }

    fn move_view(&self, migration: &TaskMigration, state: &str) -> views::Move {
        let wanted_by = migration.wanted_by();
        views::Move {
            task: migration.task_name(),
            from: migration.source().to_string(),
            to: migration.target().to_string(),
            purpose: wanted_by.map_or("drain".into(), |id| id.to_string()),
            state: state.to_string(),
            age_s: migration.age_s(self.now),
        }
    }

    /// Returns the view of a job that waits, or `None` if none of its tasks waits any longer.
    fn waiting_view(&self, id: JobId, reason: String) -> Option<views::WaitingJob> {
        let job = &self.jobs[self.jobs.index_of(id)?];
        (job.waiting() > 0).then(|| views::WaitingJob {
            job: format!("{id} ({})", job.spec.class),
            tasks: job.waiting(),
            waited_s: self.now - job.accepted_at,
            reason,
        })
    }
}

/// Returns the view of a draining worker that this leader does not know.
fn unknown_node_view(name: &str) -> views::Node {
    let no_usage = views::ResourceUsage {
        used: 0.0,
        capacity: 0.0,
    };
    views::Node {
        name: name.to_string(),
        machine_type: "-".into(),
        zone: "-".into(),
        spot: false,
        state: views::NodeState::Lost,
        tasks: 0,
        protected: 0,
        leaving: 0,
        cpus: no_usage,
        gpus: no_usage,
        memory_gb: no_usage,
        deadline_s: None,
        heard_s: None,
        controller: None,
    }
}

/// Converts resources to CPUs, GPUs and gigabytes of memory.
fn display_units(resources: &Resources) -> [f64; 3] {
    let thousandths = [resources.cpus, resources.gpus, resources.memory];
    thousandths.map(|amount| amount as f64 / 1000.0)
}
