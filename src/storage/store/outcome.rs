//! Reads the stored outcome of a job.

use super::{Store, StoreError, UnknownOutcome};
use crate::protocol::JobId;
use crate::protocol::job::{JobOutcome, Phase};
use crate::storage::records::{job_key, parse_terminal, terminal_key};
use crate::transport::rate_limiter::Urgency;

impl Store {
    /// Reads the outcome of a job; its phase is pending for a live job. `None` if the job was never
    /// accepted. The order of the two reads matters, see [`crate::storage`].
    pub async fn job_outcome(&self, job: JobId) -> Result<Option<JobOutcome>, StoreError> {
        let urgency = Urgency::Low;
        let live = self.get(&job_key(job), urgency, true).await?;
        let terminal = self.terminal_state(job, urgency).await?;
        let pending = JobOutcome {
            phase: Phase::Pending,
            done: 0,
        };
        Ok(terminal.or(live.map(|_| pending)))
    }

    /// Reads the terminal state of a job; `None` if there is none.
    pub async fn terminal_state(
        &self,
        job: JobId,
        urgency: Urgency,
    ) -> Result<Option<JobOutcome>, StoreError> {
        let key = terminal_key(job);
        let Some(item) = self.get(&key, urgency, true).await? else {
            return Ok(None);
        };
        match parse_terminal(&item.value) {
            Ok(outcome) => Ok(Some(outcome)),
            Err(error) => {
                tracing::error!(key, %error, "terminal state does not parse");
                Err(StoreError::Unknown(UnknownOutcome::InvalidRecord(error)))
            }
        }
    }
}
