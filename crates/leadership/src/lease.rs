//! How long this controller's own term is valid.

use crate::FencingToken;

/// The term that this controller leads, if any, and until when it may act on it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct LeaderLease {
    ttl_ms: u64,
    margin_ms: u64,
    token: Option<FencingToken>,
    valid_until_ms: u64,
    /// The end of the last extension by peers. It outlives the term: answers may have gone out
    /// until then.
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
        self.valid_until_ms = self.end_of_request(requested_at_ms);
    }

    pub(crate) fn record_renewal(&mut self, requested_at_ms: u64) {
        let until_ms = self.end_of_request(requested_at_ms);
        self.valid_until_ms = self.valid_until_ms.max(until_ms);
    }

    pub(crate) fn extend_by_peers(&mut self, requested_at_ms: u64, now_ms: u64) -> bool {
        let unbroken = self.valid_for_ms(now_ms) > 0;
        if unbroken {
            let until_ms = self.end_of_request(requested_at_ms);
            self.extended_until_ms = self.extended_until_ms.max(until_ms);
            self.valid_until_ms = self.valid_until_ms.max(until_ms);
        }
        unbroken
    }

    /// Until when a lease is valid that was asked for at this time.
    fn end_of_request(&self, requested_at_ms: u64) -> u64 {
        (requested_at_ms + self.ttl_ms).saturating_sub(self.margin_ms)
    }

    pub(crate) fn end(&mut self) {
        self.token = None;
        self.valid_until_ms = 0;
    }

    pub(crate) fn token(&self) -> Option<FencingToken> {
        self.token
    }

    /// Whether a term with this token is newer than the one led here; any is, if none is.
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
