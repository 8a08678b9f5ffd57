//! Request heads in bytes that were read ahead: where a head ends, and whether it is beyond doubt.
//!
//! hyper stays the parser of record. What is not certain to be parsed alike there is not run ahead.

use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version, header};

/// Most headers of a request that is run ahead.
pub const MAX_HEADERS: usize = 64;
/// Headers that decide on the body, the connection or the protocol. A request with one of them does not
/// run ahead.
const BARRIER_HEADERS: [HeaderName; 5] = [
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::TRAILER,
    HeaderName::from_static("http2-settings"),
];

/// Finds the end of a head in bytes that arrive in pieces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HeadScanner {
    /// Before the request line, which empty lines may precede.
    #[default]
    Start,
    /// In a line that is not empty.
    Line,
    /// At the start of a line.
    LineStart,
    /// Behind a carriage return at the start of a line.
    CarriageReturn,
}

impl HeadScanner {
    /// Length of the part of `bytes` that ends the head; `None` if the head goes on behind them.
    pub fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        for (i, byte) in bytes.iter().enumerate() {
            *self = match (*self, byte) {
                (Self::Start, b'\r' | b'\n') => Self::Start,
                (Self::LineStart | Self::CarriageReturn, b'\n') => return Some(i + 1),
                (Self::LineStart, b'\r') => Self::CarriageReturn,
                (_, b'\n') => Self::LineStart,
                _ => Self::Line,
            };
        }
        None
    }
}

/// The first head in bytes that were read ahead.
#[derive(Debug)]
pub enum Parsed {
    /// It is not complete.
    Incomplete,
    /// Nothing of it may run ahead.
    Barrier,
    /// It is beyond doubt, and has this length in bytes.
    Complete(Box<Request<()>>, usize),
}

/// Parses the first head in `bytes`.
pub fn parse(bytes: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Parsed::Incomplete,
        Err(_) => return Parsed::Barrier,
    };
    let req = to_request(&parsed);
    match req.filter(|req| HeadScanner::default().find_end(bytes) == Some(length) && is_plain(req))
    {
        Some(req) => Parsed::Complete(Box::new(req), length),
        None => Parsed::Barrier,
    }
}

/// Whether a request has no body, and nothing that changes the connection or its protocol.
pub fn is_plain<B>(req: &Request<B>) -> bool {
    let headers = req.headers();
    let has_barrier = BARRIER_HEADERS
        .iter()
        .any(|name| headers.contains_key(name));
    req.version() == Version::HTTP_11
        && req.method() != Method::CONNECT
        && !has_barrier
        && has_at_most(headers, &header::CONTENT_LENGTH, "0")
        && has_at_most(headers, &header::CONNECTION, "keep-alive")
}

/// Whether a header is missing, or is there once with this value.
fn has_at_most(headers: &HeaderMap, name: &HeaderName, allowed: &str) -> bool {
    let mut values = headers.get_all(name).iter();
    let is_allowed =
        |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(allowed.as_bytes());
    values.next().is_none_or(is_allowed) && values.next().is_none()
}

fn to_request(parsed: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    // Another version number than 1 is HTTP/1.0.
    if parsed.version != Some(1) {
        return None;
    }
    let mut req = Request::new(());
    *req.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *req.uri_mut() = Uri::try_from(parsed.path?).ok()?;
    let headers = req.headers_mut();
    headers.reserve(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    Some(req)
}
