//! Guards against queued requests that are woken in the wrong order or never.

use fireflygauge::gateway::wait_queue::WaitQueue;

/// Guards against a low-priority request that is served before an urgent one.
#[tokio::test]
async fn the_most_urgent_request_is_woken_first() {
    let queue = WaitQueue::default();
    let (late, urgent) = (queue.issue_ticket(2), queue.issue_ticket(1));
    let mut waiting = queue.enqueue(late);
    let mut first = queue.enqueue(urgent);
    assert_eq!(queue.ahead_of(late), 1);
    queue.wake_one();
    first.woken().await;
    assert!(!queue.has_earlier(urgent));
    queue.wake_one();
    waiting.woken().await;
    assert!(queue.is_empty());
}

/// Guards against a queue that is blocked by a cancelled request.
#[tokio::test]
async fn a_cancelled_request_leaves_the_queue() {
    let queue = WaitQueue::default();
    let (cancelled, next) = (queue.issue_ticket(1), queue.issue_ticket(1));
    drop(queue.enqueue(cancelled));
    assert!(!queue.has_earlier(next));
    let mut waiter = queue.enqueue(next);
    queue.wake_one();
    waiter.woken().await;
}
