//! Tests of the validation of submissions. An error is one line that names the field, the value
//! that was found and the allowed values.

use copperfield_protocol::job::JobSpec;
use serde_json::{Value, json};

fn sample() -> Value {
    json!({"uid":"wk-000412","jobclass":"train","owner":"vision","shape":"group","rank":"urgent",
        "shards":16,"cpus":8.0,"gpus":1.0,"memory_gb":64.0,"bundle":"img-07","pull_gb":6.2,
        "flavors":["g8"],"region":"a","one_zone":true,"spread":false,"preemptibles":true,
        "runtime_s":240.0,"snapshot_every_s":30.0,"snapshot_s":4.0,"due_s":900.0,"movable":false})
}

const NAME: &str = "a string of 1 to 200 bytes";

/// Returns for each field its name, some invalid values, the allowed values as the error gives
/// them, and whether it may be omitted.
fn fields() -> Vec<(&'static str, Vec<Value>, &'static str, bool)> {
    let long = "x".repeat(201);
    let names = || vec![json!(""), json!(7), json!(long), json!(["a"])];
    let numbers = || vec![json!(-1.0), json!("8"), json!(1e300), json!(true)];
    let flags = || vec![json!("yes"), json!(1)];
    let counts = vec![json!(0), json!(100_001), json!(2.5), json!("2"), json!(-1)];
    let ids = vec![json!("412"), json!("wk-"), json!("wk-1/3"), json!(7)];
    let lists = vec![json!("g8"), json!([7]), json!(vec!["a"; 33])];
    vec![
        ("uid", ids, "", false),
        ("jobclass", names(), NAME, false),
        ("owner", names(), NAME, false),
        ("shape", vec![json!(7), json!("array")], "", false),
        ("rank", vec![json!("high"), json!(1)], "", false),
        ("shards", counts, "an integer from 1 to 100000", false),
        ("cpus", numbers(), "a number from 0", false),
        ("gpus", numbers(), "a number from 0", false),
        ("memory_gb", numbers(), "a number from 0", false),
        ("flavors", lists, "a list of at most 32 names", true),
        ("region", names(), NAME, true),
        ("one_zone", flags(), "true or false", false),
        ("spread", flags(), "true or false", false),
        ("preemptibles", flags(), "true or false", false),
        ("bundle", names(), NAME, false),
        ("pull_gb", numbers(), "a number from 0", false),
        ("runtime_s", numbers(), "a number from 0", false),
        ("snapshot_every_s", numbers(), "a number from 0", false),
        ("snapshot_s", numbers(), "a number from 0", false),
        ("due_s", numbers(), "a number from 0", true),
        ("movable", flags(), "true or false", true),
    ]
}

fn submission_error(body: &Value) -> String {
    let error = JobSpec::submitted(body).expect_err(&body.to_string());
    error.to_string()
}

#[test]
fn every_field_of_a_submission_is_validated() {
    let fields = fields();
    let validated: Vec<&str> = fields.iter().map(|f| f.0).collect();
    for name in sample().as_object().expect("an object").keys() {
        assert!(validated.contains(&name.as_str()), "{name}");
    }
    for (field, invalid_values, allowed, _) in fields {
        for value in invalid_values {
            let mut body = sample();
            body[field] = value.clone();
            let error = submission_error(&body);
            let prefix = format!("{field}: found ");
            assert!(error.starts_with(&prefix), "{error}");
            assert!(
                error.contains(&format!(", allowed is {allowed}")),
                "{error}"
            );
            assert!(!error.contains('\n') && error.len() < 200, "{error}");
        }
    }
}

/// Only fields that may be null may be omitted. Other fields must not get a default, because a user
/// who leaves one out has not chosen that value.
#[test]
fn a_submission_without_a_required_field_is_refused() {
    for (field, _, allowed, optional) in fields() {
        for missing in [true, false] {
            let mut body = sample();
            body[field] = Value::Null;
            if missing {
                body.as_object_mut().expect("an object").remove(field);
            }
            if optional {
                assert!(JobSpec::submitted(&body).is_ok(), "{field}");
                continue;
            }
            let found = if missing { "nothing" } else { "null" };
            let prefix = format!("{field}: found {found}, allowed is {allowed}");
            let error = submission_error(&body);
            assert!(error.starts_with(&prefix), "{error}");
        }
    }
}

/// An error names only one field. An invalid value takes precedence over a missing one, and among
/// missing fields the first in the order of the description is named.
#[test]
fn an_invalid_value_is_reported_before_a_missing_field() {
    let mut body = sample();
    for field in ["snapshot_s", "spread", "gpus"] {
        body.as_object_mut().expect("an object").remove(field);
    }
    assert_eq!(
        submission_error(&body),
        "gpus: found nothing, allowed is a number from 0"
    );
    body["movable"] = json!("no");
    assert_eq!(
        submission_error(&body),
        "movable: found \"no\", allowed is true or false"
    );
}

#[test]
fn a_body_that_is_not_an_object_is_refused() {
    for body in [json!([1]), json!(null), json!("wk-000412")] {
        let error = submission_error(&body);
        assert!(error.starts_with("description: found "), "{error}");
    }
}

#[test]
fn a_stored_submission_reads_back_unchanged() {
    let spec = JobSpec::submitted(&sample()).expect("valid");
    assert_eq!(JobSpec::from_json(&spec.to_json()), Ok(spec));
}

/// A job that an earlier version accepted must not be lost because it lacks fields that this
/// version requires.
#[test]
fn a_stored_job_without_a_required_field_is_read() {
    let mut body = sample();
    for field in ["gpus", "spread", "preemptibles", "pull_gb", "runtime_s"] {
        body.as_object_mut().expect("an object").remove(field);
    }
    let spec = JobSpec::from_json(&body).expect("stored");
    assert!(!spec.spread && !spec.spot && spec.needs.gpus == 0);
}
