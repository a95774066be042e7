//! A node that does not lead, as a holder: it answers its share of the machines under the
//! leader's grant, and tells the leader what they say. The decisions are `copperfield-relay`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use copperfield_relay::{Act, Relay};
use tokio::sync::oneshot;

use crate::bookkeeping::store::call_peer;
use crate::commands::{Command, Handle};
use crate::protocol::peer::{Downward, Outcome, PeerReply, PeerRequest, Told};
use crate::protocol::worker::{Report, orders_body};
use crate::settings::Switch;
use crate::shared::Shared;
use crate::transport::server::Outgoing;

/// What a node heard as a holder.
#[derive(Default)]
pub struct Heard {
    pub told: Vec<Told>,
    pub waiting: Vec<(Report, oneshot::Sender<Outgoing>)>,
}

const DEADLINE: Duration = Duration::from_millis(700);

pub struct Holding {
    shared: Arc<Shared>,
    handle: Handle,
    relay: Relay,
    tickets: HashMap<u64, oneshot::Sender<Outgoing>>,
    next_ticket: u64,
    leader: Option<String>,
    /// The last leader that was seen, whom this node tells what it hears.
    told: Option<String>,
}

impl Holding {
    /// `None` where the machines are not shared.
    pub fn begin(shared: &Arc<Shared>, handle: &Handle) -> Option<Self> {
        let settings = &shared.settings;
        if shared.tuning.shares == Switch::Off || settings.others.is_empty() {
            return None;
        }
        // Tells the share of this process from what an earlier one had.
        let process = 1 + shared.random(1 << 52);
        let report_s = settings.cluster.workers.report_s;
        shared.set_granted(0, 0);
        Some(Self {
            shared: shared.clone(),
            handle: handle.clone(),
            relay: Relay::new(settings.place(), process, report_s),
            tickets: HashMap::new(),
            next_ticket: 0,
            leader: None,
            told: None,
        })
    }

    /// The leader is seen, or nobody leads.
    pub fn leader_seen(&mut self, leader: Option<&str>) {
        self.leader = leader.map(str::to_string);
        if leader.is_some() && leader != self.told.as_deref() {
            self.told = leader.map(str::to_string);
            self.relay.new_leader();
        }
    }

    pub fn hello(&mut self, report: Report, reply: oneshot::Sender<Outgoing>) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.tickets.insert(ticket, reply);
        let acts = self.relay.hello(self.shared.now_ms(), ticket, report);
        self.act(acts);
    }

    fn act(&mut self, acts: Vec<Act>) {
        for act in acts {
            let (ticket, answer) = match act {
                Act::Answer { ticket, token } => {
                    let body = orders_body(token, None, &[]);
                    let answer = Outgoing {
                        status: 200,
                        body,
                        retry_after_s: None,
                    };
                    (ticket, answer)
                }
                Act::Away { ticket, to } => {
                    let named = to.map(|n| self.shared.settings.node(n).to_string());
                    let to = named.or_else(|| self.leader.clone());
                    (ticket, self.shared.send_to(to.as_deref()))
                }
            };
            if let Some(reply) = self.tickets.remove(&ticket) {
                let _ = reply.send(answer);
            }
        }
    }

    pub fn granted(&mut self, number: u64, down: Option<Downward>) {
        match down {
            Some(down) => {
                let acts = self.relay.granted(self.shared.now_ms(), &down);
                let (token, until) = self.relay.grant();
                self.shared.set_granted(token, until);
                self.act(acts);
            }
            None => self.relay.lost(number),
        }
    }

    pub fn carried(&mut self, token: u64, flight: u64, outcome: Outcome) {
        if self.relay.grant().0 == token {
            self.relay.carried(flight, outcome);
        }
    }

    /// Time passes: tells the leader what it is time for.
    pub fn tick(&mut self) {
        let now = self.shared.now_ms();
        let acts = self.relay.tick(now);
        self.act(acts);
        let to = self.leader.as_deref();
        let Some(to) = to.and_then(|l| self.shared.peer_address(l)) else {
            return;
        };
        let Some(word) = self.relay.upward(now) else {
            return;
        };
        let (shared, handle) = (self.shared.clone(), self.handle.clone());
        tokio::spawn(async move {
            let number = word.statement.number;
            let request = PeerRequest::Share(word);
            let reply = call_peer(shared.http.as_ref(), to, &request, DEADLINE).await;
            let down = match reply {
                Some(PeerReply::Granted(down)) => Some(down),
                _ => None,
            };
            if down.is_some() {
                shared.heard_peer();
            }
            handle.send(Command::Downward { number, down }).await;
        });
    }

    /// This node leads now: what it has heard, and whose reports still wait for an answer.
    pub fn end(mut self) -> Heard {
        self.shared.set_granted(0, 0);
        let mut heard = Heard::default();
        for (told, ticket) in self.relay.end(self.shared.now_ms()) {
            match ticket.and_then(|t| self.tickets.remove(&t)) {
                Some(reply) => heard.waiting.push((told.report, reply)),
                None => heard.told.push(told),
            }
        }
        heard
    }
}
