//! Where moved tasks go.
//!
//! A target must have the room while everything is still where it was: a move
//! claims its target first and stops the task after that. So nothing in a plan
//! counts on room that another move of the plan has yet to free; lower work at the
//! target gives way, for a price.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use copperfield_protocol::job::Resources;

use crate::fleet::{Fleet, Limits};

/// So many of the workers that a task could go to are put in order; the rest, of which
/// a plan hardly ever needs one, come as they are.
const BEST: usize = 64;

/// What comes second counts so much less than what comes first.
const TIE: f64 = 1e-5;

/// Room and zones as a plan has spoken for them so far.
#[derive(Debug, Clone, Default)]
pub(crate) struct Spoken {
    room: BTreeMap<u32, Resources>,
    /// By job and zone: tasks that come less tasks that go.
    zones: BTreeMap<(u32, u32), i64>,
    leaving: BTreeMap<u32, u32>,
    pub cost: f64,
}

impl Spoken {
    fn room(&self, fleet: &Fleet, rank: u8, m: u32) -> Resources {
        let taken = self.room.get(&m).copied().unwrap_or_default();
        let mut room = fleet.room_for(rank, m);
        room.sub(&taken);
        room
    }
}

/// Finds a target for each copy of a unit (one task, or a whole gang), or for none.
/// `kept` are workers that nothing may move to: those that the plan frees.
pub(crate) fn place(
    fleet: &Fleet,
    targets: &Targets,
    unit: &[u32],
    kept: &BTreeSet<u32>,
    limits: &Limits,
    spoken: &Spoken,
) -> Option<(Spoken, Vec<(u32, u32)>)> {
    let w = fleet.instances[*unit.first()? as usize].work;
    let work = &fleet.works[w as usize];
    let mut after = spoken.clone();
    let leaving = after.leaving.entry(w).or_default();
    *leaving += unit.len() as u32;
    if *leaving > work.may_leave {
        return None;
    }
    // A gang that may only be in one zone goes to any one of them, as a whole. What
    // is left of other work that must keep together stays, so the rest does too.
    let zones: Vec<Option<u32>> = if work.one_zone && work.gang {
        (0..work.by_zone.len() as u32).map(Some).collect()
    } else if work.one_zone {
        vec![Some(
            fleet.workers[fleet.instances[unit[0] as usize].worker as usize].zone,
        )]
    } else {
        vec![None]
    };
    for &c in unit {
        let zone = fleet.workers[fleet.instances[c as usize].worker as usize].zone;
        *after.zones.entry((w, zone)).or_default() -= 1;
    }
    let list = targets.of(fleet, w);
    let mut best: Option<(Spoken, Vec<(u32, u32)>)> = None;
    for zone in zones {
        let mut tried = after.clone();
        let mut found = Vec::new();
        for &c in unit {
            let Some(to) = target(fleet, &list, c, zone, kept, &tried) else {
                break;
            };
            let there = fleet.workers[to as usize].zone;
            tried.room.entry(to).or_default().add(&work.needs);
            *tried.zones.entry((w, there)).or_default() += 1;
            tried.cost += fleet.cost_to(c, to, limits);
            found.push((c, to));
        }
        if found.len() == unit.len() && best.as_ref().is_none_or(|(b, _)| tried.cost < b.cost) {
            best = Some((tried, found));
        }
    }
    best
}

/// For each job the workers that could run a task of it, best first: the one where
/// the least is lost to the fetch and to what gives way; between equals the one whose share costs least, then the
/// one that is left with the least room. Made when first asked for, and then kept: one
/// plan tries the same tasks many times.
#[derive(Debug, Default)]
pub(crate) struct Targets(RefCell<BTreeMap<u32, Rc<[u32]>>>);

impl Targets {
    fn of(&self, fleet: &Fleet, w: u32) -> Rc<[u32]> {
        self.0
            .borrow_mut()
            .entry(w)
            .or_insert_with(|| list(fleet, w))
            .clone()
    }
}

fn list(fleet: &Fleet, w: u32) -> Rc<[u32]> {
    let work = &fleet.works[w as usize];
    let mut all: Vec<(f64, u32)> = Vec::new();
    for (m, worker) in (0u32..).zip(&fleet.workers) {
        if !worker.receives {
            continue;
        }
        let Some(stops) = fleet.stops(work, m) else {
            continue;
        };
        if !work.suits(m, worker) {
            continue;
        }
        let rent = worker.price * work.needs.share_of(&worker.whole);
        // The fetch in money, as for a worker of this price.
        let loses = stops + work.weight * rent * fleet.fetch_s(work, m);
        let mut after = worker.room;
        after.sub(&work.needs);
        let slack = (after.cpus + 8 * after.gpus) as f64;
        // One number for all three, as a plan sorts thousands of these.
        all.push((loses + TIE * (rent + TIE * slack), m));
    }
    let order = |a: &(f64, u32), b: &(f64, u32)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1));
    if all.len() > BEST {
        all.select_nth_unstable_by(BEST, order);
    }
    let best = all.len().min(BEST);
    all[..best].sort_unstable_by(order);
    all.into_iter().map(|t| t.1).collect()
}

/// The first of the workers that could take a copy, as things stand in this plan.
fn target(
    fleet: &Fleet,
    targets: &[u32],
    c: u32,
    zone: Option<u32>,
    kept: &BTreeSet<u32>,
    spoken: &Spoken,
) -> Option<u32> {
    let instance = &fleet.instances[c as usize];
    let work = &fleet.works[instance.work as usize];
    targets.iter().copied().find(|&m| {
        let there = fleet.workers[m as usize].zone;
        if m == instance.worker || zone.is_some_and(|z| z != there) || kept.contains(&m) {
            return false;
        }
        let here = work.by_zone.get(there as usize).copied().unwrap_or(0);
        let planned = spoken
            .zones
            .get(&(instance.work, there))
            .copied()
            .unwrap_or(0);
        i64::from(here) + planned < i64::from(work.zone_cap)
            && work.needs.fits_in(&spoken.room(fleet, work.rank, m))
    })
}
