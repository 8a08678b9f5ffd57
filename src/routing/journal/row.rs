//! Rows of the journal.

use crate::{
    routing::{outcome::Answer, refusal::Code, request::CallerRequest},
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
/// Largest body of an answer that is recorded, in bytes.
pub const MAX_RECORDED_BYTES: usize = 16 * 1024;

/// Content of a journal row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalRow {
    /// Identifies the insertion, to settle a write whose answer was lost.
    pub operation: Arc<str>,
    /// Hash of method, path and body, to tell a repetition from another request.
    pub request_hash: Arc<str>,
    /// The daemon that inserted it.
    pub daemon: VmName,
    /// The run of that daemon.
    pub incarnation: Incarnation,
    /// When the row may be replaced, in milliseconds since the Unix epoch.
    pub expires_at_ms: u64,
    /// What is known of the request.
    pub state: State,
}

/// What is known of a journaled request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It may have run.
    Pending,
    /// It ran and was answered.
    Answered(RecordedAnswer),
    /// It ran and was answered, but the answer is too large to keep.
    NotKept,
    /// It did not run; the key may be used again.
    Free,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// Status code.
    pub status: u16,
    /// Headers, with their values in hexadecimal.
    pub headers: Vec<(String, String)>,
    /// Body in hexadecimal.
    pub body: String,
}

/// What an existing row means for a new request under its key.
#[derive(Clone, Debug)]
pub enum RowDecision {
    /// The row may be replaced.
    Replace,
    /// The new request is a repetition of an answered one.
    Recorded(Answer),
    /// The new request is refused.
    Refused(Code),
}

/// Name of the row for an idempotency key.
pub fn row_name(service: &ServiceName, key: &str) -> Arc<str> {
    format!("journal/{service}/{}", hex::encode(Sha256::digest(key))).into()
}

/// Hash of what makes a request the same as another one.
pub fn request_hash(req: &CallerRequest) -> Arc<str> {
    let mut hash = Sha256::new();
    // Neither method nor URI contains a line break.
    hash.update(format!("{}\n{}\n", req.method, req.path));
    hash.update(&req.body);
    hex::encode(hash.finalize()).into()
}

/// What `row` means for a request with `request_hash` at `now_ms`.
pub fn evaluate(row: &Row, request_hash: &str, now_ms: u64) -> RowDecision {
    if row.version == 0 {
        return RowDecision::Replace;
    }
    // A row that cannot be read may stand for a request that ran.
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
        State::Answered(answer) => match answer.restore() {
            Some(answer) => RowDecision::Recorded(answer),
            None => RowDecision::Refused(Code::AnswerNotKept),
        },
        State::NotKept => RowDecision::Refused(Code::AnswerNotKept),
        State::Pending | State::Free => RowDecision::Refused(Code::AnswerPending),
    }
}

impl JournalRow {
    /// A row for a request that is about to be sent.
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

    /// The content of `row`, if it can be read.
    pub fn parse(row: &Row) -> Option<Self> {
        serde_json::from_str(&row.value).ok()
    }

    /// The row's text.
    pub fn to_text(&self) -> Arc<str> {
        serde_json::to_string(self)
            .expect("a journal row is valid JSON")
            .into()
    }
}

impl State {
    /// The state of a request that was answered with `answer`.
    pub fn of(answer: &Answer) -> Self {
        if answer.body.len() > MAX_RECORDED_BYTES {
            return Self::NotKept;
        }
        let headers = answer
            .headers
            .iter()
            .map(|(name, value)| (name.to_string(), hex::encode(value)))
            .collect();
        Self::Answered(RecordedAnswer {
            status: answer.status.as_u16(),
            headers,
            body: hex::encode(&answer.body),
        })
    }
}

impl RecordedAnswer {
    /// The answer as it was received; `None` if the record is damaged.
    pub fn restore(&self) -> Option<Answer> {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.headers {
            let name: HeaderName = name.parse().ok()?;
            let value = HeaderValue::from_bytes(&hex::decode(value).ok()?).ok()?;
            headers.append(name, value);
        }
        Some(Answer {
            status: StatusCode::from_u16(self.status).ok()?,
            headers,
            body: Bytes::from(hex::decode(&self.body).ok()?),
        })
    }
}
