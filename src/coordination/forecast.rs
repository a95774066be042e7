//! Whole machines for whole-machine tasks.
//!
//! A task that takes most of a machine finds room only where nothing else has
//! settled. Work of equal priority may not be stopped for it, so room has to
//! be kept before it comes: as many machines as are likely to be asked for in
//! the time that draining or booting another one takes.

use crate::protocol::job::Amounts;

use super::model::*;
use super::state::Core;

/// The time ahead for which machines are kept whole.
const HORIZON_S: f64 = 75.0;
/// Over how long arrivals are averaged.
const MEMORY_S: f64 = 120.0;
/// A task is of a shape of its own from this share of its machine on.
const WHOLE: f64 = 0.5;

impl Core {
    /// Notes the arrival of a job whose tasks take most of a machine.
    pub(super) fn shape_arrived(&mut self, ix: u32) -> Option<u32> {
        let job = &self.jobs[ix];
        let largest = self
            .types
            .known
            .iter()
            .enumerate()
            .filter(|(k, _)| job.types.as_ref().is_none_or(|l| l.contains(&(*k as u32))))
            .filter_map(|(_, t)| t.as_ref())
            .filter(|t| job.spec.needs.fits_in(&t.whole))
            .map(|t| job.spec.needs.share_of(&t.whole))
            .reduce(f64::min)?;
        if largest <= WHOLE || job.is_service() {
            return None;
        }
        let tasks = f64::from(job.spec.tasks);
        let now = self.now;
        let known = self.shapes.iter().position(|s| {
            s.needs == job.spec.needs
                && s.types == job.types
                && s.zone == job.zone
                && s.spot == job.spec.spot
                && s.priority == job.spec.priority
        });
        let at = known.unwrap_or_else(|| {
            self.shapes.push(Shape {
                needs: job.spec.needs,
                types: job.types.clone(),
                zone: job.zone,
                spot: job.spec.spot,
                priority: job.spec.priority,
                rate: 0.0,
                rated_at: now,
            });
            self.shapes.len() - 1
        });
        let shape = &mut self.shapes[at];
        shape.rate = shape.rate_at(now) + tasks / MEMORY_S;
        shape.rated_at = now;
        Some(at as u32)
    }

    pub(super) fn suits_shape(&self, shape: &Shape, m: u32) -> bool {
        let machine = &self.machines[m];
        shape
            .types
            .as_ref()
            .is_none_or(|l| l.contains(&machine.kind))
            && shape.zone.is_none_or(|z| z == machine.zone)
            && (!machine.spot || shape.spot)
            && self
                .types
                .get(machine.kind)
                .is_some_and(|t| shape.needs.fits_in(&t.whole))
    }

    fn holds_shape(&self, s: u32, m: u32) -> bool {
        let mut copies = self.machines[m].copies.keys();
        copies.any(|k| self.jobs[k.job].shape == Some(s))
    }

    /// Chooses which machines are kept whole. A choice stands while the machine
    /// can be used, so that draining comes to an end.
    pub(super) fn keep_whole_machines(&mut self) {
        for m in self.machines.indices() {
            if let Some(s) = self.machines[m].kept_for
                && !(self.machine_usable(m) && self.suits_shape(&self.shapes[s as usize], m))
            {
                self.machines[m].kept_for = None;
            }
        }
        for s in 0..self.shapes.len() as u32 {
            let shape = &self.shapes[s as usize];
            let expected = (shape.rate_at(self.now) * HORIZON_S + 0.5).floor() as usize;
            let mut kept: Vec<u32> = self
                .machines
                .iter()
                .filter(|(_, m)| m.kept_for == Some(s))
                .map(|(m, _)| m)
                .collect();
            while kept.len() > expected {
                let m = kept.pop().expect("more than expected");
                self.machines[m].kept_for = None;
            }
            // One that a task of the shape has taken is kept no more.
            for m in kept.clone() {
                if self.holds_shape(s, m) {
                    self.machines[m].kept_for = None;
                    kept.retain(|&k| k != m);
                }
            }
            if kept.len() >= expected {
                continue;
            }
            let needs = self.shapes[s as usize].needs;
            let mut choices: Vec<(f64, u32)> = self
                .machines
                .indices()
                .into_iter()
                .filter(|&m| {
                    self.machine_usable(m)
                        && self.machines[m].kept_for.is_none()
                        && self.machines[m].claims.is_empty()
                        && self.suits_shape(&self.shapes[s as usize], m)
                        && !self.holds_shape(s, m)
                })
                .filter_map(|m| self.drained_in(&needs, m).map(|t| (t, m)))
                .collect();
            choices.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            for (_, m) in choices.into_iter().take(expected - kept.len()) {
                self.machines[m].kept_for = Some(s);
            }
        }
    }

    /// Room of a machine that a job must leave alone. Jobs of the shape itself
    /// and work of higher priority may take it; so may lower work, which is
    /// stopped when the room is wanted.
    pub(super) fn kept_from(&self, m: u32, ix: u32) -> Option<Amounts> {
        let s = self.machines[m].kept_for?;
        let shape = &self.shapes[s as usize];
        let free = self
            .jobs
            .get(ix)
            .is_some_and(|j| j.shape == Some(s) || j.spec.priority != shape.priority || j.entitled);
        (!free).then_some(shape.needs)
    }

    /// Whether a small task would leave no room for a whole-machine task that
    /// the machine could otherwise take.
    pub(super) fn breaks_whole(&self, ix: u32, m: u32) -> bool {
        let job = &self.jobs[ix];
        if job.shape.is_some() {
            return false;
        }
        let Some(kind) = self.types.get(self.machines[m].kind) else {
            return false;
        };
        if !self.shapes.iter().any(|s| self.suits_shape(s, m)) {
            // Nobody has asked for such a machine yet. Replicas that settle on the
            // largest GPU machines in the first seconds would stay there for good.
            let most = self
                .types
                .known
                .iter()
                .flatten()
                .map(|t| t.whole.gpus)
                .max();
            return job.is_service()
                && job.spec.needs.gpus == 0
                && kind.whole.gpus > 0
                && Some(kind.whole.gpus) == most;
        }
        // What stays: services, which do not end by themselves.
        let mut room = kind.whole;
        for key in self.machines[m].copies.keys() {
            if self.jobs[key.job].is_service() {
                room.sub(&self.jobs[key.job].spec.needs);
            }
        }
        let mut after = room;
        after.sub(&job.spec.needs);
        self.shapes.iter().any(|s| {
            s.rate_at(self.now) > 1e-3
                && self.suits_shape(s, m)
                && s.needs.fits_in(&room)
                && !s.needs.fits_in(&after)
        })
    }
}

impl Shape {
    pub fn rate_at(&self, now: Time) -> f64 {
        self.rate * (-(now - self.rated_at).max(0.0) / MEMORY_S).exp()
    }
}
