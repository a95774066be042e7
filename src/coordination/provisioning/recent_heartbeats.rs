//! Whether other workers of a zone are reachable, from their last heartbeats.

use std::collections::BTreeMap;

use crate::coordination::model::Time;

/// This many other workers with a recent heartbeat are enough, or a quarter where there are fewer.
const ENOUGH_RESPONSIVE: u32 = 3;

/// The last heartbeats of all workers, as far as they show whether a zone is reachable.
#[derive(Debug, Default)]
pub(super) struct RecentHeartbeats {
    by_zone: BTreeMap<u32, WorkerGroup>,
    all: WorkerGroup,
}

/// Some workers, and the few of them with the latest heartbeats, the latest first.
#[derive(Debug, Default)]
struct WorkerGroup {
    workers: u32,
    latest: Vec<LastHeartbeat>,
}

#[derive(Debug)]
struct LastHeartbeat {
    at: Option<Time>,
    worker: u32,
}

/// What the other workers of a group show about their network.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OtherWorkers {
    /// There are none.
    Absent,
    /// Enough of them have sent a heartbeat.
    Responsive,
    /// Too few have.
    Unresponsive,
}

impl RecentHeartbeats {
    /// Adds the last heartbeat of a worker.
    pub(super) fn record(&mut self, worker: u32, zone: u32, at: Option<Time>) {
        self.by_zone.entry(zone).or_default().record(worker, at);
        self.all.record(worker, at);
    }

    /// Whether workers of a zone other than `worker` (`None`: it was not recorded) have sent
    /// heartbeats after `since`. The only worker of its zone is judged by all others.
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
        // One more than enough, as the worker in question may be among them.
        let limit = ENOUGH_RESPONSIVE as usize + 1;
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
        if responsive >= (others / 4).clamp(1, ENOUGH_RESPONSIVE) {
            OtherWorkers::Responsive
        } else {
            OtherWorkers::Unresponsive
        }
    }
}
