//! What connections and requests in flight may hold, in bytes, and who gives way first.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// What an idle connection holds, as the benchmark has it, rounded up.
pub(crate) const CONNECTION_BYTES: usize = 2 * 1024;
/// What a request in flight holds beside its body: head, futures, answer.
const REQUEST_BYTES: usize = 8 * 1024;
/// A body is held once as it came and once or twice as it is understood.
const TIMES_A_BODY: usize = 3;

/// Who asks: the lower gives way first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientClass {
    /// Can ask again in a second.
    User,
    /// Loses its lease, and its work, if it is refused for long.
    Worker,
}

impl ClientClass {
    /// Of the account, how much such a one may bring it to.
    fn share(self, limit: usize) -> usize {
        match self {
            Self::User => limit / 4 * 3,
            Self::Worker => limit,
        }
    }
}

/// An account that several servers share.
#[derive(Debug, Clone)]
pub struct Meter {
    limit: usize,
    held: Arc<AtomicUsize>,
}

impl Meter {
    /// `limit`: bytes that may be held at once.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: Arc::default(),
        }
    }

    /// Bytes held now.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    pub fn limit(&self) -> usize {
        self.limit
    }

    /// How many idle connections the account has room for beside a quarter for requests.
    pub fn connections(&self) -> usize {
        (self.limit / 4 * 3 / CONNECTION_BYTES).max(1)
    }

    /// An idle connection. It is open already, so it is counted whatever it brings the
    /// account to; how many there are is bounded by [`Meter::connections`].
    pub(crate) fn connection(&self) -> Charge {
        self.held.fetch_add(CONNECTION_BYTES, Ordering::Relaxed);
        Charge {
            meter: self.clone(),
            bytes: CONNECTION_BYTES,
        }
    }

    /// A request with a body of `body` bytes, if there is room for it.
    pub fn request(&self, body: usize, client_class: ClientClass) -> Option<Charge> {
        let bytes = REQUEST_BYTES + body.saturating_mul(TIMES_A_BODY);
        let limit = client_class.share(self.limit);
        let fits = |held: usize| held.checked_add(bytes).filter(|&after| after <= limit);
        self.held
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits)
            .ok()?;
        Some(Charge {
            meter: self.clone(),
            bytes,
        })
    }
}

/// Bytes on the account until this is dropped.
#[derive(Debug)]
pub struct Charge {
    meter: Meter,
    bytes: usize,
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.meter.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// For any memory and any crowd the sum stays below, users leave a quarter to
        /// workers, and when all are gone nothing is left on the account.
        #[test]
        fn the_sum_stays_below_whatever_is_asked(
            limit in 64usize * 1024..64 * 1024 * 1024,
            crowd in 0usize..5_000,
            asked in prop::collection::vec((0usize..70_000, any::<bool>(), any::<bool>()), 1..400),
        ) {
            let meter = Meter::new(limit);
            let open: Vec<Charge> =
                (0..crowd.min(meter.connections())).map(|_| meter.connection()).collect();
            let mut in_message_id = Vec::new();
            for (body, worker, ends) in asked {
                let client_class = if worker { ClientClass::Worker } else { ClientClass::User };
                match meter.request(body, client_class) {
                    Some(charge) => in_message_id.push(charge),
                    None => prop_assert!(
                        meter.held() + REQUEST_BYTES + 3 * body > client_class.share(limit)
                    ),
                }
                prop_assert!(meter.held() <= limit);
                if ends {
                    in_message_id.pop();
                }
            }
            drop((open, in_message_id));
            prop_assert_eq!(meter.held(), 0);
        }
    }
}
