//! Lists the items below a key prefix, and watches the prefix for changes.

use std::time::Duration;

use hyper::Method;

use super::{Request, Store, StoreError, parse};
use crate::protocol::state::{Changes, Item, Page};
use crate::transport::rate_limiter::Urgency;

/// Maximum number of items per page of a list.
const PAGE_ITEMS: usize = 500;
/// Time that a watch may take in addition to the time that the service may hold it open.
const WATCH_MARGIN: Duration = Duration::from_millis(1500);

impl Store {
    /// Lists all items below a prefix. Returns them with the revision at the time of the first
    /// page.
    pub async fn list(&self, prefix: &str) -> Result<(Vec<Item>, u64), StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let mut revision = None;
        loop {
            let page = self.list_page(prefix, items.last()).await?;
            revision.get_or_insert(page.revision);
            let more = page.more && !page.items.is_empty();
            items.extend(page.items);
            if !more {
                return Ok((items, revision.unwrap_or(0)));
            }
        }
    }

    async fn list_page(&self, prefix: &str, last: Option<&Item>) -> Result<Page, StoreError> {
        let since = last.map(|item| format!("&since={}", item.key));
        let since = since.unwrap_or_default();
        let path = format!("/kv?prefix={prefix}{since}&page={PAGE_ITEMS}");
        let response = self
            .call(Request {
                method: Method::GET,
                path: &path,
                body: &[],
                changes: 0,
                urgency: Urgency::High,
                may_relay: false,
            })
            .await?;
        match response.status {
            200 => parse(&response),
            other => Err(StoreError::Refused(other)),
        }
    }

    /// Returns the changes below a prefix since a revision. Waits up to `block` for a change.
    pub async fn watch(
        &self,
        prefix: &str,
        since: u64,
        block: Duration,
    ) -> Result<Changes, StoreError> {
        self.request_limiter.acquire(1.0, Urgency::High).await;
        let path = format!(
            "/watch?prefix={prefix}&since={since}&block_ms={}",
            block.as_millis()
        );
        // This bypasses `call_directly`, because a watch that stays open during an outage does not
        // show whether other requests are answered.
        let response = self
            .http
            .call(
                Method::GET,
                self.address,
                &path,
                Vec::new(),
                block + WATCH_MARGIN,
            )
            .await
            .map_err(StoreError::from_watch_error)?;
        match response.status {
            200 => parse(&response),
            410 => Err(StoreError::WatchExpired),
            other => Err(StoreError::Refused(other)),
        }
    }
}
