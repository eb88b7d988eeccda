use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, IntoResponse, Response, Route, Server, get, handler, post};
use serde::Serialize;
use skylarkpulley_admin::{
    ApplyReply, ApplyRequest, DrainReply, ErrorReply, ExplainLine, Explanation, SubmitReply,
    SubmitRequest,
};
use skylarkpulley_proto::v1;
use skylarkpulley_tables::PoolKind;
use tokio::net::TcpListener;

use crate::config_task::ConfigTask;
use crate::hub::Hub;
use crate::jobs::{Jobs, SubmitOutcome};
use crate::status::StatusTask;

/// Time for a call to one agent.
const CALL_LIMIT: Duration = Duration::from_millis(800);

/// What the operators' interface reaches.
#[derive(Clone)]
pub struct Admin {
    /// Tables in force and edits.
    pub config: ConfigTask,
    /// Shared state of the entry.
    pub hub: Arc<Hub>,
    /// Jobs.
    pub jobs: Jobs,
    /// False while the entry shuts down.
    pub ready: Arc<AtomicBool>,
    /// Status of the system.
    pub status: StatusTask,
}

/// Serves the operators' interface until the task is dropped.
pub async fn serve_admin(listener: TcpListener, admin: Admin) {
    let app = Route::new()
        .at("/livez", get(live))
        .at("/readyz", get(ready))
        .at("/v1/drain/:member", post(drain))
        .at("/v1/explain/:id", get(explain))
        .at("/v1/jobs", post(submit))
        .at("/v1/jobs/:id", get(job).delete(cancel))
        .at("/v1/status", get(status))
        .at("/v1/tables", get(show_tables).put(apply))
        .data(admin);
    let Ok(acceptor) = TcpAcceptor::from_tokio(listener) else { return };
    if let Err(error) = Server::new_with_acceptor(acceptor).run(app).await {
        tracing::error!(%error, "the operators' listener failed");
    }
}

fn reply(code: StatusCode, body: &impl Serialize) -> Response {
    match serde_json::to_vec(body) {
        Ok(json) => Response::builder().status(code).content_type("application/json").body(json),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

fn error(code: StatusCode, text: &str) -> Response {
    reply(code, &ErrorReply { error: text.to_owned() })
}

#[handler]
fn live() -> &'static str {
    "live"
}

#[handler]
fn ready(Data(admin): Data<&Admin>) -> Response {
    let refuse = |text: &str| text.to_owned().with_status(StatusCode::SERVICE_UNAVAILABLE);
    if !admin.ready.load(Ordering::Acquire) {
        return refuse("the entry shuts down").into_response();
    }
    let Some(tables) = admin.hub.config.borrow().tables() else {
        return refuse("the entry has no tables yet").into_response();
    };
    let upstream =
        |name: &str| tables.pool(name).is_some_and(|pool| pool.kind == PoolKind::Upstream);
    let keyed = tables.routes.iter().any(|route| !route.idempotent && upstream(&route.pool));
    if keyed && admin.hub.ranges.borrow().version() == 0 {
        return refuse("the entry knows no key ranges yet").into_response();
    }
    "ready".into_response()
}

#[handler]
async fn status(Data(admin): Data<&Admin>) -> Response {
    reply(StatusCode::OK, &admin.status.status().await)
}

#[handler]
fn show_tables(Data(admin): Data<&Admin>) -> Response {
    reply(StatusCode::OK, &admin.hub.config.borrow().view())
}

#[handler]
async fn apply(Data(admin): Data<&Admin>, Json(request): Json<ApplyRequest>) -> Response {
    match admin.config.apply(request).await {
        Ok(accepted @ ApplyReply::Accepted { .. }) => reply(StatusCode::OK, &accepted),
        Ok(rejected @ ApplyReply::Rejected { .. }) => {
            reply(StatusCode::UNPROCESSABLE_ENTITY, &rejected)
        }
        Ok(conflict @ ApplyReply::Conflict { .. }) => reply(StatusCode::CONFLICT, &conflict),
        Err(failure) if failure.may_have_applied => {
            error(StatusCode::GATEWAY_TIMEOUT, &failure.detail)
        }
        Err(failure) => error(StatusCode::SERVICE_UNAVAILABLE, &failure.detail),
    }
}

#[handler]
async fn submit(Data(admin): Data<&Admin>, Json(request): Json<SubmitRequest>) -> Response {
    let id = admin.hub.new_job_id();
    match admin.jobs.submit(&id, request).await {
        SubmitOutcome::Decided(accepted @ SubmitReply::Accepted { .. }) => {
            reply(StatusCode::OK, &accepted)
        }
        SubmitOutcome::Decided(refused @ SubmitReply::Refused { .. }) => {
            reply(StatusCode::UNPROCESSABLE_ENTITY, &refused)
        }
        SubmitOutcome::NotRecorded => error(
            StatusCode::SERVICE_UNAVAILABLE,
            "the job could be recorded neither in the store nor at another entry; it was not accepted",
        ),
        SubmitOutcome::Invalid(reason) => error(StatusCode::BAD_REQUEST, &reason),
    }
}

#[handler]
async fn job(Data(admin): Data<&Admin>, Path(id): Path<String>) -> Response {
    match admin.jobs.get(&id).await {
        Some(view) => reply(StatusCode::OK, &view),
        None => error(StatusCode::NOT_FOUND, &format!("no job \"{id}\"")),
    }
}

#[handler]
async fn cancel(Data(admin): Data<&Admin>, Path(id): Path<String>) -> Response {
    match admin.jobs.cancel(&id).await {
        Some(view) => reply(StatusCode::OK, &view),
        None => error(StatusCode::NOT_FOUND, &format!("no job \"{id}\"")),
    }
}

#[handler]
async fn drain(Data(admin): Data<&Admin>, Path(member): Path<String>) -> Response {
    let agents = admin.status.controls().await;
    let Some((_, control)) = agents.into_iter().find(|(name, _)| *name == member) else {
        return error(StatusCode::NOT_FOUND, &format!("no member \"{member}\""));
    };
    // The placer moves work away from a drained worker; the agent refuses new work in any case.
    admin.jobs.drain(&member).await;
    let Some(mut client) = admin.hub.clients.client(&control) else {
        return error(StatusCode::BAD_GATEWAY, "the agent's address is not valid");
    };
    let call = client.drain(v1::DrainRequest {});
    match tokio::time::timeout(CALL_LIMIT, call).await {
        Ok(Ok(drained)) => {
            let remaining = drained.into_inner().remaining;
            reply(StatusCode::OK, &DrainReply { member, remaining })
        }
        Ok(Err(failure)) => error(StatusCode::BAD_GATEWAY, failure.message()),
        Err(_) => error(StatusCode::BAD_GATEWAY, "the agent did not answer"),
    }
}

#[handler]
async fn explain(Data(admin): Data<&Admin>, Path(id): Path<String>) -> Response {
    let hub = &admin.hub;
    let own = hub.decisions.explain(&id, hub.clock.now()).into_iter().map(|(age, decision)| {
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let (code, event) = (decision.event.code(), decision.event.name());
        ExplainLine::new(&hub.name, age, u32::from(code), event, &decision.detail)
    });
    let mut lines: Vec<ExplainLine> = own.collect();
    let agents = admin.status.controls().await;
    let calls = agents.into_iter().map(|(name, control)| ask_agent(hub, name, control, &id));
    lines.extend(futures::future::join_all(calls).await.into_iter().flatten());
    if lines.is_empty() {
        return error(StatusCode::NOT_FOUND, &format!("no record of \"{id}\""));
    }
    lines.sort_by_key(|line| std::cmp::Reverse(line.age_ms));
    reply(StatusCode::OK, &Explanation { id, lines })
}

async fn ask_agent(hub: &Hub, process: String, control: String, id: &str) -> Vec<ExplainLine> {
    let Some(mut client) = hub.clients.client(&control) else { return Vec::new() };
    let call = client.explain(v1::ExplainRequest { id: id.to_owned() });
    let Ok(Ok(reply)) = tokio::time::timeout(CALL_LIMIT, call).await else {
        return Vec::new();
    };
    let line = |line: v1::ExplainLine| {
        ExplainLine::new(&process, line.age_ms, line.code, &line.event, &line.detail)
    };
    reply.into_inner().lines.into_iter().map(line).collect()
}
