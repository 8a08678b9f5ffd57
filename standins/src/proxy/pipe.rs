//! One connection through a link.

use super::{Flow, LinkFaults};
use bytes::Bytes;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    select,
    sync::{mpsc, watch},
    time::{Instant, sleep, sleep_until},
};

/// Bytes read at once.
const CHUNK_BYTES: usize = 64 * 1024;
/// Chunks that may be in flight in one direction.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;

/// Start of a grant's bytes.
const GRANT: &str = "POST /fireflygauge/grants";

type Faults = watch::Receiver<LinkFaults>;

/// Direction of bytes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToUpstream,
    ToClient,
}

/// Client bytes since the upstream last sent something, to be replayed.
type ReplayBuffer = Arc<Mutex<Vec<u8>>>;

/// Carries a connection until either side closes it or the link is cut.
pub(super) async fn connection(client: TcpStream, upstream: SocketAddr, faults: Faults) {
    if faults.borrow().flow == Flow::Cut {
        reset(&client);
        return;
    }
    let Ok(server) = TcpStream::connect(upstream).await else {
        reset(&client);
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    // Linger is set up front: dropping the halves early then resets both connections, while an
    // orderly end shuts them down first.
    reset(&client);
    reset(&server);
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let run = ReplayBuffer::default();
    let out = direction(
        Direction::ToUpstream,
        client_rx,
        server_tx,
        faults.clone(),
        upstream,
        &run,
    );
    let back = direction(
        Direction::ToClient,
        server_rx,
        client_tx,
        faults.clone(),
        upstream,
        &run,
    );
    select! {
        () = wait_for_cut(faults) => {}
        // Both ways end in order, or one of them fails.
        _ = async { tokio::try_join!(out, back) } => {}
    }
}

fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

async fn wait_for_cut(mut faults: Faults) {
    let cut = faults.wait_for(|f| f.flow == Flow::Cut).await.is_ok();
    if !cut {
        std::future::pending::<()>().await;
    }
}

/// The connection is to be reset.
struct ConnectionReset;

async fn direction(
    way: Direction,
    rx: OwnedReadHalf,
    tx: OwnedWriteHalf,
    faults: Faults,
    upstream: SocketAddr,
    run: &ReplayBuffer,
) -> Result<(), ConnectionReset> {
    let (chunks_tx, chunks_rx) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    let reading = read(rx, chunks_tx, faults.clone());
    let writing = write(way, tx, chunks_rx, faults, upstream, run);
    tokio::try_join!(reading, writing).map(|_| ())
}

/// Reads chunks and notes when each may be passed on.
async fn read(
    mut rx: OwnedReadHalf,
    chunks: mpsc::Sender<(Instant, Bytes)>,
    faults: Faults,
) -> Result<(), ConnectionReset> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let len = rx.read(&mut buf).await.map_err(|_| ConnectionReset)?;
        if len == 0 {
            return Ok(());
        }
        let delay = Duration::from_millis(faults.borrow().delay_ms);
        let chunk = Bytes::copy_from_slice(&buf[..len]);
        let sent = chunks.send((Instant::now() + delay, chunk)).await;
        sent.map_err(|_| ConnectionReset)?;
    }
}

/// Writes chunks when they are due and the flow permits.
async fn write(
    way: Direction,
    mut tx: OwnedWriteHalf,
    mut chunks: mpsc::Receiver<(Instant, Bytes)>,
    mut faults: Faults,
    upstream: SocketAddr,
    run: &ReplayBuffer,
) -> Result<(), ConnectionReset> {
    let mut passed = 0;
    while let Some((due, chunk)) = chunks.recv().await {
        sleep_until(due).await;
        let current = *faults
            .wait_for(|f| passes(way, f.flow))
            .await
            .map_err(|_| ConnectionReset)?;
        let allowed = allowance(way, &current, &mut passed, chunk.len());
        let part = chunk.slice(..allowed);
        record_for_replay(way, &part, &current, upstream, run);
        tx.write_all(&part).await.map_err(|_| ConnectionReset)?;
        if allowed < chunk.len() {
            return Err(ConnectionReset);
        }
    }
    // The end of the stream is withheld in the same way as bytes.
    let _ = faults.wait_for(|f| passes(way, f.flow)).await;
    tx.shutdown().await.map_err(|_| ConnectionReset)
}

fn passes(way: Direction, flow: Flow) -> bool {
    match flow {
        Flow::Pass => true,
        Flow::Cut | Flow::Stall => false,
        Flow::ToUpstream => way == Direction::ToUpstream,
        Flow::ToClient => way == Direction::ToClient,
    }
}

/// Bytes of a chunk that may be forwarded before the connection is to be reset. `passed` counts the
/// bytes forwarded while the fault is set.
fn allowance(way: Direction, faults: &LinkFaults, passed: &mut u64, len: usize) -> usize {
    let limit = match way {
        Direction::ToUpstream => faults.cut_after_sent,
        Direction::ToClient => faults.cut_after_received,
    };
    let Some(limit) = limit else {
        *passed = 0;
        return len;
    };
    let allowed = (len as u64).min(limit.saturating_sub(*passed));
    *passed += allowed;
    allowed as usize
}

/// Buffers client bytes. When the upstream answers, the buffered bytes are scheduled for replay.
fn record_for_replay(
    way: Direction,
    part: &[u8],
    faults: &LinkFaults,
    upstream: SocketAddr,
    run: &ReplayBuffer,
) {
    let mut run = run.lock().expect("no thread panics with the lock");
    let Some(after) = faults.replay_after_ms else {
        run.clear();
        return;
    };
    match way {
        Direction::ToUpstream => run.extend_from_slice(part),
        Direction::ToClient if run.is_empty() => {}
        Direction::ToClient => {
            let copy = std::mem::take(&mut *run);
            if faults.replay_all || copy.starts_with(GRANT.as_bytes()) {
                tokio::spawn(replay(copy, upstream, Duration::from_millis(after)));
            }
        }
    }
}

/// Time for the upstream to answer replayed bytes; the response is discarded.
const REPLAY_RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

async fn replay(bytes: Vec<u8>, upstream: SocketAddr, after: Duration) {
    sleep(after).await;
    let Ok(mut stream) = TcpStream::connect(upstream).await else {
        return;
    };
    if stream.write_all(&bytes).await.is_ok() {
        let mut sink = tokio::io::sink();
        let answer = tokio::io::copy(&mut stream, &mut sink);
        let _ = tokio::time::timeout(REPLAY_RESPONSE_TIMEOUT, answer).await;
    }
}
