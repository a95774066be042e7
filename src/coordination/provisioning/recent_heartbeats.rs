//! Reachability of zones, derived from the last heartbeats of their workers.

use std::collections::BTreeMap;

use crate::coordination::model::Time;

/// A group is responsive if this many of its workers, or a quarter of them if that is fewer, have
/// sent a recent heartbeat.
const MIN_RESPONSIVE_WORKERS: u32 = 3;

/// The latest heartbeats by zone and overall, from which the reachability of a zone is derived.
#[derive(Debug, Default)]
pub(super) struct RecentHeartbeats {
    by_zone: BTreeMap<u32, WorkerGroup>,
    all: WorkerGroup,
}

/// A group of workers, of which only the latest heartbeats are kept.
#[derive(Debug, Default)]
struct WorkerGroup {
    /// Number of workers in the group.
    workers: u32,
    /// The latest heartbeats, the most recent first.
    latest: Vec<LastHeartbeat>,
}

#[derive(Debug)]
struct LastHeartbeat {
    at: Option<Time>,
    worker: u32,
}

/// Whether the other workers of a group are reachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OtherWorkers {
    /// There are no other workers.
    Absent,
    /// Enough of them have sent a recent heartbeat.
    Responsive,
    /// Too few of them have sent a recent heartbeat.
    Unresponsive,
}

impl RecentHeartbeats {
    /// Adds a worker and the time of its last heartbeat.
    pub(super) fn record(&mut self, worker: u32, zone: u32, at: Option<Time>) {
        self.by_zone.entry(zone).or_default().record(worker, at);
        self.all.record(worker, at);
    }

    /// Returns whether enough workers of a zone other than `worker` have sent a heartbeat after
    /// `since`. If the zone has no other workers, the workers of all zones are considered. `worker`
    /// is `None` if it was not recorded.
    pub(super) fn others_responsive(
        &self,
        worker: Option<u32>,
        zone: u32,
        since: Option<Time>,
    ) -> bool {
        let in_zone = self
            .by_zone
            .get(&zone)
            .map_or(OtherWorkers::Absent, |group| group.others(worker, since));
        let others = match in_zone {
            OtherWorkers::Absent => self.all.others(worker, since),
            present => present,
        };
        others == OtherWorkers::Responsive
    }
}

impl WorkerGroup {
    fn record(&mut self, worker: u32, at: Option<Time>) {
        self.workers += 1;
        let position = self.latest.partition_point(|known| known.at >= at);
        // One more than required, because the worker that is asked about may be among them.
        let limit = MIN_RESPONSIVE_WORKERS as usize + 1;
        if position < limit {
            self.latest.insert(position, LastHeartbeat { at, worker });
            self.latest.truncate(limit);
        }
    }

    fn others(&self, worker: Option<u32>, since: Option<Time>) -> OtherWorkers {
        let others = self.workers - u32::from(worker.is_some());
        if others == 0 {
            return OtherWorkers::Absent;
        }
        let responsive = self
            .latest
            .iter()
            .filter(|last| Some(last.worker) != worker && last.at > since)
            .count() as u32;
        if responsive >= (others / 4).clamp(1, MIN_RESPONSIVE_WORKERS) {
            OtherWorkers::Responsive
        } else {
            OtherWorkers::Unresponsive
        }
    }
}
