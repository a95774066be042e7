//! Bitmaps of done tasks, cut into chunks that fit a value of the state service.

use serde_json::{Value, json};

use super::records::RecordError;

/// Bytes of a value that the JSON around the bitmap may take.
const JSON_OVERHEAD_BYTES: usize = 64;
/// Chunks have at least and at most so many hexadecimal digits, whatever the value limit is.
const MIN_DIGITS: usize = 64;
const MAX_DIGITS: usize = 32 * 1024;

/// Tasks per chunk for a value limit: two hexadecimal digits hold eight tasks.
pub fn tasks_per_chunk(value_bytes: usize) -> u32 {
    let digits = value_bytes
        .saturating_sub(JSON_OVERHEAD_BYTES)
        .clamp(MIN_DIGITS, MAX_DIGITS);
    (digits / 2 * 8) as u32
}

/// Which tasks of one chunk are done; tasks are counted from the start of the chunk.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskBitmap {
    bytes: Vec<u8>,
}

impl TaskBitmap {
    /// A bitmap for so many tasks, none of them done.
    pub fn new(tasks: usize) -> Self {
        Self {
            bytes: vec![0; tasks.div_ceil(8)],
        }
    }

    /// A bitmap from its bytes, the first task in the lowest bit of the first byte.
    pub fn from_bytes(bytes: Vec<u8>) -> Self {
        Self { bytes }
    }

    /// The bytes, the first task in the lowest bit of the first.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Marks a task as done. It must be one of those that the bitmap was made for.
    pub fn insert(&mut self, task: usize) {
        self.bytes[task / 8] |= 1 << (task % 8);
    }

    /// Whether a task is done; no task beyond the end is.
    pub fn contains(&self, task: usize) -> bool {
        let byte = self.bytes.get(task / 8).copied().unwrap_or(0);
        byte & (1 << (task % 8)) != 0
    }

    /// For how many tasks there is a bit.
    pub fn capacity(&self) -> usize {
        self.bytes.len() * 8
    }

    /// The number of hexadecimal digits of the record.
    pub fn hex_digits(&self) -> usize {
        self.bytes.len() * 2
    }

    /// The value to be stored.
    pub fn to_record(&self) -> Value {
        let mut digits = String::with_capacity(self.hex_digits());
        for byte in &self.bytes {
            digits.push_str(&format!("{byte:02x}"));
        }
        json!({ "done": digits })
    }

    /// Reads what [`TaskBitmap::to_record`] wrote.
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
