//! One exchange with an endpoint, and what it proves.

use super::{
    backend::{Backend, Load, Verdict},
    connection::Taken,
    platform::HeaderNames,
};
use crate::clock::Clock;
use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, header,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use std::{sync::Arc, time::Duration};
use strum::Display;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Largest body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// What is sent to an endpoint, the same at each attempt.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers of the caller, without those of one connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// The caller's id of the request.
    pub id: HeaderValue,
    /// Name of its route.
    pub route: Arc<str>,
}

/// Why a request surely did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRun {
    /// No connection was made, or it was found closed before a byte was written.
    NotSent,
    /// The endpoint was found leaving before a byte was written.
    Leaving,
    /// The endpoint had no room, or the deadline had passed in its queue.
    Shed,
    /// The endpoint does not own the key.
    NotOwner,
    /// Another endpoint has the address by now.
    OtherEndpoint,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MayHaveRun {
    /// The connection was lost.
    ConnectionLost,
    /// The answer belongs to another request, or lacks its signature.
    Mismatch,
    /// The answer broke off.
    Truncated,
}

/// What an exchange proved.
#[derive(Debug)]
pub enum Exchange {
    /// The endpoint's own complete answer.
    Answered(Response<Bytes>),
    /// The request did not run.
    NotRun(NotRun),
    /// The request may have run.
    MayHaveRun(MayHaveRun),
}

/// Sends `out` to `backend`, which has made room for it. Dropping the future closes the connection,
/// which cancels the request.
pub async fn send(
    backend: &Backend,
    out: &Outgoing,
    names: &HeaderNames,
    left: Duration,
    daemons: usize,
    clock: Clock,
) -> Exchange {
    let mut room = Room {
        backend,
        route: &out.route,
        daemons,
        clock,
        verdict: Verdict::Neutral,
        load: None,
    };
    let sent = clock.now();
    let result = exchange(&mut room, out, names, left).await;
    room.verdict = match &result {
        Exchange::Answered(answer) if answer.status().is_server_error() => Verdict::Failed,
        Exchange::Answered(_) => Verdict::Answered(clock.now().since(sent)),
        Exchange::NotRun(NotRun::Shed) => Verdict::Shed,
        Exchange::NotRun(NotRun::NotOwner | NotRun::Leaving) => Verdict::Neutral,
        Exchange::NotRun(NotRun::OtherEndpoint) => Verdict::Replaced,
        Exchange::NotRun(NotRun::NotSent) | Exchange::MayHaveRun(_) => Verdict::Lost,
    };
    result
}

/// Gives the room at the endpoint back when the exchange ends or is cancelled.
struct Room<'a> {
    backend: &'a Backend,
    route: &'a Arc<str>,
    daemons: usize,
    clock: Clock,
    verdict: Verdict,
    load: Option<Load>,
}

impl Drop for Room<'_> {
    fn drop(&mut self) {
        self.backend.give_back(
            self.verdict,
            self.load,
            self.route,
            self.daemons,
            self.clock.now(),
        );
    }
}

async fn exchange(
    room: &mut Room<'_>,
    out: &Outgoing,
    names: &HeaderNames,
    left: Duration,
) -> Exchange {
    let backend = room.backend;
    let started = tokio::time::Instant::now();
    // A kept connection may turn out closed; the request then goes out on a new one.
    let (mut sender, answer) = loop {
        let taken = match backend.pool.take() {
            Some(taken) => taken,
            None => match backend.pool.connect(left).await {
                Ok(taken) => taken,
                Err(_) => return Exchange::NotRun(NotRun::NotSent),
            },
        };
        let Taken { mut sender, idle } = taken;
        // Opening the connection took time.
        if !backend.is_open(room.clock.now()) {
            return Exchange::NotRun(NotRun::Leaving);
        }
        let left = left.saturating_sub(started.elapsed());
        let req = to_request(backend, out, names, left);
        let sent = tokio::time::Instant::now();
        match sender.try_send_request(req).await {
            Ok(answer) => break (sender, answer),
            // hyper hands the request back only if no byte of it was written.
            Err(e) if e.message().is_some() && idle.is_some() => {}
            Err(e) if e.message().is_some() => return Exchange::NotRun(NotRun::NotSent),
            Err(_) => {
                if let Some(idle) = idle.filter(|_| sent.elapsed() < RESET_WITHIN) {
                    backend.pool.lost_after(idle);
                }
                return Exchange::MayHaveRun(MayHaveRun::ConnectionLost);
            }
        }
    };
    room.load = load_of(answer.headers(), names);
    match read(answer, out, names).await {
        Ok(answer) => {
            if !closes(answer.headers()) && !sender.is_closed() {
                // The connection becomes ready when its task has seen the end of the answer.
                let ready = std::future::poll_fn(|cx| sender.poll_ready(cx));
                if tokio::time::timeout(READY_WITHIN, ready)
                    .await
                    .is_ok_and(|r| r.is_ok())
                {
                    let stated = idle_time_of(answer.headers());
                    backend.pool.keep(sender, stated, room.daemons);
                }
            }
            classify(answer, backend, names)
        }
        Err(reason) => Exchange::MayHaveRun(reason),
    }
}

/// Time in which a request on a connection that its endpoint has forgotten is reset.
const RESET_WITHIN: Duration = Duration::from_millis(100);
/// Time for a connection to become ready after its exchange.
const READY_WITHIN: Duration = Duration::from_millis(2);

fn to_request(
    backend: &Backend,
    out: &Outgoing,
    names: &HeaderNames,
    left: Duration,
) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(out.body.clone()));
    *req.method_mut() = out.method.clone();
    *req.uri_mut() = out.uri.clone();
    *req.headers_mut() = out.headers.clone();
    let headers = req.headers_mut();
    headers.insert(&names.request_id, out.id.clone());
    headers.insert(&names.deadline, HeaderValue::from(left.as_millis() as u64));
    if let Ok(name) = HeaderValue::from_str(&backend.entry.run.name) {
        headers.insert(&names.expected_endpoint, name);
    }
    req
}

/// Reads the whole answer and checks that it belongs to the request.
async fn read(
    answer: Response<Incoming>,
    out: &Outgoing,
    names: &HeaderNames,
) -> Result<Response<Bytes>, MayHaveRun> {
    let (parts, body) = answer.into_parts();
    let mut echoes = parts.headers.get_all(&names.request_id).iter();
    let signed = parts.headers.contains_key(&names.signature);
    match (echoes.next(), echoes.next()) {
        (Some(echo), None) if *echo == out.id => {}
        (None, None) if !signed && !parts.status.is_success() => {}
        _ => return Err(MayHaveRun::Mismatch),
    }
    let encoded = parts.headers.contains_key(header::CONTENT_ENCODING);
    if parts.status.is_success() && (!signed || encoded) {
        return Err(MayHaveRun::Mismatch);
    }
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|_| MayHaveRun::Truncated)?.to_bytes();
    Ok(Response::from_parts(parts, body))
}

fn classify(answer: Response<Bytes>, backend: &Backend, names: &HeaderNames) -> Exchange {
    let answering = answer.headers().get(&names.endpoint);
    let is_other = answering.is_some_and(|name| name != &*backend.entry.run.name);
    let not_executed = answer.headers().contains_key(&names.not_executed);
    match answer.status() {
        StatusCode::MISDIRECTED_REQUEST if is_other => Exchange::NotRun(NotRun::OtherEndpoint),
        StatusCode::MISDIRECTED_REQUEST => Exchange::NotRun(NotRun::NotOwner),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS if not_executed => {
            Exchange::NotRun(NotRun::Shed)
        }
        _ => Exchange::Answered(answer),
    }
}

fn closes(headers: &HeaderMap) -> bool {
    headers.get_all(header::CONNECTION).iter().any(|value| {
        let text = value.to_str().unwrap_or_default();
        text.split(',')
            .any(|token| token.trim().eq_ignore_ascii_case("close"))
    })
}

/// The idle time after which an endpoint closes the connection, if it states one.
fn idle_time_of(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(&KEEP_ALIVE)?.to_str().ok()?;
    let mut parameters = text.split(',').filter_map(|part| part.split_once('='));
    let timeout = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    let seconds = timeout?.1.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}

/// The load that an endpoint reports; `None` if it reports none that can be read.
fn load_of(headers: &HeaderMap, names: &HeaderNames) -> Option<Load> {
    let text = headers.get(&names.load)?.to_str().ok()?;
    let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>());
    let mut next = || numbers.next()?.ok();
    let load = Load {
        running: next()?,
        waiting: next()?,
        slots: next()?,
    };
    (load.slots > 0).then_some(load)
}
