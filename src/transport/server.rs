//! The warp servers of a controller: one for users and workers, one for peers.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use copperfield_http::{ClientClass, MemoryBudget, ServerConfig};
use http_body_util::BodyExt;
use serde_json::json;
use tokio::net::TcpListener;
use tower_service::Service;
use warp::http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use warp::http::{Method, Response, StatusCode};
use warp::path::FullPath;
use warp::reject::{LengthRequired, MethodNotAllowed, PayloadTooLarge};
use warp::{Filter, Rejection, Reply};

/// A request as passed to the API handlers.
#[derive(Debug)]
pub struct ApiRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path of the request target, without the query.
    pub path: String,
    /// The query string of the request target.
    pub query: Option<String>,
    /// The `Authorization` header.
    pub authorization: Option<String>,
    /// The complete body.
    pub body: Bytes,
}

/// A response as returned by the API handlers.
#[derive(Debug)]
pub struct ApiResponse {
    /// The status code.
    pub status: u16,
    /// The complete JSON body.
    pub body: Vec<u8>,
    /// The value of the `Retry-After` header in seconds.
    pub retry_after_s: Option<u32>,
}

impl ApiResponse {
    /// Creates a response with a JSON body.
    pub fn json(status: u16, value: &serde_json::Value) -> Self {
        Self {
            status,
            body: serde_json::to_vec(value).expect("plain data"),
            retry_after_s: None,
        }
    }

    /// Creates a response with an error message.
    pub fn error(status: u16, message: &str) -> Self {
        Self::json(status, &json!({ "error": message }))
    }

    /// Creates a 503 response that tells the client when to retry. Requests are rejected at once
    /// instead of being queued.
    pub fn busy(message: &str, retry_after_s: u32) -> Self {
        Self {
            retry_after_s: Some(retry_after_s),
            ..Self::error(503, message)
        }
    }

    fn into_response(self) -> Response<Bytes> {
        let mut response = Response::new(Bytes::from(self.body));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(seconds) = self.retry_after_s {
            headers.insert(RETRY_AFTER, seconds.into());
        }
        response
    }
}

/// A connection is closed if the client sends nothing for this time. Healthy workers and users send
/// a request every few seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum time from the head of a request to the end of its response. Clients wait at most 5 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// If less than one connection in this many is free, users' connections are closed after one
/// response. Otherwise, idle connections of users can keep out the heartbeats of workers for a
/// whole lease, as has happened.
const RESERVED_FRACTION: usize = 4;
/// Path prefix of users' requests.
const USER_PATH: &str = "/work";

/// Binds a listener to an address. warp would panic if the address is in use; this returns an
/// error.
///
/// # Errors
/// The address cannot be bound, for example because another process uses it.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves `handler` on a bound listener until the process ends, with at most `max_connections`
/// connections. Further connections wait in the system's accept queue, and a load balancer soon
/// sends such clients to another controller. Without the limit, stalled clients used up the sockets
/// that the leader needs for its own calls. `memory_budget` limits the total memory of the requests in
/// flight.
///
/// # Errors
/// None: if a connection cannot be accepted, accepting is retried.
pub async fn serve<H, F>(
    listener: TcpListener,
    max_connections: usize,
    max_body: u64,
    memory_budget: MemoryBudget,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(ApiRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ApiResponse> + Send + 'static,
{
    let service = warp::service(routes(max_body, handler));
    let config = ServerConfig {
        max_connections,
        idle_timeout: IDLE_TIMEOUT,
        request_timeout: REQUEST_TIMEOUT,
        max_body,
        reserved_fraction: RESERVED_FRACTION,
        memory_budget,
        client_class,
        error_response,
    };
    copperfield_http::serve(listener, config, move |request| {
        let response = service.clone().call(request);
        async move {
            let (parts, body) = response
                .await
                .unwrap_or_else(|never| match never {})
                .into_parts();
            let body = body
                .collect()
                .await
                .map(http_body_util::Collected::to_bytes);
            Response::from_parts(parts, body.unwrap_or_default())
        }
    })
    .await
}

/// Returns a filter that accepts every path. The handler does its own routing.
fn routes<H, F>(
    max_body: u64,
    handler: H,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone + Send + Sync + 'static
where
    H: Fn(ApiRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ApiResponse> + Send + 'static,
{
    let with_body = warp::post()
        .or(warp::put())
        .unify()
        .and(warp::body::content_length_limit(max_body))
        .and(warp::body::bytes());
    let without_body = warp::get().or(warp::delete()).unify().map(Bytes::new);
    let query = warp::query::raw()
        .map(Some)
        .or(warp::any().map(|| None))
        .unify();
    warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::optional::<String>("authorization"))
        .and(without_body.or(with_body).unify())
        .then(
            move |method: Method, path: FullPath, query, authorization, body: Bytes| {
                let response = handler(ApiRequest {
                    method,
                    path: path.as_str().to_string(),
                    query,
                    authorization,
                    body,
                });
                async move { response.await.into_response() }
            },
        )
        .recover(handle_rejection)
}

fn client_class(path: &str) -> ClientClass {
    if path.starts_with(USER_PATH) {
        ClientClass::User
    } else {
        ClientClass::Worker
    }
}

/// Returns the response to a request that does not reach the handler.
fn error_response(status: StatusCode, message: &str) -> Response<Bytes> {
    let mut response = ApiResponse::error(status.as_u16(), message);
    response.retry_after_s = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(1);
    response.into_response()
}

/// Converts a rejection of the warp filters to a response.
async fn handle_rejection(rejection: Rejection) -> Result<Response<Bytes>, Infallible> {
    let (status, message) = if rejection.find::<PayloadTooLarge>().is_some() {
        (400, "body: over 64 KiB")
    } else if rejection.find::<LengthRequired>().is_some() {
        (400, "body: missing, or without Content-Length")
    } else if rejection.find::<MethodNotAllowed>().is_some() {
        (405, "method not allowed")
    } else {
        (400, "malformed request")
    };
    Ok(ApiResponse::error(status, message).into_response())
}
