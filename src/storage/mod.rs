//! What the state service keeps, and how a node reaches it.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `cf/leader` | who leads; its version is the token | the election |
//! | `cf/founded` | that there has been a leader, and the last token whose leader knew that it led | the election |
//! | `cf/j/{job}` | a live job's description | any node, create-only |
//! | `cf/t/{job}` | a job's final phase, kept for ever | the leader, or anyone while there is none |
//! | `cf/p/{job}/{chunk}` | which tasks are done, as a hexadecimal bitmap | the leader |
//! | `cf/d/{node}` | a drain that an operator has ordered | the leader |
//! | `cf/s/{page}` | silent workers, and when each was last answered | the leader |
//! | `cf/r/{page}` | the worker registry: workers that may have been given tasks | the leader |
//!
//! A job's end moves it from `cf/j/` to `cf/t/` in one transaction. A reader
//! therefore asks for `cf/j/` first and `cf/t/` second: whichever way it
//! races with the move, it finds one of the two.

pub mod bitmap;
pub mod recovery;
pub mod store;
pub mod writer;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::protocol::JobId;
use crate::protocol::job::{JobOutcome, JobSpec, Phase};

pub const LEADER: &str = "cf/leader";
/// Written with every leader key, once more by its leader, and never removed: as long as it is
/// missing, no leader has ever asked anyone to vouch; while its version stays, none is elected.
pub const FOUNDED: &str = "cf/founded";
pub const JOBS: &str = "cf/j/";
pub const PROGRESS: &str = "cf/p/";
pub const REGISTRY: &str = "cf/r/";
pub const DRAINS: &str = "cf/d/";
pub const FENCING: &str = "cf/s/";

pub fn job_key(job: JobId) -> String {
    format!("{JOBS}{job}")
}

pub fn terminal_key(job: JobId) -> String {
    format!("cf/t/{job}")
}

pub fn progress_key(job: JobId, chunk: u32) -> String {
    format!("{PROGRESS}{job}/{chunk:04}")
}

pub fn registry_key(page: u32) -> String {
    format!("{REGISTRY}{page:05}")
}

pub fn fencing_key(page: u32) -> String {
    format!("{FENCING}{page:05}")
}

pub fn drain_key(node: &str) -> String {
    format!("{DRAINS}{node}")
}

/// A live job's record: the submission and when it was accepted (time of day).
pub fn job_record(spec: &JobSpec, accepted_ms: u64) -> Value {
    json!({"spec": spec.to_json(), "at": accepted_ms})
}

pub fn parse_job_record(value: &Value) -> Result<(JobSpec, u64), String> {
    let spec = value.get("spec").ok_or("spec: missing")?;
    let spec = JobSpec::from_json(spec).map_err(|error| error.to_string())?;
    Ok((spec, value.get("at").and_then(Value::as_u64).unwrap_or(0)))
}

pub fn terminal_record(end: JobOutcome) -> Value {
    json!({"phase": end.phase.spelling(), "done": end.done})
}

/// Records of earlier versions tell no number of tasks.
pub fn parse_terminal(value: &Value) -> Option<JobOutcome> {
    let phase = match value.get("phase")?.as_str()? {
        "done" => Phase::Done,
        "withdrawn" => Phase::Cancelled,
        _ => return None,
    };
    let done = value.get("done").and_then(Value::as_u64).unwrap_or(0);
    Some(JobOutcome {
        phase,
        done: done as u32,
    })
}

/// A drain as operators have ordered it: nothing new starts on the node.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// When it was ordered, by the time of day.
    pub at_ms: u64,
    /// When what still runs there is stopped in order, by the time of day.
    #[serde(default)]
    pub until_ms: Option<u64>,
}

/// A drain as a new leader finds it.
#[derive(Debug, Clone)]
pub struct StoredDrain {
    pub node: String,
    /// `None` if the record does not parse: the node drains, without a deadline.
    pub record: Option<DrainRecord>,
    /// How long until the deadline, by the time of day; negative once it has passed.
    pub left_s: Option<f64>,
    pub version: u64,
}

/// A worker that may have been given tasks: enough for the next leader to
/// ask it at once what it holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    pub address: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// Images it is thought to have, most recently used last. Only a hint.
    #[serde(default)]
    pub images: Vec<String>,
}

/// What a new leader starts from.
#[derive(Debug, Default)]
pub struct Snapshot {
    pub jobs: Vec<StoredJob>,
    /// Bitmap chunks with their versions.
    pub progress: Vec<(JobId, u32, Vec<u8>, u64)>,
    pub registry: Vec<StoredRegistryPage>,
    pub drains: Vec<StoredDrain>,
    pub fencing: Vec<StoredFencingPage>,
    /// Until when workers may have been answered on this node's word, by an earlier leader or
    /// by itself when it led, on the clock of the core.
    pub vote_binding_until: f64,
}

impl Snapshot {
    pub fn workers(&self) -> usize {
        self.registry
            .iter()
            .flat_map(|p| &p.workers)
            .map(Vec::len)
            .sum()
    }
}

/// One stored page of the record of silent workers.
#[derive(Debug)]
pub struct StoredFencingPage {
    pub page: u32,
    pub version: u64,
    /// How long ago each was last answered at least, in ms; `None` if it does not parse.
    pub ages: Option<Vec<(String, u64)>>,
}

/// One stored page of the worker registry.
#[derive(Debug)]
pub struct StoredRegistryPage {
    pub page: u32,
    pub version: u64,
    /// None if it does not parse.
    pub workers: Option<Vec<(String, WorkerRecord)>>,
}

#[derive(Debug, Clone)]
pub struct StoredJob {
    pub spec: JobSpec,
    pub accepted_ms: u64,
    /// How long ago that was, by the time of day.
    pub age_s: f64,
    pub version: u64,
}
