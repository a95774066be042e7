//! The client: a pool of idle connections by address, each a socket and nothing else.

use std::collections::HashMap;
use std::future::poll_fn;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::head::{self, BodyFraming, ResponseHead};

/// The first read of a reply; most fit.
const FIRST_READ: usize = 1024;
/// The longest line with the size of a chunk.
const MAX_CHUNK_LINE: usize = 256;
/// What the head of a request takes beside its path.
const REQUEST_HEAD_BYTES: usize = 160;
/// Replies with a lower status are followed by the final one.
const FIRST_FINAL_STATUS: u16 = 200;

/// Why there is no reply.
#[derive(Debug, Clone, Error)]
pub enum CallError {
    /// The connection never came about, so the request surely did not arrive.
    #[error("could not connect")]
    Unsent,
    /// It may have been carried out, or may still be.
    #[error("no answer: {0}")]
    Unknown(String),
    /// The reply is larger than [`PoolConfig::max_body`]: the request may have been carried out.
    #[error("the answer is too large")]
    TooLarge,
}

impl From<io::Error> for CallError {
    fn from(error: io::Error) -> Self {
        Self::Unknown(error.to_string())
    }
}

/// A reply to a request.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The whole body.
    pub body: Bytes,
}

/// The limits of a [`Pool`].
#[derive(Debug, Clone)]
pub struct PoolConfig {
    /// How long a connection may take to come about.
    pub connect_timeout: Duration,
    /// An idle connection is closed after so long.
    pub idle_timeout: Duration,
    /// Idle connections that are kept for one address.
    pub max_idle_per_address: usize,
    /// Bytes of a reply's body.
    pub max_body: usize,
}

struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

#[derive(Default)]
struct IdleConnections {
    by_address: HashMap<SocketAddr, Vec<IdleConnection>>,
    swept_at: Option<Instant>,
}

impl IdleConnections {
    /// Closes those that are too old, now and then.
    fn sweep(&mut self, now: Instant, idle_timeout: Duration) {
        let swept_lately = |at| now - at <= idle_timeout / 4;
        if self.swept_at.is_some_and(swept_lately) {
            return;
        }
        self.swept_at = Some(now);
        for connections in self.by_address.values_mut() {
            connections.retain(|connection| now - connection.since < idle_timeout);
            connections.shrink_to_fit();
        }
        self.by_address
            .retain(|_, connections| !connections.is_empty());
    }
}

/// Connections that are kept for the next request. Deadlines are the caller's: dropping a
/// call closes its connection.
pub struct Pool {
    config: PoolConfig,
    idle: Mutex<IdleConnections>,
}

impl Pool {
    /// An empty pool.
    pub fn new(config: PoolConfig) -> Self {
        Self {
            config,
            idle: Mutex::default(),
        }
    }

    /// Sends a request and waits for the whole reply.
    ///
    /// # Errors
    /// There was no connection, no reply, or too large a one.
    pub async fn call(
        &self,
        method: &http::Method,
        to: SocketAddr,
        path: &str,
        body: &[u8],
    ) -> Result<Reply, CallError> {
        let mut stream = match self.take_idle(to).await {
            Some(stream) => stream,
            None => match timeout(self.config.connect_timeout, TcpStream::connect(to)).await {
                Ok(Ok(stream)) => stream,
                _ => return Err(CallError::Unsent),
            },
        };
        let _ = stream.set_nodelay(true);
        send(&mut stream, method, to, path, body).await?;
        let (reply, keep) = receive(&mut stream, self.config.max_body).await?;
        if keep {
            self.keep_idle(to, stream);
        }
        Ok(reply)
    }

    /// An idle connection that the other side has not closed, as far as one can see.
    async fn take_idle(&self, to: SocketAddr) -> Option<TcpStream> {
        loop {
            let connection = {
                let mut idle = self.idle.lock().expect("no panic while held");
                idle.by_address.get_mut(&to)?.pop()?
            };
            let fresh = connection.since.elapsed() < self.config.idle_timeout;
            if fresh && is_quiet(&connection.stream).await {
                return Some(connection.stream);
            }
        }
    }

    fn keep_idle(&self, to: SocketAddr, stream: TcpStream) {
        let since = Instant::now();
        let mut idle = self.idle.lock().expect("no panic while held");
        idle.sweep(since, self.config.idle_timeout);
        let connections = idle.by_address.entry(to).or_default();
        if connections.len() < self.config.max_idle_per_address {
            connections.push(IdleConnection { stream, since });
        }
    }
}

/// Nothing to read: neither an end nor a reply that nobody waits for.
async fn is_quiet(stream: &TcpStream) -> bool {
    let ready = poll_fn(|cx| Poll::Ready(stream.poll_read_ready(cx).is_ready())).await;
    if !ready {
        return true;
    }
    let read = stream.try_read(&mut [0; 1]);
    read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

async fn send(
    stream: &mut TcpStream,
    method: &http::Method,
    to: SocketAddr,
    path: &str,
    body: &[u8],
) -> io::Result<()> {
    let mut out = Vec::with_capacity(REQUEST_HEAD_BYTES + path.len() + body.len());
    write!(out, "{method} {path} HTTP/1.1\r\nhost: {to}\r\n")?;
    if !body.is_empty() {
        out.extend_from_slice(b"content-type: application/json\r\n");
    }
    if !body.is_empty() || method == http::Method::POST {
        write!(out, "content-length: {}\r\n", body.len())?;
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    stream.write_all(&out).await
}

/// The reply, and whether the connection may be used again.
async fn receive(stream: &mut TcpStream, max_body: usize) -> Result<(Reply, bool), CallError> {
    let mut bytes = Vec::with_capacity(FIRST_READ);
    let head = receive_head(stream, &mut bytes).await?;
    let body = match head.body {
        Some(BodyFraming::None) => bytes,
        Some(BodyFraming::Length(length)) => {
            receive_length(stream, bytes, length, max_body).await?
        }
        Some(BodyFraming::Chunked) => receive_chunks(stream, bytes, max_body).await?,
        None => receive_to_end(stream, bytes, max_body).await?,
    };
    let reply = Reply {
        status: head.status,
        body: Bytes::from(body),
    };
    Ok((reply, head.keep_alive))
}

/// Reads up to the end of the head; what came after it stays in `bytes`.
async fn receive_head(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> Result<ResponseHead, CallError> {
    loop {
        let parsed = head::parse_response(bytes).map_err(|error| malformed(&error.to_string()))?;
        let Some(head) = parsed else {
            read_more(stream, bytes).await?;
            continue;
        };
        bytes.drain(..head.length);
        if head.status >= FIRST_FINAL_STATUS {
            return Ok(head);
        }
    }
}

async fn receive_length(
    stream: &mut TcpStream,
    mut bytes: Vec<u8>,
    length: u64,
    max_body: usize,
) -> Result<Vec<u8>, CallError> {
    let length = usize::try_from(length).map_err(|_| CallError::TooLarge)?;
    if length > max_body {
        return Err(CallError::TooLarge);
    }
    bytes.reserve_exact(length.saturating_sub(bytes.len()));
    while bytes.len() < length {
        read_more(stream, &mut bytes).await?;
    }
    if bytes.len() > length {
        return Err(malformed("more than the answer"));
    }
    Ok(bytes)
}

async fn receive_to_end(
    stream: &mut TcpStream,
    mut bytes: Vec<u8>,
    max_body: usize,
) -> Result<Vec<u8>, CallError> {
    loop {
        if bytes.len() > max_body {
            return Err(CallError::TooLarge);
        }
        match read_more(stream, &mut bytes).await {
            Ok(()) => {}
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(bytes),
            Err(error) => return Err(error.into()),
        }
    }
}

async fn receive_chunks(
    stream: &mut TcpStream,
    mut bytes: Vec<u8>,
    max_body: usize,
) -> Result<Vec<u8>, CallError> {
    let mut body = Vec::new();
    loop {
        let (start, size) = receive_chunk_size(stream, &mut bytes).await?;
        if size.saturating_add(body.len()) > max_body {
            return Err(CallError::TooLarge);
        }
        // The chunk and the end of its line; after the last one no trailers are accepted.
        let end = start + size;
        while bytes.len() < end + 2 {
            read_more(stream, &mut bytes).await?;
        }
        if &bytes[end..end + 2] != b"\r\n" {
            return Err(malformed("end of a chunk"));
        }
        body.extend_from_slice(&bytes[start..end]);
        bytes.drain(..end + 2);
        if size == 0 {
            return Ok(body);
        }
    }
}

/// Where the next chunk starts in `bytes`, and its size.
async fn receive_chunk_size(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> Result<(usize, usize), CallError> {
    let invalid = || malformed("size of a chunk");
    loop {
        match httparse::parse_chunk_size(bytes).map_err(|_| invalid())? {
            httparse::Status::Complete((start, size)) => {
                let size = usize::try_from(size).map_err(|_| invalid())?;
                return Ok((start, size));
            }
            httparse::Status::Partial if bytes.len() > MAX_CHUNK_LINE => return Err(invalid()),
            httparse::Status::Partial => read_more(stream, bytes).await?,
        }
    }
}

async fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<()> {
    if bytes.capacity() == bytes.len() {
        bytes.reserve(FIRST_READ.max(bytes.len() / 2));
    }
    match stream.read_buf(bytes).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// The request arrived, but its reply makes no sense.
fn malformed(problem: &str) -> CallError {
    CallError::Unknown(problem.to_string())
}
