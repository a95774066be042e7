//! Keys and values of the stored records.
//!
//! Controllers of other versions read these keys and values, so their format must not change.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use thiserror::Error;

use crate::protocol::JobId;
use crate::protocol::job::{InvalidField, JobOutcome, JobSpec, Phase};

/// The leader key. The version of the key is the leader's fencing token.
pub const LEADER_KEY: &str = "cf/leader";
/// The term marker. It is written together with every leader key, written once more by the new
/// leader, and never deleted. While it does not exist, no leader has ever requested a lease
/// extension. As long as its version is unchanged, no leader has been elected.
pub const TERM_MARKER_KEY: &str = "cf/founded";
/// Key prefix of the live jobs.
pub const JOBS_PREFIX: &str = "cf/j/";
/// Key prefix of the terminal states of jobs.
const TERMINAL_PREFIX: &str = "cf/t/";
/// Key prefix of the bitmaps of completed tasks.
pub const PROGRESS_PREFIX: &str = "cf/p/";
/// Key prefix of the pages of the worker registry.
pub const REGISTRY_PREFIX: &str = "cf/r/";
/// Key prefix of the drains.
pub const DRAINS_PREFIX: &str = "cf/d/";
/// Key prefix of the pages of the fencing record.
pub const FENCING_PREFIX: &str = "cf/s/";

/// The stored values of the phases that a job can end in.
const PHASE_DONE: &str = "done";
const PHASE_CANCELLED: &str = "withdrawn";

/// Returns the key of a live job.
pub fn job_key(job: JobId) -> String {
    format!("{JOBS_PREFIX}{job}")
}

/// Returns the key of a job's terminal state.
pub fn terminal_key(job: JobId) -> String {
    format!("{TERMINAL_PREFIX}{job}")
}

/// Returns the key of one chunk of a job's bitmap of completed tasks.
pub fn progress_key(job: JobId, chunk: u32) -> String {
    format!("{PROGRESS_PREFIX}{job}/{chunk:04}")
}

/// Returns the key of one page of the worker registry.
pub fn registry_key(page: u32) -> String {
    format!("{REGISTRY_PREFIX}{page:05}")
}

/// Returns the key of one page of the fencing record.
pub fn fencing_key(page: u32) -> String {
    format!("{FENCING_PREFIX}{page:05}")
}

/// Returns the key of a worker's drain.
pub fn drain_key(worker: &str) -> String {
    format!("{DRAINS_PREFIX}{worker}")
}

/// A stored record does not parse.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordError {
    /// A required field is missing.
    #[error("{0}: missing")]
    MissingField(&'static str),
    /// A field has a value that this version does not support.
    #[error("{field}: unknown value {value}")]
    UnknownValue {
        /// The field's name.
        field: &'static str,
        /// The stored value, as JSON.
        value: String,
    },
    /// The bitmap of done tasks is not hexadecimal.
    #[error("done: not a hexadecimal bitmap")]
    InvalidBitmap,
    /// The description of a job does not parse.
    #[error(transparent)]
    InvalidJob(#[from] InvalidField),
}

/// The record of a live job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRecord {
    /// The job as it was submitted.
    pub spec: JobSpec,
    /// When the job was accepted, in Unix time; 0 if the record does not contain it.
    pub accepted_ms: u64,
}

/// Returns the value stored for a live job: the job as submitted, and when it was accepted, in Unix
/// time.
pub fn job_record(spec: &JobSpec, accepted_ms: u64) -> Value {
    json!({"spec": spec.to_json(), "at": accepted_ms})
}

/// Parses a value written by [`job_record`].
pub fn parse_job_record(value: &Value) -> Result<JobRecord, RecordError> {
    let spec = value.get("spec").ok_or(RecordError::MissingField("spec"))?;
    let spec = JobSpec::from_json(spec)?;
    let accepted_ms = value.get("at").and_then(Value::as_u64).unwrap_or(0);
    Ok(JobRecord { spec, accepted_ms })
}

/// Returns the value stored for a job that has ended.
pub fn terminal_record(outcome: JobOutcome) -> Value {
    json!({"phase": outcome.phase.as_str(), "done": outcome.done})
}

/// Parses a value written by [`terminal_record`]. Records of earlier versions do not contain the
/// number of completed tasks; it is read as 0.
pub fn parse_terminal(value: &Value) -> Result<JobOutcome, RecordError> {
    let stored = value
        .get("phase")
        .ok_or(RecordError::MissingField("phase"))?;
    let phase = match stored.as_str() {
        Some(PHASE_DONE) => Phase::Done,
        Some(PHASE_CANCELLED) => Phase::Cancelled,
        _ => {
            return Err(RecordError::UnknownValue {
                field: "phase",
                value: stored.to_string(),
            });
        }
    };
    let done = value.get("done").and_then(Value::as_u64).unwrap_or(0);
    Ok(JobOutcome {
        phase,
        done: done as u32,
    })
}

/// A drain requested by an operator. No task instances are started on a draining worker.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// When the drain was requested, in Unix time.
    pub at_ms: u64,
    /// The deadline, in Unix time. Task instances still running on the worker are stopped then.
    #[serde(default)]
    pub until_ms: Option<u64>,
}

/// A worker that may hold task instances, with what the next leader needs to ask it for them
/// without waiting for its heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The address at which the worker accepts commands.
    pub address: String,
    /// The worker's machine type.
    pub machine_type: String,
    /// The worker's zone.
    pub zone: String,
    /// Whether the worker is a spot worker, which the cloud may reclaim.
    pub spot: bool,
    /// Images in the worker's cache, the most recently used last. The list may be outdated.
    #[serde(default)]
    pub images: Vec<String>,
}
