//! The log of the commands to workers: under which fencing token and on which channel attempts are
//! started and forgotten, and reported tasks that no start explains.
//!
//! Single messages are logged at debug level, with a limit per second; omitted lines are counted.
//! The totals are logged at info level twice a minute.

use crate::coordination::command_tokens::CommandChannel;
use crate::coordination::model::{InstanceId, Time};
use crate::protocol::JobId;
use crate::protocol::worker::{Command, Verb};

use super::line_limiter::LineLimiter;

/// Event counts since the last info line.
#[derive(Debug, Default)]
struct Totals {
    starts_in_responses: usize,
    direct_starts: usize,
    forgets: usize,
    forgets_withheld: usize,
    tokens_raised: u32,
    unexplained: u32,
}

/// The log of the commands to workers.
#[derive(Debug, Default)]
pub(in crate::coordination) struct CommandLog {
    totals: Totals,
    limiter: LineLimiter,
}

impl CommandLog {
    /// Records the commands of a message. Messages that only stop tasks are not logged here.
    pub(in crate::coordination) fn record_sent(
        &mut self,
        now: Time,
        worker: &str,
        token: u64,
        channel: CommandChannel,
        commands: &[Command],
    ) {
        let starts = commands.iter().filter(|c| c.verb == Verb::Start).count();
        match channel {
            CommandChannel::Response => self.totals.starts_in_responses += starts,
            CommandChannel::Direct => self.totals.direct_starts += starts,
        }
        for command in commands {
            let event = match command.verb {
                Verb::Start => "start sent",
                Verb::Forget => "forget sent",
                Verb::Stop { .. } => continue,
            };
            if !self.limiter.admit_line(now) {
                continue;
            }
            tracing::debug!(
                worker,
                token,
                ?channel,
                job = %command.job,
                task = command.task,
                attempt = command.attempt,
                "{event}"
            );
        }
    }

    /// Records the orders to forget in a message: sent under this token, or withheld because there
    /// is none. `current` is the worker's token before the message.
    pub(in crate::coordination) fn record_forgets(
        &mut self,
        forgets: usize,
        current: u64,
        token: Option<u64>,
    ) {
        match token {
            Some(token) => {
                self.totals.forgets += forgets;
                self.totals.tokens_raised += u32::from(token > current);
            }
            None => self.totals.forgets_withheld += forgets,
        }
    }

    /// Records a reported task of this leader that it holds for gone from the worker.
    pub(super) fn record_unexplained(
        &mut self,
        now: Time,
        worker: &str,
        job: JobId,
        id: InstanceId,
    ) {
        self.totals.unexplained += 1;
        if self.limiter.admit_line(now) {
            tracing::debug!(
                worker,
                %job,
                task = id.task,
                attempt = id.attempt,
                "task reported that no start explains"
            );
        }
    }

    /// Logs the totals if the interval has passed.
    pub(in crate::coordination) fn log_if_due(&mut self, now: Time, token: u64) {
        if !self.limiter.is_summary_due(now) {
            return;
        }
        let totals = std::mem::take(&mut self.totals);
        tracing::info!(
            token,
            starts_in_responses = totals.starts_in_responses,
            direct_starts = totals.direct_starts,
            forgets = totals.forgets,
            forgets_withheld = totals.forgets_withheld,
            tokens_raised = totals.tokens_raised,
            unexplained = totals.unexplained,
            left_out = self.limiter.take_omitted(),
            "worker commands"
        );
    }
}
