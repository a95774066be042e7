//! The HTTP interfaces of a controller: the public one for users, workers and operators, and the
//! one between controllers.
//!
//! Each kind of request has its own module. None of them keeps state: what a controller knows is
//! asked of its event loop, and what is stored is read from the state service.

#![warn(missing_docs)]

mod admin;
mod cancellation;
mod error;
mod health;
mod heartbeat;
mod lookup;
mod machine_types;
mod peers;
mod routes;
mod submission;

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::controller::commands::ControllerHandle;
use crate::controller::context::ControllerContext;
use crate::controller::event_loop::Controller;
use crate::coordination::election;
use crate::protocol::JobId;
use crate::protocol::job::{JobOutcome, Phase};
use crate::settings::{Settings, Tuning};
use crate::transport::client::Network;
use crate::transport::server::{ApiRequest, ApiResponse};
use error::ApiError;
use lookup::LookupQueue;
use routes::Route;

/// Users wait 5 s for the answer to a submission.
const SUBMIT_DEADLINE: Duration = Duration::from_millis(3500);
/// Users wait 2 s for the answer to a lookup.
const LOOKUP_DEADLINE: Duration = Duration::from_millis(1700);
/// Also what a controller waits for the leader's answer to a cancellation.
const CANCEL_DEADLINE: Duration = Duration::from_millis(2500);
/// An operator is answered once the request is stored.
const ADMIN_DEADLINE: Duration = Duration::from_millis(4000);

/// The request handlers of one controller. Clones share it.
#[derive(Clone)]
pub struct Api {
    context: Arc<ControllerContext>,
    handle: ControllerHandle,
    lookups: LookupQueue,
}

/// The tasks of a controller that do not belong to one request. Dropping this lets them run on.
pub struct ControllerTasks {
    event_loop: JoinHandle<()>,
    background: Vec<JoinHandle<()>>,
}

impl ControllerTasks {
    /// Returns when the event loop has ended, which it does only by a fault, and ends the rest.
    pub async fn event_loop_ended(self) {
        // Whether it returned or panicked, the process is of no use any more.
        let _ = self.event_loop.await;
        for task in self.background {
            task.abort();
        }
    }
}

impl Api {
    /// Creates a controller and starts its tasks. `seed` decides its few random choices.
    pub fn start(
        settings: Settings,
        tuning: Tuning,
        network: Arc<dyn Network>,
        seed: u64,
    ) -> (Self, ControllerTasks) {
        let context = Arc::new(ControllerContext::new(settings, tuning, network, seed));
        let (controller, handle) = Controller::new(context.clone());
        let (lookups, lookup_forwarder) = lookup::queue(context.clone(), handle.clone());
        let background = vec![
            tokio::spawn(lookup_forwarder.run()),
            tokio::spawn(machine_types::refresh(context.clone(), handle.clone())),
            tokio::spawn(peers::monitor(context.clone())),
            tokio::spawn(election::run(context.clone(), handle.clone())),
        ];
        let tasks = ControllerTasks {
            event_loop: tokio::spawn(controller.run()),
            background,
        };
        let api = Self {
            context,
            handle,
            lookups,
        };
        (api, tasks)
    }

    /// Answers a request to the public interface.
    pub async fn public(self, request: ApiRequest) -> ApiResponse {
        let answer = self.answer_public(&request).await;
        answer.unwrap_or_else(ApiResponse::from)
    }

    async fn answer_public(&self, request: &ApiRequest) -> Result<ApiResponse, ApiError> {
        if request.path.starts_with("/work") && self.context.may_be_stale() {
            return Err(ApiError::ProcessPaused);
        }
        let admin_enabled = self.context.tuning.operators.is_some();
        match Route::of(&request.method, &request.path, admin_enabled)? {
            Route::Admin { page } => {
                self.authorize(request)?;
                let admin = self.admin(admin::parse_request(request, page)?);
                within(ADMIN_DEADLINE, admin, ApiError::NotStoredInTime).await
            }
            Route::Heartbeat => self.heartbeat(&request.body).await,
            Route::Submit => {
                let submission = self.submit(&request.body);
                within(SUBMIT_DEADLINE, submission, ApiError::NotStoredInTime).await
            }
            Route::Health => self.health(),
            Route::Cancel(id) => {
                let cancellation = self.cancel(id);
                within(CANCEL_DEADLINE, cancellation, ApiError::NotStoredInTime).await
            }
            Route::Lookup(id) => {
                let lookup = self.answer_lookup(id);
                within(LOOKUP_DEADLINE, lookup, ApiError::NoAnswerInTime).await
            }
        }
    }
}

/// The answer, or `late` if it does not come in time.
async fn within(
    deadline: Duration,
    answer: impl Future<Output = Result<ApiResponse, ApiError>>,
    late: ApiError,
) -> Result<ApiResponse, ApiError> {
    timeout(deadline, answer).await.unwrap_or(Err(late))
}

/// The answer about a job of which nothing runs.
fn outcome_answer(id: JobId, outcome: JobOutcome) -> ApiResponse {
    phase_answer(id, outcome.phase, outcome.done, 0)
}

/// The answer about a job: its phase, and how many of its tasks are completed and run.
fn phase_answer(id: JobId, phase: Phase, done: u32, running: u32) -> ApiResponse {
    let body = json!({
        "uid": id.to_string(),
        "phase": phase.spelling(),
        "done": done,
        "running": running,
    });
    ApiResponse::json(200, &body)
}
