//! Limits the memory of connections and requests in flight. Requests of users are refused before
//! those of workers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The memory of an idle connection in bytes, as measured by the benchmark `held` and rounded up.
const CONNECTION_BYTES: usize = 2 * 1024;
/// The memory of a request in flight without its body, in bytes: the head, the futures and the
/// response.
pub const REQUEST_BYTES: usize = 8 * 1024;
/// How many copies of a body are held at most: the received bytes and one or two parsed forms.
const BODY_COPIES: usize = 3;

/// The class of the client that sends a request. Requests of the lower class are refused first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientClass {
    /// A user, who can repeat a refused request a second later.
    User,
    /// A worker, which loses its lease and its work if it is refused for long.
    Worker,
}

impl ClientClass {
    /// Returns how many of `limit` bytes may be in use after a request of this class is accepted.
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

/// Counts the bytes that are in use by all servers that share the budget, and enforces a limit.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    limit: usize,
    used: Arc<AtomicUsize>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: Arc::default(),
        }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns the maximum number of bytes that may be in use.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the maximum number of connections. A quarter of the budget is kept for requests.
    pub fn max_connections(&self) -> usize {
        (three_quarters(self.limit) / CONNECTION_BYTES).max(1)
    }

    /// Reserves the memory of an idle connection, even beyond the limit, because the connection is
    /// already open. The number of connections is bounded by [`MemoryBudget::max_connections`].
    pub fn reserve_connection(&self) -> Reservation {
        self.used.fetch_add(CONNECTION_BYTES, Ordering::Relaxed);
        self.reservation(CONNECTION_BYTES)
    }

    /// Reserves the memory of a request with a body of `body_length` bytes. Returns `None` if that
    /// would exceed the limit for the class.
    pub fn try_reserve_request(
        &self,
        body_length: usize,
        client_class: ClientClass,
    ) -> Option<Reservation> {
        let bytes = REQUEST_BYTES + body_length.saturating_mul(BODY_COPIES);
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

/// Bytes of a [`MemoryBudget`] that are in use until the reservation is dropped.
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
