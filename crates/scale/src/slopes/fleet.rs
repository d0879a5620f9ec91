//! Measures a fleet of simulated senders.
//! The metrics: owned destinations and load of each sender, and the traffic that informs a sender of changes.

use super::Setup;
use crate::budget::SENDER_TRAFFIC;
use crate::report::{Report, Unit};
use crate::simulated_fleet::{filled, first_rack, first_zone, following, list, owned_destinations, vacated};
use crate::skew::{total_for, width, zipf_rates};
use crate::spread::{Spread, thread_cpu_time};
use crate::target::{
    CHANGES_PER_DAY, DESTINATIONS, LOST_PER_DAY, REPLACED_PER_DAY, REPLICAS, SENDER_MESSAGES_PER_SECOND,
    SENDERS,
};
use anyhow::Result;
use embershore_placement::wire::WideForm;
use embershore_placement::{AgentAnswer, Change, Changes, MAX_WIDTH, MemberList, Table, sub_shard};
use embershore_protocol::listing::ListedEndpoint;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::time::Instant;

/// Exponents of Zipf's law for which the load is measured.
const EXPONENTS: [f64; 3] = [0.8, 1.0, 1.15];
/// Maximum messages per second of a part of a destination: busier destinations are split into several parts.
const MAX_PART_RATE: f64 = 100.0;
/// Default interval, in seconds, at which a sender polls its control agent: a quarter of the lease of 10 s.
const POLL_INTERVAL_S: f64 = 2.5;
/// Assumed length, in bytes, of the HTTP/1.1 heads of a poll of the control agent and of the agent's answer.
const HTTP_HEAD_BYTES: f64 = 300.0;
/// Seconds within which a change must be in force at every sender.
const MAX_CHANGE_S: f64 = 18.0;
const DAY_S: f64 = 86_400.0;
const HOUR_S: f64 = 3_600.0;
/// Assumed duration, in seconds, of a rolling restart of all senders.
const ROLLING_RESTART_S: f64 = 6.0 * HOUR_S;

/// Load of a fleet: the message rate of each destination.
struct Load {
    /// Messages per second of each destination, by the destination's number.
    rates: Vec<f64>,
}

impl Load {
    /// Distributes the load by Zipf's law, with random ranks of the destinations.
    fn new(destinations: u64, senders: usize, exponent: f64, seed: u64) -> Self {
        let mut rates = zipf_rates(destinations, exponent, total_for(senders));
        rates.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
        Load { rates }
    }

    fn largest(&self) -> f64 {
        self.rates.iter().copied().fold(0.0, f64::max)
    }

    /// Returns the widths (numbers of parts) of the destinations that are split into more than one part.
    fn wide(&self) -> Vec<WideForm> {
        let rates = self.rates.iter().enumerate().filter(|(_, rate)| **rate > MAX_PART_RATE);
        let form = |(dest, rate): (usize, &f64)| WideForm {
            dest: dest as i64,
            width: u64::from(width(*rate, MAX_PART_RATE, MAX_WIDTH)),
        };
        rates.map(form).collect()
    }

    /// Returns the messages per second of each seat. The parts and replicas of a destination share its load evenly.
    fn by_seat(&self, table: &Table, list: &MemberList) -> Vec<f64> {
        let mut load = vec![0.0; list.seat_count()];
        for (destination, rate) in self.rates.iter().enumerate() {
            let width = list.width(destination as i64);
            for part in 0..width {
                let owners = table.owners(sub_shard(destination as i64, part));
                let each = rate / f64::from(width) / owners.len().max(1) as f64;
                owners.iter().for_each(|seat| load[seat.index()] += each);
            }
        }
        load
    }
}

fn report_load(
    report: &mut Report,
    setup: &Setup,
    list: &MemberList,
    table: &Table,
    destinations: u64,
) -> Result<()> {
    for exponent in EXPONENTS {
        let load = Load::new(destinations, list.seat_count(), exponent, setup.seed);
        let name = format!("skew {exponent}");
        report.metric(format!("{name}: largest destination"), Unit::PerSecond, Spread::exact(load.largest()));
        let unsplit = Spread::of(&load.by_seat(table, list));
        report.metric(format!("{name}: a sender's messages, none wide"), Unit::PerSecond, unsplit);
        let wide = load.wide();
        let (count, parts) = (wide.len() as f64, wide.iter().map(|w| w.width as f64).sum::<f64>());
        let widened = following(list, wide.into_iter().map(Change::SetWidth).collect());
        report.metric(format!("{name}: wide destinations"), Unit::Count, Spread::exact(count));
        report.metric(format!("{name}: their parts"), Unit::Count, Spread::exact(parts));
        let json_length = widened.to_json().len() as f64;
        report.metric(format!("{name}: bytes to tell them"), Unit::Bytes, Spread::exact(json_length));
        let spread =
            if count > 0.0 { Spread::of(&load.by_seat(table, &list.apply(&widened)?)) } else { unsplit };
        report.metric(format!("{name}: a sender's messages, wide"), Unit::PerSecond, spread);
    }
    Ok(())
}

/// Control traffic to each sender for one event, and the time over which the traffic is sent.
struct EventTraffic {
    name: &'static str,
    bytes: f64,
    seconds: f64,
}

fn json_bytes(changes: &Changes) -> f64 {
    changes.to_json().len() as f64
}

/// Returns the length of one endpoint's list entry in bytes; a configuration change is assumed to send one entry.
fn entry_bytes() -> Result<f64> {
    let entry = ListedEndpoint {
        name: "endpoint-1234567".into(),
        address: "127.0.0.1:7000".into(),
        zone: "zone-1-2".into(),
        kind: "one".into(),
        group: 1_234_567,
        status: "Ready".into(),
        weight: Some(100.0),
    };
    Ok(serde_json::to_vec(&entry)?.len() as f64)
}

fn events(list: &MemberList) -> Result<Vec<EventTraffic>> {
    let senders = list.seat_count();
    let vacate_bytes = json_bytes(&vacated(list, [senders / 2]));
    let fill_bytes = json_bytes(&filled(list, [senders / 2], 1));
    let (rack, zone) = (first_rack(senders), first_zone(senders));
    let without_zone = list.apply(&vacated(list, zone.clone()))?;
    let per_day = f64::from(LOST_PER_DAY + REPLACED_PER_DAY) * senders as f64 / f64::from(SENDERS);
    let entry = entry_bytes()?;
    Ok(vec![
        EventTraffic { name: "nothing new", bytes: 0.0, seconds: POLL_INTERVAL_S },
        EventTraffic { name: "a day's churn", bytes: per_day * (vacate_bytes + fill_bytes), seconds: DAY_S },
        EventTraffic {
            name: "a day's configuration, told to all",
            bytes: f64::from(CHANGES_PER_DAY) * entry,
            seconds: DAY_S,
        },
        EventTraffic {
            name: "all of it in one hour, told to all",
            bytes: f64::from(CHANGES_PER_DAY) * entry,
            seconds: HOUR_S,
        },
        EventTraffic {
            name: "all of it in one hour, told to owners",
            bytes: f64::from(CHANGES_PER_DAY) * entry * f64::from(REPLICAS) / senders as f64,
            seconds: HOUR_S,
        },
        EventTraffic { name: "a rack lost", bytes: json_bytes(&vacated(list, rack)), seconds: MAX_CHANGE_S },
        EventTraffic {
            name: "a zone lost",
            bytes: json_bytes(&vacated(list, zone.clone())),
            seconds: MAX_CHANGE_S,
        },
        EventTraffic {
            name: "a zone back, each member told as it is ready over 60 s",
            bytes: json_bytes(&filled(&without_zone, zone, 1)),
            seconds: 60.0,
        },
        EventTraffic {
            name: "a roll of all senders in 6 h",
            bytes: senders as f64 * (vacate_bytes + fill_bytes),
            seconds: ROLLING_RESTART_S,
        },
    ])
}

/// Measures the time that a control agent needs to encode an answer that reports the loss of a zone.
fn answer_times(list: &MemberList, repeats: usize) -> Vec<f64> {
    let changes = vacated(list, first_zone(list.seat_count()));
    let time = |_| {
        let started = Instant::now();
        std::hint::black_box(changes.to_json());
        started.elapsed().as_secs_f64()
    };
    (0..repeats).map(time).collect()
}

fn report_traffic(report: &mut Report, list: &MemberList) -> Result<()> {
    let nothing_new = following(list, Vec::new());
    let answers = Spread::of(&answer_times(list, 20));
    report.metric("a zone lost: the control agent writes one answer", Unit::Seconds, answers);
    let poll_rate = (HTTP_HEAD_BYTES + json_bytes(&nothing_new)) / POLL_INTERVAL_S;
    for event in events(list)? {
        report.metric(format!("{}: bytes", event.name), Unit::Bytes, Spread::exact(event.bytes));
        let rate = Spread::exact(poll_rate + event.bytes / event.seconds);
        report.bounded_metric(
            format!("{}: to each sender", event.name),
            Unit::BytesPerSecond,
            rate,
            SENDER_TRAFFIC,
        );
    }
    Ok(())
}

/// Measures the time that one sender needs to decode and apply an answer of its control agent.
fn apply_time(list: &MemberList, table: &Table, text: &[u8]) -> Result<f64> {
    let mut table = table.clone();
    let started = thread_cpu_time()?;
    if let AgentAnswer::Changes(changes) = AgentAnswer::parse_json(text)? {
        let next = list.apply(&changes)?;
        table.apply(&next, &changes);
        std::hint::black_box(next);
    }
    let elapsed = thread_cpu_time()? - started;
    std::hint::black_box(table);
    Ok(elapsed.as_secs_f64())
}

fn report_apply_times(report: &mut Report, setup: &Setup, list: &MemberList, table: &Table) -> Result<()> {
    let (senders, samples) = (list.seat_count(), if setup.small { 5 } else { 100 });
    let events = [
        ("one member lost", vec![senders / 2]),
        ("a rack lost", first_rack(senders)),
        ("a zone lost", first_zone(senders)),
    ];
    for (name, seats) in events {
        let text = vacated(list, seats).to_json();
        let times = (0..samples).map(|_| apply_time(list, table, &text)).collect::<Result<Vec<_>>>()?;
        let spread = Spread::of(&times);
        report.metric(format!("{name}: one sender takes it over"), Unit::Seconds, spread);
        let all = Spread::exact(spread.median * senders as f64);
        report.metric(
            format!("{name}: all senders one after another, from {samples} samples"),
            Unit::Seconds,
            all,
        );
    }
    Ok(())
}

/// Measures the owned destinations, load and control traffic of the senders of a simulated fleet.
///
/// # Errors
/// Fails if a member list or a change of the list is invalid.
pub fn run(setup: &Setup) -> Result<Report> {
    let senders = if setup.small { 500 } else { SENDERS as usize };
    let destinations = if setup.small { 100_000 } else { DESTINATIONS };
    let mut report = Report::new("fleet", setup);
    report.input("hollow senders", senders);
    report.input("destinations", destinations);
    report.input("messages a second", format!("{SENDER_MESSAGES_PER_SECOND:.0} a sender in the mean"));
    report.input("parts of wide destinations", format!("{MAX_PART_RATE} messages a second at most"));
    report.input(
        "a sender asks",
        format!("every {POLL_INTERVAL_S} s; {HTTP_HEAD_BYTES} bytes of heads assumed"),
    );
    report.input("a change of configuration", "one endpoint's line, assumed");
    let list = list(senders)?;
    let table = Table::build(&list);
    let owned = owned_destinations(&table, senders, destinations);
    let counts: Vec<f64> = owned.iter().map(|owned| owned.len() as f64).collect();
    report.metric("destinations of a sender", Unit::Count, Spread::of(&counts));
    report_load(&mut report, setup, &list, &table, destinations)?;
    report_traffic(&mut report, &list)?;
    report_apply_times(&mut report, setup, &list, &table)?;
    Ok(report)
}
