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
pub enum Standing {
    /// Can ask again in a second.
    User,
    /// Loses its lease, and its work, if it is refused for long.
    Worker,
}

impl Standing {
    /// Of the account, how much such a one may bring it to.
    fn share(self, most: usize) -> usize {
        match self {
            Self::User => most / 4 * 3,
            Self::Worker => most,
        }
    }
}

/// An account that several servers share.
#[derive(Debug, Clone)]
pub struct Meter {
    most: usize,
    held: Arc<AtomicUsize>,
}

impl Meter {
    /// `most`: bytes that may be held at once.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            held: Arc::default(),
        }
    }

    /// Bytes held now.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    pub fn most(&self) -> usize {
        self.most
    }

    /// How many idle connections the account has room for beside a quarter for requests.
    pub fn connections(&self) -> usize {
        (self.most / 4 * 3 / CONNECTION_BYTES).max(1)
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
    pub fn request(&self, body: usize, standing: Standing) -> Option<Charge> {
        let bytes = REQUEST_BYTES + body.saturating_mul(TIMES_A_BODY);
        let most = standing.share(self.most);
        let fits = |held: usize| held.checked_add(bytes).filter(|&after| after <= most);
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
            most in 64usize * 1024..64 * 1024 * 1024,
            crowd in 0usize..5_000,
            asked in prop::collection::vec((0usize..70_000, any::<bool>(), any::<bool>()), 1..400),
        ) {
            let meter = Meter::new(most);
            let open: Vec<Charge> =
                (0..crowd.min(meter.connections())).map(|_| meter.connection()).collect();
            let mut in_flight = Vec::new();
            for (body, worker, ends) in asked {
                let standing = if worker { Standing::Worker } else { Standing::User };
                match meter.request(body, standing) {
                    Some(charge) => in_flight.push(charge),
                    None => prop_assert!(
                        meter.held() + REQUEST_BYTES + 3 * body > standing.share(most)
                    ),
                }
                prop_assert!(meter.held() <= most);
                if ends {
                    in_flight.pop();
                }
            }
            drop((open, in_flight));
            prop_assert_eq!(meter.held(), 0);
        }
    }
}
