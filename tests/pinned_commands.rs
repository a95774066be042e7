//! The requests and the output of the operators' commands must match those of an earlier build,
//! recorded under `tests/pinned/commands`. The recording is never regenerated: a difference is a
//! change of the command line interface.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

fn pinned(file: &str) -> String {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/pinned/commands");
    let path = PathBuf::from(dir).join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Accepts the next connection. Panics if the command does not connect in time.
fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).expect("allowed");
    let begin = Instant::now();
    loop {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).expect("allowed");
            return stream;
        }
        assert!(
            begin.elapsed() < REQUEST_TIMEOUT,
            "the command sends no request"
        );
        sleep(Duration::from_millis(5));
    }
}

/// Reads one request and answers it. Returns its request line, its authorization header and
/// its body.
fn answer(listener: &TcpListener, answer: &Value) -> String {
    let mut stream = accept(listener);
    let mut bytes = Vec::new();
    let (head, length) = loop {
        let mut buffer = [0; 4096];
        let read = stream.read(&mut buffer).expect("readable");
        bytes.extend_from_slice(&buffer[..read]);
        let text = String::from_utf8(bytes.clone()).expect("text");
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            assert!(read > 0, "incomplete request head: {text}");
            continue;
        };
        let content_length = |line: &str| {
            line.to_lowercase()
                .strip_prefix("content-length: ")?
                .parse()
                .ok()
        };
        let length: usize = head.lines().find_map(content_length).unwrap_or(0);
        if body.len() >= length {
            break (head.to_string(), length);
        }
        assert!(read > 0, "incomplete request body: {text}");
    };
    let body = String::from_utf8(bytes[bytes.len() - length..].to_vec()).expect("text");
    let is_authorization = |l: &&str| l.to_lowercase().starts_with("authorization: ");
    let authorization = head
        .lines()
        .find(is_authorization)
        .unwrap_or_default()
        .to_lowercase();
    let request_line = head.lines().next().unwrap_or_default();
    let status = &answer["status"];
    let text = match answer["file"].as_str() {
        Some(file) => pinned(file),
        None => json!({"error": answer["error"]}).to_string(),
    };
    let length = text.len();
    write!(
        stream,
        "HTTP/1.1 {status} x\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{text}"
    )
    .expect("writable");
    format!("{request_line} [{authorization}] {body}")
}

fn run_case(case: &Value) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let arguments = case["run"].as_array().expect("a list").iter();
    let arguments: Vec<&str> = arguments.filter_map(Value::as_str).collect();
    let child = Command::new(env!("CARGO_BIN_EXE_copperfield"))
        .args(&arguments)
        .args(["--address", &address])
        .env("COPPERFIELD_KEY", "sixteen-or-more-characters")
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let answers = case["answers"].as_array().expect("a list");
    let requests: Vec<String> = answers.iter().map(|a| answer(&listener, a)).collect();
    let out = child.wait_with_output().expect("the program ends");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    let text = format!(
        "$ {}\n{}\ncode {}\n{}---\n{}===\n",
        arguments.join(" "),
        requests.join("\n"),
        out.status.code().unwrap_or(-1),
        text(out.stdout),
        text(out.stderr)
    );
    text.replace(&address, "ADDRESS")
}

#[test]
fn commands_send_and_print_what_is_recorded() {
    let runs: Vec<Value> = serde_json::from_str(&pinned("runs.json")).expect("JSON");
    let actual: String = runs.iter().map(run_case).collect();
    let expected = pinned("said.txt");
    for (expected, actual) in expected.split("===\n").zip(actual.split("===\n")) {
        assert_eq!(expected, actual);
    }
    assert_eq!(expected, actual);
}
