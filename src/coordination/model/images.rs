//! Container images by index, with their sizes.

use super::interner::Interner;

/// Names and sizes of images. The size of an image counts as 0 until a job states it.
#[derive(Debug, Default)]
pub struct Images {
    names: Interner,
    size_gb: Vec<f64>,
}

impl Images {
    /// Returns the index of an image, adding the image if it is new. A positive `stated_gb`
    /// replaces the known size.
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

    /// The size of an image; 0 if no job has stated it.
    pub fn size_gb(&self, index: u32) -> f64 {
        self.size_gb[index as usize]
    }
}
