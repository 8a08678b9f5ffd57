//! Stand-ins of the platform, the endpoints and the clients for the cases of the second review, and
//! the cases themselves. Usage, from the root of the repository: `standin-2 CASE RECORD`. Without the
//! variable `TROUBLE`, or with any value but 0, the disruption is played. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod http;
mod json;
mod store;
mod world;

use std::{
    net::TcpStream,
    path::Path,
    process::exit,
    sync::{Arc, atomic::Ordering},
    thread::{self, sleep},
    time::{Duration, Instant},
};
use world::{Endpoint, Kind, World};

/// `recovery_s` of the settings.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time over which requests are counted after that.
const MEASURED: Duration = Duration::from_secs(8);

const HISTORY: Kind = Kind {
    host: "jepu9.example",
    path: "/lepu270/2f",
    is_safe: true,
    deadline: Duration::from_millis(4_000),
};
const CLEARANCE: Kind = Kind {
    host: "hulo84.example",
    path: "/xapu221/ny95/2f",
    is_safe: false,
    deadline: Duration::from_millis(2_500),
};

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(record)) = (args.next(), args.next()) else {
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = std::panic::catch_unwind(|| match &*case {
        "keys" => recovery(&record, trouble, Foreign::LargeTable),
        "parts" => recovery(&record, trouble, Foreign::OtherPart),
        "preset" => preset(&record, trouble),
        "slow" => slow_readers(&record, trouble),
        "upload" => upload(&record, trouble),
        _ => 2,
    });
    exit(result.unwrap_or(2));
}

/// A configuration with two routes, `clearance` of which is sent to `service`.
fn config(version: u32, timeout_s: f64, service: &str) -> String {
    format!(
        "{{\"config_version\":\"{version:08x}\",\"routes\":[\
         {{\"name\":\"r-xd9dnn2\",\"host\":\"{}\",\"prefix\":\"/lepu270/\",\"route_type\":\"safe\",\
         \"timeout_s\":{timeout_s},\"target_latency_s\":0.6,\"priority\":2,\"service\":\"kafi81c\",\
         \"max_attempts\":2}},\
         {{\"name\":\"r-b9wu3fe\",\"host\":\"{}\",\"prefix\":\"/xapu221/ny95/\",\"route_type\":\"unsafe\",\
         \"timeout_s\":1.2,\"target_latency_s\":0.4,\"priority\":1,\"service\":\"{service}\",\
         \"max_attempts\":2}}],\"services\":[\
         {{\"name\":\"kafi81c\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\
         \"tls\":false}},\
         {{\"name\":\"wuno96b\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout_s\":3,\"idle_timeout_s\":15}}}}",
        HISTORY.host, CLEARANCE.host
    )
}

/// The deployment with its first configuration, daemons in rotation, and clients; `None` if it does not
/// come up.
fn start() -> Option<(Arc<World>, Vec<Endpoint>)> {
    let world = Arc::new(World::new(3));
    world.configure(&config(5, 2.0, "wuno96b"));
    let entries = [
        ("i-02d9e6b4", "kafi81c"),
        ("i-1c55a0e7", "kafi81c"),
        ("i-7f3a91c2", "wuno96b"),
        ("i-9be04d18", "wuno96b"),
    ];
    let endpoints = entries.map(|(id, service)| Endpoint::start(id, service, 400, &world));
    world.start_daemons();
    world.start_load_balancer();
    if !world.wait_until_ready(Duration::from_secs(15)) {
        world.add_logs(&[""], 20);
        world.end();
        return None;
    }
    for number in 0..8 {
        let kind = if number % 2 == 0 { HISTORY } else { CLEARANCE };
        world.start_client(number, kind);
    }
    Some((world, endpoints.into()))
}

/// What another writer puts into the table of the endpoints.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Foreign {
    /// Entries that cannot be read, more than fit on a page, under keys with spaces, before all
    /// daemons are killed.
    LargeTable,
    /// Rows that cannot be read in another part of the table, under the keys of endpoints, after the
    /// daemons are back.
    OtherPart,
}

/// Kills all daemons right after a configuration is acknowledged, and counts what is served once they
/// have been back for `recovery_s`.
fn recovery(record: &str, trouble: bool, foreign: Foreign) -> i32 {
    let Some((world, endpoints)) = start() else {
        return 2;
    };
    let log = world.record.clone();
    let calm_from = log.at();
    sleep(Duration::from_secs(8));
    if trouble && foreign == Foreign::LargeTable {
        for day in 1..=24 {
            let key = format!("scan of day {day:02}");
            let bytes = vec![0xfe; 60_000];
            let ver = world.store.put("servers", "", &key, Some(&bytes));
            log.add(format!(
                "writer    puts {} bytes as servers/{key}, version {ver}",
                bytes.len()
            ));
        }
    }
    sleep(Duration::from_secs(2));
    let killed_at = log.at();
    world.configure(&config(7, 1.9, "wuno96b"));
    world.kill_daemons();
    sleep(Duration::from_secs(1));
    world.start_daemons();
    let back_at = log.at();
    sleep(Duration::from_secs(6));
    if trouble && foreign == Foreign::OtherPart {
        for endpoint in &endpoints {
            let ver = world
                .store
                .put("servers", "copies", &endpoint.id, Some(&[0xfe; 60]));
            log.add(format!(
                "writer    puts 60 bytes into table servers, part copies, key {}, version {ver}",
                endpoint.id
            ));
        }
    }
    sleep((back_at + RECOVERY + MEASURED).saturating_sub(log.at()));
    let end = log.at();
    sleep(HISTORY.deadline + Duration::from_millis(300));
    world.add_logs(
        &[
            "Store call failed",
            "Endpoint row is invalid",
            "entries are missing",
            "Started.",
        ],
        8,
    );
    let (before, served_before) = world.served(calm_from, killed_at);
    let (after, served_after) = world.served(back_at + RECOVERY, end);
    world.end();
    log.add(format!("store     {}", world.store.reads()));
    log.add(format!(
        "before the final fault: {served_before} of {before} requests served"
    ));
    log.add(format!(
        "later than {} s after the machines were back: {served_after} of {after} requests served",
        RECOVERY.as_secs()
    ));
    let could_run = served_before * 4 >= before && before > 100 && after > 20;
    let is_broken = served_after * 4 < after;
    let verdict = match (could_run, is_broken) {
        (false, _) => 2,
        (true, true) => 1,
        (true, false) => 0,
    };
    log.add(format!("verdict   {verdict}"));
    log.write(Path::new(record));
    verdict
}

/// Writes a prepared configuration into another part of the operator's table.
fn preset(record: &str, trouble: bool) -> i32 {
    let Some((world, _endpoints)) = start() else {
        return 2;
    };
    let log = world.record.clone();
    sleep(Duration::from_secs(6));
    if trouble {
        let prepared = config(9, 2.0, "kafi81c");
        let ver = world
            .store
            .put("op", "maintenance", "config", Some(prepared.as_bytes()));
        log.add(format!(
            "operator  puts a prepared configuration into table op, part maintenance, key config, \
             version {ver}: {prepared}"
        ));
    }
    sleep(Duration::from_secs(10));
    world.stop.store(true, Ordering::Relaxed);
    sleep(Duration::from_secs(3));
    world.add_logs(&["Configuration in force"], 8);
    world.end();
    let runs = world.runs.lock().unwrap().clone();
    let lines = world.sent_ids(CLEARANCE.path);
    let wrong = runs
        .iter()
        .filter(|(_, id, service, _)| service == "kafi81c" && lines.contains(id));
    let wrong = wrong.count();
    log.add(format!(
        "{wrong} requests to {} were run by kafi81c, to which no op/config sends them",
        CLEARANCE.path
    ));
    let verdict = i32::from(wrong > 0);
    log.add(format!("verdict   {verdict}"));
    log.write(Path::new(record));
    verdict
}

/// Size of a large response.
const LARGE_BYTES: usize = 1_600_000;
/// What a slow client reads in each [`READ_INTERVAL`].
const READ_BYTES: usize = 64 * 1024;
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// When the large responses are asked for, after the SIGTERM.
const ASKED_AFTER: Duration = Duration::from_millis(2_200);

/// Stops a daemon while clients with kept connections read large responses slowly.
fn slow_readers(record: &str, trouble: bool) -> i32 {
    let world = Arc::new(World::new(2));
    world.configure(&config(5, 12.0, "wuno96b"));
    for (id, service) in [("i-02d9e6b4", "kafi81c"), ("i-7f3a91c2", "wuno96b")] {
        Endpoint::start(id, service, LARGE_BYTES, &world);
    }
    let log = world.record.clone();
    world.start_daemons();
    world.start_load_balancer();
    if !world.wait_until_ready(Duration::from_secs(15)) {
        world.end();
        return 2;
    }
    sleep(Duration::from_secs(5));
    let daemon = Arc::clone(&world.daemons[0]);
    let begun = Instant::now();
    let readers: Vec<_> = (0..6)
        .map(|_| {
            let (world, daemon) = (Arc::clone(&world), Arc::clone(&daemon));
            thread::spawn(move || {
                let mut stream = TcpStream::connect(daemon.front).expect("the daemon accepts");
                // A first request on the connection, which is kept.
                read_large(&world, &mut stream, Duration::ZERO)?;
                let until = begun + Duration::from_secs(2) + ASKED_AFTER;
                sleep(until.saturating_duration_since(Instant::now()));
                read_large(&world, &mut stream, READ_INTERVAL)
            })
        })
        .collect();
    sleep((begun + Duration::from_secs(2)).saturating_duration_since(Instant::now()));
    if trouble {
        daemon.signal("TERM");
        log.add(format!("platform  sends SIGTERM to {}", daemon.name));
        let (world, daemon) = (Arc::clone(&world), Arc::clone(&daemon));
        thread::spawn(move || {
            let until = Instant::now() + Duration::from_secs(6);
            while Instant::now() < until && !daemon.has_ended() {
                sleep(Duration::from_millis(10));
            }
            world.record.add(format!(
                "daemon    {} has ended: {}",
                daemon.name,
                daemon.has_ended()
            ));
            daemon.kill();
        });
    }
    let answers: Vec<Option<bool>> = readers
        .into_iter()
        .map(|r| r.join().ok().flatten())
        .collect();
    world.add_logs(&["Stopping", "Stop time limit", "Stopped"], 4);
    world.end();
    let lost = answers
        .iter()
        .filter(|answer| **answer == Some(false))
        .count();
    log.add(format!(
        "{lost} of {} answers broke off: {answers:?}",
        answers.len()
    ));
    let verdict = if answers.contains(&None) {
        2
    } else {
        i32::from(lost > 0)
    };
    log.add(format!("verdict   {verdict}"));
    log.write(Path::new(record));
    verdict
}

/// Asks for a large response and reads a part of it in each interval. Whether the answer was complete or
/// a refusal; `None` if the connection had been closed before the request.
fn read_large(world: &World, stream: &mut TcpStream, interval: Duration) -> Option<bool> {
    use std::io::{Read, Write};
    let id = world.new_id();
    let head = format!(
        "GET {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nDeadline-Ms: 12000\r\n\r\n",
        HISTORY.path, HISTORY.host
    );
    stream.write_all(head.as_bytes()).ok()?;
    world
        .record
        .add(format!("sent      {id} GET {}", HISTORY.path));
    let (mut bytes, mut chunk, mut length) = (Vec::new(), vec![0; READ_BYTES], None);
    let begun = Instant::now();
    loop {
        let read = stream.read(&mut chunk).unwrap_or(0);
        bytes.extend_from_slice(&chunk[..read]);
        if length.is_none() {
            let text = String::from_utf8_lossy(&bytes[..bytes.len().min(4_096)]).to_lowercase();
            length = text.split_once("\r\n\r\n").and_then(|(head, _)| {
                let value = head
                    .split_once("content-length:")?
                    .1
                    .lines()
                    .next()?
                    .trim()
                    .to_owned();
                Some(head.len() + 4 + value.parse::<usize>().ok()?)
            });
        }
        let is_whole = length.is_some_and(|length| bytes.len() >= length);
        if read == 0 || is_whole {
            let status = String::from_utf8_lossy(&bytes[..bytes.len().min(12)]).into_owned();
            world.record.add(format!(
                "answered  {id} {status:?}, {} of {length:?} bytes after {:?}, whole: {is_whole}",
                bytes.len(),
                begun.elapsed()
            ));
            return if bytes.is_empty() {
                None
            } else {
                Some(is_whole)
            };
        }
        sleep(interval);
    }
}

/// Size of a long request.
const UPLOAD_BYTES: usize = 4_000_000;
/// How long an endpoint does not read a long request.
const READ_PAUSE: Duration = Duration::from_millis(1_500);
/// Time limit of the route and the clients of long requests, in seconds.
const UPLOAD_LIMIT_S: f64 = 6.0;

/// Stops a daemon while an endpoint reads long requests slowly, if `trouble`.
fn upload(record: &str, trouble: bool) -> i32 {
    let world = Arc::new(World::new(2));
    let text = config(5, 2.0, "wuno96b").replace(
        "\"timeout_s\":1.2",
        &format!("\"timeout_s\":{UPLOAD_LIMIT_S}"),
    );
    world.configure(&text);
    Endpoint::start("i-02d9e6b4", "kafi81c", 400, &world);
    let pause = if trouble { READ_PAUSE } else { Duration::ZERO };
    for id in ["i-7f3a91c2", "i-9be04d18"] {
        Endpoint::start_pausing(id, "wuno96b", 400, pause, &world);
    }
    let log = world.record.clone();
    world.start_daemons();
    world.start_load_balancer();
    if !world.wait_until_ready(Duration::from_secs(15)) {
        world.end();
        return 2;
    }
    sleep(Duration::from_secs(5));
    let daemon = Arc::clone(&world.daemons[0]);
    daemon.signal("TERM");
    log.add(format!("platform  sends SIGTERM to {}", daemon.name));
    sleep(Duration::from_millis(300));
    let uploads: Vec<_> = (0..4)
        .map(|_| {
            let (world, daemon) = (Arc::clone(&world), Arc::clone(&daemon));
            thread::spawn(move || {
                let mut stream = TcpStream::connect(daemon.front).expect("the daemon accepts");
                let id = world.new_id();
                let head = format!(
                    "POST {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
                     Content-Length: {UPLOAD_BYTES}\r\n\r\n",
                    CLEARANCE.path,
                    CLEARANCE.host,
                    UPLOAD_LIMIT_S * 1_000.0
                );
                let begun = Instant::now();
                world.record.add(format!(
                    "sent      {id} POST {} to {}",
                    CLEARANCE.path, daemon.name
                ));
                let request = [head.as_bytes(), &vec![b'.'; UPLOAD_BYTES]].concat();
                // A daemon that refuses the request may close the connection before it has read all.
                let _ = http::write_all(&mut stream, &request);
                let answer = http::read_message(&mut stream, &mut Vec::new(), false);
                let (status, text) = answer.map_or_else(Default::default, |answer| {
                    (
                        answer.target,
                        String::from_utf8_lossy(&answer.body).trim().to_owned(),
                    )
                });
                let text = if text.starts_with('.') {
                    "(the endpoint's bytes)"
                } else {
                    &text
                };
                let after = begun.elapsed();
                world
                    .record
                    .add(format!("answered  {id} {status:?} {text} after {after:?}"));
                Some((id, status))
            })
        })
        .collect();
    let answers: Vec<Option<(String, String)>> = uploads
        .into_iter()
        .map(|upload| upload.join().ok().flatten())
        .collect();
    world.add_logs(&["Attempt failed", "Stopping", "Stopped"], 8);
    world.end();
    let begun = log.texts("begun");
    let is_lost = |(id, status): &&(String, String)| {
        let is_promise = ["429", "503", "408", "421"].contains(&&**status);
        status != "200" && !is_promise && begun.iter().any(|text| text.contains(id.as_str()))
    };
    let lost = answers.iter().flatten().filter(is_lost).count();
    log.add(format!(
        "{lost} of {} requests were broken off while their endpoint was at work",
        answers.len()
    ));
    let verdict = if begun.is_empty() {
        2
    } else {
        i32::from(lost > 0)
    };
    log.add(format!("verdict   {verdict}"));
    log.write(Path::new(record));
    verdict
}
