//! The fencing token of each message to a worker. [`copperfield_command_tokens`] chooses it, so that
//! no late copy of a start runs an attempt again that its worker has forgotten.

use crate::protocol::worker::{Command, Verb};

use super::messages::{Effect, StepDownReason};
use super::model::*;
use super::persistence::WriteBatch;
use super::sharding::Sharding;
use super::state::Core;

/// The minimum interval between two writes whose only purpose is a newer token.
const TOKEN_WRITE_INTERVAL_S: Time = 1.0;

/// How commands are sent to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CommandChannel {
    /// In the response to a heartbeat. The worker drops late copies.
    Response,
    /// In a direct message. Late copies are carried out if their token is high enough.
    Direct,
}

/// Commands with the fencing token under which they are sent.
#[derive(Debug)]
pub(super) struct FencedCommands {
    pub token: u64,
    pub commands: Vec<Command>,
}

/// The requests for newer tokens.
#[derive(Debug, Default)]
pub(super) struct TokenRequests {
    /// An order to forget waits for a newer token.
    wanted: bool,
    /// When a write for a newer token is allowed again.
    next_write_at: Time,
    /// Whether a worker may have seen a token above the version of the leader key.
    raised: bool,
}

impl Core {
    /// The token of a message that orders a worker to forget nothing.
    pub(super) fn worker_token(&self, worker_index: u32) -> u64 {
        self.workers[worker_index]
            .tokens
            .current(&self.command_tokens)
    }

    /// Whether a token that a worker reports is of a later leader.
    pub(super) fn is_of_later_leader(&self, token: u64) -> bool {
        token > self.command_tokens.newest()
    }

    /// Whether a worker that reports this token rejects the commands of earlier leaders.
    pub(super) fn is_own_token(&self, token: u64) -> bool {
        self.command_tokens.contains(token)
    }

    /// The token of the next message to a worker if that message orders it to forget attempts, or
    /// `None` if it must not.
    pub(super) fn forget_token(&self, worker_index: u32) -> Option<u64> {
        let worker = &self.workers[worker_index];
        let may_raise = worker.in_flight.is_none() && self.may_raise_token(worker_index);
        worker.tokens.forget_token(&self.command_tokens, may_raise)
    }

    /// Whether a message may raise a worker's token while no direct message is in flight. The worker
    /// refuses the messages that it overtakes, so no start may be in a response, and each controller
    /// that may answer the worker must know of such tokens.
    fn may_raise_token(&self, worker_index: u32) -> bool {
        let worker = &self.workers[worker_index];
        let in_response = |instance: &TaskInstance| {
            matches!(instance.start_delivery, StartDelivery::Response { .. })
        };
        self.peers_support_command_tokens() && !worker.instances.values().any(in_response)
    }

    /// Whether a start on a worker may follow an exited attempt that the worker still holds. The
    /// worker may forget that attempt when it receives the start. All tasks of a gang are started
    /// together, so the attempts of all of them count.
    pub(super) fn may_supersede_exited(
        &self,
        job_index: u32,
        task: u32,
        worker_index: u32,
    ) -> bool {
        let worker = &self.workers[worker_index];
        let tasks = if self.jobs[job_index].is_gang() {
            0..=u32::MAX
        } else {
            task..=task
        };
        let mut attempts = worker.attempts(job_index, tasks);
        let holds_exited = attempts.any(|(_, instance)| instance.exit().is_some());
        !holds_exited || {
            let may_raise = self.may_raise_token(worker_index);
            let token = worker.tokens.forget_token(&self.command_tokens, may_raise);
            token.is_some()
        }
    }

    /// The orders to forget exited attempts whose tasks the commands start anew.
    fn superseded_attempts(&self, worker_index: u32, commands: &[Command]) -> Vec<Command> {
        let worker = &self.workers[worker_index];
        let mut superseded = Vec::new();
        for start in commands.iter().filter(|c| c.verb == Verb::Start) {
            let Some(id) = self.jobs.instance_id(start) else {
                continue;
            };
            // A repeated start goes under a token that its first message has raised, and it may
            // have arrived, so its instance must stay.
            if worker.instances.get(&id).is_some_and(|i| i.unacknowledged) {
                continue;
            }
            let attempts = worker.attempts(id.job, id.task..=id.task);
            let exited = attempts.filter(|(_, instance)| instance.exit().is_some());
            superseded.extend(exited.map(|(id, _)| self.command(*id, Verb::Forget)));
        }
        superseded
    }

    /// Removes the starts that would supersede these attempts, with their instances.
    fn withdraw_starts(
        &mut self,
        worker_index: u32,
        commands: &mut Vec<Command>,
        superseded: &[Command],
    ) {
        let is_same_task = |a: &Command, b: &Command| (a.job, a.task) == (b.job, b.task);
        let (withdrawn, kept) = std::mem::take(commands).into_iter().partition(|command| {
            let supersedes = superseded.iter().any(|s| is_same_task(s, command));
            command.verb == Verb::Start && supersedes
        });
        *commands = kept;
        let withdrawn: Vec<Command> = withdrawn;
        for start in withdrawn {
            if let Some(id) = self.jobs.instance_id(&start) {
                self.remove_instance(worker_index, id);
                self.abort_gang_attempt(id);
            }
        }
    }

    /// Chooses the token of a message, and records the message as sent. `forget_token` is the result
    /// of [`Self::forget_token`] before the commands were taken from the outbox. Without it, orders
    /// to forget are dropped: each heartbeat that lists an exited task leads to another one.
    pub(super) fn fence_commands(
        &mut self,
        worker_index: u32,
        mut commands: Vec<Command>,
        forget_token: Option<u64>,
        channel: CommandChannel,
    ) -> FencedCommands {
        let is_forget = |command: &Command| command.verb == Verb::Forget;
        let superseded = self.superseded_attempts(worker_index, &commands);
        match forget_token {
            _ if superseded.is_empty() => {}
            Some(_) => {
                let rest = std::mem::replace(&mut commands, superseded);
                append_missing(&mut commands, rest);
            }
            None => self.withdraw_starts(worker_index, &mut commands, &superseded),
        }
        let mut token = self.worker_token(worker_index);
        let forgets = commands.iter().filter(|command| is_forget(command)).count();
        if forgets > 0 {
            self.record_forgets(worker_index, forgets, forget_token);
            match forget_token {
                Some(forget_token) => token = forget_token,
                None => commands.retain(|command| !is_forget(command)),
            }
        }
        let has_start = commands.iter().any(|command| command.verb == Verb::Start);
        let worker = &mut self.workers[worker_index];
        match channel {
            CommandChannel::Response => worker.tokens.record_response(token),
            CommandChannel::Direct => worker.tokens.record_direct_message(token, has_start),
        }
        if !commands.is_empty() {
            let log = &mut self.reconciliation.command_log;
            log.record_sent(self.now, &worker.name, token, channel, &commands);
        }
        FencedCommands { token, commands }
    }

    fn record_forgets(&mut self, worker_index: u32, forgets: usize, forget_token: Option<u64>) {
        let current = self.worker_token(worker_index);
        let tokens = &self.workers[worker_index].tokens;
        let needs_newer = tokens.forget_token(&self.command_tokens, true).is_none();
        let requests = &mut self.token_requests;
        requests.wanted |= forget_token.is_none() && needs_newer;
        requests.raised |= forget_token.is_some_and(|token| token > self.command_tokens.term());
        let log = &mut self.reconciliation.command_log;
        log.record_forgets(forgets, current, forget_token);
    }

    /// Records the revision of an acknowledged transaction, which was conditional on the leader key.
    pub(super) fn record_guarded_revision(&mut self, revision: u64) {
        if revision > self.command_tokens.newest() {
            self.command_tokens.record_guarded_revision(revision);
            self.token_requests.wanted = false;
        }
    }

    /// Adds a write to an empty batch if a newer token is wanted: a page of the worker registry is
    /// written again, and the revision of the transaction becomes a token.
    pub(super) fn add_token_write(&mut self, batch: &mut WriteBatch) {
        let requests = &mut self.token_requests;
        if !requests.wanted || !batch.is_empty() || self.now < requests.next_write_at {
            return;
        }
        let Some(page) = self.registry.first_stored_page() else {
            return;
        };
        requests.next_write_at = self.now + TOKEN_WRITE_INTERVAL_S;
        self.registry.schedule_write(page, self.now);
        self.add_registry_writes(batch);
    }

    /// Records whether a shard owner knows of tokens above the version of the leader key. One of an
    /// earlier version of this program cannot answer workers whose token was raised, so this leader
    /// steps down: the next one's token is higher than all of them.
    pub(super) fn record_command_token_support(&mut self, controller: u32, supported: bool) {
        let Some(sharding) = &mut self.sharding else {
            return;
        };
        sharding.set_command_token_support(controller, supported);
        if !supported && self.token_requests.raised {
            self.effects.push(Effect::StepDown(StepDownReason::OldPeer));
        }
    }

    fn peers_support_command_tokens(&self) -> bool {
        let sharding = self.sharding.as_ref();
        sharding.is_none_or(Sharding::all_support_command_tokens)
    }
}
