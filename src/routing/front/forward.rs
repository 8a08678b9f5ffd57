//! Requests on their way between the daemon that a caller asked and the front daemon.

use super::Fronts;
use crate::{
    clock::Millis,
    partition::Partition,
    peer::{
        client::PeerError,
        message::{ForwardReply, ForwardRequest, PeerReply, PeerRequest},
    },
    routing::{
        dispatch::{Route, dispatch_to},
        exchange::Exchange,
        outcome::Answer,
        refusal::Code,
        request::CallerRequest,
        shared::Shared,
    },
    world::{Contract, Link, VmName},
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use std::{fmt, sync::Arc};
use tokio::runtime::Handle;

/// Runs forwarded requests on the runtime of the request path.
#[derive(Clone)]
pub struct Receiver {
    shared: Arc<Shared>,
    runtime: Handle,
}

impl fmt::Debug for Receiver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Receiver").finish_non_exhaustive()
    }
}

impl Receiver {
    /// Creates a receiver on the current runtime.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            runtime: Handle::current(),
        }
    }

    pub(super) async fn run(&self, req: ForwardRequest) -> ForwardReply {
        let shared = Arc::clone(&self.shared);
        match self
            .runtime
            .spawn(async move { receive(&shared, req).await })
            .await
        {
            Ok(reply) => reply,
            Err(_) => ForwardReply::Unknown(Code::Internal.to_string().into()),
        }
    }
}

/// The reply of a daemon that runs no forwarded requests.
pub(super) fn refused() -> ForwardReply {
    ForwardReply::NotRun(Code::NotOwner.to_string().into())
}

async fn receive(shared: &Shared, req: ForwardRequest) -> ForwardReply {
    let snapshot = shared.directory.snapshot().load_full();
    let Some(view) = snapshot.services.get(&req.service) else {
        return refused();
    };
    let Some(&target) = snapshot.target_names.get(&req.target) else {
        return refused();
    };
    let route = Route {
        target,
        ownership: Some((req.partition, req.ownership_epoch)),
    };
    let Some(req) = parse(shared, &view.contract, req) else {
        return refused();
    };
    match dispatch_to(shared, &req, route).await {
        Exchange::Answered(answer) => ForwardReply::Answered {
            status: answer.status.as_u16(),
            headers: to_pairs(&answer.headers),
            body: answer.body.to_vec(),
        },
        Exchange::NotRun(code) => ForwardReply::NotRun(code.to_string().into()),
        Exchange::MayHaveRun(code) => ForwardReply::Unknown(code.to_string().into()),
    }
}

/// The request as the daemon that the caller asked has checked it.
fn parse(shared: &Shared, contract: &Arc<Contract>, req: ForwardRequest) -> Option<CallerRequest> {
    let arrived = shared.clock.now();
    Some(CallerRequest {
        id: req.id,
        contract: Arc::clone(contract),
        method: req.method.parse().ok()?,
        path: req.path.parse().ok()?,
        key: None,
        caller: req.caller,
        headers: from_pairs(&req.headers)?,
        held: shared.reserve(Some(req.body.len() as u64)).ok()?,
        body: Bytes::from(req.body),
        arrived,
        deadline: arrived + Millis(req.time_left_ms),
        // The daemon that the caller asked decides on retries.
        idempotent: false,
        idempotency_key: None,
    })
}

impl Fronts {
    /// Passes `req` to the front daemon `front` of `target`.
    pub async fn forward(
        &self,
        front: Link,
        target: &VmName,
        ownership: (Partition, u64),
        req: &CallerRequest,
    ) -> Exchange {
        let Some(peers) = self.shared.peers.get() else {
            return Exchange::NotRun(Code::ConnectFailed);
        };
        let left = self.shared.clock.until(req.deadline);
        let forward = ForwardRequest {
            id: req.id,
            service: req.contract.name.clone(),
            target: target.clone(),
            partition: ownership.0,
            ownership_epoch: ownership.1,
            caller: Arc::clone(&req.caller),
            method: req.method.as_str().into(),
            path: req.path.to_string().into(),
            headers: to_pairs(&req.headers),
            body: req.body.to_vec(),
            time_left_ms: left.as_millis() as u64,
        };
        match peers.send(front, PeerRequest::Forward(forward), left).await {
            Ok(PeerReply::Forward(reply)) => to_exchange(reply),
            Ok(_) => Exchange::MayHaveRun(Code::AnswerMismatch),
            Err(PeerError::NotSent(_)) => Exchange::NotRun(Code::ConnectFailed),
            Err(PeerError::Timeout(_)) => Exchange::MayHaveRun(Code::Timeout),
            Err(PeerError::Incomplete(_) | PeerError::Rejected(_)) => {
                Exchange::MayHaveRun(Code::ConnectionLost)
            }
        }
    }
}

fn to_exchange(reply: ForwardReply) -> Exchange {
    match reply {
        ForwardReply::Answered {
            status,
            headers,
            body,
        } => match (StatusCode::from_u16(status), from_pairs(&headers)) {
            (Ok(status), Some(headers)) => Exchange::Answered(Answer {
                status,
                headers,
                body: Bytes::from(body),
            }),
            _ => Exchange::MayHaveRun(Code::AnswerMismatch),
        },
        // A code that this version does not know is still a proof of its kind.
        ForwardReply::NotRun(code) => Exchange::NotRun(code.parse().unwrap_or(Code::NotOwner)),
        ForwardReply::Unknown(code) => Exchange::MayHaveRun(code.parse().unwrap_or(Code::Internal)),
    }
}

fn to_pairs(headers: &HeaderMap) -> Vec<(Arc<str>, Vec<u8>)> {
    let pairs = headers.iter();
    pairs
        .map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec()))
        .collect()
}

fn from_pairs(pairs: &[(Arc<str>, Vec<u8>)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}
