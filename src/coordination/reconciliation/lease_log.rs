//! The log of worker leases: renewals and the stops sent with them, refused and deferred answers,
//! and the heartbeats that reconciled a worker.
//!
//! Single events are logged at debug level, with a limit per second; omitted lines are counted. The totals are logged at info level twice a minute.

use crate::coordination::messages::HeartbeatRefusal;
use crate::coordination::model::{HeartbeatSequence, Time};

use super::line_limiter::LineLimiter;

/// An answer to a heartbeat. It renews the lease of the worker.
pub(super) struct Renewal<'a> {
    pub(super) worker: &'a str,
    /// The sequence of the heartbeat that is answered.
    pub(super) sequence: HeartbeatSequence,
    /// Whether a newer message of the worker was received before the heartbeat.
    pub(super) overtaken: bool,
    /// Whether a direct message to the worker is in flight.
    pub(super) message_in_flight: bool,
    /// The number of stops in the answer.
    pub(super) stops: usize,
}

/// A heartbeat of a worker that was applied.
pub(super) struct AppliedHeartbeat<'a> {
    pub(super) worker: &'a str,
    pub(super) sequence: HeartbeatSequence,
    /// Whether it answered a direct message.
    pub(super) direct: bool,
    /// The highest fencing token that the worker had seen.
    pub(super) token: u64,
    /// The number of tasks that it listed.
    pub(super) tasks: usize,
    /// The number of running tasks whose jobs this leader does not know.
    pub(super) orphaned: usize,
}

/// Event counts since the last info line.
#[derive(Debug, Default)]
struct Totals {
    renewed: u32,
    renewed_with_stops: u32,
    renewed_overtaken: u32,
    redirected: u32,
    deferred: u32,
    refused: u32,
    orphaned: u32,
}

/// The log of worker leases.
#[derive(Debug, Default)]
pub(in crate::coordination) struct LeaseLog {
    totals: Totals,
    limiter: LineLimiter,
}

impl LeaseLog {
    /// Records an answer that renews a lease. Only answers with stops and answers to overtaken
    /// heartbeats are logged individually.
    pub(super) fn record_renewal(&mut self, now: Time, renewal: &Renewal<'_>) {
        self.totals.renewed += 1;
        self.totals.renewed_with_stops += u32::from(renewal.stops > 0);
        self.totals.renewed_overtaken += u32::from(renewal.overtaken);
        let logged = renewal.stops > 0 || renewal.overtaken;
        if logged && self.limiter.admit_line(now) {
            tracing::debug!(
                worker = renewal.worker,
                incarnation = renewal.sequence.incarnation,
                counter = renewal.sequence.counter,
                overtaken = renewal.overtaken,
                message_in_flight = renewal.message_in_flight,
                stops = renewal.stops,
                "lease renewed"
            );
        }
    }

    /// Records a heartbeat whose worker is redirected to another controller.
    pub(super) fn record_redirect(&mut self) {
        self.totals.redirected += 1;
    }

    /// Records a heartbeat whose answer is deferred.
    pub(in crate::coordination) fn record_deferral(&mut self, now: Time, worker: &str) {
        self.totals.deferred += 1;
        if self.limiter.admit_line(now) {
            tracing::debug!(worker, "answer deferred");
        }
    }

    /// Records a refused heartbeat.
    pub(super) fn record_refusal(&mut self, now: Time, worker: &str, reason: HeartbeatRefusal) {
        self.totals.refused += 1;
        if self.limiter.admit_line(now) {
            tracing::debug!(worker, reason = %reason, "heartbeat refused");
        }
    }

    /// Records a heartbeat that has reconciled its worker, the first with this leader's token.
    pub(super) fn record_reconciliation(&mut self, now: Time, applied: &AppliedHeartbeat<'_>) {
        self.log_applied(now, applied, "worker reconciled");
    }

    /// Records a heartbeat that lists running tasks of jobs that this leader does not know.
    pub(super) fn record_orphans(&mut self, now: Time, applied: &AppliedHeartbeat<'_>) {
        self.totals.orphaned += 1;
        self.log_applied(now, applied, "orphaned tasks reported");
    }

    fn log_applied(&mut self, now: Time, applied: &AppliedHeartbeat<'_>, line: &str) {
        if self.limiter.admit_line(now) {
            tracing::debug!(
                worker = applied.worker,
                incarnation = applied.sequence.incarnation,
                counter = applied.sequence.counter,
                direct = applied.direct,
                token = applied.token,
                tasks = applied.tasks,
                orphaned = applied.orphaned,
                "{line}"
            );
        }
    }

    /// Records the stops sent in a direct message.
    pub(in crate::coordination) fn record_direct_stops(
        &mut self,
        now: Time,
        worker: &str,
        message_id: u64,
        via: Option<u32>,
        stops: usize,
    ) {
        if stops > 0 && self.limiter.admit_line(now) {
            tracing::debug!(worker, message_id, ?via, stops, "stops sent");
        }
    }

    /// Records a change of the shard owner that may answer a worker; `None` for the leader alone.
    pub(in crate::coordination) fn record_assignment(
        &mut self,
        now: Time,
        worker: &str,
        owner: Option<u32>,
        reason: &str,
    ) {
        if self.limiter.admit_line(now) {
            tracing::debug!(worker, ?owner, reason, "worker assigned");
        }
    }

    /// Logs the totals if the interval has passed.
    pub(in crate::coordination) fn log_if_due(&mut self, now: Time, token: u64) {
        if !self.limiter.is_summary_due(now) {
            return;
        }
        let Totals {
            renewed,
            renewed_with_stops,
            renewed_overtaken,
            redirected,
            deferred,
            refused,
            orphaned,
        } = std::mem::take(&mut self.totals);
        let left_out = self.limiter.take_omitted();
        tracing::info!(
            token,
            renewed,
            renewed_with_stops,
            renewed_overtaken,
            redirected,
            deferred,
            refused,
            orphaned,
            left_out,
            "worker leases"
        );
    }
}
