//! Names mapped to dense indices.

use std::collections::BTreeMap;

/// Maps names of zones, teams, images and instance types to dense indices, in the order in which
/// they are first seen.
///
/// Written here rather than taken from a crate: the indices are used directly as positions in
/// vectors beside it, entries are never removed, and the crates for this bring a symbol type and
/// a global or arena store that nothing here needs.
#[derive(Debug, Default, Clone)]
pub struct Interner {
    by_name: BTreeMap<String, u32>,
    names: Vec<String>,
}

impl Interner {
    /// The index of a name, which is added if it is new.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(&index) = self.by_name.get(name) {
            return index;
        }
        let index = self.names.len() as u32;
        self.by_name.insert(name.to_string(), index);
        self.names.push(name.to_string());
        index
    }

    /// The index of a name, if it has been interned.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    /// The name with this index. Panics if this interner did not give out the index.
    pub fn name(&self, index: u32) -> &str {
        &self.names[index as usize]
    }

    /// How many names are known.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name is known.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
