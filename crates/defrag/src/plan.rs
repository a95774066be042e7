//! Which workers to free, and whether it is worth it.
//!
//! For each zone workers are taken cheapest first until all places are there;
//! a worker whose tasks find no target is left out and the next one is
//! looked at. The zone that costs the least in all is the plan.

use std::cell::RefCell;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use thiserror::Error;

use crate::choose::{Choice, Index, at_least, cheapest};
use crate::fleet::{Fleet, Limits, Want};
use crate::place::{Spoken, place};

/// So often a task that finds no target is left where it is and the next best is tried,
/// before a zone is given up.
const IN_VAIN: usize = 12;
/// Workers of a plan that are each tried to do without.
const LOOK_AHEAD: usize = 2;

/// One task that goes to another worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Move {
    /// Index into [`Fleet::instances`].
    pub instance: u32,
    /// Index into [`Fleet::workers`].
    pub to: u32,
}

/// Moves that belong together.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The tasks to move, and where to.
    pub moves: Vec<Move>,
    /// Workers on which a place comes free by these moves, one place each.
    pub frees: Vec<u32>,
    /// Places that are there without a move, or come by themselves within
    /// [`Limits::soon_s`]: a worker for each place.
    pub free_already: Vec<u32>,
    /// What the moves cost, in money.
    pub cost: f64,
    /// Seconds of work that the moves lose, fetches not counted.
    pub lost_s: f64,
}

/// Why there is no plan.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Reason {
    /// No worker is of a type and in a zone that it may run on.
    #[error("no machine suits it")]
    NoWorker,
    /// Nothing need be moved.
    #[error("the places are there, or come free by themselves")]
    ComesFree,
    /// What runs there must not be moved.
    #[error("work that may not move is in the way")]
    InTheWay,
    /// There is no room elsewhere.
    #[error("what would have to move finds no other place")]
    NoTarget,
    /// [`Limits::moves`] does not suffice.
    #[error("it would take more moves than may be under way")]
    TooMany,
    /// The moves cost more than they bring.
    #[error("the moves would cost {cost:.3}, the places are worth {worth:.3}")]
    NotWorth {
        /// What the moves cost, in money.
        cost: f64,
        /// What the places are worth, in money.
        worth: f64,
    },
}

/// Frees the places that a job waits for.
///
/// # Errors
/// The reason why nothing is to be moved, of the zone that came closest.
pub fn free(fleet: &Fleet, want: &Want, limits: &Limits) -> Result<Plan, Reason> {
    let index = Index::new(fleet, limits);
    let zones: Vec<Option<u32>> = if want.one_zone {
        match want.by_zone.iter().position(|&n| n > 0) {
            Some(bound) => vec![Some(bound as u32)],
            None => (0..want.by_zone.len() as u32).map(Some).collect(),
        }
    } else {
        vec![None]
    };
    let mut best: Option<Plan> = None;
    let mut why = Reason::NoWorker;
    for zone in zones {
        match free_in(fleet, &index, want, limits, zone) {
            Ok(plan) => {
                if best.as_ref().is_none_or(|b| better(&plan, b)) {
                    best = Some(plan);
                }
            }
            Err(Reason::ComesFree) => return Err(Reason::ComesFree),
            Err(reason) => why = nearer(why, reason),
        }
    }
    best.ok_or(why)
}

/// More places, and then for less.
fn better(a: &Plan, b: &Plan) -> bool {
    let places = |p: &Plan| p.frees.len() + p.free_already.len();
    places(a).cmp(&places(b)).then(b.cost.total_cmp(&a.cost)) == Ordering::Greater
}

fn nearer(a: Reason, b: Reason) -> Reason {
    let rank = |r: &Reason| match r {
        Reason::NoWorker => 0,
        Reason::InTheWay => 1,
        Reason::NoTarget => 2,
        Reason::TooMany => 3,
        Reason::NotWorth { .. } => 4,
        Reason::ComesFree => 5,
    };
    if rank(&b) >= rank(&a) { b } else { a }
}

/// A worker that may be freed, by what that costs.
#[derive(PartialEq)]
struct Candidate(f64, u32);

impl Eq for Candidate {}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// What one zone (or all of them) has to give.
struct Offer<'a> {
    fleet: &'a Fleet,
    index: &'a Index,
    want: &'a Want,
    limits: &'a Limits,
    /// A worker for each place that is there without a move.
    free_already: Vec<u32>,
    /// The rest that suit, with what freeing them costs at least.
    candidates: Vec<(f64, u32)>,
    /// Places taken in each zone, those above included.
    zones: Zones,
    /// What is best to take off a worker, as long as nothing else has been moved.
    known: RefCell<BTreeMap<u32, Option<Choice>>>,
}

/// A worker to free, and what must leave it that no worker before it moves already.
type Picked = (u32, Vec<u32>);

impl Offer<'_> {
    /// The cheapest workers for the places that are missing. `stuck` are copies that
    /// found no target, `without` a worker to do without.
    fn pick(&self, stuck: &BTreeSet<u32>, without: Option<u32>) -> Result<Vec<Picked>, Reason> {
        let missing = self.want.tasks as usize - self.free_already.len();
        let mut zones = self.zones.clone();
        let mut gone = BTreeSet::new();
        let mut picked: Vec<Picked> = Vec::new();
        let mut cost = 0.0;
        let mut heap: BinaryHeap<_> = self
            .candidates
            .iter()
            .map(|&(cost, m)| Reverse(Candidate(cost, m)))
            .collect();
        while picked.len() < missing
            && let Some(Reverse(Candidate(guess, m))) = heap.pop()
        {
            if Some(m) == without || picked.iter().any(|p| p.0 == m) {
                continue;
            }
            let Some(choice) = self.choose(m, &gone, stuck) else {
                continue;
            };
            if choice.cost > guess {
                heap.push(Reverse(Candidate(choice.cost, m)));
                continue;
            }
            if !zones.take(self.fleet.workers[m as usize].zone) {
                continue;
            }
            cost += choice.cost;
            let places = self.free_already.len() + picked.len() + 1;
            let worth = self.want.worth_of(places);
            if cost >= worth {
                return match picked.is_empty() || self.want.whole {
                    true => Err(Reason::NotWorth { cost, worth }),
                    false => Ok(picked),
                };
            }
            for &c in &choice.instances {
                for c in self.index.with_gang(self.fleet, c) {
                    gone.insert(c);
                    // What a gang leaves behind elsewhere may now be the cheapest.
                    let from = self.fleet.instances[c as usize].worker;
                    if from != m && self.candidates.iter().any(|&(_, o)| o == from) {
                        heap.push(Reverse(Candidate(0.0, from)));
                    }
                }
            }
            picked.push((m, choice.instances));
        }
        if picked.is_empty() || (self.want.whole && picked.len() < missing) {
            return Err(Reason::InTheWay);
        }
        Ok(picked)
    }

    /// The same workers come up again and again while nothing on them has changed.
    fn choose(&self, m: u32, gone: &BTreeSet<u32>, stuck: &BTreeSet<u32>) -> Option<Choice> {
        let instances = &self.index.by_worker[m as usize];
        let same = !instances
            .iter()
            .any(|c| gone.contains(c) || stuck.contains(c));
        if same && let Some(known) = self.known.borrow().get(&m) {
            return known.clone();
        }
        let choice = cheapest(
            self.fleet,
            self.index,
            m,
            self.want,
            self.limits,
            gone,
            stuck,
        );
        if same {
            self.known.borrow_mut().insert(m, choice.clone());
        }
        choice
    }

    /// Targets for all that must leave the workers picked.
    fn settle(&self, picked: &[Picked]) -> Result<Plan, (Option<u32>, Reason)> {
        let frees: Vec<u32> = picked.iter().map(|p| p.0).collect();
        let mut kept: BTreeSet<u32> = frees.iter().copied().collect();
        kept.extend(&self.free_already);
        let instances = picked.iter().flat_map(|p| p.1.iter().copied()).collect();
        let (cost, moves) = move_off(self.fleet, self.index, instances, &kept, self.limits)?;
        let lost = |mv: &Move| self.fleet.instances[mv.instance as usize].lost_s;
        Ok(Plan {
            lost_s: moves.iter().map(lost).sum(),
            moves,
            frees,
            free_already: self.free_already.clone(),
            cost,
        })
    }

    /// The cheapest workers that can be freed: where something finds no target, the
    /// next best is tried without it.
    fn plan(&self, without: Option<u32>) -> Result<Plan, Reason> {
        let mut stuck = BTreeSet::new();
        let mut why = Reason::InTheWay;
        for _ in 0..IN_VAIN {
            let picked = self
                .pick(&stuck, without)
                .map_err(|r| nearer(why.clone(), r))?;
            match self.settle(&picked) {
                Ok(plan) => {
                    let worth = self.want.worth_of(plan.places());
                    if plan.cost < worth {
                        return Ok(plan);
                    }
                    let cost = plan.cost;
                    return Err(nearer(why, Reason::NotWorth { cost, worth }));
                }
                Err((instance, reason)) => {
                    why = nearer(why, reason);
                    let Some(instance) = instance else { break };
                    stuck.insert(instance);
                }
            }
        }
        Err(why)
    }
}

fn free_in(
    fleet: &Fleet,
    index: &Index,
    want: &Want,
    limits: &Limits,
    zone: Option<u32>,
) -> Result<Plan, Reason> {
    let mut offer = Offer {
        fleet,
        index,
        want,
        limits,
        free_already: Vec::new(),
        candidates: Vec::new(),
        zones: Zones {
            taken: want.by_zone.clone(),
            cap: want.zone_cap,
        },
        known: RefCell::default(),
    };
    let mut suitable = false;
    for (m, worker) in (0u32..).zip(&fleet.workers) {
        if zone.is_some_and(|z| z != worker.zone) || !worker.frees || !want.suits(worker) {
            continue;
        }
        suitable = true;
        let Some(bound) = at_least(fleet, index, m, want, limits) else {
            continue;
        };
        if bound > 0.0 {
            offer.candidates.push((bound, m));
            continue;
        }
        // It may have room for more than one.
        let mut room = fleet.room_for(want.rank, m);
        loop {
            offer.free_already.push(m);
            room.sub(&want.needs);
            if !offer.zones.take(worker.zone) {
                offer.free_already.pop();
                break;
            }
            if offer.free_already.len() >= want.tasks as usize {
                return Err(Reason::ComesFree);
            }
            if !want.needs.fits_in(&room) {
                break;
            }
        }
    }
    if !suitable {
        return Err(Reason::NoWorker);
    }
    let mut best = offer.plan(None)?;
    // Looking ahead: what was cheapest before its targets were known may not be.
    for m in best.frees.clone().into_iter().take(LOOK_AHEAD) {
        if let Ok(other) = offer.plan(Some(m))
            && better(&other, &best)
        {
            best = other;
        }
    }
    Ok(best)
}

/// Places that a job has and may yet have, by zone.
#[derive(Clone)]
struct Zones {
    taken: Vec<u32>,
    cap: u32,
}

impl Zones {
    fn take(&mut self, zone: u32) -> bool {
        let z = zone as usize;
        if self.taken.len() <= z {
            self.taken.resize(z + 1, 0);
        }
        let room = self.taken[z] < self.cap;
        self.taken[z] += u32::from(room);
        room
    }
}

impl Want {
    fn worth_of(&self, places: usize) -> f64 {
        let places = if self.whole {
            self.tasks as usize
        } else {
            places
        };
        self.worth * places as f64
    }
}

impl Plan {
    fn places(&self) -> usize {
        self.frees.len() + self.free_already.len()
    }
}

/// Targets for copies, and for all that must move with them. The error names the copy
/// that found none, if it was one.
fn move_off(
    fleet: &Fleet,
    index: &Index,
    mut instances: Vec<u32>,
    kept: &BTreeSet<u32>,
    limits: &Limits,
) -> Result<(f64, Vec<Move>), (Option<u32>, Reason)> {
    let mut spoken = Spoken::default();
    let mut moves: Vec<Move> = Vec::new();
    // The largest first: they find the fewest places.
    instances.sort_by_key(|&c| {
        let needs = &fleet.works[fleet.instances[c as usize].work as usize].needs;
        (Reverse((needs.gpus, needs.cpus, needs.memory)), c)
    });
    for c in instances {
        if moves.iter().any(|mv| mv.instance == c) {
            continue;
        }
        let unit = index.with_gang(fleet, c);
        if moves.len() + unit.len() > limits.moves {
            return Err((None, Reason::TooMany));
        }
        let Some((after, targets)) = place(fleet, &index.targets, &unit, kept, limits, &spoken)
        else {
            return Err((Some(c), Reason::NoTarget));
        };
        spoken = after;
        moves.extend(
            targets
                .into_iter()
                .map(|(instance, to)| Move { instance, to }),
        );
    }
    Ok((spoken.cost, moves))
}

/// Moves that take off a worker what may move, as far as there are places for it.
/// What stays behind runs on; a worker that must be empty by some time is a matter
/// for whoever set it.
pub fn empty(fleet: &Fleet, worker: u32, limits: &Limits) -> Vec<Move> {
    let index = Index::new(fleet, limits);
    let kept = BTreeSet::from([worker]);
    let mut instances = index.by_worker[worker as usize].clone();
    instances.retain(|&c| index.moves(fleet, c, limits));
    // What loses the least first, as not all may be allowed at once.
    instances.sort_by(|&a, &b| {
        let cost = |c| fleet.cost(c, limits);
        cost(a).total_cmp(&cost(b)).then(a.cmp(&b))
    });
    let mut taken: Vec<u32> = Vec::new();
    let mut moves = Vec::new();
    for c in instances {
        taken.push(c);
        match move_off(fleet, &index, taken.clone(), &kept, limits) {
            Ok((_, all)) => moves = all,
            Err(_) => {
                taken.pop();
            }
        }
    }
    moves
}
