//! What users, workers and peers ask of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use copperfield_admin::views::DrainOrder;
use serde_json::{Value, json};
use subtle::ConstantTimeEq;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use warp::http::Method;

use crate::controller::commands::{AdminResponse, BegunCancellation, Command, Handle, JobLookups};
use crate::controller::context::ControllerContext;
use crate::controller::effects::relay_commands;
use crate::controller::event_loop::Controller;
use crate::coordination::core::CancelBegin;
use crate::coordination::election;
use crate::protocol::JobId;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobOutcome, JobSpec, Kind, Phase, Priority};
use crate::protocol::peer::{AdminRequest, Lookup, PeerReply, PeerRequest};
use crate::protocol::state::{Change, Transaction};
use crate::protocol::worker::Heartbeat;
use crate::settings::{Settings, Tuning};
use crate::storage::store::{StoreError, call_peer, put};
use crate::storage::{FOUNDED, LEADER, job_key, job_record, terminal_key, terminal_record};
use crate::transport::client::Network;
use crate::transport::rate_limiter::Urgency;
use crate::transport::server::{Incoming, Outgoing};

/// Users wait 5 s for a submission and 2 s for a poll.
const SUBMIT_DEADLINE: Duration = Duration::from_millis(3500);
const POLL_DEADLINE: Duration = Duration::from_millis(1700);
const CANCEL_DEADLINE: Duration = Duration::from_millis(2500);
/// An operator is answered once what was asked is stored.
const OPERATOR_DEADLINE: Duration = Duration::from_millis(4000);
const PEER_DEADLINE: Duration = Duration::from_millis(700);
/// Questions that wait for the leader at most, go in one message, and messages
/// that are out at once.
const QUESTIONS: usize = 1024;
const QUESTIONS_A_MESSAGE: usize = 256;
const MESSAGES_OUT: usize = 4;
/// The state service is asked for users only while that takes no longer than this.
const READ_BACKLOG: Duration = Duration::from_millis(500);
/// A node that neither the state service nor a peer serves cannot take requests.
const CUT_OFF_S: f64 = 6.0;

#[derive(Clone)]
pub struct Service {
    pub context: Arc<ControllerContext>,
    pub handle: Handle,
    questions: mpsc::Sender<PendingLookup>,
}

/// What a user asks that only the leader can answer.
struct PendingLookup {
    job: JobId,
    leader: String,
    reply: oneshot::Sender<Lookup>,
}

impl Service {
    /// Wires a controller up and sets its tasks going. The second value ends
    /// only if the owner of the state does.
    pub fn start(
        settings: Settings,
        tuning: Tuning,
        network: Arc<dyn Network>,
        seed: u64,
    ) -> (Self, JoinHandle<()>) {
        let context = Arc::new(ControllerContext::new(settings, tuning, network, seed));
        let (owner, handle) = Controller::new(context.clone());
        let (questions, asked) = mpsc::channel(QUESTIONS);
        let service = Self {
            context: context.clone(),
            handle: handle.clone(),
            questions,
        };
        tokio::spawn(service.clone().pass_questions_on(asked));
        tokio::spawn(service.clone().learn_types());
        tokio::spawn(service.clone().watch_peers());
        tokio::spawn(election::run(context, handle));
        (service, tokio::spawn(owner.run()))
    }

    pub async fn public(self, request: Incoming) -> Outgoing {
        let path = request.path.as_str();
        if path.starts_with("/work") && self.context.may_be_stale() {
            // Its user has given up, or can ask again at once.
            return Outgoing::busy("this node stood still", 1);
        }
        if let Some(operators) = &self.context.tuning.operators
            && let Some(rest) = path.strip_prefix("/operator/")
        {
            let given = request.authorization.as_deref().unwrap_or_default();
            let given = given.strip_prefix("Bearer ").unwrap_or_default();
            if !bool::from(given.as_bytes().ct_eq(operators.key.as_bytes())) {
                return Outgoing::error(401, "the key is missing or wrong");
            }
            return match operator_order(&request, rest) {
                Ok(order) => timeout(OPERATOR_DEADLINE, self.operate(order))
                    .await
                    .unwrap_or_else(|_| Outgoing::busy("not stored in time", 1)),
                Err(refusal) => refusal,
            };
        }
        match (&request.method, path) {
            (&Method::POST, "/hello") => self.heartbeat(&request.body).await,
            (&Method::POST, "/work") => {
                let submit = self.submit(&request.body);
                timeout(SUBMIT_DEADLINE, submit)
                    .await
                    .unwrap_or_else(|_| Outgoing::busy("not stored in time", 1))
            }
            (&Method::GET, "/healthz") => self.health(),
            (method, path) => {
                let Some(rest) = path.strip_prefix("/work/") else {
                    return Outgoing::error(404, "no such path");
                };
                match (method, rest.strip_suffix("/withdraw")) {
                    (&Method::POST, Some(id)) => match JobId::parse(id) {
                        Some(id) => timeout(CANCEL_DEADLINE, self.cancel(id))
                            .await
                            .unwrap_or_else(|_| Outgoing::busy("not stored in time", 1)),
                        None => Outgoing::error(404, "no such job"),
                    },
                    (&Method::GET, None) => match JobId::parse(rest) {
                        Some(id) => timeout(POLL_DEADLINE, self.poll(id))
                            .await
                            .unwrap_or_else(|_| Outgoing::busy("no answer in time", 1)),
                        None => Outgoing::error(404, "no such job"),
                    },
                    _ => Outgoing::error(405, "method not allowed"),
                }
            }
        }
    }

    fn health(&self) -> Outgoing {
        let cut_off = self.context.store.unserved_s() > CUT_OFF_S
            && !self.context.settings.others.is_empty()
            && self.context.seconds_since_peer_contact() > CUT_OFF_S;
        if cut_off {
            Outgoing::error(503, "cut off from the state service and from all peers")
        } else {
            Outgoing::json(200, &json!({"ok": true}))
        }
    }

    async fn heartbeat(&self, body: &[u8]) -> Outgoing {
        let heartbeat = match Heartbeat::parse(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return Outgoing::error(400, &error),
        };
        if heartbeat.address.parse::<SocketAddr>().is_err() {
            return Outgoing::error(400, "address: not an IP address and port");
        }
        match self
            .handle
            .ask(|reply| Command::Heartbeat { heartbeat, reply })
            .await
        {
            // Looked at again as it leaves: the process may have stood still since.
            Some(answer) if answer.status == 421 || self.context.may_answer() => answer,
            _ => Outgoing::json(421, &json!({})),
        }
    }

    /// What this node may say of a job now, and who is thought to lead.
    async fn ask_owner(&self, job: JobId) -> (Lookup, Option<String>) {
        let (found, leader) = self.ask_owner_all(vec![job]).await;
        (
            found.into_iter().next().unwrap_or(Lookup::NotLeading),
            leader,
        )
    }

    async fn ask_owner_all(&self, jobs: Vec<JobId>) -> (Vec<Lookup>, Option<String>) {
        let asked = self.handle.ask(|reply| Command::LookUpJobs { jobs, reply });
        let JobLookups {
            lookups: mut found,
            leader,
        } = asked.await.unwrap_or_default();
        if !self.context.leadership.is_valid() {
            for f in &mut found {
                if let Lookup::Live { .. } = f {
                    *f = Lookup::NotLeading;
                }
            }
        }
        (found, leader)
    }

    // ---- submissions ----

    async fn submit(&self, body: &[u8]) -> Outgoing {
        let value: Value = match serde_json::from_slice(body) {
            Ok(value) => value,
            Err(error) => return Outgoing::error(400, &format!("not JSON: {error}")),
        };
        let spec = match JobSpec::submitted(&value) {
            Ok(spec) => spec,
            Err(error) => return Outgoing::error(400, &error),
        };
        let id = spec.id;
        let types = self
            .handle
            .ask(|reply| Command::GetMachineTypes { reply })
            .await;
        let Some(types) = types.flatten() else {
            return Outgoing::busy("the machine types are not known yet", 1);
        };
        if let Err(why) = self.can_run(&spec, &types) {
            // A job that was accepted once is known, whatever has changed since.
            return match self.context.store.outcome(id).await {
                Ok(None) => Outgoing::error(422, &why),
                Ok(Some(at)) => phase_answer(id, at.phase, at.done, 0),
                Err(_) => Outgoing::busy("the state service does not answer", 1),
            };
        }
        let record = job_record(&spec, self.context.unix_ms());
        let limit = (self.context.settings.cluster.state.value_kb * 1024.0) as usize;
        if record.to_string().len() > limit {
            return Outgoing::error(400, "description: too large to be stored");
        }
        // Where changes are scarce, those whom nobody waits for are told so at once,
        // and the rest before their wait would be for nothing.
        let urgency = match spec.priority {
            Priority::Low => Urgency::Low,
            _ => Urgency::Normal,
        };
        let backlog = self.context.store.write_backlog();
        let patience = match urgency {
            Urgency::Low => Duration::from_millis(500),
            _ => SUBMIT_DEADLINE / 2,
        };
        if backlog > patience {
            return Outgoing::busy("too many changes wait", backlog.as_secs() as u32 + 1);
        }
        let txn = Transaction {
            conditions: vec![(job_key(id), 0), (terminal_key(id), 0)],
            changes: vec![put(job_key(id), record)],
        };
        for _ in 0..2 {
            match self.context.store.commit(&txn, urgency, true).await {
                Ok(_) => {
                    return Outgoing::json(
                        201,
                        &json!({"uid": id.to_string(), "phase": Phase::Pending.spelling()}),
                    );
                }
                // Known already, perhaps from an attempt of ours whose answer was lost.
                Err(StoreError::Conflict(_)) => return self.poll(id).await,
                Err(StoreError::Unknown(_)) => {}
                Err(_) => break,
            }
        }
        Outgoing::busy("cannot be stored now", 1)
    }

    /// Why a job can never run, if so.
    fn can_run(&self, spec: &JobSpec, types: &[MachineType]) -> Result<(), String> {
        let cluster = &self.context.settings.cluster;
        let team = cluster
            .teams
            .iter()
            .find(|t| t.name == spec.team)
            .ok_or_else(|| format!("owner: unknown team {:?}", spec.team))?;
        let fits = types.iter().any(|t| {
            spec.machine_types
                .as_ref()
                .is_none_or(|list| list.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
                && spec.needs.fits_in(&t.whole)
        });
        if !fits {
            return Err("a task fits no allowed machine type".into());
        }
        let at_once = match spec.kind {
            Kind::Array => 1.0,
            Kind::Gang | Kind::Service => f64::from(spec.tasks),
        };
        for (what, need, limit) in [
            ("cpus", spec.needs.cpus, team.cpus_max),
            ("gpus", spec.needs.gpus, team.gpus_max),
        ] {
            if limit > 0.0 && need as f64 / 1000.0 * at_once > limit + 1e-9 {
                return Err(format!("{what}: more than the team's limit of {limit}"));
            }
        }
        Ok(())
    }

    // ---- polls ----

    async fn poll(&self, id: JobId) -> Outgoing {
        match self.find(id).await {
            Lookup::Terminal(end) => phase_answer(id, end.phase, end.done, 0),
            Lookup::Live {
                phase,
                done,
                running,
            } => phase_answer(id, phase, done, running),
            // Never held up: what cannot be read soon is to be asked again.
            _ if self.context.store.read_backlog() > READ_BACKLOG => {
                Outgoing::busy("too many questions wait", 2)
            }
            _ => match self.stored_outcome(id).await {
                Ok(Some(at)) => phase_answer(id, at.phase, at.done, 0),
                Ok(None) => Outgoing::error(404, "no such job"),
                Err(_) => Outgoing::busy("the state service does not answer", 1),
            },
        }
    }

    async fn stored_outcome(&self, id: JobId) -> Result<Option<JobOutcome>, StoreError> {
        let at = self.context.store.outcome(id).await?;
        if let Some(end) = at
            && end.phase.is_terminal()
        {
            self.handle
                .send(Command::JobFinished {
                    job: id,
                    outcome: end,
                })
                .await;
        }
        Ok(at)
    }

    /// What this node or the leader knows of a job.
    async fn find(&self, id: JobId) -> Lookup {
        let (found, leader) = self.ask_owner(id).await;
        let (Lookup::NotLeading, Some(leader)) = (found, leader) else {
            return found;
        };
        let (reply, answer) = oneshot::channel();
        let question = PendingLookup {
            job: id,
            leader,
            reply,
        };
        // Where too much is asked the state service may still have time.
        if self.questions.try_send(question).is_err() {
            return Lookup::NotLeading;
        }
        answer.await.unwrap_or(Lookup::NotLeading)
    }

    /// Asks the leader what users ask this node, many at a time: in a storm of
    /// questions a message for each took the leader more than answering it. What
    /// comes while a few messages are out waits for the next.
    async fn pass_questions_on(self, mut queue: mpsc::Receiver<PendingLookup>) {
        let out = Arc::new(Semaphore::new(MESSAGES_OUT));
        loop {
            let Ok(permit) = out.clone().acquire_owned().await else {
                return;
            };
            let mut batch = Vec::new();
            if queue.recv_many(&mut batch, QUESTIONS_A_MESSAGE).await == 0 {
                return;
            }
            let this = self.clone();
            tokio::spawn(async move {
                let jobs = batch.iter().map(|q| q.job).collect();
                let leader = batch.last().map(|q| q.leader.clone());
                let asked = PeerRequest::Lookup(jobs);
                let found = match this.ask_leader(leader, asked, PEER_DEADLINE).await {
                    Some(PeerReply::Jobs(found)) => found,
                    _ => Vec::new(),
                };
                drop(permit);
                let unknown = std::iter::repeat(Lookup::NotLeading);
                for (question, found) in batch.into_iter().zip(found.into_iter().chain(unknown)) {
                    this.remember(question.job, found).await;
                    let _ = question.reply.send(found);
                }
            });
        }
    }

    async fn remember(&self, job: JobId, found: Lookup) {
        if let Lookup::Terminal(end) = found {
            self.handle
                .send(Command::JobFinished { job, outcome: end })
                .await;
        }
    }

    async fn ask_leader(
        &self,
        leader: Option<String>,
        request: PeerRequest,
        deadline: Duration,
    ) -> Option<PeerReply> {
        let address = self.context.peer_address(&leader?)?;
        let reply = call_peer(self.context.http.as_ref(), address, &request, deadline).await;
        if reply.is_some() {
            self.context.record_peer_contact();
        }
        reply
    }

    // ---- cancellations ----

    async fn cancel(&self, id: JobId) -> Outgoing {
        match self.cancelled(id).await {
            Lookup::Terminal(end) => phase_answer(id, end.phase, end.done, 0),
            Lookup::Never => Outgoing::error(404, "no such job"),
            _ => Outgoing::busy("cannot be stored now", 1),
        }
    }

    async fn cancelled(&self, id: JobId) -> Lookup {
        let (found, leader) = self.ask_owner(id).await;
        match found {
            Lookup::Terminal(_) => return found,
            Lookup::NotLeading => {}
            _ => return self.cancel_as_leader(id).await,
        }
        let by_leader = self
            .ask_leader(leader, PeerRequest::Cancel(id), CANCEL_DEADLINE)
            .await;
        match by_leader {
            Some(PeerReply::Job(found @ (Lookup::Terminal(_) | Lookup::Never))) => {
                self.remember(id, found).await;
                found
            }
            _ => self.cancel_without_leader(id).await,
        }
    }

    /// The leader first stops starting anything of the job, then stores the
    /// cancellation, and goes on trying when the user has given up waiting.
    async fn cancel_as_leader(&self, id: JobId) -> Lookup {
        let (done, token) = loop {
            let begin = self
                .handle
                .ask(|reply| Command::BeginCancellation { job: id, reply })
                .await;
            let Some(BegunCancellation { begin, token }) = begin.flatten() else {
                return Lookup::NotLeading;
            };
            match begin {
                CancelBegin::Terminal(end) => return Lookup::Terminal(end),
                CancelBegin::Busy => sleep(Duration::from_millis(30)).await,
                CancelBegin::Go { done } => break (done, token),
            }
        };
        let this = self.clone();
        let settled = tokio::spawn(async move {
            while this.context.leadership.leads(token) {
                if let Ok(found) = this.store_cancelled(id, done, &[(LEADER, token)]).await {
                    let end = match found {
                        Lookup::Terminal(end) => Some(end),
                        _ => None,
                    };
                    this.handle
                        .send(Command::FinishCancellation {
                            job: id,
                            outcome: end,
                        })
                        .await;
                    return found;
                }
                sleep(Duration::from_millis(200)).await;
            }
            Lookup::NotLeading
        });
        settled.await.unwrap_or(Lookup::NotLeading)
    }

    /// Without a leader nobody starts anything or answers from memory, and the
    /// next one reads what is stored here. With one, it must be the leader:
    /// else it might still tell users that the job is running.
    async fn cancel_without_leader(&self, id: JobId) -> Lookup {
        if !self.context.leadership.begin_leaderless_cancellation() {
            return Lookup::NotLeading;
        }
        // Goes on when the user has given up, so that its end is always noted.
        let this = self.clone();
        let stored = tokio::spawn(async move {
            let found = this.store_leaderless(id).await;
            this.context.leadership.end_leaderless_cancellation();
            this.remember(id, found).await;
            found
        });
        stored.await.unwrap_or(Lookup::NotLeading)
    }

    /// The transaction may be carried out minutes later, when this process is gone and a later
    /// one has vouched for a leader; so it is guarded by what every election changes, read
    /// before the leader key is seen to be missing. This process once gave no word for three
    /// minutes instead, and the next one knew nothing of it.
    async fn store_leaderless(&self, id: JobId) -> Lookup {
        let store = &self.context.store;
        let founded = store.get(FOUNDED, Urgency::High, true).await;
        let Ok(founded) = founded.map(|item| item.map_or(0, |i| i.version)) else {
            return Lookup::NotLeading;
        };
        let Ok(None) = store.get(LEADER, Urgency::High, true).await else {
            return Lookup::NotLeading;
        };
        let guards = [(LEADER, 0), (FOUNDED, founded)];
        let stored = self.store_cancelled(id, 0, &guards).await;
        stored.unwrap_or(Lookup::NotLeading)
    }

    /// `Unknown` only if the transaction may still be carried out.
    async fn store_cancelled(
        &self,
        id: JobId,
        done: u32,
        guards: &[(&str, u64)],
    ) -> Result<Lookup, StoreError> {
        let end = JobOutcome {
            phase: Phase::Cancelled,
            done,
        };
        let store = &self.context.store;
        let unread = |_| StoreError::Refused(0);
        let live = store.get(&job_key(id), Urgency::High, true).await;
        let live = live.map_err(unread)?;
        if let Some(end) = store.terminal(id, Urgency::High).await.map_err(unread)? {
            return Ok(Lookup::Terminal(end));
        }
        let Some(live) = live else {
            return Ok(Lookup::Never);
        };
        let mut conditions = vec![(job_key(id), live.version), (terminal_key(id), 0)];
        conditions.extend(
            guards
                .iter()
                .map(|(key, version)| (key.to_string(), *version)),
        );
        let txn = Transaction {
            conditions,
            changes: vec![
                put(terminal_key(id), terminal_record(end)),
                Change::Delete { key: job_key(id) },
            ],
        };
        // After an error it is read again: it may have been carried out, or the job has ended.
        store.commit(&txn, Urgency::High, true).await?;
        Ok(Lookup::Terminal(end))
    }

    // ---- operators ----

    async fn operate(&self, order: AdminRequest) -> Outgoing {
        if let Some(answer) = self.operate_as_leader(order.clone()).await {
            return answer;
        }
        let (_, leader) = self.ask_owner_all(Vec::new()).await;
        let asked = PeerRequest::Admin(order);
        match self.ask_leader(leader, asked, CANCEL_DEADLINE).await {
            Some(PeerReply::AdminAnswered { status, body }) => Outgoing {
                status,
                body,
                retry_after_s: None,
            },
            _ => Outgoing::busy("no leader answers", 1),
        }
    }

    async fn operate_as_leader(&self, order: AdminRequest) -> Option<Outgoing> {
        let asked = self
            .handle
            .ask(|reply| Command::Admin {
                request: order,
                reply,
            })
            .await;
        let AdminResponse { status, body } = asked.flatten()?;
        Some(Outgoing {
            status,
            body,
            retry_after_s: None,
        })
    }

    // ---- peers ----

    pub async fn peer(self, request: Incoming) -> Outgoing {
        self.context.record_peer_contact();
        let message = match borsh::from_slice::<PeerRequest>(&request.body) {
            Ok(message) => message,
            Err(error) => {
                // Of another version, perhaps.
                let (kind, bytes) = (request.body.first(), request.body.len());
                tracing::warn!(?kind, bytes, %error, "message of a controller: not understood");
                let found = kind.map_or("nothing".into(), |k| format!("kind {k}, {bytes} bytes"));
                let why = format!("message: found {found}, allowed are those of this version");
                return Outgoing::error(400, &why);
            }
        };
        let reply = match message {
            PeerRequest::Lookup(jobs) => PeerReply::Jobs(self.ask_owner_all(jobs).await.0),
            PeerRequest::Cancel(id) => PeerReply::Job(
                timeout(CANCEL_DEADLINE, self.cancel_as_leader(id))
                    .await
                    .unwrap_or(Lookup::AskState),
            ),
            PeerRequest::State { method, path, body } => {
                self.context.store.pass_on(&method, &path, body).await
            }
            PeerRequest::VoteToExtendLease { token } => {
                let reply = election::answer_vote_request(&self.context, token).await;
                tracing::debug!(token, ?reply, "asked to vouch");
                reply
            }
            PeerRequest::Ping => PeerReply::Pong,
            PeerRequest::ConfirmNoLeader if !self.context.leadership.is_leading() => {
                PeerReply::NotLeading {
                    up_ms: (self.context.now_s() * 1000.0) as u64,
                }
            }
            PeerRequest::ConfirmNoLeader => PeerReply::Unable,
            PeerRequest::Share(word) => {
                let asked = self.handle.ask(|reply| Command::ShardStatus {
                    status: word,
                    reply,
                });
                match asked.await.flatten() {
                    Some(down) => PeerReply::Granted(down),
                    None => PeerReply::Unable,
                }
            }
            PeerRequest::RelayCommands { token, messages } => {
                if relay_commands(&self.context, &self.handle, token, messages) {
                    PeerReply::Relaying
                } else {
                    PeerReply::Unable
                }
            }
            PeerRequest::TransferLeadership { token } => {
                self.context.transfer_leadership(token);
                PeerReply::Pong
            }
            PeerRequest::LeaderAnnouncement { member } => {
                self.handle.send(Command::LeaderSeen(Some(member))).await;
                PeerReply::Pong
            }
            PeerRequest::Admin(order) => {
                let asked = timeout(CANCEL_DEADLINE, self.operate_as_leader(order));
                match asked.await.ok().flatten() {
                    Some(Outgoing { status, body, .. }) => {
                        PeerReply::AdminAnswered { status, body }
                    }
                    None => PeerReply::Unable,
                }
            }
        };
        Outgoing {
            status: 200,
            body: borsh::to_vec(&reply).expect("plain data"),
            retry_after_s: None,
        }
    }

    /// While the state service does not serve this node, somebody must tell
    /// whether the node is cut off or the service is down.
    pub async fn watch_peers(self) {
        loop {
            sleep(Duration::from_secs(2)).await;
            if self.context.store.unserved_s() < 1.5 {
                continue;
            }
            for peer in &self.context.settings.others {
                let http = self.context.http.as_ref();
                if call_peer(http, peer.peer_addr, &PeerRequest::Ping, PEER_DEADLINE)
                    .await
                    .is_some()
                {
                    self.context.record_peer_contact();
                    break;
                }
            }
        }
    }

    /// Every node needs the machine types to judge submissions.
    pub async fn learn_types(self) {
        let mut pause = Duration::from_millis(250);
        let began = Instant::now();
        loop {
            if let Some(types) = crate::controller::effects::read_machine_types(&self.context).await
            {
                tracing::debug!(after = ?began.elapsed(), "machine types known");
                self.handle.send(Command::SetMachineTypes(types)).await;
                // Types may be added; prices matter to the leader alone, which asks more often.
                pause = Duration::from_secs(120);
            } else if pause < Duration::from_secs(2) {
                pause *= 2;
            }
            sleep(pause).await;
        }
    }
}

/// What an operator asks by HTTP.
fn operator_order(request: &Incoming, rest: &str) -> Result<AdminRequest, Outgoing> {
    if request.method == Method::GET {
        let since = request.query.as_deref().unwrap_or_default();
        return match rest {
            "nodes" => Ok(AdminRequest::Nodes {
                since: since.strip_prefix("since=").unwrap_or_default().into(),
            }),
            "moves" => Ok(AdminRequest::Moves),
            _ => Err(Outgoing::error(404, "there is no such page")),
        };
    }
    let named = rest.strip_prefix("nodes/").and_then(|r| r.split_once('/'));
    match named {
        Some((node, "drain")) => {
            let order: DrainOrder = match request.body.as_ref() {
                b"" => DrainOrder::default(),
                body => serde_json::from_slice(body)
                    .map_err(|e| Outgoing::error(400, &format!("drain: {e}")))?,
            };
            if let Some(s) = order.deadline_s
                && !(0.0..=1e6).contains(&s)
            {
                let what = format!("deadline_s: found {s}, allowed is 0 to 1000000");
                return Err(Outgoing::error(400, &what));
            }
            Ok(AdminRequest::Drain {
                node: node.into(),
                deadline_s: order.deadline_s,
                yes: order.yes,
            })
        }
        Some((node, "undrain")) => Ok(AdminRequest::Undrain { node: node.into() }),
        _ => Err(Outgoing::error(404, "there is no such page")),
    }
}

fn phase_answer(id: JobId, phase: Phase, done: u32, running: u32) -> Outgoing {
    Outgoing::json(
        200,
        &json!({"uid": id.to_string(), "phase": phase.spelling(), "done": done, "running": running}),
    )
}
