//! The simulated world of the days in `tests/`: whole controllers against the stand-ins, in
//! simulated time, seeded.
#![allow(dead_code, reason = "each file of tests uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use copperfield::api::Api;
use copperfield::settings::{Settings, Switch, Tuning};
use copperfield::transport::client::{Answer, CallError, Exchange, Network, within};
use copperfield::transport::server::Incoming;
use copperfield_simulation::cluster::{GANG_WAIT_S, Job, LEASE_S, REPORT_S, Site};
use copperfield_simulation::state_service::StateService;
use hyper::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

pub const NODES: usize = 3;
/// Of jobs that users submit in a day, 9 s apart.
pub const ROUNDS: u32 = 6;

pub struct SimulatedCluster {
    pub site: Site,
    pub state: StateService,
    pub services: Vec<Option<Api>>,
    pub alive: Vec<Arc<AtomicBool>>,
    /// Nodes that stand still: nothing they read reaches them and nothing they
    /// have decided leaves, until they go on with both.
    pub frozen: BTreeSet<String>,
    /// Pairs that cannot reach each other; packets are held until they can.
    pub cuts: BTreeSet<(String, String)>,
    /// Nodes that the state service refuses; their open watches wait, as in an outage.
    pub refused: BTreeSet<String>,
    /// Workers that hear nothing: their reports arrive, answers and direct orders are lost.
    pub deaf: BTreeSet<String>,
    /// Share of transactions that get no answer and are carried out 2 to 12 s later.
    pub late_writes: f64,
    /// Share of reports of which a copy arrives again, from 2 s to well over a lease later.
    pub late_reports: f64,
    /// Share of direct messages to workers that are held up on their way, or whose answers are, so
    /// that later ones overtake them.
    pub late_commands: f64,
    /// Share of transactions that are carried out at once and of which no answer comes.
    pub answers_lost: f64,
    /// Workers that reach no controller, while direct orders reach them.
    pub mute: BTreeSet<String>,
    /// Share of reports of which a copy comes to every node as the next leader begins.
    pub for_next: f64,
    /// One zone, with the last node in it, is cut off from everything else.
    pub zone_cut: bool,
    /// Users ask at all nodes within milliseconds of each answer that matters, and submit again.
    pub close_looks: bool,
    /// Share of jobs that are called off at the moment of their end.
    pub cancel_at_end: f64,
    /// Share of answers that are lost.
    pub loss: f64,
    /// So many messages to the state service from now, their sender ends: before it leaves, or
    /// once it has been carried out and before the answer is there.
    pub trip: Option<(u32, bool)>,
    /// So many messages between controllers from now, one is lost: the message itself, or what
    /// was answered.
    pub drop: Option<(u32, bool)>,
    /// Whether each node shares the workers with the others.
    pub shares: [Switch; NODES],
    /// Where each worker reports.
    pub targets: BTreeMap<String, usize>,
    /// Which nodes have answered each worker, without repeats in a row.
    pub answered_by: BTreeMap<String, Vec<usize>>,
    pub rng: StdRng,
    pub start: Instant,
    /// What each controller's tuning has that differs from the usual one of these tests.
    pub tune: fn(&mut Tuning),
    /// Is given one line for each message as it leaves, and for each answer.
    pub recorder: Option<Recorder>,
    /// Messages that have left, while they are recorded.
    pub messages: u64,
}

pub type Recorder = Box<dyn FnMut(String) + Send>;

/// Set this in the tuning, and requests to the operators' endpoints are authorized.
pub const OPERATOR_KEY: &str = "the-key-of-these-tests";

/// Of a day's end, when all troubles are long over: the operators allow 75 s, users ask every
/// second or two, and each question has its deadline.
pub const FORGOTTEN_S: f64 = 12.0;

/// Of a day's end likewise: the operators allow 90 s.
pub const WAITS_S: f64 = 20.0;

pub type SharedCluster = Arc<Mutex<SimulatedCluster>>;

pub fn node_name(i: usize) -> String {
    format!("host-{i}")
}

impl SimulatedCluster {
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Whether a place lies in the zone that may be cut off.
    fn is_inside(&self, place: &str) -> bool {
        let worker = self.site.workers.get(place);
        place == node_name(NODES - 1) || worker.is_some_and(|m| m.zone == "b")
    }

    fn blocked(&self, a: &str, b: &str) -> bool {
        if self.zone_cut && self.is_inside(a) != self.is_inside(b) {
            return true;
        }
        let is = |x: &str, y: &str| self.cuts.contains(&(x.to_string(), y.to_string()));
        is(a, b) || is(b, a) || is(a, "*") || is(b, "*")
    }

    /// Whether the state service serves a node now.
    fn serves(&self, node: &str) -> bool {
        !self.state.outage && !self.refused.contains(node)
    }

    /// Returns the number that the answer is recorded under.
    fn record_message(&mut self, head: std::fmt::Arguments, body: &[u8]) -> u64 {
        self.messages += 1;
        let number = self.messages;
        self.record(format_args!("#{number} {head}"), body);
        number
    }

    fn record(&mut self, head: std::fmt::Arguments, body: &[u8]) {
        let at_ms = self.start.elapsed().as_millis();
        if let Some(recorder) = &mut self.recorder {
            recorder(format!("{at_ms} {head} {}\n", body.escape_ascii()));
        }
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(500..4000))
    }
}

pub fn place(to: SocketAddr) -> String {
    match (to.ip().to_string().as_str(), to.port()) {
        ("10.2.0.1", _) => "state".into(),
        ("10.2.0.2", _) => "cloud".into(),
        (ip, 9000) => {
            let number: u64 = ip
                .rsplit('.')
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(0);
            format!("vm-{number:06}")
        }
        (ip, _) => {
            let number: usize = ip
                .rsplit('.')
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(1);
            node_name(number - 1)
        }
    }
}

pub struct Net {
    world: SharedCluster,
    me: String,
    alive: Arc<AtomicBool>,
}

impl Network for Net {
    /// Each node's clock is off by its own part of what the settings allow.
    fn unix_ms(&self) -> u64 {
        let off = [0, 50, 25][self.me.as_bytes()[5] as usize % 3];
        let passed = self.world.lock().unwrap().start.elapsed().as_millis() as u64;
        1_700_000_000_000 + passed + off
    }

    fn call(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        body: Vec<u8>,
        deadline: Duration,
    ) -> Exchange<'_> {
        let path = path.to_string();
        Box::pin(async move {
            if !self.alive.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
            let target = place(to);
            // Decided, but not sent: here control is lost between the two.
            thaw(&self.world, &self.me).await;
            let trips = target == "state" && !path.starts_with("/watch") && {
                let mut w = self.world.lock().unwrap();
                w.trip = w.trip.map(|(left, late)| (left.wrapping_sub(1), late));
                w.trip.is_some_and(|(left, _)| left == u32::MAX)
            };
            let sent = deliver(
                self.world.clone(),
                self.me.clone(),
                target.clone(),
                to.port(),
                method,
                path,
                body,
            );
            if trips {
                let (_, late) = self.world.lock().unwrap().trip.take().expect("looked at");
                if late {
                    let _ = sent.await;
                }
                restart(
                    &self.world,
                    self.me["host-".len()..].parse().unwrap(),
                    QUICKLY,
                );
                std::future::pending::<()>().await;
                unreachable!("the process has ended");
            }
            let dropped = to.port() == 8081 && {
                let mut w = self.world.lock().unwrap();
                w.drop = w.drop.map(|(left, answer)| (left.wrapping_sub(1), answer));
                w.drop.is_some_and(|(left, _)| left == u32::MAX)
            };
            if dropped {
                let (_, answer) = self.world.lock().unwrap().drop.take().expect("looked at");
                if answer {
                    tokio::spawn(sent);
                }
                sleep(deadline).await;
                return Err(CallError::Unknown("lost".into()));
            }
            let (cut, pooled) = {
                let mut w = self.world.lock().unwrap();
                (w.blocked(&self.me, &target), w.rng.random_bool(0.5))
            };
            if cut && !pooled {
                sleep(deadline.min(Duration::from_millis(800))).await;
                return Err(CallError::Unsent);
            }
            // Detached: what was sent arrives, be it minutes after the sender gave up.
            let relayed = tokio::spawn(sent);
            let result = within(deadline, async {
                let lost = |_| Err(CallError::Unknown("lost".into()));
                let result = relayed.await.unwrap_or_else(lost);
                thaw(&self.world, &self.me).await;
                result
            });
            let result = result.await;
            thaw(&self.world, &self.me).await;
            if !self.alive.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
            result
        })
    }
}

pub async fn thaw(world: &SharedCluster, node: &str) {
    while world.lock().unwrap().frozen.contains(node) {
        sleep(Duration::from_millis(20)).await;
    }
}

pub async fn pass(world: &SharedCluster, from: &str, to: &str) {
    let delay = world.lock().unwrap().delay();
    sleep(delay).await;
    while world.lock().unwrap().blocked(from, to) {
        sleep(Duration::from_millis(50)).await;
    }
}

/// How long a late direct message, or its answer, is held up.
const LATE_COMMAND_S: std::ops::Range<f64> = 2.0..16.0;

/// Where transactions are late: this one, if it is to be, waits here while its sender has given
/// up, and is carried out when the service serves again.
async fn hold_back(world: &SharedCluster, from: &str) {
    let wait_s = {
        let w = &mut *world.lock().unwrap();
        let late = w.late_writes > 0.0 && w.serves(from) && w.rng.random_bool(w.late_writes);
        late.then(|| w.rng.random_range(2.0..12.0))
    };
    if let Some(wait_s) = wait_s {
        sleep(Duration::from_secs_f64(wait_s)).await;
        while !world.lock().unwrap().serves(from) {
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Where direct messages are late: how long this one is held up before its worker carries it out,
/// and how long its answer is afterwards.
fn command_delays(world: &SharedCluster) -> (Duration, Duration) {
    let w = &mut *world.lock().unwrap();
    if w.late_commands == 0.0 || !w.rng.random_bool(w.late_commands) {
        return (Duration::ZERO, Duration::ZERO);
    }
    let wait = Duration::from_secs_f64(w.rng.random_range(LATE_COMMAND_S));
    if w.rng.random() {
        (wait, Duration::ZERO)
    } else {
        (Duration::ZERO, wait)
    }
}

/// A direct message reaches its worker, once that hears anything. Status and heartbeat of its answer.
async fn execute_at_worker(
    world: &SharedCluster,
    to: &str,
    path: &str,
    body: &[u8],
) -> (u16, Value) {
    loop {
        let ready = {
            let w = world.lock().unwrap();
            let m = w.site.workers.get(to);
            // What a deaf worker is told is lost, as what one that is gone is told.
            let m = m.filter(|_| !w.deaf.contains(to));
            m.map(|m| !m.hung && !m.dead && m.up_at <= w.now())
        };
        match ready {
            Some(true) => break,
            Some(false) => sleep(Duration::from_millis(50)).await,
            None => std::future::pending().await,
        }
    }
    let mut w = world.lock().unwrap();
    let site = &mut w.site;
    let mut status = 200;
    if path == "/orders" {
        let orders: Value = serde_json::from_slice(body).unwrap();
        let same = site.workers[to].tenure == orders["tenure"].as_u64().unwrap();
        if same && site.accept_fencing_token(to, orders["fence"].as_u64()) {
            site.execute(to, &orders["orders"]);
        } else {
            status = 409;
        }
    }
    (status, site.workers.get_mut(to).unwrap().heartbeat())
}

/// A pause of no length is none: it would let other tasks go first.
async fn hold_up(pause: Duration) {
    if !pause.is_zero() {
        sleep(pause).await;
    }
}

pub async fn deliver(
    world: SharedCluster,
    from: String,
    to: String,
    port: u16,
    method: Method,
    path: String,
    body: Vec<u8>,
) -> Result<Answer, CallError> {
    let number = world
        .lock()
        .unwrap()
        .record_message(format_args!("{from} -> {to}:{port} {method} {path}"), &body);
    pass(&world, &from, &to).await;
    let multi = path == "/multi";
    let answer = |(status, value): (u16, Value)| Answer {
        status,
        body: value.to_string().into(),
    };
    let reply = if to == "state" {
        if path.starts_with("/watch") {
            let block: f64 = path
                .split_once("block_ms=")
                .and_then(|(_, b)| b.parse().ok())
                .unwrap_or(0.0);
            let until = Instant::now() + Duration::from_millis(block as u64);
            loop {
                {
                    let w = world.lock().unwrap();
                    let serves = w.serves(&from);
                    if let Some(changes) = w.state.changes(&path).filter(|_| serves) {
                        break answer(changes);
                    }
                    if Instant::now() >= until && serves {
                        break answer(w.state.watch_timeout());
                    }
                }
                sleep(Duration::from_millis(10)).await;
            }
        } else {
            if multi {
                hold_back(&world, &from).await;
            }
            let mut w = world.lock().unwrap();
            let now = w.now();
            if w.serves(&from) {
                answer(w.state.handle(now, method.as_str(), &path, &body))
            } else {
                answer((503, json!({"error": "trouble"})))
            }
        }
    } else if to == "cloud" {
        answer(
            world
                .lock()
                .unwrap()
                .site
                .handle_cloud_request(method.as_str(), &path, &body),
        )
    } else if to.starts_with("vm-") {
        let (before, after) = command_delays(&world);
        hold_up(before).await;
        let (status, heartbeat) = execute_at_worker(&world, &to, &path, &body).await;
        hold_up(after).await;
        answer((status, heartbeat))
    } else {
        let number: usize = to["host-".len()..].parse().unwrap();
        let service = world.lock().unwrap().services[number].clone();
        let Some(service) = service else {
            return Err(CallError::Unsent);
        };
        let alive = world.lock().unwrap().alive[number].clone();
        thaw(&world, &to).await;
        let authorized = path.starts_with("/operator/");
        let authorization = authorized.then(|| format!("Bearer {OPERATOR_KEY}"));
        let request = Incoming {
            method,
            path,
            query: None,
            authorization,
            body: body.into(),
        };
        let out = if port == 8081 {
            service.peer(request).await
        } else {
            service.public(request).await
        };
        thaw(&world, &to).await;
        if !alive.load(Ordering::Relaxed) {
            return Err(CallError::Unknown("reset".into()));
        }
        Answer {
            status: out.status,
            body: out.body.into(),
        }
    };
    world
        .lock()
        .unwrap()
        .record(format_args!("#{number} = {}", reply.status), &reply.body);
    pass(&world, &to, &from).await;
    let lost = {
        let mut w = world.lock().unwrap();
        let (loss, answers_lost) = (w.loss, w.answers_lost);
        (multi && answers_lost > 0.0 && w.rng.random_bool(answers_lost)) || w.rng.random_bool(loss)
    };
    if lost {
        std::future::pending::<()>().await;
    }
    Ok(reply)
}

pub fn settings(me: usize, site: &Site) -> Settings {
    let (lease_s, cancel_s) = (site.lease_s, site.cancel_s);
    let others: Vec<Value> = (0..NODES)
        .filter(|&i| i != me)
        .map(|i| json!({"member": node_name(i), "site": "a", "peer_addr": format!("10.0.0.{}:8081", i + 1)}))
        .collect();
    let value = json!({"member": node_name(me), "site": "a", "public_addr": format!("10.0.0.{}:8080", me + 1),
        "peer_bind": format!("10.0.0.{}:8081", me + 1), "others": others,
        "external": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
        "cluster": {"count": NODES, "zones": ["a", "b"], "teams": [{"name": "team"}], "objectives": [],
            "workers": {"report_s": REPORT_S, "lease_s": lease_s, "gang_wait_s": GANG_WAIT_S, "gang_peer_s": 2.0, "cancel_s": cancel_s},
            "state": {"rps": 400, "write_rps": 100, "value_kb": 8, "txn_ops": 12}, "cloud": {"rps": 10, "list_lag_s": 1},
            "limits": {"max_sockets": 1000}, "clock_error_ms": 25}});
    serde_json::from_value(value).expect("valid settings")
}

pub fn boot(world: &SharedCluster, i: usize, seed: u64) {
    // Two processes of one node are never there at once, however often it is ended.
    if world.lock().unwrap().services[i].is_some() {
        return;
    }
    let alive = Arc::new(AtomicBool::new(true));
    let net = Net {
        world: world.clone(),
        me: node_name(i),
        alive: alive.clone(),
    };
    let mut tuning = Tuning {
        leader_ttl_ms: 1500,
        sharding: world.lock().unwrap().shares[i],
        ..Tuning::default()
    };
    let tune = world.lock().unwrap().tune;
    tune(&mut tuning);
    let mut settings = settings(i, &world.lock().unwrap().site);
    let team = &mut settings.cluster.teams[0];
    let limit = world.lock().unwrap().site.limits.get(&team.name).copied();
    team.cpus_max = limit.unwrap_or(0.0);
    let (service, _) = Api::start(settings, tuning, Arc::new(net), seed + i as u64);
    let mut w = world.lock().unwrap();
    w.services[i] = Some(service);
    w.alive[i] = alive;
}

/// How soon a process may be started again.
pub const QUICKLY: f64 = 0.1;

/// Ends a process and starts the next one, which is another.
pub fn restart(world: &SharedCluster, i: usize, after_s: f64) {
    kill(world, i);
    let world = world.clone();
    tokio::spawn(async move {
        sleep(Duration::from_secs_f64(after_s)).await;
        let seed = world.lock().unwrap().rng.random_range(0..1 << 40);
        boot(&world, i, seed);
    });
}

pub fn kill(world: &SharedCluster, i: usize) {
    let mut w = world.lock().unwrap();
    w.alive[i].store(false, Ordering::Relaxed);
    w.services[i] = None;
}

/// Workers live and report.
pub async fn workers(world: SharedCluster) {
    let step = 0.05;
    let mut next: BTreeMap<String, f64> = BTreeMap::new();
    let busy: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    loop {
        sleep(Duration::from_secs_f64(step)).await;
        let mut w = world.lock().unwrap();
        let now = w.now();
        w.site.now = now;
        w.state.tick(now, step);
        let names: Vec<String> = w.site.workers.keys().cloned().collect();
        for name in &names {
            let m = &w.site.workers[name];
            if m.up_at > now || m.dead {
                continue;
            }
            if m.hung {
                w.site.end_lease(name);
                continue;
            }
            w.site.advance_worker(name, step);
            let m = &w.site.workers[name];
            let due = next.entry(name.clone()).or_insert(now);
            let early = m.changed && now > *due - REPORT_S + 0.3;
            if (now >= *due || early) && !busy.lock().unwrap().contains(name) {
                *due = now + REPORT_S;
                busy.lock().unwrap().insert(name.clone());
                let name = name.clone();
                let (world, busy) = (world.clone(), busy.clone());
                tokio::spawn(async move {
                    heartbeat(&world, &name).await;
                    busy.lock().unwrap().remove(&name);
                });
            }
        }
        w.site.advance_gangs();
        w.site.check_cancelled();
        let share = w.cancel_at_end;
        for id in std::mem::take(&mut w.site.completed) {
            if share > 0.0 && w.rng.random_bool(share) {
                tokio::spawn(call_off(world.clone(), id));
            }
        }
    }
}

/// Workers wait so long for the answer to a report.
const ANSWER_S: f64 = 2.0;

pub async fn heartbeat(world: &SharedCluster, name: &str) {
    let (node, body, sent, tenure) = {
        let mut w = world.lock().unwrap();
        let now = w.now();
        let number: usize = name[3..].parse().expect("our own names");
        let first = number % NODES;
        let node = *w.targets.entry(name.to_string()).or_insert(first);
        let Some(m) = w.site.workers.get_mut(name) else {
            return;
        };
        (node, m.heartbeat().to_string().into_bytes(), now, m.tenure)
    };
    let heartbeat_at = |node, body| {
        let (world, name) = (world.clone(), name.to_string());
        let path = "/hello".to_string();
        deliver(world, name, node_name(node), 8080, Method::POST, path, body)
    };
    let heartbeat = |body| heartbeat_at(node, body);
    if world.lock().unwrap().mute.contains(name) {
        sleep(Duration::from_secs(1)).await;
        let mut w = world.lock().unwrap();
        w.targets.insert(name.into(), (node + 1) % NODES);
        return;
    }
    let kept = {
        let w = &mut *world.lock().unwrap();
        w.for_next > 0.0 && w.rng.random_bool(w.for_next)
    };
    if kept {
        let instances: Vec<_> = (0..NODES).map(|n| heartbeat_at(n, body.clone())).collect();
        let world = world.clone();
        tokio::spawn(async move {
            await_the_next_leader(&world).await;
            for copy in instances {
                tokio::spawn(copy);
            }
        });
    }
    let again_s = {
        let w = &mut *world.lock().unwrap();
        let again = w.late_reports > 0.0 && w.rng.random_bool(w.late_reports);
        again.then(|| w.rng.random_range(2.0..LEASE_S * 1.6))
    };
    if let Some(again_s) = again_s {
        let copy = heartbeat(body.clone());
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(again_s)).await;
            copy.await
        });
    }
    let relayed = tokio::spawn(heartbeat(body));
    let answer = timeout(Duration::from_secs_f64(ANSWER_S), relayed).await;
    let mut next = Some((node + 1) % NODES);
    let deaf = world.lock().unwrap().deaf.contains(name);
    if let Ok(Ok(Ok(answer))) = answer
        && !deaf
    {
        let value: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        if answer.status == 200 {
            next = None;
            let mut w = world.lock().unwrap();
            let fits = w
                .site
                .workers
                .get(name)
                .is_some_and(|m| m.tenure == tenure && !m.hung && !m.dead);
            if fits && w.site.accept_fencing_token(name, value["fence"].as_u64()) {
                w.site.answered(name, sent);
                let by = w.answered_by.entry(name.to_string()).or_default();
                if by.last() != Some(&node) {
                    by.push(node);
                }
                w.site.check_orders(&value["orders"], ANSWER_S);
                w.site.execute(name, &value["orders"]);
                w.site.check_renewed(name);
            }
        } else if let Some(leader) = value["controller"].as_str() {
            next = Some(leader["host-".len()..].parse().unwrap());
            if next == Some(node) {
                next = Some((node + 1) % NODES);
            }
        }
    }
    if let Some(next) = next {
        world.lock().unwrap().targets.insert(name.into(), next);
        sleep(Duration::from_millis(300)).await;
        if let Some(m) = world.lock().unwrap().site.workers.get_mut(name) {
            m.changed = true;
        }
    }
}

/// One request of a user, through a load balancer that avoids dead nodes.
pub async fn ask(
    world: &SharedCluster,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Option<(u16, Value)> {
    let node = {
        let mut w = world.lock().unwrap();
        let up: Vec<usize> = (0..NODES).filter(|&i| w.services[i].is_some()).collect();
        if up.is_empty() {
            return None;
        }
        let pick = w.rng.random_range(0..up.len());
        up[pick]
    };
    ask_at(world, node, method, path, body).await
}

/// One request of a user to this node.
pub async fn ask_at(
    world: &SharedCluster,
    node: usize,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Option<(u16, Value)> {
    let sent = deliver(
        world.clone(),
        "user".into(),
        node_name(node),
        8080,
        method,
        path.into(),
        body,
    );
    match timeout(Duration::from_secs(5), tokio::spawn(sent)).await {
        Ok(Ok(Ok(answer))) => Some((
            answer.status,
            serde_json::from_slice(&answer.body).unwrap_or(Value::Null),
        )),
        _ => None,
    }
}

/// Rounds of questions that follow an answer, and the time between two, in ms.
const LOOKS: u64 = 4;
const LOOK_MS: std::ops::Range<u64> = 0..8;

/// A user has just been told something: asks every node at once how the job stands, submits it
/// again and, where it was called off, calls it off again, a few times within milliseconds.
pub fn look_closely(world: &SharedCluster, id: &str) {
    if !world.lock().unwrap().close_looks {
        return;
    }
    let (world, id) = (world.clone(), id.to_string());
    tokio::spawn(async move {
        for _ in 0..LOOKS {
            let pause = world.lock().unwrap().rng.random_range(LOOK_MS);
            sleep(Duration::from_millis(pause)).await;
            let job = world.lock().unwrap().site.jobs[&id].body.clone();
            for node in 0..NODES {
                let path = format!("/work/{id}");
                let mut all = vec![
                    (Method::GET, path.clone(), Vec::new()),
                    (Method::POST, "/work".into(), job.to_string().into_bytes()),
                ];
                if job["asked"] == true {
                    all.push((Method::POST, format!("{path}/withdraw"), b"{}".to_vec()));
                }
                for (method, path, body) in all {
                    let (world, id) = (world.clone(), id.clone());
                    tokio::spawn(async move {
                        let asked_at = world.lock().unwrap().now();
                        if let Some(answer) = ask_at(&world, node, method, &path, body).await {
                            user_told(&world, &id, asked_at, answer);
                        }
                    });
                }
            }
        }
    });
}

/// A user calls a job off, and asks until it has an answer.
pub async fn call_off(world: SharedCluster, id: String) {
    world.lock().unwrap().site.jobs.get_mut(&id).unwrap().body["asked"] = json!(true);
    let path = format!("/work/{id}/withdraw");
    loop {
        let asked_at = world.lock().unwrap().now();
        if let Some((status, value)) = ask(&world, Method::POST, &path, b"{}".to_vec()).await {
            let over = status == 200;
            user_told(&world, &id, asked_at, (status, value));
            if over {
                return;
            }
        }
        sleep(Duration::from_millis(500)).await;
    }
}

/// Repeated submissions of jobs that go on, cancellations of jobs that are done, and jobs that fit
/// no worker or lack a field, which nobody may accept.
async fn odd_request(world: &SharedCluster, number: u32) {
    let draw = world.lock().unwrap().rng.random_range(0..4);
    if draw < 2 {
        let mut wrong = job(900_000 + number as usize, "sweep", 2, json!({}));
        if draw == 0 {
            wrong["memory_gb"] = json!(1000.0);
        } else {
            let w = &mut *world.lock().unwrap();
            let fields = ["rank", "cpus", "spread", "gpus", "snapshot_s", "bundle"];
            let field = fields[w.rng.random_range(0..fields.len())];
            wrong.as_object_mut().unwrap().remove(field);
        }
        let body = wrong.to_string().into_bytes();
        let answer = ask(world, Method::POST, "/work", body).await;
        if let Some((200 | 201, _)) = answer {
            let mut w = world.lock().unwrap();
            w.site
                .record_violation("accepted_wrong", &wrong.to_string());
        }
        return;
    }
    let picked = {
        let w = &mut *world.lock().unwrap();
        let fits = |j: &&Job| j.accepted.is_some() && (j.told == Some("done")) == (draw == 2);
        let all: Vec<String> = w
            .site
            .jobs
            .iter()
            .filter(|(_, j)| fits(j))
            .map(|(id, _)| id.clone())
            .collect();
        (!all.is_empty()).then(|| all[w.rng.random_range(0..all.len())].clone())
    };
    let Some(id) = picked else { return };
    let (asked_at, body) = {
        let w = world.lock().unwrap();
        (w.now(), w.site.jobs[&id].body.to_string().into_bytes())
    };
    let path = if draw == 2 {
        format!("/work/{id}/withdraw")
    } else {
        "/work".into()
    };
    if let Some(answer) = ask(world, Method::POST, &path, body).await {
        user_told(world, &id, asked_at, answer);
    }
}

/// Submits a job, polls it, and perhaps cancels it.
pub async fn user(
    world: SharedCluster,
    id: String,
    body: Value,
    runtime_s: f64,
    submit_at: f64,
    cancel_after: Option<f64>,
) {
    sleep(Duration::from_secs_f64(submit_at)).await;
    let job = Job::uploaded(&body, runtime_s);
    world.lock().unwrap().site.jobs.insert(id.clone(), job);
    loop {
        if let Some((status, _)) =
            ask(&world, Method::POST, "/work", body.to_string().into_bytes()).await
        {
            assert!(
                status != 400 && status != 422,
                "a good job is refused with {status}"
            );
            if status == 200 || status == 201 {
                break;
            }
        }
        sleep(Duration::from_secs(1)).await;
    }
    let accepted_at = {
        let mut w = world.lock().unwrap();
        let now = w.now();
        w.site.jobs.get_mut(&id).unwrap().accepted = Some(now);
        now
    };
    look_closely(&world, &id);
    let path = format!("/work/{id}");
    loop {
        sleep(Duration::from_millis(1500)).await;
        let asked_at = world.lock().unwrap().now();
        let told_before = world.lock().unwrap().site.jobs[&id].told;
        let cancel = cancel_after.is_some_and(|after| asked_at > accepted_at + after)
            && told_before.is_none();
        let answer = if cancel {
            world.lock().unwrap().site.jobs.get_mut(&id).unwrap().body["asked"] = json!(true);
            ask(
                &world,
                Method::POST,
                &format!("{path}/withdraw"),
                b"{}".to_vec(),
            )
            .await
        } else {
            ask(&world, Method::GET, &path, Vec::new()).await
        };
        if let Some(answer) = answer {
            user_told(&world, &id, asked_at, answer);
        }
    }
}

/// What a user hears now. The site's own clock is up to a step behind: a question that was asked
/// just before its user was told more was once taken for one asked after it.
pub fn user_told(world: &SharedCluster, id: &str, asked_at: f64, (status, value): (u16, Value)) {
    let mut w = world.lock().unwrap();
    w.site.now = w.now();
    let phase = value["phase"].as_str();
    let before = w.site.jobs.get(id).and_then(|j| j.told);
    w.site.check_user_answer(id, asked_at, status, phase);
    let after = w.site.jobs.get(id).and_then(|j| j.told);
    drop(w);
    if before != after {
        look_closely(world, id);
    }
}

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Kill(usize),
    KillAll,
    /// All end together and are there again after so many seconds.
    RestartAll(f64),
    /// Whoever leads then, again as soon as there is a leader, so many times.
    RestartLeaders(u32, f64),
    /// The sender of this message to the state service from then on, counted from 0, ends: if
    /// `true`, after it was carried out.
    Trip(u32, bool),
    Freeze(usize, f64),
    /// Users ask a hundred times a second, also about jobs that nobody submitted.
    Storm(f64),
    Outage(f64),
    Hang(usize, f64),
    /// One of those who do not lead then; it is there again after 3 s.
    KillFollower(usize),
    /// Whoever leads, from all workers.
    PartLeader(f64),
    /// Whoever leads, from the state service.
    CutLeader(f64),
    /// Whoever leads, from the state service and from the other controllers.
    CutLeaderOff(f64),
    /// Whoever leads is refused by the state service alone.
    RefuseLeader(f64),
    /// That share of transactions gets no answer and is carried out later.
    LateWrites(f64, f64),
    /// That share of reports arrives once more, later.
    LateReports(f64, f64),
    /// That share of direct messages to workers, or of their answers, is held up for seconds.
    LateCommands(f64, f64),
    /// A worker hears nothing.
    Deafen(usize, f64),
    /// From a node to a place, or "*" for everything.
    Cut(usize, &'static str, f64),
    /// So many times, so long apart, each worker reports to some other node.
    Scatter(u32, f64),
    /// One message between controllers is lost, counted from 0; if `true`, its answer.
    Drop(u32, bool),
    /// A worker and all nodes.
    CutWorker(usize, f64),
    Die(usize),
    /// A worker reaches no controller, while direct orders reach it.
    Mute(usize, f64),
    /// That share of transactions is carried out at once, and no answer comes.
    LoseAnswers(f64, f64),
    /// Of that share of reports a copy comes to every node as the next leader begins.
    ReportsForNext(f64, f64),
    /// One zone, with a controller in it, from everything else.
    CutZone(f64),
    /// Users ask at all nodes within milliseconds of what they are told.
    CloseLooks(f64),
    /// Repeated submissions, cancellations of what is done, mistaken jobs.
    OddRequests(f64),
    /// That share of jobs is called off as it ends.
    CancelAtEnd(f64, f64),
    /// So many jobs that run are called off at once, and a worker of each hangs that long.
    CancelNow(usize, f64),
    /// New workers are up within half a second of their rental.
    QuickWorkers(f64),
}

pub fn job(id: usize, shape: &str, tasks: u32, extra: Value) -> Value {
    let mut body = json!({"uid": format!("wk-{id:06}"), "jobclass": shape, "owner": "team", "shape": shape,
        "rank": if shape == "service" { "production" } else { "normal" }, "shards": tasks, "cpus": 2.0, "gpus": 0.0,
        "memory_gb": 4.0, "bundle": format!("img-{}", id % 3), "pull_gb": 0.5, "flavors": null, "region": null,
        "one_zone": false, "spread": false, "preemptibles": false, "runtime_s": 4.0, "snapshot_every_s": 0.0,
        "snapshot_s": 0.0, "due_s": null});
    for (k, v) in extra.as_object().unwrap() {
        body[k] = v.clone();
    }
    body
}

/// Six workers in two zones, and three controllers that have just started.
pub fn site(seed: u64, loss: f64) -> SharedCluster {
    limited_site(seed, loss, 0.0)
}

/// The same, and the team may use so many CPUs at once; 0 for no limit.
pub fn limited_site(seed: u64, loss: f64, limit: f64) -> SharedCluster {
    tuned_site(seed, loss, limit, |_| ())
}

/// The same under controllers whose tuning is changed.
pub fn tuned_site(seed: u64, loss: f64, limit: f64, tune: fn(&mut Tuning)) -> SharedCluster {
    built_site(seed, loss, limit, tune, Site::default())
}

/// Workers keep their leases for longer than cancellations leave time for a renewal, as on the
/// operators' large sites: one that is out of reach may come back within its lease and too late to
/// be answered without its stops.
pub fn long_lease_site(seed: u64) -> SharedCluster {
    let mut site = Site::default();
    site.lease_s = LONG_LEASE_S;
    site.cancel_s = LONG_LEASE_S + LONG_LEASE_SLACK_S;
    built_site(seed, 0.0, 0.0, |_| (), site)
}

/// Of [`long_lease_site`].
pub const LONG_LEASE_S: f64 = 14.0;
/// How long after a cancellation a lease may be renewed without the stops that it orders.
pub const LONG_LEASE_SLACK_S: f64 = 10.0;

fn built_site(
    seed: u64,
    loss: f64,
    limit: f64,
    tune: fn(&mut Tuning),
    site: Site,
) -> SharedCluster {
    let world: SharedCluster = Arc::new(Mutex::new(SimulatedCluster {
        site,
        state: StateService::default(),
        services: vec![None; NODES],
        alive: vec![Arc::default(); NODES],
        frozen: BTreeSet::new(),
        cuts: BTreeSet::new(),
        refused: BTreeSet::new(),
        deaf: BTreeSet::new(),
        late_writes: 0.0,
        late_reports: 0.0,
        late_commands: 0.0,
        answers_lost: 0.0,
        mute: BTreeSet::new(),
        for_next: 0.0,
        zone_cut: false,
        close_looks: false,
        cancel_at_end: 0.0,
        loss,
        trip: None,
        drop: None,
        shares: [Switch::On; NODES],
        targets: BTreeMap::new(),
        answered_by: BTreeMap::new(),
        rng: StdRng::seed_from_u64(seed),
        start: Instant::now(),
        tune,
        recorder: None,
        messages: 0,
    }));
    if limit > 0.0 {
        let team = ("team".to_string(), limit);
        world.lock().unwrap().site.limits.extend([team]);
    }
    for i in 0..6 {
        let zone = if i % 2 == 0 { "a" } else { "b" };
        world.lock().unwrap().site.add_worker(
            if i < 4 { "small" } else { "big" },
            zone,
            false,
            0.0,
        );
    }
    for i in 0..NODES {
        boot(&world, i, seed * 1000);
    }
    world
}

/// In simulated time.
pub fn simulate<T>(day: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime.unwrap().block_on(day)
}

/// Plays a day and returns the rules broken, the starts, and which jobs were told done.
pub fn play(
    seed: u64,
    faults: &[(f64, Fault)],
    loss: f64,
    until: f64,
    rounds: u32,
) -> (Vec<String>, usize, BTreeMap<String, Option<&'static str>>) {
    simulate(async move {
        let world = site(seed, loss);
        play_in(world, seed, faults, until, rounds).await
    })
}

/// The same in a world that was made for it.
pub async fn play_in(
    world: SharedCluster,
    seed: u64,
    faults: &[(f64, Fault)],
    until: f64,
    rounds: u32,
) -> (Vec<String>, usize, BTreeMap<String, Option<&'static str>>) {
    tokio::spawn(workers(world.clone()));
    let mut id = 0;
    for round in 0..rounds {
        let at = 1.0 + f64::from(round) * 9.0;
        let kinds = [
            ("sweep", 6, json!({}), None),
            (
                "service",
                2,
                json!({"spread": true}),
                (round % 3 == 1).then_some(12.0),
            ),
            ("group", 3, json!({"one_zone": true, "cpus": 1.0}), None),
            (
                "sweep",
                9,
                json!({"rank": "urgent", "cpus": 1.0}),
                (round % 2 == 1).then_some(3.0),
            ),
        ];
        for (shape, tasks, extra, cancel) in kinds {
            id += 1;
            let body = job(id, shape, tasks, extra);
            tokio::spawn(user(
                world.clone(),
                format!("wk-{id:06}"),
                body,
                4.0,
                at,
                cancel,
            ));
        }
    }
    for (at, fault) in faults.iter().copied() {
        tokio::spawn(inflict(world.clone(), at, fault, seed));
    }
    sleep(Duration::from_secs_f64(until)).await;
    let mut w = world.lock().unwrap();
    w.site.now = w.now();
    w.site.check_answered(FORGOTTEN_S);
    w.site.check_waiting(WAITS_S);
    assert!(w.trip.is_none(), "no such message: {:?}", w.trip);
    assert!(w.drop.is_none(), "no such message: {:?}", w.drop);
    let told = w
        .site
        .jobs
        .iter()
        .map(|(k, j)| (k.clone(), j.told))
        .collect();
    (w.site.violations.clone(), w.site.starts, told)
}

pub async fn inflict(world: SharedCluster, at: f64, fault: Fault, seed: u64) {
    sleep(Duration::from_secs_f64(at)).await;
    let again = |s: f64| sleep(Duration::from_secs_f64(s));
    match fault {
        Fault::Kill(i) => {
            kill(&world, i);
            again(3.0).await;
            boot(&world, i, seed + at as u64);
        }
        Fault::KillAll => {
            (0..NODES).for_each(|i| kill(&world, i));
            again(3.0).await;
            (0..NODES).for_each(|i| boot(&world, i, seed + at as u64));
        }
        Fault::RestartAll(s) => (0..NODES).for_each(|i| restart(&world, i, s)),
        Fault::RestartLeaders(times, s) => {
            for _ in 0..times {
                let leads = loop {
                    let alive = |i: &usize| world.lock().unwrap().services[*i].is_some();
                    if let Some(leads) = leader(&world).filter(alive) {
                        break leads;
                    }
                    again(0.05).await;
                };
                restart(&world, leads, s);
                // The key of its last process stands until it is removed or runs out.
                again(s + 0.4).await;
            }
        }
        Fault::Scatter(times, every_s) => {
            for _ in 0..times {
                {
                    let w = &mut *world.lock().unwrap();
                    for node in w.targets.values_mut() {
                        *node = (*node + w.rng.random_range(1..NODES)) % NODES;
                    }
                }
                again(every_s).await;
            }
        }
        Fault::Drop(left, answer) => world.lock().unwrap().drop = Some((left, answer)),
        Fault::Trip(left, late) => world.lock().unwrap().trip = Some((left, late)),
        Fault::Freeze(i, s) => {
            world.lock().unwrap().frozen.insert(node_name(i));
            again(s).await;
            world.lock().unwrap().frozen.remove(&node_name(i));
        }
        Fault::Storm(s) => {
            for _ in 0..(s * 100.0) as usize {
                again(0.01).await;
                tokio::spawn(ask_at_random(world.clone()));
            }
        }
        Fault::Outage(s) => {
            world.lock().unwrap().state.outage = true;
            again(s).await;
            let mut w = world.lock().unwrap();
            let now = w.now();
            w.state.recover(now);
        }
        Fault::Hang(i, s) => {
            let name = format!("vm-{i:06}");
            let hang = |hung: bool| {
                if let Some(m) = world.lock().unwrap().site.workers.get_mut(&name) {
                    m.hung = hung;
                }
            };
            hang(true);
            again(s).await;
            hang(false);
        }
        Fault::Cut(i, to, s) => {
            let pair = (node_name(i), to.to_string());
            world.lock().unwrap().cuts.insert(pair.clone());
            again(s).await;
            world.lock().unwrap().cuts.remove(&pair);
        }
        Fault::KillFollower(which) => {
            let leads = whoever_leads(&world).await;
            restart(&world, (leads + 1 + which) % NODES, 3.0);
        }
        Fault::PartLeader(s) => {
            let Some(leads) = leader(&world).map(node_name) else {
                return;
            };
            let all: Vec<String> = world.lock().unwrap().site.workers.keys().cloned().collect();
            let pairs: Vec<_> = all.into_iter().map(|m| (leads.clone(), m)).collect();
            world.lock().unwrap().cuts.extend(pairs.clone());
            again(s).await;
            world.lock().unwrap().cuts.retain(|c| !pairs.contains(c));
        }
        Fault::CutLeader(s) => {
            let leads = whoever_leads(&world).await;
            let pair = (node_name(leads), "state".to_string());
            world.lock().unwrap().cuts.insert(pair.clone());
            again(s).await;
            world.lock().unwrap().cuts.remove(&pair);
        }
        Fault::CutLeaderOff(s) => {
            let leads = whoever_leads(&world).await;
            let to = |other: usize| (node_name(leads), node_name(other));
            let mut pairs: Vec<_> = (0..NODES).filter(|&o| o != leads).map(to).collect();
            pairs.push((node_name(leads), "state".to_string()));
            world.lock().unwrap().cuts.extend(pairs.clone());
            again(s).await;
            world.lock().unwrap().cuts.retain(|c| !pairs.contains(c));
        }
        Fault::RefuseLeader(s) => {
            let leads = whoever_leads(&world).await;
            world.lock().unwrap().refused.insert(node_name(leads));
            again(s).await;
            world.lock().unwrap().refused.remove(&node_name(leads));
        }
        Fault::LateWrites(share, s) => {
            world.lock().unwrap().late_writes = share;
            again(s).await;
            world.lock().unwrap().late_writes = 0.0;
        }
        Fault::LateReports(share, s) => {
            world.lock().unwrap().late_reports = share;
            again(s).await;
            world.lock().unwrap().late_reports = 0.0;
        }
        Fault::LateCommands(share, s) => {
            world.lock().unwrap().late_commands = share;
            again(s).await;
            world.lock().unwrap().late_commands = 0.0;
        }
        Fault::Deafen(i, s) => {
            let name = format!("vm-{i:06}");
            world.lock().unwrap().deaf.insert(name.clone());
            again(s).await;
            world.lock().unwrap().deaf.remove(&name);
        }
        Fault::CutWorker(i, s) => {
            let pair = (format!("vm-{i:06}"), "*".to_string());
            world.lock().unwrap().cuts.insert(pair.clone());
            again(s).await;
            world.lock().unwrap().cuts.remove(&pair);
        }
        Fault::Mute(i, s) => {
            let name = format!("vm-{i:06}");
            world.lock().unwrap().mute.insert(name.clone());
            again(s).await;
            world.lock().unwrap().mute.remove(&name);
        }
        Fault::LoseAnswers(share, s) => {
            world.lock().unwrap().answers_lost = share;
            again(s).await;
            world.lock().unwrap().answers_lost = 0.0;
        }
        Fault::ReportsForNext(share, s) => {
            world.lock().unwrap().for_next = share;
            again(s).await;
            world.lock().unwrap().for_next = 0.0;
        }
        Fault::CutZone(s) => {
            world.lock().unwrap().zone_cut = true;
            again(s).await;
            world.lock().unwrap().zone_cut = false;
        }
        Fault::CloseLooks(s) => {
            world.lock().unwrap().close_looks = true;
            again(s).await;
            world.lock().unwrap().close_looks = false;
        }
        Fault::OddRequests(s) => {
            for number in 0..(s * 4.0) as u32 {
                again(0.25).await;
                let world = world.clone();
                tokio::spawn(async move { odd_request(&world, number).await });
            }
        }
        Fault::CancelAtEnd(share, s) => {
            world.lock().unwrap().cancel_at_end = share;
            again(s).await;
            world.lock().unwrap().cancel_at_end = 0.0;
        }
        Fault::CancelNow(count, hang_s) => {
            let running = world.lock().unwrap().site.running_jobs();
            let mut hung = BTreeSet::new();
            for (id, worker) in running.into_iter().take(count) {
                tokio::spawn(call_off(world.clone(), id));
                if hang_s > 0.0 {
                    hung.insert(worker);
                }
            }
            let hang = |hangs: bool| {
                let mut w = world.lock().unwrap();
                for name in &hung {
                    if let Some(m) = w.site.workers.get_mut(name) {
                        m.hung = hangs;
                    }
                }
            };
            hang(true);
            again(hang_s).await;
            hang(false);
        }
        Fault::QuickWorkers(s) => {
            let before = std::mem::replace(&mut world.lock().unwrap().site.boot_s, 0.5);
            again(s).await;
            world.lock().unwrap().site.boot_s = before;
        }
        Fault::Die(i) => {
            if let Some(m) = world
                .lock()
                .unwrap()
                .site
                .workers
                .get_mut(&format!("vm-{i:06}"))
            {
                m.dead = true;
            }
        }
    }
}

pub async fn ask_at_random(world: SharedCluster) {
    let (id, asked_at) = {
        let mut w = world.lock().unwrap();
        let number = w.rng.random_range(1..30);
        (format!("wk-{number:06}"), w.now())
    };
    let path = format!("/work/{id}");
    if let Some(answer) = ask(&world, Method::GET, &path, Vec::new()).await {
        user_told(&world, &id, asked_at, answer);
    }
}

/// Every rule holds, and by the end every job that was not cancelled and can end has ended.
pub fn expect_clean(name: &str, seeds: std::ops::Range<u64>, faults: &[(f64, Fault)], loss: f64) {
    expect_clean_by(name, seeds, faults, loss, 150.0, ROUNDS);
}

pub fn expect_clean_by(
    name: &str,
    seeds: std::ops::Range<u64>,
    faults: &[(f64, Fault)],
    loss: f64,
    until: f64,
    rounds: u32,
) {
    for seed in seeds {
        let day = play(seed, faults, loss, until, rounds);
        expect_clean_day(name, seed, rounds, day);
    }
}

pub fn expect_clean_day(
    name: &str,
    seed: u64,
    rounds: u32,
    (broken, starts, told): (Vec<String>, usize, BTreeMap<String, Option<&'static str>>),
) {
    assert!(broken.is_empty(), "{name}, seed {seed}: {broken:#?}");
    let least = 9 * rounds as usize;
    assert!(starts > least, "{name}, seed {seed}: only {starts} starts");
    let open = never_ended(&told);
    assert!(
        open.is_empty(),
        "{name}, seed {seed}: never ended: {open:?}"
    );
}

/// Jobs of which no user was told an end, but for the services of a day.
pub fn never_ended<'a>(told: &'a BTreeMap<String, Option<&'static str>>) -> Vec<&'a String> {
    let endless = |id: &str| id[3..].parse::<u32>().expect("our own") % 4 == 2;
    let open = told.iter().filter(|(id, t)| t.is_none() && !endless(id));
    open.map(|(id, _)| id).collect()
}

/// Until another leads than now; also the same node, under another token.
async fn await_the_next_leader(world: &SharedCluster) {
    let token = || leader_key(world).map(|key| key["stamp"].as_u64().expect("a token"));
    let first = token();
    while token().is_none_or(|t| Some(t) == first) {
        sleep(Duration::from_millis(20)).await;
    }
}

/// As soon as there is a leader.
async fn whoever_leads(world: &SharedCluster) -> usize {
    loop {
        if let Some(leads) = leader(world) {
            return leads;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

pub fn leader(world: &SharedCluster) -> Option<usize> {
    let key = leader_key(world)?;
    let name = key["data"]["member"].as_str().expect("a name");
    Some(name["host-".len()..].parse().expect("a number"))
}

/// As the state service has it, also in an outage.
fn leader_key(world: &SharedCluster) -> Option<Value> {
    let mut w = world.lock().unwrap();
    let now = w.now();
    let outage = std::mem::take(&mut w.state.outage);
    let (status, found) = w.state.handle(now, "GET", "/kv/cf/leader", b"");
    w.state.outage = outage;
    (status == 200).then_some(found)
}
