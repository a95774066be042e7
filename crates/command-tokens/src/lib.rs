#![doc = include_str!("../README.md")]
#![warn(missing_docs)]

/// The fencing tokens that one leader may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TermTokens {
    term: u64,
    newest: u64,
}

impl TermTokens {
    /// The tokens of a new leader. `term` is the version of its leader key.
    pub fn new(term: u64) -> Self {
        Self { term, newest: term }
    }

    /// The lowest token, which is the version of the leader key.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The highest token so far.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Whether a token is one of this leader's. A higher one is of a later leader.
    pub fn contains(&self, token: u64) -> bool {
        (self.term..=self.newest).contains(&token)
    }

    /// Records the revision of an acknowledged transaction that was conditional on the leader key
    /// of this term.
    pub fn record_guarded_revision(&mut self, revision: u64) {
        self.newest = self.newest.max(revision);
    }
}

/// The fencing tokens of the messages to one worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct WorkerTokens {
    /// The highest token that was sent to the worker, or that it has reported.
    highest: u64,
    /// The highest token of a direct message with a start, 0 if there was none.
    direct_start: u64,
}

impl WorkerTokens {
    /// The token of the next message, if it does not order the worker to forget anything.
    pub fn current(&self, term: &TermTokens) -> u64 {
        self.highest.max(term.term)
    }

    /// The token under which the worker may be told to forget attempts, or `None` if the leader
    /// needs a newer token first. `may_raise` tells whether the message may raise the worker's
    /// token. Messages that are in flight to the worker are then refused.
    pub fn forget_token(&self, term: &TermTokens, may_raise: bool) -> Option<u64> {
        let current = self.current(term);
        let raised = may_raise.then_some(current.max(term.newest));
        [Some(current), raised]
            .into_iter()
            .flatten()
            .find(|token| *token > self.direct_start)
    }

    /// Records a token that the worker has reported.
    pub fn record_reported(&mut self, token: u64) {
        self.highest = self.highest.max(token);
    }

    /// Records a response to a heartbeat under this token. A late copy of it has no effect.
    pub fn record_response(&mut self, token: u64) {
        self.highest = self.highest.max(token);
    }

    /// Records a direct message under this token before it is sent.
    pub fn record_direct_message(&mut self, token: u64, has_start: bool) {
        self.highest = self.highest.max(token);
        if has_start {
            self.direct_start = self.direct_start.max(token);
        }
    }
}
