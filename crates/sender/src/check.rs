//! `embershore check`: checks an options file against a daemon's configuration, and shows its effect.

use crate::cli::EXIT_USAGE;
use crate::daemon::{Config, class_facts};
use clap::Args;
use embershore_options::{Options, OptionsError};
use embershore_owed::rules::ExpiryAction;
use embershore_owed::{ClassFacts, Reason, Rules};
use embershore_peer::options::FleetOptions;
use embershore_placement::options::PlacementOptions;
use heronroute::Effect;
use serde::Serialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

const EXAMPLES: &str = "\
Examples:
  embershore check options.toml --config config.json    against the classes of this configuration
  LB_CONFIG=config.json embershore check options.toml   the same
  embershore check options.toml --json                  for a machine to read

Exit codes: 0 the file is good, 1 something in it is wrong, 2 it or the configuration can't be read.";

/// Checks the operator's options file, and shows what happens to messages that can't be delivered.
///
/// Nothing is started or changed. A daemon applies the same checks, and takes such a file as a whole or not at all.
#[derive(Args)]
#[command(after_help = EXAMPLES)]
pub struct Arguments {
    /// The options file.
    file: PathBuf,
    /// The daemon's configuration, which names the classes.
    #[arg(long, value_name = "FILE", env = "LB_CONFIG")]
    config: PathBuf,
    /// Print the result as JSON.
    #[arg(long)]
    json: bool,
}

/// The effect of the operator's rules on undeliverable messages of one receiver and class, with one reason.
#[derive(Debug, PartialEq, Serialize)]
struct RuleEffect {
    /// The receiver that a rule names; None stands for all receivers that no rule names.
    receiver: Option<i64>,
    class: String,
    reason: Reason,
    /// The name of the rule that applies; None if no rule applies.
    rule: Option<String>,
    #[serde(rename = "fate")]
    effect: String,
}

fn span(micros: i64) -> String {
    humantime::format_duration(std::time::Duration::from_micros(micros.max(0) as u64)).to_string()
}

/// The section `[fleet]` of the options file, with the values derived from it.
#[derive(Debug, PartialEq, Serialize)]
struct FleetSummary {
    name: String,
    address: SocketAddr,
    domain: String,
    members: usize,
    majority: usize,
    domains: usize,
    /// The domain with the most members, and the number of its members.
    largest: (String, usize),
    outlives_a_domain: bool,
}

impl FleetSummary {
    fn of(fleet: &FleetOptions) -> FleetSummary {
        let (largest, size) = fleet.largest_domain();
        FleetSummary {
            name: fleet.name.clone(),
            address: fleet.address,
            domain: fleet.domain.clone(),
            members: fleet.fleet.size(),
            majority: fleet.fleet.majority(),
            domains: fleet.domains.values().collect::<BTreeSet<_>>().len(),
            largest: (largest.to_string(), size),
            outlives_a_domain: fleet.survives_domain_failure(),
        }
    }

    fn text(&self) -> String {
        let FleetSummary {
            name, address, domain, members, majority, domains, largest: (largest, size), ..
        } = self;
        let lost = if self.outlives_a_domain { "a majority is left" } else { "no majority is left" };
        format!(
            "fleet: this is '{name}' at {address} in '{domain}', one of {members} in {domains} domains; a majority is \
             {majority}; without '{largest}', the largest with {size}, {lost}"
        )
    }
}

/// The section `[placement]` of the options file, with its defaults filled in.
#[derive(Debug, PartialEq, Serialize)]
struct PlacementSummary {
    name: String,
    listen: SocketAddr,
    control: Vec<SocketAddr>,
    lease: String,
    ask_every: String,
    agent_lag: String,
    owner_connections: usize,
}

impl PlacementSummary {
    fn of(placement: &PlacementOptions) -> PlacementSummary {
        PlacementSummary {
            name: placement.name.clone(),
            listen: placement.listen,
            control: placement.control_agents.clone(),
            lease: span(placement.lease),
            ask_every: span(placement.poll_interval),
            agent_lag: span(placement.agent_lag),
            owner_connections: placement.max_owner_connections,
        }
    }

    fn text(&self) -> String {
        let PlacementSummary { name, listen, control, lease, ask_every, agent_lag, owner_connections } = self;
        let control: Vec<String> = control.iter().map(SocketAddr::to_string).collect();
        format!(
            "placement: this is '{name}', takes forwarded requests at {listen}, asks {} every {ask_every} for a lease \
             of {lease}, agents are at most {agent_lag} behind, keeps {owner_connections} connections to other members at most",
            control.join(", ")
        )
    }
}

/// Returns the rule that applies to a message of this class that ended for this reason, and describes its effect.
fn rule_effect(rules: &Rules, receiver: i64, class: &ClassFacts, reason: Reason) -> (Option<String>, String) {
    let Some(rule) = rules.rule_for(receiver, &class.name, reason) else {
        return (None, "not kept".into());
    };
    let name = Some(rule.name.clone());
    if !rule.keep {
        return (name, "not kept".into());
    }
    let mut parts = vec!["kept".to_string()];
    let may_have_run = reason == Reason::MayHaveRun;
    if may_have_run && class.effect == Effect::Unsafe {
        parts.push("in doubt: waits for a word".into());
    } else if let Some(r) = &rule.resend {
        parts.push(format!("sent again {} times at most, {} apart", r.times, span(r.gap)));
        if r.growth > 1.0 {
            parts.push(format!("growing to {}", span(r.max_gap)));
        }
        if may_have_run && class.effect == Effect::Keyed {
            parts.push("while its key is remembered, then in doubt".into());
        }
    } else {
        parts.push("not sent again".into());
    }
    if rule.supersede {
        parts.push("dropped for a newer one".into());
    }
    if let Some(owed_for) = rule.owed_for {
        let then = match rule.on_expiry {
            ExpiryAction::Keep => "kept for inspection",
            ExpiryAction::Drop => "taken out",
        };
        parts.push(format!("after {} {then}", span(owed_for)));
    }
    (name, parts.join(", "))
}

/// Returns the rules' effects for all receivers that rules name, and for one that stands for all other receivers.
fn rule_effects(rules: &Rules, classes: &[ClassFacts]) -> Vec<RuleEffect> {
    let named = rules.named_receivers();
    // A receiver number that no rule names stands for all other receivers.
    let other = (0..).find(|n| !named.contains(n)).unwrap_or(-1);
    let receivers = named.iter().map(|n| (Some(*n), *n)).chain([(None, other)]);
    let mut list = Vec::new();
    for (receiver, number) in receivers {
        for class in classes {
            for reason in Reason::ALL {
                let (rule, effect) = rule_effect(rules, number, class, reason);
                list.push(RuleEffect { receiver, class: class.name.clone(), reason, rule, effect });
            }
        }
    }
    list
}

/// Checks the options file, prints the result and returns the exit code.
pub fn main(arguments: &Arguments) -> ExitCode {
    let classes = match Config::read(&arguments.config) {
        Ok(config) => class_facts(config.settings.names().classes, &config.settings.settings().classes),
        Err(e) => {
            eprintln!("embershore check: {e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match Options::read(&arguments.file, &classes) {
        Ok(options) => {
            let effects = options.owed.as_ref().map(|rules| rule_effects(rules, &classes));
            let fleet = options.fleet.as_ref().map(FleetSummary::of);
            show(arguments, effects, fleet, options.placement.as_ref().map(PlacementSummary::of));
            ExitCode::SUCCESS
        }
        Err(OptionsError::Invalid { findings, .. }) if arguments.json => {
            println!("{}", serde_json::json!({ "good": false, "findings": findings }));
            ExitCode::FAILURE
        }
        Err(e @ OptionsError::Invalid { .. }) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
        Err(e @ OptionsError::Io { .. }) => {
            eprintln!("embershore check: {e}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn show(
    arguments: &Arguments,
    effects: Option<Vec<RuleEffect>>,
    fleet: Option<FleetSummary>,
    placement: Option<PlacementSummary>,
) {
    if arguments.json {
        let mut shown = serde_json::json!({ "good": true, "owed": effects, "fleet": fleet });
        if let Some(placement) = placement {
            shown["placement"] = serde_json::json!(placement);
        }
        println!("{shown}");
        return;
    }
    println!("{}: good", arguments.file.display());
    if let Some(fleet) = &fleet {
        println!("{}", fleet.text());
    }
    if let Some(placement) = &placement {
        println!("{}", placement.text());
    }
    let Some(effects) = effects else {
        if fleet.is_none() && placement.is_none() {
            println!("nothing is switched on");
        }
        return;
    };
    println!("{:<10} {:<18} {:<17} {:<20} effect", "receiver", "class", "reason", "rule");
    for entry in effects {
        let receiver = entry.receiver.map_or("others".into(), |r| r.to_string());
        let rule = entry.rule.as_deref().unwrap_or("none");
        println!(
            "{receiver:<10} {:<18} {:<17} {rule:<20} {}",
            entry.class,
            entry.reason.name(),
            entry.effect
        );
    }
}
