//! The lease of this controller's own term.

use crate::FencingToken;

/// The term that this controller leads, if any, and the time until which it may act as leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct LeaderLease {
    ttl_ms: u64,
    margin_ms: u64,
    token: Option<FencingToken>,
    valid_until_ms: u64,
    /// The end of the last extension by the votes of all peers. It is kept when the term ends,
    /// because answers may have been sent until this time.
    extended_until_ms: u64,
}

impl LeaderLease {
    pub(crate) fn new(ttl_ms: u64, margin_ms: u64) -> Self {
        Self {
            ttl_ms,
            margin_ms,
            token: None,
            valid_until_ms: 0,
            extended_until_ms: 0,
        }
    }

    pub(crate) fn begin(&mut self, token: FencingToken, requested_at_ms: u64) {
        self.token = Some(token);
        self.valid_until_ms = self.validity_end_ms(requested_at_ms);
    }

    pub(crate) fn record_renewal(&mut self, requested_at_ms: u64) {
        let until_ms = self.validity_end_ms(requested_at_ms);
        self.valid_until_ms = self.valid_until_ms.max(until_ms);
    }

    pub(crate) fn extend_by_peers(&mut self, requested_at_ms: u64, now_ms: u64) -> bool {
        let still_valid = self.valid_for_ms(now_ms) > 0;
        if still_valid {
            let until_ms = self.validity_end_ms(requested_at_ms);
            self.extended_until_ms = self.extended_until_ms.max(until_ms);
            self.valid_until_ms = self.valid_until_ms.max(until_ms);
        }
        still_valid
    }

    /// When the validity of a lease ends that was requested at `requested_at_ms`.
    fn validity_end_ms(&self, requested_at_ms: u64) -> u64 {
        (requested_at_ms + self.ttl_ms).saturating_sub(self.margin_ms)
    }

    pub(crate) fn end(&mut self) {
        self.token = None;
        self.valid_until_ms = 0;
    }

    pub(crate) fn token(&self) -> Option<FencingToken> {
        self.token
    }

    /// Whether the term of `token` is newer than the one led here. Always true if no term is led.
    pub(crate) fn is_older_than(&self, token: FencingToken) -> bool {
        self.token.is_none_or(|own| own < token)
    }

    pub(crate) fn valid_for_ms(&self, now_ms: u64) -> u64 {
        self.valid_until_ms.saturating_sub(now_ms)
    }

    pub(crate) fn extended_until_ms(&self) -> u64 {
        self.extended_until_ms
    }
}
