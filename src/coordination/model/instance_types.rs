//! The instance types of the cloud ("machine types" in settings and messages).

use crate::protocol::cloud::MachineType;

use super::interner::Interner;

/// Instance types by index. A type that a worker or a job has named has an index even if the cloud
/// has not described it.
#[derive(Debug, Default)]
pub struct InstanceTypes {
    /// Names of all types that the cloud, a worker or a job has mentioned.
    pub names: Interner,
    /// The cloud's description of each type, by index.
    pub descriptions: Vec<Option<MachineType>>,
}

impl InstanceTypes {
    /// Stores the cloud's descriptions, replacing earlier ones.
    pub fn update(&mut self, types: Vec<MachineType>) {
        for description in types {
            let index = self.intern(&description.name) as usize;
            self.descriptions[index] = Some(description);
        }
    }

    /// Returns the index of a type name, adding the name if it is new.
    pub fn intern(&mut self, name: &str) -> u32 {
        let index = self.names.intern(name);
        if self.descriptions.len() <= index as usize {
            self.descriptions.resize(index as usize + 1, None);
        }
        index
    }

    /// The lowest rate at which any described type fetches images, in GB/s.
    pub fn min_fetch_gb_per_s(&self) -> f64 {
        self.descriptions
            .iter()
            .flatten()
            .map(|description| description.fetch_gb_per_s)
            .fold(f64::INFINITY, f64::min)
    }

    /// The highest rate at which an allowed type fetches images, in GB/s; infinite if none of them
    /// is described. `None` allows every type.
    pub fn max_fetch_gb_per_s(&self, allowed: Option<&[u32]>) -> f64 {
        let rate = (0u32..)
            .zip(&self.descriptions)
            .filter(|(index, _)| allowed.is_none_or(|list| list.contains(index)))
            .filter_map(|(_, description)| Some(description.as_ref()?.fetch_gb_per_s))
            .fold(0.0, f64::max);
        if rate > 0.0 { rate } else { f64::INFINITY }
    }

    /// The description of a type, if the cloud has given one.
    pub fn get(&self, index: u32) -> Option<&MachineType> {
        self.descriptions
            .get(index as usize)
            .and_then(Option::as_ref)
    }
}
