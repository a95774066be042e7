//! Tests of `.ci/known-red`, which validates the list of tests that may fail. The list must be
//! short, and each line must name one test, the cause of its failure and an issue.

use std::io::Write;
use std::process::{Command, Stdio};

/// The names of all tests, as passed to the script. One name occurs twice.
const TESTS: &str = "one::passes\nfails_now\ntwice\ntwice\n";

/// Runs `.ci/known-red` on a list. Returns its standard output, or its standard error if it fails.
fn run_known_red(list: &str) -> Result<String, String> {
    let list_hash = list.bytes().fold(7u64, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    let file = std::env::temp_dir().join(format!("known-red-{}-{list_hash}", std::process::id()));
    std::fs::write(&file, list).expect("writable");
    let mut script = Command::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red"))
        .arg(&file)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the script starts");
    let mut stdin = script.stdin.take().expect("piped");
    stdin
        .write_all(TESTS.as_bytes())
        .expect("the script reads its input");
    drop(stdin);
    let output = script.wait_with_output().expect("the script exits");
    std::fs::remove_file(&file).expect("the file exists");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    if output.status.success() {
        Ok(text(output.stdout))
    } else {
        Err(text(output.stderr))
    }
}

#[test]
fn valid_list_prints_its_test_names() {
    assert_eq!(run_known_red(""), Ok(String::new()));
    let list = "fails_now: late by a lease (issue 33)\none::passes: not known (issue 4)\n";
    assert_eq!(run_known_red(list), Ok("fails_now\none::passes\n".into()));
    // The last line may lack its newline.
    assert_eq!(
        run_known_red("fails_now: a cause (issue 1)"),
        Ok("fails_now\n".into())
    );
}

#[test]
fn invalid_list_is_rejected_with_one_line() {
    let line = "fails_now: a cause (issue 1)\n";
    for (list, expected) in [
        (line.repeat(4), "found 4 lines"),
        ("fails_now\n".into(), "found \"fails_now\""),
        ("fails_now: (issue 1)\n".into(), "allowed is"),
        ("fails_now: a cause\n".into(), "allowed is"),
        ("fails: a cause (issue 1)\n".into(), "names 0 tests"),
        ("twice: a cause (issue 1)\n".into(), "names 2 tests"),
        ("\n".into(), "found \"\""),
    ] {
        let error = run_known_red(&list).expect_err(&list);
        assert!(error.contains(expected), "{list}: {error}");
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}
