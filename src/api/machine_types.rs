//! Periodic reading of the machine types, which every controller needs to validate submissions.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::controller::commands::{Command, ControllerHandle};
use crate::controller::context::ControllerContext;
use crate::controller::effects::read_machine_types;

/// The initial retry delay. It is doubled at each failed attempt, before the wait, up to
/// [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// How often the machine types are read again, because the cloud may add types. Prices matter only
/// to the leader, which reads the types more often.
const REFRESH_INTERVAL: Duration = Duration::from_secs(120);

/// Reads the machine types periodically. Never returns.
pub(super) async fn refresh(context: Arc<ControllerContext>, handle: ControllerHandle) {
    let mut delay = INITIAL_RETRY_DELAY;
    let started = Instant::now();
    loop {
        if let Some(types) = read_machine_types(&context).await {
            tracing::debug!(after = ?started.elapsed(), "machine types known");
            handle.send(Command::SetMachineTypes(types)).await;
            delay = REFRESH_INTERVAL;
        } else if delay < MAX_RETRY_DELAY {
            delay *= 2;
        }
        sleep(delay).await;
    }
}
