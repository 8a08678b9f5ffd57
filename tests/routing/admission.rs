//! Fairness between callers, and the in-flight limit of a target.

use fireflygauge::{
    clock::{Clock, Millis},
    routing::{
        admission::Admission,
        fairness::{FairQueue, Offered},
        gate::{Entry, Gate},
        limit::{Ended, Limit, LimitPolicy},
        refusal::Code,
    },
};
use proptest::prelude::*;
use std::{collections::HashMap, sync::Arc};
use test_case::test_case;

fn name(text: &str) -> Arc<str> {
    text.into()
}

/// Guards against a burst of one caller making others wait behind all of it.
#[test]
fn callers_take_turns() {
    let mut queue = FairQueue::default();
    for i in 0..5 {
        queue.offer(&name("busy"), ("busy", i), 100);
    }
    queue.offer(&name("small"), ("small", 0), 100);
    assert_eq!(queue.ahead_of("small"), 3);
    let order: Vec<_> = std::iter::from_fn(|| queue.take()).collect();
    assert_eq!(order[1], ("small", 0));
    assert_eq!(order.len(), 6);
}

/// Guards against one caller keeping others out of a full queue.
#[test]
fn full_queue_makes_room_for_another_caller() {
    let mut queue = FairQueue::default();
    for i in 0..4 {
        queue.offer(&name("busy"), i, 4);
    }
    assert_eq!(queue.offer(&name("small"), 10, 4), Offered::Displaced(3));
    assert_eq!(queue.offer(&name("busy"), 11, 4), Offered::Full(11));
    assert_eq!(queue.len(), 4);
}

proptest! {
    /// Guards against lost or repeated items, a wrong length, and unfair shares: while a caller
    /// has items waiting, no other caller is served more than once between two of its turns.
    #[test]
    fn queue_is_fair_and_complete(offers in prop::collection::vec((0..4u8, any::<bool>()), 1..200)) {
        let mut queue = FairQueue::default();
        let mut waiting: HashMap<u8, i32> = HashMap::new();
        let mut since: HashMap<(u8, u8), i32> = HashMap::new();
        for (caller, take) in offers {
            if take {
                let Some(taken) = queue.take() else { continue };
                *waiting.get_mut(&taken).unwrap() -= 1;
                for other in 0..4 {
                    since.insert((taken, other), 0);
                    if other != taken && waiting.get(&other).copied().unwrap_or(0) > 0 {
                        let turns = since.entry((other, taken)).or_default();
                        *turns += 1;
                        prop_assert!(*turns <= 1, "{taken} served twice while {other} waited");
                    } else {
                        since.insert((other, taken), 0);
                    }
                }
                continue;
            }
            match queue.offer(&name(&caller.to_string()), caller, 16) {
                Offered::Queued => *waiting.entry(caller).or_default() += 1,
                Offered::Displaced(other) => {
                    *waiting.entry(caller).or_default() += 1;
                    *waiting.get_mut(&other).unwrap() -= 1;
                }
                Offered::Full(own) => prop_assert_eq!(own, caller),
            }
            prop_assert_eq!(queue.len() as i32, waiting.values().sum::<i32>());
            prop_assert!(queue.len() <= 16);
        }
    }
}

/// Runs `daemons` limits against a target with `slots` for a simulated time; returns the share of
/// sheds and the mean number of busy slots.
fn simulate(policy: LimitPolicy, daemons: usize, slots: usize) -> (f64, f64) {
    const SERVICE_MS: u64 = 5;
    let mut limits: Vec<Limit> = (0..daemons)
        .map(|_| Limit::new(policy, slots as u32))
        .collect();
    let mut running: Vec<(u64, usize)> = Vec::new();
    let (mut sheds, mut served, mut busy) = (0, 0, 0);
    for now in 0..20_000 {
        running.retain(|&(end, daemon)| {
            if end <= now {
                limits[daemon].give_back(Ended::Served(Millis(SERVICE_MS)), Millis(now));
                served += 1;
            }
            end > now
        });
        for turn in 0..daemons {
            let daemon = (turn + now as usize) % daemons;
            while limits[daemon].try_take(Millis(now)) {
                if running.len() < slots {
                    running.push((now + SERVICE_MS, daemon));
                } else {
                    limits[daemon].give_back(Ended::Shed, Millis(now));
                    sheds += 1;
                    break;
                }
            }
        }
        busy += running.len();
    }
    (
        f64::from(sheds) / f64::from(sheds + served),
        busy as f64 / 20_000.0,
    )
}

/// Guards against an adaptive limit that leaves slots idle or lives on shed requests, which would
/// exceed the retry budget.
#[test_case(1; "one_daemon")]
#[test_case(3; "three_daemons")]
#[test_case(9; "nine_daemons")]
fn adaptive_limit_shares_four_slots(daemons: usize) {
    let (shed, busy) = simulate(LimitPolicy::Adaptive, daemons, 4);
    println!("daemons={daemons} shed={shed:.3} busy={busy:.2}");
    assert!(shed < 0.25, "share of sheds {shed}");
    assert!(busy > 3.0, "busy slots {busy}");
}

/// Guards against policies that cannot be told apart by measurements.
#[test]
fn until_shed_sheds_more_than_adaptive() {
    let (adaptive, _) = simulate(LimitPolicy::Adaptive, 9, 4);
    let (until_shed, _) = simulate(LimitPolicy::UntilShed, 9, 4);
    assert!(until_shed > adaptive, "{until_shed} and {adaptive}");
}

fn full_gate(limit: u32) -> Gate<u32> {
    let mut gate = Gate::new(LimitPolicy::UntilShed, limit);
    for i in 0..limit {
        let entry = gate.enter(&name("a"), i, 8, Millis(1_000), Millis(0));
        assert_eq!(entry, Entry::Go(i));
    }
    gate
}

/// Guards against requests that wait in vain, and against an unbounded queue.
#[test]
fn gate_refuses_what_cannot_be_served() {
    let mut gate = full_gate(2);
    for i in 10..18 {
        assert_eq!(
            gate.enter(&name("a"), i, 8, Millis(1_000), Millis(0)),
            Entry::Wait
        );
    }
    let full = gate.enter(&name("a"), 18, 8, Millis(1_000), Millis(0));
    assert_eq!(full, Entry::Refused(18, Code::QueueFull));
    let late = gate.enter(&name("a"), 19, 100, Millis(10), Millis(0));
    assert_eq!(late, Entry::Refused(19, Code::TooLate));
}

/// Guards against a newcomer overtaking requests that wait.
#[test]
fn gate_keeps_the_order_when_a_place_is_free() {
    let mut gate = full_gate(1);
    assert_eq!(
        gate.enter(&name("a"), 1, 8, Millis(1_000), Millis(0)),
        Entry::Wait
    );
    gate.leave(Ended::Other, Millis(1));
    assert_eq!(
        gate.enter(&name("b"), 2, 8, Millis(1_000), Millis(1)),
        Entry::Wait
    );
    assert_eq!(gate.next(Millis(1)), Some(1));
    assert_eq!(gate.next(Millis(1)), None);
}

/// Guards against places that are lost when waiting callers leave: they would never be free again.
#[tokio::test]
async fn leaving_waiters_lose_no_places() {
    let clock = Clock::start();
    let admission = Admission::new(LimitPolicy::UntilShed, 1, clock);
    let deadline = clock.now() + Millis(10_000);
    for _ in 0..50 {
        let permit = admission
            .enter(&name("a"), 8, deadline)
            .await
            .expect("a place");
        let waiter = {
            let admission = admission.clone();
            tokio::spawn(async move { admission.enter(&name("b"), 8, deadline).await.is_ok() })
        };
        while admission.gate().queue_len() == 0 {
            tokio::task::yield_now().await;
        }
        // The permit is handed over before the waiter's end is known.
        waiter.abort();
        drop(permit);
        let _ = waiter.await;
    }
    assert_eq!(admission.gate().limit().in_flight(), 0);
}

/// Guards against a waiter that is never woken when the limit is below one and nothing is in
/// flight any more.
#[tokio::test]
async fn pause_below_one_ends_by_itself() {
    let clock = Clock::start();
    let admission = Admission::new(LimitPolicy::Share(0.2), 4, clock);
    let deadline = clock.now() + Millis(5_000);
    for _ in 0..5 {
        let permit = admission
            .enter(&name("a"), 8, deadline)
            .await
            .expect("a place");
        permit.end(Ended::Served(Millis(2)));
    }
    assert!(clock.now() >= Millis(20), "the requests are spaced out");
}
