//! Identifiers of jobs and tasks.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};

const PREFIX: &str = "wk-";
/// Numbers with fewer digits are padded with zeros.
const MIN_DIGITS: usize = 6;
/// Every number with this many digits fits in a `u64`.
const MAX_DIGITS: usize = 19;

/// Identifies a job. Its text form is `wk-` followed by a number of at least six digits.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize,
)]
pub struct JobId(pub u64);

impl JobId {
    /// Parses the canonical text form. Any other form is rejected, so that each job has exactly one
    /// key in the state service.
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

/// Parses the identifier of a task, such as `wk-000412/3`, into the job and the task number.
pub fn parse_task(text: &str) -> Option<(JobId, u32)> {
    let (job, task) = text.split_once('/')?;
    Some((JobId::parse(job)?, task.parse().ok()?))
}
