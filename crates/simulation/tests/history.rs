//! Tests of the check of task histories.

use copperfield_simulation::history::{EventKind, History};

/// Guards against a check that misses violations: tests that rely on it would pass whatever the
/// controllers do.
#[test]
fn each_kind_of_violation_is_found() {
    let violations = |events: &[(&str, u64, EventKind)]| {
        let mut history = History::default();
        for (at, (worker, attempt, kind)) in events.iter().enumerate() {
            history.record(at as f64, "t/0", *attempt, worker, kind.clone());
        }
        history.violations(["t/0"]).join("; ")
    };
    use EventKind::{Completed, Left, Started};
    assert_eq!(
        violations(&[
            ("a", 1, Started),
            ("a", 1, Left),
            ("b", 2, Started),
            ("b", 2, Completed)
        ]),
        ""
    );
    for (events, expected) in [
        (
            vec![("a", 1, Started), ("b", 2, Started), ("b", 2, Completed)],
            "while running on a",
        ),
        (
            vec![
                ("a", 1, Started),
                ("a", 1, Left),
                ("a", 1, Started),
                ("a", 1, Completed),
            ],
            "attempt 1",
        ),
        (
            vec![
                ("a", 1, Started),
                ("a", 1, Completed),
                ("b", 2, Started),
                ("b", 2, Completed),
            ],
            "completes again",
        ),
        (vec![("a", 1, Started), ("a", 1, Left)], "never completed"),
        (
            vec![("a", 1, Started), ("b", 1, Completed)],
            "where this attempt was not running",
        ),
    ] {
        let found = violations(&events);
        assert!(found.contains(expected), "{expected}: {found}");
    }
}
