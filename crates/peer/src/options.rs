//! The section `[fleet]` of the options file: this sender's name, the member list, and the times of failure detection.

use crate::Micros;
use crate::fleet::{Fleet, FleetError, MAX_MEMBERS};
use crate::member::MAX_NAME_BYTES;
use crate::peers::Times;
use embershore_finding::SpanFinding;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use toml::Spanned;

/// The maximum of each time in the section `[fleet]`. Detecting a failure even later would be useless.
const MAX_TIME: Duration = Duration::from_secs(600);
/// The minimum interval between probes. With more frequent probes, a fleet of 300 members would do little else.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// The section `[fleet]` as written in the options file. [`Section::check`] turns it into [`FleetOptions`].
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Section {
    name: Spanned<String>,
    #[serde(default)]
    member: Vec<RawMember>,
    probe: Option<Spanned<Span>>,
    answer: Option<Spanned<Span>>,
    away: Option<Spanned<Span>>,
    near: Option<Spanned<Span>>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct Span(#[serde(with = "humantime_serde")] Duration);

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMember {
    name: Spanned<String>,
    address: Spanned<String>,
    domain: Spanned<String>,
}

/// The checked section `[fleet]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOptions {
    /// This sender's name on the member list.
    pub name: String,
    /// This sender's failure domain, such as a machine, rack or building.
    pub domain: String,
    /// The address at which this sender receives datagrams.
    pub address: SocketAddr,
    /// All members of the fleet, including this sender.
    pub fleet: Fleet,
    /// The failure domain of each member, by name.
    pub domains: BTreeMap<String, String>,
    /// The times of failure detection.
    pub times: Times,
}

impl FleetOptions {
    /// Returns the failure domain with the most members, all of which one fault may take down, and their number.
    pub fn largest_domain(&self) -> (&str, usize) {
        let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
        self.domains.values().for_each(|domain| *sizes.entry(domain).or_insert(0) += 1);
        sizes.into_iter().max_by_key(|(_, size)| *size).unwrap_or(("", 0))
    }

    /// Returns whether a majority of the fleet remains when any single failure domain fails.
    pub fn survives_domain_failure(&self) -> bool {
        self.fleet.size() - self.largest_domain().1 >= self.fleet.majority()
    }
}

/// Validates the fields of the section `[fleet]` and collects the errors found.
#[derive(Default)]
struct Check {
    findings: Vec<SpanFinding>,
}

impl Check {
    fn report(&mut self, place: Range<usize>, message: impl Into<String>) {
        self.findings.push(SpanFinding { span: place, message: message.into() });
    }

    fn check_text(&mut self, field: &str, text: &Spanned<String>) {
        let length = text.get_ref().len();
        if length == 0 || length > MAX_NAME_BYTES {
            self.report(
                text.span(),
                format!("'{field}' must be 1 to {MAX_NAME_BYTES} bytes long, got {length}"),
            );
        }
    }

    fn time(&mut self, field: &str, time: Option<&Spanned<Span>>, default: Micros) -> Micros {
        let Some(time) = time else { return default };
        let Span(span) = *time.get_ref();
        if !(MIN_PROBE_INTERVAL / 5..=MAX_TIME).contains(&span) {
            self.report(time.span(), format!("'{field}' must be between 20ms and 10m, got {span:?}"));
        }
        span.min(MAX_TIME).as_micros() as Micros
    }

    fn address(&mut self, text: &Spanned<String>) -> Option<SocketAddr> {
        let address: Option<SocketAddr> = text.get_ref().parse().ok();
        let usable = address.filter(|a| a.port() != 0 && !a.ip().is_unspecified() && !a.ip().is_multicast());
        if usable.is_none() {
            let what = "is not an address that other members can send to; give an IP address and a port, such as \
                        \"10.1.0.7:7946\"";
            self.report(text.span(), format!("'{}' {what}", text.get_ref()));
        }
        usable
    }
}

impl Section {
    /// Validates the complete section `[fleet]`.
    ///
    /// # Errors
    /// Returns all errors found, with their byte ranges in the options file's text.
    pub fn check(&self) -> Result<FleetOptions, Vec<SpanFinding>> {
        let mut check = Check::default();
        check.check_text("name", &self.name);
        let probe_interval = check.time("probe", self.probe.as_ref(), Times::default().probe_interval);
        let defaults = Times::for_probe_interval(probe_interval);
        let times = Times {
            probe_interval,
            probe_timeout: check.time("answer", self.answer.as_ref(), defaults.probe_timeout),
            max_pause: check.time("away", self.away.as_ref(), defaults.max_pause),
            recent_window: check.time("near", self.near.as_ref(), defaults.recent_window),
        };
        let place = |time: &Option<Spanned<Span>>| time.as_ref().map_or(self.name.span(), Spanned::span);
        if probe_interval < MIN_PROBE_INTERVAL.as_micros() as Micros {
            check.report(place(&self.probe), "'probe' must be at least 100ms; increase it");
        }
        if times.probe_timeout * 2 >= probe_interval {
            check.report(
                place(&self.answer),
                "'answer' must be less than half of 'probe', so that a second try fits into the interval",
            );
        }
        if times.max_pause < probe_interval {
            check.report(
                place(&self.away),
                "'away' must be at least 'probe', or each idle interval would count as a suspension of the process",
            );
        }
        if times.recent_window < probe_interval * 4 {
            check.report(
                place(&self.near),
                "'near' must be at least four times 'probe', or reachable members would count as silent",
            );
        }
        let (mut list, mut domains, mut own) = (Vec::new(), BTreeMap::new(), None);
        let mut addresses: BTreeMap<SocketAddr, &str> = BTreeMap::new();
        for member in &self.member {
            check.check_text("name", &member.name);
            check.check_text("domain", &member.domain);
            let (name, domain) = (member.name.get_ref(), member.domain.get_ref());
            if domains.insert(name.clone(), domain.clone()).is_some() {
                check.report(
                    member.name.span(),
                    format!("member '{name}' is on the list twice; give each sender a unique name"),
                );
            }
            let Some(address) = check.address(&member.address) else { continue };
            if let Some(other) = addresses.insert(address, name) {
                check.report(
                    member.address.span(),
                    format!("member '{other}' has the same address; give each member its own address"),
                );
            }
            if name == self.name.get_ref() {
                own = Some((domain.clone(), address));
            }
            list.push((name.clone(), address));
        }
        if self.member.len() > MAX_MEMBERS {
            check.report(self.name.span(), FleetError::TooMany(self.member.len()).to_string());
        } else if !domains.contains_key(self.name.get_ref()) {
            check.report(self.name.span(), FleetError::MissingSelf(self.name.get_ref().clone()).to_string());
        }
        match (Fleet::new(list), own) {
            (Ok(fleet), Some((domain, address))) if check.findings.is_empty() => {
                Ok(FleetOptions { name: self.name.get_ref().clone(), domain, address, fleet, domains, times })
            }
            _ => Err(check.findings),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<FleetOptions, Vec<(usize, String)>> {
        let section: Section = toml::from_str(text).map_err(|e| vec![(0, e.to_string())])?;
        let found = |found| {
            embershore_finding::SpanFinding::resolve(text, found).into_iter().map(|f| (f.line, f.message))
        };
        section.check().map_err(|all| found(all).collect())
    }

    fn member(name: &str, address: &str, domain: &str) -> String {
        format!("[[member]]\nname = \"{name}\"\naddress = \"{address}\"\ndomain = \"{domain}\"\n")
    }

    #[test]
    fn times_that_are_not_set_follow_from_the_probe_interval() {
        let two = member("n0", "10.0.0.1:7946", "rack-1") + &member("n1", "10.0.0.2:7946", "rack-2");
        let plain = read(&format!("name = \"n1\"\n{two}")).unwrap();
        assert_eq!(plain.times, Times::default());
        assert_eq!((plain.domain.as_str(), plain.address), ("rack-2", ([10, 0, 0, 2], 7946).into()));
        assert_eq!((plain.fleet.size(), plain.domains["n0"].as_str()), (2, "rack-1"));
        let quick = read(&format!("name = \"n1\"\nprobe = \"200ms\"\n{two}")).unwrap();
        let times = Times {
            probe_interval: 200_000,
            probe_timeout: 80_000,
            max_pause: 400_000,
            recent_window: 1_600_000,
        };
        assert_eq!(quick.times, times);
    }

    #[test]
    fn a_fleet_survives_the_failure_of_a_domain_with_less_than_half_of_it() {
        let three = |domains: [&str; 3]| {
            let line = |(n, d): (usize, &&str)| member(&format!("n{n}"), &format!("10.0.0.{n}:7946"), d);
            let list: String = domains.iter().enumerate().map(line).collect();
            read(&format!("name = \"n0\"\n{}", list.replace("10.0.0.0", "10.0.0.9"))).unwrap()
        };
        assert!(three(["a", "b", "c"]).survives_domain_failure());
        let two = three(["a", "b", "b"]);
        assert_eq!((two.largest_domain(), two.survives_domain_failure()), (("b", 2), false));
    }

    #[test]
    fn all_findings_are_reported_with_their_lines() {
        let text = String::from(
            "name = \"n9\"\nprobe = \"1s\"\nanswer = \"600ms\"\naway = \"500ms\"\nnear = \"1s\"\n",
        ) + &member("n0", "10.0.0.1:7946", "")
            + &member("n0", "10.0.0.1:7946", "a")
            + &member("n2", "0.0.0.0:7946", "a")
            + &member("n3", "somewhere:7946", "a");
        let lines: Vec<usize> = read(&text).unwrap_err().into_iter().map(|f| f.0).collect();
        assert_eq!(lines, [1, 3, 4, 5, 9, 11, 12, 16, 20]);
        assert!(read("name = \"n0\"\n").unwrap_err()[0].1.contains("add it there, or correct 'name'"));
        assert!(read("name = \"n0\"\nprobes = \"1s\"\n").unwrap_err()[0].1.contains("unknown field"));
        let long = read(&format!("name = \"n0\"\nprobe = \"11m\"\n{}", member("n0", "10.0.0.1:1", "a")))
            .unwrap_err();
        assert_eq!(long[0], (2, "'probe' must be between 20ms and 10m, got 660s".into()));
    }
}
