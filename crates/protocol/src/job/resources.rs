//! Amounts of the resources that tasks need and workers have.

/// Units of a resource in one of its whole: amounts are kept in thousandths.
const UNITS_PER_WHOLE: f64 = 1000.0;

/// Amounts of resources in integral thousandths, so that adding and subtracting never drifts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Resources {
    /// Thousandths of a CPU.
    pub cpus: i64,
    /// Thousandths of a GPU.
    pub gpus: i64,
    /// Thousandths of a GB of memory.
    pub memory: i64,
}

impl Resources {
    /// Amounts in whole CPUs, whole GPUs and GB, rounded to thousandths.
    pub fn new(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let units = |whole: f64| (whole * UNITS_PER_WHOLE).round() as i64;
        Self {
            cpus: units(cpus),
            gpus: units(gpus),
            memory: units(memory_gb),
        }
    }

    /// Whether `room` has at least as much of each resource.
    pub fn fits_in(&self, room: &Self) -> bool {
        self.cpus <= room.cpus && self.gpus <= room.gpus && self.memory <= room.memory
    }

    /// Adds each of `other`'s amounts.
    pub fn add(&mut self, other: &Self) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory += other.memory;
    }

    /// Subtracts each of `other`'s amounts.
    pub fn sub(&mut self, other: &Self) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory -= other.memory;
    }

    /// The largest share, of any resource, that `self` takes of `whole`.
    pub fn dominant_share_of(&self, whole: &Self) -> f64 {
        let share = |a: i64, b: i64| if b > 0 { a as f64 / b as f64 } else { 0.0 };
        share(self.cpus, whole.cpus)
            .max(share(self.gpus, whole.gpus))
            .max(share(self.memory, whole.memory))
    }

    /// Whole CPUs.
    pub fn whole_cpus(&self) -> f64 {
        self.cpus as f64 / UNITS_PER_WHOLE
    }

    /// Whole GPUs.
    pub fn whole_gpus(&self) -> f64 {
        self.gpus as f64 / UNITS_PER_WHOLE
    }

    /// Memory in GB.
    pub fn memory_gb(&self) -> f64 {
        self.memory as f64 / UNITS_PER_WHOLE
    }
}
