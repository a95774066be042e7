//! What the tasks of a process share without asking the owner of its state: how
//! long this node may lead, what it has promised, and whom it has heard.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use copperfield_leadership::{Leadership, MARGIN_MS};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::settings::{Settings, Tuning};
use crate::storage::store::Store;
use crate::transport::client::Network;
use crate::transport::rate_limiter::RateLimiter;
use crate::transport::server::Outgoing;

/// How long a leader that heard no worker lets others go first.
const ABDICATION_MS: u64 = 8000;
/// After a long pause the sockets are worked off within this.
const STALE_MS: u64 = 100;

/// What the tasks of a process share without asking the owner.
pub struct ControllerContext {
    pub settings: Settings,
    pub tuning: Tuning,
    pub http: Arc<dyn Network>,
    rng: Mutex<StdRng>,
    pub store: Arc<Store>,
    pub cloud_budget: RateLimiter,
    start: Instant,
    /// Whether this node may lead and what it has promised, in ms since `start`.
    leadership: Mutex<Leadership>,
    /// The leader's grant to this node to speak with some workers: its token, and until when,
    /// in ms since `start`.
    granted: Mutex<(u64, u64)>,
    /// Until when others are let go first, in ms since `start`.
    election_backoff_until: AtomicU64,
    /// When a peer was last heard, in ms since `start`.
    peer_heard: AtomicU64,
    /// Until when requests may have lain in a socket while this process stood still.
    stale_until: AtomicU64,
    /// The token of a leader that has stepped down for this node, 0 for none.
    transferred_token: AtomicU64,
    /// The leader key is to be looked at now.
    pub election_due: Notify,
}

impl ControllerContext {
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
            cloud_budget: RateLimiter::new(settings.cluster.cloud.rps * 0.8, 1.0),
            http,
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            store,
            start: Instant::now(),
            leadership: Mutex::new(Leadership::new(tuning.leader_ttl_ms, MARGIN_MS)),
            granted: Mutex::new((0, 0)),
            election_backoff_until: AtomicU64::new(0),
            peer_heard: AtomicU64::new(0),
            stale_until: AtomicU64::new(0),
            transferred_token: AtomicU64::new(0),
            election_due: Notify::new(),
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

    /// As [`Self::now_s`], in ms.
    pub fn now_ms(&self) -> u64 {
        self.ms(Instant::now())
    }

    /// This node may speak with workers under this token until then, by [`Self::now_ms`].
    pub fn set_granted(&self, token: u64, until_ms: u64) {
        *self.granted.lock().expect("no panic while held") = (token, until_ms);
    }

    fn granted(&self) -> Option<u64> {
        let (token, until) = *self.granted.lock().expect("no panic while held");
        (self.now_ms() < until).then_some(token)
    }

    /// Whether a worker may be answered now, by this node as leader or under a grant.
    pub fn may_answer(&self) -> bool {
        self.is_valid() || self.granted().is_some()
    }

    /// Whether orders under this token may leave from here.
    pub fn may_order(&self, token: u64) -> bool {
        (self.is_valid() && self.leads(token)) || self.granted() == Some(token)
    }

    pub fn now_s(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// What this node knows of its right to lead, and the time on its clock, in ms.
    fn leadership<T>(&self, of: impl FnOnce(&mut Leadership, u64) -> T) -> T {
        let mut leadership = self.leadership.lock().expect("no panic while held");
        // Read under the lock: no step is taken at a time before the one that came first.
        let now = self.ms(Instant::now());
        of(&mut leadership, now)
    }

    /// See [`Leadership::vote_binding_until`]; on the clock of [`Self::now_s`].
    pub fn vote_binding_until_s(&self) -> f64 {
        self.leadership(|l, _| l.vote_binding_until()) as f64 / 1000.0
    }

    /// See [`Leadership::lease_extended_until`]; on the clock of [`Self::now_s`].
    pub fn lease_extended_until_s(&self) -> f64 {
        self.leadership(|l, _| l.lease_extended_until()) as f64 / 1000.0
    }

    pub fn begin_leading(&self, token: u64, sent: Instant) {
        self.leadership(|l, _| l.begin_leading(token, self.ms(sent)));
    }

    pub fn renewed(&self, sent: Instant) {
        self.leadership(|l, _| l.renewed(self.ms(sent)));
    }

    /// False if the chain was broken meanwhile.
    pub fn lease_extended_by_peers(&self, asked: Instant) -> bool {
        self.leadership(|l, now| l.lease_extended_by_peers(self.ms(asked), now))
    }

    pub fn valid_for(&self) -> Duration {
        Duration::from_millis(self.leadership(|l, now| l.valid_for(now)))
    }

    pub fn is_valid(&self) -> bool {
        self.leadership(|l, now| l.is_valid(now))
    }

    pub fn step_down(&self, token: u64) {
        self.leadership(|l, _| l.step_down(token));
    }

    /// Steps down for a while, so that a node that workers can reach takes over.
    pub fn resign(&self, token: u64) {
        let until = self.ms(Instant::now()) + ABDICATION_MS;
        self.election_backoff_until.store(until, Ordering::Relaxed);
        self.step_down(token);
    }

    pub fn is_backing_off(&self) -> bool {
        self.election_backoff_until.load(Ordering::Relaxed) > self.ms(Instant::now())
    }

    pub fn leads(&self, token: u64) -> bool {
        self.leadership(|l, _| l.leads(token))
    }

    pub fn has_promised(&self) -> bool {
        self.leadership(|l, now| l.has_promised(now))
    }

    pub fn vote_to_extend_lease(&self, token: u64) -> bool {
        let refused = self.store.is_refused();
        self.leadership(|l, now| l.vote_to_extend_lease(now, refused, token))
    }

    pub fn begin_leaderless(&self) -> bool {
        self.leadership(copperfield_leadership::Leadership::begin_leaderless)
    }

    pub fn end_leaderless(&self) {
        self.leadership(|l, _| l.end_leaderless());
    }

    pub fn set_campaigning(&self, campaigning: bool) {
        self.leadership(|l, _| l.set_campaigning(campaigning));
    }

    pub fn is_idle(&self) -> bool {
        self.leadership(|l, _| l.is_idle())
    }

    pub fn set_asking(&self, asking: bool) {
        self.leadership(|l, _| l.set_asking(asking));
    }

    pub fn released(&self) {
        self.leadership(copperfield_leadership::Leadership::released);
    }

    /// The leader of this token has stepped down, and wants this node to lead.
    pub fn transfer_leadership(&self, token: u64) {
        self.transferred_token.store(token, Ordering::Relaxed);
        self.election_due.notify_one();
    }

    /// The key to remove, if a leader has handed over.
    pub fn take_leadership_transfer(&self) -> Option<u64> {
        Some(self.transferred_token.swap(0, Ordering::Relaxed)).filter(|token| *token > 0)
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

    pub fn heard_peer(&self) {
        self.peer_heard
            .store(self.ms(Instant::now()), Ordering::Relaxed);
    }

    /// Seconds since a peer was heard; also counted from the start of the process.
    pub fn peers_silent_s(&self) -> f64 {
        let now = self.ms(Instant::now());
        (now - self.peer_heard.load(Ordering::Relaxed).min(now)) as f64 / 1000.0
    }

    /// 421 with the node that a worker is to report to, if that is another one.
    pub fn send_to(&self, controller: Option<&str>) -> Outgoing {
        match controller.filter(|n| *n != self.settings.member) {
            Some(controller) => {
                Outgoing::json(421, &serde_json::json!({ "controller": controller }))
            }
            None => Outgoing::json(421, &serde_json::json!({})),
        }
    }

    pub fn peer_address(&self, member: &str) -> Option<SocketAddr> {
        self.settings
            .others
            .iter()
            .find(|p| p.member == member)
            .map(|p| p.peer_addr)
    }
}
