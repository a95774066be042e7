//! The platform's settings file (JSON) and the operators' settings file (HCL).
//!
//! Both are validated completely before a controller starts, because an invalid value could make it
//! misbehave while it runs.
//!
//! | module | contents |
//! | --- | --- |
//! | `platform` | [`Settings`], the settings that the platform gives to each controller |
//! | `tuning` | [`Tuning`], the settings that operators may add |
//! | `checks` | validation of both files, and its errors |

#![warn(missing_docs)]

mod checks;
mod platform;
mod tuning;

use std::path::Path;

pub use checks::{LeaderTtlTooLong, SettingsError};
pub use platform::{
    CloudLimits, Cluster, External, Limits, Objective, Peer, Settings, StateLimits, Team, Workers,
};
pub use tuning::{
    Class, Defragmentation, Log, LogFormat, Operators, Switch, Tuning, default_tuning_path,
};

fn read_file(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        file: path.display().to_string(),
        source,
    })
}
