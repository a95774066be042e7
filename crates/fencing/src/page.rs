//! One page of the record: which workers it is to name, which it may name, and its write in flight.

use std::collections::{BTreeMap, BTreeSet};

use crate::record::FencedEntry;

/// Of a name with its time in a stored page: quotes, colon, comma and 13 digits.
const BYTES_PER_ENTRY: usize = 18;
/// The braces around all entries.
const BYTES_AROUND: usize = 2;

/// One page, as it is wanted and as it may be stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Page {
    /// The workers that it is to name, and when each was last answered.
    wanted: BTreeMap<String, u64>,
    /// The workers that the stored value may name.
    possibly_stored: BTreeSet<String>,
    version: u64,
    /// When it is to be written, if it differs from what is stored.
    due_ms: Option<u64>,
    /// The workers that the write in flight names.
    writing: Option<BTreeSet<String>>,
    /// What is stored does not parse: it may name any worker until it is written anew.
    unreadable: bool,
}

impl Page {
    /// Restores what an earlier leader stored; `None` if that does not parse.
    pub(crate) fn restore(&mut self, version: u64, entries: Option<Vec<FencedEntry>>, now_ms: u64) {
        self.version = version;
        let Some(entries) = entries else {
            self.unreadable = true;
            return self.due_by(now_ms);
        };
        self.possibly_stored = entries.iter().map(|e| e.worker.clone()).collect();
        self.wanted = entries
            .into_iter()
            .map(|e| (e.worker, e.answered_at_ms))
            .collect();
    }

    /// Whether it is to name a worker.
    pub(crate) fn wants(&self, worker: &str) -> bool {
        self.wanted.contains_key(worker)
    }

    /// The workers that it is to name.
    pub(crate) fn wanted_workers(&self) -> impl Iterator<Item = &str> {
        self.wanted.keys().map(String::as_str)
    }

    /// Whether the stored value may name a worker, for all that can be read of it.
    pub(crate) fn possibly_names(&self, worker: &str) -> bool {
        self.possibly_stored.contains(worker)
    }

    /// Whether a worker is fenced by this page.
    pub(crate) fn fences(&self, worker: &str) -> bool {
        self.unreadable || self.possibly_names(worker)
    }

    /// Whether one worker more fits.
    pub(crate) fn has_room_for(&self, worker: &str, max_bytes: usize) -> bool {
        !self.unreadable && self.bytes() + worker.len() + BYTES_PER_ENTRY <= max_bytes
    }

    fn bytes(&self) -> usize {
        let entries = self.wanted.keys().map(|w| w.len() + BYTES_PER_ENTRY);
        entries.sum::<usize>() + BYTES_AROUND
    }

    /// Has a worker named, in a write that leaves by `due_ms`.
    pub(crate) fn add(&mut self, worker: &str, answered_at_ms: u64, due_ms: u64) {
        self.wanted.insert(worker.to_string(), answered_at_ms);
        self.due_by(due_ms);
    }

    /// Has a worker named no more, in a write that leaves by `due_ms` if one is needed.
    pub(crate) fn remove(&mut self, worker: &str, due_ms: u64) {
        self.wanted.remove(worker);
        let leaving = self.writing.as_ref().is_some_and(|w| !w.contains(worker));
        if self.possibly_names(worker) && !leaving {
            self.due_by(due_ms);
        } else if self.wanted.is_empty() && self.possibly_stored.is_empty() && !self.unreadable {
            self.due_ms = None;
        }
    }

    /// Whether a write is to begin now: there is one at a time.
    pub(crate) fn is_due(&self, now_ms: u64) -> bool {
        self.due_ms.is_some_and(|due| due <= now_ms) && self.writing.is_none()
    }

    /// Begins a write, which may be carried out from here on. Returns the version that guards it
    /// and what it names.
    pub(crate) fn begin_write(&mut self) -> (u64, Vec<FencedEntry>) {
        self.due_ms = None;
        let names: BTreeSet<String> = self.wanted.keys().cloned().collect();
        self.possibly_stored.extend(names.iter().cloned());
        self.writing = Some(names);
        let entries = self.wanted.iter().map(|(worker, &answered_at_ms)| {
            let worker = worker.clone();
            FencedEntry {
                worker,
                answered_at_ms,
            }
        });
        (self.version, entries.collect())
    }

    /// The write in flight was acknowledged.
    pub(crate) fn confirm_write(&mut self, version: u64) {
        self.version = version;
        self.unreadable = false;
        if let Some(written) = self.writing.take() {
            self.possibly_stored = written;
        }
    }

    /// The write in flight may or may not have been carried out.
    pub(crate) fn retry_write(&mut self, version: u64, now_ms: u64) {
        self.version = version;
        self.writing = None;
        self.due_by(now_ms);
    }

    fn due_by(&mut self, at_ms: u64) {
        self.due_ms = Some(self.due_ms.map_or(at_ms, |due| due.min(at_ms)));
    }
}
