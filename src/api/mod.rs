//! The HTTP interfaces of a controller: the public one for users, workers and operators, and the
//! peer interface for other controllers.
//!
//! Each kind of request has its own module. The handlers keep no state of their own: they query the
//! controller's event loop and the state service.

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

/// The deadline for answering a submission. Users wait 5 s.
const SUBMIT_DEADLINE: Duration = Duration::from_millis(3500);
/// The deadline for answering a lookup. Users wait 2 s.
const LOOKUP_DEADLINE: Duration = Duration::from_millis(1700);
/// The deadline for answering a cancellation, and for the leader's answer to a cancellation or an
/// operator's request that another controller forwards to it.
const CANCEL_DEADLINE: Duration = Duration::from_millis(2500);
/// The deadline for answering an operator, who is answered only once the request is stored.
const ADMIN_DEADLINE: Duration = Duration::from_millis(4000);

/// The request handlers of one controller. All clones belong to the same controller.
#[derive(Clone)]
pub struct Api {
    context: Arc<ControllerContext>,
    handle: ControllerHandle,
    lookups: LookupQueue,
}

/// The long-running tasks of a controller. Dropping this does not end them.
pub struct ControllerTasks {
    event_loop: JoinHandle<()>,
    background: Vec<JoinHandle<()>>,
}

impl ControllerTasks {
    /// Waits until the event loop has ended, which happens only after a fault, and ends the other
    /// tasks.
    pub async fn event_loop_ended(self) {
        // Whether the event loop returned or panicked, the process cannot continue without it.
        let _ = self.event_loop.await;
        for task in self.background {
            task.abort();
        }
    }
}

impl Api {
    /// Creates a controller and starts its tasks. `seed` determines its random choices.
    pub fn start(
        settings: Settings,
        tuning: Tuning,
        network: Arc<dyn Network>,
        seed: u64,
    ) -> (Self, ControllerTasks) {
        let context = Arc::new(ControllerContext::new(settings, tuning, network, seed));
        let (controller, handle) = Controller::new(context.clone());
        let (lookups, lookup_forwarder) = lookup::lookup_queue(context.clone(), handle.clone());
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
        if request.path.starts_with("/work") && self.context.requests_may_be_stale() {
            return Err(ApiError::ProcessPaused);
        }
        let admin_enabled = self.context.tuning.operators.is_some();
        match Route::parse(&request.method, &request.path, admin_enabled)? {
            Route::Admin { page } => {
                self.authorize(request)?;
                let admin = self.admin(admin::parse_request(request, page)?);
                with_deadline(ADMIN_DEADLINE, admin, ApiError::NotStoredInTime).await
            }
            Route::Heartbeat => self.heartbeat(&request.body).await,
            Route::Submit => {
                let submission = self.submit(&request.body);
                with_deadline(SUBMIT_DEADLINE, submission, ApiError::NotStoredInTime).await
            }
            Route::Health => self.health(),
            Route::Cancel(id) => {
                let cancellation = self.cancel(id);
                with_deadline(CANCEL_DEADLINE, cancellation, ApiError::NotStoredInTime).await
            }
            Route::Lookup(id) => {
                let lookup = self.answer_lookup(id);
                with_deadline(LOOKUP_DEADLINE, lookup, ApiError::NoAnswerInTime).await
            }
        }
    }
}

/// Waits for the answer until the deadline, and returns `timeout_error` if there is none by then.
async fn with_deadline(
    deadline: Duration,
    answer: impl Future<Output = Result<ApiResponse, ApiError>>,
    timeout_error: ApiError,
) -> Result<ApiResponse, ApiError> {
    timeout(deadline, answer)
        .await
        .unwrap_or(Err(timeout_error))
}

/// The response for a job of which no task is running.
fn outcome_response(id: JobId, outcome: JobOutcome) -> ApiResponse {
    phase_response(id, outcome.phase, outcome.done, 0)
}

/// The response for a job: its phase, and how many of its tasks are done and running.
fn phase_response(id: JobId, phase: Phase, done: u32, running: u32) -> ApiResponse {
    let body = json!({
        "uid": id.to_string(),
        "phase": phase.as_str(),
        "done": done,
        "running": running,
    });
    ApiResponse::json(200, &body)
}
