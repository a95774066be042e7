//! Determines which workers are fenced and which pages to write next.
//!
//! Times are milliseconds on the leader's monotonic clock. A worker is fenced as long as the stored
//! value *may* name it: from before a write that names it is sent until a write without it is
//! acknowledged.

use crate::page::Page;

/// Upper bound on the size of a page. Pages are kept small, as every change rewrites a whole page.
const MAX_PAGE_BYTES: usize = 8 * 1024;

/// The entry of a worker in a page.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FencedEntry {
    /// The worker's name.
    pub worker: String,
    /// When the worker was last answered.
    pub answered_at_ms: u64,
}

/// A write of a page.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PageWrite {
    /// The page's number.
    pub page: u32,
    /// The current version of the stored page, which guards the write; 0 if the page does not
    /// exist.
    pub version: u64,
    /// The workers that the page will name.
    pub entries: Vec<FencedEntry>,
}

/// A stored page as a new leader reads it.
#[derive(Debug, Clone)]
pub struct StoredPage {
    /// The page's number.
    pub page: u32,
    /// The stored page's version.
    pub version: u64,
    /// The workers that the page names; `None` if it does not parse.
    pub entries: Option<Vec<FencedEntry>>,
}

/// The fencing record of one leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FencingRecord {
    max_page_bytes: usize,
    pages: Vec<Page>,
}

impl FencingRecord {
    /// Creates an empty record. `value_bytes` is the maximum size of a value in the state service.
    pub fn new(value_bytes: usize) -> Self {
        Self {
            max_page_bytes: (value_bytes * 9 / 10).min(MAX_PAGE_BYTES),
            pages: Vec::new(),
        }
    }

    /// Restores a page that an earlier leader stored. Its workers stay fenced.
    pub fn restore(&mut self, stored: StoredPage, now_ms: u64) {
        let page = self.page(stored.page);
        page.restore(stored.version, stored.entries, now_ms);
    }

    /// Adds an unresponsive worker that was last answered at `answered_at_ms`, with a write that is
    /// due at `due_ms`. An entry that the worker already has is kept.
    pub fn fence(&mut self, worker: &str, answered_at_ms: u64, due_ms: u64) {
        if self.pages.iter().any(|page| page.wants(worker)) {
            return;
        }
        let max_bytes = self.max_page_bytes;
        let has_room = |page: &Page| page.has_room_for(worker, max_bytes);
        // A page that may already name the worker is reused, because two pages must not name it.
        let previous = self.pages.iter().position(|p| p.possibly_names(worker));
        let number = match previous {
            // That page has become full. The worker is added once the page no longer names it.
            Some(number) if !has_room(&self.pages[number]) => return,
            Some(number) => number,
            None => {
                let with_room = self.pages.iter().position(has_room);
                with_room.unwrap_or(self.pages.len())
            }
        };
        let page = self.page(number as u32);
        page.add(worker, answered_at_ms, due_ms);
    }

    /// Removes a worker that has sent a heartbeat or has no task instances any more, with a write
    /// that is due at `due_ms`. The worker stays fenced until that write is acknowledged.
    pub fn release(&mut self, worker: &str, due_ms: u64) {
        for page in &mut self.pages {
            page.remove(worker, due_ms);
        }
    }

    /// Whether the stored record may name a worker. Such a worker gets no answers and no starts.
    pub fn is_fenced(&self, worker: &str) -> bool {
        self.pages.iter().any(|page| page.fences(worker))
    }

    /// The workers that the record should name.
    pub fn wanted_workers(&self) -> impl Iterator<Item = &str> {
        self.pages.iter().flat_map(Page::wanted_workers)
    }

    /// Begins the writes of the pages that are due, at most `limit` of them. The workers that they
    /// name are fenced from now on. At most one write of each page is in flight at a time.
    pub fn begin_due_writes(&mut self, now_ms: u64, limit: usize) -> Vec<PageWrite> {
        (0..)
            .zip(&mut self.pages)
            .filter(|(_, page)| page.is_due(now_ms))
            .take(limit)
            .map(|(number, page)| {
                let (version, entries) = page.begin_write();
                PageWrite {
                    page: number,
                    version,
                    entries,
                }
            })
            .collect()
    }

    /// Records that a write was acknowledged. Workers that the page no longer names may be answered
    /// again.
    pub fn confirm_write(&mut self, page: u32, version: u64) {
        self.page(page).confirm_write(version);
    }

    /// Schedules a page to be written again after a write of unknown outcome. `version` is the
    /// version of the stored page as read afterwards. It guards the next write, so that the earlier
    /// one cannot be applied after it.
    pub fn retry_write(&mut self, page: u32, version: u64, now_ms: u64) {
        self.page(page).retry_write(version, now_ms);
    }

    fn page(&mut self, number: u32) -> &mut Page {
        let index = number as usize;
        if self.pages.len() <= index {
            self.pages.resize_with(index + 1, Page::default);
        }
        &mut self.pages[index]
    }
}
