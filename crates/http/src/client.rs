//! The client's side: idle connections by address, each a socket and nothing else.

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

use crate::head::{self, Body};

const FIRST_READ: usize = 1024;
/// Of a chunk: the line with its size.
const MAX_LINE: usize = 256;

#[derive(Debug, Clone, Error)]
pub enum Failure {
    /// The connection never came about, so the request surely did not arrive.
    #[error("could not connect")]
    Unsent,
    /// It may have been carried out, or may still be.
    #[error("no answer: {0}")]
    Unknown(String),
    /// Answered with more than [`Pool::most_body`]: it may have been carried out.
    #[error("the answer is too large")]
    TooLarge,
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::FileTooLarge => Self::TooLarge,
            _ => Self::Unknown(error.to_string()),
        }
    }
}

#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub body: Bytes,
}

struct Idle {
    stream: TcpStream,
    since: Instant,
}

#[derive(Default)]
struct Shelf {
    by_address: HashMap<SocketAddr, Vec<Idle>>,
    swept: Option<Instant>,
}

/// Connections that are kept for the next request. Deadlines are the caller's: dropping a
/// call closes its connection.
pub struct Pool {
    pub connect: Duration,
    /// An idle connection is closed after.
    pub keep: Duration,
    pub most_idle_per_host: usize,
    /// Bytes of an answer's body.
    pub most_body: usize,
    shelf: Mutex<Shelf>,
}

impl Pool {
    pub fn new(
        connect: Duration,
        keep: Duration,
        most_idle_per_host: usize,
        most_body: usize,
    ) -> Self {
        Self {
            connect,
            keep,
            most_idle_per_host,
            most_body,
            shelf: Mutex::default(),
        }
    }

    pub async fn call(
        &self,
        method: &http::Method,
        to: SocketAddr,
        path: &str,
        body: &[u8],
    ) -> Result<Reply, Failure> {
        let mut stream = match self.take(to).await {
            Some(stream) => stream,
            None => match timeout(self.connect, TcpStream::connect(to)).await {
                Ok(Ok(stream)) => stream,
                _ => return Err(Failure::Unsent),
            },
        };
        let _ = stream.set_nodelay(true);
        send(&mut stream, method, to, path, body).await?;
        let (reply, keep) = receive(&mut stream, self.most_body).await?;
        if keep {
            self.put(to, stream);
        }
        Ok(reply)
    }

    /// An idle connection that the other side has not closed, as far as one can see.
    async fn take(&self, to: SocketAddr) -> Option<TcpStream> {
        loop {
            let idle = {
                let mut shelf = self.shelf.lock().expect("no panic while held");
                shelf.by_address.get_mut(&to)?.pop()?
            };
            if idle.since.elapsed() < self.keep && is_quiet(&idle.stream).await {
                return Some(idle.stream);
            }
        }
    }

    fn put(&self, to: SocketAddr, stream: TcpStream) {
        let since = Instant::now();
        let mut shelf = self.shelf.lock().expect("no panic while held");
        let shelf = &mut *shelf;
        if shelf.swept.is_none_or(|at| since - at > self.keep / 4) {
            shelf.swept = Some(since);
            for idle in shelf.by_address.values_mut() {
                idle.retain(|i| since - i.since < self.keep);
                idle.shrink_to_fit();
            }
            shelf.by_address.retain(|_, idle| !idle.is_empty());
        }
        let idle = shelf.by_address.entry(to).or_default();
        if idle.len() < self.most_idle_per_host {
            idle.push(Idle { stream, since });
        }
    }
}

/// Nothing to read: neither an end nor an answer that nobody waits for.
async fn is_quiet(stream: &TcpStream) -> bool {
    let ready = poll_fn(|cx| Poll::Ready(stream.poll_read_ready(cx).is_ready())).await;
    if !ready {
        return true;
    }
    let read = stream.try_read(&mut [0; 1]);
    read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

async fn send(
    stream: &mut TcpStream,
    method: &http::Method,
    to: SocketAddr,
    path: &str,
    body: &[u8],
) -> io::Result<()> {
    let mut out = Vec::with_capacity(160 + path.len() + body.len());
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

fn wrong(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

fn too_large() -> io::Error {
    io::ErrorKind::FileTooLarge.into()
}

async fn more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<()> {
    if bytes.capacity() == bytes.len() {
        bytes.reserve(FIRST_READ.max(bytes.len() / 2));
    }
    match stream.read_buf(bytes).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// The answer, and whether the connection may be used again.
async fn receive(stream: &mut TcpStream, limit: usize) -> io::Result<(Reply, bool)> {
    let mut bytes = Vec::with_capacity(FIRST_READ);
    let head = loop {
        match head::response(&bytes).map_err(|e| wrong(&e.to_string()))? {
            // An interim answer; the final one follows.
            Some(head) if head.status < 200 => drop(bytes.drain(..head.length)),
            Some(head) => break head,
            None => more(stream, &mut bytes).await?,
        }
    };
    bytes.drain(..head.length);
    match head.body {
        Some(Body::None) => {}
        Some(Body::Length(length)) => {
            let length = usize::try_from(length).map_err(|_| too_large())?;
            if length > limit {
                return Err(too_large());
            }
            bytes.reserve_exact(length.saturating_sub(bytes.len()));
            while bytes.len() < length {
                more(stream, &mut bytes).await?;
            }
            if bytes.len() > length {
                return Err(wrong("more than the answer"));
            }
        }
        Some(Body::Chunked) => bytes = chunked(stream, bytes, limit).await?,
        None => loop {
            if bytes.len() > limit {
                return Err(too_large());
            }
            match more(stream, &mut bytes).await {
                Ok(()) => {}
                Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => break,
                Err(e) => return Err(e),
            }
        },
    }
    let reply = Reply {
        status: head.status,
        body: Bytes::from(bytes),
    };
    Ok((reply, head.keep_alive))
}

async fn chunked(stream: &mut TcpStream, mut bytes: Vec<u8>, limit: usize) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let (start, size) = loop {
            match httparse::parse_chunk_size(&bytes).map_err(|_| wrong("size of a chunk"))? {
                httparse::Status::Complete(found) => break found,
                httparse::Status::Partial if bytes.len() > MAX_LINE => {
                    return Err(wrong("size of a chunk"));
                }
                httparse::Status::Partial => more(stream, &mut bytes).await?,
            }
        };
        let size = usize::try_from(size).map_err(|_| wrong("size of a chunk"))?;
        if size.saturating_add(body.len()) > limit {
            return Err(too_large());
        }
        // The chunk and the end of its line; after the last one no trailers are taken.
        while bytes.len() < start + size + 2 {
            more(stream, &mut bytes).await?;
        }
        if &bytes[start + size..start + size + 2] != b"\r\n" {
            return Err(wrong("end of a chunk"));
        }
        body.extend_from_slice(&bytes[start..start + size]);
        bytes.drain(..start + size + 2);
        if size == 0 {
            return Ok(body);
        }
    }
}
