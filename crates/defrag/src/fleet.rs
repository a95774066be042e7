//! What a plan is made from.

use copperfield_protocol::job::Amounts;

/// One machine, as far as a plan cares.
#[derive(Debug, Clone)]
pub struct Machine {
    pub zone: u32,
    /// Index of its type.
    pub kind: u32,
    pub spot: bool,
    /// May be given work: heard in time, not draining, not about to be taken,
    /// not quarantined, nothing unknown on it.
    pub receives: bool,
    /// May be freed: as `receives`, and no other job has a claim on it.
    pub frees: bool,
    /// All of it.
    pub whole: Amounts,
    /// What is free of it now, less what is claimed for others.
    pub room: Amounts,
    /// Money per second for the whole machine.
    pub price: f64,
    /// Gigabytes of images per second.
    pub fetch_gb_per_s: f64,
    /// Images it has.
    pub images: Vec<u32>,
    /// What on it gives way to higher work, the cheapest first.
    pub yields: Vec<Yield>,
}

/// A task that is stopped where work of a higher rank wants its room.
#[derive(Debug, Clone, Copy)]
pub struct Yield {
    pub rank: u8,
    pub needs: Amounts,
    /// What stopping it costs, in money.
    pub cost: f64,
}

/// A job with tasks on machines.
#[derive(Debug, Clone)]
pub struct Work {
    /// What each task takes.
    pub needs: Amounts,
    /// Work of a higher rank may have it stopped; never of the same.
    pub rank: u8,
    /// How much a second of it counts beside other work (the auction's π·w).
    pub weight: f64,
    /// Types its tasks may run on; `None`: any.
    pub kinds: Option<Vec<u32>>,
    /// The only zone it may run in.
    pub zone: Option<u32>,
    /// May run on spot machines.
    pub spot: bool,
    /// All its tasks must be in one zone.
    pub one_zone: bool,
    /// Most tasks in one zone (`spread`).
    pub zone_cap: u32,
    /// Tasks that may be in each zone now.
    pub by_zone: Vec<u32>,
    pub image: u32,
    pub image_gb: f64,
    /// All its tasks move together or none does.
    pub gang: bool,
    /// How many of its tasks may still be taken away now.
    pub may_leave: u32,
    /// Machines it must keep off, as it failed there.
    pub avoid: Vec<u32>,
}

/// One task on one machine.
#[derive(Debug, Clone)]
pub struct Copy {
    /// Index into [`Fleet::machines`].
    pub machine: u32,
    /// Index into [`Fleet::works`].
    pub work: u32,
    /// May be moved at all: by its marks, its class, and when it last moved.
    pub movable: bool,
    /// Seconds until it ends by itself, infinite for a service.
    pub ends_in_s: f64,
    /// Seconds of its work that a move loses: since the last save, or the time to save.
    pub lost_s: f64,
}

#[derive(Debug, Clone, Default)]
pub struct Fleet {
    pub machines: Vec<Machine>,
    pub works: Vec<Work>,
    pub copies: Vec<Copy>,
}

/// Who waits for machines.
#[derive(Debug, Clone)]
pub struct Want {
    /// What each of its tasks takes of its machine.
    pub needs: Amounts,
    /// What is of a lower rank on a machine gives way to it, unless it is a gang.
    pub rank: u8,
    /// Tasks that wait for a place at once.
    pub tasks: u32,
    /// All places must be in one zone.
    pub one_zone: bool,
    pub zone_cap: u32,
    /// Tasks of it that are placed already, by zone.
    pub by_zone: Vec<u32>,
    pub kinds: Option<Vec<u32>>,
    pub zone: Option<u32>,
    pub spot: bool,
    /// Places are wanted all at once; else fewer are better than none.
    pub whole: bool,
    /// What a place is worth, in the money that moves cost.
    pub worth: f64,
}

/// How far a plan may go.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Moves that may be added to those in flight.
    pub moves: usize,
    /// What ends by itself within so many seconds is not moved.
    pub soon_s: f64,
    /// Seconds a move takes beside saving and fetching.
    pub move_s: f64,
}

impl Work {
    /// Whether a task of it may run on the machine, whatever else runs there.
    pub fn suits(&self, m: u32, machine: &Machine) -> bool {
        suits(&self.kinds, self.zone, self.spot, machine) && !self.avoid.contains(&m)
    }
}

impl Want {
    pub fn suits(&self, machine: &Machine) -> bool {
        suits(&self.kinds, self.zone, self.spot, machine) && self.needs.fits_in(&machine.whole)
    }
}

fn suits(kinds: &Option<Vec<u32>>, zone: Option<u32>, spot: bool, machine: &Machine) -> bool {
    (spot || !machine.spot)
        && zone.is_none_or(|z| z == machine.zone)
        && kinds.as_ref().is_none_or(|k| k.contains(&machine.kind))
}

impl Fleet {
    /// Seconds until a machine has the image of a job, 0 if it has it.
    pub fn fetch_s(&self, work: &Work, m: u32) -> f64 {
        let machine = &self.machines[m as usize];
        if work.image_gb <= 0.0 || machine.images.contains(&work.image) {
            0.0
        } else {
            work.image_gb / machine.fetch_gb_per_s.max(1e-3)
        }
    }

    /// Money that a second of a copy's work is worth where it runs.
    fn rate(&self, copy: &Copy) -> f64 {
        let work = &self.works[copy.work as usize];
        let machine = &self.machines[copy.machine as usize];
        work.weight * machine.price * work.needs.share_of(&machine.whole)
    }

    /// What a move costs before the fetch at its target is known.
    pub fn cost(&self, c: u32, limits: &Limits) -> f64 {
        let copy = &self.copies[c as usize];
        self.rate(copy) * (copy.lost_s + limits.move_s)
    }

    /// What a move costs in all.
    pub fn cost_to(&self, c: u32, to: u32, limits: &Limits) -> f64 {
        let copy = &self.copies[c as usize];
        let work = &self.works[copy.work as usize];
        let stops = self.stops(work, to).unwrap_or(f64::INFINITY);
        self.cost(c, limits) + self.rate(copy) * self.fetch_s(work, to) + stops
    }

    /// What has to be stopped on a machine so that a task fits, in money; 0 where there
    /// is room, `None` if it cannot.
    pub(crate) fn stops(&self, work: &Work, m: u32) -> Option<f64> {
        let machine = &self.machines[m as usize];
        let mut room = machine.room;
        let mut cost = 0.0;
        for y in &machine.yields {
            if work.needs.fits_in(&room) {
                break;
            }
            if y.rank < work.rank {
                room.add(&y.needs);
                cost += y.cost;
            }
        }
        work.needs.fits_in(&room).then_some(cost)
    }

    /// Room of a machine for work of a rank, what gives way to it included.
    pub(crate) fn room_for(&self, rank: u8, m: u32) -> Amounts {
        let machine = &self.machines[m as usize];
        let mut room = machine.room;
        for y in machine.yields.iter().filter(|y| y.rank < rank) {
            room.add(&y.needs);
        }
        room
    }
}
