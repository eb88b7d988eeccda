use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use poem::http::StatusCode;
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, IntoResponse, Response, Route, get, handler, post};
use skylarkpulley_admin::{
    ApplyReply, ApplyRequest, DrainReply, ErrorReply, ExplainLine, Explanation, SubmitReply,
    SubmitRequest,
};
use skylarkpulley_connections::{BodyLimit, ClientConnections, ServerSettings, serve};
use skylarkpulley_process::json_reply;
use skylarkpulley_proto::{MAX_MESSAGE_BYTES, v1};
use skylarkpulley_tables::PoolKind;
use tokio::net::TcpListener;

use crate::config_task::ConfigTask;
use crate::hub::Hub;
use crate::jobs::{Jobs, SubmitOutcome};
use crate::status::StatusTask;

/// Time limit of a call to one agent.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Context of the handlers of the operators' interface.
#[derive(Clone)]
pub struct Admin {
    /// Current tables and their edits.
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
pub async fn serve_admin(listener: TcpListener, admin: Admin, connections: Arc<ClientConnections>) {
    let app = Route::new()
        .at("/livez", get(livez))
        .at("/readyz", get(readyz))
        .at("/v1/drain/:member", post(drain))
        .at("/v1/explain/:id", get(explain))
        .at("/v1/jobs", post(submit))
        .at("/v1/jobs/:id", get(job).delete(cancel))
        .at("/v1/status", get(status))
        .at("/v1/tables", get(show_tables).put(apply))
        .data(admin);
    // Tables and jobs are passed to other processes in messages of at most this size.
    let app = BodyLimit::new(app, MAX_MESSAGE_BYTES);
    let forever = std::future::pending();
    let settings = ServerSettings::new().with_check_places();
    if let Err(error) = serve(listener, app, connections, settings, forever).await {
        tracing::error!(%error, "the operators' interface stopped: its listener failed");
    }
}

fn error(code: StatusCode, text: &str) -> Response {
    json_reply(code, &ErrorReply { error: text.to_owned() })
}

#[handler]
fn livez() -> &'static str {
    "live"
}

#[handler]
fn readyz(Data(admin): Data<&Admin>) -> Response {
    let refuse = |text: &str| text.to_owned().with_status(StatusCode::SERVICE_UNAVAILABLE);
    if !admin.ready.load(Ordering::Acquire) {
        return refuse("the entry is shutting down").into_response();
    }
    let Some(tables) = admin.hub.config.borrow().tables() else {
        return refuse("the entry has not received the tables yet").into_response();
    };
    let upstream =
        |name: &str| tables.pool(name).is_some_and(|pool| pool.kind == PoolKind::Upstream);
    let needs_key_ranges =
        tables.routes.iter().any(|route| !route.idempotent && upstream(&route.pool));
    if needs_key_ranges && admin.hub.ranges.borrow().version() == 0 {
        return refuse("the entry has not received the key ranges yet").into_response();
    }
    "ready".into_response()
}

#[handler]
async fn status(Data(admin): Data<&Admin>) -> Response {
    json_reply(StatusCode::OK, &admin.status.status().await)
}

#[handler]
fn show_tables(Data(admin): Data<&Admin>) -> Response {
    json_reply(StatusCode::OK, &admin.hub.config.borrow().view())
}

#[handler]
async fn apply(Data(admin): Data<&Admin>, Json(request): Json<ApplyRequest>) -> Response {
    match admin.config.apply(request).await {
        Ok(accepted @ ApplyReply::Accepted { .. }) => json_reply(StatusCode::OK, &accepted),
        Ok(rejected @ ApplyReply::Rejected { .. }) => {
            json_reply(StatusCode::UNPROCESSABLE_ENTITY, &rejected)
        }
        Ok(conflict @ ApplyReply::Conflict { .. }) => json_reply(StatusCode::CONFLICT, &conflict),
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
            json_reply(StatusCode::OK, &accepted)
        }
        SubmitOutcome::Decided(refused @ SubmitReply::Refused { .. }) => {
            json_reply(StatusCode::UNPROCESSABLE_ENTITY, &refused)
        }
        SubmitOutcome::NotRecorded => error(
            StatusCode::SERVICE_UNAVAILABLE,
            "job not accepted: it could be recorded neither in the store nor at another entry",
        ),
        SubmitOutcome::Invalid(reason) => error(StatusCode::BAD_REQUEST, &reason),
    }
}

#[handler]
async fn job(Data(admin): Data<&Admin>, Path(id): Path<String>) -> Response {
    match admin.jobs.get(&id).await {
        Some(view) => json_reply(StatusCode::OK, &view),
        None => error(StatusCode::NOT_FOUND, &format!("job \"{id}\" does not exist")),
    }
}

#[handler]
async fn cancel(Data(admin): Data<&Admin>, Path(id): Path<String>) -> Response {
    match admin.jobs.cancel(&id).await {
        Some(view) => json_reply(StatusCode::OK, &view),
        None => error(StatusCode::NOT_FOUND, &format!("job \"{id}\" does not exist")),
    }
}

#[handler]
async fn drain(Data(admin): Data<&Admin>, Path(member): Path<String>) -> Response {
    let agents = admin.status.controls().await;
    let Some((_, control)) = agents.into_iter().find(|(name, _)| *name == member) else {
        return error(StatusCode::NOT_FOUND, &format!("no agent has the name \"{member}\""));
    };
    // The placer moves work away from a drained worker. The drain call below makes the agent refuse
    // new work, even if no placer knows the worker.
    admin.jobs.drain(&member).await;
    let Some(mut client) = admin.hub.clients.client(&control) else {
        return error(
            StatusCode::BAD_GATEWAY,
            "the agent was not drained: its control address is not valid",
        );
    };
    let call = client.drain(v1::DrainRequest {});
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(drained)) => {
            let remaining = drained.into_inner().remaining;
            json_reply(StatusCode::OK, &DrainReply { member, remaining })
        }
        Ok(Err(failure)) => error(StatusCode::BAD_GATEWAY, failure.message()),
        Err(_) => error(StatusCode::BAD_GATEWAY, "the agent did not answer the drain call in time"),
    }
}

#[handler]
async fn explain(Data(admin): Data<&Admin>, Path(id): Path<String>) -> Response {
    let hub = &admin.hub;
    let own_lines =
        hub.decisions.explain(&id, hub.clock.now()).into_iter().map(|(age, decision)| {
            let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            let (code, event) = (decision.event.code(), decision.event.name());
            ExplainLine::new(&hub.name, age, u32::from(code), event, &decision.detail)
        });
    let mut lines: Vec<ExplainLine> = own_lines.collect();
    let agents = admin.status.controls().await;
    let calls = agents.into_iter().map(|(name, control)| explain_at_agent(hub, name, control, &id));
    lines.extend(futures::future::join_all(calls).await.into_iter().flatten());
    if lines.is_empty() {
        return error(StatusCode::NOT_FOUND, &format!("no process has a record of \"{id}\""));
    }
    lines.sort_by_key(|line| std::cmp::Reverse(line.age_ms));
    json_reply(StatusCode::OK, &Explanation { id, lines })
}

async fn explain_at_agent(
    hub: &Hub,
    process: String,
    control: String,
    id: &str,
) -> Vec<ExplainLine> {
    let Some(mut client) = hub.clients.client(&control) else { return Vec::new() };
    let call = client.explain(v1::ExplainRequest { id: id.to_owned() });
    let Ok(Ok(reply)) = tokio::time::timeout(CALL_TIMEOUT, call).await else {
        return Vec::new();
    };
    let to_line = |line: v1::ExplainLine| {
        ExplainLine::new(&process, line.age_ms, line.code, &line.event, &line.detail)
    };
    reply.into_inner().lines.into_iter().map(to_line).collect()
}
