//! What the operators' commands ask and print, as an earlier build did, kept under
//! `tests/pinned/commands`. It is never made anew: a difference is a change of the command line.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

const PATIENCE: Duration = Duration::from_secs(20);

fn pinned(file: &str) -> String {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/pinned/commands");
    let path = PathBuf::from(dir).join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// The next connection; a command that asks nothing is not waited for.
fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).expect("allowed");
    let begin = Instant::now();
    loop {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).expect("allowed");
            return stream;
        }
        assert!(begin.elapsed() < PATIENCE, "the command asks nothing");
        sleep(Duration::from_millis(5));
    }
}

/// Reads one request and answers it; returns its first line, its key and its body.
fn answer(listener: &TcpListener, answer: &Value) -> String {
    let mut stream = accept(listener);
    let mut bytes = Vec::new();
    let (head, length) = loop {
        let mut some = [0; 4096];
        let read = stream.read(&mut some).expect("readable");
        bytes.extend_from_slice(&some[..read]);
        let text = String::from_utf8(bytes.clone()).expect("text");
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            assert!(read > 0, "half a head: {text}");
            continue;
        };
        let named = |line: &str| {
            line.to_lowercase()
                .strip_prefix("content-length: ")?
                .parse()
                .ok()
        };
        let length: usize = head.lines().find_map(named).unwrap_or(0);
        if body.len() >= length {
            break (head.to_string(), length);
        }
        assert!(read > 0, "half a body: {text}");
    };
    let body = String::from_utf8(bytes[bytes.len() - length..].to_vec()).expect("text");
    let key = |l: &&str| l.to_lowercase().starts_with("authorization: ");
    let key = head.lines().find(key).unwrap_or_default().to_lowercase();
    let first = head.lines().next().unwrap_or_default();
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
    format!("{first} [{key}] {body}")
}

fn play(case: &Value) -> String {
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
        .expect("the program");
    let answers = case["answers"].as_array().expect("a list");
    let asked: Vec<String> = answers.iter().map(|a| answer(&listener, a)).collect();
    let out = child.wait_with_output().expect("it ends");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    let text = format!(
        "$ {}\n{}\ncode {}\n{}---\n{}===\n",
        arguments.join(" "),
        asked.join("\n"),
        out.status.code().unwrap_or(-1),
        text(out.stdout),
        text(out.stderr)
    );
    text.replace(&address, "ADDRESS")
}

#[test]
fn commands_ask_and_print_as_before() {
    let runs: Vec<Value> = serde_json::from_str(&pinned("runs.json")).expect("JSON");
    let made: String = runs.iter().map(play).collect();
    let kept = pinned("said.txt");
    for (kept, made) in kept.split("===\n").zip(made.split("===\n")) {
        assert_eq!(kept, made);
    }
    assert_eq!(kept, made);
}
