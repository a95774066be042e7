//! The account of memory, under any load.

use copperfield_http::{Charge, ClientClass, Meter, REQUEST_BYTES};
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
        let meter = Meter::new(limit);
        let open: Vec<Charge> =
            (0..connections.min(meter.connections())).map(|_| meter.connection()).collect();
        let mut in_flight = Vec::new();
        for (body, worker, ends) in requests {
            let client_class = if worker { ClientClass::Worker } else { ClientClass::User };
            match meter.request(body, client_class) {
                Some(charge) => in_flight.push(charge),
                None => prop_assert!(
                    meter.held() + REQUEST_BYTES + 3 * body > client_class.share(limit)
                ),
            }
            prop_assert!(meter.held() <= limit);
            if ends {
                in_flight.pop();
            }
        }
        drop((open, in_flight));
        prop_assert_eq!(meter.held(), 0);
    }
}
