//! The warp servers: one for users and workers, one for peers.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use copperfield_http::{ClientClass, Meter, ServerConfig};
use http_body_util::BodyExt;
use serde_json::json;
use tokio::net::TcpListener;
use tower_service::Service;
use warp::http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use warp::http::{Method, Response, StatusCode};
use warp::path::FullPath;
use warp::reject::{LengthRequired, MethodNotAllowed, PayloadTooLarge};
use warp::{Filter, Rejection, Reply};

/// A request as the layers above see it.
#[derive(Debug)]
pub struct ApiRequest {
    /// The method.
    pub method: Method,
    /// The path of the target, without the query.
    pub path: String,
    /// The query of the target.
    pub query: Option<String>,
    /// The `Authorization` header.
    pub authorization: Option<String>,
    /// The whole body.
    pub body: Bytes,
}

/// An answer as the layers above give it.
#[derive(Debug)]
pub struct ApiResponse {
    /// The status code.
    pub status: u16,
    /// The whole body, JSON.
    pub body: Vec<u8>,
    /// The `Retry-After` header.
    pub retry_after_s: Option<u32>,
}

impl ApiResponse {
    /// An answer with a JSON body.
    pub fn json(status: u16, value: &serde_json::Value) -> Self {
        Self {
            status,
            body: serde_json::to_vec(value).expect("plain data"),
            retry_after_s: None,
        }
    }

    /// An answer that says what went wrong.
    pub fn error(status: u16, what: &str) -> Self {
        Self::json(status, &json!({ "error": what }))
    }

    /// 503. Nothing is held back: the client learns at once when to come again.
    pub fn busy(what: &str, retry_after_s: u32) -> Self {
        Self {
            retry_after_s: Some(retry_after_s),
            ..Self::error(503, what)
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

/// A client that sends nothing for so long on an open connection is hung up on: healthy
/// workers and users come every few seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// From the head of a request to the end of its answer. Nobody waits longer than 5 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// With less than one in so many connections free, users get no second answer on theirs: idle
/// ones once kept the heartbeats of workers out for a whole lease.
const RESERVED_FRACTION: usize = 4;
/// The path of users' requests.
const USER_PATH: &str = "/work";

/// Binds an address. Here rather than by warp, so that a taken one is an error and not a panic.
///
/// # Errors
/// Another process has it.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves `handler` on a bound address until the process ends, on at most `max_connections`
/// connections. The next is left in the queue of the system, where a load balancer
/// soon finds another controller for it; without a limit, clients that stall took the
/// sockets with which the leader reaches everyone else. `meter` limits what the requests in
/// flight hold together.
///
/// # Errors
/// None yet: a connection that cannot be accepted is tried again.
pub async fn serve<H, F>(
    listener: TcpListener,
    max_connections: usize,
    max_body: u64,
    meter: Meter,
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
        meter,
        client_class,
        error_response,
    };
    copperfield_http::serve(listener, config, move |request| {
        let answer = service.clone().call(request);
        async move {
            let (parts, body) = answer
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

/// Any path: the handler finds its own way.
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
                let answer = handler(ApiRequest {
                    method,
                    path: path.as_str().to_string(),
                    query,
                    authorization,
                    body,
                });
                async move { answer.await.into_response() }
            },
        )
        .recover(reject)
}

fn client_class(path: &str) -> ClientClass {
    if path.starts_with(USER_PATH) {
        ClientClass::User
    } else {
        ClientClass::Worker
    }
}

/// The answer to a request that does not reach a handler.
fn error_response(status: StatusCode, what: &str) -> Response<Bytes> {
    let mut answer = ApiResponse::error(status.as_u16(), what);
    answer.retry_after_s = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(1);
    answer.into_response()
}

async fn reject(rejection: Rejection) -> Result<Response<Bytes>, Infallible> {
    let (status, what) = if rejection.find::<PayloadTooLarge>().is_some() {
        (400, "body: over 64 KiB")
    } else if rejection.find::<LengthRequired>().is_some() {
        (400, "body: missing, or without Content-Length")
    } else if rejection.find::<MethodNotAllowed>().is_some() {
        (405, "method not allowed")
    } else {
        (400, "malformed request")
    };
    Ok(ApiResponse::error(status, what).into_response())
}
