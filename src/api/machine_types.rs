//! Every controller needs the machine types to validate submissions.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::controller::commands::{Command, ControllerHandle};
use crate::controller::context::ControllerContext;
use crate::controller::effects::read_machine_types;

/// Before the second attempt; each later one waits twice as long, up to [`MAX_RETRY`].
const FIRST_RETRY: Duration = Duration::from_millis(250);
const MAX_RETRY: Duration = Duration::from_secs(2);
/// Types may be added; prices matter to the leader alone, which reads them more often.
const REFRESH: Duration = Duration::from_secs(120);

/// Reads the machine types again and again, for ever.
pub(super) async fn refresh(context: Arc<ControllerContext>, handle: ControllerHandle) {
    let mut pause = FIRST_RETRY;
    let began = Instant::now();
    loop {
        if let Some(types) = read_machine_types(&context).await {
            tracing::debug!(after = ?began.elapsed(), "machine types known");
            handle.send(Command::SetMachineTypes(types)).await;
            pause = REFRESH;
        } else if pause < MAX_RETRY {
            pause *= 2;
        }
        sleep(pause).await;
    }
}
