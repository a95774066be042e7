//! Provisioning: which workers the cluster has. Workers are scaled out for tasks that find no room,
//! and scaled in when they are idle, do not boot, or can only be proved empty by their return.
//!
//! `scale_out` and `scale_in` send the requests and handle their results, `boots` estimates boot
//! times, `unresponsive` releases workers that this leader cannot reach, and `quarantine` tells
//! faulty workers from mistaken jobs.

mod boots;
mod quarantine;
mod recent_heartbeats;
mod scale_in;
mod scale_out;
mod unresponsive;

use std::collections::BTreeMap;

use crate::protocol::cloud::ListedWorker;

use super::messages::Effect;
use super::model::*;
use super::state::Core;

use boots::BootingWorker;
use scale_out::{CapacityPool, ProvisioningRequest};

/// How often the cloud is asked for the list of its workers.
const LIST_INTERVAL_S: Time = 3.0;
/// How often the cloud is asked for its instance types.
const TYPES_INTERVAL_S: Time = 20.0;

/// The cloud's name for the phase of a worker that has stopped by itself.
const PHASE_FAILED: &str = "failed";
/// The cloud's name for the phase of a worker that boots.
const PHASE_STARTING: &str = "starting";

/// What the leader has asked the cloud for, and what it knows of the cloud's answers.
#[derive(Debug)]
pub(super) struct Provisioning {
    /// The leader's fencing token, which makes the ids of requests unique across leaders.
    token: u64,
    /// The number of the last request to scale out.
    last_request: u64,
    /// Requests to scale out that have no answer yet, by id.
    pending_requests: BTreeMap<String, ProvisioningRequest>,
    /// Workers without a heartbeat yet, by name.
    booting: BTreeMap<String, BootingWorker>,
    /// By type: how long workers took to boot, as a multiple of what the cloud says.
    boot_time_factors: BTreeMap<u32, f64>,
    /// Pools that had no capacity, and until when they are not asked again.
    no_capacity_until: BTreeMap<CapacityPool, Time>,
    next_list_at: Time,
    next_types_at: Time,
    /// A request to scale in has no answer yet; there is one at a time.
    scale_in_pending: bool,
    /// The cloud has listed its workers to this leader: before, it may have more than are known.
    workers_listed: bool,
}

impl Provisioning {
    /// The state of a new leader with this fencing token.
    pub(super) fn new(token: u64, now: Time) -> Self {
        Self {
            token,
            last_request: 0,
            pending_requests: BTreeMap::new(),
            booting: BTreeMap::new(),
            boot_time_factors: BTreeMap::new(),
            no_capacity_until: BTreeMap::new(),
            next_list_at: now,
            next_types_at: now,
            scale_in_pending: false,
            workers_listed: false,
        }
    }
}

impl Core {
    /// What is done once a second: reads of the cloud's state, then scaling out and in.
    pub(super) fn run_provisioning(&mut self) {
        if self.now >= self.provisioning.next_types_at {
            self.provisioning.next_types_at = self.now + TYPES_INTERVAL_S;
            self.effects.push(Effect::ReadMachineTypes);
        }
        if self.now >= self.provisioning.next_list_at {
            self.provisioning.next_list_at = self.now + LIST_INTERVAL_S;
            self.effects.push(Effect::ListWorkers);
        }
        self.scale_out();
        self.scale_in();
    }

    /// The cloud has listed its workers.
    pub(super) fn handle_worker_list(&mut self, list: Vec<ListedWorker>) {
        self.provisioning.workers_listed = true;
        for entry in list {
            if self.workers.is_scaled_in(&entry.name) {
                continue;
            }
            let kind = self.types.intern(&entry.machine_type);
            let zone = self.zones.intern(&entry.zone);
            match entry.phase.as_str() {
                PHASE_FAILED => self.return_failed_worker(&entry, kind, zone),
                PHASE_STARTING if !self.workers.contains(&entry.name) => {
                    let since = self.now - entry.age_s;
                    self.provisioning
                        .booting
                        .entry(entry.name)
                        .or_insert(BootingWorker {
                            kind,
                            since,
                            spot: entry.spot,
                        });
                }
                _ => {}
            }
        }
    }

    /// A worker has stopped by itself: only its return proves that its tasks are gone.
    fn return_failed_worker(&mut self, entry: &ListedWorker, kind: u32, zone: u32) {
        let m = match self.workers.index_of(&entry.name) {
            Some(m) => m,
            None => self.add_worker(&entry.name, &entry.address, kind, zone, entry.spot),
        };
        self.provisioning.booting.remove(&entry.name);
        self.workers[m].scaling_in = true;
    }
}
