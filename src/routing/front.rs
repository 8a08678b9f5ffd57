//! Targets that do not check grants: one daemon, the front, holds the lease in place of the target,
//! and the other daemons pass requests to it.

use super::{
    exchange::Exchange,
    outcome::Answer,
    refusal::Code,
    sending::{Sending, send},
    shared::{Detached, Shared},
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

/// Kept back from the lease for the way of a request to the target, whose own count of the
/// deadline starts only when the request arrives.
const LEASE_MARGIN: Millis = Millis(50);
/// Time between checks whether all leases have been returned.
const RETURN_POLL: Duration = Duration::from_millis(10);

/// The reply of a front daemon.
pub type ForwardResult = Result<PeerReply, PeerError>;
/// Passes a request to a front daemon.
pub type ForwardFn = Box<
    dyn Fn(Link, ForwardRequest, Duration) -> Pin<Box<dyn Future<Output = ForwardResult> + Send>>
        + Send
        + Sync,
>;

/// Leases that this daemon holds in place of targets, and the way to other front daemons.
#[derive(Clone)]
pub struct Fronts {
    inner: Arc<Inner>,
}

struct Inner {
    link: Link,
    clock: Clock,
    holders: Mutex<Map<(GroupId, VmName), LeaseHolder>>,
    forward: OnceLock<ForwardFn>,
    path: OnceLock<(Weak<Shared>, Handle)>,
}

impl fmt::Debug for Fronts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Fronts").finish_non_exhaustive()
    }
}

/// Where a request for a target has to be sent from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// Any daemon: the target checks grants, or its service is not divided by key.
    Anywhere,
    /// This daemon, which is the target's front.
    Here,
    /// Another daemon.
    At(Link),
    /// No daemon is the target's front at the moment.
    Nowhere,
}

/// The lease that a request needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The control group.
    pub group: GroupId,
    /// The target.
    pub target: VmName,
    /// The partition.
    pub partition: Partition,
    /// The ownership epoch.
    pub epoch: u64,
}

/// A request that runs under a lease of this daemon.
///
/// Unless it is settled, it counts as running until the deadline that the target was told: the
/// target may go on with a request whose connection was lost, and its partition must not move.
#[derive(Debug)]
pub struct Running {
    fronts: Fronts,
    claim: Claim,
    lease_ends: Millis,
    deadline: Millis,
    settled: bool,
}

impl Running {
    /// Shortens `deadline` to the end of the lease, and takes it as what the target is told.
    pub fn limit(&mut self, deadline: Millis) -> Millis {
        self.deadline = deadline.min(self.lease_ends);
        self.deadline
    }

    /// The target has answered.
    pub fn settle(mut self) {
        self.settled = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let (fronts, claim) = (self.fronts.clone(), self.claim.clone());
        let wait = fronts.inner.clock.until(self.deadline);
        if self.settled || wait.is_zero() {
            return fronts.end(&claim);
        }
        // Without a runtime the daemon ends, and its lease with it.
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move {
                sleep(wait).await;
                fronts.end(&claim);
            });
        }
    }
}

impl Fronts {
    /// Creates a set without leases for the daemon `link`.
    pub fn new(link: Link, clock: Clock) -> Self {
        Self {
            inner: Arc::new(Inner {
                link,
                clock,
                holders: Mutex::default(),
                forward: OnceLock::new(),
                path: OnceLock::new(),
            }),
        }
    }

    /// Sets the way to other front daemons. Later calls have no effect.
    pub fn connect(&self, forward: ForwardFn) {
        let _ = self.inner.forward.set(forward);
    }

    /// Sets the request path, on the current runtime. Later calls have no effect.
    pub fn serve_on(&self, shared: &Arc<Shared>) {
        let path = (Arc::downgrade(shared), Handle::current());
        let _ = self.inner.path.set(path);
    }

    /// Takes a grant in place of `target`.
    pub fn take_grant(&self, target: VmName, grant: &GrantRequest) -> GrantReply {
        let now = self.inner.clock.now();
        let incarnation = self.inner.link.incarnation;
        self.holders()
            .entry((grant.group.clone(), target))
            .or_insert_with(|| LeaseHolder::new(incarnation))
            .grant(grant, now)
    }

    /// Where a request for `target` has to be sent from.
    pub fn place(&self, snapshot: &Snapshot, contract: &Contract, target: &VmName) -> Place {
        if !contract.keyed || contract.checks_grants {
            return Place::Anywhere;
        }
        let table = snapshot.tables.get(&group_of(contract));
        let me = &self.inner.link;
        match table.and_then(|table| table.front(target)) {
            None => Place::Nowhere,
            Some(front) if front.name == me.name && front.incarnation == me.incarnation => {
                Place::Here
            }
            Some(front) => Place::At(front.clone()),
        }
    }

    /// Admits a request under a lease of this daemon.
    ///
    /// # Errors
    /// [`Code::NotOwner`] if this daemon does not hold it.
    pub fn begin(&self, claim: Claim) -> Result<Running, Code> {
        let now = self.inner.clock.now();
        let mut holders = self.holders();
        let holder = holders
            .get_mut(&(claim.group.clone(), claim.target.clone()))
            .ok_or(Code::NotOwner)?;
        holder
            .begin(claim.partition, claim.epoch, now)
            .map_err(|_| Code::NotOwner)?;
        let lease_ends = now + holder.lease_left(now).since(LEASE_MARGIN);
        Ok(Running {
            fronts: self.clone(),
            lease_ends,
            deadline: lease_ends,
            claim,
            settled: false,
        })
    }

    /// Passes a request to the front daemon `to`.
    pub async fn forward(&self, to: Link, req: ForwardRequest, left: Duration) -> Exchange {
        let Some(forward) = self.inner.forward.get() else {
            return Exchange::NotRun(Code::NoOwner);
        };
        match forward(to, req, left).await {
            Ok(PeerReply::Forward(reply)) => exchange_of(reply),
            Err(PeerError::NotSent(_)) => Exchange::NotRun(Code::ConnectFailed),
            Err(PeerError::Timeout(_)) => Exchange::MayHaveRun(Code::Timeout),
            Ok(_) | Err(_) => Exchange::MayHaveRun(Code::ConnectionLost),
        }
    }

    /// Sends a request that another daemon passed on to a target that this daemon is the front of.
    ///
    /// Dropping the future cancels it.
    pub async fn serve(&self, req: ForwardRequest) -> ForwardReply {
        let path = self.inner.path.get();
        let shared = path.and_then(|(shared, runtime)| Some((shared.upgrade()?, runtime)));
        let Some((shared, runtime)) = shared else {
            return reply_of(Exchange::NotRun(Code::NoOwner));
        };
        // The target's connections belong to the runtime of the request path.
        let mut job = JoinSet::new();
        job.spawn_on(
            async move {
                let running = Detached::new(&shared);
                serve(&running.0, req).await
            },
            runtime,
        );
        match job.join_next().await {
            Some(Ok(result)) => reply_of(result),
            Some(Err(_)) | None => reply_of(Exchange::MayHaveRun(Code::Internal)),
        }
    }

    /// Waits until the controllers have taken back all leases, or until `limit` has passed;
    /// returns whether they have. Other fronts then serve the targets.
    pub fn wait_returned(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while !self.is_returned() {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(RETURN_POLL);
        }
        true
    }

    fn is_returned(&self) -> bool {
        let now = self.inner.clock.now();
        let returned = |holder: &LeaseHolder| {
            holder.owned().is_empty() || holder.lease_left(now) == Millis::ZERO
        };
        self.holders().values().all(returned)
    }

    fn end(&self, claim: &Claim) {
        let key = (claim.group.clone(), claim.target.clone());
        if let Some(holder) = self.holders().get_mut(&key) {
            holder.end(claim.partition);
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

async fn serve(cx: &Shared, req: ForwardRequest) -> Exchange {
    let snapshot = cx.directory.snapshot().load_full();
    let Some((&key, target)) = snapshot
        .target_names
        .get(&req.target)
        .and_then(|key| Some((key, snapshot.targets.get(*key)?)))
    else {
        return Exchange::NotRun(Code::NotOwner);
    };
    let Some(view) = snapshot.services.get(&target.service) else {
        return Exchange::NotRun(Code::UnknownService);
    };
    let Some((message, partition)) = message_of(&req) else {
        return Exchange::NotRun(Code::BadHeader);
    };
    let text = |name| message.headers().get(name)?.to_str().ok();
    let caller: Arc<str> = text(CALLER).unwrap_or("unknown").into();
    let id = text(REQUEST_ID).unwrap_or_default().to_owned();
    let state = cx.targets.state(key, target, &view.contract);
    let sending = Sending {
        state: &state,
        target: &target.name.0,
        caller: &caller,
        queue_length: cx.queue_length(&snapshot),
        deadline: cx.clock.now() + Millis(req.time_left_ms),
        id: &id,
        claim: Some(Claim {
            group: group_of(&view.contract),
            target: target.name.clone(),
            partition,
            epoch: req.ownership_epoch,
        }),
        message,
    };
    send(cx, sending).await
}

/// The message to the target, and the partition that it claims.
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

/// Headers as daemons exchange them.
pub fn pairs_of(headers: &HeaderMap) -> Vec<(Arc<str>, Vec<u8>)> {
    headers
        .iter()
        .map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec()))
        .collect()
}

fn reply_of(result: Exchange) -> ForwardReply {
    match result {
        Exchange::Answered(answer) => ForwardReply::Answered {
            status: answer.status.as_u16(),
            headers: pairs_of(&answer.headers),
            body: answer.body.to_vec(),
        },
        Exchange::NotRun(code) => ForwardReply::NotRun(<&str>::from(code).into()),
        Exchange::MayHaveRun(code) => ForwardReply::Unknown(<&str>::from(code).into()),
    }
}

fn exchange_of(reply: ForwardReply) -> Exchange {
    match reply {
        ForwardReply::Answered {
            status,
            headers,
            body,
        } => match (StatusCode::from_u16(status), headers_of(&headers)) {
            (Ok(status), Some(headers)) => Exchange::Answered(Answer {
                status,
                headers,
                body: body.into(),
            }),
            _ => Exchange::MayHaveRun(Code::AnswerTruncated),
        },
        // A daemon of another version may use codes that this one does not know.
        ForwardReply::NotRun(code) => Exchange::NotRun(code.parse().unwrap_or(Code::NotOwner)),
        ForwardReply::Unknown(code) => {
            Exchange::MayHaveRun(code.parse().unwrap_or(Code::ConnectionLost))
        }
    }
}
