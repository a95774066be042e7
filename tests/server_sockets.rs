//! The server on loopback, and clients that hold on to their connections.

use std::net::SocketAddr;
use std::time::Duration;

use copperfield::transport::server::{ApiResponse, bind, serve};
use copperfield_http::Meter;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const MAX_CONNECTIONS: usize = 3;

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
async fn stalled_clients_hold_no_more_than_their_share_of_sockets() {
    let listener = bind(([127, 0, 0, 1], 0).into()).await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let handler = |_| async { ApiResponse::json(200, &json!({"ok": true})) };
    let meter = Meter::new(1 << 20);
    let server = tokio::spawn(serve(listener, MAX_CONNECTIONS, 1 << 16, meter, handler));
    let mut stalled = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        let mut stream = TcpStream::connect(address).await.expect("accepted");
        let half = b"POST /work HTTP/1.1\r\n";
        stream.write_all(half).await.expect("sent");
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
