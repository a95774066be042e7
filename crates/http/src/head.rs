//! Parses the heads of requests and responses with httparse, and determines the framing of their
//! bodies.

use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue};
use thiserror::Error;

/// The maximum length of a head in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The maximum number of header fields.
const MAX_HEADERS: usize = 64;
/// The minor version that httparse reports for HTTP/1.0.
const HTTP_1_0: u8 = 0;

/// Why a head is refused.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ParseError {
    /// The head is not valid HTTP/1.
    #[error("{0}")]
    Syntax(String),
    /// The length of the body is invalid or ambiguous.
    #[error("content-length: not one number")]
    Length,
    /// The head is longer than [`MAX_HEAD_BYTES`].
    #[error("a head of over {MAX_HEAD_BYTES} bytes")]
    TooLong,
}

/// How a body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    None,
    /// The body has this many bytes.
    Length(u64),
    /// The body is a sequence of chunks that ends with an empty one.
    Chunked,
}

/// The head of a request.
#[derive(Debug)]
pub struct RequestHead {
    /// The method.
    pub method: http::Method,
    /// The request target.
    pub uri: http::Uri,
    /// All header fields.
    pub headers: HeaderMap,
    /// Whether the client keeps the connection open after the response.
    pub keep_alive: bool,
    /// How the body is delimited.
    pub body: BodyFraming,
    /// Whether the client may wait for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// The length of the head in bytes.
    pub length: usize,
}

/// The head of a response.
#[derive(Debug)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// Whether the connection can be used again.
    pub keep_alive: bool,
    /// How the body is delimited. `None`: it ends when the connection is closed.
    pub body: Option<BodyFraming>,
    /// The length of the head in bytes.
    pub length: usize,
}

/// Parses the head of a request at the start of `bytes`. Returns `None` if `bytes` does not contain
/// all of it yet.
///
/// # Errors
/// Returns an error if the head is malformed or the framing of its body is ambiguous.
pub fn parse_request(bytes: &[u8]) -> Result<Option<RequestHead>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let Some(length) = complete_length(parsed.parse(bytes), bytes)? else {
        return Ok(None);
    };
    let headers = header_map(parsed.headers)?;
    let method = parsed.method.unwrap_or_default().as_bytes();
    let target = parsed.path.unwrap_or_default();
    Ok(Some(RequestHead {
        method: http::Method::from_bytes(method).map_err(|error| syntax(&error))?,
        uri: target.parse().map_err(|error| syntax(&error))?,
        keep_alive: keep_alive(parsed.version, &headers),
        body: body_framing(&headers)?.unwrap_or(BodyFraming::None),
        expects_continue: has_token(&headers, EXPECT, "100-continue"),
        headers,
        length,
    }))
}

/// Parses the head of a response at the start of `bytes`. Returns `None` if `bytes` does not
/// contain all of it yet.
///
/// # Errors
/// Returns an error if the head is malformed or the framing of its body is ambiguous.
pub fn parse_response(bytes: &[u8]) -> Result<Option<ResponseHead>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let Some(length) = complete_length(parsed.parse(bytes), bytes)? else {
        return Ok(None);
    };
    let headers = header_map(parsed.headers)?;
    let status = parsed.code.unwrap_or_default();
    let body = match status {
        100..200 | 204 | 304 => Some(BodyFraming::None),
        _ => body_framing(&headers)?,
    };
    Ok(Some(ResponseHead {
        status,
        keep_alive: keep_alive(parsed.version, &headers) && body.is_some(),
        body,
        length,
    }))
}

/// Returns the length of a head, or `None` if `bytes` does not contain all of it yet.
fn complete_length(
    parsed: httparse::Result<usize>,
    bytes: &[u8],
) -> Result<Option<usize>, ParseError> {
    match parsed.map_err(|error| syntax(&error))? {
        httparse::Status::Complete(length) if length <= MAX_HEAD_BYTES => Ok(Some(length)),
        httparse::Status::Partial if bytes.len() <= MAX_HEAD_BYTES => Ok(None),
        _ => Err(ParseError::TooLong),
    }
}

fn syntax(error: &dyn std::fmt::Display) -> ParseError {
    ParseError::Syntax(error.to_string())
}

fn header_map(parsed: &[httparse::Header<'_>]) -> Result<HeaderMap, ParseError> {
    let mut headers = HeaderMap::with_capacity(parsed.len());
    for header in parsed {
        let invalid = || ParseError::Syntax(format!("header {:?}", header.name));
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| invalid())?;
        let value = HeaderValue::from_bytes(header.value).map_err(|_| invalid())?;
        headers.append(name, value);
    }
    Ok(headers)
}

/// Whether a header with a comma-separated list contains `token`.
fn has_token(headers: &HeaderMap, name: HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).into_iter();
    let mut tokens = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    tokens.any(|found| found.trim().eq_ignore_ascii_case(token))
}

fn keep_alive(version: Option<u8>, headers: &HeaderMap) -> bool {
    if version == Some(HTTP_1_0) {
        has_token(headers, CONNECTION, "keep-alive")
    } else {
        !has_token(headers, CONNECTION, "close")
    }
}

/// Returns how a body is delimited, or `None` if no header says so.
fn body_framing(headers: &HeaderMap) -> Result<Option<BodyFraming>, ParseError> {
    let length = content_length(headers)?;
    if headers.contains_key(TRANSFER_ENCODING) {
        // With both headers the end of the body is ambiguous: a proxy in front of the server may
        // have used the other one, which allows request smuggling.
        return match length {
            Some(_) => Err(ParseError::Length),
            None => Ok(Some(BodyFraming::Chunked)),
        };
    }
    Ok(length.map(BodyFraming::Length))
}

fn content_length(headers: &HeaderMap) -> Result<Option<u64>, ParseError> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).into_iter();
    let value = match (lengths.next(), lengths.next()) {
        (None, _) => return Ok(None),
        (Some(value), None) => value,
        _ => return Err(ParseError::Length),
    };
    let text = value.to_str().map_err(|_| ParseError::Length)?;
    // `parse` would accept a leading plus sign.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ParseError::Length);
    }
    text.parse().map(Some).map_err(|_| ParseError::Length)
}
