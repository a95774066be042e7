//! Drains, and what else operators ask of the leader.
//!
//! Nothing new starts on a node that drains. What may move moves, the rest runs to its
//! end, or is stopped in order once the deadline has passed. A drain counts at once,
//! since to start less breaks nothing, and its operator is answered when it is stored;
//! the end of a drain counts once it is stored.

use copperfield_admin::views;
use serde::Serialize;
use serde_json::json;

use crate::protocol::peer::AdminRequest;
use crate::storage::writer::{Write, Written};
use crate::storage::{DrainRecord, StoredDrain};

use super::messages::Effect;
use super::migration::amounts;
use super::model::*;
use super::persistence::WriteBatch;
use super::state::{Core, Drain};

/// Nodes, moves or jobs in one answer, which stays well under 64 KiB.
const PAGE: usize = 100;

impl Core {
    pub(super) fn restore_drain(&mut self, stored: StoredDrain) {
        if let Some(&m) = self.worker_ids.get(&stored.worker) {
            self.workers[m].draining = true;
        }
        let drain = Drain {
            // One that cannot be read drains on, and is written anew if anyone changes it.
            record: Some(stored.record.unwrap_or(DrainRecord {
                at_ms: 0,
                until_ms: None,
            })),
            until: stored.left_s.map(|s| self.now + s),
            version: stored.version,
            ..Drain::default()
        };
        self.drains.insert(stored.worker, drain);
    }

    pub(super) fn operate(&mut self, ticket: u64, order: AdminRequest, unix_ms: u64) {
        match order {
            AdminRequest::Nodes { since } => {
                let nodes = self.nodes(&since);
                self.answer(ticket, 200, &nodes);
            }
            AdminRequest::Moves => {
                let moves = self.moves_view();
                self.answer(ticket, 200, &moves);
            }
            AdminRequest::Drain {
                node,
                deadline_s,
                yes,
            } => self.drain(ticket, node, deadline_s, yes, unix_ms),
            AdminRequest::Undrain { node } => self.undrain(ticket, &node),
        }
    }

    fn answer(&mut self, ticket: u64, status: u16, value: &impl Serialize) {
        self.effects.push(Effect::AdminAnswered {
            ticket,
            status,
            body: serde_json::to_vec(value).expect("plain data"),
        });
    }

    fn no_such_node(&mut self, ticket: u64, node: &str) {
        let error = json!({"error": format!("there is no node {node:?}")});
        self.answer(ticket, 404, &error);
    }

    fn drain(
        &mut self,
        ticket: u64,
        node: String,
        deadline_s: Option<f64>,
        yes: bool,
        unix_ms: u64,
    ) {
        let Some(&m) = self.worker_ids.get(&node) else {
            return self.no_such_node(ticket, &node);
        };
        let protected = self.protected_on(m);
        if !protected.is_empty() && !yes {
            let error = format!("{node} holds tasks of a protected class");
            let protected = protected.into_iter().take(PAGE).collect();
            return self.answer(ticket, 409, &views::Confirm { error, protected });
        }
        tracing::info!(node, ?deadline_s, "drain");
        let now = self.now;
        let drain = self.drains.entry(node).or_default();
        let at_ms = drain.record.map_or(unix_ms, |r| r.at_ms);
        let record = DrainRecord {
            at_ms,
            until_ms: deadline_s.map(|s| unix_ms + (s * 1000.0) as u64),
        };
        // The same once more, without a deadline that moves on, changes nothing.
        let same = drain.version > 0 && !drain.writing && drain.record == Some(record);
        drain.record = Some(record);
        drain.until = deadline_s.map(|s| now + s);
        drain.waiters.push(ticket);
        drain.due |= !same;
        self.workers[m].draining = true;
        self.unqueue_all(m);
        if same {
            let name = self.workers[m].name.clone();
            self.answer_waiters(&name);
        }
    }

    fn undrain(&mut self, ticket: u64, node: &str) {
        if let Some(drain) = self.drains.get_mut(node) {
            tracing::info!(node, "drain ends");
            drain.record = None;
            drain.until = None;
            drain.due = true;
            drain.waiters.push(ticket);
        } else if self.worker_ids.contains_key(node) {
            self.answer_node(ticket, node);
        } else {
            self.no_such_node(ticket, node);
        }
    }

    /// The worker is gone for good, and its name with it.
    pub(super) fn forget_drain(&mut self, node: &str) {
        if let Some(drain) = self.drains.get_mut(node) {
            drain.record = None;
            drain.until = None;
            drain.due = true;
        }
    }

    pub(super) fn add_drain_writes(&mut self, batch: &mut WriteBatch) {
        for (node, drain) in &mut self.drains {
            if !batch.has_room_for(1) {
                return;
            }
            if drain.due && !drain.writing {
                drain.due = false;
                drain.writing = true;
                let write = Write::Drain {
                    node: node.clone(),
                    record: drain.record,
                    version: drain.version,
                };
                batch.push(write, 0);
            }
        }
    }

    pub(super) fn drain_written(
        &mut self,
        node: String,
        record: Option<DrainRecord>,
        written: &Written,
    ) {
        let Some(drain) = self.drains.get_mut(&node) else {
            return;
        };
        drain.writing = false;
        match written {
            Written::Stored { version } => drain.version = *version,
            Written::Again { version } => {
                drain.version = *version;
                drain.due = true;
            }
            Written::Ended(_) => {}
        }
        // Ordered otherwise meanwhile, or not stored: what is due answers later.
        if drain.due || drain.record != record {
            return;
        }
        if record.is_none() {
            if let Some(&m) = self.worker_ids.get(&node) {
                self.workers[m].draining = false;
            }
            let waiters = self.drains.remove(&node).map(|d| d.waiters);
            for ticket in waiters.unwrap_or_default() {
                self.answer_node(ticket, &node);
            }
        } else {
            self.answer_waiters(&node);
        }
    }

    fn answer_waiters(&mut self, node: &str) {
        let waiters = self
            .drains
            .get_mut(node)
            .map(|d| std::mem::take(&mut d.waiters));
        for ticket in waiters.unwrap_or_default() {
            self.answer_node(ticket, node);
        }
    }

    fn answer_node(&mut self, ticket: u64, node: &str) {
        let node = self.node_named(node);
        self.answer(ticket, 200, &node);
    }

    /// Also of a node that drains and that this leader has not heard of.
    fn node_named(&self, name: &str) -> views::Node {
        match self.worker_ids.get(name) {
            Some(&m) => self.node(m),
            None => lost(name),
        }
    }

    /// Once a second: moves work off draining nodes, and stops what is left at the deadline.
    pub(super) fn advance_drains(&mut self) {
        let draining: Vec<(u32, Option<Time>)> = self
            .drains
            .iter()
            .filter(|(_, d)| d.record.is_some())
            .filter_map(|(name, d)| Some((*self.worker_ids.get(name)?, d.until)))
            .collect();
        for (m, until) in draining {
            if until.is_some_and(|t| t <= self.now) {
                let keys: Vec<InstanceId> = self.workers[m].instances.keys().copied().collect();
                for key in keys {
                    let instance = self.workers[m].instances.get(&key);
                    if instance.is_some_and(|c| c.possible() && c.stop.is_none()) {
                        self.stop_in_order(m, key);
                    }
                }
            } else if !self.is_unresponsive(m) {
                self.evacuate(m);
            }
        }
    }

    fn protected_on(&self, m: u32) -> Vec<String> {
        let instances = self.workers[m].instances.iter();
        let mut jobs: Vec<u32> = instances
            .filter(|(k, c)| c.possible() && self.jobs[k.job].protected)
            .map(|(k, _)| k.job)
            .collect();
        jobs.dedup();
        let name = |ix: u32| {
            let spec = &self.jobs[ix].spec;
            format!("{} ({})", spec.id, spec.class)
        };
        jobs.into_iter().map(name).collect()
    }

    fn nodes(&self, since: &str) -> views::Nodes {
        let known = self.worker_ids.keys().map(String::as_str);
        let unknown = self.drains.keys().map(String::as_str);
        let unknown = unknown.filter(|n| !self.worker_ids.contains_key(*n));
        let mut names: Vec<&str> = known.chain(unknown).filter(|n| *n > since).collect();
        names.sort_unstable();
        let more = names.len() > PAGE;
        names.truncate(PAGE);
        views::Nodes {
            nodes: names.into_iter().map(|n| self.node_named(n)).collect(),
            more,
        }
    }

    fn node(&self, m: u32) -> views::Node {
        let worker = &self.workers[m];
        let possible = || worker.instances.iter().filter(|(_, c)| c.possible());
        let state = if worker.returning {
            views::NodeState::Returning
        } else if worker.incarnation <= worker.expired_incarnation {
            views::NodeState::Lost
        } else if self.is_unresponsive(m) {
            views::NodeState::Late
        } else if worker.draining && possible().next().is_none() {
            views::NodeState::Drained
        } else if worker.draining {
            views::NodeState::Draining
        } else if worker.reclaim_at.is_some() {
            views::NodeState::Reclaimed
        } else if worker.quarantined_until > self.now {
            views::NodeState::Quarantined
        } else {
            views::NodeState::Ready
        };
        let all = self.types.get(worker.kind).map(|t| t.whole);
        let all = amounts(&all.unwrap_or_default());
        let used = amounts(&worker.used);
        let share = |d: usize| views::ResourceUsage {
            used: used[d],
            capacity: all[d],
        };
        let until = self.drains.get(&worker.name).and_then(|d| d.until);
        views::Node {
            name: worker.name.clone(),
            machine_type: self.types.names.name(worker.kind).to_string(),
            zone: self.zones.name(worker.zone).to_string(),
            spot: worker.spot,
            state,
            tasks: possible().count() as u32,
            protected: possible()
                .filter(|(k, _)| self.jobs[k.job].protected)
                .count() as u32,
            leaving: self.leaving(&worker.name),
            cpus: share(0),
            gpus: share(1),
            memory_gb: share(2),
            deadline_s: until.map(|t| (t - self.now).max(0.0)),
            heard_s: worker.last_heartbeat_at.map(|t| self.now - t),
            controller: self.answering_controller(m).map(str::to_string),
        }
    }

    fn moves_view(&self) -> views::Moves {
        let moves = &self.migrations;
        let view = |r: &super::state::TaskMigration, state: &str| views::Move {
            task: format!("{}/{}", r.id, r.key.task),
            from: r.from.clone(),
            to: r.to.clone(),
            purpose: r.wanted_by.map_or("drain".into(), |id| id.to_string()),
            state: state.to_string(),
            age_s: self.now - r.began,
        };
        let waiting = |(id, reason): (&crate::protocol::JobId, &String)| {
            let job = &self.jobs[*self.job_ids.get(id)?];
            (job.waiting() > 0).then(|| views::Waiting {
                job: format!("{id} ({})", job.spec.class),
                tasks: job.waiting(),
                waited_s: self.now - job.seen_at,
                reason: reason.clone(),
            })
        };
        views::Moves {
            enabled: self.config.tuning.defragmentation.enabled,
            live: moves
                .live
                .iter()
                .take(PAGE)
                .map(|r| view(r, Self::stage(r)))
                .collect(),
            recent: moves
                .recent
                .iter()
                .rev()
                .map(|(r, end)| view(r, end))
                .collect(),
            waiting: moves
                .reasons
                .iter()
                .take(PAGE)
                .filter_map(waiting)
                .collect(),
        }
    }
}

/// A node that drains and that this leader has not heard of.
fn lost(name: &str) -> views::Node {
    let nothing = views::ResourceUsage {
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
        cpus: nothing,
        gpus: nothing,
        memory_gb: nothing,
        deadline_s: None,
        heard_s: None,
        controller: None,
    }
}
