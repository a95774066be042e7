//! Collects the writes of one transaction within the limits of the state service.

use crate::storage::writer::Write;

/// The limit on bytes of values in one transaction, below the 64 KiB that the state service
/// accepts.
const MAX_VALUE_BYTES: usize = 40 * 1024;

/// The writes of one transaction.
#[derive(Debug)]
pub(in crate::coordination) struct WriteBatch {
    writes: Vec<Write>,
    /// The maximum number of changes that the state service accepts in one transaction.
    max_changes: usize,
    changes: usize,
    value_bytes: usize,
}

impl WriteBatch {
    /// Creates an empty batch. `max_changes` is the maximum number of changes that the state
    /// service accepts in one transaction.
    pub fn new(max_changes: usize) -> Self {
        Self {
            writes: Vec::new(),
            max_changes,
            changes: 0,
            value_bytes: 0,
        }
    }

    /// Adds a write whose value has about `value_bytes` bytes.
    pub fn push(&mut self, write: Write, value_bytes: usize) {
        self.changes += write.changes();
        self.value_bytes += value_bytes;
        self.writes.push(write);
    }

    /// Whether this many more changes fit.
    pub fn has_room_for(&self, changes: usize) -> bool {
        self.changes + changes <= self.max_changes
    }

    /// Whether one more change with a large value fits.
    pub fn has_room_for_value(&self) -> bool {
        self.has_room_for(1) && self.value_bytes <= MAX_VALUE_BYTES
    }

    /// The maximum number of values of this size that still fit.
    pub fn room_for_values_of(&self, bytes: usize) -> usize {
        let changes = self.max_changes.saturating_sub(self.changes);
        changes.min(MAX_VALUE_BYTES / bytes)
    }

    /// Whether the batch has no writes.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    /// The writes in the order in which they were added.
    pub fn into_writes(self) -> Vec<Write> {
        self.writes
    }
}
