use skylarkpulley_demo::Deployment;
use skylarkpulley_proto::{AgentClients, PROTOCOL_VERSION, Secret, v1};

use crate::caller::{Call, spec, start, wait_until};

/// Sends attempts to an agent as an entry does.
struct AttemptSender {
    clients: AgentClients,
    control: String,
    incarnation: u64,
}

impl AttemptSender {
    fn new(deployment: &Deployment) -> Self {
        let vm = &deployment.upstreams[0];
        let agent = vm.agent.program().expect("an agent");
        let secret = Secret::new(&vm.settings.secret).expect("a secret");
        Self {
            clients: AgentClients::new(secret),
            control: agent.control().to_string(),
            incarnation: agent.id().incarnation,
        }
    }

    async fn run(&self, attempt: &str, body: Vec<u8>) -> v1::RunReply {
        let request = v1::RunRequest {
            protocol: PROTOCOL_VERSION,
            attempt: attempt.to_owned(),
            incarnation: self.incarnation,
            method: "POST".to_owned(),
            path: "/slow".to_owned(),
            headers: Vec::new(),
            body,
            budget_ms: 20_000,
            pool: "balance".to_owned(),
            idempotent: false,
        };
        let mut client = self.clients.client(&self.control).expect("an address");
        client.run(request).await.expect("a reply").into_inner()
    }
}

/// Guards against the execution of a refused attempt when a copy of it arrives later over another
/// connection: the caller was told that the attempt was not run.
#[tokio::test(flavor = "multi_thread")]
async fn attempt_refused_stays_refused() {
    let deployment = start(spec().with_upstreams(2)).await;
    let sender = AttemptSender::new(&deployment);
    let upstream = &deployment.upstreams[0].upstream;
    let entry = deployment.entries[0].callers;
    let calls = (0..32).map(|_| {
        let call = Call::new("/check").with_service_time(1000);
        tokio::spawn(async move { call.send(entry).await })
    });
    let calls: Vec<_> = calls.collect();
    wait_until("eight running requests", || upstream.active() == 8).await;
    let first = sender.run("late", Vec::new()).await;
    assert_eq!(first.refusal(), v1::Refusal::Full, "{first:?}");
    for call in calls {
        call.await.expect("a reply");
    }
    let runs = upstream.runs();
    assert_eq!(sender.run("late", Vec::new()).await, first);
    assert_eq!(upstream.runs(), runs);
    assert_eq!(sender.run("other", Vec::new()).await.outcome(), v1::Outcome::Answered);
}

/// Guards against a second execution of an attempt whose answer the agent dropped to save memory.
#[tokio::test(flavor = "multi_thread")]
async fn attempt_kept_without_answer() {
    let deployment = start(spec().with_upstreams(2)).await;
    let sender = AttemptSender::new(&deployment);
    let body = vec![b'x'; 3 << 20];
    for number in 0..8 {
        let reply = sender.run(&format!("large-{number}"), body.clone()).await;
        assert_eq!(reply.outcome(), v1::Outcome::Answered, "{}", reply.reason);
    }
    let runs = deployment.upstreams[0].upstream.runs();
    let first = sender.run("large-0", body.clone()).await;
    let last = sender.run("large-7", body).await;
    assert_eq!(first.outcome(), v1::Outcome::Unknown);
    assert_eq!(last.outcome(), v1::Outcome::Answered);
    assert_eq!(deployment.upstreams[0].upstream.runs(), runs);
}
