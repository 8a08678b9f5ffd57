//! The socket of a connection as hyper sees it.

use super::{
    ahead::SentAhead,
    lock,
    pipeline::{HeldAhead, Pipeline},
};
use socket2::SockRef;
use std::{
    io::{self, Read},
    net::Shutdown,
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Most bytes that are read ahead in one call.
const READ_AHEAD_CHUNK_BYTES: usize = 2 * 1024;
/// Most unread bytes that are discarded before a connection is closed.
const MAX_DISCARDED_BYTES: usize = 128 * 1024;

/// What happens on the stream of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// This many bytes were read.
    Read(usize),
    /// Bytes were written.
    Written,
    /// The socket takes no more bytes.
    WriteBlocked,
    /// All bytes were written.
    Flushed,
    /// This is held for requests that were sent ahead.
    HoldsAhead(HeldAhead),
}

/// What has happened on a connection.
#[derive(Debug, Default)]
pub struct Progress {
    /// Whether hyper read bytes since the last write.
    pub unanswered: AtomicBool,
    /// Whether to try each read even if the runtime has not yet seen that the socket is readable.
    pub read_at_once: AtomicBool,
}

/// A stream that records its progress. `R` is the response of the connection's service.
pub struct CallerStream<O, R> {
    pub(super) stream: Arc<TcpStream>,
    pub(super) progress: Arc<Progress>,
    pub(super) pipeline: Arc<Mutex<Pipeline<R>>>,
    /// How requests that were sent ahead are run, if they are.
    pub(super) ahead: Option<Arc<SentAhead<R>>>,
    /// What was last reported as held for requests that were sent ahead.
    pub(super) reported: HeldAhead,
    /// Whether bytes were written since the last flush.
    pub(super) unflushed: bool,
    pub(super) observer: O,
}

impl<O: Fn(StreamEvent), R: Send + 'static> CallerStream<O, R> {
    /// Reads for hyper what was read ahead, or else from the socket.
    fn poll_read_for_hyper(
        &self,
        pipeline: &mut Pipeline<R>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut read = pipeline.take(buf.remaining(), |bytes| buf.put_slice(bytes));
        if read == 0 {
            let most = pipeline.most_for_hyper().unwrap_or(usize::MAX);
            let bytes = buf.initialize_unfilled_to(buf.remaining().min(most));
            let received = ready!(self.poll_read_socket(cx, bytes))?;
            read = pipeline.pass(&bytes[..received]);
            pipeline.push(&bytes[read..received]);
            buf.advance(read);
        }
        if read > 0 {
            self.progress.unanswered.store(true, Ordering::Relaxed);
            (self.observer)(StreamEvent::Read(read));
        }
        Poll::Ready(Ok(()))
    }

    /// Reads ahead and begins what may begin. Completes only at the end of the stream.
    fn poll_read_ahead(
        &self,
        pipeline: &mut Pipeline<R>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
        pipeline.wait(cx);
        let read = loop {
            let room = pipeline.room().min(chunk.len());
            if room == 0 {
                break Poll::Pending;
            }
            match self.poll_read_socket(cx, &mut chunk[..room])? {
                Poll::Ready(0) => break Poll::Ready(Ok(())),
                Poll::Ready(received) => pipeline.push(&chunk[..received]),
                Poll::Pending => break Poll::Pending,
            }
        };
        if let Some(ahead) = &self.ahead {
            pipeline.begin(ahead);
        }
        read
    }

    /// Reports what is held for requests that were sent ahead, if it has changed.
    fn report(&mut self, held: HeldAhead) {
        if held != self.reported {
            self.reported = held;
            (self.observer)(StreamEvent::HoldsAhead(held));
        }
    }

    fn poll_read_socket(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let read = self.poll_read_ready(cx, buf);
        if read.is_pending() && self.progress.read_at_once.load(Ordering::Relaxed) {
            return self.read_at_once(buf);
        }
        read
    }

    fn poll_read_ready(&self, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read),
            }
        }
    }

    /// Writes with `try_write` once the socket takes bytes.
    fn poll_write_ready(
        &mut self,
        cx: &mut Context<'_>,
        try_write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            let ready = self.stream.poll_write_ready(cx);
            if ready.is_pending() {
                (self.observer)(StreamEvent::WriteBlocked);
            }
            ready!(ready)?;
            match try_write(&self.stream) {
                Ok(written) => {
                    self.progress.unanswered.store(false, Ordering::Relaxed);
                    self.unflushed = true;
                    (self.observer)(StreamEvent::Written);
                    return Poll::Ready(Ok(written));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// Reads what is left in the socket. Closing a socket with unread bytes resets the connection, and
    /// the caller may lose responses that it has not received yet.
    fn discard_unread(&self) {
        let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
        let socket = SockRef::from(&*self.stream);
        for _ in 0..MAX_DISCARDED_BYTES / chunk.len() {
            if !matches!((&*socket).read(&mut chunk), Ok(1..)) {
                return;
            }
        }
    }

    /// Reads what is in the socket, without regard to what the runtime has seen of it.
    fn read_at_once(&self, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let socket = SockRef::from(&*self.stream);
        match (&*socket).read(buf) {
            // The runtime wakes the task, since the regular read before this one is pending.
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
            read => Poll::Ready(read),
        }
    }
}

impl<O: Fn(StreamEvent) + Unpin, R: Send + 'static> AsyncRead for CallerStream<O, R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let pipeline = Arc::clone(&self.pipeline);
        let mut pipeline = lock(&pipeline);
        let read = if pipeline.is_busy() {
            self.poll_read_ahead(&mut pipeline, cx)
        } else {
            self.poll_read_for_hyper(&mut pipeline, cx, buf)
        };
        self.report(pipeline.held());
        read
    }
}

impl<O: Fn(StreamEvent) + Unpin, R: Send + 'static> AsyncWrite for CallerStream<O, R> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_ready(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_ready(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.unflushed) {
            (self.observer)(StreamEvent::Flushed);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let shutdown = SockRef::from(&*self.stream).shutdown(Shutdown::Write);
        self.discard_unread();
        Poll::Ready(shutdown)
    }
}
