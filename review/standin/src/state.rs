//! The state service, written from the published protocol.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Answer};
use crate::record::Record;

/// The limits of the state service, as in the settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

struct Bucket {
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn take(&mut self, cost: f64, rate: f64) -> bool {
        let now = Instant::now();
        self.tokens = (self.tokens + now.duration_since(self.at).as_secs_f64() * rate).min(rate);
        self.at = now;
        let ok = self.tokens >= cost;
        if ok {
            self.tokens -= cost;
        }
        ok
    }
}

struct Entry {
    data: Value,
    stamp: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

struct Inner {
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    epoch: u64,
    next_lease: u64,
    /// The last 10,000 changes: epoch, key, and the new value unless it was dropped.
    changes: VecDeque<(u64, String, Option<Value>)>,
    forgotten_epoch: u64,
    limits: Limits,
    requests: Bucket,
    writes: Bucket,
    outage: bool,
    refused: u64,
}

/// A running state service.
#[derive(Clone)]
pub struct StateService {
    inner: Arc<(Mutex<Inner>, Condvar)>,
    pub address: SocketAddr,
    record: Record,
}

type Reply = (u16, Value);

impl StateService {
    pub fn start(limits: Limits, record: Record) -> Self {
        let (listener, address) = http::listen();
        let bucket = |rate| Bucket {
            tokens: rate,
            at: Instant::now(),
        };
        let inner = Inner {
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            epoch: 0,
            next_lease: 0,
            changes: VecDeque::new(),
            forgotten_epoch: 0,
            limits,
            requests: bucket(limits.rps),
            writes: bucket(limits.write_rps),
            outage: false,
            refused: 0,
        };
        let service = Self {
            inner: Arc::new((Mutex::new(inner), Condvar::new())),
            address,
            record,
        };
        let served = service.clone();
        http::serve(listener, move |method, path, body| {
            served.answer(method, path, body)
        });
        let ticked = service.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                ticked.expire_leases();
            }
        });
        service
    }

    /// Sets other limits. What is stored stays readable.
    pub fn set_limits(&self, limits: Limits) {
        self.inner.0.lock().unwrap().limits = limits;
    }

    /// Begins or ends an outage. At its end every lease has its full time again.
    pub fn set_outage(&self, outage: bool) {
        let mut inner = self.inner.0.lock().unwrap();
        inner.outage = outage;
        if !outage {
            for lease in inner.leases.values_mut() {
                lease.ends = Instant::now() + lease.ttl;
            }
        }
        self.inner.1.notify_all();
    }

    /// How many transactions were refused because of a limit on their size.
    pub fn refused(&self) -> u64 {
        self.inner.0.lock().unwrap().refused
    }

    /// The member that the leader key names.
    pub fn leader(&self) -> Option<String> {
        let inner = self.inner.0.lock().unwrap();
        Some(
            inner.keys.get("cf/leader")?.data["member"]
                .as_str()?
                .to_string(),
        )
    }

    fn expire_leases(&self) {
        let mut inner = self.inner.0.lock().unwrap();
        if inner.outage {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = inner
            .leases
            .iter()
            .filter(|(_, l)| l.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            inner.end_lease(id);
        }
        drop(inner);
        self.inner.1.notify_all();
    }

    fn answer(&self, method: &str, path: &str, body: &[u8]) -> Answer {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .collect();
        {
            let mut inner = self.inner.0.lock().unwrap();
            if inner.outage {
                return text((503, json!({"error": "trouble"})));
            }
            let rate = inner.limits.rps;
            if !inner.requests.take(1.0, rate) {
                return text((429, json!({"error": "too many requests"})));
            }
        }
        if path == "/watch" {
            return text(self.watch(&query));
        }
        let mut inner = self.inner.0.lock().unwrap();
        let reply = match (method, path) {
            ("GET", "/kv") => inner.list(&query),
            ("GET", path) if path.starts_with("/kv/") => inner.get(&path[4..]),
            ("POST", "/multi") => {
                let reply = inner.multi(body);
                if reply.0 == 400 {
                    self.record
                        .line(&format!("state service: POST /multi -> 400 {}", reply.1));
                }
                reply
            }
            ("POST", "/leases") => {
                let request: Value = serde_json::from_slice(body).unwrap_or_default();
                let ttl = Duration::from_millis(request["ttl_ms"].as_u64().unwrap_or(0));
                inner.next_lease += 1;
                let id = inner.next_lease;
                inner.leases.insert(
                    id,
                    Lease {
                        ttl,
                        ends: Instant::now() + ttl,
                    },
                );
                (200, json!({"grant": id}))
            }
            (_, path) if path.starts_with("/leases/") => {
                let id = path["/leases/".len()..]
                    .trim_end_matches("/extend")
                    .parse()
                    .unwrap_or(0);
                if !inner.leases.contains_key(&id) {
                    (404, json!({}))
                } else if method == "DELETE" {
                    inner.end_lease(id);
                    (200, json!({}))
                } else {
                    let lease = inner.leases.get_mut(&id).expect("checked");
                    lease.ends = Instant::now() + lease.ttl;
                    (200, json!({}))
                }
            }
            _ => (400, json!({"error": "malformed"})),
        };
        drop(inner);
        self.inner.1.notify_all();
        text(reply)
    }

    fn watch(&self, query: &BTreeMap<&str, &str>) -> Reply {
        let prefix = query.get("prefix").copied().unwrap_or("");
        let since: u64 = query.get("since").and_then(|s| s.parse().ok()).unwrap_or(0);
        let block: u64 = query
            .get("block_ms")
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(block.min(60_000));
        let mut inner = self.inner.0.lock().unwrap();
        loop {
            if !inner.outage {
                if since < inner.forgotten_epoch {
                    return (410, json!({}));
                }
                let events: Vec<Value> = inner
                    .changes
                    .iter()
                    .filter(|(epoch, key, _)| *epoch > since && key.starts_with(prefix))
                    .map(|(epoch, key, data)| match data {
                        Some(data) => json!({"set": key, "data": data, "stamp": epoch}),
                        None => json!({"drop": key, "stamp": epoch}),
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= end {
                    return (200, json!({"epoch": inner.epoch, "events": events}));
                }
            }
            let wait = end
                .saturating_duration_since(Instant::now())
                .max(Duration::from_millis(5));
            inner = self.inner.1.wait_timeout(inner, wait).unwrap().0;
        }
    }
}

impl Inner {
    fn changed(&mut self, key: &str, data: Option<Value>) {
        self.changes.push_back((self.epoch, key.to_string(), data));
        if self.changes.len() > 10_000 {
            self.forgotten_epoch = self.changes.pop_front().map_or(0, |c| c.0);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.epoch += 1;
        }
        for key in keys {
            self.keys.remove(&key);
            self.changed(&key, None);
        }
    }

    fn get(&self, key: &str) -> Reply {
        match self.keys.get(key) {
            Some(entry) => (
                200,
                json!({"path": key, "data": entry.data, "stamp": entry.stamp, "grant": entry.lease}),
            ),
            None => (404, json!({"epoch": self.epoch})),
        }
    }

    fn list(&self, query: &BTreeMap<&str, &str>) -> Reply {
        let prefix = query.get("prefix").copied().unwrap_or("");
        let since = query.get("since").copied().unwrap_or("");
        let page = query
            .get("page")
            .and_then(|p| p.parse().ok())
            .unwrap_or(1000)
            .min(1000);
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, entry) in self.keys.range(prefix.to_string()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if key.as_str() <= since {
                continue;
            }
            let item = json!({"path": key, "data": entry.data, "stamp": entry.stamp});
            bytes += item.to_string().len() + 1;
            if items.len() >= page || bytes > 500 * 1024 {
                more = true;
                break;
            }
            items.push(item);
        }
        (
            200,
            json!({"items": items, "more": more, "epoch": self.epoch}),
        )
    }

    fn multi(&mut self, body: &[u8]) -> Reply {
        let Ok(request) = serde_json::from_slice::<Value>(body) else {
            return (400, json!({"error": "not JSON"}));
        };
        let none = Vec::new();
        let guards = request["guards"].as_array().unwrap_or(&none);
        let apply = request["apply"].as_array().unwrap_or(&none);
        let limits = self.limits;
        let value_bytes = (limits.value_kb * 1024.0) as usize;
        let largest = apply
            .iter()
            .map(|op| op["data"].to_string().len())
            .max()
            .unwrap_or(0);
        let problem = if apply.len() > limits.txn_ops {
            Some(format!(
                "{} changes, allowed are {}",
                apply.len(),
                limits.txn_ops
            ))
        } else if guards.len() > 4 * limits.txn_ops {
            Some(format!("{} conditions", guards.len()))
        } else if body.len() > 64 * 1024 {
            Some(format!("{} bytes", body.len()))
        } else if largest > value_bytes {
            Some(format!(
                "a value of {largest} bytes, allowed are {value_bytes}"
            ))
        } else {
            None
        };
        if let Some(problem) = problem {
            self.refused += 1;
            return (400, json!({"error": problem}));
        }
        if !self.writes.take(apply.len() as f64, limits.write_rps) {
            return (429, json!({"error": "too many changes"}));
        }
        for op in apply {
            if op["grant"]
                .as_u64()
                .is_some_and(|lease| !self.leases.contains_key(&lease))
            {
                return (400, json!({"error": "no such lease"}));
            }
        }
        let stamp = |key: &str| self.keys.get(key).map_or(0, |entry| entry.stamp);
        let failed: Vec<&str> = guards
            .iter()
            .filter_map(|guard| {
                guard["path"]
                    .as_str()
                    .map(|key| (key, guard["stamp"].as_u64()))
            })
            .filter(|(key, expected)| Some(stamp(key)) != *expected)
            .map(|(key, _)| key)
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.epoch}));
        }
        if !apply.is_empty() {
            self.epoch += 1;
        }
        for op in apply {
            if let Some(key) = op["set"].as_str() {
                let data = op["data"].clone();
                let entry = Entry {
                    data: data.clone(),
                    stamp: self.epoch,
                    lease: op["grant"].as_u64(),
                };
                self.keys.insert(key.to_string(), entry);
                self.changed(key, Some(data));
            } else if let Some(key) = op["drop"].as_str()
                && self.keys.remove(key).is_some()
            {
                self.changed(key, None);
            }
        }
        (200, json!({"epoch": self.epoch}))
    }
}

fn text((status, value): Reply) -> Answer {
    Some((status, value.to_string()))
}
