//! A scenario: the file in which an operator describes an evening. It is read and checked whole before anything
//! starts, and every finding names line, column and the mend.

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
/// A scenario that can't be played; `name` is that of the file, or of a shipped scenario. Nothing has been started.
pub use embershore_finding::FileError as ScenarioError;
pub use kind::Kind;
pub use receiver::{ENDPOINTS_MOST, Latency, Limit, Receiver};
pub use sender::{SENDERS_MOST, Sender};
pub use settings::{Clients, Directory, Network, SenderSettings};
pub use split::SplitError;

use crate::event::{Known, RawEvent};
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

/// A scenario's file is no longer than this; shipped ones have 3 KiB.
const FILE_MOST: u64 = 4 << 20;
/// The shortest scenario: 1 s.
const LENGTH_LEAST: Micros = 1_000_000;
/// How long a call is taken to take, in seconds, where no receiver has a share of the traffic.
const MEAN_LATENCY: f64 = 0.15;

/// A scenario that has been checked.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// What it is about, in a line.
    pub about: String,
    /// What a verdict depends on.
    pub parameters: Parameters,
    /// The buildings.
    pub network: Network,
    /// What senders are told.
    pub settings: SenderSettings,
    /// The directory.
    pub directory: Directory,
    /// How clients behave.
    pub clients: Clients,
    /// Classes, in the order of `parameters`.
    pub classes: Vec<Class>,
    /// Each tenant's share of the traffic, in the order of `parameters`.
    pub tenant_shares: Vec<f64>,
    /// Kinds of receiver.
    pub kinds: Vec<Kind>,
    /// Receivers, in the order of `parameters`.
    pub receivers: Vec<Receiver>,
    /// Senders, in the order of `parameters`.
    pub senders: Vec<Sender>,
    /// What is handed in.
    pub traffic: Vec<Traffic>,
    /// What happens, by time.
    pub events: Vec<(Micros, RawEvent)>,
}

impl Scenario {
    /// Reads a scenario from a file; traces that it names are looked for beside it.
    ///
    /// # Errors
    /// The file can't be read, or all that is wrong in it.
    pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
        let io = |error| ScenarioError::Io { path: path.into(), error };
        let text = embershore_finding::read(path, FILE_MOST, "a scenario").map_err(io)?;
        let folder = path.parent().unwrap_or(Path::new("."));
        Scenario::parse(&path.display().to_string(), &text, folder)
    }

    /// Reads a scenario from its text. `name` is for messages.
    ///
    /// # Errors
    /// All that is wrong in it.
    pub fn parse(name: &str, text: &str, folder: &Path) -> Result<Scenario, ScenarioError> {
        let wrong = |findings| ScenarioError::Invalid { name: name.into(), findings };
        let raw: Raw = toml::from_str(text).map_err(|e| wrong(vec![Finding::from_toml_error(text, &e)]))?;
        let mut checks = Checks { text, findings: Vec::new() };
        let scenario = build(raw, &mut checks, folder);
        if checks.findings.is_empty() { Ok(scenario) } else { Err(wrong(checks.findings)) }
    }
}

fn build(raw: Raw, c: &mut Checks<'_>, folder: &Path) -> Scenario {
    let length = raw.length.get_ref().0;
    c.whether(length >= LENGTH_LEAST, raw.length.span(), "'length' is at least 1s");
    let rules = rules(&raw.rules, c);
    let zones = &raw.network.value.zones;
    c.whether(!zones.is_empty(), raw.network.span.clone(), "'zones' names at least one building");
    let clients = clients(&raw.clients, c);
    let kind_names = kinds(&raw, c);
    let (classes, class_parameters) = classes(&raw, c, &kind_names);
    let (tenant_shares, tenants) = tenants(&raw, c);
    let (receivers, receiver_parameters) = receivers(&raw, c, &kind_names);
    let traffic = traffic(&raw, c, length, folder);
    let rate = traffic.iter().map(|t| t.mean_rate(length)).sum::<f64>();
    let (senders, sender_parameters) = senders(&raw, c, rate, mean_latency(&receivers));
    let events = events(&raw, c, &receivers, &sender_parameters);
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

/// How long a call takes on average, in seconds, each receiver with its share of the traffic.
fn mean_latency(receivers: &[Receiver]) -> f64 {
    let shares: f64 = receivers.iter().map(|r| r.share).sum();
    let mean = receivers.iter().map(|r| r.share * r.latency.mean()).sum::<f64>();
    if shares > 0.0 { mean / shares } else { MEAN_LATENCY }
}

/// Checks the events, and puts them in the order of their times.
fn events(
    raw: &Raw,
    c: &mut Checks<'_>,
    receivers: &[Receiver],
    senders: &[parameters::Sender],
) -> Vec<(Micros, RawEvent)> {
    let numbers: Vec<i64> = receivers.iter().map(|r| r.number).collect();
    let names: Vec<String> = senders.iter().map(|s| s.name.clone()).collect();
    let known = Known { receivers: &numbers, senders: &names };
    let mut events: Vec<(Micros, RawEvent)> = Vec::new();
    for event in &raw.event {
        let mut wrong = event.get_ref().wrong(known);
        match event.get_ref().at {
            None => wrong.push("an event on the timeline needs 'at'; say when, such as at = \"20s\"".into()),
            Some(at) if at.0 > raw.length.get_ref().0 => {
                wrong.push("'at' lies after the end; move it, or make 'length' longer".into());
            }
            Some(at) => events.push((at.0, event.get_ref().clone())),
        }
        wrong.into_iter().for_each(|w| c.at(event.span(), w));
    }
    events.sort_by_key(|(at, _)| *at);
    events
}
