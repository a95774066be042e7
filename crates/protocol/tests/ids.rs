//! Tests that only the canonical text form of job and task identifiers is accepted.

use copperfield_protocol::{JobId, parse_task};

#[test]
fn only_canonical_identifiers_are_accepted() {
    assert_eq!(JobId::parse("wk-000412"), Some(JobId(412)));
    assert_eq!(JobId::parse("wk-1234567"), Some(JobId(1_234_567)));
    for bad in ["wk-412", "wk-0000412", "wk-00041x", "job-000412", "wk-", ""] {
        assert_eq!(JobId::parse(bad), None, "{bad}");
    }
    assert_eq!(parse_task("wk-000412/3"), Some((JobId(412), 3)));
}
