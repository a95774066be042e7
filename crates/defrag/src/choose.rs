//! The cheapest copies to take off one worker so that a task fits.

use std::collections::BTreeSet;

use copperfield_protocol::job::Resources;

use crate::fleet::{Fleet, Limits, Want};
use crate::place::Targets;

/// Workers hold a few dozen tasks at most; past so many steps of the search the best
/// found so far stands. Greedy with pruning is found first, so there always is one.
const STEPS: usize = 1000;

/// Copies by worker and by job, and where they could go, made once for a plan.
pub(crate) struct Index {
    pub by_worker: Vec<Vec<u32>>,
    pub by_work: Vec<Vec<u32>>,
    /// Of a gang: it may move, with all of its copies.
    gang_moves: Vec<bool>,
    /// Of a gang: what moving all of it costs.
    gang_cost: Vec<f64>,
    pub targets: Targets,
}

impl Index {
    pub fn new(fleet: &Fleet, limits: &Limits) -> Self {
        let mut by_worker = vec![Vec::new(); fleet.workers.len()];
        let mut by_work = vec![Vec::new(); fleet.works.len()];
        for (c, instance) in (0u32..).zip(&fleet.instances) {
            by_worker[instance.worker as usize].push(c);
            by_work[instance.work as usize].push(c);
        }
        let works = (0..).zip(&fleet.works);
        let (gang_moves, gang_cost) = works
            .map(|(w, work): (usize, _)| {
                let instances: &Vec<u32> = &by_work[w];
                let moves = work.gang
                    && instances.len() <= limits.moves
                    && instances.len() <= work.may_leave as usize
                    && instances.iter().all(|&c| {
                        let instance = &fleet.instances[c as usize];
                        instance.movable && instance.ends_in_s > limits.soon_s
                    });
                let cost = if moves {
                    instances.iter().map(|&c| fleet.cost(c, limits)).sum()
                } else {
                    f64::INFINITY
                };
                (moves, cost)
            })
            .unzip();
        Self {
            by_worker,
            by_work,
            gang_moves,
            gang_cost,
            targets: Targets::default(),
        }
    }

    /// Whether a copy may be moved, alone or with its gang.
    pub fn moves(&self, fleet: &Fleet, c: u32, limits: &Limits) -> bool {
        let instance = &fleet.instances[c as usize];
        let work = &fleet.works[instance.work as usize];
        if work.gang {
            self.gang_moves[instance.work as usize]
        } else {
            instance.movable && instance.ends_in_s > limits.soon_s && work.may_leave > 0
        }
    }

    /// A copy and all that must move with it.
    pub fn with_gang(&self, fleet: &Fleet, c: u32) -> Vec<u32> {
        let w = fleet.instances[c as usize].work as usize;
        if fleet.works[w].gang {
            self.by_work[w].clone()
        } else {
            vec![c]
        }
    }

    fn cost(&self, fleet: &Fleet, c: u32, limits: &Limits) -> f64 {
        let w = fleet.instances[c as usize].work as usize;
        if fleet.works[w].gang {
            self.gang_cost[w]
        } else {
            fleet.cost(c, limits)
        }
    }
}

/// What to take off a worker, and for how much.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Choice {
    pub cost: f64,
    pub instances: Vec<u32>,
}

/// A copy that may go: what that costs, and what it frees.
type Item = (f64, u32, Resources);

/// What may go from a worker, and the room there is without that.
fn items(
    fleet: &Fleet,
    index: &Index,
    m: u32,
    want: &Want,
    limits: &Limits,
    gone: &BTreeSet<u32>,
    stuck: &BTreeSet<u32>,
) -> (Resources, Vec<Item>) {
    let mut room = fleet.workers[m as usize].room;
    let mut items: Vec<Item> = Vec::new();
    for &c in &index.by_worker[m as usize] {
        let instance = &fleet.instances[c as usize];
        let work = &fleet.works[instance.work as usize];
        let frees = work.needs;
        let gives_way = work.rank < want.rank && !work.gang;
        if gone.contains(&c) || instance.ends_in_s <= limits.soon_s || gives_way {
            room.add(&frees);
        } else if !stuck.contains(&c) && index.moves(fleet, c, limits) {
            items.push((index.cost(fleet, c, limits), c, frees));
        }
    }
    (room, items)
}

/// At least what freeing a worker costs, 0 if nothing must go, `None` if it cannot be
/// freed. Much cheaper than [`cheapest`], which is asked of few workers only.
pub(crate) fn at_least(
    fleet: &Fleet,
    index: &Index,
    m: u32,
    want: &Want,
    limits: &Limits,
) -> Option<f64> {
    let nothing = BTreeSet::new();
    let (room, items) = items(fleet, index, m, want, limits, &nothing, &nothing);
    let mut bound = 0.0f64;
    let mut ratios: Vec<(f64, i64)> = Vec::with_capacity(items.len());
    for (d, missing) in missing(&want.needs, &room).into_iter().enumerate() {
        if missing <= 0 {
            continue;
        }
        // What is missing, bought where it is cheapest, the last piece in part.
        ratios.clear();
        ratios.extend(items.iter().filter_map(|(cost, _, frees)| {
            let frees = dims(frees)[d];
            (frees > 0).then(|| (cost / frees as f64, frees))
        }));
        ratios.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut left = missing;
        let mut cost = 0.0;
        for &(ratio, frees) in &ratios {
            let part = frees.min(left);
            cost += ratio * part as f64;
            left -= part;
            if left == 0 {
                break;
            }
        }
        if left > 0 {
            return None;
        }
        bound = bound.max(cost);
    }
    Some(bound)
}

fn dims(a: &Resources) -> [i64; 3] {
    [a.cpus, a.gpus, a.memory]
}

fn missing(needs: &Resources, room: &Resources) -> [i64; 3] {
    let (needs, room) = (dims(needs), dims(room));
    std::array::from_fn(|d| needs[d] - room[d])
}

/// The cheapest copies whose going lets a task fit, `None` if nothing does. `gone`
/// are copies that the plan moves already, wherever they are; `stuck` are copies that
/// found no target.
pub(crate) fn cheapest(
    fleet: &Fleet,
    index: &Index,
    m: u32,
    want: &Want,
    limits: &Limits,
    gone: &BTreeSet<u32>,
    stuck: &BTreeSet<u32>,
) -> Option<Choice> {
    let needs = &want.needs;
    let (room, mut items) = items(fleet, index, m, want, limits, gone, stuck);
    if needs.fits_in(&room) {
        return Some(Choice {
            cost: 0.0,
            instances: Vec::new(),
        });
    }
    items.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    // What is left to take at each depth, and the least that a thousandth of it costs,
    // to see early that nothing more can come of it.
    let mut left = vec![Resources::default(); items.len() + 1];
    let mut least = vec![[f64::INFINITY; 3]; items.len() + 1];
    for i in (0..items.len()).rev() {
        left[i] = left[i + 1];
        left[i].add(&items[i].2);
        let frees = dims(&items[i].2);
        least[i] = std::array::from_fn(|d| {
            let ratio = if frees[d] > 0 {
                items[i].0 / frees[d] as f64
            } else {
                f64::INFINITY
            };
            ratio.min(least[i + 1][d])
        });
    }
    let mut search = Search {
        items: &items,
        left: &left,
        least: &least,
        needs,
        best: greedy(&items, needs, room)?,
        taken: Vec::new(),
        steps: 0,
    };
    search.go(0, room, 0.0);
    let (cost, taken) = search.best;
    Some(Choice {
        cost,
        instances: taken.into_iter().map(|i| items[i].1).collect(),
    })
}

/// Cheap ones first until it fits, then the dearest that turn out not to be needed
/// are left where they are.
fn greedy(items: &[Item], needs: &Resources, mut room: Resources) -> Option<(f64, Vec<usize>)> {
    let mut taken = Vec::new();
    for (i, item) in items.iter().enumerate() {
        if needs.fits_in(&room) {
            break;
        }
        if helps(needs, &room, &item.2) {
            room.add(&item.2);
            taken.push(i);
        }
    }
    if !needs.fits_in(&room) {
        return None;
    }
    for at in (0..taken.len()).rev() {
        let mut without = room;
        without.sub(&items[taken[at]].2);
        if needs.fits_in(&without) {
            room = without;
            taken.remove(at);
        }
    }
    Some((taken.iter().map(|&i| items[i].0).sum(), taken))
}

fn helps(needs: &Resources, room: &Resources, frees: &Resources) -> bool {
    (needs.cpus > room.cpus && frees.cpus > 0)
        || (needs.memory > room.memory && frees.memory > 0)
        || (needs.gpus > room.gpus && frees.gpus > 0)
}

/// Branch and bound over the copies of one worker.
struct Search<'a> {
    items: &'a [Item],
    left: &'a [Resources],
    least: &'a [[f64; 3]],
    needs: &'a Resources,
    best: (f64, Vec<usize>),
    taken: Vec<usize>,
    steps: usize,
}

impl Search<'_> {
    fn go(&mut self, i: usize, room: Resources, cost: f64) {
        self.steps += 1;
        if cost >= self.best.0 || self.steps > STEPS {
            return;
        }
        if self.needs.fits_in(&room) {
            self.best = (cost, self.taken.clone());
            return;
        }
        let mut limit = room;
        limit.add(&self.left[i]);
        if i == self.items.len() || !self.needs.fits_in(&limit) {
            return;
        }
        let missing = missing(self.needs, &room);
        let bound = (0..3)
            .filter(|&d| missing[d] > 0)
            .map(|d| missing[d] as f64 * self.least[i][d])
            .fold(0.0, f64::max);
        if cost + bound >= self.best.0 {
            return;
        }
        let (price, _, frees) = self.items[i];
        let mut with = room;
        with.add(&frees);
        self.taken.push(i);
        self.go(i + 1, with, cost + price);
        self.taken.pop();
        self.go(i + 1, room, cost);
    }
}
