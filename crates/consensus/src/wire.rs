//! Messages between replicas: the library's messages as JSON, with sender and recipient.

use bytes::Bytes;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::identity::{Identity, IdentityError, Sender};
use crate::storage::encode;

/// Maximum size of a message's body, in bytes; the HTTP server refuses larger ones.
pub const MAX_BODY_BYTES: usize = 8 << 20;
/// Size of the snapshot data in one message, in bytes; as JSON it is up to four times as large.
pub(crate) const SNAPSHOT_CHUNK_BYTES: u64 = 512 << 10;

/// Path of requests to append log entries.
pub(crate) const APPEND_PATH: &str = "/raft/append";
/// Path of requests for votes.
pub(crate) const VOTE_PATH: &str = "/raft/vote";
/// Path of requests to install a chunk of a snapshot.
pub(crate) const SNAPSHOT_PATH: &str = "/raft/snapshot";

/// A message to a replica.
#[derive(Deserialize, Serialize)]
pub(crate) struct Envelope<T> {
    pub(crate) from: Sender,
    pub(crate) to: u64,
    pub(crate) message: T,
}

/// A replica's response.
#[derive(Deserialize, Serialize)]
pub(crate) struct Reply<T> {
    pub(crate) from: Sender,
    pub(crate) answer: T,
}

/// The body of an error response.
#[derive(Deserialize, Serialize)]
pub(crate) struct Refusal {
    pub(crate) error: String,
}

/// Decodes a message, and checks that its sender is accepted and that it is for this replica.
///
/// # Errors
/// The error response to send.
pub(crate) async fn open<T: for<'a> Deserialize<'a>>(
    identity: &Identity,
    body: &[u8],
) -> Result<T, (StatusCode, Bytes)> {
    /// Names the sender of a message that cannot be decoded otherwise.
    #[derive(Deserialize)]
    struct SenderOnly {
        from: Sender,
    }
    let conflict = |e: IdentityError| refuse(StatusCode::CONFLICT, &e);
    let envelope: Envelope<T> = match serde_json::from_slice(body) {
        Ok(envelope) => envelope,
        Err(e) => {
            if let Ok(SenderOnly { from }) = serde_json::from_slice(body) {
                identity.check_and_learn(&from).await.map_err(conflict)?;
            }
            return Err(refuse(StatusCode::BAD_REQUEST, &format_args!("not a message of a replica: {e}")));
        }
    };
    identity.check_and_learn(&envelope.from).await.map_err(conflict)?;
    if envelope.to != identity.id() {
        return Err(conflict(IdentityError::Misdirected { wanted: envelope.to, here: identity.id() }));
    }
    Ok(envelope.message)
}

/// Builds an error response.
pub(crate) fn refuse(status: StatusCode, reason: &impl ToString) -> (StatusCode, Bytes) {
    (status, encode(&Refusal { error: reason.to_string() }).into())
}
