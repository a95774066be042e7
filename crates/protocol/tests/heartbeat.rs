//! Tests of the error texts with which invalid heartbeats are answered. They contain the names of
//! private structs, so renaming such a struct could change a published text.

use copperfield_protocol::worker::Heartbeat;

fn parse_error(body: &str) -> String {
    let parsed = Heartbeat::parse(body.as_bytes());
    parsed.expect_err("an invalid heartbeat").to_string()
}

#[test]
fn a_body_or_task_that_is_not_an_object_is_refused_with_the_published_text() {
    assert_eq!(
        parse_error("3"),
        "malformed report: invalid type: integer `3`, expected struct WireReport at line 1 column 1"
    );
    let with_bad_task = r#"{"host":"a","address":"1.2.3.4:9","flavor":"f","region":"r","tenure":1,"counter":1,"shards":[3]}"#;
    assert_eq!(
        parse_error(with_bad_task),
        "malformed report: invalid type: integer `3`, expected struct WireTask at line 1 column 94"
    );
}
