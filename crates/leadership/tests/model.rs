//! Every interleaving of a small world, with the code of this package in it.
//!
//! Two or three nodes and one state service. A transaction is carried out late or never, and
//! its outcome may be lost; any node may be refused alone, or all in an outage; a process may
//! end between any two steps, and the next process of its node starts at once and knows nothing.
//! What a process has sent lives on without it.
//!
//! The properties: no two nodes are valid leaders at one time; and no cancellation is stored for
//! want of a leader while somebody is valid. Planted mistakes must each be found.

use copperfield_leadership::Leadership;
use copperfield_model_checker::{History, after, effort, explore, walk};

/// In steps of the model, and no margin: the service ends no lease early.
const TTL: u64 = 2;
const HORIZON: u64 = 9;
const CAMPAIGNS: u8 = 4;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mistake {
    None,
    /// A process takes it that none before it of its node gave its word.
    ForgetsItsWordInARestart,
    /// Any key under its own name is removed, also one that landed after its process had ended.
    BuriesWithoutTheMark,
    /// The removal is not guarded by the key's version.
    BuriesWhateverStands,
    /// It is taken for done when it is sent.
    BuriesUnheard,
    /// Words are given while it is out.
    VouchesWhileItBuries,
    /// Words are given while a campaign is out.
    VouchesWhileItCampaigns,
    /// It is enough that one of the others is idle.
    AsksOneOfTheOthers,
    /// Words are given while the others are asked.
    VouchesWhileItAsks,
    /// An earlier campaign of the process that lands late is taken for the one that is out.
    TakesAnyCampaignForThis,
    /// A leader that lapsed is brought back by words.
    IsVouchedBack,
    /// A cancellation for want of a leader is guarded by the missing key alone. This program
    /// did so, and gave no word for three minutes, which a restart forgot.
    GuardsByTheMissingKey,
    /// It reads what every election changes after it saw the key missing.
    ReadsTheKeyFirst,
    /// It gives words while its cancellation is out.
    VouchesOverACancellation,
    /// A leader that hands over leads on until it hears who is next.
    HandsOverAndGoesOn,
    /// Who is handed the lead takes its words for void before the key is removed.
    TakesOverUnheard,
}

macro_rules! of {
    ($node:expr, $what:literal) => {
        [
            concat!("node 0 ", $what),
            concat!("node 1 ", $what),
            concat!("node 2 ", $what),
        ][$node]
    };
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Key {
    node: usize,
    /// Drawn anew for each campaign.
    nonce: u8,
    version: u8,
    lease_ends: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum What {
    /// Guarded by the missing key, on a lease that ends then.
    Campaign {
        nonce: u8,
        lease_ends: u64,
    },
    /// Guarded by the key's version.
    Mark {
        version: u8,
    },
    Bury {
        version: u8,
    },
    /// Guarded by the missing key and by the version of what elections change.
    Cancel {
        founded: u8,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Sent {
    node: usize,
    process: u8,
    what: What,
}

/// What a process is about, besides leading.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Busy {
    No,
    /// Waits for its campaign, which it sent then.
    Campaigns {
        sent: u64,
        nonce: u8,
    },
    /// Has seen this key under its own name, and that its leader knew that it led.
    Sees {
        version: u8,
    },
    /// Waits for the removal of such a key.
    Buries,
    /// Asks the others whether they are idle; those that have said so.
    Asks {
        idle: u8,
    },
    /// Has read this of the two keys that guard a cancellation.
    Reads {
        founded: Option<u8>,
        missing: bool,
    },
    Cancels,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    process: u8,
    born: u64,
    own: Leadership,
    busy: Busy,
    /// Whose words it has gathered since it asked, and when that was.
    asked: Option<(u64, u8)>,
    refused: bool,
}

impl Node {
    /// Its own clock starts with the process.
    fn at(&self, now: u64) -> u64 {
        now - self.born
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    mistake: Mistake,
    now: u64,
    nodes: Vec<Node>,
    key: Option<Key>,
    /// Its version, and the last token whose leader knew that it led. Version 0: missing.
    founded: (u8, u8),
    epoch: u8,
    out: Vec<Sent>,
    /// Leaders that have stepped down say so to a node: the version of their key.
    handed: Vec<(usize, u8)>,
    /// Carried out or refused; the answer has not arrived yet.
    answers: Vec<(Sent, bool)>,
    outage: bool,
    wrongly_cancelled: bool,
    crashes: u8,
    troubles: u8,
    campaigns: u8,
    cancels: u8,
}

impl World {
    fn new(nodes: usize, mistake: Mistake) -> Self {
        let node = Node {
            process: 0,
            born: 0,
            own: Leadership::new(TTL, 0),
            busy: Busy::No,
            asked: None,
            refused: false,
        };
        Self {
            mistake,
            now: 0,
            nodes: vec![node; nodes],
            key: None,
            founded: (0, 0),
            epoch: 0,
            out: Vec::new(),
            handed: Vec::new(),
            answers: Vec::new(),
            outage: false,
            wrongly_cancelled: false,
            crashes: 3,
            troubles: 3,
            campaigns: CAMPAIGNS,
            cancels: 1,
        }
    }

    fn send(&mut self, n: usize, what: What) {
        let process = self.nodes[n].process;
        let node = n;
        self.out.push(Sent {
            node,
            process,
            what,
        });
        self.out.sort();
    }

    fn served(&self, n: usize) -> bool {
        !self.outage && !self.nodes[n].refused
    }

    fn is_valid(&self, n: usize) -> bool {
        let node = &self.nodes[n];
        node.own.is_valid(node.at(self.now))
    }

    /// Carries a transaction out at the service; whether its guards held.
    fn apply(&mut self, sent: Sent) -> bool {
        let version = self.key.map_or(0, |k| k.version);
        let holds = match sent.what {
            What::Campaign { lease_ends, .. } => version == 0 && self.now < lease_ends,
            What::Mark { version: of } => version == of,
            What::Bury { version: of } => {
                version == of || self.mistake == Mistake::BuriesWhateverStands
            }
            What::Cancel { founded } => {
                let alone = self.mistake == Mistake::GuardsByTheMissingKey;
                version == 0 && (alone || founded == self.founded.0)
            }
        };
        if !holds {
            return false;
        }
        self.epoch += 1;
        match sent.what {
            What::Campaign { nonce, lease_ends } => {
                self.key = Some(Key {
                    node: sent.node,
                    nonce,
                    version: self.epoch,
                    lease_ends,
                });
                self.founded = (self.epoch, 0);
            }
            What::Mark { version } => self.founded = (self.epoch, version),
            What::Bury { .. } => self.key = None,
            What::Cancel { .. } => {
                self.wrongly_cancelled |= (0..self.nodes.len()).any(|n| self.is_valid(n));
            }
        }
        true
    }

    /// The answer of the service, or of the request that was given up (`None`).
    fn answered(&mut self, sent: Sent, held: Option<bool>) {
        let (now, key, mistake) = (self.now, self.key, self.mistake);
        let node = &mut self.nodes[sent.node];
        if node.process != sent.process {
            return;
        }
        let at = node.at(now);
        match (&node.busy, sent.what) {
            (Busy::Buries, What::Bury { .. }) => {
                if held == Some(true) {
                    node.own.released(at);
                }
                node.own.set_asking(false);
                node.busy = Busy::No;
            }
            (Busy::Cancels, What::Cancel { .. }) => {
                if self.mistake != Mistake::VouchesOverACancellation {
                    node.own.end_leaderless();
                }
                node.busy = Busy::No;
            }
            // Read back: the key says who has won.
            (&Busy::Campaigns { sent: when, nonce }, What::Campaign { nonce: of, .. })
                if nonce == of || mistake == Mistake::TakesAnyCampaignForThis =>
            {
                node.own.set_campaigning(false);
                node.busy = Busy::No;
                let won = key.filter(|k| held.is_some() && k.node == sent.node);
                let won = won.filter(|k| k.nonce == of);
                if let Some(k) = won {
                    node.own.begin_leading(u64::from(k.version), when);
                    self.send(sent.node, What::Mark { version: k.version });
                }
            }
            _ => {}
        }
    }

    /// `token`: of the leader that asks.
    fn vouches(&mut self, n: usize, token: u8) -> bool {
        let refused = !self.served(n);
        let now = self.now;
        let mistake = self.mistake;
        let node = &mut self.nodes[n];
        let at = node.at(now);
        // A flag that is not kept up, for as long as it takes to give a word.
        let (buries, campaigns, asks) = match (&node.busy, mistake) {
            (Busy::Buries, Mistake::VouchesWhileItBuries) => (true, false, false),
            (Busy::Campaigns { .. }, Mistake::VouchesWhileItCampaigns) => (false, true, false),
            (Busy::Asks { .. }, Mistake::VouchesWhileItAsks) => (false, false, true),
            _ => (false, false, false),
        };
        if buries || asks {
            node.own.set_asking(false);
        }
        if campaigns {
            node.own.set_campaigning(false);
        }
        let vouched = node.own.vote_to_extend_lease(at, refused, u64::from(token));
        if buries || asks {
            node.own.set_asking(true);
        }
        if campaigns {
            node.own.set_campaigning(true);
        }
        vouched
    }
}

impl copperfield_model_checker::World for World {
    fn next(&self) -> Vec<(&'static str, World)> {
        let mut all = Vec::new();
        let mut then = |what, f: &dyn Fn(&mut World) -> bool| {
            let mut w = self.clone();
            if f(&mut w) {
                all.push((what, w));
            }
        };
        let mistake = self.mistake;
        then("time passes", &|w| {
            w.now += 1;
            w.now <= HORIZON
        });
        then("the lease of the key ends", &|w| {
            let over = !w.outage && w.key.is_some_and(|k| w.now >= k.lease_ends);
            if over {
                w.key = None;
                w.epoch += 1;
            }
            over
        });
        then("an outage begins", &|w| {
            let may = !w.outage && w.troubles > 0;
            w.troubles = w.troubles.saturating_sub(1);
            w.outage = true;
            may
        });
        then("the outage ends", &|w| {
            // Every lease has its full time again.
            if let Some(k) = &mut w.key {
                k.lease_ends = w.now + TTL;
            }
            for sent in &mut w.out {
                if let What::Campaign { lease_ends, .. } = &mut sent.what {
                    *lease_ends = w.now + TTL;
                }
            }
            std::mem::take(&mut w.outage)
        });
        for n in 0..self.nodes.len() {
            then(of!(n, "is refused alone"), &|w| {
                let may = !w.nodes[n].refused && w.troubles > 0;
                w.troubles = w.troubles.saturating_sub(1);
                w.nodes[n].refused = true;
                may
            });
            then(of!(n, "is served again"), &|w| {
                std::mem::take(&mut w.nodes[n].refused)
            });
            then(of!(n, "ends, and starts anew"), &|w| {
                let may = w.crashes > 0;
                w.crashes = w.crashes.saturating_sub(1);
                let now = w.now;
                let node = &mut w.nodes[n];
                node.process += 1;
                node.born = now;
                node.own = Leadership::new(TTL, 0);
                if w.mistake == Mistake::ForgetsItsWordInARestart {
                    node.own.released(0);
                }
                node.busy = Busy::No;
                node.asked = None;
                may
            });
            then(of!(n, "campaigns"), &|w| {
                let (now, served) = (w.now, w.served(n));
                let founded = w.founded.0 > 0;
                let node = &mut w.nodes[n];
                let at = node.at(now);
                let free = node.own.leads(0) && node.busy == Busy::No;
                if !served || w.key.is_some() || !free || w.campaigns == 0 {
                    return false;
                }
                w.campaigns -= 1;
                node.own.set_campaigning(true);
                if node.own.has_promised(at) && founded {
                    return false;
                }
                let (nonce, lease_ends) = (CAMPAIGNS - w.campaigns, now + TTL);
                node.busy = Busy::Campaigns { sent: at, nonce };
                w.send(n, What::Campaign { nonce, lease_ends });
                true
            });
            then(of!(n, "sees its own name on the key"), &|w| {
                let served = w.served(n);
                let marked = w.mistake == Mistake::BuriesWithoutTheMark;
                let founded = w.founded;
                let seen = w
                    .key
                    .filter(|k| k.node == n && (marked || founded.1 == k.version));
                let node = &mut w.nodes[n];
                let free = node.own.leads(0) && node.busy == Busy::No;
                let Some(key) = seen.filter(|_| served && free) else {
                    return false;
                };
                let version = key.version;
                node.busy = Busy::Sees { version };
                true
            });
            then(of!(n, "buries that key"), &|w| {
                let Busy::Sees { version } = w.nodes[n].busy else {
                    return false;
                };
                let node = &mut w.nodes[n];
                node.own.set_asking(true);
                node.busy = Busy::Buries;
                if w.mistake == Mistake::BuriesUnheard {
                    let at = node.at(w.now);
                    node.own.released(at);
                }
                w.send(n, What::Bury { version });
                true
            });
            then(of!(n, "asks whether all are idle"), &|w| {
                let now = w.now;
                let node = &mut w.nodes[n];
                let promised = node.own.has_promised(node.at(now));
                let free = node.own.leads(0) && node.busy == Busy::No && promised;
                node.own.set_asking(free);
                node.busy = Busy::Asks { idle: 0 };
                free
            });
            for other in (0..self.nodes.len()).filter(|&o| o != n) {
                then(of!(other, "is idle"), &|w| {
                    let says = w.nodes[other].own.is_idle();
                    let all = (1u8 << w.nodes.len()) - 1 - (1 << n);
                    let one = w.mistake == Mistake::AsksOneOfTheOthers;
                    let now = w.now;
                    let node = &mut w.nodes[n];
                    let at = node.at(now);
                    let Busy::Asks { idle } = &mut node.busy else {
                        return false;
                    };
                    let more = says && *idle & (1 << other) == 0;
                    *idle |= 1 << other;
                    if more && (*idle == all || one) {
                        node.own.released(at);
                        node.own.set_asking(false);
                        node.busy = Busy::No;
                    }
                    more
                });
            }
            then(of!(n, "asks in vain"), &|w| {
                let node = &mut w.nodes[n];
                let asks = matches!(node.busy, Busy::Asks { .. });
                if asks {
                    node.own.set_asking(false);
                    node.busy = Busy::No;
                }
                asks
            });
            then(of!(n, "renews"), &|w| {
                let (now, served) = (w.now, w.served(n));
                let node = &mut w.nodes[n];
                let at = node.at(now);
                let Some(k) = w.key.as_mut().filter(|_| served) else {
                    return false;
                };
                let own = node.own.leads(u64::from(k.version)) && k.node == n;
                let fresh = own && (k.lease_ends < now + TTL || !node.own.is_valid(at));
                if fresh {
                    k.lease_ends = now + TTL;
                    node.own.renewed(at);
                }
                fresh
            });
            then(of!(n, "steps down"), &|w| {
                let node = &mut w.nodes[n];
                let leads = !node.own.leads(0);
                for token in 1..=w.epoch {
                    node.own.step_down(u64::from(token));
                }
                node.asked = None;
                leads
            });
            then(of!(n, "asks all others"), &|w| {
                let (valid, served, now) = (w.is_valid(n), w.served(n), w.now);
                let back = w.mistake == Mistake::IsVouchedBack;
                let node = &mut w.nodes[n];
                let at = node.at(now);
                let may = !node.own.leads(0) && (valid || back) && !served;
                let before = node.asked.replace((at, 0));
                may && before != node.asked
            });
            for other in (0..self.nodes.len()).filter(|&o| o != n) {
                then(of!(other, "vouches"), &|w| {
                    if w.nodes[n]
                        .asked
                        .is_none_or(|(_, words)| words & (1 << other) != 0)
                    {
                        return false;
                    }
                    let leads = |token: &u8| w.nodes[n].own.leads(u64::from(*token));
                    let Some(token) = (1..=w.epoch).find(leads) else {
                        return false;
                    };
                    let vouched = w.vouches(other, token);
                    let all = (1u8 << w.nodes.len()) - 1 - (1 << n);
                    let now = w.now;
                    let back = w.mistake == Mistake::IsVouchedBack;
                    let node = &mut w.nodes[n];
                    let at = node.at(now);
                    let Some((asked, words)) = &mut node.asked else {
                        return false;
                    };
                    *words |= 1 << other;
                    if *words == all {
                        let asked = *asked;
                        if back {
                            node.own.renewed(asked);
                        }
                        node.own.lease_extended_by_peers(asked, at);
                        node.asked = None;
                    }
                    vouched
                });
            }
            for other in (0..self.nodes.len()).filter(|&o| o != n) {
                then(
                    of!(other, "can take over, and the leader steps down"),
                    &|w| {
                        let key = w.key.filter(|_| w.served(other) && !w.served(n));
                        let leads = |k: &Key| w.nodes[n].own.leads(u64::from(k.version));
                        let idle = w.nodes[other].own.is_idle();
                        let Some(version) = key.filter(|k| leads(k) && idle).map(|k| k.version)
                        else {
                            return false;
                        };
                        if w.mistake != Mistake::HandsOverAndGoesOn {
                            w.nodes[n].own.step_down(u64::from(version));
                            w.nodes[n].asked = None;
                        }
                        let told = (other, version);
                        let new = !w.handed.contains(&told);
                        w.handed.push(told);
                        new
                    },
                );
            }
            then(of!(n, "takes over"), &|w| {
                let now = w.now;
                let told = w.handed.iter().position(|(to, _)| *to == n);
                let node = &mut w.nodes[n];
                let free = node.own.leads(0) && node.busy == Busy::No;
                let Some(told) = told.filter(|_| free) else {
                    return false;
                };
                let (_, version) = w.handed.remove(told);
                let at = node.at(now);
                node.own.set_asking(true);
                node.busy = Busy::Buries;
                if w.mistake == Mistake::TakesOverUnheard {
                    node.own.released(at);
                    node.own.set_asking(false);
                    node.busy = Busy::No;
                }
                w.send(n, What::Bury { version });
                true
            });
            then(of!(n, "is asked to cancel"), &|w| {
                let (now, served) = (w.now, w.served(n));
                let node = &mut w.nodes[n];
                let at = node.at(now);
                let free = node.own.leads(0) && node.busy == Busy::No;
                if !served || !free || w.cancels == 0 || !node.own.begin_leaderless(at) {
                    return false;
                }
                if w.mistake == Mistake::VouchesOverACancellation {
                    node.own.end_leaderless();
                }
                w.cancels -= 1;
                node.busy = Busy::Reads {
                    founded: None,
                    missing: false,
                };
                true
            });
            then(of!(n, "reads a key for that"), &|w| {
                let served = w.served(n);
                let (absent, version) = (w.key.is_none(), w.founded.0);
                let first = w.mistake == Mistake::ReadsTheKeyFirst;
                let node = &mut w.nodes[n];
                let Busy::Reads { founded, missing } = &mut node.busy else {
                    return false;
                };
                if !served {
                    return false;
                }
                if founded.is_none() && (!first || *missing) {
                    *founded = Some(version);
                } else if !*missing {
                    if !absent {
                        if mistake != Mistake::VouchesOverACancellation {
                            node.own.end_leaderless();
                        }
                        node.busy = Busy::No;
                        return true;
                    }
                    *missing = true;
                }
                if let (Some(founded), true) = (*founded, *missing) {
                    node.busy = Busy::Cancels;
                    w.send(n, What::Cancel { founded });
                }
                true
            });
        }
        for i in 0..self.out.len() {
            then("a transaction is carried out", &|w| {
                let sent = w.out.remove(i);
                if w.outage {
                    return false;
                }
                let held = w.apply(sent);
                w.answers.push((sent, held));
                w.answers.sort();
                true
            });
            then("a transaction is given up, and may still land", &|w| {
                let before = w.nodes.clone();
                w.answered(w.out[i], None);
                before != w.nodes
            });
        }
        for i in 0..self.answers.len() {
            then(of!(self.answers[i].0.node, "is answered"), &|w| {
                let (sent, held) = w.answers.remove(i);
                w.answered(sent, Some(held));
                true
            });
            then("an answer is lost", &|w| {
                let (sent, _) = w.answers.remove(i);
                w.answered(sent, None);
                true
            });
        }
        all
    }

    fn broken(&self) -> bool {
        let valid = (0..self.nodes.len()).filter(|&n| self.is_valid(n));
        valid.count() > 1 || self.wrongly_cancelled
    }
}

fn told(history: &History) -> ! {
    panic!("{history:#?}")
}

#[test]
fn nobody_leads_beside_another_and_nothing_is_cancelled_beside_a_leader() {
    for (nodes, least) in [(2, 7), (3, 5)] {
        let states = 250_000 * effort();
        let start = World::new(nodes, Mistake::None);
        let depth = explore(start.clone(), states as usize).unwrap_or_else(|h| told(&h));
        println!("{nodes} nodes: {states} states, all histories of up to {depth} steps");
        assert!(depth >= least, "only to a depth of {depth}");
        let walks = 60_000 * effort();
        let steps = walk(&start, walks, 60).unwrap_or_else(|h| told(&h));
        println!("{walks} random histories of {steps} steps");
    }
}

/// Node 0 leads until 2, and the next process of its node would know.
const LEADS: [&str; 5] = [
    "node 0 campaigns",
    "a transaction is carried out",
    "node 0 is answered",
    "a transaction is carried out",
    "node 0 is answered",
];
/// Node 0 campaigns at 0 and wins at 1, while a campaign of node 1 is out since 1.
const BOTH_CAMPAIGN: [&str; 5] = [
    "node 0 campaigns",
    "time passes",
    "node 1 campaigns",
    "a transaction is carried out",
    "node 0 is answered",
];
const ALL_REFUSED: [&str; 2] = ["node 0 is refused alone", "node 1 is refused alone"];
const ON_ITS_WORD: [&str; 2] = ["node 0 asks all others", "node 1 vouches"];
/// The key of node 0 is gone, and node 1 may cancel for want of a leader.
const LAPSED: [&str; 3] = ["time passes", "time passes", "the lease of the key ends"];
const CANCELS: [&str; 3] = [
    "node 1 is asked to cancel",
    "node 1 reads a key for that",
    "node 1 reads a key for that",
];
const OTHER_WINS: [&str; 3] = [
    "node 1 campaigns",
    "a transaction is carried out",
    "node 1 is answered",
];
const LEADS_ANEW: [&str; 4] = [
    "node 0 steps down",
    "node 0 campaigns",
    "a transaction is carried out",
    "node 0 is answered",
];
/// Where node 1 has not told anyone, and does not know itself, what it did.
const FORGETS: [&str; 1] = ["node 1 ends, and starts anew"];
const HANDED: [&str; 1] = ["node 1 can take over, and the leader steps down"];
/// Node 0 starts anew at once and is about to remove its own key.
const SEES: [&str; 2] = [
    "node 0 ends, and starts anew",
    "node 0 sees its own name on the key",
];

/// Chance rarely gets to where words matter, so each is searched from there. What is wrong
/// must be found, and the program as it is must hold over as many states.
#[test]
fn each_planted_mistake_is_found() {
    use Mistake::*;
    let cases: &[(Mistake, &[&[&str]])] = &[
        (
            ForgetsItsWordInARestart,
            &[&LEADS, &ALL_REFUSED, &["time passes"], &ON_ITS_WORD],
        ),
        (
            BuriesWithoutTheMark,
            &[
                &BOTH_CAMPAIGN,
                &FORGETS,
                &ALL_REFUSED,
                &ON_ITS_WORD,
                &["time passes", "the lease of the key ends"],
                // The mark of node 0, in vain, and the campaign of the process before.
                &[
                    "a transaction is carried out",
                    "a transaction is carried out",
                ],
                &["node 1 is served again"],
            ],
        ),
        (BuriesWhateverStands, &[&LEADS, &SEES, &LAPSED, &OTHER_WINS]),
        (
            BuriesUnheard,
            &[
                &LEADS,
                &SEES,
                &LAPSED,
                &OTHER_WINS,
                &ALL_REFUSED,
                &["time passes", "node 1 asks all others", "node 0 vouches"],
            ],
        ),
        (
            VouchesWhileItBuries,
            &[
                &LEADS,
                &["time passes", "node 0 renews", "time passes"],
                &SEES,
                &["node 0 buries that key", "a transaction is carried out"],
                &["node 1 campaigns", "a transaction is carried out"],
                &["node 1 is answered", "a transaction is carried out"],
                &ALL_REFUSED,
                &["time passes", "node 1 asks all others"],
            ],
        ),
        (VouchesWhileItCampaigns, &[&BOTH_CAMPAIGN, &ALL_REFUSED]),
        (
            TakesAnyCampaignForThis,
            &[
                &[
                    "node 0 campaigns",
                    "a transaction is given up, and may still land",
                ],
                &[
                    "time passes",
                    "node 0 campaigns",
                    "a transaction is carried out",
                ],
            ],
        ),
        (
            AsksOneOfTheOthers,
            &[
                &LEADS,
                &ALL_REFUSED,
                &["node 2 is refused alone", "time passes"],
                &ON_ITS_WORD,
                &["node 2 vouches"],
                &FORGETS,
                &["time passes", "the lease of the key ends"],
            ],
        ),
        (
            VouchesWhileItAsks,
            &[
                &[
                    "node 0 campaigns",
                    "node 1 asks whether all are idle",
                    "node 0 is idle",
                ],
                &LEADS[1..],
                &ALL_REFUSED,
                &["node 2 is refused alone", "time passes"],
                &["node 0 asks all others", "node 2 vouches"],
            ],
        ),
        (IsVouchedBack, &[&LEADS, &LAPSED, &CANCELS, &FORGETS]),
        (
            GuardsByTheMissingKey,
            &[
                &LEADS,
                &LAPSED,
                &CANCELS,
                &FORGETS,
                &LEADS_ANEW,
                &ALL_REFUSED,
            ],
        ),
        (
            ReadsTheKeyFirst,
            &[
                &LEADS,
                &LAPSED,
                &CANCELS[..2],
                &LEADS_ANEW,
                &["node 1 reads a key for that"],
                &FORGETS,
            ],
        ),
        (
            VouchesOverACancellation,
            &[
                &LEADS,
                &["time passes", "node 0 renews", "time passes"],
                &CANCELS[..2],
                &ALL_REFUSED,
            ],
        ),
    ];
    let handed: &[(Mistake, &[&[&str]])] = &[
        (HandsOverAndGoesOn, &[&LEADS, &["node 0 is refused alone"]]),
        // The message is late: the node that was handed the lead has led, and has given its word
        // to the next, before a second of that kind arrives.
        (
            TakesOverUnheard,
            &[
                &LEADS,
                &["node 0 is refused alone"],
                &HANDED,
                &["node 0 is served again"],
                &LAPSED,
                &LEADS[..3],
                &ALL_REFUSED,
                &["time passes"],
                &ON_ITS_WORD,
                &["time passes", "the lease of the key ends"],
                &["node 1 is served again"],
            ],
        ),
    ];
    for (mistake, parts) in cases.iter().chain(handed) {
        let history = parts.concat();
        let nodes = match mistake {
            AsksOneOfTheOthers | VouchesWhileItAsks => 3,
            _ => 2,
        };
        let from = |mistake| after(World::new(nodes, mistake), &history);
        explore(from(None), 60_000).unwrap_or_else(|h| told(&h));
        let mut wrong = from(*mistake);
        if *mistake == VouchesWhileItAsks {
            // What the program as it is would not do.
            wrong = after(wrong, &["node 1 vouches"]);
        }
        let found = explore(wrong, 600_000);
        let found = found.expect_err(&format!("{mistake:?} is not found"));
        println!("{mistake:?}: {found:?}");
    }
}

/// The world itself is worth nothing if nobody leads anew at once in it.
#[test]
fn a_leader_that_starts_anew_at_once_leads_at_once() {
    let removed = [
        "node 0 buries that key",
        "a transaction is carried out",
        "node 0 is answered",
    ];
    let history = [&LEADS[..], &SEES, &removed, &LEADS[..3]].concat();
    let world = after(World::new(2, Mistake::None), &history);
    assert_eq!((world.now, world.is_valid(0)), (0, true));
    assert_eq!(world.nodes[0].process, 1);
}

/// Handing over is worth nothing unless the next leader is valid before the last one would have
/// lapsed, and unless a suspended leader lets the next be vouched for.
#[test]
fn who_is_handed_the_lead_leads_at_once_and_is_vouched_for() {
    let taken = [
        "node 1 takes over",
        "a transaction is carried out",
        "node 1 is answered",
    ];
    let refused = ["node 0 is refused alone"];
    let history = [&LEADS[..], &refused, &HANDED, &taken, &OTHER_WINS].concat();
    let world = after(World::new(2, Mistake::None), &history);
    assert_eq!((world.now, world.is_valid(1)), (0, true));
    let mut lapsed = after(
        World::new(2, Mistake::None),
        &[&LEADS[..], &refused, &LAPSED, &OTHER_WINS].concat(),
    );
    assert!(!lapsed.nodes[0].own.is_idle(), "suspended");
    let newer = lapsed.key.expect("node 1 has won").version;
    assert!(lapsed.vouches(0, newer));
    assert!(lapsed.nodes[0].own.is_idle());
}
