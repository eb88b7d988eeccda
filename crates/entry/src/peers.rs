use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_proto::v1::entry_client::EntryClient;
use skylarkpulley_proto::{MAX_MESSAGE_BYTES, PROTOCOL_VERSION, Secret, v1};
use tokio::sync::mpsc;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};

use crate::config_task::ConfigTask;
use crate::hub::{EntryAddress, Hub};
use crate::jobs::Jobs;
use crate::range_view::RangeView;

/// Interval between exchanges with each peer.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1000);

/// A peer that has not answered for this long is no longer counted as live.
const SILENCE_LIMIT: Duration = Duration::from_millis(2500);

/// A peer that has not answered for this long is no longer called, unless it is in the settings.
const PEER_RETENTION: Duration = Duration::from_secs(60);

type Client = EntryClient<InterceptedService<Channel, Secret>>;

struct Peer {
    client: Client,
    name: Option<String>,
    /// Time of the last answer, or of the addition before the first one.
    answered: Instant,
    /// Version of its configuration.
    config: u64,
    /// Number of the last job change that the peer has confirmed.
    copied: u64,
}

/// Exchanges liveness, configuration, key ranges and jobs with the other entries.
pub struct Peers {
    config: ConfigTask,
    control: SocketAddr,
    hub: Arc<Hub>,
    jobs: Jobs,
    peers: BTreeMap<SocketAddr, Peer>,
    secret: Secret,
    /// Peers from the settings.
    seeds: Vec<SocketAddr>,
}

impl Peers {
    /// Returns the task of the entry whose control listener is at `control`. `seeds` are the
    /// control addresses of the peers in the settings.
    pub fn new(
        hub: Arc<Hub>,
        config: ConfigTask,
        jobs: Jobs,
        control: SocketAddr,
        seeds: Vec<SocketAddr>,
        secret: Secret,
    ) -> Self {
        Self { config, control, hub, jobs, peers: BTreeMap::new(), secret, seeds }
    }

    /// Runs until the process stops.
    pub async fn run(mut self, mut discovered_entries: mpsc::UnboundedReceiver<SocketAddr>) {
        for seed in self.seeds.clone() {
            self.add(seed);
        }
        let mut tick = tokio::time::interval(EXCHANGE_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            // A job change is copied without waiting for the next tick, because a submitter may be
            // waiting until its job is recorded at a peer.
            tokio::select! {
                _ = tick.tick() => {}
                () = self.jobs.wait_changed() => {}
                Some(address) = discovered_entries.recv() => {
                    self.add(address);
                    continue;
                }
            }
            self.exchange().await;
            self.remove_silent();
            self.publish();
        }
    }

    async fn exchange(&mut self) {
        let mut calls = Vec::new();
        for (address, peer) in &self.peers {
            let (jobs, last_change) = self.jobs.copies_after(peer.copied).await;
            let message = v1::PeerMessage { jobs, ..self.message() };
            let (address, mut client) = (*address, peer.client.clone());
            calls.push(async move {
                let call = client.peer(message);
                match tokio::time::timeout(EXCHANGE_TIMEOUT, call).await {
                    Ok(Ok(reply)) => (address, Some((reply.into_inner(), last_change))),
                    Ok(Err(_)) | Err(_) => (address, None),
                }
            });
        }
        for (address, answer) in futures::future::join_all(calls).await {
            match answer {
                Some((reply, last_change)) => self.apply_reply(address, reply, last_change).await,
                None => self.reset_copied(address),
            }
        }
    }

    /// Makes the next exchange send all jobs again: a peer that did not answer may have restarted
    /// and lost its copies.
    fn reset_copied(&mut self, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.copied = 0;
        }
    }

    fn message(&self) -> v1::PeerMessage {
        let config = self.hub.config.borrow();
        v1::PeerMessage {
            protocol: PROTOCOL_VERSION,
            name: self.hub.name.clone(),
            control: self.control.to_string(),
            config_version: config.version(),
            config_digest: config.digest(),
            range_version: self.hub.ranges.borrow().version(),
            jobs: Vec::new(),
        }
    }

    async fn apply_reply(&mut self, address: SocketAddr, reply: v1::PeerReply, last_change: u64) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.answered = self.hub.clock.now();
            peer.config = reply.config_version;
            peer.copied = last_change;
            peer.name = Some(reply.name.clone());
        }
        self.jobs.note_copied(last_change);
        for entry in &reply.entries {
            if let Ok(address) = entry.parse() {
                self.add(address);
            }
        }
        if let Some(message) = reply.config {
            self.config.merge_peer_config(message);
        }
        if let Some(view) = reply.ranges.and_then(|ranges| RangeView::from_json(&ranges.map)) {
            self.hub.update_ranges(view);
        }
    }

    fn add(&mut self, address: SocketAddr) {
        if address == self.control || self.peers.contains_key(&address) {
            return;
        }
        let Ok(endpoint) = Endpoint::from_shared(format!("http://{address}")) else { return };
        let channel = endpoint
            .connect_timeout(Duration::from_millis(500))
            .http2_keep_alive_interval(Duration::from_secs(1))
            .keep_alive_timeout(Duration::from_millis(1500))
            .keep_alive_while_idle(true)
            .tcp_nodelay(true)
            .connect_lazy();
        let client = EntryClient::with_interceptor(channel, self.secret.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES);
        let answered = self.hub.clock.now();
        self.peers.insert(address, Peer { client, name: None, answered, config: 0, copied: 0 });
    }

    fn remove_silent(&mut self) {
        let now = self.hub.clock.now();
        let seeds = &self.seeds;
        self.peers.retain(|address, peer| {
            seeds.contains(address) || now.saturating_duration_since(peer.answered) < PEER_RETENTION
        });
    }

    /// Updates the list of live entries in the hub.
    fn publish(&self) {
        let now = self.hub.clock.now();
        let live = |peer: &Peer| now.saturating_duration_since(peer.answered) < SILENCE_LIMIT;
        let own = EntryAddress {
            name: self.hub.name.clone(),
            control: self.control.to_string(),
            config: self.hub.config.borrow().version(),
        };
        let mut entries: Vec<EntryAddress> = self
            .peers
            .iter()
            .filter(|(_, peer)| live(peer))
            .filter_map(|(address, peer)| {
                let name = peer.name.clone()?;
                Some(EntryAddress { name, control: address.to_string(), config: peer.config })
            })
            .chain([own])
            .collect();
        entries.sort();
        entries.dedup_by(|a, b| a.name == b.name);
        self.hub.entries.send_if_modified(|current| {
            let changed = *current != entries;
            *current = entries;
            changed
        });
    }
}
