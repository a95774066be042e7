//! Teams: their quotas, their limits and the resources their task instances use.

use crate::protocol::job::Resources;
use crate::settings::Cluster;

use super::model::Interner;

/// A team's quota and limit, and the resources it may be using.
#[derive(Debug, Clone, Default)]
pub struct TeamUsage {
    /// Jobs of a team that uses at most its quota are placed before those of teams above their
    /// quota.
    pub quota: Resources,
    /// Upper bound on the resources that the team may use; 0 means no limit.
    pub limit: Resources,
    /// Resources of all task instances of the team that may exist.
    pub used: Resources,
    /// Further resources that tasks of the team may use on workers that are not reconciled.
    pub unreconciled: Resources,
}

impl TeamUsage {
    /// Whether the team has any limit.
    pub fn is_limited(&self) -> bool {
        self.limit.cpus > 0 || self.limit.gpus > 0
    }
}

/// Teams by index: first those of the settings, in their order, then others that jobs name.
#[derive(Debug, Default)]
pub(super) struct TeamTable {
    names: Interner,
    usage: Vec<TeamUsage>,
}

impl TeamTable {
    /// Creates the table with the teams of the settings, without any usage.
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

    /// The index of a team. A new team is added without quota and limit.
    pub(super) fn intern(&mut self, name: &str) -> u32 {
        let index = self.names.intern(name);
        if self.usage.len() <= index as usize {
            self.usage.resize(index as usize + 1, TeamUsage::default());
        }
        index
    }

    /// The number of teams.
    pub(super) fn len(&self) -> usize {
        self.usage.len()
    }

    /// All teams, in index order.
    pub(super) fn iter(&self) -> std::slice::Iter<'_, TeamUsage> {
        self.usage.iter()
    }

    /// Mutable references to all teams, in index order.
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
