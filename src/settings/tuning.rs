//! The operators' settings file.

use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use super::{SettingsError, read};

/// Operators' own settings. An unknown name is an error, so that a typing
/// mistake does not silently leave a default in force.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Bids one batch may make before the greedy assignment takes over.
    pub auction_cap: u32,
    /// Headroom at which the bid gate is half open.
    #[serde(rename = "headroom_h0")]
    pub headroom_midpoint: f64,
    /// Headroom lost per second of heartbeat age.
    #[serde(rename = "headroom_kappa")]
    pub headroom_decay_per_s: f64,
    /// CPUs per priced slot.
    pub slot_cpus: f64,
    /// Share of the nominal price at which workers that are already up are
    /// priced in bids.
    #[serde(rename = "owned_price")]
    pub running_price_factor: f64,
    /// Expected seconds between losses of a spot worker; prices risk in bids.
    pub spot_mean_life_s: f64,
    /// Seconds an empty worker is kept before it is scaled in.
    #[serde(rename = "idle_return_s")]
    pub scale_in_idle_s: f64,
    /// The same while no job is unfinished.
    #[serde(rename = "deserted_return_s")]
    pub scale_in_idle_no_jobs_s: f64,
    /// Most workers the fleet may hold, 0 for no limit of our own.
    pub fleet_max: u32,
    /// Length of the leader's lease.
    pub leader_ttl_ms: u64,
    /// Whether the workers are sharded, so that each controller serves a part of them.
    #[serde(rename = "shares")]
    pub sharding: Switch,
    /// Frees whole workers by migrating tasks.
    pub defragmentation: Defragmentation,
    /// Settings of classes of jobs, by the name of the class.
    pub class: BTreeMap<String, Class>,
    /// Switches the operators' endpoints on.
    pub operators: Option<Operators>,
    /// How log lines are written.
    pub log: Log,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            auction_cap: 4000,
            headroom_midpoint: 0.05,
            headroom_decay_per_s: 0.01,
            slot_cpus: 1.0,
            running_price_factor: 1.0,
            spot_mean_life_s: 900.0,
            scale_in_idle_s: 240.0,
            scale_in_idle_no_jobs_s: 25.0,
            fleet_max: 0,
            leader_ttl_ms: 2500,
            sharding: Switch::On,
            defragmentation: Defragmentation::default(),
            class: BTreeMap::new(),
            operators: None,
            log: Log::default(),
        }
    }
}

/// Whether something is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Switch {
    /// It is.
    On,
    /// It is not.
    Off,
}

/// The block `defragmentation`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Defragmentation {
    /// Whether tasks are migrated to make room for whole-worker tasks that wait. A drain
    /// migrates tasks either way, within the same limits.
    pub enabled: bool,
    /// Migrations in progress at once.
    #[serde(rename = "most_moves")]
    pub max_migrations: u32,
    /// A task without checkpoints is migrated only while it would lose less work than this.
    #[serde(rename = "lost_work_s")]
    pub max_lost_work_s: f64,
    /// The same task is not migrated again within this time.
    #[serde(rename = "again_after_s")]
    pub migration_cooldown_s: f64,
    /// Share of a job's tasks that may be migrating at once; at least one may.
    #[serde(rename = "away_share")]
    pub max_migrating_share: f64,
    /// What a place on a whole worker is worth: the seconds of waiting that it spares,
    /// paid in seconds of work that migrations lose.
    #[serde(rename = "worth_s")]
    pub max_saved_wait_s: f64,
}

impl Default for Defragmentation {
    fn default() -> Self {
        Self {
            enabled: false,
            max_migrations: 16,
            max_lost_work_s: 30.0,
            migration_cooldown_s: 300.0,
            max_migrating_share: 0.1,
            max_saved_wait_s: 60.0,
        }
    }
}

/// A block `class "NAME"`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Class {
    /// Whether its tasks may be migrated; what a job sets for itself counts if it is stricter.
    pub movable: Option<bool>,
    /// Never migrated, and a drain that disturbs it must be confirmed.
    pub protected: bool,
}

/// The block `operators`.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// What a request must carry: `Authorization: Bearer KEY`.
    pub key: String,
}

/// Without the key, so that it does not get into a log.
impl fmt::Debug for Operators {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Operators { key: (hidden) }")
    }
}

/// The block `log`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Lines carry the time of day; off where the platform adds its own.
    pub time: bool,
    /// The format of a line.
    pub format: LogFormat,
}

/// The format of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// A message and `name=value` fields.
    #[default]
    Text,
    /// A JSON object.
    Json,
}

impl Tuning {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The file cannot be read, is not understood, or holds a value that is not allowed.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = read(path)?;
        let malformed = |field: String, problem: String| SettingsError::Malformed {
            file: file.clone(),
            field,
            problem: problem.replace('\n', " "),
        };
        // By way of plain values, so that an error can name the field it is about.
        let value: serde_json::Value = hcl::from_str(&text)
            .map_err(|error| malformed("operators' settings".into(), error.to_string()))?;
        let tuning: Self = serde_path_to_error::deserialize(value)
            .map_err(|error| malformed(error.path().to_string(), error.inner().to_string()))?;
        tuning.check(&file)?;
        Ok(tuning)
    }
}

/// The operators' file beside the platform's: `settings.json` -> `settings.hcl`.
pub fn default_tuning_path(config: &Path) -> Option<PathBuf> {
    let path = config.with_extension("hcl");
    path.is_file().then_some(path)
}
