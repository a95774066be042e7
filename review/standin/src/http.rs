//! A small blocking HTTP/1.1 server and client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A response, or `None` to drop the connection without an answer.
pub type Answer = Option<(u16, String)>;

/// Listens on a free loopback port.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// A loopback address that is free now and below the range of ephemeral ports.
pub fn free_address() -> SocketAddr {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let offset = std::process::id().wrapping_mul(131);
    loop {
        let next = offset.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let address = SocketAddr::from(([127, 0, 0, 1], (11_000 + next % 20_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Serves `handler(method, path with query, body)` in the background.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(&str, &str, &[u8]) -> Answer + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = connection(stream, handler.as_ref());
            });
        }
    });
}

fn connection(
    mut stream: TcpStream,
    handler: &dyn Fn(&str, &str, &[u8]) -> Answer,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    loop {
        let Some(end) = read_head(&mut stream, &mut buffer)? else {
            return Ok(());
        };
        let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let length = content_length(&head);
        while buffer.len() < end + length {
            if read_some(&mut stream, &mut buffer)? == 0 {
                return Ok(());
            }
        }
        let body: Vec<u8> = buffer[end..end + length].to_vec();
        buffer.drain(..end + length);
        let mut words = head.split(' ');
        let method = words.next().unwrap_or("");
        let path = words.next().unwrap_or("");
        let Some((status, text)) = handler(method, path, &body) else {
            return Ok(());
        };
        let close = head.to_ascii_lowercase().contains("connection: close");
        let note = if close { "connection: close\r\n" } else { "" };
        let answer = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n{note}content-length: {}\r\n\r\n{text}",
            text.len()
        );
        stream.write_all(answer.as_bytes())?;
        if close {
            return Ok(());
        }
    }
}

fn content_length(head: &str) -> usize {
    head.lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.trim().parse().ok())
        .unwrap_or(0)
}

fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<usize>> {
    loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            return Ok(Some(at + 4));
        }
        if read_some(stream, buffer)? == 0 {
            return Ok(None);
        }
    }
}

fn read_some(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<usize> {
    let mut part = [0; 16 * 1024];
    let read = stream.read(&mut part)?;
    buffer.extend_from_slice(&part[..read]);
    Ok(read)
}

/// Sends a request on a connection of its own. Returns `None` if no whole answer arrives in time.
pub fn call(
    method: &str,
    to: SocketAddr,
    path: &str,
    body: &str,
    deadline: Duration,
) -> Option<(u16, String)> {
    let end = Instant::now() + deadline;
    let mut stream = TcpStream::connect_timeout(&to, deadline).ok()?;
    stream.set_nodelay(true).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut buffer = Vec::new();
    loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..at + 4]).into_owned();
            let length = content_length(&head);
            if buffer.len() >= at + 4 + length {
                let status = head.split(' ').nth(1)?.parse().ok()?;
                let text = String::from_utf8_lossy(&buffer[at + 4..at + 4 + length]).into_owned();
                return Some((status, text));
            }
        }
        let left = end.checked_duration_since(Instant::now())?;
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        if read_some(&mut stream, &mut buffer).ok()? == 0 {
            return None;
        }
    }
}
