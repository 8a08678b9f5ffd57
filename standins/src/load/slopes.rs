//! Scaling measurements for `docs/CAPACITY.md`: message sizes and run times of single components by
//! input size.

mod input;

use crate::load::placement::trace::{Trace, TraceOptions};
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use fireflygauge::{
    clock::Millis,
    collections::Set,
    declaration::Weights,
    entry::directory::{Directory, DirectoryUpdate},
    ownership::{
        lease::LeaseHolder,
        placement::{Candidate, PlacementInput, TargetState, plan},
    },
    partition::Partition,
    peer::{
        codec::encode,
        message::{Item, PeerReply},
        sync::SyncState,
    },
    table::Owner,
    target_api::GrantRequest,
    world::Incarnation,
};
use input::{config, group, link, name, reply, reply_with_versions, report, routing_table, vms};
use serde::Serialize;
use std::time::{Duration, Instant};

/// Repetitions of each timing. The minimum counts, because other processes only add time.
const REPETITIONS: usize = 15;

/// Runs all measurements and renders the tables as text.
pub fn render() -> String {
    let tables = [
        ("Encoded sizes, bytes", sizes()),
        ("Placement round", placement()),
        ("Target lease", lease()),
        ("Snapshot refresh after a table change", refresh()),
        ("Membership", membership()),
    ];
    let text = tables.map(|(name, table)| format!("{name}\n{table}\n"));
    text.join("\n")
}

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(ASCII_MARKDOWN)
        .set_header(header.to_vec());
    table
}

/// Shortest time of [`REPETITIONS`] calls of `operation`.
fn min_time<T>(mut operation: impl FnMut() -> T) -> Duration {
    let measure = |_| {
        let start = Instant::now();
        std::hint::black_box(operation());
        start.elapsed()
    };
    (0..REPETITIONS).map(measure).min().unwrap_or_default()
}

fn format_us(time: Duration) -> String {
    format!("{:.1}", time.as_secs_f64() * 1e6)
}

fn encoded_len(message: &impl Serialize) -> String {
    encode(message).map_or("too large".into(), |frame| frame.len().to_string())
}

fn sizes() -> Table {
    let mut table = new_table(&["message", "size of input", "bytes"]);
    for members in [0, 1, 9, 100, 2_500] {
        let size = encoded_len(&reply(members, Vec::new()));
        table.add_row(["SyncReply with members".into(), members.to_string(), size]);
    }
    for groups in [1, 10, 100, 1_000] {
        let size = encoded_len(&reply_with_versions(groups));
        table.add_row([
            "SyncReply with versions of tables".into(),
            groups.to_string(),
            size,
        ]);
    }
    for partitions in [256, 1_024, 4_096, 16_384] {
        let item = Item::Table(routing_table(partitions, 64, 1));
        let size = encoded_len(&reply(0, vec![item]));
        table.add_row([
            "SyncReply with a table".into(),
            partitions.to_string(),
            size,
        ]);
    }
    for changes in [1, 16, 256] {
        let old = routing_table(16_384, 64, 1);
        let mut new = old.clone();
        new.version.revision = 2;
        for (i, owner) in new.owners.iter_mut().take(changes).enumerate() {
            *owner = Some(Owner {
                target: name("target", i),
                epoch: 1_001,
            });
        }
        let item = Item::TableDelta(new.changes_since(&old));
        let size = encoded_len(&reply(0, vec![item]));
        table.add_row([
            "SyncReply with a TableDelta".into(),
            changes.to_string(),
            size,
        ]);
    }
    let size = encoded_len(&reply(0, vec![Item::Config(config())]));
    table.add_row([
        "SyncReply with a configuration".into(),
        "3 services".into(),
        size,
    ]);
    table
}

fn placement() -> Table {
    let mut table = new_table(&[
        "partitions",
        "targets",
        "round without moves, us",
        "round, us",
        "moves",
    ]);
    for (partitions, targets) in [
        (256, 10),
        (1_024, 10),
        (4_096, 10),
        (16_384, 10),
        (1_024, 40),
        (1_024, 160),
        (1_024, 640),
    ] {
        let trace = Trace::new(TraceOptions {
            seed: 1,
            partitions,
            keys: 200_000,
            zipf: 1.0,
            rate: 20_000.0,
            targets,
            length_s: 1,
            hot_s: 300.0,
        });
        let candidate = |t| Candidate {
            name: name("target", t),
            zone: None,
            state: TargetState::Usable,
        };
        let candidates: Vec<_> = (0..targets).map(candidate).collect();
        let owner = |p: u32| Some(name("target", p as usize % targets));
        let owners: Vec<_> = (0..partitions).map(owner).collect();
        let moving = Set::default();
        let round = |budget| {
            plan(&PlacementInput {
                owners: &owners,
                moving: &moving,
                targets: &candidates,
                rates: trace.rates(),
                weights: Weights::default(),
                budget,
                limit: 512,
            })
        };
        table.add_row([
            partitions.to_string(),
            targets.to_string(),
            format_us(min_time(|| round(0))),
            format_us(min_time(|| round(64))),
            round(64).len().to_string(),
        ]);
    }
    table
}

fn lease() -> Table {
    let mut table = new_table(&[
        "partitions",
        "grant of the set, us",
        "its JSON bytes",
        "renewal, us",
        "admission, ns",
    ]);
    for partitions in [10, 100, 1_000, 10_000] {
        let now = Millis(1_000);
        let mut holder = LeaseHolder::new(Incarnation(1));
        let mut sequence = 1;
        let mut grant = |holder: &mut LeaseHolder, set_id, set| {
            sequence += 1;
            let request = GrantRequest {
                group: group(),
                controller_epoch: 1,
                sequence,
                incarnation: Some(Incarnation(1)),
                echo: Some(1_000),
                lease_ms: 1_200,
                set_id,
                partitions: set,
            };
            holder.grant(&request, now);
            request
        };
        let set: Vec<_> = (0..partitions).map(|p| (Partition(p), 1_000)).collect();
        let full = min_time(|| grant(&mut holder, u64::from(partitions), Some(set.clone())));
        let request = grant(&mut holder, u64::from(partitions), Some(set.clone()));
        let renewal = min_time(|| grant(&mut holder, u64::from(partitions), None));
        let admitted = || {
            (0..1_000)
                .filter(|p| holder.admit(Partition(p % partitions), 1_000, now).is_ok())
                .count()
        };
        assert_eq!(admitted(), 1_000, "the lease is in force");
        let admission = min_time(admitted);
        let json = serde_json::to_string(&request).map_or(0, |text| text.len());
        table.add_row([
            partitions.to_string(),
            format_us(full),
            json.to_string(),
            format_us(renewal),
            admission.as_nanos().div_ceil(1_000).to_string(),
        ]);
    }
    table
}

/// Time from submitting a new table to the directory until its snapshot contains the table.
fn refresh() -> Table {
    let mut table = new_table(&[
        "partitions",
        "targets",
        "daemons",
        "time, us",
        "VM list, JSON bytes",
    ]);
    for (partitions, targets, daemons) in [
        (1_024, 10, 9),
        (4_096, 10, 9),
        (16_384, 10, 9),
        (1_024, 100, 9),
        (1_024, 1_000, 9),
        (1_024, 10, 2_500),
    ] {
        let directory = Directory::start();
        let list = vms(daemons, targets);
        let json = serde_json::to_string(&list).map_or(0, |text| text.len());
        directory.submit(DirectoryUpdate::Vms(list));
        directory.submit(DirectoryUpdate::Config(config()));
        let build = |revision| routing_table(partitions, targets, revision);
        let mut tables = (1..=REPETITIONS as u64)
            .map(build)
            .collect::<Vec<_>>()
            .into_iter();
        let spent = min_time(|| {
            let next = tables.next().expect("there is a table for each repetition");
            let revision = next.version.revision;
            directory.submit(DirectoryUpdate::Table(next));
            let tables = || directory.snapshot().load().tables.clone();
            while tables()
                .get(&group())
                .is_none_or(|t| t.version.revision != revision)
            {
                std::hint::spin_loop();
            }
        });
        table.add_row([
            partitions.to_string(),
            targets.to_string(),
            daemons.to_string(),
            format_us(spent),
            json.to_string(),
        ]);
    }
    table
}

/// A delegate's sync exchange with a partner that relays the other members.
fn membership() -> Table {
    let mut table = new_table(&[
        "daemons",
        "first reply, bytes",
        "unchanged reply, bytes",
        "unchanged request, bytes",
        "reply, us",
        "tick, us",
    ]);
    for daemons in [9, 100, 500, 2_500] {
        let now = Millis(1_000);
        let (mut requester, mut responder) = (SyncState::new(link(0)), SyncState::new(link(1)));
        for i in 2..daemons {
            responder.membership.record_direct(report(i, 1), now);
        }
        let partner = link(1).name;
        let mut exchange = |now| {
            let request = requester.request(&partner, Millis(250), now);
            responder.handle_request(&request, now);
            let (reply, _) = responder.reply(&request, now);
            requester.handle_reply(reply.clone(), now);
            (request, reply)
        };
        let (_, first) = exchange(now);
        exchange(Millis(1_100));
        let (request, unchanged) = exchange(Millis(1_200));
        let spent = min_time(|| exchange(Millis(1_300)));
        let tick = min_time(|| responder.membership.tick(Millis(1_400)));
        table.add_row([
            daemons.to_string(),
            encoded_len(&PeerReply::Sync(first)),
            encoded_len(&PeerReply::Sync(unchanged)),
            encoded_len(&request),
            format_us(spent),
            format_us(tick),
        ]);
    }
    table
}
