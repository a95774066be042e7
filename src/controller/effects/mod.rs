//! Executes the effects that the core requests: commands to workers, requests to the cloud, and
//! writes to the state service.
//!
//! Each effect runs in its own task and reports its result through the event loop's queue.

mod cloud;
mod peers;
mod state;
mod workers;

use std::future::Future;
use std::sync::Arc;

use crate::controller::commands::{Command, ControllerHandle};
use crate::controller::context::ControllerContext;
use crate::coordination::core::{Input, StepDownReason};
use crate::protocol::peer::FencedMessage;
use crate::storage::writer::Write;

pub use cloud::{ScaleOutRequest, read_machine_types};
pub use peers::{announce_leadership, relay_commands};

/// Starts the effects of one leadership term.
pub struct EffectExecutor<'a> {
    context: &'a Arc<ControllerContext>,
    handle: &'a ControllerHandle,
    /// The fencing token of the term.
    token: u64,
}

impl<'a> EffectExecutor<'a> {
    /// Creates an executor for the term with this token.
    pub fn new(
        context: &'a Arc<ControllerContext>,
        handle: &'a ControllerHandle,
        token: u64,
    ) -> Self {
        Self {
            context,
            handle,
            token,
        }
    }

    /// The shared state of this controller's tasks.
    pub fn context(&self) -> &ControllerContext {
        self.context
    }

    /// Ends the term.
    pub fn step_down(&self, reason: StepDownReason) {
        let token = self.token;
        tracing::warn!(token, "{reason}: stepping down");
        self.context.leadership.step_down(token);
    }

    /// Sends commands to a worker. A message without commands requests a heartbeat.
    pub fn send_to_worker(&self, worker: String, message: FencedMessage) {
        let (context, token) = (self.context.clone(), self.token);
        self.spawn(async move { Some(workers::send(&context, token, worker, message).await) });
    }

    /// Sends commands to workers through the controller that owns their shard.
    pub fn send_to_relay(&self, controller: u32, messages: Vec<FencedMessage>) {
        let member = self.context.settings.controller(controller);
        let Some(to) = self.context.peer_address(member) else {
            return;
        };
        let (context, token) = (self.context.clone(), self.token);
        self.spawn(
            async move { peers::send_to_relay(&context, token, controller, to, messages).await },
        );
    }

    /// Writes a batch to the state service.
    pub fn write(&self, batch: Vec<Write>) {
        let (context, handle, token) = (self.context.clone(), self.handle.clone(), self.token);
        self.spawn(async move { state::write(&context, &handle, token, batch).await });
    }

    /// Requests new workers from the cloud.
    pub fn scale_out(&self, request: ScaleOutRequest) {
        let context = self.context.clone();
        self.spawn(async move { Some(cloud::scale_out(&context, request).await) });
    }

    /// Returns workers to the cloud.
    pub fn scale_in(&self, workers: Vec<String>) {
        let context = self.context.clone();
        self.spawn(async move { Some(cloud::scale_in(&context, workers).await) });
    }

    /// Lists the workers that the cloud has provisioned.
    pub fn list_workers(&self) {
        let context = self.context.clone();
        self.spawn(async move { cloud::list_workers(&context).await.map(Input::WorkerList) });
    }

    /// Reads the machine types from the cloud.
    pub fn read_machine_types(&self) {
        let (context, handle) = (self.context.clone(), self.handle.clone());
        self.spawn(async move {
            if let Some(types) = read_machine_types(&context).await {
                handle.send(Command::SetMachineTypes(types)).await;
            }
            None
        });
    }

    fn spawn(&self, effect: impl Future<Output = Option<Input>> + Send + 'static) {
        let (handle, token) = (self.handle.clone(), self.token);
        tokio::spawn(async move {
            if let Some(input) = effect.await {
                handle.send(Command::Input { token, input }).await;
            }
        });
    }
}
