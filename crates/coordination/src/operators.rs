use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use skylarkpulley_admin::{
    DomainStatus, ExplainLine, Explanation, ProcessStatus, QueueStatus, Status, TeamStatus,
    WorkerSlowness, WorkerStatus,
};
use skylarkpulley_jobs::{Decision, JobTables, Summary};
use skylarkpulley_proto::v1;
use skylarkpulley_telemetry::Event;
use skylarkpulley_types::Clock;
use tokio::sync::oneshot;

use crate::convert::millis;
use crate::leader_message::LeaderMessage;
use crate::peer::PeerClients;
use crate::records::decision_event;
use crate::service::Shared;

/// Time limit of a call to another entry. An operator waits for the slowest of the calls.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Time limit for the reason why tasks wait. The records of this entry are given without it, and
/// within the time limit of another entry that asks for them.
const WAITING_TIMEOUT: Duration = Duration::from_millis(400);

/// Explanations and status that an entry gives to operators.
#[derive(Clone)]
pub struct Operators {
    clock: Arc<dyn Clock>,
    name: String,
    peers: Arc<PeerClients>,
    shared: Arc<Shared>,
}

impl Operators {
    pub(crate) fn new(
        name: &str,
        clock: Arc<dyn Clock>,
        peers: Arc<PeerClients>,
        shared: Arc<Shared>,
    ) -> Self {
        Self { clock, name: name.to_owned(), peers, shared }
    }

    /// Returns what the entries have recorded about a request, job or worker, oldest first. The
    /// records of entries that do not answer are missing.
    pub async fn explain(&self, id: &str) -> Explanation {
        let mut replies = vec![self.local_lines(id).await];
        let mut asked = BTreeSet::new();
        let leader = self.shared.leadership.borrow().address.clone();
        let mut unasked: BTreeSet<String> = self.shared.followers.recent().into_keys().collect();
        if !leader.is_empty() && !self.shared.leadership.borrow().is_local {
            unasked.insert(leader);
        }
        // All entries ping the leader, so its reply names those that this entry does not know, and
        // the second round asks them.
        for _ in 0..2 {
            let calls = unasked.iter().map(|address| self.fetch_lines(address, id));
            let answers: Vec<_> = join_all(calls).await.into_iter().flatten().collect();
            asked.append(&mut unasked);
            let named = answers.iter().flat_map(|reply| reply.entries.iter().cloned());
            unasked = named.filter(|address| !asked.contains(address)).collect();
            replies.extend(answers);
        }
        let mut processes = BTreeSet::new();
        replies.retain(|reply| processes.insert(reply.process.clone()));
        let mut lines: Vec<ExplainLine> = replies.into_iter().flat_map(decode_lines).collect();
        lines.sort_by_key(|line| std::cmp::Reverse(line.age_ms));
        Explanation { id: id.to_owned(), lines }
    }

    /// Returns what this entry has recorded about `id`, why its tasks wait now if this entry is the
    /// leader, and the entries that it knows.
    pub(crate) async fn local_lines(&self, id: &str) -> v1::ExplainReply {
        let decisions = self.shared.records.decisions.explain(id, self.clock.now());
        let recorded = decisions.iter().map(|(age, decision)| {
            encode_line(id, *age, decision.event, &decision.id, &decision.detail)
        });
        let mut lines: Vec<v1::ExplainLine> = recorded.collect();
        lines.extend(self.waiting_lines(id).await);
        v1::ExplainReply {
            entries: self.shared.followers.recent().into_keys().collect(),
            lines,
            process: self.name.clone(),
        }
    }

    /// Returns why the tasks of `id` wait now; nothing if this entry is not the leader or is busy.
    async fn waiting_lines(&self, id: &str) -> Vec<v1::ExplainLine> {
        let Some(inbox) = self.shared.inbox.borrow().clone() else { return Vec::new() };
        let (reply, answer) = oneshot::channel();
        let ask = async {
            inbox.send(LeaderMessage::Explain { id: id.to_owned(), reply }).await.ok()?;
            answer.await.ok()
        };
        let decisions = tokio::time::timeout(WAITING_TIMEOUT, ask).await.ok().flatten();
        let line = |decision: &Decision| {
            let event = decision_event(decision.kind);
            encode_line(id, Duration::ZERO, event, &decision.id, &decision.detail)
        };
        decisions.iter().flatten().map(line).collect()
    }

    async fn fetch_lines(&self, address: &str, id: &str) -> Option<v1::ExplainReply> {
        let mut client = self.peers.client(address)?;
        let call = client.explain(v1::ExplainRequest { id: id.to_owned() });
        match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(reply)) => Some(reply.into_inner()),
            Ok(Err(status)) => {
                tracing::debug!(
                    address,
                    status = status.message(),
                    "entry did not return its records; the explanation lacks them"
                );
                None
            }
            Err(_) => {
                self.peers.drop_connection(address);
                None
            }
        }
    }

    /// Returns the status of the system from the leader; `None` when no leader answers.
    pub async fn status(&self) -> Option<Status> {
        if let Some(status) = self.local_status().await {
            return Some(status);
        }
        let leader = self.shared.leadership.borrow().address.clone();
        let mut client = self.peers.client(&leader)?;
        let call = client.system_status(v1::SystemStatusRequest {});
        let reply = tokio::time::timeout(CALL_TIMEOUT, call).await.ok()?.ok()?.into_inner();
        match serde_json::from_slice(&reply.status) {
            Ok(status) => Some(status),
            Err(error) => {
                tracing::warn!(
                    %error,
                    leader,
                    "leader sent a status that cannot be decoded; none is returned"
                );
                None
            }
        }
    }

    /// Returns the status of the system if this entry is the leader.
    pub(crate) async fn local_status(&self) -> Option<Status> {
        let inbox = self.shared.inbox.borrow().clone()?;
        let (reply, answer) = oneshot::channel();
        inbox.send(LeaderMessage::Summary { reply }).await.ok()?;
        let summary = answer.await.ok()?;
        let tables = self.shared.tables.borrow().clone();
        Some(self.to_status(&summary, &tables))
    }

    fn to_status(&self, summary: &Summary, tables: &JobTables) -> Status {
        let local = ProcessStatus {
            process: self.name.clone(),
            kind: "entry".to_owned(),
            version: tables.version,
            seen_ms: 0,
        };
        let peers = self.shared.followers.recent().into_values().map(|peer| ProcessStatus {
            process: peer.name,
            kind: "entry".to_owned(),
            version: peer.version,
            seen_ms: millis(peer.last_ping.elapsed()),
        });
        let processes: Vec<ProcessStatus> = std::iter::once(local).chain(peers).collect();
        let oldest = processes.iter().map(|process| process.version).min();
        Status {
            entry: self.name.clone(),
            version: tables.version,
            oldest_version: oldest.unwrap_or(tables.version),
            evacuated: to_domains(summary),
            workers: summary.workers.iter().map(to_worker).collect(),
            teams: to_teams(summary, tables),
            queues: summary.queues.iter().map(to_queue).collect(),
            processes,
            ..Status::default()
        }
    }
}

/// Returns the line of a decision about `decision_id` in an explanation of `id`.
fn encode_line(
    id: &str,
    age: Duration,
    event: Event,
    decision_id: &str,
    detail: &str,
) -> v1::ExplainLine {
    let is_part = decision_id != id;
    v1::ExplainLine {
        age_ms: millis(age),
        code: u32::from(event.code()),
        event: event.name().to_owned(),
        detail: if is_part { format!("{decision_id}: {detail}") } else { detail.to_owned() },
    }
}

fn decode_lines(reply: v1::ExplainReply) -> Vec<ExplainLine> {
    let line = |line: &v1::ExplainLine| {
        ExplainLine::new(&reply.process, line.age_ms, line.code, &line.event, &line.detail)
    };
    reply.lines.iter().map(line).collect()
}

fn accelerator_count(accelerators: i64) -> u32 {
    u32::try_from(accelerators).unwrap_or(0)
}

fn to_domains(summary: &Summary) -> Vec<DomainStatus> {
    let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    let domains = summary.evacuated.iter().map(|domain| DomainStatus {
        domain: domain.domain.clone(),
        version: summary.evacuated_version,
        workers: count(domain.workers),
        runs: count(domain.runs),
    });
    domains.collect()
}

fn to_worker(worker: &skylarkpulley_jobs::WorkerSummary) -> WorkerStatus {
    WorkerStatus {
        pool: worker.pool.clone(),
        name: worker.id.clone(),
        domain: worker.domain.clone(),
        rack: worker.rack.clone(),
        state: worker.state.to_owned(),
        accelerators: accelerator_count(worker.accelerators),
        guaranteed: accelerator_count(worker.guaranteed),
        borrowed: accelerator_count(worker.borrowed),
        reserved: 0,
        slowness: worker.slowness.map(|(percent, deviation)| WorkerSlowness { percent, deviation }),
    }
}

fn to_queue(queue: &skylarkpulley_jobs::QueueSummary) -> QueueStatus {
    QueueStatus {
        route: queue.route.clone(),
        team: queue.team.clone(),
        waiting: queue.waiting,
        oldest_ms: millis(queue.oldest),
    }
}

/// Returns the status of each team in each of its pools. A guarantee is a number of accelerators.
fn to_teams(summary: &Summary, tables: &JobTables) -> Vec<TeamStatus> {
    let mut teams = Vec::new();
    for team in &tables.teams {
        let team_queues = || summary.queues.iter().filter(|queue| queue.team == team.name);
        let pools: BTreeSet<&str> = team_queues().map(|queue| queue.pool.as_str()).collect();
        for pool in pools {
            let queues = || team_queues().filter(|queue| queue.pool == pool);
            teams.push(TeamStatus {
                pool: pool.to_owned(),
                team: team.name.clone(),
                weight: 0,
                waiting: queues().map(|queue| queue.waiting).sum(),
                used: queues().map(|queue| accelerator_count(queue.accelerators)).sum(),
                guarantees: accelerator_count(team.guarantee.accelerators),
                claimed: 0,
                at_risk: 0,
            });
        }
    }
    teams
}
