//! Two or three controllers and one state service.

use copperfield_leadership::{FencingToken, StoreReachability};
use copperfield_model_checker::{ModelState, Successors};

use crate::common::{Faults, Process, TTL};
use crate::mistakes::Mistake;

/// When a history ends.
pub const HORIZON: u64 = 9;
/// How many campaigns there are in one history.
pub const CAMPAIGNS: u8 = 4;

/// The leader key at the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaderKey {
    pub controller: usize,
    /// Drawn anew for each campaign.
    pub nonce: u8,
    pub version: u8,
    pub lease_ends: u64,
}

/// The record that every election changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TermMarker {
    /// 0: it is missing, as nobody has ever led.
    pub version: u8,
    /// The last token whose leader knew that it led.
    pub confirmed_token: u8,
}

/// What a transaction writes, and by what it is guarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Write {
    /// The leader key, on a lease that ends then. Guarded by the missing key.
    Campaign { nonce: u8, lease_ends: u64 },
    /// The confirmation of a term. Guarded by the key's version.
    Confirm { version: u8 },
    /// The removal of a leader key. Guarded by its version.
    RemoveKey { version: u8 },
    /// A cancellation without a leader. Guarded by the missing key and by the version of the
    /// term marker.
    Cancel { marker: u8 },
}

/// A transaction on its way. It goes on without the process that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Transaction {
    pub controller: usize,
    pub process: u8,
    pub write: Write,
}

/// What became of a transaction; its sender does not know it yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Acknowledgement {
    pub transaction: Transaction,
    pub committed: bool,
}

/// What a process does besides leading.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Activity {
    None,
    /// Waits for its campaign, which it sent then.
    Campaign {
        sent_at: u64,
        nonce: u8,
    },
    /// Has seen a key under its own name, and that its leader knew that it led.
    FoundOwnKey {
        version: u8,
    },
    /// Waits for the removal of such a key.
    KeyRemoval,
    /// Asks its peers whether they lead; those that have confirmed that they do not.
    NoLeaderConfirmation {
        confirmed: PeerSet,
    },
    /// Reads the two records that guard a cancellation.
    CancellationReads {
        marker: Option<u8>,
        key_missing: bool,
    },
    /// Waits for a cancellation without a leader.
    Cancellation,
}

/// A set of controllers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PeerSet(u8);

impl PeerSet {
    pub const EMPTY: Self = Self(0);

    /// All controllers but one.
    pub fn peers_of(controller: usize, controllers: usize) -> Self {
        Self((1 << controllers) - 1 - (1 << controller))
    }

    /// Whether the controller was not in the set before.
    pub fn insert(&mut self, controller: usize) -> bool {
        let new = !self.contains(controller);
        self.0 |= 1 << controller;
        new
    }

    pub fn contains(self, controller: usize) -> bool {
        self.0 & (1 << controller) != 0
    }
}

/// The votes for the extension of a leader's lease.
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

    /// Whether the process neither leads nor does anything else.
    pub fn is_free(&self) -> bool {
        !self.process.leadership.is_leading() && self.activity == Activity::None
    }
}

/// A message to a controller from a leader that has stepped down in its favour.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Transfer {
    pub to: usize,
    /// The version of the leader's key.
    pub version: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeadershipWorld {
    pub mistake: Mistake,
    pub now: u64,
    pub controllers: Vec<Controller>,
    pub leader_key: Option<LeaderKey>,
    pub term_marker: TermMarker,
    /// The last version that the state service gave.
    pub last_version: u8,
    /// In their order, so that equal worlds are equal.
    pub in_flight: Vec<Transaction>,
    pub transfers: Vec<Transfer>,
    /// Of transactions that were committed or refused, in their order.
    pub acknowledgements: Vec<Acknowledgement>,
    /// A cancellation without a leader was stored while somebody was valid.
    pub cancelled_beside_leader: bool,
    pub faults: Faults,
    pub campaigns_left: u8,
    pub cancellations_left: u8,
}

impl LeadershipWorld {
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
            cancelled_beside_leader: false,
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

    /// The state service commits a transaction if its guards hold; whether it did.
    pub fn commit(&mut self, transaction: Transaction) -> bool {
        if !self.guards_hold(transaction.write) {
            return false;
        }
        self.last_version += 1;
        let version = self.last_version;
        match transaction.write {
            Write::Campaign { nonce, lease_ends } => {
                self.leader_key = Some(LeaderKey {
                    controller: transaction.controller,
                    nonce,
                    version,
                    lease_ends,
                });
                self.set_term_marker(version, 0);
            }
            Write::Confirm { version: token } => self.set_term_marker(version, token),
            Write::RemoveKey { .. } => self.leader_key = None,
            Write::Cancel { .. } => {
                let anybody_valid = (0..self.controllers.len()).any(|c| self.is_valid_leader(c));
                self.cancelled_beside_leader |= anybody_valid;
            }
        }
        true
    }

    fn guards_hold(&self, write: Write) -> bool {
        let key_version = self.leader_key.map(|key| key.version);
        match write {
            Write::Campaign { lease_ends, .. } => key_version.is_none() && self.now < lease_ends,
            Write::Confirm { version } => key_version == Some(version),
            Write::RemoveKey { version } => {
                key_version == Some(version) || self.mistake == Mistake::RemovalIgnoresKeyVersion
            }
            Write::Cancel { marker } => {
                let key_alone = self.mistake == Mistake::CancellationGuardedByMissingKeyOnly;
                key_version.is_none() && (key_alone || marker == self.term_marker.version)
            }
        }
    }

    fn set_term_marker(&mut self, version: u8, confirmed_token: u8) {
        self.term_marker = TermMarker {
            version,
            confirmed_token,
        };
    }

    /// The sender learns the outcome of its transaction; `None`: that it is unknown.
    pub fn acknowledge(&mut self, transaction: Transaction, committed: Option<bool>) {
        let (clock, mistake) = (self.clock_at(transaction), self.mistake);
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
            (&Activity::Campaign { sent_at, nonce }, Write::Campaign { nonce: of, .. })
                if nonce == of || mistake == Mistake::IgnoresCampaignNonce =>
            {
                leadership.end_campaign();
                controller.activity = Activity::None;
                if committed.is_some() {
                    self.read_back(c, of, sent_at);
                }
            }
            _ => {}
        }
    }

    /// The clock of the process that sent a transaction, if it has not ended.
    fn clock_at(&self, transaction: Transaction) -> Option<u64> {
        let process = &self.controllers[transaction.controller].process;
        (process.number == transaction.process).then(|| process.clock(self.now))
    }

    /// The key says who has won a campaign.
    fn read_back(&mut self, c: usize, nonce: u8, sent_at: u64) {
        let own = |key: &LeaderKey| key.controller == c && key.nonce == nonce;
        let Some(LeaderKey { version, .. }) = self.leader_key.filter(own) else {
            return;
        };
        let leadership = &mut self.controllers[c].process.leadership;
        leadership.begin_leading(token(version), sent_at);
        self.send(c, Write::Confirm { version });
    }

    /// A controller answers a leader that asks for its vote; whether it grants it.
    pub fn vote(&mut self, c: usize, leader: u8) -> bool {
        let store = if self.faults.serves(c) {
            StoreReachability::Reachable
        } else {
            StoreReachability::Unreachable
        };
        let clock = self.clock(c);
        let Controller {
            process, activity, ..
        } = &mut self.controllers[c];
        let leadership = &mut process.leadership;
        // The planted mistakes leave out, for the time of a vote, what forbids it.
        let (confirms, campaigns) = match (activity, self.mistake) {
            (Activity::KeyRemoval, Mistake::VotesDuringKeyRemoval) => (true, false),
            (Activity::Campaign { .. }, Mistake::VotesDuringCampaign) => (false, true),
            (Activity::NoLeaderConfirmation { .. }, Mistake::VotesDuringConfirmation) => {
                (true, false)
            }
            _ => (false, false),
        };
        if confirms {
            leadership.end_no_leader_confirmation();
        }
        if campaigns {
            leadership.end_campaign();
        }
        let vote = leadership.vote_to_extend_lease(clock, store, token(leader));
        if confirms {
            leadership.begin_no_leader_confirmation();
        }
        if campaigns {
            leadership.begin_campaign();
        }
        vote.is_granted()
    }
}

/// The fencing token of the leader whose key has this version.
pub fn token(version: u8) -> FencingToken {
    FencingToken::from(u64::from(version))
}

impl ModelState for LeadershipWorld {
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
        valid.count() > 1 || self.cancelled_beside_leader
    }
}

/// For how long the lease of a new key is asked for.
pub fn lease_end(now: u64) -> u64 {
    now + TTL
}
