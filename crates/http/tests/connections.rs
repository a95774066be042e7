//! Clients and servers that misbehave, on loopback: a port of the system's choosing each.

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

fn error_response(status: StatusCode, what: &str) -> Response<Bytes> {
    let answer = Response::builder()
        .status(status)
        .header("retry-after", "1");
    answer.body(Bytes::from(what.to_string())).expect("valid")
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

/// Answers with the length of the body, after a while where the path asks for it.
async fn echo(request: Request<Full<Bytes>>) -> Response<Bytes> {
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

async fn server(memory_budget: MemoryBudget) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(serve(listener, config(memory_budget), echo));
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

async fn raw(address: SocketAddr, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("accepted");
    stream.write_all(text).await.expect("sent");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = timeout(Duration::from_secs(2), read).await.expect("closed");
    String::from_utf8(answer).expect("text")
}

#[tokio::test]
async fn one_connection_serves_one_request_after_another() {
    let memory_budget = MemoryBudget::new(1 << 20);
    let (address, pool) = (server(memory_budget.clone()).await, pool());
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
    // One connection is counted, and nothing else.
    let one = memory_budget.used();
    assert!(0 < one && one < 4096, "{one}");
    drop(pool);
    timeout(Duration::from_secs(1), async {
        while memory_budget.used() > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .expect("nothing is left when it has closed");
}

/// Half a head, half a body, nothing at all, a body that is too long, two ways to read it.
#[tokio::test]
async fn malformed_requests_are_answered_or_hung_up_on_in_time() {
    let address = server(MemoryBudget::new(1 << 20)).await;
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
        let got = raw(address, sent.as_bytes()).await;
        let right = if answer.is_empty() {
            got.is_empty()
        } else {
            got.starts_with(answer)
        };
        assert!(right, "{sent:?}: {got:?}");
    }
}

/// A flood of large bodies at once, from users and workers, and clients that stall beside it:
/// what is held stays below the limit, users learn at once when to come back, workers are
/// served, and afterwards all is as before.
#[tokio::test]
async fn a_flood_of_users_is_refused_at_once_and_workers_are_served() {
    let memory_budget = MemoryBudget::new(2 << 20);
    let address = server(memory_budget.clone()).await;
    let mut stalled = Vec::new();
    for _ in 0..50 {
        let mut stream = TcpStream::connect(address).await.expect("accepted");
        let half = b"POST /work HTTP/1.1\r\ncontent-length: 60000\r\n\r\nhalf";
        stream.write_all(half).await.expect("sent");
        stalled.push(stream);
    }
    let body = vec![b'x'; 60_000];
    let mut flood = tokio::task::JoinSet::new();
    for i in 0..100 {
        let worker = i % 20 == 0;
        let path = if worker { "/hello" } else { "/slow" };
        // Heartbeats are small.
        let body = body[..if worker { 1000 } else { 60_000 }].to_vec();
        flood.spawn(async move {
            let began = std::time::Instant::now();
            let reply = pool().call(&Method::POST, address, path, &body).await;
            (path, reply.expect("answered").status, began.elapsed())
        });
    }
    let mut peak = 0;
    let (mut served, mut refused, mut workers) = (0, 0, 0);
    while let Some(done) = flood.join_next().await {
        let (path, status, took) = done.expect("no panic");
        peak = peak.max(memory_budget.used());
        match (path, status) {
            ("/hello", 200) => workers += 1,
            ("/slow", 200) => served += 1,
            ("/slow", 503) => refused += 1,
            other => panic!("{other:?} after {took:?}"),
        }
    }
    assert!(
        peak <= memory_budget.limit(),
        "{peak} bytes of {}",
        memory_budget.limit()
    );
    assert!(refused > 50, "{served} served, {refused} refused");
    assert_eq!(workers, 5, "no worker is refused");
    drop(stalled);
    sleep(Duration::from_millis(700)).await;
    assert!(
        memory_budget.used() < 64 * 1024,
        "{} bytes are left",
        memory_budget.used()
    );
    let reply = pool().call(&Method::POST, address, "/work", &body).await;
    assert_eq!(reply.expect("answered").status, 200);
}

/// Guards against a refusal that waits for the body: a client that stalls within it got no
/// answer at all. It is answered at once, its body is read past when it comes, and what follows on
/// the connection, sent along with the body, is served.
#[tokio::test]
async fn a_refusal_does_not_wait_for_the_body() {
    // No room for such a body.
    let address = server(MemoryBudget::new(128 * 1024)).await;
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

/// Guards against an answer that is lost with a reset, since the client was still sending.
#[tokio::test]
async fn a_client_that_is_still_sending_gets_its_answer() {
    let address = server(MemoryBudget::new(4 << 20)).await;
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

/// A server that sends the same bytes to everyone.
async fn fixed_server(bytes: &'static [u8]) -> SocketAddr {
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
async fn replies_are_read_as_they_are_framed() {
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
        let address = fixed_server(bytes).await;
        let reply = pool().call(&Method::GET, address, "/", b"").await;
        match (body, reply) {
            (Some(body), Ok(reply)) => assert_eq!(reply.body, body.as_bytes()),
            // It arrived, so it may have been carried out.
            (None, Err(CallError::Unknown(_))) => {}
            (_, other) => panic!("{:?}: {other:?}", String::from_utf8_lossy(bytes)),
        }
    }
}

/// Not the error of a reply that was lost: asking again would bring the same.
#[tokio::test]
async fn a_reply_that_is_too_large_has_its_own_error() {
    for bytes in [
        &b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffff0\r\n"[..],
        b"HTTP/1.1 200 OK\r\ncontent-length: 100001\r\n\r\n",
    ] {
        let address = fixed_server(bytes).await;
        let reply = pool().call(&Method::GET, address, "/", b"").await;
        assert!(matches!(reply, Err(CallError::TooLarge)), "{reply:?}");
    }
}

/// One that was closed while it was idle is not used again, and the request goes out on
/// another; where nobody listens it surely did not arrive.
#[tokio::test]
async fn a_connection_closed_while_idle_is_not_reused() {
    let (address, pool) = (server(MemoryBudget::new(1 << 20)).await, pool());
    for _ in 0..2 {
        let reply = pool.call(&Method::GET, address, "/", b"").await;
        assert_eq!(reply.expect("answered").status, 200);
        // Longer than the server's idle timeout.
        sleep(Duration::from_millis(600)).await;
    }
    let nobody = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = nobody.local_addr().expect("bound");
    drop(nobody);
    let reply = pool.call(&Method::GET, address, "/", b"").await;
    assert!(matches!(reply, Err(CallError::Unsent)));
}

/// More workers than connections, each with a heartbeat every 50 ms on one that it keeps. Those
/// without one once waited until another was idle for `idle_timeout`, longer than a lease.
#[tokio::test]
async fn workers_in_excess_of_the_connections_are_all_served() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let config = ServerConfig {
        max_connections: 8,
        ..config(MemoryBudget::new(1 << 20))
    };
    tokio::spawn(serve(listener, config, echo));
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
    assert_eq!(late.iter().sum::<u32>(), 0, "late of each: {late:?}");
}
