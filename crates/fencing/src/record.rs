//! Who is on the record, who may still be, and what to write next.
//!
//! Times are milliseconds on the owner's steady clock. A name that the stored value *may* hold
//! is held back: from before a write that names it leaves until one without it is acknowledged.

use std::collections::{BTreeMap, BTreeSet};

/// Of a name with its time in a stored page: quotes, colon, comma and 13 digits.
const BYTES_PER_ENTRY: usize = 18;
/// Larger pages are rewritten whole for one name more.
const MAX_PAGE_BYTES: usize = 8 * 1024;

/// A page as it is to be written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PageWrite {
    pub page: u32,
    /// The version that the stored page has now, 0 if there is none.
    pub version: u64,
    /// Workers, and when each was last answered.
    pub entries: Vec<(String, u64)>,
}

/// A page as a new leader finds it.
#[derive(Debug, Clone)]
pub struct StoredPage {
    pub page: u32,
    pub version: u64,
    /// None if it does not parse.
    pub entries: Option<Vec<(String, u64)>>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Page {
    /// What it should say.
    wanted: BTreeMap<String, u64>,
    /// Whom the stored value may name.
    held: BTreeSet<String>,
    version: u64,
    due: Option<u64>,
    /// Whom the write that is out names.
    writing: Option<BTreeSet<String>>,
    /// What is stored does not parse: it may name anyone until it is written anew.
    unreadable: bool,
}

impl Page {
    fn bytes(&self) -> usize {
        let names = self.wanted.keys().map(|n| n.len() + BYTES_PER_ENTRY);
        names.sum::<usize>() + 2
    }

    fn due_by(&mut self, at: u64) {
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }
}

/// The record of one leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FencingRecord {
    page_bytes: usize,
    pages: Vec<Page>,
}

impl FencingRecord {
    /// `value_bytes`: what the state service takes as one value at most.
    pub fn new(value_bytes: usize) -> Self {
        Self {
            page_bytes: (value_bytes * 9 / 10).min(MAX_PAGE_BYTES),
            pages: Vec::new(),
        }
    }

    /// Takes over what an earlier leader stored, and its promise.
    pub fn restore(&mut self, stored: StoredPage, now: u64) {
        let page = self.page(stored.page);
        page.version = stored.version;
        match stored.entries {
            Some(entries) => {
                page.held = entries.iter().map(|(name, _)| name.clone()).collect();
                page.wanted = entries.into_iter().collect();
            }
            None => {
                page.unreadable = true;
                page.due_by(now);
            }
        }
    }

    fn page(&mut self, ix: u32) -> &mut Page {
        let ix = ix as usize;
        if self.pages.len() <= ix {
            self.pages.resize_with(ix + 1, Page::default);
        }
        &mut self.pages[ix]
    }

    /// A worker that was last answered at `at` is silent: it is to be on the record from
    /// `due` on. What is there already stays.
    pub fn silent(&mut self, name: &str, at: u64, due: u64) {
        if self.pages.iter().any(|p| p.wanted.contains_key(name)) {
            return;
        }
        let bytes = name.len() + BYTES_PER_ENTRY;
        let limit = self.page_bytes;
        // Back to the page that may name it already: it must not stand on two.
        let known = self.pages.iter().position(|p| p.held.contains(name));
        let room = |p: &Page| !p.unreadable && p.bytes() + bytes <= limit;
        let ix = match known {
            // Full by now: asked again once the page names it no more.
            Some(ix) if !room(&self.pages[ix]) => return,
            Some(ix) => ix,
            None => {
                let free = self.pages.iter().position(room);
                free.unwrap_or(self.pages.len())
            }
        };
        let page = self.page(ix as u32);
        page.wanted.insert(name.to_string(), at);
        page.due_by(due);
    }

    /// A worker is heard again, or holds nothing any more: it is to be off the record from
    /// `due` on.
    pub fn heard(&mut self, name: &str, due: u64) {
        for page in &mut self.pages {
            page.wanted.remove(name);
            let leaving = page.writing.as_ref().is_some_and(|w| !w.contains(name));
            if page.held.contains(name) && !leaving {
                page.due_by(due);
            } else if page.wanted.is_empty() && page.held.is_empty() && !page.unreadable {
                page.due = None;
            }
        }
    }

    /// Whether the stored record may name a worker: then it is given no answer and no start.
    pub fn holds(&self, name: &str) -> bool {
        self.pages
            .iter()
            .any(|p| p.unreadable || p.held.contains(name))
    }

    /// Whom the record is to name.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.pages
            .iter()
            .flat_map(|p| p.wanted.keys().map(String::as_str))
    }

    /// The pages that are to be written now, `limit` of them. What they name is held back from
    /// here on, and one write of a page is out at a time.
    pub fn writes(&mut self, now: u64, limit: usize) -> Vec<PageWrite> {
        let mut all = Vec::new();
        for (ix, page) in self.pages.iter_mut().enumerate() {
            let due = page.due.is_some_and(|at| at <= now) && page.writing.is_none();
            if !due || all.len() == limit {
                continue;
            }
            page.due = None;
            let names: BTreeSet<String> = page.wanted.keys().cloned().collect();
            page.held.extend(names.iter().cloned());
            page.writing = Some(names);
            all.push(PageWrite {
                page: ix as u32,
                version: page.version,
                entries: page.wanted.iter().map(|(n, at)| (n.clone(), *at)).collect(),
            });
        }
        all
    }

    /// A write was acknowledged: whom the page names no more may be answered again.
    pub fn stored(&mut self, page: u32, version: u64) {
        let page = self.page(page);
        page.version = version;
        page.unreadable = false;
        if let Some(written) = page.writing.take() {
            page.held = written;
        }
    }

    /// A write may or may not have been carried out. The page's version as read since: the
    /// next write is guarded by it, so that the lost one cannot land after that.
    pub fn again(&mut self, page: u32, version: u64, now: u64) {
        let page = self.page(page);
        page.version = version;
        page.writing = None;
        page.due_by(now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn page(entries: &[(&str, u64)]) -> StoredPage {
        StoredPage {
            page: 0,
            version: 5,
            entries: Some(entries.iter().map(|(n, t)| (n.to_string(), *t)).collect()),
        }
    }

    #[test]
    fn a_worker_is_held_from_the_write_until_its_removal_is_acknowledged() {
        let mut s = FencingRecord::new(8192);
        s.silent("vm-1", 100, 0);
        assert!(!s.holds("vm-1"), "nothing has left yet");
        assert_eq!(s.writes(0, 9).len(), 1);
        assert!(s.holds("vm-1"), "the write may be carried out");
        s.heard("vm-1", 1);
        assert!(s.writes(1, 9).is_empty(), "one write at a time");
        s.stored(0, 7);
        assert_eq!(s.writes(1, 9)[0].version, 7);
        assert!(s.holds("vm-1"), "the removal is not acknowledged");
        s.stored(0, 8);
        assert!(!s.holds("vm-1"));
    }

    /// The lost write may have been carried out, so its names stay held whatever is wanted.
    #[test]
    fn a_lost_write_holds_its_names() {
        let mut s = FencingRecord::new(8192);
        s.silent("vm-1", 100, 0);
        s.writes(0, 9);
        s.again(0, 6, 1);
        s.heard("vm-1", 1);
        assert!(s.holds("vm-1"));
        let write = &s.writes(1, 9)[0];
        assert!(write.entries.is_empty() && write.version == 6);
        s.stored(0, 9);
        assert!(!s.holds("vm-1"));
    }

    #[test]
    fn a_promise_is_taken_over_and_a_page_that_does_not_parse_holds_everybody() {
        let mut s = FencingRecord::new(8192);
        s.restore(page(&[("vm-1", 3)]), 10);
        assert!(s.holds("vm-1") && !s.holds("vm-2"));
        assert!(s.writes(10, 9).is_empty(), "nothing has changed");
        let unread = StoredPage {
            page: 1,
            version: 4,
            entries: None,
        };
        s.restore(unread, 10);
        assert!(s.holds("vm-2"));
        assert_eq!(s.writes(10, 9)[0].page, 1);
        s.stored(1, 11);
        assert!(s.holds("vm-1") && !s.holds("vm-2"));
    }

    proptest! {
        /// Whatever happens, no page is larger than a value may be, and a worker that the
        /// stored value names is held. The store is kept beside it, writes may be lost.
        #[test]
        fn what_is_stored_is_held(steps in prop::collection::vec((0u8..5, 0usize..400), 1..300)) {
            let mut s = FencingRecord::new(2048);
            let mut store: BTreeMap<u32, BTreeSet<String>> = BTreeMap::new();
            let mut versions: BTreeMap<u32, u64> = BTreeMap::new();
            let mut out: Vec<PageWrite> = Vec::new();
            let mut clock = 0;
            for (what, which) in steps {
                clock += 1;
                let name = format!("vm-{which:06}");
                match what {
                    0 | 1 => s.silent(&name, clock, clock),
                    2 => s.heard(&name, clock),
                    3 => out.extend(s.writes(clock, 3)),
                    _ => for write in out.drain(..) {
                        let now = versions.get(&write.page).copied().unwrap_or(0);
                        prop_assert_eq!(now, write.version);
                        let bytes: usize = write.entries.iter().map(|(n, _)| n.len() + 18).sum();
                        prop_assert!(bytes <= 2048);
                        if which % 3 > 0 {
                            store.insert(write.page, write.entries.iter().map(|e| e.0.clone()).collect());
                            versions.insert(write.page, clock);
                        }
                        if which % 3 == 1 {
                            s.stored(write.page, clock);
                        } else {
                            let version = versions.get(&write.page).copied().unwrap_or(0);
                            s.again(write.page, version, clock);
                        }
                    }
                }
                for name in store.values().flatten() {
                    prop_assert!(s.holds(name), "{name} is stored and not held");
                }
            }
        }
    }
}
