//! The cases. Each returns 1 if the rule was broken, 0 if it held, and 2 if it could not run.

use std::sync::Arc;

use serde_json::{Value, json};

use crate::cluster::{Cluster, job, lichtval, portasul};
use crate::record::Record;

pub const HELD: u8 = 0;
pub const BROKEN: u8 = 1;
pub const NOT_RUN: u8 = 2;

/// How many tasks of a job are done on the machines.
fn tasks_done(c: &Cluster, uid: &str) -> usize {
    let prefix = format!("{uid}/");
    c.site
        .lock()
        .results
        .iter()
        .filter(|shard| shard.starts_with(&prefix))
        .count()
}

/// Three large arrays run, each in a zone of its own, and the state service is down for 15 s. After
/// that, a small array is submitted and watched.
pub fn large_arrays(record: Arc<Record>, trouble: bool) -> u8 {
    const OUTAGE_S: f64 = 15.0;
    const PATIENCE_S: f64 = 60.0;
    let c = Cluster::start(portasul(), &[(0, 9), (1, 1)], record.clone());
    if !c.wait_ready(20.0) {
        record.say("the site was not ready");
        return NOT_RUN;
    }
    // Every machine gets the image first, so that its registry entry is written before the trouble.
    let warm_up = job(
        20,
        "conciliadiaria",
        "operporta",
        "sweep",
        "normal",
        82,
        1.0,
        6.0,
    );
    if c.submit(&warm_up, 2.0) != 201 {
        return NOT_RUN;
    }
    c.wait(16.0);
    // (number, zone, tasks, seconds that a task runs)
    let arrays = [
        (1, "curitiba", 100_000, 3.0),
        (2, "portoalegre", 62_000, 6.0),
        (3, "floripa", 100_000, 6.0),
    ];
    for (number, zone, shards, run_s) in arrays {
        let mut array = job(
            number,
            "conciliadiaria",
            "operporta",
            "sweep",
            "normal",
            shards,
            1.0,
            6.0,
        );
        array["region"] = json!(zone);
        array["flavors"] = json!(["nopequeno"]);
        let status = c.submit_varied(&array, run_s, Some((24, 600.0)));
        record.say(&format!(
            "array {number} of {shards} tasks in {zone}: {status}"
        ));
        if status != 201 {
            return NOT_RUN;
        }
    }
    let started = |n: u64| c.starts(&format!("wk-{n:06}"));
    let until = record.now() + 15.0;
    while (1..=3).any(|n| started(n) == 0) {
        if record.now() > until {
            record.say("the arrays were not started");
            return NOT_RUN;
        }
        c.wait(0.1);
    }
    if trouble {
        record.say("the state service is down");
        c.state.set_out(true);
    }
    c.wait(OUTAGE_S);
    c.state.set_out(false);
    record.say("the state service is up");
    c.wait(5.0);
    let code = watch_end_of_small_array(&c, "operporta", "conciliadiaria", PATIENCE_S);
    let counts: Vec<usize> = (1..=3)
        .map(|n| tasks_done(&c, &format!("wk-{n:06}")))
        .collect();
    record.say(&format!("tasks of the large arrays done: {counts:?}"));
    code
}

/// Submits an array of 4 tasks and waits until they are done on their machines. Returns 1 if the
/// array is not called done within `patience_s` after that.
fn watch_end_of_small_array(c: &Cluster, team: &str, class: &str, patience_s: f64) -> u8 {
    const UID: &str = "wk-000900";
    let record = &c.record;
    let small = job(900, class, team, "sweep", "urgent", 4, 1.0, 3.1);
    let status = c.submit(&small, 2.0);
    record.say(&format!("the small array of 4 tasks: {status}"));
    if status != 201 {
        return NOT_RUN;
    }
    let until = record.now() + 20.0;
    while tasks_done(c, UID) < 4 {
        if record.now() > until {
            record.say("the tasks of the small array did not complete");
            return NOT_RUN;
        }
        c.wait(0.1);
    }
    let completed = record.now();
    record.say("all 4 tasks of the small array are done on their machines");
    let mut phase = Value::Null;
    while record.now() - completed < patience_s {
        c.wait(2.0);
        if let Some(state) = c.poll(UID) {
            phase = state["phase"].clone();
            if phase == "done" {
                record.say(&format!(
                    "it is called done {:.1} s after",
                    record.now() - completed
                ));
                return HELD;
            }
        }
    }
    record.say(&format!(
        "still called {phase} {patience_s} s after its last task; leader host-{:?}",
        c.leader()
    ));
    BROKEN
}

/// Watches a job of which no task may be left waiting for 90 s while `machine` has room for one.
/// Returns 1 if that happens, and 0 once a task of the job has started.
fn watch_waiting(
    c: &Cluster,
    uid: &str,
    needs: (f64, f64, f64),
    machines: &[&str],
    until: f64,
) -> u8 {
    const LONGEST_WAIT_S: f64 = 90.0;
    let record = &c.record;
    let mut room_since = None;
    while record.now() < until {
        c.wait(0.25);
        let now = record.now();
        if c.starts(uid) > 0 {
            record.say(&format!(
                "a task of {uid} is on a machine, {:.1} s after there was room",
                room_since.map_or(0.0, |at| now - at)
            ));
            return HELD;
        }
        let has_room = machines.iter().any(|machine| {
            let free = c.site.room(machine);
            free.0 >= needs.0 && free.1 >= needs.1 && free.2 >= needs.2
        });
        room_since = if has_room {
            room_since.or(Some(now))
        } else {
            None
        };
        if (now as u64).is_multiple_of(10) && now.fract() < 0.25 {
            let state = c.poll(uid);
            record.write(
                "case",
                &format!("{uid} is {state:?}, room since {room_since:?}"),
            );
        }
        if room_since.is_some_and(|at| now - at > LONGEST_WAIT_S) {
            let state = c.poll(uid);
            record.say(&format!(
                "{uid} has waited for {LONGEST_WAIT_S} s beside room on {machines:?}: {state:?}"
            ));
            return BROKEN;
        }
    }
    record.say("the time was up before the wait could be judged");
    NOT_RUN
}

/// Three light bakes come four times as often as usual, and end. After them an array of the same rank
/// waits beside the idle machine.
pub fn idle_machine(record: Arc<Record>, trouble: bool) -> u8 {
    let c = Cluster::start(lichtval(), &[(2, 1)], record.clone());
    if !c.wait_ready(20.0) {
        record.say("the site was not ready");
        return NOT_RUN;
    }
    // Four times 2.3 a minute is one every 6.5 s.
    const INTERVAL_S: f64 = 6.6;
    let bakes = if trouble { 3 } else { 1 };
    for number in 1..=bakes {
        let mut bake = job(
            number,
            "lichtbak",
            "beeldteam",
            "group",
            "normal",
            1,
            10.0,
            38.0,
        );
        bake["gpus"] = json!(2.0);
        bake["one_zone"] = json!(true);
        bake["preemptibles"] = json!(false);
        bake["runtime_s"] = json!(3.0);
        if number > 1 {
            c.wait(INTERVAL_S);
        }
        if c.submit(&bake, 2.0) != 201 {
            return NOT_RUN;
        }
    }
    let until = record.now() + 15.0;
    while (1..=bakes).any(|n| tasks_done(&c, &format!("wk-{n:06}")) == 0) {
        if record.now() > until {
            record.say("the light bakes did not end");
            return NOT_RUN;
        }
        c.wait(0.1);
    }
    record.say("the light bakes are done, the machine is idle");
    c.wait(3.0);
    let frames = job(
        10,
        "nachtframes",
        "beeldteam",
        "sweep",
        "normal",
        4,
        3.0,
        9.3,
    );
    if c.submit(&frames, 4.0) != 201 {
        return NOT_RUN;
    }
    watch_waiting(&c, "wk-000010", (3.0, 0.0, 9.3), &["vm-000001"], 116.0)
}

/// A user asks to cancel a service. Without a body, the request has no `Content-Length` either.
pub fn bare_withdraw(record: Arc<Record>, trouble: bool) -> u8 {
    let c = Cluster::start(lichtval(), &[(0, 2)], record.clone());
    if !c.wait_ready(20.0) {
        record.say("the site was not ready");
        return NOT_RUN;
    }
    let preview = job(
        1,
        "voorbeeld",
        "beeldteam",
        "service",
        "production",
        1,
        2.0,
        3.8,
    );
    if c.submit(&preview, 0.0) != 201 {
        return NOT_RUN;
    }
    c.wait(3.0);
    let length = if trouble { "" } else { "Content-Length: 0\r\n" };
    let request = format!(
        "POST /work/wk-000001/withdraw HTTP/1.1\r\nHost: node\r\nAccept: */*\r\n{length}Connection: close\r\n\r\n"
    );
    let patience_s = c.site.settings.cancel_s + 8.0;
    let began = record.now();
    let (mut attempts, mut last) = (0, None);
    while record.now() - began < patience_s {
        last = c.ask_raw(attempts % 3, &request, 5.0);
        attempts += 1;
        match &last {
            Some((200, state)) => {
                record.say(&format!("answered after {attempts} attempts: {state}"));
                return if state["phase"] == "withdrawn" {
                    HELD
                } else {
                    BROKEN
                };
            }
            Some(_) => {}
            None => {
                record.say("a node did not answer");
                return NOT_RUN;
            }
        }
        c.wait(1.5);
    }
    let state = c.poll("wk-000001");
    record.say(&format!(
        "{attempts} attempts in {patience_s} s, the last answered {last:?}; the job is {state:?}"
    ));
    BROKEN
}

/// Eight arrays run on all 16 machines, each with an image of its own. The names of the images hold
/// the codes of a terminal for bold, underlined and green. After them, a small array is submitted and watched.
pub fn coloured_images(record: Arc<Record>, trouble: bool) -> u8 {
    const ARRAYS: u64 = 8;
    const PATIENCE_S: f64 = 45.0;
    let c = Cluster::start(lichtval(), &[(0, 16)], record.clone());
    if !c.wait_ready(20.0) {
        record.say("the site was not ready");
        return NOT_RUN;
    }
    for number in 1..=ARRAYS {
        let mut array = job(
            number,
            "nachtframes",
            "beeldteam",
            "sweep",
            "normal",
            64,
            1.0,
            3.1,
        );
        let name = format!("img-{number:02}");
        let coloured = format!("\u{1b}[1m\u{1b}[4m\u{1b}[32m{name}\u{1b}[39m\u{1b}[24m\u{1b}[0m");
        array["bundle"] = json!(if trouble { coloured } else { name });
        array["pull_gb"] = json!(0.1);
        let status = c.submit(&array, 1.0);
        if status != 201 {
            record.say(&format!("array {number}: {status}"));
            return NOT_RUN;
        }
        let uid = format!("wk-{number:06}");
        let until = record.now() + 12.0;
        while tasks_done(&c, &uid) < 64 {
            if record.now() > until {
                record.say(&format!("array {number} was not run"));
                return NOT_RUN;
            }
            c.wait(0.1);
        }
    }
    record.say("all arrays are done on their machines");
    // The registry entries of the machines are written some seconds after a change of their images.
    c.wait(12.0);
    watch_end_of_small_array(&c, "beeldteam", "nachtframes", PATIENCE_S)
}

/// A case, given its record and whether there is the disruption.
pub type Case = fn(Arc<Record>, bool) -> u8;

/// The cases by name.
pub const ALL: [(&str, Case); 4] = [
    ("large-arrays", large_arrays),
    ("bare-withdraw", bare_withdraw),
    ("coloured-images", coloured_images),
    ("idle-machine", idle_machine),
];
