//! Guards against messages of peers and rows of the store that cause a panic or an overflow: one such
//! message must cost no more than itself.

use fireflygauge::{
    clock::Millis,
    gateway::{
        backend::{Backend, ExchangeOutcome, Load, Shared},
        controller_lease::LeaseRow,
        endpoint_set::FleetPosition,
        evacuation::{EvacuatedZone, EvacuationsUpdate},
        fleet_digest::FleetDigest,
        leaving::{LeavingLife, lives::Lives},
        load_stats::LoadReport,
        model::{EndpointEntry, EndpointInstance},
        owners::{Owners, OwnersChange},
        pause::PauseReport,
        rate_limit::LimitReport,
        relative_latency::RelativeLatencyUpdate,
    },
    peer::{
        codec::{self, PROTOCOL_VERSION},
        message::{DaemonReport, PeerReply, PeerRequest, ReportReply},
    },
    world::{Incarnation, VmName},
};
use proptest::prelude::*;

fn report() -> PeerRequest {
    PeerRequest::Report(DaemonReport {
        name: VmName("d".into()),
        incarnation: Incarnation::random(),
        zone: "a".into(),
        owners: vec![("s".into(), 3)],
        endpoints: 4,
        relative_latencies: (1, 2),
        controller_cores: 0.5,
        load: LoadReport::default(),
        leaving: vec![LeavingLife {
            instance: EndpointInstance {
                name: "e".into(),
                started_at_ms: 1,
            },
            age: Millis(20),
        }],
        pauses: vec![PauseReport {
            endpoint: EndpointInstance {
                name: "e".into(),
                started_at_ms: 1,
            },
            left: Millis(500),
        }],
        limits: vec![LimitReport {
            endpoint: EndpointInstance {
                name: "e".into(),
                started_at_ms: 1,
            },
            per_second: Some(7.5),
            age: Millis(20),
        }],
        owner_tokens: vec![("s".into(), 5)],
        lease_version: 2,
        known_since: Some(1),
        fleet: None,
    })
}

fn reply() -> PeerReply {
    PeerReply::Report(ReportReply {
        lease: None,
        waited: Millis(400),
        daemons: 2,
        fleet: Some(FleetDigest::of(&["d0".into(), "d1".into()].map(VmName))),
        position: Some(FleetPosition::of_rank(1, 2)),
        owners: Vec::new(),
        endpoints: None,
        declarations: 5,
        relative_latencies: RelativeLatencyUpdate::default(),
        leaving: vec![LeavingLife {
            instance: EndpointInstance {
                name: "e".into(),
                started_at_ms: 1,
            },
            age: Millis(20),
        }],
        limits: vec![LimitReport {
            endpoint: EndpointInstance {
                name: "e".into(),
                started_at_ms: 1,
            },
            per_second: Some(7.5),
            age: Millis(20),
        }],
        evacuations: EvacuationsUpdate {
            version: 5,
            zones: vec![EvacuatedZone {
                zone: "a".into(),
                version: 4,
                keyed_for: Millis(600),
            }],
        },
    })
}

/// Decodes `frame` as each type that a daemon reads from others or from the store.
fn decode_all(frame: &[u8]) {
    // Only panics matter here, not the results.
    let _ = codec::decode::<PeerRequest>(frame);
    let _ = codec::decode::<PeerReply>(frame);
    let _ = codec::decode::<OwnersChange>(frame).map(|change| Owners::default().with(change));
    let _ = LeaseRow::decode(frame);
    let _ = Owners::decode(frame);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn generated_bytes_cause_no_panic(mut frame in prop::collection::vec(any::<u8>(), 0..400)) {
        decode_all(&frame);
        if let Some(version) = frame.first_mut() {
            *version = PROTOCOL_VERSION;
        }
        decode_all(&frame);
    }

    #[test]
    fn mutated_reports_cause_no_panic(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut frame: Vec<u8> = codec::encode(&report()).expect("it is small").to_vec();
        for (at, value) in changes {
            let at = at.index(frame.len() - 1) + 1;
            frame[at] = value;
        }
        decode_all(&frame);
        decode_all(&frame[..cut.index(frame.len())]);
    }

    #[test]
    fn mutated_replies_cause_no_panic(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
        now: u64,
    ) {
        let mut frame: Vec<u8> = codec::encode(&reply()).expect("it is small").to_vec();
        for (at, value) in changes {
            let at = at.index(frame.len() - 1) + 1;
            frame[at] = value;
        }
        let Ok(PeerReply::Report(reply)) = codec::decode(&frame) else {
            return Ok(());
        };
        let mut lives = Lives::new(Millis(2_000));
        let sent_at = Millis(now) + reply.waited;
        lives.record_reply(&reply.leaving, sent_at, Millis(now));
        for named in &reply.leaving {
            let life = lives.register(&named.instance, &"s".into());
            prop_assert!(life.is_leaving());
            life.is_open(Millis(now));
        }
        lives.to_pass_on(Millis(now));
    }

    #[test]
    fn any_reported_load_is_usable(running: u32, waiting: u32, slots in 1..=u32::MAX, at: u64) {
        let entry = EndpointEntry {
            instance: EndpointInstance { name: "e".into(), started_at_ms: 1 },
            service: "s".into(),
            addr: ([127, 0, 0, 1], 1).into(),
            zone: "a".into(),
            slots: 4,
            draining: false,
            remaining_warmup: Millis(u64::MAX),
            sequence: 0,
        };
        let backend = Backend::new(entry, Shared::default(), Millis(at));
        let load = Load { running, waiting, slots };
        let route = "r".into();
        prop_assert!(backend.try_acquire(Millis(at)));
        backend.release(ExchangeOutcome::Answered(Millis(5)), Some(load), &route, 1, Millis(at));
        let latency = backend.estimated_end_ms(100.0, Millis(at));
        prop_assert!(latency.is_finite() && latency >= 0.0);
        backend.try_acquire(Millis(at) + Millis(u64::MAX));
    }
}
