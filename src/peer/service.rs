//! The thread that runs the peer server and the loops that keep daemons in step.

use super::{
    client::PeerError,
    loops::{self, Shared},
    member_query::{self, MemberStatus},
    message::{ForwardReply, ForwardRequest, HoldReply, HoldRequest, PeerReply, PeerRequest},
    server::{self, Handler, Pending},
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

/// Requests that may wait for the thread; further ones are refused as not sent.
const RING_LENGTH: usize = 1024;
/// Time to finish open streams at a stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// What the peer thread needs from the rest of the daemon. Closures must not block.
#[derive(Clone)]
pub struct PeerContext {
    /// This daemon.
    pub link: Link,
    /// The daemon's clock.
    pub clock: Clock,
    /// Receives what peers tell, and is the source of what they are told.
    pub directory: Directory,
    /// The platform's store.
    pub store: StoreClient,
    /// The groups that this daemon controls now.
    pub controls: Arc<dyn Fn() -> Vec<GroupId> + Send + Sync>,
    /// Whether this daemon serves callers.
    pub ready: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Whether this daemon is stopping.
    pub stopping: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Answers hold announcements.
    pub answer_hold: Handler<HoldRequest, HoldReply>,
    /// Takes grants for targets that this daemon is the front of.
    pub take_grant: Handler<(VmName, GrantRequest), GrantReply>,
    /// Runs callers' requests for targets that this daemon is the front of.
    pub forward: Handler<ForwardRequest, ForwardReply>,
}

impl fmt::Debug for PeerContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerContext")
            .field("link", &self.link)
            .finish_non_exhaustive()
    }
}

/// Receives the reply to a request; it runs on the peer thread and must not block.
pub type OnReply = Box<dyn FnOnce(Result<PeerReply, PeerError>) + Send>;

enum Command {
    Send(Box<Outgoing>),
    RollCall(oneshot::Sender<Vec<MemberStatus>>),
}

struct Outgoing {
    to: Link,
    request: PeerRequest,
    limit: Duration,
    reply: ReplySlot,
}

/// Passes on the result of a request exactly once, also if the thread ends before there is one.
struct ReplySlot(Option<OnReply>);

impl ReplySlot {
    fn fill(&mut self, result: Result<PeerReply, PeerError>) {
        if let Some(on_reply) = self.0.take() {
            on_reply(result);
        }
    }
}

impl Drop for ReplySlot {
    fn drop(&mut self) {
        self.fill(Err(PeerError::Incomplete("this daemon is stopping".into())));
    }
}

/// Sends requests through the peer thread, from any thread or runtime.
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
    /// Sends `request` and passes the result to `on_reply`, which runs exactly once. Never waits.
    pub fn post(&self, to: Link, request: PeerRequest, limit: Duration, on_reply: OnReply) {
        let outgoing = Outgoing {
            to,
            request,
            limit,
            reply: ReplySlot(Some(on_reply)),
        };
        if let Err(e) = self.tx.try_send(Command::Send(Box::new(outgoing)))
            && let Command::Send(mut outgoing) = e.into_inner()
        {
            let busy = PeerError::NotSent("the peer links are busy or stopped".into());
            outgoing.reply.fill(Err(busy));
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

    /// Asks the zones' delegates for all members; `None` if this daemon is busy or stopping.
    pub async fn members(&self) -> Option<Vec<MemberStatus>> {
        let (tx, rx) = oneshot::channel();
        self.tx.try_send(Command::RollCall(tx)).ok()?;
        rx.await.ok()
    }
}

/// The running peer thread.
#[derive(Debug)]
pub struct PeerService {
    handle: PeerHandle,
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl PeerService {
    /// Starts the thread on a bound listener.
    ///
    /// # Errors
    /// If the listener or the runtime cannot be set up.
    pub fn start(listener: TcpListener, context: PeerContext) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (tx, rx) = mpsc::channel(RING_LENGTH);
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

    /// The handle for sending requests.
    pub fn handle(&self) -> PeerHandle {
        self.handle.clone()
    }

    /// Finishes open streams, then ends the thread.
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
            log::error!(target: "peer", error:% = e; "Cannot use the listener.");
            return;
        }
    };
    let shared = Arc::new(Shared::new(context));
    let handler = handler(Arc::clone(&shared));
    let loops = tokio::spawn(loops::run(Arc::clone(&shared)));
    let server = tokio::spawn(server::serve(listener, handler, stop.clone()));
    loop {
        tokio::select! {
            () = server::stopped(&mut stop) => break,
            Some(command) = rx.recv() => {
                tokio::spawn(obey(Arc::clone(&shared), command));
            }
        }
    }
    loops.abort();
    if tokio::time::timeout(STOP_TIMEOUT, server).await.is_err() {
        log::warn!(target: "peer", "Open streams did not finish in time.");
    }
}

async fn obey(shared: Arc<Shared>, command: Command) {
    match command {
        Command::Send(mut outgoing) => {
            let result = shared
                .client
                .send(outgoing.to.peer_addr, &outgoing.request, outgoing.limit)
                .await;
            outgoing.reply.fill(result);
        }
        Command::RollCall(reply) => {
            // The asking side may have given up.
            let _ = reply.send(member_query::run(&shared).await);
        }
    }
}

fn handler(shared: Arc<Shared>) -> Handler<PeerRequest, PeerReply> {
    Arc::new(move |request| -> Pending<PeerReply> {
        let context = &shared.context;
        match request {
            PeerRequest::Hold(hold) => {
                let answer = (context.answer_hold)(hold);
                Box::pin(async move { PeerReply::Hold(answer.await) })
            }
            PeerRequest::Grant { target, grant } => {
                let answer = (context.take_grant)((target, grant));
                Box::pin(async move { PeerReply::Grant(answer.await) })
            }
            PeerRequest::Forward(forward) => {
                let answer = (context.forward)(forward);
                Box::pin(async move { PeerReply::Forward(answer.await) })
            }
            PeerRequest::Report(_) | PeerRequest::Probe(_) => {
                Box::pin(async { PeerReply::Error("this daemon keeps no ranges".into()) })
            }
            PeerRequest::Sync(sync) => {
                let shared = Arc::clone(&shared);
                Box::pin(async move { PeerReply::Sync(shared.answer(sync).await) })
            }
        }
    })
}
