//! Until when a node may lead, and what its word to others forbids it.
//!
//! Times are milliseconds on the node's steady clock, counted from the start of its process.
//! Nothing here outlives the process: what an earlier one of the same node may have promised
//! is taken for promised until it surely means nothing any more.

/// Kept back from the TTL for clock drift and for what is already on its way out, in ms.
pub const MARGIN_MS: u64 = 150;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Leadership {
    ttl: u64,
    margin: u64,
    /// Until when this node may act as leader.
    valid_until: u64,
    /// Until when it may on the word of all others.
    lease_extended_until: u64,
    /// The token under which this node leads, 0 if it does not.
    leading: u64,
    /// Until when this node has promised not to campaign.
    promised_until: u64,
    /// A campaign is out, or what became of it is not known yet.
    campaigning: bool,
    /// Whether it is being found out that older words of this node bind nobody.
    asking: bool,
    /// Cancellations that this node is storing for want of a leader.
    leaderless: u32,
}

impl Leadership {
    /// Of a process that starts now. An earlier one may have given its word a moment ago.
    pub fn new(ttl_ms: u64, margin_ms: u64) -> Self {
        Self {
            ttl: ttl_ms,
            margin: margin_ms,
            valid_until: 0,
            lease_extended_until: 0,
            leading: 0,
            promised_until: ttl_ms,
            campaigning: false,
            asking: false,
            leaderless: 0,
        }
    }

    // ---- leading ----

    /// Won with a lease that was asked for at `sent`.
    pub fn begin_leading(&mut self, token: u64, sent: u64) {
        self.leading = token;
        self.valid_until = self.until(sent);
    }

    /// The lease was renewed by a request sent at `sent`.
    pub fn renewed(&mut self, sent: u64) {
        self.valid_until = self.valid_until.max(self.until(sent));
    }

    /// All others were asked at `asked` and have given their word. A gap ends the chain: once
    /// lapsed, only a renewal of the same lease brings a leader back.
    pub fn lease_extended_by_peers(&mut self, asked: u64, now: u64) -> bool {
        let unbroken = self.is_valid(now);
        if unbroken {
            let until = self.until(asked);
            self.lease_extended_until = self.lease_extended_until.max(until);
            self.valid_until = self.valid_until.max(until);
        }
        unbroken
    }

    fn until(&self, sent: u64) -> u64 {
        (sent + self.ttl).saturating_sub(self.margin)
    }

    /// Ends this node's leadership for good, unless it already leads anew.
    pub fn step_down(&mut self, token: u64) {
        if self.leads(token) {
            self.leading = 0;
            self.valid_until = 0;
        }
    }

    /// Whether the leadership of this token goes on, be it suspended. 0: of none.
    pub fn leads(&self, token: u64) -> bool {
        self.leading == token
    }

    /// How much longer answers, orders and phases may leave.
    pub fn valid_for(&self, now: u64) -> u64 {
        self.valid_until.saturating_sub(now)
    }

    pub fn is_valid(&self, now: u64) -> bool {
        self.valid_for(now) > 0
    }

    // ---- words ----

    /// Whether a leader may be acting on this node's word.
    pub fn has_promised(&self, now: u64) -> bool {
        self.promised_until > now
    }

    /// Until when answers may have gone out on the word of all nodes: this one's, one that an
    /// earlier process of it gave, or this node's own leading on the word of the others.
    pub fn vote_binding_until(&self) -> u64 {
        self.promised_until.max(self.lease_extended_until)
    }

    /// Until when this leader acts on the word of all others.
    pub fn lease_extended_until(&self) -> u64 {
        self.lease_extended_until
    }

    /// Vouches for the leader of this token that cannot renew: the state service refuses this
    /// node too (`refused`), and it will not campaign for one TTL. A token newer than its own
    /// shows that its own key is gone: the leader that was refused alone once stayed suspended
    /// for as long, and so none was vouched for in an outage that began meanwhile.
    pub fn vote_to_extend_lease(&mut self, now: u64, refused: bool, token: u64) -> bool {
        if token > self.leading {
            self.step_down(self.leading);
        }
        let free =
            self.is_idle() && !self.campaigning && !self.asking && self.leaderless == 0 && refused;
        if free {
            self.promised_until = self.promised_until.max(now + self.ttl);
        }
        free
    }

    // ---- the leader key ----

    /// Kept up from before the promise is looked at until the outcome is known.
    pub fn set_campaigning(&mut self, campaigning: bool) {
        self.campaigning = campaigning;
    }

    // ---- words that bind nobody ----

    /// Whether this process does not lead, not even suspended: then it acts on nobody's word,
    /// and will on none that was given until now.
    pub fn is_idle(&self) -> bool {
        self.leads(0)
    }

    /// Kept up while it is found out whether older words bind anybody: none is given meanwhile.
    pub fn set_asking(&mut self, asking: bool) {
        self.asking = asking;
    }

    /// Whatever this node promised until now, and its earlier processes did, binds nobody. Either
    /// the key of an earlier process of it is gone, removed by this one, and that process was
    /// known to lead: while the key stood nobody else was valid, and whoever was before it has
    /// lapsed. Or every other node has said since [`Self::set_asking`] that it is idle: a word
    /// binds a leader that lives.
    pub fn released(&mut self, now: u64) {
        self.promised_until = self.promised_until.min(now);
    }

    // ---- cancellations without a leader ----

    /// Before a cancellation is stored for want of a leader. False if a leader may be answering
    /// users on this node's word; else no word is given until [`Self::end_leaderless`], so that
    /// none can be calling the job running meanwhile.
    pub fn begin_leaderless(&mut self, now: u64) -> bool {
        let free = !self.has_promised(now);
        self.leaderless += u32::from(free);
        free
    }

    pub fn end_leaderless(&mut self) {
        self.leaderless -= 1;
    }
}
