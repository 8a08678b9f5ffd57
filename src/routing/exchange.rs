//! One HTTP/1.1 exchange with a target.

use super::{
    outcome::TargetResponse,
    refusal::Code,
    request::{MAX_BODY_BYTES, end_to_end_headers},
};
use crate::{
    response_head,
    target_api::{NOT_RUN, NotRunReason, REQUEST_ID},
};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1,
};

/// The sending side of a connection.
pub type Sender = http1::SendRequest<Full<Bytes>>;

/// Result of one exchange.
#[derive(Clone, Debug)]
pub enum ExchangeResult {
    /// The target's complete response to this request.
    Answered(TargetResponse),
    /// It is proved that the request did not run.
    NotRun(Code),
    /// The request may have run.
    MayHaveRun(Code),
}

/// Sends `req`, whose `x-request-id` is `id`, and reads the complete response.
///
/// The connection may be reused only if the second value is true. Dropping the future before it
/// completes closes the connection, which cancels the request.
pub async fn exchange(
    sender: &mut Sender,
    req: Request<Full<Bytes>>,
    id: &str,
) -> (ExchangeResult, bool) {
    let response = match sender.try_send_request(req).await {
        Ok(response) => response,
        // hyper returns the request only if no byte of it was written.
        Err(e) if e.message().is_some() => {
            return (ExchangeResult::NotRun(Code::NeverWritten), false);
        }
        Err(_) => return (ExchangeResult::MayHaveRun(Code::ConnectionLost), false),
    };
    match read_response(response, id).await {
        Ok(response) => {
            let reusable = !closes_connection(&response.headers);
            (classify(response), reusable)
        }
        Err(code) => (ExchangeResult::MayHaveRun(code), false),
    }
}

/// Reads the complete response and checks that it echoes the request id `id`.
async fn read_response(response: Response<Incoming>, id: &str) -> Result<TargetResponse, Code> {
    let (parts, body) = response.into_parts();
    response_head::check(&parts).map_err(|_| Code::AnswerMalformed)?;
    let mut echoes = parts.headers.get_all(REQUEST_ID).iter();
    if echoes.next().is_none_or(|echo| echo != id) || echoes.next().is_some() {
        return Err(Code::AnswerMismatch);
    }
    if !is_framed(&parts.headers, &body) {
        return Err(Code::AnswerTruncated);
    }
    let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<LengthLimitError>() => return Err(Code::AnswerTooLarge),
        Err(_) => return Err(Code::AnswerTruncated),
    };
    Ok(TargetResponse {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

/// Whether the end of the body can be distinguished from a lost connection.
///
/// A body that is delimited by the end of the connection (no length, not chunked) would be taken
/// for complete after a connection loss.
fn is_framed(headers: &HeaderMap, body: &Incoming) -> bool {
    body.is_end_stream()
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

fn closes_connection(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

fn classify(response: TargetResponse) -> ExchangeResult {
    if let Some(code) = not_run_code(&response) {
        return ExchangeResult::NotRun(code);
    }
    ExchangeResult::Answered(TargetResponse {
        headers: end_to_end_headers(&response.headers),
        ..response
    })
}

/// The code of a response that proves that the request did not run; `None` for any other response,
/// also when the header and the status do not match.
fn not_run_code(response: &TargetResponse) -> Option<Code> {
    let reason: NotRunReason = response.headers.get(NOT_RUN)?.to_str().ok()?.parse().ok()?;
    let (status, code) = match reason {
        NotRunReason::NotOwner => (StatusCode::MISDIRECTED_REQUEST, Code::NotOwner),
        NotRunReason::Shed => (StatusCode::SERVICE_UNAVAILABLE, Code::Shed),
        NotRunReason::Draining => (StatusCode::SERVICE_UNAVAILABLE, Code::Draining),
        NotRunReason::Cold => (StatusCode::SERVICE_UNAVAILABLE, Code::Cold),
        NotRunReason::Deadline => (StatusCode::SERVICE_UNAVAILABLE, Code::TargetDeadline),
    };
    (response.status == status).then_some(code)
}
