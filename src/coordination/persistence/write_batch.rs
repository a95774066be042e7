//! One transaction as it is put together, within the limits of the state service.

use crate::storage::writer::Write;

/// Bytes of values in one transaction, under the 64 KiB that it may have.
const MAX_VALUE_BYTES: usize = 40 * 1024;

/// The writes of one transaction.
#[derive(Debug)]
pub(in crate::coordination) struct WriteBatch {
    writes: Vec<Write>,
    /// What the state service takes in one transaction.
    max_changes: usize,
    changes: usize,
    value_bytes: usize,
}

impl WriteBatch {
    /// `max_changes`: the changes that the state service takes in one transaction.
    pub fn new(max_changes: usize) -> Self {
        Self {
            writes: Vec::new(),
            max_changes,
            changes: 0,
            value_bytes: 0,
        }
    }

    /// Adds a write whose value has about so many bytes.
    pub fn push(&mut self, write: Write, value_bytes: usize) {
        self.changes += write.changes();
        self.value_bytes += value_bytes;
        self.writes.push(write);
    }

    /// Whether so many changes more fit.
    pub fn has_room_for(&self, changes: usize) -> bool {
        self.changes + changes <= self.max_changes
    }

    /// Whether one change with a larger value fits.
    pub fn has_room_for_value(&self) -> bool {
        self.has_room_for(1) && self.value_bytes <= MAX_VALUE_BYTES
    }

    /// How many values of so many bytes fit at most.
    pub fn room_for_values_of(&self, bytes: usize) -> usize {
        let changes = self.max_changes.saturating_sub(self.changes);
        changes.min(MAX_VALUE_BYTES / bytes)
    }

    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    /// The writes in the order in which they were added.
    pub fn into_writes(self) -> Vec<Write> {
        self.writes
    }
}
