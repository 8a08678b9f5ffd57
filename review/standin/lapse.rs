//! All daemons are killed and start again. Then the store is down for 4 s, in which the entries of the
//! endpoints lapse; they are back right after it.

use crate::base::*;
use crate::world::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const DOWN_S: f64 = 4.0;
const RECOVERY_S: f64 = 15.0;
/// When each request was sent, and its status.
type Log = Arc<Mutex<Vec<(f64, u16)>>>;

pub fn play(dir: &str, run: &str, trouble: bool) -> Result<Result<String, String>, String> {
    let (store, ledger) = (Store::default(), Ledger::default());
    let store_addr = store.start();
    store.put("op", "config", Some(&config(1)));
    let zones = ["bern-a", "bern-b", "solothurn"];
    let services = [("rounds", true), ("billing", false), ("records", false)];
    let endpoints: Vec<_> = (0..9)
        .map(|i| {
            let (service, sharded) = services[i % 3];
            Endpoint::start(&store, &ledger, &format!("i-0f{i}"), service, sharded, zones[i / 3])
        })
        .collect();
    endpoints.iter().for_each(Endpoint::send_heartbeats);
    let mut daemons: Vec<Daemon> = zones
        .iter()
        .map(|zone| Daemon::start(dir, &format!("front-{zone}-1"), zone, store_addr, run))
        .collect();
    let held = || endpoints.iter().map(|e| e.held()).sum::<usize>();
    if !wait_for(20.0, || held() == 65536) {
        return Err("the keys were not granted".into());
    }
    sleep_s(2.0);
    let (log, done): (Log, _) = (Log::default(), Arc::new(AtomicBool::new(false)));
    let callers: Vec<_> = daemons
        .iter()
        .flat_map(|d| (0..3).map(move |route| (d.front, route)))
        .map(|(front, route)| {
            let (log, done) = (Arc::clone(&log), Arc::clone(&done));
            thread::spawn(move || call(front, route, &log, &done))
        })
        .collect();
    sleep_s(5.0);
    let fault_at = now();
    daemons.iter_mut().for_each(Daemon::kill);
    sleep_s(1.0);
    daemons.iter_mut().for_each(|d| d.spawn(run));
    let back_at = now();
    record("the machines are back".into());
    sleep_until(back_at + 3.0);
    if trouble {
        store.set_silent(true);
        sleep_s(DOWN_S);
        store.set_silent(false);
    }
    sleep_until(back_at + RECOVERY_S + 10.0);
    done.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let log = log.lock().unwrap();
    let served = |from: f64, to: f64| {
        let sent = log.iter().filter(|(at, _)| (from..to).contains(at));
        let (mut ok, mut all) = (0, 0);
        sent.for_each(|(_, status)| (ok, all) = (ok + usize::from(*status == 200), all + 1));
        (ok, all)
    };
    for second in 0..(now() as usize) {
        let from = second as f64;
        record(format!("sent from {second} s to {} s: served and all {:?}", second + 1, served(from, from + 1.0)));
    }
    let (before, after) = (served(fault_at - 4.0, fault_at), served(back_at + RECOVERY_S, f64::MAX));
    let text = format!("served and all requests: {before:?} in the 4 s before the final fault, {after:?} later than {RECOVERY_S} s after the machines were back");
    if before.0 * 4 < before.1 || before.1 == 0 || after.1 == 0 {
        return Err(text);
    }
    Ok(if after.0 * 4 < after.1 { Err(text) } else { Ok(text) })
}

/// Sends requests of one route, about 20 a second.
fn call(front: SocketAddr, route: usize, log: &Log, done: &AtomicBool) {
    let (mut key, mut kept) = (0u16, None::<Connection>);
    while !done.load(Ordering::Relaxed) {
        key = key.wrapping_add(7919);
        let (method, path, body): (_, _, &[u8]) = match route {
            0 => ("GET", "/lookup/p", b""),
            1 => ("POST", "/record/p", b"clearance"),
            _ => ("GET", "/history/p", b""),
        };
        let headers = [
            ("Host", "gate.example".to_owned()),
            ("Request-Id", new_id()),
            ("Deadline-Ms", "2000".into()),
            ("Shard-Key", key.to_string()),
        ];
        let sent_at = now();
        let mut status = 0;
        if let Some(mut c) = kept.take().or_else(|| Connection::open(front).ok()) {
            let sent = c.send(&request(method, path, &headers, body));
            let answer = sent.ok().and_then(|()| c.receive(2.5).ok().flatten());
            status = answer.as_ref().map_or(0, |m| m.status());
            if answer.is_some_and(|m| m.header("connection") != Some("close")) {
                kept = Some(c);
            }
        }
        log.lock().unwrap().push((sent_at, status));
        sleep_s(0.05);
    }
}
