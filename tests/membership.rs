//! Members must be live, suspect and gone at the right time under relayed, late and contradictory
//! reports. Guards against lost members that peers keep alive for each other, and against live ones
//! that become suspect when a relay is lost.

use fireflygauge::{
    clock::Millis,
    membership::{GONE_AFTER, MemberState, Membership, SUSPECT_AFTER},
    peer::message::MemberReport,
    world::{Incarnation, Link, Vm, VmRole, VmState},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use test_case::test_case;

fn link(name: &str, incarnation: u64) -> Link {
    Link {
        name: name.into(),
        incarnation: Incarnation(incarnation),
        zone: name[..1].into(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
    }
}

fn report(name: &str, incarnation: u64, sequence: u64, age_ms: u64) -> MemberReport {
    MemberReport {
        link: link(name, incarnation),
        sequence,
        config_version: 0,
        ready: true,
        stopping: false,
        controls: Vec::new(),
        age_ms,
    }
}

fn stopping(name: &str, sequence: u64) -> MemberReport {
    MemberReport {
        stopping: true,
        ..report(name, 1, sequence, 0)
    }
}

/// A member list with one direct report of each of `names` at time 0.
fn with_members(own: &str, names: &[&str]) -> Membership {
    let mut members = Membership::new(link(own, 1));
    for name in names {
        members.record_direct(report(name, 1, 1, 0), Millis::ZERO);
    }
    members
}

#[test_case(0, MemberState::Live; "just_reported")]
#[test_case(SUSPECT_AFTER.0 - 1, MemberState::Live; "before_the_limit")]
#[test_case(SUSPECT_AFTER.0, MemberState::Suspect; "suspect")]
#[test_case(GONE_AFTER.0 - 1, MemberState::Suspect; "last_suspect")]
#[test_case(GONE_AFTER.0, MemberState::Gone; "gone")]
fn missing_heartbeats_change_the_state(age_ms: u64, expected: MemberState) {
    let mut members = with_members("a1", &["a2"]);
    members.tick(Millis(age_ms));
    assert_eq!(members.state(&"a2".into()), Some(expected));
}

/// A late report of a previous incarnation must not replace the current one.
#[test]
fn previous_incarnation_does_not_return() {
    let mut members = with_members("a1", &["a2"]);
    members.record_direct(report("a2", 2, 1, 0), Millis(100));
    members.record_direct(report("a2", 1, 9, 0), Millis(200));
    members.record_relayed(&link("a0", 1), vec![report("a2", 1, 9, 0)], Millis(300));
    let list = members.take_changed().unwrap();
    assert_eq!(list[0].link.incarnation, Incarnation(2));
}

/// An old relayed report must not make a lost member live, not even right after the start.
#[test]
fn old_relayed_report_makes_no_member_live() {
    let mut members = Membership::new(link("b1", 1));
    let lost = report("a2", 1, 9, GONE_AFTER.0 + 1);
    members.record_relayed(&link("a1", 1), vec![lost], Millis(10));
    assert_eq!(members.state(&"a2".into()), Some(MemberState::Gone));
    assert!(members.is_alone());
}

/// A relay keeps its members live without repeating their reports, and must be able to report one as
/// suspect.
#[test]
fn relay_reports_a_member_as_suspect() {
    let mut members = Membership::new(link("b1", 1));
    let delegate = link("a1", 1);
    members.record_relayed(&delegate, vec![report("a2", 1, 1, 0)], Millis(0));
    for now in (250..10_000).step_by(250) {
        members.record_relayed(&delegate, Vec::new(), Millis(now));
        members.tick(Millis(now));
        assert_eq!(
            members.state(&"a2".into()),
            Some(MemberState::Live),
            "{now}"
        );
    }
    let suspect = report("a2", 1, 1, SUSPECT_AFTER.0);
    members.record_relayed(&delegate, vec![suspect], Millis(10_000));
    assert_eq!(members.state(&"a2".into()), Some(MemberState::Suspect));
}

/// The loss of a delegate must not make its members suspect before another daemon can relay them.
#[test]
fn lost_relay_does_not_make_members_suspect() {
    let mut members = Membership::new(link("b1", 1));
    members.record_relayed(&link("a1", 1), vec![report("a2", 1, 1, 0)], Millis(0));
    members.record_relayed(&link("a1", 1), Vec::new(), Millis(500));
    members.tick(Millis(1_800));
    assert_eq!(members.state(&"a2".into()), Some(MemberState::Live));
    members.tick(Millis(2_600));
    assert_eq!(members.state(&"a2".into()), Some(MemberState::Suspect));
}

/// The delegate of a zone must be its live, non-stopping member with the lowest name.
#[test]
fn delegate_is_the_lowest_live_name() {
    let mut members = with_members("a2", &["a1", "a3", "b2", "b1"]);
    let delegate = |members: &Membership, zone: &str| {
        members
            .delegate(&zone.into())
            .map(|link| link.name.to_string())
    };
    assert_eq!(delegate(&members, "a").as_deref(), Some("a1"));
    assert_eq!(delegate(&members, "b").as_deref(), Some("b1"));
    assert_eq!(members.partners(), [link("a1", 1)]);
    members.record_direct(stopping("a1", 2), Millis(100));
    assert!(members.is_delegate());
    assert_eq!(members.partners(), [link("b1", 1)]);
    members.set_stopping(true);
    assert_eq!(delegate(&members, "a").as_deref(), Some("a3"));
    members.tick(Millis(2_000));
    assert_eq!(delegate(&members, "b"), None);
}

/// Controllers in other zones must be partners of a delegate, since routing tables originate there.
#[test]
fn controllers_are_partners_of_delegates() {
    let mut members = with_members("a1", &["a2", "b1", "b2"]);
    let mut controller = report("b2", 1, 2, 0);
    controller.controls = vec![fireflygauge::world::GroupId {
        service: "rounds".into(),
        index: 0,
    }];
    members.record_direct(controller, Millis(10));
    assert_eq!(members.partners(), [link("b1", 1), link("b2", 1)]);
}

/// The platform's list must provide seed nodes, but must not make any VM a member.
#[test]
fn listed_vm_is_only_a_seed_node() {
    let vm = |name: &str, state| Vm {
        name: name.into(),
        zone: "a".into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        state,
        role: VmRole::Entry {
            peer_addr: "127.0.0.1:1".parse().unwrap(),
            operator_addr: "127.0.0.1:1".parse().unwrap(),
        },
    };
    let mut members = with_members("a1", &["a3"]);
    members.set_seed_nodes(&[
        vm("a1", VmState::Live),
        vm("a2", VmState::Live),
        vm("a3", VmState::Live),
        vm("a4", VmState::Leaving),
    ]);
    for _ in 0..20 {
        let seed = members.random_seed_node(&mut rand::rng()).unwrap();
        assert_eq!(seed.name, "a2".into());
    }
    assert_eq!(members.state(&"a2".into()), None);
}

/// Daemons that relay a lost member to each other in any order must not keep it live.
#[test]
fn gossip_does_not_keep_a_lost_member() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let names = ["a1", "a2", "a3", "b1", "b2", "c1", "c2"];
        let mut nodes: Vec<Membership> = names.iter().map(|n| with_members(n, &["a0"])).collect();
        let mut seen = vec![vec![0; names.len()]; names.len()];
        let mut now = 0;
        while now < 30_000 {
            now += rng.random_range(1..6);
            let (to, from) = (rng.random_range(0..7), rng.random_range(0..7));
            if to == from {
                continue;
            }
            let source = link(names[from], 1);
            nodes[from].tick(Millis(now));
            let partner = rng.random_bool(0.8);
            let revision = if partner { seen[to][from] } else { 0 };
            let changes = nodes[from].changes_since(revision, &names[to].into(), Millis(now));
            nodes[to].record_direct(report(names[from], 1, now, 0), Millis(now));
            if partner {
                seen[to][from] = nodes[from].revision();
                nodes[to].record_relayed(&source, changes, Millis(now));
            } else {
                nodes[to].record_relayed_once(&source, changes, Millis(now));
            }
        }
        for node in &mut nodes {
            node.tick(Millis(now));
            let state = node.state(&"a0".into());
            assert!(
                matches!(state, None | Some(MemberState::Gone)),
                "seed {seed}: {state:?}"
            );
        }
    }
}
