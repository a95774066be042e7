//! Which workers are fenced, and what to write next.
//!
//! Times are milliseconds on the owner's steady clock. A worker that the stored value *may* name
//! is fenced: from before a write that names it leaves until one without it is acknowledged.

use crate::page::Page;

/// Larger pages are rewritten whole for one worker more.
const MAX_PAGE_BYTES: usize = 8 * 1024;

/// One worker of a page.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FencedEntry {
    /// The worker's name.
    pub worker: String,
    /// When it was last answered.
    pub answered_at_ms: u64,
}

/// A page as it is to be written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PageWrite {
    /// The page's number.
    pub page: u32,
    /// The version that the stored page has now, 0 if there is none.
    pub version: u64,
    /// The workers that it names.
    pub entries: Vec<FencedEntry>,
}

/// A page as a new leader finds it.
#[derive(Debug, Clone)]
pub struct StoredPage {
    /// The page's number.
    pub page: u32,
    /// The stored page's version.
    pub version: u64,
    /// The workers that it names; `None` if it does not parse.
    pub entries: Option<Vec<FencedEntry>>,
}

/// The record of one leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FencingRecord {
    max_page_bytes: usize,
    pages: Vec<Page>,
}

impl FencingRecord {
    /// `value_bytes`: what the state service takes as one value at most.
    pub fn new(value_bytes: usize) -> Self {
        Self {
            max_page_bytes: (value_bytes * 9 / 10).min(MAX_PAGE_BYTES),
            pages: Vec::new(),
        }
    }

    /// Restores what an earlier leader stored: its fenced workers stay fenced.
    pub fn restore(&mut self, stored: StoredPage, now_ms: u64) {
        let page = self.page(stored.page);
        page.restore(stored.version, stored.entries, now_ms);
    }

    /// An unresponsive worker, last answered at `answered_at_ms`, is to be on the record by a
    /// write that leaves at `due_ms`. If it is there already, its entry stays.
    pub fn fence(&mut self, worker: &str, answered_at_ms: u64, due_ms: u64) {
        if self.pages.iter().any(|page| page.wants(worker)) {
            return;
        }
        let max_bytes = self.max_page_bytes;
        let has_room = |page: &Page| page.has_room_for(worker, max_bytes);
        // Back to the page that may name it already: it must not be on two.
        let known = self.pages.iter().position(|p| p.possibly_names(worker));
        let number = match known {
            // Full by now: fenced once the page names it no more.
            Some(number) if !has_room(&self.pages[number]) => return,
            Some(number) => number,
            None => {
                let free = self.pages.iter().position(has_room);
                free.unwrap_or(self.pages.len())
            }
        };
        let page = self.page(number as u32);
        page.add(worker, answered_at_ms, due_ms);
    }

    /// A worker that has sent a heartbeat, or holds nothing any more, is to be off the record by a
    /// write that leaves at `due_ms`. It stays fenced until that is acknowledged.
    pub fn release(&mut self, worker: &str, due_ms: u64) {
        for page in &mut self.pages {
            page.remove(worker, due_ms);
        }
    }

    /// Whether the stored record may name a worker: then it is given no answer and no start.
    pub fn is_fenced(&self, worker: &str) -> bool {
        self.pages.iter().any(|page| page.fences(worker))
    }

    /// The workers that the record is to name.
    pub fn wanted_workers(&self) -> impl Iterator<Item = &str> {
        self.pages.iter().flat_map(Page::wanted_workers)
    }

    /// The pages that are to be written now, at most `limit` of them. The workers that they name
    /// are fenced from here on, and one write of a page is in flight at a time.
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

    /// A write was acknowledged: workers that the page names no more may be answered again.
    pub fn confirm_write(&mut self, page: u32, version: u64) {
        self.page(page).confirm_write(version);
    }

    /// A write may or may not have been carried out. `version` is the page's as read since: the
    /// next write is guarded by it, so that the lost one cannot be applied after that.
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
