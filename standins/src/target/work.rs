//! Runs one request on a target.

use super::{
    Control, EchoFault, Execution, Shared, State, TargetResponse, history::boottime_us,
    slots::NoSlot,
};
use crate::server::{Reply, json, read_body};
use fireflygauge::{
    clock::Millis,
    partition::Partition,
    target_api::{
        DEADLINE_MS, IDEMPOTENCY_KEY, NOT_RUN, NotRunReason, OWNERSHIP_EPOCH, PARTITION, REQUEST_ID,
    },
};
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use std::{str::FromStr, sync::Arc, time::Duration};

/// Request header that sets the service time, in milliseconds.
pub const WORK_MS: &str = "x-work-ms";
/// Request header that sets the length of the response's padding.
pub const ANSWER_BYTES: &str = "x-answer-bytes";

/// Request header with the caller's token; the query parameter `token` does as well.
pub const TOKEN: &str = "x-token";

/// Key, headers and arrival time of a request.
struct RequestInfo {
    key: Arc<str>,
    token: Arc<str>,
    request_id: Arc<str>,
    idempotency_key: Option<Arc<str>>,
    method: Arc<str>,
    partition: Option<Partition>,
    epoch: Option<u64>,
    received: Millis,
    deadline: Option<Duration>,
    work: Option<Duration>,
    answer_bytes: usize,
}

impl RequestInfo {
    fn new(shared: &Shared, req: &Request<Incoming>) -> Self {
        let headers = req.headers();
        let query = req.uri().query().unwrap_or_default();
        let in_query = query.split('&').find_map(|p| p.strip_prefix("token="));
        let token = header::<String>(headers, TOKEN).or(in_query.map(Into::into));
        let key = key_of(req.uri().path(), &shared.options.service.0);
        Self {
            key: key.into(),
            token: token.unwrap_or_default().into(),
            request_id: header::<String>(headers, REQUEST_ID)
                .unwrap_or_default()
                .into(),
            idempotency_key: header::<String>(headers, IDEMPOTENCY_KEY).map(Into::into),
            method: req.method().as_str().into(),
            partition: header(headers, PARTITION).map(Partition),
            epoch: header(headers, OWNERSHIP_EPOCH),
            received: shared.clock.now(),
            deadline: header(headers, DEADLINE_MS).map(Duration::from_millis),
            work: header(headers, WORK_MS).map(Duration::from_millis),
            answer_bytes: header(headers, ANSWER_BYTES).unwrap_or(0),
        }
    }

    fn is_late(&self, now: Millis) -> bool {
        let waited: Duration = now.since(self.received).into();
        self.deadline.is_some_and(|deadline| waited >= deadline)
    }

    /// The partition and epoch that need a lease; `None` if they are missing.
    fn required_lease(&self) -> Option<(Partition, u64)> {
        Some((self.partition?, self.epoch?))
    }
}

fn header<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// The first path segment, or the second if the first one is the service.
fn key_of<'a>(path: &'a str, service: &str) -> &'a str {
    let mut segments = path.split('/').filter(|segment| !segment.is_empty());
    match segments.next() {
        Some(first) if first == service => segments.next().unwrap_or_default(),
        first => first.unwrap_or_default(),
    }
}

/// Guard of a running request. When the request ends or its caller leaves, it lowers the count of
/// running requests of the partition and records the execution.
struct Running {
    shared: Arc<Shared>,
    facts: Arc<RequestInfo>,
    start_us: u64,
    expirations: u64,
    ended: bool,
}

impl Running {
    /// Admits a request under the lease.
    fn start(shared: Arc<Shared>, facts: Arc<RequestInfo>) -> Result<Self, NotRunReason> {
        let mut state = shared.lock();
        let now = shared.clock.now();
        if facts.is_late(now) {
            return Err(NotRunReason::Deadline);
        }
        if shared.options.checks_grants {
            let (partition, epoch) = facts.required_lease().ok_or(NotRunReason::NotOwner)?;
            state.lease.begin(partition, epoch, now)?;
        }
        let expirations = state.expirations;
        drop(state);
        Ok(Self {
            expirations,
            start_us: boottime_us(),
            shared,
            facts,
            ended: false,
        })
    }

    /// Ends the request; it takes effect only if lease and deadline still hold.
    fn end(&mut self) -> Result<(), NotRunReason> {
        let shared = Arc::clone(&self.shared);
        let mut state = shared.lock();
        // Read before the time of the check: a process suspended in between must not
        // record an effect later than the lease that allowed it.
        let end_us = boottime_us();
        let now = shared.clock.now();
        let verdict = self.verdict(&state, now);
        self.record(&mut state, end_us, verdict.is_ok());
        verdict
    }

    fn verdict(&self, state: &State, now: Millis) -> Result<(), NotRunReason> {
        if self.facts.is_late(now) {
            return Err(NotRunReason::Deadline);
        }
        match self.facts.required_lease() {
            Some((partition, epoch)) if self.shared.options.checks_grants => {
                // A request may finish after its partition has left the set, because the move
                // waits for it, but not once the lease has expired: then the move did not wait.
                let drains = state.expirations == self.expirations
                    && state.lease.lease_left(now) > Millis::ZERO;
                if drains {
                    return Ok(());
                }
                state.lease.admit(partition, epoch, now)
            }
            _ => Ok(()),
        }
    }

    fn record(&mut self, state: &mut State, end_us: u64, effect: bool) {
        self.ended = true;
        let facts = &self.facts;
        state.history.append(Execution {
            target: self.shared.options.name.clone(),
            incarnation: self.shared.incarnation,
            key: Arc::clone(&facts.key),
            partition: facts.partition.map(|p| p.0),
            epoch: facts.epoch,
            request_id: Arc::clone(&facts.request_id),
            token: Arc::clone(&facts.token),
            idempotency_key: facts.idempotency_key.clone(),
            method: Arc::clone(&facts.method),
            start_us: self.start_us,
            end_us,
            effect,
        });
        if let (Some((partition, _)), true) =
            (facts.required_lease(), self.shared.options.checks_grants)
        {
            state.lease.end(partition);
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.ended {
            let shared = Arc::clone(&self.shared);
            self.record(&mut shared.lock(), boottime_us(), false);
        }
    }
}

/// Runs a request and answers it.
pub(super) async fn serve(shared: Arc<Shared>, req: Request<Incoming>) -> Reply {
    let facts = Arc::new(RequestInfo::new(&shared, &req));
    let body = read_body(req.into_body()).await?;
    let control = shared.lock().control.clone();
    match run(&shared, &facts, &control).await {
        Ok(()) => answer(&shared, &facts, &control, &body),
        Err(reason) => refuse(reason, &facts.request_id),
    }
}

async fn run(
    shared: &Arc<Shared>,
    facts: &Arc<RequestInfo>,
    control: &Control,
) -> Result<(), NotRunReason> {
    if control.refuse_draining {
        return Err(NotRunReason::Draining);
    }
    if shared.is_cold() {
        return Err(NotRunReason::Cold);
    }
    if control.shed {
        return Err(NotRunReason::Shed);
    }
    let slot = shared.slots.take(facts.deadline).await;
    let _slot = slot.map_err(|no_slot| match no_slot {
        NoSlot::Full => NotRunReason::Shed,
        NoSlot::Late => NotRunReason::Deadline,
    })?;
    let work = facts.work.unwrap_or(Duration::from_millis(control.work_ms));
    let work = if shared.is_warming() { work * 2 } else { work };
    let mut running = Running::start(Arc::clone(shared), Arc::clone(facts))?;
    if !work.is_zero() {
        tokio::time::sleep(work).await;
    }
    running.end()
}

fn refuse(reason: NotRunReason, request_id: &str) -> Reply {
    let status = match reason {
        NotRunReason::NotOwner => StatusCode::MISDIRECTED_REQUEST,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut reply = json(status, &reason)?;
    let headers = reply.headers_mut();
    headers.insert(REQUEST_ID, value(request_id));
    headers.insert(NOT_RUN, value(&reason.to_string()));
    Ok(reply)
}

fn answer(shared: &Shared, facts: &RequestInfo, control: &Control, body: &[u8]) -> Reply {
    let status = if control.fail {
        StatusCode::INTERNAL_SERVER_ERROR
    } else {
        StatusCode::OK
    };
    let content = TargetResponse {
        target: shared.options.name.clone(),
        key: Arc::clone(&facts.key),
        request_id: Arc::clone(&facts.request_id),
        token: Arc::clone(&facts.token),
        method: Arc::clone(&facts.method),
        body: String::from_utf8_lossy(body).into_owned(),
        padding: "x".repeat(facts.answer_bytes),
    };
    let mut reply = json(status, &content)?;
    let echoed = match control.echo {
        EchoFault::WrongId => "another-request",
        EchoFault::None => &facts.request_id,
    };
    reply.headers_mut().insert(REQUEST_ID, value(echoed));
    Ok(reply)
}

fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static(""))
}
