//! System calls on sockets that a signal interrupts.
//! Guards against requests that are read and closed without an answer, and against messages that fail unharmed.

mod common;
#[path = "common/shim.rs"]
mod shim;

use common::*;

#[test]
fn an_interrupted_system_call_closes_no_connection() {
    let endpoint = Endpoint::new(|_| status(200));
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let mut sender = Sender::start(&platform);
    sender.kill();
    let library = shim::build("interrupted_calls", sender.folder.path());
    sender.environment = vec![("LD_PRELOAD".into(), library.display().to_string())];
    for every in [2, 7, 31] {
        sender.environment.truncate(1);
        sender.environment.push(("INTERRUPT_EVERY".into(), every.to_string()));
        sender.spawn();
        // The client fails where its connection ends without an answer.
        let mut client = sender.client();
        for n in 0..60 {
            let id = format!("a{every}-{n}");
            assert_eq!(client.put(&id, "c=pay,d=15000,dest=3"), "+OK");
            endpoint.wait_sent(&id);
        }
        assert!(platform.notices().is_empty(), "{:?}", platform.notices());
        sender.kill();
    }
}
