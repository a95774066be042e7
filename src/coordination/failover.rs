//! Statistics of a failover, from when the stored state was read until the workers are reconciled.
//! Each failover is logged in one line, for operators and experiments. `controller` logs the phases
//! before that.

use super::model::Time;

/// The statistics are logged after this time even if some workers have not answered.
const MAX_DURATION_S: Time = 30.0;
/// Starts within this time of the first start count as the first burst.
const START_BURST_S: Time = 2.0;

/// Counts what happens while a new leader reconciles its workers. Times are in seconds since the
/// election.
#[derive(Debug)]
pub(super) struct FailoverStats {
    /// Number of workers known to an earlier leader, without those that were fenced at the
    /// election.
    awaited: usize,
    half_reconciled_s: Option<Time>,
    /// When all but 1% of the awaited workers were reconciled.
    most_reconciled_s: Option<Time>,
    first_start_s: Option<Time>,
    starts: u32,
}

/// Progress of a failover, derived from the number of workers reconciled so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FailoverProgress {
    /// All but 1% of the workers have just been reconciled.
    pub(super) most_just_reconciled: bool,
    /// Nothing is left to count: the statistics are complete or their time is over.
    pub(super) ended: bool,
}

impl FailoverStats {
    /// Starts counting. Returns `None` if no earlier leader knew any worker that is to be awaited.
    pub(super) fn begin(awaited: usize) -> Option<Self> {
        (awaited > 0).then_some(Self {
            awaited,
            half_reconciled_s: None,
            most_reconciled_s: None,
            first_start_s: None,
            starts: 0,
        })
    }

    /// Counts the start of a task.
    pub(super) fn record_start(&mut self, after_s: Time) {
        let first_s = *self.first_start_s.get_or_insert(after_s);
        self.starts += u32::from(after_s <= first_s + START_BURST_S);
    }

    /// Records how many workers are reconciled. `count_reconciled` is called only until all but 1%
    /// are.
    pub(super) fn record_reconciled(
        &mut self,
        after_s: Time,
        count_reconciled: impl FnOnce() -> usize,
    ) -> FailoverProgress {
        let mut most_just_reconciled = false;
        if self.most_reconciled_s.is_none() {
            let reconciled = count_reconciled();
            if reconciled >= self.awaited.div_ceil(2) {
                self.half_reconciled_s.get_or_insert(after_s);
            }
            if reconciled >= self.awaited - self.awaited / 100 {
                self.most_reconciled_s = Some(after_s);
                most_just_reconciled = true;
            }
        }
        let burst_ended = self
            .first_start_s
            .is_some_and(|first_s| after_s > first_s + START_BURST_S);
        FailoverProgress {
            most_just_reconciled,
            ended: after_s > MAX_DURATION_S || (self.most_reconciled_s.is_some() && burst_ended),
        }
    }

    /// Logs the statistics.
    pub(super) fn log(&self, token: u64, unresponsive: usize) {
        tracing::info!(
            token,
            awaited = self.awaited,
            unresponsive,
            half_s = self.half_reconciled_s,
            most_s = self.most_reconciled_s,
            first_start_s = self.first_start_s,
            starts = self.starts,
            "failover complete"
        );
    }
}
