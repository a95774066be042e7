//! The stored pages of the worker registry: who is on which, and which are to be written.

use crate::coordination::model::Time;

/// Room in a stored page for one worker with its images.
const BYTES_PER_WORKER: usize = 512;
/// However large a value may be: a larger page is written whole for one worker more.
const MAX_PER_PAGE: usize = 32;
/// The part of a value that a page uses, in tenths.
const USED_TENTHS: usize = 9;

/// One page, as it is wanted and as it is stored.
#[derive(Debug, Default)]
struct Page {
    /// The workers on it, by index.
    workers: Vec<u32>,
    /// Of the stored page, 0 if there is none.
    version: u64,
    /// When the page is to be written, if it differs from what is stored.
    due: Option<Time>,
    /// A write of it is in flight.
    writing: bool,
    /// Holds a value that does not parse, which is never overwritten.
    unreadable: bool,
}

impl Page {
    fn due_by(&mut self, at: Time) {
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }
}

/// The pages of the worker registry. Workers are given by index.
#[derive(Debug)]
pub(in crate::coordination) struct WorkerRegistry {
    pages: Vec<Page>,
    workers_per_page: usize,
    bytes_per_worker: usize,
}

impl WorkerRegistry {
    /// `value_bytes`: what the state service takes as one value at most.
    pub fn new(value_bytes: usize) -> Self {
        let workers_per_page = (value_bytes / BYTES_PER_WORKER).clamp(1, MAX_PER_PAGE);
        Self {
            pages: Vec::new(),
            workers_per_page,
            bytes_per_worker: value_bytes * USED_TENTHS / 10 / workers_per_page,
        }
    }

    /// Bytes that the record of one worker may take.
    pub fn bytes_per_worker(&self) -> usize {
        self.bytes_per_worker
    }

    /// Takes over a page that an earlier leader has stored, without its workers yet.
    pub fn restore_page(&mut self, number: u32, version: u64) {
        self.page(number).version = version;
    }

    /// A stored page does not parse.
    pub fn mark_unreadable(&mut self, number: u32) {
        self.page(number).unreadable = true;
    }

    /// Takes over a worker that a stored page names.
    pub fn restore_worker(&mut self, number: u32, worker: u32) {
        self.page(number).workers.push(worker);
    }

    /// Puts a worker on the first page with room, to be written by `due`; returns its number.
    pub fn add(&mut self, worker: u32, due: Time) -> u32 {
        let limit = self.workers_per_page;
        let has_room = |page: &Page| !page.unreadable && page.workers.len() < limit;
        let free = self.pages.iter().position(has_room);
        let number = free.unwrap_or(self.pages.len()) as u32;
        let page = self.page(number);
        page.workers.push(worker);
        page.due_by(due);
        number
    }

    /// Takes a worker off its page, which is to be written by `due`.
    pub fn remove(&mut self, number: u32, worker: u32, due: Time) {
        let page = self.page(number);
        page.workers.retain(|&other| other != worker);
        page.due_by(due);
    }

    /// Has a page written by `due`.
    pub fn schedule_write(&mut self, number: u32, due: Time) {
        self.page(number).due_by(due);
    }

    /// The numbers of the pages that are to be written now.
    pub fn due_pages(&self, now: Time) -> Vec<u32> {
        let is_due = |page: &Page| {
            page.due.is_some_and(|due| due <= now) && !page.writing && !page.unreadable
        };
        (0..)
            .zip(&self.pages)
            .filter(|(_, page)| is_due(page))
            .map(|(number, _)| number)
            .collect()
    }

    /// The workers of a page.
    pub fn workers(&self, number: u32) -> &[u32] {
        let page = self.pages.get(number as usize);
        page.map_or(&[], |page| &page.workers)
    }

    /// A write of the page begins; returns the version that guards it.
    pub fn begin_write(&mut self, number: u32) -> u64 {
        let page = self.page(number);
        page.due = None;
        page.writing = true;
        page.version
    }

    /// The write of a page has ended.
    pub fn end_write(&mut self, number: u32) {
        self.page(number).writing = false;
    }

    /// What version the stored page has now.
    pub fn set_version(&mut self, number: u32, version: u64) {
        self.page(number).version = version;
    }

    fn page(&mut self, number: u32) -> &mut Page {
        let index = number as usize;
        if self.pages.len() <= index {
            self.pages.resize_with(index + 1, Page::default);
        }
        &mut self.pages[index]
    }
}
