//! A small HTTP/1.1 server and client on threads, for stand-ins on loopback.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The largest body that the pages allow.
pub const MAX_BODY: usize = 64 * 1024;

pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

/// A status and a body. `None` as a handler's answer closes the connection without an answer.
pub type Answer = (u16, Vec<u8>);
pub type Handler = Arc<dyn Fn(Request) -> Option<Answer> + Send + Sync>;

pub fn serve(address: SocketAddr, handler: Handler) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = connection(stream, &handler);
            });
        }
    });
    Ok(())
}

fn connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some((first, length, close)) = head(&mut input)? {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or("").to_string();
        let path = words.next().unwrap_or("").to_string();
        let mut body = vec![0; length];
        input.read_exact(&mut body)?;
        let Some((status, body)) = handler(Request { method, path, body }) else {
            return Ok(());
        };
        let mut bytes = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&body);
        out.write_all(&bytes)?;
        if close {
            return Ok(());
        }
    }
    Ok(())
}

/// Reads a head. Returns its first line, the length of the body, and whether the sender closes.
fn head(input: &mut impl BufRead) -> io::Result<Option<(String, usize, bool)>> {
    let mut first = String::new();
    if input.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let (mut length, mut close) = (0, false);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            return Ok(Some((first.trim().to_string(), length, close)));
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().map_err(io::Error::other)?;
        }
        close |= line == "connection: close";
    }
}

/// Sends one request on its own connection and waits for the whole answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    exchange(to, &bytes, limit)
}

/// Sends these bytes on a connection of their own and waits for the whole answer.
pub fn exchange(to: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Answer> {
    let began = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = limit
        .saturating_sub(began.elapsed())
        .max(Duration::from_millis(10));
    stream.set_read_timeout(Some(left))?;
    stream.set_write_timeout(Some(left))?;
    stream.write_all(request)?;
    let mut input = BufReader::new(stream);
    let (first, length, _) = head(&mut input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let mut body = vec![0; length];
    input.read_exact(&mut body)?;
    Ok((status, body))
}
