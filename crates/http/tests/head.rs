//! Parsing of heads: ambiguous framing, and any bytes at all.

use copperfield_http::head::{
    BodyFraming, MAX_HEAD_BYTES, ParseError, parse_request, parse_response,
};
use proptest::prelude::*;

#[test]
fn framing_that_could_be_read_in_two_ways_is_refused() {
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
    let good = head("Content-Length: 5\r\nConnection: Keep-Alive, Close\r\n");
    let good = good.expect("parses").expect("whole");
    assert_eq!(good.body, BodyFraming::Length(5));
    assert!(!good.keep_alive);
    assert!(parse_request(&vec![b'a'; MAX_HEAD_BYTES + 1]).is_err());
}

proptest! {
    /// Whatever comes: no panic, and a head is found the same wherever the bytes are cut.
    #[test]
    fn any_bytes_are_parsed_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = (parse_request(&bytes), parse_response(&bytes));
        let whole = b"GET /work/wk-000001 HTTP/1.1\r\nhost: a\r\n\r\n";
        let mut both = whole.to_vec();
        both.extend_from_slice(&bytes);
        let found = parse_request(&both).expect("parses").expect("whole");
        prop_assert_eq!(found.length, whole.len());
        for cut in 0..whole.len() {
            prop_assert!(matches!(parse_request(&whole[..cut]), Ok(None)));
        }
    }
}
