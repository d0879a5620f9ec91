//! Checks whether a configuration that is reloaded while the sender runs may be applied; it is applied as a whole.

use serde_json::{Map, Value};
use std::fmt;

/// An error in a reloaded configuration, with the path of the field.
#[derive(Debug, PartialEq, Eq)]
pub struct ReloadError {
    path: String,
    message: String,
}

impl fmt::Display for ReloadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

impl std::error::Error for ReloadError {}

fn reload_error(path: &str, message: impl Into<String>) -> ReloadError {
    ReloadError { path: path.trim_start_matches('.').to_string(), message: message.into() }
}

/// Checks a new configuration against the running configuration.
/// Each key of the running configuration must be present in the new one: a missing key would silently mean a default.
///
/// # Errors
/// Returns the first error found in the new configuration.
pub fn check(running: &Value, new: &Value) -> Result<(), ReloadError> {
    check_same_shape("", running, new)?;
    let settings = new.get("settings").unwrap_or(&Value::Null);
    let attempts = settings.get("Limits").and_then(|l| l.get("MaxAttempts"));
    if let Some(attempts) = attempts {
        check_positive("settings.Limits.MaxAttempts", attempts)?;
    }
    let profiles = settings.get("Profiles").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    if profiles.is_empty() {
        return Err(reload_error("settings.Profiles", "has no class; give at least one"));
    }
    let mut names: Vec<&str> = Vec::new();
    for (n, profile) in profiles.iter().enumerate() {
        let path = format!("settings.Profiles[{n}]");
        let name = profile.get("Name").and_then(Value::as_str).unwrap_or_default();
        if name.is_empty() {
            return Err(reload_error(
                &format!("{path}.Name"),
                "is missing or empty; each class needs a name",
            ));
        }
        if names.contains(&name) {
            return Err(reload_error(&format!("{path}.Name"), format!("'{name}' is used by two classes")));
        }
        names.push(name);
        let deadline = profile.get("HardLimitUs").unwrap_or(&Value::Null);
        check_positive(&format!("{path}.HardLimitUs"), deadline)?;
        let effect = profile.get("Effect").and_then(Value::as_str);
        if let Some(effect) = effect.filter(|e| !["free", "guarded", "single_shot"].contains(e)) {
            return Err(reload_error(
                &format!("{path}.Effect"),
                format!("is '{effect}', expected free, guarded or single_shot"),
            ));
        }
        if effect == Some("guarded") {
            check_positive(&format!("{path}.WindowUs"), profile.get("WindowUs").unwrap_or(&Value::Null))?;
        }
    }
    Ok(())
}

fn check_positive(path: &str, value: &Value) -> Result<(), ReloadError> {
    match value.as_i64() {
        Some(1..) => Ok(()),
        _ => Err(reload_error(path, format!("is {value}, expected a positive whole number"))),
    }
}

/// Checks that each key of `running` is present in `new`, with a value of the same JSON type.
fn check_same_shape(path: &str, running: &Value, new: &Value) -> Result<(), ReloadError> {
    match (running, new) {
        (Value::Object(running), Value::Object(new)) => check_fields(path, running, new),
        (Value::Array(running), Value::Array(new)) => {
            // A list in the configuration may have more or fewer entries after a reload.
            // Keys that all entries of a list in the running configuration have must be in each entry of the new list.
            let Some(Value::Object(first)) = running.first() else { return Ok(()) };
            let mut common = first.clone();
            common.retain(|key, _| running.iter().all(|entry| entry.get(key).is_some()));
            for (n, entry) in new.iter().enumerate() {
                let path = format!("{path}[{n}]");
                let entry = entry.as_object().ok_or_else(|| reload_error(&path, "is not an object"))?;
                check_fields(&path, &common, entry)?;
            }
            Ok(())
        }
        (Value::Null, _) => Ok(()),
        _ if json_type(running) == json_type(new) => Ok(()),
        _ => Err(reload_error(path, format!("is {}, expected {}", json_type(new), json_type(running)))),
    }
}

fn check_fields(
    path: &str,
    running: &Map<String, Value>,
    new: &Map<String, Value>,
) -> Result<(), ReloadError> {
    for (key, running_value) in running {
        let path = format!("{path}.{key}");
        let new_value = new
            .get(key)
            .ok_or_else(|| reload_error(&path, "is missing, but the running configuration has it"))?;
        check_same_shape(&path, running_value, new_value)?;
    }
    Ok(())
}

fn json_type(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
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
    fn classes_and_the_number_of_attempts_may_change() {
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
    fn each_error_names_its_path() {
        type Change = fn(&mut Value);
        let changes: [(Change, &str); 14] = [
            (|c| *c = json!(null), "is null, expected an object"),
            (|c| *c = json!({}), "discovery: is missing"),
            (|c| _ = c.as_object_mut().unwrap().remove("known"), "known: is missing"),
            (|c| c["discovery"] = json!(5), "discovery: is a number, expected a string"),
            (
                |c| _ = c["settings"]["Limits"].as_object_mut().unwrap().remove("MaxOpen"),
                "settings.Limits.MaxOpen: is",
            ),
            (
                |c| c["settings"]["Limits"]["MaxAttempts"] = json!(0),
                "settings.Limits.MaxAttempts: is 0, expected a positive",
            ),
            (
                |c| c["settings"]["Limits"]["MaxAttempts"] = json!(1.5),
                "settings.Limits.MaxAttempts: is 1.5, expected",
            ),
            (|c| c["settings"]["Profiles"] = json!([]), "settings.Profiles: has no class"),
            (
                |c| c["settings"]["Profiles"][0]["HardLimitUs"] = json!(-5),
                "settings.Profiles[0].HardLimitUs: is -5, expected",
            ),
            (
                |c| _ = c["settings"]["Profiles"][1].as_object_mut().unwrap().remove("Effect"),
                "settings.Profiles[1].Effect: is missing",
            ),
            (
                |c| _ = c["settings"]["Profiles"][1].as_object_mut().unwrap().remove("WindowUs"),
                "settings.Profiles[1].WindowUs: is null, expected",
            ),
            (
                |c| c["settings"]["Profiles"][1]["Name"] = json!("a"),
                "settings.Profiles[1].Name: 'a' is used by two",
            ),
            (
                |c| c["settings"]["Profiles"][1]["Name"] = json!(""),
                "settings.Profiles[1].Name: is missing or empty",
            ),
            (
                |c| c["settings"]["Profiles"][1]["Effect"] = json!("maybe"),
                "settings.Profiles[1].Effect: is 'maybe'",
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
