//! Background tasks that synchronise a daemon with its peers and with the platform.

use super::{
    client::{PeerClient, PeerError},
    message::{MemberReport, PeerReply, PeerRequest, SyncReply, SyncRequest},
    service::PeerContext,
    sync::{OwnState, SyncState},
};
use crate::{
    clock::Millis,
    collections::Map,
    config::reader,
    entry::directory::DirectoryUpdate,
    store::StoreError,
    world::{Link, VmName},
};
use rand::Rng;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    sync::watch,
    task::{AbortHandle, JoinSet},
    time::{Instant, sleep, sleep_until, timeout},
};

/// Longest time that a peer holds a sync request open while nothing has changed. Changes are sent
/// without waiting for it.
pub const LONG_POLL: Millis = Millis(250);
/// Time allowed for a reply in addition to the time that the peer may hold the request.
const REPLY_MARGIN: Duration = Duration::from_millis(400);
/// Period of the updates of member states and of the list of partners.
const MEMBERSHIP_PERIOD: Duration = Duration::from_millis(100);
/// Shortest time from the start of one sync with a peer to the next.
const MIN_SYNC_INTERVAL: Duration = Duration::from_millis(10);
/// Pause after a failed sync, and after one whose items were not applied.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Time for the directory thread to publish received items.
const APPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Period of the delegates' reads of the VM list and the configuration head.
const PLATFORM_PERIOD: Duration = Duration::from_secs(1);
/// Period of attempts to reach listed daemons that are not live members.
const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// State shared by the background tasks and the request handler of one daemon.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) context: PeerContext,
    pub(super) client: PeerClient,
    state: Mutex<SyncState>,
    /// Revision of the member list.
    members_changed: watch::Sender<u64>,
    /// Incremented when the daemon's own state changes.
    own_changed: watch::Sender<u64>,
}

impl Shared {
    pub(super) fn new(context: PeerContext) -> Self {
        Self {
            state: Mutex::new(SyncState::new(context.link.clone())),
            context,
            client: PeerClient::default(),
            members_changed: watch::Sender::new(0),
            own_changed: watch::Sender::new(0),
        }
    }

    /// Calls `f` with the state, updated to the directory's latest snapshot, and the current time.
    /// Signals `members_changed` if the revision of the member list has changed.
    pub(super) fn with_state<T>(&self, f: impl FnOnce(&mut SyncState, Millis) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.refresh(&self.context.directory.snapshot().load());
        let result = f(&mut state, self.context.clock.now());
        let revision = state.membership.revision();
        self.members_changed.send_if_modified(|last| {
            let changed = *last != revision;
            *last = revision;
            changed
        });
        result
    }

    fn submit(&self, updates: Vec<DirectoryUpdate>) {
        for update in updates {
            self.context.directory.submit(update);
        }
    }

    /// Replies to a sync request of a peer (long poll): as soon as there is something to send, and at
    /// the latest when the peer's waiting time has passed.
    pub(super) async fn handle_sync(&self, request: SyncRequest) -> SyncReply {
        let wait = Millis(request.wait_ms).min(LONG_POLL);
        let end = Instant::now() + Duration::from(wait);
        let mut changes = self.context.directory.changes();
        let mut members = self.members_changed.subscribe();
        self.submit(self.with_state(|state, now| state.handle_request(&request, now)));
        loop {
            changes.mark_unchanged();
            members.mark_unchanged();
            let (reply, has_changes) = self.with_state(|state, now| state.reply(&request, now));
            if has_changes || Instant::now() >= end {
                return reply;
            }
            tokio::select! {
                _ = changes.changed() => {}
                _ = members.changed() => {}
                () = sleep_until(end) => {}
            }
        }
    }

    /// Performs one sync with a partner. Returns false if this daemon has not applied the reply's
    /// items in time, or if the peer still lacks items after an offer.
    async fn sync(&self, addr: SocketAddr, request: SyncRequest) -> Result<bool, PeerError> {
        let offered = request.offers.len();
        let mut changes = self.context.directory.changes();
        let reply = exchange(self.client.clone(), addr, request).await?;
        let name = reply.sender.link.name.clone();
        changes.mark_unchanged();
        let updates = self.with_state(|state, now| state.handle_reply(reply, now));
        let applied = updates.is_empty() || {
            self.submit(updates);
            timeout(APPLY_TIMEOUT, changes.changed()).await.is_ok()
        };
        let behind = offered > 0 && self.with_state(|state, _| state.is_behind(&name));
        Ok(applied && !behind)
    }

    /// Waits until the pending request to `to` should be replaced by a new one, because the own
    /// state has changed or there are items to offer.
    async fn wait_for_urgent_change(&self, to: &VmName, changes: &mut watch::Receiver<u64>) {
        let mut own = self.own_changed.subscribe();
        loop {
            tokio::select! {
                _ = own.changed() => return,
                _ = changes.changed() => {
                    if self.with_state(|state, now| state.has_urgent_offers(to, now)) {
                        return;
                    }
                }
            }
        }
    }

    /// Syncs once with a daemon that is not a partner, in both directions.
    async fn sync_once(&self, addr: SocketAddr) -> Result<(), PeerError> {
        let request = self.with_state(|state, now| state.request_once(None, now));
        let reply = exchange(self.client.clone(), addr, request).await?;
        let (theirs, updates) = self.with_state(|state, now| state.handle_reply_once(reply, now));
        self.submit(updates);
        let request = self.with_state(|state, now| state.request_once(Some(&theirs), now));
        if !request.offers.is_empty() {
            exchange(self.client.clone(), addr, request).await?;
        }
        Ok(())
    }

    fn own_state(&self) -> OwnState {
        OwnState {
            ready: (self.context.ready)(),
            stopping: (self.context.stopping)(),
            controls: (self.context.controls)(),
        }
    }
}

/// Sends a sync request and waits for the reply.
pub(super) async fn exchange(
    client: PeerClient,
    addr: SocketAddr,
    request: SyncRequest,
) -> Result<SyncReply, PeerError> {
    let limit = REPLY_MARGIN + Duration::from_millis(request.wait_ms);
    match client
        .send(addr, &PeerRequest::Sync(request), limit)
        .await?
    {
        PeerReply::Sync(reply) => Ok(reply),
        _ => Err(PeerError::Rejected("the reply is not a sync reply".into())),
    }
}

/// Runs all background tasks. Never returns; dropping the future stops them.
pub(super) async fn run(shared: Arc<Shared>) {
    tokio::join!(
        maintain_partners(Arc::clone(&shared)),
        read_platform(&shared),
        probe_seeds(&shared)
    );
}

/// Updates the member states and runs one sync task for each partner.
async fn maintain_partners(shared: Arc<Shared>) {
    let mut tasks = JoinSet::new();
    let mut running: Map<VmName, (Link, AbortHandle)> = Map::default();
    loop {
        let own_state = shared.own_state();
        let (changed, members, partners) = shared.with_state(|state, now| {
            let changed = state.set_own_state(own_state);
            state.membership.tick(now);
            let members = state.membership.take_changed();
            (changed, members, state.membership.partners())
        });
        if changed {
            shared.own_changed.send_modify(|count| *count += 1);
        }
        if let Some(members) = members {
            publish_members(&shared, members);
        }
        running.retain(|name, (link, task)| {
            let keep = partners.contains(link) && !task.is_finished();
            if !keep {
                task.abort();
                shared.with_state(|state, now| state.remove_partner(name, now));
            }
            keep
        });
        for link in partners {
            running.entry(link.name.clone()).or_insert_with(|| {
                let task = tasks.spawn(sync_loop(Arc::clone(&shared), link.clone()));
                (link, task)
            });
        }
        while tasks.try_join_next().is_some() {}
        sleep(MEMBERSHIP_PERIOD).await;
    }
}

fn publish_members(shared: &Shared, members: Vec<MemberReport>) {
    let live: Vec<SocketAddr> = members.iter().map(|m| m.link.peer_addr).collect();
    shared.client.retain(|addr| live.contains(addr));
    shared
        .context
        .directory
        .submit(DirectoryUpdate::Members(members));
}

/// Syncs with one partner in an endless loop.
async fn sync_loop(shared: Arc<Shared>, link: Link) {
    let mut failing = false;
    loop {
        let earliest_next = Instant::now() + MIN_SYNC_INTERVAL;
        let mut changes = shared.context.directory.changes();
        let request = shared.with_state(|state, now| state.request(&link.name, LONG_POLL, now));
        let result = tokio::select! {
            result = shared.sync(link.peer_addr, request) => Some(result),
            () = shared.wait_for_urgent_change(&link.name, &mut changes) => None,
        };
        match result {
            Some(Err(e)) => {
                if !failing {
                    log::warn!(
                        target: "peer", name:% = link.name, error:% = e;
                        "Sync failed; trying another member."
                    );
                }
                failing = true;
                sync_with_random_member(&shared, &link.name).await;
                sleep(jittered(RETRY_PAUSE)).await;
            }
            Some(Ok(complete)) => {
                if std::mem::take(&mut failing) {
                    log::info!(target: "peer", name:% = link.name; "Sync succeeded again.");
                }
                if !complete {
                    sleep(RETRY_PAUSE).await;
                }
            }
            None => {}
        }
        sleep_until(earliest_next).await;
    }
}

/// Syncs once with a random live member in place of the partner that failed.
async fn sync_with_random_member(shared: &Shared, failed: &VmName) {
    let other =
        shared.with_state(|state, _| state.membership.random_live(failed, &mut rand::rng()));
    if let Some(other) = other
        && let Err(e) = shared.sync_once(other.peer_addr).await
    {
        log::debug!(target: "peer", name:% = other.name, error:% = e; "Sync with a random member failed.");
    }
}

/// Contacts listed daemons that are not live members: to join at start, and to rejoin after a
/// network partition.
async fn probe_seeds(shared: &Shared) {
    loop {
        let seed = shared.with_state(|state, _| {
            let searching = state.membership.is_alone() || state.membership.is_delegate();
            searching
                .then(|| state.membership.random_seed_node(&mut rand::rng()))
                .flatten()
        });
        let pause = match seed {
            Some(seed) => {
                let found = shared.sync_once(seed.peer_addr).await.is_ok();
                if found {
                    MEMBERSHIP_PERIOD
                } else {
                    PROBE_PERIOD
                }
            }
            None => MEMBERSHIP_PERIOD,
        };
        sleep(jittered(pause)).await;
    }
}

/// Reads the VM list at start, and then periodically while this daemon is a delegate or sees no
/// other live daemon.
async fn read_platform(shared: &Shared) {
    let mut first = true;
    let mut failing = false;
    loop {
        let searching = shared
            .with_state(|state, _| state.membership.is_alone() || state.membership.is_delegate());
        if first || searching {
            let read = read_vms(shared).await;
            log_platform_read(read, &mut failing);
            first = false;
        }
        if searching {
            read_config(shared).await;
        }
        sleep(jittered(PLATFORM_PERIOD)).await;
    }
}

async fn read_vms(shared: &Shared) -> Result<(), StoreError> {
    let read_at = shared.context.clock.now();
    let vms = shared.context.store.read_vms().await?;
    let updates = shared.with_state(|state, _| state.update_vms(vms, read_at));
    shared.submit(updates.into_iter().collect());
    Ok(())
}

fn log_platform_read(read: Result<(), StoreError>, failing: &mut bool) {
    match &read {
        Ok(()) if *failing => log::info!(target: "peer", "Reading the VM list succeeded again."),
        Err(e) if !*failing => {
            log::warn!(target: "peer", error:% = e; "Reading the VM list failed.");
        }
        _ => {}
    }
    *failing = read.is_err();
}

/// Reads the configuration from the store, in case no peer has sent its latest change.
async fn read_config(shared: &Shared) {
    let snapshot = shared.context.directory.snapshot().load_full();
    let in_force = snapshot.config.as_ref().map(|config| &config.snapshot);
    match reader::read_newer(&shared.context.store, in_force).await {
        Ok(Some(config)) => shared
            .context
            .directory
            .submit(DirectoryUpdate::Config(config)),
        Ok(None) => {}
        Err(e) => {
            log::debug!(target: "config", error:% = e; "Reading the configuration head failed.")
        }
    }
}

/// `time` with random jitter of ±10 %, so that daemons do not act at the same moment.
fn jittered(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.9..1.1))
}
