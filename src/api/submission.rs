//! Submissions of jobs.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};

use super::error::ApiError;
use super::{Api, SUBMIT_DEADLINE, outcome_answer};
use crate::controller::commands::Command;
use crate::protocol::JobId;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobSpec, Kind, Phase, Priority};
use crate::protocol::state::{Condition, Transaction};
use crate::storage::store::{StoreError, put};
use crate::storage::{job_key, job_record, terminal_key};
use crate::transport::rate_limiter::Urgency;
use crate::transport::server::ApiResponse;

/// Writes may be queued for so long before a low-priority submission is refused.
const LOW_PRIORITY_BACKLOG: Duration = Duration::from_millis(500);
/// The same for any other submission. Half of its deadline: else the wait would be in vain.
const BACKLOG: Duration = Duration::from_millis(SUBMIT_DEADLINE.as_millis() as u64 / 2);
/// How often a transaction is sent whose outcome is unknown.
const STORE_ATTEMPTS: usize = 2;
/// A limit of 0.3 CPUs allows three tasks of 0.1.
const LIMIT_TOLERANCE: f64 = 1e-9;

/// Why a job could never run, by the settings and the machine types of now.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(super) enum CannotRun {
    #[error("owner: unknown team {0:?}")]
    UnknownTeam(String),
    #[error("a task fits no allowed machine type")]
    NoMachineType,
    #[error("{resource}: more than the team's limit of {limit}")]
    OverTeamLimit { resource: &'static str, limit: f64 },
}

impl Api {
    /// Stores a submission, unless it is invalid, could never run, or is known already.
    pub(super) async fn submit(&self, body: &[u8]) -> Result<ApiResponse, ApiError> {
        let value: Value = serde_json::from_slice(body)?;
        let spec = JobSpec::submitted(&value)?;
        let machine_types = self.machine_types().await?;
        if let Err(reason) = self.check_runnable(&spec, &machine_types) {
            return self.answer_unrunnable(spec.id, reason).await;
        }
        let record = job_record(&spec, self.context.unix_ms());
        if record.to_string().len() > self.max_value_bytes() {
            return Err(ApiError::SubmissionTooLarge);
        }
        self.check_write_backlog(spec.priority)?;
        self.store_submission(&spec, record).await
    }

    async fn machine_types(&self) -> Result<Arc<Vec<MachineType>>, ApiError> {
        let types = self
            .handle
            .ask(|reply| Command::GetMachineTypes { reply })
            .await;
        types.flatten().ok_or(ApiError::MachineTypesUnknown)
    }

    fn check_runnable(
        &self,
        spec: &JobSpec,
        machine_types: &[MachineType],
    ) -> Result<(), CannotRun> {
        let teams = &self.context.settings.cluster.teams;
        let team = teams
            .iter()
            .find(|team| team.name == spec.team)
            .ok_or_else(|| CannotRun::UnknownTeam(spec.team.clone()))?;
        if !machine_types.iter().any(|t| is_allowed(spec, t)) {
            return Err(CannotRun::NoMachineType);
        }
        // The tasks of an array may run one after another.
        let at_once = match spec.kind {
            Kind::Array => 1.0,
            Kind::Gang | Kind::Service => f64::from(spec.tasks),
        };
        for (resource, need, limit) in [
            ("cpus", spec.needs.whole_cpus(), team.cpus_max),
            ("gpus", spec.needs.whole_gpus(), team.gpus_max),
        ] {
            if limit > 0.0 && need * at_once > limit + LIMIT_TOLERANCE {
                return Err(CannotRun::OverTeamLimit { resource, limit });
            }
        }
        Ok(())
    }

    /// A job that was accepted once is known, whatever has changed since.
    async fn answer_unrunnable(
        &self,
        id: JobId,
        reason: CannotRun,
    ) -> Result<ApiResponse, ApiError> {
        match self.context.store.outcome(id).await {
            Ok(None) => Err(reason.into()),
            Ok(Some(outcome)) => Ok(outcome_answer(id, outcome)),
            Err(_) => Err(ApiError::StateServiceUnavailable),
        }
    }

    /// The largest value that the state service stores, in bytes.
    fn max_value_bytes(&self) -> usize {
        (self.context.settings.cluster.state.value_kb * 1024.0) as usize
    }

    /// Where writes are scarce, low-priority submissions are refused at once, and the others
    /// before their wait would be in vain.
    fn check_write_backlog(&self, priority: Priority) -> Result<(), ApiError> {
        let backlog = self.context.store.write_backlog();
        let allowed = match priority {
            Priority::Low => LOW_PRIORITY_BACKLOG,
            _ => BACKLOG,
        };
        if backlog > allowed {
            return Err(ApiError::WriteBacklog { backlog });
        }
        Ok(())
    }

    async fn store_submission(
        &self,
        spec: &JobSpec,
        record: Value,
    ) -> Result<ApiResponse, ApiError> {
        let id = spec.id;
        let urgency = match spec.priority {
            Priority::Low => Urgency::Low,
            _ => Urgency::Normal,
        };
        let transaction = Transaction {
            conditions: vec![
                Condition::absent(job_key(id)),
                Condition::absent(terminal_key(id)),
            ],
            changes: vec![put(job_key(id), record)],
        };
        for _ in 0..STORE_ATTEMPTS {
            match self.context.store.commit(&transaction, urgency, true).await {
                Ok(_) => return Ok(accepted(id)),
                // Known already, perhaps from an attempt of ours whose answer was lost.
                Err(StoreError::Conflict(_)) => return self.answer_lookup(id).await,
                Err(StoreError::Unknown(_)) => {}
                Err(_) => break,
            }
        }
        Err(ApiError::NotStored)
    }
}

/// Whether a task of the job may run on a worker of this type on which nothing else runs.
fn is_allowed(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let types = spec.machine_types.as_ref();
    let zone = spec.zone.as_ref();
    types.is_none_or(|types| types.contains(&machine_type.name))
        && zone.is_none_or(|zone| machine_type.zones.contains(zone))
        && spec.needs.fits_in(&machine_type.whole)
}

fn accepted(id: JobId) -> ApiResponse {
    let body = json!({"uid": id.to_string(), "phase": Phase::Pending.spelling()});
    ApiResponse::json(201, &body)
}
