//! The `[[kind]]` and `[[receiver]]` tables: the stand-in receivers and their endpoints.

use super::checks::{Checks, positive, share};
use super::defaults;
use super::file::Raw;
use crate::facts::{self, Effect};
use crate::span::{Micros, Span};
use serde::Deserialize;
use std::collections::BTreeSet;
use toml::Spanned;

/// Endpoints of a scenario at most: each is a socket for each sender, under a usual limit on descriptors.
pub const ENDPOINTS_MOST: usize = 4096;

/// A kind of receiver.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Messages in a call at most.
    #[serde(default = "defaults::one_message")]
    pub batch: u32,
    /// Its endpoints are separate routes.
    #[serde(default)]
    pub apart: bool,
}

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
) -> (Vec<Receiver>, Vec<facts::Receiver>) {
    let list = raw.receiver.get_ref();
    c.whether(!list.is_empty(), raw.receiver.span(), "there is no receiver; add a [[receiver]]");
    let (mut receivers, mut figures): (Vec<Receiver>, Vec<facts::Receiver>) = (Vec::new(), Vec::new());
    let (mut seen, mut endpoints) = (BTreeSet::new(), 0);
    for r in list {
        let at = r.number.span();
        let kind = kinds.iter().position(|k| k == r.kind.get_ref());
        if kind.is_none() {
            c.at(r.kind.span(), format!("there is no kind '{}'; add a [[kind]]", r.kind.get_ref()));
        }
        c.whether(*r.endpoints.get_ref() > 0, r.endpoints.span(), "'endpoints' is 1 or more");
        c.whether(
            positive(*r.capacity.get_ref()),
            r.capacity.span(),
            "'capacity' is above 0 messages a second",
        );
        let l = r.latency.get_ref();
        let fits = l.median.0 > 0 && l.median <= l.p99;
        c.whether(fits, r.latency.span(), "'median' is above 0s and no longer than 'p99'");
        if let Some(limit) = &r.limit {
            let w = limit.get_ref().window;
            let fits = positive(limit.get_ref().calls) && w.is_none_or(|w| w.0 > 0);
            c.whether(fits, limit.span(), "'calls' is above 0, and so is 'window' where one is given");
        }
        for (what, value) in
            [("tells_waits", r.tells_waits), ("cold_from", r.cold_from), ("error_share", r.error_share)]
        {
            c.whether(share(value), at.clone(), format!("'{what}' is from 0 to 1"));
        }
        c.whether(r.wait[0] <= r.wait[1], at.clone(), "'wait' is [from, to]");
        let count = r.count.as_ref().map_or(1, |n| *n.get_ref());
        let per = *r.endpoints.get_ref();
        endpoints += count.saturating_mul(per);
        if endpoints > ENDPOINTS_MOST {
            c.at(
                r.endpoints.span(),
                format!("{endpoints} endpoints; {ENDPOINTS_MOST} at most, so make fewer"),
            );
            break;
        }
        let (limit, first) = (r.limit.as_ref().map(|l| *l.get_ref()), *r.number.get_ref());
        for n in 0..count as i64 {
            let number = first.saturating_add(n);
            c.whether(
                seen.insert(number),
                at.clone(),
                format!("a second receiver {number}; number it otherwise"),
            );
            let rate = limit.map_or(*r.capacity.get_ref(), |l| l.rate());
            receivers.push(Receiver {
                number,
                kind: kind.unwrap_or(0),
                endpoints: per,
                share: r.share.unwrap_or(1.0) / count as f64,
                limit,
                capacity: *r.capacity.get_ref(),
                latency: *r.latency.get_ref(),
                tells_waits: r.tells_waits,
                wait: r.wait,
                queue: r.queue,
                key_memory: r.key_memory.map_or(0, |s| s.0),
                error_share: r.error_share,
            });
            figures.push(facts::Receiver {
                number,
                kind: r.kind.get_ref().clone(),
                apart: kind.is_some_and(|k| raw.kind[k].get_ref().apart),
                capacity: *r.capacity.get_ref(),
                rate,
                cold_from: r.cold_from,
                warm_up: r.warm_up.0,
            });
        }
    }
    // Keys of a class are remembered by all its receivers at least for its window, or the keyed class lies.
    let window = raw.class.get_ref().iter().filter(|k| k.effect == Effect::Keyed);
    let window = window.filter_map(|k| k.window.as_ref()).map(|w| w.get_ref().0).max();
    for (r, given) in receivers
        .iter_mut()
        .zip(list.iter().flat_map(|r| std::iter::repeat_n(r, r.count.as_ref().map_or(1, |n| *n.get_ref()))))
    {
        match (given.key_memory, window) {
            (None, Some(window)) => r.key_memory = window,
            (Some(memory), Some(window)) if memory.0 < window => {
                c.at(
                    given.number.span(),
                    "'key_memory' is shorter than a keyed class's 'window'; make it as long",
                );
            }
            _ => {}
        }
    }
    (receivers, figures)
}
