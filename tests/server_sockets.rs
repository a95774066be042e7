//! Tests of the HTTP server's connection limit, over loopback.

use std::net::SocketAddr;
use std::time::Duration;

use copperfield::transport::server::{ApiResponse, bind, serve};
use copperfield_http::MemoryBudget;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const MAX_CONNECTIONS: usize = 3;

/// Sends a health check and returns the whole response.
async fn get(address: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let request = b"GET /healthz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

/// Clients that connect and never complete their request must not make the server accept more than
/// its maximum number of connections. Once they disconnect, other clients must be served.
#[tokio::test]
async fn stalled_clients_do_not_exceed_the_connection_limit() {
    let listener = bind(([127, 0, 0, 1], 0).into()).await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let handler = |_| async { ApiResponse::json(200, &json!({"ok": true})) };
    let memory_budget = MemoryBudget::new(1 << 20);
    let server = tokio::spawn(serve(
        listener,
        MAX_CONNECTIONS,
        1 << 16,
        memory_budget,
        handler,
    ));
    let mut stalled = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        let mut stream = TcpStream::connect(address).await.expect("accepted");
        let incomplete_request = b"POST /work HTTP/1.1\r\n";
        stream.write_all(incomplete_request).await.expect("sent");
        stalled.push(stream);
    }
    sleep(Duration::from_millis(100)).await;
    let while_stalled = timeout(Duration::from_millis(300), get(address)).await;
    assert!(while_stalled.is_err(), "served beyond the connection limit");
    stalled.clear();
    let after_close = timeout(Duration::from_secs(5), get(address)).await;
    let answer = after_close.expect("served").expect("answered");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    server.abort();
}
