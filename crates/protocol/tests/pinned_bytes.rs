//! Tests that this build reads and writes the same bytes as an earlier build, whose messages are
//! kept in `tests/pinned`. The files are never regenerated, because a difference is a change of the
//! wire format.

use std::path::PathBuf;

use borsh::{BorshDeserialize, BorshSerialize};
use copperfield_protocol::JobId;
use copperfield_protocol::cloud;
use copperfield_protocol::job::{InvalidField, JobOutcome, JobSpec, Phase};
use copperfield_protocol::peer::{
    AdminRequest, CommandOutcome, FencedMessage, FencedShardUpdate, ForwardedHeartbeat, Lookup,
    PeerReply, PeerRequest, RelayedCommand, ShardStatus, ShardUpdate,
};
use copperfield_protocol::state;
use copperfield_protocol::worker::{
    Command, Exit, Heartbeat, TaskPhase, TaskStatus, Verb, commands_body,
};
use copperfield_sharding::{OwnerStatus, ReleasedWorker, ShardChange, ShardLease};
use serde_json::Value;

fn pinned(file: &str) -> String {
    let path = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/pinned")).join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |i: usize| u8::from_str_radix(&text[2 * i..2 * i + 2], 16);
    let bytes = (0..text.len() / 2).map(digits);
    bytes.collect::<Result<_, _>>().expect("hexadecimal")
}

/// Returns the lines of a file without its comments.
fn lines(file: &str) -> Vec<String> {
    let text = pinned(file);
    let lines = text.lines().filter(|l| !l.starts_with('#'));
    lines.map(str::to_string).collect()
}

fn assert_lines(file: &str, written: &[String]) {
    let expected = lines(file);
    for (ix, (expected, written)) in expected.iter().zip(written).enumerate() {
        assert_eq!(expected, written, "{file}, line {}", ix + 1);
    }
    assert_eq!(expected.len(), written.len(), "{file}: number of lines");
}

/// Asserts that each value encodes to its line and that each line decodes and encodes to itself.
/// For an enum with `variants` variants, also asserts that the file contains each variant and that
/// a higher variant is rejected.
fn assert_encoding<T: BorshSerialize + BorshDeserialize>(file: &str, variants: u8, values: &[T]) {
    let written: Vec<String> = values
        .iter()
        .map(|v| to_hex(&borsh::to_vec(v).expect("plain data")))
        .collect();
    assert_lines(file, &written);
    for line in lines(file) {
        let decoded: T = borsh::from_slice(&from_hex(&line)).expect(&line);
        let encoded = borsh::to_vec(&decoded).expect("plain data");
        assert_eq!(to_hex(&encoded), line, "{file}");
    }
    if variants > 0 {
        let first_bytes: Vec<String> = lines(file).iter().map(|l| l[..2].to_string()).collect();
        for variant in 0..variants {
            let byte = to_hex(&[variant]);
            assert!(first_bytes.contains(&byte), "{file} has no variant {byte}");
        }
        let mut unknown_variant = vec![0u8; 256];
        unknown_variant[0] = variants;
        let mut rest = unknown_variant.as_slice();
        assert!(
            T::deserialize(&mut rest).is_err(),
            "{file}: a variant too many is decoded"
        );
    }
}

fn job(number: u64) -> JobId {
    JobId(number)
}

fn all_exits() -> Vec<Exit> {
    vec![
        Exit::Done,
        Exit::Stopped { saved: true },
        Exit::Stopped { saved: false },
        Exit::PeersGone,
        Exit::GangTimeout,
        Exit::Error,
        Exit::NoRoom,
        Exit::Busy,
        Exit::Unknown,
    ]
}

fn task_phases() -> Vec<TaskPhase> {
    let mut all = vec![
        TaskPhase::Fetching,
        TaskPhase::Waiting,
        TaskPhase::Running,
        TaskPhase::Saving,
    ];
    all.extend(all_exits().into_iter().map(TaskPhase::Exited));
    all
}

fn heartbeat() -> Heartbeat {
    let tasks = task_phases().into_iter().enumerate();
    Heartbeat {
        worker: "vm-1".into(),
        address: "10.0.1.2:7000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        incarnation: 0x0102_0304_0506_0708,
        counter: 9,
        token: 10,
        notice_s: Some(11.5),
        tasks: tasks
            .map(|(ix, phase)| TaskStatus {
                job: job(412),
                task: ix as u32,
                attempt: 1000 + ix as u64,
                phase,
            })
            .collect(),
    }
}

fn heartbeat_without_tasks() -> Heartbeat {
    Heartbeat {
        worker: "vm-2".into(),
        spot: false,
        notice_s: None,
        tasks: Vec::new(),
        ..heartbeat()
    }
}

fn verbs() -> Vec<Verb> {
    vec![Verb::Start, Verb::Stop { grace_s: 4.25 }, Verb::Forget]
}

fn commands() -> Vec<Command> {
    let verbs = verbs().into_iter().enumerate();
    verbs
        .map(|(ix, verb)| Command {
            verb,
            job: job(413),
            task: 20 + ix as u32,
            attempt: 30 + ix as u64,
        })
        .collect()
}

fn released_workers() -> Vec<ReleasedWorker> {
    vec![
        ReleasedWorker {
            worker: 5,
            version: 6,
            last_answer_age_ms: Some(7),
        },
        ReleasedWorker {
            worker: 8,
            version: 9,
            last_answer_age_ms: None,
        },
    ]
}

fn owner_status() -> OwnerStatus {
    OwnerStatus {
        process: 1,
        number: 2,
        token: 3,
        applied_version: 4,
        released: released_workers(),
    }
}

fn shard_changes() -> Vec<ShardChange> {
    vec![
        ShardChange::Assign(1),
        ShardChange::Release(2, Some(3)),
        ShardChange::Release(4, None),
    ]
}

fn shard_lease() -> ShardLease {
    ShardLease {
        process: 1,
        status_number: 2,
        token: 3,
        base_version: 4,
        duration_ms: 5,
        changes: shard_changes()
            .into_iter()
            .zip(6..)
            .map(|(c, n)| (n, c))
            .collect(),
    }
}

fn command_outcomes() -> Vec<CommandOutcome> {
    vec![
        CommandOutcome::Unsent,
        CommandOutcome::Executed(heartbeat()),
        CommandOutcome::Rejected(Some(heartbeat_without_tasks())),
        CommandOutcome::Rejected(None),
        CommandOutcome::Unknown,
    ]
}

fn forwarded_heartbeats() -> Vec<ForwardedHeartbeat> {
    vec![
        ForwardedHeartbeat {
            heartbeat: heartbeat(),
            age_ms: 12,
            awaits_reply: true,
        },
        ForwardedHeartbeat {
            heartbeat: heartbeat_without_tasks(),
            age_ms: 13,
            awaits_reply: false,
        },
    ]
}

fn shard_status() -> ShardStatus {
    ShardStatus {
        from: 2,
        owner_status: owner_status(),
        forwarded: forwarded_heartbeats(),
        outcomes: command_outcomes()
            .into_iter()
            .zip(40..)
            .map(|(o, n)| (n, o))
            .collect(),
        complete: true,
    }
}

fn shard_update() -> ShardUpdate {
    ShardUpdate {
        shard_lease: shard_lease(),
        names: vec![(1, "vm-1".into()), (2, "vm-2".into())],
        redirects: vec![("vm-3".into(), 4)],
    }
}

fn relayed_commands() -> Vec<RelayedCommand> {
    vec![
        RelayedCommand {
            message_id: 50,
            address: "10.0.1.2:7000".into(),
            incarnation: 51,
            commands: commands(),
        },
        RelayedCommand {
            message_id: 52,
            address: "10.0.1.3:7000".into(),
            incarnation: 53,
            commands: Vec::new(),
        },
    ]
}

fn admin_requests() -> Vec<AdminRequest> {
    vec![
        AdminRequest::Nodes {
            since: "vm-1".into(),
        },
        AdminRequest::Moves,
        AdminRequest::Drain {
            node: "vm-2".into(),
            deadline_s: Some(600.0),
            yes: true,
        },
        AdminRequest::Drain {
            node: "vm-3".into(),
            deadline_s: None,
            yes: false,
        },
        AdminRequest::Undrain {
            node: "vm-4".into(),
        },
    ]
}

fn job_phases() -> Vec<Phase> {
    vec![
        Phase::Pending,
        Phase::Running,
        Phase::Done,
        Phase::Cancelled,
    ]
}

fn job_outcomes() -> Vec<JobOutcome> {
    let phases = job_phases().into_iter().zip(60..);
    phases
        .map(|(phase, done)| JobOutcome { phase, done })
        .collect()
}

fn lookups() -> Vec<Lookup> {
    let mut all: Vec<Lookup> = job_outcomes().into_iter().map(Lookup::Terminal).collect();
    all.push(Lookup::Live {
        phase: Phase::Running,
        done: 70,
        running: 71,
    });
    all.extend([Lookup::NotInMemory, Lookup::NotFound, Lookup::NotLeader]);
    all
}

fn fenced(message: RelayedCommand) -> FencedMessage {
    FencedMessage { token: 78, message }
}

fn requests() -> Vec<PeerRequest> {
    let mut all = vec![
        PeerRequest::LookUpJobs(vec![job(1), job(999_999_999)]),
        PeerRequest::CancelJob(job(2)),
        PeerRequest::State {
            method: "POST".into(),
            path: "/x".into(),
            body: vec![1, 2, 255],
        },
        PeerRequest::VoteToExtendLease { token: 80 },
        PeerRequest::Ping,
    ];
    all.extend(admin_requests().into_iter().map(PeerRequest::Admin));
    all.extend([
        PeerRequest::ConfirmNoLeader,
        PeerRequest::ShardStatus(shard_status()),
        PeerRequest::RelayCommands {
            token: 81,
            messages: relayed_commands(),
        },
        PeerRequest::LeaderAnnouncement {
            member: "m-2".into(),
        },
        PeerRequest::TransferLeadership { token: 82 },
        PeerRequest::RelayFencedCommands {
            token: 77,
            messages: relayed_commands().into_iter().map(fenced).collect(),
        },
    ]);
    all
}

fn replies() -> Vec<PeerReply> {
    let mut all: Vec<PeerReply> = lookups().into_iter().map(PeerReply::Cancelled).collect();
    all.extend([
        PeerReply::Lookups(lookups()),
        PeerReply::State {
            status: 409,
            body: vec![3, 4, 254],
        },
        PeerReply::Pong,
        PeerReply::VoteGranted,
        PeerReply::Unavailable,
        PeerReply::AdminResponse {
            status: 404,
            body: vec![5, 6],
        },
        PeerReply::NotLeading { up_ms: 90 },
        PeerReply::ShardUpdate(shard_update()),
        PeerReply::Relaying,
        PeerReply::ReadyForTransfer,
        PeerReply::FencedShardUpdate(FencedShardUpdate {
            update: shard_update(),
            newest_token: 79,
        }),
    ]);
    all
}

#[test]
fn peer_message_encoding_is_unchanged() {
    assert_encoding("peer/01.hex", 12, &requests());
    assert_encoding("peer/02.hex", 12, &replies());
    assert_encoding("peer/03.hex", 5, &lookups());
    assert_encoding("peer/04.hex", 4, &command_outcomes());
    assert_encoding("peer/05.hex", 4, &admin_requests());
    assert_encoding("peer/06.hex", 3, &verbs());
    assert_encoding("peer/07.hex", 5, &task_phases());
    assert_encoding("peer/08.hex", 8, &all_exits());
    assert_encoding("peer/09.hex", 4, &job_phases());
    assert_encoding("peer/10.hex", 0, &job_outcomes());
    assert_encoding("peer/11.hex", 0, &[heartbeat(), heartbeat_without_tasks()]);
    assert_encoding("peer/12.hex", 0, &commands());
    assert_encoding("peer/13.hex", 0, &relayed_commands());
    assert_encoding("peer/14.hex", 0, &forwarded_heartbeats());
    assert_encoding("peer/15.hex", 0, &[shard_status()]);
    assert_encoding("peer/16.hex", 0, &[shard_update()]);
    assert_encoding("peer/17.hex", 0, &[owner_status()]);
    assert_encoding("peer/18.hex", 0, &released_workers());
    assert_encoding("peer/19.hex", 0, &[shard_lease()]);
    assert_encoding("peer/20.hex", 2, &shard_changes());
    assert_encoding("peer/21.hex", 0, &[job(0), job(412), job(u64::MAX)]);
}

/// Asserts that `read` returns the expected text or error for each body in the file.
fn assert_bodies(file: &str, read: impl Fn(&Value) -> Result<String, String>) {
    let cases: Vec<Value> = serde_json::from_str(&pinned(file)).expect(file);
    assert!(!cases.is_empty(), "{file}");
    for case in cases {
        let result = match read(&case["in"]) {
            Ok(text) => (Some(text), None),
            Err(text) => (None, Some(text)),
        };
        let expected = |name: &str| case[name].as_str().map(str::to_string);
        assert_eq!(
            result,
            (expected("out"), expected("refused")),
            "{file}: {case}"
        );
    }
}

/// Tests the parsing of submissions and the stored form of jobs.
#[test]
fn job_format_is_unchanged() {
    let written = |spec: JobSpec| spec.to_json().to_string();
    let text = |error: InvalidField| error.to_string();
    assert_bodies("jobs/submitted.json", |body| {
        JobSpec::submitted(body).map(written).map_err(text)
    });
    assert_bodies("jobs/stored.json", |body| {
        JobSpec::from_json(body).map(written).map_err(text)
    });
    let phases: Vec<String> = job_phases()
        .into_iter()
        .map(|p| format!("{} {}", p.as_str(), p.is_terminal()))
        .collect();
    assert_lines("jobs/phases.txt", &phases);
    let ids = [0, 7, 412, 999_999, 1_000_000, 1_234_567_890].map(|n| job(n).to_string());
    assert_lines("jobs/ids.txt", &ids);
    for id in lines("jobs/ids.txt") {
        assert_eq!(JobId::parse(&id).map(|j| j.to_string()), Some(id));
    }
}

/// Tests the parsing of heartbeats, compared in the encoding in which controllers forward them.
#[test]
fn heartbeat_parsing_is_unchanged() {
    assert_bodies("workers/reports.json", |body| {
        let heartbeat = Heartbeat::parse(body.to_string().as_bytes()).map_err(|e| e.to_string())?;
        Ok(to_hex(&borsh::to_vec(&heartbeat).expect("plain data")))
    });
}

#[test]
fn worker_command_format_is_unchanged() {
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    let written = [
        text(commands_body(7, None, &commands())),
        text(commands_body(7, Some(8), &commands())),
        text(commands_body(0, None, &[])),
        text(commands_body(u64::MAX, Some(0), &[])),
    ];
    assert_lines("workers/orders.txt", &written);
}

#[test]
fn cloud_response_parsing_is_unchanged() {
    let types = cloud::parse_machine_types(pinned("cloud/types.json").as_bytes()).expect("types");
    let written: Vec<String> = types
        .iter()
        .map(|t| {
            format!(
                "{} {} {} {} {} {} {} {} {} {}",
                t.name,
                t.capacity.cpus,
                t.capacity.gpus,
                t.capacity.memory,
                t.cache_gb,
                t.fetch_gb_per_s,
                t.price,
                t.spot_price,
                t.boot_s,
                t.zones.join(",")
            )
        })
        .collect();
    assert_lines("cloud/types.txt", &written);

    let page = cloud::parse_worker_page(pinned("cloud/list.json").as_bytes()).expect("list");
    let mut written: Vec<String> = page
        .workers
        .iter()
        .map(|l| {
            format!(
                "{} {} {} {} {} {} {}",
                l.name, l.address, l.machine_type, l.zone, l.spot, l.phase, l.age_s
            )
        })
        .collect();
    written.push(page.more.to_string());
    let page = cloud::parse_worker_page(pinned("cloud/list_short.json").as_bytes()).expect("list");
    written.push(format!("{} {}", page.workers.len(), page.more));
    assert_lines("cloud/list.txt", &written);

    let provided = cloud::parse_scale_out(pinned("cloud/rented.json").as_bytes()).expect("names");
    assert_lines("cloud/rented.txt", &provided);
}

#[test]
fn cloud_request_format_is_unchanged() {
    let names = ["vm-1".to_string(), "vm-2".to_string()];
    let written = [
        cloud::scale_out_body("r-1", "g8", "a", true, 3).to_string(),
        cloud::scale_out_body("r-2", "small", "b", false, 1).to_string(),
        cloud::scale_in_body(&names).to_string(),
        cloud::scale_in_body(&[]).to_string(),
    ];
    assert_lines("cloud/requests.txt", &written);
}

#[test]
fn transaction_format_is_unchanged() {
    let value: Value = serde_json::from_str(&pinned("state/value.json")).expect("a value");
    let put = |key: &str, lease| state::Change::Put {
        key: key.into(),
        value: value.clone(),
        lease,
    };
    let full = state::Transaction {
        conditions: vec![
            state::Condition::absent("x/1"),
            state::Condition::at_version("x/2", u64::MAX),
        ],
        changes: vec![
            put("x/3", None),
            put("x/4", Some(5)),
            state::Change::Delete { key: "x/6".into() },
        ],
    };
    let text = |t: &state::Transaction| String::from_utf8(t.body()).expect("text");
    let written = [text(&full), text(&state::Transaction::default())];
    assert_lines("state/transactions.txt", &written);
}

#[test]
fn state_service_response_parsing_is_unchanged() {
    fn read<T: serde::de::DeserializeOwned>(file: &str) -> T {
        serde_json::from_str(&pinned(file)).expect(file)
    }
    let item = |i: &state::Item| format!("{} {} {}", i.key, i.value, i.version);
    let mut written: Vec<String> = Vec::new();
    written.push(item(&read("state/item.json")));
    for file in ["state/page.json", "state/page_short.json"] {
        let page: state::Page = read(file);
        written.extend(page.items.iter().map(item));
        written.push(format!("{} {}", page.more, page.revision));
    }
    let changes: state::Changes = read("state/changes.json");
    for event in &changes.events {
        let key = event.put.as_deref().unwrap_or("-");
        written.push(format!("{key} {} {}", event.value, event.version));
    }
    written.push(changes.revision.to_string());
    written.push(
        read::<state::Revision>("state/committed.json")
            .revision
            .to_string(),
    );
    written.push(
        read::<state::Conflict>("state/conflict.json")
            .failed
            .join(" "),
    );
    written.push(
        read::<state::NewLease>("state/granted.json")
            .lease
            .to_string(),
    );
    assert_lines("state/read.txt", &written);
}
