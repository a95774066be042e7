//! The steps of the model.

use copperfield_model_checker::Successors;

use crate::common::{controller_step, take_one};
use crate::mistakes::Mistake;
use crate::state::{
    Acknowledgement, Activity, CAMPAIGNS, HORIZON, LeadershipModel, PeerSet, Transfer, VoteRequest,
    Write, lease_expiry, token,
};

type Steps<'a> = Successors<'a, LeadershipModel>;

/// The state service.
impl LeadershipModel {
    pub fn add_service_steps(&self, steps: &mut Steps) {
        steps.add("time passes", |m| {
            m.now += 1;
            m.now <= HORIZON
        });
        steps.add("the leader key expires", |m| {
            let expired = m.leader_key.is_some_and(|key| m.now >= key.expires_at);
            let ends = expired && !m.faults.is_outage();
            if ends {
                m.leader_key = None;
                m.last_version += 1;
            }
            ends
        });
        steps.add("an outage begins", |m| m.faults.begin_outage());
        steps.add("the outage ends", |m| {
            m.restart_leases();
            m.faults.end_outage()
        });
    }

    /// After an outage every lease starts again with its full TTL.
    fn restart_leases(&mut self) {
        let restarted = lease_expiry(self.now);
        if let Some(key) = &mut self.leader_key {
            key.expires_at = restarted;
        }
        for transaction in &mut self.in_flight {
            if let Write::Campaign { expires_at, .. } = &mut transaction.write {
                *expires_at = restarted;
            }
        }
    }

    pub fn add_transaction_steps(&self, steps: &mut Steps) {
        for i in 0..self.in_flight.len() {
            steps.add("a transaction is processed", |m| {
                let transaction = m.in_flight.remove(i);
                if m.faults.is_outage() {
                    return false;
                }
                let committed = m.commit(transaction);
                m.acknowledgements.push(Acknowledgement {
                    transaction,
                    committed,
                });
                m.acknowledgements.sort();
                true
            });
            steps.add("a transaction times out but may still be processed", |m| {
                let before = m.controllers.clone();
                m.acknowledge(m.in_flight[i], None);
                before != m.controllers
            });
        }
    }

    pub fn add_acknowledgement_steps(&self, steps: &mut Steps) {
        for (i, acknowledgement) in self.acknowledgements.iter().enumerate() {
            let c = acknowledgement.transaction.controller;
            steps.add(controller_step!(c, "receives an outcome"), |m| {
                let ack = m.acknowledgements.remove(i);
                m.acknowledge(ack.transaction, Some(ack.committed));
                true
            });
            steps.add("an outcome is lost", |m| {
                let ack = m.acknowledgements.remove(i);
                m.acknowledge(ack.transaction, None);
                true
            });
        }
    }
}

/// Processes and elections of one controller.
impl LeadershipModel {
    pub fn add_fault_steps(&self, c: usize, steps: &mut Steps) {
        steps.add(
            controller_step!(c, "is cut off from the state service"),
            |m| m.faults.cut_off(c),
        );
        steps.add(
            controller_step!(c, "is reconnected to the state service"),
            |m| m.faults.reconnect(c),
        );
        steps.add(controller_step!(c, "crashes and restarts"), |m| {
            let mut restarted = m.controllers[c].restarted(m.now);
            if m.mistake == Mistake::RestartForgetsVotes {
                restarted.process.leadership.release_vote(0);
            }
            m.controllers[c] = restarted;
            m.faults.crash()
        });
    }

    pub fn add_campaign_step(&self, c: usize, steps: &mut Steps) {
        steps.add(controller_step!(c, "campaigns"), |m| m.campaign(c));
    }

    fn campaign(&mut self, c: usize) -> bool {
        let clock = self.clock(c);
        let controller = &mut self.controllers[c];
        let may_write = self.faults.can_reach_store(c) && self.leader_key.is_none();
        if !may_write || !controller.is_idle() || !take_one(&mut self.campaigns_left) {
            return false;
        }
        let leadership = &mut controller.process.leadership;
        leadership.begin_campaign();
        let anybody_ever_led = self.term_marker.version > 0;
        if leadership.has_binding_vote(clock) && anybody_ever_led {
            return false;
        }
        let nonce = CAMPAIGNS - self.campaigns_left;
        controller.activity = Activity::Campaign {
            sent_at: clock,
            nonce,
        };
        let expires_at = lease_expiry(self.now);
        self.send(c, Write::Campaign { nonce, expires_at });
        true
    }

    pub fn add_key_removal_steps(&self, c: usize, steps: &mut Steps) {
        steps.add(controller_step!(c, "finds its own leader key"), |m| {
            m.find_own_key(c)
        });
        steps.add(controller_step!(c, "removes its own leader key"), |m| {
            m.remove_own_key(c)
        });
    }

    fn find_own_key(&mut self, c: usize) -> bool {
        let accepts_any = self.mistake == Mistake::RemovesKeyOfUnconfirmedTerm;
        let confirmed_token = self.term_marker.confirmed_token;
        let own_key = self.leader_key.filter(|key| key.controller == c);
        let own_key = own_key.filter(|key| accepts_any || key.version == confirmed_token);
        let controller = &mut self.controllers[c];
        let may_read = self.faults.can_reach_store(c) && controller.is_idle();
        let Some(key) = own_key.filter(|_| may_read) else {
            return false;
        };
        let version = key.version;
        controller.activity = Activity::FoundOwnKey { version };
        true
    }

    fn remove_own_key(&mut self, c: usize) -> bool {
        let Activity::FoundOwnKey { version } = self.controllers[c].activity else {
            return false;
        };
        let clock = self.clock(c);
        let controller = &mut self.controllers[c];
        let leadership = &mut controller.process.leadership;
        leadership.begin_no_leader_confirmation();
        if self.mistake == Mistake::ReleasesVotesBeforeRemoval {
            leadership.release_vote(clock);
        }
        controller.activity = Activity::KeyRemoval;
        self.send(c, Write::RemoveKey { version });
        true
    }

    pub fn add_confirmation_steps(&self, c: usize, steps: &mut Steps) {
        steps.add(
            controller_step!(c, "begins a no-leader confirmation"),
            |m| {
                let clock = m.clock(c);
                let controller = &mut m.controllers[c];
                let idle = controller.is_idle();
                let leadership = &mut controller.process.leadership;
                leadership.begin_no_leader_confirmation();
                controller.activity = Activity::NoLeaderConfirmation {
                    confirmed: PeerSet::EMPTY,
                };
                idle && leadership.has_binding_vote(clock)
            },
        );
        for peer in self.peers(c) {
            steps.add(
                controller_step!(peer, "confirms that it does not lead"),
                |m| m.confirm_no_leader(peer, c),
            );
        }
        steps.add(
            controller_step!(c, "abandons its no-leader confirmation"),
            |m| {
                let controller = &mut m.controllers[c];
                let confirming =
                    matches!(controller.activity, Activity::NoLeaderConfirmation { .. });
                if confirming {
                    controller.process.leadership.end_no_leader_confirmation();
                    controller.activity = Activity::None;
                }
                confirming
            },
        );
    }

    /// A peer confirms to controller `c`, which asked for it, that it does not lead.
    fn confirm_no_leader(&mut self, peer: usize, c: usize) -> bool {
        let clock = self.clock(c);
        let peer_leads = self.controllers[peer].process.leadership.is_leading();
        let all = PeerSet::peers_of(c, self.controllers.len());
        let one_is_enough = self.mistake == Mistake::ConfirmsWithOnePeer;
        let controller = &mut self.controllers[c];
        let Activity::NoLeaderConfirmation { confirmed } = &mut controller.activity else {
            return false;
        };
        if peer_leads || !confirmed.insert(peer) {
            return false;
        }
        if *confirmed == all || one_is_enough {
            let leadership = &mut controller.process.leadership;
            leadership.release_vote(clock);
            leadership.end_no_leader_confirmation();
            controller.activity = Activity::None;
        }
        true
    }
}

/// The term of a leader.
impl LeadershipModel {
    pub fn add_term_steps(&self, c: usize, steps: &mut Steps) {
        steps.add(controller_step!(c, "renews"), |m| m.renew(c));
        steps.add(controller_step!(c, "steps down"), |m| {
            let Some(version) = m.token(c) else {
                return false;
            };
            m.controllers[c]
                .process
                .leadership
                .step_down(token(version));
            m.controllers[c].vote_request = None;
            true
        });
    }

    fn renew(&mut self, c: usize) -> bool {
        let (clock, reachable) = (self.clock(c), self.faults.can_reach_store(c));
        let renewed_expiry = lease_expiry(self.now);
        let Some(key) = self.leader_key.as_mut().filter(|_| reachable) else {
            return false;
        };
        let leadership = &mut self.controllers[c].process.leadership;
        let own = key.controller == c && leadership.leads(token(key.version));
        let changes = key.expires_at < renewed_expiry || !leadership.is_valid(clock);
        if own && changes {
            key.expires_at = renewed_expiry;
            leadership.record_renewal(clock);
        }
        own && changes
    }

    pub fn add_vote_steps(&self, c: usize, steps: &mut Steps) {
        steps.add(controller_step!(c, "requests votes"), |m| {
            m.request_votes(c)
        });
        for peer in self.peers(c) {
            steps.add(controller_step!(peer, "grants its vote"), |m| {
                m.grant_vote(peer, c)
            });
        }
    }

    fn request_votes(&mut self, c: usize) -> bool {
        let revives = self.mistake == Mistake::VotesReviveExpiredLease;
        let may_extend = self.is_valid_leader(c) || revives;
        let clock = self.clock(c);
        let controller = &mut self.controllers[c];
        let leads = controller.process.leadership.is_leading();
        let request = Some(VoteRequest {
            requested_at: clock,
            granted: PeerSet::EMPTY,
        });
        let before = std::mem::replace(&mut controller.vote_request, request);
        let changes = before != controller.vote_request;
        leads && may_extend && !self.faults.can_reach_store(c) && changes
    }

    /// A peer grants its vote to leader `c`, which requested it.
    fn grant_vote(&mut self, peer: usize, c: usize) -> bool {
        let request = self.controllers[c].vote_request.as_ref();
        if request.is_none_or(|request| request.granted.contains(peer)) {
            return false;
        }
        let Some(leader) = self.token(c) else {
            return false;
        };
        if !self.answer_vote_request(peer, leader) {
            return false;
        }
        let all = PeerSet::peers_of(c, self.controllers.len());
        let clock = self.clock(c);
        let controller = &mut self.controllers[c];
        let Some(request) = &mut controller.vote_request else {
            return false;
        };
        request.granted.insert(peer);
        if request.granted == all {
            let requested_at = request.requested_at;
            let leadership = &mut controller.process.leadership;
            if self.mistake == Mistake::VotesReviveExpiredLease {
                leadership.record_renewal(requested_at);
            }
            leadership.extend_lease_by_peers(requested_at, clock);
            controller.vote_request = None;
        }
        true
    }

    pub fn add_transfer_steps(&self, c: usize, steps: &mut Steps) {
        for peer in self.peers(c) {
            let name = controller_step!(peer, "is sent a leadership transfer");
            steps.add(name, |m| m.transfer(c, peer));
        }
        steps.add(controller_step!(c, "accepts a leadership transfer"), |m| {
            m.accept_transfer(c)
        });
    }

    fn transfer(&mut self, c: usize, successor: usize) -> bool {
        let ready = self.faults.can_reach_store(successor)
            && !self.controllers[successor].process.leadership.is_leading();
        let key = self
            .leader_key
            .filter(|_| !self.faults.can_reach_store(c) && ready);
        let leader = &mut self.controllers[c];
        let leadership = &mut leader.process.leadership;
        let Some(key) = key.filter(|key| leadership.leads(token(key.version))) else {
            return false;
        };
        if self.mistake != Mistake::KeepsLeadingAfterTransfer {
            leadership.step_down(token(key.version));
            leader.vote_request = None;
        }
        let transfer = Transfer {
            to: successor,
            version: key.version,
        };
        let new = !self.transfers.contains(&transfer);
        self.transfers.push(transfer);
        new
    }

    fn accept_transfer(&mut self, c: usize) -> bool {
        let clock = self.clock(c);
        let pending = self.transfers.iter().position(|transfer| transfer.to == c);
        let controller = &mut self.controllers[c];
        let Some(pending) = pending.filter(|_| controller.is_idle()) else {
            return false;
        };
        let version = self.transfers.remove(pending).version;
        let leadership = &mut controller.process.leadership;
        leadership.begin_no_leader_confirmation();
        controller.activity = Activity::KeyRemoval;
        if self.mistake == Mistake::SuccessorReleasesVotesBeforeRemoval {
            leadership.release_vote(clock);
            leadership.end_no_leader_confirmation();
            controller.activity = Activity::None;
        }
        self.send(c, Write::RemoveKey { version });
        true
    }
}

/// Cancellations without a leader.
impl LeadershipModel {
    pub fn add_cancellation_steps(&self, c: usize, steps: &mut Steps) {
        steps.add(
            controller_step!(c, "begins a cancellation without a leader"),
            |m| m.begin_cancellation(c),
        );
        steps.add(
            controller_step!(c, "reads a guard of the cancellation"),
            |m| m.read_for_cancellation(c),
        );
    }

    fn begin_cancellation(&mut self, c: usize) -> bool {
        let clock = self.clock(c);
        let controller = &mut self.controllers[c];
        let may_begin = self.faults.can_reach_store(c) && controller.is_idle();
        if !may_begin || !take_one(&mut self.cancellations_left) {
            return false;
        }
        let leadership = &mut controller.process.leadership;
        if !leadership.begin_leaderless_cancellation(clock) {
            return false;
        }
        if self.mistake == Mistake::VotesDuringLeaderlessCancellation {
            leadership.end_leaderless_cancellation();
        }
        controller.activity = Activity::CancellationReads {
            marker: None,
            key_missing: false,
        };
        true
    }

    /// Reads the next of the two records that guard the cancellation, and sends the cancellation
    /// after both were read.
    fn read_for_cancellation(&mut self, c: usize) -> bool {
        let key_first = self.mistake == Mistake::ReadsKeyBeforeTermMarker;
        let controller = &mut self.controllers[c];
        let Activity::CancellationReads {
            marker,
            key_missing,
        } = &mut controller.activity
        else {
            return false;
        };
        if !self.faults.can_reach_store(c) {
            return false;
        }
        let reads_marker = marker.is_none() && (!key_first || *key_missing);
        if reads_marker {
            *marker = Some(self.term_marker.version);
        } else if !*key_missing {
            if self.leader_key.is_some() {
                if self.mistake != Mistake::VotesDuringLeaderlessCancellation {
                    controller.process.leadership.end_leaderless_cancellation();
                }
                controller.activity = Activity::None;
                return true;
            }
            *key_missing = true;
        }
        if let (Some(marker), true) = (*marker, *key_missing) {
            controller.activity = Activity::Cancellation;
            self.send(c, Write::Cancel { marker });
        }
        true
    }
}
