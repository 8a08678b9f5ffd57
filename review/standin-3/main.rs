//! Stand-ins of the platform, the endpoints and the clients for case 11 of the third review, and the
//! case itself. Usage, from the root of the repository: `standin-3 RECORD`. Without the variable
//! `TROUBLE`, or with any value but 0, the disruption is played. Exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case could not run.

mod http;
mod json;
mod store;
mod world;

use std::{
    collections::BTreeMap,
    path::Path,
    process::exit,
    sync::{Arc, atomic::Ordering},
    thread::{self, sleep},
    time::{Duration, Instant},
};
use world::{Daemon, Endpoint, Kind, World};

/// `drain_s` of the settings.
const DRAIN: Duration = Duration::from_secs(2);
/// `stable_window_s` of the settings.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// How long the controller's way to the store is cut.
const CUT: Duration = Duration::from_millis(500);
/// When an endpoint's entry is removed, after the cut has begun.
const REMOVED_AFTER: Duration = Duration::from_millis(200);
/// How much longer than [`DRAIN`] an endpoint serves after the removal of its entry.
const A_LITTLE_LONGER: Duration = Duration::from_millis(400);
/// Endpoints that leave, one after the other.
const LEAVING: usize = 3;
/// Time from one to the next.
const INTERVAL: Duration = Duration::from_secs(7);
const CLIENTS: usize = 24;

const CLEARANCE: Kind = Kind {
    host: "hulo84.example",
    path: "/xapu221/ny95/2f",
    is_safe: false,
    deadline: Duration::from_millis(2_500),
};

fn main() {
    let Some(record) = std::env::args().nth(1) else {
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    exit(std::panic::catch_unwind(|| play(&record, trouble)).unwrap_or(2));
}

fn config() -> String {
    format!(
        "{{\"config_version\":\"00000005\",\"routes\":[\
         {{\"name\":\"r-b9wu3fe\",\"host\":\"{}\",\"prefix\":\"/xapu221/ny95/\",\"route_type\":\"unsafe\",\
         \"timeout_s\":1.2,\"target_latency_s\":0.4,\"priority\":1,\"service\":\"wuno96b\",\
         \"max_attempts\":2}}],\"services\":[\
         {{\"name\":\"wuno96b\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout_s\":3,\"idle_timeout_s\":15}}}}",
        CLEARANCE.host
    )
}

/// An endpoint that has left.
struct Left {
    id: String,
    /// When the store had acknowledged the removal of its entry.
    acked_at: Duration,
    /// The daemon whose way to the store was cut.
    cut: String,
    /// When the cut ended.
    healed_at: Duration,
}

/// Removes the entries of endpoints, each while the controller's way to the store is cut for a moment.
fn play(record: &str, trouble: bool) -> i32 {
    let world = Arc::new(World::new(3));
    let log = world.record.clone();
    world.configure(&config());
    let ids = [
        "i-02d9e6b4",
        "i-1c55a0e7",
        "i-7f3a91c2",
        "i-9be04d18",
        "i-a3350c6f",
        "i-c08e71d2",
    ];
    let endpoints = ids.map(|id| Endpoint::start(id, "wuno96b", &world));
    world.start_daemons();
    world.start_load_balancer();
    if !world.wait_until_ready(Duration::from_secs(15)) {
        world.add_logs(&[""], 20);
        world.end();
        log.write(Path::new(record));
        return 2;
    }
    for number in 0..CLIENTS {
        world.start_client(number, CLEARANCE);
    }
    let begun = Instant::now();
    let mut left = Vec::new();
    for (round, endpoint) in (1..).zip(&endpoints[..LEAVING]) {
        sleep((begun + INTERVAL * round).saturating_duration_since(Instant::now()));
        left.push(leave(&world, endpoint, trouble));
    }
    sleep(Duration::from_secs(4));
    world.stop.store(true, Ordering::Relaxed);
    sleep(CLEARANCE.deadline);
    world.add_logs(&["Store call failed", "entries are missing"], 6);
    world.end();
    judge(&world, &left, record)
}

/// Removes an endpoint's entry. The endpoint serves on for a while, and then exits.
fn leave(world: &World, endpoint: &Endpoint, trouble: bool) -> Left {
    let log = &world.record;
    let writes = |daemon: &&Arc<Daemon>| daemon.door.last_write();
    let controller = world.daemons.iter().max_by_key(writes).expect("a daemon");
    if trouble {
        controller.door.cut();
        log.add(format!(
            "network   cuts {} off from the store, with a reset; it wrote there last",
            controller.name
        ));
    }
    sleep(REMOVED_AFTER);
    let ver = world.store.put("servers", "", &endpoint.id, None);
    let acked_at = log.at();
    log.add(format!(
        "endpoint  {} leaves: its entry is removed, acknowledged as {ver}",
        endpoint.id
    ));
    let (leaving, exits_log) = (endpoint.clone(), log.clone());
    thread::spawn(move || {
        sleep(DRAIN + A_LITTLE_LONGER);
        exits_log.add(format!("endpoint  {} exits", leaving.id));
        leaving.exit();
    });
    sleep(CUT - REMOVED_AFTER);
    if trouble {
        controller.door.heal();
        log.add(format!(
            "network   {} reaches the store again",
            controller.name
        ));
    }
    Left {
        id: endpoint.id.clone(),
        acked_at,
        cut: controller.name.clone(),
        healed_at: log.at(),
    }
}

/// Counts the requests that reached an endpoint too late, by daemons that were in touch.
fn judge(world: &World, left: &[Left], record: &str) -> i32 {
    let log = &world.record;
    let words = |line: &String| -> Vec<String> { line.split(' ').map(str::to_owned).collect() };
    let ids_of = |start: &str| {
        let lines = log.texts(start);
        lines
            .iter()
            .filter_map(|line| line.split_whitespace().nth(2).map(str::to_owned))
            .collect::<Vec<_>>()
    };
    let cut_off = ids_of("cut off");
    let mut senders = BTreeMap::new();
    for line in log.texts("sent") {
        let words = words(&line);
        let id = line
            .split_whitespace()
            .nth(1)
            .unwrap_or_default()
            .to_owned();
        senders.insert(id, words.last().cloned().unwrap_or_default());
    }
    let answers = log.texts("answered");
    let runs = world.runs.lock().unwrap().clone();
    let (mut late, mut lost) = (0, 0);
    for (at, id, endpoint) in &runs {
        let Some(one) = left.iter().find(|one| one.id == *endpoint) else {
            continue;
        };
        let Some(sender) = senders.get(id) else {
            continue;
        };
        let by_cut = left.iter().any(|other| {
            other.cut == *sender && *at < other.healed_at + STABLE_WINDOW && *at > other.acked_at
        });
        if *at <= one.acked_at + DRAIN || by_cut {
            continue;
        }
        late += 1;
        let is_lost = cut_off.contains(id);
        lost += usize::from(is_lost);
        let answer = answers.iter().find(|line| line.contains(id.as_str()));
        log.add(format!(
            "late      {id} from {sender} ran at {endpoint} {} ms after the acknowledgement{}; the client \
             got: {}",
            (*at - one.acked_at).as_millis(),
            if is_lost { ", cut off by its exit" } else { "" },
            answer.map_or("no answer", |line| line.rsplit_once(id.as_str()).map_or("", |(_, text)| text.trim()))
        ));
    }
    let served = answers
        .iter()
        .filter(|line| line.contains(" 200 signed"))
        .count();
    log.add(format!(
        "{served} of {} requests were answered with 200",
        senders.len()
    ));
    log.add(format!(
        "{late} requests ran at an endpoint later than drain_s after the store had acknowledged that it was \
         gone, by daemons in touch; {lost} of them were cut off by its exit"
    ));
    let verdict = match (served > 500, late > 0) {
        (false, _) => 2,
        (true, true) => 1,
        (true, false) => 0,
    };
    log.add(format!("verdict   {verdict}"));
    log.write(Path::new(record));
    verdict
}
