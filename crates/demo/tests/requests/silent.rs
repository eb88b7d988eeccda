use std::time::Instant;

use crate::caller::{Call, executions, wait_until};
use crate::forwarder::start_with_forwarders;

/// When, and how often, the connections to all agents become silent.
#[derive(Clone, Copy, Debug)]
enum SilenceTime {
    BeforeRequest,
    DuringRun,
    TwiceDuringRun,
}

/// Guards against a lost answer or a second execution when all open connections to the agents
/// become silent and stay silent, while new connections work.
#[tokio::test(flavor = "multi_thread")]
async fn answer_over_new_connection() {
    let (deployment, forwarders) = start_with_forwarders().await;
    let cases = [
        (SilenceTime::BeforeRequest, "/slow", 5),
        (SilenceTime::DuringRun, "/slow", 300),
        (SilenceTime::DuringRun, "/slow", 4000),
        (SilenceTime::TwiceDuringRun, "/slow", 3500),
        (SilenceTime::BeforeRequest, "/check", 5),
        (SilenceTime::DuringRun, "/check", 300),
    ];
    let silence_all_agents = || {
        forwarders
            .iter()
            .map(|agent_forwarders| agent_forwarders.control.silence_open())
            .sum::<usize>()
    };
    for (number, (silence_time, path, service_ms)) in cases.into_iter().enumerate() {
        let key = format!("silent-{number}");
        let call = Call::new(path).with_key(&key).with_service_time(service_ms);
        let entry = deployment.entries[number % 2].callers;
        if let SilenceTime::BeforeRequest = silence_time {
            // Opens connections to all agents, so that there are connections to make silent.
            let warm_up = Call::new("/check").with_service_time(50);
            futures::future::join_all((0..12).map(|_| warm_up.send(entry))).await;
            assert!(silence_all_agents() > 0, "no connection was open");
        }
        let mut silenced_at = Instant::now();
        let reply_task = tokio::spawn(async move { call.send(entry).await });
        wait_until("the run of the request", || {
            executions(&deployment, &key) > 0 || reply_task.is_finished()
        })
        .await;
        if let SilenceTime::DuringRun | SilenceTime::TwiceDuringRun = silence_time {
            silenced_at = Instant::now();
            assert!(silence_all_agents() > 0, "no connection was open");
        }
        if let SilenceTime::TwiceDuringRun = silence_time {
            wait_until("a new connection", || silence_all_agents() > 0).await;
        }
        let reply = reply_task.await.expect("a reply");
        println!("{silence_time:?} {path} service {service_ms} ms: {:?}", silenced_at.elapsed());
        let body = format!("POST {path} {key} 1\ncontent");
        assert_eq!((reply.status, reply.body), (200, body), "{silence_time:?} {path} {service_ms}");
        assert_eq!(executions(&deployment, &key), 1);
    }
}
