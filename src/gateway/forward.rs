//! The path of a request: route, endpoint, exchange, and what the caller gets.

use super::{
    backend::Backend,
    choice,
    gate::{Turn, WaitQueue},
    model::{EndpointRun, Key, Repeats, Route},
    platform::HeaderNames,
    reply::{self, Reason},
    routes::RouteEntry,
    send::{self, Exchange, MayHaveRun, NotRun, Outgoing},
    view::{ServiceView, View},
};
use crate::{
    clock::{Clock, Millis},
    entry::metrics::Metrics,
    world::ServiceName,
};
use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response, StatusCode, header, request::Parts};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{Semaphore, watch},
    time::timeout,
};

/// Share of the objective for which a request waits for room, in percent.
const WAIT_PERCENT: u64 = 120;
/// Longest pause between looks at the endpoints while a request waits.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Shortest time that a refused caller is asked to stay away, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 120;
/// Longest time that a refused caller is asked to stay away, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 500;
/// Bytes of request bodies that one unit of the memory budget stands for.
const MEMORY_UNIT: u64 = 1024;

/// What the request path shares with the rest of the daemon.
#[derive(Clone, Debug)]
pub struct Forwarder {
    /// Routes, endpoints and owners.
    pub view: Arc<ArcSwap<View>>,
    /// Tells of each new view.
    pub changed: watch::Receiver<u64>,
    /// Names of the platform's headers.
    pub names: HeaderNames,
    /// The daemon's clock.
    pub clock: Clock,
    /// Daemons that share the retry budgets.
    pub daemons: Arc<AtomicUsize>,
    /// Counters of outcomes.
    pub metrics: Metrics,
    /// Memory for request bodies, in units of 1 KiB.
    pub body_memory: Arc<Semaphore>,
}

/// One request on its way.
struct Job<'a> {
    route: &'a Route,
    service: ServiceName,
    key: Option<Key>,
    arrived: Millis,
    /// When the caller or the route gives up.
    ends: Millis,
    /// Until when the request waits for room.
    waits_until: Millis,
    tried: Vec<EndpointRun>,
    sends: u32,
}

impl Job<'_> {
    /// Whether room comes later than this request waits at most.
    fn would_wait_too_long(&self, wait_ms: f64, now: Millis) -> bool {
        wait_ms > self.waits_until.since(now).0 as f64
    }
}

/// What came of a request.
enum Outcome {
    Answered(Response<Bytes>),
    Refused(Reason),
}

/// Where a request can be sent.
enum Room {
    /// Room was taken at this endpoint.
    Taken(Arc<Backend>),
    /// There is none in time.
    None(Reason),
}

impl Forwarder {
    /// Answers a request.
    pub async fn handle(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let arrived = self.clock.now();
        let (parts, body) = req.into_parts();
        let view = self.view.load_full();
        if view.version == 0 {
            return self.refuse(&parts, None, Reason::NotConfigured, arrived, arrived);
        }
        let Some(entry) = find_route(&view, &parts).cloned() else {
            return self.refuse(&parts, None, Reason::NoRoute, arrived, arrived);
        };
        let route = &entry.route;
        let ends = arrived + self.time_for(&parts.headers, route);
        let (outcome, service) = match self.read(&view, route, &parts, body, ends).await {
            Ok((out, _memory)) => self.run(&view, &entry, &parts, out, arrived, ends).await,
            Err(reason) => (Outcome::Refused(reason), None),
        };
        match outcome {
            Outcome::Answered(answer) => {
                let took = self.clock.now().since(arrived);
                self.metrics.record_completion(
                    service.as_ref().map(|name| &*name.0),
                    "answered",
                    took,
                );
                reply::passed_on(answer)
            }
            Outcome::Refused(reason) => {
                self.refuse(&parts, service.as_ref(), reason, arrived, ends)
            }
        }
    }

    /// Time that the caller and the route allow.
    fn time_for(&self, headers: &HeaderMap, route: &Route) -> Millis {
        let deadline = headers
            .get(&self.names.deadline)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.trim().parse::<u64>().ok());
        deadline.map_or(route.timeout, |ms| Millis(ms).min(route.timeout))
    }

    /// Reads the body, as far as the limits and the daemon's memory allow.
    async fn read(
        &self,
        view: &View,
        route: &Route,
        parts: &Parts,
        body: Incoming,
        ends: Millis,
    ) -> Result<(Outgoing, Option<tokio::sync::OwnedSemaphorePermit>), Reason> {
        let id = parts.headers.get(&self.names.request_id);
        let id = id.ok_or(Reason::BadRequest)?.clone();
        let size = hyper::body::Body::size_hint(&body).upper();
        if size.is_some_and(|size| size > view.limits.max_body_bytes) {
            return Err(Reason::BodyTooLarge);
        }
        let memory = match size {
            Some(0) => None,
            _ => {
                let bytes = size.unwrap_or(MEMORY_UNIT * 64);
                let units = bytes.div_ceil(MEMORY_UNIT).min(u64::from(u32::MAX)) as u32;
                let memory = Arc::clone(&self.body_memory).try_acquire_many_owned(units);
                Some(memory.map_err(|_| Reason::NoMemory)?)
            }
        };
        let limit = usize::try_from(view.limits.max_body_bytes).unwrap_or(usize::MAX);
        let read = timeout(self.clock.until(ends), Limited::new(body, limit).collect()).await;
        let body = match read {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => return Err(Reason::BodyTooLarge),
            Ok(Err(_)) => return Err(Reason::BadRequest),
            Err(_) => return Err(Reason::Late),
        };
        let out = Outgoing {
            method: parts.method.clone(),
            uri: parts.uri.clone(),
            headers: reply::end_to_end(&parts.headers),
            body,
            id,
            route: Arc::clone(&route.name),
        };
        Ok((out, memory))
    }

    async fn run(
        &self,
        view: &View,
        entry: &RouteEntry,
        parts: &Parts,
        out: Outgoing,
        arrived: Millis,
        ends: Millis,
    ) -> (Outcome, Option<ServiceName>) {
        let route = &entry.route;
        let Some(share) = entry.next_share() else {
            return (Outcome::Refused(Reason::NoEndpoint), None);
        };
        let name = share.service.clone();
        let Some(service) = view.services.get(&name) else {
            return (Outcome::Refused(Reason::NoEndpoint), Some(name));
        };
        let key = parts.headers.get(&self.names.key);
        let key = key.and_then(|value| value.to_str().ok()?.trim().parse::<Key>().ok());
        if service.keyed && key.is_none() {
            return (Outcome::Refused(Reason::BadKey), Some(name));
        }
        let key = key.filter(|_| service.keyed);
        service.state.count_request(key, arrived);
        let wait = Millis(route.objective.0 * WAIT_PERCENT / 100);
        let mut job = Job {
            route,
            service: name.clone(),
            key,
            arrived,
            ends,
            waits_until: (arrived + wait).min(ends),
            tried: Vec::new(),
            sends: 0,
        };
        (self.attempts(&mut job, &out).await, Some(name))
    }

    /// Sends the request until it is answered, or must not or cannot be sent again.
    async fn attempts(&self, job: &mut Job<'_>, out: &Outgoing) -> Outcome {
        let mut last = None;
        loop {
            let backend = match self.room(job).await {
                Room::Taken(backend) => backend,
                Room::None(reason) => return last.unwrap_or(Outcome::Refused(reason)),
            };
            let left = self.clock.until(job.ends);
            let daemons = self.daemons.load(Ordering::Relaxed);
            let sending = send::send(&backend, out, &self.names, left, daemons, self.clock);
            let Ok(result) = timeout(left, sending).await else {
                return Outcome::Refused(Reason::Timeout);
            };
            let again = self.is_again(job, &backend, &result);
            self.log_attempt(job, out, &backend, &result, again);
            let outcome = outcome_of(result, job.route.repeats);
            if !again {
                return outcome;
            }
            last = Some(outcome);
        }
    }

    /// Whether the request is sent again after `result`.
    fn is_again(&self, job: &mut Job<'_>, backend: &Backend, result: &Exchange) -> bool {
        let now = self.clock.now();
        let repeatable = job.route.repeats == Repeats::Allowed;
        let may_have_run = match result {
            Exchange::Answered(answer) if !answer.status().is_server_error() => return false,
            Exchange::Answered(_) | Exchange::MayHaveRun(_) => true,
            Exchange::NotRun(_) => false,
        };
        if may_have_run {
            job.sends += 1;
        }
        if may_have_run && (!repeatable || job.sends >= job.route.max_attempts) {
            return false;
        }
        if let (Exchange::NotRun(NotRun::NotOwner), Some(key)) = (result, job.key) {
            self.note_denial(job, backend, key, now);
        } else {
            job.tried.push(backend.entry.run.clone());
        }
        if now >= job.ends {
            return false;
        }
        if matches!(result, Exchange::NotRun(NotRun::NotSent | NotRun::Leaving)) {
            // Nothing reached the endpoint, so nothing is repeated.
            return job.tried.len() < MAX_UNSENT;
        }
        let view = self.view.load();
        let daemons = self.daemons.load(Ordering::Relaxed);
        view.services
            .get(&job.service)
            .is_some_and(|service| service.state.try_repeat(daemons, now))
    }

    /// Holds further requests for the range back for a moment: its keys are moving.
    fn note_denial(&self, job: &Job<'_>, backend: &Backend, key: Key, now: Millis) {
        let view = self.view.load();
        if let Some(service) = view.services.get(&job.service)
            && let Some(range) = service.owners.range_of(key)
            && range.owner == backend.entry.run
        {
            backend.denied(range.keys, range.token, now);
        }
    }

    /// Takes room at an endpoint, and waits for it if there is none.
    async fn room(&self, job: &Job<'_>) -> Room {
        let mut turn: Option<Turn> = None;
        loop {
            let view = self.view.load_full();
            let Some(service) = view.services.get(&job.service) else {
                return Room::None(Reason::NoEndpoint);
            };
            let now = self.clock.now();
            if now >= job.ends {
                return Room::None(Reason::Late);
            }
            let tried = match job.key {
                Some(key) => self.room_at_owner(service, key, job, &mut turn, now),
                None => self.room_anywhere(service, job, &mut turn, now),
            };
            let (reason, queue, until) = match tried {
                Ok(backend) => {
                    // Others that wait may find room too.
                    backend.queue.wake_one();
                    return Room::Taken(backend);
                }
                Err(obstacle) => obstacle,
            };
            let is_hopeless = reason == Reason::Busy && until == Some(now);
            if is_hopeless || now >= job.waits_until {
                return Room::None(reason);
            }
            let until = until.unwrap_or(job.waits_until).min(job.waits_until);
            let pause = self
                .clock
                .until(until)
                .clamp(Duration::from_millis(1), LOOK_EVERY);
            self.wait(queue.as_deref().zip(turn), pause).await;
        }
    }

    /// Waits to be woken by the queue or by a new view, but no longer than `pause`.
    async fn wait(&self, place: Option<(&WaitQueue, Turn)>, pause: Duration) {
        let mut changed = self.changed.clone();
        changed.mark_unchanged();
        let woken = async {
            match place {
                Some((queue, turn)) => queue.join(turn).woken().await,
                None => std::future::pending().await,
            }
        };
        let either = async {
            tokio::select! {
                () = woken => {}
                // An error means that the daemon stops; the pause then ends the wait.
                Ok(()) = changed.changed() => {}
                else => std::future::pending().await,
            }
        };
        // Running out of time is one of the ways to be woken.
        let _ = timeout(pause, either).await;
    }

    fn room_anywhere(
        &self,
        service: &ServiceView,
        job: &Job<'_>,
        turn: &mut Option<Turn>,
        now: Millis,
    ) -> Result<Arc<Backend>, Obstacle> {
        let queue = &service.state.queue;
        if service.members.iter().all(|member| member.is_leaving) {
            return Err((Reason::NoEndpoint, None, None));
        }
        let is_new = turn.is_none();
        let turn = *turn.get_or_insert_with(|| queue.turn(job.route.priority));
        if !queue.is_behind(turn)
            && let Some(member) = choice::take_room(
                service,
                &job.tried,
                self.daemons.load(Ordering::Relaxed),
                now,
            )
        {
            return Ok(member.backend);
        }
        let usable = service.members.iter().filter(|m| !m.is_leaving);
        let rate: f64 = usable.map(|m| 1.0 / m.backend.interval_ms()).sum();
        if is_new && job.would_wait_too_long(queue.ahead_of(turn) as f64 / rate, now) {
            return Err((Reason::Busy, None, Some(now)));
        }
        Err((Reason::Busy, Some(Arc::clone(queue)), None))
    }

    fn room_at_owner(
        &self,
        service: &ServiceView,
        key: Key,
        job: &Job<'_>,
        turn: &mut Option<Turn>,
        now: Millis,
    ) -> Result<Arc<Backend>, Obstacle> {
        let Some((range, member)) = service.owner_of(key, now) else {
            return Err((Reason::NoOwner, None, None));
        };
        let backend = &member.backend;
        if backend.is_replaced(now) {
            return Err((Reason::NoOwner, None, None));
        }
        if let Some(until) = backend.denied_until(range.keys, range.token, now) {
            return Err((Reason::NoOwner, None, Some(until)));
        }
        if job.tried.last() == Some(&backend.entry.run) && backend.is_aside(now) {
            return Err((Reason::Busy, None, None));
        }
        let queue = &backend.queue;
        let is_new = turn.is_none();
        let turn = *turn.get_or_insert_with(|| queue.turn(job.route.priority));
        if !queue.is_behind(turn) && backend.try_take(now) {
            return Ok(Arc::clone(backend));
        }
        if is_new && job.would_wait_too_long(backend.wait_ms(queue.ahead_of(turn), now), now) {
            return Err((Reason::Busy, None, Some(now)));
        }
        Err((Reason::Busy, Some(Arc::clone(queue)), None))
    }

    fn log_attempt(
        &self,
        job: &Job<'_>,
        out: &Outgoing,
        backend: &Backend,
        result: &Exchange,
        again: bool,
    ) {
        let shown = match result {
            Exchange::Answered(answer) if !answer.status().is_server_error() => return,
            Exchange::Answered(answer) => format!("status-{}", answer.status().as_u16()),
            Exchange::NotRun(reason) => format!("not-run/{reason}"),
            Exchange::MayHaveRun(reason) => format!("may-have-run/{reason}"),
        };
        log::info!(
            target: "request", id:% = out.id.to_str().unwrap_or("-"), route:% = job.route.name, service:% = job.service,
            endpoint:% = backend.entry.run.name, key:? = job.key, result:% = shown, again,
            sends = job.sends, after:% = self.clock.now().since(job.arrived),
            view = self.view.load().version;
            "Attempt failed."
        );
    }

    fn refuse(
        &self,
        parts: &Parts,
        service: Option<&ServiceName>,
        reason: Reason,
        arrived: Millis,
        ends: Millis,
    ) -> Response<Full<Bytes>> {
        let now = self.clock.now();
        let answer = reply::refusal(reason, retry_after(ends.since(now)));
        log::info!(
            target: "request", id:% = text_of(&parts.headers, &self.names.request_id),
            path:% = parts.uri.path(), key:% = text_of(&parts.headers, &self.names.key),
            service:% = service.map_or("", |name| &name.0),
            reason:% = reason, status = answer.status().as_u16(),
            after:% = now.since(arrived), left:% = ends.since(now),
            view = self.view.load().version;
            "Request refused."
        );
        let name: &'static str = reason.into();
        self.metrics
            .record_completion(service.map(|name| &*name.0), name, now.since(arrived));
        answer
    }
}

/// Endpoints that may refuse connections before a request is given up.
const MAX_UNSENT: usize = 4;

/// Why there is no room: the reason, the queue to wait in, and when to look again.
type Obstacle = (Reason, Option<Arc<WaitQueue>>, Option<Millis>);

fn find_route<'a>(view: &'a View, parts: &Parts) -> Option<&'a Arc<RouteEntry>> {
    let host = match parts.headers.get(header::HOST) {
        Some(host) => host.to_str().ok()?,
        None => parts.uri.host()?,
    };
    view.routes.find(host, parts.uri.path())
}

/// A header's value for logs; a dash if it is missing or not text.
fn text_of<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or("-")
}

/// When a refused caller should come back: callers honour up to a third of the time they have.
fn retry_after(left: Millis) -> Option<Duration> {
    let most = (left.0 / 3).min(MAX_RETRY_AFTER_MS);
    if most == 0 {
        return None;
    }
    let least = MIN_RETRY_AFTER_MS.min(most);
    Some(Duration::from_millis(rand::random_range(least..=most)))
}

/// What the caller gets after `result` if the request is not sent again.
fn outcome_of(result: Exchange, repeats: Repeats) -> Outcome {
    match result {
        Exchange::Answered(answer) => {
            // These statuses promise that the request did not run, and the endpoint ran it.
            let promises = [
                StatusCode::REQUEST_TIMEOUT,
                StatusCode::MISDIRECTED_REQUEST,
                StatusCode::TOO_MANY_REQUESTS,
                StatusCode::SERVICE_UNAVAILABLE,
            ];
            if repeats == Repeats::Never && promises.contains(&answer.status()) {
                Outcome::Refused(Reason::FailedAtEndpoint)
            } else {
                Outcome::Answered(answer)
            }
        }
        Exchange::NotRun(NotRun::NotOwner | NotRun::OtherEndpoint) => {
            Outcome::Refused(Reason::NoOwner)
        }
        Exchange::NotRun(_) => Outcome::Refused(Reason::Shed),
        Exchange::MayHaveRun(
            MayHaveRun::ConnectionLost | MayHaveRun::Mismatch | MayHaveRun::Truncated,
        ) => Outcome::Refused(Reason::Unknown),
    }
}
