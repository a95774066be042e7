//! What a failover cost after the stored state was read: one line of the log for each, for
//! operators and for experiments. `node.rs` logs what came before it.

use super::model::Time;
use super::state::Core;

/// Whoever has not answered by then is silent.
const LONG_S: Time = 30.0;
/// The burst: what is started so soon after the first start.
const BURST_S: Time = 2.0;

pub(super) struct Takeover {
    /// Machines that an earlier leader knew, less those on the record of silent ones.
    awaited: usize,
    /// Since the core began, in seconds: half of these have answered, and all but 1%.
    half_s: Option<Time>,
    most_s: Option<Time>,
    first_start_s: Option<Time>,
    starts: u32,
}

impl Core {
    pub(super) fn begin_takeover(&mut self) {
        let known = self.machines.iter().filter(|(_, m)| m.was_recorded);
        let awaited = known.filter(|(_, m)| !m.on_record).count();
        // Nobody led before this leader, or there was nothing to lead.
        self.takeover = (awaited > 0).then_some(Takeover {
            awaited,
            half_s: None,
            most_s: None,
            first_start_s: None,
            starts: 0,
        });
    }

    pub(super) fn note_start(&mut self) {
        let after_s = self.now - self.elected_at;
        let Some(takeover) = &mut self.takeover else {
            return;
        };
        let first_s = *takeover.first_start_s.get_or_insert(after_s);
        takeover.starts += u32::from(after_s <= first_s + BURST_S);
    }

    pub(super) fn watch_takeover(&mut self) {
        let after_s = self.now - self.elected_at;
        let Some(mut takeover) = self.takeover.take() else {
            return;
        };
        if takeover.most_s.is_none() {
            let known = self.machines.iter().filter(|(_, m)| m.was_recorded);
            let heard = known.filter(|(_, m)| m.synced).count();
            if heard >= takeover.awaited.div_ceil(2) {
                takeover.half_s.get_or_insert(after_s);
            }
            if heard >= takeover.awaited - takeover.awaited / 100 {
                takeover.most_s = Some(after_s);
                // What waited for these need not wait for the window's end as well.
                self.next_batch = self.now;
            }
        }
        let burst_is_over = takeover
            .first_start_s
            .is_some_and(|s| after_s > s + BURST_S);
        if after_s <= LONG_S && !(takeover.most_s.is_some() && burst_is_over) {
            self.takeover = Some(takeover);
            return;
        }
        tracing::info!(
            token = self.token,
            awaited = takeover.awaited,
            silent = self.machines.iter().filter(|(_, m)| m.on_record).count(),
            half_s = takeover.half_s,
            most_s = takeover.most_s,
            first_start_s = takeover.first_start_s,
            starts = takeover.starts,
            "took over"
        );
    }
}
