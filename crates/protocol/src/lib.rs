//! Wire types and their validation. Wire spellings stay in this layer; the
//! rest of the program uses the field's terms (job, task, gang, worker,
//! lease, token).

pub mod cloud;
pub mod job;
pub mod peer;
pub mod state;
pub mod worker;

/// Largest body that any interface accepts.
pub const MAX_BODY: u64 = 64 * 1024;

/// Largest body between controllers. Reports beyond half of it are split among messages.
pub const MAX_PEER_BODY: u64 = 512 * 1024;

/// Job ids are always `wk-` and at least six digits; inside they are numbers.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    borsh::BorshSerialize,
    borsh::BorshDeserialize,
)]
pub struct JobId(pub u64);

impl JobId {
    /// Only the canonical spelling counts, so that one job has one key.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("wk-")?;
        if digits.len() < 6 || digits.len() > 19 || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return None;
        }
        let id = Self(digits.parse().ok()?);
        (id.to_string() == text).then_some(id)
    }
}

impl std::fmt::Display for JobId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "wk-{:06}", self.0)
    }
}

/// Splits `wk-000412/3` into its job and the task's number.
pub fn parse_task(text: &str) -> Option<(JobId, u32)> {
    let (job, task) = text.split_once('/')?;
    Some((JobId::parse(job)?, task.parse().ok()?))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_canonical_ids_are_jobs() {
        assert_eq!(JobId::parse("wk-000412"), Some(JobId(412)));
        assert_eq!(JobId::parse("wk-1234567"), Some(JobId(1_234_567)));
        for bad in ["wk-412", "wk-0000412", "wk-00041x", "job-000412", "wk-", ""] {
            assert_eq!(JobId::parse(bad), None, "{bad}");
        }
        assert_eq!(parse_task("wk-000412/3"), Some((JobId(412), 3)));
    }
}
