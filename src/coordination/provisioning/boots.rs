//! Booting workers: estimates of the boot time by instance type, and detection of overdue boots.

use crate::coordination::model::*;
use crate::coordination::state::Core;

use super::scale_out::AvailableWorker;

/// A boot is overdue after this multiple of the expected boot time. Actual boot times lie between
/// 0.5 and 1.5 times the expected one.
const OVERDUE_FACTOR: f64 = 1.6;
/// Added to every boot time to allow for the first heartbeat.
const OVERDUE_MARGIN_S: Time = 2.0;
/// A worker is returned to the cloud after this multiple of the time after which its boot is
/// overdue.
const RETURN_FACTOR: f64 = 2.5;
/// Weight of one boot in the moving average for its instance type. The weight is low because boot
/// times vary between workers.
const BOOT_WEIGHT: f64 = 0.2;
/// Bounds of one observed boot time, as multiples of the boot time that the cloud states.
const MIN_BOOT_FACTOR: f64 = 0.05;
const MAX_BOOT_FACTOR: f64 = 3.0;
/// Lower bound of the estimate when it is used, as a multiple of the boot time that the cloud
/// states.
const MIN_ESTIMATED_FACTOR: f64 = 0.5;
/// The boot time assumed for instance types that the cloud has not described.
const DEFAULT_BOOT_S: Time = 60.0;

/// A worker that the cloud has started but that has not sent a heartbeat yet.
#[derive(Debug, Clone)]
pub(super) struct BootingWorker {
    /// Index of the instance type.
    pub(super) instance_type: u32,
    /// Index of the zone.
    pub(super) zone: u32,
    /// When the boot began.
    pub(super) since: Time,
    /// Whether it is a spot worker, which the cloud may reclaim.
    pub(super) spot: bool,
}

impl Core {
    /// Handles the first heartbeat of a worker: its boot time updates the estimate for its type.
    pub(crate) fn handle_worker_boot(&mut self, name: &str) {
        let Some(booting) = self.provisioning.booting.remove(name) else {
            return;
        };
        let Some(instance_type) = self.types.get(booting.instance_type) else {
            return;
        };
        let took_s = self.now - booting.since;
        let observed =
            (took_s / instance_type.boot_s.max(1.0)).clamp(MIN_BOOT_FACTOR, MAX_BOOT_FACTOR);
        let factors = &mut self.provisioning.boot_time_factors;
        let factor = factors.entry(booting.instance_type).or_insert(1.0);
        *factor += BOOT_WEIGHT * (observed - *factor);
        tracing::debug!(worker = name, took_s, factor = *factor, "boot time");
    }

    /// Returns after how many seconds a boot is overdue. Overdue workers are replaced by new
    /// requests.
    fn boot_overdue_after_s(&self, instance_type: u32) -> Time {
        let factors = &self.provisioning.boot_time_factors;
        let factor = factors.get(&instance_type).copied().unwrap_or(1.0);
        let boot_s = self
            .types
            .get(instance_type)
            .map_or(DEFAULT_BOOT_S, |described| described.boot_s);
        boot_s * factor.clamp(MIN_ESTIMATED_FACTOR, MAX_BOOT_FACTOR) * OVERDUE_FACTOR
            + OVERDUE_MARGIN_S
    }

    /// Returns the booting workers on which tasks can be planned. Overdue workers are left out:
    /// some never boot, and tasks planned on them would wait for minutes.
    pub(super) fn available_booting_workers(&self) -> Vec<AvailableWorker> {
        self.provisioning
            .booting
            .values()
            .filter(|worker| {
                self.now - worker.since <= self.boot_overdue_after_s(worker.instance_type)
            })
            .filter_map(|worker| {
                let instance_type = self.types.get(worker.instance_type)?;
                Some(AvailableWorker {
                    instance_type: worker.instance_type,
                    zone: worker.zone,
                    spot: worker.spot,
                    free: instance_type.capacity,
                })
            })
            .collect()
    }

    /// Returns the names of workers that have taken so long to boot that they are returned to the
    /// cloud.
    pub(super) fn unbooted_workers(&self) -> impl Iterator<Item = &String> {
        self.provisioning
            .booting
            .iter()
            .filter(|(_, worker)| {
                let return_after_s =
                    RETURN_FACTOR * self.boot_overdue_after_s(worker.instance_type);
                self.now - worker.since > return_after_s
            })
            .map(|(name, _)| name)
    }
}
