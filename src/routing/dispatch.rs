//! Sends one request to targets until its outcome is known.

use super::{
    exchange::Exchange, path::Shared, reference::Base36, refusal::Code, request::CallerRequest,
};
use crate::{
    entry::snapshot::Snapshot,
    partition::Partition,
    target_api::{DEADLINE_MS, OWNERSHIP_EPOCH, PARTITION, REQUEST_ID},
    world::TargetKey,
};
use bytes::Bytes;
use http::{HeaderValue, Request};
use http_body_util::Full;
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

/// Where a request is sent.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// The target.
    pub target: TargetKey,
    /// Partition and ownership epoch of a keyed request.
    pub ownership: Option<(Partition, u64)>,
}

/// What became of a request, with what operators want to know of it.
#[derive(Clone, Debug)]
pub struct Dispatched {
    /// What the last exchange showed.
    pub result: Exchange,
    /// The last target that was tried.
    pub target: Option<Arc<str>>,
    /// Requests sent to targets.
    pub attempts: u32,
}

/// Sends `req` until its outcome is known.
pub async fn dispatch(cx: &Shared, req: &CallerRequest) -> Dispatched {
    let mut done = Dispatched {
        result: Exchange::NotRun(Code::NoEndpoint),
        target: None,
        attempts: 0,
    };
    let snapshot = cx.directory.snapshot().load_full();
    done.result = match route(&snapshot, req) {
        Ok(route) => send(cx, &snapshot, req, route, &mut done).await,
        Err(code) => Exchange::NotRun(code),
    };
    done
}

fn route(snapshot: &Snapshot, req: &CallerRequest) -> Result<Route, Code> {
    let view = snapshot
        .services
        .get(&req.contract.name)
        .ok_or(Code::UnknownService)?;
    match &req.key {
        Some(key) => {
            let (partition, owner) = view.owner_of(key);
            let (target, epoch) = owner.ok_or(Code::NoOwner)?;
            Ok(Route {
                target,
                ownership: Some((partition, epoch)),
            })
        }
        None => {
            let target = view.targets.first().copied().ok_or(Code::NoEndpoint)?;
            Ok(Route {
                target,
                ownership: None,
            })
        }
    }
}

async fn send(
    cx: &Shared,
    snapshot: &Snapshot,
    req: &CallerRequest,
    route: Route,
    done: &mut Dispatched,
) -> Exchange {
    let Some(target) = snapshot.targets.get(route.target) else {
        return Exchange::NotRun(Code::NoEndpoint);
    };
    done.target = Some(Arc::clone(&target.name.0));
    let left = cx.clock.until(req.deadline);
    if left.is_zero() {
        return Exchange::NotRun(Code::TooLate);
    }
    done.attempts += 1;
    let id = format!("{}-{}", Base36(req.id), done.attempts);
    let message = message(req, route, &id, left);
    match timeout(left, cx.pool(route.target, target.addr).send(message, &id)).await {
        Ok(result) => result,
        Err(_) => Exchange::MayHaveRun(Code::Timeout),
    }
}

/// The request as sent to a target.
fn message(req: &CallerRequest, route: Route, id: &str, left: Duration) -> Request<Full<Bytes>> {
    let mut message = Request::new(Full::new(req.body.clone()));
    *message.method_mut() = req.method.clone();
    *message.uri_mut() = req.path.parse().expect("the path was part of a valid URI");
    let headers = message.headers_mut();
    *headers = req.headers.clone();
    let text = |text: &str| HeaderValue::from_str(text).expect("the value is ASCII");
    headers.insert(REQUEST_ID, text(id));
    headers.insert(DEADLINE_MS, (left.as_millis() as u64).into());
    if let Some((partition, epoch)) = route.ownership {
        headers.insert(PARTITION, partition.0.into());
        headers.insert(OWNERSHIP_EPOCH, epoch.into());
    }
    message
}
