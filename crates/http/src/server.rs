//! The server. Each connection has one future, which holds a buffer only while a request is read or
//! answered.

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

/// The size of the buffer for the first read of a request in bytes. Most requests fit in it.
const INITIAL_BUFFER_BYTES: usize = 1024;
/// The space reserved for the head of a response, in bytes.
const RESPONSE_HEAD_BYTES: usize = 160;
/// The maximum time for which data from a client is discarded after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The limits and callbacks of a server.
#[derive(Clone)]
pub struct ServerConfig {
    /// The maximum number of open connections. Further ones wait in the system's accept queue.
    pub max_connections: usize,
    /// A connection is closed if its client sends nothing for this time, or does not complete the
    /// head of a request within it.
    pub idle_timeout: Duration,
    /// The timeout for reading and handling a request, and again for sending its response.
    pub request_timeout: Duration,
    /// The maximum size of a body in bytes. A longer body is not read: the handler gets the head
    /// with an empty body.
    pub max_body: u64,
    /// If less than one in this many connections is free, the connections of users are closed after
    /// a response. Otherwise idle connections of users could block workers for a whole lease.
    pub reserved_fraction: usize,
    /// The budget for the memory of connections and requests.
    pub memory_budget: MemoryBudget,
    /// Returns the class of the clients that send requests to a path.
    pub client_class: fn(&str) -> ClientClass,
    /// Creates the response to a request that is refused or times out.
    pub error_response: fn(StatusCode, &str) -> Response<Bytes>,
}

/// Serves `handler` on a listener until the process ends.
///
/// # Errors
/// None: if a connection cannot be accepted, accepting is retried.
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
            // The process has no free socket, or the client has already disconnected.
            sleep(ACCEPT_RETRY_DELAY).await;
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
            // A client that disconnects is not an error of the server.
            let _ = connection.run().await;
            drop(permit);
        });
    }
}

/// What to do with a connection after a response.
enum NextStep {
    ReadNextRequest,
    Close,
    /// Close the connection although the client may still be sending.
    Linger,
}

struct Connection<H> {
    stream: TcpStream,
    config: Arc<ServerConfig>,
    handler: H,
    /// One permit for each connection that can still be accepted.
    permits: Arc<Semaphore>,
    max_connections: usize,
    /// The received bytes that are not yet parsed.
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
            if idle && timeout(self.config.idle_timeout, self.read_first_bytes()).await?? == 0 {
                return Ok(());
            }
            // Boxed to keep the future of an idle connection small.
            match Box::pin(self.exchange()).await? {
                NextStep::ReadNextRequest => {}
                NextStep::Close => return self.stream.shutdown().await,
                NextStep::Linger => return Box::pin(self.linger()).await,
            }
        }
    }

    /// Waits without a buffer for the first bytes of a request. The socket may be reported as
    /// readable although it has no data: when it is new, or when the last read filled its buffer
    /// exactly.
    async fn read_first_bytes(&mut self) -> io::Result<usize> {
        loop {
            self.stream.readable().await?;
            let mut bytes = Vec::with_capacity(INITIAL_BUFFER_BYTES);
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

    /// Discards further data for a bounded time and then closes the connection. If a socket is
    /// closed with unread bytes, the connection is reset, and a client that is still sending may
    /// lose the response.
    async fn linger(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let until_end = skip(&mut self.stream, usize::MAX);
        let _ = timeout(self.config.idle_timeout.min(LINGER_TIMEOUT), until_end).await;
        Ok(())
    }

    /// Reads one request and sends its response.
    async fn exchange(&mut self) -> io::Result<NextStep> {
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
            // The body is not read: the handler refuses the request because of its head.
            BodyFraming::Length(_) | BodyFraming::Chunked => None,
        };
        let expected = body_length.unwrap_or(0);
        match self
            .config
            .memory_budget
            .try_reserve_request(expected, client_class)
        {
            Some(_reservation) => self.respond(head, bytes, body_length, client_class).await,
            None => self.refuse_overload(&head, bytes, body_length).await,
        }
    }

    async fn refuse_malformed(&mut self, problem: &ParseError) -> io::Result<NextStep> {
        let response = (self.config.error_response)(StatusCode::BAD_REQUEST, &problem.to_string());
        self.send(response, false, false).await?;
        Ok(NextStep::Linger)
    }

    /// Refuses a request at once, and only then skips its body.
    async fn refuse_overload(
        &mut self,
        head: &RequestHead,
        mut bytes: Vec<u8>,
        body_length: Option<usize>,
    ) -> io::Result<NextStep> {
        let problem = "too much is under way";
        let response = (self.config.error_response)(StatusCode::SERVICE_UNAVAILABLE, problem);
        // A client that waits for `100 Continue` may or may not send the body, so the start of the
        // next request is unknown.
        let keep_alive = head.keep_alive && body_length.is_some() && !head.expects_continue;
        self.send(response, keep_alive, head.method == Method::HEAD)
            .await?;
        if !keep_alive {
            return Ok(NextStep::Linger);
        }
        let length = body_length.unwrap_or(0);
        self.unparsed = bytes.split_off(length.min(bytes.len()));
        let remaining = length - bytes.len();
        drop(bytes);
        let request_timeout = self.config.request_timeout;
        timeout(request_timeout, skip(&mut self.stream, remaining)).await??;
        Ok(NextStep::ReadNextRequest)
    }

    /// Reads the body, calls the handler and sends its response.
    async fn respond(
        &mut self,
        head: RequestHead,
        bytes: Vec<u8>,
        body_length: Option<usize>,
        client_class: ClientClass,
    ) -> io::Result<NextStep> {
        let is_head_request = head.method == Method::HEAD;
        let mut keep_alive = head.keep_alive && body_length.is_some();
        let mut has_unread_body = body_length.is_none();
        let request_timeout = self.config.request_timeout;
        let handled = self.handle(head, bytes, body_length.unwrap_or(0));
        let response = match timeout(request_timeout, handled).await {
            Ok(response) => response?,
            Err(_) => {
                // The rest of the body would be parsed as the next request.
                keep_alive = false;
                has_unread_body = true;
                let problem = "the request took too long to arrive";
                (self.config.error_response)(StatusCode::REQUEST_TIMEOUT, problem)
            }
        };
        keep_alive &= self.may_keep_alive(client_class);
        timeout(
            request_timeout,
            self.send(response, keep_alive, is_head_request),
        )
        .await??;
        Ok(match (keep_alive, has_unread_body) {
            (true, _) => NextStep::ReadNextRequest,
            (false, false) => NextStep::Close,
            (false, true) => NextStep::Linger,
        })
    }

    /// Whether a connection of this class may stay open for further requests. If no connection is
    /// free, connections of workers are closed too, because a worker without one would wait for
    /// longer than a lease.
    fn may_keep_alive(&self, client_class: ClientClass) -> bool {
        let free = self.permits.available_permits();
        let is_reserve_used = free < self.max_connections / self.config.reserved_fraction;
        free > 0 && !(client_class == ClientClass::User && is_reserve_used)
    }

    /// Reads the rest of the body and calls the handler. `bytes` is what was received after the
    /// head.
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

    /// Sends a response, without its body if the method of the request was `HEAD`.
    async fn send(
        &mut self,
        response: Response<Bytes>,
        keep_alive: bool,
        is_head_request: bool,
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
        let close = if keep_alive {
            ""
        } else {
            "connection: close\r\n"
        };
        write!(out, "{close}content-length: {}\r\n\r\n", body.len())?;
        if !is_head_request {
            out.extend_from_slice(&body);
        }
        self.stream.write_all(&out).await
    }
}

/// Reads the head of a request. The outer error is a failure of the connection, and the inner error
/// is a malformed head.
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

/// Reads and discards `remaining` bytes.
async fn skip(stream: &mut TcpStream, mut remaining: usize) -> io::Result<()> {
    let mut buffer = [0; 1024];
    while remaining > 0 {
        let limit = remaining.min(buffer.len());
        match stream.read(&mut buffer[..limit]).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => remaining -= read,
        }
    }
    Ok(())
}
