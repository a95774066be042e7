//! Who should have which machine.
//!
//! Weighted rendezvous hashing: for each machine the nodes are ranked by a draw that depends on
//! machine and node alone, so that a node that comes or goes changes only what it gets or had.
//! Loads are bounded: a node takes no more than its part of all machines and a tenth; what is
//! beyond goes to the next in the machine's own ranking. A machine stays where it is while that
//! node is up and within its bound, so that nothing moves for a better draw.

use std::collections::BTreeMap;

/// A node's load may be beyond its part by this much before machines move for it.
const SLACK: f64 = 1.1;
/// A node in the machine's own zone counts for so many.
const SAME_ZONE: f64 = 4.0;

#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    pub zone: u32,
    /// What it bears, against the others: the least of its parts of sockets, memory and
    /// processor. 0: it is down, or cannot reach machines.
    pub weight: f64,
}

/// Well mixed, and the same on every node and in every version.
fn draw(machine: u64, node: u64) -> f64 {
    let mut x =
        machine.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ node.wrapping_mul(0xc2b2_ae3d_27d4_eb4f);
    for _ in 0..2 {
        x ^= x >> 32;
        x = x.wrapping_mul(0xd6e8_feb8_6659_fd93);
    }
    x ^= x >> 32;
    // In (0, 1]: its logarithm is finite.
    ((x >> 11) + 1) as f64 / (1u64 << 53) as f64
}

/// The nodes that are up, the best for this machine first.
pub fn ranking(nodes: &[Node], machine: u32, zone: u32) -> Vec<usize> {
    let score = |n: usize| {
        let near = if nodes[n].zone == zone {
            SAME_ZONE
        } else {
            1.0
        };
        draw(u64::from(machine), n as u64).ln() / (nodes[n].weight * near)
    };
    let mut all: Vec<usize> = (0..nodes.len())
        .filter(|&n| nodes[n].weight > 0.0)
        .collect();
    all.sort_by(|&a, &b| score(b).total_cmp(&score(a)));
    all
}

/// How many of `machines` each node may have.
pub fn bounds(nodes: &[Node], machines: usize) -> Vec<usize> {
    let sum: f64 = nodes.iter().map(|n| n.weight).sum();
    let part = |n: &Node| n.weight / sum.max(f64::MIN_POSITIVE);
    let bound = |n: &Node| (machines as f64 * part(n) * SLACK).ceil() as usize;
    nodes.iter().map(bound).collect()
}

/// Where each machine should be: `machines` by number, with its zone and where it is now.
pub fn assign(
    nodes: &[Node],
    machines: &BTreeMap<u32, (u32, Option<usize>)>,
) -> BTreeMap<u32, usize> {
    let bounds = bounds(nodes, machines.len());
    let mut load = vec![0; nodes.len()];
    let mut to = BTreeMap::new();
    // Those that may stay first: whoever looks for a node takes no place of theirs.
    for (&machine, &(_, now)) in machines {
        if let Some(n) = now.filter(|&n| load[n] < bounds[n]) {
            load[n] += 1;
            to.insert(machine, n);
        }
    }
    for (&machine, &(zone, _)) in machines {
        if to.contains_key(&machine) {
            continue;
        }
        let ranking = ranking(nodes, machine, zone);
        let free = ranking.iter().copied().find(|&n| load[n] < bounds[n]);
        if let Some(n) = free.or(ranking.first().copied()) {
            load[n] += 1;
            to.insert(machine, n);
        }
    }
    to
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn fresh(machines: u32) -> BTreeMap<u32, (u32, Option<usize>)> {
        (0..machines).map(|m| (m, (m % 3, None))).collect()
    }

    fn stay(to: &BTreeMap<u32, usize>) -> BTreeMap<u32, (u32, Option<usize>)> {
        to.iter().map(|(&m, &n)| (m, (m % 3, Some(n)))).collect()
    }

    proptest! {
        /// Everybody is within the bound; a node that goes moves its own machines alone, and
        /// one that comes back moves no more than the bound asks for.
        #[test]
        fn loads_are_bounded_and_little_moves(
            machines in 1u32..400,
            weights in prop::collection::vec((1u32..4, 0u32..3), 2..6),
            gone in 0usize..6,
        ) {
            let mut nodes: Vec<Node> = weights
                .iter()
                .map(|&(w, zone)| Node { zone, weight: f64::from(w) })
                .collect();
            let gone = gone % nodes.len();
            let within = |nodes: &[Node], to: &BTreeMap<u32, usize>| {
                let bounds = bounds(nodes, machines as usize);
                (0..nodes.len()).all(|n| to.values().filter(|&&t| t == n).count() <= bounds[n])
            };
            let first = assign(&nodes, &fresh(machines));
            prop_assert_eq!(first.len(), machines as usize);
            prop_assert!(within(&nodes, &first));
            prop_assert_eq!(&assign(&nodes, &stay(&first)), &first, "nothing moves for nothing");
            let weight = std::mem::replace(&mut nodes[gone].weight, 0.0);
            let without = assign(&nodes, &stay(&first));
            prop_assert!(within(&nodes, &without));
            for (m, n) in &first {
                prop_assert!(*n == gone || without[m] == *n, "{m} moves from a node that is up");
            }
            nodes[gone].weight = weight;
            let again = assign(&nodes, &stay(&without));
            prop_assert!(within(&nodes, &again));
            let moved = without.iter().filter(|(m, n)| again[m] != **n).count();
            let bounds = bounds(&nodes, machines as usize);
            let over = |n: usize| {
                let had = without.values().filter(|&&t| t == n).count();
                had.saturating_sub(bounds[n])
            };
            prop_assert_eq!(moved, (0..nodes.len()).map(over).sum::<usize>());
        }
    }

    /// Machines are spread by weight, and most have a node of their own zone.
    #[test]
    fn heavier_nodes_have_more_and_most_are_near() {
        let node = |zone, weight| Node { zone, weight };
        let nodes = [node(0, 1.0), node(1, 1.0), node(2, 2.0)];
        let to = assign(&nodes, &fresh(3000));
        let count = |n: usize| to.values().filter(|&&t| t == n).count();
        assert!(
            count(2) > count(0) + 300 && count(2) > count(1) + 300,
            "{} {} {}",
            count(0),
            count(1),
            count(2)
        );
        let near = to.iter().filter(|&(m, &n)| nodes[n].zone == m % 3).count();
        assert!(near > 1800, "{near} of 3000");
    }
}
