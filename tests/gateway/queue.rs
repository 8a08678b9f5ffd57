//! Requests that wait for room.

use fireflygauge::gateway::gate::WaitQueue;

/// Guards against an unimportant request that is served before an urgent one.
#[tokio::test]
async fn the_most_urgent_request_is_woken_first() {
    let queue = WaitQueue::default();
    let (late, urgent) = (queue.turn(2), queue.turn(1));
    let mut waiting = queue.join(late);
    let mut first = queue.join(urgent);
    assert_eq!(queue.ahead_of(late), 1);
    queue.wake_one();
    first.woken().await;
    assert!(!queue.is_behind(urgent));
    queue.wake_one();
    waiting.woken().await;
    assert!(queue.is_empty());
}

/// Guards against a queue that is blocked by a request that has given up.
#[tokio::test]
async fn a_request_that_gives_up_leaves_the_queue() {
    let queue = WaitQueue::default();
    let (gone, next) = (queue.turn(1), queue.turn(1));
    drop(queue.join(gone));
    assert!(!queue.is_behind(next));
    let mut place = queue.join(next);
    queue.wake_one();
    place.woken().await;
}
