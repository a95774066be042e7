//! The description of a job, on the wire and in the state service.

use serde_json::{Value, json};

use super::fields::{Fields, InvalidField};
use super::{Kind, Priority, Resources};
use crate::JobId;

/// Most tasks that a job may have.
const MAX_TASKS: u32 = 100_000;
/// Largest amount of a resource, and largest image in GB.
const MAX_AMOUNT: f64 = 1e6;
/// Longest duration in seconds, some three years.
const MAX_DURATION_S: f64 = 1e8;

/// What a user wants to be run.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// Chosen by the user; a second submission under it is the same job.
    pub id: JobId,
    /// The name of the job's class, to which the settings may refer.
    pub class: String,
    /// The team whose quota and limits apply.
    pub team: String,
    /// How its tasks relate to each other.
    pub kind: Kind,
    /// Which jobs it goes before.
    pub priority: Priority,
    /// How many tasks the job has, at least 1.
    pub tasks: u32,
    /// What each of its tasks needs.
    pub needs: Resources,
    /// The image that a worker has to have fetched before it starts a task.
    pub image: String,
    /// The size of the image in GB.
    pub image_gb: f64,
    /// The machine types its tasks may run on; `None`: any.
    pub machine_types: Option<Vec<String>>,
    /// The zone its tasks must run in; `None`: any.
    pub zone: Option<String>,
    /// All tasks must run in one zone.
    pub one_zone: bool,
    /// No zone may run more than half of the tasks, rounded up.
    pub spread: bool,
    /// The tasks may run on spot workers.
    pub spot: bool,
    /// How long a task is estimated to run, in seconds.
    pub estimated_runtime_s: f64,
    /// Time between a task's checkpoints in seconds; 0: it makes none.
    pub checkpoint_interval_s: f64,
    /// How long a task takes to save a checkpoint, in seconds.
    pub checkpoint_save_s: f64,
    /// When the job should be done, in seconds from its submission.
    pub deadline_s: Option<f64>,
    /// Whether its tasks may be migrated while they run. An addition of ours (`movable`) that other
    /// receivers ignore; `None`: as its class says.
    pub movable: Option<bool>,
}

/// A description that was read, and what it would lack as a submission.
struct ParsedSpec {
    spec: JobSpec,
    first_omitted: Option<InvalidField>,
}

impl JobSpec {
    /// Reads a submission.
    ///
    /// Only what may be null may be omitted: a user who leaves out another field is not given a
    /// default that they never chose.
    ///
    /// # Errors
    /// The first field that is missing or has a value that is not allowed.
    pub fn submitted(value: &Value) -> Result<Self, InvalidField> {
        let parsed = Self::parse(value)?;
        match parsed.first_omitted {
            Some(omitted) => Err(omitted),
            None => Ok(parsed.spec),
        }
    }

    /// Reads a job as it is stored: by this version, or by an earlier one that asked for less.
    ///
    /// # Errors
    /// The first field with a value that is not allowed.
    pub fn from_json(value: &Value) -> Result<Self, InvalidField> {
        Self::parse(value).map(|parsed| parsed.spec)
    }

    fn parse(value: &Value) -> Result<ParsedSpec, InvalidField> {
        let fields = Fields::of(value)?;
        // Evaluated from top to bottom: the error is about the first field in this order.
        let id = parse_id(&fields)?;
        let kind = parse_kind(&fields)?;
        let priority = parse_priority(&fields)?;
        let tasks = fields.count("shards", 1..=MAX_TASKS)?;
        let machine_types = fields.optional_names("flavors")?;
        let needs = Resources::new(
            fields.number("cpus", MAX_AMOUNT)?,
            fields.number_or_zero("gpus", MAX_AMOUNT)?,
            fields.number("memory_gb", MAX_AMOUNT)?,
        );
        let spec = Self {
            id,
            class: fields.name("jobclass")?,
            team: fields.name("owner")?,
            kind,
            priority,
            tasks,
            needs,
            image: fields.name("bundle")?,
            image_gb: fields.number_or_zero("pull_gb", MAX_AMOUNT)?,
            machine_types,
            zone: fields.optional_name("region")?,
            one_zone: fields.flag_or_false("one_zone")?,
            spread: fields.flag_or_false("spread")?,
            spot: fields.flag_or_false("preemptibles")?,
            estimated_runtime_s: fields.number_or_zero("runtime_s", MAX_DURATION_S)?,
            checkpoint_interval_s: fields.number_or_zero("snapshot_every_s", MAX_DURATION_S)?,
            checkpoint_save_s: fields.number_or_zero("snapshot_s", MAX_DURATION_S)?,
            deadline_s: fields.optional_number("due_s", MAX_DURATION_S)?,
            movable: fields.optional_flag("movable")?,
        };
        Ok(ParsedSpec {
            spec,
            first_omitted: fields.first_omitted(),
        })
    }

    /// The stored form, which is the wire's, so that one parser reads both.
    pub fn to_json(&self) -> Value {
        let mut value = json!({
            "uid": self.id.to_string(),
            "jobclass": self.class,
            "owner": self.team,
            "shape": self.kind.as_str(),
            "rank": self.priority.as_str(),
            "shards": self.tasks,
            "cpus": self.needs.whole_cpus(),
            "gpus": self.needs.whole_gpus(),
            "memory_gb": self.needs.memory_gb(),
            "flavors": self.machine_types,
            "region": self.zone,
            "one_zone": self.one_zone,
            "spread": self.spread,
            "preemptibles": self.spot,
            "bundle": self.image,
            "pull_gb": self.image_gb,
            "runtime_s": self.estimated_runtime_s,
            "snapshot_every_s": self.checkpoint_interval_s,
            "snapshot_s": self.checkpoint_save_s,
            "due_s": self.deadline_s,
        });
        if let Some(movable) = self.movable {
            value["movable"] = movable.into();
        }
        value
    }
}

fn parse_id(fields: &Fields<'_>) -> Result<JobId, InvalidField> {
    let text = fields.name("uid")?;
    JobId::parse(&text).ok_or_else(|| fields.invalid("uid", "of the form wk-000412"))
}

fn parse_kind(fields: &Fields<'_>) -> Result<Kind, InvalidField> {
    let text = fields.name("shape")?;
    Kind::parse(&text).ok_or_else(|| fields.invalid("shape", "sweep, group or service"))
}

fn parse_priority(fields: &Fields<'_>) -> Result<Priority, InvalidField> {
    let text = fields.name("rank")?;
    let allowed = "production, urgent, normal or best_effort";
    Priority::parse(&text).ok_or_else(|| fields.invalid("rank", allowed))
}
