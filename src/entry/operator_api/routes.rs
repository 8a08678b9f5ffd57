//! Request handlers of the operator port.

use super::{OperatorContext, views};
use crate::{
    audit,
    config::{ChangeOutcome, ChangeRequest, ConfigWriter},
    operator::report::{ErrorReport, Status},
};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use std::{convert::Infallible, sync::Arc};
use tokio::task::spawn_blocking;

/// Largest request body, in bytes; a declaration is far smaller.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Audit records returned if the query sets no `limit`.
const DEFAULT_LIMIT: u64 = 20;

type ApiResponse = Response<Full<Bytes>>;

pub(super) async fn handle(
    context: Arc<OperatorContext>,
    req: Request<Incoming>,
) -> Result<ApiResponse, Infallible> {
    let (parts, body) = req.into_parts();
    let path = parts.uri.path().trim_end_matches('/').to_owned();
    let query = Query(parts.uri.query().unwrap_or_default());
    Ok(match (&parts.method, path.as_str()) {
        (&Method::POST, "/config/changes") => change(&context, body).await,
        (&Method::GET, path) => get(&context, path, query).await,
        _ => error(
            StatusCode::METHOD_NOT_ALLOWED,
            "the path does not support this method",
        ),
    })
}

async fn get(context: &Arc<OperatorContext>, path: &str, query: Query<'_>) -> ApiResponse {
    let snapshot = context.directory.snapshot().load_full();
    match path {
        "/live" => json(StatusCode::OK, &serde_json::json!({ "live": true })),
        "/ready" => ready(context).await,
        "/metrics" => metrics(context).await,
        "/status" => status(context).await,
        "/config" => match views::config(&snapshot) {
            Some(report) => json(StatusCode::OK, &report),
            None => no_config(),
        },
        "/config/history" => history(context, query).await,
        "/presets" => match views::presets(&snapshot) {
            Some(report) => json(StatusCode::OK, &report),
            None => no_config(),
        },
        "/targets" => json(StatusCode::OK, &views::targets(&snapshot)),
        "/assignment" => json(StatusCode::OK, &views::assignment(&snapshot)),
        "/assignment/where" => {
            let Some(key) = query.get("key") else {
                return error(
                    StatusCode::BAD_REQUEST,
                    "the query parameter `key` is missing",
                );
            };
            match views::locate(&snapshot, &key, query.get("service").as_deref()) {
                Ok(report) => json(StatusCode::OK, &report),
                Err(reason) => error(StatusCode::NOT_FOUND, &reason),
            }
        }
        path => match path.strip_prefix("/explain/") {
            Some(reference) => explain(context, reference).await,
            None => error(StatusCode::NOT_FOUND, "path not found"),
        },
    }
}

async fn ready(context: &Arc<OperatorContext>) -> ApiResponse {
    let readiness = (context.readiness)();
    let status = if readiness.ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    json(status, &readiness)
}

async fn metrics(context: &Arc<OperatorContext>) -> ApiResponse {
    let text = Arc::clone(&context.metrics_text);
    let text = spawn_blocking(move || text()).await.unwrap_or_default();
    let mut response = Response::new(Full::new(text.into()));
    let plain = "text/plain; charset=utf-8".parse().expect("a valid header");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}

async fn status(context: &Arc<OperatorContext>) -> ApiResponse {
    let groups = Arc::clone(&context.groups_status);
    let groups = spawn_blocking(move || groups()).await.unwrap_or_default();
    let Some(members) = context.peers.members().await else {
        return error(
            StatusCode::SERVICE_UNAVAILABLE,
            "the daemon is busy or stopping",
        );
    };
    let config = context.directory.snapshot().load().config.clone();
    let status = Status {
        daemon: context.link.clone(),
        readiness: (context.readiness)(),
        config: config.map(|config| config.snapshot.head.clone()),
        members,
        groups,
    };
    json(StatusCode::OK, &status)
}

async fn history(context: &Arc<OperatorContext>, query: Query<'_>) -> ApiResponse {
    let number = |name| query.get(name).map(|text| text.parse::<u64>()).transpose();
    let (Ok(limit), Ok(before)) = (number("limit"), number("before")) else {
        return error(
            StatusCode::BAD_REQUEST,
            "the query parameters `limit` and `before` must be unsigned integers",
        );
    };
    let last = match before {
        Some(before) => before.saturating_sub(1),
        None => match views::latest_version(context).await {
            Ok(version) => version,
            Err(e) => return error(StatusCode::SERVICE_UNAVAILABLE, &e.to_string()),
        },
    };
    let limit = limit.unwrap_or(DEFAULT_LIMIT).clamp(1, audit::MAX_RECORDS);
    match audit::read(&context.store, (last + 1).saturating_sub(limit), last).await {
        Ok(records) => json(StatusCode::OK, &records),
        Err(e) => error(StatusCode::SERVICE_UNAVAILABLE, &e.to_string()),
    }
}

async fn explain(context: &Arc<OperatorContext>, reference: &str) -> ApiResponse {
    let explain = Arc::clone(&context.explain);
    let reference = decode(reference);
    match spawn_blocking(move || explain(&reference)).await {
        Ok(Ok(explanation)) => json(StatusCode::OK, &explanation),
        Ok(Err(reason)) => error(StatusCode::NOT_FOUND, &reason),
        Err(e) => error(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

async fn change(context: &Arc<OperatorContext>, body: Incoming) -> ApiResponse {
    let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => return error(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    let request: ChangeRequest = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(e) => return error(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    let writer = ConfigWriter::new(context.store.clone(), context.directory.clone());
    // A separate task completes the change even if the operator's connection is lost.
    let outcome = tokio::spawn(async move { writer.change(&request).await }).await;
    match outcome {
        Ok(outcome) => json(status_of(&outcome), &outcome),
        Err(e) => error(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

fn status_of(outcome: &ChangeOutcome) -> StatusCode {
    match outcome {
        ChangeOutcome::Committed { .. } | ChangeOutcome::Unchanged { .. } => StatusCode::OK,
        ChangeOutcome::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ChangeOutcome::Conflict { .. } => StatusCode::CONFLICT,
        ChangeOutcome::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        ChangeOutcome::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    }
}

fn no_config() -> ApiResponse {
    error(
        StatusCode::NOT_FOUND,
        "this daemon has no configuration yet",
    )
}

fn error(status: StatusCode, reason: &str) -> ApiResponse {
    json(
        status,
        &ErrorReport {
            error: reason.into(),
        },
    )
}

fn json(status: StatusCode, value: &impl Serialize) -> ApiResponse {
    let body = serde_json::to_vec(value).expect("reports are valid JSON");
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let json = "application/json".parse().expect("a valid header");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// The query string of a request.
#[derive(Clone, Copy)]
struct Query<'a>(&'a str);

impl Query<'_> {
    fn get(self, name: &str) -> Option<String> {
        let pairs = self.0.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
        Some(decode(value))
    }
}

/// Decodes percent-encoding. Malformed escapes stay as they are; invalid UTF-8 is replaced.
fn decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, after)) = rest.split_first() {
        let escaped = (first == b'%')
            .then(|| after.get(..2).and_then(|digits| hex::decode(digits).ok()))
            .flatten();
        match escaped {
            Some(byte) => {
                bytes.extend(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
