//! The account of memory, under any load.

use copperfield_http::{ClientClass, MemoryBudget, REQUEST_BYTES, Reservation};
use proptest::prelude::*;

proptest! {
    /// For any memory and any number of connections the sum stays below the limit, users leave a
    /// quarter to workers, and when all are gone nothing is held.
    #[test]
    fn held_bytes_stay_below_the_limit_and_return_to_zero(
        limit in 64usize * 1024..64 * 1024 * 1024,
        connections in 0usize..5_000,
        requests in prop::collection::vec((0usize..70_000, any::<bool>(), any::<bool>()), 1..400),
    ) {
        let memory_budget = MemoryBudget::new(limit);
        let open: Vec<Reservation> =
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
        drop((open, in_flight));
        prop_assert_eq!(memory_budget.used(), 0);
    }
}
