//! Tests of the server and the client with peers that misbehave, over loopback on ports that the
//! system chooses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use copperfield_http::{
    CallError, ClientClass, MemoryBudget, Pool, PoolConfig, ServerConfig, serve,
};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

fn error_response(status: StatusCode, problem: &str) -> Response<Bytes> {
    let response = Response::builder()
        .status(status)
        .header("retry-after", "1");
    response
        .body(Bytes::from(problem.to_string()))
        .expect("valid")
}

fn config(memory_budget: MemoryBudget) -> ServerConfig {
    ServerConfig {
        max_connections: 500,
        idle_timeout: Duration::from_millis(400),
        request_timeout: Duration::from_millis(600),
        max_body: 64 * 1024,
        reserved_fraction: 4,
        memory_budget,
        client_class: |path| match path {
            "/hello" => ClientClass::Worker,
            _ => ClientClass::User,
        },
        error_response,
    }
}

/// Responds with the length of the body, after 300 ms if the path is `/slow`.
async fn respond_with_length(request: Request<Full<Bytes>>) -> Response<Bytes> {
    if request.uri().path() == "/slow" {
        sleep(Duration::from_millis(300)).await;
    }
    let body = request
        .into_body()
        .collect()
        .await
        .expect("whole")
        .to_bytes();
    Response::new(Bytes::from(body.len().to_string()))
}

async fn start_server(memory_budget: MemoryBudget) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(serve(listener, config(memory_budget), respond_with_length));
    address
}

fn pool() -> Pool {
    Pool::new(PoolConfig {
        connect_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
        max_idle_per_address: 4,
        max_body: 100_000,
    })
}

/// Sends bytes on a new connection and returns all that the server sends until it closes it.
async fn exchange_raw(address: SocketAddr, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("accepted");
    stream.write_all(text).await.expect("sent");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = timeout(Duration::from_secs(2), read).await.expect("closed");
    String::from_utf8(answer).expect("text")
}

#[tokio::test]
async fn one_connection_serves_consecutive_requests() {
    let memory_budget = MemoryBudget::new(1 << 20);
    let (address, pool) = (start_server(memory_budget.clone()).await, pool());
    for size in [0, 1, 1000, 20_000, 64 * 1024, 3] {
        let reply = pool
            .call(&Method::POST, address, "/hello", &vec![b'x'; size])
            .await;
        let reply = reply.expect("answered");
        assert_eq!(
            (reply.status, reply.body.as_ref()),
            (200, size.to_string().as_bytes())
        );
    }
    // Only the memory of one connection is in use.
    let used = memory_budget.used();
    assert!(0 < used && used < 4096, "{used}");
    drop(pool);
    timeout(Duration::from_secs(1), async {
        while memory_budget.used() > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .expect("no memory is in use after the connection is closed");
}

/// Sends incomplete, malformed and ambiguous requests, and some unusual valid ones. The server must
/// answer or close the connection in time.
#[tokio::test]
async fn malformed_requests_are_answered_or_disconnected_in_time() {
    let address = start_server(MemoryBudget::new(1 << 20)).await;
    for (sent, answer) in [
        ("", ""),
        ("GET /work/wk-000001 HT", ""),
        ("nonsense\r\n\r\n", "HTTP/1.1 400 Bad Request"),
        (
            "POST /work HTTP/1.1\r\ncontent-length: 10\r\n\r\nhalf",
            "HTTP/1.1 408 Request Timeout",
        ),
        (
            "POST /work HTTP/1.1\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello",
            "HTTP/1.1 400 Bad Request",
        ),
        ("GET / HTTP/1.0\r\n\r\n", "HTTP/1.1 200 OK"),
        (
            "POST /work HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nconnection: close",
        ),
        (
            "POST /work HTTP/1.1\r\nexpect: 100-continue\r\nconnection: close\r\ncontent-length: 1\r\n\r\n",
            "HTTP/1.1 100 Continue",
        ),
    ] {
        let got = exchange_raw(address, sent.as_bytes()).await;
        let is_expected = if answer.is_empty() {
            got.is_empty()
        } else {
            got.starts_with(answer)
        };
        assert!(is_expected, "{sent:?}: {got:?}");
    }
}

/// Many users send large bodies at the same time as workers send heartbeats and other clients
/// stall. The memory in use must stay within the limit, excess requests of users must be refused,
/// all workers must be served, and the memory must be free again afterwards.
#[tokio::test]
async fn excess_requests_of_users_are_refused_and_workers_are_served() {
    let memory_budget = MemoryBudget::new(2 << 20);
    let address = start_server(memory_budget.clone()).await;
    let mut stalled = Vec::new();
    for _ in 0..50 {
        let mut stream = TcpStream::connect(address).await.expect("accepted");
        let half = b"POST /work HTTP/1.1\r\ncontent-length: 60000\r\n\r\nhalf";
        stream.write_all(half).await.expect("sent");
        stalled.push(stream);
    }
    let body = vec![b'x'; 60_000];
    let mut clients = tokio::task::JoinSet::new();
    for i in 0..100 {
        let worker = i % 20 == 0;
        let path = if worker { "/hello" } else { "/slow" };
        // Heartbeats are small.
        let body = body[..if worker { 1000 } else { 60_000 }].to_vec();
        clients.spawn(async move {
            let started = std::time::Instant::now();
            let reply = pool().call(&Method::POST, address, path, &body).await;
            (path, reply.expect("answered").status, started.elapsed())
        });
    }
    let mut peak = 0;
    let (mut served_users, mut refused_users, mut served_workers) = (0, 0, 0);
    while let Some(done) = clients.join_next().await {
        let (path, status, took) = done.expect("no panic");
        peak = peak.max(memory_budget.used());
        match (path, status) {
            ("/hello", 200) => served_workers += 1,
            ("/slow", 200) => served_users += 1,
            ("/slow", 503) => refused_users += 1,
            other => panic!("{other:?} after {took:?}"),
        }
    }
    assert!(
        peak <= memory_budget.limit(),
        "{peak} bytes of {}",
        memory_budget.limit()
    );
    assert!(
        refused_users > 50,
        "{served_users} served, {refused_users} refused"
    );
    assert_eq!(served_workers, 5, "no worker is refused");
    drop(stalled);
    sleep(Duration::from_millis(700)).await;
    assert!(
        memory_budget.used() < 64 * 1024,
        "{} bytes are still in use",
        memory_budget.used()
    );
    let reply = pool().call(&Method::POST, address, "/work", &body).await;
    assert_eq!(reply.expect("answered").status, 200);
}

/// Guards against a server that reads the body before it refuses a request: a client that stalled
/// in the body got no response at all. The refusal must come at once. The body is skipped when it
/// arrives, and a request that is sent together with its last bytes is served.
#[tokio::test]
async fn a_refusal_does_not_wait_for_the_body() {
    // The budget is too small for the body.
    let address = start_server(MemoryBudget::new(128 * 1024)).await;
    let mut stream = TcpStream::connect(address).await.expect("accepted");
    let half = b"POST /work HTTP/1.1\r\ncontent-length: 60000\r\n\r\nhalf";
    stream.write_all(half).await.expect("sent");
    let mut bytes = vec![0; 1000];
    let read = timeout(Duration::from_millis(200), stream.read(&mut bytes)).await;
    let read = read.expect("at once").expect("open");
    let answer = String::from_utf8_lossy(&bytes[..read]);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 1"), "{answer}");
    let mut rest = vec![b'x'; 60_000 - 4];
    rest.extend_from_slice(b"GET /hello HTTP/1.1\r\nconnection: close\r\n\r\n");
    stream.write_all(&rest).await.expect("sent");
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer);
    timeout(Duration::from_millis(500), read)
        .await
        .expect("closed")
        .expect("text");
    assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
}

/// Guards against a lost response: if the server closes the socket while the client is still
/// sending, the connection is reset, and the client cannot read the response.
#[tokio::test]
async fn a_client_that_is_still_sending_gets_its_response() {
    let address = start_server(MemoryBudget::new(4 << 20)).await;
    let mut stream = TcpStream::connect(address).await.expect("accepted");
    let head = b"POST /work HTTP/1.1\r\ncontent-length: 8000000\r\n\r\n";
    stream.write_all(head).await.expect("sent");
    stream
        .write_all(&vec![b'x'; 8_000_000])
        .await
        .expect("no reset");
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer);
    timeout(Duration::from_millis(500), read)
        .await
        .expect("closed")
        .expect("no reset");
    assert!(answer.contains("connection: close"), "{answer}");
}

/// Starts a server that sends the same bytes on every connection.
async fn start_fixed_server(bytes: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 1000]).await;
            let _ = stream.write_all(bytes).await;
        }
    });
    address
}

#[tokio::test]
async fn replies_are_read_according_to_their_framing() {
    for (bytes, body) in [
        (&b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody"[..], Some("body")),
        (b"HTTP/1.1 200 OK\r\n\r\nto the end", Some("to the end")),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", Some("")),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsome\r\n3\r\nmor\r\n0\r\n\r\n",
            Some("somemor"),
        ),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsome\r\n", None),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbo", None),
        (b"what?\r\n\r\n", None),
        (b"", None),
    ] {
        let address = start_fixed_server(bytes).await;
        let reply = pool().call(&Method::GET, address, "/", b"").await;
        match (body, reply) {
            (Some(body), Ok(reply)) => assert_eq!(reply.body, body.as_bytes()),
            // The request was delivered, so it may have been executed.
            (None, Err(CallError::Unknown(_))) => {}
            (_, other) => panic!("{:?}: {other:?}", String::from_utf8_lossy(bytes)),
        }
    }
}

/// A reply that is too large must not be reported like a lost one, because a repeated request would
/// get the same reply.
#[tokio::test]
async fn a_reply_that_is_too_large_has_its_own_error() {
    for bytes in [
        &b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffff0\r\n"[..],
        b"HTTP/1.1 200 OK\r\ncontent-length: 100001\r\n\r\n",
    ] {
        let address = start_fixed_server(bytes).await;
        let reply = pool().call(&Method::GET, address, "/", b"").await;
        assert!(matches!(reply, Err(CallError::TooLarge)), "{reply:?}");
    }
}

/// Guards against requests on a pooled connection that the server has closed while it was idle.
/// Such a request must use a new connection. If no connection can be established, the error must
/// say that the request was not sent.
#[tokio::test]
async fn a_connection_closed_while_idle_is_not_reused() {
    let (address, pool) = (start_server(MemoryBudget::new(1 << 20)).await, pool());
    for _ in 0..2 {
        let reply = pool.call(&Method::GET, address, "/", b"").await;
        assert_eq!(reply.expect("answered").status, 200);
        // Longer than the server's idle timeout.
        sleep(Duration::from_millis(600)).await;
    }
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = closed.local_addr().expect("bound");
    drop(closed);
    let reply = pool.call(&Method::GET, address, "/", b"").await;
    assert!(matches!(reply, Err(CallError::Unsent)));
}

/// There are more workers than connections, and each worker sends a heartbeat every 50 ms on a
/// connection that it keeps open. Guards against workers without a connection that wait until
/// another connection has been idle for `idle_timeout`, which is longer than a lease.
#[tokio::test]
async fn all_workers_are_served_if_there_are_more_workers_than_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let config = ServerConfig {
        max_connections: 8,
        ..config(MemoryBudget::new(1 << 20))
    };
    tokio::spawn(serve(listener, config, respond_with_length));
    let mut workers = tokio::task::JoinSet::new();
    for _ in 0..12 {
        workers.spawn(async move {
            let pool = pool();
            let mut late = 0;
            for _ in 0..20 {
                let sent = pool.call(&Method::POST, address, "/hello", b"x");
                let answered = timeout(Duration::from_millis(300), sent).await;
                late += u32::from(!matches!(answered, Ok(Ok(_))));
                sleep(Duration::from_millis(50)).await;
            }
            late
        });
    }
    let late = workers.join_all().await;
    assert_eq!(
        late.iter().sum::<u32>(),
        0,
        "late heartbeats of each worker: {late:?}"
    );
}
