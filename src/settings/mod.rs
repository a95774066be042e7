//! The platform's settings file (JSON) and the operators' own file (HCL).
//!
//! Both are checked in full before anything starts: a controller that would
//! misbehave with a bad number must not come up at all.
//!
//! | module | contents |
//! | --- | --- |
//! | `platform` | [`Settings`], what the platform hands to each controller |
//! | `tuning` | [`Tuning`], what operators may set beside it |
//! | `checks` | the values that are allowed, and the errors about the others |

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

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        file: path.display().to_string(),
        source,
    })
}
