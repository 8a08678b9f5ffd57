//! HTTP server of the status address, with limits like those of the caller address.

use super::Status;
use crate::entry::caller_connection;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioTimer;
use std::{convert::Infallible, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::yield_now,
    time::sleep,
};

/// Time limit for a request head, which includes the idle time before it.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of a connection's buffers, in bytes, which bounds a request head.
const MAX_BUFFER_BYTES: usize = 8 * 1024;
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves `listener` until it is dropped.
pub async fn serve(status: Status, listener: TcpListener) {
    let closing = watch::Sender::new(false);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn(&status, stream, closing.subscribe());
                // Connections that were closed for this one end before the next is accepted.
                yield_now().await;
            }
            Err(e) => {
                log::warn!(target: "entry", error:% = e; "Status connection could not be accepted.");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn spawn(status: &Status, stream: TcpStream, closing: watch::Receiver<bool>) {
    let Some(mut connection) = status.connections.admit() else {
        return;
    };
    let (status, handle) = (status.clone(), connection.handle.clone());
    let service = service_fn(move |req| {
        let (status, handle) = (status.clone(), handle.clone());
        async move {
            handle.output_taken().await;
            let response = status.respond(&req);
            handle.respond();
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES);
    tokio::spawn(async move {
        let handle = connection.handle.clone();
        let observer = move |event| handle.observe(event);
        let stream = Arc::new(stream);
        let socket = Arc::clone(&stream);
        let served =
            caller_connection::serve_observed(socket, service, &builder, closing, observer);
        tokio::select! {
            ended = served => if let Err(e) = ended {
                log::debug!(target: "entry", error:% = e; "Status connection ended with an error.");
            },
            () = connection.closed() => caller_connection::reset_on_close(&stream),
        }
    });
}
