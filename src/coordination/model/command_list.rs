//! Lists of commands to one worker, which executes them in their order.

use crate::protocol::worker::{Command, Verb};

/// Adds the commands that are not in the list yet.
///
/// Where a list holds start and stop of one attempt, the stop follows the start at once: a start
/// that is executed after its stop undoes it on a worker that did not hold the attempt before.
pub fn append_missing(list: &mut Vec<Command>, commands: Vec<Command>) {
    for command in commands {
        if !list.contains(&command) {
            append(list, command);
        }
    }
}

fn append(list: &mut Vec<Command>, command: Command) {
    match command.verb {
        Verb::Start => {
            list.retain(|listed| !(is_stop(listed) && is_same_attempt(listed, &command)));
        }
        Verb::Stop { .. } => {
            let is_start =
                |listed: &Command| listed.verb == Verb::Start && is_same_attempt(listed, &command);
            if let Some(index) = list.iter().position(is_start) {
                let start = list.remove(index);
                list.push(start);
            }
        }
        Verb::Forget => {}
    }
    list.push(command);
}

/// Whether a command stops an attempt.
pub fn is_stop(command: &Command) -> bool {
    matches!(command.verb, Verb::Stop { .. })
}

fn is_same_attempt(a: &Command, b: &Command) -> bool {
    (a.job, a.task, a.attempt) == (b.job, b.task, b.attempt)
}
