//! Small HTTP server that the stand-ins share.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Serialize, de::DeserializeOwned};
use std::{future::Future, io, net::SocketAddr, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

/// Makes the server close the connection without a response.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the response is withheld")]
pub struct Withheld;

/// Result of a handler.
pub type Reply = Result<Response<Full<Bytes>>, Withheld>;

/// Binds `addr`; port 0 chooses a free port.
///
/// # Errors
/// The system's error if the address cannot be bound.
pub async fn bind(addr: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(addr).await?;
    let bound = listener.local_addr()?;
    Ok((listener, bound))
}

/// Serves connections until the future is dropped, which drops the connections as well.
///
/// A connection beyond `max_connections` is closed at once. Dropping a connection drops the
/// handler's future, so handlers see a cancelled request as their own drop.
pub async fn serve<F, Fut>(listener: TcpListener, max_connections: usize, handler: F)
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Reply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors, most likely; accepting at once would spin.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        if connections.len() < max_connections {
            connections.spawn(connection(stream, handler.clone()));
        }
    }
}

async fn connection<F, Fut>(stream: TcpStream, handler: F)
where
    F: Fn(Request<Incoming>) -> Fut,
    Fut: Future<Output = Reply>,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(handler);
    // An error means that the peer left or the handler withheld its response.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Reads a whole body; an incomplete one withholds the response.
///
/// # Errors
/// [`Withheld`] if the peer left before the body was complete.
pub async fn read_body(body: Incoming) -> Result<Bytes, Withheld> {
    Ok(body.collect().await.map_err(|_| Withheld)?.to_bytes())
}

/// A response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_vec(value).expect("the value is valid JSON");
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        "content-type",
        http::HeaderValue::from_static("application/json"),
    );
    Ok(response)
}

/// A response with a plain text body.
pub fn text(status: StatusCode, text: &str) -> Reply {
    let mut response = Response::new(Full::from(text.to_owned()));
    *response.status_mut() = status;
    Ok(response)
}

/// Reads a JSON body and passes it to `then`; a malformed one is answered with 400.
///
/// # Errors
/// [`Withheld`] if the peer left before the body was complete.
pub async fn with_json<T: DeserializeOwned>(
    body: Incoming,
    then: impl FnOnce(T) -> Reply,
) -> Reply {
    match serde_json::from_slice(&read_body(body).await?) {
        Ok(value) => then(value),
        Err(e) => text(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}
