//! Tests of the client against a server that returns prepared replies.

mod fake;

use fake::{FakeServer, Reply};
use skylarkpulley_admin::{AdminError, ApplyReply, ApplyRequest, Client, EditRecord, TablesView};

fn edit() -> ApplyRequest {
    ApplyRequest {
        from_version: 4,
        edit_id: "edit-1".to_owned(),
        routes: "routes".to_owned(),
        pools: "pools".to_owned(),
    }
}

/// Returns the reply of a server whose version 5 was created by `edit_id`.
fn tables_reply(edit_id: &str) -> Reply {
    let edits = vec![EditRecord { edit_id: edit_id.to_owned(), version: 5 }];
    let view = TablesView { version: 5, edits, ..TablesView::default() };
    Reply::Body(200, serde_json::to_string(&view).expect("TablesView is serialisable"))
}

/// Applies an edit to a server that returns `replies`. Returns the result and the requests.
async fn apply(replies: Vec<Reply>) -> (Result<ApplyReply, AdminError>, Vec<String>) {
    let server = FakeServer::start(replies).await;
    let client = Client::new(&server.address).expect("a valid URL");
    (client.apply(&edit()).await, server.requests())
}

#[tokio::test]
async fn apply_answers() {
    for (status, body, expected) in [
        (200, r#"{"result":"accepted","version":5}"#, ApplyReply::Accepted { version: 5 }),
        (422, r#"{"result":"rejected","faults":[]}"#, ApplyReply::Rejected { faults: vec![] }),
        (
            409,
            r#"{"result":"conflict","version":6,"rows":[]}"#,
            ApplyReply::Conflict { version: 6, rows: vec![] },
        ),
    ] {
        let (answer, requests) = apply(vec![Reply::Body(status, body.to_owned())]).await;
        assert_eq!(answer, Ok(expected));
        assert_eq!(requests.len(), 1);
    }
}

/// Guards against an accepted edit that is reported as a lost answer, and against a second PUT of
/// the edit.
#[tokio::test]
async fn apply_lost_answer_resolved() {
    let bad_gateway = Reply::Body(502, "gateway".to_owned());
    for first in [Reply::Lost, bad_gateway] {
        let (answer, requests) = apply(vec![first, tables_reply("edit-1")]).await;
        assert_eq!(answer, Ok(ApplyReply::Accepted { version: 5 }));
        assert!(requests[0].starts_with("PUT /v1/tables {"));
        assert_eq!(requests[1..], ["GET /v1/tables"]);
    }
}

/// Guards against an edit that is reported as refused because the tables do not list it: it may
/// still take effect later.
#[tokio::test]
async fn apply_lost_answer_unresolved() {
    for second in [tables_reply("edit-2"), Reply::Lost] {
        let (answer, requests) = apply(vec![Reply::Lost, second]).await;
        assert!(matches!(answer, Err(AdminError::LostAnswer { .. })), "{answer:?}");
        assert_eq!(requests.len(), 2);
    }
}

#[tokio::test]
async fn apply_store_unavailable() {
    let reply = Reply::Body(503, r#"{"error":"the store does not answer"}"#.to_owned());
    let (answer, requests) = apply(vec![reply]).await;
    assert!(matches!(answer, Err(AdminError::ErrorStatus { status: 503, .. })), "{answer:?}");
    assert_eq!(requests.len(), 1);
}

#[tokio::test]
async fn send_unreachable() {
    let closed_listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = format!("http://{}", closed_listener.local_addr().expect("bound"));
    drop(closed_listener);
    let client = Client::new(&address).expect("a valid URL");
    let answer = client.cancel("job-1").await;
    assert!(matches!(answer, Err(AdminError::Unreachable { .. })), "{answer:?}");
}

#[tokio::test]
async fn explain_not_found() {
    let reply = Reply::Body(404, r#"{"error":"no record of a/b"}"#.to_owned());
    let server = FakeServer::start(vec![reply]).await;
    let answer = Client::new(&server.address).expect("a valid URL").explain("a/b?c").await;
    assert_eq!(answer, Err(AdminError::NotFound { detail: "no record of a/b".to_owned() }));
    assert_eq!(server.requests(), ["GET /v1/explain/a%2Fb%3Fc"]);
}

#[tokio::test]
async fn ready_refused() {
    let server = FakeServer::start(vec![Reply::Body(503, "no tables yet".to_owned())]).await;
    assert_eq!(Client::new(&server.address).expect("a valid URL").ready().await, Ok(false));
}

#[test]
fn new_bad_address() {
    for address in ["10.0.0.1:7400", "https://10.0.0.1", "unix:/x", ""] {
        assert!(
            matches!(Client::new(address), Err(AdminError::InvalidAddress { .. })),
            "{address}"
        );
    }
}
