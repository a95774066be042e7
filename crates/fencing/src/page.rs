//! One page of the record: the workers that it should name, those that its stored value may name,
//! and the write in flight.

use std::collections::{BTreeMap, BTreeSet};

use crate::record::FencedEntry;

/// Bytes of an entry in a stored page besides the worker's name: quotes, colon, comma and the 13
/// digits of the time.
const ENTRY_OVERHEAD_BYTES: usize = 18;
/// Bytes of a stored page without entries: the braces.
const EMPTY_PAGE_BYTES: usize = 2;

/// The wanted contents of a page and its possible stored contents.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Page {
    /// The workers that the page should name, and when each was last answered.
    wanted: BTreeMap<String, u64>,
    /// The workers that the stored value may name.
    possibly_stored: BTreeSet<String>,
    version: u64,
    /// When the next write is due; `None` if no write is needed.
    due_ms: Option<u64>,
    /// The workers that the write in flight names.
    writing: Option<BTreeSet<String>>,
    /// The stored value does not parse, so it may name any worker until it is overwritten.
    unreadable: bool,
}

impl Page {
    /// Restores a page that an earlier leader stored. `entries` is `None` if it does not parse.
    pub(crate) fn restore(&mut self, version: u64, entries: Option<Vec<FencedEntry>>, now_ms: u64) {
        self.version = version;
        let Some(entries) = entries else {
            self.unreadable = true;
            return self.schedule_write(now_ms);
        };
        self.possibly_stored = entries.iter().map(|e| e.worker.clone()).collect();
        self.wanted = entries
            .into_iter()
            .map(|e| (e.worker, e.answered_at_ms))
            .collect();
    }

    /// Whether the page should name a worker.
    pub(crate) fn wants(&self, worker: &str) -> bool {
        self.wanted.contains_key(worker)
    }

    /// The workers that the page should name.
    pub(crate) fn wanted_workers(&self) -> impl Iterator<Item = &str> {
        self.wanted.keys().map(String::as_str)
    }

    /// Whether the stored value may name a worker. False for any worker if it does not parse.
    pub(crate) fn possibly_names(&self, worker: &str) -> bool {
        self.possibly_stored.contains(worker)
    }

    /// Whether a worker is fenced by this page.
    pub(crate) fn fences(&self, worker: &str) -> bool {
        self.unreadable || self.possibly_names(worker)
    }

    /// Whether an entry for this worker fits.
    pub(crate) fn has_room_for(&self, worker: &str, max_bytes: usize) -> bool {
        !self.unreadable && self.size_bytes() + worker.len() + ENTRY_OVERHEAD_BYTES <= max_bytes
    }

    fn size_bytes(&self) -> usize {
        let entries = self.wanted.keys().map(|w| w.len() + ENTRY_OVERHEAD_BYTES);
        entries.sum::<usize>() + EMPTY_PAGE_BYTES
    }

    /// Adds a worker, with a write that is due at `due_ms` at the latest.
    pub(crate) fn add(&mut self, worker: &str, answered_at_ms: u64, due_ms: u64) {
        self.wanted.insert(worker.to_string(), answered_at_ms);
        self.schedule_write(due_ms);
    }

    /// Removes a worker, with a write that is due at `due_ms` at the latest if one is needed.
    pub(crate) fn remove(&mut self, worker: &str, due_ms: u64) {
        self.wanted.remove(worker);
        let removal_in_flight = self.writing.as_ref().is_some_and(|w| !w.contains(worker));
        if self.possibly_names(worker) && !removal_in_flight {
            self.schedule_write(due_ms);
        } else if self.wanted.is_empty() && self.possibly_stored.is_empty() && !self.unreadable {
            self.due_ms = None;
        }
    }

    /// Whether a write should begin now. At most one write is in flight at a time.
    pub(crate) fn is_due(&self, now_ms: u64) -> bool {
        self.due_ms.is_some_and(|due| due <= now_ms) && self.writing.is_none()
    }

    /// Begins a write. From now on the stored value may be the new one. Returns the version that
    /// guards the write, and its entries.
    pub(crate) fn begin_write(&mut self) -> (u64, Vec<FencedEntry>) {
        self.due_ms = None;
        let written: BTreeSet<String> = self.wanted.keys().cloned().collect();
        self.possibly_stored.extend(written.iter().cloned());
        self.writing = Some(written);
        let entries = self.wanted.iter().map(|(worker, &answered_at_ms)| {
            let worker = worker.clone();
            FencedEntry {
                worker,
                answered_at_ms,
            }
        });
        (self.version, entries.collect())
    }

    /// Records that the write in flight was acknowledged.
    pub(crate) fn confirm_write(&mut self, version: u64) {
        self.version = version;
        self.unreadable = false;
        if let Some(written) = self.writing.take() {
            self.possibly_stored = written;
        }
    }

    /// Schedules another write after one of unknown outcome, whose workers stay fenced.
    pub(crate) fn retry_write(&mut self, version: u64, now_ms: u64) {
        self.version = version;
        self.writing = None;
        self.schedule_write(now_ms);
    }

    fn schedule_write(&mut self, at_ms: u64) {
        self.due_ms = Some(self.due_ms.map_or(at_ms, |due| due.min(at_ms)));
    }
}
