//! The vote of this controller that extends another leader's lease.

/// What a controller answers to a leader that asks for a vote to extend its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Vote {
    /// The voter will not campaign for one TTL.
    Granted,
    /// The voter may still campaign.
    Denied,
}

impl Vote {
    /// Whether the leader has this vote.
    pub fn is_granted(self) -> bool {
        self == Self::Granted
    }
}

/// Whether the state service answers this controller, as far as it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StoreReachability {
    /// It does, or nothing shows that it does not.
    Reachable,
    /// Its last direct request was refused or unanswered, a moment ago.
    Unreachable,
}

/// Until when the last vote binds this controller.
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
