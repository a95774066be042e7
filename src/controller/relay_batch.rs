//! Commands of one step that other controllers relay to workers, in messages of bounded size.

use std::collections::BTreeMap;

use crate::protocol::peer::FencedMessage;

/// The maximum estimated size of a message to a relay. It is well below the limit for messages
/// between controllers, so that the relay can begin with the first message while the next ones are
/// being written.
const MAX_MESSAGE_BYTES: usize = 40 * 1024;
/// The estimated size of a relayed command without its worker commands.
const RELAYED_COMMAND_OVERHEAD_BYTES: usize = 64;
/// The estimated size of one worker command.
const WORKER_COMMAND_BYTES: usize = 32;

/// The commands of one step that peers relay, by the index of the relaying controller.
#[derive(Default)]
pub struct RelayBatch {
    by_controller: BTreeMap<u32, Vec<FencedMessage>>,
}

impl RelayBatch {
    /// Adds a command for the controller with this index to relay.
    pub fn push(&mut self, controller: u32, command: FencedMessage) {
        let commands = self.by_controller.entry(controller).or_default();
        commands.push(command);
    }

    /// Splits the commands into messages, by controller and in the order of the commands.
    pub fn into_messages(self) -> Vec<RelayMessage> {
        let mut messages = Vec::new();
        for (controller, mut rest) in self.by_controller {
            while !rest.is_empty() {
                let remaining = rest.split_off(first_message_len(&rest));
                let commands = std::mem::replace(&mut rest, remaining);
                messages.push(RelayMessage {
                    controller,
                    commands,
                });
            }
        }
        messages
    }
}

/// A message to a relay.
pub struct RelayMessage {
    /// The index of the controller that relays the commands.
    pub controller: u32,
    pub commands: Vec<FencedMessage>,
}

/// How many of the commands fit in one message. At least 1, even if that one is too large.
fn first_message_len(commands: &[FencedMessage]) -> usize {
    let mut bytes = 0;
    let first_excess = commands.iter().position(|command| {
        bytes +=
            RELAYED_COMMAND_OVERHEAD_BYTES + WORKER_COMMAND_BYTES * command.message.commands.len();
        bytes > MAX_MESSAGE_BYTES
    });
    first_excess.unwrap_or(commands.len()).max(1)
}
