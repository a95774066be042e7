//! What the leader has asked the cloud for, and what it knows of the cloud's answers.

use std::collections::BTreeMap;

use crate::coordination::model::Time;

/// A request to scale out that has no answer yet.
#[derive(Debug, Clone)]
pub(in crate::coordination) struct ProvisioningRequest {
    pub(in crate::coordination) kind: u32,
    pub(in crate::coordination) zone: u32,
    pub(in crate::coordination) spot: bool,
    pub(in crate::coordination) count: u32,
}

/// A worker that the cloud has started and that has sent no heartbeat yet.
#[derive(Debug, Clone)]
pub(in crate::coordination) struct BootingWorker {
    pub(in crate::coordination) kind: u32,
    pub(in crate::coordination) since: Time,
    pub(in crate::coordination) spot: bool,
}

#[derive(Debug)]
pub(in crate::coordination) struct Provisioning {
    pub(in crate::coordination) token: u64,
    pub(in crate::coordination) next_request: u64,
    pub(in crate::coordination) asked: BTreeMap<String, ProvisioningRequest>,
    pub(in crate::coordination) booting: BTreeMap<String, BootingWorker>,
    /// By type: how long workers took to come up, as a multiple of what the cloud says.
    pub(in crate::coordination) boot_factor: BTreeMap<u32, f64>,
    pub(in crate::coordination) no_capacity: BTreeMap<(u32, u32, bool), Time>,
    pub(in crate::coordination) next_list: Time,
    pub(in crate::coordination) next_types: Time,
    pub(in crate::coordination) returning: bool,
    pub(in crate::coordination) listed_once: bool,
}

impl Provisioning {
    pub(in crate::coordination) fn new(token: u64, now: Time) -> Self {
        Self {
            token,
            next_request: 0,
            asked: BTreeMap::new(),
            booting: BTreeMap::new(),
            boot_factor: BTreeMap::new(),
            no_capacity: BTreeMap::new(),
            next_list: now,
            next_types: now,
            returning: false,
            listed_once: false,
        }
    }
}
