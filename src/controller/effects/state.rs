//! The leader's writes to the state service.

use std::sync::Arc;

use crate::controller::commands::{Command, ControllerHandle};
use crate::controller::context::ControllerContext;
use crate::coordination::core::Input;
use crate::protocol::JobId;
use crate::protocol::job::JobOutcome;
use crate::storage::writer::{self, Write, WriteError, WriteOutcome};

/// Writes a batch on the condition that the leader key still has this token as its version, and
/// caches the outcomes of finished jobs. Steps down if the leader key has changed.
pub(super) async fn write(
    context: &Arc<ControllerContext>,
    handle: &ControllerHandle,
    token: u64,
    batch: Vec<Write>,
) -> Option<Input> {
    let lease_context = context.clone();
    let still_leads = move || lease_context.leadership.leads(token);
    let store = context.store.clone();
    let written = writer::write(store, token, batch, context.unix_ms(), still_leads).await;
    match written {
        Ok(results) => {
            for (job, outcome) in results.iter().filter_map(finished_job) {
                handle.send(Command::JobFinished { job, outcome }).await;
            }
            Some(Input::Written(results))
        }
        Err(WriteError::NotLeader) => {
            tracing::warn!(token, "leader key changed: stepping down");
            context.leadership.step_down(token);
            None
        }
    }
}

/// The job and its stored outcome, if the write was meant to finish a job and an outcome is stored.
fn finished_job((write, written): &(Write, WriteOutcome)) -> Option<(JobId, JobOutcome)> {
    let Write::Finish { job, done, .. } = write else {
        return None;
    };
    match written {
        WriteOutcome::Stored { .. } => Some((*job, writer::completed(*done))),
        WriteOutcome::JobAlreadyEnded(outcome) => Some((*job, *outcome)),
        WriteOutcome::Retry { .. } => None,
    }
}
