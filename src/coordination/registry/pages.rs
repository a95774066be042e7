//! The pages of the worker registry: which workers each one names, and which must be written.

use crate::coordination::model::Time;

/// Space in a stored page for one worker with its images.
const BYTES_PER_WORKER: usize = 512;
/// Maximum number of workers on a page, even if values may be larger: adding one worker rewrites
/// the whole page.
const MAX_WORKERS_PER_PAGE: usize = 32;
/// Share of the maximum value size that a page uses, in tenths.
const USED_TENTHS: usize = 9;

/// One page: its intended content and the state of the stored copy.
#[derive(Debug, Default)]
struct Page {
    /// The indices of its workers.
    workers: Vec<u32>,
    /// Version of the stored page, 0 if there is none.
    version: u64,
    /// When the page must be written; `None` if the stored copy is up to date.
    due: Option<Time>,
    /// Whether a write of the page is in flight.
    write_in_flight: bool,
    /// Whether the stored value does not parse. Such a page is never overwritten.
    unreadable: bool,
}

impl Page {
    fn schedule_by(&mut self, at: Time) {
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }
}

/// The pages of the worker registry. Workers are identified by index.
#[derive(Debug)]
pub(in crate::coordination) struct WorkerRegistry {
    pages: Vec<Page>,
    workers_per_page: usize,
    bytes_per_worker: usize,
}

impl WorkerRegistry {
    /// Creates an empty registry. `value_bytes` is the maximum size of a value in the state
    /// service.
    pub fn new(value_bytes: usize) -> Self {
        let workers_per_page = (value_bytes / BYTES_PER_WORKER).clamp(1, MAX_WORKERS_PER_PAGE);
        Self {
            pages: Vec::new(),
            workers_per_page,
            bytes_per_worker: value_bytes * USED_TENTHS / 10 / workers_per_page,
        }
    }

    /// Maximum size of the record of one worker.
    pub fn bytes_per_worker(&self) -> usize {
        self.bytes_per_worker
    }

    /// Restores a page that an earlier leader stored, without its workers.
    pub fn restore_page(&mut self, number: u32, version: u64) {
        self.page_mut(number).version = version;
    }

    /// Marks a page whose stored value does not parse.
    pub fn mark_unreadable(&mut self, number: u32) {
        self.page_mut(number).unreadable = true;
    }

    /// Restores a worker that a stored page names.
    pub fn restore_worker(&mut self, number: u32, worker: u32) {
        self.page_mut(number).workers.push(worker);
    }

    /// Adds a worker to the first page with room, to be written by `due`. Returns the page's
    /// number.
    pub fn add(&mut self, worker: u32, due: Time) -> u32 {
        let limit = self.workers_per_page;
        let has_room = |page: &Page| !page.unreadable && page.workers.len() < limit;
        let free = self.pages.iter().position(has_room);
        let number = free.unwrap_or(self.pages.len()) as u32;
        let page = self.page_mut(number);
        page.workers.push(worker);
        page.schedule_by(due);
        number
    }

    /// Removes a worker from its page, to be written by `due`.
    pub fn remove(&mut self, number: u32, worker: u32, due: Time) {
        let page = self.page_mut(number);
        page.workers.retain(|&other| other != worker);
        page.schedule_by(due);
    }

    /// Schedules a page to be written by `due`.
    pub fn schedule_write(&mut self, number: u32, due: Time) {
        self.page_mut(number).schedule_by(due);
    }

    /// The numbers of the pages that are due to be written.
    pub fn due_pages(&self, now: Time) -> Vec<u32> {
        let is_due = |page: &Page| {
            page.due.is_some_and(|due| due <= now) && !page.write_in_flight && !page.unreadable
        };
        (0..)
            .zip(&self.pages)
            .filter(|(_, page)| is_due(page))
            .map(|(number, _)| number)
            .collect()
    }

    /// The number of the first page that is stored and can be written now.
    pub fn first_stored_page(&self) -> Option<u32> {
        let is_stored = |page: &Page| page.version > 0 && !page.write_in_flight && !page.unreadable;
        let index = self.pages.iter().position(is_stored)?;
        Some(index as u32)
    }

    /// The workers of a page.
    pub fn workers(&self, number: u32) -> &[u32] {
        let page = self.pages.get(number as usize);
        page.map_or(&[], |page| &page.workers)
    }

    /// Begins a write of a page. Returns the version that the write must be conditional on.
    pub fn begin_write(&mut self, number: u32) -> u64 {
        let page = self.page_mut(number);
        page.due = None;
        page.write_in_flight = true;
        page.version
    }

    /// Marks the write of a page as ended.
    pub fn end_write(&mut self, number: u32) {
        self.page_mut(number).write_in_flight = false;
    }

    /// Sets the version of the stored page.
    pub fn set_version(&mut self, number: u32, version: u64) {
        self.page_mut(number).version = version;
    }

    fn page_mut(&mut self, number: u32) -> &mut Page {
        let index = number as usize;
        if self.pages.len() <= index {
            self.pages.resize_with(index + 1, Page::default);
        }
        &mut self.pages[index]
    }
}
