//! Guards against rows of other writers in the program's own tables.

use super::{
    daemon::Daemon,
    fake_endpoint::{Behavior, FakeEndpoint},
    fake_platform::FakePlatform,
};
use fireflygauge::gateway::platform::Table;
use std::time::Duration;
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// Time within which a daemon that starts alone has assigned all keys.
const ASSIGNMENT_TIME: Duration = Duration::from_secs(8);

/// Guards against a row that is taken for the controller lease, so that nobody ever holds it or two
/// daemons do, and against one that is taken for the owners of a service.
#[test_case(Table::Controller, "a", true; "before the lease in key order")]
#[test_case(Table::Controller, "z", true; "behind the lease in key order")]
#[test_case(Table::Controller, "a", false; "before the lease while it is held")]
#[test_case(Table::Owners, "a", true; "in the table of owners")]
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_assigned_beside_rows_of_other_writers(table: Table, key: &str, is_early: bool) {
    let platform = FakePlatform::new();
    platform.declare(1);
    let endpoint = FakeEndpoint::start(Behavior::Ok).await;
    if is_early {
        platform.put(table, key, "foreign");
        platform.register("k", "keyed", endpoint.addr);
    }
    let daemon = Daemon::start(&platform);
    daemon.wait_ready().await;
    if !is_early {
        for number in 0..40 {
            platform.put(table, key, &format!("foreign {number}"));
            sleep(Duration::from_millis(100)).await;
        }
        platform.register("k", "keyed", endpoint.addr);
    }
    let started = Instant::now();
    while daemon.send("/keyed/1").await.status() != 200 {
        assert!(
            started.elapsed() < ASSIGNMENT_TIME,
            "the keys have no owner"
        );
    }
}
