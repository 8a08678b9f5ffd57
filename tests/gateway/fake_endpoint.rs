//! An endpoint that answers each request with given bytes, well-formed or not.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

/// What the endpoint does with a request.
#[derive(Clone, Debug)]
pub enum Answer {
    /// Runs it and answers.
    Ok,
    /// Runs it and answers after a while.
    Slow(Duration),
    /// Runs it and answers twice.
    Twice,
    /// Runs it and closes the connection.
    Lost,
    /// Runs it and sends half of the answer.
    Half,
    /// Runs it and answers, but drops a connection that was idle for this time when it is used.
    Forgetful(Duration),
    /// Runs it and answers that it closes idle connections after this many seconds.
    KeepsAlive(u64),
    /// Runs it and answers without its signature.
    Unsigned,
    /// Refuses it and says so.
    Shed,
    /// Is another endpoint than the one that the request names.
    Other,
    /// Fails it with a status that promises that it has not run.
    False503,
}

/// A running endpoint.
#[derive(Clone)]
pub struct FakeEndpoint {
    /// Its address.
    pub addr: SocketAddr,
    runs: Arc<AtomicUsize>,
    arrivals: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
}

impl FakeEndpoint {
    /// Starts an endpoint that treats every request alike.
    pub async fn start(answer: Answer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("it is bound");
        let endpoint = Self {
            addr,
            runs: Arc::default(),
            arrivals: Arc::default(),
            connections: Arc::default(),
        };
        let served = endpoint.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().serve(stream, answer.clone()));
            }
        });
        endpoint
    }

    /// Requests that it ran.
    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }

    /// Requests that reached it.
    pub fn arrivals(&self) -> usize {
        self.arrivals.load(Ordering::SeqCst)
    }

    /// Connections that it accepted.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    async fn serve(self, mut stream: TcpStream, answer: Answer) {
        self.connections.fetch_add(1, Ordering::SeqCst);
        let mut buf = Vec::new();
        let mut used = Instant::now();
        loop {
            let head = loop {
                if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
                    break String::from_utf8_lossy(&buf.drain(..end + 4).collect::<Vec<u8>>())
                        .to_lowercase();
                }
                let mut part = [0; 4096];
                match stream.read(&mut part).await {
                    Ok(0) | Err(_) => return,
                    Ok(n) => buf.extend_from_slice(&part[..n]),
                }
            };
            let id = head
                .lines()
                .find_map(|line| line.strip_prefix("x-id: "))
                .unwrap_or_default()
                .to_owned();
            if matches!(answer, Answer::Forgetful(after) if used.elapsed() >= after) {
                return;
            }
            self.arrivals.fetch_add(1, Ordering::SeqCst);
            if !matches!(answer, Answer::Shed | Answer::Other) {
                self.runs.fetch_add(1, Ordering::SeqCst);
            }
            let ok = format!(
                "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 5\r\n\r\nhello"
            );
            let text = match &answer {
                Answer::Ok | Answer::Forgetful(_) => ok,
                Answer::KeepsAlive(seconds) => ok.replace(
                    "content-length",
                    &format!("keep-alive: timeout={seconds}\r\ncontent-length"),
                ),
                Answer::Slow(time) => {
                    sleep(*time).await;
                    ok
                }
                Answer::Twice => ok.repeat(2),
                Answer::Lost => return,
                Answer::Half => {
                    // The connection closes before the rest.
                    let half = &ok.as_bytes()[..ok.len() - 2];
                    let _ = stream.write_all(half).await;
                    return;
                }
                Answer::Unsigned => ok.replace("x-signature: s\r\n", ""),
                Answer::Shed => {
                    "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n".into()
                }
                Answer::Other => {
                    "HTTP/1.1 421 Other\r\nx-instance: other\r\ncontent-length: 0\r\n\r\n".into()
                }
                Answer::False503 => format!(
                    "HTTP/1.1 503 Busy\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 0\r\n\r\n"
                ),
            };
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            used = Instant::now();
        }
    }
}
