//! A policy: the part of a node's settings that may change in service.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// A policy as it is agreed: a settings object that holds only what differs from the settings that nodes were started
/// with, under the settings' own names. What it leaves out has the figure of each node's own settings.
///
/// | field | what it sets |
/// | --- | --- |
/// | `Classes[]` by `Name` | `Slo`, `Deadline`, `Value`, `LateValue` |
/// | `Customers[]` by `Name` | `QuotaPerS` |
/// | `Limits` | `AttemptsCap`, `RetryAfter`, `MaxRetryAfter`, `OpenCap` |
/// | `Retry` | `BudgetShare`, `BudgetMax` (further attempts as a part of first ones; how many may be saved up) |
/// | `Ejection` | `Failures` (in a row that make an outlier), `AtMost` (part of the servers) |
/// | `ServerWeights` | a factor by server name |
/// | `ServerBans` | names of servers that get nothing new |
///
/// All else may not change in service and is refused by name: who the node is and how many there are (`Me`,
/// `PeersTotal`), what a request may do twice (`Idempotency`, `DedupScope`, `MemorySpan`), the platform's rules
/// (`Contract`), how lists come (`Discovery`, `Weights`), and classes or customers that are not in the settings.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Policy(pub Map<String, Value>);
