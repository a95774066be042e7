//! Cancellation of jobs, by the leader or, while there is no leader, by any controller.

use std::time::Duration;

use tokio::time::sleep;

use super::error::ApiError;
use super::lookup::{LocalLookup, cache_outcome};
use super::peers::call_leader;
use super::{Api, CANCEL_DEADLINE, outcome_response};
use crate::controller::commands::{BegunCancellation, Command};
use crate::coordination::core::CancelDecision;
use crate::protocol::JobId;
use crate::protocol::job::{JobOutcome, Phase};
use crate::protocol::peer::{Lookup, PeerReply, PeerRequest};
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::store::{StoreError, put};
use crate::storage::{LEADER_KEY, TERM_MARKER_KEY, job_key, terminal_key, terminal_record};
use crate::transport::rate_limiter::Urgency;
use crate::transport::server::ApiResponse;

/// The delay before the leader is asked again to begin a cancellation, after it refused because
/// another outcome of the job is being stored.
const BEGIN_RETRY_DELAY: Duration = Duration::from_millis(30);
/// The delay before the leader tries again to store a cancellation.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A cancellation that the leader has begun: it no longer starts tasks of the job.
struct CancellationInProgress {
    /// The number of the job's tasks that are known to be completed.
    done: u32,
    /// The fencing token of the leader.
    token: u64,
}

impl Api {
    /// Answers a user's request to cancel a job.
    pub(super) async fn cancel(&self, id: JobId) -> Result<ApiResponse, ApiError> {
        match self.cancel_job(id).await {
            Lookup::Terminal(outcome) => Ok(outcome_response(id, outcome)),
            Lookup::NotFound => Err(ApiError::NoSuchJob),
            _ => Err(ApiError::NotStored),
        }
    }

    /// Cancels a job as the leader, through the leader, or without a leader if none answers.
    async fn cancel_job(&self, id: JobId) -> Lookup {
        let LocalLookup { result, leader } = self.look_up_locally(id).await;
        match result {
            Lookup::Terminal(_) => return result,
            Lookup::NotLeader => {}
            _ => return self.cancel_as_leader(id).await,
        }
        let request = PeerRequest::CancelJob(id);
        match call_leader(&self.context, leader.as_deref(), request, CANCEL_DEADLINE).await {
            Some(PeerReply::Cancelled(result @ (Lookup::Terminal(_) | Lookup::NotFound))) => {
                cache_outcome(&self.handle, id, result).await;
                result
            }
            _ => self.cancel_without_leader(id).await,
        }
    }

    /// Cancels a job as the leader: stops starting its tasks, then stores the cancellation. Storing
    /// is tried again even after the user's request has timed out.
    pub(super) async fn cancel_as_leader(&self, id: JobId) -> Lookup {
        let cancellation = match self.begin_cancellation(id).await {
            Ok(cancellation) => cancellation,
            Err(result) => return result,
        };
        let api = self.clone();
        // Spawned so that it outlives this future: a cancellation that has begun must be settled.
        let settled = tokio::spawn(async move { api.settle_cancellation(id, cancellation).await });
        settled.await.unwrap_or(Lookup::NotLeader)
    }

    /// Makes the core stop starting tasks of the job.
    ///
    /// # Errors
    /// The result of the cancellation, if the job has ended or this controller does not lead.
    async fn begin_cancellation(&self, id: JobId) -> Result<CancellationInProgress, Lookup> {
        loop {
            let begun = self
                .handle
                .ask(|reply| Command::BeginCancellation { job: id, reply })
                .await;
            let Some(BegunCancellation { decision, token }) = begun.flatten() else {
                return Err(Lookup::NotLeader);
            };
            match decision {
                CancelDecision::Terminal(outcome) => return Err(Lookup::Terminal(outcome)),
                CancelDecision::Busy => sleep(BEGIN_RETRY_DELAY).await,
                CancelDecision::Go { done } => {
                    return Ok(CancellationInProgress { done, token });
                }
            }
        }
    }

    /// Tries to store a cancellation until that succeeds or this controller no longer leads.
    async fn settle_cancellation(&self, id: JobId, cancellation: CancellationInProgress) -> Lookup {
        let CancellationInProgress { done, token } = cancellation;
        let guards = [Condition::at_version(LEADER_KEY, token)];
        while self.context.leadership.leads(token) {
            if let Ok(result) = self.store_cancelled(id, done, &guards).await {
                let outcome = match result {
                    Lookup::Terminal(outcome) => Some(outcome),
                    _ => None,
                };
                self.handle
                    .send(Command::FinishCancellation { job: id, outcome })
                    .await;
                return result;
            }
            sleep(STORE_RETRY_DELAY).await;
        }
        Lookup::NotLeader
    }

    /// Cancels a job while there is no leader.
    ///
    /// Without a leader, no controller starts tasks or answers lookups from memory, and the next
    /// leader reads the stored cancellation. While there is a leader, only the leader may cancel,
    /// because it could otherwise still answer users that the job is running.
    async fn cancel_without_leader(&self, id: JobId) -> Lookup {
        if !self.context.leadership.begin_leaderless_cancellation() {
            return Lookup::NotLeader;
        }
        let api = self.clone();
        // Spawned so that it outlives this future: the end of the cancellation must be recorded in
        // any case.
        let stored = tokio::spawn(async move {
            let result = api.store_leaderless(id).await;
            api.context.leadership.end_leaderless_cancellation();
            cache_outcome(&api.handle, id, result).await;
            result
        });
        stored.await.unwrap_or(Lookup::NotLeader)
    }

    /// Stores a cancellation on the condition that no leader has been elected since.
    ///
    /// The state service may apply the transaction minutes later, when this process has ended and
    /// its successor has voted for a leader. Withholding this process's vote would not bind the
    /// successor. The transaction is therefore guarded by the term marker, which every election
    /// changes and which is read before the leader key is found to be missing.
    async fn store_leaderless(&self, id: JobId) -> Lookup {
        let store = &self.context.store;
        let term_marker = store.get(TERM_MARKER_KEY, Urgency::High, true).await;
        let Ok(marker_version) = term_marker.map(|item| item.map_or(0, |item| item.version)) else {
            return Lookup::NotLeader;
        };
        let Ok(None) = store.get(LEADER_KEY, Urgency::High, true).await else {
            return Lookup::NotLeader;
        };
        let guards = [
            Condition::absent(LEADER_KEY),
            Condition::at_version(TERM_MARKER_KEY, marker_version),
        ];
        let stored = self.store_cancelled(id, 0, &guards).await;
        stored.unwrap_or(Lookup::NotLeader)
    }

    /// Stores the cancellation of a job, unless it has ended or does not exist.
    ///
    /// # Errors
    /// The state service does not answer or refuses, or a condition is not met. The job must be
    /// read again before a retry, because the transaction may have been applied or the job may have
    /// ended.
    async fn store_cancelled(
        &self,
        id: JobId,
        done: u32,
        guards: &[Condition],
    ) -> Result<Lookup, StoreError> {
        let store = &self.context.store;
        let job_item = store.get(&job_key(id), Urgency::High, true).await?;
        if let Some(outcome) = store.terminal_state(id, Urgency::High).await? {
            return Ok(Lookup::Terminal(outcome));
        }
        let Some(job_item) = job_item else {
            return Ok(Lookup::NotFound);
        };
        let mut conditions = vec![
            Condition::at_version(job_key(id), job_item.version),
            Condition::absent(terminal_key(id)),
        ];
        conditions.extend_from_slice(guards);
        let outcome = JobOutcome {
            phase: Phase::Cancelled,
            done,
        };
        let transaction = Transaction {
            conditions,
            changes: vec![
                put(terminal_key(id), terminal_record(outcome)),
                Change::Delete { key: job_key(id) },
            ],
        };
        store.commit(&transaction, Urgency::High, true).await?;
        Ok(Lookup::Terminal(outcome))
    }
}
