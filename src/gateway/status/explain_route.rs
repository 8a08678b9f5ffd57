//! Explains where a request would go now, and why, without sending it. The decision is that of the
//! request path, which changes nothing here.

mod endpoints;
pub mod query;
pub mod report;

pub use endpoints::MAX_ENDPOINTS;

use crate::{
    clock::Millis,
    gateway::{
        claim::Claim,
        cost::RequestClass,
        forward::{
            ActiveRequest,
            acquire::{Decision, Step},
            admission::{self, Admitted, Arrival},
            rejection::Rejected,
        },
        model::{Key, Share},
        reply::RejectionReason,
        stop::Stop,
        view::{ServiceView, View},
        wait_queue::Ticket,
    },
    world::ServiceName,
};
use endpoints::Comparison;
use query::RouteQuery;
use report::{
    Cost, DataAges, MatchedRoute, OwnedKey, Queue, RequestOutcome, RouteExplanation, SplitShare,
};
use std::sync::Arc;

/// What an explanation reads.
#[derive(Clone, Copy)]
pub struct ExplainContext<'a> {
    /// The current routes, endpoints and key owners.
    pub view: &'a View,
    /// The daemon's stop, once it has begun.
    pub stop: Option<Stop>,
    /// Number of daemons that share the endpoints.
    pub daemons: usize,
    /// Stands for the random variables with which the request path chooses between endpoints.
    pub sample: &'a (dyn Fn() -> f64 + Sync),
    /// The time of the explanation.
    pub now: Millis,
}

/// The sample of an explanation: with equal samples the most probable endpoint is chosen.
pub fn equal_sample() -> f64 {
    1.0
}

/// Explains where the request of `query` would go.
pub fn explain_route(cx: ExplainContext<'_>, query: &RouteQuery) -> RouteExplanation {
    let mut explanation = empty(cx, query);
    let arrival = Arrival {
        host: Some(&query.host),
        path: &query.path,
        time_limit: query.time_limit,
        at: cx.now,
    };
    let admitted = match admission::admit(cx.view, arrival, cx.stop) {
        Ok(admitted) => admitted,
        Err(e) => {
            explanation.time_limit_ms = e.deadline.since(cx.now).0;
            explanation.outcome = cx.rejection(None, query, e.reason, e.deadline);
            return explanation;
        }
    };
    let deadline = admitted.deadline;
    explanation.time_limit_ms = deadline.since(cx.now).0;
    explanation.route = Some(matched_route(admitted));
    if query.body_bytes > admission::max_body_bytes(cx.view) {
        let reason = RejectionReason::BodyTooLarge;
        explanation.outcome = cx.rejection(None, query, reason, deadline);
        return explanation;
    }
    let class = class_of(admitted, query);
    let assigned = match named_share(admitted, query) {
        Some(share) => admission::assign_to(cx.view, admitted, share, &class, query.key, cx.now),
        None => admission::assign(cx.view, admitted, &class, query.key, cx.now, Claim::Peek),
    };
    match assigned {
        Ok(request) => cx.explain_request(&request, query, &class, &mut explanation),
        Err(e) => {
            let service = e.service.as_ref();
            explanation.outcome = cx.rejection(service, query, e.reason, deadline);
            explanation.service = e.service;
        }
    }
    explanation
}

impl ExplainContext<'_> {
    fn explain_request(
        self,
        request: &ActiveRequest<'_>,
        query: &RouteQuery,
        class: &RequestClass,
        explanation: &mut RouteExplanation,
    ) {
        let decision = Decision {
            view: self.view,
            stop: self.stop,
            daemons: self.daemons,
            claim: Claim::Peek,
            sample: self.sample,
            now: self.now,
        };
        let (mut ticket, mut queue_deadline) = (None, request.queue_deadline);
        let step = decision.step(request, &mut ticket, &mut queue_deadline);
        explanation.outcome = match step {
            Step::Send(backend) => RequestOutcome::Send {
                endpoint: Arc::clone(&backend.entry.instance.name),
            },
            Step::Wait { reason, .. } => RequestOutcome::Queue {
                reason: reason.to_string().into(),
                at_most_ms: queue_deadline.since(self.now).0,
            },
            Step::Reject(reason) => {
                let (service, deadline) = (Some(&request.service), request.deadline);
                self.rejection(service, query, reason, deadline)
            }
        };
        explanation.service = Some(request.service.clone());
        explanation.key = request.key;
        let Some(service) = self.view.services.get(&request.service) else {
            return;
        };
        explanation.data.is_cut_off = service.is_cut_off;
        explanation.cost = Some(cost_of(service, request, class, self.now));
        match request.key {
            Some(key) => self.explain_owner(service, key, request, ticket, explanation),
            None => self.explain_service(&decision, service, request, ticket, explanation),
        }
    }

    fn explain_service(
        self,
        decision: &Decision<'_>,
        service: &ServiceView,
        request: &ActiveRequest<'_>,
        ticket: Option<Ticket>,
        explanation: &mut RouteExplanation,
    ) {
        let queue = &service.state.queue;
        explanation.queue = ticket.map(|ticket| Queue {
            ahead: queue.ahead_of(ticket),
            work_ahead: queue.work_ahead_of(ticket) + 0.0,
            wait_ms: finite(decision.wait_ms_for_any(service, ticket)),
        });
        let is_first = ticket.is_none_or(|ticket| !queue.has_earlier(ticket));
        let (states, omitted) = endpoints::of_service(service, self.comparison(request, is_first));
        explanation.endpoints = states;
        explanation.endpoints_omitted = omitted;
    }

    fn explain_owner(
        self,
        service: &ServiceView,
        key: Key,
        request: &ActiveRequest<'_>,
        ticket: Option<Ticket>,
        explanation: &mut RouteExplanation,
    ) {
        let now = self.now;
        let member = service.member_of(key).map(|(_, member)| member);
        explanation.owner = service.owners.range_of(key).map(|range| OwnedKey {
            range: range.keys,
            token: range.token,
            endpoint: Arc::clone(&range.owner.name),
            started_at_ms: range.owner.started_at_ms,
            registered: member.is_some(),
            held_back_ms: member
                .and_then(|member| member.backend.held_back_until(key, range.token, now))
                .map(|until| until.since(now).0),
        });
        let Some(member) = member else {
            return;
        };
        let (backend, queue) = (&member.backend, &member.backend.queue);
        explanation.queue = ticket.map(|ticket| {
            let (ahead, work_ahead) = (queue.ahead_of(ticket), queue.work_ahead_of(ticket));
            Queue {
                ahead,
                work_ahead: work_ahead + 0.0,
                wait_ms: finite(backend.wait_ms(ahead, work_ahead, now)),
            }
        });
        let is_first = ticket.is_none_or(|ticket| !queue.has_earlier(ticket));
        let state = endpoints::of_owner(member, self.comparison(request, is_first));
        explanation.endpoints.push(state);
    }

    fn comparison(self, request: &ActiveRequest<'_>, is_first: bool) -> Comparison {
        Comparison {
            work_ms: request.cost.choice_ms,
            daemons: self.daemons,
            is_first,
            now: self.now,
        }
    }

    fn rejection(
        self,
        service: Option<&ServiceName>,
        query: &RouteQuery,
        reason: RejectionReason,
        deadline: Millis,
    ) -> RequestOutcome {
        let rejected = Rejected {
            view: self.view,
            service,
            key: query.key,
            left: deadline.since(self.now),
            stated_left: query.time_limit,
            claim: Claim::Peek,
            now: self.now,
        };
        let window = rejected.return_window(reason);
        RequestOutcome::Reject {
            reason: reason.to_string().into(),
            status: reason.status().as_u16(),
            retry_after_ms: window.map(|window| [window.start().0, window.end().0]),
        }
    }
}

/// An explanation of a request of which nothing is known yet.
fn empty(cx: ExplainContext<'_>, query: &RouteQuery) -> RouteExplanation {
    let (freshness, now) = (&cx.view.freshness, cx.now);
    let ms = |age: Option<Millis>| age.map(|age| age.0);
    RouteExplanation {
        outcome: cx.rejection(None, query, RejectionReason::NotConfigured, now),
        data: DataAges {
            config_version: cx.view.version,
            config_in_force_ms: ms(freshness.config_age(now)),
            declarations_ms: ms(freshness.declarations_age(now)),
            endpoints_ms: ms(freshness.endpoints_age(now)),
            controller_reply_ms: ms(freshness.reply_age(now)),
            is_cut_off: false,
        },
        daemons: cx.daemons,
        route: None,
        service: None,
        key: None,
        time_limit_ms: 0,
        cost: None,
        owner: None,
        queue: None,
        endpoints: Vec::new(),
        endpoints_omitted: Default::default(),
    }
}

fn matched_route(admitted: Admitted<'_>) -> MatchedRoute {
    let route = &admitted.entry.route;
    let next = admitted.entry.peek_share();
    let total: f64 = route.shares.iter().map(|share| share.weight).sum();
    let shares = route.shares.iter().map(|share| SplitShare {
        service: share.service.clone(),
        part: if total > 0.0 {
            share.weight / total
        } else {
            0.0
        },
        is_next: next.is_some_and(|next| next.service == share.service),
    });
    MatchedRoute {
        name: Arc::clone(&route.name),
        host: Arc::clone(&route.host),
        prefix: Arc::clone(&route.prefix),
        timeout_ms: route.timeout.0,
        latency_objective_ms: route.latency_objective.0,
        priority: route.priority,
        shares: shares.collect(),
    }
}

fn class_of(admitted: Admitted<'_>, query: &RouteQuery) -> RequestClass {
    let route = &admitted.entry.route;
    let (method, path) = (&query.method, &query.path);
    RequestClass::new(&route.name, &route.prefix, method, path, query.body_bytes)
}

/// The share that the query names; `None` if it names none.
fn named_share<'a>(admitted: Admitted<'a>, query: &RouteQuery) -> Option<Option<&'a Share>> {
    let service = query.service.as_ref()?;
    let mut shares = admitted.entry.route.shares.iter();
    Some(shares.find(|share| share.service == *service))
}

fn cost_of(
    service: &ServiceView,
    request: &ActiveRequest<'_>,
    class: &RequestClass,
    now: Millis,
) -> Cost {
    let (cost, evidence) = (&request.cost, service.state.costs.evidence(class));
    Cost {
        mean_ms: cost.mean_ms,
        choice_ms: cost.choice_ms,
        least_ms: cost.least_ms,
        samples: evidence.map_or(0.0, |(samples, _)| samples),
        age_ms: evidence.map(|(_, at)| now.since(at).0),
    }
}

/// The value unless it is infinite. An empty sum is -0, which adding 0 turns into 0.
fn finite(ms: f64) -> Option<f64> {
    ms.is_finite().then_some(ms + 0.0)
}
