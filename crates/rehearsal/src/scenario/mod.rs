//! A scenario: the file in which an operator describes a rehearsal.
//! A scenario is parsed and checked completely before anything starts.
//! Every error found in a scenario is reported with its line and column, and with how to correct it.

mod checks;
mod class;
mod defaults;
mod file;
mod kind;
mod receiver;
mod rules;
mod sender;
mod settings;
mod split;
mod tenant;
mod traffic;

pub use class::Class;
/// A scenario that cannot be run. `name` is that of the file or of a shipped scenario. No process has been started.
pub use embershore_finding::FileError as ScenarioError;
pub use kind::Kind;
pub use receiver::{Latency, Limit, MAX_ENDPOINTS, Receiver};
pub use sender::{MAX_SENDERS, Sender};
pub use settings::{Clients, Directory, Network, SenderSettings};
pub use split::SplitError;

use crate::event::{RawEvent, Targets};
use crate::parameters::{self, Parameters};
use crate::plan::Traffic;
use crate::span::Micros;
use checks::Checks;
use class::classes;
use embershore_finding::Finding;
use file::Raw;
use kind::kinds;
use receiver::receivers;
use rules::rules;
use sender::senders;
use settings::clients;
use std::path::Path;
use tenant::tenants;
use toml::Spanned;
use traffic::traffic;

/// Maximum size of a scenario file; the shipped scenarios have about 3 KiB.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// Minimum length of a scenario's traffic: 1 s.
const MIN_LENGTH_US: Micros = 1_000_000;
/// Assumed mean latency of a call, in seconds, if no receiver has a share of the traffic.
const DEFAULT_MEAN_LATENCY_S: f64 = 0.15;

/// A scenario that has passed all checks and can be run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// One-line description of the scenario.
    pub about: String,
    /// The parameters of the run that a verdict depends on.
    pub parameters: Parameters,
    /// Zones and the network delays between them.
    pub network: Network,
    /// Settings that all senders share.
    pub settings: SenderSettings,
    /// Behaviour of the stand-in directory.
    pub directory: Directory,
    /// Behaviour of the clients that hand messages to the senders.
    pub clients: Clients,
    /// Properties of the classes of messages, in the order of the classes in `parameters`.
    pub classes: Vec<Class>,
    /// Each tenant's share of the traffic, in the order of the tenants in `parameters`.
    pub tenant_shares: Vec<f64>,
    /// Kinds of receiver in the scenario.
    pub kinds: Vec<Kind>,
    /// Properties of the stand-in receivers, in the order of the receivers in `parameters`.
    pub receivers: Vec<Receiver>,
    /// Properties of the senders to start, in the order of the senders in `parameters`.
    pub senders: Vec<Sender>,
    /// The traffic that clients produce, one item for each `[[traffic]]` table.
    pub traffic: Vec<Traffic>,
    /// Events of the timeline, each with its time, in order of time.
    pub events: Vec<(Micros, RawEvent)>,
}

impl Scenario {
    /// Reads a scenario from a file. Paths of traces are relative to the file's folder.
    ///
    /// # Errors
    /// Fails if the file cannot be read, or if the scenario has faults; the error lists all faults.
    pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
        let io = |error| ScenarioError::Io { path: path.into(), error };
        let text = embershore_finding::read(path, MAX_FILE_BYTES, "a scenario").map_err(io)?;
        let folder = path.parent().unwrap_or(Path::new("."));
        Scenario::parse(&path.display().to_string(), &text, folder)
    }

    /// Parses a scenario. `name` is used in messages, and `folder` is where the scenario's traces are looked up.
    ///
    /// # Errors
    /// Fails if the scenario's text has faults; the error lists all faults.
    pub fn parse(name: &str, text: &str, folder: &Path) -> Result<Scenario, ScenarioError> {
        let wrong = |findings| ScenarioError::Invalid { name: name.into(), findings };
        let raw: Raw = toml::from_str(text).map_err(|e| wrong(vec![Finding::from_toml_error(text, &e)]))?;
        let mut checks = Checks { text, findings: Vec::new() };
        let scenario = build(raw, &mut checks, folder);
        if checks.findings.is_empty() { Ok(scenario) } else { Err(wrong(checks.findings)) }
    }
}

fn build(raw: Raw, checks: &mut Checks<'_>, folder: &Path) -> Scenario {
    let length = raw.length.get_ref().0;
    checks.require(length >= MIN_LENGTH_US, raw.length.span(), "'length' must be at least 1s");
    let rules = rules(&raw.rules, checks);
    let zones = &raw.network.value.zones;
    checks.require(!zones.is_empty(), raw.network.span.clone(), "'zones' must name at least one zone");
    let clients = clients(&raw.clients, checks);
    let kind_names = kinds(&raw, checks);
    let (classes, class_parameters) = classes(&raw, checks, &kind_names);
    let (tenant_shares, tenants) = tenants(&raw, checks);
    let (receivers, receiver_parameters) = receivers(&raw, checks, &kind_names);
    let traffic = traffic(&raw, checks, length, folder);
    let rate = traffic.iter().map(|t| t.mean_rate(length)).sum::<f64>();
    let (senders, sender_parameters) = senders(&raw, checks, rate, mean_latency(&receivers));
    let events = events(&raw, checks, &receivers, &sender_parameters);
    Scenario {
        about: raw.about,
        parameters: Parameters {
            scenario: raw.name,
            seed: raw.seed,
            length,
            rules,
            over_share_worth: raw.settings.over_share_worth,
            classes: class_parameters,
            tenants,
            receivers: receiver_parameters,
            senders: sender_parameters,
        },
        network: raw.network.value,
        settings: raw.settings,
        directory: raw.directory,
        clients,
        classes,
        tenant_shares,
        kinds: raw.kind.into_iter().map(Spanned::into_inner).collect(),
        receivers,
        senders,
        traffic,
        events,
    }
}

/// Returns the mean latency of a call in seconds, weighted by the receivers' shares of the traffic.
fn mean_latency(receivers: &[Receiver]) -> f64 {
    let shares: f64 = receivers.iter().map(|r| r.share).sum();
    let mean = receivers.iter().map(|r| r.share * r.latency.mean()).sum::<f64>();
    if shares > 0.0 { mean / shares } else { DEFAULT_MEAN_LATENCY_S }
}

/// Checks the scenario's events and sorts them by time.
fn events(
    raw: &Raw,
    checks: &mut Checks<'_>,
    receivers: &[Receiver],
    senders: &[parameters::Sender],
) -> Vec<(Micros, RawEvent)> {
    let numbers: Vec<i64> = receivers.iter().map(|r| r.number).collect();
    let names: Vec<String> = senders.iter().map(|s| s.name.clone()).collect();
    let targets = Targets { receivers: &numbers, senders: &names };
    let mut events: Vec<(Micros, RawEvent)> = Vec::new();
    for event in &raw.event {
        let mut problems = event.get_ref().problems(targets);
        match event.get_ref().at {
            None => problems.push("an event on the timeline needs 'at'; add it, such as at = \"20s\"".into()),
            Some(at) if at.0 > raw.length.get_ref().0 => {
                problems.push(
                    "'at' is after the end of the scenario; move the event, or increase 'length'".into(),
                );
            }
            Some(at) => events.push((at.0, event.get_ref().clone())),
        }
        problems.into_iter().for_each(|p| checks.at(event.span(), p));
    }
    events.sort_by_key(|(at, _)| *at);
    events
}
