//! Release of workers that this leader cannot reach.
//!
//! Returning a worker to the cloud proves at once that its tasks are gone, so they can start
//! elsewhere before the worker's lease has expired.
//!
//! Three kinds of workers are released: unresponsive workers with replicas, workers that a new
//! leader has not reconciled, and one-way partitioned workers, whose heartbeats arrive but which
//! receive no responses. The log lines are `unresponsive worker released`,
//! `unreconciled worker released` and `one-way partitioned worker released`.

use std::fmt;

use crate::coordination::model::*;
use crate::coordination::state::Core;

use super::recent_heartbeats::RecentHeartbeats;

/// Once the first unanswered probe is longer ago than this, a second probe has gone unanswered too.
const SECOND_PROBE_AFTER_S: Time = 1.6;
/// Time in which three probes can go unanswered: probes are sent a second apart and time out after
/// half a second.
const THIRD_PROBE_AFTER_S: Time = 3.4;
/// The longest time between two heartbeats as a multiple of their interval: each is sent up to a
/// quarter of the interval early or late.
const MAX_HEARTBEAT_INTERVAL_FACTOR: f64 = 1.25;
/// The longest time that a heartbeat takes to arrive.
const MAX_HEARTBEAT_DELAY_S: Time = 0.1;
/// Heartbeats that arrive at least this long after an election show that their zone can reach the
/// new leader.
const ELECTION_MARGIN_S: Time = 0.5;
/// More unresponsive workers than this per responsive one indicate a network fault.
const NETWORK_FAULT_RATIO: f64 = 0.4;
/// Unreconciled workers count as many if there are more than one in this many workers, plus one. In
/// that case a third probe is awaited before any of them is released.
const WORKERS_PER_EARLY_RELEASE: usize = 20;

/// Why a worker is released.
#[derive(Debug, Clone, Copy)]
pub(super) enum ReleaseReason {
    /// It is overdue and answers nothing, and it may run replicas.
    Unresponsive,
    /// It has not answered a new leader.
    Unreconciled,
    /// Its heartbeats arrive, and it receives no responses.
    OneWayPartitioned,
    /// The cloud no longer lists it.
    Unlisted,
    /// It is silent since its lease expired, and the fleet has its maximum size.
    Expired,
}

impl fmt::Display for ReleaseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unresponsive => "unresponsive",
            Self::Unreconciled => "unreconciled",
            Self::OneWayPartitioned => "one-way partitioned",
            Self::Unlisted => "unlisted",
            Self::Expired => "expired",
        })
    }
}

/// A worker whose heartbeat is late.
struct LateWorker {
    index: u32,
    last_heartbeat_at: Time,
}

/// Which workers' heartbeats are late at one point in time.
struct HeartbeatSurvey {
    late: Vec<LateWorker>,
    /// Number of workers whose heartbeats are not late.
    on_time: usize,
}

impl Core {
    /// Releases unresponsive workers that may run replicas, and probes those that may be
    /// unresponsive.
    pub(crate) fn release_unresponsive_workers(&mut self) {
        let survey = self.survey_heartbeats();
        let network_fault = self.is_network_fault(&survey);
        let mut recent = None;
        let mut probes_remaining = None;
        let mut released = Vec::new();
        for late in survey.late {
            let worker_index = late.index;
            if !self.may_run_replicas(worker_index) {
                continue;
            }
            let release = !network_fault && self.is_confirmed_unresponsive(&late) && {
                let recent = recent.get_or_insert_with(|| self.recent_heartbeats());
                self.zone_is_reachable(
                    recent,
                    worker_index,
                    self.workers[worker_index].unanswered_at,
                )
            };
            if release {
                released.push(worker_index);
                self.workers[worker_index].scaling_in = true;
                self.send_scale_in();
            } else if self.may_probe(worker_index) {
                let remaining = probes_remaining.get_or_insert_with(|| self.remaining_probes());
                if *remaining > 0 {
                    *remaining -= 1;
                    self.send_probe(worker_index);
                }
            }
        }
        self.log_released(ReleaseReason::Unresponsive, &released);
    }

    /// Returns whether so many workers are overdue at once that a network fault is more likely than
    /// worker failures. The fault may be in this controller's own connection.
    fn is_network_fault(&self, survey: &HeartbeatSurvey) -> bool {
        let overdue = survey.late.iter().filter(|late| self.is_overdue(late));
        let overdue = overdue.count();
        let responsive = survey.on_time + survey.late.len() - overdue;
        exceeds_network_fault_ratio(overdue, responsive)
    }

    /// Returns whether the heartbeat of a late worker is later than that of a healthy worker can
    /// be.
    fn is_overdue(&self, late: &LateWorker) -> bool {
        self.now - late.last_heartbeat_at > self.max_heartbeat_interval_s()
    }

    /// Returns whether a late worker is overdue and has not answered a probe since it became late,
    /// whichever controller sent the probe.
    fn is_confirmed_unresponsive(&self, late: &LateWorker) -> bool {
        let late_since = late.last_heartbeat_at + self.late_after_s();
        let unanswered_at = self.workers[late.index].unanswered_at;
        self.is_overdue(late)
            && unanswered_at.is_some_and(|t| t >= late_since)
            && self.is_unreachable_by_all(late.index)
    }

    /// Returns whether a probe may be sent to a worker now.
    fn may_probe(&self, worker_index: u32) -> bool {
        let worker = &self.workers[worker_index];
        worker.in_flight.is_none() && worker.next_message_at <= self.now
    }

    /// Returns which workers are late. A heartbeat comes up to a quarter of its interval early or
    /// late. A worker counts as late, and is probed, soon after one interval. By the time it is
    /// overdue, the probe has shown whether it is unresponsive.
    fn survey_heartbeats(&self) -> HeartbeatSurvey {
        let late_after_s = self.late_after_s();
        let mut late = Vec::new();
        let mut on_time = 0;
        for (index, worker) in self.workers.iter() {
            let Some(last_heartbeat_at) = worker.last_heartbeat_at else {
                continue;
            };
            if worker.scaling_in || !worker.may_be_alive() {
                continue;
            }
            if self.now - last_heartbeat_at < late_after_s {
                on_time += 1;
            } else {
                late.push(LateWorker {
                    index,
                    last_heartbeat_at,
                });
            }
        }
        HeartbeatSurvey { late, on_time }
    }

    /// Returns whether a worker may run a replica of a service.
    fn may_run_replicas(&self, worker_index: u32) -> bool {
        self.workers[worker_index]
            .instances
            .iter()
            .any(|(id, instance)| instance.may_exist() && self.jobs[id.job].is_service())
    }

    /// Releases workers that have not answered a new leader although other workers of their zones
    /// have. Most are reclaimed spot workers, and the jobs that they block can start seconds
    /// earlier. If there are many, a third probe is awaited first, and none is released if a
    /// network fault is likely. Unreconciled workers block all jobs that are older than the
    /// election.
    pub(crate) fn release_unreconciled_workers(&mut self, unreconciled: &[u32]) {
        self.release_one_way_partitioned_workers(unreconciled);
        let all = self.workers.iter().count();
        let many = unreconciled.len() > 1 + all / WORKERS_PER_EARLY_RELEASE;
        let early = self.now - self.expecting_heartbeats_since < THIRD_PROBE_AFTER_S;
        if many
            && (early || exceeds_network_fault_ratio(unreconciled.len(), all - unreconciled.len()))
        {
            return;
        }
        let since = Some(self.elected_at + ELECTION_MARGIN_S);
        let recent = self.recent_heartbeats();
        let mut released = Vec::new();
        for &worker_index in unreconciled {
            let worker = &self.workers[worker_index];
            // Probes are sent once a second, so two have gone unanswered by then.
            let probed_twice = worker
                .unanswered_at
                .is_some_and(|t| self.now - t > SECOND_PROBE_AFTER_S)
                && self.is_unreachable_by_all(worker_index);
            if probed_twice
                && !worker.scaling_in
                && self.zone_is_reachable(&recent, worker_index, since)
            {
                released.push(worker_index);
            }
        }
        self.release(ReleaseReason::Unreconciled, &released);
        self.send_scale_in();
    }

    /// Releases workers that send heartbeats but receive no responses.
    ///
    /// Their heartbeats arrive after the lease granted by any earlier leader must have expired, and
    /// they still do not know this leader. Their tasks are gone and nothing can be started on them.
    /// Only their return proves that no command of an earlier leader can still reach them. Without
    /// it, they would block all jobs older than the election until the partition ends.
    fn release_one_way_partitioned_workers(&mut self, unreconciled: &[u32]) {
        let ttl_s = self.config.tuning.leader_ttl_s();
        let expired_at = self.elected_at + ttl_s + self.lease_upper_bound_s();
        let max_interval_s = self.max_heartbeat_interval_s();
        let mut released = Vec::new();
        for &worker_index in unreconciled {
            let worker = &self.workers[worker_index];
            let sends_heartbeats = worker
                .last_heartbeat_at
                .is_some_and(|t| t - expired_at > max_interval_s);
            if sends_heartbeats && !worker.scaling_in {
                released.push(worker_index);
            }
        }
        self.release(ReleaseReason::OneWayPartitioned, &released);
    }

    /// Returns the longest time between two heartbeats of a healthy worker.
    fn max_heartbeat_interval_s(&self) -> Time {
        self.config.cluster.workers.heartbeat_interval_s * MAX_HEARTBEAT_INTERVAL_FACTOR
            + MAX_HEARTBEAT_DELAY_S
    }

    /// Returns whether other workers of the same zone have sent heartbeats after `since`.
    ///
    /// If they have not, the network is partitioned: the worker's replicas keep running until its
    /// lease expires, and returning the worker would only end them sooner. Without this check, a
    /// leader that is itself partitioned would return healthy workers one by one as they become
    /// late.
    fn zone_is_reachable(
        &self,
        recent: &RecentHeartbeats,
        worker_index: u32,
        since: Option<Time>,
    ) -> bool {
        let worker = &self.workers[worker_index];
        let recorded = worker.may_be_alive().then_some(worker_index);
        recent.others_responsive(recorded, worker.zone, since)
    }

    /// Collects the last heartbeats of all workers that may be alive, once for all late workers.
    /// With thousands of workers, collecting them for each late worker took longer than the
    /// placement batches.
    fn recent_heartbeats(&self) -> RecentHeartbeats {
        let mut recent = RecentHeartbeats::default();
        for (worker_index, worker) in self.workers.iter() {
            if worker.may_be_alive() {
                recent.record(worker_index, worker.zone, worker.last_heartbeat_at);
            }
        }
        recent
    }

    /// Logs the workers released in one step. A single worker is logged by name; several are logged
    /// as a count, and by name at debug level.
    pub(super) fn log_released(&self, reason: ReleaseReason, released: &[u32]) {
        if let [worker_index] = released {
            let worker = &self.workers[*worker_index].name;
            tracing::warn!(worker, "{reason} worker released");
            return;
        }
        for &worker_index in released {
            let worker = &self.workers[worker_index].name;
            tracing::debug!(worker, "{reason} worker released");
        }
        if !released.is_empty() {
            tracing::info!(workers = released.len(), "{reason} workers released");
        }
    }
}

/// Returns whether so many workers are unresponsive that the network, not the workers, is likely at
/// fault.
fn exceeds_network_fault_ratio(unresponsive: usize, responsive: usize) -> bool {
    unresponsive as f64 > NETWORK_FAULT_RATIO * responsive as f64
}
