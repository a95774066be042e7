//! What a failover cost after the stored state was read: one line of the log for each, for
//! operators and for experiments. `controller` logs what came before it.

use super::model::Time;

/// The line is logged after this long, whoever has not answered by then.
const LONGEST_S: Time = 30.0;
/// The first burst: what is started so soon after the first start.
const BURST_S: Time = 2.0;

/// Counts what happens while a new leader reconciles its workers. Times are in seconds since the
/// election.
#[derive(Debug)]
pub(super) struct FailoverStats {
    /// Workers that an earlier leader knew, less those that were fenced.
    awaited: usize,
    half_reconciled_s: Option<Time>,
    /// All but 1% of those awaited.
    most_reconciled_s: Option<Time>,
    first_start_s: Option<Time>,
    starts: u32,
}

/// What follows from the number of workers that are reconciled by now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FailoverProgress {
    /// All but 1% of the workers have just been reconciled.
    pub(super) most_just_reconciled: bool,
    /// There is nothing more to count.
    pub(super) ended: bool,
}

impl FailoverStats {
    /// Begins to count. `None`: nobody led before this leader, or there was nothing to lead.
    pub(super) fn begin(awaited: usize) -> Option<Self> {
        (awaited > 0).then_some(Self {
            awaited,
            half_reconciled_s: None,
            most_reconciled_s: None,
            first_start_s: None,
            starts: 0,
        })
    }

    /// A task is started.
    pub(super) fn record_start(&mut self, after_s: Time) {
        let first_s = *self.first_start_s.get_or_insert(after_s);
        self.starts += u32::from(after_s <= first_s + BURST_S);
    }

    /// Takes in how many workers are reconciled by now, which are counted only until most are.
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
            .is_some_and(|first_s| after_s > first_s + BURST_S);
        FailoverProgress {
            most_just_reconciled,
            ended: after_s > LONGEST_S || (self.most_reconciled_s.is_some() && burst_ended),
        }
    }

    /// Logs what was counted.
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
