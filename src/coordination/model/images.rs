//! Container images by index, and how large they are.

use super::interner::Interner;

/// Names of images and their sizes. A size is unknown, and counts as 0, until a job states it.
#[derive(Debug, Default)]
pub struct Images {
    names: Interner,
    size_gb: Vec<f64>,
}

impl Images {
    /// The index of an image, which is added if it is new; its size is updated if it is stated.
    pub fn intern(&mut self, name: &str, stated_gb: f64) -> u32 {
        let index = self.names.intern(name);
        if self.size_gb.len() <= index as usize {
            self.size_gb.resize(index as usize + 1, 0.0);
        }
        if stated_gb > 0.0 {
            self.size_gb[index as usize] = stated_gb;
        }
        index
    }

    /// The name of an image.
    pub fn name(&self, index: u32) -> &str {
        self.names.name(index)
    }

    /// The size of an image, 0 if nobody has stated it.
    pub fn size_gb(&self, index: u32) -> f64 {
        self.size_gb[index as usize]
    }
}
