//! The client: a pool of idle connections for each address. An idle connection holds a socket and
//! no buffer.

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

/// The initial size of the read buffer in bytes. Most replies fit in it.
const INITIAL_BUFFER_BYTES: usize = 1024;
/// The maximum length of the line with the size of a chunk, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// The space reserved for the head of a request without its path, in bytes.
const REQUEST_HEAD_BYTES: usize = 160;
/// Replies with a lower status are interim: a final reply follows.
const FIRST_FINAL_STATUS: u16 = 200;

/// Why a request got no usable reply.
#[derive(Debug, Clone, Error)]
pub enum CallError {
    /// No connection was established, so the request was certainly not delivered.
    #[error("could not connect")]
    Unsent,
    /// There was no valid reply. The request may have been executed, or may still be.
    #[error("no answer: {0}")]
    Unknown(String),
    /// The reply is larger than [`PoolConfig::max_body`]. The request may have been executed.
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
    /// The timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// The maximum number of idle connections for each address.
    pub max_idle_per_address: usize,
    /// The maximum size of a reply's body in bytes.
    pub max_body: usize,
}

struct IdleConnection {
    stream: TcpStream,
    idle_since: Instant,
}

#[derive(Default)]
struct IdleConnections {
    by_address: HashMap<SocketAddr, Vec<IdleConnection>>,
    last_cleanup: Option<Instant>,
}

impl IdleConnections {
    /// Closes connections that have been idle for too long. Does nothing if the last cleanup was
    /// recent.
    fn clean_up(&mut self, now: Instant, idle_timeout: Duration) {
        let is_recent = |at| now - at <= idle_timeout / 4;
        if self.last_cleanup.is_some_and(is_recent) {
            return;
        }
        self.last_cleanup = Some(now);
        for connections in self.by_address.values_mut() {
            connections.retain(|connection| now - connection.idle_since < idle_timeout);
            connections.shrink_to_fit();
        }
        self.by_address
            .retain(|_, connections| !connections.is_empty());
    }
}

/// A pool that keeps idle connections for later requests. It applies a timeout only to connecting:
/// callers set their own deadlines, and dropping the future of a call closes its connection.
pub struct Pool {
    config: PoolConfig,
    idle: Mutex<IdleConnections>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(config: PoolConfig) -> Self {
        Self {
            config,
            idle: Mutex::default(),
        }
    }

    /// Sends a request and waits for the whole reply.
    ///
    /// # Errors
    /// Returns an error if there was no connection, no valid reply, or a reply that is too large.
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

    /// Returns an idle connection of which it is not known that the server has closed it.
    async fn take_idle(&self, to: SocketAddr) -> Option<TcpStream> {
        loop {
            let connection = {
                let mut idle = self.idle.lock().expect("no panic while held");
                idle.by_address.get_mut(&to)?.pop()?
            };
            let fresh = connection.idle_since.elapsed() < self.config.idle_timeout;
            if fresh && has_nothing_to_read(&connection.stream).await {
                return Some(connection.stream);
            }
        }
    }

    fn keep_idle(&self, to: SocketAddr, stream: TcpStream) {
        let now = Instant::now();
        let mut idle = self.idle.lock().expect("no panic while held");
        idle.clean_up(now, self.config.idle_timeout);
        let connections = idle.by_address.entry(to).or_default();
        if connections.len() < self.config.max_idle_per_address {
            connections.push(IdleConnection {
                stream,
                idle_since: now,
            });
        }
    }
}

/// Whether a stream has nothing to read: it is not closed, and no unexpected data has arrived.
async fn has_nothing_to_read(stream: &TcpStream) -> bool {
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

/// Reads a reply. Returns it with whether the connection can be used again.
async fn receive(stream: &mut TcpStream, max_body: usize) -> Result<(Reply, bool), CallError> {
    let mut bytes = Vec::with_capacity(INITIAL_BUFFER_BYTES);
    let head = receive_head(stream, &mut bytes).await?;
    let body = match head.body {
        Some(BodyFraming::None) => bytes,
        Some(BodyFraming::Length(length)) => receive_sized(stream, bytes, length, max_body).await?,
        Some(BodyFraming::Chunked) => receive_chunks(stream, bytes, max_body).await?,
        None => receive_to_end(stream, bytes, max_body).await?,
    };
    let reply = Reply {
        status: head.status,
        body: Bytes::from(body),
    };
    Ok((reply, head.keep_alive))
}

/// Reads the head of the final reply. Bytes after the head stay in `bytes`.
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

async fn receive_sized(
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
        return Err(malformed("the answer is longer than its content-length"));
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
        // Read the chunk and the line end after it. Trailers after the last chunk are not accepted.
        let end = start + size;
        while bytes.len() < end + 2 {
            read_more(stream, &mut bytes).await?;
        }
        if &bytes[end..end + 2] != b"\r\n" {
            return Err(malformed("a chunk has no line end"));
        }
        body.extend_from_slice(&bytes[start..end]);
        bytes.drain(..end + 2);
        if size == 0 {
            return Ok(body);
        }
    }
}

/// Reads the size of the next chunk. Returns the offset of the chunk in `bytes`, and its size.
async fn receive_chunk_size(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> Result<(usize, usize), CallError> {
    let invalid = || malformed("invalid chunk size");
    loop {
        match httparse::parse_chunk_size(bytes).map_err(|_| invalid())? {
            httparse::Status::Complete((start, size)) => {
                let size = usize::try_from(size).map_err(|_| invalid())?;
                return Ok((start, size));
            }
            httparse::Status::Partial if bytes.len() > MAX_CHUNK_LINE_BYTES => {
                return Err(invalid());
            }
            httparse::Status::Partial => read_more(stream, bytes).await?,
        }
    }
}

async fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<()> {
    if bytes.capacity() == bytes.len() {
        bytes.reserve(INITIAL_BUFFER_BYTES.max(bytes.len() / 2));
    }
    match stream.read_buf(bytes).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// The error for a malformed reply. The request may have been executed.
fn malformed(problem: &str) -> CallError {
    CallError::Unknown(problem.to_string())
}
