//! The platform's settings file.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use super::{SettingsError, read};

/// What the platform hands to a controller. Unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The name of this controller.
    pub member: String,
    /// Where this controller runs.
    pub site: String,
    /// Where users and workers reach this controller.
    pub public_addr: SocketAddr,
    /// Where the other controllers reach this one.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    #[serde(default, rename = "others")]
    pub peers: Vec<Peer>,
    /// The services that controllers depend on.
    pub external: External,
    /// What is the same for all controllers.
    pub cluster: Cluster,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Its name.
    pub member: String,
    /// Where it runs.
    #[serde(default)]
    pub site: String,
    /// Where it serves its peers.
    pub peer_addr: SocketAddr,
}

/// Addresses of the services that controllers depend on.
#[derive(Debug, Clone, Deserialize)]
pub struct External {
    /// The cloud's API, which provisions workers.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// What is the same for all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    /// Zones in which workers can be provisioned.
    pub zones: Vec<String>,
    /// Teams and their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service levels that placement serves.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Times agreed with the workers.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud's API.
    pub cloud: CloudLimits,
    /// What this process may use.
    pub limits: Limits,
    /// How far the clocks of two controllers may be apart.
    #[serde(default)]
    pub clock_error_ms: f64,
}

/// A team: its quotas, and the limits up to which it may borrow.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Its name, the `owner` of jobs.
    pub name: String,
    /// Quota of CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Limit of CPUs.
    #[serde(default)]
    pub cpus_max: f64,
    /// Quota of GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Limit of GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service level.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Objective {
    /// What is measured; a kind that is not known here is ignored.
    #[serde(default)]
    pub kind: String,
    /// The class of jobs that it is about, all if there is none.
    #[serde(default)]
    pub class: Option<String>,
    /// The time that is allowed.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Of deadlines: the multiple that is still worth something.
    #[serde(default)]
    #[serde(rename = "times")]
    pub deadline_factor: Option<f64>,
}

/// Times agreed with the workers.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval of heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// How long a worker goes on without an answer.
    pub lease_s: f64,
    /// How long a task instance waits for the rest of its gang to start.
    pub gang_wait_s: f64,
    /// How long a gang goes on after one of its tasks was lost.
    pub gang_peer_s: f64,
    /// Within this time a cancelled job must be gone.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests a second, of all controllers together.
    pub rps: f64,
    /// Writes a second, of all controllers together.
    pub write_rps: f64,
    /// Size of a value.
    pub value_kb: f64,
    /// Operations in a transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests a second.
    pub rps: f64,
    /// How far a list of workers may be behind.
    #[serde(default)]
    pub list_lag_s: f64,
}

/// What this process may use.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Open sockets.
    pub max_sockets: usize,
    /// Memory, 0 if the platform sets no limit.
    #[serde(default)]
    pub memory_mb: f64,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The file cannot be read, is not understood, or holds a value that is not allowed.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = read(path)?;
        let mut deserializer = serde_json::Deserializer::from_str(&text);
        let settings: Self =
            serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
                SettingsError::Malformed {
                    file: file.clone(),
                    field: error.path().to_string(),
                    problem: error.inner().to_string(),
                }
            })?;
        settings.check(&file)?;
        Ok(settings)
    }

    /// All controllers as (name, site), in an order that is the same in each of them.
    pub fn controllers(&self) -> Vec<(&str, &str)> {
        let peers = self.peers.iter();
        let peers = peers.map(|peer| (peer.member.as_str(), peer.site.as_str()));
        let mut all: Vec<_> = peers.collect();
        all.push((&self.member, &self.site));
        all.sort();
        all
    }

    /// This controller's index among [`Self::controllers`].
    pub fn own_index(&self) -> u32 {
        let controllers = self.controllers();
        let own = controllers
            .iter()
            .position(|(name, _)| *name == self.member);
        own.unwrap_or(0) as u32
    }

    /// The name of the controller at `index` of [`Self::controllers`]; empty if there is none.
    pub fn controller(&self, index: u32) -> &str {
        let controllers = self.controllers();
        controllers.get(index as usize).map_or("", |(name, _)| name)
    }
}
