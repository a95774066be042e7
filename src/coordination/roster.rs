//! The roster: which machines may have been given tasks, as the state service
//! keeps it, so that the next leader can ask each at once what it holds.
//!
//! A machine is on a stored page before its first start. Many machines share
//! a page: with a record for each, the first minute of a site of a thousand
//! machines, and every change of the images they have, used up the changes per
//! second that submissions need.

use serde_json::{Map, Value};

use crate::bookkeeping::writer::{Write, Written};
use crate::bookkeeping::{MachineRecord, RosterPage};

use super::model::*;
use super::state::{Core, Page};

/// Images are a hint and dead machines only cost the next leader a question:
/// neither is written at once.
const HINT_EVERY_S: Time = 10.0;
const STRIKE_AFTER_S: Time = 0.3;

impl Core {
    pub(super) fn restore_roster(&mut self, stored: RosterPage) {
        let page = self.roster.page(stored.page);
        page.version = stored.version;
        let Some(machines) = stored.machines else {
            page.unreadable = true;
            self.unknown_machines = true;
            return;
        };
        for (name, record) in machines {
            if self.machine_ids.contains_key(&name) {
                continue;
            }
            let kind = self.types.intern(&record.machine_type);
            let zone = self.zones.intern(&record.zone);
            let images: Vec<u32> = record
                .images
                .iter()
                .map(|i| self.intern_image(i, 0.0))
                .collect();
            let m = self.add_machine(&name, &record.address, kind, zone, record.spot);
            let machine = &mut self.machines[m];
            machine.page = Some(stored.page);
            machine.recorded = true;
            machine.was_recorded = true;
            machine.images = images;
            self.roster.page(stored.page).machines.push(m);
        }
    }

    /// Puts a machine on a page; it may be given tasks once that is stored.
    pub(super) fn enlist(&mut self, m: u32) {
        if self.machines[m].page.is_some() {
            return;
        }
        let most = self.roster.per_page;
        let room = |p: &Page| !p.unreadable && p.machines.len() < most;
        let pages = &self.roster.pages;
        let ix = pages.iter().position(room).unwrap_or(pages.len()) as u32;
        let now = self.now;
        let page = self.roster.page(ix);
        page.machines.push(m);
        page.due_by(now);
        self.machines[m].page = Some(ix);
    }

    /// A machine that surely holds nothing, and gets nothing until it is heard again.
    pub(super) fn strike(&mut self, m: u32) {
        self.forget_silence(m);
        self.machines[m].recorded = false;
        if let Some(ix) = self.machines[m].page.take() {
            let at = self.now + STRIKE_AFTER_S;
            let page = self.roster.page(ix);
            page.machines.retain(|&o| o != m);
            page.due_by(at);
        }
    }

    pub(super) fn images_changed(&mut self, m: u32) {
        if let Some(ix) = self.machines[m].page {
            let at = self.now + HINT_EVERY_S;
            self.roster.page(ix).due_by(at);
        }
    }

    /// The pages that are to be written now, as long as there is room for them.
    pub(super) fn roster_writes(&mut self, batch: &mut Vec<Write>, most: usize, bytes: &mut usize) {
        let now = self.now;
        for ix in 0..self.roster.pages.len() {
            let page = &self.roster.pages[ix];
            let due = page.due.is_some_and(|t| t <= now) && !page.writing && !page.unreadable;
            if !due {
                continue;
            }
            if batch.len() >= most || *bytes > super::storing::TXN_BYTES {
                break;
            }
            let value = self.page_value(page);
            *bytes += value.to_string().len() + 100;
            let page = &mut self.roster.pages[ix];
            page.due = None;
            page.writing = true;
            batch.push(Write::Roster {
                page: ix as u32,
                value,
                version: page.version,
            });
        }
    }

    fn page_value(&self, page: &Page) -> Value {
        let mut value = Map::new();
        for &m in &page.machines {
            let machine = &self.machines[m];
            let mut record = MachineRecord {
                address: machine.address.clone(),
                machine_type: self.types.names.name(machine.kind).to_string(),
                zone: self.zones.name(machine.zone).to_string(),
                spot: machine.spot,
                images: Vec::new(),
            };
            let fixed = machine.name.len() + 2 * record.address.len() + 120;
            let mut left = self.roster.bytes_per_machine.saturating_sub(fixed);
            // The most recently used images, as many as the page has room for.
            for &image in machine.images.iter().rev() {
                let name = self.images.name(image);
                if name.len() + 3 > left {
                    break;
                }
                left -= name.len() + 3;
                record.images.insert(0, name.to_string());
            }
            let record = serde_json::to_value(record).expect("plain data");
            value.insert(machine.name.clone(), record);
        }
        Value::Object(value)
    }

    pub(super) fn roster_written(&mut self, ix: u32, value: &Value, written: &Written) {
        let now = self.now;
        let page = self.roster.page(ix);
        page.writing = false;
        match written {
            Written::Stored { version } => {
                page.version = *version;
                for name in value.as_object().into_iter().flat_map(|o| o.keys()) {
                    if let Some(&m) = self.machine_ids.get(name)
                        // Not if it was struck while the page was being written.
                        && self.machines[m].page == Some(ix)
                    {
                        self.machines[m].recorded = true;
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
