//! The server's side: one future a connection, which holds a buffer only while a request is
//! being read or answered.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use crate::head::{self, Body};
use crate::meter::{ClientClass, Meter};

/// The first read of a request; most fit.
const FIRST_READ: usize = 1024;

/// The longest that a client may go on sending after its last answer.
const LINGER: Duration = Duration::from_secs(1);

/// What a server holds its clients to.
#[derive(Clone)]
pub struct Rules {
    /// Connections at once. The next is left in the queue of the system.
    pub limit: usize,
    /// A client that sends nothing for so long, or no whole head, is hung up on.
    pub idle: Duration,
    /// From the head of a request to the end of its answer.
    pub whole: Duration,
    /// Bytes of a body. A longer one is not read: the handler sees the head alone.
    pub most_body: u64,
    /// With less than this part of the places left, users get no second answer on their
    /// connection: idle ones once kept the reports of workers out for a whole lease.
    pub spare: usize,
    pub meter: Meter,
    /// Who asks for this path.
    pub client_class: fn(&str) -> ClientClass,
    /// What those are told who are refused or time out.
    pub refusal: fn(StatusCode, &str) -> Response<Bytes>,
}

/// Serves `handler` on a listener until the process ends.
pub async fn serve<H, F>(listener: TcpListener, rules: Rules, handler: H) -> io::Result<()>
where
    H: Fn(Request<Full<Bytes>>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Bytes>> + Send + 'static,
{
    let limit = rules.limit.min(rules.meter.connections());
    let places = Arc::new(Semaphore::new(limit));
    let rules = Arc::new(rules);
    loop {
        let place = places.clone().acquire_owned().await;
        let place = place.expect("never closed");
        let Ok((stream, _)) = listener.accept().await else {
            // No socket is free, or the client has gone already.
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connection = Connection {
            stream,
            rules: rules.clone(),
            handler: handler.clone(),
            crowd: places.clone(),
            limit,
            rest: Vec::new(),
        };
        tokio::spawn(async move {
            let _charge = connection.rules.meter.connection();
            // A client that hangs up is no error of ours.
            let _ = connection.run().await;
            drop(place);
        });
    }
}

/// What becomes of a connection after an answer.
enum After {
    Next,
    Close,
    /// Close, though the client may still be sending.
    Linger,
}

struct Connection<H> {
    stream: TcpStream,
    rules: Arc<Rules>,
    handler: H,
    crowd: Arc<Semaphore>,
    limit: usize,
    /// What came after the last request, in case there was anything.
    rest: Vec<u8>,
}

impl<H, F> Connection<H>
where
    H: Fn(Request<Full<Bytes>>) -> F,
    F: Future<Output = Response<Bytes>>,
{
    async fn run(mut self) -> io::Result<()> {
        loop {
            if self.rest.is_empty() && timeout(self.rules.idle, self.first_bytes()).await?? == 0 {
                return Ok(());
            }
            // Boxed, so that an idle connection is small.
            match Box::pin(self.exchange()).await? {
                After::Next => {}
                After::Close => return self.stream.shutdown().await,
                After::Linger => return Box::pin(self.linger()).await,
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
                    self.rest = bytes;
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
        let _ = timeout(self.rules.idle.min(LINGER), to_the_end).await;
        Ok(())
    }

    /// One request and its answer.
    async fn exchange(&mut self) -> io::Result<After> {
        let mut bytes = std::mem::take(&mut self.rest);
        let idle = self.rules.idle;
        let parsed = timeout(idle, read_head(&mut self.stream, &mut bytes)).await?;
        let request = match parsed? {
            Ok(request) => request,
            Err(problem) => {
                let refused = (self.rules.refusal)(StatusCode::BAD_REQUEST, &problem.to_string());
                self.answer(refused, false, false).await?;
                return Ok(After::Linger);
            }
        };
        bytes.drain(..request.length);
        let path = request.uri.path();
        let client_class = (self.rules.client_class)(path);
        let length = match request.body {
            Body::Length(length) if length <= self.rules.most_body => Some(length as usize),
            Body::None => Some(0),
            // Not read: the handler refuses it by its head.
            Body::Length(_) | Body::Chunked => None,
        };
        let of_head = request.method == http::Method::HEAD;
        let mut keep = request.keep_alive && length.is_some();
        let mut unread = length.is_none();
        let Some(_charge) = self.rules.meter.request(length.unwrap_or(0), client_class) else {
            let what = "too much is under way";
            let refused = (self.rules.refusal)(StatusCode::SERVICE_UNAVAILABLE, what);
            // Told at once, and only then is its body read past. A client that waits for leave
            // to send may send nothing or all of it: the next request would not be found.
            keep &= !request.expects_continue;
            self.answer(refused, keep, of_head).await?;
            if !keep {
                return Ok(After::Linger);
            }
            let length = length.unwrap_or(0);
            self.rest = bytes.split_off(length.min(bytes.len()));
            let left = length - bytes.len();
            drop(bytes);
            timeout(self.rules.whole, skip(&mut self.stream, left)).await??;
            return Ok(After::Next);
        };
        let whole = async {
            if request.expects_continue && length.is_some_and(|l| l > bytes.len()) {
                self.stream
                    .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                    .await?;
            }
            let length = length.unwrap_or(0);
            while bytes.len() < length {
                bytes.reserve(length - bytes.len());
                if self.stream.read_buf(&mut bytes).await? == 0 {
                    return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
                }
            }
            self.rest = bytes.split_off(length);
            let mut asked = Request::new(Full::new(Bytes::from(bytes)));
            *asked.method_mut() = request.method;
            *asked.uri_mut() = request.uri;
            *asked.headers_mut() = request.headers;
            Ok((self.handler)(asked).await)
        };
        let answer = match timeout(self.rules.whole, whole).await {
            Ok(answer) => answer?,
            Err(_) => {
                // What is left of it would be taken for the next request.
                keep = false;
                unread = true;
                let what = "the request took too long to arrive";
                (self.rules.refusal)(StatusCode::REQUEST_TIMEOUT, what)
            }
        };
        let crowded = self.crowd.available_permits() < self.limit / self.rules.spare;
        keep &= !(client_class == ClientClass::User && crowded);
        timeout(self.rules.whole, self.answer(answer, keep, of_head)).await??;
        Ok(match (keep, unread) {
            (true, _) => After::Next,
            (false, false) => After::Close,
            (false, true) => After::Linger,
        })
    }

    async fn answer(
        &mut self,
        answer: Response<Bytes>,
        keep: bool,
        of_head: bool,
    ) -> io::Result<()> {
        use std::io::Write;
        let (parts, body) = answer.into_parts();
        let mut out = Vec::with_capacity(160 + body.len());
        let status = parts.status;
        let reason = status.canonical_reason().unwrap_or("");
        write!(out, "HTTP/1.1 {} {reason}\r\n", status.as_u16())?;
        for (name, value) in &parts.headers {
            if *name != http::header::CONTENT_LENGTH && *name != http::header::CONNECTION {
                out.extend_from_slice(name.as_str().as_bytes());
                out.extend_from_slice(b": ");
                out.extend_from_slice(value.as_bytes());
                out.extend_from_slice(b"\r\n");
            }
        }
        let close = if keep { "" } else { "connection: close\r\n" };
        write!(out, "{close}content-length: {}\r\n\r\n", body.len())?;
        if !of_head {
            out.extend_from_slice(&body);
        }
        self.stream.write_all(&out).await
    }
}

type Parsed = Result<head::Request, head::Malformed>;

async fn read_head(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<Parsed> {
    loop {
        if let Some(parsed) = head::request(bytes).transpose() {
            return Ok(parsed);
        }
        if stream.read_buf(bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

async fn skip(stream: &mut TcpStream, mut left: usize) -> io::Result<()> {
    let mut buffer = [0; 1024];
    while left > 0 {
        let limit = left.min(buffer.len());
        match stream.read(&mut buffer[..limit]).await? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => left -= n,
        }
    }
    Ok(())
}
