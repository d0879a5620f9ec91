//! Invalid member lists for tests in which a sender must refuse the list.

use serde_json::{Value, json};

/// Returns member lists that a sender must refuse while `list` is in force, each with the reason.
pub fn invalid_lists(list: &Value) -> Vec<(&'static str, Value)> {
    let altered = |change: &dyn Fn(&mut Value)| {
        let mut altered = list.clone();
        change(&mut altered);
        altered
    };
    vec![
        ("older epoch", altered(&|l| l["epoch"] = 1.into())),
        ("different under the same epoch", altered(&|l| l["seats"][0]["member"] = Value::Null)),
        (
            "a name twice",
            altered(&|l| {
                l["epoch"] = 9.into();
                l["seats"][1]["member"]["name"] = l["seats"][0]["member"]["name"].clone();
            }),
        ),
        (
            "no zone",
            altered(&|l| {
                l["epoch"] = 9.into();
                l["seats"][1]["zone"] = "".into();
            }),
        ),
        (
            "weight 0",
            altered(&|l| {
                l["epoch"] = 9.into();
                l["seats"][1]["weight"] = 0.0.into();
            }),
        ),
        (
            "unknown scheme",
            altered(&|l| {
                l["epoch"] = 9.into();
                l["scheme"] = 77.into();
            }),
        ),
        (
            "fewer members than replicas",
            altered(&|l| {
                l["epoch"] = 9.into();
                l["seats"].as_array_mut().unwrap().truncate(1);
            }),
        ),
        ("no list", json!({"epoch": "nine"})),
    ]
}
