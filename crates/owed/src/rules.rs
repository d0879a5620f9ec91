//! The operator's rules: which debts are kept, and when each is sent again. The first that matches holds.
//!
//! Read from the section `[owed]` of the options file, in TOML. A file is checked whole, every finding names its place
//! and the mend, and a rule that could break one of the six rules is refused with the reason.

use crate::debt::{Debt, Reason};
use crate::plan::ClassFacts;
pub use embershore_finding::SpanFinding as Finding;
use heronroute::{Effect, Micros};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;
use toml::Spanned;

/// Rules at most: each debt is held against them in turn.
pub const RULES_MOST: usize = 256;
/// No span in a rule is longer: ten years, so that sums of times can't overflow.
const SPAN_MOST: Duration = Duration::from_secs(3650 * 24 * 3600);
/// A day, in minutes.
const DAY: u32 = 24 * 60;

/// The section `[owed]` as it is written. [`Section::check`] makes [`Rules`] of it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Section {
    /// What the store may take on disk, in MB of 10^6 bytes.
    max_mb: Spanned<f64>,
    /// Resends a second, to all receivers together.
    #[serde(default = "per_second")]
    resends_per_s: Spanned<f64>,
    /// The rules, in order.
    #[serde(default)]
    rule: Vec<Spanned<RawRule>>,
}

fn per_second() -> Spanned<f64> {
    Spanned::new(0..0, 5.0)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRule {
    name: Option<String>,
    receiver: Option<Vec<i64>>,
    class: Option<Vec<Spanned<String>>>,
    reason: Option<Vec<Reason>>,
    #[serde(default = "yes")]
    keep: bool,
    resend: Option<Spanned<RawResend>>,
    #[serde(default, with = "humantime_serde")]
    owed_for: Option<Duration>,
    then: Option<Then>,
    #[serde(default)]
    supersede: bool,
}

fn yes() -> bool {
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
    #[serde(default = "one")]
    growth: Spanned<f64>,
    #[serde(default, with = "humantime_serde")]
    gap_most: Option<Duration>,
}

fn one() -> Spanned<f64> {
    Spanned::new(0..0, 1.0)
}

/// What becomes of a message that is owed no longer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Then {
    /// It stays, for inspection.
    #[default]
    Keep,
    /// It is taken out of the store.
    Drop,
}

/// When a debt is sent again.
#[derive(Clone, Debug, PartialEq)]
pub struct Resend {
    /// The receiver must have been well for so long.
    pub well_for: Micros,
    /// Minutes of the day, UTC, from which until which: past midnight where the second is the smaller.
    pub window: Option<(u32, u32)>,
    /// Not sooner than this after it was given up.
    pub not_before: Micros,
    /// So many times at most.
    pub times: u32,
    /// Between two resends; each is longer by the factor `growth`, and `gap_most` at most.
    pub gap: Micros,
    /// By what the gap grows.
    pub growth: f64,
    /// The longest gap.
    pub gap_most: Micros,
}

impl Resend {
    /// The gap before the next resend, after so many.
    pub fn gap_after(&self, resends: u32) -> Micros {
        let grown = self.gap as f64 * self.growth.powi(resends.saturating_sub(1).min(1000) as i32);
        if resends == 0 { 0 } else { grown.min(self.gap_most as f64) as Micros }
    }

    /// From a time on, the first that lies in the window of the day.
    pub fn in_window(&self, at: Micros) -> Micros {
        const MINUTE: Micros = 60_000_000;
        let Some((from, until)) = self.window else { return at };
        let day = i64::from(DAY) * MINUTE;
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

/// One rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// What it is called in lists; its place in the file where it has no name of its own.
    pub name: String,
    receivers: Option<BTreeSet<i64>>,
    classes: Option<BTreeSet<String>>,
    reasons: Option<BTreeSet<Reason>>,
    /// Whether what it matches is kept at all.
    pub keep: bool,
    /// When it is sent again; never where there is none.
    pub resend: Option<Resend>,
    /// How long it is owed.
    pub owed_for: Option<Micros>,
    /// What becomes of it then.
    pub then: Then,
    /// A newer message with the same receiver, class and key takes its place.
    pub supersede: bool,
}

impl Rule {
    /// Whether it speaks of such a message.
    pub fn matches(&self, dest: i64, class: &str, reason: Reason) -> bool {
        self.receivers.as_ref().is_none_or(|r| r.contains(&dest))
            && self.classes.as_ref().is_none_or(|c| c.contains(class))
            && self.reasons.as_ref().is_none_or(|r| r.contains(&reason))
    }
}

/// All of them, checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// What the store may take on disk, in bytes.
    pub max_bytes: u64,
    /// Resends a second, to all receivers together.
    pub resends_per_s: f64,
    /// The rules, in order.
    pub rules: Vec<Rule>,
}

/// Rules that can't be used. Nothing of them has taken effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RulesError {
    /// It is no such section.
    #[error("{0}")]
    Unreadable(String),
    /// All that was found in it.
    #[error("{}", .0.iter().map(|f| f.message.as_str()).collect::<Vec<_>>().join("; "))]
    Wrong(Vec<Finding>),
}

impl Rules {
    /// Reads rules from the text of a section by itself.
    ///
    /// # Errors
    /// When it can't be read, or something in it is wrong.
    pub fn read(text: &str, classes: &[ClassFacts]) -> Result<Rules, RulesError> {
        let section: Section = toml::from_str(text).map_err(|e| RulesError::Unreadable(e.to_string()))?;
        section.check(classes).map_err(RulesError::Wrong)
    }

    /// The rule that holds for such a message.
    pub fn rule_of(&self, dest: i64, class: &str, reason: Reason) -> Option<&Rule> {
        self.rules.iter().find(|r| r.matches(dest, class, reason))
    }

    /// The receivers that are named in any rule. All others fare alike.
    pub fn receivers(&self) -> BTreeSet<i64> {
        self.rules.iter().filter_map(|r| r.receivers.as_ref()).flatten().copied().collect()
    }

    /// The rule that holds for a debt.
    pub fn of(&self, debt: &Debt) -> Option<&Rule> {
        self.rule_of(debt.message.dest, &debt.message.class, debt.reason)
    }

    /// Whether a message that ends so is to be kept. One that no rule speaks of is not.
    pub fn keeps(&self, dest: i64, class: &str, reason: Reason) -> bool {
        self.rule_of(dest, class, reason).is_some_and(|rule| rule.keep)
    }
}

struct Check<'a> {
    classes: &'a [ClassFacts],
    found: Vec<Finding>,
}

impl Check<'_> {
    fn say(&mut self, place: Range<usize>, what: impl Into<String>) {
        self.found.push(Finding { span: place, message: what.into() });
    }

    fn span(
        &mut self,
        place: &Range<usize>,
        name: &str,
        span: Option<Duration>,
        otherwise: Micros,
    ) -> Micros {
        let Some(span) = span else { return otherwise };
        if span > SPAN_MOST {
            self.say(place.clone(), format!("'{name}' is ten years at most"));
        }
        span.min(SPAN_MOST).as_micros() as Micros
    }
}

impl Section {
    /// Checks the whole of it against the classes that the daemon's settings know.
    ///
    /// # Errors
    /// All findings, in the order of the file.
    pub fn check(&self, classes: &[ClassFacts]) -> Result<Rules, Vec<Finding>> {
        let mut c = Check { classes, found: Vec::new() };
        let max_mb = *self.max_mb.get_ref();
        if !(0.1..=1e6).contains(&max_mb) {
            c.say(self.max_mb.span(), "'max_mb' lies between 0.1 and 1000000: room on disk in MB");
        }
        let resends_per_s = *self.resends_per_s.get_ref();
        if !(resends_per_s > 0.0 && resends_per_s <= 1e5) {
            let what = "'resends_per_s' lies above 0, and at most at 100000; to send nothing again, give no 'resend'";
            c.say(self.resends_per_s.span(), what);
        }
        if let Some(rule) = self.rule.get(RULES_MOST) {
            c.say(
                rule.span(),
                format!("more than {RULES_MOST} rules: give several receivers to one of them"),
            );
        }
        let mut names = BTreeSet::new();
        let mut rules: Vec<Rule> = Vec::new();
        for (n, raw) in self.rule.iter().enumerate().take(RULES_MOST) {
            let rule = c.rule(n, raw);
            if !names.insert(rule.name.clone()) {
                c.say(raw.span(), format!("two rules are named '{}': rename one", rule.name));
            }
            // What an earlier one takes in whole is never reached: the order is wrong, or the rule is dead.
            if let Some(earlier) = rules.iter().find(|earlier| covers(earlier, &rule)) {
                let what =
                    format!("'{}' before it matches all that it does: put it first, or out", earlier.name);
                c.say(raw.span(), what);
            }
            rules.push(rule);
        }
        match c.found {
            found if found.is_empty() => Ok(Rules { max_bytes: (max_mb * 1e6) as u64, resends_per_s, rules }),
            found => Err(found),
        }
    }
}

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
                self.say(
                    place.clone(),
                    format!("'{field}' is empty and matches nothing: leave it out to match all"),
                );
            }
        }
        for class in raw.class.iter().flatten() {
            if !self.classes.iter().any(|c| c.name == *class.get_ref()) {
                let known: Vec<_> = self.classes.iter().map(|c| c.name.as_str()).collect();
                let (class, place) = (class.get_ref(), class.span());
                self.say(place, format!("no class is named '{class}': there are {}", known.join(", ")));
            }
        }
        let named: Option<BTreeSet<String>> =
            raw.class.as_ref().map(|c| c.iter().map(|c| c.get_ref().clone()).collect());
        if !raw.keep
            && (raw.resend.is_some() || raw.owed_for.is_some() || raw.then.is_some() || raw.supersede)
        {
            self.say(
                place.clone(),
                "what is not kept can't be sent again, owed or replaced: 'keep = false' stands alone",
            );
        }
        if raw.then.is_some() && raw.owed_for.is_none() {
            self.say(place.clone(), "'then' tells what follows 'owed_for': give that too");
        }
        let resend = raw.resend.as_ref().map(|r| self.resend(r));
        let classes = self.classes;
        let mine = || classes.iter().filter(|c| named.as_ref().is_none_or(|n| n.contains(&c.name)));
        if raw.supersede
            && let Some(class) = mine().find(|c| c.effect != Effect::Safe)
        {
            let what = format!(
                "'supersede' drops a message for a newer one, and class '{}' does not overwrite: each of its messages \
                 has an effect of its own. Name the classes that are safe to repeat",
                class.name
            );
            self.say(place.clone(), what);
        }
        // With doubt named on purpose the operator expects it to be sent: that would break the second rule. Where a
        // rule speaks of other reasons too, or of all, doubt is passed over in silence by the plan.
        let doubt = raw.reason.as_ref().is_some_and(|r| r.contains(&Reason::MayHaveRun));
        if let (true, Some(resend), Some(raw_resend)) = (doubt, &resend, &raw.resend) {
            for class in mine() {
                let what = match class.effect {
                    Effect::Unsafe => format!(
                        "class '{}' must never take effect twice, and what may have run is not sent again by a rule: \
                         leave 'may-have-run' out, and resolve each of them by its own word",
                        class.name
                    ),
                    Effect::Keyed if resend.not_before >= class.window => format!(
                        "receivers forget a key of class '{}' after {} s, and this rule sends it again only later: \
                         leave 'may-have-run' out, or resend sooner",
                        class.name,
                        class.window / 1_000_000
                    ),
                    _ => continue,
                };
                self.say(raw_resend.span(), what);
            }
        }
        let owed_for = raw.owed_for.map(|span| self.span(&place, "owed_for", Some(span), 0));
        if let (Some(owed_for), Some(resend)) = (owed_for, &resend)
            && resend.not_before >= owed_for
        {
            self.say(place.clone(), "'not_before' lies past 'owed_for': it would never be sent again");
        }
        Rule {
            name,
            receivers: raw.receiver.as_ref().map(|r| r.iter().copied().collect()),
            classes: named,
            reasons: raw.reason.as_ref().map(|r| r.iter().copied().collect()),
            keep: raw.keep,
            resend,
            owed_for,
            then: raw.then.unwrap_or_default(),
            supersede: raw.supersede,
        }
    }

    fn resend(&mut self, raw: &Spanned<RawResend>) -> Resend {
        let (place, raw) = (raw.span(), raw.get_ref());
        if *raw.times.get_ref() == 0 {
            self.say(raw.times.span(), "'times' is 0: leave 'resend' out to send nothing again");
        }
        let growth = *raw.growth.get_ref();
        if !(1.0..=100.0).contains(&growth) {
            self.say(
                raw.growth.span(),
                "'growth' lies between 1 and 100: a gap is never shorter than the one before",
            );
        }
        // A resend that comes to nothing is at once due again where there is no gap.
        if raw.gap < Duration::from_secs(1) {
            self.say(place.clone(), "'gap' is a second at least");
        }
        let gap = self.span(&place, "gap", Some(raw.gap), 0);
        let gap_most = self.span(&place, "gap_most", raw.gap_most, gap.max(24 * 3_600_000_000));
        if gap_most < gap {
            self.say(place.clone(), "'gap_most' is shorter than 'gap'");
        }
        let window = raw.window.as_ref().and_then(|w| {
            let read = window(w.get_ref());
            if read.is_none() {
                let what = "'window' is two unlike times of the day, UTC, such as \"18:00-23:30\" or \"22:00-02:00\"";
                self.say(w.span(), what);
            }
            read
        });
        Resend {
            well_for: self.span(&place, "well_for", raw.well_for, 0),
            window,
            not_before: self.span(&place, "not_before", raw.not_before, 0),
            times: *raw.times.get_ref(),
            gap,
            growth: if growth.is_finite() { growth.clamp(1.0, 100.0) } else { 1.0 },
            gap_most,
        }
    }
}

/// Minutes of the day from a window such as `18:00-23:30`.
fn window(text: &str) -> Option<(u32, u32)> {
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
