//! Validation of the values in both settings files.

use std::ops::RangeInclusive;

use thiserror::Error;

use super::{Class, Operators, Settings, Team, Tuning};

/// Minimum length of the operators' key in bytes. Shorter keys could be guessed.
const MIN_KEY_BYTES: usize = 16;

/// The allowed values of a team's quotas and limits.
const TEAM_RESOURCE_RANGE: RangeInclusive<f64> = 0.0..=1e9;

/// A settings file is invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read, or is not UTF-8 text.
    #[error("{file}: cannot be read: {source}")]
    Unreadable {
        /// The path of the file.
        file: String,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The file does not parse, or a field is missing, unknown, of a wrong type or inconsistent
    /// with another field.
    #[error("{file}: {field}: {problem}")]
    Malformed {
        /// The path of the file.
        file: String,
        /// The path of the field in the file.
        field: String,
        /// A description of the problem.
        problem: String,
    },
    /// A field has the right type, but a value that is not allowed.
    #[error("{file}: {field}: found {found}, allowed is {allowed}")]
    OutOfRange {
        /// The path of the file.
        file: String,
        /// The path of the field in the file.
        field: &'static str,
        /// The value in the file.
        found: String,
        /// A description of the allowed values.
        allowed: String,
    },
}

/// The leader's lease (`leader_ttl_ms`) is too long for the platform's worker settings.
#[derive(Debug, Clone, PartialEq, Error)]
#[error(
    "leader_ttl_ms: found {found_ms}, allowed is at most {allowed_ms} ms with these worker settings"
)]
pub struct LeaderTtlTooLong {
    /// The value in the operators' file.
    pub found_ms: u64,
    /// The maximum that the platform's settings allow.
    pub allowed_ms: f64,
}

/// A numeric field of a settings file, with its value and its allowed range.
struct RangeCheck {
    field: &'static str,
    value: f64,
    allowed: RangeInclusive<f64>,
}

/// Creates a [`RangeCheck`]; this keeps each entry of the tables below on one line.
const fn range(field: &'static str, value: f64, allowed: RangeInclusive<f64>) -> RangeCheck {
    RangeCheck {
        field,
        value,
        allowed,
    }
}

impl RangeCheck {
    fn check(self, file: &str) -> Result<(), SettingsError> {
        if self.allowed.contains(&self.value) {
            return Ok(());
        }
        let allowed = format!("{} to {}", self.allowed.start(), self.allowed.end());
        Err(out_of_range(
            file,
            self.field,
            self.value.to_string(),
            allowed,
        ))
    }
}

fn out_of_range(
    file: &str,
    field: &'static str,
    found: impl Into<String>,
    allowed: impl Into<String>,
) -> SettingsError {
    SettingsError::OutOfRange {
        file: file.to_string(),
        field,
        found: found.into(),
        allowed: allowed.into(),
    }
}

impl Settings {
    pub(super) fn check(&self, file: &str) -> Result<(), SettingsError> {
        if self.member.is_empty() {
            let (found, allowed) = ("an empty name", "a non-empty name");
            return Err(out_of_range(file, "member", found, allowed));
        }
        if self.cluster.zones.is_empty() {
            let (found, allowed) = ("no zone", "at least one zone");
            return Err(out_of_range(file, "cluster.zones", found, allowed));
        }
        for range in self.ranges() {
            range.check(file)?;
        }
        let workers = &self.cluster.workers;
        if workers.lease_s <= workers.heartbeat_interval_s {
            let found = workers.lease_s.to_string();
            let allowed = "more than cluster.workers.report_s";
            return Err(out_of_range(
                file,
                "cluster.workers.lease_s",
                found,
                allowed,
            ));
        }
        let teams = &self.cluster.teams;
        teams.iter().try_for_each(|team| team.check(file))
    }

    #[rustfmt::skip]
    fn ranges(&self) -> [RangeCheck; 13] {
        let cluster = &self.cluster;
        let (workers, state, cloud) = (&cluster.workers, &cluster.state, &cluster.cloud);
        let max_sockets = cluster.limits.max_sockets as f64;
        [
            range("cluster.workers.report_s", workers.heartbeat_interval_s, 0.1..=600.0),
            range("cluster.workers.lease_s", workers.lease_s, 1.0..=3600.0),
            range("cluster.workers.gang_wait_s", workers.gang_wait_s, 0.1..=3600.0),
            range("cluster.workers.gang_peer_s", workers.gang_peer_s, 0.1..=3600.0),
            range("cluster.workers.cancel_s", workers.cancel_s, 1.0..=86_400.0),
            range("cluster.state.rps", state.rps, 10.0..=1e6),
            range("cluster.state.write_rps", state.write_rps, 4.0..=1e6),
            range("cluster.state.value_kb", state.value_kb, 1.0..=65_536.0),
            range("cluster.state.txn_ops", state.txn_ops as f64, 2.0..=1e6),
            range("cluster.cloud.rps", cloud.rps, 0.1..=1e6),
            range("cluster.cloud.list_lag_s", cloud.list_lag_s, 0.0..=3600.0),
            range("cluster.limits.max_sockets", max_sockets, 64.0..=1e7),
            range("cluster.clock_error_ms", cluster.clock_error_ms, 0.0..=1e7),
        ]
    }
}

impl Team {
    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let values = [self.cpus, self.cpus_max, self.gpus, self.gpus_max];
        let checks = values.map(|value| range("cluster.teams", value, TEAM_RESOURCE_RANGE));
        checks.into_iter().try_for_each(|range| range.check(file))
    }
}

impl Tuning {
    pub(super) fn check(&self, file: &str) -> Result<(), SettingsError> {
        let malformed = |field: String, problem: String| SettingsError::Malformed {
            file: file.to_string(),
            field,
            problem,
        };
        for (name, class) in &self.class {
            if let Some(problem) = class.movable_problem() {
                let field = format!("class.{name}.movable");
                return Err(malformed(field, problem.into()));
            }
        }
        if let Some(problem) = self.operators.as_ref().and_then(Operators::key_problem) {
            return Err(malformed("operators.key".into(), problem));
        }
        let mut ranges = self.ranges().into_iter();
        ranges.try_for_each(|range| range.check(file))
    }

    #[rustfmt::skip]
    fn ranges(&self) -> [RangeCheck; 15] {
        let defragmentation = &self.defragmentation;
        let max_migrations = f64::from(defragmentation.max_migrations);
        [
            range("auction_cap", f64::from(self.auction_cap), 1.0..=1e6),
            range("headroom_h0", self.headroom_midpoint, -1.0..=1.0),
            range("headroom_kappa", self.headroom_decay_per_s, 0.0..=1.0),
            range("slot_cpus", self.slot_cpus, 0.1..=64.0),
            range("owned_price", self.running_price_factor, 0.01..=10.0),
            range("spot_mean_life_s", self.spot_mean_life_s, 1.0..=1e9),
            range("idle_return_s", self.scale_in_idle_s, 1.0..=1e9),
            range("deserted_return_s", self.scale_in_idle_no_jobs_s, 1.0..=1e9),
            range("fleet_max", f64::from(self.fleet_max), 0.0..=1e6),
            range("leader_ttl_ms", self.leader_ttl_ms as f64, 500.0..=60_000.0),
            range("defragmentation.most_moves", max_migrations, 1.0..=1000.0),
            range("defragmentation.lost_work_s", defragmentation.max_lost_work_s, 0.0..=1e6),
            range("defragmentation.again_after_s", defragmentation.migration_cooldown_s, 10.0..=1e6),
            range("defragmentation.away_share", defragmentation.max_migrating_share, 0.0..=1.0),
            range("defragmentation.worth_s", defragmentation.max_saved_wait_s, 0.0..=1e6),
        ]
    }

    /// Checks the length of the leader's lease against the platform's settings. A cancelled job
    /// must be stopped within `cancel_s` even if the leader fails at once. In the worst case the
    /// leader's lease has to expire first, and then the leases of workers that no controller can
    /// reach.
    ///
    /// # Errors
    /// The leader's lease is too long.
    pub fn check_against(&self, settings: &Settings) -> Result<(), LeaderTtlTooLong> {
        let workers = &settings.cluster.workers;
        let ttl_s = self.leader_ttl_s();
        if ttl_s + workers.lease_s + 2.0 * workers.heartbeat_interval_s <= workers.cancel_s {
            return Ok(());
        }
        let allowed_s = workers.cancel_s - workers.lease_s - 2.0 * workers.heartbeat_interval_s;
        Err(LeaderTtlTooLong {
            found_ms: self.leader_ttl_ms,
            allowed_ms: (allowed_s * 1000.0).max(0.0),
        })
    }
}

impl Class {
    /// Returns what is wrong with `movable`, if anything.
    fn movable_problem(&self) -> Option<&'static str> {
        let contradictory = self.protected && self.movable == Some(true);
        contradictory.then_some("found true, allowed is only false as the class is protected")
    }
}

impl Operators {
    /// Returns what is wrong with the key, if anything.
    fn key_problem(&self) -> Option<String> {
        let length = self.key.len();
        if length >= MIN_KEY_BYTES && self.key.bytes().all(|byte| byte.is_ascii_graphic()) {
            return None;
        }
        Some(format!(
            "found a key of {length} bytes, allowed are {MIN_KEY_BYTES} or more visible ASCII characters"
        ))
    }
}
