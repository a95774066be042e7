//! A stand-in for the state service, written from the published protocol.

use std::collections::BTreeMap;

use serde_json::{Value, json};

#[derive(Default)]
pub struct StateService {
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// Lease -> (time to live, end).
    leases: BTreeMap<u64, (f64, f64)>,
    epoch: u64,
    next_lease: u64,
    events: Vec<(u64, String, Option<Value>)>,
    pub outage: bool,
}

type Reply = (u16, Value);

impl StateService {
    /// Ends what is due. In an outage time stands still for leases.
    pub fn tick(&mut self, now: f64, passed: f64) {
        if self.outage {
            for (_, end) in self.leases.values_mut() {
                *end += passed;
            }
            return;
        }
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(l, _)| *l)
            .collect();
        for lease in over {
            self.end(lease);
        }
    }

    /// After an outage every lease has its full time again.
    pub fn recover(&mut self, now: f64) {
        self.outage = false;
        for (ttl, end) in self.leases.values_mut() {
            *end = now + *ttl;
        }
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, (_, _, l))| *l == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        if !attached.is_empty() {
            self.epoch += 1;
        }
        for key in attached {
            self.keys.remove(&key);
            self.events.push((self.epoch, key, None));
        }
    }

    pub fn handle(&mut self, now: f64, method: &str, path: &str, body: &[u8]) -> Reply {
        if self.outage {
            return (503, json!({"error": "trouble"}));
        }
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        if let Some(key) = path.strip_prefix("/kv/") {
            return match self.keys.get(key) {
                Some((data, stamp, _)) => (200, json!({"path": key, "data": data, "stamp": stamp})),
                None => (404, json!({"epoch": self.epoch})),
            };
        }
        match (method, path) {
            ("GET", "/kv") => self.list(&query),
            ("POST", "/multi") => self.multi(&body),
            ("POST", "/leases") => {
                let ttl = body["ttl_ms"].as_f64().unwrap_or(0.0) / 1000.0;
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (ttl, now + ttl));
                (200, json!({"grant": self.next_lease}))
            }
            _ => {
                let id = path.strip_prefix("/leases/").unwrap_or("");
                let id: u64 = id.trim_end_matches("/extend").parse().unwrap_or(0);
                match (self.leases.get_mut(&id), method) {
                    (None, _) => (404, json!({})),
                    (Some(_), "DELETE") => {
                        self.end(id);
                        (200, json!({}))
                    }
                    (Some((ttl, end)), _) => {
                        *end = now + *ttl;
                        (200, json!({}))
                    }
                }
            }
        }
    }

    fn list(&self, query: &BTreeMap<&str, &str>) -> Reply {
        let prefix = query.get("prefix").copied().unwrap_or("");
        let since = query.get("since").copied().unwrap_or("");
        let page = query
            .get("page")
            .and_then(|p| p.parse().ok())
            .unwrap_or(100);
        let mut all = self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > since)
            .map(|(k, (data, stamp, _))| json!({"path": k, "data": data, "stamp": stamp}));
        let items: Vec<Value> = all.by_ref().take(page).collect();
        (
            200,
            json!({"items": items, "more": all.next().is_some(), "epoch": self.epoch}),
        )
    }

    fn multi(&mut self, body: &Value) -> Reply {
        let empty = Vec::new();
        let apply = body["apply"].as_array().unwrap_or(&empty);
        for op in apply {
            if let Some(lease) = op["grant"].as_u64()
                && !self.leases.contains_key(&lease)
            {
                return (400, json!({"error": "no such lease"}));
            }
        }
        let failed: Vec<&str> = body["guards"]
            .as_array()
            .unwrap_or(&empty)
            .iter()
            .filter_map(|g| {
                let key = g["path"].as_str()?;
                let stamp = self.keys.get(key).map_or(0, |(_, s, _)| *s);
                (Some(stamp) != g["stamp"].as_u64()).then_some(key)
            })
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.epoch}));
        }
        if !apply.is_empty() {
            self.epoch += 1;
        }
        for op in apply {
            if let Some(key) = op["set"].as_str() {
                let entry = (op["data"].clone(), self.epoch, op["grant"].as_u64());
                self.events
                    .push((self.epoch, key.into(), Some(entry.0.clone())));
                self.keys.insert(key.into(), entry);
            } else if let Some(key) = op["drop"].as_str() {
                self.keys.remove(key);
                self.events.push((self.epoch, key.into(), None));
            }
        }
        (200, json!({"epoch": self.epoch}))
    }

    /// What a watch would answer now; none while it has to wait.
    pub fn changes(&self, path: &str) -> Option<Reply> {
        let query = path.split_once('?')?.1;
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let prefix = query.get("prefix")?;
        let since: u64 = query.get("since")?.parse().ok()?;
        let events: Vec<Value> = self
            .events
            .iter()
            .filter(|(at, key, _)| *at > since && key.starts_with(prefix))
            .map(|(at, key, value)| match value {
                Some(v) => json!({"set": key, "data": v, "stamp": at}),
                None => json!({"drop": key, "stamp": at}),
            })
            .collect();
        (!events.is_empty() && !self.outage)
            .then(|| (200, json!({"epoch": self.epoch, "events": events})))
    }

    pub fn now_empty(&self) -> Reply {
        (200, json!({"epoch": self.epoch, "events": []}))
    }
}
