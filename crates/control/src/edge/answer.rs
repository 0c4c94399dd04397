//! Answers: JSON, and what went wrong with what to do about it.

use std::net::SocketAddr;

use bytes::Bytes;
use consensus::WriteError;
use http_body_util::{Either, Full};
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde_json::{Map, Value};

use super::watch::Lines;

/// An answer's body.
pub type Outgoing = Either<Full<Bytes>, Lines>;

/// A call that is answered with what went wrong.
#[derive(Debug, Serialize)]
pub struct Refused {
    #[serde(skip)]
    status: StatusCode,
    error: String,
    advice: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    leader: Option<SocketAddr>,
    /// What a program wants to know besides.
    #[serde(flatten)]
    more: Box<Map<String, Value>>,
    #[serde(skip)]
    allow: Option<&'static str>,
}

impl Refused {
    /// What went wrong, and what the caller can do about it.
    pub fn new(status: StatusCode, error: impl ToString, advice: impl ToString) -> Self {
        let (error, advice) = (error.to_string(), advice.to_string());
        Self { status, error, advice, leader: None, more: Box::default(), allow: None }
    }

    /// The call itself is wrong.
    pub fn bad(error: impl ToString, advice: impl ToString) -> Self {
        Self::new(StatusCode::BAD_REQUEST, error, advice)
    }

    /// It is right, and can't be done as things stand.
    pub fn conflict(error: impl ToString, advice: impl ToString) -> Self {
        Self::new(StatusCode::CONFLICT, error, advice)
    }

    /// It can't be done now.
    pub fn unavailable(error: impl ToString, advice: impl ToString) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, error, advice)
    }

    /// This replica does not lead.
    pub fn not_leader(leader: Option<SocketAddr>) -> Self {
        let error = WriteError::NotLeader { leader: None };
        let advice = match leader {
            Some(leader) => format!("ask the leader at {leader}"),
            None => "ask again soon: no leader is known here".to_owned(),
        };
        Self { leader, ..Self::unavailable(&error, advice) }
    }

    /// Another method is needed.
    pub fn method(allow: &'static str) -> Self {
        let advice = format!("this path takes {allow}");
        let refused = Self::new(StatusCode::METHOD_NOT_ALLOWED, "no such method here", advice);
        Self { allow: Some(allow), ..refused }
    }

    /// With a further field.
    pub fn with(mut self, name: &str, value: impl Serialize) -> Self {
        // What has no form in JSON is left out; error and advice stand without it.
        if let Ok(value) = serde_json::to_value(value) {
            self.more.insert(name.to_owned(), value);
        }
        self
    }
}

impl From<WriteError> for Refused {
    fn from(error: WriteError) -> Self {
        let advice = error.advice();
        match error {
            WriteError::NotLeader { leader } => Self::not_leader(leader.map(|(_, address)| address)),
            WriteError::Busy { .. } | WriteError::Unavailable { .. } | WriteError::Fatal(_) => {
                Self::unavailable(error, advice)
            }
            WriteError::TooLarge { .. } => Self::new(StatusCode::PAYLOAD_TOO_LARGE, error, advice),
            WriteError::InvalidChange { .. } => Self::conflict(error, advice),
        }
    }
}

impl From<Refused> for Response<Outgoing> {
    fn from(refused: Refused) -> Self {
        let mut response = json(refused.status, &refused);
        if refused.status == StatusCode::SERVICE_UNAVAILABLE {
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
        }
        if let Some(allow) = refused.allow {
            response.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
        }
        response
    }
}

/// An answer of one JSON object and a line's end.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Outgoing> {
    let mut bytes = serde_json::to_vec(value).unwrap_or_default();
    bytes.push(b'\n');
    raw(status, bytes.into())
}

/// An answer that is JSON already.
pub fn raw(status: StatusCode, bytes: Bytes) -> Response<Outgoing> {
    let mut response = Response::new(Either::Left(Full::new(bytes)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
