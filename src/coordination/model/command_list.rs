//! Lists of commands for one worker. The worker executes them in list order.

use crate::protocol::worker::{Command, Verb};

/// Appends the commands that the list does not contain yet.
///
/// If a list contains both the start and the stop of an attempt, the stop comes directly after the
/// start. In the opposite order, a worker that does not hold the attempt would start the task in
/// spite of the stop.
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

/// Whether the command is a stop.
pub fn is_stop(command: &Command) -> bool {
    matches!(command.verb, Verb::Stop { .. })
}

fn is_same_attempt(a: &Command, b: &Command) -> bool {
    (a.job, a.task, a.attempt) == (b.job, b.task, b.attempt)
}
