//! Jobs as users submit them and as the state service keeps them.

use borsh::{BorshDeserialize, BorshSerialize};
use serde_json::{Map, Value, json};

use crate::JobId;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Array,
    Gang,
    Service,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    Low,
    Normal,
    High,
    Production,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Phase {
    Pending,
    Running,
    Done,
    Cancelled,
}

impl Phase {
    pub fn is_terminal(self) -> bool {
        matches!(self, Self::Done | Self::Cancelled)
    }

    pub fn spelling(self) -> &'static str {
        match self {
            Self::Pending => "pending",
            Self::Running => "running",
            Self::Done => "done",
            Self::Cancelled => "withdrawn",
        }
    }
}

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Standing {
    pub phase: Phase,
    /// Tasks that are known to be completed; 0 of a job that was cancelled while nobody led.
    pub done: u32,
}

/// Amounts in thousandths, so that adding and taking away never drifts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Amounts {
    pub cpus: i64,
    pub gpus: i64,
    pub memory: i64,
}

impl Amounts {
    pub fn new(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let milli = |x: f64| (x * 1000.0).round() as i64;
        Self {
            cpus: milli(cpus),
            gpus: milli(gpus),
            memory: milli(memory_gb),
        }
    }

    pub fn fits_in(&self, room: &Self) -> bool {
        self.cpus <= room.cpus && self.gpus <= room.gpus && self.memory <= room.memory
    }

    pub fn add(&mut self, other: &Self) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory += other.memory;
    }

    pub fn sub(&mut self, other: &Self) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory -= other.memory;
    }

    /// The largest share that `self` takes of `whole`.
    pub fn share_of(&self, whole: &Self) -> f64 {
        let share = |a: i64, b: i64| if b > 0 { a as f64 / b as f64 } else { 0.0 };
        share(self.cpus, whole.cpus)
            .max(share(self.gpus, whole.gpus))
            .max(share(self.memory, whole.memory))
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    pub id: JobId,
    pub class: String,
    pub team: String,
    pub kind: Kind,
    pub priority: Priority,
    pub tasks: u32,
    pub needs: Amounts,
    pub image: String,
    pub image_gb: f64,
    pub machine_types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub estimate_s: f64,
    pub checkpoint_s: f64,
    pub save_s: f64,
    pub deadline_s: Option<f64>,
    /// Whether its tasks may be moved while they run. An addition of ours (`movable`)
    /// that other receivers ignore; `None`: as its class says.
    pub movable: Option<bool>,
}

/// Names longer than this are a mistake, and would not fit the stored record.
const MAX_NAME: usize = 200;
const MAX_TYPES: usize = 32;

struct Fields<'a>(&'a Map<String, Value>);

impl<'a> Fields<'a> {
    fn get(&self, name: &str) -> Option<&'a Value> {
        self.0.get(name).filter(|v| !v.is_null())
    }

    fn text(&self, name: &str) -> Result<String, String> {
        match self.get(name).and_then(Value::as_str) {
            Some(s) if !s.is_empty() && s.len() <= MAX_NAME => Ok(s.to_string()),
            Some(_) => Err(format!("{name}: must have 1 to {MAX_NAME} bytes")),
            None => Err(format!("{name}: missing or not a string")),
        }
    }

    fn optional_text(&self, name: &str) -> Result<Option<String>, String> {
        match self.get(name) {
            None => Ok(None),
            Some(_) => self.text(name).map(Some),
        }
    }

    fn flag(&self, name: &str) -> Result<bool, String> {
        Ok(self.optional_flag(name)?.unwrap_or(false))
    }

    fn optional_flag(&self, name: &str) -> Result<Option<bool>, String> {
        match self.get(name) {
            None => Ok(None),
            Some(Value::Bool(b)) => Ok(Some(*b)),
            Some(_) => Err(format!("{name}: not true or false")),
        }
    }

    fn number(&self, name: &str, high: f64) -> Result<Option<f64>, String> {
        match self.get(name) {
            None => Ok(None),
            Some(v) => match v.as_f64() {
                Some(x) if (0.0..=high).contains(&x) => Ok(Some(x)),
                Some(_) => Err(format!("{name}: must be between 0 and {high}")),
                None => Err(format!("{name}: not a number")),
            },
        }
    }

    fn required_number(&self, name: &str, high: f64) -> Result<f64, String> {
        self.number(name, high)?
            .ok_or_else(|| format!("{name}: missing"))
    }
}

impl JobSpec {
    /// Reads a submission; the error says which field is wrong.
    pub fn from_json(value: &Value) -> Result<Self, String> {
        let map = value.as_object().ok_or("not a JSON object")?;
        let f = Fields(map);
        let id = JobId::parse(&f.text("uid")?).ok_or("uid: not of the form wk-000412")?;
        let kind = match f.text("shape")?.as_str() {
            "sweep" => Kind::Array,
            "group" => Kind::Gang,
            "service" => Kind::Service,
            _ => return Err("shape: must be sweep, group or service".into()),
        };
        let priority = match f.text("rank")?.as_str() {
            "production" => Priority::Production,
            "urgent" => Priority::High,
            "normal" => Priority::Normal,
            "best_effort" => Priority::Low,
            _ => return Err("rank: must be production, urgent, normal or best_effort".into()),
        };
        let tasks = match f.get("shards").and_then(Value::as_u64) {
            Some(n) if (1..=100_000).contains(&n) => n as u32,
            _ => return Err("shards: must be an integer from 1 to 100000".into()),
        };
        let machine_types = match f.get("flavors") {
            None => None,
            Some(Value::Array(list)) if list.len() <= MAX_TYPES => Some(
                list.iter()
                    .map(|v| match v.as_str() {
                        Some(s) if s.len() <= MAX_NAME => Ok(s.to_string()),
                        _ => Err("flavors: not a list of names".to_string()),
                    })
                    .collect::<Result<Vec<_>, _>>()?,
            ),
            Some(_) => return Err(format!("flavors: not a list of at most {MAX_TYPES} names")),
        };
        let needs = Amounts::new(
            f.required_number("cpus", 1e6)?,
            f.number("gpus", 1e6)?.unwrap_or(0.0),
            f.required_number("memory_gb", 1e6)?,
        );
        Ok(Self {
            id,
            class: f.text("jobclass")?,
            team: f.text("owner")?,
            kind,
            priority,
            tasks,
            needs,
            image: f.text("bundle")?,
            image_gb: f.number("pull_gb", 1e6)?.unwrap_or(0.0),
            machine_types,
            zone: f.optional_text("region")?,
            one_zone: f.flag("one_zone")?,
            spread: f.flag("spread")?,
            spot: f.flag("preemptibles")?,
            estimate_s: f.number("runtime_s", 1e8)?.unwrap_or(0.0),
            checkpoint_s: f.number("snapshot_every_s", 1e8)?.unwrap_or(0.0),
            save_s: f.number("snapshot_s", 1e8)?.unwrap_or(0.0),
            deadline_s: f.number("due_s", 1e8)?,
            movable: f.optional_flag("movable")?,
        })
    }

    /// The stored form is the wire's, so that one parser reads both.
    pub fn to_json(&self) -> Value {
        let milli = |x: i64| x as f64 / 1000.0;
        let mut value = json!({
            "uid": self.id.to_string(), "jobclass": self.class, "owner": self.team,
            "shape": match self.kind { Kind::Array => "sweep", Kind::Gang => "group", Kind::Service => "service" },
            "rank": match self.priority {
                Priority::Production => "production", Priority::High => "urgent",
                Priority::Normal => "normal", Priority::Low => "best_effort" },
            "shards": self.tasks, "cpus": milli(self.needs.cpus), "gpus": milli(self.needs.gpus),
            "memory_gb": milli(self.needs.memory), "flavors": self.machine_types, "region": self.zone,
            "one_zone": self.one_zone, "spread": self.spread, "preemptibles": self.spot,
            "bundle": self.image, "pull_gb": self.image_gb, "runtime_s": self.estimate_s,
            "snapshot_every_s": self.checkpoint_s, "snapshot_s": self.save_s, "due_s": self.deadline_s,
        });
        if let Some(movable) = self.movable {
            value["movable"] = movable.into();
        }
        value
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sample() -> Value {
        json!({"uid":"wk-000412","jobclass":"train","owner":"vision","shape":"group","rank":"urgent",
            "shards":16,"cpus":8.0,"gpus":1.0,"memory_gb":64.0,"bundle":"img-07","pull_gb":6.2,
            "flavors":["g8"],"region":null,"one_zone":true,"spread":false,"preemptibles":true,
            "runtime_s":240.0,"snapshot_every_s":30.0,"snapshot_s":4.0,"due_s":900.0,"movable":false})
    }

    #[test]
    fn a_submission_survives_storage() {
        let spec = JobSpec::from_json(&sample()).expect("valid");
        assert_eq!(JobSpec::from_json(&spec.to_json()), Ok(spec));
    }

    #[test]
    fn bad_fields_are_named() {
        for (field, value) in [
            ("uid", json!("412")),
            ("shards", json!(0)),
            ("shards", json!(100_001)),
            ("shards", json!(2.5)),
            ("cpus", json!(-1.0)),
            ("cpus", json!("8")),
            ("cpus", json!(null)),
            ("memory_gb", json!(1e300)),
            ("rank", json!("high")),
            ("shape", json!(7)),
            ("flavors", json!("g8")),
            ("one_zone", json!("yes")),
            ("due_s", json!(-3)),
            ("movable", json!("no")),
        ] {
            let mut body = sample();
            body[field] = value.clone();
            let error = JobSpec::from_json(&body).expect_err(&format!("{field}={value}"));
            assert!(error.starts_with(field), "{error}");
        }
        assert!(JobSpec::from_json(&json!([1])).is_err());
    }
}
