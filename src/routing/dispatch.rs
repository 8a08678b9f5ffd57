//! Routes one request to targets and retries it until its outcome is final.

use super::{
    exchange::ExchangeResult,
    front::{LeaseLocation, RequiredLease, group_of, pairs_of},
    outbound::{OutboundRequest, send},
    reference::Base36,
    refusal::Code,
    request::CallerRequest,
    retry::{RetryDecision, backoff, is_time_left, retry_decision},
    selection::select,
    shared::Shared,
    targets::TargetState,
};
use crate::{
    clock::Millis,
    entry::snapshot::Snapshot,
    partition::Partition,
    peer::message::ForwardRequest,
    target_api::{CALLER, OWNERSHIP_EPOCH, PARTITION, REQUEST_ID},
    world::{Link, Target, TargetKey},
};
use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::Full;
use std::sync::Arc;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// Subtracted from the time budget of a forwarded request, for the front daemon's reply. Without
/// it, a request that waits in the front daemon's queue until its deadline would be reported as
/// unknown, although the front daemon knows that it did not run.
const FORWARD_MARGIN: Millis = Millis(10);

/// Destination of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// The target.
    pub target: TargetKey,
    /// Partition and ownership epoch; `None` unless the request is keyed.
    pub ownership: Option<(Partition, u64)>,
}

/// Result of a request, with details for the refusal record.
#[derive(Clone, Debug)]
pub struct Dispatched {
    /// Combined result of all exchanges.
    pub result: ExchangeResult,
    /// The last target of an attempt; `None` if there was none.
    pub target: Option<Arc<str>>,
    /// Number of requests sent to targets.
    pub attempts: u32,
}

/// Sends `req`, with retries, until its outcome is final or too little time is left.
pub async fn dispatch(cx: &Shared, req: &CallerRequest) -> Dispatched {
    cx.count_first_attempt(&req.contract.name);
    let mut retry_loop = RetryLoop {
        cx,
        req,
        changes: cx.directory.changes(),
        route: None,
        tried: Vec::new(),
        target: None,
        attempts: 0,
        backoffs: 0,
        slowest_attempt: Millis::ZERO,
    };
    let result = retry_loop.run_until_final().await;
    Dispatched {
        result,
        target: retry_loop.target,
        attempts: retry_loop.attempts,
    }
}

/// State of the attempts of one request.
struct RetryLoop<'a> {
    cx: &'a Shared,
    req: &'a CallerRequest,
    /// Signals changes of the directory.
    changes: watch::Receiver<u64>,
    /// Route of the current attempt; `None` if there is none.
    route: Option<Route>,
    tried: Vec<TargetKey>,
    target: Option<Arc<str>>,
    /// Number of requests sent to targets, as far as this daemon can tell.
    attempts: u32,
    backoffs: u32,
    /// Duration of the longest attempt so far.
    slowest_attempt: Millis,
}

impl RetryLoop<'_> {
    async fn run_until_final(&mut self) -> ExchangeResult {
        let mut may_have_run = None;
        let mut last_reason = None;
        loop {
            self.changes.mark_unchanged();
            let started = self.cx.clock.now();
            let result = keep_reason(self.attempt_once().await, last_reason);
            if let ExchangeResult::NotRun(code) = &result {
                last_reason = Some(*code);
            }
            self.slowest_attempt = self.slowest_attempt.max(self.cx.clock.now().since(started));
            if let ExchangeResult::MayHaveRun(code) = &result {
                may_have_run.get_or_insert(*code);
            }
            if !self.wait_for_retry(&result).await {
                return combine(result, may_have_run);
            }
        }
    }

    /// Waits until the request may be retried; false if it may not.
    async fn wait_for_retry(&mut self, result: &ExchangeResult) -> bool {
        let service = &self.req.contract.name;
        match retry_decision(result, self.req.idempotent, self.tried.len() as u32) {
            RetryDecision::Never => return false,
            RetryDecision::Immediately => {}
            RetryDecision::AfterMove => return self.wait_for_owner().await,
            RetryDecision::AfterBackoff => {
                if !self.cx.try_spend_retry(service, result) || !self.wait_backoff().await {
                    return false;
                }
            }
        }
        self.cx.metrics.record_retry(&service.0);
        true
    }

    /// Waits for a jittered backoff; false if too little time is left for another attempt after it.
    async fn wait_backoff(&mut self) -> bool {
        self.backoffs += 1;
        let wait = backoff(self.backoffs, rand::random());
        if !is_time_left(self.time_left(), wait, self.slowest_attempt) {
            return false;
        }
        sleep(wait.into()).await;
        true
    }

    /// Waits until the owner has changed, or for a backoff: the target may be about to receive its
    /// grant under a table that this daemon already has.
    async fn wait_for_owner(&mut self) -> bool {
        self.backoffs += 1;
        let until = self.cx.clock.now() + backoff(self.backoffs, rand::random());
        if until >= self.req.deadline {
            return false;
        }
        loop {
            let left = self.cx.clock.until(until);
            if left.is_zero() {
                return true;
            }
            match timeout(left, self.changes.changed()).await {
                Ok(Ok(())) => {}
                // The directory outlives the request path.
                Ok(Err(_)) => return false,
                Err(_) => return true,
            }
            let route = route(self.cx, &self.snapshot(), self.req, &[]).ok();
            if route.is_some() && route != self.route {
                return true;
            }
        }
    }

    async fn attempt_once(&mut self) -> ExchangeResult {
        let snapshot = self.snapshot();
        self.route = None;
        let route = match route(self.cx, &snapshot, self.req, &self.tried) {
            Ok(route) => route,
            Err(code) => return ExchangeResult::NotRun(code),
        };
        self.route = Some(route);
        let Some(target) = snapshot.targets.get(route.target) else {
            return ExchangeResult::NotRun(Code::NoOwner);
        };
        self.target = Some(Arc::clone(&target.name.0));
        self.tried.push(route.target);
        let state = self
            .cx
            .targets
            .state(route.target, target, &self.req.contract);
        let result = self.send(&snapshot, route, target, &state).await;
        self.attempts += u32::from(was_sent(&result));
        result
    }

    async fn send(
        &self,
        snapshot: &Snapshot,
        route: Route,
        target: &Target,
        state: &TargetState,
    ) -> ExchangeResult {
        let (cx, req) = (self.cx, self.req);
        let id = format!("{}-{}", Base36(req.id), self.tried.len());
        let message = target_request(req, route, &id);
        let location = cx
            .fronts
            .lease_location(snapshot, &req.contract, &target.name);
        let lease = match (location, route.ownership) {
            (LeaseLocation::NotRequired, _) => None,
            (LeaseLocation::Local, Some((partition, epoch))) => Some(RequiredLease {
                group: group_of(&req.contract),
                target: target.name.clone(),
                partition,
                epoch,
            }),
            (LeaseLocation::Remote(front), Some((_, epoch))) => {
                return self.forward(front, target, epoch, message).await;
            }
            (LeaseLocation::Local | LeaseLocation::Remote(_), None)
            | (LeaseLocation::Missing, _) => {
                return ExchangeResult::NotRun(Code::NoOwner);
            }
        };
        let outbound = OutboundRequest {
            state,
            target: &target.name.0,
            caller: &req.caller,
            queue_length: cx.queue_length(snapshot),
            deadline: req.deadline,
            message,
            id: &id,
            lease,
        };
        send(cx, outbound).await
    }

    /// Forwards the request to the target's front daemon, which does the admission.
    async fn forward(
        &self,
        front: Link,
        target: &Target,
        epoch: u64,
        mut message: Request<Full<Bytes>>,
    ) -> ExchangeResult {
        let left = self.time_left();
        if left == Millis::ZERO {
            return ExchangeResult::NotRun(Code::TooLate);
        }
        if let Ok(caller) = HeaderValue::from_str(&self.req.caller) {
            message.headers_mut().insert(CALLER, caller);
        }
        let request = ForwardRequest {
            target: target.name.clone(),
            method: self.req.method.as_str().into(),
            path: message.uri().to_string().into(),
            headers: pairs_of(message.headers()),
            body: self.req.body.to_vec(),
            time_left_ms: left.since(left.min(FORWARD_MARGIN)).0,
            ownership_epoch: epoch,
        };
        self.cx.fronts.forward(front, request, left.into()).await
    }

    fn snapshot(&self) -> Arc<Snapshot> {
        self.cx.directory.snapshot().load_full()
    }

    fn time_left(&self) -> Millis {
        self.req.deadline.since(self.cx.clock.now())
    }
}

/// The result of an attempt. If no time was left for it, it has the reason why the attempt before
/// did not run, which tells the caller more.
fn keep_reason(result: ExchangeResult, last_reason: Option<Code>) -> ExchangeResult {
    match (result, last_reason) {
        (ExchangeResult::NotRun(Code::TooLate), Some(code)) => ExchangeResult::NotRun(code),
        (result, _) => result,
    }
}

/// Combines the results of all exchanges of a request: once one attempt may have run, a proof that
/// the last one did not run says nothing about the request.
fn combine(last: ExchangeResult, may_have_run: Option<Code>) -> ExchangeResult {
    match (last, may_have_run) {
        (ExchangeResult::NotRun(_), Some(code)) => ExchangeResult::MayHaveRun(code),
        (last, _) => last,
    }
}

/// Whether the attempt reached a target, as far as this daemon can tell.
fn was_sent(result: &ExchangeResult) -> bool {
    use Code::{ConnectFailed, NeverWritten, NoOwner, QueueFull, TooLate};
    !matches!(
        result,
        ExchangeResult::NotRun(ConnectFailed | NeverWritten | NoOwner | QueueFull | TooLate)
    )
}

fn route(
    cx: &Shared,
    snapshot: &Snapshot,
    req: &CallerRequest,
    tried: &[TargetKey],
) -> Result<Route, Code> {
    let view = snapshot
        .services
        .get(&req.contract.name)
        .ok_or(Code::UnknownService)?;
    if let Some(key) = &req.key {
        let (partition, owner) = view.owner_of(key);
        let (target, epoch) = owner.ok_or(Code::NoOwner)?;
        return Ok(Route {
            target,
            ownership: Some((partition, epoch)),
        });
    }
    let candidates: Vec<_> = view
        .targets
        .iter()
        .map(|&key| {
            let target = &snapshot.targets[key];
            let contract = &view.contract;
            let mut candidate = cx.targets.candidate(key, target, contract, &cx.link.zone);
            candidate.tried = tried.contains(&key);
            candidate
        })
        .collect();
    let policy = cx.targets.policies().selection;
    let chosen = select(policy, &candidates, rand::random).ok_or(Code::NoEndpoint)?;
    Ok(Route {
        target: view.targets[chosen],
        ownership: None,
    })
}

/// The request as sent to a target, without its deadline header.
fn target_request(req: &CallerRequest, route: Route, id: &str) -> Request<Full<Bytes>> {
    let mut message = Request::new(Full::new(req.body.clone()));
    *message.method_mut() = req.method.clone();
    *message.uri_mut() = req.path.clone();
    let headers = message.headers_mut();
    *headers = req.headers.clone();
    if !headers.contains_key(header::HOST) {
        headers.insert(header::HOST, HeaderValue::from_static("target"));
    }
    let id = HeaderValue::from_str(id).expect("the id is ASCII");
    headers.insert(REQUEST_ID, id);
    if let Some((partition, epoch)) = route.ownership {
        headers.insert(PARTITION, partition.0.into());
        headers.insert(OWNERSHIP_EPOCH, epoch.into());
    }
    message
}
