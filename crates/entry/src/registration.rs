use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_store::{EntryListing, EntryRow, Store, StoreError, WriteClass, list_entries};

use crate::hub::Hub;

/// Interval between refreshes of the entries' rows. A process reads a row only when none of the
/// entries that it knows is reachable, so a long interval is acceptable.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);

/// Delay before the refresh is repeated after a store error.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Keeps the address of this entry in the store, discovers other entries through their rows, and
/// deletes rows of entries that are no longer live.
pub(crate) async fn keep_registered(hub: Arc<Hub>, store: Arc<dyn Store>, control: SocketAddr) {
    let mut absent = BTreeSet::new();
    loop {
        match refresh(&hub, store.as_ref(), control, &absent).await {
            Ok(absent_now) => {
                absent = absent_now;
                tokio::time::sleep(REFRESH_INTERVAL).await;
            }
            Err(error) => {
                tracing::warn!(
                    %error,
                    entry = hub.name,
                    "entry rows not refreshed; the address of this entry may not be registered"
                );
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Refreshes the rows once. `absent` contains the names and row versions of the entries that were
/// not live at the previous refresh; the return value contains those of this refresh. A row is
/// deleted only if its entry was absent at two consecutive refreshes and the row did not change in
/// between.
async fn refresh(
    hub: &Hub,
    store: &dyn Store,
    control: SocketAddr,
    absent: &BTreeSet<(String, u64)>,
) -> Result<BTreeSet<(String, u64)>, StoreError> {
    let rows = list_entries(store).await?;
    let own = rows.iter().find(|listing| listing.name == hub.name);
    register(hub, store, control, own).await?;
    let live: BTreeSet<String> =
        hub.entries.borrow().iter().map(|entry| entry.name.clone()).collect();
    let mut absent_now = BTreeSet::new();
    for listing in rows.iter().filter(|listing| listing.name != hub.name) {
        if live.contains(&listing.name) {
            continue;
        }
        let row_id = (listing.name.clone(), listing.version);
        if absent.contains(&row_id) {
            let key = EntryRow::key(&listing.name);
            store.delete(&key, listing.version, WriteClass::EntryRows).await?;
            tracing::info!(entry = listing.name, "deleted the row of an absent entry");
            continue;
        }
        if let Some(row) = listing.row {
            hub.add_discovered_entry(&row.control.to_string());
        }
        absent_now.insert(row_id);
    }
    Ok(absent_now)
}

/// Writes the row of this entry unless `own` already contains its address.
async fn register(
    hub: &Hub,
    store: &dyn Store,
    control: SocketAddr,
    own: Option<&EntryListing>,
) -> Result<(), StoreError> {
    let row = EntryRow::new(control);
    if own.is_some_and(|own| own.row == Some(row)) {
        return Ok(());
    }
    let version = own.map_or(0, |own| own.version);
    let key = EntryRow::key(&hub.name);
    store.put(&key, version, row.encode().into(), WriteClass::EntryRows).await?;
    Ok(())
}
