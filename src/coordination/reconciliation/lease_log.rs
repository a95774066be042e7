//! What the log says of worker leases: which answers renewed them and with which stops, which were
//! withheld and why, and what reconciled a worker.
//!
//! Single events are debug lines, at most [`MAX_LINES_PER_S`] a second; what is left out is
//! counted. The sums are one info line every [`SUMMARY_INTERVAL_S`].

use crate::coordination::messages::HeartbeatRefusal;
use crate::coordination::model::{HeartbeatSequence, Time};

/// Debug lines in a second: a failover of thousands of workers must not be slowed by its log.
const MAX_LINES_PER_S: u32 = 100;
const SUMMARY_INTERVAL_S: Time = 30.0;

/// An answer to a heartbeat, which renews the lease of its worker.
pub(super) struct Renewal<'a> {
    pub(super) worker: &'a str,
    /// Of the heartbeat that is answered.
    pub(super) sequence: HeartbeatSequence,
    /// A newer message of the worker has come before.
    pub(super) overtaken: bool,
    /// A direct message to the worker has no outcome yet.
    pub(super) message_in_flight: bool,
    /// The stops in the answer.
    pub(super) stops: usize,
}

/// A message of a worker that was applied.
pub(super) struct AppliedHeartbeat<'a> {
    pub(super) worker: &'a str,
    pub(super) sequence: HeartbeatSequence,
    /// It answered a direct message.
    pub(super) direct: bool,
    /// The highest fencing token that the worker had seen.
    pub(super) token: u64,
    /// The tasks that it listed.
    pub(super) tasks: usize,
    /// How many of these run and belong to no job that this leader knows.
    pub(super) orphaned: usize,
}

/// The sums between two info lines.
#[derive(Debug, Default)]
struct Sums {
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
    sums: Sums,
    next_summary_at: Time,
    /// The second that `lines` counts.
    second: u64,
    lines: u32,
    left_out: u64,
}

impl LeaseLog {
    /// Whether another debug line may be written now.
    fn may_write(&mut self, now: Time) -> bool {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return false;
        }
        let second = now.max(0.0) as u64;
        if second != self.second {
            self.second = second;
            self.lines = 0;
        }
        self.lines += 1;
        let admitted = self.lines <= MAX_LINES_PER_S;
        self.left_out += u64::from(!admitted);
        admitted
    }

    /// An answer leaves. Only those with stops, and those to messages that were overtaken, have a
    /// line of their own.
    pub(super) fn record_renewal(&mut self, now: Time, renewal: &Renewal<'_>) {
        self.sums.renewed += 1;
        self.sums.renewed_with_stops += u32::from(renewal.stops > 0);
        self.sums.renewed_overtaken += u32::from(renewal.overtaken);
        let notable = renewal.stops > 0 || renewal.overtaken;
        if notable && self.may_write(now) {
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

    /// A heartbeat is not answered: another controller is to answer its worker.
    pub(super) fn record_redirect(&mut self) {
        self.sums.redirected += 1;
    }

    /// The answer to a heartbeat waits.
    pub(in crate::coordination) fn record_deferral(&mut self, now: Time, worker: &str) {
        self.sums.deferred += 1;
        if self.may_write(now) {
            tracing::debug!(worker, "answer deferred");
        }
    }

    /// A heartbeat gets no answer that renews a lease.
    pub(super) fn record_refusal(&mut self, now: Time, worker: &str, why: HeartbeatRefusal) {
        self.sums.refused += 1;
        if self.may_write(now) {
            tracing::debug!(worker, reason = %why, "heartbeat refused");
        }
    }

    /// A message has reconciled its worker: it had not reported this leader's token before.
    pub(super) fn record_reconciliation(&mut self, now: Time, applied: &AppliedHeartbeat<'_>) {
        self.write_applied(now, applied, "worker reconciled");
    }

    /// A worker lists running tasks that belong to no job that this leader knows.
    pub(super) fn record_orphans(&mut self, now: Time, applied: &AppliedHeartbeat<'_>) {
        self.sums.orphaned += 1;
        self.write_applied(now, applied, "orphaned tasks reported");
    }

    fn write_applied(&mut self, now: Time, applied: &AppliedHeartbeat<'_>, line: &str) {
        if self.may_write(now) {
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

    /// Stops leave in a direct message.
    pub(in crate::coordination) fn record_direct_stops(
        &mut self,
        now: Time,
        worker: &str,
        message_id: u64,
        via: Option<u32>,
        stops: usize,
    ) {
        if stops > 0 && self.may_write(now) {
            tracing::debug!(worker, message_id, ?via, stops, "stops sent");
        }
    }

    /// Another controller, or none but the leader, may answer a worker from now on.
    pub(in crate::coordination) fn record_assignment(
        &mut self,
        now: Time,
        worker: &str,
        owner: Option<u32>,
        reason: &str,
    ) {
        if self.may_write(now) {
            tracing::debug!(worker, ?owner, reason, "worker assigned");
        }
    }

    /// Logs the sums if they are due.
    pub(in crate::coordination) fn log_if_due(&mut self, now: Time, token: u64) {
        if self.next_summary_at == 0.0 {
            self.next_summary_at = now + SUMMARY_INTERVAL_S;
        }
        if now < self.next_summary_at {
            return;
        }
        self.next_summary_at = now + SUMMARY_INTERVAL_S;
        let Sums {
            renewed,
            renewed_with_stops,
            renewed_overtaken,
            redirected,
            deferred,
            refused,
            orphaned,
        } = std::mem::take(&mut self.sums);
        let left_out = std::mem::take(&mut self.left_out);
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
