//! The vote of this controller that extends another leader's lease.

/// The reply of a controller to a leader that requests its vote to extend the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Vote {
    /// The voter will not campaign for one TTL.
    Granted,
    /// The voter may still campaign.
    Denied,
}

impl Vote {
    /// Whether the vote was granted.
    pub fn is_granted(self) -> bool {
        self == Self::Granted
    }
}

/// Whether the state service answers this controller, as far as the controller knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StoreReachability {
    /// It answers, or there is no evidence that it does not.
    Reachable,
    /// The most recent direct request was refused or not answered.
    Unreachable,
}

/// The time until which the last vote binds this controller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct VoteRecord {
    binding_until_ms: u64,
}

impl VoteRecord {
    pub(crate) fn binding_until(binding_until_ms: u64) -> Self {
        Self { binding_until_ms }
    }

    pub(crate) fn binding_until_ms(&self) -> u64 {
        self.binding_until_ms
    }

    pub(crate) fn is_binding(&self, now_ms: u64) -> bool {
        self.binding_until_ms > now_ms
    }

    pub(crate) fn bind_until(&mut self, until_ms: u64) {
        self.binding_until_ms = self.binding_until_ms.max(until_ms);
    }

    pub(crate) fn release(&mut self, now_ms: u64) {
        self.binding_until_ms = self.binding_until_ms.min(now_ms);
    }
}
