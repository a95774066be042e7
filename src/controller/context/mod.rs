//! State that the tasks of a controller access without going through its event loop: the clock,
//! the state of its leadership, its permission as a shard owner, and the time of its last contact
//! with a peer.

mod clock;
mod leadership_state;
mod leadership_transfer;
mod peer_contact;
mod random;
mod shard_permission;
mod timer;

use std::net::SocketAddr;
use std::sync::Arc;

use copperfield_leadership::{StoreReachability, Vote};
use tokio::sync::Notify;

use crate::settings::{Settings, Tuning};
use crate::storage::store::Store;
use crate::transport::client::Network;
use crate::transport::rate_limiter::RateLimiter;
use crate::transport::server::ApiResponse;

pub use clock::ControllerClock;
pub use leadership_state::LeadershipState;

use leadership_transfer::PendingTransfer;
use peer_contact::PeerContact;
use random::SharedRandom;
use shard_permission::ShardPermission;
use timer::Timer;

/// How long a leader that resigned because no worker could reach it does not campaign, so that
/// another controller is elected.
const ELECTION_BACKOFF_MS: u64 = 8000;
/// How long after a process pause the controller may still read requests that arrived during the
/// pause.
const STALE_REQUEST_PERIOD_MS: u64 = 100;
/// The share of the state service's published limits that all controllers together use.
const STORE_LIMIT_SHARE: f64 = 0.95;
/// A follower's load on the state service, as a share of the leader's load.
const FOLLOWER_LOAD_SHARE: f64 = 0.5;
/// The share of the cloud's published request rate that this controller uses.
const CLOUD_LIMIT_SHARE: f64 = 0.8;
/// How many seconds' worth of requests to the cloud may be sent at once.
const CLOUD_BURST_S: f64 = 1.0;
/// The HTTP status of the answer to a worker that reports to the wrong controller.
const MISDIRECTED_REQUEST: u16 = 421;

/// The shared state of a controller's tasks.
pub struct ControllerContext {
    /// The platform's settings.
    pub settings: Settings,
    /// The operators' settings, and intervals and limits that tests may change.
    pub tuning: Tuning,
    /// The client for requests to peers, workers and services.
    pub http: Arc<dyn Network>,
    /// The client of the state service.
    pub store: Arc<Store>,
    /// The rate limiter for requests to the cloud.
    pub cloud_rate_limiter: RateLimiter,
    /// Wakes the election loop before its next scheduled read of the leader key.
    pub election_wakeup: Notify,
    /// The state of this controller's leadership, and its votes on the leases of other leaders.
    pub leadership: LeadershipState,
    clock: ControllerClock,
    random: SharedRandom,
    shard_permission: ShardPermission,
    election_backoff: Timer,
    peer_contact: PeerContact,
    /// While this runs, requests that are read may have waited in a socket during a process pause.
    stale_request_period: Timer,
    pending_transfer: PendingTransfer,
}

impl ControllerContext {
    /// Creates the context. `seed` determines the random choices, so that tests are reproducible.
    pub fn new(settings: Settings, tuning: Tuning, http: Arc<dyn Network>, seed: u64) -> Self {
        let clock = ControllerClock::start_now();
        Self {
            cloud_rate_limiter: RateLimiter::new(
                settings.cluster.cloud.rps * CLOUD_LIMIT_SHARE,
                CLOUD_BURST_S,
            ),
            store: Arc::new(new_store(&settings, http.clone())),
            http,
            election_wakeup: Notify::new(),
            leadership: LeadershipState::new(clock, tuning.leader_ttl_ms),
            clock,
            random: SharedRandom::seeded(seed),
            shard_permission: ShardPermission::none(clock),
            election_backoff: Timer::stopped(clock),
            peer_contact: PeerContact::new(clock),
            stale_request_period: Timer::stopped(clock),
            pending_transfer: PendingTransfer::none(),
            settings,
            tuning,
        }
    }

    /// The wall-clock time. It is used only to compute ages, never to order events.
    pub fn unix_ms(&self) -> u64 {
        self.http.unix_ms()
    }

    /// The time on the controller's monotonic clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// The time on the controller's monotonic clock, in seconds.
    pub fn now_s(&self) -> f64 {
        self.clock.now_s()
    }

    /// A random number below `bound`.
    pub fn random(&self, bound: u64) -> u64 {
        self.random.below(bound)
    }

    /// The address at which a peer listens for requests from other controllers.
    pub fn peer_address(&self, member: &str) -> Option<SocketAddr> {
        self.settings
            .peers
            .iter()
            .find(|peer| peer.member == member)
            .map(|peer| peer.peer_addr)
    }
}

/// Leadership.
impl ControllerContext {
    /// Steps down and stays out of the election for a while, so that a controller that workers
    /// can reach is elected.
    pub fn resign(&self, token: u64) {
        self.election_backoff.restart(ELECTION_BACKOFF_MS);
        self.leadership.step_down(token);
    }

    /// Whether this controller resigned recently and does not campaign.
    pub fn is_backing_off(&self) -> bool {
        self.election_backoff.is_running()
    }

    /// Votes on the lease extension of the leader with this token, depending on whether the state
    /// service is reachable.
    pub fn vote_to_extend_lease(&self, token: u64) -> Vote {
        let store = if self.store.is_unreachable() {
            StoreReachability::Unreachable
        } else {
            StoreReachability::Reachable
        };
        self.leadership.vote_to_extend_lease(store, token)
    }

    /// Records that the leader with this token has stepped down in favour of this controller.
    pub fn receive_leadership_transfer(&self, token: u64) {
        self.pending_transfer.set(token);
        self.election_wakeup.notify_one();
    }

    /// Takes the token of a leader that has stepped down in favour of this controller.
    pub fn take_leadership_transfer(&self) -> Option<u64> {
        self.pending_transfer.take()
    }
}

/// Workers.
impl ControllerContext {
    /// Permits this controller, as a shard owner, to answer and command its workers under this
    /// token until a time on the clock of [`Self::now_ms`].
    pub fn set_shard_permission(&self, token: u64, until_ms: u64) {
        self.shard_permission.set(token, until_ms);
    }

    /// Whether this controller, as leader or as shard owner, may answer workers now.
    pub fn may_answer_workers(&self) -> bool {
        self.leadership.is_valid() || self.shard_permission.token().is_some()
    }

    /// Whether this controller may send commands under this token now.
    pub fn may_send_commands(&self, token: u64) -> bool {
        let as_leader = self.leadership.is_valid() && self.leadership.leads(token);
        as_leader || self.shard_permission.token() == Some(token)
    }

    /// The response to a worker that reports to the wrong controller. It names the right one if
    /// that is known.
    pub fn redirect_worker(&self, controller: Option<&str>) -> ApiResponse {
        match controller.filter(|name| *name != self.settings.member) {
            Some(controller) => ApiResponse::json(
                MISDIRECTED_REQUEST,
                &serde_json::json!({ "controller": controller }),
            ),
            None => ApiResponse::json(MISDIRECTED_REQUEST, &serde_json::json!({})),
        }
    }
}

/// Process pauses and contact with peers.
impl ControllerContext {
    /// Records a pause of this process. Users whose requests arrived during the pause may have
    /// timed out.
    pub fn record_process_pause(&self) {
        self.stale_request_period.restart(STALE_REQUEST_PERIOD_MS);
    }

    /// Whether a request that is read now may have waited longer than its user's timeout.
    pub fn requests_may_be_stale(&self) -> bool {
        self.stale_request_period.is_running()
    }

    /// Records that a peer contacted this controller or answered it.
    pub fn record_peer_contact(&self) {
        self.peer_contact.record();
    }

    /// Seconds since the last contact with a peer, or since the start of the process.
    pub fn seconds_since_peer_contact(&self) -> f64 {
        self.peer_contact.age_s()
    }
}

/// Creates a client of the state service whose rate limit is sized for the leader, since any
/// controller may lead. One leader and all other controllers as followers stay below the
/// published limits together.
fn new_store(settings: &Settings, http: Arc<dyn Network>) -> Store {
    let limits = &settings.cluster.state;
    let share = STORE_LIMIT_SHARE / (1.0 + FOLLOWER_LOAD_SHARE * settings.peers.len() as f64);
    Store::new(
        http,
        settings.external.state,
        settings.peers.iter().map(|peer| peer.peer_addr).collect(),
        limits.rps * share,
        limits.write_rps * share,
    )
}
