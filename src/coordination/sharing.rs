//! The machines shared among the controllers, as the leader has it: what holders tell, who is
//! to have which machine, and whose silence proves what. The decisions are `copperfield-shares`.

use std::collections::BTreeMap;

use copperfield_shares::{Keeper, May, Where};

use crate::protocol::peer::{Downward, Outcome, Told, Upward};

use super::messages::{Effect, Source};
use super::model::*;
use super::state::Core;

/// A new leader waits so long for what the holders have heard before it asks machines itself.
const TELLING_S: Time = 0.12;
/// A message that a holder took and says nothing of for so long is lost with it.
const CARRIED_S: Time = 3.0;
/// A machine on which a stop that cannot wait has no effect for so long is answered by the
/// leader alone: its answers carry orders, and without them the lease runs out.
const DISOBEYS_S: Time = 6.0;
/// Machines that are so much nearer to being late than to being silent are taken back.
const TAKE_BACK_S: Time = 0.6;
/// With more of the machines silent than this part a loss is being dealt with.
const LOSS_PART: usize = 50;
const TELL_EVERY_S: Time = 30.0;

/// See [`Core::share_with`].
pub(super) struct Sharing {
    pub(super) keeper: Keeper,
    me: u32,
    nodes: Vec<String>,
    /// Machines by the keeper's numbers, which are never used twice.
    names: BTreeMap<u32, String>,
    next_number: u32,
    /// Messages that holders carry: to which machine, since when.
    carried: BTreeMap<u64, (String, Time)>,
    next_told: Time,
    /// Since then: words of holders, and reports in them.
    words: u32,
    reports: usize,
}

trait Latest {
    fn max_of(self, at: Time) -> Self;
}

impl Latest for Option<Time> {
    fn max_of(self, at: Time) -> Self {
        Some(self.map_or(at, |t| t.max(at)))
    }
}

fn ms(at: Time) -> u64 {
    (at.max(0.0) * 1000.0).ceil() as u64
}

impl Core {
    /// Shares the machines with the other nodes: all by name and zone, of which this one has the
    /// place `me`. To be called before the first step.
    pub fn share_with(&mut self, me: u32, nodes: &[(&str, &str)]) {
        let zones: Vec<u32> = nodes.iter().map(|(_, z)| self.zones.intern(z)).collect();
        let report_ms = ms(self.config.cluster.workers.report_s);
        self.sharing = Some(Sharing {
            keeper: Keeper::new(self.token, me, &zones, report_ms),
            me,
            nodes: nodes.iter().map(|(name, _)| name.to_string()).collect(),
            names: BTreeMap::new(),
            next_number: 0,
            carried: BTreeMap::new(),
            next_told: self.now + TELL_EVERY_S,
            words: 0,
            reports: 0,
        });
        for m in self.machines.indices() {
            self.share_machine(m);
        }
    }

    /// A machine that was not known. Holders of an earlier leader may have answered it for a
    /// TTL from now on, unless that one had promised that nobody would.
    pub(super) fn share_machine(&mut self, m: u32) {
        let ttl_s = self.config.tuning.leader_ttl_ms as f64 / 1000.0;
        let Some(sharing) = &mut self.sharing else {
            return;
        };
        let machine = &mut self.machines[m];
        let promised = machine.on_record && machine.answered_at.is_some();
        let answered = if promised {
            0
        } else {
            ms(self.elected_at + ttl_s)
        };
        machine.number = sharing.next_number;
        sharing.next_number += 1;
        sharing.names.insert(machine.number, machine.name.clone());
        sharing.keeper.add(machine.number, machine.zone, answered);
    }

    pub(super) fn unshare_machine(&mut self, m: u32) {
        if let Some(sharing) = &mut self.sharing {
            let number = self.machines[m].number;
            sharing.names.remove(&number);
            sharing.keeper.remove(number);
        }
    }

    /// Of this node among all.
    pub(super) fn own_place(&self) -> u32 {
        self.sharing.as_ref().map_or(0, |s| s.me)
    }

    /// When a machine may last have been answered, by whomever. `None`: a holder may answer it
    /// now.
    pub(super) fn answered_by_all(&self, machine: &Machine) -> Option<Time> {
        let own = machine.answered_at.unwrap_or(self.elected_at);
        let Some(sharing) = &self.sharing else {
            return Some(own);
        };
        let theirs = sharing.keeper.unanswered_since(machine.number)?;
        Some(own.max(theirs as f64 / 1000.0))
    }

    /// Through whom a machine is written to, if not by this node.
    pub(super) fn carrier(&self, m: u32) -> Option<u32> {
        let sharing = self.sharing.as_ref()?;
        let machine = &self.machines[m];
        let now = ms(self.now);
        let holder = sharing.keeper.carrier(machine.number, now);
        match machine.missed() {
            // Whom nobody has, a new leader asks with the help of all others.
            Missed {
                own: false,
                carried: false,
            } if holder.is_none() && !machine.synced => sharing.keeper.helper(machine.number, now),
            // The other way: neither node need reach what the other does. By turns from then on.
            Missed { own, carried } if own || carried => {
                let by_other = !carried || (own && self.next_flight.is_multiple_of(2));
                by_other.then(|| sharing.keeper.any_helper(machine.number, now))?
            }
            _ => holder,
        }
    }

    /// Whether a machine has answered nobody: neither this node, nor, if there is one, another.
    /// A leader that had lost its workers, and only it, once returned 446 good machines.
    pub(super) fn answers_nobody(&self, m: u32) -> bool {
        let Missed { own, carried } = self.machines[m].missed();
        own && (carried || !self.has_helper(m))
    }

    fn has_helper(&self, m: u32) -> bool {
        let now = ms(self.now);
        let helper = |s: &Sharing| s.keeper.any_helper(self.machines[m].number, now);
        self.sharing.as_ref().and_then(helper).is_some()
    }

    /// When a machine that has not answered is asked again: at once, if it is by another node.
    pub(super) fn ask_again_at(&self, m: u32) -> Time {
        let Missed { own, carried } = self.machines[m].missed();
        if own != carried && self.has_helper(m) {
            self.now
        } else {
            self.now + 1.0
        }
    }

    pub(super) fn holder_of(&self, m: u32) -> Option<u32> {
        let sharing = self.sharing.as_ref()?;
        sharing.keeper.holder(self.machines[m].number)
    }

    /// The name of the node that answers a machine, where they are shared.
    pub(super) fn answered_at_node(&self, m: u32) -> Option<&str> {
        let sharing = self.sharing.as_ref()?;
        let at = match self.holder_of(m) {
            Some(node) => node,
            None if self.is_silent(m) => return None,
            None => sharing.me,
        };
        sharing.nodes.get(at as usize).map(String::as_str)
    }

    fn may_be_held(&self, m: u32) -> May {
        let machine = &self.machines[m];
        if self.silence.holds(&machine.name) {
            // On the word of all others the leader itself answers it all the same.
            return if self.now < self.word_until {
                May::Leader
            } else {
                May::Nobody
            };
        }
        if self.disobeys(m) {
            May::Leader
        } else {
            May::Anybody
        }
    }

    /// Whether something is on a machine that was to stop at once, long ago.
    fn disobeys(&self, m: u32) -> bool {
        self.machines[m].copies.iter().any(|(key, copy)| {
            let since = copy.stop.map(|s| s.ordered_at);
            copy.exit().is_none()
                && since.is_some_and(|t| self.now - t > DISOBEYS_S)
                && !matches!(self.jobs[key.job].state, JobState::Live)
        })
    }

    /// Where a machine that reports to this node is to be answered.
    pub(super) fn reports_here(&mut self, m: u32) -> Where {
        let may = self.may_be_held(m);
        let Some(sharing) = &mut self.sharing else {
            return Where::Here;
        };
        let number = self.machines[m].number;
        let now = ms(self.now);
        sharing.keeper.reported(now, number, sharing.me, may, true)
    }

    /// What a holder has heard and done, and what it may do next.
    pub(super) fn take_upward(&mut self, ticket: u64, word: Upward) {
        let knows = |s: &&mut Sharing| s.keeper.knows(word.from);
        let Some(sharing) = self.sharing.as_mut().filter(knows) else {
            self.effects.push(Effect::Granted { ticket, down: None });
            return;
        };
        let now = ms(self.now);
        let valid_for = ms(self.valid_until - self.now).saturating_sub(1);
        sharing.words += 1;
        sharing.reports += word.told.len();
        // Before anything else: what it has left is free, for what it tells of it.
        let grant = sharing
            .keeper
            .spoke(now, word.from, &word.statement, word.all, valid_for);
        let overtaken = grant.is_none();
        for (flight, outcome) in word.outcomes {
            let sharing = self.sharing.as_mut().expect("looked at");
            if let Some((name, _)) = sharing.carried.remove(&flight) {
                self.take_direct(&name, flight, outcome);
            }
        }
        let mut elsewhere = Vec::new();
        for told in word.told {
            let name = told.report.machine.clone();
            if let Some(to) = self.take_told(word.from, told, overtaken) {
                elsewhere.push((name, to));
            }
        }
        let Some(mut grant) = grant else {
            self.effects.push(Effect::Granted { ticket, down: None });
            return;
        };
        let sharing = self.sharing.as_mut().expect("looked at");
        grant.changes = sharing.keeper.changes(word.from);
        let names = Keeper::taken(&grant)
            .filter_map(|number| Some((number, sharing.names.get(&number)?.clone())))
            .collect();
        let down = Some(Downward {
            grant,
            names,
            elsewhere,
        });
        self.effects.push(Effect::Granted { ticket, down });
    }

    /// What this node had heard as a holder before it was elected.
    pub(super) fn take_own(&mut self, told: Vec<Told>) {
        if self.sharing.is_none() {
            return;
        }
        for told in told {
            self.take_told(self.own_place(), told, true);
        }
    }

    /// A report that came to a holder. Where it is to report instead, if so.
    fn take_told(&mut self, from: u32, told: Told, overtaken: bool) -> Option<u32> {
        let Told {
            report,
            age_ms,
            waits,
        } = told;
        let m = self.machine_of(&report).ok()?;
        if self.is_copy(m, &report, from) {
            return None;
        }
        let heard = self.now - age_ms as f64 / 1000.0;
        let newer = self.is_newer(m, &report);
        if newer || waits {
            let machine = &mut self.machines[m];
            machine.heard_at = machine.heard_at.max_of(heard);
            machine.reported_at = machine.reported_at.max_of(heard);
            self.silence.heard(&self.machines[m].name, ms(self.now));
        }
        if newer {
            let machine = &self.machines[m];
            let (answered_at, heard_at) = (machine.answered_at, machine.heard_at);
            let session = machine.session;
            self.apply_report(m, report, Source::Hello);
            let machine = &mut self.machines[m];
            // Not now, but when the report came in.
            machine.heard_at = heard_at;
            if machine.session > session {
                // It had begun by then. Who may have answered it since is counted as
                // everybody's answers are.
                machine.answered_at = answered_at.max_of(heard);
            }
            self.follow_up(m);
        }
        if overtaken || !(newer || waits) {
            return None;
        }
        let may = self.may_be_held(m);
        let number = self.machines[m].number;
        let sharing = self.sharing.as_mut()?;
        match sharing
            .keeper
            .reported(ms(self.now), number, from, may, waits)
        {
            Where::Elsewhere(to) if waits => Some(to),
            _ => None,
        }
    }

    /// What goes to a machine that a holder answers: as that answer has no orders, they leave
    /// with the next direct message.
    fn follow_up(&mut self, m: u32) {
        if self.machines[m].flight.is_some() {
            return;
        }
        let commands = self.follow_ups(m, usize::MAX);
        let outbox = &mut self.machines[m].outbox;
        for command in commands {
            if !outbox.contains(&command) {
                outbox.push(command);
            }
        }
    }

    /// Messages that could not be given to a holder. `surely`: none was carried.
    pub(super) fn take_not_carried(&mut self, node: u32, flights: Vec<u64>, surely: bool) {
        if let Some(sharing) = &mut self.sharing {
            sharing.keeper.cannot_carry(node, ms(self.now));
        }
        for flight in flights {
            self.end_carried(flight, surely);
        }
    }

    /// Ends a message of which nothing was heard, which is not the machine's fault.
    fn end_carried(&mut self, flight: u64, surely: bool) {
        let sharing = self.sharing.as_mut().expect("it has carriers");
        let Some((name, _)) = sharing.carried.remove(&flight) else {
            return;
        };
        let Some(&m) = self.machine_ids.get(&name) else {
            return;
        };
        let machine = &self.machines[m];
        let before = (machine.unanswered_at, machine.missed, machine.unreached);
        let outcome = if surely {
            Outcome::Unsent
        } else {
            Outcome::Unknown
        };
        self.take_direct(&name, flight, outcome);
        let machine = &mut self.machines[m];
        (machine.unanswered_at, machine.missed, machine.unreached) = before;
        machine.next_probe = self.now;
    }

    /// A message goes out through another node.
    pub(super) fn note_carried(&mut self, m: u32, flight: u64) {
        if let Some(sharing) = &mut self.sharing {
            let name = self.machines[m].name.clone();
            sharing.carried.insert(flight, (name, self.now));
        }
    }

    /// A machine has answered a message, or has not.
    pub(super) fn note_answer(&mut self, m: u32, answered: bool) {
        if let Some(sharing) = &mut self.sharing {
            let number = self.machines[m].number;
            sharing.keeper.answered(ms(self.now), number, answered);
        }
    }

    /// Whether a new leader still waits for what the holders have heard.
    pub(super) fn is_being_told(&self) -> bool {
        self.now < self.elected_at + TELLING_S
            && self.sharing.as_ref().is_some_and(|s| !s.keeper.heard_all())
    }

    /// Once a batch: machines that are nearly silent are taken back, holders that are down lose
    /// what they have, and what they took along is ended.
    pub(super) fn tend_shares(&mut self) {
        if self.sharing.is_none() {
            return;
        }
        let nearly_s = self.silent_after_s() - TAKE_BACK_S;
        let (mut silent, mut all) = (0, 0);
        let mut back = Vec::new();
        for (m, machine) in self.machines.iter() {
            let heard = machine.heard_at.unwrap_or(self.listening_since);
            let late = self.now - heard > nearly_s;
            all += 1;
            // One whose lease is over is dealt with.
            silent += usize::from(late && machine.session > machine.dead_session);
            if late || self.disobeys(m) {
                back.push(machine.number);
            }
        }
        let calm = self.settled && silent * LOSS_PART <= all;
        let now = ms(self.now);
        let sharing = self.sharing.as_mut().expect("looked at");
        for number in back {
            if sharing.keeper.unanswered_since(number).is_none() {
                sharing.keeper.take_back(number);
            }
        }
        for node in sharing.keeper.tick(now, calm) {
            let node = &sharing.nodes[node as usize];
            tracing::info!(node, "a holder is not heard: its machines go to others");
        }
        if self.now >= sharing.next_told {
            sharing.next_told = self.now + TELL_EVERY_S;
            let machines: BTreeMap<&String, usize> =
                sharing.nodes.iter().zip(sharing.keeper.loads()).collect();
            let (words, reports) = (sharing.words, sharing.reports);
            (sharing.words, sharing.reports) = (0, 0);
            tracing::info!(?machines, words, reports, "shares");
        }
        let lost = |(flight, (_, since)): (&u64, &(String, Time))| {
            (self.now - since > CARRIED_S).then_some(*flight)
        };
        let lost: Vec<u64> = sharing.carried.iter().filter_map(lost).collect();
        for flight in lost {
            self.end_carried(flight, false);
        }
        self.answer_those_who_wait();
    }

    /// Reports that came here while somebody else might still answer their machines, or
    /// while those were on record.
    pub(super) fn answer_those_who_wait(&mut self) {
        for (name, (ticket, report)) in std::mem::take(&mut self.unanswered) {
            let on_record = self.silence.holds(&name) && self.now >= self.word_until;
            let m = self.machine_ids.get(&name).copied();
            if let Some(node) = m.and_then(|m| self.holder_of(m)) {
                // It has found another way meanwhile.
                self.effects.push(Effect::SendTo { ticket, node });
                continue;
            }
            let held = m.is_some_and(|m| self.answered_by_all(&self.machines[m]).is_none());
            if on_record || held {
                self.unanswered.insert(name, (ticket, report));
            } else {
                self.take_hello(ticket, report);
            }
        }
    }
}
