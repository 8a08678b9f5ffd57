//! Sends one request to targets until its outcome is known.

use super::{
    choice::choose,
    exchange::Exchange,
    reference::Base36,
    refusal::Code,
    request::CallerRequest,
    retry::{Again, again, delay},
    shared::Shared,
    targets::{TargetState, ended},
};
use crate::{
    clock::Millis,
    entry::snapshot::Snapshot,
    partition::Partition,
    target_api::{DEADLINE_MS, OWNERSHIP_EPOCH, PARTITION, REQUEST_ID},
    world::TargetKey,
};
use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::Full;
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// Where a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// The target.
    pub target: TargetKey,
    /// Partition and ownership epoch of a keyed request.
    pub ownership: Option<(Partition, u64)>,
}

/// What became of a request, with what operators want to know of it.
#[derive(Clone, Debug)]
pub struct Dispatched {
    /// What the exchanges showed, taken together.
    pub result: Exchange,
    /// The last target that was tried.
    pub target: Option<Arc<str>>,
    /// Requests sent to targets.
    pub attempts: u32,
}

/// Sends `req` until its outcome is known or too little time is left.
pub async fn dispatch(cx: &Shared, req: &CallerRequest) -> Dispatched {
    cx.count_first_try(&req.contract.name);
    let mut run = Run {
        cx,
        req,
        changes: cx.directory.changes(),
        route: None,
        tried: Vec::new(),
        target: None,
        attempts: 0,
        waits: 0,
    };
    let result = run.until_final().await;
    Dispatched {
        result,
        target: run.target,
        attempts: run.attempts,
    }
}

/// The course of one request.
struct Run<'a> {
    cx: &'a Shared,
    req: &'a CallerRequest,
    changes: watch::Receiver<u64>,
    route: Option<Route>,
    tried: Vec<TargetKey>,
    target: Option<Arc<str>>,
    attempts: u32,
    waits: u32,
}

impl Run<'_> {
    async fn until_final(&mut self) -> Exchange {
        let mut may_have_run = None;
        loop {
            self.changes.mark_unchanged();
            let result = self.once().await;
            if let Exchange::MayHaveRun(code) = &result {
                may_have_run.get_or_insert(*code);
            }
            if !self.wait_for_retry(&result).await {
                return conclude(result, may_have_run);
            }
        }
    }

    /// Waits until the request may be sent again; false if it may not.
    async fn wait_for_retry(&mut self, result: &Exchange) -> bool {
        let service = &self.req.contract.name;
        match again(result, self.req.idempotent, self.attempts) {
            Again::No => return false,
            Again::AtOnce => {}
            Again::Moved => return self.wait_for_table().await,
            Again::Budgeted => {
                if !self.cx.spend_retry(service, result) || !self.pause().await {
                    return false;
                }
            }
        }
        self.cx.metrics.retried(&service.0);
        true
    }

    /// Waits for a jittered delay; false if too little time is left for it.
    async fn pause(&mut self) -> bool {
        self.waits += 1;
        let wait = delay(self.waits, rand::random());
        if self.left() <= wait {
            return false;
        }
        sleep(wait.into()).await;
        true
    }

    /// Waits until the owner has changed, or for a delay: the target may be about to receive its
    /// grant under a table that is already known.
    async fn wait_for_table(&mut self) -> bool {
        self.waits += 1;
        let until = self.cx.clock.now() + delay(self.waits, rand::random());
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
                // The directory ends only after the request path.
                Ok(Err(_)) => return false,
                Err(_) => return true,
            }
            let route = route(self.cx, &self.snapshot(), self.req, &[]).ok();
            if route.is_some() && route != self.route {
                return true;
            }
        }
    }

    async fn once(&mut self) -> Exchange {
        let snapshot = self.snapshot();
        self.route = None;
        let route = match route(self.cx, &snapshot, self.req, &self.tried) {
            Ok(route) => route,
            Err(code) => return Exchange::NotRun(code),
        };
        self.route = Some(route);
        let Some(target) = snapshot.targets.get(route.target) else {
            return Exchange::NotRun(Code::NoOwner);
        };
        self.target = Some(Arc::clone(&target.name.0));
        self.tried.push(route.target);
        let state = self
            .cx
            .targets
            .state(route.target, target, &self.req.contract);
        self.send(&snapshot, route, &state).await
    }

    async fn send(&mut self, snapshot: &Snapshot, route: Route, state: &TargetState) -> Exchange {
        let (cx, req) = (self.cx, self.req);
        let queue_length = queue_length(snapshot);
        let entered = state
            .admission
            .enter(&req.caller, queue_length, req.deadline);
        let permit = match entered.await {
            Ok(permit) => permit,
            Err(code) => return Exchange::NotRun(code),
        };
        if permit.waited() {
            let waiting = state.admission.gate().queue_len();
            let name = self.target.as_deref().unwrap_or_default();
            cx.metrics.queued(name, waiting);
        }
        let sent = cx.clock.now();
        let given: Duration = req.deadline.since(sent).into();
        let result = self.exchange(route, state, given).await;
        let now = cx.clock.now();
        permit.end(ended(&result, now.since(sent)));
        state.learn(&result, given, now);
        result
    }

    async fn exchange(&mut self, route: Route, state: &TargetState, given: Duration) -> Exchange {
        let Some(connection) = state.pool.connection(given).await else {
            return Exchange::NotRun(Code::ConnectFailed);
        };
        let left = self.cx.clock.until(self.req.deadline);
        if left.is_zero() {
            return Exchange::NotRun(Code::TooLate);
        }
        self.attempts += 1;
        let id = format!("{}-{}", Base36(self.req.id), self.attempts);
        let message = message(self.req, route, &id, left);
        connection.exchange(message, &id, left).await
    }

    fn snapshot(&self) -> Arc<Snapshot> {
        self.cx.directory.snapshot().load_full()
    }

    fn left(&self) -> Millis {
        self.req.deadline.since(self.cx.clock.now())
    }
}

/// What all exchanges of a request show together: once one of them may have run, a later proof
/// that another one did not run proves nothing of the request.
fn conclude(last: Exchange, may_have_run: Option<Code>) -> Exchange {
    match (last, may_have_run) {
        (Exchange::NotRun(_), Some(code)) => Exchange::MayHaveRun(code),
        (last, _) => last,
    }
}

fn queue_length(snapshot: &Snapshot) -> usize {
    let config = snapshot.config.as_ref();
    config.map_or(0, |config| config.preset.queue_length as usize)
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
    let policy = cx.targets.policies().choice;
    let chosen = choose(policy, &candidates, rand::random).ok_or(Code::NoEndpoint)?;
    Ok(Route {
        target: view.targets[chosen],
        ownership: None,
    })
}

/// The request as sent to a target.
fn message(req: &CallerRequest, route: Route, id: &str, left: Duration) -> Request<Full<Bytes>> {
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
    headers.insert(DEADLINE_MS, (left.as_millis() as u64).into());
    if let Some((partition, epoch)) = route.ownership {
        headers.insert(PARTITION, partition.0.into());
        headers.insert(OWNERSHIP_EPOCH, epoch.into());
    }
    message
}
