//! Compares simulated with real senders: the number of destinations of the endpoint list that each sender retains.
//! The real processes have the section `[placement]`; as many simulated senders have the same member list.

use super::Setup;
use crate::budget::{READY_TIME, SIMULATED_AGAINST_REAL};
use crate::process::{
    ControlAgent, Daemon, Directory, Endpoints, Options, PlacementOptions, RefusingAddress, free_address,
    on_this_thread,
};
use crate::report::{Report, Unit};
use crate::simulated_fleet::{list_form, owned_destinations};
use crate::spread::Spread;
use anyhow::Result;
use embershore_placement::{MemberList, Table};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of destinations in the endpoint list, which is short enough to be read in one piece.
const DESTINATIONS: usize = 10_000;
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns a member list whose senders have the given addresses.
fn member_list(addresses: &[SocketAddr]) -> Result<MemberList> {
    let mut form = list_form(addresses.len());
    for (seat, address) in form.seats.iter_mut().zip(addresses) {
        if let Some(member) = &mut seat.member {
            member.address = address.to_string();
        }
    }
    Ok(MemberList::from_form(form)?)
}

/// Measurements of the real processes: destinations that each process owns, memory and times.
struct ProcessResults {
    destinations: Vec<f64>,
    resident: Vec<f64>,
    cpu: Vec<f64>,
    seconds: f64,
}

async fn measure_processes(setup: &Setup, list: &MemberList) -> Result<ProcessResults> {
    let down = RefusingAddress::new()?;
    let endpoints = Endpoints { count: DESTINATIONS, address: down.address };
    let directory = Directory::start(endpoints.to_json()?).await?;
    let control = ControlAgent::start(list).await?;
    let started = Instant::now();
    let mut daemons = Vec::new();
    for member in list.seat_ids().filter_map(|seat| list.member(seat)) {
        let placement = PlacementOptions {
            name: member.name().into(),
            listen: member.address(),
            control: control.address,
        };
        let options = Options { placement: Some(placement), ..Options::default() };
        daemons.push(Daemon::start(&setup.binary, directory.address, &options)?);
    }
    let mut destinations = Vec::new();
    for daemon in &daemons {
        destinations.push(daemon.wait_until_owned_read(READY_TIMEOUT).await? as f64);
    }
    let seconds = started.elapsed().as_secs_f64();
    let resident = daemons.iter().map(Daemon::resident_bytes).collect::<Result<_>>()?;
    let cpu = daemons.iter().map(Daemon::cpu_seconds).collect::<Result<_>>()?;
    Ok(ProcessResults { destinations, resident, cpu, seconds })
}

/// Measures how many destinations simulated senders own and real processes retain, and compares the numbers.
///
/// # Errors
/// Fails if a daemon can't be started or does not read the endpoints of its shards in time.
pub fn run(setup: &Setup) -> Result<Report> {
    let sizes: &[usize] = if setup.small { &[12] } else { &[12, 100] };
    let mut report = Report::new("owners-check", setup);
    report.input("processes", format!("{sizes:?}"));
    report.input("destinations", DESTINATIONS);
    report.input("binary", setup.binary.display());
    for &size in sizes {
        let addresses: Vec<SocketAddr> = (0..size).map(|_| free_address()).collect::<Result<_>>()?;
        let list = member_list(&addresses)?;
        let real = on_this_thread(measure_processes(setup, &list))?;
        let owned = owned_destinations(&Table::build(&list), size, DESTINATIONS as u64);
        let simulated: Vec<f64> = owned.iter().map(|owned| owned.len() as f64).collect();
        let deviation =
            real.destinations.iter().zip(&simulated).map(|(real, simulated)| (simulated / real - 1.0).abs());
        let deviation = Spread::exact(deviation.fold(0.0, f64::max));
        report.metric(format!("{size} real: destinations kept"), Unit::Count, Spread::of(&real.destinations));
        report.metric(format!("{size} hollow: destinations kept"), Unit::Count, Spread::of(&simulated));
        report.bounded_metric(
            format!("{size}: apart by at the most"),
            Unit::Ratio,
            deviation,
            SIMULATED_AGAINST_REAL,
        );
        report.metric(format!("{size} real: resident"), Unit::Bytes, Spread::of(&real.resident));
        // All processes build their placement tables simultaneously on one machine.
        // So the budget applies to the processor time of each sender, not to wall-clock time.
        let all = Spread::exact(real.seconds);
        report.metric(format!("{size} real: until all have read what they own"), Unit::Seconds, all);
        let name = format!("{size} real: processor time of each until then");
        report.bounded_metric(name, Unit::Seconds, Spread::of(&real.cpu), READY_TIME);
    }
    Ok(report)
}
