//! Health of the zones, judged by the heartbeats of their workers. No workers are requested in a
//! zone that is likely to be partitioned.
//!
//! A silent worker is evidence of a partition only while its lease may be valid. After that its
//! tasks are gone, so they wait for other workers, and the worker itself may be gone for good. If no
//! other worker of the zone is left, one is requested there to find out whether it is reachable.

use crate::coordination::state::Core;

/// Whether new workers in a zone can be expected to be reachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ZoneHealth {
    /// Most of its workers respond, or none is known.
    Responsive,
    /// Most of its workers are unresponsive, and their leases have not expired. New workers would
    /// be unresponsive too.
    Unresponsive,
    /// The leases of all its workers have expired. It is partitioned, or they are gone.
    Unknown,
}

/// The workers of a zone that have sent a heartbeat.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneCounts {
    responsive: u32,
    unresponsive: u32,
    /// Workers whose lease has expired since.
    expired: u32,
}

impl ZoneCounts {
    fn health(self) -> ZoneHealth {
        if self.unresponsive > self.responsive {
            ZoneHealth::Unresponsive
        } else if self.responsive == 0 && self.expired > 0 {
            ZoneHealth::Unknown
        } else {
            ZoneHealth::Responsive
        }
    }
}

impl Core {
    /// Updates the health of all zones, and logs changes.
    pub(super) fn update_zone_health(&mut self) {
        let counts = self.count_zone_workers();
        let known = &mut self.provisioning.zone_health;
        known.resize(counts.len(), ZoneHealth::Responsive);
        for (zone, counts) in (0u32..).zip(counts) {
            let health = counts.health();
            if std::mem::replace(&mut known[zone as usize], health) != health {
                tracing::info!(
                    zone = self.zones.name(zone),
                    ?health,
                    responsive = counts.responsive,
                    unresponsive = counts.unresponsive,
                    expired = counts.expired,
                    "zone health changed"
                );
            }
        }
    }

    /// The health of a zone at the last update.
    pub(super) fn zone_health(&self, zone: u32) -> ZoneHealth {
        let known = self.provisioning.zone_health.get(zone as usize);
        known.copied().unwrap_or(ZoneHealth::Responsive)
    }

    /// Counts the workers of each zone that have sent a heartbeat.
    fn count_zone_workers(&self) -> Vec<ZoneCounts> {
        let mut zones = vec![ZoneCounts::default(); self.zones.len()];
        for (worker_index, worker) in self.workers.iter() {
            if worker.last_heartbeat_at.is_none() {
                continue;
            }
            let counts = &mut zones[worker.zone as usize];
            if !worker.may_be_alive() {
                counts.expired += 1;
            } else if self.is_unresponsive(worker_index) {
                counts.unresponsive += 1;
            } else {
                counts.responsive += 1;
            }
        }
        zones
    }
}
