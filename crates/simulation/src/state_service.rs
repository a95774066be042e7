//! A fake state service, written from the published protocol: versioned keys, leases, guarded
//! transactions and watches.

use std::collections::BTreeMap;

use serde_json::{Value, json};

/// A stored key.
struct Entry {
    value: Value,
    /// The revision of the last write.
    version: u64,
    /// The lease that the key is attached to. The end of the lease deletes the key.
    lease: Option<u64>,
}

/// A lease, in simulated seconds.
struct Lease {
    ttl_s: f64,
    expires_at: f64,
}

/// A change of a key. `value` is `None` for a deletion.
struct Change {
    revision: u64,
    key: String,
    value: Option<Value>,
}

/// The fake state service.
#[derive(Default)]
pub struct StateService {
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    revision: u64,
    last_lease: u64,
    changes: Vec<Change>,
    /// Whether the service is down and answers every request with an error.
    pub outage: bool,
}

/// An HTTP status and a JSON body.
type Reply = (u16, Value);

impl StateService {
    /// Expires leases. In an outage leases do not age, so each is extended by `elapsed_s`.
    pub fn tick(&mut self, now: f64, elapsed_s: f64) {
        if self.outage {
            for lease in self.leases.values_mut() {
                lease.expires_at += elapsed_s;
            }
            return;
        }
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    /// Ends an outage, and renews every lease for its full time to live.
    pub fn recover(&mut self, now: f64) {
        self.outage = false;
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.ttl_s;
        }
    }

    /// Deletes a lease and all keys attached to it.
    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        if !attached.is_empty() {
            self.revision += 1;
        }
        for key in attached {
            self.keys.remove(&key);
            self.record_change(key, None);
        }
    }

    /// Records a change of a key for watches.
    fn record_change(&mut self, key: String, value: Option<Value>) {
        let revision = self.revision;
        self.changes.push(Change {
            revision,
            key,
            value,
        });
    }

    /// Answers any request except a watch.
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
                Some(entry) => {
                    let (data, stamp) = (&entry.value, entry.version);
                    (200, json!({"path": key, "data": data, "stamp": stamp}))
                }
                None => (404, json!({"epoch": self.revision})),
            };
        }
        match (method, path) {
            ("GET", "/kv") => self.list(&query),
            ("POST", "/multi") => self.multi(&body),
            ("POST", "/leases") => {
                let ttl_s = body["ttl_ms"].as_f64().unwrap_or(0.0) / 1000.0;
                let expires_at = now + ttl_s;
                self.last_lease += 1;
                self.leases
                    .insert(self.last_lease, Lease { ttl_s, expires_at });
                (200, json!({"grant": self.last_lease}))
            }
            _ => {
                let id = path.strip_prefix("/leases/").unwrap_or("");
                let id: u64 = id.trim_end_matches("/extend").parse().unwrap_or(0);
                match (self.leases.get_mut(&id), method) {
                    (None, _) => (404, json!({})),
                    (Some(_), "DELETE") => {
                        self.end_lease(id);
                        (200, json!({}))
                    }
                    (Some(lease), _) => {
                        lease.expires_at = now + lease.ttl_s;
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
        let mut matching = self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > since)
            .map(|(key, entry)| json!({"path": key, "data": entry.value, "stamp": entry.version}));
        let items: Vec<Value> = matching.by_ref().take(page).collect();
        (
            200,
            json!({"items": items, "more": matching.next().is_some(), "epoch": self.revision}),
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
                let stamp = self.keys.get(key).map_or(0, |entry| entry.version);
                (Some(stamp) != g["stamp"].as_u64()).then_some(key)
            })
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "epoch": self.revision}));
        }
        if !apply.is_empty() {
            self.revision += 1;
        }
        for op in apply {
            if let Some(key) = op["set"].as_str() {
                let value = op["data"].clone();
                self.record_change(key.into(), Some(value.clone()));
                let (version, lease) = (self.revision, op["grant"].as_u64());
                let entry = Entry {
                    value,
                    version,
                    lease,
                };
                self.keys.insert(key.into(), entry);
            } else if let Some(key) = op["drop"].as_str() {
                self.keys.remove(key);
                self.record_change(key.into(), None);
            }
        }
        (200, json!({"epoch": self.revision}))
    }

    /// The answer to a watch, or `None` if nothing has changed and the watch has to wait.
    pub fn changes(&self, path: &str) -> Option<Reply> {
        let query = path.split_once('?')?.1;
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let prefix = query.get("prefix")?;
        let since: u64 = query.get("since")?.parse().ok()?;
        let events: Vec<Value> = self
            .changes
            .iter()
            .filter(|change| change.revision > since && change.key.starts_with(prefix))
            .map(|change| match &change.value {
                Some(value) => {
                    json!({"set": change.key, "data": value, "stamp": change.revision})
                }
                None => json!({"drop": change.key, "stamp": change.revision}),
            })
            .collect();
        (!events.is_empty() && !self.outage)
            .then(|| (200, json!({"epoch": self.revision, "events": events})))
    }

    /// The answer to a watch that has timed out without a change.
    pub fn watch_timeout(&self) -> Reply {
        (200, json!({"epoch": self.revision, "events": []}))
    }
}
