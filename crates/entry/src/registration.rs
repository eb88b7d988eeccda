use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_store::{EntryListing, EntryRow, Store, StoreError, WriteClass, list_entries};

use crate::hub::Hub;

/// Time between two looks at the entries' rows. A row is needed only when all entries that an agent
/// knows are gone, so that a late repair costs little.
const LOOK_INTERVAL: Duration = Duration::from_secs(30);

/// Pause after the store gave no answer.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Keeps the address of this entry in the store, makes other entries known from there, and deletes
/// the rows of entries that are gone.
pub(crate) async fn keep_registered(hub: Arc<Hub>, store: Arc<dyn Store>, control: SocketAddr) {
    let mut absent = BTreeSet::new();
    loop {
        match look(&hub, store.as_ref(), control, &absent).await {
            Ok(found) => {
                absent = found;
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
            Err(error) => {
                tracing::warn!(%error, entry = hub.name, "address not registered");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Does one look; `absent` are the rows, with their versions, of entries that were not live at the
/// last one. Returns those of this look.
async fn look(
    hub: &Hub,
    store: &dyn Store,
    control: SocketAddr,
    absent: &BTreeSet<(String, u64)>,
) -> Result<BTreeSet<(String, u64)>, StoreError> {
    let rows = list_entries(store).await?;
    let own = rows.iter().find(|found| found.name == hub.name);
    register(hub, store, control, own).await?;
    let live: BTreeSet<String> =
        hub.entries.borrow().iter().map(|entry| entry.name.clone()).collect();
    let mut still = BTreeSet::new();
    for found in rows.iter().filter(|found| found.name != hub.name) {
        if live.contains(&found.name) {
            continue;
        }
        let place = (found.name.clone(), found.version);
        if absent.contains(&place) {
            let key = EntryRow::key(&found.name);
            store.delete(&key, found.version, WriteClass::EntryRows).await?;
            tracing::info!(entry = found.name, "row of an entry that is gone deleted");
            continue;
        }
        if let Some(row) = found.row {
            hub.add_discovered_entry(&row.control.to_string());
        }
        still.insert(place);
    }
    Ok(still)
}

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
