//! The state of the model: two or three controllers and one state service.

use copperfield_leadership::{FencingToken, StoreReachability};
use copperfield_model_checker::{ModelState, Successors};

use crate::common::{Faults, Process, TTL};
use crate::mistakes::Mistake;

/// The time at which a history ends.
pub const HORIZON: u64 = 9;
/// Maximum number of campaigns in one history.
pub const CAMPAIGNS: u8 = 4;

/// The leader key at the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaderKey {
    pub controller: usize,
    /// Identifies the campaign that wrote the key.
    pub nonce: u8,
    pub version: u8,
    pub expires_at: u64,
}

/// The record that every election updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TermMarker {
    /// 0 if the record does not exist because there has never been a leader.
    pub version: u8,
    /// The token of the last election, once its leader has confirmed that it knows it won;
    /// otherwise 0.
    pub confirmed_token: u8,
}

/// The contents and guards of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Write {
    /// Writes the leader key, on a lease that expires at `expires_at`. Guarded by the absence
    /// of the key.
    Campaign { nonce: u8, expires_at: u64 },
    /// Confirms a term. Guarded by the version of the leader key.
    Confirm { version: u8 },
    /// Removes a leader key. Guarded by its version.
    RemoveKey { version: u8 },
    /// Cancels a job without a leader. Guarded by the absence of the leader key and by the version
    /// of the term marker.
    Cancel { marker: u8 },
}

/// A transaction in flight. It may be processed even after the process that sent it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Transaction {
    pub controller: usize,
    pub process: u8,
    pub write: Write,
}

/// The outcome of a transaction, on its way to the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Acknowledgement {
    pub transaction: Transaction,
    pub committed: bool,
}

/// An activity of a process other than leading.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Activity {
    None,
    /// Waits for the outcome of a campaign, sent at `sent_at` on the clock of the process.
    Campaign {
        sent_at: u64,
        nonce: u8,
    },
    /// Has read a leader key under its own name whose term is confirmed.
    FoundOwnKey {
        version: u8,
    },
    /// Waits for the outcome of the removal of a leader key.
    KeyRemoval,
    /// Asks its peers to confirm that they do not lead; `confirmed` are those that have.
    NoLeaderConfirmation {
        confirmed: PeerSet,
    },
    /// Reads the two records that guard a cancellation without a leader.
    CancellationReads {
        marker: Option<u8>,
        key_missing: bool,
    },
    /// Waits for the outcome of a cancellation without a leader.
    Cancellation,
}

/// A set of controllers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PeerSet(u8);

impl PeerSet {
    pub const EMPTY: Self = Self(0);

    /// All controllers except `controller`.
    pub fn peers_of(controller: usize, controllers: usize) -> Self {
        Self((1 << controllers) - 1 - (1 << controller))
    }

    /// Adds a controller. Returns whether it was not in the set before.
    pub fn insert(&mut self, controller: usize) -> bool {
        let new = !self.contains(controller);
        self.0 |= 1 << controller;
        new
    }

    pub fn contains(self, controller: usize) -> bool {
        self.0 & (1 << controller) != 0
    }
}

/// A leader's request for votes to extend its lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct VoteRequest {
    pub requested_at: u64,
    pub granted: PeerSet,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Controller {
    pub process: Process,
    pub activity: Activity,
    pub vote_request: Option<VoteRequest>,
}

impl Controller {
    fn new(process: Process) -> Self {
        Self {
            process,
            activity: Activity::None,
            vote_request: None,
        }
    }

    pub fn restarted(&self, now: u64) -> Self {
        Self::new(self.process.restarted(now))
    }

    /// Whether the process neither leads nor has another activity.
    pub fn is_idle(&self) -> bool {
        !self.process.leadership.is_leading() && self.activity == Activity::None
    }
}

/// A message from a leader that has stepped down, which transfers leadership to another controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Transfer {
    pub to: usize,
    /// The version of the leader key of the leader that stepped down.
    pub version: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeadershipModel {
    pub mistake: Mistake,
    pub now: u64,
    pub controllers: Vec<Controller>,
    pub leader_key: Option<LeaderKey>,
    pub term_marker: TermMarker,
    /// The last version that the state service assigned.
    pub last_version: u8,
    /// Sorted, so that the order of sending does not distinguish states.
    pub in_flight: Vec<Transaction>,
    pub transfers: Vec<Transfer>,
    /// Outcomes on their way to the senders, sorted.
    pub acknowledgements: Vec<Acknowledgement>,
    /// A cancellation without a leader was stored while a leader was valid.
    pub cancelled_during_valid_term: bool,
    pub faults: Faults,
    pub campaigns_left: u8,
    pub cancellations_left: u8,
}

impl LeadershipModel {
    pub fn new(controllers: usize, mistake: Mistake) -> Self {
        Self {
            mistake,
            now: 0,
            controllers: vec![Controller::new(Process::first()); controllers],
            leader_key: None,
            term_marker: TermMarker {
                version: 0,
                confirmed_token: 0,
            },
            last_version: 0,
            in_flight: Vec::new(),
            transfers: Vec::new(),
            acknowledgements: Vec::new(),
            cancelled_during_valid_term: false,
            faults: Faults::new(controllers, 3, 3),
            campaigns_left: CAMPAIGNS,
            cancellations_left: 1,
        }
    }

    /// The time on the clock of a controller's process.
    pub fn clock(&self, c: usize) -> u64 {
        self.controllers[c].process.clock(self.now)
    }

    pub fn is_valid_leader(&self, c: usize) -> bool {
        self.controllers[c].process.is_valid_leader(self.now)
    }

    /// The fencing token of the term that a controller leads.
    pub fn token(&self, c: usize) -> Option<u8> {
        let leadership = &self.controllers[c].process.leadership;
        (1..=self.last_version).find(|version| leadership.leads(token(*version)))
    }

    pub fn peers(&self, c: usize) -> impl Iterator<Item = usize> + use<> {
        (0..self.controllers.len()).filter(move |&peer| peer != c)
    }

    pub fn send(&mut self, c: usize, write: Write) {
        self.in_flight.push(Transaction {
            controller: c,
            process: self.controllers[c].process.number,
            write,
        });
        self.in_flight.sort();
    }

    /// Commits a transaction if its guards hold. Returns whether it was committed.
    pub fn commit(&mut self, transaction: Transaction) -> bool {
        if !self.guards_hold(transaction.write) {
            return false;
        }
        self.last_version += 1;
        let version = self.last_version;
        match transaction.write {
            Write::Campaign { nonce, expires_at } => {
                self.leader_key = Some(LeaderKey {
                    controller: transaction.controller,
                    nonce,
                    version,
                    expires_at,
                });
                self.set_term_marker(version, 0);
            }
            Write::Confirm { version: token } => self.set_term_marker(version, token),
            Write::RemoveKey { .. } => self.leader_key = None,
            Write::Cancel { .. } => {
                let anybody_valid = (0..self.controllers.len()).any(|c| self.is_valid_leader(c));
                self.cancelled_during_valid_term |= anybody_valid;
            }
        }
        true
    }

    fn guards_hold(&self, write: Write) -> bool {
        let key_version = self.leader_key.map(|key| key.version);
        match write {
            Write::Campaign { expires_at, .. } => key_version.is_none() && self.now < expires_at,
            Write::Confirm { version } => key_version == Some(version),
            Write::RemoveKey { version } => {
                key_version == Some(version) || self.mistake == Mistake::RemovalIgnoresKeyVersion
            }
            Write::Cancel { marker } => {
                let key_only = self.mistake == Mistake::CancellationGuardedByMissingKeyOnly;
                key_version.is_none() && (key_only || marker == self.term_marker.version)
            }
        }
    }

    fn set_term_marker(&mut self, version: u8, confirmed_token: u8) {
        self.term_marker = TermMarker {
            version,
            confirmed_token,
        };
    }

    /// Reports the outcome of a transaction to its sender; `None` if the outcome is unknown.
    pub fn acknowledge(&mut self, transaction: Transaction, committed: Option<bool>) {
        let (clock, mistake) = (self.sender_clock(transaction), self.mistake);
        let Some(clock) = clock else {
            return;
        };
        let c = transaction.controller;
        let controller = &mut self.controllers[c];
        let leadership = &mut controller.process.leadership;
        match (&controller.activity, transaction.write) {
            (Activity::KeyRemoval, Write::RemoveKey { .. }) => {
                if committed == Some(true) {
                    leadership.release_vote(clock);
                }
                leadership.end_no_leader_confirmation();
                controller.activity = Activity::None;
            }
            (Activity::Cancellation, Write::Cancel { .. }) => {
                if mistake != Mistake::VotesDuringLeaderlessCancellation {
                    leadership.end_leaderless_cancellation();
                }
                controller.activity = Activity::None;
            }
            (
                &Activity::Campaign { sent_at, nonce },
                Write::Campaign {
                    nonce: acknowledged,
                    ..
                },
            ) if nonce == acknowledged || mistake == Mistake::IgnoresCampaignNonce => {
                leadership.end_campaign();
                controller.activity = Activity::None;
                if committed.is_some() {
                    self.read_back(c, acknowledged, sent_at);
                }
            }
            _ => {}
        }
    }

    /// The time on the clock of the process that sent a transaction, if that process still runs.
    fn sender_clock(&self, transaction: Transaction) -> Option<u64> {
        let process = &self.controllers[transaction.controller].process;
        (process.number == transaction.process).then(|| process.clock(self.now))
    }

    /// Reads the leader key back to determine whether the campaign with this nonce was won.
    fn read_back(&mut self, c: usize, nonce: u8, sent_at: u64) {
        let own = |key: &LeaderKey| key.controller == c && key.nonce == nonce;
        let Some(LeaderKey { version, .. }) = self.leader_key.filter(own) else {
            return;
        };
        let leadership = &mut self.controllers[c].process.leadership;
        leadership.begin_leading(token(version), sent_at);
        self.send(c, Write::Confirm { version });
    }

    /// A controller answers the vote request of a leader. Returns whether it grants its vote.
    pub fn answer_vote_request(&mut self, c: usize, leader: u8) -> bool {
        let store = if self.faults.can_reach_store(c) {
            StoreReachability::Reachable
        } else {
            StoreReachability::Unreachable
        };
        let clock = self.clock(c);
        let Controller {
            process, activity, ..
        } = &mut self.controllers[c];
        let leadership = &mut process.leadership;
        // Some planted mistakes suspend, during the vote, an activity that forbids it.
        let (suspend_confirmation, suspend_campaign) = match (activity, self.mistake) {
            (Activity::KeyRemoval, Mistake::VotesDuringKeyRemoval) => (true, false),
            (Activity::Campaign { .. }, Mistake::VotesDuringCampaign) => (false, true),
            (Activity::NoLeaderConfirmation { .. }, Mistake::VotesDuringConfirmation) => {
                (true, false)
            }
            _ => (false, false),
        };
        if suspend_confirmation {
            leadership.end_no_leader_confirmation();
        }
        if suspend_campaign {
            leadership.end_campaign();
        }
        let vote = leadership.vote_to_extend_lease(clock, store, token(leader));
        if suspend_confirmation {
            leadership.begin_no_leader_confirmation();
        }
        if suspend_campaign {
            leadership.begin_campaign();
        }
        vote.is_granted()
    }
}

/// The fencing token of the leader whose key has this version.
pub fn token(version: u8) -> FencingToken {
    FencingToken::from(u64::from(version))
}

impl ModelState for LeadershipModel {
    fn successors(&self) -> Vec<(&'static str, Self)> {
        let mut steps = Successors::new(self);
        self.add_service_steps(&mut steps);
        for c in 0..self.controllers.len() {
            self.add_fault_steps(c, &mut steps);
            self.add_campaign_step(c, &mut steps);
            self.add_key_removal_steps(c, &mut steps);
            self.add_confirmation_steps(c, &mut steps);
            self.add_term_steps(c, &mut steps);
            self.add_vote_steps(c, &mut steps);
            self.add_transfer_steps(c, &mut steps);
            self.add_cancellation_steps(c, &mut steps);
        }
        self.add_transaction_steps(&mut steps);
        self.add_acknowledgement_steps(&mut steps);
        steps.into_vec()
    }

    fn violates_property(&self) -> bool {
        let valid = (0..self.controllers.len()).filter(|&c| self.is_valid_leader(c));
        valid.count() > 1 || self.cancelled_during_valid_term
    }
}

/// When a lease expires that is requested or renewed at `now`.
pub fn lease_expiry(now: u64) -> u64 {
    now + TTL
}
