//! Stream to an endpoint whose loss the system detects by missing acknowledgements.
//!
//! The TCP user time-out also ends a connection whose peer acknowledges every probe and only reads
//! nothing. It is long while more was written than an endpoint takes in without reading, so that a slow
//! reader is not given up; whether the peer is still there is found out otherwise meanwhile.

use super::enable_loss_detection;
use crate::http_client::TCP_USER_TIMEOUT;
use socket2::SockRef;
use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that an endpoint takes in without reading.
pub const MIN_RECEIVE_WINDOW: usize = 16 * 1024;
/// User time-out while the peer may have a closed receive window. Requests have shorter time limits.
const PATIENT_USER_TIMEOUT: Duration = Duration::from_secs(120);

/// A stream to an endpoint.
#[derive(Debug)]
pub struct EndpointStream {
    inner: TcpStream,
    /// Bytes written since the peer last sent something.
    written: usize,
    is_patient: bool,
}

impl EndpointStream {
    /// Takes over a connected stream.
    ///
    /// # Errors
    /// The system's error if the loss detection cannot be enabled.
    pub fn new(inner: TcpStream) -> io::Result<Self> {
        enable_loss_detection(&inner)?;
        Ok(Self {
            inner,
            written: 0,
            is_patient: false,
        })
    }

    /// Discards what was written and not acknowledged when the stream is dropped.
    ///
    /// # Errors
    /// The system's error if the option cannot be set.
    pub fn reset_on_close(&self) -> io::Result<()> {
        SockRef::from(&self.inner).set_linger(Some(Duration::ZERO))
    }

    fn record_written(&mut self, bytes: usize) -> io::Result<()> {
        self.written = self.written.saturating_add(bytes);
        self.set_patient(self.written > MIN_RECEIVE_WINDOW)
    }

    fn record_read(&mut self) -> io::Result<()> {
        self.written = 0;
        self.set_patient(false)
    }

    fn set_patient(&mut self, is_patient: bool) -> io::Result<()> {
        if std::mem::replace(&mut self.is_patient, is_patient) == is_patient {
            return Ok(());
        }
        let timeout = if is_patient {
            PATIENT_USER_TIMEOUT
        } else {
            TCP_USER_TIMEOUT
        };
        SockRef::from(&self.inner).set_tcp_user_timeout(Some(timeout))
    }
}

impl Drop for EndpointStream {
    fn drop(&mut self) {
        // The system keeps what was written until it is acknowledged or the time-out has passed.
        let _ = self.set_patient(false);
    }
}

impl AsyncRead for EndpointStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            self.record_read()?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.record_written(written)?;
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write_vectored(cx, bufs))?;
        self.record_written(written)?;
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
