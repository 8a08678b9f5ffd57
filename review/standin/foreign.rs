//! An entry of another writer, with fields missing, in the place of an endpoint's own until its next
//! heartbeat. It names another service than the endpoint's.

use crate::base::*;
use crate::world::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// The answer to each request by its id: the path and the status, 0 without an answer.
type Answers = Arc<Mutex<BTreeMap<String, (&'static str, u16)>>>;

pub fn play(dir: &str, run: &str, trouble: bool) -> Result<Result<String, String>, String> {
    let (store, ledger) = (Store::default(), Ledger::default());
    let store_addr = store.start();
    store.put("op", "config", Some(&config(1)));
    let zones = ["bern-a", "bern-b", "solothurn"];
    let mut endpoints = Vec::new();
    for (service, sharded) in [("rounds", true), ("billing", false), ("records", false)] {
        for (i, zone) in zones.iter().enumerate() {
            let id = format!("i-{}{i}", &service[..2]);
            endpoints.push(Endpoint::start(&store, &ledger, &id, service, sharded, zone));
        }
    }
    endpoints.iter().for_each(Endpoint::write_heartbeats);
    let mut daemons: Vec<Daemon> = zones
        .iter()
        .map(|zone| Daemon::start(dir, &format!("front-{zone}-1"), zone, store_addr, run))
        .collect();
    if !wait_for(20.0, || daemons.iter().all(Daemon::is_ready)) {
        return Err("the daemons do not become ready".into());
    }
    sleep_s(3.0);
    let (done, answers) = (Arc::new(AtomicBool::new(false)), Answers::default());
    let callers: Vec<_> = daemons
        .iter()
        .flat_map(|d| [(d.front, "/record/p"), (d.front, "/history/p")])
        .map(|(front, path)| {
            let (done, answers) = (Arc::clone(&done), Arc::clone(&answers));
            thread::spawn(move || call(front, path, &done, &answers))
        })
        .collect();
    sleep_s(4.0);
    if trouble {
        let victim = endpoints.iter().find(|e| e.service == "records").unwrap();
        let (addr, zone) = (victim.addr, zones[0]);
        let entry = format!(
            r#"{{"service":"billing","address":"{addr}","zone":"{zone}","max_concurrency":4,"state":"ready"}}"#
        );
        record(format!("another writer puts servers/{}: {entry}", victim.id));
        store.put("servers", &victim.id, Some(&entry));
    }
    sleep_s(5.0);
    done.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|c| c.join().unwrap());
    if daemons.iter_mut().any(Daemon::has_ended) {
        return Err("a daemon has ended".into());
    }
    let answers = answers.lock().unwrap();
    let service_of: BTreeMap<&str, &str> = endpoints.iter().map(|e| (&*e.id, &*e.service)).collect();
    let runs = ledger.runs.lock().unwrap();
    let mut wrong = Vec::new();
    let mut by_service: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for run in runs.iter() {
        let Some((path, status)) = answers.get(&run.id) else { continue };
        let service = service_of[&*run.endpoint];
        *by_service.entry((path, service)).or_default() += 1;
        let allowed = if *path == "/record/p" { "billing" } else { "records" };
        if service != allowed {
            record(format!("{:.3}: {} {} ran on {} of {}; the client got {}", run.from, path, run.id, run.endpoint, service, status));
            wrong.push(*status);
        }
    }
    let mut statuses: BTreeMap<(&str, u16), usize> = BTreeMap::new();
    for answer in answers.values() {
        *statuses.entry(*answer).or_default() += 1;
    }
    record(format!("answers by path and status: {statuses:?}"));
    record(format!("runs by path and service: {by_service:?}"));
    let served = wrong.iter().filter(|s| **s == 200).count();
    let text = format!(
        "requests that ran on a service to which no configuration sends them: {}, of which the client got 200 for {served}; all requests: {}",
        wrong.len(),
        answers.len()
    );
    Ok(if wrong.is_empty() { Ok(text) } else { Err(text) })
}

/// Sends one request after the other until `done`.
fn call(front: SocketAddr, path: &'static str, done: &AtomicBool, answers: &Answers) {
    let mut kept: Option<Connection> = None;
    while !done.load(Ordering::Relaxed) {
        let Some(mut c) = kept.take().or_else(|| Connection::open(front).ok()) else {
            sleep_s(0.1);
            continue;
        };
        let id = new_id();
        let headers = [
            ("Host", "gate.example".to_owned()),
            ("Request-Id", id.clone()),
            ("Deadline-Ms", "2500".into()),
        ];
        let method = if path.starts_with("/record") { "POST" } else { "GET" };
        let is_sent = c.send(&request(method, path, &headers, b""));
        let answer = is_sent.ok().and_then(|()| c.receive(3.0).ok().flatten());
        let status = answer.as_ref().map_or(0, |m| m.status());
        answers.lock().unwrap().insert(id, (path, status));
        if answer.is_some_and(|m| m.header("connection") != Some("close")) {
            kept = Some(c);
        }
        sleep_s(0.02);
    }
}
