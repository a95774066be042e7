//! The worker registry: the stored list of workers that may have been given tasks. It lets the next
//! leader ask each of them at once which task instances it has.
//!
//! A worker is on a stored page before its first start. Many workers share a page. With one record
//! per worker, the first minute of a site with a thousand workers, and every change of a worker's
//! images, would use up the writes per second that job submissions need.

mod pages;

use serde_json::{Map, Value};

use crate::storage::writer::{Write, WriteOutcome};
use crate::storage::{StoredRegistryPage, WorkerRecord};

use super::model::*;
use super::persistence::WriteBatch;
use super::state::Core;

pub(super) use pages::WorkerRegistry;

/// Delay before a change of a worker's images is written. The stored images are only a hint.
const IMAGES_DELAY_S: Time = 10.0;
/// Delay before the removal of a worker is written. A superfluous worker on a page costs the next
/// leader only one probe.
const REMOVAL_DELAY_S: Time = 0.3;
/// Size of a write without its value.
const WRITE_OVERHEAD_BYTES: usize = 100;
/// Size of a worker's record without its name, address and images.
const RECORD_OVERHEAD_BYTES: usize = 120;
/// Size of the quotes and the comma around an image name in a record.
const IMAGE_OVERHEAD_BYTES: usize = 3;

impl Core {
    /// Restores a page that an earlier leader stored.
    pub(super) fn restore_registry(&mut self, stored: StoredRegistryPage) {
        self.registry.restore_page(stored.page, stored.version);
        let Some(workers) = stored.workers else {
            self.registry.mark_unreadable(stored.page);
            self.reconciliation.record_unknown_workers();
            return;
        };
        for (name, record) in workers {
            if !self.workers.contains(&name) {
                self.restore_worker(stored.page, &name, &record);
            }
        }
    }

    fn restore_worker(&mut self, page: u32, name: &str, record: &WorkerRecord) {
        let instance_type = self.types.intern(&record.machine_type);
        let zone = self.zones.intern(&record.zone);
        let images: Vec<u32> = record
            .images
            .iter()
            .map(|image| self.intern_image(image, 0.0))
            .collect();
        let worker_index = self.add_worker(name, &record.address, instance_type, zone, record.spot);
        let worker = &mut self.workers[worker_index];
        worker.page = Some(page);
        worker.registered = true;
        worker.known_to_predecessor = true;
        worker.images = images;
        self.registry.restore_worker(page, worker_index);
    }

    /// Adds a worker to a page. It may be given tasks once the page is stored.
    pub(super) fn register_worker(&mut self, worker_index: u32) {
        if self.workers[worker_index].page.is_none() {
            let page = self.registry.add(worker_index, self.now);
            self.workers[worker_index].page = Some(page);
        }
    }

    /// Removes a worker that certainly has no task instances and gets none until its next
    /// heartbeat.
    pub(super) fn unregister_worker(&mut self, worker_index: u32) {
        self.unfence_worker(worker_index);
        self.workers[worker_index].registered = false;
        if let Some(page) = self.workers[worker_index].page.take() {
            self.registry
                .remove(page, worker_index, self.now + REMOVAL_DELAY_S);
        }
    }

    /// Schedules a write of the worker's page after a change of its images.
    pub(super) fn schedule_images_write(&mut self, worker_index: u32) {
        if let Some(page) = self.workers[worker_index].page {
            let due = self.now + IMAGES_DELAY_S;
            self.registry.schedule_write(page, due);
        }
    }

    /// Adds the pages that are due to a batch, as long as there is room.
    pub(super) fn add_registry_writes(&mut self, batch: &mut WriteBatch) {
        for page in self.registry.due_pages(self.now) {
            if !batch.has_room_for_value() {
                break;
            }
            let value = self.registry_page_value(page);
            let bytes = value.to_string().len() + WRITE_OVERHEAD_BYTES;
            let version = self.registry.begin_write(page);
            let write = Write::WorkerRegistry {
                page,
                value,
                version,
            };
            batch.push(write, bytes);
        }
    }

    fn registry_page_value(&self, page: u32) -> Value {
        let mut value = Map::new();
        for &worker_index in self.registry.workers(page) {
            let record = serde_json::to_value(self.worker_record(worker_index))
                .expect("a struct of texts is valid JSON");
            value.insert(self.workers[worker_index].name.clone(), record);
        }
        Value::Object(value)
    }

    /// Builds a worker's record, with as many of its most recently used images as there is room
    /// for.
    fn worker_record(&self, worker_index: u32) -> WorkerRecord {
        let worker = &self.workers[worker_index];
        let mut record = WorkerRecord {
            address: worker.address.clone(),
            machine_type: self.types.names.name(worker.instance_type).to_string(),
            zone: self.zones.name(worker.zone).to_string(),
            spot: worker.spot,
            images: Vec::new(),
        };
        let fixed_bytes = worker.name.len() + 2 * record.address.len() + RECORD_OVERHEAD_BYTES;
        let mut bytes_left = self.registry.bytes_per_worker().saturating_sub(fixed_bytes);
        for &image in worker.images.iter().rev() {
            let name = self.images.name(image);
            let bytes = name.len() + IMAGE_OVERHEAD_BYTES;
            if bytes > bytes_left {
                break;
            }
            bytes_left -= bytes;
            record.images.insert(0, name.to_string());
        }
        record
    }

    /// Handles the result of writing a page.
    pub(super) fn handle_registry_result(
        &mut self,
        page: u32,
        value: &Value,
        written: &WriteOutcome,
    ) {
        self.registry.end_write(page);
        match written {
            WriteOutcome::Stored { version } => {
                self.registry.set_version(page, *version);
                self.mark_registered(page, value);
            }
            WriteOutcome::Retry { version } => {
                self.registry.set_version(page, *version);
                self.registry.schedule_write(page, self.now);
            }
            WriteOutcome::JobAlreadyEnded(_) => {}
        }
    }

    /// Marks the workers on a stored page as registered, so that they may be given tasks. Workers
    /// that were removed from the page during the write are skipped.
    fn mark_registered(&mut self, page: u32, value: &Value) {
        for name in value.as_object().into_iter().flat_map(|names| names.keys()) {
            if let Some(worker_index) = self.workers.index_of(name)
                && self.workers[worker_index].page == Some(page)
            {
                self.workers[worker_index].registered = true;
            }
        }
    }
}
