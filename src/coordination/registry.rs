//! The worker registry: which workers may have been given tasks, as the state service
//! keeps it, so that the next leader can ask each at once what it holds.
//!
//! A worker is on a stored page before its first start. Many workers share
//! a page: with a record for each, the first minute of a site of a thousand
//! workers, and every change of the images they have, used up the changes per
//! second that submissions need.

use serde_json::{Map, Value};

use crate::storage::writer::{Write, Written};
use crate::storage::{StoredRegistryPage, WorkerRecord};

use super::model::*;
use super::state::{Core, Page};

/// Images are a hint and dead workers only cost the next leader a question:
/// neither is written at once.
const HINT_EVERY_S: Time = 10.0;
const STRIKE_AFTER_S: Time = 0.3;

impl Core {
    pub(super) fn restore_registry(&mut self, stored: StoredRegistryPage) {
        let page = self.registry.page(stored.page);
        page.version = stored.version;
        let Some(workers) = stored.workers else {
            page.unreadable = true;
            self.reconciliation.record_unknown_workers();
            return;
        };
        for (name, record) in workers {
            if self.workers.contains(&name) {
                continue;
            }
            let kind = self.types.intern(&record.machine_type);
            let zone = self.zones.intern(&record.zone);
            let images: Vec<u32> = record
                .images
                .iter()
                .map(|i| self.intern_image(i, 0.0))
                .collect();
            let m = self.add_worker(&name, &record.address, kind, zone, record.spot);
            let worker = &mut self.workers[m];
            worker.page = Some(stored.page);
            worker.registered = true;
            worker.known_to_predecessor = true;
            worker.images = images;
            self.registry.page(stored.page).workers.push(m);
        }
    }

    /// Puts a worker on a page; it may be given tasks once that is stored.
    pub(super) fn register_worker(&mut self, m: u32) {
        if self.workers[m].page.is_some() {
            return;
        }
        let limit = self.registry.per_page;
        let room = |p: &Page| !p.unreadable && p.workers.len() < limit;
        let pages = &self.registry.pages;
        let ix = pages.iter().position(room).unwrap_or(pages.len()) as u32;
        let now = self.now;
        let page = self.registry.page(ix);
        page.workers.push(m);
        page.due_by(now);
        self.workers[m].page = Some(ix);
    }

    /// A worker that surely holds nothing, and gets nothing until it is heard again.
    pub(super) fn unregister_worker(&mut self, m: u32) {
        self.unfence_worker(m);
        self.workers[m].registered = false;
        if let Some(ix) = self.workers[m].page.take() {
            let at = self.now + STRIKE_AFTER_S;
            let page = self.registry.page(ix);
            page.workers.retain(|&o| o != m);
            page.due_by(at);
        }
    }

    pub(super) fn images_changed(&mut self, m: u32) {
        if let Some(ix) = self.workers[m].page {
            let at = self.now + HINT_EVERY_S;
            self.registry.page(ix).due_by(at);
        }
    }

    /// The pages that are to be written now, as long as there is room for them.
    pub(super) fn registry_writes(
        &mut self,
        batch: &mut Vec<Write>,
        limit: usize,
        bytes: &mut usize,
    ) {
        let now = self.now;
        for ix in 0..self.registry.pages.len() {
            let page = &self.registry.pages[ix];
            let due = page.due.is_some_and(|t| t <= now) && !page.writing && !page.unreadable;
            if !due {
                continue;
            }
            if batch.len() >= limit || *bytes > super::persistence::TXN_BYTES {
                break;
            }
            let value = self.page_value(page);
            *bytes += value.to_string().len() + 100;
            let page = &mut self.registry.pages[ix];
            page.due = None;
            page.writing = true;
            batch.push(Write::WorkerRegistry {
                page: ix as u32,
                value,
                version: page.version,
            });
        }
    }

    fn page_value(&self, page: &Page) -> Value {
        let mut value = Map::new();
        for &m in &page.workers {
            let worker = &self.workers[m];
            let mut record = WorkerRecord {
                address: worker.address.clone(),
                machine_type: self.types.names.name(worker.kind).to_string(),
                zone: self.zones.name(worker.zone).to_string(),
                spot: worker.spot,
                images: Vec::new(),
            };
            let fixed = worker.name.len() + 2 * record.address.len() + 120;
            let mut left = self.registry.bytes_per_worker.saturating_sub(fixed);
            // The most recently used images, as many as the page has room for.
            for &image in worker.images.iter().rev() {
                let name = self.images.name(image);
                if name.len() + 3 > left {
                    break;
                }
                left -= name.len() + 3;
                record.images.insert(0, name.to_string());
            }
            let record = serde_json::to_value(record).expect("plain data");
            value.insert(worker.name.clone(), record);
        }
        Value::Object(value)
    }

    pub(super) fn registry_written(&mut self, ix: u32, value: &Value, written: &Written) {
        let now = self.now;
        let page = self.registry.page(ix);
        page.writing = false;
        match written {
            Written::Stored { version } => {
                page.version = *version;
                for name in value.as_object().into_iter().flat_map(|o| o.keys()) {
                    if let Some(m) = self.workers.index_of(name)
                        // Not if it was struck while the page was being written.
                        && self.workers[m].page == Some(ix)
                    {
                        self.workers[m].registered = true;
                    }
                }
            }
            Written::Again { version } => {
                page.version = *version;
                page.due_by(now);
            }
            Written::Ended(_) => {}
        }
    }
}
