use std::time::Instant;

use crate::caller::{Call, executions, wait_until};
use crate::forwarder::start_linked;

/// When the connections to all agents go silent, and how often.
#[derive(Clone, Copy, Debug)]
enum Moment {
    Before,
    Running,
    RunningTwice,
}

/// Guards against an answer that is lost, or a second run, when a connection goes silent for good
/// while new ones work.
#[tokio::test(flavor = "multi_thread")]
async fn answer_over_new_connection() {
    let (deployment, links) = start_linked().await;
    let rows = [
        (Moment::Before, "/slow", 5),
        (Moment::Running, "/slow", 300),
        (Moment::Running, "/slow", 4000),
        (Moment::RunningTwice, "/slow", 3500),
        (Moment::Before, "/check", 5),
        (Moment::Running, "/check", 300),
    ];
    let silence = || links.iter().map(|link| link.control.silence()).sum::<usize>();
    for (number, (moment, path, service)) in rows.into_iter().enumerate() {
        let key = format!("silent-{number}");
        let call = Call::new(path).with_key(&key).with_service(service);
        let entry = deployment.entries[number % 2].callers;
        if let Moment::Before = moment {
            // Connections to all agents are open before they go silent.
            let warm = Call::new("/check").with_service(50);
            futures::future::join_all((0..12).map(|_| warm.send(entry))).await;
            assert!(silence() > 0, "no connection was open");
        }
        let mut since = Instant::now();
        let sent = tokio::spawn(async move { call.send(entry).await });
        wait_until("the run", || executions(&deployment, &key) > 0 || sent.is_finished()).await;
        if let Moment::Running | Moment::RunningTwice = moment {
            since = Instant::now();
            assert!(silence() > 0, "no connection was open");
        }
        if let Moment::RunningTwice = moment {
            wait_until("a new connection", || silence() > 0).await;
        }
        let reply = sent.await.expect("a reply");
        println!("{moment:?} {path} service {service} ms: {:?}", since.elapsed());
        let body = format!("POST {path} {key} 1\ncontent");
        assert_eq!((reply.status, reply.body), (200, body), "{moment:?} {path} {service}");
        assert_eq!(executions(&deployment, &key), 1);
    }
}
