//! Hollow senders against real ones: how many destinations each keeps of the list, in so many real processes with
//! `[placement]` and in as many hollow senders under the same member list.

use super::Setup;
use crate::budget::{HOLLOW_AGAINST_REAL, READY_TIME};
use crate::hollow_fleet::{list_form, owned_destinations};
use crate::process::{
    ControlAgent, Daemon, Directory, Endpoints, Membership, Options, Refusing, free_address, on_this_thread,
};
use crate::report::{Report, Unit};
use crate::spread::Spread;
use anyhow::Result;
use embershore_placement::{MemberList, Table};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Destinations listed; a text under the bound of a list that is read whole.
const DESTINATIONS: usize = 10_000;
const PATIENCE: Duration = Duration::from_secs(60);

/// The member list of senders that listen there.
fn member_list(addresses: &[SocketAddr]) -> Result<MemberList> {
    let mut form = list_form(addresses.len());
    for (seat, address) in form.seats.iter_mut().zip(addresses) {
        if let Some(member) = &mut seat.member {
            member.address = address.to_string();
        }
    }
    Ok(MemberList::from_form(form)?)
}

/// What the real processes showed.
struct Real {
    kept: Vec<f64>,
    resident: Vec<f64>,
    cpu: Vec<f64>,
    seconds: f64,
}

async fn real(setup: &Setup, list: &MemberList) -> Result<Real> {
    let down = Refusing::new()?;
    let endpoints = Endpoints { count: DESTINATIONS, address: down.address };
    let directory = Directory::start(endpoints.to_json()?).await?;
    let control = ControlAgent::start(list).await?;
    let begun = Instant::now();
    let mut daemons = Vec::new();
    for member in list.seat_ids().filter_map(|seat| list.member(seat)) {
        let place =
            Membership { name: member.name().into(), listen: member.address(), control: control.address };
        let options = Options { member: Some(place), ..Options::default() };
        daemons.push(Daemon::start(&setup.binary, directory.address, &options)?);
    }
    let mut kept = Vec::new();
    for daemon in &daemons {
        kept.push(daemon.placed(PATIENCE).await? as f64);
    }
    let seconds = begun.elapsed().as_secs_f64();
    let resident = daemons.iter().map(Daemon::resident_bytes).collect::<Result<_>>()?;
    let cpu = daemons.iter().map(Daemon::cpu_seconds).collect::<Result<_>>()?;
    Ok(Real { kept, resident, cpu, seconds })
}

/// Measures it.
///
/// # Errors
/// When a daemon can't be started, or does not read what it owns.
pub fn run(setup: &Setup) -> Result<Report> {
    let sizes: &[usize] = if setup.small { &[12] } else { &[12, 100] };
    let mut report = Report::new("owners-check", setup);
    report.input("processes", format!("{sizes:?}"));
    report.input("destinations", DESTINATIONS);
    report.input("binary", setup.binary.display());
    for &size in sizes {
        let addresses: Vec<SocketAddr> = (0..size).map(|_| free_address()).collect::<Result<_>>()?;
        let list = member_list(&addresses)?;
        let real = on_this_thread(real(setup, &list))?;
        let owned = owned_destinations(&Table::build(&list), size, DESTINATIONS as u64);
        let hollow: Vec<f64> = owned.iter().map(|owned| owned.len() as f64).collect();
        let apart = real.kept.iter().zip(&hollow).map(|(real, hollow)| (hollow / real - 1.0).abs());
        let apart = Spread::exact(apart.fold(0.0, f64::max));
        report.figure(format!("{size} real: destinations kept"), Unit::Count, Spread::of(&real.kept));
        report.figure(format!("{size} hollow: destinations kept"), Unit::Count, Spread::of(&hollow));
        report.bounded(format!("{size}: apart by at the most"), Unit::Ratio, apart, HOLLOW_AGAINST_REAL);
        report.figure(format!("{size} real: resident"), Unit::Bytes, Spread::of(&real.resident));
        // All build their tables at once on one machine: a sender's own processor time is what compares with the budget.
        let all = Spread::exact(real.seconds);
        report.figure(format!("{size} real: until all have read what they own"), Unit::Seconds, all);
        let name = format!("{size} real: processor time of each until then");
        report.bounded(name, Unit::Seconds, Spread::of(&real.cpu), READY_TIME);
    }
    Ok(report)
}
