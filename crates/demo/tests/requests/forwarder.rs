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

/// Forwards TCP connections. A connection that is made silent stays open, and its bytes are read
/// but not forwarded.
pub struct Forwarder {
    pub address: SocketAddr,
    silence_new: Arc<AtomicBool>,
    silent_flags: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
    target: watch::Sender<Option<SocketAddr>>,
}

impl Forwarder {
    pub async fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let target = watch::Sender::new(None);
        let (silence_new, silent_flags) =
            (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let forwarder = Self { address, silence_new, silent_flags, target };
        let (silence_new, silent_flags) =
            (Arc::clone(&forwarder.silence_new), Arc::clone(&forwarder.silent_flags));
        let targets = forwarder.target.subscribe();
        tokio::spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                let silent = Arc::new(AtomicBool::new(silence_new.load(Ordering::SeqCst)));
                silent_flags.lock().expect("flags").push(Arc::clone(&silent));
                tokio::spawn(forward(inbound, targets.clone(), silent));
            }
        });
        forwarder
    }

    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Makes the open connections silent for the rest of the test, while new ones work. Returns
    /// their number.
    pub fn silence_open(&self) -> usize {
        let mut silent_flags = self.silent_flags.lock().expect("flags");
        silent_flags.drain(..).map(|flag| flag.store(true, Ordering::SeqCst)).count()
    }

    /// Makes the open connections and all new ones silent.
    pub fn silence_all(&self) {
        self.silence_new.store(true, Ordering::SeqCst);
        self.silence_open();
    }
}

async fn forward(
    inbound: TcpStream,
    mut targets: watch::Receiver<Option<SocketAddr>>,
    silent: Arc<AtomicBool>,
) {
    let Ok(target) = targets.wait_for(Option::is_some).await.map(|target| *target) else { return };
    let Some(target) = target else { return };
    let Ok(outbound) = TcpStream::connect(target).await else { return };
    let (_, _) = (inbound.set_nodelay(true), outbound.set_nodelay(true));
    let ((inbound_read, inbound_write), (outbound_read, outbound_write)) =
        (inbound.into_split(), outbound.into_split());
    tokio::join!(
        copy_until_silent(inbound_read, outbound_write, Arc::clone(&silent)),
        copy_until_silent(outbound_read, inbound_write, silent)
    );
}

async fn copy_until_silent(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    silent: Arc<AtomicBool>,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        if silent.load(Ordering::SeqCst) {
            if read == 0 {
                // The end of this side must not be forwarded, so the other side stays open.
                std::future::pending::<()>().await;
            }
            continue;
        }
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

/// The forwarders of the connections to one agent.
pub struct AgentForwarders {
    /// Forwards from the upstream to its agent.
    pub announce: Forwarder,
    /// Forwards from entries and other agents to the agent.
    pub control: Forwarder,
}

/// Starts a deployment of three upstreams whose agents are reached through forwarders.
pub async fn start_with_forwarders() -> (Deployment, Vec<AgentForwarders>) {
    // An entry with a route that requires keys is not ready before agents serve the key ranges.
    let unkeyed = DeploymentSpec { routes: route("check", "true", "20s"), ..spec() };
    let mut deployment = Deployment::start(unkeyed.with_upstreams(0)).await.expect("a start");
    deployment.apply(1, &routes(), POOLS).await.expect("the keyed routes");
    let mut forwarders = Vec::new();
    for index in 0..3 {
        let agent_forwarders = AgentForwarders {
            announce: Forwarder::start().await,
            control: Forwarder::start().await,
        };
        let domain = format!("domain-{index}");
        let name = format!("balance-{index}");
        let settings = Settings {
            advertised: Some(agent_forwarders.control.address),
            ..deployment.agent_settings(&name, PoolKind::Upstream, "balance", &domain)
        };
        let agent = deployment.start_agent(&settings).await.expect("an agent");
        let program = agent.program().expect("a running agent");
        agent_forwarders.control.set_target(program.control());
        agent_forwarders
            .announce
            .set_target(program.announcement_address().expect("an announcement listener"));
        let upstream = UpstreamSettings::new(
            (Ipv4Addr::LOCALHOST, 0).into(),
            std::time::Duration::from_millis(5),
        )
        .with_agent(&format!("http://{}", agent_forwarders.announce.address), 1);
        let upstream = Upstream::start(upstream).await.expect("an upstream");
        deployment.upstreams.push(UpstreamVm { agent, settings, upstream });
        forwarders.push(agent_forwarders);
    }
    let joined = |status: &skylarkpulley_admin::Status| {
        status.upstreams.iter().filter(|member| member.state == "serving").count() == 3
    };
    deployment.wait_status("three upstreams", joined).await.expect("three upstreams");
    wait_keys(&deployment).await;
    (deployment, forwarders)
}

/// Returns the address at which the agent of `vm` receives announcements.
pub fn announcement_address(vm: &UpstreamVm) -> SocketAddr {
    vm.agent.program().and_then(Agent::announcement_address).expect("a running agent")
}
