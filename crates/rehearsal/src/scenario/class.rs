//! The `[[class]]` tables: what kinds of messages there are.

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

/// A class of messages, as clients hand them in.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its share of the traffic.
    pub share: f64,
    /// How many things its messages are about, in a class that keeps order.
    pub order_keys: u32,
    /// The kinds of receiver that get it, by index; all where it is empty.
    pub kinds: Vec<usize>,
    /// Bytes of a body, from and to.
    pub size: [u32; 2],
}

/// Bytes of a body, from and to, where a class does not say.
const SIZE: [u32; 2] = [120, 400];
/// Things that the messages of a class are about, where it does not say.
const ORDER_KEYS: u32 = 20;
/// How long a key of an ordered class rests after an attempt that may still run, where it does not say: 1 s.
const ORDER_SETTLE: Micros = 1_000_000;

/// Checks the classes.
pub(super) fn classes(
    raw: &Raw,
    c: &mut Checks<'_>,
    kinds: &[String],
) -> (Vec<Class>, Vec<parameters::Class>) {
    let list = raw.class.get_ref();
    c.whether(!list.is_empty(), raw.class.span(), "there is no class; add a [[class]]");
    let mut seen = BTreeSet::new();
    let (mut classes, mut figures) = (Vec::new(), Vec::new());
    for class in list {
        let name = class.name.get_ref();
        c.whether(
            seen.insert(name),
            class.name.span(),
            format!("a second class '{name}'; name it otherwise"),
        );
        classes.push(class.check(c, kinds));
        figures.push(class.figures());
    }
    let any = classes.iter().any(|class| class.share > 0.0);
    c.whether(any || list.is_empty(), raw.class.span(), "no class has a share of the traffic; give one");
    (classes, figures)
}

impl RawClass {
    fn check(&self, c: &mut Checks<'_>, kinds: &[String]) -> Class {
        let (name, at) = (self.name.get_ref(), self.name.span());
        let plain = !name.is_empty() && name.bytes().all(|b| b.is_ascii_graphic() && b != b',' && b != b'=');
        c.whether(plain, at.clone(), "a name is plain text with no blanks, commas or equals signs");
        c.whether(not_negative(self.share), at.clone(), "'share' is 0 or more");
        c.whether(not_negative(self.worth), at.clone(), "'worth' is 0 or more");
        c.whether(share(self.late_share), at.clone(), "'late_share' is from 0 to 1");
        self.check_times(c);
        let kinds =
            self.kinds.iter().flatten().filter_map(|kind| c.index(kind, kinds.iter(), "kind")).collect();
        let size = self.checked_size(c);
        let keyed = self.order_keys.is_some() || self.order_settle.is_some();
        c.whether(
            self.ordered || !keyed,
            at,
            "'order_keys' and 'order_settle' mean something with ordered = true only",
        );
        let order_keys = self.order_keys.unwrap_or(ORDER_KEYS).max(1);
        Class { share: self.share, order_keys, kinds, size }
    }

    fn check_times(&self, c: &mut Checks<'_>) {
        let (deadline, at) = (self.deadline.get_ref().0, self.deadline.span());
        c.whether(deadline > 0, at.clone(), "'deadline' is above 0s");
        c.whether(self.aim.0 <= deadline, at, "'deadline' is shorter than 'aim'; make it longer");
        match (&self.window, self.effect) {
            (None, Effect::Keyed) => {
                c.at(self.name.span(), "a keyed class needs 'window', for how long its keys are remembered");
            }
            (Some(window), Effect::Safe | Effect::Unsafe) => {
                c.at(
                    window.span(),
                    "'window' means something in a keyed class only; leave it out, or say effect = \"keyed\"",
                );
            }
            _ => {}
        }
    }

    fn checked_size(&self, c: &mut Checks<'_>) -> [u32; 2] {
        let Some(given) = &self.size else { return SIZE };
        let size = *given.get_ref();
        let fits = size[0] <= size[1] && size[1] as usize <= MAX_BODY_BYTES;
        c.whether(fits, given.span(), "'size' is [from, to], and 65536 bytes at most");
        size
    }

    fn figures(&self) -> parameters::Class {
        let order_settle = if self.ordered { ORDER_SETTLE } else { 0 };
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
