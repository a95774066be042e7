//! When a status is sent, how much goes into it, and what is sent again if it is lost.

use copperfield_protocol::MAX_PEER_BODY_BYTES;
use copperfield_protocol::peer::CommandOutcome;
use copperfield_protocol::worker::Heartbeat;

/// A status is sent to the leader at least so often.
const STATUS_INTERVAL_MS: u64 = 250;
/// News are collected for so long: each status costs the leader as much as a heartbeat.
const BATCH_MS: u64 = 30;
/// A status without an answer for so long is followed by the next one.
const ANSWER_TIMEOUT_MS: u64 = 300;
/// So many statuses may be answered late.
pub(crate) const MAX_IN_FLIGHT: usize = 4;
/// Well below the limit for a body between controllers.
const MAX_STATUS_BYTES: usize = MAX_PEER_BODY_BYTES as usize / 2;
const BYTES_PER_HEARTBEAT: usize = 128;
const BYTES_PER_TASK: usize = 24;
const BYTES_PER_OUTCOME: usize = 16;

/// The end of a relayed message, by the leader's number for it.
type MessageOutcome = (u64, CommandOutcome);

/// The space that is left in a status.
pub(crate) struct BodyBudget {
    bytes_left: usize,
    is_exceeded: bool,
}

impl BodyBudget {
    pub(crate) fn new() -> Self {
        Self {
            bytes_left: MAX_STATUS_BYTES,
            is_exceeded: false,
        }
    }

    /// Whether something did not fit.
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

/// A status that was not answered yet.
struct InFlightStatus {
    number: u64,
    sent_at: u64,
    outcomes: Vec<MessageOutcome>,
}

/// The statuses in flight, and what decides when the next one is due.
#[derive(Default)]
pub(crate) struct StatusQueue {
    /// Outcomes of relayed messages that no status carries yet.
    outcomes: Vec<MessageOutcome>,
    in_flight: Vec<InFlightStatus>,
    last_sent_at: u64,
    /// There is something to send before `STATUS_INTERVAL_MS` is over.
    has_news: bool,
    /// The last status had no room for everything.
    has_more: bool,
}

impl StatusQueue {
    pub(crate) fn mark_news(&mut self) {
        self.has_news = true;
    }

    pub(crate) fn push_outcome(&mut self, message_id: u64, outcome: CommandOutcome) {
        self.outcomes.push((message_id, outcome));
        self.has_news = true;
    }

    /// Drops what was meant for an earlier leader.
    pub(crate) fn reset(&mut self) {
        self.outcomes.clear();
        self.in_flight.clear();
        self.has_news = true;
    }

    pub(crate) fn is_due(&self, now: u64) -> bool {
        let awaits_answer = |s: &InFlightStatus| now - s.sent_at < ANSWER_TIMEOUT_MS;
        if self.in_flight.iter().any(awaits_answer) {
            return false;
        }
        let interval_ms = if self.has_more {
            0
        } else if self.has_news {
            BATCH_MS
        } else {
            STATUS_INTERVAL_MS
        };
        now - self.last_sent_at >= interval_ms
    }

    /// The outcomes that go into the next status, as many as fit.
    pub(crate) fn take_outcomes(&mut self, budget: &mut BodyBudget) -> Vec<MessageOutcome> {
        let mut outcomes = self.outcomes.iter();
        let first_left = outcomes.position(|(_, outcome)| !budget.reserve_outcome(outcome));
        let left = self
            .outcomes
            .split_off(first_left.unwrap_or(self.outcomes.len()));
        std::mem::replace(&mut self.outcomes, left)
    }

    /// A status is sent. Returns the number of the oldest one if too many are in flight.
    pub(crate) fn push(
        &mut self,
        now: u64,
        number: u64,
        outcomes: Vec<MessageOutcome>,
        has_more: bool,
    ) -> Option<u64> {
        self.last_sent_at = now;
        self.has_news = false;
        self.has_more = has_more;
        self.in_flight.push(InFlightStatus {
            number,
            sent_at: now,
            outcomes,
        });
        (self.in_flight.len() > MAX_IN_FLIGHT).then(|| self.in_flight[0].number)
    }

    /// A status is answered. False if it is not in flight.
    pub(crate) fn acknowledge(&mut self, number: u64) -> bool {
        self.remove(number).is_some()
    }

    /// A status is lost: its outcomes are sent again. False if it is not in flight.
    pub(crate) fn requeue(&mut self, number: u64) -> bool {
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
