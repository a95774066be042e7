//! Tests of the memory budget with arbitrary numbers of connections and requests.

use copperfield_http::{ClientClass, MemoryBudget, REQUEST_BYTES, Reservation};
use proptest::prelude::*;

proptest! {
    /// The bytes in use must never exceed the limit. A request may be refused only if it would
    /// exceed the limit for its class: users leave a quarter of the budget to workers. After all
    /// reservations are dropped, no bytes may be in use.
    #[test]
    fn used_bytes_stay_within_the_limit_and_return_to_zero(
        limit in 64usize * 1024..64 * 1024 * 1024,
        connections in 0usize..5_000,
        requests in prop::collection::vec((0usize..70_000, any::<bool>(), any::<bool>()), 1..400),
    ) {
        let memory_budget = MemoryBudget::new(limit);
        let open_connections: Vec<Reservation> =
            (0..connections.min(memory_budget.max_connections())).map(|_| memory_budget.reserve_connection()).collect();
        let mut in_flight = Vec::new();
        for (body, worker, ends) in requests {
            let client_class = if worker { ClientClass::Worker } else { ClientClass::User };
            match memory_budget.try_reserve_request(body, client_class) {
                Some(reservation) => in_flight.push(reservation),
                None => prop_assert!(
                    memory_budget.used() + REQUEST_BYTES + 3 * body > client_class.share(limit)
                ),
            }
            prop_assert!(memory_budget.used() <= limit);
            if ends {
                in_flight.pop();
            }
        }
        drop((open_connections, in_flight));
        prop_assert_eq!(memory_budget.used(), 0);
    }
}
