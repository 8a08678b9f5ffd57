//! The command that explains where a request would go.

use super::{
    client::{ClientError, OperatorClient},
    options::RouteArgs,
    output::table,
};
use crate::{
    gateway::status::explain_route::report::{
        DataAges, EndpointRestriction, EndpointState, MatchedRoute, OwnedKey, RequestOutcome,
        RouteExplanation,
    },
    uri,
};
use serde::Serialize;
use std::net::SocketAddr;
use tokio::task::JoinSet;

/// What a daemon answered.
#[derive(Debug, Serialize)]
pub struct DaemonAnswer {
    /// Status address of the daemon.
    pub daemon: SocketAddr,
    /// The explanation; `None` if there is none.
    pub explanation: Option<RouteExplanation>,
    /// Why there is none.
    pub error: Option<String>,
}

/// Asks the first daemon that answers, or all of them.
///
/// # Errors
/// [`ClientError`] if no daemon gives an explanation.
pub async fn ask(
    client: &OperatorClient,
    args: &RouteArgs,
) -> Result<Vec<DaemonAnswer>, ClientError> {
    let path = path_of(args);
    if args.all {
        return ask_all(client, &path).await;
    }
    let mut failures = Vec::new();
    for &daemon in client.servers() {
        match client.at(daemon).get(&path).await {
            Ok(explanation) => return Ok(vec![answer(daemon, Ok(explanation))]),
            Err(ClientError::Unreachable(reason)) => failures.push(reason),
            Err(e) => return Err(e),
        }
    }
    Err(ClientError::Unreachable(failures.join("; ")))
}

async fn ask_all(client: &OperatorClient, path: &str) -> Result<Vec<DaemonAnswer>, ClientError> {
    let mut calls = JoinSet::new();
    for (i, &daemon) in client.servers().iter().enumerate() {
        let (client, path) = (client.at(daemon), path.to_owned());
        calls.spawn(async move { (i, daemon, client.get(&path).await) });
    }
    let mut results = calls.join_all().await;
    results.sort_by_key(|(i, ..)| *i);
    let is_rejected = |result: &Result<_, _>| matches!(result, Err(ClientError::Rejected(..)));
    if results.iter().all(|(_, _, result)| result.is_err()) {
        let rejected = results.iter().find(|(_, _, result)| is_rejected(result));
        let reasons = results
            .iter()
            .filter_map(|(_, _, result)| result.as_ref().err());
        let reasons: Vec<String> = reasons.map(ToString::to_string).collect();
        return Err(rejected
            .and_then(|(_, _, result)| result.as_ref().err().cloned())
            .unwrap_or_else(|| ClientError::Unreachable(reasons.join("; "))));
    }
    let answers = results.into_iter();
    Ok(answers
        .map(|(_, daemon, result)| answer(daemon, result))
        .collect())
}

fn answer(daemon: SocketAddr, result: Result<RouteExplanation, ClientError>) -> DaemonAnswer {
    let error = result.as_ref().err().map(ToString::to_string);
    DaemonAnswer {
        daemon,
        explanation: result.ok(),
        error,
    }
}

fn path_of(args: &RouteArgs) -> String {
    let body_bytes = args.body_bytes.to_string();
    let deadline = args.deadline_ms.map(|ms| ms.to_string());
    let mut query = vec![
        ("host", &*args.host),
        ("path", &*args.path),
        ("method", &*args.method),
        ("body_bytes", &*body_bytes),
    ];
    let optional = [
        ("key", args.key.as_deref()),
        ("deadline_ms", deadline.as_deref()),
        ("service", args.service.as_deref()),
    ];
    let given = optional.into_iter();
    query.extend(given.filter_map(|(name, value)| Some((name, value?))));
    uri::with_query("/explain-route", &query)
}

/// The answers as text.
pub fn text(answers: &[DaemonAnswer]) -> String {
    let texts: Vec<String> = answers.iter().map(answer_text).collect();
    texts.join("\n\n")
}

fn answer_text(answer: &DaemonAnswer) -> String {
    let daemon = answer.daemon;
    let Some(explanation) = &answer.explanation else {
        let error = answer.error.as_deref().unwrap_or("no explanation");
        return format!("{daemon}: {error}");
    };
    let mut lines = vec![format!("{daemon}: {}", outcome_text(explanation))];
    let details = [
        Some(data_text(&explanation.data, explanation.daemons)),
        explanation.route.as_ref().map(route_text),
        request_text(explanation),
        explanation.owner.as_ref().map(owner_text),
        queue_text(explanation),
    ];
    lines.extend(
        details
            .into_iter()
            .flatten()
            .map(|line| format!("  {line}")),
    );
    if !explanation.endpoints.is_empty() {
        lines.push(endpoints_text(&explanation.endpoints));
    }
    for (exclusion, count) in &explanation.endpoints_omitted {
        lines.push(format!("  {count} more endpoints not listed: {exclusion}"));
    }
    lines.join("\n")
}

fn outcome_text(explanation: &RouteExplanation) -> String {
    match &explanation.outcome {
        RequestOutcome::Send { endpoint } => {
            let mut endpoints = explanation.endpoints.iter();
            let chosen = endpoints.find(|state| state.endpoint == *endpoint);
            let probability = chosen.map_or(1.0, |state| state.probability);
            format!("sent to {endpoint} at once (probability {probability:.2})")
        }
        RequestOutcome::Queue { reason, at_most_ms } => {
            format!("queued for at most {at_most_ms} ms, then rejected as {reason}")
        }
        RequestOutcome::Reject {
            reason,
            status,
            retry_after_ms,
        } => {
            let returns = match retry_after_ms {
                Some([earliest, latest]) if earliest == latest => {
                    format!("Retry-After {earliest} ms")
                }
                Some([earliest, latest]) => format!("Retry-After {earliest} to {latest} ms"),
                None => "no Retry-After".into(),
            };
            format!("rejected at once as {reason}, status {status}, {returns}")
        }
    }
}

fn data_text(data: &DataAges, daemons: usize) -> String {
    let cut_off = if data.is_cut_off { ", cut off" } else { "" };
    let reply = data.controller_reply_ms.map_or_else(
        || "none (this daemon is the controller, or has had no reply)".into(),
        |age| age_text(Some(age)),
    );
    let plural = if daemons == 1 { "" } else { "s" };
    format!(
        "data: configuration {} ({}), declarations ({}), endpoints ({}), controller's last reply {reply}, \
         {daemons} daemon{plural}{cut_off}",
        data.config_version,
        age_text(data.config_in_force_ms),
        age_text(data.declarations_ms),
        age_text(data.endpoints_ms),
    )
}

fn route_text(route: &MatchedRoute) -> String {
    let shares = route.shares.iter().map(|share| {
        let next = if share.is_next { " (next)" } else { "" };
        format!("{} {:.2}{next}", share.service, share.part)
    });
    let shares: Vec<String> = shares.collect();
    format!(
        "route: {} ({}{}), time-out {} ms, objective {} ms, priority {}, split {}",
        route.name,
        route.host,
        route.prefix,
        route.timeout_ms,
        route.latency_objective_ms,
        route.priority,
        shares.join(", ")
    )
}

fn request_text(explanation: &RouteExplanation) -> Option<String> {
    let cost = explanation.cost.as_ref()?;
    Some(format!(
        "request: {} ms left, work {:.0} ms (at least {:.0}), from {:.0} samples ({})",
        explanation.time_limit_ms,
        cost.mean_ms,
        cost.least_ms,
        cost.samples,
        age_text(cost.age_ms)
    ))
}

fn owner_text(owner: &OwnedKey) -> String {
    let registered = if owner.registered {
        ""
    } else {
        ", not registered"
    };
    let held_back = owner.held_back_ms.map_or_else(String::new, |ms| {
        format!(", held back for {ms} ms because the owner denied the key")
    });
    format!(
        "owner: {} of keys {} to {} under token {}{registered}{held_back}",
        owner.endpoint, owner.range.first, owner.range.last, owner.token
    )
}

fn queue_text(explanation: &RouteExplanation) -> Option<String> {
    let queue = explanation.queue.as_ref()?;
    let wait = queue
        .wait_ms
        .map_or_else(|| "unknown".into(), |ms| format!("{ms:.0} ms"));
    Some(format!(
        "queue: {} ahead with {:.1} times the mean work, estimated wait {wait}",
        queue.ahead, queue.work_ahead
    ))
}

fn endpoints_text(endpoints: &[EndpointState]) -> String {
    let header = [
        "  ENDPOINT",
        "ZONE",
        "PROB",
        "END",
        "WEIGHTED",
        "IN FLIGHT",
        "LOAD",
        "USED",
        "BECAUSE",
    ];
    table(header, endpoints.iter().map(endpoint_row))
}

fn endpoint_row(state: &EndpointState) -> [String; 9] {
    let load = state.load.as_ref().map_or_else(
        || "-".into(),
        |load| {
            format!(
                "{}+{}/{}, {} ms old",
                load.running, load.waiting, load.slots, load.age_ms
            )
        },
    );
    let used = match (&state.excluded, &state.obstacle) {
        (Some(exclusion), _) => format!("no: {exclusion}"),
        (None, Some(obstacle)) => format!("no room: {obstacle}"),
        (None, None) => "yes".into(),
    };
    let because: Vec<String> = state.restrictions.iter().map(restriction_text).collect();
    [
        format!("  {}", state.endpoint),
        format!(
            "{}{}",
            state.zone,
            if state.is_local { " (own)" } else { "" }
        ),
        format!("{:.2}", state.probability),
        format!("{:.0} ms", state.estimated_end_ms),
        format!("{:.0} ms", state.weighted_end_ms),
        format!("{}/{:.1}", state.in_flight, state.limit),
        load,
        used,
        because.join("; "),
    ]
}

fn restriction_text(restriction: &EndpointRestriction) -> String {
    let mut text = format!("{} ({}", restriction.kind, restriction.source);
    if let Some(ms) = restriction.age_ms {
        text += &format!(", {ms} ms old");
    }
    if let Some(ms) = restriction.left_ms {
        text += &format!(", {ms} ms left");
    }
    if let Some(ms) = restriction.interval_ms {
        text += &format!(", one in {ms} ms");
    }
    text + ")"
}

fn age_text(ms: Option<u64>) -> String {
    ms.map_or_else(|| "age unknown".into(), |ms| format!("{ms} ms old"))
}
