//! Lookups of a job's state: in this controller's memory, in the leader's, or in the state service.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::JoinSet;

use super::error::ApiError;
use super::peers::{PEER_DEADLINE, call_leader};
use super::{Api, outcome_response, phase_response};
use crate::controller::commands::{Command, ControllerHandle, JobLookups};
use crate::controller::context::ControllerContext;
use crate::protocol::JobId;
use crate::protocol::job::JobOutcome;
use crate::protocol::peer::{Lookup, PeerReply, PeerRequest};
use crate::storage::store::StoreError;
use crate::transport::server::ApiResponse;

/// The maximum number of lookups that wait to be sent to the leader.
const MAX_PENDING_LOOKUPS: usize = 1024;
const MAX_LOOKUPS_PER_MESSAGE: usize = 256;
/// The maximum number of messages with lookups that the leader has not answered yet.
const MAX_MESSAGES_IN_FLIGHT: usize = 4;
/// The longest backlog of reads at which a lookup still reads from the state service.
const MAX_READ_BACKLOG: Duration = Duration::from_millis(500);

/// What this controller knows about a list of jobs, and the leader if it knows one.
pub(super) struct LocalLookups {
    /// One result for each job, in the same order. Empty if the event loop has ended.
    pub results: Vec<Lookup>,
    /// The member name of the leader.
    pub leader: Option<String>,
}

/// What this controller knows about one job, and the leader if it knows one.
pub(super) struct LocalLookup {
    pub result: Lookup,
    /// The member name of the leader.
    pub leader: Option<String>,
}

impl Api {
    /// Answers a user's request for the state of a job.
    pub(super) async fn answer_lookup(&self, id: JobId) -> Result<ApiResponse, ApiError> {
        match self.look_up(id).await {
            Lookup::Terminal(outcome) => Ok(outcome_response(id, outcome)),
            Lookup::Live {
                phase,
                done,
                running,
            } => Ok(phase_response(id, phase, done, running)),
            // Refused rather than queued: the user is asked to retry if the read would be late.
            _ if self.context.store.read_backlog() > MAX_READ_BACKLOG => Err(ApiError::ReadBacklog),
            _ => match self.stored_outcome(id).await {
                Ok(Some(outcome)) => Ok(outcome_response(id, outcome)),
                Ok(None) => Err(ApiError::NoSuchJob),
                Err(_) => Err(ApiError::StateServiceUnavailable),
            },
        }
    }

    async fn stored_outcome(&self, id: JobId) -> Result<Option<JobOutcome>, StoreError> {
        let stored = self.context.store.job_outcome(id).await?;
        if let Some(outcome) = stored
            && outcome.phase.is_terminal()
        {
            cache_outcome(&self.handle, id, Lookup::Terminal(outcome)).await;
        }
        Ok(stored)
    }

    /// Looks up a job in the memory of this controller or of the leader.
    async fn look_up(&self, job: JobId) -> Lookup {
        let LocalLookup { result, leader } = self.look_up_locally(job).await;
        match (result, leader) {
            (Lookup::NotLeader, Some(leader)) => self.lookups.send(job, leader).await,
            (result, _) => result,
        }
    }

    /// Looks up a job in this controller's memory.
    pub(super) async fn look_up_locally(&self, job: JobId) -> LocalLookup {
        let LocalLookups { results, leader } = self.look_up_all_locally(vec![job]).await;
        LocalLookup {
            result: results.into_iter().next().unwrap_or(Lookup::NotLeader),
            leader,
        }
    }

    /// Looks up jobs in this controller's memory.
    pub(super) async fn look_up_all_locally(&self, jobs: Vec<JobId>) -> LocalLookups {
        let reply = self
            .handle
            .ask(|reply| Command::LookUpJobs { jobs, reply })
            .await;
        let JobLookups {
            lookups: mut results,
            leader,
        } = reply.unwrap_or_default();
        // The leader lease may have expired since the event loop answered.
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

/// Caches the outcome of a job that has ended, so that it does not have to be looked up again.
pub(super) async fn cache_outcome(handle: &ControllerHandle, job: JobId, result: Lookup) {
    if let Lookup::Terminal(outcome) = result {
        handle.send(Command::JobFinished { job, outcome }).await;
    }
}

/// A lookup that only the leader can answer.
struct PendingLookup {
    job: JobId,
    leader: String,
    reply: oneshot::Sender<Lookup>,
}

/// The sending end of the queue of lookups for the leader.
#[derive(Clone)]
pub(super) struct LookupQueue {
    pending: mpsc::Sender<PendingLookup>,
}

/// Creates the queue of lookups for the leader, and the forwarder that sends them.
pub(super) fn lookup_queue(
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
    /// Sends a lookup to the leader. Returns [`Lookup::NotLeader`] if the leader does not answer.
    async fn send(&self, job: JobId, leader: String) -> Lookup {
        let (reply, answer) = oneshot::channel();
        let lookup = PendingLookup { job, leader, reply };
        // If the queue is full, the caller reads from the state service instead.
        if self.pending.try_send(lookup).is_err() {
            return Lookup::NotLeader;
        }
        answer.await.unwrap_or(Lookup::NotLeader)
    }
}

/// Sends lookups to the leader in batches. Under a high load of lookups, handling a message for
/// each one cost the leader more than the lookup itself. Lookups that arrive while the maximum
/// number of messages is in flight wait for the next message.
pub(super) struct LookupForwarder {
    context: Arc<ControllerContext>,
    handle: ControllerHandle,
    pending: mpsc::Receiver<PendingLookup>,
}

impl LookupForwarder {
    /// Runs until every [`LookupQueue`] is dropped.
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
                deliver_results(&handle, batch, results).await;
            });
        }
        while messages.join_next().await.is_some() {}
    }
}

/// Sends a batch of lookups to the leader and returns the results in the order of the batch, or
/// none if the leader does not answer.
async fn ask_leader(context: &ControllerContext, batch: &[PendingLookup]) -> Vec<Lookup> {
    // The most recent lookup has the most recent leader.
    let leader = batch.last().map(|lookup| lookup.leader.as_str());
    let request = PeerRequest::LookUpJobs(batch.iter().map(|lookup| lookup.job).collect());
    match call_leader(context, leader, request, PEER_DEADLINE).await {
        Some(PeerReply::Lookups(results)) => results,
        _ => Vec::new(),
    }
}

/// Answers a batch of lookups. Those without a result are answered with [`Lookup::NotLeader`].
async fn deliver_results(
    handle: &ControllerHandle,
    batch: Vec<PendingLookup>,
    results: Vec<Lookup>,
) {
    let missing = std::iter::repeat(Lookup::NotLeader);
    for (lookup, result) in batch.into_iter().zip(results.into_iter().chain(missing)) {
        cache_outcome(handle, lookup.job, result).await;
        // Fails if the user's request has timed out.
        let _ = lookup.reply.send(result);
    }
}
