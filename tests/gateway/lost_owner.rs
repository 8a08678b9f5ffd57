//! Guards against callers that return too early to a key whose owner is lost: until the owner's lease
//! has ended, nobody can serve them, and they make few attempts.

use crate::{
    fake_platform::FakePlatform,
    leaving_daemon::{keyed_on, wait_for_arrival},
};
use std::time::{Duration, Instant};

/// Time that the requests of the tests state, in seconds.
const STATED_S: f64 = 1.4;

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_lost_owner_return_as_late_as_they_may() {
    let platform = FakePlatform::new();
    let (daemons, endpoints) = keyed_on(&platform, &[("d1", platform.clone())]).await;
    let daemon = &daemons[0];
    let owner = wait_for_arrival(daemon, "/keyed/1", &endpoints).await;
    let other = &endpoints[1 - owner];
    endpoints[owner].stop().await;
    // Its entry is replaced by one for another service, whose address is in use.
    platform.register_life(&format!("k{owner}"), "plain", other.addr, 2);
    tokio::time::sleep(Duration::from_millis(200)).await;
    for _ in 0..3 {
        let sent = Instant::now();
        let response = daemon.send("/keyed/1").await;
        let left = STATED_S - sent.elapsed().as_secs_f64();
        assert_eq!(response.status(), 503);
        let retry_after = response.headers()["retry-after"].to_str().expect("text");
        let retry_after: f64 = retry_after.parse().expect("a number");
        let range = left / 3.0 * 0.7..left / 3.0 * 1.05;
        assert!(
            range.contains(&retry_after),
            "{retry_after} with {left} s left"
        );
    }
}
