//! What a new leader reads before it leads, and the jobs that are stored since.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use copperfield_fencing::timestamp;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::bitmap::TaskBitmap;
use super::records::{
    DRAINS, DrainRecord, FENCING, JOBS, PROGRESS, REGISTRY, WorkerRecord, parse_job_record,
};
use super::snapshot::{
    FencedWorker, Snapshot, StoredDrain, StoredFencingPage, StoredJob, StoredProgress,
    StoredRegistryPage,
};
use super::store::StoreError;
use crate::controller::commands::{Command, ControllerHandle};
use crate::controller::context::ControllerContext;
use crate::coordination::core::Input;
use crate::protocol::JobId;
use crate::protocol::state::Item;

/// Pause before the stored state is read again after a failure.
const READ_RETRY: Duration = Duration::from_millis(100);
/// Pause before jobs are watched or listed again after a failure.
const WATCH_RETRY: Duration = Duration::from_millis(300);
/// How long the state service may hold a watch open without news.
const WATCH_BLOCK: Duration = Duration::from_secs(2);
/// Pause between two watches: a burst of jobs comes in a few answers rather than one for each.
const WATCH_PAUSE: Duration = Duration::from_millis(15);

/// Reads what earlier leaders have stored, then follows new jobs until the token is superseded.
pub async fn recover(context: Arc<ControllerContext>, handle: ControllerHandle, token: u64) {
    let (snapshot, revision) = loop {
        if !context.leadership.leads(token) {
            return;
        }
        match read_snapshot(&context).await {
            Ok(found) => break found,
            Err(error) => {
                tracing::info!(%error, "cannot read the stored state yet");
                tokio::time::sleep(READ_RETRY).await;
            }
        }
    };
    tracing::info!(token, revision, "stored state read");
    handle.send(Command::Recovered { token, snapshot }).await;
    let follower = JobFollower {
        context,
        handle,
        token,
        revision,
    };
    follower.run().await;
}

/// Everything stored, and the revision from which new jobs are to be watched. The jobs are read
/// last, so that little has to be watched again.
async fn read_snapshot(context: &ControllerContext) -> Result<(Snapshot, u64), StoreError> {
    let fencing = read_fencing(context).await?;
    let vote_binding_until = context.leadership.vote_binding_until_s();
    let registry = read_registry(context).await?;
    let progress = read_progress(context).await?;
    let drains = read_drains(context).await?;
    let (jobs, revision) = read_jobs(context).await?;
    let snapshot = Snapshot {
        jobs,
        progress,
        registry,
        drains,
        fencing,
        vote_binding_until,
    };
    Ok((snapshot, revision))
}

/// The fencing record. Ages are taken here, before the core reads its clock.
async fn read_fencing(context: &ControllerContext) -> Result<Vec<StoredFencingPage>, StoreError> {
    let (items, _) = context.store.list(FENCING).await?;
    let unix_ms = context.unix_ms();
    let error_ms = context.settings.cluster.clock_error_ms.ceil() as u64;
    let fenced_worker = |(name, answered_at)| FencedWorker {
        name,
        age_ms: timestamp::min_age(answered_at, unix_ms, error_ms),
    };
    let mut pages = Vec::new();
    for item in items {
        let Some(page) = page_number(&item.key, FENCING) else {
            continue;
        };
        let answered_at = page_entries::<u64>(&item.key, item.value);
        pages.push(StoredFencingPage {
            page,
            version: item.version,
            workers: answered_at.map(|all| all.into_iter().map(fenced_worker).collect()),
        });
    }
    Ok(pages)
}

/// The worker registry. A page that does not parse is kept: the core then reckons with task
/// instances on workers that it does not know.
async fn read_registry(context: &ControllerContext) -> Result<Vec<StoredRegistryPage>, StoreError> {
    let (items, _) = context.store.list(REGISTRY).await?;
    let mut pages = Vec::new();
    for item in items {
        let Some(page) = page_number(&item.key, REGISTRY) else {
            continue;
        };
        let workers = page_entries::<WorkerRecord>(&item.key, item.value);
        pages.push(StoredRegistryPage {
            page,
            version: item.version,
            workers: workers.map(|all| all.into_iter().collect()),
        });
    }
    Ok(pages)
}

async fn read_progress(context: &ControllerContext) -> Result<Vec<StoredProgress>, StoreError> {
    let (items, _) = context.store.list(PROGRESS).await?;
    Ok(items.into_iter().filter_map(stored_progress).collect())
}

fn stored_progress(item: Item) -> Option<StoredProgress> {
    let chunk_key = progress_of_key(&item.key);
    let bitmap = TaskBitmap::from_record(&item.value);
    match (chunk_key, bitmap) {
        (Some((job, chunk)), Ok(bitmap)) => Some(StoredProgress {
            job,
            chunk,
            bitmap,
            version: item.version,
        }),
        (_, bitmap) => {
            let error = bitmap.err().map(|e| e.to_string());
            tracing::error!(key = item.key, error, "progress record does not parse");
            None
        }
    }
}

/// The job and the chunk that a key of [`PROGRESS`] names.
fn progress_of_key(key: &str) -> Option<(JobId, u32)> {
    let (job, chunk) = key.strip_prefix(PROGRESS)?.split_once('/')?;
    Some((JobId::parse(job)?, chunk.parse().ok()?))
}

async fn read_drains(context: &ControllerContext) -> Result<Vec<StoredDrain>, StoreError> {
    let (items, _) = context.store.list(DRAINS).await?;
    let mut drains = Vec::new();
    for item in items {
        let worker = item
            .key
            .strip_prefix(DRAINS)
            .unwrap_or_default()
            .to_string();
        let record: Option<DrainRecord> = serde_json::from_value(item.value)
            .inspect_err(|error| tracing::error!(worker, %error, "drain record does not parse"))
            .ok();
        let until_ms = record.and_then(|r| r.until_ms);
        drains.push(StoredDrain {
            worker,
            record,
            deadline_in_s: until_ms.map(|at| (at as f64 - context.unix_ms() as f64) / 1000.0),
            version: item.version,
        });
    }
    Ok(drains)
}

async fn read_jobs(context: &ControllerContext) -> Result<(Vec<StoredJob>, u64), StoreError> {
    let (items, revision) = context.store.list(JOBS).await?;
    let jobs = items
        .iter()
        .filter_map(|item| stored_job(&item.key, &item.value, item.version, context.unix_ms()))
        .collect();
    Ok((jobs, revision))
}

/// The number of the page that is kept under this key.
fn page_number(key: &str, prefix: &str) -> Option<u32> {
    let page = key.strip_prefix(prefix).and_then(|n| n.parse::<u16>().ok());
    if page.is_none() {
        tracing::error!(key, "key has no page number");
    }
    page.map(u32::from)
}

/// What a page has for each worker that it names; `None` if it does not parse.
fn page_entries<T: DeserializeOwned>(key: &str, value: Value) -> Option<BTreeMap<String, T>> {
    serde_json::from_value(value)
        .inspect_err(|error| tracing::error!(key, %error, "page does not parse"))
        .ok()
}

/// The job of a record. One that does not parse stays stored: another version may still run it.
fn stored_job(key: &str, value: &Value, version: u64, unix_ms: u64) -> Option<StoredJob> {
    match parse_job_record(value) {
        Ok(record) => Some(StoredJob {
            age_s: unix_ms.saturating_sub(record.accepted_ms) as f64 / 1000.0,
            spec: record.spec,
            accepted_ms: record.accepted_ms,
            version,
        }),
        Err(error) => {
            tracing::error!(key, %error, "job record does not parse");
            None
        }
    }
}

/// Gives the core the jobs that are stored while this controller leads.
struct JobFollower {
    context: Arc<ControllerContext>,
    handle: ControllerHandle,
    token: u64,
    /// The last revision whose jobs the core has.
    revision: u64,
}

impl JobFollower {
    async fn run(mut self) {
        while self.context.leadership.leads(self.token) {
            let watched = self
                .context
                .store
                .watch(JOBS, self.revision, WATCH_BLOCK)
                .await;
            match watched {
                Ok(changes) => {
                    self.revision = self.revision.max(changes.revision);
                    for event in changes.events {
                        let Some(key) = event.put else { continue };
                        self.submit(&key, &event.value, event.version).await;
                    }
                    tokio::time::sleep(WATCH_PAUSE).await;
                }
                Err(StoreError::TooOld) => self.list_again().await,
                Err(error) => {
                    tracing::debug!(%error, "watch failed");
                    tokio::time::sleep(WATCH_RETRY).await;
                }
            }
        }
    }

    /// Reads all jobs: the watch cannot go on from where it was.
    async fn list_again(&mut self) {
        let Ok((items, revision)) = self.context.store.list(JOBS).await else {
            return tokio::time::sleep(WATCH_RETRY).await;
        };
        self.revision = revision;
        for item in items {
            self.submit(&item.key, &item.value, item.version).await;
        }
    }

    async fn submit(&self, key: &str, value: &Value, version: u64) {
        let unix_ms = self.context.unix_ms();
        if let Some(job) = stored_job(key, value, version, unix_ms) {
            let input = Input::Job(job);
            let token = self.token;
            self.handle.send(Command::Input { token, input }).await;
        }
    }
}
