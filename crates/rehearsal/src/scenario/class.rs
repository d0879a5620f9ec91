//! The `[[class]]` tables: the classes of messages.

use super::checks::{Checks, not_negative, share};
use super::defaults;
use super::file::Raw;
use crate::parameters::{self, Effect};
use crate::span::{Micros, Span};
use embershore_protocol::resp::MAX_BODY_BYTES;
use serde::Deserialize;
use std::collections::BTreeSet;
use toml::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawClass {
    pub(super) name: Spanned<String>,
    pub(super) share: f64,
    pub(super) effect: Effect,
    #[serde(default)]
    pub(super) window: Option<Spanned<Span>>,
    pub(super) aim: Span,
    pub(super) deadline: Spanned<Span>,
    #[serde(default = "defaults::one")]
    pub(super) worth: f64,
    #[serde(default)]
    pub(super) late_share: f64,
    #[serde(default)]
    pub(super) ordered: bool,
    #[serde(default)]
    pub(super) order_settle: Option<Span>,
    #[serde(default)]
    pub(super) order_keys: Option<u32>,
    #[serde(default)]
    pub(super) kinds: Option<Vec<Spanned<String>>>,
    #[serde(default)]
    pub(super) size: Option<Spanned<[u32; 2]>>,
}

/// Properties of a class of messages that the clients use.
#[derive(Clone, Debug)]
pub struct Class {
    /// Share of the traffic that belongs to the class.
    pub share: f64,
    /// Number of distinct order keys of the class, if it is ordered.
    pub order_keys: u32,
    /// Indices of the kinds of receiver to which the class is sent; empty for all kinds.
    pub kinds: Vec<usize>,
    /// Smallest and largest size of a message's body in bytes.
    pub size: [u32; 2],
}

/// Default for the smallest and largest size of a message's body in bytes.
const DEFAULT_BODY_BYTES: [u32; 2] = [120, 400];
/// Default number of distinct order keys of an ordered class.
const DEFAULT_ORDER_KEYS: u32 = 20;
/// Default of `order_settle`: 1 s without messages of an order key after an attempt that may still be processed.
const DEFAULT_ORDER_SETTLE_US: Micros = 1_000_000;

/// Checks the `[[class]]` tables; returns the properties for the clients, and the parameters for the judge.
pub(super) fn classes(
    raw: &Raw,
    checks: &mut Checks<'_>,
    kinds: &[String],
) -> (Vec<Class>, Vec<parameters::Class>) {
    let list = raw.class.get_ref();
    checks.require(!list.is_empty(), raw.class.span(), "the scenario has no class; add a [[class]]");
    let mut seen = BTreeSet::new();
    let (mut classes, mut all_parameters) = (Vec::new(), Vec::new());
    for class in list {
        let name = class.name.get_ref();
        checks.require(
            seen.insert(name),
            class.name.span(),
            format!("duplicate class '{name}'; choose another name"),
        );
        classes.push(class.check(checks, kinds));
        all_parameters.push(class.to_parameters());
    }
    let any = classes.iter().any(|class| class.share > 0.0);
    checks.require(
        any || list.is_empty(),
        raw.class.span(),
        "no class has a share of the traffic; set 'share' above 0 for at least one",
    );
    (classes, all_parameters)
}

impl RawClass {
    fn check(&self, checks: &mut Checks<'_>, kinds: &[String]) -> Class {
        let (name, at) = (self.name.get_ref(), self.name.span());
        let plain = !name.is_empty() && name.bytes().all(|b| b.is_ascii_graphic() && b != b',' && b != b'=');
        checks.require(
            plain,
            at.clone(),
            "a class name must be printable ASCII without blanks, commas and equals signs",
        );
        checks.require(not_negative(self.share), at.clone(), "'share' must be 0 or more");
        checks.require(not_negative(self.worth), at.clone(), "'worth' must be 0 or more");
        checks.require(share(self.late_share), at.clone(), "'late_share' must be from 0 to 1");
        self.check_times(checks);
        let kinds =
            self.kinds.iter().flatten().filter_map(|kind| checks.index(kind, kinds.iter(), "kind")).collect();
        let size = self.checked_size(checks);
        let keyed = self.order_keys.is_some() || self.order_settle.is_some();
        checks.require(self.ordered || !keyed, at, "'order_keys' and 'order_settle' require ordered = true");
        let order_keys = self.order_keys.unwrap_or(DEFAULT_ORDER_KEYS).max(1);
        Class { share: self.share, order_keys, kinds, size }
    }

    fn check_times(&self, checks: &mut Checks<'_>) {
        let (deadline, at) = (self.deadline.get_ref().0, self.deadline.span());
        checks.require(deadline > 0, at.clone(), "'deadline' must be above 0s");
        checks.require(self.aim.0 <= deadline, at, "'deadline' is shorter than 'aim'; increase it");
        match (&self.window, self.effect) {
            (None, Effect::Keyed) => {
                checks.at(
                    self.name.span(),
                    "a keyed class needs 'window', the time for which its keys are remembered",
                );
            }
            (Some(window), Effect::Safe | Effect::Unsafe) => {
                checks.at(
                    window.span(),
                    "'window' is valid in a keyed class only; remove it, or set effect = \"keyed\"",
                );
            }
            _ => {}
        }
    }

    fn checked_size(&self, checks: &mut Checks<'_>) -> [u32; 2] {
        let Some(given) = &self.size else { return DEFAULT_BODY_BYTES };
        let size = *given.get_ref();
        let fits = size[0] <= size[1] && size[1] as usize <= MAX_BODY_BYTES;
        checks.require(fits, given.span(), "'size' must be [from, to] with from <= to <= 65536 bytes");
        size
    }

    fn to_parameters(&self) -> parameters::Class {
        let order_settle = if self.ordered { DEFAULT_ORDER_SETTLE_US } else { 0 };
        parameters::Class {
            name: self.name.get_ref().clone(),
            effect: self.effect,
            window: self.window.as_ref().map_or(0, |w| w.get_ref().0),
            aim: self.aim.0,
            deadline: self.deadline.get_ref().0,
            worth: self.worth,
            late_share: self.late_share,
            ordered: self.ordered,
            order_settle: self.order_settle.map_or(order_settle, |s| s.0),
        }
    }
}
