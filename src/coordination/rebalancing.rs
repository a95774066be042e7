//! Moving replicas off workers that whole-worker tasks wait for.
//!
//! A replica stays where it started. Some start on the largest workers, in
//! the first seconds of a site or after a zone was lost, when there is no other
//! room; later a third of those workers were found held by a replica or two
//! each while whole-worker tasks waited in line. A replica is moved only to a
//! place that is claimed for it, so it is away for about a second, or for as
//! long as its image takes.

use super::model::*;
use super::state::{Core, SETTLED_S};

/// The share of all replicas that may be away for a move, and how many on a small
/// site. Eighty moves in half a minute once cost more replica time than losing the
/// leader did; moving only to where the image is left gangs without workers.
const AWAY: f64 = 0.002;
const MIN_AWAY: f64 = 0.5;
/// How long a move takes beside the fetch.
const MOVE_S: f64 = 1.0;
/// For how many seconds what is not used may be saved up.
const SAVED_S: f64 = 30.0;

struct Move {
    key: InstanceId,
    to: u32,
    victims: Vec<InstanceId>,
}

impl Core {
    /// Once a second: frees workers for the whole-worker tasks that wait.
    pub(super) fn rebalance_replicas(&mut self) {
        let services = self.jobs.iter().filter(|(_, j)| j.is_service());
        let replicas: u32 = services.map(|(_, j)| j.active).sum();
        let away = MIN_AWAY.max(f64::from(replicas) * AWAY);
        // In seconds that replicas are away.
        self.replica_downtime_budget_s =
            (self.replica_downtime_budget_s + away).min(away * SAVED_S);
        for s in 0..self.large_task_profiles.len() as u32 {
            let mut wanted = self.missing_workers(s);
            if wanted == 0 {
                continue;
            }
            let mut held: Vec<(usize, u32)> = self
                .workers
                .indices()
                .into_iter()
                .filter_map(|m| Some((self.replicas_in_the_way(s, m)?.len(), m)))
                .collect();
            held.sort_unstable();
            for (_, m) in held {
                if wanted == 0 || self.replica_downtime_budget_s <= 0.0 {
                    break;
                }
                if self.free_of_replicas(s, m) {
                    wanted -= 1;
                }
            }
        }
    }

    /// How many more workers the tasks that wait could take at once.
    fn missing_workers(&self, s: u32) -> usize {
        let waiting: usize = self
            .jobs
            .iter()
            .filter(|(_, j)| j.large_task_profile == Some(s) && j.state == JobState::Live)
            .filter(|(_, j)| j.unplaced_since.is_some_and(|t| self.now - t > 1.0))
            .map(|(_, j)| j.waiting() as usize)
            .sum();
        let coming = self
            .workers
            .iter()
            .filter(|(_, m)| m.reserved_for == Some(s))
            .count();
        waiting.saturating_sub(coming)
    }

    /// The replicas that keep tasks of a shape off a worker, if nothing else
    /// does for good and all of them may be moved.
    fn replicas_in_the_way(&self, s: u32, m: u32) -> Option<Vec<InstanceId>> {
        let large_task_profile = &self.large_task_profiles[s as usize];
        let worker = &self.workers[m];
        if !self.worker_usable(m)
            || !self.worker_suits_profile(large_task_profile, m)
            || !worker.reservations.is_empty()
            || worker.reserved_for.is_some()
        {
            return None;
        }
        let mut room = self.types.get(worker.kind)?.whole;
        let mut replicas = Vec::new();
        for (key, instance) in worker.instances.iter().filter(|(_, c)| c.possible()) {
            let job = &self.jobs[key.job];
            if job.is_service() {
                room.sub(&job.spec.needs);
                replicas.push((*key, instance));
            }
        }
        let mut in_the_way = Vec::new();
        for (key, instance) in replicas {
            if large_task_profile.needs.fits_in(&room) {
                break;
            }
            let settled = instance
                .running_since
                .is_some_and(|t| self.now - t > SETTLED_S);
            if instance.stop.is_some() || !settled || self.jobs[key.job].pinned {
                return None;
            }
            room.add(&self.jobs[key.job].spec.needs);
            in_the_way.push(key);
        }
        (!in_the_way.is_empty() && large_task_profile.needs.fits_in(&room)).then_some(in_the_way)
    }

    /// Moves all replicas in the way, or none.
    fn free_of_replicas(&mut self, s: u32, m: u32) -> bool {
        let Some(keys) = self.replicas_in_the_way(s, m) else {
            return false;
        };
        let mut moves: Vec<Move> = Vec::new();
        for key in keys {
            let taken = |to: u32| moves.iter().any(|o| o.to == to);
            let Some((to, victims)) = self.better_place(key, m, taken) else {
                return false;
            };
            moves.push(Move { key, to, victims });
        }
        for Move { key, to, victims } in moves {
            tracing::info!(
                job = %self.jobs[key.job].spec.id,
                from = self.workers[m].name,
                to = self.workers[to].name,
                "replica migrated off a whole worker"
            );
            self.replica_downtime_budget_s -= MOVE_S + self.fetch_s(key.job, to);
            self.stop_for(key.job, to, &victims);
            self.stop_instance(m, key, 0.0);
        }
        self.workers[m].reserved_for = Some(s);
        true
    }

    /// The cheapest worker that could serve the replica as well, preferably one
    /// that has its image.
    fn better_place(
        &self,
        key: InstanceId,
        from: u32,
        taken: impl Fn(u32) -> bool,
    ) -> Option<(u32, Vec<InstanceId>)> {
        let ix = key.job;
        let zone = self.workers[from].zone;
        self.workers
            .indices()
            .into_iter()
            .filter(|&m| m != from && !taken(m) && self.workers[m].reservations.is_empty())
            .filter(|&m| self.worker_usable(m) && self.worker_allowed(ix, m))
            // In its own zone it takes its own place.
            .filter(|&m| self.workers[m].zone == zone || self.zone_allows(ix, self.workers[m].zone))
            .filter(|&m| !self.breaks_whole(ix, m))
            .filter_map(|m| self.victims(ix, m).map(|(cost, v)| (cost, m, v)))
            .filter(|(_, _, v)| !v.iter().any(|k| self.jobs[k.job].is_gang()))
            .map(|(cost, m, v)| (self.fetch_s(ix, m), cost, m, v))
            .min_by(|a, b| {
                a.0.total_cmp(&b.0)
                    .then(a.1.total_cmp(&b.1))
                    .then(a.2.cmp(&b.2))
            })
            .map(|(_, _, m, victims)| (m, victims))
    }
}
