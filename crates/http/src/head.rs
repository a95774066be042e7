//! Heads of messages: what of them matters for framing, on httparse.

use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue};
use thiserror::Error;

/// A head may be this long, and have so many lines.
pub const MAX_HEAD: usize = 16 * 1024;
const MAX_LINES: usize = 64;

#[derive(Debug, Error, PartialEq, Eq)]
pub enum Malformed {
    #[error("{0}")]
    Syntax(String),
    #[error("content-length: not one number")]
    Length,
    #[error("a head of over {MAX_HEAD} bytes")]
    TooLong,
}

/// How a body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    None,
    Length(u64),
    Chunked,
}

#[derive(Debug)]
pub struct Request {
    pub method: http::Method,
    pub uri: http::Uri,
    pub headers: HeaderMap,
    pub keep_alive: bool,
    pub body: Body,
    pub expects_continue: bool,
    /// Bytes of the head.
    pub length: usize,
}

#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub keep_alive: bool,
    /// `None`: up to the end of the connection.
    pub body: Option<Body>,
    pub length: usize,
}

fn map(lines: &[httparse::Header<'_>]) -> Result<HeaderMap, Malformed> {
    let mut headers = HeaderMap::with_capacity(lines.len());
    for line in lines {
        let wrong = || Malformed::Syntax(format!("header {:?}", line.name));
        let name = HeaderName::from_bytes(line.name.as_bytes()).map_err(|_| wrong())?;
        let value = HeaderValue::from_bytes(line.value).map_err(|_| wrong())?;
        headers.append(name, value);
    }
    Ok(headers)
}

fn says(headers: &HeaderMap, name: HeaderName, word: &str) -> bool {
    let values = headers.get_all(name).into_iter();
    let mut words = values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    words.any(|w| w.trim().eq_ignore_ascii_case(word))
}

/// `None`: no length is given.
fn body(headers: &HeaderMap) -> Result<Option<Body>, Malformed> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).into_iter();
    let length = match (lengths.next(), lengths.next()) {
        (None, _) => None,
        (Some(one), None) => {
            let text = one.to_str().map_err(|_| Malformed::Length)?;
            // A plus sign would pass as a number.
            if !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err(Malformed::Length);
            }
            Some(text.parse().map_err(|_| Malformed::Length)?)
        }
        _ => return Err(Malformed::Length),
    };
    if headers.contains_key(TRANSFER_ENCODING) {
        // Two ways to find its end: one of them is a lie.
        return match length {
            Some(_) => Err(Malformed::Length),
            None => Ok(Some(Body::Chunked)),
        };
    }
    Ok(length.map(Body::Length))
}

fn keep_alive(version: Option<u8>, headers: &HeaderMap) -> bool {
    if version == Some(0) {
        says(headers, CONNECTION, "keep-alive")
    } else {
        !says(headers, CONNECTION, "close")
    }
}

/// The length of a head, `None` until all of it is there.
fn whole(parsed: httparse::Result<usize>, bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    match parsed.map_err(|e| syntax(&e))? {
        httparse::Status::Complete(length) if length <= MAX_HEAD => Ok(Some(length)),
        httparse::Status::Partial if bytes.len() <= MAX_HEAD => Ok(None),
        _ => Err(Malformed::TooLong),
    }
}

fn syntax(error: &dyn std::fmt::Display) -> Malformed {
    Malformed::Syntax(error.to_string())
}

/// The head at the start of `bytes`; `None` until all of it is there.
pub fn request(bytes: &[u8]) -> Result<Option<Request>, Malformed> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_LINES];
    let mut parsed = httparse::Request::new(&mut lines);
    let Some(length) = whole(parsed.parse(bytes), bytes)? else {
        return Ok(None);
    };
    let headers = map(parsed.headers)?;
    let method = parsed.method.unwrap_or_default().as_bytes();
    Ok(Some(Request {
        method: http::Method::from_bytes(method).map_err(|e| syntax(&e))?,
        uri: parsed
            .path
            .unwrap_or_default()
            .parse()
            .map_err(|e| syntax(&e))?,
        keep_alive: keep_alive(parsed.version, &headers),
        body: body(&headers)?.unwrap_or(Body::None),
        expects_continue: says(&headers, EXPECT, "100-continue"),
        headers,
        length,
    }))
}

/// The same of an answer.
pub fn response(bytes: &[u8]) -> Result<Option<Response>, Malformed> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_LINES];
    let mut parsed = httparse::Response::new(&mut lines);
    let Some(length) = whole(parsed.parse(bytes), bytes)? else {
        return Ok(None);
    };
    let headers = map(parsed.headers)?;
    let status = parsed.code.unwrap_or_default();
    let body = match status {
        100..200 | 204 | 304 => Some(Body::None),
        _ => body(&headers)?,
    };
    Ok(Some(Response {
        status,
        keep_alive: keep_alive(parsed.version, &headers) && body.is_some(),
        body,
        length,
    }))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn framing_that_could_be_read_in_two_ways_is_refused() {
        let head = |lines: &str| request(format!("POST /work HTTP/1.1\r\n{lines}\r\n").as_bytes());
        for lines in [
            "content-length: 5\r\ncontent-length: 6\r\n",
            "content-length: +5\r\n",
            "content-length: 5\r\ntransfer-encoding: chunked\r\n",
            "content-length: 99999999999999999999999\r\n",
            "content-length:\r\n",
        ] {
            assert_eq!(head(lines).err(), Some(Malformed::Length), "{lines}");
        }
        let good = head("Content-Length: 5\r\nConnection: Keep-Alive, Close\r\n");
        let good = good.expect("parses").expect("whole");
        assert_eq!(good.body, Body::Length(5));
        assert!(!good.keep_alive);
        assert!(request(&vec![b'a'; MAX_HEAD + 1]).is_err());
    }

    proptest! {
        /// Whatever comes: no panic, and a head is found the same wherever the bytes are cut.
        #[test]
        fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let _ = (request(&bytes), response(&bytes));
            let whole = b"GET /work/wk-000001 HTTP/1.1\r\nhost: a\r\n\r\n";
            let mut both = whole.to_vec();
            both.extend_from_slice(&bytes);
            let found = request(&both).expect("parses").expect("whole");
            prop_assert_eq!(found.length, whole.len());
            for cut in 0..whole.len() {
                prop_assert!(matches!(request(&whole[..cut]), Ok(None)));
            }
        }
    }
}
