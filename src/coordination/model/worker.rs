//! Workers: what this leader knows of each worker, and the messages in flight to it.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use copperfield_command_tokens::WorkerTokens;

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
    pub sent_at: Time,
    /// The starts in it.
    pub starts: Vec<InstanceId>,
    /// Whether it carries commands. A message without commands is a probe for a heartbeat.
    pub has_commands: bool,
    /// Whether another controller delivers it.
    pub relayed: bool,
}

/// Resources reserved on a worker for tasks of a job.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// The index of the job.
    pub job: u32,
    /// The number of tasks that resources are reserved for.
    pub count: u32,
    /// When the reservation expires.
    pub until: Time,
    /// Whether it belongs to a migration, and is kept although no task of the job waits yet.
    pub for_migration: bool,
}

/// Orders the heartbeats of a worker: each process of the worker has a higher incarnation than the
/// one before and counts its heartbeats.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatSequence {
    /// The incarnation of the worker. A new incarnation holds none of the tasks of earlier ones.
    pub incarnation: u64,
    /// The heartbeat counter within the incarnation.
    pub counter: u64,
}

impl HeartbeatSequence {
    /// The sequence of a heartbeat.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        Self {
            incarnation: heartbeat.incarnation,
            counter: heartbeat.counter,
        }
    }
}

/// Records which controller received a heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeartbeatReceipt {
    /// The sequence of the heartbeat.
    pub sequence: HeartbeatSequence,
    /// The index of the controller that received it.
    pub controller: u32,
}

/// A worker, as this leader knows it.
#[derive(Debug)]
pub struct Worker {
    /// Unique in the cluster. The name is never reused for another worker.
    pub name: String,
    /// The address for direct messages.
    pub address: String,
    /// The index of its instance type.
    pub instance_type: u32,
    /// The index of its zone.
    pub zone: u32,
    /// It is a spot worker, which the cloud may reclaim.
    pub spot: bool,
    /// The newest incarnation it has reported; 0 before its first heartbeat.
    pub incarnation: u64,
    /// The counter of the newest heartbeat that was applied.
    pub counter: u64,
    /// The newest heartbeat that it sent on its own, and the controller that received it.
    pub newest_receipt: HeartbeatReceipt,
    /// When this leader last received a heartbeat that it answered.
    pub answered_at: Option<Time>,
    /// When this leader last received a heartbeat of any kind, direct answers included.
    pub last_heartbeat_at: Option<Time>,
    /// When any controller last received a heartbeat that it sent on its own. Direct answers do not
    /// count, as they renew no lease.
    pub reported_at: Option<Time>,
    /// No incarnation up to this one can still be alive.
    pub expired_incarnation: u64,
    /// It has reported this leader's fencing token, so it rejects commands of earlier leaders.
    pub reconciled: bool,
    /// The fencing tokens of the messages to it.
    pub tokens: WorkerTokens,
    /// When the cloud will reclaim it, if the cloud has given notice.
    pub reclaim_at: Option<Time>,
    /// Every task instance that it may hold, and the exited ones that it still lists.
    pub instances: BTreeMap<InstanceId, TaskInstance>,
    /// The total resources of the instances that it may hold.
    pub used: Resources,
    /// The tasks in its newest heartbeat whose jobs this leader does not know. Most of these jobs
    /// have ended. Running orphaned tasks use an unknown amount of the worker's resources and of
    /// some team's limit.
    pub orphaned_tasks: Vec<TaskStatus>,
    /// Commands that have not been sent yet.
    pub outbox: Vec<Command>,
    /// The direct message in flight to it. There is at most one at a time.
    pub in_flight: Option<InFlightMessage>,
    /// Its page in the worker registry.
    pub page: Option<u32>,
    /// Some stored version of a registry page certainly lists it.
    pub registered: bool,
    /// An earlier leader registered it, so it may hold tasks that an earlier leader started.
    pub known_to_predecessor: bool,
    /// The fencing record may list it. It gets neither answers to heartbeats nor starts.
    pub fenced: bool,
    /// Its number in the worker shards.
    pub shard_number: u32,
    /// Indices of the images in its cache, least recently used first.
    pub images: Vec<u32>,
    /// Resources reserved on it.
    pub reservations: Vec<Reservation>,
    /// The large-task profile for whose next job it is kept empty.
    pub reserved_for: Option<u32>,
    /// Jobs that have failed here since the last success, and until when each avoids this worker.
    pub failed_jobs: BTreeMap<u32, Time>,
    /// The end of its quarantine. Nothing is started on it before this time.
    pub quarantined_until: Time,
    /// The number of quarantines since a task last ran well on it.
    pub quarantine_count: u32,
    /// It is being scaled in.
    pub scaling_in: bool,
    /// An operator is draining it, so nothing new is started on it.
    pub draining: bool,
    /// When this leader learned of it, which is no earlier than it was provisioned.
    pub known_since: Time,
    /// The cloud's newest list omits it although it describes a later time than `known_since`, so
    /// the worker no longer exists.
    pub unlisted: bool,
    /// Since when it has held no task instance.
    pub idle_since: Option<Time>,
    /// No direct message is sent to it before this time.
    pub next_message_at: Time,
    /// Commands to it had no answer or no effect, and it has answered nothing since. If it still
    /// sends heartbeats, it is one-way partitioned.
    pub commands_unanswered: bool,
    /// When it first failed to answer a direct message since its last heartbeat.
    pub unanswered_at: Option<Time>,
    /// The senders whose messages it has not answered since then.
    pub unanswered_senders: UnansweredSenders,
}

/// Senders of direct messages that a worker has not answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnansweredSenders {
    /// This controller has sent one itself.
    pub own: bool,
    /// Another controller has relayed one for this controller.
    pub relayed: bool,
}

impl Worker {
    /// A worker that has not reported anything yet.
    pub fn new(name: &str, address: &str, instance_type: u32, zone: u32, spot: bool) -> Self {
        Self {
            name: name.to_string(),
            address: address.to_string(),
            instance_type,
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
            tokens: WorkerTokens::default(),
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
            known_since: 0.0,
            unlisted: false,
            idle_since: None,
            next_message_at: 0.0,
            commands_unanswered: false,
            unanswered_at: None,
            unanswered_senders: UnansweredSenders::default(),
        }
    }

    /// The sequence of the newest heartbeat that was applied.
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

    /// Its orphaned tasks that have not exited.
    pub fn running_orphans(&self) -> impl Iterator<Item = &TaskStatus> {
        let runs = |status: &&TaskStatus| !matches!(status.phase, TaskPhase::Exited(_));
        self.orphaned_tasks.iter().filter(runs)
    }

    /// The instances of these tasks of a job that it may hold or lists.
    pub fn attempts(
        &self,
        job: u32,
        tasks: RangeInclusive<u32>,
    ) -> impl Iterator<Item = (&InstanceId, &TaskInstance)> {
        let from = InstanceId {
            job,
            task: *tasks.start(),
            attempt: 0,
        };
        let to = InstanceId {
            job,
            task: *tasks.end(),
            attempt: u64::MAX,
        };
        self.instances.range(from..=to)
    }

    /// Adds the commands to the outbox that it does not contain yet.
    pub fn queue_missing(&mut self, commands: Vec<Command>) {
        append_missing(&mut self.outbox, commands);
    }

    /// Records that a direct message had no answer.
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

    /// The senders whose messages it has not answered since its last heartbeat.
    pub fn unanswered_senders(&self) -> UnansweredSenders {
        if self.unanswered_at > self.last_heartbeat_at {
            self.unanswered_senders
        } else {
            UnansweredSenders::default()
        }
    }
}
