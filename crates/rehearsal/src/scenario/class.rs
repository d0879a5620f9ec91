//! The `[[class]]` tables: what kinds of messages there are.

use super::checks::{Checks, share};
use super::defaults;
use super::file::Raw;
use crate::facts::{self, Effect};
use crate::span::Span;
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

/// Checks the classes.
pub(super) fn classes(raw: &Raw, c: &mut Checks<'_>, kinds: &[String]) -> (Vec<Class>, Vec<facts::Class>) {
    let list = raw.class.get_ref();
    c.whether(!list.is_empty(), raw.class.span(), "there is no class; add a [[class]]");
    let mut seen = BTreeSet::new();
    let (mut classes, mut figures) = (Vec::new(), Vec::new());
    for class in list {
        let (name, at) = (class.name.get_ref(), class.name.span());
        c.whether(seen.insert(name), at.clone(), format!("a second class '{name}'; name it otherwise"));
        let plain = !name.is_empty() && name.bytes().all(|b| b.is_ascii_graphic() && b != b',' && b != b'=');
        c.whether(plain, at.clone(), "a name is plain text with no blanks, commas or equals signs");
        c.whether(class.share.is_finite() && class.share >= 0.0, at.clone(), "'share' is 0 or more");
        c.whether(class.worth.is_finite() && class.worth >= 0.0, at.clone(), "'worth' is 0 or more");
        c.whether(share(class.late_share), at.clone(), "'late_share' is from 0 to 1");
        let deadline = class.deadline.get_ref().0;
        c.whether(deadline > 0, class.deadline.span(), "'deadline' is above 0s");
        c.whether(
            class.aim.0 <= deadline,
            class.deadline.span(),
            "'deadline' is shorter than 'aim'; make it longer",
        );
        match (&class.window, class.effect) {
            (None, Effect::Keyed) => {
                c.at(at.clone(), "a keyed class needs 'window', for how long its keys are remembered")
            }
            (Some(w), Effect::Safe | Effect::Unsafe) => {
                c.at(
                    w.span(),
                    "'window' means something in a keyed class only; leave it out, or say effect = \"keyed\"",
                );
            }
            _ => {}
        }
        let mut of = Vec::new();
        for kind in class.kinds.iter().flatten() {
            match kinds.iter().position(|k| k == kind.get_ref()) {
                Some(n) => of.push(n),
                None => c.at(kind.span(), format!("there is no kind '{}'; add a [[kind]]", kind.get_ref())),
            }
        }
        let size = class.size.as_ref().map_or([120, 400], |s| *s.get_ref());
        if let Some(s) = &class.size {
            let fits = size[0] <= size[1] && size[1] as usize <= embershore_protocol::resp::BODY_MOST;
            c.whether(fits, s.span(), "'size' is [from, to], and 65536 bytes at most");
        }
        if !class.ordered && (class.order_keys.is_some() || class.order_settle.is_some()) {
            c.at(at, "'order_keys' and 'order_settle' mean something with ordered = true only");
        }
        let order_keys = class.order_keys.unwrap_or(20).max(1);
        classes.push(Class { share: class.share, order_keys, kinds: of, size });
        figures.push(facts::Class {
            name: name.clone(),
            effect: class.effect,
            window: class.window.as_ref().map_or(0, |w| w.get_ref().0),
            aim: class.aim.0,
            deadline,
            worth: class.worth,
            late_share: class.late_share,
            ordered: class.ordered,
            order_settle: class.order_settle.map_or(if class.ordered { 1_000_000 } else { 0 }, |s| s.0),
        });
    }
    let any = classes.iter().any(|class| class.share > 0.0);
    c.whether(any || list.is_empty(), raw.class.span(), "no class has a share of the traffic; give one");
    (classes, figures)
}
