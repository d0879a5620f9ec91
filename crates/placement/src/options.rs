//! The section `[placement]` of the operator's options: this member's name, where it takes forwarded requests, who
//! tells the member list, and the times and bounds that go with it.

use embershore_finding::SpanFinding;
use heronroute::Micros;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};
use std::time::Duration;
use toml::Spanned;

/// Bytes of a member's name at most.
const NAME_MOST: usize = 128;
/// Control agents that can be named. More than a few only lengthen the search for one that answers.
const CONTROL_MOST: usize = 8;
/// A shorter lease expires between two questions on a busy machine; a longer one keeps gained shards on hold for
/// longer than an outage of most causes lasts.
const LEASE_BOUNDS: RangeInclusive<Duration> = Duration::from_secs(2)..=Duration::from_secs(300);
const LEASE_DEFAULT: Duration = Duration::from_secs(10);
/// Questions to the control agent by default in the time of one lease.
const ASKS_PER_LEASE: u32 = 4;
/// More frequent questions cost more than all else that a quiet member does.
const ASK_EVERY_LEAST: Duration = Duration::from_millis(100);
/// A longer lag of an agent keeps gained shards on hold for longer than an outage of most causes lasts.
const AGENT_LAG_MOST: Duration = Duration::from_secs(300);
/// Kept connections to other members; they are taken from the descriptors that endpoints' connections may use.
const OWNER_CONNECTIONS_BOUNDS: RangeInclusive<usize> = 1..=1024;
const OWNER_CONNECTIONS_DEFAULT: usize = 64;

/// The section as it is written. [`Section::check`] makes [`PlacementOptions`] of it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Section {
    name: Spanned<String>,
    listen: Spanned<String>,
    control: Spanned<Vec<Spanned<String>>>,
    lease: Option<Spanned<Span>>,
    ask_every: Option<Spanned<Span>>,
    agent_lag: Option<Spanned<Span>>,
    owner_connections: Option<Spanned<i64>>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct Span(#[serde(with = "humantime_serde")] Duration);

/// What the operator has agreed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementOptions {
    /// This sender's name in the member list.
    pub name: String,
    /// Where it listens for requests that other members forward.
    pub listen: SocketAddr,
    /// The control agents that tell the member list, asked in turn.
    pub control: Vec<SocketAddr>,
    /// How long an answer of a control agent holds, counted from the question, in microseconds.
    pub lease: Micros,
    /// How often a control agent is asked, in microseconds.
    pub ask_every: Micros,
    /// How long an agent may still answer with an epoch after a later one was first told, in microseconds; see
    /// [`crate::LeaseTimes::agent_lag`].
    pub agent_lag: Micros,
    /// Kept connections to other members at most.
    pub owner_connections: usize,
}

#[derive(Default)]
struct Checker {
    found: Vec<SpanFinding>,
}

impl Checker {
    fn report(&mut self, place: Range<usize>, what: impl Into<String>) {
        self.found.push(SpanFinding { span: place, message: what.into() });
    }

    fn name(&mut self, name: &Spanned<String>) -> String {
        let length = name.get_ref().len();
        if !(1..=NAME_MOST).contains(&length) {
            self.report(name.span(), format!("'name' has 1 to {NAME_MOST} bytes"));
        }
        name.get_ref().clone()
    }

    /// An address with a port that others can connect to.
    fn address(&mut self, text: &Spanned<String>) -> Option<SocketAddr> {
        let address: Option<SocketAddr> = text.get_ref().parse().ok();
        let usable = address.filter(|a| a.port() != 0 && !a.ip().is_unspecified() && !a.ip().is_multicast());
        if usable.is_none() {
            let what = "is no address to connect to; write one like \"10.1.0.7:7001\"";
            self.report(text.span(), format!("'{}' {what}", text.get_ref()));
        }
        usable
    }

    fn control(&mut self, control: &Spanned<Vec<Spanned<String>>>) -> Vec<SocketAddr> {
        let listed = control.get_ref();
        if !(1..=CONTROL_MOST).contains(&listed.len()) {
            let what = format!("'control' names 1 to {CONTROL_MOST} control agents, not {}", listed.len());
            self.report(control.span(), what);
        }
        let mut seen = BTreeSet::new();
        let mut addresses = Vec::new();
        for text in listed {
            let Some(address) = self.address(text) else { continue };
            if seen.insert(address) {
                addresses.push(address);
            } else {
                self.report(text.span(), format!("'{address}' is named twice; leave one out"));
            }
        }
        addresses
    }

    fn lease(&mut self, lease: Option<&Spanned<Span>>) -> Duration {
        let Some(lease) = lease else { return LEASE_DEFAULT };
        let Span(span) = *lease.get_ref();
        if !LEASE_BOUNDS.contains(&span) {
            self.report(lease.span(), "'lease' lies between 2s and 5m");
        }
        span.clamp(*LEASE_BOUNDS.start(), *LEASE_BOUNDS.end())
    }

    fn ask_every(&mut self, ask_every: Option<&Spanned<Span>>, lease: Duration) -> Duration {
        let Some(ask_every) = ask_every else { return lease / ASKS_PER_LEASE };
        let Span(span) = *ask_every.get_ref();
        if span < ASK_EVERY_LEAST {
            self.report(ask_every.span(), "'ask_every' is 100ms at least");
        }
        if span > lease / 2 {
            let what =
                "'ask_every' is half of 'lease' at most, or one lost answer would let the lease expire";
            self.report(ask_every.span(), what);
        }
        span.clamp(ASK_EVERY_LEAST, lease)
    }

    fn agent_lag(&mut self, agent_lag: Option<&Spanned<Span>>) -> Duration {
        let Some(agent_lag) = agent_lag else { return Duration::ZERO };
        let Span(span) = *agent_lag.get_ref();
        if span > AGENT_LAG_MOST {
            self.report(agent_lag.span(), "'agent_lag' is 5m at most");
        }
        span.min(AGENT_LAG_MOST)
    }

    fn owner_connections(&mut self, count: Option<&Spanned<i64>>) -> usize {
        let Some(count) = count else { return OWNER_CONNECTIONS_DEFAULT };
        let checked = usize::try_from(*count.get_ref()).ok();
        let checked = checked.filter(|count| OWNER_CONNECTIONS_BOUNDS.contains(count));
        if checked.is_none() {
            let (least, most) = (OWNER_CONNECTIONS_BOUNDS.start(), OWNER_CONNECTIONS_BOUNDS.end());
            self.report(count.span(), format!("'owner_connections' lies between {least} and {most}"));
        }
        checked.unwrap_or(OWNER_CONNECTIONS_DEFAULT)
    }
}

impl Section {
    /// Checks the whole of it.
    ///
    /// # Errors
    /// All findings; places are bytes of the text that was read.
    pub fn check(&self) -> Result<PlacementOptions, Vec<SpanFinding>> {
        let mut checker = Checker::default();
        let name = checker.name(&self.name);
        let listen = checker.address(&self.listen);
        let control = checker.control(&self.control);
        let lease = checker.lease(self.lease.as_ref());
        let ask_every = checker.ask_every(self.ask_every.as_ref(), lease);
        let agent_lag = micros(checker.agent_lag(self.agent_lag.as_ref()));
        let owner_connections = checker.owner_connections(self.owner_connections.as_ref());
        match listen {
            Some(listen) if checker.found.is_empty() => {
                let (lease, ask_every) = (micros(lease), micros(ask_every));
                Ok(PlacementOptions { name, listen, control, lease, ask_every, agent_lag, owner_connections })
            }
            _ => Err(checker.found),
        }
    }
}

/// Spans of the section are bounded by minutes: they fit.
fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}
