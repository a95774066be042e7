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
pub struct JobOutcome {
    pub phase: Phase,
    /// Tasks that are known to be completed; 0 of a job that was cancelled while nobody led.
    pub done: u32,
}

/// Amounts in thousandths, so that adding and taking away never drifts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Resources {
    pub cpus: i64,
    pub gpus: i64,
    pub memory: i64,
}

impl Resources {
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
    pub needs: Resources,
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
/// Characters of what was found that an error repeats.
const MAX_QUOTED: usize = 60;
/// What a submission has to say besides: only what may be null may be omitted, and without these
/// one was once accepted with values of our own. Records that are stored already are read without
/// them.
const STATED: [(&str, &str); 8] = [
    ("gpus", A_NUMBER),
    ("pull_gb", A_NUMBER),
    ("one_zone", A_FLAG),
    ("spread", A_FLAG),
    ("preemptibles", A_FLAG),
    ("runtime_s", A_NUMBER),
    ("snapshot_every_s", A_NUMBER),
    ("snapshot_s", A_NUMBER),
];
const A_NUMBER: &str = "a number from 0";
const A_FLAG: &str = "true or false";

struct Fields<'a>(&'a Map<String, Value>);

/// Names the field, what was found there and what is allowed.
fn bad(name: &str, found: Option<&Value>, allowed: &str) -> String {
    let found = found.map_or("nothing".to_string(), |v| {
        let mut text = v.to_string();
        if let Some((end, _)) = text.char_indices().nth(MAX_QUOTED) {
            text.truncate(end);
            text.push('…');
        }
        text
    });
    format!("{name}: found {found}, allowed is {allowed}")
}

impl<'a> Fields<'a> {
    fn get(&self, name: &str) -> Option<&'a Value> {
        self.0.get(name).filter(|v| !v.is_null())
    }

    fn bad(&self, name: &str, allowed: &str) -> String {
        bad(name, self.0.get(name), allowed)
    }

    fn text(&self, name: &str) -> Result<String, String> {
        let text = self.get(name).and_then(Value::as_str);
        text.filter(|s| !s.is_empty() && s.len() <= MAX_NAME)
            .map(str::to_string)
            .ok_or_else(|| self.bad(name, &format!("a string of 1 to {MAX_NAME} bytes")))
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
            Some(_) => Err(self.bad(name, "true or false")),
        }
    }

    fn number(&self, name: &str, high: f64) -> Result<Option<f64>, String> {
        match self.get(name) {
            None => Ok(None),
            Some(v) => {
                let in_range = v.as_f64().filter(|x| (0.0..=high).contains(x));
                let allowed = || self.bad(name, &format!("a number from 0 to {high}"));
                in_range.map(Some).ok_or_else(allowed)
            }
        }
    }

    fn required_number(&self, name: &str, high: f64) -> Result<f64, String> {
        self.number(name, high)?
            .ok_or_else(|| self.bad(name, &format!("a number from 0 to {high}")))
    }
}

impl JobSpec {
    /// Reads a submission; the error says which field is wrong, what it has and what is allowed.
    pub fn submitted(value: &Value) -> Result<Self, String> {
        let spec = Self::from_json(value)?;
        let missing = STATED.iter().find(|(name, _)| value[name].is_null());
        match missing {
            Some((name, allowed)) => Err(bad(name, value.get(name), allowed)),
            None => Ok(spec),
        }
    }

    /// Reads a job as it is stored: by this version, or by an earlier one that asked for less.
    pub fn from_json(value: &Value) -> Result<Self, String> {
        let map = value
            .as_object()
            .ok_or_else(|| bad("description", Some(value), "a JSON object"))?;
        let f = Fields(map);
        let id =
            JobId::parse(&f.text("uid")?).ok_or_else(|| f.bad("uid", "of the form wk-000412"))?;
        let kind = match f.text("shape")?.as_str() {
            "sweep" => Kind::Array,
            "group" => Kind::Gang,
            "service" => Kind::Service,
            _ => return Err(f.bad("shape", "sweep, group or service")),
        };
        let priority = match f.text("rank")?.as_str() {
            "production" => Priority::Production,
            "urgent" => Priority::High,
            "normal" => Priority::Normal,
            "best_effort" => Priority::Low,
            _ => return Err(f.bad("rank", "production, urgent, normal or best_effort")),
        };
        let tasks = match f.get("shards").and_then(Value::as_u64) {
            Some(n) if (1..=100_000).contains(&n) => n as u32,
            _ => return Err(f.bad("shards", "an integer from 1 to 100000")),
        };
        let names = format!("a list of at most {MAX_TYPES} names");
        let machine_types = match f.get("flavors") {
            None => None,
            Some(Value::Array(list)) if list.len() <= MAX_TYPES => Some(
                list.iter()
                    .map(|v| match v.as_str() {
                        Some(s) if s.len() <= MAX_NAME => Ok(s.to_string()),
                        _ => Err(f.bad("flavors", &names)),
                    })
                    .collect::<Result<Vec<_>, _>>()?,
            ),
            Some(_) => return Err(f.bad("flavors", &names)),
        };
        let needs = Resources::new(
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
