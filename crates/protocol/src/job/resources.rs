//! Amounts of the resources that tasks need and that workers have.

/// Amounts are stored in thousandths of a CPU, a GPU or a GB.
const UNITS_PER_WHOLE: f64 = 1000.0;

/// Amounts of resources in integer thousandths, so that additions and subtractions cause no
/// rounding errors.
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
    /// Creates amounts from CPUs, GPUs and GB of memory, rounded to thousandths.
    pub fn new(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let units = |whole: f64| (whole * UNITS_PER_WHOLE).round() as i64;
        Self {
            cpus: units(cpus),
            gpus: units(gpus),
            memory: units(memory_gb),
        }
    }

    /// Whether `available` has at least as much of each resource.
    pub fn fits_in(&self, available: &Self) -> bool {
        self.cpus <= available.cpus
            && self.gpus <= available.gpus
            && self.memory <= available.memory
    }

    /// Adds the amounts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory += other.memory;
    }

    /// Subtracts the amounts of `other`.
    pub fn sub(&mut self, other: &Self) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory -= other.memory;
    }

    /// Returns the dominant share: the largest share of any one resource that these amounts take of
    /// `capacity`.
    pub fn dominant_share_of(&self, capacity: &Self) -> f64 {
        let share = |amount: i64, total: i64| {
            if total > 0 {
                amount as f64 / total as f64
            } else {
                0.0
            }
        };
        share(self.cpus, capacity.cpus)
            .max(share(self.gpus, capacity.gpus))
            .max(share(self.memory, capacity.memory))
    }

    /// The number of CPUs, which may be a fraction.
    pub fn fractional_cpus(&self) -> f64 {
        self.cpus as f64 / UNITS_PER_WHOLE
    }

    /// The number of GPUs, which may be a fraction.
    pub fn fractional_gpus(&self) -> f64 {
        self.gpus as f64 / UNITS_PER_WHOLE
    }

    /// The amount of memory in GB.
    pub fn memory_gb(&self) -> f64 {
        self.memory as f64 / UNITS_PER_WHOLE
    }
}
