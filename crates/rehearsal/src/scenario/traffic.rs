//! The `[[traffic]]` tables: the messages that clients hand to the senders.

use super::checks::{Checks, positive, share};
use super::file::Raw;
use crate::event::field_problems;
use crate::plan::{Shape, Traffic};
use crate::span::{Micros, Span};
use crate::trace;
use serde::Deserialize;
use std::ops::Range;
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

/// Checks the `[[traffic]]` tables and parses their traces; paths of traces are relative to `folder`.
pub(super) fn traffic(raw: &Raw, checks: &mut Checks<'_>, length: Micros, folder: &Path) -> Vec<Traffic> {
    let mut all = Vec::new();
    for spanned in &raw.traffic {
        let piece = spanned.get_ref();
        piece.check(checks, spanned.span());
        let (from, to) = (piece.from.map_or(0, |s| s.0), piece.to.map_or(length, |s| s.0));
        let fits = from < to && to <= length;
        checks.require(fits, spanned.span(), "'from' must be before 'to', and 'to' no later than 'length'");
        let classes = raw.class.get_ref().iter().map(|k| k.name.get_ref());
        let class = piece.class.as_ref().and_then(|name| checks.index(name, classes, "class"));
        let tenants = raw.tenant.iter().map(|k| k.name.get_ref());
        let tenant = piece.tenant.as_ref().and_then(|name| checks.index(name, tenants, "tenant"));
        all.push(Traffic {
            shape: *piece.shape.get_ref(),
            from,
            to,
            rate: piece.rate.unwrap_or(0.0),
            to_rate: piece.to_rate.unwrap_or(0.0),
            period: piece.period.map_or(0, |s| s.0),
            swing: piece.swing.unwrap_or(0.0),
            clump: piece.clump.unwrap_or(0),
            zipf: piece.zipf,
            class,
            tenant,
            receiver: piece.checked_receiver(checks, raw),
            trace: piece.read_trace(checks, folder),
            speed: piece.speed.unwrap_or(1.0),
        });
    }
    all
}

impl RawTraffic {
    fn check(&self, checks: &mut Checks<'_>, at: Range<usize>) {
        let given = [
            ("rate", self.rate.is_some()),
            ("to_rate", self.to_rate.is_some()),
            ("period", self.period.is_some()),
            ("swing", self.swing.is_some()),
            ("clump", self.clump.is_some()),
            ("zipf", self.zipf.is_some()),
            ("file", self.file.is_some()),
            ("speed", self.speed.is_some()),
        ];
        for problem in field_problems(&given, self.shape.get_ref().fields(), "this shape") {
            checks.at(self.shape.span(), problem);
        }
        let rates = [self.rate, self.to_rate, self.zipf, self.speed];
        let valid = rates.iter().flatten().all(|x| positive(*x) || (*x == 0.0 && self.speed != Some(0.0)));
        checks.require(valid, at.clone(), "rates and 'zipf' must be 0 or more, 'speed' above 0");
        checks.require(self.swing.is_none_or(share), at.clone(), "'swing' must be from 0 to 1");
        checks.require(self.period.is_none_or(|p| p.0 > 0), at, "'period' must be above 0s");
    }

    fn checked_receiver(&self, checks: &mut Checks<'_>, raw: &Raw) -> Option<i64> {
        let number = self.receiver.as_ref()?;
        let known = raw.receiver.get_ref().iter().any(|r| {
            let first = *r.number.get_ref();
            (first..first.saturating_add(r.count() as i64)).contains(number.get_ref())
        });
        checks.require(
            known,
            number.span(),
            format!("there is no receiver {}; correct the number or add a [[receiver]]", number.get_ref()),
        );
        Some(*number.get_ref())
    }

    fn read_trace(&self, checks: &mut Checks<'_>, folder: &Path) -> Vec<trace::Line> {
        let Some(file) = &self.file else { return Vec::new() };
        trace::read(&folder.join(file.get_ref())).unwrap_or_else(|e| {
            checks.at(file.span(), e.to_string());
            Vec::new()
        })
    }
}
