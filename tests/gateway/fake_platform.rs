//! An in-memory platform: a store with long polling, and grants and releases that always succeed.

use bytes::Bytes;
use fireflygauge::{
    clock::Millis,
    gateway::{
        controller_lease::LeaseRow,
        evacuation::{EvacuationRequest, EvacuationRow},
        model::{
            CallerLimits, Configuration, EndpointEntry, EndpointInstance, KeyRange, RetryPolicy,
            Route, Service, Share,
        },
        platform::{
            Changes, GrantCommand, GrantOutcome, HeaderNames, Platform, ReleaseOutcome, RowWrite,
            Rows, StoreError, StoredRow, Table, WriteOutcome,
        },
        rate_limit::Rate,
        store_version::{era_of, number_of, store_version},
    },
};
use http::HeaderName;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Time within which a daemon becomes the controller.
const CONTROLLER_TIMEOUT: Duration = Duration::from_secs(10);
/// Start of the names of rows that request an evacuation; the zone follows.
const EVACUATION: &str = "evacuate/";

#[derive(Default)]
struct State {
    is_failing: bool,
    latency: Duration,
    /// Whether calls for changes are not held.
    responds_early: bool,
    /// Number of calls so far.
    calls: usize,
    /// Rises with each restoration.
    era: u64,
    content: Content,
}

/// What a copy of the store has.
#[derive(Clone, Default)]
pub struct Content {
    version: u64,
    /// Versions and contents; no content for removed rows.
    rows: BTreeMap<(u8, Arc<str>), (u64, Option<Bytes>)>,
}

/// The platform. Rows of endpoints and declarations have a text format that only the tests use.
#[derive(Clone)]
pub struct FakePlatform {
    state: Arc<Mutex<State>>,
    /// Whether the link to the store is cut, over which this handle and its clones call it.
    is_cut: Arc<AtomicBool>,
    names: Arc<HeaderNames>,
}

/// Header names of the platform.
pub fn names() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("x-id"),
        deadline: HeaderName::from_static("x-deadline"),
        expected_endpoint: HeaderName::from_static("x-endpoint"),
        not_executed: HeaderName::from_static("x-not-run"),
        signature: HeaderName::from_static("x-signature"),
        load: HeaderName::from_static("x-load"),
        key: HeaderName::from_static("x-key"),
        endpoint: HeaderName::from_static("x-instance"),
        leaving: HeaderName::from_static("x-leaving"),
        rate_limit: HeaderName::from_static("x-limit"),
    }
}

impl FakePlatform {
    /// Creates an empty platform.
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            is_cut: Arc::default(),
            names: Arc::new(names()),
        }
    }

    /// The same platform over a link of its own.
    pub fn with_own_link(&self) -> Self {
        Self {
            is_cut: Arc::default(),
            ..self.clone()
        }
    }

    /// Cuts the link off from the store.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    /// Removes the entry of an endpoint.
    pub fn unregister(&self, name: &str) {
        self.set(Table::Endpoints, name, None);
    }

    /// Name of the daemon that holds the controller lease.
    pub fn controller(&self) -> Option<String> {
        let rows = self.rows_after(Table::Controller, 0).rows;
        let row = LeaseRow::decode(rows.first()?.value.as_ref()?).ok()?;
        (!row.released).then_some(row.holder.0.to_string())
    }

    /// Waits until the daemon with this name holds the controller lease.
    pub async fn wait_for_controller(&self, name: &str) {
        let end = Instant::now() + CONTROLLER_TIMEOUT;
        while self.controller().as_deref() != Some(name) {
            assert!(Instant::now() < end, "{name} is not the controller");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Declares the test configuration as `version`.
    pub fn declare(&self, version: u64) {
        self.put(Table::Declarations, "config", &version.to_string());
    }

    /// Requests that a zone be evacuated.
    pub fn evacuate(&self, zone: &str) {
        self.put(Table::Declarations, &format!("{EVACUATION}{zone}"), "");
    }

    /// Takes the evacuation of a zone back.
    pub fn take_back(&self, zone: &str) {
        self.set(Table::Declarations, &format!("{EVACUATION}{zone}"), None);
    }

    /// Registers an endpoint in zone `a`.
    pub fn register(&self, name: &str, service: &str, addr: SocketAddr) {
        self.register_life(name, service, addr, 1);
    }

    /// Registers an endpoint that is cold for `warmup_ms`, anew with each call.
    pub fn register_cold(&self, name: &str, service: &str, addr: SocketAddr, warmup_ms: u64) {
        let sequence = self.calls();
        let value = format!("{service} {addr} 1 a {warmup_ms} {sequence}");
        self.put(Table::Endpoints, name, &value);
    }

    /// Registers a life of an endpoint that started at `started_at_ms`.
    pub fn register_life(&self, name: &str, service: &str, addr: SocketAddr, started_at_ms: u64) {
        let value = format!("{service} {addr} {started_at_ms} a");
        self.put(Table::Endpoints, name, &value);
    }

    /// Registers an endpoint in a zone.
    pub fn register_in(&self, zone: &str, name: &str, service: &str, addr: SocketAddr) {
        let value = format!("{service} {addr} 1 {zone}");
        self.put(Table::Endpoints, name, &value);
    }

    /// Responds to calls for changes at once, as a store does in which other rows change all the time.
    pub fn respond_early(&self) {
        self.state
            .lock()
            .expect("no panic while locked")
            .responds_early = true;
    }

    /// Sets whether the store rejects all calls.
    pub fn set_failing(&self, is_failing: bool) {
        self.state.lock().expect("no panic while locked").is_failing = is_failing;
    }

    /// Delays the responses of the store to reads.
    pub fn set_latency(&self, latency: Duration) {
        let mut state = self.state.lock().expect("no panic while locked");
        state.latency = latency;
    }

    /// A copy of the store as it is now.
    pub fn copy(&self) -> Content {
        let state = self.state.lock().expect("no panic while locked");
        state.content.clone()
    }

    /// Replaces the store by a copy: what was written since is lost, and versions are given out again.
    pub fn restore(&self, copy: Content) {
        let mut state = self.state.lock().expect("no panic while locked");
        state.content = copy;
        state.era += 1;
    }

    /// Number of calls to the store so far, over all links.
    pub fn calls(&self) -> usize {
        self.state.lock().expect("no panic while locked").calls
    }

    /// Counts a call, and waits for as long as the store takes to respond.
    async fn delay(&self) {
        let latency = {
            let mut state = self.state.lock().expect("no panic while locked");
            state.calls += 1;
            state.latency
        };
        sleep(latency).await;
    }

    fn check(&self) -> Result<(), StoreError> {
        let is_failing = self.state.lock().expect("no panic while locked").is_failing;
        if is_failing || self.is_cut.load(Ordering::SeqCst) {
            return Err(StoreError::Refused(503));
        }
        Ok(())
    }

    /// Writes a row.
    pub fn put(&self, table: Table, name: &str, value: &str) {
        self.set(table, name, Some(Bytes::from(value.to_owned())));
    }

    fn set(&self, table: Table, name: &str, value: Option<Bytes>) {
        let mut state = self.state.lock().expect("no panic while locked");
        let content = &mut state.content;
        content.version += 1;
        let row = (content.version, value);
        content.rows.insert((table as u8, name.into()), row);
    }

    /// Sets the version byte of the rows that daemons have written.
    pub fn set_row_version(&self, format: u8) {
        let mut state = self.state.lock().expect("no panic while locked");
        for ((table, _), (_, value)) in &mut state.content.rows {
            if [Table::Controller as u8, Table::Owners as u8].contains(table)
                && let Some(value) = value
            {
                let rest = value.slice(1..);
                *value = [&[format], &*rest].concat().into();
            }
        }
    }

    fn rows_after(&self, table: Table, after: u64) -> Rows {
        let state = self.state.lock().expect("no panic while locked");
        let content = &state.content;
        let of_table = content.rows.iter().filter(|((t, _), _)| *t == table as u8);
        let newer = of_table.filter(|(_, (version, _))| *version > number_of(after));
        let rows = newer.map(|((_, name), (version, value))| StoredRow {
            name: Arc::clone(name),
            version: store_version(state.era, *version),
            value: value.clone(),
        });
        Rows {
            rows: rows.collect(),
            version: store_version(state.era, content.version),
        }
    }
}

/// The test configuration: routes `/safe/` and `/unsafe/` to the service `plain`, and `/keyed/` to
/// the service `keyed`.
fn configuration(version: u64) -> Configuration {
    let route = |prefix: &str, service: &str, retry_policy| Route {
        name: prefix.into(),
        host: "h".into(),
        prefix: prefix.into(),
        retry_policy,
        timeout: Millis(1_500),
        latency_objective: Millis(500),
        priority: 1,
        max_attempts: 3,
        shares: vec![Share {
            service: service.into(),
            weight: 1.0,
        }],
    };
    let service = |name: &str, keyed| {
        let service = Service {
            name: name.into(),
            keyed,
            max_connections: 100,
            warmup_rate: Rate::new(3.6),
        };
        (service.name.clone(), service)
    };
    Configuration {
        version,
        routes: vec![
            route("/safe/", "plain", RetryPolicy::Allowed),
            route("/unsafe/", "plain", RetryPolicy::Never),
            route("/keyed/", "keyed", RetryPolicy::Allowed),
        ],
        services: [service("plain", false), service("keyed", true)]
            .into_iter()
            .collect(),
        limits: CallerLimits::default(),
    }
}

impl Platform for FakePlatform {
    async fn read(&self, table: Table) -> Result<Rows, StoreError> {
        self.delay().await;
        self.check()?;
        let mut rows = self.rows_after(table, 0);
        rows.rows.retain(|row| row.value.is_some());
        Ok(rows)
    }

    async fn changes(
        &self,
        table: Table,
        after: u64,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        self.delay().await;
        let responds_early = self
            .state
            .lock()
            .expect("no panic while locked")
            .responds_early;
        let polls = if responds_early {
            0
        } else {
            wait.as_millis() / 10
        };
        for _ in 0..polls {
            self.check()?;
            let version = self.rows_after(table, after).version;
            if after > version || era_of(after) != era_of(version) {
                return Ok(Changes::HistoryLost);
            }
            let rows = self.rows_after(table, after);
            if !rows.rows.is_empty() {
                return Ok(Changes::Rows(rows));
            }
            sleep(Duration::from_millis(10)).await;
        }
        self.check()?;
        Ok(Changes::Rows(self.rows_after(table, after)))
    }

    async fn write(&self, writes: Vec<RowWrite>) -> WriteOutcome {
        if self.check().is_err() {
            return WriteOutcome::Refused;
        }
        let mut state = self.state.lock().expect("no panic while locked");
        state.calls += 1;
        let era = state.era;
        let content = &mut state.content;
        let conditions_hold = writes.iter().all(|write| {
            let row = content
                .rows
                .get(&(write.table as u8, Arc::clone(&write.name)));
            let version = row.map_or(0, |(version, _)| *version);
            let is_met = |expected| match number_of(expected) {
                0 => version == 0 && era_of(expected) == era,
                _ => expected == store_version(era, version),
            };
            write.expected.is_none_or(is_met)
        });
        if !conditions_hold {
            return WriteOutcome::Conflict;
        }
        content.version += 1;
        let version = content.version;
        for write in writes {
            let value = write.value.expect("rows are never removed");
            let row = (version, Some(value));
            content.rows.insert((write.table as u8, write.name), row);
        }
        WriteOutcome::Committed(store_version(era, version))
    }

    async fn grant(&self, _: SocketAddr, _: GrantCommand) -> GrantOutcome {
        GrantOutcome::Granted
    }

    async fn release(&self, _: SocketAddr, _: KeyRange, _: u64) -> ReleaseOutcome {
        ReleaseOutcome::Released(None)
    }

    fn configuration(&self, row: &StoredRow) -> Option<Result<Configuration, String>> {
        if row.name.starts_with(EVACUATION) {
            return None;
        }
        let text = std::str::from_utf8(row.value.as_ref()?).ok()?;
        Some(
            text.parse()
                .map(configuration)
                .map_err(|_| "not a number".into()),
        )
    }

    fn evacuation(&self, row: &StoredRow) -> Option<EvacuationRow> {
        let zone = row.name.strip_prefix(EVACUATION)?;
        Some(EvacuationRow {
            zone: zone.into(),
            request: match &row.value {
                Some(_) => EvacuationRequest::Requested,
                None => EvacuationRequest::TakenBack,
            },
        })
    }

    fn endpoint(&self, row: &StoredRow) -> Result<EndpointEntry, String> {
        let value = row.value.as_ref().ok_or("removed")?;
        let text = std::str::from_utf8(value).map_err(|e| e.to_string())?;
        let [service, addr, started_at_ms, zone, warmup @ ..] =
            &*text.split(' ').collect::<Vec<_>>()
        else {
            return Err("not four fields".into());
        };
        let number = |at: usize| warmup.get(at).and_then(|text| text.parse().ok());
        Ok(EndpointEntry {
            instance: EndpointInstance {
                name: Arc::clone(&row.name),
                started_at_ms: started_at_ms.parse().map_err(|_| "bad start time")?,
            },
            service: (*service).into(),
            addr: addr.parse().map_err(|_| "bad address")?,
            zone: (*zone).into(),
            slots: 4,
            draining: false,
            remaining_warmup: Millis(number(0).unwrap_or(0)),
            sequence: number(1).unwrap_or(0),
        })
    }

    fn header_names(&self) -> &HeaderNames {
        &self.names
    }

    fn max_lease(&self) -> Millis {
        Millis(10_000)
    }
}
