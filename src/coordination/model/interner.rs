//! Names mapped to dense indices.

use std::collections::BTreeMap;

/// Maps names of zones, teams, images and instance types to dense indices, in the order of their
/// first use.
///
/// This is not taken from a crate because the indices are also positions in other vectors, and
/// entries are never removed. Interner crates add a symbol type and a global or arena store, which
/// are not needed here.
#[derive(Debug, Default, Clone)]
pub struct Interner {
    by_name: BTreeMap<String, u32>,
    names: Vec<String>,
}

impl Interner {
    /// Returns the index of a name, adding the name if it is new.
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

    /// The name with this index. Panics if this interner did not assign the index.
    pub fn name(&self, index: u32) -> &str {
        &self.names[index as usize]
    }

    /// The number of interned names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name has been interned.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
