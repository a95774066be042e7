//! Keys and values of the stored records.
//!
//! Every spelling here is read by the controllers of other versions: none may change.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use thiserror::Error;

use crate::protocol::JobId;
use crate::protocol::job::{InvalidField, JobOutcome, JobSpec, Phase};

/// The leader key. Its version is the leader's fencing token.
pub const LEADER: &str = "cf/leader";
/// The term marker: written with every leader key, once more by its leader, and never removed.
/// As long as it is missing, no leader has ever asked for a lease extension; while its version
/// stays, no leader is elected.
pub const TERM_MARKER: &str = "cf/founded";
/// Prefix of the live jobs.
pub const JOBS: &str = "cf/j/";
/// Prefix of the terminal states of jobs.
const TERMINAL: &str = "cf/t/";
/// Prefix of the bitmaps of done tasks.
pub const PROGRESS: &str = "cf/p/";
/// Prefix of the pages of the worker registry.
pub const REGISTRY: &str = "cf/r/";
/// Prefix of the drains.
pub const DRAINS: &str = "cf/d/";
/// Prefix of the pages of the fencing record.
pub const FENCING: &str = "cf/s/";

/// Stored spellings of the phases that a job can end in.
const PHASE_DONE: &str = "done";
const PHASE_CANCELLED: &str = "withdrawn";

/// The key of a live job.
pub fn job_key(job: JobId) -> String {
    format!("{JOBS}{job}")
}

/// The key of a job's terminal state.
pub fn terminal_key(job: JobId) -> String {
    format!("{TERMINAL}{job}")
}

/// The key of one chunk of a job's bitmap of done tasks.
pub fn progress_key(job: JobId, chunk: u32) -> String {
    format!("{PROGRESS}{job}/{chunk:04}")
}

/// The key of one page of the worker registry.
pub fn registry_key(page: u32) -> String {
    format!("{REGISTRY}{page:05}")
}

/// The key of one page of the fencing record.
pub fn fencing_key(page: u32) -> String {
    format!("{FENCING}{page:05}")
}

/// The key of a worker's drain.
pub fn drain_key(worker: &str) -> String {
    format!("{DRAINS}{worker}")
}

/// Why a stored record cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RecordError {
    /// A field that every record of the kind has is not there.
    #[error("{0}: missing")]
    MissingField(&'static str),
    /// A field has a value that this version does not know.
    #[error("{field}: unknown value {value}")]
    UnknownValue {
        /// The field's name.
        field: &'static str,
        /// What is stored there, as JSON.
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
    /// When it was accepted, by the time of day; 0 if the record lacks it.
    pub accepted_ms: u64,
}

/// The value stored for a live job: the submission, and when it was accepted (time of day).
pub fn job_record(spec: &JobSpec, accepted_ms: u64) -> Value {
    json!({"spec": spec.to_json(), "at": accepted_ms})
}

/// Reads what [`job_record`] wrote.
pub fn parse_job_record(value: &Value) -> Result<JobRecord, RecordError> {
    let spec = value.get("spec").ok_or(RecordError::MissingField("spec"))?;
    let spec = JobSpec::from_json(spec)?;
    let accepted_ms = value.get("at").and_then(Value::as_u64).unwrap_or(0);
    Ok(JobRecord { spec, accepted_ms })
}

/// The value stored for a job that has ended.
pub fn terminal_record(outcome: JobOutcome) -> Value {
    json!({"phase": outcome.phase.spelling(), "done": outcome.done})
}

/// Reads what [`terminal_record`] wrote. Records of earlier versions lack the number of tasks.
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

/// A drain as an operator has ordered it: no task instance is started on the worker.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// When it was ordered, by the time of day.
    pub at_ms: u64,
    /// The deadline after which what still runs there is stopped, by the time of day.
    #[serde(default)]
    pub until_ms: Option<u64>,
}

/// A worker that may have been given tasks: enough for the next leader to ask it at once which
/// task instances it holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Where the worker takes commands.
    pub address: String,
    /// Its machine type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
    /// Images in its cache, the most recently used last. Only a hint.
    #[serde(default)]
    pub images: Vec<String>,
}
