//! Heartbeats that are refused, with the text that workers are answered.

use copperfield_protocol::worker::Heartbeat;

fn refusal(body: &str) -> String {
    let refused = Heartbeat::parse(body.as_bytes());
    refused.expect_err("no heartbeat").to_string()
}

#[test]
fn a_body_or_a_task_that_is_no_object_is_refused_with_the_published_text() {
    assert_eq!(
        refusal("3"),
        "malformed report: invalid type: integer `3`, expected struct WireReport at line 1 column 1"
    );
    let with_bad_task = r#"{"host":"a","address":"1.2.3.4:9","flavor":"f","region":"r","tenure":1,"counter":1,"shards":[3]}"#;
    assert_eq!(
        refusal(with_bad_task),
        "malformed report: invalid type: integer `3`, expected struct WireTask at line 1 column 94"
    );
}
