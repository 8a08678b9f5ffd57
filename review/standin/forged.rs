//! An entry of another writer, with a service that no configuration names, at the address of an
//! endpoint that owns keys.

use crate::base::*;
use crate::world::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

pub fn play(dir: &str, run: &str, trouble: bool) -> Result<Result<String, String>, String> {
    let (store, ledger) = (Store::default(), Ledger::default());
    let store_addr = store.start();
    store.put("op", "config", Some(&config(1)));
    let zones = ["bern-a", "bern-b", "solothurn"];
    let rounds: Vec<_> = (0..4)
        .map(|i| Endpoint::start(&store, &ledger, &format!("i-0a{i}"), "rounds", true, zones[i % 3]))
        .collect();
    let _others: Vec<_> = ["billing", "records"]
        .iter()
        .map(|s| Endpoint::start(&store, &ledger, &format!("i-0b-{s}"), s, false, "bern-a"))
        .collect();
    let daemons: Vec<Daemon> = zones
        .iter()
        .map(|zone| Daemon::start(dir, &format!("front-{zone}-1"), zone, store_addr, run))
        .collect();
    let held = || rounds.iter().map(|e| e.held()).sum::<usize>();
    if !wait_for(20.0, || held() == 65536) {
        return Err("the keys were not granted".into());
    }
    sleep_s(4.0);
    // Lookups for keys of the whole space.
    let done = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = daemons
        .iter()
        .map(|d| {
            let (front, done) = (d.front, Arc::clone(&done));
            thread::spawn(move || look_up(front, &done))
        })
        .collect();
    sleep_s(3.0);
    let victim = rounds.iter().max_by_key(|e| e.held()).unwrap();
    record(format!("{} holds {} keys", victim.id, victim.held()));
    if trouble {
        let entry = victim.entry("inventory", unix_ms());
        record(format!("another writer puts servers/i-77: {entry}"));
        store.put("servers", "i-77", Some(&entry));
    }
    sleep_s(8.0);
    done.store(true, Ordering::Relaxed);
    let answered: Vec<(usize, usize)> = callers.into_iter().map(|c| c.join().unwrap()).collect();
    record(format!("answered and sent, for each daemon: {answered:?}"));
    let (longest, example, keys) = ledger.longest_double_hold();
    let text = format!("longest time for which two endpoints held one key: {longest:.3} s; keys held by two for over 0.5 s: {keys}; {example}");
    Ok(if longest > 0.5 { Err(text) } else { Ok(text) })
}

/// Sends lookups until `done`; how many were answered with success, and how many were sent.
fn look_up(front: std::net::SocketAddr, done: &AtomicBool) -> (usize, usize) {
    let (mut ok, mut sent, mut key) = (0, 0, 0u16);
    let mut kept: Option<Connection> = None;
    while !done.load(Ordering::Relaxed) {
        key = key.wrapping_add(7919);
        let Some(mut c) = kept.take().or_else(|| Connection::open(front).ok()) else {
            sleep_s(0.1);
            continue;
        };
        let id = new_id();
        let headers = [
            ("Host", "gate.example".to_owned()),
            ("Request-Id", id.clone()),
            ("Deadline-Ms", "2000".into()),
            ("Shard-Key", key.to_string()),
        ];
        let is_sent = c.send(&request("GET", "/lookup/p", &headers, b""));
        sent += 1;
        let answer = is_sent.ok().and_then(|()| c.receive(2.5).ok().flatten());
        let status = answer.as_ref().map_or(0, |m| m.status());
        if status == 200 {
            ok += 1;
        } else {
            record(format!("lookup {id} of key {key}: status {status}"));
        }
        if answer.is_some_and(|m| m.header("connection") != Some("close")) {
            kept = Some(c);
        }
        sleep_s(0.02);
    }
    (ok, sent)
}
