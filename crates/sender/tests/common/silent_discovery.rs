//! A discovery that can be silenced, and a platform that goes on to take notices.

use super::{Platform, ScriptedPlatform, Sender, begin_chunked, write_answer, write_chunk};
use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A discovery that can be silenced, and a platform that goes on to take notices.
pub struct SilentDiscovery {
    pub platform: ScriptedPlatform,
    silent: Arc<AtomicBool>,
    /// The ids of the notices received, each with its time.
    notices: Arc<Mutex<Vec<(String, Instant)>>>,
}

impl SilentDiscovery {
    pub fn new(endpoints: Vec<Value>) -> Self {
        let list = json!({"index": 7, "snapshot": true, "endpoints": endpoints}).to_string();
        let (silent, notices): (Arc<AtomicBool>, Arc<Mutex<Vec<_>>>) = Default::default();
        let (is_silent, received) = (silent.clone(), notices.clone());
        let platform = ScriptedPlatform::new(move |request, _, stream| {
            if !request.line.contains("/v1/servers") {
                for line in std::str::from_utf8(&request.body).unwrap().lines() {
                    let notice: Value = serde_json::from_str(line).unwrap();
                    let id = notice["id"].as_str().unwrap().to_string();
                    received.lock().unwrap().push((id, Instant::now()));
                }
                write_answer(stream, 204, "");
            } else if is_silent.load(Ordering::SeqCst) {
                // The request gets no answer.
            } else if request.line.contains("follow") {
                begin_chunked(stream);
                write_chunk(stream, &format!("{list}\n"));
            } else {
                write_answer(stream, 200, &list);
            }
        });
        SilentDiscovery { platform, silent, notices }
    }

    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Starts a sender without a list in its configuration, and waits until it is ready.
    pub fn sender(&self) -> Sender {
        let mut sender = Sender::with_mgmt(&Platform::new(Vec::new()));
        sender.kill();
        sender.change_config(|c| {
            c["discovery"] = self.platform.addr.to_string().into();
            c["known"] = Value::Null;
        });
        sender.spawn();
        sender.client().ping();
        sender
    }

    pub fn notice_time(&self, id: &str) -> Option<Instant> {
        self.notices.lock().unwrap().iter().find(|(other, _)| other == id).map(|(_, at)| *at)
    }
}
