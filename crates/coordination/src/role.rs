use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_jobs::JobTables;
use skylarkpulley_proto::v1;
use skylarkpulley_store::Transactor;
use skylarkpulley_telemetry::Event;
use skylarkpulley_types::Clock;
use tokio::sync::{mpsc, watch};

use crate::convert::millis;
use crate::entry_settings::EntrySettings;
use crate::journal::{CommitOutcome, Journal};
use crate::leader::{Leader, LeadershipEnd};
use crate::leader_context::{LeaderContext, LeaderTimes};
use crate::leader_message::LeaderMessage;
use crate::leader_record::{LeaderRecord, Predecessor};
use crate::leadership::{Leadership, ReportedLeader};
use crate::peer::PeerClients;
use crate::placement_policy::PlacementPolicy;
use crate::service::Shared;
use crate::standby::{ping_interval, takeover_delay};
use crate::tables_task::{TablesAvailability, versions};

/// Time between two notifications of a predecessor that does not answer, and between the end of a
/// leadership and the next look at the leader's record.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(300);

/// Time limit for one ping.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of consecutive pings without an answer after which the leader is suspected. Each of them
/// uses a new connection, because an open connection can stop carrying data while new ones work.
const MAX_PING_FAILURES: u32 = 2;

/// A leader that the store has not confirmed for this long is assumed to be unable to write. The
/// limit is one confirmation interval plus the time of a call to a slow store.
const LEADER_CONFIRMATION_LIMIT: Duration = Duration::from_millis(2800);

/// A leader whose calls to the store have failed for this long is doubted. A call whose answer was
/// lost is repeated after 300 ms.
const LEADER_FAILURE_LIMIT: Duration = Duration::from_millis(450);

/// Time that a doubted leader is given to reach the store after the store has answered this entry,
/// for example at the end of an outage.
const CONFIRM_GRACE: Duration = Duration::from_millis(300);

/// Time within which an entry that has taken over should lead. Loading the rows takes a few reads,
/// each of them up to 0.35 s from a store that is 80 times slower than usual.
const LOADING_LIMIT: Duration = Duration::from_secs(3);

/// A read that takes longer shows that the store is slow. A usual read takes less than 10 ms.
const SLOW_READ_THRESHOLD: Duration = Duration::from_millis(120);

/// Longest random delay before a takeover, so that two entries rarely attempt it at once.
const MAX_TAKEOVER_JITTER: Duration = Duration::from_millis(100);

/// Time during which a new leader tries to notify its predecessor that it is no longer the leader.
/// A predecessor that is only cut off from this entry would replace it once it stops writing.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(600);

/// Delay before the leader's record is read again after the store did not answer, and while this
/// entry must not take over.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time for which the record of a leader is watched that has never answered this entry. A leader
/// that is cut off from other entries writes every 0.5 s.
const WATCH_TIME: Duration = Duration::from_millis(1300);

/// Time after which an earlier leader that has not answered is notified less often.
const NOTIFY_RARELY_AFTER: Duration = Duration::from_secs(15);

/// Time between two notifications after [`NOTIFY_RARELY_AFTER`].
const RARE_NOTIFY_INTERVAL: Duration = Duration::from_secs(2);

/// Number of messages that may wait for the leader.
const INBOX_CAPACITY: usize = 1024;

/// Why an entry stopped following a leader.
enum FollowEnd {
    /// Another entry may have become the leader.
    Changed,
    /// The leader does not answer or cannot write.
    Suspect {
        reason: String,
        /// Whether calls to it had no answer at all, so that it may be cut off from this entry only.
        silent: bool,
    },
}

impl FollowEnd {
    fn suspect(reason: &str) -> Self {
        Self::Suspect { reason: reason.to_owned(), silent: false }
    }
}

/// The task that follows the leader or is the leader.
pub struct Role {
    pub availability: watch::Receiver<TablesAvailability>,
    pub clock: Arc<dyn Clock>,
    pub inbox: watch::Sender<Option<mpsc::Sender<LeaderMessage>>>,
    pub leadership: watch::Sender<Leadership>,
    pub peers: Arc<PeerClients>,
    pub policy: Option<Arc<dyn PlacementPolicy>>,
    /// Number of entries that should take over before this one, by the last ping.
    pub rank: u64,
    /// Highest epoch whose leader has answered a ping of this entry.
    pub reached_epoch: u64,
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
                Ok(current) => current,
                Err(error) => {
                    tracing::debug!(
                        %error,
                        "leader's record cannot be read; following a leader that a peer reports"
                    );
                    if let Some(reported) = self.newer_reported_leader() {
                        self.follow_reported(&reported).await;
                    }
                    tokio::time::sleep(STORE_RETRY_DELAY).await;
                    continue;
                }
            };
            let stopping = *self.stop.borrow();
            let vacant = record.epoch == 0 || record.name == self.settings.name;
            if vacant && !stopping {
                self.take_over(&record, version).await;
                continue;
            }
            if record.epoch == 0 {
                tokio::time::sleep(STORE_RETRY_DELAY).await;
                continue;
            }
            let unreached = {
                let current = self.leadership.borrow();
                current.epoch == record.epoch && !current.is_local && !current.reachable
            };
            self.leadership.send_replace(Leadership {
                address: record.address.clone(),
                epoch: record.epoch,
                is_local: false,
                reachable: !unreached,
            });
            match self.follow(&record).await {
                FollowEnd::Changed => {}
                FollowEnd::Suspect { reason, silent } => {
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
                        tokio::time::sleep(STORE_RETRY_DELAY).await;
                    } else if !silent || !self.is_working(&record, version).await {
                        self.replace_leader(&record).await;
                    }
                }
            }
        }
    }

    /// Returns the leadership that another entry has reported, if it is newer than the one that
    /// this entry knows, or the same while its leader does not answer.
    fn newer_reported_leader(&self) -> Option<LeaderRecord> {
        let reported = self.reported_leader.borrow().clone();
        let current = self.leadership.borrow();
        let newer = reported.epoch > current.epoch
            || (reported.epoch == current.epoch && !current.reachable);
        let is_remote = reported.address != self.settings.announced.to_string();
        (newer && is_remote && !reported.address.is_empty()).then(|| LeaderRecord {
            address: reported.address,
            epoch: reported.epoch,
            ..LeaderRecord::default()
        })
    }

    /// Follows a leader that another entry has reported, while the store does not answer.
    async fn follow_reported(&mut self, record: &LeaderRecord) {
        self.leadership.send_replace(Leadership {
            address: record.address.clone(),
            epoch: record.epoch,
            is_local: false,
            reachable: true,
        });
        if let FollowEnd::Suspect { reason, .. } = self.follow(record).await {
            tracing::info!(
                epoch = record.epoch,
                reason,
                "reported leader is suspected; no longer following it"
            );
            self.leadership.send_modify(|leadership| leadership.reachable = false);
        }
    }

    /// Reports whether a silent leader that has never answered this entry replaces its record, which
    /// was read at `version`. It then leads others, and only its connection to this entry is broken:
    /// replacing it would not help, and the two would replace each other without end.
    async fn is_working(&self, record: &LeaderRecord, version: u64) -> bool {
        if self.reached_epoch == record.epoch {
            return false;
        }
        let deadline = Instant::now() + WATCH_TIME;
        let mut known = version;
        let mut changes = 0;
        while Instant::now() < deadline {
            match LeaderRecord::read(self.store.as_ref()).await {
                Ok((current, _)) if current.epoch != record.epoch => return false,
                Ok((_, version)) => {
                    changes += u32::from(version != known);
                    known = version;
                }
                Err(_) => return false,
            }
            // The first change may be of the time before the leader was suspected.
            if changes > 1 {
                let event = Event::LeaderKept;
                let (code, event) = (event.code(), event.name());
                tracing::info!(code, event, leader = record.name, epoch = record.epoch);
                return true;
            }
            tokio::time::sleep(NOTIFY_INTERVAL).await;
        }
        false
    }

    /// Takes over from a suspected leader unless another entry has done so.
    async fn replace_leader(&mut self, suspect: &LeaderRecord) {
        let jitter = millis(MAX_TAKEOVER_JITTER);
        let jitter = Duration::from_millis(fastrand::u64(0..=jitter));
        tokio::time::sleep(takeover_delay(self.rank) + jitter).await;
        match LeaderRecord::read(self.store.as_ref()).await {
            Ok((record, version)) if record.epoch == suspect.epoch => {
                self.take_over(&record, version).await;
            }
            Ok(_) => {}
            Err(error) => {
                tracing::debug!(
                    %error,
                    "leader's record cannot be read; the suspected leader is not replaced"
                );
                tokio::time::sleep(STORE_RETRY_DELAY).await;
            }
        }
    }

    async fn follow(&mut self, record: &LeaderRecord) -> FollowEnd {
        let started = Instant::now();
        let mut failures = 0;
        let mut silent = false;
        loop {
            let request = self.ping(record.epoch);
            let reply = match self.peers.client(&record.address) {
                Some(mut client) => tokio::time::timeout(PING_TIMEOUT, client.ping(request)).await,
                None => return FollowEnd::suspect("the address in its record is not valid"),
            };
            let Ok(Ok(reply)) = reply else {
                silent |= reply.is_err();
                failures += 1;
                self.peers.drop_connection(&record.address);
                if failures >= MAX_PING_FAILURES {
                    let reason = format!("it did not answer {failures} pings");
                    return FollowEnd::Suspect { reason, silent };
                }
                continue;
            };
            failures = 0;
            silent = false;
            self.reached_epoch = record.epoch;
            self.leadership
                .send_if_modified(|leadership| !std::mem::replace(&mut leadership.reachable, true));
            let reply = reply.into_inner();
            self.rank = reply.standby_rank;
            if let Some(end) = self.evaluate_ping(record, &reply).await {
                return end;
            }
            if !reply.leads
                && reply.epoch < record.epoch
                && started.elapsed() > LOADING_LIMIT
                && let Some(end) = self.check_loading(record).await
            {
                return end;
            }
            tokio::select! {
                () = tokio::time::sleep(ping_interval(self.rank)) => {}
                () = self.shared.leader_failed.notified() => {}
                Ok(()) = self.reported_leader.changed() => {
                    if self.reported_leader.borrow().epoch > record.epoch {
                        return FollowEnd::Changed;
                    }
                }
            }
        }
    }

    async fn evaluate_ping(
        &mut self,
        record: &LeaderRecord,
        reply: &v1::PingReply,
    ) -> Option<FollowEnd> {
        let current = self.tables.borrow().version;
        self.shared.tables_lag.report(reply.tables_version, current, Instant::now());
        let reported = (reply.tables_version, reply.evacuations_version);
        self.shared.report_tables(&record.address, reported);
        if reply.epoch > record.epoch {
            return Some(FollowEnd::Changed);
        }
        if !reply.leads && reply.leaving {
            return Some(FollowEnd::suspect("it is shutting down"));
        }
        if !reply.leads && reply.epoch == record.epoch {
            return Some(FollowEnd::suspect("it is no longer the leader"));
        }
        if !reply.leads || !is_doubtful(reply) {
            return None;
        }
        if self.stored_epoch(record.epoch).await? > record.epoch {
            return Some(FollowEnd::Changed);
        }
        tokio::time::sleep(CONFIRM_GRACE).await;
        self.recheck_leader(record).await
    }

    /// Returns the epoch in the leader's record. `None` when the store does not answer this entry:
    /// it may be down for all, and only an entry that it answers takes over. `None` as well when it
    /// is slow and the record is not newer than `known`: it is slow for all entries, so that a
    /// change of the leader would not help.
    async fn stored_epoch(&self, known: u64) -> Option<u64> {
        let started = Instant::now();
        let (current, _) = LeaderRecord::read(self.store.as_ref()).await.ok()?;
        let is_quick = started.elapsed() <= SLOW_READ_THRESHOLD;
        (is_quick || current.epoch > known).then_some(current.epoch)
    }

    /// Decides on an entry that has taken over and does not lead, because it has not loaded the
    /// rows. It is replaced if the store answers this entry quickly.
    async fn check_loading(&self, record: &LeaderRecord) -> Option<FollowEnd> {
        if self.stored_epoch(record.epoch).await? > record.epoch {
            return Some(FollowEnd::Changed);
        }
        let limit = LOADING_LIMIT.as_millis();
        let reason = format!("it has not loaded the stored jobs within {limit} ms");
        Some(FollowEnd::suspect(&reason))
    }

    /// Pings a doubted leader once more; returns the reason for which it is still suspected, if
    /// any.
    async fn recheck_leader(&self, record: &LeaderRecord) -> Option<FollowEnd> {
        let mut client = self.peers.client(&record.address)?;
        let ping = client.ping(self.ping(record.epoch));
        let reply = tokio::time::timeout(PING_TIMEOUT, ping).await.ok()?.ok()?.into_inner();
        is_doubtful(&reply).then(|| {
            FollowEnd::suspect(&format!(
                "the store has not confirmed it for {} ms, its calls have failed for {} ms",
                reply.store_age_ms, reply.failing_ms
            ))
        })
    }

    fn ping(&self, epoch: u64) -> v1::PingRequest {
        let current = self.leadership.borrow();
        let leader = if current.epoch == epoch { current.address.clone() } else { String::new() };
        let (tables_version, evacuations_version) = versions(&self.tables.borrow());
        v1::PingRequest {
            name: self.settings.name.clone(),
            address: self.settings.announced.to_string(),
            epoch,
            tables_version,
            store_answers: self.availability.borrow().answered,
            leader,
            cores: self.settings.cores,
            evacuations_version,
        }
    }

    async fn take_over(&mut self, record: &LeaderRecord, version: u64) {
        let name = &self.settings.name;
        let address = self.settings.announced.to_string();
        let takeover = Journal::take_over(
            self.store.clone(),
            name,
            &address,
            record,
            version,
            self.shared.health.clone(),
        )
        .await;
        let journal = match takeover {
            Ok(Some(journal)) => journal,
            Ok(None) => return,
            Err(error) => {
                tracing::warn!(
                    %error,
                    epoch = record.epoch + 1,
                    "takeover has no outcome; reading the leader's record again"
                );
                tokio::time::sleep(STORE_RETRY_DELAY).await;
                return;
            }
        };
        self.lead(journal).await;
    }

    /// Notifies the earlier leaders in the background, and tells the leader task of this entry when
    /// all of them are known to lead no longer. Without their answers, the leader waits for the
    /// longest time for which they may extend leases. `unanswered` holds how many have not answered.
    fn start_predecessor_notification(
        &self,
        predecessors: &[Predecessor],
        epoch: u64,
        inbox: mpsc::Sender<LeaderMessage>,
        unanswered: Arc<watch::Sender<usize>>,
    ) {
        let leader = self.settings.announced.to_string();
        let request = v1::PingRequest { leader, ..self.ping(epoch) };
        let notifications = predecessors.iter().map(|earlier| {
            let (address, unanswered) = (earlier.address.clone(), unanswered.clone());
            let notification = notify_predecessor(self.peers.clone(), address, request.clone());
            async move {
                let answered = tokio::select! {
                    answered = notification => answered,
                    () = unanswered.closed() => false,
                };
                unanswered.send_modify(|count| *count -= 1);
                answered
            }
        });
        let notifications = futures::future::join_all(notifications);
        tokio::spawn(async move {
            if notifications.await.into_iter().all(|answered| answered) {
                // Sending fails when the leadership has ended meanwhile, which needs no handling.
                let _ = inbox.send(LeaderMessage::PredecessorsEnded).await;
            }
        });
    }

    /// Loads the stored rows for the leader task. While the store does not answer, loading is
    /// attempted again under the same epoch, so that other entries notice how long it takes.
    /// Returns `None` when another entry leads, or when this entry is shutting down.
    async fn load(
        &self,
        mut journal: Journal,
        sender: &mpsc::Sender<LeaderMessage>,
        unanswered: &watch::Receiver<usize>,
    ) -> Option<(Journal, Leader)> {
        loop {
            let context = LeaderContext {
                availability: self.availability.clone(),
                clock: self.clock.clone(),
                followers: self.shared.followers.clone(),
                health: self.shared.health.clone(),
                limits: self.settings.limits,
                own_inbox: sender.downgrade(),
                policy: self.policy.clone(),
                records: self.shared.records.clone(),
                reported_leader: self.reported_leader.clone(),
                times: LeaderTimes {
                    confirmation_limit: self.settings.confirmation_limit,
                    lease: self.settings.lease,
                },
                unanswered: unanswered.clone(),
                unstored_bytes: self.settings.unstored_bytes,
            };
            let tables = self.tables.borrow().clone();
            match Leader::load(&journal, context, tables).await {
                Ok(leader) => return Some((journal, leader)),
                Err(error) => {
                    tracing::warn!(%error, "stored jobs cannot be loaded; loading them again");
                }
            }
            tokio::time::sleep(STORE_RETRY_DELAY).await;
            if *self.stop.borrow() || self.reported_leader.borrow().epoch > journal.epoch() {
                return None;
            }
            let (confirmed, outcome) = journal.confirm().await;
            if outcome == Ok(CommitOutcome::Deposed) {
                return None;
            }
            journal = confirmed;
        }
    }

    async fn lead(&mut self, journal: Journal) {
        let started = Instant::now();
        let epoch = journal.epoch();
        let (sender, inbox) = mpsc::channel(INBOX_CAPACITY);
        let (unanswered_sender, unanswered) = watch::channel(journal.predecessors().len());
        let loaded = self.load(journal, &sender, &unanswered).await;
        drop(unanswered);
        let Some((journal, leader)) = loaded else { return };
        self.start_predecessor_notification(
            journal.predecessors(),
            epoch,
            sender.clone(),
            Arc::new(unanswered_sender),
        );
        self.inbox.send_replace(Some(sender));
        self.leadership.send_replace(Leadership {
            address: self.settings.announced.to_string(),
            epoch,
            is_local: true,
            reachable: true,
        });
        let event = Event::LeadershipTaken;
        let took = millis(started.elapsed());
        tracing::info!(code = event.code(), event = event.name(), epoch, took);
        let mut reported_leader = self.reported_leader.clone();
        let leading = leader.run(journal, inbox, self.tables.clone(), self.stop.clone());
        let end = tokio::select! {
            end = leading => end,
            () = wait_for_higher_epoch(&mut reported_leader, epoch) => LeadershipEnd::Deposed,
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
            // Gives another entry time to replace the record before this entry reads it again.
            tokio::time::sleep(NOTIFY_INTERVAL).await;
        }
    }
}

/// Reports whether the reply shows that the store may not answer the leader.
fn is_doubtful(reply: &v1::PingReply) -> bool {
    Duration::from_millis(reply.store_age_ms) >= LEADER_CONFIRMATION_LIMIT
        || Duration::from_millis(reply.failing_ms) >= LEADER_FAILURE_LIMIT
}

/// Notifies the entry at `address`, which was the leader before, that it no longer is. While the
/// store does not answer that entry, it cannot learn this from the store. Returns whether it has
/// answered.
async fn notify_predecessor(
    peers: Arc<PeerClients>,
    address: String,
    request: v1::PingRequest,
) -> bool {
    let started = Instant::now();
    while started.elapsed() < NOTIFY_TIMEOUT {
        if let Some(mut client) = peers.client(&address) {
            let reply = tokio::time::timeout(PING_TIMEOUT, client.ping(request.clone())).await;
            if matches!(reply, Ok(Ok(_))) {
                return true;
            }
            peers.drop_connection(&address);
        }
        let rarely = started.elapsed() > NOTIFY_RARELY_AFTER;
        tokio::time::sleep(if rarely { RARE_NOTIFY_INTERVAL } else { NOTIFY_INTERVAL }).await;
    }
    false
}

/// Waits until another entry has reported an epoch above `epoch`.
async fn wait_for_higher_epoch(reported_leader: &mut watch::Receiver<ReportedLeader>, epoch: u64) {
    loop {
        if reported_leader.borrow_and_update().epoch > epoch {
            return;
        }
        if reported_leader.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
