//! Guards against an incarnation of a daemon that is taken for one that has ended, because a report
//! of the one before it arrives late: the controller lease would be taken over from a live holder.

use super::{daemon::Daemon, fake_platform::FakePlatform};
use fireflygauge::{
    gateway::{
        controller_lease::{LeaseRow, TAKEOVER_AFTER},
        incarnations::{Incarnations, Reported},
        load_stats::LoadReport,
        platform::{Platform, RowWrite, Table, WriteOutcome},
    },
    peer::{
        client::PeerClient,
        message::{DaemonReport, PeerRequest},
    },
    world::{Incarnation, VmName},
};
use std::time::Duration;
use test_case::test_case;
use tokio::time::{Instant, sleep};

const SETTLED: Reported = Reported::Settled { ended: None };

const fn settled_after(ended: u64) -> Reported {
    Reported::Settled {
        ended: Some(Incarnation(ended)),
    }
}

/// The last report shows that this incarnation has ended, if any.
#[test_case(&[1] => Reported::Unsettled; "first report")]
#[test_case(&[1, 1] => SETTLED; "second report")]
#[test_case(&[1, 1, 2] => Reported::Unsettled; "first report after a restart")]
#[test_case(&[1, 1, 2, 2] => settled_after(1); "second report after a restart")]
#[test_case(&[1, 1, 2, 2, 2] => SETTLED; "third report after a restart")]
#[test_case(&[1, 1, 2, 2, 1] => Reported::Unsettled; "late report of the earlier one")]
#[test_case(&[1, 1, 2, 2, 1, 2] => Reported::Unsettled; "report after a late one")]
#[test_case(&[1, 1, 2, 2, 1, 2, 2] => SETTLED; "reports after a late one")]
#[test_case(&[2, 1, 2, 2] => SETTLED; "late report of one that was not known")]
fn two_reports_in_a_row_settle_an_incarnation(reports: &[u64]) -> Reported {
    let (name, mut incarnations) = (VmName("d".into()), Incarnations::default());
    let recorded = reports
        .iter()
        .map(|incarnation| incarnations.record(&name, Incarnation(*incarnation)));
    recorded.last().expect("there are reports")
}

fn report(incarnation: Incarnation) -> PeerRequest {
    PeerRequest::Report(DaemonReport {
        name: VmName("other".into()),
        incarnation,
        zone: "a".into(),
        owners: Vec::new(),
        endpoints: 0,
        relative_latencies: (0, 0),
        controller_cores: 0.0,
        load: LoadReport::default(),
        leaving: Vec::new(),
        pauses: Vec::new(),
        limits: Vec::new(),
        owner_tokens: Vec::new(),
        lease_version: 1,
        known_since: None,
        fleet: None,
    })
}

/// The lease row and its version.
async fn lease(platform: &FakePlatform) -> Option<(u64, LeaseRow)> {
    let rows = platform.read(Table::Controller).await.expect("it answers");
    let row = rows.rows.first()?;
    let value = row.value.as_ref()?;
    Some((row.version, LeaseRow::decode(value).expect("it is valid")))
}

/// Guards against a daemon that takes the lease over at once from a live holder, after a late report
/// of the incarnation before it.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_report_ends_no_live_holder() {
    let platform = FakePlatform::new();
    platform.declare(1);
    let daemon = Daemon::start(&platform);
    daemon.wait_ready().await;
    let (earlier, present) = (Incarnation(1), Incarnation(2));
    let peers = PeerClient::default();
    for incarnation in [earlier, earlier, present, present, earlier] {
        let request = report(incarnation);
        let reply = peers.send(daemon.peers, &request, Duration::from_secs(2));
        reply.await.expect("the daemon replies");
    }
    // The other daemon takes the lease.
    let taken_at = loop {
        let (version, row) = lease(&platform).await.expect("the daemon holds the lease");
        let row = LeaseRow {
            epoch: row.epoch + 1,
            holder: VmName("other".into()),
            incarnation: present,
            ..row
        };
        let write = RowWrite {
            table: Table::Controller,
            name: "controller".into(),
            expected: Some(version),
            value: Some(row.encode().expect("it is small")),
        };
        if matches!(
            platform.write(vec![write]).await,
            WriteOutcome::Committed(_)
        ) {
            break Instant::now();
        }
    };
    while lease(&platform).await.expect("a row").1.incarnation == present {
        assert!(taken_at.elapsed() < Duration::from_secs(10), "no takeover");
        sleep(Duration::from_millis(20)).await;
    }
    let held_for = taken_at.elapsed();
    assert!(
        held_for >= Duration::from(TAKEOVER_AFTER),
        "taken over after {held_for:?}"
    );
}
