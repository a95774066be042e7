//! The state service of PROTOCOL-copperfield.md, with its limits.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Answer, MAX_BODY, Request};
use crate::record::Record;

/// What the deploy file says of the state service.
#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

struct Entry {
    data: Value,
    stamp: u64,
    grant: Option<u64>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

struct Bucket {
    rate: f64,
    left: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            left: rate,
            at: Instant::now(),
        }
    }

    fn take(&mut self, amount: f64) -> bool {
        let now = Instant::now();
        self.left = (self.left + (now - self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        if self.left < amount {
            return false;
        }
        self.left -= amount;
        true
    }
}

struct Inner {
    keys: BTreeMap<String, Entry>,
    leases: HashMap<u64, Lease>,
    last_grant: u64,
    epoch: u64,
    /// (epoch, key, value).
    changes: Vec<(u64, String, Option<Value>)>,
    out: bool,
    requests: Bucket,
    writes: Bucket,
}

pub struct State {
    inner: Mutex<Inner>,
    changed: Condvar,
    limits: Limits,
    record: Arc<Record>,
}

fn answer(status: u16, body: &Value) -> Option<Answer> {
    Some((status, body.to_string().into_bytes()))
}

impl State {
    pub fn new(limits: Limits, record: Arc<Record>) -> Arc<Self> {
        let inner = Inner {
            keys: BTreeMap::new(),
            leases: HashMap::new(),
            last_grant: 0,
            epoch: 0,
            changes: Vec::new(),
            out: false,
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
        };
        let state = Arc::new(Self {
            inner: Mutex::new(inner),
            changed: Condvar::new(),
            limits,
            record,
        });
        let ticking = state.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                ticking.end_leases();
            }
        });
        state
    }

    /// Begins or ends an outage. After it, every lease has its full time again.
    pub fn set_out(&self, out: bool) {
        let mut inner = self.inner.lock().unwrap();
        inner.out = out;
        let now = Instant::now();
        for lease in inner.leases.values_mut() {
            lease.ends = now + lease.ttl;
        }
        self.changed.notify_all();
    }

    pub fn keys(&self, prefix: &str) -> Vec<(String, Value)> {
        let inner = self.inner.lock().unwrap();
        let matching = inner.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        matching
            .map(|(key, entry)| (key.clone(), entry.data.clone()))
            .collect()
    }

    fn end_leases(&self) {
        let mut inner = self.inner.lock().unwrap();
        if inner.out {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = inner
            .leases
            .iter()
            .filter(|(_, l)| l.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for grant in ended {
            inner.end_lease(grant);
            self.changed.notify_all();
        }
    }

    pub fn handle(&self, request: &Request) -> Option<Answer> {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let mut inner = self.inner.lock().unwrap();
        if path != "/watch" && inner.out {
            return answer(503, &json!({"error": "trouble"}));
        }
        if !inner.requests.take(1.0) {
            return answer(429, &json!({"error": "too many requests"}));
        }
        match (request.method.as_str(), path) {
            ("GET", "/watch") => {
                drop(inner);
                self.watch(&query)
            }
            ("GET", "/kv") => inner.list(&query),
            ("POST", "/multi") => {
                let reply = self.multi(&mut inner, &request.body);
                if !matches!(reply.0, 200 | 409 | 429) {
                    let text = format!(
                        "{} to a transaction of {} bytes: {}",
                        reply.0,
                        request.body.len(),
                        reply.1
                    );
                    self.record.write("state", &text);
                }
                self.changed.notify_all();
                answer(reply.0, &reply.1)
            }
            ("POST", "/leases") => {
                let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
                let Some(ttl) = body["ttl_ms"]
                    .as_u64()
                    .filter(|t| (100..=600_000).contains(t))
                else {
                    return answer(400, &json!({"error": "ttl_ms"}));
                };
                inner.last_grant += 1;
                let grant = inner.last_grant;
                let ttl = Duration::from_millis(ttl);
                inner.leases.insert(
                    grant,
                    Lease {
                        ttl,
                        ends: Instant::now() + ttl,
                    },
                );
                answer(200, &json!({"grant": grant}))
            }
            ("GET", _) => match path
                .strip_prefix("/kv/")
                .and_then(|key| inner.keys.get_key_value(key))
            {
                Some((key, e)) => answer(
                    200,
                    &json!({"path": key, "data": e.data, "stamp": e.stamp, "grant": e.grant}),
                ),
                None => answer(404, &json!({"epoch": inner.epoch})),
            },
            (method, _) => {
                let id = path
                    .strip_prefix("/leases/")
                    .unwrap_or("")
                    .trim_end_matches("/extend");
                let id: u64 = id.parse().unwrap_or(0);
                let Some(lease) = inner.leases.get_mut(&id) else {
                    return answer(404, &json!({}));
                };
                if method == "DELETE" {
                    inner.end_lease(id);
                    self.changed.notify_all();
                } else {
                    lease.ends = Instant::now() + lease.ttl;
                }
                answer(200, &json!({}))
            }
        }
    }

    fn multi(&self, inner: &mut Inner, body: &[u8]) -> (u16, Value) {
        let refused = |text: &str| (400, json!({ "error": text }));
        if body.len() > MAX_BODY {
            return refused("over 64 KiB in all");
        }
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return refused("not JSON");
        };
        let none = Vec::new();
        let apply = body["apply"].as_array().unwrap_or(&none);
        let guards = body["guards"].as_array().unwrap_or(&none);
        if apply.len() > self.limits.txn_ops || guards.len() > 4 * self.limits.txn_ops {
            return refused("too many operations");
        }
        let largest = (self.limits.value_kb * 1024.0) as usize;
        if apply
            .iter()
            .any(|op| op["data"].to_string().len() > largest)
        {
            return refused("a value is too large");
        }
        if !inner.writes.take(apply.len() as f64) {
            return (429, json!({"error": "too many changes"}));
        }
        for op in apply {
            if let Some(grant) = op["grant"].as_u64()
                && !inner.leases.contains_key(&grant)
            {
                return refused("no such lease");
            }
        }
        let failed: Vec<&str> = guards
            .iter()
            .filter_map(|guard| {
                let key = guard["path"].as_str()?;
                let stamp = inner.keys.get(key).map_or(0, |entry| entry.stamp);
                (Some(stamp) != guard["stamp"].as_u64()).then_some(key)
            })
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": inner.epoch}));
        }
        if !apply.is_empty() {
            inner.epoch += 1;
        }
        let epoch = inner.epoch;
        for op in apply {
            if let Some(key) = op["set"].as_str() {
                let (data, grant) = (op["data"].clone(), op["grant"].as_u64());
                inner.changes.push((epoch, key.into(), Some(data.clone())));
                inner.keys.insert(
                    key.into(),
                    Entry {
                        data,
                        stamp: epoch,
                        grant,
                    },
                );
            } else if let Some(key) = op["drop"].as_str()
                && inner.keys.remove(key).is_some()
            {
                inner.changes.push((epoch, key.into(), None));
            }
        }
        (200, json!({"epoch": epoch}))
    }

    fn watch(&self, query: &HashMap<&str, &str>) -> Option<Answer> {
        let prefix = query.get("prefix").copied().unwrap_or("").to_string();
        let since: u64 = query.get("since").and_then(|s| s.parse().ok()).unwrap_or(0);
        let block: u64 = query
            .get("block_ms")
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(block.min(60_000));
        let mut inner = self.inner.lock().unwrap();
        loop {
            let kept = inner.changes.len().saturating_sub(10_000);
            if kept > 0 && inner.changes[kept - 1].0 > since {
                return answer(410, &json!({"epoch": inner.epoch}));
            }
            let first = inner
                .changes
                .partition_point(|(epoch, _, _)| *epoch <= since);
            let events: Vec<Value> = inner.changes[first..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .map(|(epoch, key, data)| match data {
                    Some(data) => json!({"set": key, "data": data, "stamp": epoch}),
                    None => json!({"drop": key, "stamp": epoch}),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !inner.out && (!events.is_empty() || left.is_zero()) {
                return answer(200, &json!({"epoch": inner.epoch, "events": events}));
            }
            let wait = if left.is_zero() {
                Duration::from_millis(200)
            } else {
                left
            };
            inner = self.changed.wait_timeout(inner, wait).unwrap().0;
        }
    }
}

impl Inner {
    fn end_lease(&mut self, grant: u64) {
        self.leases.remove(&grant);
        let attached = self.keys.iter().filter(|(_, e)| e.grant == Some(grant));
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if attached.is_empty() {
            return;
        }
        self.epoch += 1;
        for key in attached {
            self.keys.remove(&key);
            self.changes.push((self.epoch, key, None));
        }
    }

    fn list(&self, query: &HashMap<&str, &str>) -> Option<Answer> {
        let prefix = query.get("prefix").copied().unwrap_or("");
        let since = query.get("since").copied().unwrap_or("");
        let page: usize = query
            .get("page")
            .and_then(|p| p.parse().ok())
            .unwrap_or(1000);
        let mut items = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, e) in self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > since)
        {
            let item = json!({"path": key, "data": e.data, "stamp": e.stamp, "grant": e.grant});
            bytes += item.to_string().len() + 1;
            if items.len() >= page.min(1000) || bytes > 500 * 1024 {
                more = true;
                break;
            }
            items.push(item);
        }
        answer(
            200,
            &json!({"items": items, "more": more, "epoch": self.epoch}),
        )
    }
}
