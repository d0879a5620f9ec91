//! The `[[receiver]]` tables: the stand-in receivers and their endpoints.

use super::checks::{Checks, positive, share};
use super::defaults;
use super::file::Raw;
use crate::parameters::{self, Effect};
use crate::span::{Micros, Span};
use serde::Deserialize;
use std::collections::BTreeSet;
use toml::Spanned;

/// Endpoints of a scenario at most: each is a socket for each sender, under a usual limit on descriptors.
pub const MAX_ENDPOINTS: usize = 4096;

/// How long a receiver takes for a message: a log-normal, given by two of its points.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// Half take less.
    pub median: Span,
    /// One in a hundred takes more.
    pub p99: Span,
}

impl Latency {
    /// The normal's standard deviation, in logarithms.
    pub fn sigma(&self) -> f64 {
        // The normal's 99th percentile lies 2.326 deviations above its mean.
        ((self.p99.0.max(1) as f64) / (self.median.0.max(1) as f64)).ln().max(0.0) / 2.326
    }

    /// The mean, in seconds.
    pub fn mean(&self) -> f64 {
        self.median.secs() * (self.sigma().powi(2) / 2.0).exp()
    }
}

/// What a receiver takes from all senders together.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Calls ...
    pub calls: f64,
    /// ... in each span of this length; with none, a plain rate a second of which refused calls take their part too.
    #[serde(default)]
    pub window: Option<Span>,
}

impl Limit {
    /// Calls a second.
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

/// A stand-in receiver.
#[derive(Clone, Debug)]
pub struct Receiver {
    /// Its number.
    pub number: i64,
    /// Its kind, by index.
    pub kind: usize,
    /// How many endpoints it has at first.
    pub endpoints: usize,
    /// Its share of the traffic.
    pub share: f64,
    /// What it takes from all senders together.
    pub limit: Option<Limit>,
    /// Messages a second that it can handle when warm.
    pub capacity: f64,
    /// How long it takes.
    pub latency: Latency,
    /// Share of its refusals that tell how long to wait.
    pub tells_waits: f64,
    /// How long, from and to, where it isn't the end of a span.
    pub wait: [Span; 2],
    /// Messages that wait at an endpoint at most.
    pub queue: usize,
    /// How long it remembers keys; 0 for not at all.
    pub key_memory: Micros,
    /// Share of the calls that it answers with an error.
    pub error_share: f64,
}

/// Checks the receivers.
pub(super) fn receivers(
    raw: &Raw,
    c: &mut Checks<'_>,
    kinds: &[String],
) -> (Vec<Receiver>, Vec<parameters::Receiver>) {
    let list = raw.receiver.get_ref();
    c.require(!list.is_empty(), raw.receiver.span(), "there is no receiver; add a [[receiver]]");
    let (mut receivers, mut figures): (Vec<Receiver>, Vec<parameters::Receiver>) = (Vec::new(), Vec::new());
    let (mut seen, mut endpoints) = (BTreeSet::new(), 0);
    for r in list {
        let kind = c.index(&r.kind, kinds.iter(), "kind");
        r.check(c);
        endpoints += r.count().saturating_mul(*r.endpoints.get_ref());
        if endpoints > MAX_ENDPOINTS {
            c.at(
                r.endpoints.span(),
                format!("{endpoints} endpoints; {MAX_ENDPOINTS} at most, so make fewer"),
            );
            break;
        }
        let separate_routes = kind.is_some_and(|k| raw.kind[k].get_ref().separate_routes);
        for n in 0..r.count() as i64 {
            let number = r.number.get_ref().saturating_add(n);
            c.require(
                seen.insert(number),
                r.number.span(),
                format!("a second receiver {number}; number it otherwise"),
            );
            receivers.push(r.receiver(number, kind.unwrap_or(0)));
            figures.push(r.figures(number, separate_routes));
        }
    }
    set_key_memory(raw, c, &mut receivers);
    (receivers, figures)
}

/// Keys of a class are remembered by all its receivers at least for its window, or the keyed class lies.
fn set_key_memory(raw: &Raw, c: &mut Checks<'_>, receivers: &mut [Receiver]) {
    let keyed = raw.class.get_ref().iter().filter(|k| k.effect == Effect::Keyed);
    let windows = keyed.filter_map(|k| k.window.as_ref()).map(|w| w.get_ref().0);
    let Some(window) = windows.max() else { return };
    let given = raw.receiver.get_ref().iter().flat_map(|r| std::iter::repeat_n(r, r.count()));
    for (receiver, given) in receivers.iter_mut().zip(given) {
        match given.key_memory {
            None => receiver.key_memory = window,
            Some(memory) if memory.0 < window => {
                c.at(
                    given.number.span(),
                    "'key_memory' is shorter than a keyed class's 'window'; make it as long",
                );
            }
            Some(_) => {}
        }
    }
}

impl RawReceiver {
    /// How many alike there are, numbered on from its number.
    pub(super) fn count(&self) -> usize {
        self.count.as_ref().map_or(1, |n| *n.get_ref())
    }

    fn check(&self, c: &mut Checks<'_>) {
        let at = self.number.span();
        c.require(*self.endpoints.get_ref() > 0, self.endpoints.span(), "'endpoints' is 1 or more");
        c.require(
            positive(*self.capacity.get_ref()),
            self.capacity.span(),
            "'capacity' is above 0 messages a second",
        );
        let latency = self.latency.get_ref();
        let fits = latency.median.0 > 0 && latency.median <= latency.p99;
        c.require(fits, self.latency.span(), "'median' is above 0s and no longer than 'p99'");
        if let Some(limit) = &self.limit {
            let window = limit.get_ref().window;
            let fits = positive(limit.get_ref().calls) && window.is_none_or(|w| w.0 > 0);
            c.require(fits, limit.span(), "'calls' is above 0, and so is 'window' where one is given");
        }
        for (what, value) in [
            ("tells_waits", self.tells_waits),
            ("cold_from", self.cold_from),
            ("error_share", self.error_share),
        ] {
            c.require(share(value), at.clone(), format!("'{what}' is from 0 to 1"));
        }
        c.require(self.wait[0] <= self.wait[1], at, "'wait' is [from, to]");
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

    fn figures(&self, number: i64, separate_routes: bool) -> parameters::Receiver {
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
