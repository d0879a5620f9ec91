//! The section `[fleet]` of the operator's options: who this sender is, who the others are, and the times.

use crate::Micros;
use crate::fleet::{Fleet, FleetError, MEMBERS_MOST};
use crate::member::NAME_MOST;
use crate::peers::Times;
use embershore_finding::SpanFinding;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use toml::Spanned;

/// No time of the section is longer: what is found out later than that serves nobody.
const TIME_MOST: Duration = Duration::from_secs(600);
/// Members are not probed more often: a fleet of three hundred would do little else.
const PROBE_LEAST: Duration = Duration::from_millis(100);

/// The section as it is written. [`Section::check`] makes [`FleetOptions`] of it.
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

/// What the operator has agreed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetOptions {
    /// This sender's name.
    pub name: String,
    /// What fails together with it.
    pub domain: String,
    /// Where it listens for datagrams.
    pub address: SocketAddr,
    /// All members, this one among them.
    pub fleet: Fleet,
    /// By name, what each fails together with.
    pub domains: BTreeMap<String, String>,
    /// The times of failure detection.
    pub times: Times,
}

impl FleetOptions {
    /// The domain with the most members, and how many they are: what fails at most by one fault.
    pub fn largest_domain(&self) -> (&str, usize) {
        let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
        self.domains.values().for_each(|domain| *sizes.entry(domain).or_insert(0) += 1);
        sizes.into_iter().max_by_key(|(_, size)| *size).unwrap_or(("", 0))
    }

    /// Whether a majority is left when any one domain fails.
    pub fn outlives_a_domain(&self) -> bool {
        self.fleet.size() - self.largest_domain().1 >= self.fleet.majority()
    }
}

#[derive(Default)]
struct Check {
    found: Vec<SpanFinding>,
}

impl Check {
    fn say(&mut self, place: Range<usize>, what: impl Into<String>) {
        self.found.push(SpanFinding { span: place, message: what.into() });
    }

    fn word(&mut self, field: &str, text: &Spanned<String>) {
        if text.get_ref().is_empty() || text.get_ref().len() > NAME_MOST {
            self.say(text.span(), format!("'{field}' has 1 to {NAME_MOST} bytes"));
        }
    }

    fn time(&mut self, field: &str, time: Option<&Spanned<Span>>, otherwise: Micros) -> Micros {
        let Some(time) = time else { return otherwise };
        let Span(span) = *time.get_ref();
        if !(PROBE_LEAST / 5..=TIME_MOST).contains(&span) {
            self.say(time.span(), format!("'{field}' lies between 20ms and 10m"));
        }
        span.min(TIME_MOST).as_micros() as Micros
    }

    fn address(&mut self, text: &Spanned<String>) -> Option<SocketAddr> {
        let address: Option<SocketAddr> = text.get_ref().parse().ok();
        let usable = address.filter(|a| a.port() != 0 && !a.ip().is_unspecified() && !a.ip().is_multicast());
        if usable.is_none() {
            let what = "is no address that others could send to; write one like \"10.1.0.7:7946\"";
            self.say(text.span(), format!("'{}' {what}", text.get_ref()));
        }
        usable
    }
}

impl Section {
    /// Checks the whole of it.
    ///
    /// # Errors
    /// All findings; places are bytes of the text that was read.
    pub fn check(&self) -> Result<FleetOptions, Vec<SpanFinding>> {
        let mut c = Check::default();
        c.word("name", &self.name);
        let probe = c.time("probe", self.probe.as_ref(), Times::default().probe);
        let usual = Times::of(probe);
        let times = Times {
            probe,
            answer: c.time("answer", self.answer.as_ref(), usual.answer),
            away: c.time("away", self.away.as_ref(), usual.away),
            near: c.time("near", self.near.as_ref(), usual.near),
        };
        let place = |time: &Option<Spanned<Span>>| time.as_ref().map_or(self.name.span(), Spanned::span);
        if probe < PROBE_LEAST.as_micros() as Micros {
            c.say(place(&self.probe), "'probe' is 100ms at least");
        }
        if times.answer * 2 >= probe {
            c.say(place(&self.answer), "'answer' is less than half of 'probe': a second try has to fit in");
        }
        if times.away < probe {
            c.say(
                place(&self.away),
                "'away' is no less than 'probe', or each pause would count as an absence",
            );
        }
        if times.near < probe * 4 {
            c.say(
                place(&self.near),
                "'near' is four times 'probe' at least, or silence would be seen where there is none",
            );
        }
        let (mut list, mut domains, mut own) = (Vec::new(), BTreeMap::new(), None);
        let mut addresses: BTreeMap<SocketAddr, &str> = BTreeMap::new();
        for member in &self.member {
            c.word("name", &member.name);
            c.word("domain", &member.domain);
            let (name, domain) = (member.name.get_ref(), member.domain.get_ref());
            if domains.insert(name.clone(), domain.clone()).is_some() {
                c.say(
                    member.name.span(),
                    format!("'{name}' stands on the list twice; give each sender a name of its own"),
                );
            }
            let Some(address) = c.address(&member.address) else { continue };
            if let Some(other) = addresses.insert(address, name) {
                c.say(member.address.span(), format!("'{other}' has this address as well"));
            }
            if name == self.name.get_ref() {
                own = Some((domain.clone(), address));
            }
            list.push((name.clone(), address));
        }
        if self.member.len() > MEMBERS_MOST {
            c.say(self.name.span(), FleetError::Many(self.member.len()).to_string());
        } else if !domains.contains_key(self.name.get_ref()) {
            c.say(self.name.span(), FleetError::Absent(self.name.get_ref().clone()).to_string());
        }
        match (Fleet::new(list), own) {
            (Ok(fleet), Some((domain, address))) if c.found.is_empty() => {
                Ok(FleetOptions { name: self.name.get_ref().clone(), domain, address, fleet, domains, times })
            }
            _ => Err(c.found),
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
    fn times_follow_the_probe_where_they_are_not_said() {
        let two = member("n0", "10.0.0.1:7946", "rack-1") + &member("n1", "10.0.0.2:7946", "rack-2");
        let plain = read(&format!("name = \"n1\"\n{two}")).unwrap();
        assert_eq!(plain.times, Times::default());
        assert_eq!((plain.domain.as_str(), plain.address), ("rack-2", ([10, 0, 0, 2], 7946).into()));
        assert_eq!((plain.fleet.size(), plain.domains["n0"].as_str()), (2, "rack-1"));
        let quick = read(&format!("name = \"n1\"\nprobe = \"200ms\"\n{two}")).unwrap();
        let times = Times { probe: 200_000, answer: 80_000, away: 400_000, near: 1_600_000 };
        assert_eq!(quick.times, times);
    }

    #[test]
    fn a_fleet_outlives_a_domain_that_holds_less_than_half_of_it() {
        let three = |domains: [&str; 3]| {
            let line = |(n, d): (usize, &&str)| member(&format!("n{n}"), &format!("10.0.0.{n}:7946"), d);
            let list: String = domains.iter().enumerate().map(line).collect();
            read(&format!("name = \"n0\"\n{}", list.replace("10.0.0.0", "10.0.0.9"))).unwrap()
        };
        assert!(three(["a", "b", "c"]).outlives_a_domain());
        let two = three(["a", "b", "b"]);
        assert_eq!((two.largest_domain(), two.outlives_a_domain()), (("b", 2), false));
    }

    #[test]
    fn all_that_is_wrong_is_told_at_its_line() {
        let text = String::from(
            "name = \"n9\"\nprobe = \"1s\"\nanswer = \"600ms\"\naway = \"500ms\"\nnear = \"1s\"\n",
        ) + &member("n0", "10.0.0.1:7946", "")
            + &member("n0", "10.0.0.1:7946", "a")
            + &member("n2", "0.0.0.0:7946", "a")
            + &member("n3", "somewhere:7946", "a");
        let lines: Vec<usize> = read(&text).unwrap_err().into_iter().map(|f| f.0).collect();
        assert_eq!(lines, [1, 3, 4, 5, 9, 11, 12, 16, 20]);
        assert!(read("name = \"n0\"\n").unwrap_err()[0].1.contains("add it, or mend the name"));
        assert!(read("name = \"n0\"\nprobes = \"1s\"\n").unwrap_err()[0].1.contains("unknown field"));
        let long = read(&format!("name = \"n0\"\nprobe = \"11m\"\n{}", member("n0", "10.0.0.1:1", "a")))
            .unwrap_err();
        assert_eq!(long[0], (2, "'probe' lies between 20ms and 10m".into()));
    }
}
