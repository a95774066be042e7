//! How a job stands: from this controller's memory, from the leader's, or from the state service.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::JoinSet;

use super::error::ApiError;
use super::peers::{PEER_DEADLINE, call_leader};
use super::{Api, outcome_answer, phase_answer};
use crate::controller::commands::{Command, ControllerHandle, JobLookups};
use crate::controller::context::ControllerContext;
use crate::protocol::JobId;
use crate::protocol::job::JobOutcome;
use crate::protocol::peer::{Lookup, PeerReply, PeerRequest};
use crate::storage::store::StoreError;
use crate::transport::server::ApiResponse;

/// Lookups that wait to be sent to the leader, at most.
const MAX_PENDING_LOOKUPS: usize = 1024;
const MAX_LOOKUPS_PER_MESSAGE: usize = 256;
/// Messages with lookups that the leader has not answered, at most.
const MAX_MESSAGES_IN_FLIGHT: usize = 4;
/// Reads may be queued for so long before users get none of them.
const READ_BACKLOG: Duration = Duration::from_millis(500);

/// What this controller knows of some jobs, and who leads as far as it knows.
pub(super) struct LocalLookups {
    /// One for each job, in the same order; empty if the event loop has ended.
    pub results: Vec<Lookup>,
    pub leader: Option<String>,
}

/// What this controller knows of one job, and who leads as far as it knows.
pub(super) struct LocalLookup {
    pub result: Lookup,
    pub leader: Option<String>,
}

impl Api {
    /// Answers a user who asks how a job stands.
    pub(super) async fn answer_lookup(&self, id: JobId) -> Result<ApiResponse, ApiError> {
        match self.look_up(id).await {
            Lookup::Terminal(outcome) => Ok(outcome_answer(id, outcome)),
            Lookup::Live {
                phase,
                done,
                running,
            } => Ok(phase_answer(id, phase, done, running)),
            // Nobody waits in a queue: what cannot be read soon is to be asked again.
            _ if self.context.store.read_backlog() > READ_BACKLOG => Err(ApiError::ReadBacklog),
            _ => match self.stored_outcome(id).await {
                Ok(Some(outcome)) => Ok(outcome_answer(id, outcome)),
                Ok(None) => Err(ApiError::NoSuchJob),
                Err(_) => Err(ApiError::StateServiceUnavailable),
            },
        }
    }

    async fn stored_outcome(&self, id: JobId) -> Result<Option<JobOutcome>, StoreError> {
        let stored = self.context.store.outcome(id).await?;
        if let Some(outcome) = stored
            && outcome.phase.is_terminal()
        {
            remember(&self.handle, id, Lookup::Terminal(outcome)).await;
        }
        Ok(stored)
    }

    /// What this controller or the leader knows of a job.
    async fn look_up(&self, job: JobId) -> Lookup {
        let LocalLookup { result, leader } = self.look_up_locally(job).await;
        match (result, leader) {
            (Lookup::NotLeader, Some(leader)) => self.lookups.send(job, leader).await,
            (result, _) => result,
        }
    }

    /// What this controller may say of a job now.
    pub(super) async fn look_up_locally(&self, job: JobId) -> LocalLookup {
        let LocalLookups { results, leader } = self.look_up_all_locally(vec![job]).await;
        LocalLookup {
            result: results.into_iter().next().unwrap_or(Lookup::NotLeader),
            leader,
        }
    }

    /// What this controller may say of these jobs now.
    pub(super) async fn look_up_all_locally(&self, jobs: Vec<JobId>) -> LocalLookups {
        let asked = self
            .handle
            .ask(|reply| Command::LookUpJobs { jobs, reply })
            .await;
        let JobLookups {
            lookups: mut results,
            leader,
        } = asked.unwrap_or_default();
        // Its lease may have expired since the event loop answered.
        if !self.context.leadership.is_valid() {
            for result in &mut results {
                if let Lookup::Live { .. } = result {
                    *result = Lookup::NotLeader;
                }
            }
        }
        LocalLookups { results, leader }
    }
}

/// Keeps the outcome of a job that has ended, so that it is not asked for again.
pub(super) async fn remember(handle: &ControllerHandle, job: JobId, found: Lookup) {
    if let Lookup::Terminal(end) = found {
        handle
            .send(Command::JobFinished { job, outcome: end })
            .await;
    }
}

/// A lookup that only the leader can answer.
struct PendingLookup {
    job: JobId,
    leader: String,
    reply: oneshot::Sender<Lookup>,
}

/// Lookups that wait to be sent to the leader.
#[derive(Clone)]
pub(super) struct LookupQueue {
    pending: mpsc::Sender<PendingLookup>,
}

/// The queue of lookups for the leader, and what sends them.
pub(super) fn queue(
    context: Arc<ControllerContext>,
    handle: ControllerHandle,
) -> (LookupQueue, LookupForwarder) {
    let (sender, pending) = mpsc::channel(MAX_PENDING_LOOKUPS);
    let forwarder = LookupForwarder {
        context,
        handle,
        pending,
    };
    (LookupQueue { pending: sender }, forwarder)
}

impl LookupQueue {
    /// The leader's answer, or [`Lookup::NotLeader`] if there is none.
    async fn send(&self, job: JobId, leader: String) -> Lookup {
        let (reply, answer) = oneshot::channel();
        let lookup = PendingLookup { job, leader, reply };
        // If the queue is full, the state service may still have time.
        if self.pending.try_send(lookup).is_err() {
            return Lookup::NotLeader;
        }
        answer.await.unwrap_or(Lookup::NotLeader)
    }
}

/// Sends lookups to the leader, many in one message: in a storm of them a message for each cost
/// the leader more than its answer. Those that come while enough messages are in flight wait for
/// the next.
pub(super) struct LookupForwarder {
    context: Arc<ControllerContext>,
    handle: ControllerHandle,
    pending: mpsc::Receiver<PendingLookup>,
}

impl LookupForwarder {
    /// Runs until every queue is dropped.
    pub(super) async fn run(mut self) {
        let in_flight = Arc::new(Semaphore::new(MAX_MESSAGES_IN_FLIGHT));
        let mut messages = JoinSet::new();
        loop {
            let Ok(permit) = in_flight.clone().acquire_owned().await else {
                break;
            };
            while messages.try_join_next().is_some() {}
            let mut batch = Vec::new();
            let received = self.pending.recv_many(&mut batch, MAX_LOOKUPS_PER_MESSAGE);
            if received.await == 0 {
                break;
            }
            let (context, handle) = (self.context.clone(), self.handle.clone());
            messages.spawn(async move {
                let results = ask_leader(&context, &batch).await;
                drop(permit);
                deliver(&handle, batch, results).await;
            });
        }
        while messages.join_next().await.is_some() {}
    }
}

/// The leader's results in the order of the batch; empty if it does not answer.
async fn ask_leader(context: &ControllerContext, batch: &[PendingLookup]) -> Vec<Lookup> {
    // The last lookup knows best who leads.
    let leader = batch.last().map(|lookup| lookup.leader.as_str());
    let request = PeerRequest::LookUpJobs(batch.iter().map(|lookup| lookup.job).collect());
    match call_leader(context, leader, request, PEER_DEADLINE).await {
        Some(PeerReply::Lookups(results)) => results,
        _ => Vec::new(),
    }
}

async fn deliver(handle: &ControllerHandle, batch: Vec<PendingLookup>, results: Vec<Lookup>) {
    let missing = std::iter::repeat(Lookup::NotLeader);
    for (lookup, result) in batch.into_iter().zip(results.into_iter().chain(missing)) {
        remember(handle, lookup.job, result).await;
        // Its user may no longer wait.
        let _ = lookup.reply.send(result);
    }
}
