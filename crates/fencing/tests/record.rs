//! Tests each rule of the fencing record, and random histories of writes that may be lost.

use std::collections::{BTreeMap, BTreeSet};

use copperfield_fencing::{FencedEntry, FencingRecord, PageWrite, StoredPage};
use proptest::prelude::*;

fn stored_page(entries: &[(&str, u64)]) -> StoredPage {
    let entry = |&(worker, answered_at_ms): &(&str, u64)| FencedEntry {
        worker: worker.to_string(),
        answered_at_ms,
    };
    StoredPage {
        page: 0,
        version: 5,
        entries: Some(entries.iter().map(entry).collect()),
    }
}

#[test]
fn a_worker_is_fenced_from_the_write_until_its_removal_is_acknowledged() {
    let mut record = FencingRecord::new(8192);
    record.fence("vm-1", 100, 0);
    assert!(!record.is_fenced("vm-1"), "no write was sent yet");
    assert_eq!(record.begin_due_writes(0, 9).len(), 1);
    assert!(record.is_fenced("vm-1"), "the write may be stored");
    record.release("vm-1", 1);
    assert!(
        record.begin_due_writes(1, 9).is_empty(),
        "a write of this page is in flight"
    );
    record.confirm_write(0, 7);
    assert_eq!(record.begin_due_writes(1, 9)[0].version, 7);
    assert!(record.is_fenced("vm-1"), "the removal is not acknowledged");
    record.confirm_write(0, 8);
    assert!(!record.is_fenced("vm-1"));
}

/// A lost write may have been stored, so its workers stay fenced even after they are released.
#[test]
fn a_lost_write_fences_its_workers() {
    let mut record = FencingRecord::new(8192);
    record.fence("vm-1", 100, 0);
    record.begin_due_writes(0, 9);
    record.retry_write(0, 6, 1);
    record.release("vm-1", 1);
    assert!(record.is_fenced("vm-1"));
    let write = &record.begin_due_writes(1, 9)[0];
    assert!(write.entries.is_empty() && write.version == 6);
    record.confirm_write(0, 9);
    assert!(!record.is_fenced("vm-1"));
}

#[test]
fn a_restored_page_fences_its_workers_and_one_that_does_not_parse_fences_all() {
    let mut record = FencingRecord::new(8192);
    record.restore(stored_page(&[("vm-1", 3)]), 10);
    assert!(record.is_fenced("vm-1") && !record.is_fenced("vm-2"));
    assert!(
        record.begin_due_writes(10, 9).is_empty(),
        "the stored page is up to date"
    );
    let unreadable = StoredPage {
        page: 1,
        version: 4,
        entries: None,
    };
    record.restore(unreadable, 10);
    assert!(record.is_fenced("vm-2"));
    assert_eq!(record.begin_due_writes(10, 9)[0].page, 1);
    record.confirm_write(1, 11);
    assert!(record.is_fenced("vm-1") && !record.is_fenced("vm-2"));
}

/// The state service: the workers that each stored page names, and the page's version.
#[derive(Default)]
struct Store {
    workers: BTreeMap<u32, BTreeSet<String>>,
    versions: BTreeMap<u32, u64>,
}

impl Store {
    fn version(&self, page: u32) -> u64 {
        self.versions.get(&page).copied().unwrap_or(0)
    }

    fn apply(&mut self, write: &PageWrite, version: u64) {
        let workers = write.entries.iter().map(|e| e.worker.clone());
        self.workers.insert(write.page, workers.collect());
        self.versions.insert(write.page, version);
    }
}

proptest! {
    /// No page exceeds the maximum size of a value, and every worker that a stored page names is
    /// fenced. Writes may be lost before or after they are stored.
    #[test]
    fn a_stored_worker_is_fenced(steps in prop::collection::vec((0u8..5, 0usize..400), 1..300)) {
        let mut record = FencingRecord::new(2048);
        let mut store = Store::default();
        let mut in_flight: Vec<PageWrite> = Vec::new();
        let mut clock = 0;
        for (step, choice) in steps {
            clock += 1;
            let worker = format!("vm-{choice:06}");
            match step {
                0 | 1 => record.fence(&worker, clock, clock),
                2 => record.release(&worker, clock),
                3 => in_flight.extend(record.begin_due_writes(clock, 3)),
                _ => for write in in_flight.drain(..) {
                    prop_assert_eq!(store.version(write.page), write.version);
                    let bytes: usize = write.entries.iter().map(|e| e.worker.len() + 18).sum();
                    prop_assert!(bytes <= 2048);
                    if choice % 3 > 0 {
                        store.apply(&write, clock);
                    }
                    if choice % 3 == 1 {
                        record.confirm_write(write.page, clock);
                    } else {
                        record.retry_write(write.page, store.version(write.page), clock);
                    }
                }
            }
            for worker in store.workers.values().flatten() {
                prop_assert!(record.is_fenced(worker), "{worker} is stored but not fenced");
            }
        }
    }
}
