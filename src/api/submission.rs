//! Submission of jobs.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};

use super::error::ApiError;
use super::{Api, SUBMIT_DEADLINE, outcome_response};
use crate::controller::commands::Command;
use crate::protocol::JobId;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobSpec, Kind, Phase, Priority};
use crate::protocol::state::{Condition, Transaction};
use crate::storage::store::{StoreError, put};
use crate::storage::{job_key, job_record, terminal_key};
use crate::transport::rate_limiter::Urgency;
use crate::transport::server::ApiResponse;

/// The longest backlog of writes at which a low-priority submission is accepted.
const MAX_LOW_PRIORITY_BACKLOG: Duration = Duration::from_millis(500);
/// The longest backlog of writes at which any other submission is accepted. It is half of the
/// submission's deadline: after a longer wait it would probably not be stored in time.
const MAX_BACKLOG: Duration = Duration::from_millis(SUBMIT_DEADLINE.as_millis() as u64 / 2);
/// How many times a transaction is sent if its outcome is unknown.
const STORE_ATTEMPTS: usize = 2;
/// The tolerance of limits for rounding errors: a limit of 0.3 CPUs allows three tasks of 0.1.
const LIMIT_TOLERANCE: f64 = 1e-9;

/// Why a job could never run with the current settings and machine types.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(super) enum Unschedulable {
    #[error("owner: unknown team {0:?}")]
    UnknownTeam(String),
    #[error("a task fits no allowed machine type")]
    NoFittingMachineType,
    #[error("{resource}: more than the team's limit of {limit}")]
    OverTeamLimit { resource: &'static str, limit: f64 },
}

impl Api {
    /// Stores a submission, unless it is invalid, could never run, or has been stored already.
    pub(super) async fn submit(&self, body: &[u8]) -> Result<ApiResponse, ApiError> {
        let value: Value = serde_json::from_slice(body)?;
        let spec = JobSpec::submitted(&value)?;
        let machine_types = self.machine_types().await?;
        if let Err(reason) = self.check_schedulable(&spec, &machine_types) {
            return self.answer_unschedulable(spec.id, reason).await;
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

    fn check_schedulable(
        &self,
        spec: &JobSpec,
        machine_types: &[MachineType],
    ) -> Result<(), Unschedulable> {
        let teams = &self.context.settings.cluster.teams;
        let team = teams
            .iter()
            .find(|team| team.name == spec.team)
            .ok_or_else(|| Unschedulable::UnknownTeam(spec.team.clone()))?;
        if !machine_types.iter().any(|t| is_allowed(spec, t)) {
            return Err(Unschedulable::NoFittingMachineType);
        }
        // The tasks of an array may run one after another, so only one has to fit the limit.
        let concurrent_tasks = match spec.kind {
            Kind::Array => 1.0,
            Kind::Gang | Kind::Service => f64::from(spec.tasks),
        };
        for (resource, need, limit) in [
            ("cpus", spec.needs.fractional_cpus(), team.cpus_max),
            ("gpus", spec.needs.fractional_gpus(), team.gpus_max),
        ] {
            if limit > 0.0 && need * concurrent_tasks > limit + LIMIT_TOLERANCE {
                return Err(Unschedulable::OverTeamLimit { resource, limit });
            }
        }
        Ok(())
    }

    /// Answers the submission of a job that could never run. If the job was accepted before, the
    /// answer is its state, even if the settings or machine types have changed since.
    async fn answer_unschedulable(
        &self,
        id: JobId,
        reason: Unschedulable,
    ) -> Result<ApiResponse, ApiError> {
        match self.context.store.job_outcome(id).await {
            Ok(None) => Err(reason.into()),
            Ok(Some(outcome)) => Ok(outcome_response(id, outcome)),
            Err(_) => Err(ApiError::StateServiceUnavailable),
        }
    }

    /// The largest value that the state service stores, in bytes.
    fn max_value_bytes(&self) -> usize {
        (self.context.settings.cluster.state.value_kb * 1024.0) as usize
    }

    /// Refuses a submission if the backlog of writes is too long. Submissions of low priority are
    /// refused at a shorter backlog than others.
    fn check_write_backlog(&self, priority: Priority) -> Result<(), ApiError> {
        let backlog = self.context.store.write_backlog();
        let max_backlog = match priority {
            Priority::Low => MAX_LOW_PRIORITY_BACKLOG,
            _ => MAX_BACKLOG,
        };
        if backlog > max_backlog {
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
                Ok(_) => return Ok(accepted_response(id)),
                // The job is stored already, possibly by an earlier attempt whose answer was lost.
                Err(StoreError::Conflict(_)) => return self.answer_lookup(id).await,
                Err(StoreError::Unknown(_)) => {}
                Err(_) => break,
            }
        }
        Err(ApiError::NotStored)
    }
}

/// Whether a task of the job may run on an otherwise empty worker of this type.
fn is_allowed(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let types = spec.machine_types.as_ref();
    let zone = spec.zone.as_ref();
    types.is_none_or(|types| types.contains(&machine_type.name))
        && zone.is_none_or(|zone| machine_type.zones.contains(zone))
        && spec.needs.fits_in(&machine_type.capacity)
}

fn accepted_response(id: JobId) -> ApiResponse {
    let body = json!({"uid": id.to_string(), "phase": Phase::Pending.as_str()});
    ApiResponse::json(201, &body)
}
