//! Provisioning of workers from the cloud.
//!
//! The cluster scales out when tasks do not fit on the existing workers. It scales in workers that
//! are idle or do not boot, and workers whose tasks can only be proved gone by returning the worker
//! to the cloud.
//!
//! `scale_out` and `scale_in` send requests and handle their results, and `boots` estimates boot
//! times. `pools` chooses where workers are requested, and `zones` tells where new workers can be
//! expected to be reachable. `unresponsive` releases workers that this leader cannot reach, with the
//! reachability of zones from `recent_heartbeats`; `lost_workers` releases workers that no longer
//! exist. `quarantine` distinguishes faulty workers from faulty jobs.

mod boots;
mod lost_workers;
mod pools;
mod quarantine;
mod recent_heartbeats;
mod scale_in;
mod scale_out;
mod unresponsive;
mod zones;

use std::collections::BTreeMap;

use crate::protocol::cloud::ListedWorker;

use super::messages::{Effect, WorkerList};
use super::model::*;
use super::state::Core;

use boots::BootingWorker;
use pools::CapacityPool;
use scale_out::ProvisioningRequest;
use zones::ZoneHealth;

/// How often the list of workers is read from the cloud.
const LIST_INTERVAL_S: Time = 3.0;
/// How often the instance types are read from the cloud.
const TYPES_INTERVAL_S: Time = 20.0;

/// The phase that the cloud lists for a worker that has stopped by itself.
const PHASE_FAILED: &str = "failed";
/// The phase that the cloud lists for a booting worker.
const PHASE_STARTING: &str = "starting";

/// The leader's requests to the cloud and what it has learned from the responses.
#[derive(Debug)]
pub(super) struct Provisioning {
    /// The leader's fencing token. Part of the request ids, which makes them unique across leaders.
    token: u64,
    /// The number of the last scale-out request.
    last_request: u64,
    /// Scale-out requests without a response yet, by id.
    pending_requests: BTreeMap<String, ProvisioningRequest>,
    /// Workers that have not sent a heartbeat yet, by name.
    booting: BTreeMap<String, BootingWorker>,
    /// The moving average of boot times by instance type, as a multiple of the boot time that the
    /// cloud states.
    boot_time_factors: BTreeMap<u32, f64>,
    /// The health of each zone at the last update, by index of the zone.
    zone_health: Vec<ZoneHealth>,
    /// Pools that had no capacity or refused a request, and until when they are not requested from.
    avoided_until: BTreeMap<CapacityPool, Time>,
    next_list_at: Time,
    next_types_at: Time,
    /// Whether a scale-in request has no response yet. Only one is sent at a time.
    scale_in_pending: bool,
    /// Whether this leader has received the cloud's list of workers. Before that, there may be
    /// workers that it does not know.
    workers_listed: bool,
}

impl Provisioning {
    /// Creates the state of a new leader with this fencing token.
    pub(super) fn new(token: u64, now: Time) -> Self {
        Self {
            token,
            last_request: 0,
            pending_requests: BTreeMap::new(),
            booting: BTreeMap::new(),
            boot_time_factors: BTreeMap::new(),
            zone_health: Vec::new(),
            avoided_until: BTreeMap::new(),
            next_list_at: now,
            next_types_at: now,
            scale_in_pending: false,
            workers_listed: false,
        }
    }
}

impl Core {
    /// Runs once a second: reads the cloud's state when due, then scales out and in.
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
        self.release_lost_workers();
        self.scale_in();
    }

    /// Handles the cloud's list of workers.
    pub(super) fn handle_worker_list(&mut self, list: WorkerList) {
        self.provisioning.workers_listed = true;
        self.record_unlisted_workers(&list);
        for entry in list.workers {
            if self.workers.is_scaled_in(&entry.name) {
                continue;
            }
            let instance_type = self.types.intern(&entry.machine_type);
            let zone = self.zones.intern(&entry.zone);
            match entry.phase.as_str() {
                PHASE_FAILED => self.scale_in_failed_worker(&entry, instance_type, zone),
                PHASE_STARTING if !self.workers.contains(&entry.name) => {
                    let since = self.now - entry.age_s;
                    self.provisioning
                        .booting
                        .entry(entry.name)
                        .or_insert(BootingWorker {
                            instance_type,
                            zone,
                            since,
                            spot: entry.spot,
                        });
                }
                _ => {}
            }
        }
    }

    /// Marks a worker that has stopped by itself for scale-in. Only its return to the cloud proves
    /// that its tasks are gone.
    fn scale_in_failed_worker(&mut self, entry: &ListedWorker, instance_type: u32, zone: u32) {
        let worker_index = match self.workers.index_of(&entry.name) {
            Some(worker_index) => worker_index,
            None => self.add_worker(&entry.name, &entry.address, instance_type, zone, entry.spot),
        };
        self.provisioning.booting.remove(&entry.name);
        self.workers[worker_index].scaling_in = true;
    }
}
