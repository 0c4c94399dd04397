//! Adapter for simulators: hosts many [`Balancer`] instances and translates between their events and actions
//! and lines of JSON. It makes no decisions.

use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

use member::votes::VoteSettings as VotePolicy;
use serde::Deserialize;
use serde_json::{json, Map, Value};

use crate::api::*;
use crate::balance::Balancer;

mod policy;
pub use policy::settings_with_policy;

/// Bit of a request's marks: the client's work estimate is valid.
const MARK_WORK_ESTIMATED: u64 = 1;
/// Bit of a request's marks: the client marked it as a retry.
const MARK_RETRY: u64 = 2;

/// Describes a line or settings object that cannot be read, beginning with the field's path.
pub type WireError = String;

type Names = Vec<String>;

struct Instance {
    balancer: Balancer,
    classes: Names,
    tenants: Names,
}

/// The instances hosted by one process.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u64, Instance>,
    tables: BTreeMap<u64, Vec<Entry>>,
    names: Names,
}

fn number(value: &Value, what: &str) -> Result<f64, WireError> {
    value.as_f64().ok_or_else(|| format!("{what}: number expected"))
}

fn whole(value: &Value, what: &str) -> Result<u64, WireError> {
    let float = || value.as_f64().filter(|f| *f >= 0.0 && f.fract() == 0.0).map(|f| f as u64);
    value.as_u64().or_else(float).ok_or_else(|| format!("{what}: whole number expected"))
}

fn optional(value: &Value, what: &str) -> Result<Option<f64>, WireError> {
    if value.is_null() {
        Ok(None)
    } else {
        number(value, what).map(Some)
    }
}

fn text<'a>(value: &'a Value, what: &str) -> Result<&'a str, WireError> {
    value.as_str().ok_or_else(|| format!("{what}: text expected"))
}

fn list<'a>(value: &'a Value, what: &str) -> Result<&'a Vec<Value>, WireError> {
    value.as_array().ok_or_else(|| format!("{what}: array expected"))
}

/// A check of a number in the settings and its description for errors.
type Bound = (fn(f64) -> bool, &'static str);

const AMOUNT: Bound = (|n| n >= 0.0, "an amount of 0 or more");
const SHARE: Bound = (|n| (0.0..=1.0).contains(&n), "a share from 0 to 1");
const TIME: Bound = (|n| (0.0..=MAX_TIME_MS).contains(&n), "a time from 0 to 10^12 ms");
const TIME_ABOVE: Bound = (|n| n > 0.0 && n <= MAX_TIME_MS, "a time above 0, up to 10^12 ms");
const COUNT: Bound = (|n| n >= 1.0 && n.fract() == 0.0, "a whole number from 1 on");
const NODE_COUNT: Bound =
    (|n| (1.0..=MAX_NODE_COUNT).contains(&n) && n.fract() == 0.0, "a whole number from 1 to 100,000");
const FACTOR: Bound = (|n| SERVER_WEIGHT_RANGE.contains(&n), "a factor from 0.01 to 100");

/// The longest time accepted in settings; servers may remember keys for weeks.
const MAX_TIME_MS: Millis = 1e12;
/// The most nodes accepted: the decision module's table for the order of preference has at least twice as many slots.
const MAX_NODE_COUNT: f64 = 100_000.0;

/// Reads a number and checks its bound.
fn within(value: &Value, what: &str, (fits, description): Bound) -> Result<f64, WireError> {
    let found = number(value, what)?;
    fits(found).then_some(found).ok_or_else(|| format!("{what}: {found} is not {description}"))
}

/// The fields of one object. An absent optional field takes its default, an absent required one is an error.
/// Errors begin with the field's path.
struct Fields<'a> {
    /// `None` if the whole object is absent.
    map: Option<&'a Map<String, Value>>,
    /// Empty for the top-level settings.
    path: String,
}

impl<'a> Fields<'a> {
    fn of(value: &'a Value, path: &str) -> Result<Self, WireError> {
        match value.as_object() {
            Some(map) => Ok(Self { map: Some(map), path: path.to_string() }),
            None if path.is_empty() => Err("object expected".to_string()),
            None => Err(format!("{path}: object expected")),
        }
    }

    /// The path of one of its fields.
    fn at(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn get(&self, key: &str) -> Option<&'a Value> {
        self.map?.get(key).filter(|v| !v.is_null())
    }

    fn need(&self, key: &str) -> Result<&'a Value, WireError> {
        self.get(key).ok_or_else(|| format!("{} is missing", self.at(key)))
    }

    fn number(&self, key: &str) -> Result<f64, WireError> {
        number(self.need(key)?, &self.at(key))
    }

    fn whole(&self, key: &str) -> Result<u64, WireError> {
        whole(self.need(key)?, &self.at(key))
    }

    fn within(&self, key: &str, bound: Bound) -> Result<f64, WireError> {
        within(self.need(key)?, &self.at(key), bound)
    }

    fn within_or(&self, key: &str, bound: Bound, default: f64) -> Result<f64, WireError> {
        self.get(key).map_or(Ok(default), |v| within(v, &self.at(key), bound))
    }

    fn flag_or(&self, key: &str, default: bool) -> Result<bool, WireError> {
        let flag = |v: &Value| v.as_bool().ok_or_else(|| format!("{}: true or false expected", self.at(key)));
        self.get(key).map_or(Ok(default), flag)
    }

    fn text(&self, key: &str) -> Result<&'a str, WireError> {
        text(self.need(key)?, &self.at(key))
    }

    fn text_or(&self, key: &str, default: &'a str) -> Result<&'a str, WireError> {
        self.get(key).map_or(Ok(default), |v| text(v, &self.at(key)))
    }

    fn list(&self, key: &str) -> Result<&'a [Value], WireError> {
        self.get(key).map_or(Ok(&[]), |v| list(v, &self.at(key)).map(Vec::as_slice))
    }

    /// A nested object; one without fields if it is absent.
    fn object(&self, key: &str) -> Result<Self, WireError> {
        let path = self.at(key);
        self.get(key).map_or(Ok(Self { map: None, path: path.clone() }), |v| Self::of(v, &path))
    }

    /// A list of objects with unique names.
    fn named<T>(
        &self,
        key: &str,
        read: impl Fn(&Self) -> Result<T, WireError>,
    ) -> Result<(Names, Vec<T>), WireError> {
        let (mut names, mut all) = (Names::new(), Vec::new());
        for (index, value) in self.list(key)?.iter().enumerate() {
            let item = Self::of(value, &format!("{}[{index}]", self.at(key)))?;
            let (name, path) = (item.text("Name")?, item.at("Name"));
            if name.is_empty() || name.contains(char::is_control) {
                return Err(format!("{path}: {name:?} is empty or has control characters"));
            }
            if names.iter().any(|other| other == name) {
                return Err(format!("{path}: {name:?} is used twice"));
            }
            names.push(name.to_string());
            all.push(read(&item)?);
        }
        Ok((names, all))
    }
}

fn class(fields: &Fields<'_>) -> Result<Class, WireError> {
    // The narrowest scope is the safe default.
    let scope = match fields.text_or("DedupScope", "cell")? {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        other => return Err(format!("{}: {other} is unknown", fields.at("DedupScope"))),
    };
    let idempotency = match fields.text("Idempotency")? {
        "pure" => Idempotency::Safe,
        "token" => Idempotency::Keyed { scope, dedup_window: fields.within_or("MemorySpan", TIME, 0.0)? },
        "side_effect" => Idempotency::Unsafe,
        other => return Err(format!("{}: {other} is unknown", fields.at("Idempotency"))),
    };
    Ok(Class {
        slo: fields.within("Slo", TIME_ABOVE)?,
        worth: fields.within_or("Value", AMOUNT, 1.0)?,
        deadline: fields.within_or("Deadline", TIME_ABOVE, f64::INFINITY)?,
        late_worth: fields.within_or("LateValue", SHARE, 0.0)?,
        idempotency,
    })
}

/// Reads the vote settings with the same checks as the control group.
fn votes(value: &Value) -> Result<VoteSettings, WireError> {
    let policy = VotePolicy::deserialize(value).map_err(|e| format!("Votes: {e}"))?;
    policy.check().map_err(|e| e.to_string())?;
    Ok(VoteSettings {
        evidence_window: policy.evidence_window,
        min_attempts: policy.min_attempts,
        failure_threshold: policy.failure_ratio,
        self_doubt_threshold: policy.abstain_ratio,
        suspect_pause: policy.suspect_pause,
        trickle_share: policy.suspect_share,
        contact_timeout: policy.contact_timeout,
    })
}

/// A parsed settings object: the module's settings and those that only a node on sockets needs.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The module's settings.
    pub settings: Settings,
    /// Class names, by index.
    pub class_names: Vec<String>,
    /// Tenant names, by index.
    pub tenant_names: Vec<String>,
    /// The longest time that a client waits in any class.
    pub max_deadline: Millis,
    /// Servers close connections that have been idle for this long.
    pub keepalive: Millis,
    /// Maximum number of open requests at a node.
    pub max_open_requests: usize,
    /// The operators' factors for servers' sizes, by server name. The caller, who knows the servers' ids,
    /// adds them to the settings.
    pub server_weights: BTreeMap<String, f64>,
    /// Names of servers that get nothing new.
    pub bans: Vec<String>,
}

/// Parses the settings object of an instance or of a node on sockets.
///
/// # Errors
/// Names the first field that is missing or malformed.
pub fn parse_settings(value: &Value) -> Result<NodeSettings, WireError> {
    let fields = Fields::of(value, "")?;
    let (class_names, classes) = fields.named("Classes", class)?;
    if classes.is_empty() {
        return Err("Classes: no classes, at least one is required".to_string());
    }
    let max_deadline = classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
    let tenant = |t: &Fields<'_>| Ok(Tenant { quota_per_s: t.within("QuotaPerS", AMOUNT)? });
    let (tenant_names, tenants) = fields.named("Customers", tenant)?;
    let limits = Fields::of(fields.need("Limits")?, "Limits")?;
    let rules = Fields::of(fields.need("Contract")?, "Contract")?;
    let (goal, retry, ejection) =
        (fields.object("Goal")?, fields.object("Retry")?, fields.object("Ejection")?);
    let (default_retry, default_ejection) = (RetryBudget::default(), Ejection::default());
    let weights = fields.object("ServerWeights")?;
    let factor =
        |(name, factor): (&String, &Value)| Ok((name.clone(), within(factor, &weights.at(name), FACTOR)?));
    let factors = weights.map.into_iter().flatten().map(factor);
    let bans = fields.list("ServerBans")?.iter().map(|name| text(name, "ServerBans").map(str::to_string));
    let (number, nodes) = (fields.whole("Me")?, fields.within("PeersTotal", NODE_COUNT)?);
    if number as f64 >= nodes {
        return Err(format!("Me: {number} is not below PeersTotal"));
    }
    let settings = Settings {
        node_index: number as usize,
        node_count: nodes as usize,
        classes,
        tenants,
        over_quota_worth: fields.within_or("OverShareWorth", SHARE, 1.0)?,
        goal: Goal {
            worth: goal.within_or("Whole", AMOUNT, 1.0)? + goal.within_or("WorstWindow", AMOUNT, 0.0)?,
            worst_class: goal.within_or("WorstClass", AMOUNT, 0.0)?,
            worst_tenant: goal.within_or("WorstTenant", AMOUNT, 0.0)?,
        },
        limits: Limits {
            max_attempts: limits.within("AttemptsCap", COUNT)? as usize,
            hedging: limits.flag_or("MayDuplicate", false)?,
            cancel: limits.flag_or("Cancel", false)?,
            probes: limits.flag_or("Probes", false)?,
            connect_timeout: limits.within("ConnectTimeout", TIME)?,
            max_retry_after: if limits.flag_or("RetryAfter", false)? {
                limits.within_or("MaxRetryAfter", TIME, 0.0)?
            } else {
                0.0
            },
        },
        retry_budget: RetryBudget {
            ratio: retry.within_or("BudgetShare", SHARE, default_retry.ratio)?,
            max: retry.within_or("BudgetMax", AMOUNT, default_retry.max)?,
        },
        ejection: Ejection {
            consecutive_failures: ejection.within_or(
                "Failures",
                COUNT,
                f64::from(default_ejection.consecutive_failures),
            )? as u32,
            max_fraction: ejection.within_or("AtMost", SHARE, default_ejection.max_fraction)?,
        },
        votes: fields.get("Votes").map(votes).transpose()?,
        server_weights: BTreeMap::new(),
        rules: Rules {
            discovery_deadline: rules.within_or("AskWithin", TIME, 10_000.0)?,
            cold_capacity: rules.within("ColdShare", SHARE)?,
            warmup_time: rules.within("WarmWithin", TIME)?,
            overload_multiple: rules.within("FallMultiple", AMOUNT)?,
            overload_window: rules.within("Fall", TIME)?,
        },
        discovery: match fields.text_or("Discovery", "automatic")? {
            "subscribe" => Discovery::Subscribed,
            "automatic" => Discovery::Pushed,
            other => return Err(format!("Discovery: {other} is unknown")),
        },
        weights: match fields.text_or("Weights", "silent")? {
            "nominal" | "rough" => Weights::Static,
            "live" => Weights::Live,
            "silent" => Weights::None,
            other => return Err(format!("Weights: {other} is unknown")),
        },
        tick: fields.within_or("Tick", TIME, 1.0)?,
    };
    Ok(NodeSettings {
        settings,
        class_names,
        tenant_names,
        max_deadline,
        keepalive: limits.within_or("Keepalive", TIME, 15_000.0)?,
        max_open_requests: limits.within_or("OpenCap", COUNT, 20_000.0)? as usize,
        server_weights: factors.collect::<Result<_, WireError>>()?,
        bans: bans.collect::<Result<_, WireError>>()?,
    })
}

fn outcome(name: &str) -> Result<Outcome, WireError> {
    Ok(match name {
        "done" => Outcome::Success,
        "err" => Outcome::Error,
        "busy" => Outcome::Rejected,
        "etimedout" => Outcome::TimedOut,
        "econnrefused" => Outcome::ConnectFailed,
        "econnreset" => Outcome::Reset,
        "ecanceled" => Outcome::Cancelled,
        "skipped" => Outcome::NotSent,
        other => return Err(format!("outcome: {other} is unknown")),
    })
}

/// The index of a name; the lists of classes, tenants and zones are short.
fn index(names: &[String], value: &Value) -> Option<usize> {
    value.as_str().and_then(|name| names.iter().position(|n| n == name))
}

fn action(action: &Action) -> Value {
    match action {
        Action::Send { id, server, timeout } => json!(["SUBMIT_TO", id.0, server.0, timeout.unwrap_or(0.0)]),
        Action::Cancel { id, attempt } => json!(["ABORT_ATTEMPT", id.0, attempt]),
        Action::Refuse { id, retry_after } => json!(["NOT_NOW", id.0, retry_after]),
        Action::Fail(id) => json!(["GIVE_UP", id.0]),
        Action::SetTimer(after) => json!(["WAKE_AT", after, 0]),
        Action::Subscribe => json!(["LISTEN", true]),
        Action::Probe(server) => json!(["TOUCH", server.0]),
    }
}

impl Adapter {
    /// Handles one batch and returns the reply, without a line end.
    ///
    /// # Errors
    /// Describes what is malformed. There is no reply to such a line, and the adapter should not be used any
    /// further.
    pub fn handle_line(&mut self, line: &str) -> Result<String, WireError> {
        let batch: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
        let fields = Fields::of(&batch, "batch")?;
        let now = fields.number("Time")?;
        let round = fields.whole("round")?;
        let mut parts = Vec::new();
        for part in fields.list("parts")? {
            let part = Fields::of(part, "parts")?;
            let number = part.whole("I")?;
            let mut steps = Vec::new();
            for input in part.list("input")? {
                self.input(now, number, list(input, "input")?, &mut steps)?;
            }
            if !steps.is_empty() {
                parts.push(json!({"I": number, "steps": steps}));
            }
        }
        Ok(json!({"round": round, "parts": parts}).to_string())
    }

    fn input(&mut self, now: f64, me: u64, input: &[Value], steps: &mut Vec<Value>) -> Result<(), WireError> {
        let at = |i: usize| input.get(i).unwrap_or(&Value::Null);
        match text(at(0), "message")? {
            "ROSTER" => {
                let entries = list(at(2), "Members")?.iter().map(|v| self.entry(v));
                let entries = entries.collect::<Result<Vec<_>, _>>()?;
                self.tables.insert(whole(at(1), "Table")?, entries);
            }
            "CREATE" => {
                let NodeSettings { settings, class_names: classes, tenant_names: tenants, .. } =
                    parse_settings(at(2))?;
                let balancer = Balancer::new(settings, whole(at(1), "Prng")?).map_err(|e| e.to_string())?;
                self.instances.insert(me, Instance { balancer, classes, tenants });
            }
            "HALT" => {
                self.instances.remove(&me);
            }
            _ => {
                // Input for an instance that was stopped is ignored.
                let Some(instance) = self.instances.get_mut(&me) else { return Ok(()) };
                let Some(event) = instance.event(&self.tables, input)? else { return Ok(()) };
                let mut actions = Vec::new();
                let balancer = &mut instance.balancer;
                match catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, &mut actions))) {
                    Ok(()) => steps.extend(actions.iter().map(action)),
                    Err(panic) => {
                        let literal = panic.downcast_ref::<&str>().map(|s| (*s).to_string());
                        let message = literal.or_else(|| panic.downcast_ref::<String>().cloned());
                        steps.push(json!(["EXCEPTION", message.unwrap_or_else(|| "panic".to_string())]));
                    }
                }
            }
        }
        Ok(())
    }

    fn entry(&mut self, value: &Value) -> Result<Entry, WireError> {
        let row = list(value, "entry")?;
        let at = |i: usize| row.get(i).unwrap_or(&Value::Null);
        // Zones and machine kinds are only compared, so any unique number per name will do.
        let mut name = |value: &Value| {
            index(&self.names, value).unwrap_or_else(|| {
                self.names.push(value.as_str().unwrap_or_default().to_string());
                self.names.len() - 1
            }) as u64
        };
        let (zone, kind) = (name(at(1)), name(at(2)));
        Ok(Entry {
            server: ServerId(whole(at(0), "Server")?),
            zone,
            cell: if at(3).is_null() { 0 } else { whole(at(3), "Cluster")? },
            kind,
            state: match text(at(4), "Condition")? {
                "on" => ServerState::Up,
                "fading" => ServerState::Draining,
                "off" => ServerState::Gone,
                other => return Err(format!("Condition: {other} is unknown")),
            },
            weight: optional(at(5), "Weight")?.unwrap_or(1.0),
            started_at: optional(at(6), "LastStart")?.filter(|t| *t != 0.0),
        })
    }
}

impl Instance {
    /// Translates an event; `None` if it is unknown or of no interest.
    fn event(&self, tables: &BTreeMap<u64, Vec<Entry>>, input: &[Value]) -> Result<Option<Event>, WireError> {
        let at = |i: usize| input.get(i).unwrap_or(&Value::Null);
        let id = || whole(at(1), "Corr").map(RequestId);
        let attempt = || whole(at(2), "Try").map(|n| n as usize);
        Ok(Some(match text(at(0), "message")? {
            "TOPOLOGY" => {
                let form = text(at(2), "Form")?;
                if form == "Error" {
                    return Ok(Some(Event::ListFailed));
                }
                let table = whole(at(3), "Table")?;
                let entries =
                    tables.get(&table).ok_or_else(|| format!("Table: {table} was not given"))?.clone();
                match form {
                    "Partial" => Event::ListChange(entries),
                    "Complete" | "Persisted" => Event::List { entries, saved: form == "Persisted" },
                    other => return Err(format!("Form: {other} is unknown")),
                }
            }
            "SUBMIT" => Event::Request {
                id: id()?,
                class: index(&self.classes, at(2)).ok_or_else(|| "Band: unknown".to_string())?,
                tenant: index(&self.tenants, at(3)),
                deadline: number(at(5), "DropDead")?,
                streaming_body: false,
                is_retry: at(7).as_u64().is_some_and(|marks| marks & MARK_RETRY != 0),
                estimated_work: at(6)
                    .as_f64()
                    .filter(|_| at(7).as_u64().is_some_and(|marks| marks & MARK_WORK_ESTIMATED != 0)),
            },
            "STREAMING" => Event::Streaming { id: id()?, attempt: attempt()? },
            "RESPONSE" => Event::AttemptEnded {
                id: id()?,
                attempt: attempt()?,
                server: ServerId(whole(at(3), "Server")?),
                outcome: outcome(text(at(4), "Outcome")?)?,
                elapsed: number(at(5), "Rtt")?,
                answered: at(6).as_bool().ok_or("Terminal: true or false expected")?,
            },
            "STATUS_BACK" => Event::ProbeEnded {
                server: ServerId(whole(at(1), "Server")?),
                outcome: outcome(text(at(2), "Outcome")?)?,
                elapsed: number(at(3), "Rtt")?,
            },
            "GONE" => Event::ClientGone(id()?),
            "WAKE" => Event::Timer,
            _ => return Ok(None),
        }))
    }
}
