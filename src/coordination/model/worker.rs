//! Workers: what this leader knows of each, and what is on its way to it.

use std::collections::BTreeMap;

use crate::protocol::job::Resources;
use crate::protocol::worker::{Command, Heartbeat, TaskPhase, TaskStatus};

use super::Time;
use super::command_list::append_missing;
use super::instance::{InstanceId, TaskInstance};

/// A direct message to a worker that has no outcome yet.
#[derive(Debug, Clone)]
pub struct InFlightMessage {
    /// Unique within this leader.
    pub id: u64,
    /// When it was sent.
    pub since: Time,
    /// The starts in it.
    pub starts: Vec<InstanceId>,
    /// It carries commands; otherwise it only asks for a heartbeat.
    pub has_commands: bool,
    /// Another controller delivers it.
    pub relayed: bool,
}

/// Room reserved on a worker for tasks of a job.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// Index of the job.
    pub job: u32,
    /// For how many tasks.
    pub count: u32,
    /// It lapses then.
    pub until: Time,
    /// Of a migration: kept although no task of the job waits yet.
    pub for_migration: bool,
}

/// The order of a worker's own heartbeats: a later process of the worker has a higher incarnation,
/// and each counts its heartbeats.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatSequence {
    /// Of the worker's process; a new one holds none of the tasks of those before.
    pub incarnation: u64,
    /// Of the heartbeat within its incarnation.
    pub counter: u64,
}

impl HeartbeatSequence {
    /// Where a heartbeat stands among those of its worker.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        Self {
            incarnation: heartbeat.incarnation,
            counter: heartbeat.counter,
        }
    }
}

/// Which heartbeat came to which controller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeartbeatReceipt {
    /// Which heartbeat it was.
    pub sequence: HeartbeatSequence,
    /// Index of the controller that received it.
    pub controller: u32,
}

/// A worker, as this leader knows it.
#[derive(Debug)]
pub struct Worker {
    /// Unique in the cluster, and never used again for another.
    pub name: String,
    /// Where its direct messages are sent.
    pub address: String,
    /// Index of its instance type.
    pub kind: u32,
    /// Index of its zone.
    pub zone: u32,
    /// The cloud may reclaim it.
    pub spot: bool,
    /// The newest incarnation it has reported, 0 before its first heartbeat.
    pub incarnation: u64,
    /// Of the newest heartbeat that was applied.
    pub counter: u64,
    /// The newest heartbeat that it sent by itself, and where it came in.
    pub newest_receipt: HeartbeatReceipt,
    /// When a heartbeat that this leader answered was last received.
    pub answered_at: Option<Time>,
    /// When anything was last received from it, direct answers included.
    pub last_heartbeat_at: Option<Time>,
    /// When its last heartbeat came to any controller: its direct answers renew no lease.
    pub reported_at: Option<Time>,
    /// No incarnation up to this one can be alive any more.
    pub expired_incarnation: u64,
    /// It has reported our fencing token: no command of an earlier leader can reach it.
    pub reconciled: bool,
    /// When the cloud reclaims it, if it has given notice.
    pub reclaim_at: Option<Time>,
    /// Every task instance that may be on it, and exited ones it still lists.
    pub instances: BTreeMap<InstanceId, TaskInstance>,
    /// Resources of the instances that may be on it.
    pub used: Resources,
    /// The tasks in its newest message of jobs that this leader does not know: most of these have
    /// ended. Those that run take room of the worker, and of some team; how much is unknown too.
    pub orphaned_tasks: Vec<TaskStatus>,
    /// Commands that have not left yet.
    pub outbox: Vec<Command>,
    /// The direct message that is out to it; there is one at a time.
    pub in_flight: Option<InFlightMessage>,
    /// Its page of the worker registry.
    pub page: Option<u32>,
    /// It surely stands on a stored page, however old.
    pub registered: bool,
    /// An earlier leader registered it: tasks started by that one may be on it.
    pub known_to_predecessor: bool,
    /// The fencing record may name it: it gets no answer and no start.
    pub fenced: bool,
    /// Its number among the controllers that share the workers.
    pub shard_number: u32,
    /// Indices of the images in its cache, the least recently used first.
    pub images: Vec<u32>,
    /// Room reserved on it.
    pub reservations: Vec<Reservation>,
    /// Kept empty for the next job of this large-task profile.
    pub reserved_for: Option<u32>,
    /// Jobs that failed here since the last success, and until when they stay away.
    pub failed_jobs: BTreeMap<u32, Time>,
    /// Nothing is started on it before this time.
    pub quarantined_until: Time,
    /// How often it has been quarantined since a task last ran well on it.
    pub quarantine_count: u32,
    /// It is being scaled in.
    pub scaling_in: bool,
    /// An operator drains it: nothing new is started on it.
    pub draining: bool,
    /// Since when nothing has been on it.
    pub idle_since: Option<Time>,
    /// No direct message is sent to it before this time.
    pub next_message_at: Time,
    /// Commands to it had no answer or no effect, and it has answered nothing since. It may send
    /// heartbeats all the same: then it is one-way partitioned.
    pub commands_unanswered: bool,
    /// When it first failed to answer since its last heartbeat.
    pub unanswered_at: Option<Time>,
    /// Whose messages it has not answered since then.
    pub unanswered_senders: UnansweredSenders,
}

/// Who has had no answer from a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnansweredSenders {
    /// This controller.
    pub own: bool,
    /// Another controller, which relayed a message for this one.
    pub relayed: bool,
}

impl Worker {
    /// A worker of which nothing but its identity is known.
    pub fn new(name: &str, address: &str, kind: u32, zone: u32, spot: bool) -> Self {
        Self {
            name: name.to_string(),
            address: address.to_string(),
            kind,
            zone,
            spot,
            incarnation: 0,
            counter: 0,
            newest_receipt: HeartbeatReceipt::default(),
            answered_at: None,
            last_heartbeat_at: None,
            reported_at: None,
            expired_incarnation: 0,
            reconciled: false,
            reclaim_at: None,
            instances: BTreeMap::new(),
            used: Resources::default(),
            orphaned_tasks: Vec::new(),
            outbox: Vec::new(),
            in_flight: None,
            page: None,
            registered: false,
            known_to_predecessor: false,
            fenced: false,
            shard_number: 0,
            images: Vec::new(),
            reservations: Vec::new(),
            reserved_for: None,
            failed_jobs: BTreeMap::new(),
            quarantined_until: 0.0,
            quarantine_count: 0,
            scaling_in: false,
            draining: false,
            idle_since: None,
            next_message_at: 0.0,
            commands_unanswered: false,
            unanswered_at: None,
            unanswered_senders: UnansweredSenders::default(),
        }
    }

    /// Where the newest heartbeat that was applied stands in their order.
    pub fn sequence(&self) -> HeartbeatSequence {
        HeartbeatSequence {
            incarnation: self.incarnation,
            counter: self.counter,
        }
    }

    /// Whether its current incarnation may be alive; false before its first heartbeat.
    pub fn may_be_alive(&self) -> bool {
        self.incarnation > self.expired_incarnation
    }

    /// Its tasks that run and belong to no job that this leader knows.
    pub fn running_orphans(&self) -> impl Iterator<Item = &TaskStatus> {
        let runs = |status: &&TaskStatus| !matches!(status.phase, TaskPhase::Exited(_));
        self.orphaned_tasks.iter().filter(runs)
    }

    /// Adds commands to what is to be sent, less those that already are.
    pub fn queue_missing(&mut self, commands: Vec<Command>) {
        append_missing(&mut self.outbox, commands);
    }

    /// A direct message had no answer.
    pub fn record_unanswered(&mut self, now: Time, relayed: bool) {
        if self.unanswered_at <= self.last_heartbeat_at {
            self.unanswered_at = Some(now);
            self.unanswered_senders = UnansweredSenders::default();
        }
        if relayed {
            self.unanswered_senders.relayed = true;
        } else {
            self.unanswered_senders.own = true;
        }
    }

    /// Who has had no answer since its last heartbeat.
    pub fn unanswered_senders(&self) -> UnansweredSenders {
        if self.unanswered_at > self.last_heartbeat_at {
            self.unanswered_senders
        } else {
            UnansweredSenders::default()
        }
    }
}
