//! The two records that an election keeps in the state service: the leader key and the term marker.

use serde_json::{Value, json};

use crate::controller::context::ControllerContext;
use crate::protocol::state::{Change, Condition, Item, Transaction};
use crate::storage::store::{StoreError, put};
use crate::storage::{LEADER_KEY, TERM_MARKER_KEY};
use crate::transport::rate_limiter::Urgency;

const MEMBER: &str = "member";
const NONCE: &str = "nonce";
const CONFIRMED_TOKEN: &str = "led";
/// The version of a key that does not exist.
const NO_VERSION: u64 = 0;

/// The key that names the leader, bound to a lease of the state service.
#[derive(Debug)]
pub(super) struct LeaderKey {
    /// The leader's name.
    pub(super) member: Option<String>,
    /// A random number drawn for each campaign. It distinguishes the key from one that an earlier
    /// process of the same controller wrote.
    pub(super) nonce: Option<u64>,
    /// The key's version, which is the leader's fencing token.
    pub(super) token: u64,
}

impl LeaderKey {
    pub(super) async fn read(context: &ControllerContext) -> Result<Option<Self>, StoreError> {
        let item = context
            .store
            .get(LEADER_KEY, Urgency::Renewal, false)
            .await?;
        Ok(item.map(Self::from_item))
    }

    fn from_item(item: Item) -> Self {
        let member = item.value.get(MEMBER).and_then(Value::as_str);
        Self {
            member: member.map(str::to_string),
            nonce: item.value.get(NONCE).and_then(Value::as_u64),
            token: item.version,
        }
    }
}

/// Records the last election won. It is written together with every leader key and never removed.
#[derive(Debug)]
pub(super) struct TermMarker {
    /// The fencing token of the last election, once its leader has confirmed that it knows it won.
    pub(super) confirmed_token: Option<u64>,
}

impl TermMarker {
    /// Reads the marker; `None` if there has never been a leader.
    pub(super) async fn read(context: &ControllerContext) -> Result<Option<Self>, StoreError> {
        let item = context
            .store
            .get(TERM_MARKER_KEY, Urgency::Renewal, false)
            .await?;
        Ok(item.map(|item| Self {
            confirmed_token: item.value.get(CONFIRMED_TOKEN).and_then(Value::as_u64),
        }))
    }
}

/// Writes the leader key, if it does not exist, and an unconfirmed term marker.
pub(super) fn election_transaction(member: &str, nonce: u64, lease: u64) -> Transaction {
    Transaction {
        conditions: vec![Condition::at_version(LEADER_KEY, NO_VERSION)],
        changes: vec![
            Change::Put {
                key: LEADER_KEY.to_string(),
                value: json!({ MEMBER: member, NONCE: nonce }),
                lease: Some(lease),
            },
            put(TERM_MARKER_KEY.to_string(), json!({})),
        ],
    }
}

/// Confirms the term of this token, if its leader key still exists.
pub(super) fn confirmation_transaction(token: u64) -> Transaction {
    Transaction {
        conditions: vec![Condition::at_version(LEADER_KEY, token)],
        changes: vec![put(
            TERM_MARKER_KEY.to_string(),
            json!({ CONFIRMED_TOKEN: token }),
        )],
    }
}

/// Removes the leader key of this token.
pub(super) fn removal_transaction(token: u64) -> Transaction {
    Transaction {
        conditions: vec![Condition::at_version(LEADER_KEY, token)],
        changes: vec![Change::Delete {
            key: LEADER_KEY.to_string(),
        }],
    }
}
