//! What is decided on a request before an endpoint is looked for: its route, time limit, service, key
//! and expected work.

use super::ActiveRequest;
use crate::{
    clock::Millis,
    gateway::{
        claim::Claim,
        cost::RequestClass,
        model::{Key, Share},
        reply::RejectionReason,
        routes::RouteEntry,
        stop::{self, Stop},
        view::View,
    },
    world::ServiceName,
};
use std::sync::Arc;

/// Longest time that a request is queued, in percent of the route's latency objective.
const MAX_QUEUE_TIME_PERCENT: u64 = 120;

/// What a request's head says, as far as it decides where the request goes.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Host, which may have a port; `None` if it is missing or not text.
    pub host: Option<&'a str>,
    /// Path without the query.
    pub path: &'a str,
    /// Time limit of the caller, if it states one.
    pub time_limit: Option<Millis>,
    /// When it arrived.
    pub at: Millis,
}

/// A request with a route that may begin.
#[derive(Clone, Copy, Debug)]
pub struct Admitted<'a> {
    /// The route that matched.
    pub entry: &'a Arc<RouteEntry>,
    /// Earlier one of the caller's deadline and the route's time-out.
    pub deadline: Millis,
}

/// A request that has no route, or must not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotAdmitted {
    /// The reason.
    pub reason: RejectionReason,
    /// Deadline of the request, or its arrival if no route tells one.
    pub deadline: Millis,
}

/// A request that no endpoint is looked for, because of its service or key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unassigned {
    /// The service that the route's split chose, if it has any.
    pub service: Option<ServiceName>,
    /// The reason.
    pub reason: RejectionReason,
}

/// Finds the route of a request, and decides whether it may begin. `stop` is the daemon's stop, once it
/// has begun.
///
/// # Errors
/// [`NotAdmitted`] if the request is rejected.
pub fn admit<'a>(
    view: &'a View,
    arrival: Arrival<'_>,
    stop: Option<Stop>,
) -> Result<Admitted<'a>, NotAdmitted> {
    let without_route = |reason| NotAdmitted {
        reason,
        deadline: arrival.at,
    };
    if view.version == 0 {
        return Err(without_route(RejectionReason::NotConfigured));
    }
    let found = arrival
        .host
        .and_then(|host| view.routes.find(host, arrival.path));
    let entry = found.ok_or_else(|| without_route(RejectionReason::NoRoute))?;
    let timeout = entry.route.timeout;
    let time_limit = arrival
        .time_limit
        .map_or(timeout, |limit| limit.min(timeout));
    let deadline = arrival.at + time_limit;
    if !stop::may_begin(stop, arrival.at, deadline) {
        let reason = RejectionReason::Stopping;
        return Err(NotAdmitted { reason, deadline });
    }
    Ok(Admitted { entry, deadline })
}

/// Largest request body, in bytes.
pub fn max_body_bytes(view: &View) -> usize {
    usize::try_from(view.limits.max_body_bytes).unwrap_or(usize::MAX)
}

/// Assigns an admitted request that arrived at `arrived` to the service of the next share of its
/// route's split.
///
/// # Errors
/// [`Unassigned`] if the request is rejected.
pub fn assign<'a>(
    view: &View,
    admitted: Admitted<'a>,
    class: &RequestClass,
    key: Option<Key>,
    arrived: Millis,
    claim: Claim,
) -> Result<ActiveRequest<'a>, Unassigned> {
    let entry = admitted.entry;
    let share = match claim {
        Claim::Take => entry.next_share(),
        Claim::Peek => entry.peek_share(),
    };
    assign_to(view, admitted, share, class, key, arrived)
}

/// Assigns an admitted request to the service of `share`; `None` if its route has none.
///
/// # Errors
/// [`Unassigned`] if the request is rejected.
pub fn assign_to<'a>(
    view: &View,
    admitted: Admitted<'a>,
    share: Option<&Share>,
    class: &RequestClass,
    key: Option<Key>,
    arrived: Millis,
) -> Result<ActiveRequest<'a>, Unassigned> {
    let name = share.map(|share| share.service.clone());
    let unassigned = |reason| Unassigned {
        service: name.clone(),
        reason,
    };
    let service = name.as_ref().and_then(|name| view.services.get(name));
    let service = service.ok_or_else(|| unassigned(RejectionReason::NoEndpoint))?;
    if service.keyed && key.is_none() {
        return Err(unassigned(RejectionReason::BadKey));
    }
    let (route, deadline) = (&admitted.entry.route, admitted.deadline);
    let max_queue_time = Millis(route.latency_objective.0 * MAX_QUEUE_TIME_PERCENT / 100);
    Ok(ActiveRequest {
        route,
        service: service.name.clone(),
        key: key.filter(|_| service.keyed),
        cost: service.state.costs.estimate(class, arrived),
        arrived,
        deadline,
        queue_deadline: (arrived + max_queue_time).min(deadline),
        has_returned: false,
        tried: Vec::new(),
        sends: 0,
    })
}
