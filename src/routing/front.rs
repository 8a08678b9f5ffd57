//! Proxying for targets that do not check grants: one daemon, the front daemon, holds the lease on
//! behalf of the target, and the other daemons forward requests to it.

use super::{
    exchange::ExchangeResult,
    outbound::{OutboundRequest, send},
    outcome::TargetResponse,
    refusal::Code,
    shared::{DetachedGuard, Shared},
};
use crate::{
    clock::{Clock, Millis},
    collections::Map,
    entry::snapshot::Snapshot,
    ownership::lease::LeaseHolder,
    partition::Partition,
    peer::{
        client::PeerError,
        message::{ForwardReply, ForwardRequest, PeerReply},
    },
    target_api::{CALLER, GrantReply, GrantRequest, PARTITION, REQUEST_ID},
    world::{Contract, GroupId, Link, VmName},
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, StatusCode};
use http_body_util::Full;
use std::{
    fmt,
    future::Future,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak},
    thread,
    time::{Duration, Instant},
};
use tokio::{runtime::Handle, task::JoinSet, time::sleep};

/// Subtracted from the lease to allow for the network delay of a request: the target counts the
/// deadline only from the request's arrival.
const LEASE_MARGIN: Millis = Millis(50);
/// Interval between checks whether all leases have been released.
const RELEASE_POLL: Duration = Duration::from_millis(10);

/// The reply of a front daemon to a forwarded request.
pub type ForwardResult = Result<PeerReply, PeerError>;
/// Forwards a request to a front daemon, with a time limit.
pub type ForwardFn = Box<
    dyn Fn(Link, ForwardRequest, Duration) -> Pin<Box<dyn Future<Output = ForwardResult> + Send>>
        + Send
        + Sync,
>;

/// Leases that this daemon holds on behalf of targets, and the forwarder to other front daemons.
#[derive(Clone)]
pub struct Fronts {
    inner: Arc<Inner>,
}

struct Inner {
    link: Link,
    clock: Clock,
    holders: Mutex<Map<(GroupId, VmName), LeaseHolder>>,
    forward: OnceLock<ForwardFn>,
    request_path: OnceLock<(Weak<Shared>, Handle)>,
}

impl fmt::Debug for Fronts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Fronts").finish_non_exhaustive()
    }
}

/// Which daemon holds the lease that a request to a target requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseLocation {
    /// No daemon needs a lease: the target checks grants, or its service is not keyed.
    NotRequired,
    /// This daemon is the target's front daemon.
    Local,
    /// This other daemon is the target's front daemon.
    Remote(Link),
    /// The target has no front daemon at the moment.
    Missing,
}

/// The lease that a request requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequiredLease {
    /// The control group.
    pub group: GroupId,
    /// The target.
    pub target: VmName,
    /// The partition.
    pub partition: Partition,
    /// The ownership epoch.
    pub epoch: u64,
}

/// Guard of a request in flight under a lease of this daemon.
///
/// Unless it is marked completed, the request counts as in flight until the deadline that was sent
/// to the target: the target may continue with a request whose connection was lost, and the
/// partition must not move before that.
#[derive(Debug)]
pub struct LeaseGuard {
    fronts: Fronts,
    lease: RequiredLease,
    lease_ends: Millis,
    deadline: Millis,
    completed: bool,
}

impl LeaseGuard {
    /// Caps `deadline` at the end of the lease and returns it; this is the deadline to send to the
    /// target.
    pub fn cap_deadline(&mut self, deadline: Millis) -> Millis {
        self.deadline = deadline.min(self.lease_ends);
        self.deadline
    }

    /// Ends the request now: the target has responded, or the request was not sent.
    pub fn mark_completed(mut self) {
        self.completed = true;
    }
}

impl Drop for LeaseGuard {
    fn drop(&mut self) {
        let (fronts, lease) = (self.fronts.clone(), self.lease.clone());
        let wait = fronts.inner.clock.until(self.deadline);
        if self.completed || wait.is_zero() {
            return fronts.end_request(&lease);
        }
        // Without a runtime the daemon is shutting down, and its lease ends.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move {
                sleep(wait).await;
                fronts.end_request(&lease);
            });
        }
    }
}

impl Fronts {
    /// Creates an empty set of leases for the daemon `link`.
    pub fn new(link: Link, clock: Clock) -> Self {
        Self {
            inner: Arc::new(Inner {
                link,
                clock,
                holders: Mutex::default(),
                forward: OnceLock::new(),
                request_path: OnceLock::new(),
            }),
        }
    }

    /// Sets the function that forwards requests to other front daemons. Later calls have no effect.
    pub fn set_forwarder(&self, forward: ForwardFn) {
        let _ = self.inner.forward.set(forward);
    }

    /// Sets the request path that serves forwarded requests, on the current runtime. Later calls have
    /// no effect.
    pub fn attach_request_path(&self, shared: &Arc<Shared>) {
        let request_path = (Arc::downgrade(shared), Handle::current());
        let _ = self.inner.request_path.set(request_path);
    }

    /// Applies a grant on behalf of `target`.
    pub fn handle_grant(&self, target: VmName, grant: &GrantRequest) -> GrantReply {
        let now = self.inner.clock.now();
        let incarnation = self.inner.link.incarnation;
        self.holders()
            .entry((grant.group.clone(), target))
            .or_insert_with(|| LeaseHolder::new(incarnation))
            .grant(grant, now)
    }

    /// Which daemon holds the lease that a request to `target` requires.
    pub fn lease_location(
        &self,
        snapshot: &Snapshot,
        contract: &Contract,
        target: &VmName,
    ) -> LeaseLocation {
        if !contract.keyed || contract.checks_grants {
            return LeaseLocation::NotRequired;
        }
        let table = snapshot.tables.get(&group_of(contract));
        let me = &self.inner.link;
        match table.and_then(|table| table.front(target)) {
            None => LeaseLocation::Missing,
            Some(front) if front.name == me.name && front.incarnation == me.incarnation => {
                LeaseLocation::Local
            }
            Some(front) => LeaseLocation::Remote(front.clone()),
        }
    }

    /// Begins a request under a lease of this daemon.
    ///
    /// # Errors
    /// [`Code::NotOwner`] if this daemon does not hold the lease.
    pub fn begin(&self, lease: RequiredLease) -> Result<LeaseGuard, Code> {
        let now = self.inner.clock.now();
        let mut holders = self.holders();
        let holder = holders
            .get_mut(&(lease.group.clone(), lease.target.clone()))
            .ok_or(Code::NotOwner)?;
        holder
            .begin(lease.partition, lease.epoch, now)
            .map_err(|_| Code::NotOwner)?;
        let lease_ends = now + holder.lease_left(now).since(LEASE_MARGIN);
        Ok(LeaseGuard {
            fronts: self.clone(),
            lease_ends,
            deadline: lease_ends,
            lease,
            completed: false,
        })
    }

    /// Forwards a request to the front daemon `to`.
    pub async fn forward(&self, to: Link, req: ForwardRequest, left: Duration) -> ExchangeResult {
        let Some(forward) = self.inner.forward.get() else {
            return ExchangeResult::NotRun(Code::NoOwner);
        };
        match forward(to, req, left).await {
            Ok(PeerReply::Forward(reply)) => exchange_of(reply),
            Err(PeerError::NotSent(_)) => ExchangeResult::NotRun(Code::ConnectFailed),
            Err(PeerError::Timeout(_)) => ExchangeResult::MayHaveRun(Code::Timeout),
            Ok(_) | Err(_) => ExchangeResult::MayHaveRun(Code::ConnectionLost),
        }
    }

    /// Sends a forwarded request to its target, whose front daemon this daemon is.
    ///
    /// Dropping the future cancels the request.
    pub async fn serve(&self, req: ForwardRequest) -> ForwardReply {
        let request_path = self.inner.request_path.get();
        let shared = request_path.and_then(|(shared, runtime)| Some((shared.upgrade()?, runtime)));
        let Some((shared, runtime)) = shared else {
            return reply_of(ExchangeResult::NotRun(Code::NoOwner));
        };
        // The pooled connections belong to the runtime of the request path.
        let mut job = JoinSet::new();
        job.spawn_on(
            async move {
                let detached = DetachedGuard::new(&shared);
                serve(&detached.0, req).await
            },
            runtime,
        );
        match job.join_next().await {
            Some(Ok(result)) => reply_of(result),
            Some(Err(_)) | None => reply_of(ExchangeResult::MayHaveRun(Code::Internal)),
        }
    }

    /// Waits until all leases were withdrawn by the controllers or have expired, so that other front
    /// daemons can serve the targets; returns false if `limit` passes before.
    pub fn wait_for_release(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while !self.all_released() {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(RELEASE_POLL);
        }
        true
    }

    fn all_released(&self) -> bool {
        let now = self.inner.clock.now();
        let released = |holder: &LeaseHolder| {
            holder.owned().is_empty() || holder.lease_left(now) == Millis::ZERO
        };
        self.holders().values().all(released)
    }

    fn end_request(&self, lease: &RequiredLease) {
        let key = (lease.group.clone(), lease.target.clone());
        if let Some(holder) = self.holders().get_mut(&key) {
            holder.end(lease.partition);
        }
    }

    fn holders(&self) -> MutexGuard<'_, Map<(GroupId, VmName), LeaseHolder>> {
        let holders = self.inner.holders.lock();
        holders.unwrap_or_else(PoisonError::into_inner)
    }
}

/// The control group of a keyed service.
pub fn group_of(contract: &Contract) -> GroupId {
    GroupId::of(&contract.name)
}

async fn serve(cx: &Shared, req: ForwardRequest) -> ExchangeResult {
    let snapshot = cx.directory.snapshot().load_full();
    let Some((&key, target)) = snapshot
        .target_names
        .get(&req.target)
        .and_then(|key| Some((key, snapshot.targets.get(*key)?)))
    else {
        return ExchangeResult::NotRun(Code::NotOwner);
    };
    let Some(view) = snapshot.services.get(&target.service) else {
        return ExchangeResult::NotRun(Code::UnknownService);
    };
    let Some((message, partition)) = message_of(&req) else {
        return ExchangeResult::NotRun(Code::BadHeader);
    };
    let text = |name| message.headers().get(name)?.to_str().ok();
    let caller: Arc<str> = text(CALLER).unwrap_or("unknown").into();
    let id = text(REQUEST_ID).unwrap_or_default().to_owned();
    let state = cx.targets.state(key, target, &view.contract);
    let outbound = OutboundRequest {
        state: &state,
        target: &target.name.0,
        caller: &caller,
        queue_length: cx.queue_length(&snapshot),
        deadline: cx.clock.now() + Millis(req.time_left_ms),
        id: &id,
        lease: Some(RequiredLease {
            group: group_of(&view.contract),
            target: target.name.clone(),
            partition,
            epoch: req.ownership_epoch,
        }),
        message,
    };
    send(cx, outbound).await
}

/// The request to the target and its partition; `None` if a part of it is malformed.
fn message_of(req: &ForwardRequest) -> Option<(Request<Full<Bytes>>, Partition)> {
    let mut message = Request::new(Full::new(Bytes::copy_from_slice(&req.body)));
    *message.method_mut() = req.method.parse().ok()?;
    *message.uri_mut() = req.path.parse().ok()?;
    *message.headers_mut() = headers_of(&req.headers)?;
    let partition = message.headers().get(PARTITION)?.to_str().ok()?;
    let partition = Partition(partition.parse().ok()?);
    Some((message, partition))
}

fn headers_of(pairs: &[(Arc<str>, Vec<u8>)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name: HeaderName = name.parse().ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}

/// Headers in the form that daemons exchange.
pub fn pairs_of(headers: &HeaderMap) -> Vec<(Arc<str>, Vec<u8>)> {
    headers
        .iter()
        .map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec()))
        .collect()
}

fn reply_of(result: ExchangeResult) -> ForwardReply {
    match result {
        ExchangeResult::Answered(response) => ForwardReply::Answered {
            status: response.status.as_u16(),
            headers: pairs_of(&response.headers),
            body: response.body.to_vec(),
        },
        ExchangeResult::NotRun(code) => ForwardReply::NotRun(<&str>::from(code).into()),
        ExchangeResult::MayHaveRun(code) => ForwardReply::Unknown(<&str>::from(code).into()),
    }
}

fn exchange_of(reply: ForwardReply) -> ExchangeResult {
    match reply {
        ForwardReply::Answered {
            status,
            headers,
            body,
        } => match (StatusCode::from_u16(status), headers_of(&headers)) {
            (Ok(status), Some(headers)) => ExchangeResult::Answered(TargetResponse {
                status,
                headers,
                body: body.into(),
            }),
            _ => ExchangeResult::MayHaveRun(Code::AnswerTruncated),
        },
        // A daemon of another version may use codes that this version does not have.
        ForwardReply::NotRun(code) => {
            ExchangeResult::NotRun(code.parse().unwrap_or(Code::NotOwner))
        }
        ForwardReply::Unknown(code) => {
            ExchangeResult::MayHaveRun(code.parse().unwrap_or(Code::ConnectionLost))
        }
    }
}
