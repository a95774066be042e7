//! Reads the stored state for a new leader, then watches for jobs stored after that.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use copperfield_fencing::timestamp;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::bitmap::TaskBitmap;
use super::records::{
    DRAINS_PREFIX, DrainRecord, FENCING_PREFIX, JOBS_PREFIX, PROGRESS_PREFIX, REGISTRY_PREFIX,
    WorkerRecord, parse_job_record,
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

/// Delay before reading the stored state is retried after a failure.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay before watching or listing jobs is retried after a failure.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum time that the state service holds a watch open while nothing changes.
const WATCH_BLOCK: Duration = Duration::from_secs(2);
/// Delay between two watches, so that a burst of jobs arrives in a few responses instead of one
/// response per job.
const WATCH_INTERVAL: Duration = Duration::from_millis(15);

/// Reads the state stored by earlier leaders and passes it to the event loop, then watches for new
/// jobs until this controller no longer leads under `token`.
pub async fn recover(context: Arc<ControllerContext>, handle: ControllerHandle, token: u64) {
    let (snapshot, revision) = loop {
        if !context.leadership.leads(token) {
            return;
        }
        match read_snapshot(&context).await {
            Ok(result) => break result,
            Err(error) => {
                tracing::info!(%error, "cannot read the stored state yet");
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
        }
    };
    tracing::info!(token, revision, "stored state read");
    handle.send(Command::Recovered { token, snapshot }).await;
    let watcher = JobWatcher {
        context,
        handle,
        token,
        revision,
    };
    watcher.run().await;
}

/// Reads all stored records, and returns them with the revision from which to watch for new jobs.
/// Jobs are read last, so that the first watch returns few changes.
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

/// Reads the fencing record. The ages are computed here, before the core reads its clock, so
/// that a delay in between can only make them too small.
async fn read_fencing(context: &ControllerContext) -> Result<Vec<StoredFencingPage>, StoreError> {
    let (items, _) = context.store.list(FENCING_PREFIX).await?;
    let unix_ms = context.unix_ms();
    let error_ms = context.settings.cluster.clock_error_ms.ceil() as u64;
    let to_fenced_worker = |(name, answered_at)| FencedWorker {
        name,
        age_ms: timestamp::min_age(answered_at, unix_ms, error_ms),
    };
    let mut pages = Vec::new();
    for item in items {
        let Some(page) = parse_page_number(&item.key, FENCING_PREFIX) else {
            continue;
        };
        let answered_at = parse_page::<u64>(&item.key, item.value);
        pages.push(StoredFencingPage {
            page,
            version: item.version,
            workers: answered_at.map(|all| all.into_iter().map(to_fenced_worker).collect()),
        });
    }
    Ok(pages)
}

/// Reads the worker registry. A page that does not parse is included without its workers, so that
/// the core assumes that unknown workers hold task instances.
async fn read_registry(context: &ControllerContext) -> Result<Vec<StoredRegistryPage>, StoreError> {
    let (items, _) = context.store.list(REGISTRY_PREFIX).await?;
    let mut pages = Vec::new();
    for item in items {
        let Some(page) = parse_page_number(&item.key, REGISTRY_PREFIX) else {
            continue;
        };
        let workers = parse_page::<WorkerRecord>(&item.key, item.value);
        pages.push(StoredRegistryPage {
            page,
            version: item.version,
            workers: workers.map(|all| all.into_iter().collect()),
        });
    }
    Ok(pages)
}

async fn read_progress(context: &ControllerContext) -> Result<Vec<StoredProgress>, StoreError> {
    let (items, _) = context.store.list(PROGRESS_PREFIX).await?;
    Ok(items.into_iter().filter_map(parse_progress).collect())
}

fn parse_progress(item: Item) -> Option<StoredProgress> {
    let chunk_key = parse_progress_key(&item.key);
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

/// Parses the job and the chunk index from a key below [`PROGRESS_PREFIX`].
fn parse_progress_key(key: &str) -> Option<(JobId, u32)> {
    let (job, chunk) = key.strip_prefix(PROGRESS_PREFIX)?.split_once('/')?;
    Some((JobId::parse(job)?, chunk.parse().ok()?))
}

async fn read_drains(context: &ControllerContext) -> Result<Vec<StoredDrain>, StoreError> {
    let (items, _) = context.store.list(DRAINS_PREFIX).await?;
    let mut drains = Vec::new();
    for item in items {
        let worker = item
            .key
            .strip_prefix(DRAINS_PREFIX)
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
    let (items, revision) = context.store.list(JOBS_PREFIX).await?;
    let jobs = items
        .iter()
        .filter_map(|item| {
            parse_stored_job(&item.key, &item.value, item.version, context.unix_ms())
        })
        .collect();
    Ok((jobs, revision))
}

/// Parses the page number from a key below `prefix`.
fn parse_page_number(key: &str, prefix: &str) -> Option<u32> {
    let page = key.strip_prefix(prefix).and_then(|n| n.parse::<u16>().ok());
    if page.is_none() {
        tracing::error!(key, "key has no page number");
    }
    page.map(u32::from)
}

/// Parses a page into its entries by worker name; `None` if it does not parse.
fn parse_page<T: DeserializeOwned>(key: &str, value: Value) -> Option<BTreeMap<String, T>> {
    serde_json::from_value(value)
        .inspect_err(|error| tracing::error!(key, %error, "page does not parse"))
        .ok()
}

/// Parses the record of a live job. A record that does not parse is skipped but not deleted,
/// because a controller of another version may be able to run the job.
fn parse_stored_job(key: &str, value: &Value, version: u64, unix_ms: u64) -> Option<StoredJob> {
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

/// Watches for jobs stored while this controller leads, and passes them to the core.
struct JobWatcher {
    context: Arc<ControllerContext>,
    handle: ControllerHandle,
    token: u64,
    /// The revision up to which all jobs have been passed to the core.
    revision: u64,
}

impl JobWatcher {
    async fn run(mut self) {
        while self.context.leadership.leads(self.token) {
            let watched = self
                .context
                .store
                .watch(JOBS_PREFIX, self.revision, WATCH_BLOCK)
                .await;
            match watched {
                Ok(changes) => {
                    self.revision = self.revision.max(changes.revision);
                    for event in changes.events {
                        let Some(key) = event.put else { continue };
                        self.submit(&key, &event.value, event.version).await;
                    }
                    tokio::time::sleep(WATCH_INTERVAL).await;
                }
                Err(StoreError::WatchExpired) => self.relist_jobs().await,
                Err(error) => {
                    tracing::debug!(%error, "watch failed");
                    tokio::time::sleep(WATCH_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Lists all jobs, because the watch cannot continue from the last revision.
    async fn relist_jobs(&mut self) {
        let Ok((items, revision)) = self.context.store.list(JOBS_PREFIX).await else {
            return tokio::time::sleep(WATCH_RETRY_DELAY).await;
        };
        self.revision = revision;
        for item in items {
            self.submit(&item.key, &item.value, item.version).await;
        }
    }

    async fn submit(&self, key: &str, value: &Value, version: u64) {
        let unix_ms = self.context.unix_ms();
        if let Some(job) = parse_stored_job(key, value, version, unix_ms) {
            let input = Input::Job(job);
            let token = self.token;
            self.handle.send(Command::Input { token, input }).await;
        }
    }
}
