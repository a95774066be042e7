//! Cancellations of jobs: by the leader, or by any controller while nobody leads.

use std::time::Duration;

use tokio::time::sleep;

use super::error::ApiError;
use super::lookup::{LocalLookup, remember};
use super::peers::call_leader;
use super::{Api, CANCEL_DEADLINE, outcome_answer};
use crate::controller::commands::{BegunCancellation, Command};
use crate::coordination::core::CancelDecision;
use crate::protocol::JobId;
use crate::protocol::job::{JobOutcome, Phase};
use crate::protocol::peer::{Lookup, PeerReply, PeerRequest};
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::store::{StoreError, put};
use crate::storage::{LEADER, TERM_MARKER, job_key, terminal_key, terminal_record};
use crate::transport::rate_limiter::Urgency;
use crate::transport::server::ApiResponse;

/// Before the leader is asked again to begin while another outcome of the job is being stored.
const BEGIN_RETRY: Duration = Duration::from_millis(30);
/// Before the leader tries again to store a cancellation.
const STORE_RETRY: Duration = Duration::from_millis(200);

/// A cancellation for which the leader starts nothing of the job any more.
struct CancellationInProgress {
    /// Tasks of the job that are known to be completed.
    done: u32,
    /// The fencing token of the leader.
    token: u64,
}

impl Api {
    /// Cancels a job, as its user asks.
    pub(super) async fn cancel(&self, id: JobId) -> Result<ApiResponse, ApiError> {
        match self.cancel_anywhere(id).await {
            Lookup::Terminal(outcome) => Ok(outcome_answer(id, outcome)),
            Lookup::NotFound => Err(ApiError::NoSuchJob),
            _ => Err(ApiError::NotStored),
        }
    }

    async fn cancel_anywhere(&self, id: JobId) -> Lookup {
        let LocalLookup { result, leader } = self.look_up_locally(id).await;
        match result {
            Lookup::Terminal(_) => return result,
            Lookup::NotLeader => {}
            _ => return self.cancel_as_leader(id).await,
        }
        let request = PeerRequest::CancelJob(id);
        match call_leader(&self.context, leader.as_deref(), request, CANCEL_DEADLINE).await {
            Some(PeerReply::Cancelled(found @ (Lookup::Terminal(_) | Lookup::NotFound))) => {
                remember(&self.handle, id, found).await;
                found
            }
            _ => self.cancel_without_leader(id).await,
        }
    }

    /// The leader first stops starting anything of the job, then stores the cancellation, and goes
    /// on trying when the user no longer waits.
    pub(super) async fn cancel_as_leader(&self, id: JobId) -> Lookup {
        let started = match self.begin_cancellation(id).await {
            Ok(started) => started,
            Err(known) => return known,
        };
        let this = self.clone();
        // Deliberately not ended with this future: once started, a cancellation must be settled.
        let settled = tokio::spawn(async move { this.settle_cancellation(id, started).await });
        settled.await.unwrap_or(Lookup::NotLeader)
    }

    /// # Errors
    /// What is known of the job, if there is nothing to cancel here.
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
                CancelDecision::Busy => sleep(BEGIN_RETRY).await,
                CancelDecision::Go { done } => {
                    return Ok(CancellationInProgress { done, token });
                }
            }
        }
    }

    /// Stores a cancellation, however long it takes, while this controller leads.
    async fn settle_cancellation(&self, id: JobId, started: CancellationInProgress) -> Lookup {
        let CancellationInProgress { done, token } = started;
        let guards = [Condition::at_version(LEADER, token)];
        while self.context.leadership.leads(token) {
            if let Ok(found) = self.store_cancelled(id, done, &guards).await {
                let end = match found {
                    Lookup::Terminal(outcome) => Some(outcome),
                    _ => None,
                };
                self.handle
                    .send(Command::FinishCancellation {
                        job: id,
                        outcome: end,
                    })
                    .await;
                return found;
            }
            sleep(STORE_RETRY).await;
        }
        Lookup::NotLeader
    }

    /// Without a leader nobody starts anything or answers from memory, and the next one reads what
    /// is stored here. With one, it must be the leader: else it might still answer users that the job
    /// is running.
    async fn cancel_without_leader(&self, id: JobId) -> Lookup {
        if !self.context.leadership.begin_leaderless_cancellation() {
            return Lookup::NotLeader;
        }
        let this = self.clone();
        // Deliberately not ended with this future: its end must always be recorded.
        let stored = tokio::spawn(async move {
            let found = this.store_leaderless(id).await;
            this.context.leadership.end_leaderless_cancellation();
            remember(&this.handle, id, found).await;
            found
        });
        stored.await.unwrap_or(Lookup::NotLeader)
    }

    /// The transaction may be carried out minutes later, when this process is gone and its
    /// successor has voted for a leader. So it is guarded by the term marker, which every election
    /// changes, read before the leader key is seen to be missing; a vote withheld by this process
    /// would not bind its successor.
    async fn store_leaderless(&self, id: JobId) -> Lookup {
        let store = &self.context.store;
        let marker = store.get(TERM_MARKER, Urgency::High, true).await;
        let Ok(term) = marker.map(|item| item.map_or(0, |item| item.version)) else {
            return Lookup::NotLeader;
        };
        let Ok(None) = store.get(LEADER, Urgency::High, true).await else {
            return Lookup::NotLeader;
        };
        let guards = [
            Condition::absent(LEADER),
            Condition::at_version(TERM_MARKER, term),
        ];
        let stored = self.store_cancelled(id, 0, &guards).await;
        stored.unwrap_or(Lookup::NotLeader)
    }

    /// Stores the cancellation of a job, unless it has ended or does not exist.
    ///
    /// # Errors
    /// The state service does not answer, refuses, or a guard failed. The job is to be read again:
    /// the transaction may have been carried out, or the job may have ended.
    async fn store_cancelled(
        &self,
        id: JobId,
        done: u32,
        guards: &[Condition],
    ) -> Result<Lookup, StoreError> {
        let store = &self.context.store;
        let live = store.get(&job_key(id), Urgency::High, true).await?;
        if let Some(outcome) = store.terminal(id, Urgency::High).await? {
            return Ok(Lookup::Terminal(outcome));
        }
        let Some(live) = live else {
            return Ok(Lookup::NotFound);
        };
        let mut conditions = vec![
            Condition::at_version(job_key(id), live.version),
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
