//! Release of workers that this leader cannot reach. Returning a worker to the cloud proves at once
//! that its tasks are gone, so that they can start elsewhere before its lease has expired.
//!
//! Three kinds are released: unresponsive workers with replicas, workers that a new leader has not
//! reconciled, and one-way partitioned workers, whose heartbeats arrive but that get no answer. Log
//! lines: `unresponsive worker released`, `unreconciled worker released` and
//! `one-way partitioned worker released`.

use std::fmt;

use crate::coordination::model::*;
use crate::coordination::state::Core;

use super::recent_heartbeats::RecentHeartbeats;

/// From the first probe that was not answered until a second one was not.
const SECOND_PROBE_S: Time = 1.6;
/// By then three probes have gone unanswered, each half a second and a second apart.
const THIRD_PROBE_S: Time = 3.4;
/// Heartbeats come a quarter of their interval early or late.
const HEARTBEAT_JITTER: f64 = 1.25;
/// How long a heartbeat takes at most to arrive.
const HEARTBEAT_DELAY_S: Time = 0.1;
/// Heartbeats that arrive this long after an election show that their zone reaches the new leader.
const ELECTION_MARGIN_S: Time = 0.5;
/// More unresponsive workers for each responsive one mean a fault of the network.
const NETWORK_FAULT_RATIO: f64 = 0.4;
/// One in so many workers may be unreconciled before a third probe is waited for.
const FEW_UNRECONCILED: usize = 20;

/// Why a worker is released.
#[derive(Debug, Clone, Copy)]
enum ReleaseReason {
    Unresponsive,
    Unreconciled,
    OneWayPartitioned,
}

impl fmt::Display for ReleaseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unresponsive => "unresponsive",
            Self::Unreconciled => "unreconciled",
            Self::OneWayPartitioned => "one-way partitioned",
        })
    }
}

/// A worker whose heartbeat is late.
struct LateWorker {
    index: u32,
    last_heartbeat_at: Time,
}

/// How the heartbeats of the workers arrive at one time.
struct HeartbeatSurvey {
    late: Vec<LateWorker>,
    /// How many workers are not late.
    on_time: usize,
}

impl Core {
    /// Releases unresponsive workers with replicas, and probes those that may be unresponsive.
    pub(crate) fn release_unresponsive_workers(&mut self) {
        let survey = self.survey_heartbeats();
        let network_fault = self.is_network_fault(&survey);
        let mut recent = None;
        let mut probes_left = None;
        let mut released = Vec::new();
        for late in survey.late {
            let m = late.index;
            if !self.may_run_replicas(m) {
                continue;
            }
            let release = !network_fault && self.is_confirmed_unresponsive(&late) && {
                let recent = recent.get_or_insert_with(|| self.recent_heartbeats());
                self.zone_is_reachable(recent, m, self.workers[m].unanswered_at)
            };
            if release {
                released.push(m);
                self.workers[m].scaling_in = true;
                self.send_scale_in();
            } else if self.may_probe(m) {
                let left = probes_left.get_or_insert_with(|| self.remaining_probes());
                if *left > 0 {
                    *left -= 1;
                    self.send_probe(m);
                }
            }
        }
        self.log_released(ReleaseReason::Unresponsive, &released);
    }

    /// When many workers are overdue at once the network is at fault, perhaps this controller's own
    /// part of it; the workers may all be well.
    fn is_network_fault(&self, survey: &HeartbeatSurvey) -> bool {
        let overdue = survey.late.iter().filter(|late| self.is_overdue(late));
        let overdue = overdue.count();
        let responsive = survey.on_time + survey.late.len() - overdue;
        suggest_network_fault(overdue, responsive)
    }

    /// Whether the heartbeat of a late worker is later than that of any worker that is well.
    fn is_overdue(&self, late: &LateWorker) -> bool {
        self.now - late.last_heartbeat_at > self.max_heartbeat_interval_s()
    }

    /// Whether a late worker is overdue and has failed to answer a probe since it was late, by
    /// whichever controller.
    fn is_confirmed_unresponsive(&self, late: &LateWorker) -> bool {
        let late_since = late.last_heartbeat_at + self.late_after_s();
        let unanswered_at = self.workers[late.index].unanswered_at;
        self.is_overdue(late)
            && unanswered_at.is_some_and(|t| t >= late_since)
            && self.is_unreachable_by_all(late.index)
    }

    /// Whether a direct message may be sent to a worker now.
    fn may_probe(&self, m: u32) -> bool {
        let worker = &self.workers[m];
        worker.in_flight.is_none() && worker.next_message_at <= self.now
    }

    /// Which workers are late. Heartbeats come a quarter of their interval early or late: a worker
    /// that is not early counts as late and is probed, so that one that is overdue is known to be
    /// unresponsive at once.
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

    /// Whether a worker may run a replica of a service.
    fn may_run_replicas(&self, m: u32) -> bool {
        self.workers[m]
            .instances
            .iter()
            .any(|(id, instance)| instance.may_exist() && self.jobs[id.job].is_service())
    }

    /// Releases the workers that have not answered a new leader while their zones have, if they are
    /// few: most are reclaimed spot workers. What they block starts seconds earlier for it. If they
    /// are many, a third probe is waited for: they block all that is older than the election.
    pub(crate) fn release_unreconciled_workers(&mut self, unreconciled: &[u32]) {
        self.release_one_way_partitioned_workers(unreconciled);
        let all = self.workers.iter().count();
        let many = unreconciled.len() > 1 + all / FEW_UNRECONCILED;
        let early = self.now - self.expecting_heartbeats_since < THIRD_PROBE_S;
        if many && (early || suggest_network_fault(unreconciled.len(), all - unreconciled.len())) {
            return;
        }
        let since = Some(self.elected_at + ELECTION_MARGIN_S);
        let recent = self.recent_heartbeats();
        let mut released = Vec::new();
        for &m in unreconciled {
            let worker = &self.workers[m];
            // Probed once a second: by then two probes have gone unanswered.
            let probed_twice = worker
                .unanswered_at
                .is_some_and(|t| self.now - t > SECOND_PROBE_S)
                && self.is_unreachable_by_all(m);
            if probed_twice && !worker.scaling_in && self.zone_is_reachable(&recent, m, since) {
                released.push(m);
                self.workers[m].scaling_in = true;
            }
        }
        self.log_released(ReleaseReason::Unreconciled, &released);
        self.send_scale_in();
    }

    /// Releases the workers whose heartbeats arrive although the incarnation that an earlier leader
    /// knew must have ended for want of answers, and that still have not learned of this leader.
    /// They receive nothing: their tasks are gone, and nothing can be started there. Only their
    /// return proves that no command of an earlier leader can reach them any more; otherwise they
    /// would block everything older than the election for as long as the partition lasts.
    fn release_one_way_partitioned_workers(&mut self, unreconciled: &[u32]) {
        let ttl_s = self.config.tuning.leader_ttl_ms as f64 / 1000.0;
        let expired_at = self.elected_at + ttl_s + self.lease_upper_bound_s();
        let max_interval_s = self.max_heartbeat_interval_s();
        let mut released = Vec::new();
        for &m in unreconciled {
            let worker = &mut self.workers[m];
            let sends_heartbeats = worker
                .last_heartbeat_at
                .is_some_and(|t| t - expired_at > max_interval_s);
            if sends_heartbeats && !worker.scaling_in {
                worker.scaling_in = true;
                released.push(m);
            }
        }
        self.log_released(ReleaseReason::OneWayPartitioned, &released);
    }

    /// The longest time between two heartbeats of a worker that is well.
    fn max_heartbeat_interval_s(&self) -> Time {
        self.config.cluster.workers.heartbeat_interval_s * HEARTBEAT_JITTER + HEARTBEAT_DELAY_S
    }

    /// Whether other workers of the same zone have sent heartbeats since. Where none has, the
    /// network is partitioned: the worker's replicas serve on until their lease expires, and
    /// returning it would only end them sooner. Without this check, a leader that is partitioned
    /// itself returns good workers one by one as each becomes late.
    fn zone_is_reachable(&self, recent: &RecentHeartbeats, m: u32, since: Option<Time>) -> bool {
        let worker = &self.workers[m];
        let itself = worker.may_be_alive().then_some(m);
        recent.others_responsive(itself, worker.zone, since)
    }

    /// The last heartbeats of all workers that may be alive, counted once for all late workers: on
    /// a site of thousands of workers, counting for each took longer than the batches.
    fn recent_heartbeats(&self) -> RecentHeartbeats {
        let mut recent = RecentHeartbeats::default();
        for (m, worker) in self.workers.iter() {
            if worker.may_be_alive() {
                recent.record(m, worker.zone, worker.last_heartbeat_at);
            }
        }
        recent
    }

    /// Whether most workers of a zone are unresponsive: new ones there would be too.
    pub(super) fn zone_is_unresponsive(&self, zone: u32) -> bool {
        let (mut unresponsive, mut all) = (0, 0);
        for (m, worker) in self.workers.iter() {
            if worker.zone == zone && worker.last_heartbeat_at.is_some() {
                all += 1;
                unresponsive += u32::from(self.is_unresponsive(m));
            }
        }
        all > 0 && unresponsive * 2 > all
    }

    /// Logs the workers that one step has released: one by name, several by their number and by
    /// name at debug level.
    fn log_released(&self, reason: ReleaseReason, released: &[u32]) {
        if let [m] = released {
            let worker = &self.workers[*m].name;
            tracing::warn!(worker, "{reason} worker released");
            return;
        }
        for &m in released {
            let worker = &self.workers[m].name;
            tracing::debug!(worker, "{reason} worker released");
        }
        if !released.is_empty() {
            tracing::info!(workers = released.len(), "{reason} workers released");
        }
    }
}

/// Whether so many workers are unresponsive that the network rather than they must be at fault.
fn suggest_network_fault(unresponsive: usize, responsive: usize) -> bool {
    unresponsive as f64 > NETWORK_FAULT_RATIO * responsive as f64
}
