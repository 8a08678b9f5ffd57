//! The loops that keep a daemon in step with its peers and with the platform.

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
    entry::directory::News,
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

/// Longest time that a sync waits for news. A change is passed on at once all the same.
pub const LONG_POLL: Millis = Millis(250);
/// Time for a reply beyond the time that the peer may wait.
const REPLY_MARGIN: Duration = Duration::from_millis(400);
/// Period of the check of members and partners.
const TICK: Duration = Duration::from_millis(100);
/// Least time between two syncs with the same peer.
const MIN_GAP: Duration = Duration::from_millis(10);
/// Pause after a failed sync, and after one whose items were not accepted.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Time for the directory thread to take items.
const ACCEPT_TIME: Duration = Duration::from_millis(100);
/// Period of the delegates' reads of the VM list and the configuration head.
const PLATFORM_PERIOD: Duration = Duration::from_secs(1);
/// Period of attempts to reach listed daemons that are not live members.
const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// What the loops of one daemon share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) context: PeerContext,
    pub(super) client: PeerClient,
    state: Mutex<SyncState>,
    /// Rises when members change.
    members_changed: watch::Sender<u64>,
    /// Rises when the daemon's own state changes.
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

    /// Runs `f` on the state and the present time, with what the directory has published.
    pub(super) fn with_state<T>(&self, f: impl FnOnce(&mut SyncState, Millis) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.refresh(&self.context.directory.snapshot().load());
        let result = f(&mut state, self.context.clock.now());
        let revision = state.membership.revision();
        self.members_changed.send_if_modified(|known| {
            let changed = *known != revision;
            *known = revision;
            changed
        });
        result
    }

    fn tell(&self, news: Vec<News>) {
        for news in news {
            self.context.directory.tell(news);
        }
    }

    /// Answers a peer's sync: at once if there is news for it, else when its time is over.
    pub(super) async fn answer(&self, request: SyncRequest) -> SyncReply {
        let wait = Millis(request.wait_ms).min(LONG_POLL);
        let end = Instant::now() + Duration::from(wait);
        let mut changes = self.context.directory.changes();
        let mut members = self.members_changed.subscribe();
        self.tell(self.with_state(|state, now| state.take_request(&request, now)));
        loop {
            changes.mark_unchanged();
            members.mark_unchanged();
            let (reply, worthwhile) = self.with_state(|state, now| state.reply(&request, now));
            if worthwhile || Instant::now() >= end {
                return reply;
            }
            tokio::select! {
                _ = changes.changed() => {}
                _ = members.changed() => {}
                () = sleep_until(end) => {}
            }
        }
    }

    /// Sends a sync and takes the reply; returns whether nothing is left to be accepted.
    async fn sync(&self, addr: SocketAddr, request: SyncRequest) -> Result<bool, PeerError> {
        let offered = request.offers.len();
        let mut changes = self.context.directory.changes();
        let reply = exchange(self.client.clone(), addr, request).await?;
        let name = reply.sender.link.name.clone();
        changes.mark_unchanged();
        let news = self.with_state(|state, now| state.take_reply(reply, now));
        let taken = news.is_empty() || {
            self.tell(news);
            timeout(ACCEPT_TIME, changes.changed()).await.is_ok()
        };
        let behind = offered > 0 && self.with_state(|state, _| state.is_behind(&name));
        Ok(taken && !behind)
    }

    /// Waits until a request to `to` that is under way should be replaced by a new one.
    async fn urgent(&self, to: &VmName, changes: &mut watch::Receiver<u64>) {
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

    /// Syncs once with a daemon that is no partner.
    async fn sync_once(&self, addr: SocketAddr) -> Result<(), PeerError> {
        let request = self.with_state(|state, now| state.request_once(None, now));
        let reply = exchange(self.client.clone(), addr, request).await?;
        let (theirs, news) = self.with_state(|state, now| state.take_reply_once(reply, now));
        self.tell(news);
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

/// Sends a sync and reads the reply.
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
        _ => Err(PeerError::Rejected("the reply is of another kind".into())),
    }
}

/// Runs all loops; ends when dropped.
pub(super) async fn run(shared: Arc<Shared>) {
    tokio::join!(
        keep_partners(Arc::clone(&shared)),
        read_platform(&shared),
        probe_seeds(&shared)
    );
}

/// Keeps the list of members up to date and follows the partners that it names.
async fn keep_partners(shared: Arc<Shared>) {
    let mut tasks = JoinSet::new();
    let mut followed: Map<VmName, (Link, AbortHandle)> = Map::default();
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
            note_members(&shared, members);
        }
        followed.retain(|name, (link, task)| {
            let keep = partners.contains(link) && !task.is_finished();
            if !keep {
                task.abort();
                shared.with_state(|state, now| state.forget_partner(name, now));
            }
            keep
        });
        for link in partners {
            followed.entry(link.name.clone()).or_insert_with(|| {
                let task = tasks.spawn(follow(Arc::clone(&shared), link.clone()));
                (link, task)
            });
        }
        while tasks.try_join_next().is_some() {}
        sleep(TICK).await;
    }
}

fn note_members(shared: &Shared, members: Vec<MemberReport>) {
    let live: Vec<SocketAddr> = members.iter().map(|m| m.link.peer_addr).collect();
    shared.client.retain(|addr| live.contains(addr));
    shared.context.directory.tell(News::Members(members));
}

/// Syncs with one partner without end.
async fn follow(shared: Arc<Shared>, link: Link) {
    let mut failing = false;
    loop {
        let earliest_next = Instant::now() + MIN_GAP;
        let mut changes = shared.context.directory.changes();
        let request = shared.with_state(|state, now| state.request(&link.name, LONG_POLL, now));
        let result = tokio::select! {
            result = shared.sync(link.peer_addr, request) => Some(result),
            () = shared.urgent(&link.name, &mut changes) => None,
        };
        match result {
            Some(Err(e)) => {
                if !failing {
                    log::warn!(
                        target: "peer", name:% = link.name, error:% = e;
                        "Sync failed; asking others."
                    );
                }
                failing = true;
                repair(&shared, &link.name).await;
                sleep(jittered(RETRY_PAUSE)).await;
            }
            Some(Ok(settled)) => {
                if std::mem::take(&mut failing) {
                    log::info!(target: "peer", name:% = link.name; "Sync works again.");
                }
                if !settled {
                    sleep(RETRY_PAUSE).await;
                }
            }
            None => {}
        }
        sleep_until(earliest_next).await;
    }
}

/// Asks a random live member in place of the partner that failed.
async fn repair(shared: &Shared, failed: &VmName) {
    let other =
        shared.with_state(|state, _| state.membership.random_live(failed, &mut rand::rng()));
    if let Some(other) = other
        && let Err(e) = shared.sync_once(other.peer_addr).await
    {
        log::debug!(target: "peer", name:% = other.name, error:% = e; "Repair failed.");
    }
}

/// Tries listed daemons that are not live members: to join, and to heal a partition.
async fn probe_seeds(shared: &Shared) {
    loop {
        let seed = shared.with_state(|state, _| {
            let searching = state.membership.is_alone() || state.membership.is_delegate();
            searching
                .then(|| state.membership.random_seed(&mut rand::rng()))
                .flatten()
        });
        let pause = match seed {
            Some(seed) => {
                let found = shared.sync_once(seed.peer_addr).await.is_ok();
                if found { TICK } else { PROBE_PERIOD }
            }
            None => TICK,
        };
        sleep(jittered(pause)).await;
    }
}

/// Reads the VM list at start, and then as delegate or while no other daemon is live.
async fn read_platform(shared: &Shared) {
    let mut first = true;
    let mut failing = false;
    loop {
        let searching = shared
            .with_state(|state, _| state.membership.is_alone() || state.membership.is_delegate());
        if first || searching {
            let read = read_vms(shared).await;
            note_platform(read, &mut failing);
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
    let news = shared.with_state(|state, _| state.learn_vms(vms, read_at));
    shared.tell(news.into_iter().collect());
    Ok(())
}

fn note_platform(read: Result<(), StoreError>, failing: &mut bool) {
    match &read {
        Ok(()) if *failing => log::info!(target: "peer", "The VM list can be read again."),
        Err(e) if !*failing => {
            log::warn!(target: "peer", error:% = e; "The VM list cannot be read.");
        }
        _ => {}
    }
    *failing = read.is_err();
}

/// Repairs the configuration from the store, in case a change was not passed on.
async fn read_config(shared: &Shared) {
    let snapshot = shared.context.directory.snapshot().load_full();
    let in_force = snapshot.config.as_ref().map(|config| &config.snapshot);
    match reader::read_newer(&shared.context.store, in_force).await {
        Ok(Some(config)) => shared.context.directory.tell(News::Config(config)),
        Ok(None) => {}
        Err(e) => log::debug!(target: "config", error:% = e; "The head cannot be read."),
    }
}

/// `time` with a random part of up to a fifth, so that daemons do not act in step.
fn jittered(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.9..1.1))
}
