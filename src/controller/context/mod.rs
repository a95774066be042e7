//! What the tasks of a controller share without asking its event loop: its clock, how long it
//! may lead, what it may do as a shard owner, and when it was last in contact with a peer.

mod clock;
mod deadline;
mod leadership_state;
mod leadership_transfer;
mod peer_contact;
mod random;
mod shard_permission;

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

use deadline::Deadline;
use leadership_transfer::PendingTransfer;
use peer_contact::PeerContact;
use random::SharedRandom;
use shard_permission::ShardPermission;

/// How long a leader that resigned because no worker reached it leaves the election to others.
const ELECTION_BACKOFF_MS: u64 = 8000;
/// After a pause of the process, requests that came in meanwhile are worked off within this.
const STALE_REQUESTS_MS: u64 = 100;
/// The part of the state service's published limits that the controllers use together.
const STORE_LIMIT_PART: f64 = 0.95;
/// What a follower needs of the state service, as a part of what the leader needs.
const FOLLOWER_LOAD: f64 = 0.5;
/// The part of the cloud's published request rate that this controller uses.
const CLOUD_LIMIT_PART: f64 = 0.8;
/// Requests to the cloud that may go out at once.
const CLOUD_BURST: f64 = 1.0;
/// HTTP status for a request that belongs to another controller.
const MISDIRECTED_REQUEST: u16 = 421;

/// The shared state of a controller's tasks.
pub struct ControllerContext {
    /// What this controller was started with.
    pub settings: Settings,
    /// Intervals and limits that tests may change.
    pub tuning: Tuning,
    /// The connections to peers, workers and services.
    pub http: Arc<dyn Network>,
    /// The client of the state service.
    pub store: Arc<Store>,
    /// The limit on requests to the cloud.
    pub cloud_budget: RateLimiter,
    /// Wakes the election loop before its next regular look at the leader key.
    pub election_wakeup: Notify,
    /// The right of this controller to lead, and its votes for other leaders.
    pub leadership: LeadershipState,
    clock: ControllerClock,
    random: SharedRandom,
    shard_permission: ShardPermission,
    election_backoff: Deadline,
    peer_contact: PeerContact,
    /// While it runs, requests may have lain in a socket during a pause of the process.
    stale_requests: Deadline,
    pending_transfer: PendingTransfer,
}

impl ControllerContext {
    /// `seed` decides the few random choices, so that tests repeat.
    pub fn new(settings: Settings, tuning: Tuning, http: Arc<dyn Network>, seed: u64) -> Self {
        let clock = ControllerClock::start_now();
        Self {
            cloud_budget: RateLimiter::new(
                settings.cluster.cloud.rps * CLOUD_LIMIT_PART,
                CLOUD_BURST,
            ),
            store: Arc::new(new_store(&settings, http.clone())),
            http,
            election_wakeup: Notify::new(),
            leadership: LeadershipState::new(clock, tuning.leader_ttl_ms),
            clock,
            random: SharedRandom::seeded(seed),
            shard_permission: ShardPermission::none(clock),
            election_backoff: Deadline::expired(clock),
            peer_contact: PeerContact::new(clock),
            stale_requests: Deadline::expired(clock),
            pending_transfer: PendingTransfer::none(),
            settings,
            tuning,
        }
    }

    /// The time of day. Only ages are taken from it, never an order of events.
    pub fn unix_ms(&self) -> u64 {
        self.http.unix_ms()
    }

    /// The time on the controller's steady clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// The time on the controller's steady clock, in seconds.
    pub fn now_s(&self) -> f64 {
        self.clock.now_s()
    }

    /// A random number below `bound`.
    pub fn random(&self, bound: u64) -> u64 {
        self.random.below(bound)
    }

    /// The address at which a peer listens for other controllers.
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

    /// Whether this controller resigned a moment ago and does not campaign.
    pub fn is_backing_off(&self) -> bool {
        self.election_backoff.is_running()
    }

    /// Votes on the lease of the leader of this token, by what is known of the state service.
    pub fn vote_to_extend_lease(&self, token: u64) -> Vote {
        let store = if self.store.is_unreachable() {
            StoreReachability::Unreachable
        } else {
            StoreReachability::Reachable
        };
        self.leadership.vote_to_extend_lease(store, token)
    }

    /// The leader of this token has stepped down, and wants this controller to lead.
    pub fn transfer_leadership(&self, token: u64) {
        self.pending_transfer.set(token);
        self.election_wakeup.notify_one();
    }

    /// The token of a leader that has stepped down for this controller, once.
    pub fn take_leadership_transfer(&self) -> Option<u64> {
        self.pending_transfer.take()
    }
}

/// Workers.
impl ControllerContext {
    /// As a shard owner this controller may act for its workers under this token until then, by
    /// [`Self::now_ms`].
    pub fn set_shard_permission(&self, token: u64, until_ms: u64) {
        self.shard_permission.set(token, until_ms);
    }

    /// Whether a worker may be answered now, by this controller as leader or as shard owner.
    pub fn may_answer(&self) -> bool {
        self.leadership.is_valid() || self.shard_permission.token().is_some()
    }

    /// Whether commands under this token may leave from here.
    pub fn may_command(&self, token: u64) -> bool {
        let as_leader = self.leadership.is_valid() && self.leadership.leads(token);
        as_leader || self.shard_permission.token() == Some(token)
    }

    /// Answers a worker that reports to the wrong controller with the right one, if it is known.
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

/// Pauses and cuts.
impl ControllerContext {
    /// This process was paused: the users of requests that came in meanwhile may have timed out.
    pub fn record_process_pause(&self) {
        self.stale_requests.restart(STALE_REQUESTS_MS);
    }

    /// Whether a request read now may have waited for longer than its user does.
    pub fn may_be_stale(&self) -> bool {
        self.stale_requests.is_running()
    }

    /// A peer contacted this controller or answered it.
    pub fn record_peer_contact(&self) {
        self.peer_contact.record();
    }

    /// Seconds since the last contact with a peer, or since the start of the process.
    pub fn seconds_since_peer_contact(&self) -> f64 {
        self.peer_contact.age_s()
    }
}

/// Any controller may lead, and the leader needs the most: one leader and the others as
/// followers stay under the published limits together.
fn new_store(settings: &Settings, http: Arc<dyn Network>) -> Store {
    let limits = &settings.cluster.state;
    let share = STORE_LIMIT_PART / (1.0 + FOLLOWER_LOAD * settings.peers.len() as f64);
    Store::new(
        http,
        settings.external.state,
        settings.peers.iter().map(|peer| peer.peer_addr).collect(),
        limits.rps * share,
        limits.write_rps * share,
    )
}
