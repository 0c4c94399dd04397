//! Responses: JSON, and errors with advice.

use std::net::SocketAddr;

use bytes::Bytes;
use consensus::WriteError;
use http_body_util::{Either, Full};
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde_json::{Map, Value};

use super::watch::WatchBody;

/// The body of a response.
pub type ResponseBody = Either<Full<Bytes>, WatchBody>;

/// A call that failed, with what the caller can do about it.
#[derive(Debug, Serialize)]
pub struct ErrorResponse {
    #[serde(skip)]
    status: StatusCode,
    error: String,
    advice: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    leader: Option<SocketAddr>,
    /// Further fields for programs.
    #[serde(flatten)]
    details: Box<Map<String, Value>>,
    /// The value of the `Allow` header.
    #[serde(skip)]
    allowed_methods: Option<&'static str>,
}

impl ErrorResponse {
    /// Creates an error with this status; `advice` says what the caller can do about it.
    pub fn new(status: StatusCode, error: impl ToString, advice: impl ToString) -> Self {
        let (error, advice) = (error.to_string(), advice.to_string());
        Self { status, error, advice, leader: None, details: Box::default(), allowed_methods: None }
    }

    /// Status 400: the request is invalid.
    pub fn bad_request(error: impl ToString, advice: impl ToString) -> Self {
        Self::new(StatusCode::BAD_REQUEST, error, advice)
    }

    /// Status 409: the request is valid but not possible in the current state.
    pub fn conflict(error: impl ToString, advice: impl ToString) -> Self {
        Self::new(StatusCode::CONFLICT, error, advice)
    }

    /// Status 503: the request is not possible at the moment.
    pub fn unavailable(error: impl ToString, advice: impl ToString) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, error, advice)
    }

    /// Status 503 from a replica that does not lead.
    pub fn not_leader(leader: Option<SocketAddr>) -> Self {
        let error = WriteError::NotLeader { leader: None };
        let advice = match leader {
            Some(leader) => format!("ask the leader at {leader}"),
            None => "ask again soon: no leader is known here".to_owned(),
        };
        Self { leader, ..Self::unavailable(&error, advice) }
    }

    /// Status 405: the path does not have this method.
    pub fn method_not_allowed(allowed: &'static str) -> Self {
        let advice = format!("this path takes {allowed}");
        let error = Self::new(StatusCode::METHOD_NOT_ALLOWED, "no such method here", advice);
        Self { allowed_methods: Some(allowed), ..error }
    }

    /// Adds a field to the body.
    pub fn with(mut self, name: &str, value: impl Serialize) -> Self {
        // A value that cannot be encoded as JSON is left out; error and advice are complete without it.
        if let Ok(value) = serde_json::to_value(value) {
            self.details.insert(name.to_owned(), value);
        }
        self
    }
}

impl From<WriteError> for ErrorResponse {
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

impl From<ErrorResponse> for Response<ResponseBody> {
    fn from(error: ErrorResponse) -> Self {
        let mut response = json(error.status, &error);
        if error.status == StatusCode::SERVICE_UNAVAILABLE {
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
        }
        if let Some(allowed) = error.allowed_methods {
            response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
        }
        response
    }
}

/// Creates a response with one JSON object and a newline.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<ResponseBody> {
    let mut bytes = serde_json::to_vec(value).unwrap_or_default();
    bytes.push(b'\n');
    json_bytes(status, bytes.into())
}

/// Creates a response from bytes that are JSON already.
pub fn json_bytes(status: StatusCode, bytes: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(Either::Left(Full::new(bytes)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
