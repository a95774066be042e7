//! Two or three troubles that meet, drawn at random: which, how long, and how far apart. Every
//! rule holds on each of these small days, and after them every job ends.
//!
//! `MEETINGS=5000 cargo test --release --test meetings drawn` searches further;
//! `MEETING=1234` plays one day again.

mod world;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use world::*;

/// When the first trouble begins, and by when all are over at the latest.
const FIRST_S: f64 = 6.0;
const OVER_S: f64 = 40.0;
/// Machines that have lost their leases start over, and gangs gather anew.
const AFTER_S: f64 = 60.0;
const ROUNDS_A_DAY: u32 = 2;
const DAYS: u64 = 100;

fn trouble(rng: &mut StdRng) -> Fault {
    let machine = rng.random_range(1..=6);
    let node = rng.random_range(0..NODES);
    let s = rng.random_range(0.3..20.0);
    let share = rng.random_range(0.1..0.6);
    match rng.random_range(0..18) {
        0 => Fault::RestartLeaders(rng.random_range(1..4), rng.random_range(0.05..3.0)),
        1 => Fault::RestartAll(rng.random_range(0.05..3.0)),
        2 => Fault::KillFollower(rng.random_range(0..2)),
        3 | 4 => Fault::RefuseLeader(s),
        5 => Fault::CutLeader(s),
        6 => Fault::CutLeaderOff(s),
        7 => Fault::PartLeader(s),
        8 | 9 => Fault::Outage(s),
        10 => Fault::LateWrites(share, s),
        11 => Fault::LateReports(share, s),
        12 => Fault::Deafen(machine, s),
        13 => Fault::CutMachine(machine, s),
        14 => Fault::Hang(machine, s),
        15 => Fault::Freeze(node, rng.random_range(0.3..6.0)),
        16 => Fault::Scatter(rng.random_range(1..10), rng.random_range(0.1..1.0)),
        _ => Fault::Drop(rng.random_range(0..60), rng.random_bool(0.5)),
    }
}

/// The troubles of a day, by when they begin.
fn meeting(seed: u64) -> Vec<(f64, Fault)> {
    let rng = &mut StdRng::seed_from_u64(seed);
    let mut at = FIRST_S + rng.random_range(0.0..3.0);
    let mut all = Vec::new();
    for _ in 0..rng.random_range(2..4) {
        all.push((at, trouble(rng)));
        at += rng.random_range(0.0..4.0);
    }
    all
}

fn play_meeting(seed: u64) -> Result<(), String> {
    let faults = meeting(seed);
    let until = OVER_S + AFTER_S;
    let (broken, _, told) = play(seed, &faults, 0.002, until, ROUNDS_A_DAY);
    let endless = |id: &str| id[3..].parse::<u32>().expect("our own") % 4 == 2;
    let open = told.iter().filter(|(id, t)| t.is_none() && !endless(id));
    let open: Vec<&String> = open.map(|(id, _)| id).collect();
    if broken.is_empty() && open.is_empty() {
        return Ok(());
    }
    let first: Vec<&String> = broken.iter().take(4).collect();
    Err(format!(
        "MEETING={seed} {faults:?}: {first:?}, never ended: {open:?}"
    ))
}

#[test]
fn drawn_troubles_meet() {
    let number = |name| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let days = match number("MEETING") {
        Some(day) => day..day + 1,
        None => 0..number("MEETINGS").unwrap_or(DAYS),
    };
    let failed: Vec<String> = days.filter_map(|seed| play_meeting(seed).err()).collect();
    assert!(failed.is_empty(), "{} days: {failed:#?}", failed.len());
}
