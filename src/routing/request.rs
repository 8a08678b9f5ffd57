//! Validates a caller's request and extracts what routing needs from it.

use super::refusal::Code;
use crate::{
    clock::Millis,
    entry::snapshot::Snapshot,
    target_api::{
        CALLER, DEADLINE_MS, IDEMPOTENCY_KEY, NOT_RUN, OUTCOME, OWNERSHIP_EPOCH, PARTITION,
        REFERENCE, REQUEST_ID, TIMEOUT_MS,
    },
    world::{Contract, DuplicateCheck, ServiceName},
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Uri, header};
use std::{net::IpAddr, sync::Arc};
use tokio::sync::OwnedSemaphorePermit;

/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;
/// Longest idempotency key or caller name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Largest sum of header names and values, in bytes.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Largest number of headers.
pub const MAX_HEADERS: usize = 100;
/// Largest body of a request or response, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Upper bound of the time reserved for sending the response to the caller, in milliseconds.
const MAX_REPLY_MARGIN_MS: u64 = 10;

/// A validated request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identifies the request within the daemon's records.
    pub id: u64,
    /// The service's contract.
    pub contract: Arc<Contract>,
    /// Method.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub path: Uri,
    /// The percent-decoded key; `None` unless the service is keyed.
    pub key: Option<Arc<str>>,
    /// Name of the caller, for fair queueing.
    pub caller: Arc<str>,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Reservation of memory for the body; `None` if the body is empty.
    pub body_permit: Option<Arc<OwnedSemaphorePermit>>,
    /// When the request arrived.
    pub arrived: Millis,
    /// When the request must have ended, shortly before the caller's timeout.
    pub deadline: Millis,
    /// Whether it may run more than once without further effect.
    pub idempotent: bool,
    /// The caller's key for detecting duplicates.
    pub idempotency_key: Option<Arc<str>>,
}

/// The parts of a request that come before its body.
#[derive(Debug)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Request target of the request line.
    pub uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Address of the peer.
    pub peer: IpAddr,
    /// When the request arrived.
    pub arrived: Millis,
}

impl CallerRequest {
    /// The idempotency key, if the request has to be recorded in the journal.
    pub fn journal_key(&self) -> Option<&Arc<str>> {
        let journaled = self.contract.duplicate_check == DuplicateCheck::Journal;
        let key = self.idempotency_key.as_ref();
        key.filter(|_| journaled && !self.idempotent)
    }
}

impl RequestHead {
    /// The service that the path names.
    pub fn service(&self) -> Option<ServiceName> {
        let (service, _) = split_path(self.uri.path())?;
        Some(ServiceName::from(service))
    }

    /// Name of the caller: the load balancer's header, else the peer's address.
    pub fn caller(&self) -> Arc<str> {
        match self.headers.get(CALLER).map(|value| value.to_str()) {
            Some(Ok(name)) if !name.is_empty() => truncate_name(name).into(),
            _ => self.peer.to_string().into(),
        }
    }

    /// Validates everything but the body, which is left empty.
    ///
    /// # Errors
    /// The [`Code`] of the first check that fails.
    pub fn check(self, snapshot: &Snapshot, id: u64) -> Result<CallerRequest, Code> {
        check_method(&self.method)?;
        check_headers(&self.headers)?;
        let path = self.uri.path();
        let (service, rest) = split_path(path).ok_or(Code::BadPath)?;
        let config = snapshot.config.as_ref().ok_or(Code::NoConfiguration)?;
        let view = snapshot
            .services
            .get(&ServiceName::from(service))
            .ok_or(Code::UnknownService)?;
        let contract = Arc::clone(&view.contract);
        check_segments(path)?;
        let timeout = parse_timeout(&self.headers, &contract)?.min(config.preset.max_timeout_ms);
        Ok(CallerRequest {
            id,
            key: contract.keyed.then(|| decode_key(rest)).transpose()?,
            caller: self.caller(),
            idempotent: is_idempotent(&self.method, rest, &contract),
            idempotency_key: idempotency_key(&self.headers)?,
            path: Uri::from(self.uri.path_and_query().ok_or(Code::BadPath)?.clone()),
            headers: end_to_end_headers(&self.headers),
            method: self.method,
            body: Bytes::new(),
            body_permit: None,
            arrived: self.arrived,
            deadline: self.arrived + Millis(timeout - reply_margin(timeout)),
            contract,
        })
    }
}

fn truncate_name(name: &str) -> &str {
    let mut end = name.len().min(MAX_NAME_BYTES);
    while !name.is_char_boundary(end) {
        end -= 1;
    }
    &name[..end]
}

/// Splits `/{service}/{rest}`.
fn split_path(path: &str) -> Option<(&str, &str)> {
    let (service, rest) = path.strip_prefix('/')?.split_once('/')?;
    (!service.is_empty()).then_some((service, rest))
}

fn check_method(method: &Method) -> Result<(), Code> {
    // CONNECT and TRACE are addressed to proxies and have no meaning for targets.
    if method == Method::CONNECT || method == Method::TRACE {
        return Err(Code::BadMethod);
    }
    Ok(())
}

fn check_headers(headers: &HeaderMap) -> Result<(), Code> {
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if headers.len() > MAX_HEADERS || bytes > MAX_HEADER_BYTES {
        return Err(Code::HeadersTooLarge);
    }
    if let Some(caller) = headers.get(CALLER)
        && (caller.len() > MAX_NAME_BYTES || caller.to_str().is_err())
    {
        return Err(Code::BadHeader);
    }
    Ok(())
}

/// Refuses dot segments, with which a caller could reach the control paths of a target that
/// resolves them, and control characters.
fn check_segments(path: &str) -> Result<(), Code> {
    for segment in path.split('/') {
        let decoded = decode_percent(segment).ok_or(Code::BadPath)?;
        let dots = decoded == b"." || decoded == b"..";
        if dots || decoded.iter().any(|&b| b < 0x20 || b == 0x7f) {
            return Err(Code::BadPath);
        }
    }
    Ok(())
}

fn decode_key(rest: &str) -> Result<Arc<str>, Code> {
    let segment = rest.split('/').next().unwrap_or_default();
    let key = decode_percent(segment).ok_or(Code::BadKey)?;
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(Code::BadKey);
    }
    let key = String::from_utf8(key).map_err(|_| Code::BadKey)?;
    Ok(key.into())
}

/// Decodes percent escapes; `None` if one is malformed.
fn decode_percent(segment: &str) -> Option<Vec<u8>> {
    let mut bytes = segment.bytes();
    let mut decoded = Vec::with_capacity(segment.len());
    while let Some(b) = bytes.next() {
        if b == b'%' {
            let mut digit = || char::from(bytes.next()?).to_digit(16);
            let value = digit()? * 16 + digit()?;
            decoded.push(value as u8);
        } else {
            decoded.push(b);
        }
    }
    Some(decoded)
}

fn parse_timeout(headers: &HeaderMap, contract: &Contract) -> Result<u64, Code> {
    match single_value(headers, TIMEOUT_MS)? {
        None => Ok(contract.default_timeout_ms),
        Some(text) => match text.parse() {
            Ok(0) | Err(_) => Err(Code::BadHeader),
            Ok(ms) => Ok(ms),
        },
    }
}

/// Time subtracted from a timeout, so that the response reaches the caller before it gives up.
fn reply_margin(timeout: u64) -> u64 {
    (timeout / 20).min(MAX_REPLY_MARGIN_MS)
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Code> {
    match single_value(headers, IDEMPOTENCY_KEY)? {
        Some(key) if key.is_empty() || key.len() > MAX_NAME_BYTES => Err(Code::BadHeader),
        key => Ok(key.map(Arc::from)),
    }
}

/// The value of a header that may occur at most once.
fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Code> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() {
        return Err(Code::BadHeader);
    }
    value
        .map(|value| value.to_str().map_err(|_| Code::BadHeader))
        .transpose()
}

fn is_idempotent(method: &Method, rest: &str, contract: &Contract) -> bool {
    method.is_idempotent()
        || contract
            .idempotent_paths
            .iter()
            .any(|prefix| rest.starts_with(prefix.trim_start_matches('/')))
}

/// Headers that apply to one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers that only a daemon or a target may set; they are removed from forwarded messages.
const RESERVED: [&str; 7] = [
    REQUEST_ID,
    PARTITION,
    OWNERSHIP_EPOCH,
    DEADLINE_MS,
    NOT_RUN,
    OUTCOME,
    REFERENCE,
];

/// The headers without hop-by-hop and reserved ones.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut kept = headers.clone();
    for name in HOP_BY_HOP.iter().chain(&named) {
        kept.remove(name);
    }
    for name in RESERVED {
        kept.remove(name);
    }
    kept.remove(header::CONTENT_LENGTH);
    kept.remove(header::EXPECT);
    kept
}
