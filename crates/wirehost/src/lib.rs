//! The adapter between heronroute and its JSON line protocol.
//! The adapter translates messages and separates instances; it makes no decisions.
//!
//! Unknown event names, unknown settings and surplus values in the input are ignored.
//! Events for instances that are not running are ignored too.
//! Any other input that cannot be parsed is an error, and the error message names the position of the input.

use embershore_protocol::settings;
use heronroute::{
    Action, ClassSettings, DestId, Dispatcher, EndpointEntry, EndpointId, Event, LoadReport, Micros, MsgId,
    Outcome, Status,
};
use serde::Deserialize;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// Mark of a message that comes from a sender that died.
const MARK_SENDER_LOST: i64 = 16;

/// An instance: one sender's dispatcher, with the numbers that this sender gives to endpoints.
struct Instance {
    dispatcher: Dispatcher,
    classes: Vec<ClassSettings>,
    numbers: BTreeMap<String, EndpointId>,
    names: Vec<String>,
}

impl Instance {
    /// Returns the number of the endpoint with this name, and assigns a new number to a new name.
    fn intern(&mut self, name: &str) -> EndpointId {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = EndpointId(self.names.len() as u32);
        self.names.push(name.to_string());
        self.numbers.insert(name.to_string(), number);
        number
    }
}

/// An entry of an endpoint list, before an instance assigns a number to the endpoint.
struct TableEntry {
    name: String,
    entry: EndpointEntry,
}

#[derive(Deserialize)]
struct Batch {
    #[serde(rename = "TUs")]
    now: Micros,
    seq: Value,
    msgs: Vec<Value>,
}

/// All instances of a process. Instances share only the numbered endpoint lists from `Table` messages.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<String, Instance>,
    tables: BTreeMap<i64, Vec<TableEntry>>,
}

/// The values of one protocol message, read by position. Errors name the message and the position.
struct Fields<'a> {
    name: &'a str,
    values: &'a [Value],
}

impl<'a> Fields<'a> {
    fn new(value: &'a Value) -> Result<Self, String> {
        let all = value.as_array().ok_or("a message is not an array")?;
        let name = all.first().and_then(Value::as_str).ok_or("a message has no name")?;
        Ok(Fields { name, values: &all[1..] })
    }

    /// Returns the error message for a missing or invalid value in a protocol message.
    fn value_error(&self, index: usize, expected: &str) -> String {
        match self.values.get(index) {
            Some(value) => format!("{}: value {} should be {expected}, not {value}", self.name, index + 1),
            None => format!("{}: value {} ({expected}) is missing", self.name, index + 1),
        }
    }

    fn optional(&self, index: usize) -> Option<&'a Value> {
        self.values.get(index).filter(|value| !value.is_null())
    }

    fn required(&self, index: usize, expected: &str) -> Result<&'a Value, String> {
        self.optional(index).ok_or_else(|| self.value_error(index, expected))
    }

    fn text(&self, index: usize) -> Result<&'a str, String> {
        self.required(index, "a string")?.as_str().ok_or_else(|| self.value_error(index, "a string"))
    }

    fn int(&self, index: usize) -> Result<i64, String> {
        whole_number(self.required(index, "a whole number")?)
            .ok_or_else(|| self.value_error(index, "a whole number"))
    }

    fn int_or(&self, index: usize, default: i64) -> Result<i64, String> {
        if self.optional(index).is_none() { Ok(default) } else { self.int(index) }
    }

    fn index_or(&self, index: usize, default: i64) -> Result<usize, String> {
        usize::try_from(self.int_or(index, default)?).map_err(|_| self.value_error(index, "an index"))
    }

    fn flag(&self, index: usize) -> Result<bool, String> {
        match self.optional(index) {
            None => Ok(false),
            Some(value) => value.as_bool().ok_or_else(|| self.value_error(index, "true or false")),
        }
    }

    fn msg(&self, index: usize) -> Result<MsgId, String> {
        let text = self.text(index)?;
        let is_hex = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let number = if is_hex { u64::from_str_radix(text, 16).ok() } else { None };
        number.map(MsgId).ok_or_else(|| self.value_error(index, "16 hex digits"))
    }

    fn outcome(&self, index: usize) -> Result<Outcome, String> {
        Ok(match self.text(index)? {
            "done" => Outcome::Done,
            "err" => Outcome::Error,
            "busy" => Outcome::Busy,
            "etimedout" => Outcome::TimedOut,
            "econnrefused" => Outcome::ConnectFailed,
            "econnreset" => Outcome::Reset,
            "ecanceled" => Outcome::Cancelled,
            "skipped" => Outcome::Skipped,
            _ => return Err(self.value_error(index, "an outcome such as 'done' or 'err'")),
        })
    }

    fn report(&self, index: usize) -> Result<Option<LoadReport>, String> {
        let Some(value) = self.optional(index) else { return Ok(None) };
        let pairs: &Map<String, Value> =
            value.as_object().ok_or_else(|| self.value_error(index, "a load report"))?;
        let number = |name: &str| pairs.get(name).and_then(Value::as_f64);
        Ok(Some(LoadReport { remaining: number("x0"), limit: number("x1") }))
    }
}

/// Returns the value as a whole number, or `None` if it is not one. `2.0` counts as a whole number.
fn whole_number(value: &Value) -> Option<i64> {
    value.as_i64().or_else(|| {
        let float = value.as_f64()?;
        (float.fract() == 0.0 && float.abs() < 9e15).then_some(float as i64)
    })
}

fn table_entry(value: &Value) -> Result<TableEntry, String> {
    let values = value.as_array().ok_or("Table: an entry is not an array")?;
    let fields = Fields { name: "Table entry", values };
    let status = match fields.text(0)? {
        "up" => Status::Up,
        "draining" => Status::Draining,
        "removed" => Status::Removed,
        _ => return Err(fields.value_error(0, "'up', 'draining' or 'removed'")),
    };
    let weight = match fields.optional(2) {
        None => None,
        Some(weight) => Some(weight.as_f64().ok_or_else(|| fields.value_error(2, "a number"))?),
    };
    let entry = EndpointEntry {
        endpoint: EndpointId(0),
        dest: DestId(fields.int_or(6, 0)?),
        status,
        kind: fields.index_or(1, 0)?,
        zone: fields.index_or(4, 0)?,
        weight,
    };
    Ok(TableEntry { name: fields.text(5)?.to_string(), entry })
}

impl Host {
    /// Processes one batch line and returns the reply line.
    ///
    /// # Errors
    /// Returns a message that names the malformed input and its position.
    pub fn batch(&mut self, line: &str) -> Result<String, String> {
        let batch: Batch = serde_json::from_str(line).map_err(|error| format!("malformed batch: {error}"))?;
        let mut order: Vec<String> = Vec::new();
        let mut queues: BTreeMap<String, Vec<Event>> = BTreeMap::new();
        for (index, value) in batch.msgs.iter().enumerate() {
            self.apply_message(batch.now, value, &mut order, &mut queues)
                .map_err(|error| format!("message {}: {error}", index + 1))?;
        }
        let mut output: Vec<Value> = Vec::new();
        let mut actions = Vec::new();
        for name in order {
            let (Some(instance), Some(events)) = (self.instances.get_mut(&name), queues.remove(&name)) else {
                continue;
            };
            actions.clear();
            instance.dispatcher.round(batch.now, &events, &mut actions);
            output.extend(actions.iter().map(|action| encode_action(&name, &instance.names, action)));
        }
        Ok(json!({"seq": batch.seq, "output": output}).to_string())
    }

    /// Applies a `Table`, `NewInstance` or `Teardown` message.
    /// The event of any other message is queued for the message's instance.
    fn apply_message(
        &mut self,
        now: Micros,
        value: &Value,
        order: &mut Vec<String>,
        queues: &mut BTreeMap<String, Vec<Event>>,
    ) -> Result<(), String> {
        let fields = Fields::new(value)?;
        match fields.name {
            "Table" => {
                let entries = fields
                    .required(1, "a list")?
                    .as_array()
                    .ok_or_else(|| fields.value_error(1, "a list"))?;
                self.tables
                    .insert(fields.int(0)?, entries.iter().map(table_entry).collect::<Result<_, _>>()?);
                return Ok(());
            }
            "NewInstance" => return self.start(now, &fields, order, queues),
            "Teardown" => {
                let name = fields.text(0)?;
                self.instances.remove(name);
                queues.remove(name);
                order.retain(|other| other != name);
                return Ok(());
            }
            "Announce" | "Inbound" | "Outcome" | "Left" | "Elapsed" | "Pong" | "Datagram"
            | "HeadReceived" => {}
            _ => return Ok(()),
        }
        let name = fields.text(0)?;
        let Some(instance) = self.instances.get_mut(name) else {
            return Ok(());
        };
        if let Some(event) = decode_event(now, &fields, instance, &self.tables)? {
            if !queues.contains_key(name) {
                order.push(name.to_string());
            }
            queues.entry(name.to_string()).or_default().push(event);
        }
        Ok(())
    }

    fn start(
        &mut self,
        now: Micros,
        fields: &Fields<'_>,
        order: &mut Vec<String>,
        queues: &mut BTreeMap<String, Vec<Event>>,
    ) -> Result<(), String> {
        let name = fields.text(0)?;
        let seed = fields.required(1, "a whole number")?;
        let seed = seed.as_u64().or_else(|| seed.as_i64().map(|signed| signed as u64));
        let seed = seed.ok_or_else(|| fields.value_error(1, "a whole number"))?;
        let data = settings::ProfileData::deserialize(fields.required(2, "the settings")?)
            .map_err(|error| format!("NewInstance {name}: settings: {error}"))?;
        let settings = data.settings();
        let classes = settings.classes.clone();
        let dispatcher =
            Dispatcher::new(now, seed, settings).map_err(|error| format!("NewInstance {name}: {error}"))?;
        let instance = Instance { dispatcher, classes, numbers: BTreeMap::new(), names: Vec::new() };
        self.instances.insert(name.to_string(), instance);
        order.retain(|other| other != name);
        order.push(name.to_string());
        queues.insert(name.to_string(), Vec::new());
        Ok(())
    }
}

/// Decodes a protocol message into an event for an instance; returns `None` if the message causes no event.
/// Returns the earliest time at which a message that comes from a sender that died may have taken effect.
fn possible_run_at_lost_sender(
    now: Micros,
    fields: &Fields<'_>,
    instance: &Instance,
) -> Result<Option<Micros>, String> {
    let is_from_lost_sender = fields.int_or(8, 0)? & MARK_SENDER_LOST != 0;
    let class = instance.classes.get(fields.index_or(2, 0)?).filter(|_| is_from_lost_sender);
    let time_left = fields.int(5)?;
    Ok(class.and_then(|class| class.possible_run_at_lost_sender(now, time_left)))
}

fn decode_event(
    now: Micros,
    fields: &Fields<'_>,
    instance: &mut Instance,
    tables: &BTreeMap<i64, Vec<TableEntry>>,
) -> Result<Option<Event>, String> {
    Ok(Some(match fields.name {
        "Announce" => {
            let complete = match fields.text(1)? {
                "Partial" => false,
                "Complete" | "Persisted" => true,
                "Error" => return Ok(None),
                _ => return Err(fields.value_error(1, "'Partial', 'Complete', 'Persisted' or 'Error'")),
            };
            let number = fields.int(3)?;
            let entries = tables
                .get(&number)
                .ok_or_else(|| format!("Announce: no Table {number} has been received"))?;
            let numbered = |listed: &TableEntry| EndpointEntry {
                endpoint: instance.intern(&listed.name),
                ..listed.entry.clone()
            };
            Event::Listing { complete, entries: entries.iter().map(numbered).collect() }
        }
        "Inbound" => Event::Message {
            id: fields.msg(1)?,
            class: fields.index_or(2, 0)?,
            tenant: fields.index_or(3, 0)?,
            key: if fields.optional(4).is_some() { Some(fields.text(4)?.to_string()) } else { None },
            dest: DestId(fields.int_or(7, 0)?),
            time_left: fields.int(5)?,
            resubmitted: fields.int_or(8, 0)? & 2 != 0,
            may_have_run_since: possible_run_at_lost_sender(now, fields, instance)?,
        },
        "Outcome" => {
            let outcome = fields.outcome(2)?;
            let wait_ms = fields.int_or(6, 0)?;
            Event::Outcome {
                id: fields.msg(1)?,
                attempt: fields.index_or(4, 0)? as u32,
                endpoint: instance.intern(fields.text(7)?),
                outcome,
                closes_message: fields.flag(3)?,
                elapsed: fields.int_or(5, 0)?,
                wait: if outcome == Outcome::Busy { wait_ms.saturating_mul(1000) } else { 0 },
                report: fields.report(8)?,
            }
        }
        "Left" => Event::MessageAbandoned { id: fields.msg(1)? },
        "Elapsed" => {
            let token = u64::try_from(fields.int(1)?).map_err(|_| fields.value_error(1, "a token"))?;
            Event::Timer { token }
        }
        "Pong" => Event::Probed {
            endpoint: instance.intern(fields.text(1)?),
            outcome: fields.outcome(2)?,
            report: fields.report(4)?,
        },
        "Datagram" => {
            Event::PeerNote { from: fields.index_or(1, 0)? as u32, text: fields.text(2)?.to_string() }
        }
        _ => return Ok(None),
    }))
}

/// Encodes an action of the named sender as a protocol message.
fn encode_action(sender: &str, names: &[String], action: &Action) -> Value {
    let hex = |id: &MsgId| format!("{:016x}", id.0);
    let name = |endpoint: &EndpointId| names.get(endpoint.0 as usize).map_or("", String::as_str);
    match action {
        Action::Send { id, endpoint, timeout, .. } => {
            json!(["Issue", sender, hex(id), name(endpoint), timeout])
        }
        Action::Cancel { id, attempt } => json!(["AbortAttempt", sender, hex(id), attempt]),
        Action::Refuse { id, retry_after } => json!(["Shed", sender, hex(id), retry_after]),
        Action::Fail { id } => json!(["Abort", sender, hex(id)]),
        Action::Timer { at, token } => json!(["After", sender, at, token]),
        Action::Probe { endpoint } => json!(["HealthCheck", sender, name(endpoint)]),
        Action::CloseIdle { endpoint } => json!(["LetGo", sender, name(endpoint)]),
        Action::Broadcast { text } => json!(["BroadcastTo", sender, null, text]),
    }
}
