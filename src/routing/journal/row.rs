//! Content of journal rows.

use crate::{
    routing::{outcome::TargetResponse, refusal::Code, request::CallerRequest},
    store::Row,
    world::{Incarnation, Link, ServiceName, VmName},
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// Time for which a row is kept, in milliseconds.
pub const EXPIRY_MS: u64 = 24 * 60 * 60 * 1_000;
/// Largest response body that is recorded, in bytes.
pub const MAX_RECORDED_BYTES: usize = 16 * 1024;

/// Content of a journal row, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalRow {
    /// Identifies the insertion, to resolve an in-doubt write.
    pub operation: Arc<str>,
    /// Hash of method, path and body, to distinguish a duplicate from a different request.
    pub request_hash: Arc<str>,
    /// The daemon that inserted it.
    pub daemon: VmName,
    /// The incarnation of that daemon.
    pub incarnation: Incarnation,
    /// When the row may be replaced, in milliseconds since the Unix epoch.
    pub expires_at_ms: u64,
    /// State of the request.
    pub state: State,
}

/// State of a journaled request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It may have run.
    Pending,
    /// It ran, and its response is recorded.
    Answered(RecordedResponse),
    /// It ran, but its response was too large to record.
    NotKept,
    /// It did not run; the key may be used again.
    Free,
}

/// A complete recorded response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// Status code.
    pub status: u16,
    /// Headers, with their values in hexadecimal.
    pub headers: Vec<(String, String)>,
    /// Body in hexadecimal.
    pub body: String,
}

/// Consequence of an existing row for a new request with the same key.
#[derive(Clone, Debug)]
pub enum RowDecision {
    /// The row may be replaced.
    Replace,
    /// The new request is a duplicate and gets the recorded response.
    Recorded(TargetResponse),
    /// The new request is refused with this code.
    Refused(Code),
}

/// Name of the row of an idempotency key, which it contains as a hash.
pub fn row_name(service: &ServiceName, key: &str) -> Arc<str> {
    format!("journal/{service}/{}", hex::encode(Sha256::digest(key))).into()
}

/// Hash of method, path and body; requests with equal hashes are duplicates.
pub fn request_hash(req: &CallerRequest) -> Arc<str> {
    let mut hash = Sha256::new();
    // Neither method nor URI contains a line break.
    hash.update(format!("{}\n{}\n", req.method, req.path));
    hash.update(&req.body);
    hex::encode(hash.finalize()).into()
}

/// Decides on a new request with `request_hash` at `now_ms`, given the current `row` of its key.
pub fn evaluate(row: &Row, request_hash: &str, now_ms: u64) -> RowDecision {
    if row.version == 0 {
        return RowDecision::Replace;
    }
    // An unparsable row may belong to a request that ran.
    let Some(content) = JournalRow::parse(row) else {
        return RowDecision::Refused(Code::AnswerPending);
    };
    if content.state == State::Free || now_ms >= content.expires_at_ms {
        return RowDecision::Replace;
    }
    if *content.request_hash != *request_hash {
        return RowDecision::Refused(Code::KeyReused);
    }
    match content.state {
        State::Answered(response) => match response.restore() {
            Some(response) => RowDecision::Recorded(response),
            None => RowDecision::Refused(Code::AnswerNotKept),
        },
        State::NotKept => RowDecision::Refused(Code::AnswerNotKept),
        State::Pending | State::Free => RowDecision::Refused(Code::AnswerPending),
    }
}

impl JournalRow {
    /// The row of a request that is about to be sent.
    pub fn pending(request_hash: Arc<str>, link: &Link, now_ms: u64) -> Self {
        Self {
            operation: uuid::Uuid::now_v7().to_string().into(),
            request_hash,
            daemon: link.name.clone(),
            incarnation: link.incarnation,
            expires_at_ms: now_ms + EXPIRY_MS,
            state: State::Pending,
        }
    }

    /// The same row in another state.
    pub fn with_state(&self, state: State) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    /// The content of `row`; `None` if it is not valid JSON of this format.
    pub fn parse(row: &Row) -> Option<Self> {
        serde_json::from_str(&row.value).ok()
    }

    /// The row's JSON text.
    pub fn to_text(&self) -> Arc<str> {
        serde_json::to_string(self)
            .expect("a journal row is valid JSON")
            .into()
    }
}

impl State {
    /// The state that records `response`, or [`Self::NotKept`] if it is too large.
    pub fn of(response: &TargetResponse) -> Self {
        if response.body.len() > MAX_RECORDED_BYTES {
            return Self::NotKept;
        }
        let headers = response
            .headers
            .iter()
            .map(|(name, value)| (name.to_string(), hex::encode(value)))
            .collect();
        Self::Answered(RecordedResponse {
            status: response.status.as_u16(),
            headers,
            body: hex::encode(&response.body),
        })
    }
}

impl RecordedResponse {
    /// The response as it was received; `None` if the record is invalid.
    pub fn restore(&self) -> Option<TargetResponse> {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.headers {
            let name: HeaderName = name.parse().ok()?;
            let value = HeaderValue::from_bytes(&hex::decode(value).ok()?).ok()?;
            headers.append(name, value);
        }
        Some(TargetResponse {
            status: StatusCode::from_u16(self.status).ok()?,
            headers,
            body: Bytes::from(hex::decode(&self.body).ok()?),
        })
    }
}
