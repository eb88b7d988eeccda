//! Address rows of entries.

use skylarkpulley_store::{EntryRow, MemoryStore, Store, WriteClass, list_entries};

/// Guards against a row of another program that makes the listing of the entries fail.
#[tokio::test]
async fn list_entries_foreign_row() {
    let store = MemoryStore::new();
    let control = "10.0.0.11:7500".parse().unwrap();
    let rows =
        [("entry-1", EntryRow::new(control).encode()), ("other", b"{\"port\": 7500}".to_vec())];
    for (name, value) in rows {
        store.put(&EntryRow::key(name), 0, value.into(), WriteClass::EntryRows).await.unwrap();
    }
    let listings = list_entries(&store).await.unwrap();
    let listings: Vec<_> = listings.into_iter().map(|entry| (entry.name, entry.row)).collect();
    let expected = [("entry-1", Some(EntryRow { control })), ("other", None)];
    assert_eq!(listings, expected.map(|(name, row)| (name.to_owned(), row)));
}
