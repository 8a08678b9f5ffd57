//! Responses to callers: forwarded ones of endpoints, and rejections.

use crate::clock::Millis;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Why a request was rejected by the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RejectionReason {
    /// The daemon has no configuration yet.
    NotConfigured,
    /// No route matches.
    NoRoute,
    /// The key is missing or not a valid number.
    BadKey,
    /// The request id is missing, or the body could not be read.
    BadRequest,
    /// The body exceeds the configured limit.
    BodyTooLarge,
    /// The daemon's memory for request bodies is exhausted.
    NoMemory,
    /// The service has no usable endpoints.
    NoEndpoint,
    /// No endpoint that may be sent requests owns the key.
    NoOwner,
    /// No endpoint had a free slot in time.
    Busy,
    /// All endpoints that could serve it asked for a pause.
    Paused {
        /// When the first of them may be sent requests again.
        until: Millis,
    },
    /// The limit that the key's owner named allows no further request in time.
    Limited,
    /// The request did not run, and no retry was possible.
    Shed,
    /// The deadline passed before the request was sent.
    Late,
    /// The daemon stops, and might end before the request does.
    Stopping,
    /// The request was sent, and no response arrived before the deadline.
    Timeout,
    /// The request was sent, and it is unknown whether it ran.
    Unknown,
    /// The request ran, but the endpoint responded with a status that states the opposite.
    FailedAtEndpoint,
}

impl RejectionReason {
    /// Status of the rejection. 503 states that the request did not run, 502 and 504 that it may
    /// have.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadKey | Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotConfigured
            | Self::NoMemory
            | Self::NoEndpoint
            | Self::NoOwner
            | Self::Busy
            | Self::Paused { .. }
            | Self::Limited
            | Self::Shed
            | Self::Late
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::Unknown | Self::FailedAtEndpoint => StatusCode::BAD_GATEWAY,
        }
    }
}

/// A rejection; `retry_after` is the time after which the caller may retry.
pub fn rejection(reason: RejectionReason, retry_after: Option<Duration>) -> Response<Full<Bytes>> {
    let text = format!("{reason}\n");
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(delay) = retry_after {
        let text = format!("{:.3}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// An endpoint's response as it is forwarded to the caller.
pub fn forwarded_response(response: Response<Bytes>) -> Response<Full<Bytes>> {
    let (mut parts, body) = response.into_parts();
    parts.headers = end_to_end_headers(&parts.headers);
    parts.version = http::Version::HTTP_11;
    Response::from_parts(parts, Full::new(body))
}

/// The headers to forward: without hop-by-hop headers, those that `Connection` names, and the
/// content length.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(name) && !named.contains(name))
        .filter(|(name, _)| **name != header::CONTENT_LENGTH)
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
