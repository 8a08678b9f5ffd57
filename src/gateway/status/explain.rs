//! Explains one key of a service: its range and owner, and what keeps this daemon's requests from
//! the owner.

use crate::{
    clock::Millis,
    gateway::{
        model::{Key, KeyRange},
        view::{Member, View},
    },
    world::ServiceName,
};
use serde::Serialize;
use std::{net::SocketAddr, sync::Arc};

/// Why a key cannot be explained.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExplainError {
    /// The path is incomplete.
    #[error("the path must be /explain/SERVICE/KEY")]
    Incomplete,
    /// There is no configuration yet.
    #[error("this daemon has no configuration yet")]
    NoConfiguration,
    /// The configuration has no such service.
    #[error("the configuration has no service named {0}")]
    UnknownService(Arc<str>),
    /// The endpoints of the service own no keys.
    #[error("service {0} is not divided by key")]
    NotKeyed(Arc<str>),
    /// The text is not a key.
    #[error("{0} is not a key; keys are numbers from 0 to {max}", max = Key::MAX)]
    NotAKey(Arc<str>),
    /// No range contains the key.
    #[error("this daemon knows no owner of key {0}")]
    NoOwner(Key),
}

/// What a daemon knows of a key.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: Key,
    /// The range that contains the key.
    pub range: KeyRange,
    /// Token of the assignment.
    pub token: u64,
    /// The owner.
    pub owner: Owner,
    /// The owner's earliest notice that it leaves. The time left is that until the daemon sends it no
    /// more requests for the key.
    pub leaving: Option<Restriction>,
    /// The evacuation of the owner's zone. The time left is that until the daemon sends the owner no more
    /// requests for the key.
    pub evacuation: Option<Restriction>,
    /// The pause that the owner requested from this daemon. The time left is that until its end.
    pub pause: Option<Restriction>,
    /// The limit that the owner named.
    pub limit: Option<NamedLimit>,
    /// The limit of a cold owner.
    pub cold: Option<Cold>,
}

/// The limit of a cold endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Cold {
    /// Most requests in any second from all daemons together.
    pub most_per_second: u32,
    /// Time since the daemon learned that the endpoint is cold, in milliseconds.
    pub age_ms: u64,
    /// Time until it is warm, in milliseconds.
    pub left_ms: u64,
    /// Mean time between two requests that this daemon may send, in milliseconds.
    pub interval_ms: u64,
}

/// A limit that an endpoint named.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct NamedLimit {
    /// Requests per second from all daemons together.
    pub per_second: f64,
    /// Where the daemon learned of it.
    pub source: Arc<str>,
    /// Time since the daemon learned that the endpoint names a limit, in milliseconds.
    pub age_ms: u64,
    /// Mean time between two requests that this daemon may send, in milliseconds.
    pub interval_ms: u64,
    /// Requests that this daemon has sent under limits of this life.
    pub sent: u64,
}

/// The life of an endpoint that owns a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Owner {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Start time by the endpoint's clock, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Address in the assignment.
    pub addr: SocketAddr,
    /// Whether this life has a registry entry. Otherwise it gets no requests, and the daemon has no
    /// notice or pause of it to show.
    pub registered: bool,
}

/// What keeps requests from the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Restriction {
    /// Where the daemon learned of it.
    pub source: Arc<str>,
    /// Time since it was given, in milliseconds.
    pub age_ms: u64,
    /// Time left, in milliseconds.
    pub left_ms: u64,
}

/// Explains the key that `request`, the part `SERVICE/KEY` of the path, names. This takes no lock
/// that requests wait for.
///
/// # Errors
/// [`ExplainError`] if the request names no known key of a service.
pub fn explain(view: &View, request: &str, now: Millis) -> Result<Explanation, ExplainError> {
    let parts = request.rsplit_once('/');
    let parts = parts.filter(|(name, key)| !name.is_empty() && !key.is_empty());
    let (name, key_text) = parts.ok_or(ExplainError::Incomplete)?;
    if view.version == 0 {
        return Err(ExplainError::NoConfiguration);
    }
    let unknown = || ExplainError::UnknownService(name.into());
    let service = view.services.get(&name.into()).ok_or_else(unknown)?;
    if !service.keyed {
        return Err(ExplainError::NotKeyed(name.into()));
    }
    let key: Result<Key, _> = key_text.parse();
    let key = key.map_err(|_| ExplainError::NotAKey(key_text.into()))?;
    let range = service.owners.range_of(key);
    let range = range.ok_or(ExplainError::NoOwner(key))?;
    let member = service.member_of(key).map(|(_, member)| member);
    Ok(Explanation {
        service: service.name.clone(),
        key,
        range: range.keys,
        token: range.token,
        owner: Owner {
            endpoint: Arc::clone(&range.owner.name),
            started_at_ms: range.owner.started_at_ms,
            addr: range.addr,
            registered: member.is_some(),
        },
        leaving: member.and_then(|member| leaving(member, now)),
        evacuation: member.and_then(|member| evacuation(view, member, now)),
        pause: member.and_then(|member| pause(member, now)),
        limit: member.and_then(|member| limit(member, now)),
        cold: member.and_then(|member| cold(member, now)),
    })
}

/// The limit of an endpoint that is cold.
pub(super) fn cold(member: &Member, now: Millis) -> Option<Cold> {
    let rate_limit = &member.backend.rate_limit;
    let cold = rate_limit.cold(now)?;
    Some(Cold {
        most_per_second: cold.limit.most_per_second(),
        age_ms: now.since(cold.since).0,
        left_ms: cold.until.since(now).0,
        interval_ms: rate_limit.interval(now)?.0,
    })
}

/// The earliest notice that an endpoint leaves, and for how long it still gets requests.
pub(super) fn leaving(member: &Member, now: Millis) -> Option<Restriction> {
    let life = &member.backend.leaving;
    let notice = life.notices().first()?;
    let used_until = life.deadlines()?.until.min(member.backend.closes_at());
    Some(Restriction {
        source: notice.source.to_string().into(),
        age_ms: notice.age_at(now).0,
        left_ms: used_until.since(now).0,
    })
}

/// The evacuation of an owner's zone.
fn evacuation(view: &View, owner: &Member, now: Millis) -> Option<Restriction> {
    let evacuation = view.evacuations.of(&owner.backend.entry.zone)?;
    Some(Restriction {
        source: "operator".into(),
        age_ms: now.since(evacuation.learned_at).0,
        left_ms: owner.backend.closes_at().since(now).0,
    })
}

/// The limit that an endpoint named, to whichever daemon.
pub(super) fn limit(member: &Member, now: Millis) -> Option<NamedLimit> {
    let rate_limit = &member.backend.rate_limit;
    let limit = rate_limit.current()?;
    Some(NamedLimit {
        per_second: limit.rate.per_second(),
        source: limit.source.to_string().into(),
        age_ms: now.since(limit.since).0,
        interval_ms: rate_limit.interval(now)?.0,
        sent: rate_limit.sent(),
    })
}

/// The pause that an endpoint requested. Only its own responses to this daemon can request one.
pub(super) fn pause(member: &Member, now: Millis) -> Option<Restriction> {
    let pause = member.backend.pause.in_progress(now)?;
    Some(Restriction {
        source: "response".into(),
        age_ms: now.since(pause.started).0,
        left_ms: pause.until.since(now).0,
    })
}
