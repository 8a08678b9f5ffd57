//! The peer thread: runs the peer server, the client and the synchronisation tasks.

use super::{
    background::{self, Shared},
    client::PeerError,
    member_query::{self, MemberStatus},
    message::{ForwardReply, ForwardRequest, HoldReply, HoldRequest, PeerReply, PeerRequest},
    server::{self, BoxFuture, Handler},
};
use crate::{
    clock::Clock,
    entry::directory::Directory,
    store::StoreClient,
    target_api::{GrantReply, GrantRequest},
    world::{GroupId, Link, VmName},
};
use std::{
    fmt, io,
    net::TcpListener,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};
use tokio::{
    runtime::Builder,
    sync::{mpsc, oneshot, watch},
};

/// Commands that may wait for the peer thread; further ones fail with [`PeerError::NotSent`].
const QUEUE_CAPACITY: usize = 1024;
/// Time for open streams to finish when the thread stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// What the peer thread needs from the rest of the daemon. Closures must not block.
#[derive(Clone)]
pub struct PeerContext {
    /// This daemon.
    pub link: Link,
    /// The daemon's clock.
    pub clock: Clock,
    /// Receives the updates of peers, and holds what is sent to them.
    pub directory: Directory,
    /// The platform's store.
    pub store: StoreClient,
    /// Returns the groups that this daemon currently controls.
    pub controls: Arc<dyn Fn() -> Vec<GroupId> + Send + Sync>,
    /// Returns whether this daemon serves callers.
    pub ready: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Returns whether this daemon is stopping.
    pub stopping: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Answers hold requests of controllers.
    pub answer_hold: Handler<HoldRequest, HoldReply>,
    /// Handles grants for targets whose front daemon is this one.
    pub handle_grant: Handler<(VmName, GrantRequest), GrantReply>,
    /// Forwards callers' requests to targets whose front daemon is this one.
    pub forward: Handler<ForwardRequest, ForwardReply>,
}

impl fmt::Debug for PeerContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerContext")
            .field("link", &self.link)
            .finish_non_exhaustive()
    }
}

/// Callback for the result of a request. It runs on the peer thread, or on the calling thread if
/// the request cannot be queued, and must not block.
pub type OnReply = Box<dyn FnOnce(Result<PeerReply, PeerError>) + Send>;

enum Command {
    Send(Box<OutgoingRequest>),
    ListMembers(oneshot::Sender<Vec<MemberStatus>>),
}

struct OutgoingRequest {
    to: Link,
    request: PeerRequest,
    limit: Duration,
    reply: ReplyGuard,
}

/// Calls the callback exactly once: with an error on drop if there was no result until then.
struct ReplyGuard(Option<OnReply>);

impl ReplyGuard {
    fn complete(&mut self, result: Result<PeerReply, PeerError>) {
        if let Some(on_reply) = self.0.take() {
            on_reply(result);
        }
    }
}

impl Drop for ReplyGuard {
    fn drop(&mut self) {
        self.complete(Err(PeerError::Incomplete("this daemon is stopping".into())));
    }
}

/// Handle to the peer thread, usable from any thread or runtime.
#[derive(Clone)]
pub struct PeerHandle {
    tx: mpsc::Sender<Command>,
}

impl fmt::Debug for PeerHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerHandle").finish_non_exhaustive()
    }
}

impl PeerHandle {
    /// Sends `request` and passes the result to `on_reply`, which is called exactly once. Does not
    /// block.
    pub fn post(&self, to: Link, request: PeerRequest, limit: Duration, on_reply: OnReply) {
        let outgoing = OutgoingRequest {
            to,
            request,
            limit,
            reply: ReplyGuard(Some(on_reply)),
        };
        if let Err(e) = self.tx.try_send(Command::Send(Box::new(outgoing)))
            && let Command::Send(mut outgoing) = e.into_inner()
        {
            let busy = PeerError::NotSent(
                "the queue of the peer thread is full, or the thread has stopped".into(),
            );
            outgoing.reply.complete(Err(busy));
        }
    }

    /// Sends `request` and waits for the reply.
    ///
    /// # Errors
    /// [`PeerError`] if there is no reply within `limit` or the peer rejected the request.
    pub async fn send(
        &self,
        to: Link,
        request: PeerRequest,
        limit: Duration,
    ) -> Result<PeerReply, PeerError> {
        let (tx, rx) = oneshot::channel();
        let on_reply = Box::new(|result| {
            let _ = tx.send(result);
        });
        self.post(to, request, limit, on_reply);
        rx.await
            .unwrap_or_else(|_| Err(PeerError::Incomplete("this daemon is stopping".into())))
    }

    /// Queries the zones' delegates for all members; `None` if the queue of the peer thread is full
    /// or the thread is stopping.
    pub async fn members(&self) -> Option<Vec<MemberStatus>> {
        let (tx, rx) = oneshot::channel();
        self.tx.try_send(Command::ListMembers(tx)).ok()?;
        rx.await.ok()
    }
}

/// Owner of the peer thread.
#[derive(Debug)]
pub struct PeerService {
    handle: PeerHandle,
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl PeerService {
    /// Starts the thread, which serves the bound `listener`.
    ///
    /// # Errors
    /// If the listener or the runtime cannot be set up.
    pub fn start(listener: TcpListener, context: PeerContext) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        let (stop, stopped) = watch::channel(false);
        let thread = thread::Builder::new()
            .name("peer".into())
            .spawn(move || runtime.block_on(run(listener, context, rx, stopped)))?;
        Ok(Self {
            handle: PeerHandle { tx },
            stop,
            thread,
        })
    }

    /// A handle for sending requests; it stays valid after the thread has stopped, when every
    /// request fails.
    pub fn handle(&self) -> PeerHandle {
        self.handle.clone()
    }

    /// Stops the thread and waits for it. Open streams get up to 5 s to finish.
    pub fn stop(self) {
        self.stop.send_replace(true);
        if self.thread.join().is_err() {
            log::error!(target: "peer", "The peer thread panicked.");
        }
    }
}

async fn run(
    listener: TcpListener,
    context: PeerContext,
    mut rx: mpsc::Receiver<Command>,
    mut stop: watch::Receiver<bool>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => {
            log::error!(target: "peer", error:% = e; "Peer listener cannot be used; the peer thread ends.");
            return;
        }
    };
    let shared = Arc::new(Shared::new(context));
    let handler = handler(Arc::clone(&shared));
    let tasks = tokio::spawn(background::run(Arc::clone(&shared)));
    let server = tokio::spawn(server::serve(listener, handler, stop.clone()));
    loop {
        tokio::select! {
            () = server::stopped(&mut stop) => break,
            Some(command) = rx.recv() => {
                tokio::spawn(execute(Arc::clone(&shared), command));
            }
        }
    }
    tasks.abort();
    if tokio::time::timeout(STOP_TIMEOUT, server).await.is_err() {
        log::warn!(target: "peer", "Open streams did not finish in time and are aborted.");
    }
}

async fn execute(shared: Arc<Shared>, command: Command) {
    match command {
        Command::Send(mut outgoing) => {
            let result = shared
                .client
                .send(outgoing.to.peer_addr, &outgoing.request, outgoing.limit)
                .await;
            outgoing.reply.complete(result);
        }
        Command::ListMembers(reply) => {
            // The caller may have dropped the receiver.
            let _ = reply.send(member_query::run(&shared).await);
        }
    }
}

fn handler(shared: Arc<Shared>) -> Handler<PeerRequest, PeerReply> {
    Arc::new(move |request| -> BoxFuture<PeerReply> {
        let context = &shared.context;
        match request {
            PeerRequest::Hold(hold) => {
                let reply = (context.answer_hold)(hold);
                Box::pin(async move { PeerReply::Hold(reply.await) })
            }
            PeerRequest::Grant { target, grant } => {
                let reply = (context.handle_grant)((target, grant));
                Box::pin(async move { PeerReply::Grant(reply.await) })
            }
            PeerRequest::Forward(forward) => {
                let reply = (context.forward)(forward);
                Box::pin(async move { PeerReply::Forward(reply.await) })
            }
            PeerRequest::Report(_) | PeerRequest::Permits(..) => {
                Box::pin(async { PeerReply::Error("this daemon does not manage ranges".into()) })
            }
            PeerRequest::Sync(sync) => {
                let shared = Arc::clone(&shared);
                Box::pin(async move { PeerReply::Sync(shared.handle_sync(sync).await) })
            }
        }
    })
}
