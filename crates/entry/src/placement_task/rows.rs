//! Job rows of the store: reading, writing and deletion.

use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_store::{StoreError, WriteClass};

use super::PlacementTask;
use crate::job_command::JobCommand;
use crate::job_row::{job_row_key, row_to_copy};

/// Limit on job rows that are written at the same time; bounds the load on the store.
const MAX_CONCURRENT_SAVES: usize = 5;

/// Number of ids of recently stored jobs that are kept for waiting submitters.
const STORED_IDS_LIMIT: usize = 256;

impl PlacementTask {
    /// Reads the jobs of other entries from the store. While the store is unavailable, only peers
    /// provide them.
    pub(super) fn load(&mut self) {
        if std::mem::replace(&mut self.loading, true) {
            return;
        }
        let store = Arc::clone(&self.store);
        let commands = self.commands.clone();
        tokio::spawn(async move {
            loop {
                if let Ok(rows) = store.list("jobs/").await {
                    let rows = rows.iter().map(|(_, row)| row_to_copy(row)).collect();
                    let _ = commands.send(JobCommand::Rows(rows));
                    let _ = commands.send(JobCommand::Loaded);
                    return;
                }
                tokio::time::sleep(Duration::from_secs(2)).await;
            }
        });
    }

    /// Writes unsaved jobs to the store, at most [`MAX_CONCURRENT_SAVES`] at the same time.
    pub(super) fn save(&mut self) {
        let now = self.hub.clock.now();
        for tracked in self.registry.unsaved(MAX_CONCURRENT_SAVES + self.saving.len()) {
            let id = tracked.record.id.clone();
            if self.saving.len() >= MAX_CONCURRENT_SAVES || !self.saving.insert(id.clone()) {
                continue;
            }
            let copy = tracked.record.to_copy(now.saturating_duration_since(tracked.received));
            let store = Arc::clone(&self.store);
            let commands = self.commands.clone();
            tokio::spawn(async move {
                let key = job_row_key(&id);
                let value = copy.value.into();
                let written = store.put(&key, tracked.version, value, WriteClass::Jobs).await;
                let (version, revision) = match written {
                    Ok(version) => (Some(version), copy.revision),
                    Err(StoreError::Conflict { .. }) => match store.get(&key).await {
                        Ok(Some(row)) => {
                            // The record that another entry wrote may supersede this one.
                            let _ = commands.send(JobCommand::Rows(vec![row_to_copy(&row)]));
                            (None, 0)
                        }
                        Ok(None) => (Some(0), 0),
                        Err(_) => (None, 0),
                    },
                    Err(_) => (None, 0),
                };
                let _ = commands.send(JobCommand::Saved { id, revision, version });
            });
        }
    }

    /// Handles the end of a write: `version` is that of the row, or `None` after a failure.
    /// `revision` is 0 if the record was not written.
    pub(super) fn saved(&mut self, id: &str, revision: u64, version: Option<u64>) {
        self.saving.remove(id);
        let Some(version) = version else { return };
        self.registry.saved(id, revision, version);
        if revision == 0 {
            return;
        }
        self.recorded.send_modify(|recorded| {
            recorded.stored.push(id.to_owned());
            if recorded.stored.len() > STORED_IDS_LIMIT {
                recorded.stored.remove(0);
            }
        });
    }

    pub(super) fn delete_expired(&mut self, now: Instant) {
        for (id, version) in self.registry.expire(now) {
            if version == 0 {
                continue;
            }
            let store = Arc::clone(&self.store);
            tokio::spawn(async move {
                // If this fails, the next entry that reads the row deletes it after its expiry.
                let _ = store.delete(&job_row_key(&id), version, WriteClass::Jobs).await;
            });
        }
    }
}
