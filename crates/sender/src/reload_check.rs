//! Whether a configuration that is read while the sender runs may be taken over, as a whole.

use serde_json::{Map, Value};
use std::fmt;

/// What is wrong in a configuration, and where.
#[derive(Debug, PartialEq, Eq)]
pub struct Flaw {
    place: String,
    what: String,
}

impl fmt::Display for Flaw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.what)
    }
}

impl std::error::Error for Flaw {}

fn flaw(place: &str, what: impl Into<String>) -> Flaw {
    Flaw { place: place.trim_start_matches('.').to_string(), what: what.into() }
}

/// Checks a new configuration against the one that the sender runs by. What that one says the new one has to say as well:
/// a key that is missing would stand for a default that nobody meant.
///
/// # Errors
/// Names the first thing that is wrong.
pub fn check(running: &Value, new: &Value) -> Result<(), Flaw> {
    alike("", running, new)?;
    let settings = new.get("settings").unwrap_or(&Value::Null);
    let attempts = settings.get("Limits").and_then(|l| l.get("MaxAttempts"));
    if let Some(attempts) = attempts {
        positive("settings.Limits.MaxAttempts", attempts)?;
    }
    let profiles = settings.get("Profiles").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    if profiles.is_empty() {
        return Err(flaw("settings.Profiles", "there is no class"));
    }
    let mut names: Vec<&str> = Vec::new();
    for (n, profile) in profiles.iter().enumerate() {
        let place = format!("settings.Profiles[{n}]");
        let name = profile.get("Name").and_then(Value::as_str).unwrap_or_default();
        if name.is_empty() {
            return Err(flaw(&format!("{place}.Name"), "a class needs a name"));
        }
        if names.contains(&name) {
            return Err(flaw(&format!("{place}.Name"), format!("'{name}' stands there twice")));
        }
        names.push(name);
        let deadline = profile.get("HardLimitUs").unwrap_or(&Value::Null);
        positive(&format!("{place}.HardLimitUs"), deadline)?;
        let effect = profile.get("Effect").and_then(Value::as_str);
        if let Some(effect) = effect.filter(|e| !["free", "guarded", "single_shot"].contains(e)) {
            return Err(flaw(
                &format!("{place}.Effect"),
                format!("'{effect}' is none of free, guarded, single_shot"),
            ));
        }
        if effect == Some("guarded") {
            positive(&format!("{place}.WindowUs"), profile.get("WindowUs").unwrap_or(&Value::Null))?;
        }
    }
    Ok(())
}

fn positive(place: &str, value: &Value) -> Result<(), Flaw> {
    match value.as_i64() {
        Some(1..) => Ok(()),
        _ => Err(flaw(place, format!("{value} is no positive whole number"))),
    }
}

/// What `running` has, `new` has, of the same kind.
fn alike(place: &str, running: &Value, new: &Value) -> Result<(), Flaw> {
    match (running, new) {
        (Value::Object(running), Value::Object(new)) => fields(place, running, new),
        (Value::Array(running), Value::Array(new)) => {
            // Lists may grow and shrink. What all the running one's entries have, each of the new one's has.
            let Some(Value::Object(first)) = running.first() else { return Ok(()) };
            let mut common = first.clone();
            common.retain(|key, _| running.iter().all(|entry| entry.get(key).is_some()));
            for (n, entry) in new.iter().enumerate() {
                let place = format!("{place}[{n}]");
                let entry = entry.as_object().ok_or_else(|| flaw(&place, "should be an object"))?;
                fields(&place, &common, entry)?;
            }
            Ok(())
        }
        (Value::Null, _) => Ok(()),
        _ if kind(running) == kind(new) => Ok(()),
        _ => Err(flaw(place, format!("should be {}, and is {}", kind(running), kind(new)))),
    }
}

fn fields(place: &str, running: &Map<String, Value>, new: &Map<String, Value>) -> Result<(), Flaw> {
    for (key, was) in running {
        let place = format!("{place}.{key}");
        let is = new.get(key).ok_or_else(|| flaw(&place, "is missing; the running configuration has it"))?;
        alike(&place, was, is)?;
    }
    Ok(())
}

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn config() -> Value {
        json!({
            "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2",
            "known": {"index": 3, "endpoints": [{"name": "s-1", "weight": 2.0}]},
            "settings": {
                "Limits": {"MaxAttempts": 6, "MaxOpen": 40},
                "Profiles": [
                    {"Name": "a", "Effect": "free", "HardLimitUs": 5_000_000},
                    {"Name": "b", "Effect": "guarded", "HardLimitUs": 5_000_000, "WindowUs": 2_000_000},
                ],
            },
        })
    }

    #[test]
    fn classes_come_and_go_and_attempts_get_fewer() {
        let mut new = config();
        assert_eq!(check(&config(), &new), Ok(()));
        new["settings"]["Limits"]["MaxAttempts"] = json!(2);
        new["settings"]["Profiles"][0] = json!({"Name": "c", "Effect": "single_shot", "HardLimitUs": 1});
        new["settings"]["Profiles"].as_array_mut().unwrap().pop();
        new["known"]["endpoints"] = json!([]);
        new["more"] = json!(true);
        assert_eq!(check(&config(), &new), Ok(()));
    }

    #[test]
    fn each_flaw_is_named_with_its_place() {
        type Change = fn(&mut Value);
        let changes: [(Change, &str); 14] = [
            (|c| *c = json!(null), "should be an object"),
            (|c| *c = json!({}), "discovery: is missing"),
            (|c| _ = c.as_object_mut().unwrap().remove("known"), "known: is missing"),
            (|c| c["discovery"] = json!(5), "discovery: should be text"),
            (
                |c| _ = c["settings"]["Limits"].as_object_mut().unwrap().remove("MaxOpen"),
                "settings.Limits.MaxOpen: is",
            ),
            (
                |c| c["settings"]["Limits"]["MaxAttempts"] = json!(0),
                "settings.Limits.MaxAttempts: 0 is no positive",
            ),
            (
                |c| c["settings"]["Limits"]["MaxAttempts"] = json!(1.5),
                "settings.Limits.MaxAttempts: 1.5 is no",
            ),
            (|c| c["settings"]["Profiles"] = json!([]), "settings.Profiles: there is no class"),
            (
                |c| c["settings"]["Profiles"][0]["HardLimitUs"] = json!(-5),
                "settings.Profiles[0].HardLimitUs: -5 is no",
            ),
            (
                |c| _ = c["settings"]["Profiles"][1].as_object_mut().unwrap().remove("Effect"),
                "settings.Profiles[1].Effect: is missing",
            ),
            (
                |c| _ = c["settings"]["Profiles"][1].as_object_mut().unwrap().remove("WindowUs"),
                "settings.Profiles[1].WindowUs: null is no",
            ),
            (
                |c| c["settings"]["Profiles"][1]["Name"] = json!("a"),
                "settings.Profiles[1].Name: 'a' stands there twice",
            ),
            (
                |c| c["settings"]["Profiles"][1]["Name"] = json!(""),
                "settings.Profiles[1].Name: a class needs",
            ),
            (
                |c| c["settings"]["Profiles"][1]["Effect"] = json!("maybe"),
                "settings.Profiles[1].Effect: 'maybe'",
            ),
        ];
        for (change, expected) in changes {
            let mut new = config();
            change(&mut new);
            let found = check(&config(), &new).expect_err(expected).to_string();
            assert!(found.contains(expected), "{found}, expected {expected}");
        }
    }
}
