//! The `[[receiver]]` tables: the stand-in receivers and their endpoints.

use super::checks::{Checks, positive, share};
use super::defaults;
use super::file::Raw;
use crate::parameters::{self, Effect};
use crate::span::{Micros, Span};
use serde::Deserialize;
use std::collections::BTreeSet;
use toml::Spanned;

/// Maximum number of endpoints of a scenario.
/// Each endpoint needs one socket per sender, and all sockets must fit in the usual limit on descriptors.
pub const MAX_ENDPOINTS: usize = 4096;

/// Log-normal distribution of a receiver's time per message, given by its median and 99th percentile.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// Median of the time per message.
    pub median: Span,
    /// 99th percentile of the time per message.
    pub p99: Span,
}

impl Latency {
    /// Returns the standard deviation of the logarithm of the time per message.
    pub fn sigma(&self) -> f64 {
        // The 99th percentile of a normal distribution is 2.326 standard deviations above its mean.
        ((self.p99.0.max(1) as f64) / (self.median.0.max(1) as f64)).ln().max(0.0) / 2.326
    }

    /// Returns the mean time per message in seconds.
    pub fn mean(&self) -> f64 {
        self.median.secs() * (self.sigma().powi(2) / 2.0).exp()
    }
}

/// Limit on the calls that a receiver accepts from all senders together.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Maximum number of calls per time window, or per second for a limit without windows.
    pub calls: f64,
    /// Length of the fixed windows. If absent, the limit is a rate per second, which refused calls use up too.
    #[serde(default)]
    pub window: Option<Span>,
}

impl Limit {
    /// Returns the limit on calls as a rate in calls per second.
    pub fn rate(&self) -> f64 {
        self.calls / self.window.map_or(1.0, Span::secs)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawReceiver {
    pub(super) number: Spanned<i64>,
    #[serde(default)]
    pub(super) count: Option<Spanned<usize>>,
    pub(super) kind: Spanned<String>,
    pub(super) endpoints: Spanned<usize>,
    #[serde(default)]
    pub(super) share: Option<f64>,
    #[serde(default)]
    pub(super) limit: Option<Spanned<Limit>>,
    pub(super) capacity: Spanned<f64>,
    pub(super) latency: Spanned<Latency>,
    #[serde(default = "defaults::half")]
    pub(super) tells_waits: f64,
    #[serde(default = "defaults::waits")]
    pub(super) wait: [Span; 2],
    #[serde(default = "defaults::queue")]
    pub(super) queue: usize,
    #[serde(default = "defaults::fifth")]
    pub(super) cold_from: f64,
    #[serde(default = "defaults::warm")]
    pub(super) warm_up: Span,
    #[serde(default)]
    pub(super) key_memory: Option<Span>,
    #[serde(default)]
    pub(super) error_share: f64,
}

/// A stand-in receiver, as the scenario defines it.
#[derive(Clone, Debug)]
pub struct Receiver {
    /// Number by which the scenario refers to the receiver.
    pub number: i64,
    /// Index of the receiver's kind in the scenario.
    pub kind: usize,
    /// Number of the receiver's endpoints at the start of the run.
    pub endpoints: usize,
    /// Share of the traffic that the receiver gets.
    pub share: f64,
    /// Limit on the calls that the receiver accepts from all senders together.
    pub limit: Option<Limit>,
    /// Messages per second that the receiver can handle when it is warm.
    pub capacity: f64,
    /// Distribution of the receiver's time per message.
    pub latency: Latency,
    /// Share of the receiver's refusals that advertise a wait.
    pub tells_waits: f64,
    /// Range of the advertised waits. A limit per time window instead advertises the time until its window ends.
    pub wait: [Span; 2],
    /// Maximum number of messages that queue at an endpoint.
    pub queue: usize,
    /// How long the receiver remembers idempotency keys; 0 to remember none.
    pub key_memory: Micros,
    /// Share of all calls that the receiver answers with an error.
    pub error_share: f64,
}

/// Checks the `[[receiver]]` tables; returns the properties for the rig, and the parameters for the judge.
pub(super) fn receivers(
    raw: &Raw,
    checks: &mut Checks<'_>,
    kinds: &[String],
) -> (Vec<Receiver>, Vec<parameters::Receiver>) {
    let list = raw.receiver.get_ref();
    checks.require(!list.is_empty(), raw.receiver.span(), "the scenario has no receiver; add a [[receiver]]");
    let (mut receivers, mut all_parameters): (Vec<Receiver>, Vec<parameters::Receiver>) =
        (Vec::new(), Vec::new());
    let (mut seen, mut endpoints) = (BTreeSet::new(), 0);
    for raw_receiver in list {
        let kind = checks.index(&raw_receiver.kind, kinds.iter(), "kind");
        raw_receiver.check(checks);
        endpoints += raw_receiver.count().saturating_mul(*raw_receiver.endpoints.get_ref());
        if endpoints > MAX_ENDPOINTS {
            checks.at(
                raw_receiver.endpoints.span(),
                format!("{endpoints} endpoints in all; use {MAX_ENDPOINTS} at most"),
            );
            break;
        }
        let separate_routes = kind.is_some_and(|k| raw.kind[k].get_ref().separate_routes);
        for n in 0..raw_receiver.count() as i64 {
            let number = raw_receiver.number.get_ref().saturating_add(n);
            checks.require(
                seen.insert(number),
                raw_receiver.number.span(),
                format!("duplicate receiver number {number}; choose another"),
            );
            receivers.push(raw_receiver.receiver(number, kind.unwrap_or(0)));
            all_parameters.push(raw_receiver.to_parameters(number, separate_routes));
        }
    }
    set_key_memory(raw, checks, &mut receivers);
    (receivers, all_parameters)
}

/// Sets how long receivers remember idempotency keys: at least the longest window of the keyed classes.
/// With a shorter memory, repeated deliveries would take effect.
fn set_key_memory(raw: &Raw, checks: &mut Checks<'_>, receivers: &mut [Receiver]) {
    let keyed = raw.class.get_ref().iter().filter(|k| k.effect == Effect::Keyed);
    let windows = keyed.filter_map(|k| k.window.as_ref()).map(|w| w.get_ref().0);
    let Some(window) = windows.max() else { return };
    let given = raw.receiver.get_ref().iter().flat_map(|r| std::iter::repeat_n(r, r.count()));
    for (receiver, given) in receivers.iter_mut().zip(given) {
        match given.key_memory {
            None => receiver.key_memory = window,
            Some(memory) if memory.0 < window => {
                checks.at(
                    given.number.span(),
                    "'key_memory' is shorter than the 'window' of a keyed class; increase it",
                );
            }
            Some(_) => {}
        }
    }
}

impl RawReceiver {
    /// Returns the number of identical receivers that the table defines; the receivers' numbers are consecutive.
    pub(super) fn count(&self) -> usize {
        self.count.as_ref().map_or(1, |n| *n.get_ref())
    }

    fn check(&self, checks: &mut Checks<'_>) {
        let at = self.number.span();
        checks.require(*self.endpoints.get_ref() > 0, self.endpoints.span(), "'endpoints' must be 1 or more");
        checks.require(
            positive(*self.capacity.get_ref()),
            self.capacity.span(),
            "'capacity' must be above 0 messages per second",
        );
        let latency = self.latency.get_ref();
        let fits = latency.median.0 > 0 && latency.median <= latency.p99;
        checks.require(fits, self.latency.span(), "'median' must be above 0s and no longer than 'p99'");
        if let Some(limit) = &self.limit {
            let window = limit.get_ref().window;
            let fits = positive(limit.get_ref().calls) && window.is_none_or(|w| w.0 > 0);
            checks.require(fits, limit.span(), "'calls' must be above 0, and 'window', if given, too");
        }
        for (what, value) in [
            ("tells_waits", self.tells_waits),
            ("cold_from", self.cold_from),
            ("error_share", self.error_share),
        ] {
            checks.require(share(value), at.clone(), format!("'{what}' must be from 0 to 1"));
        }
        checks.require(self.wait[0] <= self.wait[1], at, "'wait' must be [from, to] with from <= to");
    }

    fn receiver(&self, number: i64, kind: usize) -> Receiver {
        Receiver {
            number,
            kind,
            endpoints: *self.endpoints.get_ref(),
            share: self.share.unwrap_or(1.0) / self.count() as f64,
            limit: self.limit.as_ref().map(|l| *l.get_ref()),
            capacity: *self.capacity.get_ref(),
            latency: *self.latency.get_ref(),
            tells_waits: self.tells_waits,
            wait: self.wait,
            queue: self.queue,
            key_memory: self.key_memory.map_or(0, |s| s.0),
            error_share: self.error_share,
        }
    }

    fn to_parameters(&self, number: i64, separate_routes: bool) -> parameters::Receiver {
        let capacity = *self.capacity.get_ref();
        parameters::Receiver {
            number,
            kind: self.kind.get_ref().clone(),
            separate_routes,
            capacity,
            rate: self.limit.as_ref().map_or(capacity, |l| l.get_ref().rate()),
            cold_from: self.cold_from,
            warm_up: self.warm_up.0,
        }
    }
}
