//! Bitmaps of completed tasks, split into chunks that fit the value size limit of the state
//! service.

use serde_json::{Value, json};

use super::records::RecordError;

/// Bytes of a value that are reserved for the JSON around the bitmap.
const JSON_OVERHEAD_BYTES: usize = 64;
/// Minimum number of hexadecimal digits in a chunk, even if the value limit is smaller.
const MIN_CHUNK_DIGITS: usize = 64;
/// Maximum number of hexadecimal digits in a chunk, even if the value limit is larger.
const MAX_CHUNK_DIGITS: usize = 32 * 1024;

/// Returns the number of tasks per chunk for a value limit in bytes. Two hexadecimal digits hold
/// eight tasks.
pub fn tasks_per_chunk(value_bytes: usize) -> u32 {
    let digits = value_bytes
        .saturating_sub(JSON_OVERHEAD_BYTES)
        .clamp(MIN_CHUNK_DIGITS, MAX_CHUNK_DIGITS);
    (digits / 2 * 8) as u32
}

/// The completed tasks of one chunk. Tasks are numbered from the start of the chunk.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskBitmap {
    bytes: Vec<u8>,
}

impl TaskBitmap {
    /// Creates a bitmap for `tasks` tasks, none of them completed.
    pub fn new(tasks: usize) -> Self {
        Self {
            bytes: vec![0; tasks.div_ceil(8)],
        }
    }

    /// Creates a bitmap from its bytes. The first task is the lowest bit of the first byte.
    pub fn from_bytes(bytes: Vec<u8>) -> Self {
        Self { bytes }
    }

    /// Returns the bytes. The first task is the lowest bit of the first byte.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Marks a task as completed.
    ///
    /// # Panics
    /// The task is not below [`Self::capacity`].
    pub fn insert(&mut self, task: usize) {
        self.bytes[task / 8] |= 1 << (task % 8);
    }

    /// Returns whether a task is completed; `false` for tasks beyond the capacity.
    pub fn contains(&self, task: usize) -> bool {
        let byte = self.bytes.get(task / 8).copied().unwrap_or(0);
        byte & (1 << (task % 8)) != 0
    }

    /// Returns the number of tasks that the bitmap has a bit for.
    pub fn capacity(&self) -> usize {
        self.bytes.len() * 8
    }

    /// Returns the number of hexadecimal digits in the stored record.
    pub fn hex_digits(&self) -> usize {
        self.bytes.len() * 2
    }

    /// Returns the value to store.
    pub fn to_record(&self) -> Value {
        let mut digits = String::with_capacity(self.hex_digits());
        for byte in &self.bytes {
            digits.push_str(&format!("{byte:02x}"));
        }
        json!({ "done": digits })
    }

    /// Parses a value written by [`TaskBitmap::to_record`].
    pub fn from_record(value: &Value) -> Result<Self, RecordError> {
        let digits = value.get("done").ok_or(RecordError::MissingField("done"))?;
        let digits = digits.as_str().ok_or(RecordError::InvalidBitmap)?;
        if digits.len() % 2 != 0 || !digits.is_ascii() {
            return Err(RecordError::InvalidBitmap);
        }
        (0..digits.len())
            .step_by(2)
            .map(|at| u8::from_str_radix(&digits[at..at + 2], 16))
            .collect::<Result<_, _>>()
            .map(Self::from_bytes)
            .map_err(|_| RecordError::InvalidBitmap)
    }
}
