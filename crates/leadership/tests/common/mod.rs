//! Shared by the models of this crate: processes that restart, faults of the state service, and
//! helpers to name steps and explore histories.

use copperfield_leadership::Leadership;
use copperfield_model_checker::{History, ModelState, explore, walk};

/// How many steps of a model a controller's lease or vote lasts. There is no margin, as the
/// modelled state service never ends a lease early.
pub const TTL: u64 = 2;

/// Returns the name of a step of one controller.
macro_rules! controller_step {
    ($controller:expr, $step:literal) => {
        [
            concat!("controller 0 ", $step),
            concat!("controller 1 ", $step),
            concat!("controller 2 ", $step),
        ][$controller]
    };
}
pub(crate) use controller_step;

/// One process of a controller, with its own clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Process {
    /// Number of earlier processes of the same controller.
    pub number: u8,
    pub leadership: Leadership,
    started_at: u64,
}

impl Process {
    pub fn first() -> Self {
        Self {
            number: 0,
            leadership: Leadership::new(TTL, 0),
            started_at: 0,
        }
    }

    /// The process that replaces this one immediately after it has ended, without any of its state.
    pub fn restarted(&self, now: u64) -> Self {
        Self {
            number: self.number + 1,
            leadership: Leadership::new(TTL, 0),
            started_at: now,
        }
    }

    /// The time on the clock of the process, counted from the start of the process.
    pub fn clock(&self, now: u64) -> u64 {
        now - self.started_at
    }

    pub fn is_valid_leader(&self, now: u64) -> bool {
        self.leadership.is_valid(self.clock(now))
    }
}

/// The faults in effect, and how many more may occur.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Faults {
    /// Whether the state service answers no controller.
    outage: bool,
    /// For each controller, whether it alone cannot reach the state service.
    cut_off: Vec<bool>,
    service_faults_left: u8,
    crashes_left: u8,
}

impl Faults {
    pub fn new(controllers: usize, service_faults: u8, crashes: u8) -> Self {
        Self {
            outage: false,
            cut_off: vec![false; controllers],
            service_faults_left: service_faults,
            crashes_left: crashes,
        }
    }

    pub fn is_outage(&self) -> bool {
        self.outage
    }

    /// Whether the state service answers this controller.
    pub fn can_reach_store(&self, controller: usize) -> bool {
        !self.outage && !self.cut_off[controller]
    }

    pub fn begin_outage(&mut self) -> bool {
        !std::mem::replace(&mut self.outage, true) && take_one(&mut self.service_faults_left)
    }

    pub fn end_outage(&mut self) -> bool {
        std::mem::take(&mut self.outage)
    }

    pub fn cut_off(&mut self, controller: usize) -> bool {
        let cut_off = std::mem::replace(&mut self.cut_off[controller], true);
        !cut_off && take_one(&mut self.service_faults_left)
    }

    pub fn reconnect(&mut self, controller: usize) -> bool {
        std::mem::take(&mut self.cut_off[controller])
    }

    pub fn crash(&mut self) -> bool {
        take_one(&mut self.crashes_left)
    }
}

/// Decrements a counter. Returns false if it was already zero.
pub fn take_one(left: &mut u8) -> bool {
    let any = *left > 0;
    *left = left.saturating_sub(1);
    any
}

/// Explores all histories until `states` states were seen. Fails if a history violates the
/// property, or if the depth to which all histories were explored is less than `least_depth`.
pub fn assert_holds_in_all_histories<S: ModelState>(start: S, states: u64, least_depth: usize) {
    let depth = explore(start, states as usize).unwrap_or_else(|history| fail(&history));
    println!("{states} states, all histories of up to {depth} steps");
    assert!(depth >= least_depth, "explored to a depth of {depth} only");
}

/// Fails if one of `walks` random histories of up to `limit` steps violates the property.
pub fn assert_holds_in_random_histories<S: ModelState>(start: &S, walks: u64, limit: usize) {
    let steps = walk(start, walks, limit).unwrap_or_else(|history| fail(&history));
    println!("{walks} random histories of {steps} steps");
}

/// Fails and prints a history that violates the property.
pub fn fail(history: &History) -> ! {
    panic!("{history:#?}")
}
