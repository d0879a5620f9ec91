//! The section `[placement]` of the operator's options file.
//! The section sets this member's name and the address at which this member accepts forwarded requests.
//! The section also sets the control agents (which serve the member list), times and limits.

use embershore_finding::SpanFinding;
use heronroute::Micros;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};
use std::time::Duration;
use toml::Spanned;

/// Maximum length of a member's name in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of control agents. A longer list of agents only lengthens the search for an agent that answers.
const MAX_CONTROL_AGENTS: usize = 8;
/// Bounds of the lease. A shorter lease would expire between two polls on a busy machine.
/// A longer lease would keep gained shards on hold for longer than most outages last.
const LEASE_BOUNDS: RangeInclusive<Duration> = Duration::from_secs(2)..=Duration::from_secs(300);
const DEFAULT_LEASE: Duration = Duration::from_secs(10);
/// Default number of polls to the control agent during one lease.
const POLLS_PER_LEASE: u32 = 4;
/// Minimum time between polls. More frequent polls would cost more than everything else that an idle member does.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum delay of a control agent. A longer delay would keep gained shards on hold for longer than most outages last.
const MAX_AGENT_LAG: Duration = Duration::from_secs(300);
/// Allowed numbers of persistent connections to other members.
/// Each connection uses a file descriptor that is then not available for connections to endpoints.
const OWNER_CONNECTIONS_BOUNDS: RangeInclusive<usize> = 1..=1024;
const DEFAULT_OWNER_CONNECTIONS: usize = 64;

/// The section `[placement]` as written in the options file. [`Section::check`] turns it into [`PlacementOptions`].
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

/// The validated options of the section `[placement]`, with defaults filled in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementOptions {
    /// This sender's name in the member list.
    pub name: String,
    /// The address at which this sender listens for requests that other members forward.
    pub listen: SocketAddr,
    /// The control agents that serve the member list. If one agent does not answer, the next agent is polled.
    pub control_agents: Vec<SocketAddr>,
    /// How long an answer of a control agent is valid, counted from the poll, in microseconds.
    pub lease: Micros,
    /// The interval between polls of a control agent, in microseconds.
    pub poll_interval: Micros,
    /// How long a control agent may still answer with an earlier epoch, in microseconds.
    /// The time counts from when a later epoch was first sent to any sender, see [`crate::LeaseTimes::agent_lag`].
    pub agent_lag: Micros,
    /// Maximum number of persistent connections to other members.
    pub max_owner_connections: usize,
}

#[derive(Default)]
struct Checker {
    findings: Vec<SpanFinding>,
}

impl Checker {
    fn report(&mut self, span: Range<usize>, message: impl Into<String>) {
        self.findings.push(SpanFinding { span, message: message.into() });
    }

    fn name(&mut self, name: &Spanned<String>) -> String {
        let length = name.get_ref().len();
        if !(1..=MAX_NAME_BYTES).contains(&length) {
            let message = format!("'name' must have 1 to {MAX_NAME_BYTES} bytes, not {length}");
            self.report(name.span(), message);
        }
        name.get_ref().clone()
    }

    /// Parses an IP address with a port that other processes can connect to.
    fn address(&mut self, text: &Spanned<String>) -> Option<SocketAddr> {
        let address: Option<SocketAddr> = text.get_ref().parse().ok();
        let usable = address.filter(|address| {
            address.port() != 0 && !address.ip().is_unspecified() && !address.ip().is_multicast()
        });
        if usable.is_none() {
            let message = format!(
                "'{}' is not an address to connect to; write an IP address and a port like \"10.1.0.7:7001\"",
                text.get_ref()
            );
            self.report(text.span(), message);
        }
        usable
    }

    fn control_agents(&mut self, control: &Spanned<Vec<Spanned<String>>>) -> Vec<SocketAddr> {
        let listed = control.get_ref();
        if !(1..=MAX_CONTROL_AGENTS).contains(&listed.len()) {
            let message =
                format!("'control' must name 1 to {MAX_CONTROL_AGENTS} control agents, not {}", listed.len());
            self.report(control.span(), message);
        }
        let mut seen = BTreeSet::new();
        let mut addresses = Vec::new();
        for text in listed {
            let Some(address) = self.address(text) else { continue };
            if seen.insert(address) {
                addresses.push(address);
            } else {
                self.report(text.span(), format!("'{address}' is listed twice; remove one"));
            }
        }
        addresses
    }

    fn lease(&mut self, lease: Option<&Spanned<Span>>) -> Duration {
        let Some(lease) = lease else { return DEFAULT_LEASE };
        let Span(span) = *lease.get_ref();
        if !LEASE_BOUNDS.contains(&span) {
            self.report(lease.span(), format!("'lease' must be between 2s and 5m, not {span:?}"));
        }
        span.clamp(*LEASE_BOUNDS.start(), *LEASE_BOUNDS.end())
    }

    fn poll_interval(&mut self, ask_every: Option<&Spanned<Span>>, lease: Duration) -> Duration {
        let Some(ask_every) = ask_every else { return lease / POLLS_PER_LEASE };
        let Span(span) = *ask_every.get_ref();
        if span < MIN_POLL_INTERVAL {
            self.report(ask_every.span(), format!("'ask_every' must be at least 100ms, not {span:?}"));
        }
        if span > lease / 2 {
            let message = format!(
                "'ask_every' must be at most half of 'lease', {:?}, not {span:?}, or one lost answer would let the \
                 lease expire",
                lease / 2
            );
            self.report(ask_every.span(), message);
        }
        span.clamp(MIN_POLL_INTERVAL, lease)
    }

    fn agent_lag(&mut self, agent_lag: Option<&Spanned<Span>>) -> Duration {
        let Some(agent_lag) = agent_lag else { return Duration::ZERO };
        let Span(span) = *agent_lag.get_ref();
        if span > MAX_AGENT_LAG {
            self.report(agent_lag.span(), format!("'agent_lag' must be at most 5m, not {span:?}"));
        }
        span.min(MAX_AGENT_LAG)
    }

    fn max_owner_connections(&mut self, count: Option<&Spanned<i64>>) -> usize {
        let Some(count) = count else { return DEFAULT_OWNER_CONNECTIONS };
        let checked = usize::try_from(*count.get_ref()).ok();
        let checked = checked.filter(|count| OWNER_CONNECTIONS_BOUNDS.contains(count));
        if checked.is_none() {
            let (min, max) = (OWNER_CONNECTIONS_BOUNDS.start(), OWNER_CONNECTIONS_BOUNDS.end());
            let given = count.get_ref();
            let message = format!("'owner_connections' must be between {min} and {max}, not {given}");
            self.report(count.span(), message);
        }
        checked.unwrap_or(DEFAULT_OWNER_CONNECTIONS)
    }
}

impl Section {
    /// Validates the section `[placement]`.
    ///
    /// # Errors
    /// Returns all errors found in the section; their spans are byte ranges of the options file's text.
    pub fn check(&self) -> Result<PlacementOptions, Vec<SpanFinding>> {
        let mut checker = Checker::default();
        let name = checker.name(&self.name);
        let listen = checker.address(&self.listen);
        let control_agents = checker.control_agents(&self.control);
        let lease = checker.lease(self.lease.as_ref());
        let poll_interval = checker.poll_interval(self.ask_every.as_ref(), lease);
        let agent_lag = micros(checker.agent_lag(self.agent_lag.as_ref()));
        let max_owner_connections = checker.max_owner_connections(self.owner_connections.as_ref());
        match listen {
            Some(listen) if checker.findings.is_empty() => {
                let (lease, poll_interval) = (micros(lease), micros(poll_interval));
                Ok(PlacementOptions {
                    name,
                    listen,
                    control_agents,
                    lease,
                    poll_interval,
                    agent_lag,
                    max_owner_connections,
                })
            }
            _ => Err(checker.findings),
        }
    }
}

/// Converts a duration to microseconds. The durations of the section are minutes at most, so they can't overflow.
fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}
