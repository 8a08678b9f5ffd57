//! Random states of a daemon, and random requests.

use crate::leaving::{DRAIN, local};
use fireflygauge::{
    clock::Millis,
    gateway::{
        backend::{Backend, ExchangeOutcome, Load},
        budget::BudgetRule,
        cost::RequestClass,
        evacuation::{DeclaredRows, EvacuationRequest, EvacuationRow},
        load_header::Slowdown,
        model::{
            CallerLimits, Configuration, EndpointEntry, EndpointInstance, Key, KeyRange,
            RetryPolicy, Route, Service, Share,
        },
        owners::{OwnedRange, Owners},
        platform::{Rows, StoredRow},
        rate_limit::{Announcement, ColdRule, Rate},
        status::explain_route::query::RouteQuery,
        view::ViewBuilder,
    },
    world::ZoneName,
};
use rand::{Rng, rngs::StdRng};

/// When the states begin.
pub const START: Millis = Millis(20_000);
/// Largest request body, in bytes.
const MAX_BODY: u64 = 1_000;

pub fn share(service: &str, weight: f64) -> Share {
    Share {
        service: service.into(),
        weight,
    }
}

pub fn configuration(rng: &mut StdRng) -> Configuration {
    let service = |name: &str, keyed| Service {
        name: name.into(),
        keyed,
        max_connections: 100,
        warmup_rate: Rate::new(4.0),
    };
    let services = [service("any", false), service("keyed", true)];
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/r/".into(),
        retry_policy: RetryPolicy::Allowed,
        timeout: Millis(1_500),
        latency_objective: Millis(rng.random_range(50..800)),
        priority: 1,
        max_attempts: 3,
        shares: match rng.random_range(0..8) {
            0 => Vec::new(),
            1 => vec![share("any", 1.0), share("unknown", 0.5)],
            2 | 3 => vec![share("any", 1.0), share("keyed", 2.0)],
            4 | 5 => vec![share("any", 1.0)],
            _ => vec![share("keyed", 1.0)],
        },
    };
    Configuration {
        version: 1,
        routes: vec![route],
        services: services.map(|s| (s.name.clone(), s)).into_iter().collect(),
        limits: CallerLimits {
            max_body_bytes: MAX_BODY,
            ..CallerLimits::default()
        },
    }
}

pub fn entry(rng: &mut StdRng, number: usize) -> EndpointEntry {
    EndpointEntry {
        instance: EndpointInstance {
            name: format!("e{number}").into(),
            started_at_ms: 1,
        },
        service: ["any", "keyed"][number % 2].into(),
        addr: local(number as u16 + 1),
        zone: ["a", "b"][rng.random_range(0..2)].into(),
        slots: rng.random_range(1..5),
        draining: rng.random_bool(0.08),
        remaining_warmup: Millis(if rng.random_bool(0.1) { 5_000 } else { 0 }),
        sequence: 0,
    }
}

fn requested_evacuation(row: &StoredRow) -> Option<EvacuationRow> {
    Some(EvacuationRow {
        zone: (&*row.name).into(),
        request: EvacuationRequest::Requested,
    })
}

fn evacuate(builder: &mut ViewBuilder, zone: &str, now: Millis) {
    let row = StoredRow {
        name: zone.into(),
        version: 1,
        value: Some("{}".into()),
    };
    let rows = Rows {
        rows: vec![row],
        version: 1,
    };
    let declared = DeclaredRows {
        rows: &rows,
        is_snapshot: true,
        as_of: now,
        since: Some(now),
    };
    builder
        .evacuations()
        .apply_rows(declared, requested_evacuation, now);
}

pub fn random_builder(rng: &mut StdRng) -> ViewBuilder {
    let rule = BudgetRule {
        ratio: 0.2,
        extra: 50.0,
        window: Millis(10_000),
    };
    let cold_rule = ColdRule {
        overage: 1.5,
        slack: 4.0,
    };
    let mut builder = ViewBuilder::new(ZoneName("a".into()), rule, DRAIN)
        .with_evacuation_time(Millis(2_000))
        .with_cold_rule(Some(cold_rule));
    if rng.random_bool(0.97) {
        builder.set_config(configuration(rng));
    }
    let entries: Vec<EndpointEntry> = (0..rng.random_range(1..15))
        .map(|number| entry(rng, number))
        .collect();
    for entry in &entries {
        builder.register(entry.clone(), START, START);
    }
    let keyed: Vec<&EndpointEntry> = entries
        .iter()
        .filter(|e| &*e.service.0 == "keyed")
        .collect();
    let ranges = keyed.iter().enumerate().map(|(i, entry)| OwnedRange {
        keys: KeyRange {
            first: i as Key * 10,
            last: i as Key * 10 + 9,
        },
        owner: entry.instance.clone(),
        addr: entry.addr,
        token: 1,
        handover: None,
    });
    builder.set_owners("keyed".into(), 1, Owners::new(ranges.collect()));
    if rng.random_bool(0.15) {
        evacuate(&mut builder, "b", START);
    }
    if rng.random_bool(0.2) {
        builder.rate_limits().issuing().suspend(3);
    }
    builder.rate_limits().issuing().record_daemons(3, START);
    builder.set_cut_off(rng.random_bool(0.2));
    builder
}

fn random_outcome(rng: &mut StdRng) -> ExchangeOutcome {
    match rng.random_range(0..12) {
        0 => ExchangeOutcome::Failed,
        1 => ExchangeOutcome::Shed,
        2 | 3 => ExchangeOutcome::Lost,
        4 => ExchangeOutcome::Replaced,
        _ => ExchangeOutcome::Answered(Millis(rng.random_range(1..2_000))),
    }
}

/// Lets something happen at an endpoint.
pub fn disturb(rng: &mut StdRng, backend: &Backend, now: Millis) {
    let class = RequestClass::from("r");
    match rng.random_range(0..16) {
        0..=6 => {
            if backend.try_acquire(now) {
                backend.start_work(class, now);
            }
        }
        7..=10 => {
            let load = Load {
                running: rng.random_range(0..6),
                waiting: rng.random_range(0..8),
                slots: backend.entry.slots,
            };
            let load = rng.random_bool(0.6).then_some(load);
            backend.release(random_outcome(rng), load, &class, 3, now);
        }
        11 => {
            backend.begin_pause(Millis(rng.random_range(1..4_000)), 3, now);
        }
        12 => {
            let rate = Rate::new(rng.random_range(0.2..20.0)).expect("a valid rate");
            let named = Announcement::Named(rate);
            backend.rate_limit.record(named, now, now);
        }
        13 => backend.record_leaving(true, now, now),
        14 => backend.record_not_owner(rng.random_range(0..40), 1, now),
        _ => backend.record_slowdown(Slowdown::from_percent(rng.random_range(50..400)), now),
    }
}

pub fn random_query(rng: &mut StdRng) -> RouteQuery {
    RouteQuery {
        host: if rng.random_bool(0.97) { "h" } else { "x" }.into(),
        path: "/r/things/1".into(),
        method: "GET".into(),
        key: rng.random_bool(0.9).then(|| rng.random_range(0..40)),
        body_bytes: if rng.random_bool(0.02) { 2_000 } else { 10 },
        time_limit: rng
            .random_bool(0.7)
            .then(|| Millis([0, 5, 300, 1_000, 2_000][rng.random_range(0..5)])),
        service: None,
    }
}
