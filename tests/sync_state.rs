//! Anti-entropy between daemons without I/O. Guards against versions that revert and daemons that do
//! not converge under lost, late and repeated messages, and against syncs that are too large.

#[path = "support/example_config.rs"]
mod example_config;

use fireflygauge::{
    clock::Millis,
    config::ActiveConfig,
    entry::{directory::DirectoryUpdate, snapshot::Snapshot},
    partition::Partition,
    peer::{
        codec,
        message::{Item, SyncReply, SyncRequest},
        sync::SyncState,
    },
    table::{Owner, RoutingTable, TableVersion},
    world::{GroupId, Incarnation, Link, Vm, VmName, VmRole, VmState},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::sync::Arc;

const EXAMPLE: &str = include_str!("../examples/ma-west.toml");
const WAIT: Millis = Millis(250);

/// A daemon, with the part of the directory that the sync uses.
struct Node {
    name: VmName,
    state: SyncState,
    snapshot: Snapshot,
    vms: Vec<Vm>,
}

impl Node {
    fn new(name: &str) -> Self {
        let link = Link {
            name: name.into(),
            incarnation: Incarnation(1),
            zone: name[..1].into(),
            peer_addr: "127.0.0.1:1".parse().unwrap(),
        };
        Self {
            name: name.into(),
            state: SyncState::new(link),
            snapshot: Snapshot::default(),
            vms: Vec::new(),
        }
    }

    fn apply(&mut self, updates: Vec<DirectoryUpdate>) {
        for update in updates {
            match update {
                DirectoryUpdate::Config(config) if config.head.version > self.config_version() => {
                    let config = ActiveConfig::from_snapshot(config).unwrap();
                    self.snapshot.config = Some(Arc::new(config));
                }
                DirectoryUpdate::Table(table) if table.version > self.table_version() => {
                    self.snapshot.tables.insert(group(), Arc::new(table));
                }
                DirectoryUpdate::TableDelta(delta) => {
                    if let Some(table) = self.snapshot.tables.get_mut(&group()) {
                        Arc::make_mut(table).apply(&delta);
                    }
                }
                DirectoryUpdate::Vms(vms) => self.vms = vms,
                _ => {}
            }
        }
        self.state.refresh(&self.snapshot);
    }

    fn config_version(&self) -> u64 {
        self.snapshot.config.as_ref().map_or(0, |c| c.version())
    }

    fn table_version(&self) -> TableVersion {
        let table = self.snapshot.tables.get(&group());
        table.map(|table| table.version).unwrap_or_default()
    }

    fn owners(&self) -> Option<&RoutingTable> {
        self.snapshot.tables.get(&group()).map(|table| &**table)
    }

    fn update_vms(&mut self, vms: Vec<Vm>, now: Millis) {
        let updates = self.state.update_vms(vms, now);
        self.apply(updates.into_iter().collect());
    }
}

fn group() -> GroupId {
    GroupId {
        service: "listings".into(),
        index: 0,
    }
}

fn config(version: u64) -> DirectoryUpdate {
    DirectoryUpdate::Config(example_config::snapshot(EXAMPLE, version))
}

/// A table in which one more entry differs with each revision.
fn table(revision: u64) -> RoutingTable {
    let mut table = RoutingTable::empty(group(), 64);
    table.version = TableVersion {
        controller_epoch: 1,
        revision,
    };
    for i in 0..revision.min(64) {
        table.owners[i as usize] = Some(Owner {
            target: "t".into(),
            epoch: i,
        });
    }
    table
}

fn vm(name: &str) -> Vm {
    Vm {
        name: name.into(),
        zone: "a".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        state: VmState::Live,
        role: VmRole::Target {
            service: "listings".into(),
        },
    }
}

/// One request and its reply; returns the items of the reply.
fn exchange(from: &mut Node, to: &mut Node, now: Millis) -> Vec<Item> {
    let request = from.state.request(&to.name, WAIT, now);
    let updates = to.state.handle_request(&request, now);
    to.apply(updates);
    let (reply, _) = to.state.reply(&request, now);
    let items = reply.items.clone();
    let updates = from.state.handle_reply(reply, now);
    from.apply(updates);
    items
}

/// A peer whose table version is still kept must get the difference, any other one the whole table.
#[test]
fn kept_version_gets_a_difference() {
    let (mut a, mut b) = (Node::new("a1"), Node::new("a2"));
    a.apply(vec![DirectoryUpdate::Table(table(1))]);
    let items = exchange(&mut b, &mut a, Millis(1));
    assert!(matches!(&items[..], [Item::Table(_)]), "{items:?}");
    a.apply(vec![DirectoryUpdate::Table(table(2))]);
    let items = exchange(&mut b, &mut a, Millis(2));
    let [Item::TableDelta(delta)] = &items[..] else {
        panic!("{items:?}");
    };
    assert_eq!(delta.changes.len(), 1);
    assert_eq!(b.owners(), Some(&table(2)));
    for revision in 3..40 {
        a.apply(vec![DirectoryUpdate::Table(table(revision))]);
    }
    let items = exchange(&mut b, &mut a, Millis(3));
    assert!(matches!(&items[..], [Item::Table(_)]), "{items:?}");
}

/// An item that is newer than the delegate's must be offered, and not again once the delegate has it.
#[test]
fn newer_items_are_offered_once() {
    let (mut a, mut b) = (Node::new("a1"), Node::new("a2"));
    exchange(&mut b, &mut a, Millis(1));
    b.apply(vec![config(4)]);
    assert!(b.state.has_urgent_offers(&a.name, Millis(2)));
    exchange(&mut b, &mut a, Millis(2));
    assert_eq!(a.config_version(), 4);
    assert!(!b.state.has_urgent_offers(&a.name, Millis(3)));
    let request = b.state.request(&a.name, WAIT, Millis(3));
    assert!(request.offers.is_empty());
}

/// A newer reading of the VM list must be sent within a zone as a difference, and an older or empty
/// one must be ignored.
#[test]
fn vm_list_follows_the_newest_reading() {
    let (mut a, mut b) = (Node::new("a1"), Node::new("a2"));
    a.update_vms(vec![vm("t1"), vm("t2"), vm("t3")], Millis(1_000));
    exchange(&mut b, &mut a, Millis(1_100));
    assert_eq!(b.vms.len(), 3);
    a.update_vms(vec![vm("t1"), vm("t3")], Millis(2_000));
    let items = exchange(&mut b, &mut a, Millis(2_100));
    assert!(matches!(&items[..], [Item::VmsDelta(_)]), "{items:?}");
    assert_eq!(b.vms, a.vms);
    a.update_vms(vec![vm("t2")], Millis(1_500));
    a.update_vms(Vec::new(), Millis(3_000));
    assert_eq!(a.vms, [vm("t1"), vm("t3")]);
}

/// Without changes, the syncs of a daemon must stay within its share of the control traffic, whatever
/// the number of members: 4 syncs per second at 4 KB/s leave 1,024 bytes for request and reply.
#[test]
fn idle_sync_is_small() {
    let (mut a, mut b) = (Node::new("a1"), Node::new("a2"));
    a.apply(vec![config(1), DirectoryUpdate::Table(table(1))]);
    for i in 0..2_500 {
        let mut other = Node::new(&format!("b{i}"));
        let request = other.state.request(&a.name, WAIT, Millis(1));
        a.state.handle_request(&request, Millis(1));
    }
    exchange(&mut b, &mut a, Millis(2));
    let request = b.state.request(&a.name, WAIT, Millis(3));
    a.state.handle_request(&request, Millis(3));
    let (reply, has_changes) = a.state.reply(&request, Millis(3));
    assert!(!has_changes);
    let sizes = (
        codec::encode(&request).unwrap().len(),
        codec::encode(&reply).unwrap().len(),
    );
    println!("idle request {} bytes, reply {} bytes", sizes.0, sizes.1);
    assert!(sizes.0 + sizes.1 < 512, "{sizes:?}");
}

/// Daemons must converge, and no version may revert, under lost, late and repeated messages.
#[test]
fn messages_in_any_order_converge() {
    for seed in 0..25 {
        let mut rng = StdRng::seed_from_u64(seed);
        let names = ["a1", "a2", "a3", "b1", "b2", "b3"];
        let mut nodes: Vec<Node> = names.iter().map(|name| Node::new(name)).collect();
        let mut requests: Vec<(usize, usize, SyncRequest)> = Vec::new();
        let mut replies: Vec<(usize, SyncReply)> = Vec::new();
        let (mut version, mut highest) = (0, vec![(0, TableVersion::default()); names.len()]);
        for step in 0..3_000 {
            let now = Millis(step * 5);
            let (from, to) = (rng.random_range(0..6), rng.random_range(0..6));
            match rng.random_range(0..10) {
                0 if step < 2_000 => {
                    version += 1;
                    nodes[from].apply(vec![config(version)]);
                    nodes[to].apply(vec![DirectoryUpdate::Table(table(version))]);
                }
                0..=4 if from != to => {
                    let name = names[to].into();
                    requests.push((from, to, nodes[from].state.request(&name, WAIT, now)));
                }
                5 | 6 if !requests.is_empty() => {
                    let (from, to, request) = draw(&mut rng, &mut requests);
                    let updates = nodes[to].state.handle_request(&request, now);
                    nodes[to].apply(updates);
                    replies.push((from, nodes[to].state.reply(&request, now).0));
                }
                7 | 8 if !replies.is_empty() => {
                    let (from, reply) = draw(&mut rng, &mut replies);
                    let updates = nodes[from].state.handle_reply(reply, now);
                    nodes[from].apply(updates);
                }
                9 if step % 7 == 0 => {
                    requests.clear();
                    replies.clear();
                }
                _ => {}
            }
            for (node, highest) in nodes.iter().zip(&mut highest) {
                let versions = (node.config_version(), node.table_version());
                assert!(
                    versions.0 >= highest.0 && versions.1 >= highest.1,
                    "seed {seed}"
                );
                *highest = versions;
            }
        }
        for round in 0..12 {
            for i in 0..6 {
                let (left, right) = nodes.split_at_mut(5);
                let now = Millis(16_000 + round * 250);
                match i {
                    5 => exchange(&mut right[0], &mut left[0], now),
                    i => exchange(&mut left[i], &mut right[0], now),
                };
            }
        }
        for node in &nodes {
            assert_eq!(node.config_version(), version, "seed {seed} {}", node.name);
            assert_eq!(
                node.owners(),
                Some(&table(version)),
                "seed {seed} {}",
                node.name
            );
            assert!(node.owners().unwrap().owner(Partition(0)).is_some());
        }
    }
}

/// Returns a random message; some are kept, to be delivered again.
fn draw<T: Clone>(rng: &mut StdRng, messages: &mut Vec<T>) -> T {
    let i = rng.random_range(0..messages.len());
    if rng.random_bool(0.3) {
        messages[i].clone()
    } else {
        messages.swap_remove(i)
    }
}
