//! The operator's rules: which undeliverable messages are retained, and when each is resent.
//! The first rule that matches a message is the one that applies to the message.
//!
//! The rules are the section `[owed]` of the options file, in TOML.
//! The complete section is checked, and every error found reports its position and a remedy.
//! A rule that could break one of the sender's six rules is rejected with the reason.

use crate::debt::{Debt, Reason};
use crate::plan::ClassFacts;
pub use embershore_finding::SpanFinding as Finding;
use heronroute::{Effect, Micros};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;
use toml::Spanned;

/// The maximum number of rules. Each debt is compared with the rules one after the other.
pub const MAX_RULES: usize = 256;
/// The longest time in a rule, ten years, so that sums of times can't overflow.
const MAX_SPAN: Duration = Duration::from_secs(3650 * 24 * 3600);
const MINUTES_PER_DAY: u32 = 24 * 60;

/// The section `[owed]` as written in the options file. [`Section::check`] turns it into [`Rules`].
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Section {
    /// The maximum size of the store on disk, in MB of 10^6 bytes.
    max_mb: Spanned<f64>,
    /// The rate of resends per second, to all receivers together.
    #[serde(default = "default_resends_per_s")]
    resends_per_s: Spanned<f64>,
    /// The operator's rules, in the order of the options file.
    #[serde(default)]
    rule: Vec<Spanned<RawRule>>,
}

fn default_resends_per_s() -> Spanned<f64> {
    Spanned::new(0..0, 5.0)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRule {
    name: Option<String>,
    receiver: Option<Vec<i64>>,
    class: Option<Vec<Spanned<String>>>,
    reason: Option<Vec<Reason>>,
    #[serde(default = "default_keep")]
    keep: bool,
    resend: Option<Spanned<RawResend>>,
    #[serde(default, with = "humantime_serde")]
    owed_for: Option<Duration>,
    then: Option<ExpiryAction>,
    #[serde(default)]
    supersede: bool,
}

fn default_keep() -> bool {
    true
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawResend {
    #[serde(default, with = "humantime_serde")]
    well_for: Option<Duration>,
    window: Option<Spanned<String>>,
    #[serde(default, with = "humantime_serde")]
    not_before: Option<Duration>,
    times: Spanned<u32>,
    #[serde(with = "humantime_serde")]
    gap: Duration,
    #[serde(default = "default_growth")]
    growth: Spanned<f64>,
    #[serde(default, with = "humantime_serde")]
    gap_most: Option<Duration>,
}

fn default_growth() -> Spanned<f64> {
    Spanned::new(0..0, 1.0)
}

/// What happens to a debt that expires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExpiryAction {
    /// The expired debt is retained for inspection.
    #[default]
    Keep,
    /// The expired debt is removed from the store.
    Drop,
}

/// A rule's settings for resends.
#[derive(Clone, Debug, PartialEq)]
pub struct Resend {
    /// How long the receiver must have been healthy before a resend, in microseconds.
    pub healthy_for: Micros,
    /// The start and the end of the daily window for resends, in minutes of the day, UTC.
    /// If the window's end is smaller than its start, the window spans midnight.
    pub window: Option<(u32, u32)>,
    /// The minimum time between giving up delivery and any resend, in microseconds.
    pub not_before: Micros,
    /// The maximum number of resends of a debt.
    pub times: u32,
    /// The gap between the first two resends, in microseconds.
    /// Each further gap between resends is longer by the factor `growth`, up to `max_gap`.
    pub gap: Micros,
    /// The factor by which the gap grows with each resend.
    pub growth: f64,
    /// The maximum gap between two resends, in microseconds.
    pub max_gap: Micros,
}

impl Resend {
    /// Returns the gap before the next resend, given the number of resends so far; 0 before the first resend.
    pub fn gap_after(&self, resends: u32) -> Micros {
        let grown = self.gap as f64 * self.growth.powi(resends.saturating_sub(1).min(1000) as i32);
        if resends == 0 { 0 } else { grown.min(self.max_gap as f64) as Micros }
    }

    /// Returns the first time at or after `at` that is in the daily window for resends.
    pub fn in_window(&self, at: Micros) -> Micros {
        const MINUTE: Micros = 60_000_000;
        let Some((from, until)) = self.window else { return at };
        let day = i64::from(MINUTES_PER_DAY) * MINUTE;
        let (midnight, minute) = (at.div_euclid(day) * day, (at.rem_euclid(day) / MINUTE) as u32);
        let inside =
            if from < until { (from..until).contains(&minute) } else { minute >= from || minute < until };
        match inside {
            true => at,
            false if minute < from => midnight + i64::from(from) * MINUTE,
            false => midnight + day + i64::from(from) * MINUTE,
        }
    }
}

/// One of the operator's rules after it has been checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// The name of the rule in reports to the operator. A rule without a name is named by its position in the file.
    pub name: String,
    receivers: Option<BTreeSet<i64>>,
    classes: Option<BTreeSet<String>>,
    reasons: Option<BTreeSet<Reason>>,
    /// Whether messages that match the rule are retained at all.
    pub keep: bool,
    /// When debts that match the rule are resent; never if `None`.
    pub resend: Option<Resend>,
    /// How long after delivery was given up a debt expires; never if `None`.
    pub owed_for: Option<Micros>,
    /// What happens to a debt that expires.
    pub on_expiry: ExpiryAction,
    /// Whether a newer message with the same receiver, class and key replaces a debt.
    pub supersede: bool,
}

impl Rule {
    /// Returns whether the rule applies to a message of this receiver, class and reason.
    pub fn matches(&self, dest: i64, class: &str, reason: Reason) -> bool {
        self.receivers.as_ref().is_none_or(|r| r.contains(&dest))
            && self.classes.as_ref().is_none_or(|c| c.contains(class))
            && self.reasons.as_ref().is_none_or(|r| r.contains(&reason))
    }
}

/// The checked section `[owed]`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// The maximum size of the store on disk, in bytes.
    pub max_bytes: u64,
    /// The rate of resends per second, to all receivers together.
    pub resends_per_s: f64,
    /// The checked rules, in the order of the options file.
    pub rules: Vec<Rule>,
}

/// Why a section `[owed]` is rejected. None of the rules in a rejected section takes effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RulesError {
    /// The text is not TOML, or does not have the form of a section `[owed]`.
    #[error("{0}")]
    Unreadable(String),
    /// The section `[owed]` of the options file is invalid; the value lists its errors.
    #[error("{}", .0.iter().map(|f| f.message.as_str()).collect::<Vec<_>>().join("; "))]
    Invalid(Vec<Finding>),
}

impl Rules {
    /// Parses and checks the text of a section, without the rest of the options file.
    ///
    /// # Errors
    /// Returns an error when the text can't be parsed, or the check of the rules finds any error.
    pub fn parse(text: &str, classes: &[ClassFacts]) -> Result<Rules, RulesError> {
        let section: Section = toml::from_str(text).map_err(|e| RulesError::Unreadable(e.to_string()))?;
        section.check(classes).map_err(RulesError::Invalid)
    }

    /// Returns the first rule that matches a message of this receiver, class and reason.
    pub fn rule_for(&self, dest: i64, class: &str, reason: Reason) -> Option<&Rule> {
        self.rules.iter().find(|r| r.matches(dest, class, reason))
    }

    /// Returns the receivers named in any rule. All receivers that no rule names are subject to identical rules.
    pub fn named_receivers(&self) -> BTreeSet<i64> {
        self.rules.iter().filter_map(|r| r.receivers.as_ref()).flatten().copied().collect()
    }

    /// Returns the first rule that matches a debt.
    pub fn rule_for_debt(&self, debt: &Debt) -> Option<&Rule> {
        self.rule_for(debt.message.dest, &debt.message.class, debt.reason)
    }

    /// Returns whether a message given up for this reason is retained. A message that no rule matches is not retained.
    pub fn keeps(&self, dest: i64, class: &str, reason: Reason) -> bool {
        self.rule_for(dest, class, reason).is_some_and(|rule| rule.keep)
    }
}

/// Checks the operator's rules and collects the errors found.
struct Check<'a> {
    classes: &'a [ClassFacts],
    findings: Vec<Finding>,
}

impl Check<'_> {
    fn report(&mut self, place: Range<usize>, message: impl Into<String>) {
        self.findings.push(Finding { span: place, message: message.into() });
    }

    fn span(&mut self, place: &Range<usize>, name: &str, span: Option<Duration>, default: Micros) -> Micros {
        let Some(span) = span else { return default };
        if span > MAX_SPAN {
            self.report(place.clone(), format!("'{name}' must be at most ten years, got {span:?}"));
        }
        span.min(MAX_SPAN).as_micros() as Micros
    }
}

impl Section {
    /// Checks the complete section against the message classes of the daemon's settings.
    ///
    /// # Errors
    /// Returns all errors found, with their byte ranges in the options file's text.
    pub fn check(&self, classes: &[ClassFacts]) -> Result<Rules, Vec<Finding>> {
        let mut check = Check { classes, findings: Vec::new() };
        let max_mb = *self.max_mb.get_ref();
        if !(0.1..=1e6).contains(&max_mb) {
            check.report(
                self.max_mb.span(),
                format!("'max_mb', the room on disk in MB, must be between 0.1 and 1000000, got {max_mb}"),
            );
        }
        let resends_per_s = *self.resends_per_s.get_ref();
        if !(resends_per_s > 0.0 && resends_per_s <= 1e5) {
            let message = format!(
                "'resends_per_s' must be above 0 and at most 100000, got {resends_per_s}; to resend nothing, leave out \
                 'resend'"
            );
            check.report(self.resends_per_s.span(), message);
        }
        if let Some(rule) = self.rule.get(MAX_RULES) {
            check.report(
                rule.span(),
                format!("more than {MAX_RULES} rules: merge some by listing several receivers in one rule"),
            );
        }
        let mut names = BTreeSet::new();
        let mut rules: Vec<Rule> = Vec::new();
        for (n, raw) in self.rule.iter().enumerate().take(MAX_RULES) {
            let rule = check.rule(n, raw);
            if !names.insert(rule.name.clone()) {
                check.report(raw.span(), format!("two rules are named '{}': rename one of them", rule.name));
            }
            // A rule never applies if an earlier rule matches every message that it matches.
            if let Some(earlier) = rules.iter().find(|earlier| covers(earlier, &rule)) {
                let message = format!(
                    "this rule never applies: rule '{}' before it matches every message that this rule matches. Move this \
                     rule before that one, or remove it",
                    earlier.name
                );
                check.report(raw.span(), message);
            }
            rules.push(rule);
        }
        match check.findings {
            findings if findings.is_empty() => {
                Ok(Rules { max_bytes: (max_mb * 1e6) as u64, resends_per_s, rules })
            }
            findings => Err(findings),
        }
    }
}

/// Returns whether `earlier` matches every message that `later` matches.
fn covers(earlier: &Rule, later: &Rule) -> bool {
    fn all<T: Ord>(earlier: &Option<BTreeSet<T>>, later: &Option<BTreeSet<T>>) -> bool {
        match (earlier, later) {
            (None, _) => true,
            (Some(e), Some(l)) => l.is_subset(e),
            (Some(_), None) => false,
        }
    }
    all(&earlier.receivers, &later.receivers)
        && all(&earlier.classes, &later.classes)
        && all(&earlier.reasons, &later.reasons)
}

impl Check<'_> {
    fn rule(&mut self, n: usize, raw: &Spanned<RawRule>) -> Rule {
        let (place, raw) = (raw.span(), raw.get_ref());
        let name = raw.name.clone().unwrap_or_else(|| format!("rule {}", n + 1));
        for (list, field) in [
            (raw.receiver.as_ref().map(Vec::is_empty), "receiver"),
            (raw.class.as_ref().map(Vec::is_empty), "class"),
            (raw.reason.as_ref().map(Vec::is_empty), "reason"),
        ] {
            if list == Some(true) {
                self.report(
                    place.clone(),
                    format!("'{field}' is empty and matches nothing: leave it out to match everything"),
                );
            }
        }
        for class in raw.class.iter().flatten() {
            if !self.classes.iter().any(|c| c.name == *class.get_ref()) {
                let known: Vec<_> = self.classes.iter().map(|c| c.name.as_str()).collect();
                let (class, place) = (class.get_ref(), class.span());
                self.report(
                    place,
                    format!("no class is named '{class}': the classes are {}", known.join(", ")),
                );
            }
        }
        let named: Option<BTreeSet<String>> =
            raw.class.as_ref().map(|c| c.iter().map(|c| c.get_ref().clone()).collect());
        if !raw.keep
            && (raw.resend.is_some() || raw.owed_for.is_some() || raw.then.is_some() || raw.supersede)
        {
            self.report(
                place.clone(),
                "'keep = false' can't be combined with other settings: remove 'resend', 'owed_for', 'then' and 'supersede'",
            );
        }
        if raw.then.is_some() && raw.owed_for.is_none() {
            self.report(
                place.clone(),
                "'then' has no effect without 'owed_for': set 'owed_for' too, or remove 'then'",
            );
        }
        let resend = raw.resend.as_ref().map(|r| self.resend(r));
        let classes = self.classes;
        let matched_classes =
            || classes.iter().filter(|c| named.as_ref().is_none_or(|n| n.contains(&c.name)));
        if raw.supersede
            && let Some(class) = matched_classes().find(|c| c.effect != Effect::Safe)
        {
            let message = format!(
                "'supersede' drops a message for a newer one, but class '{}' does not overwrite earlier messages: each \
                 message has an effect of its own. List only classes that are safe to repeat",
                class.name
            );
            self.report(place.clone(), message);
        }
        // An operator whose rule contains the reason 'may-have-run' expects messages in doubt to be resent.
        // A resend could have a second effect, which the second of the sender's six rules forbids.
        // A rule that names no reasons is accepted, because `plan` does not resend messages in doubt.
        let lists_doubt = raw.reason.as_ref().is_some_and(|r| r.contains(&Reason::MayHaveRun));
        if let (true, Some(resend), Some(raw_resend)) = (lists_doubt, &resend, &raw.resend) {
            for class in matched_classes() {
                let message = match class.effect {
                    Effect::Unsafe => format!(
                        "class '{}' must never take effect twice, so no rule may resend messages that may have run: \
                         remove 'may-have-run', and resolve each such message by a verdict",
                        class.name
                    ),
                    Effect::Keyed if resend.not_before >= class.window => format!(
                        "receivers forget a key of class '{}' after {} s, and 'not_before' of this rule is not shorter: \
                         remove 'may-have-run', or shorten 'not_before'",
                        class.name,
                        class.window / 1_000_000
                    ),
                    _ => continue,
                };
                self.report(raw_resend.span(), message);
            }
        }
        let owed_for = raw.owed_for.map(|span| self.span(&place, "owed_for", Some(span), 0));
        if let (Some(owed_for), Some(resend)) = (owed_for, &resend)
            && resend.not_before >= owed_for
        {
            self.report(
                place.clone(),
                "'not_before' is not shorter than 'owed_for', so the message would never be sent again: shorten 'not_before'",
            );
        }
        Rule {
            name,
            receivers: raw.receiver.as_ref().map(|r| r.iter().copied().collect()),
            classes: named,
            reasons: raw.reason.as_ref().map(|r| r.iter().copied().collect()),
            keep: raw.keep,
            resend,
            owed_for,
            on_expiry: raw.then.unwrap_or_default(),
            supersede: raw.supersede,
        }
    }

    fn resend(&mut self, raw: &Spanned<RawResend>) -> Resend {
        let (place, raw) = (raw.span(), raw.get_ref());
        if *raw.times.get_ref() == 0 {
            self.report(raw.times.span(), "'times' is 0: to resend nothing, leave out 'resend'");
        }
        let growth = *raw.growth.get_ref();
        if !(1.0..=100.0).contains(&growth) {
            self.report(
                raw.growth.span(),
                format!("'growth' must be between 1 and 100, so that gaps never shrink; got {growth}"),
            );
        }
        // Without a gap between resends, a resend that fails would be due again immediately.
        if raw.gap < Duration::from_secs(1) {
            self.report(place.clone(), format!("'gap' must be a second at least, got {:?}", raw.gap));
        }
        let gap = self.span(&place, "gap", Some(raw.gap), 0);
        let max_gap = self.span(&place, "gap_most", raw.gap_most, gap.max(24 * 3_600_000_000));
        if max_gap < gap {
            self.report(place.clone(), "'gap_most' is shorter than 'gap': raise it, or leave it out");
        }
        let window = raw.window.as_ref().and_then(|w| {
            let parsed = parse_window(w.get_ref());
            if parsed.is_none() {
                let message = "'window' must be two different times of the day, UTC, such as \"18:00-23:30\" or \
                               \"22:00-02:00\"";
                self.report(w.span(), message);
            }
            parsed
        });
        Resend {
            healthy_for: self.span(&place, "well_for", raw.well_for, 0),
            window,
            not_before: self.span(&place, "not_before", raw.not_before, 0),
            times: *raw.times.get_ref(),
            gap,
            growth: if growth.is_finite() { growth.clamp(1.0, 100.0) } else { 1.0 },
            max_gap,
        }
    }
}

/// Parses a daily time window such as `18:00-23:30` into minutes of the day.
fn parse_window(text: &str) -> Option<(u32, u32)> {
    let minute = |text: &str| -> Option<u32> {
        let (hours, minutes) = text.trim().split_once(':')?;
        let digits = |t: &str| t.len() == 2 && t.bytes().all(|b| b.is_ascii_digit());
        if !digits(hours) || !digits(minutes) {
            return None;
        }
        let (hours, minutes): (u32, u32) = (hours.parse().ok()?, minutes.parse().ok()?);
        (hours < 24 && minutes < 60).then_some(hours * 60 + minutes)
    };
    let (from, until) = text.split_once('-')?;
    let (from, until) = (minute(from)?, minute(until)?);
    (from != until).then_some((from, until))
}
