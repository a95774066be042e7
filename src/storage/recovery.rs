//! What a new leader reads before it leads, and the jobs that are stored since.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use copperfield_fencing::stamp;
use serde::de::DeserializeOwned;

use super::store::StoreError;
use super::{
    DRAINS, DrainRecord, FENCING, JOBS, PROGRESS, REGISTRY, Snapshot, StoredDrain,
    StoredFencingPage, StoredJob, StoredRegistryPage, WorkerRecord, bitmap, parse_job_record,
};
use crate::controller::commands::{Command, Handle};
use crate::controller::context::ControllerContext;
use crate::coordination::core::Input;
use crate::protocol::JobId;

/// Reads what earlier leaders have stored, then follows new jobs.
pub async fn recover(context: Arc<ControllerContext>, handle: Handle, token: u64) {
    let (snapshot, revision) = loop {
        if !context.leadership.leads(token) {
            return;
        }
        match read_snapshot(&context).await {
            Ok(found) => break found,
            Err(error) => {
                tracing::info!(%error, "cannot read the stored state yet");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    };
    handle.send(Command::Recovered { token, snapshot }).await;
    follow_jobs(context, handle, token, revision).await;
}

async fn read_snapshot(context: &ControllerContext) -> Result<(Snapshot, u64), StoreError> {
    let store = &context.store;
    let unix_ms = || context.unix_ms();
    let mut snapshot = Snapshot {
        fencing: read_fencing(context).await?,
        vote_binding_until: context.leadership.vote_binding_until_s(),
        ..Snapshot::default()
    };
    let (pages, _) = store.list(REGISTRY).await?;
    for item in pages {
        let Some(page) = number(&item.key, REGISTRY) else {
            continue;
        };
        // Never dropped: the core then holds back what workers unknown to it may hold.
        let workers = entries::<WorkerRecord>(&item.key, item.value);
        snapshot.registry.push(StoredRegistryPage {
            page,
            version: item.version,
            workers: workers.map(|m| m.into_iter().collect()),
        });
    }
    let (progress, _) = store.list(PROGRESS).await?;
    for item in progress {
        let parsed = item.key[PROGRESS.len()..]
            .split_once('/')
            .and_then(|(job, chunk)| {
                Some((
                    JobId::parse(job)?,
                    chunk.parse().ok()?,
                    bitmap::from_record(&item.value)?,
                ))
            });
        match parsed {
            Some((job, chunk, bits)) => snapshot.progress.push((job, chunk, bits, item.version)),
            None => tracing::error!(key = item.key, "progress record does not parse"),
        }
    }
    let (drains, _) = store.list(DRAINS).await?;
    for item in drains {
        let node = item.key[DRAINS.len()..].to_string();
        let record: Option<DrainRecord> = serde_json::from_value(item.value)
            .inspect_err(|error| tracing::error!(node, %error, "drain record does not parse"))
            .ok();
        let until_ms = record.and_then(|r| r.until_ms);
        snapshot.drains.push(StoredDrain {
            node,
            record,
            left_s: until_ms.map(|at| (at as f64 - unix_ms() as f64) / 1000.0),
            version: item.version,
        });
    }
    let (jobs, revision) = store.list(JOBS).await?;
    for item in jobs {
        snapshot
            .jobs
            .extend(stored_job(&item.key, &item.value, item.version, unix_ms()));
    }
    Ok((snapshot, revision))
}

/// The record of silent workers. Ages are taken here, before the core reads its clock.
async fn read_fencing(context: &ControllerContext) -> Result<Vec<StoredFencingPage>, StoreError> {
    let (pages, _) = context.store.list(FENCING).await?;
    let unix_ms = context.unix_ms();
    let error_ms = context.settings.cluster.clock_error_ms.ceil() as u64;
    let mut all = Vec::new();
    for item in pages {
        let Some(page) = number(&item.key, FENCING) else {
            continue;
        };
        let age = |(name, at)| (name, stamp::age(at, unix_ms, error_ms));
        let stamps = entries::<u64>(&item.key, item.value);
        all.push(StoredFencingPage {
            page,
            version: item.version,
            ages: stamps.map(|s| s.into_iter().map(age).collect()),
        });
    }
    Ok(all)
}

/// The number of the page that is kept under this key.
fn number(key: &str, prefix: &str) -> Option<u32> {
    let page = key.strip_prefix(prefix).and_then(|n| n.parse::<u16>().ok());
    if page.is_none() {
        tracing::error!(key, "not a page");
    }
    page.map(u32::from)
}

/// What a page says of each worker that it names.
fn entries<T: DeserializeOwned>(
    key: &str,
    value: serde_json::Value,
) -> Option<BTreeMap<String, T>> {
    serde_json::from_value(value)
        .inspect_err(|error| tracing::error!(key, %error, "page does not parse"))
        .ok()
}

fn stored_job(
    key: &str,
    value: &serde_json::Value,
    version: u64,
    unix_ms: u64,
) -> Option<StoredJob> {
    match parse_job_record(value) {
        Ok((spec, accepted_ms)) => Some(StoredJob {
            spec,
            age_s: unix_ms.saturating_sub(accepted_ms) as f64 / 1000.0,
            accepted_ms,
            version,
        }),
        // Never dropped: whoever can read it may still run it.
        Err(error) => {
            tracing::error!(key, error, "job record does not parse");
            None
        }
    }
}

async fn follow_jobs(context: Arc<ControllerContext>, handle: Handle, token: u64, mut since: u64) {
    let block = Duration::from_secs(2);
    while context.leadership.leads(token) {
        match context.store.watch(JOBS, since, block).await {
            Ok(changes) => {
                since = since.max(changes.revision);
                for event in changes.events {
                    let Some(key) = event.put else { continue };
                    let job = stored_job(&key, &event.value, event.version, context.unix_ms());
                    if let Some(job) = job {
                        let input = Input::Job(job);
                        handle.send(Command::Input { token, input }).await;
                    }
                }
                // A burst comes in a few answers rather than one for each job.
                tokio::time::sleep(Duration::from_millis(15)).await;
            }
            Err(StoreError::TooOld) => match context.store.list(JOBS).await {
                Ok((items, revision)) => {
                    since = revision;
                    for item in items {
                        let job =
                            stored_job(&item.key, &item.value, item.version, context.unix_ms());
                        if let Some(job) = job {
                            let input = Input::Job(job);
                            handle.send(Command::Input { token, input }).await;
                        }
                    }
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(300)).await,
            },
            Err(error) => {
                tracing::debug!(%error, "watch failed");
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        }
    }
}
