//! Identifiers of jobs and of their tasks.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};

const PREFIX: &str = "wk-";
/// Shorter numbers are padded with zeros.
const MIN_DIGITS: usize = 6;
/// Every number of so many digits fits an `u64`.
const MAX_DIGITS: usize = 19;

/// Identifies a job. On the wire it is `wk-` and at least six digits; inside, the number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize,
)]
pub struct JobId(pub u64);

impl JobId {
    /// Reads the canonical spelling. Any other is refused, so that one job has one key in the
    /// state service.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix(PREFIX)?;
        let length = MIN_DIGITS..=MAX_DIGITS;
        if !length.contains(&digits.len()) || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        let id = Self(digits.parse().ok()?);
        (id.to_string() == text).then_some(id)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}{:0width$}", self.0, width = MIN_DIGITS)
    }
}

/// Splits the identifier of a task, such as `wk-000412/3`, into its job and its number in the job.
pub fn parse_task(text: &str) -> Option<(JobId, u32)> {
    let (job, task) = text.split_once('/')?;
    Some((JobId::parse(job)?, task.parse().ok()?))
}
