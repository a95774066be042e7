//! The steps of the model.

use copperfield_leadership::{FencingToken, StoreReachability, Vote};
use copperfield_model_checker::Successors;

use crate::common::{TTL, controller_step};
use crate::state::{
    CancellationModel, DirectMessage, Guard, HORIZON, JobView, LeaderKey, Mistake, ShardLease,
    Transaction,
};

type Steps<'a> = Successors<'a, CancellationModel>;

impl CancellationModel {
    pub fn add_service_steps(&self, steps: &mut Steps) {
        steps.add("time passes", |m| {
            m.now += 1;
            m.expire_worker_lease();
            m.now <= HORIZON
        });
        steps.add("the leader key expires", |m| {
            let expired = m.leader_key.is_some_and(|key| m.now >= key.expires_at);
            let ends = expired && !m.faults.is_outage();
            m.leader_key = m.leader_key.filter(|_| !ends);
            ends
        });
        steps.add("an outage begins", |m| m.faults.begin_outage());
        steps.add("the outage ends", |m| {
            if let Some(key) = &mut m.leader_key {
                key.expires_at = m.now + TTL;
            }
            m.faults.end_outage()
        });
    }

    pub fn add_transaction_steps(&self, steps: &mut Steps) {
        steps.add("the transaction is processed and acknowledged", |m| {
            let outcome = m.commit();
            if let Some((transaction, committed)) = outcome {
                m.acknowledge(transaction, Some(committed));
            }
            outcome.is_some()
        });
        steps.add(
            "the transaction is processed but the acknowledgement is lost",
            |m| {
                let outcome = m.commit();
                if let Some((transaction, _)) = outcome {
                    m.acknowledge(transaction, None);
                }
                outcome.is_some()
            },
        );
        steps.add(
            "the transaction times out but may still be processed",
            |m| {
                let before = m.controllers.clone();
                if let Some(transaction) = m.in_flight {
                    m.acknowledge(transaction, None);
                }
                before != m.controllers
            },
        );
    }

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
            m.controllers[c] = m.controllers[c].restarted(m.now);
            m.faults.crash()
        });
    }

    pub fn add_election_steps(&self, c: usize, steps: &mut Steps) {
        steps.add(controller_step!(c, "wins an election"), |m| m.win(c));
        steps.add(controller_step!(c, "reads the stored state"), |m| {
            m.read_stored_state(c)
        });
        steps.add(controller_step!(c, "renews"), |m| m.renew(c));
        steps.add(controller_step!(c, "extends its lease by votes"), |m| {
            m.extend_by_votes(c)
        });
        steps.add(controller_step!(c, "transfers leadership"), |m| {
            m.transfer(c)
        });
    }

    fn win(&mut self, c: usize) -> bool {
        let clock = self.clock(c);
        let controller = &mut self.controllers[c];
        let leadership = &mut controller.process.leadership;
        let may_campaign = !leadership.is_leading() && !leadership.has_binding_vote(clock);
        if !self.faults.can_reach_store(c) || self.leader_key.is_some() || !may_campaign {
            return false;
        }
        self.term_marker += 1;
        self.leader_key = Some(LeaderKey {
            controller: c,
            version: self.term_marker,
            expires_at: self.now + TTL,
        });
        leadership.begin_leading(FencingToken::from(u64::from(self.term_marker)), clock);
        if self.mistake != Mistake::RecoversBeforeElection {
            controller.view = JobView::Unread;
        }
        true
    }

    fn read_stored_state(&mut self, c: usize) -> bool {
        let controller = &mut self.controllers[c];
        let leads = controller.process.leadership.is_leading();
        let may_read = leads || self.mistake == Mistake::RecoversBeforeElection;
        let unread = controller.view == JobView::Unread;
        controller.view = if self.cancellation_stored {
            JobView::EndedBefore
        } else {
            JobView::Running
        };
        may_read && unread && self.faults.can_reach_store(c)
    }

    fn renew(&mut self, c: usize) -> bool {
        let (clock, reachable) = (self.clock(c), self.faults.can_reach_store(c));
        let Some(key) = self.leader_key.as_mut().filter(|_| reachable) else {
            return false;
        };
        let leadership = &mut self.controllers[c].process.leadership;
        let leads = leadership.leads(FencingToken::from(u64::from(key.version)));
        let extends = key.controller == c && leads && key.expires_at < self.now + TTL;
        if extends {
            key.expires_at = self.now + TTL;
            leadership.record_renewal(clock);
        }
        extends
    }

    fn extend_by_votes(&mut self, c: usize) -> bool {
        let peer = 1 - c;
        let (clock, peer_clock) = (self.clock(c), self.clock(peer));
        let Some(token) = self.token(c) else {
            return false;
        };
        let reachable =
            self.faults.can_reach_store(peer) && self.mistake != Mistake::VotesThoughStoreReachable;
        let store = if reachable {
            StoreReachability::Reachable
        } else {
            StoreReachability::Unreachable
        };
        let before = self.controllers.clone();
        let token = FencingToken::from(u64::from(token));
        let voter = &mut self.controllers[peer].process.leadership;
        if voter.vote_to_extend_lease(peer_clock, store, token) == Vote::Denied {
            return false;
        }
        let leader = &mut self.controllers[c].process.leadership;
        if self.mistake == Mistake::VotesReviveExpiredLease {
            leader.record_renewal(clock);
        }
        leader.extend_lease_by_peers(clock, clock) && before != self.controllers
    }

    fn transfer(&mut self, c: usize) -> bool {
        let peer = 1 - c;
        let own_key = self.leader_key.filter(|key| key.controller == c);
        let peer_leads = self.controllers[peer].process.leadership.is_leading();
        let ready = self.faults.can_reach_store(peer) && !peer_leads;
        let Some(key) = own_key.filter(|_| ready && !self.faults.can_reach_store(c)) else {
            return false;
        };
        let leader = &mut self.controllers[c].process.leadership;
        leader.step_down(FencingToken::from(u64::from(key.version)));
        self.leader_key = None;
        let clock = self.clock(peer);
        let successor = &mut self.controllers[peer].process.leadership;
        successor.release_vote(clock);
        true
    }

    pub fn add_cancellation_steps(&self, c: usize, steps: &mut Steps) {
        steps.add(controller_step!(c, "cancels as the leader"), |m| {
            m.cancel_as_leader(c)
        });
        steps.add(controller_step!(c, "cancels without a leader"), |m| {
            m.cancel_without_leader(c)
        });
        steps.add(
            controller_step!(c, "reads the outcome and answers the user"),
            |m| {
                let unreported =
                    m.cancellation_stored && m.reported_at.is_none() && m.faults.can_reach_store(c);
                m.reported_at.get_or_insert(m.now);
                unreported
            },
        );
    }

    fn cancel_as_leader(&mut self, c: usize) -> bool {
        let knows_job = self.is_valid_leader(c) && self.controllers[c].view == JobView::Running;
        let token = self.token(c);
        let Some(token) = token.filter(|_| knows_job && self.in_flight.is_none()) else {
            return false;
        };
        self.controllers[c].view = JobView::Cancelling;
        self.send(c, Guard::LeaderKey(token));
        true
    }

    fn cancel_without_leader(&mut self, c: usize) -> bool {
        let clock = self.clock(c);
        let no_key = self.faults.can_reach_store(c) && self.leader_key.is_none();
        let can_send = self.in_flight.is_none() && !self.cancellation_stored;
        let controller = &mut self.controllers[c];
        let leadership = &mut controller.process.leadership;
        let idle = !leadership.is_leading() && !controller.cancels_without_leader;
        if !no_key || !can_send || !idle || !leadership.begin_leaderless_cancellation(clock) {
            return false;
        }
        controller.cancels_without_leader = true;
        self.send(c, Guard::NoLeaderSince(self.term_marker));
        true
    }

    fn send(&mut self, c: usize, guard: Guard) {
        self.in_flight = Some(Transaction {
            controller: c,
            process: self.controllers[c].process.number,
            guard,
        });
    }

    pub fn add_worker_steps(&self, c: usize, steps: &mut Steps) {
        steps.add(
            controller_step!(c, "answers the worker as the leader"),
            |m| m.answer_as_leader(c),
        );
        steps.add(controller_step!(c, "grants its peer a shard lease"), |m| {
            m.grant_shard_lease(c)
        });
    }

    fn answer_as_leader(&mut self, c: usize) -> bool {
        let Some(token) = self.token(c).filter(|_| self.is_valid_leader(c)) else {
            return false;
        };
        let view = self.controllers[c].view;
        if view == JobView::Unread && self.mistake != Mistake::AnswersBeforeRecovery {
            return false;
        }
        let omits_stop = match self.mistake {
            Mistake::RenewsTaskUntilOutcomeIsKnown => view == JobView::Cancelling,
            Mistake::StopWaitsForDirectMessage => self.message.is_some_and(|m| m.sender == c),
            Mistake::OvertakenHeartbeatGetsNoStop => self.leader_with_newer_answer == Some(c),
            _ => false,
        };
        let was_overtaken = std::mem::take(&mut self.leader_with_newer_answer).is_some();
        self.answer_worker(token, view.is_ending() && !omits_stop) || was_overtaken
    }

    pub fn add_message_steps(&self, steps: &mut Steps) {
        for c in 0..self.controllers.len() {
            steps.add(
                controller_step!(c, "sends the worker a direct message"),
                |m| m.send_message(c),
            );
        }
        steps.add("the direct message is delivered", Self::deliver_message);
        steps.add("the direct message is lost", |m| m.message.take().is_some());
    }

    fn send_message(&mut self, c: usize) -> bool {
        let Some(token) = self.token(c).filter(|_| self.is_valid_leader(c)) else {
            return false;
        };
        let stops_task = self.controllers[c].view.is_ending();
        let none_in_flight = self.message.is_none();
        self.message.get_or_insert(DirectMessage {
            sender: c,
            token,
            stops_task,
        });
        none_in_flight
    }

    /// The worker executes the direct message unless it has seen a newer token. Its answer reaches
    /// the sender before a heartbeat that the worker sent earlier.
    fn deliver_message(&mut self) -> bool {
        let Some(message) = self.message.take() else {
            return false;
        };
        if message.token >= self.worker.token {
            self.worker.token = message.token;
            self.worker.runs_task &= !message.stops_task;
            self.leader_with_newer_answer = Some(message.sender);
        }
        true
    }

    fn grant_shard_lease(&mut self, c: usize) -> bool {
        let controller = &self.controllers[c];
        let valid_for = controller.process.leadership.valid_for_ms(self.clock(c));
        let Some(token) = self.token(c).filter(|_| valid_for > 0) else {
            return false;
        };
        let grants_anyway = match self.mistake {
            Mistake::RenewsShardLeaseAfterCancellation => true,
            Mistake::GrantsShardLeaseForOrphanedTask => controller.view == JobView::EndedBefore,
            _ => false,
        };
        if controller.view == JobView::Unread || (controller.view.is_ending() && !grants_anyway) {
            return false;
        }
        let excess = match self.mistake {
            Mistake::ShardLeaseOutlivesLeader => 3 * TTL,
            _ => 0,
        };
        let until = self.now + valid_for + excess;
        let granted = ShardLease { token, until };
        std::mem::replace(&mut self.shard_lease, granted) != granted
    }

    pub fn add_shard_owner_step(&self, steps: &mut Steps) {
        steps.add("the shard owner answers the worker", |m| {
            let ShardLease { token, until } = m.shard_lease;
            m.now < until && m.answer_worker(token, false)
        });
    }
}
