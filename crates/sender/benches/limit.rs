//! Measures the message rate at which one daemon begins to lose service.
//! Also measures the resource that limits the rate: CPU, slots, memory or the journal's size.
//!
//! The receivers are fast and have no rate limit.
//! The message rate is raised until more than a tenth of the messages' value is lost (service share below 0.9).
//! Rate and duration are bounded, and all traffic stays on loopback.
//! Run the benchmark with `cargo bench -p embershore --bench limit`.

use embershore_rehearsal::report::report;
use embershore_rehearsal::rig::{self, Options, Progress, Subject};
use embershore_rehearsal::scenario::Scenario;
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;

/// Duration in seconds of the rehearsal at each message rate.
const RUN_SECONDS: u32 = 5;
/// Message rates that the benchmark tries in ascending order, in messages per second.
const RATES_PER_SECOND: [u32; 6] = [400, 800, 1600, 3200, 6400, 9600];

/// Returns the CPU seconds and the resident memory in MB of the daemon, which is a child process of this one.
fn daemon_usage() -> Option<(f64, f64)> {
    let own = std::process::id().to_string();
    let entries = std::fs::read_dir("/proc").ok()?.flatten();
    entries.into_iter().find_map(|entry| {
        let stat = std::fs::read_to_string(entry.path().join("stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        if fields.get(1) != Some(&own.as_str()) {
            return None;
        }
        let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let pages: f64 = fields.get(21)?.parse().ok()?;
        Some((ticks / 100.0, pages * 4096.0 / 1e6))
    })
}

/// Builds the scenario of one message rate: 40 destinations, one sender and steady traffic of two classes.
fn scenario(rate: u32, slots: u32, disk_mb: f64) -> Scenario {
    let text = format!(
        "name = \"limit\"\nlength = \"{RUN_SECONDS}s\"\n\
         [network]\nsame = \"1ms\"\ncross = \"1ms\"\n[clients]\nretries = 0\n\
         [[class]]\nname = \"sync\"\nshare = 1\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"4s\"\n\
         [[class]]\nname = \"pay\"\nshare = 1\neffect = \"unsafe\"\naim = \"1s\"\ndeadline = \"4s\"\n\
         [[kind]]\nname = \"hook\"\n\
         [[receiver]]\nnumber = 1\ncount = 40\nkind = \"hook\"\nendpoints = 2\ncapacity = 2000\n\
         latency = {{ median = \"10ms\", p99 = \"30ms\" }}\nqueue = 1000\n\
         [[sender]]\nname = \"n0\"\nslots = {slots}\nmax_open = 20000\ndisk_mb = {disk_mb}\nsockets = 4096\n\
         [[traffic]]\nshape = \"steady\"\nrate = {rate}\n"
    );
    Scenario::parse("limit", &text, Path::new(".")).unwrap()
}

fn main() {
    println!(
        "{:>6} {:>8} {:>7} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "slots", "disk MB", "rate/s", "served", "refused", "p99 ms", "CPU", "memory MB", "lag p99"
    );
    for (slots, disk_mb) in [(16, 3.0), (64, 3.0), (256, 3.0), (256, 64.0)] {
        for rate in RATES_PER_SECOND {
            let folder = tempfile::tempdir().unwrap();
            let subject = Subject::Spawn(env!("CARGO_BIN_EXE_embershore").into());
            let path = folder.path().to_path_buf();
            let options = Options { subject, folder: path, control: None, serve_only: false, stall: None };
            // Samples of the daemon's resource usage: time in microseconds, CPU seconds, memory in MB.
            let samples: Rc<RefCell<Vec<(i64, f64, f64)>>> = Rc::default();
            let recorded = samples.clone();
            let watch = move |p: Progress| {
                if let Some((cpu, memory)) = daemon_usage().filter(|_| p.t < p.length) {
                    recorded.borrow_mut().push((p.t, cpu, memory));
                }
            };
            let history = rig::run(scenario(rate, slots, disk_mb), &options, watch).unwrap();
            let (report, _) = report(&history).unwrap();
            let samples = samples.borrow();
            let cpu = match (samples.first(), samples.last()) {
                (Some(first), Some(last)) if last.0 > first.0 => {
                    (last.1 - first.1) / ((last.0 - first.0) as f64 / 1e6)
                }
                _ => 0.0,
            };
            let memory = samples.iter().map(|sample| sample.2).fold(0.0, f64::max);
            let service = &report.judgement.service.whole;
            let p99 = report.latencies.last().map_or(0.0, |l| l.p99_ms);
            println!(
                "{slots:>6} {disk_mb:>8.0} {rate:>7} {:>8.4} {:>9} {p99:>9.1} {:>8.0}% {memory:>9.1} {:>9.1}{}",
                service.share,
                service.refused,
                cpu * 100.0,
                report.judgement.lateness.p99_us as f64 / 1e3,
                if report.judgement.broken() { "  a rule was broken" } else { "" }
            );
            if service.share < 0.9 {
                break;
            }
        }
    }
}
