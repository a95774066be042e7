//! Command lists keep the stop of an attempt directly after its start, in whatever order the two
//! were queued. Guards against a start that follows the stop of its attempt: the worker would then
//! run a task that was ordered to stop.

use copperfield::coordination::model::append_missing;
use copperfield::protocol::JobId;
use copperfield::protocol::worker::{Command, Verb};

const STOP: Verb = Verb::Stop { grace_s: 0.0 };

fn command(verb: Verb, task: u32) -> Command {
    Command {
        verb,
        job: JobId(1),
        task,
        attempt: 7,
    }
}

/// The contents of `list` after `commands` were appended.
fn appended(list: &[(Verb, u32)], commands: &[(Verb, u32)]) -> Vec<(Verb, u32)> {
    let to_commands = |commands: &[(Verb, u32)]| -> Vec<Command> {
        commands
            .iter()
            .map(|(verb, task)| command(verb.clone(), *task))
            .collect()
    };
    let mut list = to_commands(list);
    append_missing(&mut list, to_commands(commands));
    list.into_iter().map(|c| (c.verb, c.task)).collect()
}

/// A stop is queued, and then a heartbeat does not list the task, whose start may still arrive.
/// Start and stop are therefore sent again. A fault put this start behind the queued stop.
#[test]
fn start_is_placed_before_a_queued_stop() {
    let queued = [(STOP, 0), (Verb::Forget, 1)];
    let pair = [(Verb::Start, 0), (STOP, 0)];
    assert_eq!(
        appended(&queued, &pair),
        [(Verb::Forget, 1), (Verb::Start, 0), (STOP, 0)]
    );
}

#[test]
fn stop_directly_follows_its_start() {
    let queued = [(Verb::Start, 0), (Verb::Start, 1)];
    assert_eq!(
        appended(&queued, &[(STOP, 0)]),
        [(Verb::Start, 1), (Verb::Start, 0), (STOP, 0)]
    );
}

#[test]
fn duplicate_commands_are_not_added() {
    let pair = [(Verb::Start, 0), (STOP, 0), (STOP, 1)];
    assert_eq!(appended(&pair, &pair), pair);
}
