//! Explores a small model that runs the code under test: leaders that start, stop and forget two
//! attempts of tasks on one worker, by direct messages and by responses to heartbeats, while copies
//! of all direct messages that were ever sent may be carried out at any time and in any order.
//!
//! The property: no attempt starts again after its worker has forgotten it. All short histories are
//! explored breadth first, and long ones by seeded random walks. Each planted mistake must be found.

use std::collections::BTreeSet;

use copperfield_command_tokens::{TermTokens, WorkerTokens};
use copperfield_model_checker::{ModelState, Successors, effort_factor, explore, walk};

const MAX_STATES: usize = 150_000;
const WALKS: u64 = 4_000;
const MAX_STEPS: usize = 40;
/// The attempts of the model, each started by any leader at most once.
const ATTEMPTS: u8 = 2;
const FIRST_TERM: u64 = 10;

/// A mistake planted in the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mistake {
    None,
    /// The order to forget an attempt is sent under the worker's present token, because the start
    /// was answered. This was the program's fault.
    ForgetsUnderTheSameToken,
    /// Only starts whose message was answered count as sent.
    IgnoresUnansweredStarts,
    /// A repeated start does not count as sent once more.
    IgnoresRepeatedStarts,
    /// The order to forget an attempt goes under a higher token than the attempt's first start, but
    /// the token of the next start is not recorded.
    RecordsFirstStartOnly,
    /// The next leader's token is lower than the highest one of the last leader, because the
    /// revision of a transaction that was not conditional on the leader key was used.
    UsesUnguardedRevision,
}

/// A command of the model. Attempts are numbered from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Command {
    Start(u8),
    Stop(u8),
    Forget(u8),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    token: u64,
    command: Command,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    NotStarted,
    Running,
    Exited,
    Forgotten,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct CommandModel {
    mistake: Mistake,
    /// The newest revision of the state service.
    revision: u64,
    term: TermTokens,
    tokens: WorkerTokens,
    /// Attempts that some leader has sent the start of.
    started: BTreeSet<u8>,
    /// Attempts that the present leader has started; it repeats no others.
    own: BTreeSet<u8>,
    /// What the worker has last reported of each attempt.
    reported: [Phase; ATTEMPTS as usize],
    /// Every direct message that was sent; each may be carried out any number of times.
    sent: BTreeSet<Message>,
    /// The highest token that the worker has seen.
    worker_token: u64,
    phases: [Phase; ATTEMPTS as usize],
    violated: bool,
    failovers: u8,
}

impl CommandModel {
    fn new(mistake: Mistake) -> Self {
        Self {
            mistake,
            revision: FIRST_TERM,
            term: TermTokens::new(FIRST_TERM),
            tokens: WorkerTokens::default(),
            started: BTreeSet::new(),
            own: BTreeSet::new(),
            reported: [Phase::NotStarted; ATTEMPTS as usize],
            sent: BTreeSet::new(),
            worker_token: 0,
            phases: [Phase::NotStarted; ATTEMPTS as usize],
            violated: false,
            failovers: 0,
        }
    }

    /// Carries out a message at the worker. Returns whether the worker accepts its token.
    fn carry_out(&mut self, message: Message) -> bool {
        if message.token < self.worker_token {
            return false;
        }
        self.worker_token = message.token;
        match message.command {
            Command::Start(attempt) => {
                let phase = &mut self.phases[attempt as usize];
                self.violated |= *phase == Phase::Forgotten;
                if matches!(phase, Phase::NotStarted | Phase::Forgotten) {
                    *phase = Phase::Running;
                }
            }
            Command::Stop(attempt) => self.exit(attempt),
            Command::Forget(attempt) => {
                let phase = &mut self.phases[attempt as usize];
                if *phase == Phase::Exited {
                    *phase = Phase::Forgotten;
                }
            }
        }
        true
    }

    fn exit(&mut self, attempt: u8) {
        let phase = &mut self.phases[attempt as usize];
        if *phase == Phase::Running {
            *phase = Phase::Exited;
        }
    }

    /// Sends a direct message, which may be carried out later.
    fn send(&mut self, command: Command) -> bool {
        let token = self.tokens.current(&self.term);
        let is_start = matches!(command, Command::Start(_));
        let unrecorded = match self.mistake {
            Mistake::IgnoresUnansweredStarts => true,
            Mistake::RecordsFirstStartOnly => !self.started.is_empty(),
            _ => false,
        };
        self.tokens
            .record_direct_message(token, is_start && !unrecorded);
        if let Command::Start(attempt) = command {
            self.started.insert(attempt);
            self.own.insert(attempt);
        }
        self.sent.insert(Message { token, command })
    }

    /// Sends the start of an attempt that no leader has started.
    fn start(&mut self, attempt: u8) -> bool {
        !self.started.contains(&attempt) && self.send(Command::Start(attempt))
    }

    /// Repeats a start that had no answer.
    fn repeat_start(&mut self, attempt: u8) -> bool {
        let reported = self.reported[attempt as usize];
        if !self.own.contains(&attempt) || reported != Phase::NotStarted {
            return false;
        }
        let command = Command::Start(attempt);
        if self.mistake == Mistake::IgnoresRepeatedStarts {
            let token = self.tokens.current(&self.term);
            return self.sent.insert(Message { token, command });
        }
        self.send(command)
    }

    /// Orders the worker to forget an attempt that it has reported as exited, in a response to a
    /// heartbeat or in a direct message.
    fn forget(&mut self, attempt: u8, direct: bool) -> bool {
        if self.reported[attempt as usize] != Phase::Exited {
            return false;
        }
        let token = match self.mistake {
            Mistake::ForgetsUnderTheSameToken => Some(self.tokens.current(&self.term)),
            _ => self.tokens.forget_token(&self.term, true),
        };
        let Some(token) = token else {
            return false;
        };
        let command = Command::Forget(attempt);
        if direct {
            self.tokens.record_direct_message(token, false);
            return self.sent.insert(Message { token, command });
        }
        self.tokens.record_response(token);
        self.carry_out(Message { token, command })
    }

    /// The worker reports its attempts to the leader.
    fn report(&mut self) -> bool {
        if self.worker_token > self.term.newest() {
            return false;
        }
        self.tokens.record_reported(self.worker_token);
        if self.mistake == Mistake::IgnoresUnansweredStarts {
            let answered = self.phases.contains(&Phase::Running);
            let token = self.tokens.current(&self.term);
            self.tokens.record_direct_message(token, answered);
        }
        let before = self.reported;
        self.reported = self.phases;
        before != self.reported
    }

    /// A transaction of the leader is acknowledged.
    fn write(&mut self) -> bool {
        self.revision += 1;
        self.term.record_guarded_revision(self.revision);
        self.revision < FIRST_TERM + 6
    }

    /// A new leader is elected. It knows what the worker reports to it.
    fn fail_over(&mut self) -> bool {
        self.failovers += 1;
        self.revision += 1;
        let term = match self.mistake {
            Mistake::UsesUnguardedRevision => FIRST_TERM + 1,
            _ => self.revision,
        };
        self.term = TermTokens::new(term);
        self.tokens = WorkerTokens::default();
        self.own.clear();
        self.reported = [Phase::NotStarted; ATTEMPTS as usize];
        self.failovers <= 1
    }
}

impl ModelState for CommandModel {
    fn successors(&self) -> Vec<(&'static str, Self)> {
        const NAMES: [[&str; 6]; ATTEMPTS as usize] = [
            [
                "start 0",
                "repeat 0",
                "stop 0",
                "exit 0",
                "forget 0",
                "forget 0 directly",
            ],
            [
                "start 1",
                "repeat 1",
                "stop 1",
                "exit 1",
                "forget 1",
                "forget 1 directly",
            ],
        ];
        let mut successors = Successors::new(self);
        for attempt in 0..ATTEMPTS {
            let [start, repeat, stop, exit, forget, forget_directly] = NAMES[attempt as usize];
            successors.add(start, |state| state.start(attempt));
            successors.add(repeat, |state| state.repeat_start(attempt));
            successors.add(stop, |state| {
                state.started.contains(&attempt) && state.send(Command::Stop(attempt))
            });
            successors.add(exit, |state| {
                state.exit(attempt);
                state.phases != self.phases
            });
            successors.add(forget, |state| state.forget(attempt, false));
            successors.add(forget_directly, |state| state.forget(attempt, true));
        }
        for message in &self.sent {
            successors.add("a message arrives", |state| {
                state.carry_out(*message) && state != self
            });
        }
        successors.add("report", Self::report);
        successors.add("write", Self::write);
        successors.add("failover", Self::fail_over);
        successors.into_vec()
    }

    fn violates_property(&self) -> bool {
        self.violated
    }
}

#[test]
fn no_forgotten_attempt_starts_again() {
    let start = CommandModel::new(Mistake::None);
    let max_states = MAX_STATES * effort_factor() as usize;
    let depth = explore(start.clone(), max_states).expect("the property holds");
    assert!(depth >= 7, "only histories of {depth} steps were explored");
    walk(&start, WALKS * effort_factor(), MAX_STEPS).expect("the property holds");
}

#[test]
fn planted_mistakes_are_found() {
    for mistake in [
        Mistake::ForgetsUnderTheSameToken,
        Mistake::IgnoresUnansweredStarts,
        Mistake::IgnoresRepeatedStarts,
        Mistake::RecordsFirstStartOnly,
        Mistake::UsesUnguardedRevision,
    ] {
        let start = CommandModel::new(mistake);
        let found = explore(start.clone(), MAX_STATES).and_then(|_| walk(&start, WALKS, MAX_STEPS));
        assert!(found.is_err(), "{mistake:?} was not found");
    }
}
