//! The `[[traffic]]` tables: what clients hand in.

use super::checks::{Checks, positive, share};
use super::file::Raw;
use crate::event::misplaced;
use crate::plan::{Shape, Traffic};
use crate::span::{Micros, Span};
use serde::Deserialize;
use std::path::{Path, PathBuf};
use toml::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawTraffic {
    pub(super) shape: Spanned<Shape>,
    #[serde(default)]
    pub(super) from: Option<Span>,
    #[serde(default)]
    pub(super) to: Option<Span>,
    #[serde(default)]
    pub(super) rate: Option<f64>,
    #[serde(default)]
    pub(super) to_rate: Option<f64>,
    #[serde(default)]
    pub(super) period: Option<Span>,
    #[serde(default)]
    pub(super) swing: Option<f64>,
    #[serde(default)]
    pub(super) clump: Option<u32>,
    #[serde(default)]
    pub(super) zipf: Option<f64>,
    #[serde(default)]
    pub(super) class: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) tenant: Option<Spanned<String>>,
    #[serde(default)]
    pub(super) receiver: Option<Spanned<i64>>,
    #[serde(default)]
    pub(super) file: Option<Spanned<PathBuf>>,
    #[serde(default)]
    pub(super) speed: Option<f64>,
}

/// Checks the pieces of traffic; traces that they name are looked for in `folder`.
pub(super) fn traffic(raw: &Raw, c: &mut Checks<'_>, length: Micros, folder: &Path) -> Vec<Traffic> {
    let mut all = Vec::new();
    for spanned in &raw.traffic {
        let (t, at) = (spanned.get_ref(), spanned.span());
        let shape = *t.shape.get_ref();
        let given = [
            ("rate", t.rate.is_some()),
            ("to_rate", t.to_rate.is_some()),
            ("period", t.period.is_some()),
            ("swing", t.swing.is_some()),
            ("clump", t.clump.is_some()),
            ("zipf", t.zipf.is_some()),
            ("file", t.file.is_some()),
            ("speed", t.speed.is_some()),
        ];
        for wrong in misplaced(&given, shape.fields(), "this shape") {
            c.at(t.shape.span(), wrong);
        }
        let rates = [t.rate, t.to_rate, t.zipf, t.speed];
        let good = rates.iter().flatten().all(|x| positive(*x) || (*x == 0.0 && t.speed != Some(0.0)));
        c.whether(good, at.clone(), "rates are 0 or more, 'speed' is above 0");
        c.whether(t.swing.is_none_or(share), at.clone(), "'swing' is from 0 to 1");
        c.whether(t.period.is_none_or(|p| p.0 > 0), at.clone(), "'period' is above 0s");
        let (from, to) = (t.from.map_or(0, |s| s.0), t.to.map_or(length, |s| s.0));
        let fits = from < to && to <= length;
        c.whether(fits, at.clone(), "'from' lies before 'to', and 'to' no later than 'length'");
        let find = |name: &Option<Spanned<String>>, known: Vec<&String>, what: &str, c: &mut Checks<'_>| {
            let name = name.as_ref()?;
            let index = known.iter().position(|k| *k == name.get_ref());
            if index.is_none() {
                c.at(name.span(), format!("there is no {what} '{}'; add a [[{what}]]", name.get_ref()));
            }
            index
        };
        let class =
            find(&t.class, raw.class.get_ref().iter().map(|k| k.name.get_ref()).collect(), "class", c);
        let tenant = find(&t.tenant, raw.tenant.iter().map(|k| k.name.get_ref()).collect(), "tenant", c);
        let receiver = t.receiver.as_ref().map(|n| *n.get_ref());
        if let Some(n) = &t.receiver {
            let known = raw.receiver.get_ref().iter().any(|r| {
                let count = r.count.as_ref().map_or(1, |n| *n.get_ref()) as i64;
                (*r.number.get_ref()..r.number.get_ref().saturating_add(count)).contains(n.get_ref())
            });
            c.whether(known, n.span(), format!("there is no receiver {}; add a [[receiver]]", n.get_ref()));
        }
        let mut trace = Vec::new();
        if let Some(file) = &t.file {
            match crate::trace::read(&folder.join(file.get_ref())) {
                Ok(lines) => trace = lines,
                Err(e) => c.at(file.span(), e.to_string()),
            }
        }
        all.push(Traffic {
            shape,
            from,
            to,
            rate: t.rate.unwrap_or(0.0),
            to_rate: t.to_rate.unwrap_or(0.0),
            period: t.period.map_or(0, |s| s.0),
            swing: t.swing.unwrap_or(0.0),
            clump: t.clump.unwrap_or(0),
            zipf: t.zipf,
            class,
            tenant,
            receiver,
            trace,
            speed: t.speed.unwrap_or(1.0),
        });
    }
    all
}
