use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;
use skylarkpulley_demo::Deployment;

use crate::caller::{Call, Reply, spec, start, wait_until};
use crate::forwarder::{Links, local, start_linked};

/// How an upstream leaves.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Announced,
    AnnouncementsLost,
}

async fn leave(deployment: &Deployment, links: &[Links], index: usize, how: Leave) {
    match how {
        Leave::Announced => deployment.upstreams[index].upstream.leave(),
        Leave::AnnouncementsLost => links[index].announce.cut(),
    }
}

/// Guards against new work for an upstream that leaves, at any entry, and against requests that
/// fail because of it. A late announcement of the same or an earlier run must change nothing.
#[tokio::test(flavor = "multi_thread")]
async fn upstream_left() {
    let (deployment, links) = start_linked().await;
    for (index, how) in [Leave::Announced, Leave::AnnouncementsLost].into_iter().enumerate() {
        let traffic = Traffic::start(&deployment, 4);
        let upstream = &deployment.upstreams[index].upstream;
        let runs = upstream.runs();
        wait_until("traffic", || upstream.runs() > runs).await;
        let since = Instant::now();
        leave(&deployment, &links, index, how).await;
        let (mut last, mut seen) = (since, upstream.runs());
        wait_until("the end of new work", || {
            if upstream.runs() > seen {
                (last, seen) = (Instant::now(), upstream.runs());
            }
            last.elapsed() > Duration::from_secs(1) && since.elapsed() > Duration::from_secs(2)
        })
        .await;
        println!("{how:?}: last new work after {:?}", last - since);
        if let Leave::Announced = how {
            for incarnation in [0, 1] {
                late_announcement(&deployment, index, incarnation).await;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        assert_eq!(upstream.runs(), seen, "{how:?}");
        let answered = traffic.end().await;
        println!("{how:?}: {answered} requests answered");
    }
}

async fn late_announcement(deployment: &Deployment, index: usize, incarnation: u64) {
    let vm = &deployment.upstreams[index];
    let body = json!({
        "address": vm.upstream.server().address(), "state": "serving", "incarnation": incarnation,
    });
    let url = format!("http://{}/announce", local(vm));
    // The status does not matter: what counts is that no work follows.
    let _ = reqwest::Client::new().post(url).json(&body).send().await;
}

/// Guards against a request that is cut off by a graceful shutdown of an upstream, an agent or an
/// entry.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_under_traffic() {
    let mut deployment = start(spec().with_upstreams(4)).await;
    let traffic = Traffic::start(&deployment, 12);
    tokio::time::sleep(Duration::from_millis(300)).await;

    let since = Instant::now();
    deployment.upstreams[0].upstream.stop().await;
    println!("upstream stopped after {:?}", since.elapsed());

    let since = Instant::now();
    deployment.upstreams[1].agent.stop(|agent| agent.shut_down()).await;
    println!("agent stopped after {:?}", since.elapsed());
    tokio::time::sleep(Duration::from_millis(500)).await;

    let since = Instant::now();
    let entry = deployment.entries.remove(0);
    let (admin, mut vm) = (entry.admin, entry.vm);
    let withdrawn = Arc::clone(&traffic.withdrawn);
    let balancer = tokio::spawn(async move {
        let url = format!("http://{admin}/readyz");
        while reqwest::get(&url).await.is_ok_and(|reply| reply.status().is_success()) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        withdrawn.store(true, Ordering::SeqCst);
    });
    vm.stop(|entry| entry.shut_down()).await;
    println!("entry stopped after {:?}", since.elapsed());
    balancer.await.expect("the balancer saw the entry leave");
    tokio::time::sleep(Duration::from_millis(300)).await;
    println!("{} requests answered", traffic.end().await);
}

/// Callers that send one request after the other, in turn with and without a key, over connections
/// of their own. They leave the first entry when it is withdrawn, as the balancer would.
struct Traffic {
    callers: Vec<tokio::task::JoinHandle<Vec<Reply>>>,
    stop: Arc<AtomicBool>,
    withdrawn: Arc<AtomicBool>,
}

impl Traffic {
    fn start(deployment: &Deployment, callers: usize) -> Self {
        let flag = || Arc::new(AtomicBool::new(false));
        let (stop, withdrawn) = (flag(), flag());
        let entries: Vec<_> = deployment.entries.iter().map(|entry| entry.callers).collect();
        let callers = (0..callers).map(|caller| {
            let (stop, withdrawn) = (Arc::clone(&stop), Arc::clone(&withdrawn));
            let entries = entries.clone();
            tokio::spawn(async move {
                let mut replies = Vec::new();
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        break;
                    }
                    let turn = usize::from(withdrawn.load(Ordering::SeqCst)).max(number % 2);
                    let path = if number % 4 < 2 { "/check" } else { "/slow" };
                    let key = format!("traffic-{caller}-{number}");
                    let call = Call::new(path).with_key(&key).with_service(30);
                    replies.push(call.send(entries[turn]).await);
                }
                replies
            })
        });
        Self { callers: callers.collect(), stop, withdrawn }
    }

    /// Ends the traffic, asserts that every request was answered and returns their number.
    async fn end(self) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        let mut answered = 0;
        for caller in self.callers {
            for reply in caller.await.expect("a caller") {
                assert_eq!((reply.status, reply.outcome.as_str()), (200, "answered"), "{reply:?}");
                answered += 1;
            }
        }
        answered
    }
}
