//! Teams: their quotas and limits, and what their task instances take.

use crate::protocol::job::Resources;
use crate::settings::Cluster;

use super::model::Interner;

/// What a team may use and may be using.
#[derive(Debug, Clone, Default)]
pub struct TeamUsage {
    /// Up to this its jobs go before those of teams above theirs.
    pub quota: Resources,
    /// It never uses more than this; 0 stands for no limit.
    pub limit: Resources,
    /// Resources of all its task instances that may exist.
    pub used: Resources,
    /// What workers that this leader knows too little of may hold of it besides.
    pub unreconciled: Resources,
}

impl TeamUsage {
    /// Whether the team has a limit at all.
    pub fn is_limited(&self) -> bool {
        self.limit.cpus > 0 || self.limit.gpus > 0
    }
}

/// Teams by index: those of the settings first, in their order, then others that jobs name.
#[derive(Debug, Default)]
pub(super) struct TeamTable {
    names: Interner,
    usage: Vec<TeamUsage>,
}

impl TeamTable {
    /// The teams of the settings, with nothing in use.
    pub(super) fn configured(cluster: &Cluster) -> Self {
        let mut teams = Self::default();
        for team in &cluster.teams {
            teams.names.intern(&team.name);
            teams.usage.push(TeamUsage {
                quota: Resources::new(team.cpus, team.gpus, 0.0),
                limit: Resources::new(team.cpus_max, team.gpus_max, 0.0),
                ..TeamUsage::default()
            });
        }
        teams
    }

    /// The index of a team, which is added without quota and limit if it is new.
    pub(super) fn intern(&mut self, name: &str) -> u32 {
        let index = self.names.intern(name);
        if self.usage.len() <= index as usize {
            self.usage.resize(index as usize + 1, TeamUsage::default());
        }
        index
    }

    /// How many teams there are.
    pub(super) fn len(&self) -> usize {
        self.usage.len()
    }

    /// All teams by index.
    pub(super) fn iter(&self) -> std::slice::Iter<'_, TeamUsage> {
        self.usage.iter()
    }

    /// All teams by index, to be changed.
    pub(super) fn iter_mut(&mut self) -> std::slice::IterMut<'_, TeamUsage> {
        self.usage.iter_mut()
    }
}

impl std::ops::Index<usize> for TeamTable {
    type Output = TeamUsage;
    fn index(&self, index: usize) -> &TeamUsage {
        &self.usage[index]
    }
}

impl std::ops::IndexMut<usize> for TeamTable {
    fn index_mut(&mut self, index: usize) -> &mut TeamUsage {
        &mut self.usage[index]
    }
}
