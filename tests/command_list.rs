//! A start and its stop leave for a worker together and in this order, however they came to be
//! queued.

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

/// What a list of the first commands holds after the second ones were added.
fn appended(list: &[(Verb, u32)], commands: &[(Verb, u32)]) -> Vec<(Verb, u32)> {
    let of = |commands: &[(Verb, u32)]| -> Vec<Command> {
        commands
            .iter()
            .map(|(verb, task)| command(verb.clone(), *task))
            .collect()
    };
    let mut list = of(list);
    append_missing(&mut list, of(commands));
    list.into_iter().map(|c| (c.verb, c.task)).collect()
}

/// A stop was ordered and waits; then the worker reports without the task, whose start may still
/// arrive, so that both are to be sent again. The start was put behind the waiting stop.
#[test]
fn a_start_is_put_before_the_stop_that_waits() {
    let queued = [(STOP, 0), (Verb::Forget, 1)];
    let pair = [(Verb::Start, 0), (STOP, 0)];
    assert_eq!(
        appended(&queued, &pair),
        [(Verb::Forget, 1), (Verb::Start, 0), (STOP, 0)]
    );
}

#[test]
fn a_stop_follows_its_start_at_once() {
    let queued = [(Verb::Start, 0), (Verb::Start, 1)];
    assert_eq!(
        appended(&queued, &[(STOP, 0)]),
        [(Verb::Start, 1), (Verb::Start, 0), (STOP, 0)]
    );
}

#[test]
fn nothing_is_listed_twice() {
    let pair = [(Verb::Start, 0), (STOP, 0), (STOP, 1)];
    assert_eq!(appended(&pair, &pair), pair);
}
