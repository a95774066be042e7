//! The platform's settings file.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use super::{SettingsError, read_file};

/// The settings that the platform gives to a controller. Unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The name of this controller.
    pub member: String,
    /// The site of this controller.
    pub site: String,
    /// The address at which users and workers reach this controller.
    pub public_addr: SocketAddr,
    /// The address at which the other controllers reach this one.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    #[serde(default, rename = "others")]
    pub peers: Vec<Peer>,
    /// The addresses of the services that controllers depend on.
    pub external: External,
    /// The settings that are the same for all controllers.
    pub cluster: Cluster,
}

/// Another controller, as a peer of this one.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// The name of the controller.
    pub member: String,
    /// The site of the controller.
    #[serde(default)]
    pub site: String,
    /// The address at which it serves its peers.
    pub peer_addr: SocketAddr,
}

/// The addresses of the services that controllers depend on.
#[derive(Debug, Clone, Deserialize)]
pub struct External {
    /// The cloud's API, which provisions workers.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// The settings that are the same for all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    /// The zones in which workers can be provisioned.
    pub zones: Vec<String>,
    /// The teams and their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The service level objectives that placement should meet.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Intervals and timeouts that the controllers and the workers share.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud's API.
    pub cloud: CloudLimits,
    /// Limits of this process.
    pub limits: Limits,
    /// Maximum difference between the clocks of two controllers.
    #[serde(default)]
    pub clock_error_ms: f64,
}

/// A team, with its quotas and the limits up to which it may borrow.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// The name of the team, as in the `owner` field of jobs.
    pub name: String,
    /// CPU quota.
    #[serde(default)]
    pub cpus: f64,
    /// CPU limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPU quota.
    #[serde(default)]
    pub gpus: f64,
    /// GPU limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service level objective.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct Objective {
    /// The quantity that the objective is about. Objectives of unknown kinds are ignored.
    #[serde(default)]
    pub kind: String,
    /// The class of jobs that the objective applies to; `None` for all jobs.
    #[serde(default)]
    pub class: Option<String>,
    /// The maximum time.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// For deadlines: the multiple of a job's deadline up to which completing the job still
    /// has value.
    #[serde(default)]
    #[serde(rename = "times")]
    pub deadline_factor: Option<f64>,
}

/// Intervals and timeouts that the controllers and the workers share.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval between the heartbeats of a worker.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// How long a worker continues to run tasks without a response to its heartbeats.
    pub lease_s: f64,
    /// How long a task instance waits for the other tasks of its gang to start.
    pub gang_wait_s: f64,
    /// How long a gang continues to run after it has lost one of its tasks.
    pub gang_peer_s: f64,
    /// Maximum time from the cancellation of a job until all of its tasks have stopped.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second, for all controllers together.
    pub rps: f64,
    /// Changes per second, for all controllers together.
    pub write_rps: f64,
    /// Maximum size of a value.
    pub value_kb: f64,
    /// Maximum number of operations in a transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Maximum age of the data in a list of workers.
    #[serde(default)]
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Maximum number of open sockets.
    pub max_sockets: usize,
    /// Maximum memory; 0 if the platform sets no limit.
    #[serde(default)]
    pub memory_mb: f64,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// The file cannot be read, does not parse, or contains a value that is not allowed.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = read_file(path)?;
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

    /// Returns the name and site of every controller, this one included, in an order that is the
    /// same on all controllers.
    pub fn controllers(&self) -> Vec<(&str, &str)> {
        let peers = self.peers.iter();
        let peers = peers.map(|peer| (peer.member.as_str(), peer.site.as_str()));
        let mut all: Vec<_> = peers.collect();
        all.push((&self.member, &self.site));
        all.sort();
        all
    }

    /// Returns the index of this controller in [`Self::controllers`].
    pub fn own_index(&self) -> u32 {
        let controllers = self.controllers();
        let own = controllers
            .iter()
            .position(|(name, _)| *name == self.member);
        own.unwrap_or(0) as u32
    }

    /// Returns the name of the controller at `index` in [`Self::controllers`]; empty if there is
    /// none.
    pub fn controller(&self, index: u32) -> &str {
        let controllers = self.controllers();
        controllers.get(index as usize).map_or("", |(name, _)| name)
    }
}
