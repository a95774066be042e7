//! Decides when a status is sent to the leader, how much it contains, and what is sent again after
//! a loss.

use copperfield_protocol::MAX_PEER_BODY_BYTES;
use copperfield_protocol::peer::CommandOutcome;
use copperfield_protocol::worker::Heartbeat;

/// A status is sent to the leader at this interval even without new content.
const STATUS_INTERVAL_MS: u64 = 250;
/// Time after a status during which new content is collected before the next one is sent. Each
/// status costs the leader as much as a heartbeat.
const BATCH_DELAY_MS: u64 = 30;
/// The next status is held back until the last one is answered, or for at most this time.
const ANSWER_TIMEOUT_MS: u64 = 300;
/// Maximum number of statuses in flight. The oldest status beyond that counts as lost.
pub(crate) const MAX_IN_FLIGHT: usize = 4;
/// Maximum estimated size of a status, well below the limit for a body between controllers.
const MAX_STATUS_BYTES: usize = MAX_PEER_BODY_BYTES as usize / 2;
const BYTES_PER_HEARTBEAT: usize = 128;
const BYTES_PER_TASK: usize = 24;
const BYTES_PER_OUTCOME: usize = 16;

/// The leader's number for a relayed message, and its outcome.
type MessageOutcome = (u64, CommandOutcome);

/// The space that is left in a status. Sizes are estimates.
pub(crate) struct StatusBudget {
    bytes_left: usize,
    is_exceeded: bool,
}

impl StatusBudget {
    pub(crate) fn new() -> Self {
        Self {
            bytes_left: MAX_STATUS_BYTES,
            is_exceeded: false,
        }
    }

    /// Whether something has not fit.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.is_exceeded
    }

    fn reserve(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.bytes_left;
        self.bytes_left = self.bytes_left.saturating_sub(bytes);
        self.is_exceeded |= !fits;
        fits
    }

    pub(crate) fn reserve_heartbeat(&mut self, heartbeat: &Heartbeat) -> bool {
        self.reserve(heartbeat_bytes(heartbeat))
    }

    fn reserve_outcome(&mut self, outcome: &CommandOutcome) -> bool {
        self.reserve(match outcome {
            CommandOutcome::Executed(heartbeat) | CommandOutcome::Rejected(Some(heartbeat)) => {
                heartbeat_bytes(heartbeat)
            }
            _ => BYTES_PER_OUTCOME,
        })
    }
}

fn heartbeat_bytes(heartbeat: &Heartbeat) -> usize {
    BYTES_PER_HEARTBEAT + heartbeat.worker.len() + BYTES_PER_TASK * heartbeat.tasks.len()
}

/// A status that has not been answered yet.
struct InFlightStatus {
    number: u64,
    sent_at: u64,
    outcomes: Vec<MessageOutcome>,
}

/// The statuses in flight, the outcomes to send, and when the next status is due.
#[derive(Default)]
pub(crate) struct StatusQueue {
    /// Outcomes of relayed messages that no status in flight carries.
    outcomes: Vec<MessageOutcome>,
    in_flight: Vec<InFlightStatus>,
    last_sent_at: u64,
    /// Whether the next status is sent after `BATCH_DELAY_MS` instead of `STATUS_INTERVAL_MS`.
    is_expedited: bool,
    /// Whether the last status had no room for everything.
    has_more: bool,
}

impl StatusQueue {
    /// Lets the next status be sent early, because it has new content.
    pub(crate) fn expedite(&mut self) {
        self.is_expedited = true;
    }

    pub(crate) fn push_outcome(&mut self, message_id: u64, outcome: CommandOutcome) {
        self.outcomes.push((message_id, outcome));
        self.is_expedited = true;
    }

    /// Drops the outcomes and statuses that were meant for an earlier leader.
    pub(crate) fn reset(&mut self) {
        self.outcomes.clear();
        self.in_flight.clear();
        self.is_expedited = true;
    }

    pub(crate) fn is_due(&self, now: u64) -> bool {
        let awaits_answer = |s: &InFlightStatus| now - s.sent_at < ANSWER_TIMEOUT_MS;
        if self.in_flight.iter().any(awaits_answer) {
            return false;
        }
        let interval_ms = if self.has_more {
            0
        } else if self.is_expedited {
            BATCH_DELAY_MS
        } else {
            STATUS_INTERVAL_MS
        };
        now - self.last_sent_at >= interval_ms
    }

    /// Takes the outcomes for the next status, as many as fit.
    pub(crate) fn take_outcomes(&mut self, budget: &mut StatusBudget) -> Vec<MessageOutcome> {
        let mut outcomes = self.outcomes.iter();
        let first_excluded = outcomes.position(|(_, outcome)| !budget.reserve_outcome(outcome));
        let remaining = self
            .outcomes
            .split_off(first_excluded.unwrap_or(self.outcomes.len()));
        std::mem::replace(&mut self.outcomes, remaining)
    }

    /// Records that a status is sent. Returns the number of the oldest one if too many are in
    /// flight.
    pub(crate) fn record_sent(
        &mut self,
        now: u64,
        number: u64,
        outcomes: Vec<MessageOutcome>,
        has_more: bool,
    ) -> Option<u64> {
        self.last_sent_at = now;
        self.is_expedited = false;
        self.has_more = has_more;
        self.in_flight.push(InFlightStatus {
            number,
            sent_at: now,
            outcomes,
        });
        (self.in_flight.len() > MAX_IN_FLIGHT).then(|| self.in_flight[0].number)
    }

    /// Records that a status is answered. Returns false if it is not in flight.
    pub(crate) fn acknowledge(&mut self, number: u64) -> bool {
        self.remove(number).is_some()
    }

    /// Queues the outcomes of a lost status again. Returns false if the status is not in flight.
    pub(crate) fn requeue_outcomes(&mut self, number: u64) -> bool {
        let Some(lost) = self.remove(number) else {
            return false;
        };
        self.outcomes.splice(0..0, lost.outcomes);
        true
    }

    fn remove(&mut self, number: u64) -> Option<InFlightStatus> {
        let index = self.in_flight.iter().position(|s| s.number == number)?;
        Some(self.in_flight.remove(index))
    }
}
