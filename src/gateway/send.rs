//! A single exchange with an endpoint, and whether it shows that the request ran.

use super::{
    backend::{Backend, ExchangeOutcome, Load},
    body_memory::{BodyError, BodyMemory},
    connection::{MIN_RECEIVE_WINDOW, PooledConnection},
    cost::{RequestClass, WorkId},
    leaving, load_header, pause,
    platform::HeaderNames,
    rate_limit,
};
use crate::{
    clock::{Clock, Millis},
    response_head,
};
use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, header,
};
use http_body_util::Full;
use hyper::{body::Incoming, ext::on_informational};
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use strum::Display;
use tokio::sync::Notify;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Most informational responses (1xx) that an endpoint may send ahead of its response.
const MAX_INFORMATIONAL: usize = 16;

/// A buffered request, identical for every attempt except for the headers set by the router.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers of the caller, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body of the caller's request.
    pub body: Bytes,
    /// Request id that the caller chose.
    pub id: HeaderValue,
    /// Class of requests that cost about the same.
    pub class: RequestClass,
}

/// Why a request is known not to have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRun {
    /// No connection could be opened, or it was closed before a byte was written.
    NotSent,
    /// The endpoint was marked as leaving before a byte was written.
    Leaving,
    /// The endpoint asked for a pause before a byte was written.
    Paused,
    /// The endpoint rejected it and asked for a pause.
    PauseRequested,
    /// The endpoint shed it because it was overloaded, or the deadline passed in its queue.
    Shed,
    /// The endpoint does not own the key.
    NotOwner,
    /// The address now belongs to another endpoint.
    OtherEndpoint,
}

/// Why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MayHaveRun {
    /// The connection was lost before a response arrived.
    ConnectionLost,
    /// The response echoes another request id, or lacks its signature.
    Mismatch,
    /// The response is not valid in HTTP.
    Malformed,
    /// The response body was incomplete.
    Truncated,
    /// The response body exceeded the size limit or the memory that is left.
    TooLarge,
    /// The endpoint kept sending informational responses.
    Endless,
}

/// Result of an exchange.
#[derive(Debug)]
pub enum Exchange {
    /// A complete response of the endpoint itself.
    Answered(Response<Bytes>),
    /// The request did not run.
    NotRun(NotRun),
    /// The request may have run.
    MayHaveRun(MayHaveRun),
}

/// What sending a request needs besides the request and its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct SendContext<'a> {
    /// Header names that the platform defines.
    pub names: &'a HeaderNames,
    /// Memory for response bodies.
    pub body_memory: &'a BodyMemory,
    /// Number of daemons that share the endpoint.
    pub daemons: usize,
    /// Clock of the daemon.
    pub clock: Clock,
}

/// Sends `out` to `backend`, of which the caller holds a slot, within `left`. Dropping the future
/// closes the connection, which cancels the request.
pub async fn send(
    backend: &Backend,
    out: &OutgoingRequest,
    cx: SendContext<'_>,
    left: Duration,
) -> Exchange {
    let clock = cx.clock;
    let mut slot = SlotGuard {
        backend,
        class: &out.class,
        work: backend.start_work(out.class, clock.now()),
        daemons: cx.daemons,
        clock,
        outcome: ExchangeOutcome::Neutral,
        load: None,
        requested_pause: false,
    };
    let sent_at = clock.now();
    let result = exchange(&mut slot, out, cx, left).await;
    slot.outcome = match &result {
        // An endpoint that rests is neither failing nor overloaded.
        _ if slot.requested_pause => ExchangeOutcome::Neutral,
        Exchange::Answered(response) if response.status().is_server_error() => {
            ExchangeOutcome::Failed
        }
        Exchange::Answered(_) => ExchangeOutcome::Answered(clock.now().since(sent_at)),
        Exchange::NotRun(NotRun::Shed) => ExchangeOutcome::Shed,
        Exchange::NotRun(
            NotRun::NotOwner | NotRun::Leaving | NotRun::Paused | NotRun::PauseRequested,
        ) => ExchangeOutcome::Neutral,
        Exchange::NotRun(NotRun::OtherEndpoint) => ExchangeOutcome::Replaced,
        Exchange::NotRun(NotRun::NotSent) | Exchange::MayHaveRun(_) => ExchangeOutcome::Lost,
    };
    result
}

/// Releases the slot of the endpoint when the exchange ends or is cancelled.
struct SlotGuard<'a> {
    backend: &'a Backend,
    class: &'a RequestClass,
    work: WorkId,
    daemons: usize,
    clock: Clock,
    outcome: ExchangeOutcome,
    load: Option<Load>,
    /// Whether the response asked for a pause.
    requested_pause: bool,
}

impl SlotGuard<'_> {
    /// Begins the pause that a response to request `id` asks for. The head decides, since the body
    /// may arrive late or not at all.
    fn begin_pause(&mut self, response: &Response<Incoming>, id: &HeaderValue, sent_at: Millis) {
        let Some(pause) = pause::requested_pause(response.status(), response.headers()) else {
            return;
        };
        let (backend, now) = (self.backend, self.clock.now());
        self.requested_pause = pause > Millis::ZERO;
        if backend.begin_pause(pause, self.daemons, now) {
            log::info!(
                target: "health", endpoint:% = backend.entry.instance.name,
                service:% = backend.entry.service, source = "response",
                id:% = id.to_str().unwrap_or("-"), age:% = now.since(sent_at), pause:% = pause;
                "Endpoint requested a pause."
            );
        }
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.backend.end_work(self.work);
        self.backend.release(
            self.outcome,
            self.load,
            self.class,
            self.daemons,
            self.clock.now(),
        );
    }
}

async fn exchange(
    slot: &mut SlotGuard<'_>,
    out: &OutgoingRequest,
    cx: SendContext<'_>,
    left: Duration,
) -> Exchange {
    let (backend, names) = (slot.backend, cx.names);
    let started = tokio::time::Instant::now();
    let was_leaving = backend.leaving.is_leaving();
    let mut is_probe = false;
    // A pooled connection may turn out to be closed; the request then uses a new one.
    let (mut sender, mut rejected, is_reused, request_sent_at, response) = loop {
        let connection = match backend.pool.take_idle_for(&out.id) {
            Some(connection) => connection,
            None => match backend.pool.connect(left).await {
                Ok(connection) => connection,
                Err(_) => return Exchange::NotRun(NotRun::NotSent),
            },
        };
        let PooledConnection {
            mut sender,
            idle,
            rejected,
        } = connection;
        // The endpoint may have begun to leave while the connection was being opened. Others may
        // be able to serve the request.
        let now = slot.clock.now();
        let begins_to_leave = !was_leaving && backend.leaving.is_leaving();
        if begins_to_leave || !backend.is_open(now) {
            return Exchange::NotRun(NotRun::Leaving);
        }
        if !backend.pause.admit(&mut is_probe, now) {
            return Exchange::NotRun(NotRun::Paused);
        }
        let left = left.saturating_sub(started.elapsed());
        let mut req = to_request(backend, out, names, left);
        let too_many_informational = limit_informational(&mut req);
        let sent_at = tokio::time::Instant::now();
        let sent = tokio::select! {
            sent = sender.try_send_request(req) => sent,
            () = too_many_informational.notified() => {
                return Exchange::MayHaveRun(MayHaveRun::Endless);
            }
            () = backend.pool.wait_until_lost(), if out.body.len() > MIN_RECEIVE_WINDOW => {
                return Exchange::MayHaveRun(MayHaveRun::ConnectionLost);
            }
        };
        match sent {
            Ok(response) => break (sender, rejected, idle.is_some(), now, response),
            // hyper returns the request only if no byte of it was written.
            Err(e) if e.message().is_some() && idle.is_some() => {}
            Err(e) if e.message().is_some() => return Exchange::NotRun(NotRun::NotSent),
            Err(_) => {
                if let Some(idle) = idle.filter(|_| sent_at.elapsed() < RESET_WINDOW) {
                    backend.pool.record_loss(idle);
                }
                return Exchange::MayHaveRun(MayHaveRun::ConnectionLost);
            }
        }
    };
    let (parts, body) = response.into_parts();
    if response_head::check(&parts).is_err() {
        return Exchange::MayHaveRun(MayHaveRun::Malformed);
    }
    let response = Response::from_parts(parts, body);
    let reported = load_header::read(response.headers(), names);
    slot.load = reported.load;
    if reported.load.is_some() {
        backend.record_slowdown(reported.slowdown, slot.clock.now());
    }
    if belongs_to(&response, out, names, is_reused)
        && !is_of_other_endpoint(&response, backend, names)
    {
        slot.begin_pause(&response, &out.id, request_sent_at);
    }
    match read_response(response, backend, out, cx, is_reused, request_sent_at).await {
        Ok(response) => {
            let keep_alive = keep_alive_timeout(response.headers());
            let is_kept = !closes_connection(response.headers()) && !sender.is_closed();
            let result = classify(response, backend, names, slot.requested_pause);
            if is_kept {
                if matches!(result, Exchange::NotRun(_)) {
                    rejected.push(out.id.clone());
                }
                // The connection becomes ready once its task has seen the end of the response.
                let ready = std::future::poll_fn(|cx| sender.poll_ready(cx));
                if tokio::time::timeout(READY_TIMEOUT, ready)
                    .await
                    .is_ok_and(|r| r.is_ok())
                {
                    let pool = &backend.pool;
                    pool.put_idle(sender, rejected, keep_alive, slot.daemons);
                }
            }
            result
        }
        Err(reason) => Exchange::MayHaveRun(reason),
    }
}

/// Time within which a request is reset if the endpoint has dropped the idle connection.
const RESET_WINDOW: Duration = Duration::from_millis(100);
/// Time for a connection to become ready for the next request after an exchange.
pub(super) const READY_TIMEOUT: Duration = Duration::from_millis(2);

/// Notifies the returned handle when more than [`MAX_INFORMATIONAL`] informational responses have
/// arrived for `req`.
fn limit_informational(req: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let exceeded = Arc::new(Notify::new());
    let (notify, count) = (Arc::clone(&exceeded), AtomicUsize::new(0));
    on_informational(req, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
            notify.notify_one();
        }
    });
    exceeded
}

fn to_request(
    backend: &Backend,
    out: &OutgoingRequest,
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
    if let Ok(name) = HeaderValue::from_str(&backend.entry.instance.name) {
        headers.insert(&names.expected_endpoint, name);
    }
    req
}

/// Whether a response is proved to be the one to the request.
///
/// On a connection that was used before, a response without an id may be a late copy of one to an
/// earlier request, whatever it says about having run.
fn belongs_to<B>(
    response: &Response<B>,
    out: &OutgoingRequest,
    names: &HeaderNames,
    is_reused: bool,
) -> bool {
    let headers = response.headers();
    let mut echoes = headers.get_all(&names.request_id).iter();
    match (echoes.next(), echoes.next()) {
        (Some(echo), None) => *echo == out.id,
        (None, None) => {
            let signed = headers.contains_key(&names.signature);
            !is_reused && !signed && !response.status().is_success()
        }
        _ => false,
    }
}

/// Reads the whole response and checks that it belongs to the request, which was sent at `sent_at`.
async fn read_response(
    response: Response<Incoming>,
    backend: &Backend,
    out: &OutgoingRequest,
    cx: SendContext<'_>,
    is_reused: bool,
    sent_at: Millis,
) -> Result<Response<Bytes>, MayHaveRun> {
    let names = cx.names;
    if !belongs_to(&response, out, names, is_reused) {
        return Err(MayHaveRun::Mismatch);
    }
    let (parts, body) = response.into_parts();
    let signed = parts.headers.contains_key(&names.signature);
    let encoded = parts.headers.contains_key(header::CONTENT_ENCODING);
    if parts.status.is_success() && (!signed || encoded) {
        return Err(MayHaveRun::Mismatch);
    }
    // The head is proved to be this endpoint's, whatever becomes of the body or of the caller.
    let instance = &backend.entry.instance;
    if let Some(says_leaving) = leaving::says_leaving(&parts.headers, names, instance) {
        backend.record_leaving(says_leaving, sent_at, cx.clock.now());
    }
    let announcement = rate_limit::announced(&parts.headers, names, instance);
    let limit = &backend.rate_limit;
    limit.record(announcement, sent_at, cx.clock.now());
    let limit = cx.body_memory.max_response_bytes();
    let body = cx.body_memory.collect(body, limit).await;
    let body = body.map_err(|e| match e {
        BodyError::Incomplete => MayHaveRun::Truncated,
        BodyError::TooLarge | BodyError::NoMemory => MayHaveRun::TooLarge,
    })?;
    Ok(Response::from_parts(parts, body))
}

/// Whether the response names another endpoint than the one that the request was meant for.
fn is_of_other_endpoint<B>(response: &Response<B>, backend: &Backend, names: &HeaderNames) -> bool {
    let responder = response.headers().get(&names.endpoint);
    responder.is_some_and(|name| name != &*backend.entry.instance.name)
}

fn classify(
    response: Response<Bytes>,
    backend: &Backend,
    names: &HeaderNames,
    requested_pause: bool,
) -> Exchange {
    let is_other_endpoint = is_of_other_endpoint(&response, backend, names);
    let not_executed = response.headers().contains_key(&names.not_executed);
    match response.status() {
        StatusCode::MISDIRECTED_REQUEST if is_other_endpoint => {
            Exchange::NotRun(NotRun::OtherEndpoint)
        }
        StatusCode::MISDIRECTED_REQUEST => Exchange::NotRun(NotRun::NotOwner),
        StatusCode::SERVICE_UNAVAILABLE if not_executed && requested_pause => {
            Exchange::NotRun(NotRun::PauseRequested)
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS if not_executed => {
            Exchange::NotRun(NotRun::Shed)
        }
        _ => Exchange::Answered(response),
    }
}

/// Whether the sender of the headers closes the connection after this message.
pub(super) fn closes_connection(headers: &HeaderMap) -> bool {
    headers.get_all(header::CONNECTION).iter().any(|value| {
        let text = value.to_str().unwrap_or_default();
        text.split(',')
            .any(|token| token.trim().eq_ignore_ascii_case("close"))
    })
}

/// Idle time after which the endpoint closes the connection, from its `Keep-Alive` header.
pub(super) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(&KEEP_ALIVE)?.to_str().ok()?;
    let mut parameters = text.split(',').filter_map(|part| part.split_once('='));
    let timeout = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    let seconds = timeout?.1.trim().parse().ok()?;
    Some(Duration::from_secs(seconds))
}
