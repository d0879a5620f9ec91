//! The adapter between heronroute and its JSON line protocol. It translates and keeps instances apart;
//! it decides nothing.
//!
//! Unknown event names, unknown settings and surplus values are disregarded, and so is an event for an
//! instance that is not running. Anything else that cannot be read is an error that names the place.

use embershore_protocol::settings;
use heronroute::{
    Action, DestId, Dispatcher, EndpointEntry, EndpointId, Event, LoadReport, Micros, MsgId, Outcome, Status,
};
use serde::Deserialize;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;

/// One sender's dispatcher with its own numbering of endpoints.
struct Instance {
    dispatcher: Dispatcher,
    numbers: BTreeMap<String, EndpointId>,
    names: Vec<String>,
}

impl Instance {
    fn intern(&mut self, name: &str) -> EndpointId {
        if let Some(n) = self.numbers.get(name) {
            return *n;
        }
        let n = EndpointId(self.names.len() as u32);
        self.names.push(name.to_string());
        self.numbers.insert(name.to_string(), n);
        n
    }
}

/// A directory line as read, before an instance gives the endpoint a number.
struct Row {
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

/// All instances of a process. They share nothing but the numbered lists of the wire.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<String, Instance>,
    tables: BTreeMap<i64, Vec<Row>>,
}

/// Reads the values of one message by position, naming the place when one does not fit.
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

    fn wrong(&self, i: usize, want: &str) -> String {
        match self.values.get(i) {
            Some(v) => format!("{}: value {} should be {want}, not {v}", self.name, i + 1),
            None => format!("{}: value {} ({want}) is missing", self.name, i + 1),
        }
    }

    fn opt(&self, i: usize) -> Option<&'a Value> {
        self.values.get(i).filter(|v| !v.is_null())
    }

    fn get(&self, i: usize, want: &str) -> Result<&'a Value, String> {
        self.opt(i).ok_or_else(|| self.wrong(i, want))
    }

    fn text(&self, i: usize) -> Result<&'a str, String> {
        self.get(i, "a string")?.as_str().ok_or_else(|| self.wrong(i, "a string"))
    }

    fn int(&self, i: usize) -> Result<i64, String> {
        whole(self.get(i, "a whole number")?).ok_or_else(|| self.wrong(i, "a whole number"))
    }

    fn int_or(&self, i: usize, other: i64) -> Result<i64, String> {
        if self.opt(i).is_none() { Ok(other) } else { self.int(i) }
    }

    fn index_or(&self, i: usize, other: i64) -> Result<usize, String> {
        usize::try_from(self.int_or(i, other)?).map_err(|_| self.wrong(i, "an index"))
    }

    fn flag(&self, i: usize) -> Result<bool, String> {
        match self.opt(i) {
            None => Ok(false),
            Some(v) => v.as_bool().ok_or_else(|| self.wrong(i, "true or false")),
        }
    }

    fn msg(&self, i: usize) -> Result<MsgId, String> {
        let text = self.text(i)?;
        let plain = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let number = if plain { u64::from_str_radix(text, 16).ok() } else { None };
        number.map(MsgId).ok_or_else(|| self.wrong(i, "16 hex digits"))
    }

    fn outcome(&self, i: usize) -> Result<Outcome, String> {
        Ok(match self.text(i)? {
            "done" => Outcome::Done,
            "err" => Outcome::Error,
            "busy" => Outcome::Busy,
            "etimedout" => Outcome::TimedOut,
            "econnrefused" => Outcome::ConnectFailed,
            "econnreset" => Outcome::Reset,
            "ecanceled" => Outcome::Cancelled,
            "skipped" => Outcome::Skipped,
            _ => return Err(self.wrong(i, "a known outcome")),
        })
    }

    fn report(&self, i: usize) -> Result<Option<LoadReport>, String> {
        let Some(v) = self.opt(i) else { return Ok(None) };
        let pairs: &Map<String, Value> = v.as_object().ok_or_else(|| self.wrong(i, "a load report"))?;
        let figure = |name: &str| pairs.get(name).and_then(Value::as_f64);
        Ok(Some(LoadReport { remaining: figure("x0"), limit: figure("x1") }))
    }
}

/// A whole number, also one written with a fraction of nought.
fn whole(v: &Value) -> Option<i64> {
    v.as_i64().or_else(|| {
        let f = v.as_f64()?;
        (f.fract() == 0.0 && f.abs() < 9e15).then_some(f as i64)
    })
}

fn row(v: &Value) -> Result<Row, String> {
    let values = v.as_array().ok_or("Table: an entry is not an array")?;
    let f = Fields { name: "Table entry", values };
    let status = match f.text(0)? {
        "up" => Status::Up,
        "draining" => Status::Draining,
        "removed" => Status::Removed,
        _ => return Err(f.wrong(0, "a known status")),
    };
    let weight = match f.opt(2) {
        None => None,
        Some(w) => Some(w.as_f64().ok_or_else(|| f.wrong(2, "a number"))?),
    };
    let entry = EndpointEntry {
        endpoint: EndpointId(0),
        dest: DestId(f.int_or(6, 0)?),
        status,
        kind: f.index_or(1, 0)?,
        zone: f.index_or(4, 0)?,
        weight,
    };
    Ok(Row { name: f.text(5)?.to_string(), entry })
}

impl Host {
    /// Takes one batch line and gives the reply line.
    ///
    /// # Errors
    /// Says what could not be read and where.
    pub fn batch(&mut self, line: &str) -> Result<String, String> {
        let batch: Batch = serde_json::from_str(line).map_err(|e| format!("bad batch: {e}"))?;
        let mut order: Vec<String> = Vec::new();
        let mut queues: BTreeMap<String, Vec<Event>> = BTreeMap::new();
        for (n, value) in batch.msgs.iter().enumerate() {
            self.absorb(batch.now, value, &mut order, &mut queues)
                .map_err(|e| format!("message {}: {e}", n + 1))?;
        }
        let mut output: Vec<Value> = Vec::new();
        let mut actions = Vec::new();
        for name in order {
            let (Some(inst), Some(events)) = (self.instances.get_mut(&name), queues.remove(&name)) else {
                continue;
            };
            actions.clear();
            inst.dispatcher.round(batch.now, &events, &mut actions);
            output.extend(actions.iter().map(|a| speak(&name, &inst.names, a)));
        }
        Ok(json!({"seq": batch.seq, "output": output}).to_string())
    }

    fn absorb(
        &mut self,
        now: Micros,
        value: &Value,
        order: &mut Vec<String>,
        queues: &mut BTreeMap<String, Vec<Event>>,
    ) -> Result<(), String> {
        let f = Fields::new(value)?;
        match f.name {
            "Table" => {
                let rows = f.get(1, "a list")?.as_array().ok_or_else(|| f.wrong(1, "a list"))?;
                self.tables.insert(f.int(0)?, rows.iter().map(row).collect::<Result<_, _>>()?);
                return Ok(());
            }
            "NewInstance" => return self.start(now, &f, order, queues),
            "Teardown" => {
                let name = f.text(0)?;
                self.instances.remove(name);
                queues.remove(name);
                order.retain(|n| n != name);
                return Ok(());
            }
            "Announce" | "Inbound" | "Outcome" | "Left" | "Elapsed" | "Pong" | "Datagram"
            | "HeadReceived" => {}
            _ => return Ok(()),
        }
        let name = f.text(0)?;
        let Some(inst) = self.instances.get_mut(name) else {
            return Ok(());
        };
        if let Some(event) = hear(&f, inst, &self.tables)? {
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
        f: &Fields<'_>,
        order: &mut Vec<String>,
        queues: &mut BTreeMap<String, Vec<Event>>,
    ) -> Result<(), String> {
        let name = f.text(0)?;
        let seed = f.get(1, "a whole number")?;
        let seed = seed.as_u64().or_else(|| seed.as_i64().map(|s| s as u64));
        let seed = seed.ok_or_else(|| f.wrong(1, "a whole number"))?;
        let data = settings::ProfileData::deserialize(f.get(2, "the settings")?)
            .map_err(|e| format!("NewInstance {name}: settings: {e}"))?;
        let dispatcher =
            Dispatcher::new(now, seed, data.settings()).map_err(|e| format!("NewInstance {name}: {e}"))?;
        let instance = Instance { dispatcher, numbers: BTreeMap::new(), names: Vec::new() };
        self.instances.insert(name.to_string(), instance);
        order.retain(|n| n != name);
        order.push(name.to_string());
        queues.insert(name.to_string(), Vec::new());
        Ok(())
    }
}

/// Puts one message of the wire into the library's words.
fn hear(
    f: &Fields<'_>,
    inst: &mut Instance,
    tables: &BTreeMap<i64, Vec<Row>>,
) -> Result<Option<Event>, String> {
    Ok(Some(match f.name {
        "Announce" => {
            let whole = match f.text(1)? {
                "Partial" => false,
                "Complete" | "Persisted" => true,
                "Error" => return Ok(None),
                _ => return Err(f.wrong(1, "a known kind of list")),
            };
            let number = f.int(3)?;
            let rows = tables.get(&number).ok_or_else(|| format!("Announce: no Table {number}"))?;
            let number_rows = |r: &Row| EndpointEntry { endpoint: inst.intern(&r.name), ..r.entry.clone() };
            Event::Listing { complete: whole, entries: rows.iter().map(number_rows).collect() }
        }
        "Inbound" => Event::Message {
            id: f.msg(1)?,
            class: f.index_or(2, 0)?,
            tenant: f.index_or(3, 0)?,
            key: if f.opt(4).is_some() { Some(f.text(4)?.to_string()) } else { None },
            dest: DestId(f.int_or(7, 0)?),
            time_left: f.int(5)?,
            resubmitted: f.int_or(8, 0)? & 2 != 0,
        },
        "Outcome" => {
            let outcome = f.outcome(2)?;
            let hold = f.int_or(6, 0)?;
            Event::Outcome {
                id: f.msg(1)?,
                attempt: f.index_or(4, 0)? as u32,
                endpoint: inst.intern(f.text(7)?),
                outcome,
                closes_message: f.flag(3)?,
                elapsed: f.int_or(5, 0)?,
                wait: if outcome == Outcome::Busy { hold.saturating_mul(1000) } else { 0 },
                report: f.report(8)?,
            }
        }
        "Left" => Event::MessageAbandoned { id: f.msg(1)? },
        "Elapsed" => {
            let token = u64::try_from(f.int(1)?).map_err(|_| f.wrong(1, "a token"))?;
            Event::Timer { token }
        }
        "Pong" => {
            Event::Probed { endpoint: inst.intern(f.text(1)?), outcome: f.outcome(2)?, report: f.report(4)? }
        }
        "Datagram" => Event::PeerNote { from: f.index_or(1, 0)? as u32, text: f.text(2)?.to_string() },
        _ => return Ok(None),
    }))
}

/// Puts one action into the wire's words.
fn speak(sender: &str, names: &[String], action: &Action) -> Value {
    let hex = |id: &MsgId| format!("{:016x}", id.0);
    let name = |e: &EndpointId| names.get(e.0 as usize).map_or("", String::as_str);
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
