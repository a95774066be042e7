//! The operators' settings file.

use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

use serde::Deserialize;

use super::{SettingsError, read_file};

/// The settings that operators may add. Unknown names are errors, because a misspelled name would
/// otherwise leave the default in effect without notice.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Maximum number of bids in the auction of one batch. If it is reached, the greedy assignment
    /// is used instead.
    pub auction_cap: u32,
    /// The headroom of a worker at which the headroom gate halves the value of a bid, if the
    /// worker's heartbeat is new.
    #[serde(rename = "headroom_h0")]
    pub headroom_midpoint: f64,
    /// How much headroom the gate subtracts per second since the worker's last heartbeat.
    #[serde(rename = "headroom_kappa")]
    pub headroom_decay_per_s: f64,
    /// Number of CPUs per slot in the auction.
    pub slot_cpus: f64,
    /// Factor on the nominal price of running workers in bids. It does not apply to spot workers.
    #[serde(rename = "owned_price")]
    pub running_price_factor: f64,
    /// Expected lifetime of a spot worker in seconds, from which bids price the risk of losing it.
    pub spot_mean_life_s: f64,
    /// How long a worker must have been empty before it is scaled in, while there are unfinished
    /// jobs.
    #[serde(rename = "idle_return_s")]
    pub scale_in_idle_s: f64,
    /// How long a worker must have been empty before it is scaled in, while there are no unfinished
    /// jobs.
    #[serde(rename = "deserted_return_s")]
    pub scale_in_idle_no_jobs_s: f64,
    /// Maximum number of workers; 0 for no limit.
    pub fleet_max: u32,
    /// Length of the leader's lease.
    pub leader_ttl_ms: u64,
    /// Whether the workers are sharded, so that each controller serves a part of them.
    #[serde(rename = "shares")]
    pub sharding: Switch,
    /// Defragmentation, which frees whole workers by migrating tasks.
    pub defragmentation: Defragmentation,
    /// Settings of job classes, by the name of the class.
    pub class: BTreeMap<String, Class>,
    /// Settings of the operators' endpoints, which are enabled if this block is present.
    pub operators: Option<Operators>,
    /// Settings of the log.
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

/// Whether a feature is enabled, written `on` or `off`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Switch {
    /// The feature is enabled.
    On,
    /// The feature is disabled.
    Off,
}

/// The `defragmentation` block.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Defragmentation {
    /// Whether tasks are migrated to make room for waiting whole-worker tasks. Drains migrate tasks
    /// even if this is disabled, within the same limits.
    pub enabled: bool,
    /// Maximum number of concurrent migrations.
    #[serde(rename = "most_moves")]
    pub max_migrations: u32,
    /// A task without checkpoints is migrated only if it would lose less work than this.
    #[serde(rename = "lost_work_s")]
    pub max_lost_work_s: f64,
    /// Minimum time between two migrations of the same task.
    #[serde(rename = "again_after_s")]
    pub migration_cooldown_s: f64,
    /// Maximum share of a job's tasks that may be migrating at the same time. One task always may.
    #[serde(rename = "away_share")]
    pub max_migrating_share: f64,
    /// Maximum waiting time that freeing a whole worker is assumed to save. The planner weighs it
    /// against the seconds of work that the migrations lose.
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

/// A `class "NAME"` block.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Class {
    /// Whether tasks of the class may be migrated. A stricter setting of a job takes precedence.
    pub movable: Option<bool>,
    /// Whether the class is protected: its tasks are never migrated, and a drain of a worker that
    /// holds such tasks must be confirmed.
    pub protected: bool,
}

/// The `operators` block.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// The key that requests must contain, as `Authorization: Bearer KEY`.
    pub key: String,
}

/// Omits the key, so that it cannot appear in a log.
impl fmt::Debug for Operators {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Operators { key: (hidden) }")
    }
}

/// The `log` block.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Whether lines contain a timestamp. Disabled by default, for platforms that add their own.
    pub time: bool,
    /// The format of the lines.
    pub format: LogFormat,
}

/// The format of a log line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// The message, followed by `name=value` fields.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl Tuning {
    /// The length of the leader's lease in seconds.
    pub fn leader_ttl_s(&self) -> f64 {
        self.leader_ttl_ms as f64 / 1000.0
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// The file cannot be read, does not parse, or contains a value that is not allowed.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = read_file(path)?;
        let malformed = |field: String, problem: String| SettingsError::Malformed {
            file: file.clone(),
            field,
            problem: problem.replace('\n', " "),
        };
        // The text is parsed to a JSON value first, so that errors can name the field.
        let value: serde_json::Value = hcl::from_str(&text)
            .map_err(|error| malformed("invalid HCL".into(), error.to_string()))?;
        let tuning: Self = serde_path_to_error::deserialize(value)
            .map_err(|error| malformed(error.path().to_string(), error.inner().to_string()))?;
        tuning.check(&file)?;
        Ok(tuning)
    }
}

/// Returns the operators' file next to the platform's file, such as `settings.hcl` for
/// `settings.json`, if it exists.
pub fn default_tuning_path(config: &Path) -> Option<PathBuf> {
    let path = config.with_extension("hcl");
    path.is_file().then_some(path)
}
