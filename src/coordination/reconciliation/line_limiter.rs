//! Limits the debug lines of a log to a number per second, and times the lines with its totals.

use crate::coordination::model::Time;

/// The interval between two lines with the totals of a log.
const SUMMARY_INTERVAL_S: Time = 30.0;
/// The maximum number of debug lines per second, so that logging does not slow the failover of
/// thousands of workers.
const MAX_LINES_PER_S: u32 = 100;

/// Counts the debug lines of a log, and those that were omitted.
#[derive(Debug, Default)]
pub(super) struct LineLimiter {
    /// The second in which `lines` were written.
    second: u64,
    lines: u32,
    omitted: u64,
    next_summary_at: Time,
}

impl LineLimiter {
    /// Whether another debug line may be written now. Counts the line as written or as omitted.
    pub(super) fn admit_line(&mut self, now: Time) -> bool {
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
        self.omitted += u64::from(!admitted);
        admitted
    }

    /// Whether the line with the totals is due, the first one an interval after the first call.
    pub(super) fn is_summary_due(&mut self, now: Time) -> bool {
        let is_first_call = self.next_summary_at == 0.0;
        let due = !is_first_call && now >= self.next_summary_at;
        if due || is_first_call {
            self.next_summary_at = now + SUMMARY_INTERVAL_S;
        }
        due
    }

    /// The number of lines that were omitted since the last call.
    pub(super) fn take_omitted(&mut self) -> u64 {
        std::mem::take(&mut self.omitted)
    }
}
