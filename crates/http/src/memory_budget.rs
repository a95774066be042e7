//! The memory that connections and requests in flight may hold, and who is refused first.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// What an idle connection holds, as the benchmark measures it, rounded up.
const CONNECTION_BYTES: usize = 2 * 1024;
/// What a request in flight holds beside its body: head, futures, answer.
pub const REQUEST_BYTES: usize = 8 * 1024;
/// A body is held once as it came and once or twice as it is parsed.
const BODY_COPIES: usize = 3;

/// Who sends a request: the lower class is refused first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientClass {
    /// Can ask again in a second.
    User,
    /// Loses its lease, and its work, if it is refused for long.
    Worker,
}

impl ClientClass {
    /// The part of `limit` bytes up to which requests of this class are accepted.
    pub fn share(self, limit: usize) -> usize {
        match self {
            Self::User => three_quarters(limit),
            Self::Worker => limit,
        }
    }
}

fn three_quarters(limit: usize) -> usize {
    limit / 4 * 3
}

/// Counts the bytes held by all servers that share it, against a limit.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    limit: usize,
    used: Arc<AtomicUsize>,
}

impl MemoryBudget {
    /// `limit`: bytes that may be held at once.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: Arc::default(),
        }
    }

    /// Bytes held now.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Bytes that may be held at once.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// How many idle connections there is room for beside a quarter for requests.
    pub fn max_connections(&self) -> usize {
        (three_quarters(self.limit) / CONNECTION_BYTES).max(1)
    }

    /// Counts an idle connection. It is open already, so it is counted even beyond the limit;
    /// how many there are is bounded by [`MemoryBudget::max_connections`].
    pub fn reserve_connection(&self) -> Reservation {
        self.used.fetch_add(CONNECTION_BYTES, Ordering::Relaxed);
        self.reservation(CONNECTION_BYTES)
    }

    /// Counts a request with a body of `body` bytes, if there is room for it.
    pub fn try_reserve_request(
        &self,
        body: usize,
        client_class: ClientClass,
    ) -> Option<Reservation> {
        let bytes = REQUEST_BYTES + body.saturating_mul(BODY_COPIES);
        let limit = client_class.share(self.limit);
        let fits = |used: usize| used.checked_add(bytes).filter(|&after| after <= limit);
        self.used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits)
            .ok()?;
        Some(self.reservation(bytes))
    }

    fn reservation(&self, bytes: usize) -> Reservation {
        Reservation {
            memory_budget: self.clone(),
            bytes,
        }
    }
}

/// Bytes that are counted until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory_budget: MemoryBudget,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory_budget
            .used
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
