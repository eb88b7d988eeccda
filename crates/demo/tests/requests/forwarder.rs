use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use skylarkpulley_agent::{Agent, Settings};
use skylarkpulley_demo::{Deployment, DeploymentSpec, UpstreamVm};
use skylarkpulley_standins::{Upstream, UpstreamSettings};
use skylarkpulley_tables::PoolKind;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::caller::{POOLS, route, routes, spec, wait_keys};

/// Forwards connections until they are made silent: it then accepts bytes, forwards none and keeps
/// the connections open.
pub struct Forwarder {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    flags: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
    target: watch::Sender<Option<SocketAddr>>,
}

impl Forwarder {
    pub async fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let target = watch::Sender::new(None);
        let (cut, flags) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let forwarder = Self { address, cut, flags, target };
        let (cut, flags) = (Arc::clone(&forwarder.cut), Arc::clone(&forwarder.flags));
        let targets = forwarder.target.subscribe();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let silent = Arc::new(AtomicBool::new(cut.load(Ordering::SeqCst)));
                flags.lock().expect("flags").push(Arc::clone(&silent));
                tokio::spawn(forward(near, targets.clone(), silent));
            }
        });
        forwarder
    }

    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Makes the open connections silent for good; new ones work. Returns how many there are.
    pub fn silence(&self) -> usize {
        let mut flags = self.flags.lock().expect("flags");
        flags.drain(..).map(|flag| flag.store(true, Ordering::SeqCst)).count()
    }

    /// Makes the open connections and all new ones silent.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        self.silence();
    }
}

async fn forward(
    near: TcpStream,
    mut targets: watch::Receiver<Option<SocketAddr>>,
    silent: Arc<AtomicBool>,
) {
    let Ok(target) = targets.wait_for(Option::is_some).await.map(|target| *target) else { return };
    let Some(target) = target else { return };
    let Ok(far) = TcpStream::connect(target).await else { return };
    let (_, _) = (near.set_nodelay(true), far.set_nodelay(true));
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    tokio::join!(pump(near_in, far_out, Arc::clone(&silent)), pump(far_in, near_out, silent));
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, silent: Arc<AtomicBool>) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        if silent.load(Ordering::SeqCst) {
            if read == 0 {
                // The other side must not learn that this one has gone.
                std::future::pending::<()>().await;
            }
            continue;
        }
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

/// The forwarders in front of one agent.
pub struct Links {
    /// Between the upstream and its agent.
    pub announce: Forwarder,
    /// Between entries or other agents and the agent.
    pub control: Forwarder,
}

/// Starts a deployment of three upstreams whose agents are reached through forwarders.
pub async fn start_linked() -> (Deployment, Vec<Links>) {
    // An entry with a route that needs keys is not ready before agents hold the key ranges.
    let unkeyed = DeploymentSpec { routes: route("check", "true", "20s"), ..spec() };
    let mut deployment = Deployment::start(unkeyed.with_upstreams(0)).await.expect("a start");
    deployment.apply(1, &routes(), POOLS).await.expect("the keyed routes");
    let mut links = Vec::new();
    for index in 0..3 {
        let link = Links { announce: Forwarder::start().await, control: Forwarder::start().await };
        let domain = format!("domain-{index}");
        let name = format!("balance-{index}");
        let settings = Settings {
            advertised: Some(link.control.address),
            ..deployment.agent_settings(&name, PoolKind::Upstream, "balance", &domain)
        };
        let agent = deployment.start_agent(&settings).await.expect("an agent");
        let program = agent.program().expect("a running agent");
        link.control.set_target(program.control());
        link.announce.set_target(program.announcement_address().expect("an announcement listener"));
        let upstream = UpstreamSettings::new(
            (Ipv4Addr::LOCALHOST, 0).into(),
            std::time::Duration::from_millis(5),
        )
        .with_agent(&format!("http://{}", link.announce.address), 1);
        let upstream = Upstream::start(upstream).await.expect("an upstream");
        deployment.upstreams.push(UpstreamVm { agent, settings, upstream });
        links.push(link);
    }
    let joined = |status: &skylarkpulley_admin::Status| {
        status.upstreams.iter().filter(|member| member.state == "serving").count() == 3
    };
    deployment.wait_status("three upstreams", joined).await.expect("three upstreams");
    wait_keys(&deployment).await;
    (deployment, links)
}

/// Returns the address where the agent of `vm` takes announcements.
pub fn local(vm: &UpstreamVm) -> SocketAddr {
    vm.agent.program().and_then(Agent::announcement_address).expect("a running agent")
}
