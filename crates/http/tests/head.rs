//! Tests of the parsing of heads, with ambiguous framing and with arbitrary bytes.

use copperfield_http::head::{
    BodyFraming, MAX_HEAD_BYTES, ParseError, parse_request, parse_response,
};
use proptest::prelude::*;

#[test]
fn ambiguous_framing_is_refused() {
    let head =
        |headers: &str| parse_request(format!("POST /work HTTP/1.1\r\n{headers}\r\n").as_bytes());
    for headers in [
        "content-length: 5\r\ncontent-length: 6\r\n",
        "content-length: +5\r\n",
        "content-length: 5\r\ntransfer-encoding: chunked\r\n",
        "content-length: 99999999999999999999999\r\n",
        "content-length:\r\n",
    ] {
        assert_eq!(head(headers).err(), Some(ParseError::Length), "{headers}");
    }
    let valid = head("Content-Length: 5\r\nConnection: Keep-Alive, Close\r\n");
    let valid = valid.expect("parses").expect("complete");
    assert_eq!(valid.body, BodyFraming::Length(5));
    assert!(!valid.keep_alive);
    assert!(parse_request(&vec![b'a'; MAX_HEAD_BYTES + 1]).is_err());
}

proptest! {
    /// Arbitrary bytes must not cause a panic. A head must be found whatever bytes follow it, and
    /// an incomplete head must be reported as incomplete wherever it is cut.
    #[test]
    fn arbitrary_bytes_are_parsed_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = (parse_request(&bytes), parse_response(&bytes));
        let head = b"GET /work/wk-000001 HTTP/1.1\r\nhost: a\r\n\r\n";
        let mut message = head.to_vec();
        message.extend_from_slice(&bytes);
        let parsed = parse_request(&message).expect("parses").expect("complete");
        prop_assert_eq!(parsed.length, head.len());
        for cut in 0..head.len() {
            prop_assert!(matches!(parse_request(&head[..cut]), Ok(None)));
        }
    }
}
