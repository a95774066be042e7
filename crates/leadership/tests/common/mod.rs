//! What the models of this package have in common: processes that restart, a state service that
//! fails, and names of steps.

use copperfield_leadership::Leadership;
use copperfield_model_checker::{History, ModelState, explore, walk};

/// A controller's lease and vote last that many steps of a model, without a margin: the state
/// service ends no lease early.
pub const TTL: u64 = 2;

/// The name of a step of one controller.
macro_rules! of {
    ($controller:expr, $step:literal) => {
        [
            concat!("controller 0 ", $step),
            concat!("controller 1 ", $step),
            concat!("controller 2 ", $step),
        ][$controller]
    };
}
pub(crate) use of;

/// One process of a controller, on a clock of its own.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Process {
    /// Counts the processes of the controller.
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

    /// The process that starts at once after this one has ended, and knows nothing.
    pub fn restarted(&self, now: u64) -> Self {
        Self {
            number: self.number + 1,
            leadership: Leadership::new(TTL, 0),
            started_at: now,
        }
    }

    /// The time on the clock of the process, which starts with it.
    pub fn clock(&self, now: u64) -> u64 {
        now - self.started_at
    }

    pub fn is_valid_leader(&self, now: u64) -> bool {
        self.leadership.is_valid(self.clock(now))
    }
}

/// What may still fail, and what has failed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Faults {
    /// The state service answers nobody.
    outage: bool,
    /// By controller: the state service refuses this one.
    refused: Vec<bool>,
    service_faults_left: u8,
    crashes_left: u8,
}

impl Faults {
    pub fn new(controllers: usize, service_faults: u8, crashes: u8) -> Self {
        Self {
            outage: false,
            refused: vec![false; controllers],
            service_faults_left: service_faults,
            crashes_left: crashes,
        }
    }

    pub fn is_outage(&self) -> bool {
        self.outage
    }

    /// Whether the state service answers this controller.
    pub fn serves(&self, controller: usize) -> bool {
        !self.outage && !self.refused[controller]
    }

    pub fn begin_outage(&mut self) -> bool {
        !std::mem::replace(&mut self.outage, true) && take_one(&mut self.service_faults_left)
    }

    pub fn end_outage(&mut self) -> bool {
        std::mem::take(&mut self.outage)
    }

    pub fn refuse(&mut self, controller: usize) -> bool {
        let refused = std::mem::replace(&mut self.refused[controller], true);
        !refused && take_one(&mut self.service_faults_left)
    }

    pub fn serve_again(&mut self, controller: usize) -> bool {
        std::mem::take(&mut self.refused[controller])
    }

    pub fn crash(&mut self) -> bool {
        take_one(&mut self.crashes_left)
    }
}

/// Takes one of a number of things that are left, if there is one.
pub fn take_one(left: &mut u8) -> bool {
    let any = *left > 0;
    *left = left.saturating_sub(1);
    any
}

/// Explores all histories up to a number of worlds. Fails if one breaks the property, or if the
/// depth to which all were explored is less than `least_depth`.
pub fn assert_holds_in_all_histories<S: ModelState>(start: S, states: u64, least_depth: usize) {
    let depth = explore(start, states as usize).unwrap_or_else(|history| fail(&history));
    println!("{states} states, all histories of up to {depth} steps");
    assert!(depth >= least_depth, "only to a depth of {depth}");
}

/// Fails if one of this many random histories breaks the property.
pub fn assert_holds_in_random_histories<S: ModelState>(start: &S, walks: u64, limit: usize) {
    let steps = walk(start, walks, limit).unwrap_or_else(|history| fail(&history));
    println!("{walks} random histories of {steps} steps");
}

/// Fails with the history that breaks the property.
pub fn fail(history: &History) -> ! {
    panic!("{history:#?}")
}
