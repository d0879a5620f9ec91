//! Member lists that a sender must refuse.

use serde_json::{Value, json};

/// Lists that a sender must refuse, each by itself, where the list in force has this form.
pub fn wrong_lists(list: &Value) -> Vec<(&'static str, Value)> {
    let wrong = |change: &dyn Fn(&mut Value)| {
        let mut wrong = list.clone();
        change(&mut wrong);
        wrong
    };
    vec![
        ("older epoch", wrong(&|l| l["epoch"] = 1.into())),
        ("different under the same epoch", wrong(&|l| l["seats"][0]["member"] = Value::Null)),
        (
            "a name twice",
            wrong(&|l| {
                l["epoch"] = 9.into();
                l["seats"][1]["member"]["name"] = l["seats"][0]["member"]["name"].clone();
            }),
        ),
        (
            "no zone",
            wrong(&|l| {
                l["epoch"] = 9.into();
                l["seats"][1]["zone"] = "".into();
            }),
        ),
        (
            "weight 0",
            wrong(&|l| {
                l["epoch"] = 9.into();
                l["seats"][1]["weight"] = 0.0.into();
            }),
        ),
        (
            "unknown scheme",
            wrong(&|l| {
                l["epoch"] = 9.into();
                l["scheme"] = 77.into();
            }),
        ),
        (
            "fewer members than replicas",
            wrong(&|l| {
                l["epoch"] = 9.into();
                l["seats"].as_array_mut().unwrap().truncate(1);
            }),
        ),
        ("no list", json!({"epoch": "nine"})),
    ]
}
