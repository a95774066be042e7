//! The platform's settings file (JSON) and the operators' own file (HCL).
//!
//! Both are checked in full before anything starts: a controller that would
//! misbehave with a bad number must not come up at all.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("{file}: cannot be read: {source}")]
    Unreadable {
        file: String,
        source: std::io::Error,
    },
    #[error("{file}: {field}: {problem}")]
    Malformed {
        file: String,
        field: String,
        problem: String,
    },
    #[error("{file}: {field}: found {found}, allowed is {allowed}")]
    OutOfRange {
        file: String,
        field: &'static str,
        found: String,
        allowed: &'static str,
    },
}

/// What the platform hands over. Unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    pub member: String,
    pub site: String,
    pub public_addr: SocketAddr,
    pub peer_bind: SocketAddr,
    #[serde(default)]
    pub others: Vec<Peer>,
    pub external: External,
    pub cluster: Cluster,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    pub member: String,
    #[serde(default)]
    pub site: String,
    pub peer_addr: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct External {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    pub zones: Vec<String>,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub limits: Limits,
    #[serde(default)]
    pub clock_error_ms: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

#[derive(Debug, Clone, Default, Deserialize)]
pub struct Objective {
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Of deadlines: the multiple that is still worth something.
    #[serde(default)]
    pub times: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    #[serde(default)]
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    pub max_sockets: usize,
    /// What the process may hold, 0 if the platform does not say.
    #[serde(default)]
    pub memory_mb: f64,
}

impl Settings {
    /// All nodes in the order that every one of them has them in, with where each is.
    pub fn controllers(&self) -> Vec<(&str, &str)> {
        let others = self.others.iter();
        let others = others.map(|p| (p.member.as_str(), p.site.as_str()));
        let mut all: Vec<_> = others.collect();
        all.push((&self.member, &self.site));
        all.sort();
        all
    }

    /// This node's place among all nodes.
    pub fn own_index(&self) -> u32 {
        let controllers = self.controllers();
        let mine = controllers.iter().position(|(n, _)| *n == self.member);
        mine.unwrap_or(0) as u32
    }

    /// The name of the node at a place; empty if there is none.
    pub fn controller(&self, own_index: u32) -> &str {
        let controllers = self.controllers();
        controllers.get(own_index as usize).map_or("", |(n, _)| n)
    }

    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = read(path)?;
        let mut de = serde_json::Deserializer::from_str(&text);
        let settings: Self =
            serde_path_to_error::deserialize(&mut de).map_err(|e| SettingsError::Malformed {
                file: file.clone(),
                field: e.path().to_string(),
                problem: e.inner().to_string(),
            })?;
        settings.check(&file)?;
        Ok(settings)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let c = &self.cluster;
        let fail = |field, found: String, allowed| {
            Err(SettingsError::OutOfRange {
                file: file.to_string(),
                field,
                found,
                allowed,
            })
        };
        if self.member.is_empty() {
            return fail("member", "an empty name".into(), "a non-empty name");
        }
        if c.zones.is_empty() {
            return fail("cluster.zones", "no zone".into(), "at least one zone");
        }
        for (field, value, low, high) in [
            ("cluster.workers.report_s", c.workers.report_s, 0.1, 600.0),
            ("cluster.workers.lease_s", c.workers.lease_s, 1.0, 3600.0),
            (
                "cluster.workers.gang_wait_s",
                c.workers.gang_wait_s,
                0.1,
                3600.0,
            ),
            (
                "cluster.workers.gang_peer_s",
                c.workers.gang_peer_s,
                0.1,
                3600.0,
            ),
            (
                "cluster.workers.cancel_s",
                c.workers.cancel_s,
                1.0,
                86_400.0,
            ),
            ("cluster.state.rps", c.state.rps, 10.0, 1e6),
            ("cluster.state.write_rps", c.state.write_rps, 4.0, 1e6),
            ("cluster.state.value_kb", c.state.value_kb, 1.0, 65_536.0),
            ("cluster.state.txn_ops", c.state.txn_ops as f64, 2.0, 1e6),
            ("cluster.cloud.rps", c.cloud.rps, 0.1, 1e6),
            ("cluster.cloud.list_lag_s", c.cloud.list_lag_s, 0.0, 3600.0),
            (
                "cluster.limits.max_sockets",
                c.limits.max_sockets as f64,
                64.0,
                1e7,
            ),
            ("cluster.clock_error_ms", c.clock_error_ms, 0.0, 1e7),
        ] {
            if !(low..=high).contains(&value) {
                return Err(SettingsError::OutOfRange {
                    file: file.to_string(),
                    field,
                    found: value.to_string(),
                    allowed: range_text(field),
                });
            }
        }
        if c.workers.lease_s <= c.workers.report_s {
            return fail(
                "cluster.workers.lease_s",
                c.workers.lease_s.to_string(),
                "more than cluster.workers.report_s",
            );
        }
        for team in &c.teams {
            for value in [team.cpus, team.cpus_max, team.gpus, team.gpus_max] {
                if !(0.0..=1e9).contains(&value) {
                    return fail("cluster.teams", value.to_string(), "0 to 1000000000");
                }
            }
        }
        Ok(())
    }
}

fn range_text(field: &str) -> &'static str {
    match field {
        "cluster.workers.report_s" => "0.1 to 600",
        "cluster.workers.lease_s" => "1 to 3600",
        "cluster.workers.gang_wait_s" | "cluster.workers.gang_peer_s" => "0.1 to 3600",
        "cluster.workers.cancel_s" => "1 to 86400",
        "cluster.state.rps" => "10 to 1000000",
        "cluster.state.write_rps" => "4 to 1000000",
        "cluster.state.value_kb" => "1 to 65536",
        "cluster.state.txn_ops" => "2 to 1000000",
        "cluster.cloud.rps" => "0.1 to 1000000",
        "cluster.cloud.list_lag_s" => "0 to 3600",
        "cluster.limits.max_sockets" => "64 to 10000000",
        _ => "0 to 10000000",
    }
}

/// Operators' own settings. An unknown name is an error, so that a typing
/// mistake does not silently leave a default in force.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Bids one batch may make before the greedy assignment takes over.
    pub auction_cap: u32,
    /// Headroom at which the bid gate is half open (DESIGN's h0).
    pub headroom_h0: f64,
    /// Headroom lost per second of report age (DESIGN's kappa).
    pub headroom_kappa: f64,
    /// CPUs per priced slot.
    pub slot_cpus: f64,
    /// Share of the nominal price at which workers that are already up are
    /// priced in bids.
    pub owned_price: f64,
    /// Expected seconds between losses of a spot worker; prices risk in bids.
    pub spot_mean_life_s: f64,
    /// Seconds an empty worker is kept before it is returned.
    pub idle_return_s: f64,
    /// The same while no job is unfinished.
    pub deserted_return_s: f64,
    /// Most workers the fleet may hold, 0 for no bound of our own.
    pub fleet_max: u32,
    /// Length of the leader's lease.
    pub leader_ttl_ms: u64,
    /// Whether the workers are shared among the controllers, so that each speaks with a part.
    pub shares: Switch,
    /// Frees whole workers by moving work that may move.
    pub defragmentation: Defragmentation,
    /// What operators say of classes of jobs, by name.
    pub class: BTreeMap<String, Class>,
    /// Switches the operators' endpoints on.
    pub operators: Option<Operators>,
    pub log: Log,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Switch {
    On,
    Off,
}

/// The block `defragmentation`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Defragmentation {
    /// Whether work is moved for whole-worker tasks that wait. A drain moves work
    /// either way, within the same limits.
    pub enabled: bool,
    /// Moves under way at once.
    pub most_moves: u32,
    /// A task that does not save is moved only while it would lose less work than this.
    pub lost_work_s: f64,
    /// The same task is not moved again within.
    pub again_after_s: f64,
    /// Share of a job's tasks that may be away for moves; at least one may.
    pub away_share: f64,
    /// What a place on a whole worker is worth: the seconds of waiting that it spares,
    /// paid in seconds of work that moves lose.
    pub worth_s: f64,
}

impl Default for Defragmentation {
    fn default() -> Self {
        Self {
            enabled: false,
            most_moves: 16,
            lost_work_s: 30.0,
            again_after_s: 300.0,
            away_share: 0.1,
            worth_s: 60.0,
        }
    }
}

/// A block `class "NAME"`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Class {
    /// Whether its tasks may be moved; what a job says of itself counts if it is stricter.
    pub movable: Option<bool>,
    /// Never moved, and a drain that disturbs it must be confirmed.
    pub protected: bool,
}

/// The block `operators`.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// What a request must carry: `Authorization: Bearer KEY`.
    pub key: String,
}

impl std::fmt::Debug for Operators {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Operators { key: (hidden) }")
    }
}

/// The block `log`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Lines carry the time of day; off where the platform adds its own.
    pub time: bool,
    pub format: LogFormat,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            auction_cap: 4000,
            headroom_h0: 0.05,
            headroom_kappa: 0.01,
            slot_cpus: 1.0,
            owned_price: 1.0,
            spot_mean_life_s: 900.0,
            idle_return_s: 240.0,
            deserted_return_s: 25.0,
            fleet_max: 0,
            leader_ttl_ms: 2500,
            shares: Switch::On,
            defragmentation: Defragmentation::default(),
            class: BTreeMap::new(),
            operators: None,
            log: Log::default(),
        }
    }
}

impl Tuning {
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
            .map_err(|e| malformed("operators' settings".into(), e.to_string()))?;
        let tuning: Self = serde_path_to_error::deserialize(value)
            .map_err(|e| malformed(e.path().to_string(), e.inner().to_string()))?;
        tuning.check_blocks(&file)?;
        for (field, value, low, high, allowed) in [
            (
                "auction_cap",
                f64::from(tuning.auction_cap),
                1.0,
                1e6,
                "1 to 1000000",
            ),
            ("headroom_h0", tuning.headroom_h0, -1.0, 1.0, "-1 to 1"),
            ("headroom_kappa", tuning.headroom_kappa, 0.0, 1.0, "0 to 1"),
            ("slot_cpus", tuning.slot_cpus, 0.1, 64.0, "0.1 to 64"),
            ("owned_price", tuning.owned_price, 0.01, 10.0, "0.01 to 10"),
            (
                "spot_mean_life_s",
                tuning.spot_mean_life_s,
                1.0,
                1e9,
                "1 to 1000000000",
            ),
            (
                "idle_return_s",
                tuning.idle_return_s,
                1.0,
                1e9,
                "1 to 1000000000",
            ),
            (
                "deserted_return_s",
                tuning.deserted_return_s,
                1.0,
                1e9,
                "1 to 1000000000",
            ),
            (
                "fleet_max",
                f64::from(tuning.fleet_max),
                0.0,
                1e6,
                "0 to 1000000",
            ),
            (
                "leader_ttl_ms",
                tuning.leader_ttl_ms as f64,
                500.0,
                60_000.0,
                "500 to 60000",
            ),
            (
                "defragmentation.most_moves",
                f64::from(tuning.defragmentation.most_moves),
                1.0,
                1000.0,
                "1 to 1000",
            ),
            (
                "defragmentation.lost_work_s",
                tuning.defragmentation.lost_work_s,
                0.0,
                1e6,
                "0 to 1000000",
            ),
            (
                "defragmentation.again_after_s",
                tuning.defragmentation.again_after_s,
                10.0,
                1e6,
                "10 to 1000000",
            ),
            (
                "defragmentation.away_share",
                tuning.defragmentation.away_share,
                0.0,
                1.0,
                "0 to 1",
            ),
            (
                "defragmentation.worth_s",
                tuning.defragmentation.worth_s,
                0.0,
                1e6,
                "0 to 1000000",
            ),
        ] {
            if !(low..=high).contains(&value) {
                return Err(SettingsError::OutOfRange {
                    file,
                    field,
                    found: value.to_string(),
                    allowed,
                });
            }
        }
        Ok(tuning)
    }
}

/// A key that can be guessed is none.
const MIN_KEY: usize = 16;

impl Tuning {
    fn check_blocks(&self, file: &str) -> Result<(), SettingsError> {
        let fail = |field: String, problem: &str| {
            Err(SettingsError::Malformed {
                file: file.to_string(),
                field,
                problem: problem.to_string(),
            })
        };
        for (name, class) in &self.class {
            if class.protected && class.movable == Some(true) {
                let field = format!("class.{name}.movable");
                let problem = "found true, allowed is only false as the class is protected";
                return fail(field, problem);
            }
        }
        match &self.operators {
            Some(o) if o.key.len() < MIN_KEY || !o.key.bytes().all(|b| b.is_ascii_graphic()) => {
                let found = o.key.len();
                let problem = format!(
                    "found a key of {found} bytes, allowed are {MIN_KEY} or more visible ASCII characters"
                );
                fail("operators.key".into(), &problem)
            }
            _ => Ok(()),
        }
    }

    /// A cancelled job must be gone in time even if the leader ends at once:
    /// its lease, then the leases of workers that nobody reaches.
    pub fn check_against(&self, settings: &Settings) -> Result<(), String> {
        let w = &settings.cluster.workers;
        let ttl_s = self.leader_ttl_ms as f64 / 1000.0;
        if ttl_s + w.lease_s + 2.0 * w.report_s > w.cancel_s {
            return Err(format!(
                "leader_ttl_ms: found {}, allowed is at most {} ms with these worker settings",
                self.leader_ttl_ms,
                ((w.cancel_s - w.lease_s - 2.0 * w.report_s) * 1000.0).max(0.0)
            ));
        }
        Ok(())
    }
}

/// The operators' file beside the platform's: `settings.json` -> `settings.hcl`.
pub fn tuning_beside(config: &Path) -> Option<PathBuf> {
    let path = config.with_extension("hcl");
    path.is_file().then_some(path)
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        file: path.display().to_string(),
        source,
    })
}
