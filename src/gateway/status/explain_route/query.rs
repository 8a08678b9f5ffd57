//! The request that an explanation is about, in the query of the explanation's path.

use crate::{clock::Millis, gateway::model::Key, world::ServiceName};
use percent_encoding::percent_decode_str;
use std::sync::Arc;

/// Why a query names no request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QueryError {
    /// A parameter is missing.
    #[error("the parameter {0} is missing")]
    Missing(&'static str),
    /// There is no such parameter.
    #[error("there is no parameter {0}")]
    Unknown(Arc<str>),
    /// A value cannot be read.
    #[error("{value} is not a valid {name}")]
    Invalid {
        /// Name of the parameter.
        name: &'static str,
        /// Its value.
        value: Arc<str>,
    },
}

/// The request that an explanation is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteQuery {
    /// Host of the request.
    pub host: String,
    /// Path of the request, without its query.
    pub path: String,
    /// Method.
    pub method: String,
    /// Key, if the request has one.
    pub key: Option<Key>,
    /// Length of the body, in bytes.
    pub body_bytes: usize,
    /// Time limit of the caller, if it states one.
    pub time_limit: Option<Millis>,
    /// The share of the split to explain; the next request's if it is not named.
    pub service: Option<ServiceName>,
}

impl RouteQuery {
    /// Parses the query of an explanation's path.
    ///
    /// # Errors
    /// [`QueryError`] if a parameter is missing, unknown or malformed.
    pub fn parse(query: &str) -> Result<Self, QueryError> {
        let mut parsed = Self {
            host: String::new(),
            path: String::new(),
            method: "GET".into(),
            key: None,
            body_bytes: 0,
            time_limit: None,
            service: None,
        };
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            match name {
                "host" => parsed.host = decoded("host", value)?,
                "path" => parsed.path = path_of(&decoded("path", value)?)?,
                "method" => parsed.method = decoded("method", value)?,
                "key" => parsed.key = Some(number("key", value)?),
                "body_bytes" => parsed.body_bytes = number("body_bytes", value)?,
                "deadline_ms" => parsed.time_limit = Some(Millis(number("deadline_ms", value)?)),
                "service" => parsed.service = Some(decoded("service", value)?.as_str().into()),
                other => return Err(QueryError::Unknown(other.into())),
            }
        }
        if parsed.host.is_empty() {
            return Err(QueryError::Missing("host"));
        }
        if parsed.path.is_empty() {
            return Err(QueryError::Missing("path"));
        }
        Ok(parsed)
    }
}

fn invalid(name: &'static str, value: &str) -> QueryError {
    QueryError::Invalid {
        name,
        value: value.into(),
    }
}

fn decoded(name: &'static str, value: &str) -> Result<String, QueryError> {
    let text = percent_decode_str(value).decode_utf8();
    let text = text.map_err(|_| invalid(name, value))?;
    Ok(text.into_owned())
}

fn number<T: std::str::FromStr>(name: &'static str, value: &str) -> Result<T, QueryError> {
    value.parse().map_err(|_| invalid(name, value))
}

/// The path without its query, which does not decide where a request goes.
fn path_of(text: &str) -> Result<String, QueryError> {
    let path = text.split_once('?').map_or(text, |(path, _)| path);
    if !path.starts_with('/') {
        return Err(invalid("path", text));
    }
    Ok(path.into())
}
