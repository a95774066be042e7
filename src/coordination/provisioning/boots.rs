//! Workers that boot: how long that takes by type, and which are overdue.

use crate::coordination::model::*;
use crate::coordination::state::Core;

use super::scale_out::Room;

/// A boot is overdue after this multiple of what is usual: boot times are between half and one and
/// a half of it.
const OVERDUE_FACTOR: f64 = 1.6;
/// Added to every boot time, for the first heartbeat.
const OVERDUE_MARGIN_S: Time = 2.0;
/// A worker is returned after this multiple of the time at which its boot is overdue.
const RETURN_FACTOR: f64 = 2.5;
/// Weight of one boot in the estimate for its type: one worker says little about the next.
const BOOT_WEIGHT: f64 = 0.2;
/// The least and the most that one boot counts, as multiples of what the cloud says.
const MIN_BOOT_FACTOR: f64 = 0.05;
const MAX_BOOT_FACTOR: f64 = 3.0;
/// The least that the estimate counts when it is used.
const MIN_ESTIMATED_FACTOR: f64 = 0.5;
/// Taken for types that the cloud has not described.
const DEFAULT_BOOT_S: Time = 60.0;

/// A worker that the cloud has started and that has sent no heartbeat yet.
#[derive(Debug, Clone)]
pub(super) struct BootingWorker {
    /// Index of its instance type.
    pub(super) kind: u32,
    /// When its boot began.
    pub(super) since: Time,
    /// The cloud may reclaim it.
    pub(super) spot: bool,
}

impl Core {
    /// A worker has sent its first heartbeat: its boot time updates the estimate for its type.
    pub(crate) fn handle_worker_boot(&mut self, name: &str) {
        let Some(booting) = self.provisioning.booting.remove(name) else {
            return;
        };
        let Some(kind) = self.types.get(booting.kind) else {
            return;
        };
        let took_s = self.now - booting.since;
        let observed = (took_s / kind.boot_s.max(1.0)).clamp(MIN_BOOT_FACTOR, MAX_BOOT_FACTOR);
        let factors = &mut self.provisioning.boot_time_factors;
        let factor = factors.entry(booting.kind).or_insert(1.0);
        *factor += BOOT_WEIGHT * (observed - *factor);
        tracing::debug!(worker = name, took_s, factor = *factor, "boot time");
    }

    /// After how long a booting worker is overdue: then others are requested in its place.
    fn boot_overdue_after_s(&self, kind: u32) -> Time {
        let factors = &self.provisioning.boot_time_factors;
        let factor = factors.get(&kind).copied().unwrap_or(1.0);
        let boot_s = self.types.get(kind).map_or(DEFAULT_BOOT_S, |t| t.boot_s);
        boot_s * factor.clamp(MIN_ESTIMATED_FACTOR, MAX_BOOT_FACTOR) * OVERDUE_FACTOR
            + OVERDUE_MARGIN_S
    }

    /// What booting workers will be able to take. What is overdue is not counted: some workers
    /// never boot, and their work would wait minutes for them.
    pub(super) fn booting_room(&self) -> Vec<Room> {
        self.provisioning
            .booting
            .values()
            .filter(|worker| self.now - worker.since <= self.boot_overdue_after_s(worker.kind))
            .filter_map(|worker| {
                let kind = self.types.get(worker.kind)?;
                Some(Room {
                    kind: worker.kind,
                    spot: worker.spot,
                    free: kind.whole,
                })
            })
            .collect()
    }

    /// Workers that have not booted for so long that they are returned, by name.
    pub(super) fn unbooted_workers(&self) -> impl Iterator<Item = &String> {
        self.provisioning
            .booting
            .iter()
            .filter(|(_, worker)| {
                let return_after_s = RETURN_FACTOR * self.boot_overdue_after_s(worker.kind);
                self.now - worker.since > return_after_s
            })
            .map(|(name, _)| name)
    }
}
