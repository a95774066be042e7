//! A vector that reuses the indices of removed entries.

/// Stores values under small indices. The index of a removed value is reused.
///
/// This is not taken from a crate because the index of a new entry determines the order in which
/// workers and jobs are visited, and so placements and messages. That order must not change with
/// the version of a dependency.
#[derive(Debug)]
pub struct Slab<T> {
    entries: Vec<Option<T>>,
    /// Free indices. The one that was freed last is reused first.
    free: Vec<u32>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Slab<T> {
    /// Adds a value and returns its index.
    pub fn insert(&mut self, value: T) -> u32 {
        if let Some(index) = self.free.pop() {
            self.entries[index as usize] = Some(value);
            return index;
        }
        self.entries.push(Some(value));
        (self.entries.len() - 1) as u32
    }

    /// Removes and returns the value at this index, which may then be reused.
    pub fn remove(&mut self, index: u32) -> Option<T> {
        let value = self.entries.get_mut(index as usize)?.take();
        if value.is_some() {
            self.free.push(index);
        }
        value
    }

    /// The value at this index, if there is one.
    pub fn get(&self, index: u32) -> Option<&T> {
        self.entries.get(index as usize)?.as_ref()
    }

    /// A mutable reference to the value at this index, if there is one.
    pub fn get_mut(&mut self, index: u32) -> Option<&mut T> {
        self.entries.get_mut(index as usize)?.as_mut()
    }

    /// All values with their indices, in ascending order of index.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &T)> {
        self.entries
            .iter()
            .enumerate()
            .filter_map(|(index, entry)| entry.as_ref().map(|value| (index as u32, value)))
    }

    /// All values, mutable, with their indices, in ascending order of index.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (u32, &mut T)> {
        self.entries
            .iter_mut()
            .enumerate()
            .filter_map(|(index, entry)| entry.as_mut().map(|value| (index as u32, value)))
    }

    /// The indices in use, in ascending order. For loops that modify the slab.
    pub fn indices(&self) -> Vec<u32> {
        self.iter().map(|(index, _)| index).collect()
    }
}

impl<T> std::ops::Index<u32> for Slab<T> {
    type Output = T;
    fn index(&self, index: u32) -> &T {
        self.get(index).expect("index of a live entry")
    }
}

impl<T> std::ops::IndexMut<u32> for Slab<T> {
    fn index_mut(&mut self, index: u32) -> &mut T {
        self.get_mut(index).expect("index of a live entry")
    }
}
