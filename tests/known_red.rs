//! Tests that may fail are listed by name, few, and each with its cause and issue.

use std::io::Write;
use std::process::{Command, Stdio};

const TESTS: &str = "one::passes\nfails_now\ntwice\ntwice\n";

/// What `.ci/known-red` prints for such a list, or its one line of complaint.
fn known_red(list: &str) -> Result<String, String> {
    let name = list
        .bytes()
        .fold(7u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
    let file = std::env::temp_dir().join(format!("known-red-{}-{name}", std::process::id()));
    std::fs::write(&file, list).expect("a file");
    let mut script = Command::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red"))
        .arg(&file)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the script");
    let mut stdin = script.stdin.take().expect("piped");
    stdin.write_all(TESTS.as_bytes()).expect("it reads");
    drop(stdin);
    let out = script.wait_with_output().expect("it ends");
    std::fs::remove_file(&file).expect("ours");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    if out.status.success() {
        Ok(text(out.stdout))
    } else {
        Err(text(out.stderr))
    }
}

#[test]
fn a_good_list_gives_its_names() {
    assert_eq!(known_red(""), Ok(String::new()));
    let list = "fails_now: late by a lease (issue 33)\none::passes: not known (issue 4)\n";
    assert_eq!(known_red(list), Ok("fails_now\none::passes\n".into()));
    // The last line need not end.
    assert_eq!(
        known_red("fails_now: a cause (issue 1)"),
        Ok("fails_now\n".into())
    );
}

#[test]
fn a_bad_list_is_refused_in_one_line() {
    let line = "fails_now: a cause (issue 1)\n";
    for (list, why) in [
        (line.repeat(4), "found 4 lines"),
        ("fails_now\n".into(), "found \"fails_now\""),
        ("fails_now: (issue 1)\n".into(), "allowed is"),
        ("fails_now: a cause\n".into(), "allowed is"),
        ("fails: a cause (issue 1)\n".into(), "names 0 tests"),
        ("twice: a cause (issue 1)\n".into(), "names 2 tests"),
        ("\n".into(), "found \"\""),
    ] {
        let refused = known_red(&list).expect_err(&list);
        assert!(refused.contains(why), "{list}: {refused}");
        assert_eq!(refused.lines().count(), 1, "{refused}");
    }
}
