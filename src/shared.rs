//! What the tasks of a process share without asking the owner of its state: how
//! long this node may lead, what it has promised, and whom it has heard.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::bookkeeping::store::Store;
use crate::settings::{Settings, Tuning};
use crate::transport::budget::Budget;
use crate::transport::client::Network;

/// How long a leader that heard no worker lets others go first.
const ABDICATION_MS: u64 = 8000;
/// How long a transaction without an answer may still be under way.
const UNSETTLED_MS: u64 = 180_000;
/// After a long pause the sockets are worked off within this.
const STALE_MS: u64 = 100;

/// What the tasks of a process share without asking the owner.
pub struct Shared {
    pub settings: Settings,
    pub tuning: Tuning,
    pub http: Arc<dyn Network>,
    rng: Mutex<StdRng>,
    pub store: Arc<Store>,
    pub cloud_budget: Budget,
    start: Instant,
    /// Until when this node may act as leader, in ms since `start`.
    valid_until: AtomicU64,
    /// Until when it may on the word of all others, in ms since `start`.
    word_until: AtomicU64,
    /// The token under which this node leads, 0 if it does not.
    leading: AtomicU64,
    /// Until when this node has promised not to campaign, in ms since `start`.
    promised_until: AtomicU64,
    campaigning: AtomicBool,
    /// Until when others are let go first, in ms since `start`.
    stand_back_until: AtomicU64,
    /// When a peer was last heard, in ms since `start`.
    peer_heard: AtomicU64,
    /// Cancellations that this node may be storing for want of a leader.
    leaderless: AtomicU64,
    /// Until when such a one, left without an answer, may still be carried out.
    unsettled_until: AtomicU64,
    /// Until when requests may have lain in a socket while this process stood still.
    stale_until: AtomicU64,
}

impl Shared {
    /// `seed` decides the few random choices, so that tests repeat.
    pub fn new(settings: Settings, tuning: Tuning, http: Arc<dyn Network>, seed: u64) -> Self {
        let limits = &settings.cluster.state;
        // Any node may lead, and the leader needs the most. One leader at half
        // and the others at the rest stay under the published limits together.
        let share = 0.95 / (1.0 + 0.5 * settings.others.len() as f64);
        let store = Arc::new(Store::new(
            http.clone(),
            settings.external.state,
            settings.others.iter().map(|p| p.peer_addr).collect(),
            limits.rps * share,
            limits.write_rps * share,
        ));
        Self {
            cloud_budget: Budget::new(settings.cluster.cloud.rps * 0.8, 1.0),
            http,
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            store,
            start: Instant::now(),
            valid_until: AtomicU64::new(0),
            word_until: AtomicU64::new(0),
            leading: AtomicU64::new(0),
            // A promise made before a crash is forgotten, so none is taken as over
            // until one TTL has passed.
            promised_until: AtomicU64::new(tuning.leader_ttl_ms),
            campaigning: AtomicBool::new(false),
            stand_back_until: AtomicU64::new(0),
            peer_heard: AtomicU64::new(0),
            leaderless: AtomicU64::new(0),
            unsettled_until: AtomicU64::new(0),
            stale_until: AtomicU64::new(0),
            settings,
            tuning,
        }
    }

    /// The time of day. Only ages are taken from it, never an order of events.
    pub fn unix_ms(&self) -> u64 {
        self.http.unix_ms()
    }

    pub fn random(&self, below: u64) -> u64 {
        let mut rng = self.rng.lock().expect("no panic while held");
        rng.random_range(0..below)
    }

    fn ms(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_millis() as u64
    }

    pub fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Until when answers may have gone out on the word of all nodes: this one's promise, one
    /// that it made before a restart, or its own leading on the word of the others. On the
    /// clock of [`Self::now_s`].
    pub fn word_held_until_s(&self) -> f64 {
        let promised = self.promised_until.load(Ordering::Relaxed);
        promised.max(self.word_until.load(Ordering::Relaxed)) as f64 / 1000.0
    }

    /// This leader acts on the word of all others until then.
    pub fn lead_on_word(&self, until: Instant) {
        self.word_until.fetch_max(self.ms(until), Ordering::Relaxed);
        self.extend_validity(until);
    }

    /// Until when this leader acts on the word of all others, on the clock of
    /// [`Self::now_s`].
    pub fn word_until_s(&self) -> f64 {
        self.word_until.load(Ordering::Relaxed) as f64 / 1000.0
    }

    pub fn extend_validity(&self, until: Instant) {
        self.valid_until
            .fetch_max(self.ms(until), Ordering::Relaxed);
    }

    pub fn valid_for(&self) -> Duration {
        let now = self.ms(Instant::now());
        Duration::from_millis(self.valid_until.load(Ordering::Relaxed).saturating_sub(now))
    }

    pub fn is_valid(&self) -> bool {
        !self.valid_for().is_zero()
    }

    pub fn begin_leading(&self, token: u64, until: Instant) {
        self.leading.store(token, Ordering::Relaxed);
        self.valid_until.store(self.ms(until), Ordering::Relaxed);
    }

    /// Ends this node's leadership for good, unless it already leads anew.
    pub fn step_down(&self, token: u64) {
        if self.leads(token) {
            self.leading.store(0, Ordering::Relaxed);
            self.valid_until.store(0, Ordering::Relaxed);
        }
    }

    /// Steps down for a while, so that a node that workers can reach takes over.
    pub fn abdicate(&self, token: u64) {
        let until = self.ms(Instant::now()) + ABDICATION_MS;
        self.stand_back_until.store(until, Ordering::Relaxed);
        self.step_down(token);
    }

    pub fn stands_back(&self) -> bool {
        self.stand_back_until.load(Ordering::Relaxed) > self.ms(Instant::now())
    }

    /// Whether the leadership of this token goes on, be it suspended.
    pub fn leads(&self, token: u64) -> bool {
        self.leading.load(Ordering::Relaxed) == token
    }

    /// Whether a leader may be acting on this node's word.
    pub fn has_promised(&self) -> bool {
        self.promised_until.load(Ordering::Relaxed) > self.ms(Instant::now())
    }

    /// Vouches for a leader that cannot renew: the state service refuses this
    /// node too, and it will not campaign for one TTL.
    pub fn vouch(&self) -> bool {
        let now = self.ms(Instant::now());
        let free = self.leads(0)
            && !self.campaigning.load(Ordering::Relaxed)
            && self.leaderless.load(Ordering::Relaxed) == 0
            && self.unsettled_until.load(Ordering::Relaxed) <= now
            && self.store.is_refused();
        if free {
            let until = now + self.tuning.leader_ttl_ms;
            self.promised_until.fetch_max(until, Ordering::Relaxed);
        }
        free
    }

    /// Before a cancellation is stored for want of a leader. False if a leader may
    /// be answering users on this node's word; else no word is given until
    /// [`Self::end_leaderless`], so that none can be called running meanwhile.
    pub fn begin_leaderless(&self) -> bool {
        self.leaderless.fetch_add(1, Ordering::Relaxed);
        let free = !self.has_promised();
        if !free {
            self.leaderless.fetch_sub(1, Ordering::Relaxed);
        }
        free
    }

    pub fn end_leaderless(&self, settled: bool) {
        if !settled {
            // The network may carry the transaction out minutes later.
            let until = self.ms(Instant::now()) + UNSETTLED_MS;
            self.unsettled_until.fetch_max(until, Ordering::Relaxed);
        }
        self.leaderless.fetch_sub(1, Ordering::Relaxed);
    }

    /// This process stood still: what came in meanwhile may be of users that have
    /// given up.
    pub fn note_pause(&self) {
        let until = self.ms(Instant::now()) + STALE_MS;
        self.stale_until.store(until, Ordering::Relaxed);
    }

    /// Whether a request read now may have waited longer than its user.
    pub fn may_be_stale(&self) -> bool {
        self.stale_until.load(Ordering::Relaxed) > self.ms(Instant::now())
    }

    /// Kept up from before the promise is looked at until the outcome is known.
    pub fn set_campaigning(&self, campaigning: bool) {
        self.campaigning.store(campaigning, Ordering::Relaxed);
    }

    pub fn heard_peer(&self) {
        self.peer_heard
            .store(self.ms(Instant::now()), Ordering::Relaxed);
    }

    /// Seconds since a peer was heard; also counted from the start of the process.
    pub fn peers_silent_s(&self) -> f64 {
        let now = self.ms(Instant::now());
        (now - self.peer_heard.load(Ordering::Relaxed).min(now)) as f64 / 1000.0
    }

    pub fn peer_address(&self, member: &str) -> Option<SocketAddr> {
        self.settings
            .others
            .iter()
            .find(|p| p.member == member)
            .map(|p| p.peer_addr)
    }
}
