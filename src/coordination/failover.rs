//! What a failover cost after the stored state was read: one line of the log for each, for
//! operators and for experiments. `node.rs` logs what came before it.

use super::model::Time;
use super::state::Core;

/// Whoever has not answered by then is silent.
const LONG_S: Time = 30.0;
/// The burst: what is started so soon after the first start.
const BURST_S: Time = 2.0;

pub(super) struct FailoverStats {
    /// Workers that an earlier leader knew, less those on the record of silent ones.
    awaited: usize,
    /// Since the core began, in seconds: half of these have answered, and all but 1%.
    half_s: Option<Time>,
    most_s: Option<Time>,
    first_start_s: Option<Time>,
    starts: u32,
}

impl Core {
    pub(super) fn begin_failover_stats(&mut self) {
        let known = self.workers.iter().filter(|(_, m)| m.known_to_predecessor);
        let awaited = known.filter(|(_, m)| !m.fenced).count();
        // Nobody led before this leader, or there was nothing to lead.
        self.failover = (awaited > 0).then_some(FailoverStats {
            awaited,
            half_s: None,
            most_s: None,
            first_start_s: None,
            starts: 0,
        });
    }

    pub(super) fn note_start(&mut self) {
        let after_s = self.now - self.elected_at;
        let Some(failover) = &mut self.failover else {
            return;
        };
        let first_s = *failover.first_start_s.get_or_insert(after_s);
        failover.starts += u32::from(after_s <= first_s + BURST_S);
    }

    pub(super) fn record_failover_progress(&mut self) {
        let after_s = self.now - self.elected_at;
        let Some(mut failover) = self.failover.take() else {
            return;
        };
        if failover.most_s.is_none() {
            let known = self.workers.iter().filter(|(_, m)| m.known_to_predecessor);
            let heard = known.filter(|(_, m)| m.reconciled).count();
            if heard >= failover.awaited.div_ceil(2) {
                failover.half_s.get_or_insert(after_s);
            }
            if heard >= failover.awaited - failover.awaited / 100 {
                failover.most_s = Some(after_s);
                // What waited for these need not wait for the window's end as well.
                self.next_batch = self.now;
            }
        }
        let burst_is_over = failover
            .first_start_s
            .is_some_and(|s| after_s > s + BURST_S);
        if after_s <= LONG_S && !(failover.most_s.is_some() && burst_is_over) {
            self.failover = Some(failover);
            return;
        }
        tracing::info!(
            token = self.token,
            awaited = failover.awaited,
            silent = self.workers.iter().filter(|(_, m)| m.fenced).count(),
            half_s = failover.half_s,
            most_s = failover.most_s,
            first_start_s = failover.first_start_s,
            starts = failover.starts,
            "took over"
        );
    }
}
