//! The warp servers: one for users and workers, one for peers.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use copperfield_http::{ClientClass, Meter, Rules};
use http_body_util::BodyExt;
use serde_json::json;
use tokio::net::TcpListener;
use tower_service::Service;
use warp::http::{Method, Response, StatusCode};
use warp::path::FullPath;
use warp::{Filter, Rejection};

/// A request as the layers above see it.
#[derive(Debug)]
pub struct Incoming {
    pub method: Method,
    pub path: String,
    pub query: Option<String>,
    /// The `Authorization` header.
    pub authorization: Option<String>,
    pub body: Bytes,
}

/// An answer as the layers above give it.
#[derive(Debug)]
pub struct Outgoing {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
}

impl Outgoing {
    pub fn json(status: u16, value: &serde_json::Value) -> Self {
        Self {
            status,
            body: serde_json::to_vec(value).expect("plain data"),
            retry_after_s: None,
        }
    }

    pub fn error(status: u16, what: &str) -> Self {
        Self::json(status, &json!({ "error": what }))
    }

    /// Nothing is held back: the client is told at once when to come again.
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
        headers.insert(
            "content-type",
            warp::http::HeaderValue::from_static("application/json"),
        );
        if let Some(seconds) = self.retry_after_s {
            headers.insert("retry-after", seconds.into());
        }
        response
    }
}

/// A client that sends nothing for so long on an open connection is hung up on:
/// workers and users who are well come every few seconds.
const IDLE: Duration = Duration::from_secs(60);
/// From the head of a request to the end of its answer. Nobody waits longer than 5 s.
const WHOLE: Duration = Duration::from_secs(10);

/// With less than this part of the places left, users get no second answer on their
/// connection: idle ones once kept the reports of workers out for a whole lease.
const SPARE: usize = 4;

/// Takes an address. Here rather than by warp, so that a taken one is an error and not a panic.
///
/// # Errors
/// Another process has it.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves `handler` on a bound address until the process ends, on at most `limit`
/// connections. The next is left in the queue of the system, where a load balancer
/// soon finds another node for it; without a bound, clients that stall took the
/// sockets with which the leader reaches everyone else. What the requests under way
/// may hold together is on the `meter`.
pub async fn serve<H, F>(
    listener: TcpListener,
    limit: usize,
    most_body: u64,
    meter: Meter,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(Incoming) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Outgoing> + Send + 'static,
{
    let with_body = warp::post()
        .or(warp::put())
        .unify()
        .and(warp::body::content_length_limit(most_body))
        .and(warp::body::bytes());
    let without_body = warp::get().or(warp::delete()).unify().map(Bytes::new);
    let query = warp::query::raw()
        .map(Some)
        .or(warp::any().map(|| None))
        .unify();
    let routes = warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::optional::<String>("authorization"))
        .and(without_body.or(with_body).unify())
        .then(
            move |method: Method, path: FullPath, query, authorization, body: Bytes| {
                let answer = handler(Incoming {
                    method,
                    path: path.as_str().to_string(),
                    query,
                    authorization,
                    body,
                });
                async move { answer.await.into_response() }
            },
        )
        .recover(refuse);
    let service = warp::service(routes);
    let rules = Rules {
        limit,
        idle: IDLE,
        whole: WHOLE,
        most_body,
        spare: SPARE,
        meter,
        client_class: |path| match path.starts_with("/work") {
            true => ClientClass::User,
            false => ClientClass::Worker,
        },
        refusal: |status, what| {
            let mut answer = Outgoing::error(status.as_u16(), what);
            answer.retry_after_s = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(1);
            answer.into_response()
        },
    };
    copperfield_http::serve(listener, rules, move |request| {
        let answer = service.clone().call(request);
        async move {
            let (parts, body) = answer.await.unwrap_or_else(|e| match e {}).into_parts();
            let body = body
                .collect()
                .await
                .map(http_body_util::Collected::to_bytes);
            Response::from_parts(parts, body.unwrap_or_default())
        }
    })
    .await
}

async fn refuse(rejection: Rejection) -> Result<Response<Bytes>, Infallible> {
    let (status, what) = if rejection.find::<warp::reject::PayloadTooLarge>().is_some() {
        (400, "body: over 64 KiB")
    } else if rejection.find::<warp::reject::LengthRequired>().is_some() {
        (400, "body: missing, or without Content-Length")
    } else if rejection.find::<warp::reject::MethodNotAllowed>().is_some() {
        (405, "method not allowed")
    } else {
        (400, "malformed request")
    };
    Ok(Outgoing::error(status, what).into_response())
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpStream;
    use tokio::time::{sleep, timeout};

    async fn get(address: SocketAddr) -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address).await?;
        let request = b"GET /healthz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        stream.write_all(request).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok(answer)
    }

    /// Clients that connect and send half a request, or nothing, hold the sockets
    /// they have and no more; once they are gone others are served.
    #[tokio::test]
    async fn clients_that_stall_take_no_more_than_their_share_of_sockets() {
        let address: SocketAddr = "127.0.0.1:18651".parse().expect("valid");
        let handler = |_| async { Outgoing::json(200, &json!({"ok": true})) };
        let listener = bind(address).await.expect("free");
        let server = tokio::spawn(serve(listener, 3, 1 << 16, Meter::new(1 << 20), handler));
        sleep(Duration::from_millis(100)).await;
        let mut stalled = Vec::new();
        for _ in 0..3 {
            let mut stream = TcpStream::connect(address).await.expect("accepted");
            stream
                .write_all(b"POST /work HTTP/1.1\r\n")
                .await
                .expect("sent");
            stalled.push(stream);
        }
        sleep(Duration::from_millis(100)).await;
        let early = timeout(Duration::from_millis(300), get(address)).await;
        assert!(early.is_err(), "the fourth waits to be accepted");
        stalled.clear();
        let late = timeout(Duration::from_secs(5), get(address)).await;
        let late = late.expect("served").expect("answered");
        assert!(late.starts_with("HTTP/1.1 200"), "{late}");
        server.abort();
    }
}
