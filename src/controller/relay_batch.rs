//! Commands of one step that other controllers are to relay, in messages of bounded size.

use std::collections::BTreeMap;

use crate::protocol::peer::RelayedCommand;

/// Of one message to a relay. Well under the limit for messages between controllers: the relay
/// begins with the first message while the next ones are written.
const MESSAGE_BYTES: usize = 40 * 1024;
/// An estimate of what a relayed command takes without its worker commands.
const RELAYED_COMMAND_BYTES: usize = 64;
/// An estimate of what one worker command takes.
const WORKER_COMMAND_BYTES: usize = 32;

/// The relayed commands of one step, by relay.
#[derive(Default)]
pub struct RelayBatch {
    by_controller: BTreeMap<u32, Vec<RelayedCommand>>,
}

impl RelayBatch {
    /// Adds a command that this controller is to relay.
    pub fn push(&mut self, controller: u32, command: RelayedCommand) {
        let commands = self.by_controller.entry(controller).or_default();
        commands.push(command);
    }

    /// The messages to send, by controller and in the order of their commands.
    pub fn into_messages(self) -> Vec<RelayMessage> {
        let mut messages = Vec::new();
        for (controller, mut rest) in self.by_controller {
            while !rest.is_empty() {
                let later = rest.split_off(first_message_len(&rest));
                let commands = std::mem::replace(&mut rest, later);
                messages.push(RelayMessage {
                    controller,
                    commands,
                });
            }
        }
        messages
    }
}

/// One message to a relay.
pub struct RelayMessage {
    pub controller: u32,
    pub commands: Vec<RelayedCommand>,
}

/// How many of the commands fit in one message; always at least one.
fn first_message_len(commands: &[RelayedCommand]) -> usize {
    let mut bytes = 0;
    let first_too_many = commands.iter().position(|command| {
        bytes += RELAYED_COMMAND_BYTES + WORKER_COMMAND_BYTES * command.commands.len();
        bytes > MESSAGE_BYTES
    });
    first_too_many.unwrap_or(commands.len()).max(1)
}
