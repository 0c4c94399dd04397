//! What replicas say to each other: the library's messages as JSON, with who sends them to whom.

use bytes::Bytes;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::identity::{Identity, Sender, Stranger};
use crate::storage::encode;

/// The most bytes of a message's body; an edge cuts off what is larger.
pub const MAX_BODY_BYTES: usize = 8 << 20;
/// The bytes of a snapshot in one message; as JSON they are up to four times as many.
pub(crate) const CHUNK: u64 = 512 << 10;

pub(crate) const APPEND: &str = "/raft/append";
pub(crate) const VOTE: &str = "/raft/vote";
pub(crate) const SNAPSHOT: &str = "/raft/snapshot";

/// A message to a replica.
#[derive(Deserialize, Serialize)]
pub(crate) struct Letter<T> {
    pub(crate) from: Sender,
    pub(crate) to: u64,
    pub(crate) message: T,
}

/// A replica's answer.
#[derive(Deserialize, Serialize)]
pub(crate) struct Reply<T> {
    pub(crate) from: Sender,
    pub(crate) answer: T,
}

/// Why there is no answer.
#[derive(Deserialize, Serialize)]
pub(crate) struct Refusal {
    pub(crate) error: String,
}

/// Opens a letter, if it is for this replica and from one that may write to it.
pub(crate) async fn open<T: for<'a> Deserialize<'a>>(
    me: &Identity,
    body: &[u8],
) -> Result<T, (StatusCode, Bytes)> {
    /// Enough to name a sender whose messages can't be read.
    #[derive(Deserialize)]
    struct Envelope {
        from: Sender,
    }
    let stranger = |e: Stranger| refuse(StatusCode::CONFLICT, &e);
    let letter: Letter<T> = match serde_json::from_slice(body) {
        Ok(letter) => letter,
        Err(e) => {
            if let Ok(Envelope { from }) = serde_json::from_slice(body) {
                me.meet(&from).await.map_err(stranger)?;
            }
            return Err(refuse(StatusCode::BAD_REQUEST, &format_args!("not a message of a replica: {e}")));
        }
    };
    me.meet(&letter.from).await.map_err(stranger)?;
    if letter.to != me.id() {
        return Err(stranger(Stranger::Misdirected { wanted: letter.to, here: me.id() }));
    }
    Ok(letter.message)
}

/// A refusal, as it goes out.
pub(crate) fn refuse(status: StatusCode, reason: &impl ToString) -> (StatusCode, Bytes) {
    (status, encode(&Refusal { error: reason.to_string() }).into())
}
