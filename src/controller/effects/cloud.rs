//! Requests to the cloud: scaling out and in, the list of workers, and the machine types.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;

use crate::controller::context::ControllerContext;
use crate::coordination::core::{Input, ScaleOutOutcome, WorkerList};
use crate::protocol::cloud::{self, ListedWorker, MachineType, WorkerPage};
use crate::transport::client::{CallError, HttpResponse};
use crate::transport::rate_limiter::Urgency;

const CLOUD_DEADLINE: Duration = Duration::from_secs(3);
const SCALE_OUT_ATTEMPTS: usize = 3;
/// What one request costs in the rate limiter for the cloud.
const CALL_COST: f64 = 1.0;

const STATUS_OK: u16 = 200;
const STATUS_UNAVAILABLE: u16 = 503;
/// A 503 whose body contains this text means that the cloud has no such workers left.
const NO_CAPACITY: &[u8] = b"no capacity";

/// A request for new workers.
pub struct ScaleOutRequest {
    /// The name of the request, which makes it idempotent: the cloud provisions workers only once
    /// for each name.
    pub request: String,
    /// The machine type of the workers.
    pub machine_type: String,
    /// The zone to provision them in.
    pub zone: String,
    /// Whether to provision spot workers, which the cloud may reclaim.
    pub spot: bool,
    /// How many workers to provision.
    pub count: u32,
}

/// Requests new workers from the cloud.
pub(super) async fn scale_out(context: &ControllerContext, request: ScaleOutRequest) -> Input {
    let ScaleOutRequest {
        request,
        machine_type,
        zone,
        spot,
        count,
    } = request;
    let body = cloud::scale_out_body(&request, &machine_type, &zone, spot, count).to_string();
    let outcome = send_scale_out(context, body.into_bytes()).await;
    Input::ScaledOut { request, outcome }
}

/// Sends the request, and repeats it if the response is lost. A repetition is safe, because the
/// cloud gives the same response to the same request name.
async fn send_scale_out(context: &ControllerContext, body: Vec<u8>) -> ScaleOutOutcome {
    for _ in 0..SCALE_OUT_ATTEMPTS {
        context
            .cloud_rate_limiter
            .acquire(CALL_COST, Urgency::Normal)
            .await;
        if !context.leadership.is_valid() {
            return ScaleOutOutcome::Unknown;
        }
        match call(context, Method::POST, "/rentals", body.clone()).await {
            Ok(response) => {
                if let Some(outcome) = scale_out_outcome(&response) {
                    return outcome;
                }
            }
            Err(CallError::Unsent) => return ScaleOutOutcome::Refused,
            Err(CallError::Unknown(_) | CallError::TooLarge) => {}
        }
    }
    ScaleOutOutcome::Unknown
}

/// `None` if the response does not state what was provisioned.
fn scale_out_outcome(response: &HttpResponse) -> Option<ScaleOutOutcome> {
    match response.status {
        STATUS_OK => {
            let workers = cloud::parse_scale_out(&response.body).ok()?;
            Some(ScaleOutOutcome::Workers(workers))
        }
        STATUS_UNAVAILABLE if has_no_capacity(&response.body) => Some(ScaleOutOutcome::NoCapacity),
        STATUS_UNAVAILABLE => Some(ScaleOutOutcome::Refused),
        status => {
            tracing::warn!(status, "cloud refused provisioning request");
            Some(ScaleOutOutcome::Refused)
        }
    }
}

fn has_no_capacity(body: &[u8]) -> bool {
    body.windows(NO_CAPACITY.len()).any(|w| w == NO_CAPACITY)
}

/// Returns workers to the cloud.
pub(super) async fn scale_in(context: &ControllerContext, workers: Vec<String>) -> Input {
    let body = cloud::scale_in_body(&workers).to_string().into_bytes();
    context
        .cloud_rate_limiter
        .acquire(CALL_COST, Urgency::High)
        .await;
    // The leader lease may have expired during the wait for the rate limiter, and the next leader
    // may use these workers.
    let ok = context.leadership.is_valid()
        && matches!(
            call(context, Method::POST, "/rentals/return", body).await,
            Ok(response) if response.status == STATUS_OK
        );
    Input::ScaledIn { workers, ok }
}

/// Reads all pages of the cloud's worker list. Returns `None` if a page cannot be read.
pub(super) async fn list_workers(context: &ControllerContext) -> Option<WorkerList> {
    let requested_at = context.now_s();
    let workers = read_worker_pages(context).await?;
    Some(WorkerList {
        requested_at,
        workers,
    })
}

async fn read_worker_pages(context: &ControllerContext) -> Option<Vec<ListedWorker>> {
    let mut all: Vec<ListedWorker> = Vec::new();
    loop {
        context
            .cloud_rate_limiter
            .acquire(CALL_COST, Urgency::Low)
            .await;
        let path = match all.last() {
            Some(last) => format!("/rentals?since={}&page=500", last.name),
            None => "/rentals?page=500".to_string(),
        };
        let body = get(context, &path).await?;
        let WorkerPage { workers, more } = cloud::parse_worker_page(&body)
            .inspect_err(|error| tracing::warn!(%error, "worker list does not parse"))
            .ok()?;
        let is_empty = workers.is_empty();
        all.extend(workers);
        if !more || is_empty {
            return Some(all);
        }
    }
}

/// Reads the machine types. Returns `None` if the cloud does not answer or they do not parse.
pub async fn read_machine_types(context: &ControllerContext) -> Option<Vec<MachineType>> {
    // High urgency, because no submission can be validated without the machine types.
    context
        .cloud_rate_limiter
        .acquire(CALL_COST, Urgency::High)
        .await;
    let body = get(context, "/machine_types").await?;
    cloud::parse_machine_types(&body)
        .inspect_err(|error| tracing::warn!(%error, "machine types do not parse"))
        .ok()
}

async fn get(context: &ControllerContext, path: &str) -> Option<Bytes> {
    let response = call(context, Method::GET, path, Vec::new()).await.ok()?;
    (response.status == STATUS_OK).then_some(response.body)
}

async fn call(
    context: &ControllerContext,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<HttpResponse, CallError> {
    let to = context.settings.external.cloud;
    context
        .http
        .call(method, to, path, body, CLOUD_DEADLINE)
        .await
}
