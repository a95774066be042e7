//! What is told to be cancelled ends, with the code of this package in it: users, leaders that
//! are vouched for, shard owners of a share, processes that end, and transactions that land late.
//!
//! One worker runs the only task of one job. Whoever may answer it renews its lease, and stops
//! the task if it knows that the job is to end. The property: told cancelled at t, the task is
//! gone after t + a shard owner's grant + the worker's lease. That is the invariant of
//! docs/notes/cancellation.md; each planted mistake breaks it.

use copperfield_leadership::Leadership;
use copperfield_model_checker::{History, after, effort, explore, walk};

/// In steps of the model, without a margin.
const TTL: u64 = 2;
const LEASE: u64 = 2;
/// Longest time that a shard owner answers on after the last word of its leader.
const GRANT: u64 = TTL;
const HORIZON: u64 = 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Mistake {
    None,
    /// A job whose cancellation is of unknown outcome runs on. This program did so.
    RunsOnUntilTheOutcomeIsKnown,
    /// A leader answers workers before it has read the stored state.
    AnswersUnread,
    /// It leads on what it has read before it was elected.
    ReadsBeforeItLeads,
    /// A shard owner answers under a grant for longer than its leader is valid.
    GrantsOutliveTheLeader,
    /// A shard owner's grant for the worker is renewed though the job there is to end.
    GrantsOnAfterACancellation,
    /// The leader's transaction is not guarded by its key.
    CancelsUnguarded,
    /// A leader that lapsed is brought back by words.
    IsVouchedBack,
    /// Nodes that the state service serves vouch, on evidence of long ago. That is no danger: a
    /// word forbids its giver to lead and to cancel, whatever it has been given for.
    VouchesThoughServed,
}

/// What a leader knows of the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum View {
    Unread,
    Runs,
    /// It has sent a transaction for it and has not heard what became of that.
    Cancelling,
    Over,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Node {
    process: u8,
    born: u64,
    own: Leadership,
    view: View,
    refused: bool,
    /// The process cancels for want of a leader.
    leaderless: bool,
}

/// A cancellation on its way, guarded by the leader key of this version, 0 for none, and by what
/// elections change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Sent {
    node: usize,
    process: u8,
    leader: u8,
    founded: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    mistake: Mistake,
    now: u64,
    nodes: Vec<Node>,
    /// Whose, its version, and when its lease ends.
    key: Option<(usize, u8, u64)>,
    founded: u8,
    stored: bool,
    out: Option<Sent>,
    outage: bool,
    told: Option<u64>,
    /// The task is there, on a lease from then on, on a worker that has seen this token.
    runs: bool,
    leased: u64,
    token: u8,
    /// Node 1, or 0 if 1 leads, may answer the worker under this token until then.
    grant: (u8, u64),
    troubles: u8,
    crashes: u8,
}

impl World {
    /// Node 0 leads and knows the job, and the worker reports to it.
    fn new(mistake: Mistake) -> Self {
        let node = |view| Node {
            process: 0,
            born: 0,
            own: Leadership::new(TTL, 0),
            view,
            refused: false,
            leaderless: false,
        };
        let mut nodes = vec![node(View::Runs), node(View::Unread)];
        for node in &mut nodes {
            node.own.released(0);
        }
        nodes[0].own.begin_leading(1, 0);
        Self {
            mistake,
            now: 0,
            nodes,
            key: Some((0, 1, TTL)),
            founded: 1,
            stored: false,
            out: None,
            outage: false,
            told: None,
            runs: true,
            leased: 0,
            token: 1,
            grant: (0, 0),
            troubles: 3,
            crashes: 2,
        }
    }

    fn served(&self, n: usize) -> bool {
        !self.outage && !self.nodes[n].refused
    }

    fn at(&self, n: usize) -> u64 {
        self.now - self.nodes[n].born
    }

    fn is_valid(&self, n: usize) -> bool {
        self.nodes[n].own.is_valid(self.at(n))
    }

    fn version(&self, n: usize) -> Option<u8> {
        (1..=self.founded).find(|v| self.nodes[n].own.leads(u64::from(*v)))
    }

    /// A node answers the worker: its lease is renewed, and the task perhaps stopped.
    fn answer(&mut self, token: u8, stops: bool) -> bool {
        if token < self.token || !self.runs {
            return false;
        }
        let before = (self.leased, self.token);
        self.token = token;
        self.leased = self.now;
        self.runs = !stops;
        stops || before != (self.leased, self.token)
    }

    /// The service carries the transaction out, if it serves; whether its guards held.
    fn execute_effect(&mut self) -> Option<(Sent, bool)> {
        let sent = self.out.filter(|_| !self.outage)?;
        let key = self.key.map_or(0, |(_, version, _)| version);
        let unguarded = self.mistake == Mistake::CancelsUnguarded;
        let guarded = key == sent.leader && (sent.leader > 0 || sent.founded == self.founded);
        let held = !self.stored && (unguarded || guarded);
        self.stored |= held;
        self.out = None;
        Some((sent, held))
    }

    /// What became of the transaction, as far as its sender hears.
    fn hears(&mut self, sent: Sent, held: Option<bool>) {
        if self.nodes[sent.node].process != sent.process {
            return;
        }
        if sent.leader == 0 && std::mem::take(&mut self.nodes[sent.node].leaderless) {
            self.nodes[sent.node].own.end_leaderless();
        }
        if held == Some(true) {
            self.told.get_or_insert(self.now);
            if self.version(sent.node).is_some() {
                self.nodes[sent.node].view = View::Over;
            }
        }
    }
}

macro_rules! of {
    ($node:expr, $what:literal) => {
        [concat!("node 0 ", $what), concat!("node 1 ", $what)][$node]
    };
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
            w.runs &= w.now <= w.leased + LEASE;
            w.now <= HORIZON
        });
        then("the lease of the key ends", &|w| {
            let over = !w.outage && w.key.is_some_and(|(_, _, ends)| w.now >= ends);
            w.key = w.key.filter(|_| !over);
            over
        });
        then("an outage begins", &|w| {
            let may = !w.outage && w.troubles > 0;
            w.troubles = w.troubles.saturating_sub(1);
            w.outage = true;
            may
        });
        then("the outage ends", &|w| {
            if let Some((_, _, ends)) = &mut w.key {
                *ends = w.now + TTL;
            }
            std::mem::take(&mut w.outage)
        });
        then("the transaction is carried out, and answered", &|w| {
            let relayed = w.execute_effect();
            if let Some((sent, held)) = relayed {
                w.hears(sent, Some(held));
            }
            relayed.is_some()
        });
        then(
            "the transaction is carried out, and nobody hears of it",
            &|w| {
                let relayed = w.execute_effect();
                if let Some((sent, _)) = relayed {
                    w.hears(sent, None);
                }
                relayed.is_some()
            },
        );
        then("the transaction is given up, and may still land", &|w| {
            let before = w.nodes.clone();
            if let Some(sent) = w.out {
                w.hears(sent, None);
            }
            before != w.nodes
        });
        for n in 0..self.nodes.len() {
            let other = 1 - n;
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
                w.nodes[n] = Node {
                    process: w.nodes[n].process + 1,
                    born: w.now,
                    own: Leadership::new(TTL, 0),
                    view: View::Unread,
                    refused: w.nodes[n].refused,
                    leaderless: false,
                };
                may
            });
            then(of!(n, "wins"), &|w| {
                let at = w.at(n);
                let free = w.nodes[n].own.leads(0) && !w.nodes[n].own.has_promised(at);
                if !w.served(n) || w.key.is_some() || !free {
                    return false;
                }
                w.founded += 1;
                w.key = Some((n, w.founded, w.now + TTL));
                let version = u64::from(w.founded);
                w.nodes[n].own.begin_leading(version, at);
                if mistake != Mistake::ReadsBeforeItLeads {
                    w.nodes[n].view = View::Unread;
                }
                true
            });
            then(of!(n, "reads what is stored"), &|w| {
                let leads = !w.nodes[n].own.leads(0) || mistake == Mistake::ReadsBeforeItLeads;
                let unread = w.nodes[n].view == View::Unread;
                w.nodes[n].view = if w.stored { View::Over } else { View::Runs };
                leads && unread && w.served(n)
            });
            then(of!(n, "renews"), &|w| {
                let (at, served) = (w.at(n), w.served(n));
                let Some((whose, version, ends)) = w.key.as_mut().filter(|_| served) else {
                    return false;
                };
                let own = *whose == n && w.nodes[n].own.leads(u64::from(*version));
                let fresh = own && *ends < w.now + TTL;
                if fresh {
                    *ends = w.now + TTL;
                    w.nodes[n].own.renewed(at);
                }
                fresh
            });
            then(of!(n, "is vouched for"), &|w| {
                let (at, theirs) = (w.at(n), w.at(other));
                let served = w.served(other) && mistake != Mistake::VouchesThoughServed;
                let back = mistake == Mistake::IsVouchedBack;
                let Some(version) = w.version(n) else {
                    return false;
                };
                let before = w.nodes.clone();
                let word =
                    w.nodes[other]
                        .own
                        .vote_to_extend_lease(theirs, !served, u64::from(version));
                if word && back {
                    w.nodes[n].own.renewed(at);
                }
                word && w.nodes[n].own.lease_extended_by_peers(at, at) && before != w.nodes
            });
            then(of!(n, "hands over"), &|w| {
                let mine = w.key.filter(|(whose, _, _)| *whose == n);
                let idle = w.served(other) && w.nodes[other].own.is_idle();
                let Some((_, version, _)) = mine.filter(|_| idle && !w.served(n)) else {
                    return false;
                };
                w.nodes[n].own.step_down(u64::from(version));
                w.key = None;
                let at = w.at(other);
                w.nodes[other].own.released(at);
                true
            });
            then(of!(n, "cancels as the leader"), &|w| {
                let valid = w.is_valid(n) && w.nodes[n].view == View::Runs;
                let Some(leader) = w.version(n).filter(|_| valid && w.out.is_none()) else {
                    return false;
                };
                w.nodes[n].view = View::Cancelling;
                w.out = Some(Sent {
                    node: n,
                    process: w.nodes[n].process,
                    leader,
                    founded: 0,
                });
                true
            });
            then(of!(n, "cancels for want of a leader"), &|w| {
                let at = w.at(n);
                let may = w.served(n) && w.key.is_none() && w.out.is_none() && !w.stored;
                let free = w.nodes[n].own.leads(0) && !w.nodes[n].leaderless;
                if !may || !free || !w.nodes[n].own.begin_leaderless(at) {
                    return false;
                }
                w.nodes[n].leaderless = true;
                w.out = Some(Sent {
                    node: n,
                    process: w.nodes[n].process,
                    leader: 0,
                    founded: w.founded,
                });
                true
            });
            then(of!(n, "reads the end and tells the user"), &|w| {
                let news = w.stored && w.told.is_none() && w.served(n);
                w.told.get_or_insert(w.now);
                news
            });
            then(of!(n, "answers the machine as the leader"), &|w| {
                let Some(version) = w.version(n).filter(|_| w.is_valid(n)) else {
                    return false;
                };
                let stops = match w.nodes[n].view {
                    View::Unread if mistake != Mistake::AnswersUnread => return false,
                    View::Unread | View::Runs => false,
                    View::Cancelling => mistake != Mistake::RunsOnUntilTheOutcomeIsKnown,
                    View::Over => true,
                };
                w.answer(version, stops)
            });
            then(of!(n, "grants the other a share"), &|w| {
                let for_ms = w.nodes[n].own.valid_for(w.at(n));
                let Some(version) = w.version(n).filter(|_| for_ms > 0) else {
                    return false;
                };
                let ends = matches!(w.nodes[n].view, View::Cancelling | View::Over);
                let on = mistake == Mistake::GrantsOnAfterACancellation;
                if w.nodes[n].view == View::Unread || (ends && !on) {
                    return false;
                }
                let more = match mistake {
                    Mistake::GrantsOutliveTheLeader => 3 * TTL,
                    _ => 0,
                };
                let before = std::mem::replace(&mut w.grant, (version, w.now + for_ms + more));
                before != w.grant
            });
        }
        then("the holder answers the machine", &|w| {
            let (token, until) = w.grant;
            w.now < until && w.answer(token, false)
        });
        all
    }

    fn broken(&self) -> bool {
        self.runs && self.told.is_some_and(|t| self.now > t + GRANT + LEASE)
    }
}

fn told(history: &History) -> ! {
    panic!("{history:#?}")
}

#[test]
fn what_is_told_cancelled_ends_in_time() {
    for mistake in [Mistake::None, Mistake::VouchesThoughServed] {
        let start = World::new(mistake);
        let states = 200_000 * effort();
        let depth = explore(start.clone(), states as usize).unwrap_or_else(|h| told(&h));
        println!("{states} states, all histories of up to {depth} steps");
        assert!(depth >= 7, "only to a depth of {depth}");
        let walks = 40_000 * effort();
        let steps = walk(&start, walks, 80).unwrap_or_else(|h| told(&h));
        println!("{walks} random histories of {steps} steps");
    }
}

/// The lease of node 0 has run out, the state service ended its key, and node 1 has cancelled.
const CANCELLED_WITHOUT_A_LEADER: [&str; 8] = [
    "time passes",
    "node 0 answers the machine as the leader",
    "time passes",
    "the lease of the key ends",
    "node 1 cancels for want of a leader",
    "the transaction is carried out, and answered",
    "an outage begins",
    "node 0 is vouched for",
];

#[test]
fn each_planted_mistake_is_found() {
    use Mistake::*;
    for mistake in [
        RunsOnUntilTheOutcomeIsKnown,
        AnswersUnread,
        ReadsBeforeItLeads,
        GrantsOutliveTheLeader,
        GrantsOnAfterACancellation,
        CancelsUnguarded,
    ] {
        let found = walk(&World::new(mistake), 400_000, 80);
        let found = found.expect_err(&format!("{mistake:?} is not found"));
        println!("{mistake:?}: {found:?}");
    }
    // Chance does not get there; the last step is what the program as it is does not do.
    let lapsed = &CANCELLED_WITHOUT_A_LEADER[..7];
    explore(after(World::new(None), lapsed), 60_000).unwrap_or_else(|h| told(&h));
    let back = after(World::new(IsVouchedBack), &CANCELLED_WITHOUT_A_LEADER);
    let found = explore(back, 600_000).expect_err("it is not found");
    println!("IsVouchedBack: {found:?}");
}
