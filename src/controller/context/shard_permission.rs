//! The leader's permission for this controller, as a shard owner, to answer and command workers.

use std::sync::Mutex;

use super::clock::ControllerClock;

/// The fencing token under which this shard owner may answer and command its workers, and the
/// time at which the permission expires.
#[derive(Debug, Clone, Copy)]
struct Permission {
    token: u64,
    until_ms: u64,
}

/// The current permission, which the controller's tasks share.
#[derive(Debug)]
pub struct ShardPermission {
    clock: ControllerClock,
    permission: Mutex<Permission>,
}

impl ShardPermission {
    pub(super) fn none(clock: ControllerClock) -> Self {
        let expired = Permission {
            token: 0,
            until_ms: 0,
        };
        Self {
            clock,
            permission: Mutex::new(expired),
        }
    }

    pub(super) fn set(&self, token: u64, until_ms: u64) {
        *self.permission.lock().expect("no panic while held") = Permission { token, until_ms };
    }

    /// The fencing token of the permission, unless it has expired.
    pub(super) fn token(&self) -> Option<u64> {
        let permission = *self.permission.lock().expect("no panic while held");
        (self.clock.now_ms() < permission.until_ms).then_some(permission.token)
    }
}
