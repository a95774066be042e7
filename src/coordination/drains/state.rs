//! The state of a drain.

use crate::coordination::model::Time;
use crate::storage::DrainRecord;
use crate::storage::writer::WriteOutcome;

/// The requested state of a drain, and what is known about its stored record.
#[derive(Debug, Default)]
pub(in crate::coordination) struct Drain {
    /// The record to be stored. `None` if the drain is to end, which takes effect once that is
    /// stored.
    pub(super) record: Option<DrainRecord>,
    /// The time after which remaining tasks are stopped.
    pub(super) deadline: Option<Time>,
    /// The version of the stored record, 0 if there is none.
    pub(super) version: u64,
    /// Whether the requested state must be written.
    pub(super) write_due: bool,
    /// Whether a write is in flight.
    pub(super) write_in_flight: bool,
    /// Tickets of the operators' requests that are answered once the requested state is stored.
    pub(super) waiting_tickets: Vec<u64>,
}

impl Drain {
    /// Requests the end of the drain.
    pub(super) fn request_end(&mut self) {
        self.record = None;
        self.deadline = None;
        self.write_due = true;
    }

    /// Records the result of a write.
    pub(super) fn record_write_result(&mut self, written: &WriteOutcome) {
        self.write_in_flight = false;
        match written {
            WriteOutcome::Stored { version } => self.version = *version,
            WriteOutcome::Retry { version } => {
                self.version = *version;
                self.write_due = true;
            }
            WriteOutcome::JobAlreadyEnded(_) => {}
        }
    }
}
