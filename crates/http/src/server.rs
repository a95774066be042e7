//! The server: one future for each connection, which holds a buffer only while a request is
//! being read or answered.

use std::future::Future;
use std::io::{self, Write};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use crate::head::{self, BodyFraming, ParseError, RequestHead};
use crate::memory_budget::{ClientClass, MemoryBudget};

/// The first read of a request; most fit.
const FIRST_READ: usize = 1024;
/// What the head of a response takes.
const RESPONSE_HEAD_BYTES: usize = 160;
/// The longest that a client may go on sending after its last answer.
const LINGER: Duration = Duration::from_secs(1);
/// When no connection can be accepted, the next attempt is after so long.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// What a server holds its clients to.
#[derive(Clone)]
pub struct ServerConfig {
    /// Connections at once. The next is left in the queue of the system.
    pub max_connections: usize,
    /// A client that sends nothing for so long, or no whole head, is hung up on.
    pub idle_timeout: Duration,
    /// From the head of a request to the end of its answer.
    pub request_timeout: Duration,
    /// Bytes of a body. A longer one is not read: the handler sees the head alone.
    pub max_body: u64,
    /// With less than one in so many connections free, users get no second answer on their
    /// connection: their idle ones could keep workers out for a whole lease.
    pub reserved_fraction: usize,
    /// Counts what connections and requests hold.
    pub memory_budget: MemoryBudget,
    /// Who asks for this path.
    pub client_class: fn(&str) -> ClientClass,
    /// The response to a request that is refused or times out.
    pub error_response: fn(StatusCode, &str) -> Response<Bytes>,
}

/// Serves `handler` on a listener until the process ends.
///
/// # Errors
/// None yet: a connection that cannot be accepted is tried again.
pub async fn serve<H, F>(listener: TcpListener, config: ServerConfig, handler: H) -> io::Result<()>
where
    H: Fn(Request<Full<Bytes>>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    let max_connections = config
        .max_connections
        .min(config.memory_budget.max_connections());
    let permits = Arc::new(Semaphore::new(max_connections));
    let config = Arc::new(config);
    loop {
        let permit = permits.clone().acquire_owned().await;
        let permit = permit.expect("never closed");
        let Ok((stream, _)) = listener.accept().await else {
            // No socket is free, or the client has gone already.
            sleep(ACCEPT_RETRY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connection = Connection {
            stream,
            config: config.clone(),
            handler: handler.clone(),
            permits: permits.clone(),
            max_connections,
            unparsed: Vec::new(),
        };
        tokio::spawn(async move {
            let _reservation = connection.config.memory_budget.reserve_connection();
            // A client that hangs up is no error of ours.
            let _ = connection.run().await;
            drop(permit);
        });
    }
}

/// What becomes of a connection after an answer.
enum AfterAnswer {
    ReadNext,
    Close,
    /// Close, though the client may still be sending.
    Linger,
}

struct Connection<H> {
    stream: TcpStream,
    config: Arc<ServerConfig>,
    handler: H,
    /// One for each connection that can still be accepted.
    permits: Arc<Semaphore>,
    max_connections: usize,
    /// What came after the last request, in case there was anything.
    unparsed: Vec<u8>,
}

impl<H, F> Connection<H>
where
    H: Fn(Request<Full<Bytes>>) -> F,
    F: Future<Output = Response<Bytes>>,
{
    async fn run(mut self) -> io::Result<()> {
        loop {
            let idle = self.unparsed.is_empty();
            if idle && timeout(self.config.idle_timeout, self.first_bytes()).await?? == 0 {
                return Ok(());
            }
            // Boxed, so that an idle connection is small.
            match Box::pin(self.exchange()).await? {
                AfterAnswer::ReadNext => {}
                AfterAnswer::Close => return self.stream.shutdown().await,
                AfterAnswer::Linger => return Box::pin(self.linger()).await,
            }
        }
    }

    /// Waits without a buffer. The socket may be called readable when it is not: a new one is,
    /// and one whose last read took all there was into a buffer that it filled.
    async fn first_bytes(&mut self) -> io::Result<usize> {
        loop {
            self.stream.readable().await?;
            let mut bytes = Vec::with_capacity(FIRST_READ);
            match self.stream.try_read_buf(&mut bytes) {
                Ok(read) => {
                    self.unparsed = bytes;
                    return Ok(read);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// A socket closed with bytes unread is reset, and a client that is still sending loses the
    /// answer with it. So what still comes is thrown away, for a bounded time.
    async fn linger(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let to_the_end = skip(&mut self.stream, usize::MAX);
        let _ = timeout(self.config.idle_timeout.min(LINGER), to_the_end).await;
        Ok(())
    }

    /// One request and its answer.
    async fn exchange(&mut self) -> io::Result<AfterAnswer> {
        let mut bytes = std::mem::take(&mut self.unparsed);
        let idle_timeout = self.config.idle_timeout;
        let parsed = timeout(idle_timeout, read_head(&mut self.stream, &mut bytes)).await?;
        let head = match parsed? {
            Ok(head) => head,
            Err(problem) => return self.refuse_malformed(&problem).await,
        };
        bytes.drain(..head.length);
        let client_class = (self.config.client_class)(head.uri.path());
        let body_length = match head.body {
            BodyFraming::Length(length) if length <= self.config.max_body => Some(length as usize),
            BodyFraming::None => Some(0),
            // Not read: the handler refuses it by its head.
            BodyFraming::Length(_) | BodyFraming::Chunked => None,
        };
        let reserved = body_length.unwrap_or(0);
        match self
            .config
            .memory_budget
            .try_reserve_request(reserved, client_class)
        {
            Some(_reservation) => self.answer(head, bytes, body_length, client_class).await,
            None => self.refuse_overload(&head, bytes, body_length).await,
        }
    }

    async fn refuse_malformed(&mut self, problem: &ParseError) -> io::Result<AfterAnswer> {
        let response = (self.config.error_response)(StatusCode::BAD_REQUEST, &problem.to_string());
        self.send(response, false, false).await?;
        Ok(AfterAnswer::Linger)
    }

    /// Answers at once, and only then reads past the body.
    async fn refuse_overload(
        &mut self,
        head: &RequestHead,
        mut bytes: Vec<u8>,
        body_length: Option<usize>,
    ) -> io::Result<AfterAnswer> {
        let problem = "too much is under way";
        let response = (self.config.error_response)(StatusCode::SERVICE_UNAVAILABLE, problem);
        // A client that asks before it sends the body may send none or all of it: the next
        // request would not be found.
        let keep = head.keep_alive && body_length.is_some() && !head.expects_continue;
        self.send(response, keep, head.method == Method::HEAD)
            .await?;
        if !keep {
            return Ok(AfterAnswer::Linger);
        }
        let length = body_length.unwrap_or(0);
        self.unparsed = bytes.split_off(length.min(bytes.len()));
        let left = length - bytes.len();
        drop(bytes);
        let request_timeout = self.config.request_timeout;
        timeout(request_timeout, skip(&mut self.stream, left)).await??;
        Ok(AfterAnswer::ReadNext)
    }

    /// Reads the body, lets the handler answer, and sends its response.
    async fn answer(
        &mut self,
        head: RequestHead,
        bytes: Vec<u8>,
        body_length: Option<usize>,
        client_class: ClientClass,
    ) -> io::Result<AfterAnswer> {
        let to_head = head.method == Method::HEAD;
        let mut keep = head.keep_alive && body_length.is_some();
        let mut unread = body_length.is_none();
        let request_timeout = self.config.request_timeout;
        let handled = self.handle(head, bytes, body_length.unwrap_or(0));
        let response = match timeout(request_timeout, handled).await {
            Ok(response) => response?,
            Err(_) => {
                // What is left of it would be taken for the next request.
                keep = false;
                unread = true;
                let problem = "the request took too long to arrive";
                (self.config.error_response)(StatusCode::REQUEST_TIMEOUT, problem)
            }
        };
        keep &= self.may_keep(client_class);
        timeout(request_timeout, self.send(response, keep, to_head)).await??;
        Ok(match (keep, unread) {
            (true, _) => AfterAnswer::ReadNext,
            (false, false) => AfterAnswer::Close,
            (false, true) => AfterAnswer::Linger,
        })
    }

    /// Whether a connection of this class may wait for its next request. With none free even
    /// workers take turns: those without one would wait for longer than a lease.
    fn may_keep(&self, client_class: ClientClass) -> bool {
        let free = self.permits.available_permits();
        let crowded = free < self.max_connections / self.config.reserved_fraction;
        free > 0 && !(client_class == ClientClass::User && crowded)
    }

    /// `bytes`: what has been read of the body.
    async fn handle(
        &mut self,
        head: RequestHead,
        mut bytes: Vec<u8>,
        body_length: usize,
    ) -> io::Result<Response<Bytes>> {
        if head.expects_continue && body_length > bytes.len() {
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
            self.stream.write_all(interim).await?;
        }
        while bytes.len() < body_length {
            bytes.reserve(body_length - bytes.len());
            if self.stream.read_buf(&mut bytes).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        self.unparsed = bytes.split_off(body_length);
        let mut request = Request::new(Full::new(Bytes::from(bytes)));
        *request.method_mut() = head.method;
        *request.uri_mut() = head.uri;
        *request.headers_mut() = head.headers;
        Ok((self.handler)(request).await)
    }

    /// `to_head`: the request was `HEAD`, so the body is left out.
    async fn send(
        &mut self,
        response: Response<Bytes>,
        keep: bool,
        to_head: bool,
    ) -> io::Result<()> {
        let (parts, body) = response.into_parts();
        let mut out = Vec::with_capacity(RESPONSE_HEAD_BYTES + body.len());
        let status = parts.status;
        let reason = status.canonical_reason().unwrap_or("");
        write!(out, "HTTP/1.1 {} {reason}\r\n", status.as_u16())?;
        for (name, value) in &parts.headers {
            if *name != CONTENT_LENGTH && *name != CONNECTION {
                out.extend_from_slice(name.as_str().as_bytes());
                out.extend_from_slice(b": ");
                out.extend_from_slice(value.as_bytes());
                out.extend_from_slice(b"\r\n");
            }
        }
        let close = if keep { "" } else { "connection: close\r\n" };
        write!(out, "{close}content-length: {}\r\n\r\n", body.len())?;
        if !to_head {
            out.extend_from_slice(&body);
        }
        self.stream.write_all(&out).await
    }
}

/// The outer error is the connection's, the inner one the client's.
async fn read_head(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> io::Result<Result<RequestHead, ParseError>> {
    loop {
        if let Some(parsed) = head::parse_request(bytes).transpose() {
            return Ok(parsed);
        }
        if stream.read_buf(bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Reads `left` bytes and throws them away.
async fn skip(stream: &mut TcpStream, mut left: usize) -> io::Result<()> {
    let mut buffer = [0; 1024];
    while left > 0 {
        let limit = left.min(buffer.len());
        match stream.read(&mut buffer[..limit]).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => left -= read,
        }
    }
    Ok(())
}
