//! The description of a job, which has the same form on the wire and in the state service.

use serde_json::{Value, json};

use super::fields::{Fields, InvalidField};
use super::{Kind, Priority, Resources};
use crate::JobId;

/// The maximum number of tasks of a job.
const MAX_TASKS: u32 = 100_000;
/// The maximum amount of a resource, and the maximum size of an image in GB.
const MAX_AMOUNT: f64 = 1e6;
/// The maximum duration in seconds, about three years.
const MAX_DURATION_S: f64 = 1e8;

/// The description of a job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// Chosen by the user. A second submission with the same identifier is the same job.
    pub id: JobId,
    /// The name of the job's class. Settings may refer to it.
    pub class: String,
    /// The team whose quota and limits apply.
    pub team: String,
    /// How the tasks relate to each other.
    pub kind: Kind,
    /// The priority over other jobs.
    pub priority: Priority,
    /// The number of tasks, at least 1.
    pub tasks: u32,
    /// The resources that each task needs.
    pub needs: Resources,
    /// The image that a worker must fetch before it starts a task.
    pub image: String,
    /// The size of the image in GB.
    pub image_gb: f64,
    /// The machine types on which the tasks may run. `None` allows any.
    pub machine_types: Option<Vec<String>>,
    /// The zone in which the tasks must run. `None` allows any.
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    pub one_zone: bool,
    /// Whether each zone may run at most half of the tasks, rounded up.
    pub spread: bool,
    /// Whether the tasks may run on spot workers.
    pub spot: bool,
    /// The estimated running time of a task in seconds.
    pub estimated_runtime_s: f64,
    /// The time between two checkpoints of a task in seconds. 0 if tasks save no checkpoints.
    pub checkpoint_interval_s: f64,
    /// The time that a task takes to save a checkpoint, in seconds.
    pub checkpoint_save_s: f64,
    /// The time within which the job should be done, in seconds from its submission.
    pub deadline_s: Option<f64>,
    /// `Some(false)` forbids migrating running tasks. Otherwise the settings of the job's class
    /// decide. The field is an extension of the job format, which other receivers ignore.
    pub movable: Option<bool>,
}

/// A parsed description, and the error for the first field that it lacks as a submission.
struct ParsedSpec {
    spec: JobSpec,
    first_omitted: Option<InvalidField>,
}

impl JobSpec {
    /// Parses a submission.
    ///
    /// Only fields that may be null may be omitted. Other fields have no default, because a user
    /// who leaves one out has not chosen that value.
    ///
    /// # Errors
    /// Returns an error for one field that is missing or has an invalid value.
    pub fn submitted(value: &Value) -> Result<Self, InvalidField> {
        let parsed = Self::parse(value)?;
        match parsed.first_omitted {
            Some(omitted) => Err(omitted),
            None => Ok(parsed.spec),
        }
    }

    /// Parses a stored job. It may have been stored by an earlier version that required fewer
    /// fields.
    ///
    /// # Errors
    /// Returns an error for the first field with an invalid value.
    pub fn from_json(value: &Value) -> Result<Self, InvalidField> {
        Self::parse(value).map(|parsed| parsed.spec)
    }

    fn parse(value: &Value) -> Result<ParsedSpec, InvalidField> {
        let fields = Fields::new(value)?;
        // The order of evaluation matters: the error names the first invalid field in this order.
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

    /// Returns the stored form. It is the same as on the wire, so that one parser reads both.
    pub fn to_json(&self) -> Value {
        let mut value = json!({
            "uid": self.id.to_string(),
            "jobclass": self.class,
            "owner": self.team,
            "shape": self.kind.as_str(),
            "rank": self.priority.as_str(),
            "shards": self.tasks,
            "cpus": self.needs.fractional_cpus(),
            "gpus": self.needs.fractional_gpus(),
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
