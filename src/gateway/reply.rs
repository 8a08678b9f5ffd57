//! Answers to callers: an endpoint's own, or a refusal.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use std::time::Duration;
use strum::{Display, IntoStaticStr};

/// Headers that concern one connection only.
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

/// Why a request gets no answer of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The daemon knows no configuration yet.
    NotConfigured,
    /// No route matches.
    NoRoute,
    /// The key is missing or not a number in range.
    BadKey,
    /// The head names no host, or the request has no id.
    BadRequest,
    /// The body exceeds the declared limit.
    BodyTooLarge,
    /// The daemon has no memory for the body.
    NoMemory,
    /// The service has no endpoints.
    NoEndpoint,
    /// The key has no owner that may be sent requests.
    NoOwner,
    /// All endpoints are busy.
    Busy,
    /// The endpoint refused it, and the retry budget is used up.
    Shed,
    /// The deadline passed before it was sent.
    Late,
    /// It was sent, and no answer came before the deadline.
    Timeout,
    /// It was sent, and whether it ran is not known.
    Unknown,
    /// The endpoint answered with a status that promises what it did not.
    FailedAtEndpoint,
}

impl Reason {
    /// The status that states what is known of the request.
    fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadKey | Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotConfigured
            | Self::NoMemory
            | Self::NoEndpoint
            | Self::NoOwner
            | Self::Busy
            | Self::Shed
            | Self::Late => StatusCode::SERVICE_UNAVAILABLE,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::Unknown | Self::FailedAtEndpoint => StatusCode::BAD_GATEWAY,
        }
    }
}

/// The answer that refuses a request; `retry_after` tells when to come back.
pub fn refusal(reason: Reason, retry_after: Option<Duration>) -> Response<Full<Bytes>> {
    let text = format!("{reason}\n");
    let mut answer = Response::new(Full::new(Bytes::from(text)));
    *answer.status_mut() = reason.status();
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(after) = retry_after {
        let text = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    answer
}

/// Passes an endpoint's answer on.
pub fn forwarded_response(answer: Response<Bytes>) -> Response<Full<Bytes>> {
    let (mut parts, body) = answer.into_parts();
    parts.headers = end_to_end(&parts.headers);
    parts.version = http::Version::HTTP_11;
    Response::from_parts(parts, Full::new(body))
}

/// The headers that are passed on: those that concern one connection are left out.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
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
