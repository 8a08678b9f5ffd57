//! A daemon gets SIGTERM; a request that comes on a kept connection just after 3 s is at work at its
//! endpoint when the process ends.

use crate::base::*;
use crate::world::*;
use std::sync::{Arc, Mutex};
use std::thread;

/// Work of the late requests.
const WORK_MS: u32 = 2_700;
/// When each of the kept connections sends its request, in seconds after the signal.
const SEND_AT: [f64; 5] = [3.01, 3.02, 3.03, 3.045, 3.06];
const GRACE_S: f64 = 6.0;

pub fn play(dir: &str, run: &str, trouble: bool) -> Result<Result<String, String>, String> {
    let (store, ledger) = (Store::default(), Ledger::default());
    let store_addr = store.start();
    store.put("op", "config", Some(&config(1)));
    let _endpoints: Vec<_> = [("rounds", true), ("billing", false), ("records", false), ("records", false), ("records", false)]
        .iter()
        .enumerate()
        .map(|(i, (s, sharded))| Endpoint::start(&store, &ledger, &format!("i-0c{i}"), s, *sharded, "bern-a"))
        .collect();
    let mut daemons: Vec<Daemon> = ["bern-a", "bern-b", "solothurn"]
        .iter()
        .map(|zone| Daemon::start(dir, &format!("front-{zone}-1"), zone, store_addr, run))
        .collect();
    if !wait_for(15.0, || daemons.iter().all(Daemon::is_ready)) {
        return Err("the daemons were not ready".into());
    }
    sleep_s(6.0);
    let front = daemons[0].front;
    let mut kept = Vec::new();
    for _ in SEND_AT {
        let mut c = Connection::open(front).map_err(|e| e.to_string())?;
        match ask(&mut c, 20, 4.0).0 {
            200 => kept.push(c),
            status => return Err(format!("a request before the signal got {status}")),
        }
    }
    sleep_s(1.0);
    let term_at = now();
    if trouble {
        daemons[0].signal("TERM");
    }
    let broken = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = kept
        .into_iter()
        .zip(SEND_AT)
        .map(|(mut c, at)| {
            let (broken, ledger) = (Arc::clone(&broken), ledger.clone());
            thread::spawn(move || {
                sleep_until(term_at + at);
                let sent_at = now();
                let (status, id, e) = ask(&mut c, WORK_MS, 8.0);
                let ended_at = now();
                let runs = ledger.runs.lock().unwrap();
                let run = runs.iter().find(|run| run.id == id);
                record(format!("request {id} sent {:.3} s after the signal: status {status} {e} after {:.3} s; run by {:?}",
                    sent_at - term_at, ended_at - sent_at, run.map(|r| (&r.endpoint, r.from - term_at))));
                // Passed on, sent later than 3 s after the signal, cut while its endpoint was at work.
                if status == 0 && run.is_some() && sent_at - term_at > 3.0 && ended_at - term_at <= GRACE_S + 1.0 {
                    broken.lock().unwrap().push(format!("{id} at {:.3} s", ended_at - term_at));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    wait_for(4.0, || false);
    record(format!("process of the daemon has ended: {}", daemons[0].has_ended()));
    let broken = broken.lock().unwrap().clone();
    let text = format!("requests that were passed on and then cut off without an answer: {broken:?}");
    Ok(if broken.is_empty() { Ok(text) } else { Err(text) })
}

/// Sends a request; its status (0 without a complete answer), id and error.
fn ask(c: &mut Connection, work_ms: u32, limit_s: f64) -> (u16, String, String) {
    let id = new_id();
    let headers = [
        ("Host", "gate.example".to_owned()),
        ("Request-Id", id.clone()),
        ("Deadline-Ms", "8000".into()),
        ("X-Work-Ms", work_ms.to_string()),
    ];
    if let Err(e) = c.send(&request("GET", "/history/p", &headers, b"")) {
        return (0, id, e.to_string());
    }
    match c.receive(limit_s) {
        Ok(Some(m)) => (m.status(), id, String::new()),
        Ok(None) => (0, id, "connection closed".into()),
        Err(e) => (0, id, e.to_string()),
    }
}
