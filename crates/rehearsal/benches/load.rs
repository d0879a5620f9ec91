//! Measures the load that the rig can sustain, with receivers without latency.
//! The sender is a stub that delivers each message without delay.
//!
//! Increases the message rate until the 99th percentile of the clients' delay behind the load plan exceeds 5 ms.
//! The rate and the time are bounded, and the benchmark uses loopback only. Run the benchmark with:
//! `cargo bench -p embershore-rehearsal --bench load`

#[path = "../tests/common/stub.rs"]
mod stub;

use embershore_rehearsal::report::report;
use embershore_rehearsal::rig::{self, Options, Subject};
use embershore_rehearsal::scenario::Scenario;
use std::path::Path;
use stub::Fault;

/// Time in seconds for which the benchmark measures each message rate.
const STEP_SECONDS: u32 = 4;
const RATES: [u32; 5] = [500, 2000, 4000, 8000, 12_000];
/// Maximum 99th percentile of the clients' delay behind the load plan, in microseconds.
/// At a higher delay, a message rate does not count as sustained.
const MAX_LAG_US: i64 = 5_000;

fn memory_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or_default().to_string();
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn scenario(endpoints: usize, rate: u32) -> Scenario {
    let text = format!(
        "name = \"load\"\nlength = \"{STEP_SECONDS}s\"\n\
         [network]\nsame = \"0s\"\ncross = \"0s\"\n\
         [[class]]\nname = \"sync\"\nshare = 1\neffect = \"safe\"\naim = \"2s\"\ndeadline = \"4s\"\n\
         [[kind]]\nname = \"hook\"\n\
         [[receiver]]\nnumber = 1\ncount = {}\nkind = \"hook\"\nendpoints = 4\ncapacity = 100000\n\
         latency = {{ median = \"1us\", p99 = \"1us\" }}\nqueue = 1000\n\
         [[sender]]\nname = \"n0\"\n[[traffic]]\nshape = \"steady\"\nrate = {rate}\n",
        endpoints / 4
    );
    Scenario::parse("load", &text, Path::new(".")).unwrap()
}

/// Measures one message rate in this process; returns whether the rate was sustained.
fn step(fault: Fault, endpoints: usize, rate: u32) -> bool {
    let folder = tempfile::tempdir().unwrap();
    let addr = stub::start(fault, folder.path().join("n0/config.json"));
    let (subject, path, control) = (Subject::External(vec![addr]), folder.path().to_path_buf(), None);
    let options = Options { subject, folder: path, control, serve_only: false, stall: None };
    let history = rig::run(scenario(endpoints, rate), &options, |_| {}).unwrap();
    let memory = memory_kb() as f64 / 1024.0;
    let (report, _) = report(&history).unwrap();
    let (l, s) = (report.judgement.lateness, &report.judgement.service.whole);
    let done = (s.in_time + s.late) as f64 / s.messages.max(1) as f64 * 100.0;
    println!(
        "{endpoints:>9} {rate:>9} {done:>8.1}% {:>10.2} {:>10.2} {:>10.2} {memory:>10.1}",
        l.p50_us as f64 / 1e3,
        l.p99_us as f64 / 1e3,
        l.stall_us as f64 / 1e3
    );
    l.p99_us <= MAX_LAG_US
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let Some(at) = arguments.iter().position(|a| a == "--step") {
        let number = |n: usize| arguments.get(at + n).and_then(|a| a.parse::<u32>().ok()).unwrap();
        let fault = if number(1) == 0 { Fault::SendsNothing } else { Fault::None };
        std::process::exit(i32::from(!step(fault, number(2) as usize, number(3))));
    }
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    println!(
        "{cores} cores; {STEP_SECONDS} s a step, each in a process of its own, with the stub sender on a second thread"
    );
    println!(
        "{:>9} {:>9} {:>9} {:>10} {:>10} {:>10} {:>10}",
        "endpoints", "rate/s", "delivered", "lag p50 ms", "lag p99 ms", "stall ms", "memory MB"
    );
    // Each message rate is measured in a separate process, so that memory of earlier measurements does not count.
    for (fault, what) in [("0", "takes on, sends nothing"), ("1", "delivers all")] {
        println!("stub sender: {what}");
        for endpoints in ["200", "2000"] {
            for rate in RATES {
                let mut child = std::process::Command::new(&arguments[0]);
                let held = child.args(["--step", fault, endpoints, &rate.to_string()]).status().unwrap();
                if !held.success() {
                    break;
                }
            }
        }
    }
}
