//! A whole fleet of hollow senders, each with the destinations that it owns: how many these are, what load they bring,
//! and what each sender has to be told of changes.

use super::Setup;
use crate::budget::SENDER_TRAFFIC;
use crate::hollow_fleet::{filled, first_rack, first_zone, following, list, owned_destinations, vacated};
use crate::report::{Report, Unit};
use crate::skew::{total_for, width, zipf_rates};
use crate::spread::{Spread, thread_cpu_time};
use crate::target::{
    CHANGES_PER_DAY, DESTINATIONS, LOST_PER_DAY, REPLACED_PER_DAY, REPLICAS, SENDER_MESSAGES_PER_SECOND,
    SENDERS,
};
use anyhow::Result;
use embershore_placement::wire::WideForm;
use embershore_placement::{Answer, Change, Changes, MAX_WIDTH, MemberList, Table, sub_shard};
use embershore_protocol::listing::ListedEndpoint;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::time::Instant;

/// Skews of Zipf's law that are tried.
const EXPONENTS: [f64; 3] = [0.8, 1.0, 1.15];
/// A destination is spread until no part of it has more than this many messages a second.
const PART_MOST: f64 = 100.0;
/// A sender asks its control agent this often, in seconds, unless told otherwise (a quarter of a lease of 10 s).
const ASK_EVERY: f64 = 2.5;
/// Heads of a question and of its answer over HTTP/1.1, assumed.
const HEADS_BYTES: f64 = 300.0;
/// A change is to be in force everywhere within this many seconds.
const CHANGE_SECONDS: f64 = 18.0;
const DAY: f64 = 86_400.0;
const HOUR: f64 = 3_600.0;
/// How long a roll of all senders takes, assumed.
const ROLL: f64 = 6.0 * HOUR;

/// The load of a fleet, by destination.
struct Load {
    /// Messages a second, by destination.
    rates: Vec<f64>,
}

impl Load {
    /// By Zipf's law, the ranks given to destinations at random.
    fn new(destinations: u64, senders: usize, exponent: f64, seed: u64) -> Self {
        let mut rates = zipf_rates(destinations, exponent, total_for(senders));
        rates.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
        Load { rates }
    }

    fn largest(&self) -> f64 {
        self.rates.iter().copied().fold(0.0, f64::max)
    }

    /// In how many parts each destination is spread, where that is more than one.
    fn wide(&self) -> Vec<WideForm> {
        let rates = self.rates.iter().enumerate().filter(|(_, rate)| **rate > PART_MOST);
        let form = |(dest, rate): (usize, &f64)| WideForm {
            dest: dest as i64,
            width: u64::from(width(*rate, PART_MOST, MAX_WIDTH)),
        };
        rates.map(form).collect()
    }

    /// Messages a second of each seat, where replicas and parts share a destination's evenly.
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

fn load_figures(
    report: &mut Report,
    setup: &Setup,
    list: &MemberList,
    table: &Table,
    destinations: u64,
) -> Result<()> {
    for exponent in EXPONENTS {
        let load = Load::new(destinations, list.seat_count(), exponent, setup.seed);
        let name = format!("skew {exponent}");
        report.figure(format!("{name}: largest destination"), Unit::PerSecond, Spread::exact(load.largest()));
        let plain = Spread::of(&load.by_seat(table, list));
        report.figure(format!("{name}: a sender's messages, none wide"), Unit::PerSecond, plain);
        let wide = load.wide();
        let (count, parts) = (wide.len() as f64, wide.iter().map(|w| w.width as f64).sum::<f64>());
        let widened = following(list, wide.into_iter().map(Change::Widen).collect());
        report.figure(format!("{name}: wide destinations"), Unit::Count, Spread::exact(count));
        report.figure(format!("{name}: their parts"), Unit::Count, Spread::exact(parts));
        let told = widened.to_json().len() as f64;
        report.figure(format!("{name}: bytes to tell them"), Unit::Bytes, Spread::exact(told));
        let spread =
            if count > 0.0 { Spread::of(&load.by_seat(table, &list.apply(&widened)?)) } else { plain };
        report.figure(format!("{name}: a sender's messages, wide"), Unit::PerSecond, spread);
    }
    Ok(())
}

/// What each sender is told of one event, and over what time.
struct Told {
    name: &'static str,
    bytes: f64,
    seconds: f64,
}

fn json_bytes(changes: &Changes) -> f64 {
    changes.to_json().len() as f64
}

/// One listed endpoint's line, as discovery tells it: what a change of configuration is taken to be.
fn line_bytes() -> Result<f64> {
    let line = ListedEndpoint {
        name: "endpoint-1234567".into(),
        address: "127.0.0.1:7000".into(),
        zone: "zone-1-2".into(),
        kind: "one".into(),
        group: 1_234_567,
        status: "Ready".into(),
        weight: Some(100.0),
    };
    Ok(serde_json::to_vec(&line)?.len() as f64)
}

fn events(list: &MemberList) -> Result<Vec<Told>> {
    let senders = list.seat_count();
    let gone = json_bytes(&vacated(list, [senders / 2]));
    let back = json_bytes(&filled(list, [senders / 2], 1));
    let (rack, zone) = (first_rack(senders), first_zone(senders));
    let without_zone = list.apply(&vacated(list, zone.clone()))?;
    let per_day = f64::from(LOST_PER_DAY + REPLACED_PER_DAY) * senders as f64 / f64::from(SENDERS);
    let line = line_bytes()?;
    Ok(vec![
        Told { name: "nothing new", bytes: 0.0, seconds: ASK_EVERY },
        Told { name: "a day's churn", bytes: per_day * (gone + back), seconds: DAY },
        Told {
            name: "a day's configuration, told to all",
            bytes: f64::from(CHANGES_PER_DAY) * line,
            seconds: DAY,
        },
        Told {
            name: "all of it in one hour, told to all",
            bytes: f64::from(CHANGES_PER_DAY) * line,
            seconds: HOUR,
        },
        Told {
            name: "all of it in one hour, told to owners",
            bytes: f64::from(CHANGES_PER_DAY) * line * f64::from(REPLICAS) / senders as f64,
            seconds: HOUR,
        },
        Told { name: "a rack lost", bytes: json_bytes(&vacated(list, rack)), seconds: CHANGE_SECONDS },
        Told {
            name: "a zone lost",
            bytes: json_bytes(&vacated(list, zone.clone())),
            seconds: CHANGE_SECONDS,
        },
        Told {
            name: "a zone back, each member told as it is ready over 60 s",
            bytes: json_bytes(&filled(&without_zone, zone, 1)),
            seconds: 60.0,
        },
        Told { name: "a roll of all senders in 6 h", bytes: senders as f64 * (gone + back), seconds: ROLL },
    ])
}

/// How long a control agent takes to write one answer, with a zone lost in it.
fn answer_times(list: &MemberList, repeats: usize) -> Vec<f64> {
    let changes = vacated(list, first_zone(list.seat_count()));
    let time = |_| {
        let begun = Instant::now();
        std::hint::black_box(changes.to_json());
        begun.elapsed().as_secs_f64()
    };
    (0..repeats).map(time).collect()
}

fn traffic_figures(report: &mut Report, list: &MemberList) -> Result<()> {
    let nothing_new = following(list, Vec::new());
    let answers = Spread::of(&answer_times(list, 20));
    report.figure("a zone lost: the control agent writes one answer", Unit::Seconds, answers);
    let asking = (HEADS_BYTES + json_bytes(&nothing_new)) / ASK_EVERY;
    for event in events(list)? {
        report.figure(format!("{}: bytes", event.name), Unit::Bytes, Spread::exact(event.bytes));
        let rate = Spread::exact(asking + event.bytes / event.seconds);
        report.bounded(format!("{}: to each sender", event.name), Unit::BytesPerSecond, rate, SENDER_TRAFFIC);
    }
    Ok(())
}

/// How long one sender takes for an answer of its control agent, in its real decoding.
fn apply_time(list: &MemberList, table: &Table, text: &[u8]) -> Result<f64> {
    let mut table = table.clone();
    let begun = thread_cpu_time()?;
    if let Answer::Changes(changes) = Answer::parse_json(text)? {
        let next = list.apply(&changes)?;
        table.apply(&next, &changes);
        std::hint::black_box(next);
    }
    let elapsed = thread_cpu_time()? - begun;
    std::hint::black_box(table);
    Ok(elapsed.as_secs_f64())
}

fn apply_figures(report: &mut Report, setup: &Setup, list: &MemberList, table: &Table) -> Result<()> {
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
        report.figure(format!("{name}: one sender takes it over"), Unit::Seconds, spread);
        let all = Spread::exact(spread.median * senders as f64);
        report.figure(
            format!("{name}: all senders one after another, from {samples} samples"),
            Unit::Seconds,
            all,
        );
    }
    Ok(())
}

/// Measures it.
///
/// # Errors
/// When a list or a change is refused.
pub fn run(setup: &Setup) -> Result<Report> {
    let senders = if setup.small { 500 } else { SENDERS as usize };
    let destinations = if setup.small { 100_000 } else { DESTINATIONS };
    let mut report = Report::new("fleet", setup);
    report.input("hollow senders", senders);
    report.input("destinations", destinations);
    report.input("messages a second", format!("{SENDER_MESSAGES_PER_SECOND:.0} a sender in the mean"));
    report.input("parts of wide destinations", format!("{PART_MOST} messages a second at most"));
    report.input("a sender asks", format!("every {ASK_EVERY} s; {HEADS_BYTES} bytes of heads assumed"));
    report.input("a change of configuration", "one endpoint's line, assumed");
    let list = list(senders)?;
    let table = Table::build(&list);
    let owned = owned_destinations(&table, senders, destinations);
    let counts: Vec<f64> = owned.iter().map(|owned| owned.len() as f64).collect();
    report.figure("destinations of a sender", Unit::Count, Spread::of(&counts));
    load_figures(&mut report, setup, &list, &table, destinations)?;
    traffic_figures(&mut report, &list)?;
    apply_figures(&mut report, setup, &list, &table)?;
    Ok(report)
}
