//! What may happen next in the model.

use copperfield_model_checker::Successors;

use crate::common::{of, take_one};
use crate::mistakes::Mistake;
use crate::world::{
    Acknowledgement, Activity, CAMPAIGNS, HORIZON, LeadershipWorld, PeerSet, Transfer, VoteRequest,
    Write, lease_end, token,
};

type Steps<'a> = Successors<'a, LeadershipWorld>;

/// The state service.
impl LeadershipWorld {
    pub fn add_service_steps(&self, steps: &mut Steps) {
        steps.add("time passes", |w| {
            w.now += 1;
            w.now <= HORIZON
        });
        steps.add("the lease of the key ends", |w| {
            let over = w.leader_key.is_some_and(|key| w.now >= key.lease_ends);
            let ends = over && !w.faults.is_outage();
            if ends {
                w.leader_key = None;
                w.last_version += 1;
            }
            ends
        });
        steps.add("an outage begins", |w| w.faults.begin_outage());
        steps.add("the outage ends", |w| {
            w.restart_all_leases();
            w.faults.end_outage()
        });
    }

    /// After an outage every lease has its full time again.
    fn restart_all_leases(&mut self) {
        let restarted = lease_end(self.now);
        if let Some(key) = &mut self.leader_key {
            key.lease_ends = restarted;
        }
        for transaction in &mut self.in_flight {
            if let Write::Campaign { lease_ends, .. } = &mut transaction.write {
                *lease_ends = restarted;
            }
        }
    }

    pub fn add_transaction_steps(&self, steps: &mut Steps) {
        for i in 0..self.in_flight.len() {
            steps.add("a transaction is carried out", |w| {
                let transaction = w.in_flight.remove(i);
                if w.faults.is_outage() {
                    return false;
                }
                let committed = w.commit(transaction);
                w.acknowledgements.push(Acknowledgement {
                    transaction,
                    committed,
                });
                w.acknowledgements.sort();
                true
            });
            steps.add("a transaction times out, and may still land", |w| {
                let before = w.controllers.clone();
                w.acknowledge(w.in_flight[i], None);
                before != w.controllers
            });
        }
    }

    pub fn add_acknowledgement_steps(&self, steps: &mut Steps) {
        for (i, acknowledgement) in self.acknowledgements.iter().enumerate() {
            let c = acknowledgement.transaction.controller;
            steps.add(of!(c, "is answered"), |w| {
                let ack = w.acknowledgements.remove(i);
                w.acknowledge(ack.transaction, Some(ack.committed));
                true
            });
            steps.add("an answer is lost", |w| {
                let ack = w.acknowledgements.remove(i);
                w.acknowledge(ack.transaction, None);
                true
            });
        }
    }
}

/// One controller's processes and elections.
impl LeadershipWorld {
    pub fn add_fault_steps(&self, c: usize, steps: &mut Steps) {
        steps.add(of!(c, "alone is refused"), |w| w.faults.refuse(c));
        steps.add(of!(c, "is served again"), |w| w.faults.serve_again(c));
        steps.add(of!(c, "ends and restarts"), |w| {
            let mut restarted = w.controllers[c].restarted(w.now);
            if w.mistake == Mistake::RestartForgetsVotes {
                restarted.process.leadership.release_vote(0);
            }
            w.controllers[c] = restarted;
            w.faults.crash()
        });
    }

    pub fn add_campaign_step(&self, c: usize, steps: &mut Steps) {
        steps.add(of!(c, "campaigns"), |w| w.campaign(c));
    }

    fn campaign(&mut self, c: usize) -> bool {
        let clock = self.clock(c);
        let controller = &mut self.controllers[c];
        let may_write = self.faults.serves(c) && self.leader_key.is_none();
        if !may_write || !controller.is_free() || !take_one(&mut self.campaigns_left) {
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
        let lease_ends = lease_end(self.now);
        self.send(c, Write::Campaign { nonce, lease_ends });
        true
    }

    pub fn add_key_removal_steps(&self, c: usize, steps: &mut Steps) {
        steps.add(of!(c, "sees its own name on the key"), |w| {
            w.find_own_key(c)
        });
        steps.add(of!(c, "removes that key"), |w| w.remove_own_key(c));
    }

    fn find_own_key(&mut self, c: usize) -> bool {
        let any = self.mistake == Mistake::RemovesKeyOfUnconfirmedTerm;
        let confirmed_token = self.term_marker.confirmed_token;
        let own_key = self.leader_key.filter(|key| key.controller == c);
        let own_key = own_key.filter(|key| any || key.version == confirmed_token);
        let controller = &mut self.controllers[c];
        let may_read = self.faults.serves(c) && controller.is_free();
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
        steps.add(of!(c, "asks whether nobody leads"), |w| {
            let clock = w.clock(c);
            let controller = &mut w.controllers[c];
            let free = controller.is_free();
            let leadership = &mut controller.process.leadership;
            leadership.begin_no_leader_confirmation();
            controller.activity = Activity::NoLeaderConfirmation {
                confirmed: PeerSet::EMPTY,
            };
            free && leadership.has_binding_vote(clock)
        });
        for peer in self.peers(c) {
            steps.add(of!(peer, "confirms not to lead"), |w| {
                w.confirm_no_leader(peer, c)
            });
        }
        steps.add(of!(c, "asks in vain"), |w| {
            let controller = &mut w.controllers[c];
            let asks = matches!(controller.activity, Activity::NoLeaderConfirmation { .. });
            if asks {
                controller.process.leadership.end_no_leader_confirmation();
                controller.activity = Activity::None;
            }
            asks
        });
    }

    /// A peer confirms to the controller that asks that it does not lead.
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

/// A leader's term.
impl LeadershipWorld {
    pub fn add_term_steps(&self, c: usize, steps: &mut Steps) {
        steps.add(of!(c, "renews"), |w| w.renew(c));
        steps.add(of!(c, "steps down"), |w| {
            let Some(version) = w.token(c) else {
                return false;
            };
            w.controllers[c]
                .process
                .leadership
                .step_down(token(version));
            w.controllers[c].vote_request = None;
            true
        });
    }

    fn renew(&mut self, c: usize) -> bool {
        let (clock, served) = (self.clock(c), self.faults.serves(c));
        let prolonged = lease_end(self.now);
        let Some(key) = self.leader_key.as_mut().filter(|_| served) else {
            return false;
        };
        let leadership = &mut self.controllers[c].process.leadership;
        let own = key.controller == c && leadership.leads(token(key.version));
        let changes = key.lease_ends < prolonged || !leadership.is_valid(clock);
        if own && changes {
            key.lease_ends = prolonged;
            leadership.record_renewal(clock);
        }
        own && changes
    }

    pub fn add_vote_steps(&self, c: usize, steps: &mut Steps) {
        steps.add(of!(c, "requests votes"), |w| w.request_votes(c));
        for peer in self.peers(c) {
            steps.add(of!(peer, "grants its vote"), |w| w.grant_vote(peer, c));
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
        leads && may_extend && !self.faults.serves(c) && changes
    }

    /// A peer grants its vote to the leader that asks.
    fn grant_vote(&mut self, peer: usize, c: usize) -> bool {
        let request = self.controllers[c].vote_request.as_ref();
        if request.is_none_or(|request| request.granted.contains(peer)) {
            return false;
        }
        let Some(leader) = self.token(c) else {
            return false;
        };
        if !self.vote(peer, leader) {
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
            let name = of!(peer, "is ready for transfer, and the leader steps down");
            steps.add(name, |w| w.transfer(c, peer));
        }
        steps.add(of!(c, "takes up a transfer"), |w| w.take_up_transfer(c));
    }

    fn transfer(&mut self, c: usize, successor: usize) -> bool {
        let ready = self.faults.serves(successor)
            && !self.controllers[successor].process.leadership.is_leading();
        let key = self.leader_key.filter(|_| !self.faults.serves(c) && ready);
        let leader = &mut self.controllers[c];
        let leadership = &mut leader.process.leadership;
        let Some(key) = key.filter(|key| leadership.leads(token(key.version))) else {
            return false;
        };
        if self.mistake != Mistake::LeadsOnAfterTransfer {
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

    fn take_up_transfer(&mut self, c: usize) -> bool {
        let clock = self.clock(c);
        let pending = self.transfers.iter().position(|transfer| transfer.to == c);
        let controller = &mut self.controllers[c];
        let Some(pending) = pending.filter(|_| controller.is_free()) else {
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
impl LeadershipWorld {
    pub fn add_cancellation_steps(&self, c: usize, steps: &mut Steps) {
        steps.add(of!(c, "is asked to cancel"), |w| w.begin_cancellation(c));
        steps.add(of!(c, "reads a record for that"), |w| {
            w.read_for_cancellation(c)
        });
    }

    fn begin_cancellation(&mut self, c: usize) -> bool {
        let clock = self.clock(c);
        let controller = &mut self.controllers[c];
        let may_begin = self.faults.serves(c) && controller.is_free();
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

    /// Reads the next of the two records; after both the cancellation is sent.
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
        if !self.faults.serves(c) {
            return false;
        }
        let marker_is_next = marker.is_none() && (!key_first || *key_missing);
        if marker_is_next {
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
