//! Guards against requests that do not name the endpoint for which they are meant.

use super::{daemon::Daemon, fake_platform::FakePlatform};
use http::{HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use standins::server::{self, Withheld};
use std::sync::{Arc, Mutex};
use test_case::test_case;

/// Guards against a request without a name, which whoever has the endpoint's address would run.
#[test_case("e1"; "ascii")]
#[test_case("\u{e9}\u{1f41b}"; "beyond ascii")]
#[test_case("e 1"; "inner space")]
#[tokio::test(flavor = "multi_thread")]
async fn requests_name_their_endpoint(name: &str) {
    let (listener, addr) = server::bind(([127, 0, 0, 1], 0).into())
        .await
        .expect("a free port");
    let named: Arc<Mutex<Vec<u8>>> = Arc::default();
    let received = Arc::clone(&named);
    let answer = move |req: Request<Incoming>| {
        let headers = req.headers();
        let expected = headers
            .get("x-endpoint")
            .map(|name| name.as_bytes().to_vec());
        *received.lock().expect("no panic while locked") = expected.unwrap_or_default();
        let id = headers.get("x-id").cloned();
        async move {
            let mut response = server::text(StatusCode::OK, "hello")?;
            let headers = response.headers_mut();
            headers.insert("x-id", id.ok_or(Withheld)?);
            headers.insert("x-signature", HeaderValue::from_static("s"));
            Ok(response)
        }
    };
    tokio::spawn(server::serve(listener, 10, answer));
    let platform = FakePlatform::new();
    platform.declare(1);
    platform.register(name, "plain", addr);
    let daemon = Daemon::start(&platform);
    daemon.wait_ready().await;
    assert_eq!(daemon.send("/safe/1").await.status(), 200);
    let named = named.lock().expect("no panic while locked");
    assert_eq!(*named, name.as_bytes());
}
