//! Guards against endpoints that are slow and taken for lost, and against lost ones that are waited for.

use bytes::Bytes;
use fireflygauge::gateway::connection::Pool;
use http::Request;
use http_body_util::Full;
use socket2::{Domain, Socket, Type};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{Instant, sleep, timeout},
};

/// Longest time to open a connection.
const CONNECT_TIME: Duration = Duration::from_secs(2);
/// Time for which the endpoint reads nothing: longer than a connection may be unacknowledged.
const PAUSE: Duration = Duration::from_millis(2_500);
/// Time within which the loss of a machine is noticed.
const LOSS_TIME: Duration = Duration::from_secs(3);
/// Size of the request's body, far more than the endpoint takes in without reading.
const BODY_BYTES: usize = 8 * 1024 * 1024;

/// Listens with a small receive buffer and this backlog.
fn listen(backlog: i32) -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(32 * 1024).expect("it is small");
    socket.set_nonblocking(true).expect("it may be set");
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any.into()).expect("a free port");
    socket.listen(backlog).expect("it is bound");
    let addr = socket.local_addr().expect("it is bound").as_socket();
    (socket, addr.expect("an address of the internet"))
}

/// Guards against a request that is broken off while its endpoint is there and reads nothing for a while.
#[tokio::test]
async fn an_endpoint_that_reads_late_is_waited_for() {
    let (socket, addr) = listen(8);
    let listener = TcpListener::from_std(socket.into()).expect("it listens");
    let answering = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        sleep(PAUSE).await;
        let mut left = BODY_BYTES;
        let mut buf = vec![0; 64 * 1024];
        while left > 0 {
            let read = stream.read(&mut buf).await.expect("the connection holds");
            assert!(read > 0, "the request ends early");
            left = left.saturating_sub(read);
        }
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(response).await.expect("it is read");
        stream
    };
    let pool = Pool::new(addr, 8, Arc::default());
    let sending = async {
        let mut connection = pool.connect(CONNECT_TIME).await.expect("it listens");
        let body = Full::new(Bytes::from(vec![7; BODY_BYTES]));
        let req = Request::post("/").header("host", "h").body(body);
        let sent = connection
            .sender
            .send_request(req.expect("a valid request"));
        tokio::select! {
            response = sent => response.map(|response| response.status().as_u16()).ok(),
            () = pool.wait_until_lost() => None,
        }
    };
    let (status, _stream) = tokio::join!(sending, answering);
    assert_eq!(status, Some(200));
}

/// Guards against a request that waits until its time limit for a machine that is gone. A full backlog
/// drops attempts to connect as such a machine does.
#[tokio::test]
async fn a_machine_that_takes_no_connection_is_lost() {
    let (_listener, addr) = listen(0);
    let pool = Pool::new(addr, 8, Arc::default());
    let mut held = Vec::new();
    while let Ok(connection) = pool.connect(CONNECT_TIME).await {
        held.push(connection);
        assert!(held.len() < 16, "the backlog has no end");
    }
    let started = Instant::now();
    let lost = timeout(LOSS_TIME, pool.wait_until_lost()).await;
    assert!(
        lost.is_ok(),
        "it is waited for after {:?}",
        started.elapsed()
    );
}

/// Guards against an endpoint that counts as lost because its process has ended, or takes no more
/// connections, although its machine answers.
#[tokio::test]
async fn a_machine_that_refuses_connections_is_there() {
    let (listener, addr) = listen(8);
    drop(listener);
    let pool = Pool::new(addr, 8, Arc::default());
    let lost = timeout(LOSS_TIME, pool.wait_until_lost()).await;
    assert!(lost.is_err(), "it counts as lost");
}
