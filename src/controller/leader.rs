//! The state of a controller while it leads: the core, and the requests that wait for the core's
//! answers.

use std::time::Duration;

use crate::controller::commands::{AdminResponse, BegunCancellation, ShardAnswer};
use crate::controller::context::ControllerContext;
use crate::controller::effects::{EffectExecutor, ScaleOutRequest};
use crate::controller::pending_replies::{PendingReplies, PendingReply};
use crate::controller::relay_batch::RelayBatch;
use crate::coordination::core::{Core, Effect, Input};
use crate::protocol::JobId;
use crate::protocol::peer::{FencedMessage, Lookup, RelayedCommand};
use crate::transport::server::ApiResponse;

/// The state of one leadership term.
pub struct Leader {
    core: Core,
    replies: PendingReplies,
    /// Inputs that arrived while the leader lease was not valid.
    deferred: Vec<Input>,
}

impl Leader {
    /// Starts a term with a core that was created from the recovered state.
    pub fn new(core: Core) -> Self {
        Self {
            core,
            replies: PendingReplies::default(),
            deferred: Vec::new(),
        }
    }

    /// The fencing token of the term.
    pub fn token(&self) -> u64 {
        self.core.token
    }

    /// Looks up a job in the core.
    pub fn lookup(&self, job: JobId) -> Lookup {
        self.core.lookup(job)
    }

    /// Whether no worker has been heard from for longer than a single one needs to count as
    /// unresponsive.
    pub fn has_lost_all_workers(&self) -> bool {
        self.core.has_lost_all_workers()
    }

    /// Whether this leader learns of every heartbeat that any controller receives.
    pub fn receives_heartbeats_of_all_peers(&self) -> bool {
        self.core.receives_heartbeats_of_all_peers()
    }

    /// Whether no worker has been heard from for so long that no earlier lease is left.
    pub fn silence_outlasts_leases(&self) -> bool {
        self.core.silence_outlasts_leases()
    }

    /// Registers a request and returns the ticket under which the core answers it.
    pub fn register(&mut self, reply: PendingReply) -> u64 {
        self.replies.register(reply)
    }

    /// Records a process pause, so that its duration does not count as time without heartbeats.
    pub fn record_pause(&mut self, pause: Duration) {
        self.core.handle_pause(pause.as_secs_f64());
    }

    /// Keeps inputs until the lease is valid again, except requests, which are dropped. This
    /// controller may send neither answers nor commands without a valid lease, and the requesters
    /// try another controller.
    pub fn defer(&mut self, inputs: Vec<Input>) {
        for input in inputs {
            match input {
                Input::Heartbeat { ticket, .. }
                | Input::CancelRequested { ticket, .. }
                | Input::Admin { ticket, .. }
                | Input::ShardStatus { ticket, .. } => self.replies.discard(ticket),
                input => self.deferred.push(input),
            }
        }
    }

    /// Runs one step of the core, with the deferred inputs before the new ones.
    pub fn step(&mut self, context: &ControllerContext, inputs: Vec<Input>) -> Vec<Effect> {
        let mut all_inputs = std::mem::take(&mut self.deferred);
        all_inputs.extend(inputs);
        self.core.lease_extended_until = context.leadership.lease_extended_until_s();
        let now = context.now_s();
        self.core.valid_until = now + context.leadership.valid_for().as_secs_f64();
        self.core.step(now, all_inputs)
    }

    /// Executes the effects of a step in order, and then sends the commands that peers relay.
    pub fn execute(&mut self, effects: Vec<Effect>, executor: &EffectExecutor<'_>) {
        let mut relayed = RelayBatch::default();
        for effect in effects {
            self.execute_effect(effect, executor, &mut relayed);
        }
        for message in relayed.into_messages() {
            executor.send_to_relay(message.controller, message.commands);
        }
    }

    fn execute_effect(
        &mut self,
        effect: Effect,
        executor: &EffectExecutor<'_>,
        relayed: &mut RelayBatch,
    ) {
        match effect {
            Effect::AnswerHeartbeat { ticket, body } => {
                self.replies.accept_heartbeat(ticket, body);
            }
            Effect::RefuseHeartbeat { ticket, reason } => {
                let response = ApiResponse::error(503, &reason.to_string());
                self.replies.answer_heartbeat(ticket, response);
            }
            Effect::RedirectWorker { ticket, controller } => {
                let context = executor.context();
                let member = context.settings.controller(controller);
                let response = context.redirect_worker(Some(member));
                self.replies.answer_heartbeat(ticket, response);
            }
            Effect::AnswerShardStatus {
                ticket,
                update,
                newest_token,
            } => {
                let answer = update.map(|update| ShardAnswer {
                    update,
                    newest_token,
                });
                self.replies.answer_shard_status(ticket, answer);
            }
            Effect::AnswerCancel { ticket, decision } => {
                let token = self.core.token;
                let begun = BegunCancellation { decision, token };
                self.replies.answer_cancellation(ticket, begun);
            }
            Effect::AnswerAdmin {
                ticket,
                status,
                body,
            } => {
                let response = AdminResponse { status, body };
                self.replies.answer_admin(ticket, response);
            }
            Effect::SendCommands {
                worker,
                address,
                token,
                incarnation,
                message_id,
                commands,
                via,
            } => {
                let message = RelayedCommand {
                    message_id,
                    address,
                    incarnation,
                    commands,
                };
                let fenced = FencedMessage { token, message };
                send_or_relay(worker, via, fenced, executor, relayed);
            }
            Effect::RequestHeartbeat {
                worker,
                address,
                token,
                incarnation,
                message_id,
                via,
            } => {
                let message = RelayedCommand {
                    message_id,
                    address,
                    incarnation,
                    commands: Vec::new(),
                };
                let fenced = FencedMessage { token, message };
                send_or_relay(worker, via, fenced, executor, relayed);
            }
            Effect::Write(batch) => executor.write(batch),
            Effect::ScaleOut {
                request,
                machine_type,
                zone,
                spot,
                count,
            } => executor.scale_out(ScaleOutRequest {
                request,
                machine_type,
                zone,
                spot,
                count,
            }),
            Effect::ScaleIn(workers) => executor.scale_in(workers),
            Effect::ListWorkers => executor.list_workers(),
            Effect::ReadMachineTypes => executor.read_machine_types(),
            Effect::StepDown(reason) => executor.step_down(reason),
        }
    }
}

/// Sends a message to a worker directly, or through the controller that owns its shard.
fn send_or_relay(
    worker: String,
    via: Option<u32>,
    message: FencedMessage,
    executor: &EffectExecutor<'_>,
    relayed: &mut RelayBatch,
) {
    match via {
        Some(controller) => relayed.push(controller, message),
        None => executor.send_to_worker(worker, message),
    }
}
