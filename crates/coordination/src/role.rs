use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_jobs::JobTables;
use skylarkpulley_proto::v1;
use skylarkpulley_store::{TransactError, Transactor};
use skylarkpulley_telemetry::Event;
use skylarkpulley_types::Clock;
use tokio::sync::{mpsc, watch};

use crate::convert::millis;
use crate::entry::EntrySettings;
use crate::journal::Journal;
use crate::leader::{Leader, LeaderContext, LeaderMessage, LeaderTimes, LeadershipEnd};
use crate::leader_record::LeaderRecord;
use crate::leadership::{Leadership, ReportedLeader};
use crate::peer::PeerClients;
use crate::placement_policy::PlacementPolicy;
use crate::service::Shared;
use crate::tables_task::TablesAvailability;

/// Time between two pings to the leader.
const PING_INTERVAL: Duration = Duration::from_millis(300);

/// Time for one ping.
const PING_LIMIT: Duration = Duration::from_millis(500);

/// Pings in a row without an answer after which the leader is suspected; each uses a new
/// connection, since an open one may be silent while new ones work.
const PING_FAILURES: u32 = 2;

/// A leader that the store has not confirmed for this long cannot write; one confirmation interval,
/// and the time of a call to a slow store.
const LEADER_STALE: Duration = Duration::from_millis(2800);

/// A leader whose calls to the store have failed for this long is doubted; a lost answer is
/// repeated after 300 ms.
const LEADER_FAILING: Duration = Duration::from_millis(450);

/// Time that a doubted leader gets to reach the store after the store has answered this entry, as
/// after the end of an outage.
const CONFIRM_GRACE: Duration = Duration::from_millis(300);

/// A read that takes longer means that the store is slow; a usual one takes less than 10 ms.
const SLOW_READ: Duration = Duration::from_millis(120);

/// Longest random delay before a takeover, so that two entries rarely try at once.
const TAKEOVER_JITTER: Duration = Duration::from_millis(100);

/// Time during which a new leader tells its predecessor that it no longer leads.
const NOTIFY_TIME: Duration = Duration::from_secs(15);

/// Pause after the store gave no answer.
const STORE_PAUSE: Duration = Duration::from_millis(200);

/// Messages that may wait for the leader.
const INBOX: usize = 1024;

/// Why an entry looks at the leader's record again.
enum Followed {
    /// Another leadership may have begun.
    Changed,
    /// The leader does not answer or cannot write.
    Suspect(String),
}

/// The task that follows the leader, or leads.
pub struct Role {
    pub availability: watch::Receiver<TablesAvailability>,
    pub clock: Arc<dyn Clock>,
    pub inbox: watch::Sender<Option<mpsc::Sender<LeaderMessage>>>,
    pub leadership: watch::Sender<Leadership>,
    pub peers: Arc<PeerClients>,
    pub policy: Option<Arc<dyn PlacementPolicy>>,
    pub reported_leader: watch::Receiver<ReportedLeader>,
    pub settings: EntrySettings,
    pub shared: Arc<Shared>,
    pub stop: watch::Receiver<bool>,
    pub store: Arc<dyn Transactor>,
    pub tables: watch::Receiver<JobTables>,
}

impl Role {
    /// Runs until the process ends.
    pub async fn run(mut self) {
        loop {
            let (record, version) = match LeaderRecord::read(self.store.as_ref()).await {
                Ok(found) => found,
                Err(error) => {
                    tracing::debug!(%error, "leader's record not read");
                    if let Some(seen) = self.named_leader() {
                        self.follow_named(&seen).await;
                    }
                    tokio::time::sleep(STORE_PAUSE).await;
                    continue;
                }
            };
            let leaving = *self.stop.borrow();
            let vacant = record.epoch == 0 || record.name == self.settings.name;
            if vacant && !leaving {
                self.take_over(&record, version).await;
                continue;
            }
            if record.epoch == 0 {
                tokio::time::sleep(STORE_PAUSE).await;
                continue;
            }
            self.leadership.send_replace(Leadership {
                address: record.address.clone(),
                epoch: record.epoch,
                is_local: false,
                reachable: true,
            });
            match self.follow(&record).await {
                Followed::Changed => {}
                Followed::Suspect(reason) => {
                    self.leadership.send_modify(|leadership| leadership.reachable = false);
                    let event = Event::LeaderSuspected;
                    tracing::warn!(
                        code = event.code(),
                        event = event.name(),
                        leader = record.name,
                        epoch = record.epoch,
                        reason
                    );
                    if *self.stop.borrow() {
                        tokio::time::sleep(STORE_PAUSE).await;
                    } else {
                        self.replace(&record).await;
                    }
                }
            }
        }
    }

    /// Returns the leadership that another entry has named, when it is later than the known one.
    fn named_leader(&self) -> Option<LeaderRecord> {
        let seen = self.reported_leader.borrow().clone();
        let known = self.leadership.borrow();
        let newer = seen.epoch > known.epoch || (seen.epoch == known.epoch && !known.reachable);
        let other = seen.address != self.settings.control.to_string();
        (newer && other && !seen.address.is_empty()).then(|| LeaderRecord {
            address: seen.address,
            epoch: seen.epoch,
            ..LeaderRecord::default()
        })
    }

    /// Follows a leader that another entry has named while the store does not answer.
    async fn follow_named(&mut self, record: &LeaderRecord) {
        self.leadership.send_replace(Leadership {
            address: record.address.clone(),
            epoch: record.epoch,
            is_local: false,
            reachable: true,
        });
        if let Followed::Suspect(reason) = self.follow(record).await {
            tracing::info!(epoch = record.epoch, reason, "named leader not followed");
            self.leadership.send_modify(|leadership| leadership.reachable = false);
        }
    }

    /// Takes over from a suspected leader unless another entry has done so.
    async fn replace(&mut self, suspect: &LeaderRecord) {
        let jitter = millis(TAKEOVER_JITTER);
        tokio::time::sleep(Duration::from_millis(fastrand::u64(0..=jitter))).await;
        match LeaderRecord::read(self.store.as_ref()).await {
            Ok((record, version)) if record.epoch == suspect.epoch => {
                self.take_over(&record, version).await;
            }
            Ok(_) => {}
            Err(error) => {
                tracing::debug!(%error, "no takeover without the store");
                tokio::time::sleep(STORE_PAUSE).await;
            }
        }
    }

    async fn follow(&mut self, record: &LeaderRecord) -> Followed {
        let mut failures = 0;
        loop {
            let request = self.ping(record.epoch);
            let reply = match self.peers.client(&record.address) {
                Some(mut client) => {
                    tokio::time::timeout(PING_LIMIT, client.ping(request)).await.ok()
                }
                None => return Followed::Suspect("its address is not valid".to_owned()),
            };
            let Some(Ok(reply)) = reply else {
                failures += 1;
                self.peers.drop_connection(&record.address);
                if failures >= PING_FAILURES {
                    return Followed::Suspect(format!("{failures} pings without an answer"));
                }
                continue;
            };
            failures = 0;
            let reply = reply.into_inner();
            if let Some(followed) = self.judge(record, &reply).await {
                return followed;
            }
            tokio::select! {
                () = tokio::time::sleep(PING_INTERVAL) => {}
                Ok(()) = self.reported_leader.changed() => {
                    if self.reported_leader.borrow().epoch > record.epoch {
                        return Followed::Changed;
                    }
                }
            }
        }
    }

    async fn judge(&mut self, record: &LeaderRecord, reply: &v1::PingReply) -> Option<Followed> {
        if reply.tables_version > self.tables.borrow().version {
            // A full queue means that a fetch is already under way.
            let _ = self.shared.newer_tables.try_send(record.address.clone());
        }
        if reply.epoch > record.epoch {
            return Some(Followed::Changed);
        }
        if !reply.leads && reply.leaving {
            return Some(Followed::Suspect("it is shutting down".to_owned()));
        }
        if !reply.leads && reply.epoch == record.epoch {
            return Some(Followed::Suspect("it does not lead any more".to_owned()));
        }
        if !reply.leads || !is_doubtful(reply) {
            return None;
        }
        // The store may be down for all; only an entry that reaches it takes over.
        let asked = Instant::now();
        match LeaderRecord::read(self.store.as_ref()).await {
            Ok((found, _)) if found.epoch > record.epoch => Some(Followed::Changed),
            // The store is slow for all; another leader would not be served better.
            Ok(_) if asked.elapsed() > SLOW_READ => None,
            Ok(_) => {
                tokio::time::sleep(CONFIRM_GRACE).await;
                self.still_stale(record).await
            }
            Err(_) => None,
        }
    }

    async fn still_stale(&self, record: &LeaderRecord) -> Option<Followed> {
        let mut client = self.peers.client(&record.address)?;
        let ping = client.ping(self.ping(record.epoch));
        let reply = tokio::time::timeout(PING_LIMIT, ping).await.ok()?.ok()?.into_inner();
        is_doubtful(&reply).then(|| {
            Followed::Suspect(format!(
                "the store has not confirmed it for {} ms, its calls fail for {} ms",
                reply.store_age_ms, reply.failing_ms
            ))
        })
    }

    fn ping(&self, epoch: u64) -> v1::PingRequest {
        let known = self.leadership.borrow();
        let leader = if known.epoch == epoch { known.address.clone() } else { String::new() };
        v1::PingRequest {
            name: self.settings.name.clone(),
            address: self.settings.control.to_string(),
            epoch,
            tables_version: self.tables.borrow().version,
            store_answers: self.availability.borrow().answered,
            leader,
        }
    }

    async fn take_over(&mut self, record: &LeaderRecord, version: u64) {
        let name = &self.settings.name;
        let address = self.settings.control.to_string();
        let taken = Journal::take_over(
            self.store.clone(),
            name,
            &address,
            record,
            version,
            self.shared.health.clone(),
        )
        .await;
        let journal = match taken {
            Ok(Some(journal)) => journal,
            Ok(None) => return,
            Err(error) => {
                tracing::warn!(%error, epoch = record.epoch + 1, "takeover without an outcome");
                tokio::time::sleep(STORE_PAUSE).await;
                return;
            }
        };
        if let Err(error) = self.lead(journal, record).await {
            tracing::warn!(%error, "jobs not loaded");
            tokio::time::sleep(STORE_PAUSE).await;
        }
    }

    /// Makes sure that the predecessor does not lead any more. An earlier process of this entry is
    /// gone for certain.
    fn tell_predecessor(
        &self,
        predecessor: &LeaderRecord,
        epoch: u64,
        inbox: mpsc::Sender<LeaderMessage>,
    ) {
        let own = predecessor.address.is_empty() || predecessor.name == self.settings.name;
        let (peers, address) = (self.peers.clone(), predecessor.address.clone());
        let leader = self.settings.control.to_string();
        let request = v1::PingRequest { leader, ..self.ping(epoch) };
        tokio::spawn(async move {
            if own || notify_predecessor(peers, address, request).await {
                // The leadership may have ended meanwhile.
                let _ = inbox.send(LeaderMessage::PredecessorEnded).await;
            }
        });
    }

    async fn lead(
        &mut self,
        journal: Journal,
        predecessor: &LeaderRecord,
    ) -> Result<(), TransactError> {
        let since = Instant::now();
        let epoch = journal.epoch();
        let (sender, inbox) = mpsc::channel(INBOX);
        let context = LeaderContext {
            clock: self.clock.clone(),
            health: self.shared.health.clone(),
            limits: self.settings.limits,
            own: sender.downgrade(),
            policy: self.policy.clone(),
            records: self.shared.records.clone(),
            reported_leader: self.reported_leader.clone(),
            times: LeaderTimes {
                max_confirmation_age: self.settings.max_confirmation_age,
                lease: self.settings.lease,
            },
        };
        let tables = self.tables.borrow().clone();
        let leader = Leader::load(&journal, context, tables).await?;
        self.tell_predecessor(predecessor, epoch, sender.clone());
        self.inbox.send_replace(Some(sender));
        self.leadership.send_replace(Leadership {
            address: self.settings.control.to_string(),
            epoch,
            is_local: true,
            reachable: true,
        });
        let event = Event::LeadershipTaken;
        let took = millis(since.elapsed());
        tracing::info!(code = event.code(), event = event.name(), epoch, took);
        let mut seen = self.reported_leader.clone();
        let leading = leader.run(journal, inbox, self.tables.clone(), self.stop.clone());
        let end = tokio::select! {
            end = leading => end,
            () = wait_above(&mut seen, epoch) => LeadershipEnd::Deposed,
        };
        self.inbox.send_replace(None);
        self.leadership.send_modify(|leadership| {
            leadership.is_local = false;
            leadership.reachable = false;
            leadership.address = String::new();
        });
        let event = Event::LeadershipEnded;
        tracing::info!(code = event.code(), event = event.name(), epoch, reason = ?end);
        if end == LeadershipEnd::Stopped {
            // Lets another entry take the record before it is read again.
            tokio::time::sleep(PING_INTERVAL).await;
        }
        Ok(())
    }
}

fn is_doubtful(reply: &v1::PingReply) -> bool {
    Duration::from_millis(reply.store_age_ms) >= LEADER_STALE
        || Duration::from_millis(reply.failing_ms) >= LEADER_FAILING
}

/// Tells the entry at `address`, which led before, that it no longer does; it cannot learn that
/// from the store while it does not reach it. Returns whether it has answered.
async fn notify_predecessor(
    peers: Arc<PeerClients>,
    address: String,
    request: v1::PingRequest,
) -> bool {
    let end = Instant::now() + NOTIFY_TIME;
    while Instant::now() < end {
        if let Some(mut client) = peers.client(&address) {
            let reply = tokio::time::timeout(PING_LIMIT, client.ping(request.clone())).await;
            if matches!(reply, Ok(Ok(_))) {
                return true;
            }
            peers.drop_connection(&address);
        }
        tokio::time::sleep(PING_INTERVAL).await;
    }
    false
}

/// Waits until a peer has named an epoch above `epoch`.
async fn wait_above(seen: &mut watch::Receiver<ReportedLeader>, epoch: u64) {
    loop {
        if seen.borrow_and_update().epoch > epoch {
            return;
        }
        if seen.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
