//! Steps of the machine's wall clock between two processes of a sender.
//! Guards against messages that are given up early, ended late or repeated beyond their window after such a step.

mod common;
#[path = "common/shim.rs"]
mod shim;

use common::*;
use std::time::{Duration, Instant};

/// Starts a killed sender again, with a wall clock that is stepped by so many seconds.
fn spawn_with_step(sender: &mut Sender, step_s: i64) {
    let library = shim::build("wall_clock", sender.folder.path());
    sender.environment = vec![
        ("LD_PRELOAD".into(), library.display().to_string()),
        ("WALL_CLOCK_STEP_S".into(), step_s.to_string()),
    ];
    sender.spawn();
}

fn sender_with(endpoint: &Endpoint) -> (Platform, Sender) {
    let platform =
        Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready"), placeholder(9)]);
    let sender = Sender::start(&platform);
    sender.client().ping();
    (platform, sender)
}

#[test]
fn a_wall_clock_stepped_forward_while_down_gives_no_message_up() {
    for step_s in [20, 3600] {
        let endpoint = Endpoint::new(|_| status(200));
        let (platform, mut sender) = sender_with(&endpoint);
        let ids: Vec<String> = (0..10).map(|n| format!("a{n}")).collect();
        // The destination has no endpoint that takes calls yet.
        let mut client = sender.client();
        for id in &ids {
            assert_eq!(client.put(id, "c=sync,d=12000,dest=9"), "+OK");
        }
        sender.kill();
        spawn_with_step(&mut sender, step_s);
        platform.publish(true, vec![listed_endpoint("s-9", endpoint.addr, "one", 9, "Ready")]);
        ids.iter().for_each(|id| endpoint.wait_sent(id));
        assert!(platform.notices().is_empty(), "step of {step_s} s: {:?}", platform.notices());
    }
}

#[test]
fn a_wall_clock_stepped_back_while_down_delays_no_notice() {
    for step_s in [-20, -3600] {
        let endpoint = Endpoint::new(|_| status(200));
        let (platform, mut sender) = sender_with(&endpoint);
        let begun = Instant::now();
        assert_eq!(sender.client().put("a1", "c=sync,d=3000,dest=9"), "+OK");
        sender.kill();
        spawn_with_step(&mut sender, step_s);
        wait_until("a notice for a1", || platform.notice_state("a1").is_some());
        // The time of the message, the notice's allowance, and two seconds for a busy machine.
        assert!(begun.elapsed() < Duration::from_millis(3_300 + 2_000), "took {:?}", begun.elapsed());
    }
}

#[test]
fn a_wall_clock_stepped_back_while_down_extends_no_window_for_repeats() {
    let endpoint = Endpoint::new(|_| StubResponse::Silence);
    let platform = Platform::new(vec![listed_endpoint("s-1", endpoint.addr, "one", 3, "Ready")]);
    let mut sender = Sender::with(&platform, |config| {
        let classes = config["settings"]["Profiles"].as_array_mut().unwrap();
        let push = classes.iter_mut().find(|class| class["Name"] == "push").unwrap();
        push["WindowUs"] = 1_000_000.into();
    });
    sender.client().ping();
    assert_eq!(sender.client().put("a1", "c=push,d=4000,dest=3,k=5c0f6e1a2b3d4c59"), "+OK");
    endpoint.wait_sent("a1");
    sender.kill();
    std::thread::sleep(Duration::from_millis(1_200));
    endpoint.set_script(|_| status(200));
    spawn_with_step(&mut sender, -3600);
    platform.wait_notice("a1", "failed");
    assert_eq!(endpoint.call_count("a1"), 1, "the window for repeats was over before the restart");
}
