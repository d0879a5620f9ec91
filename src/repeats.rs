//! Decisions about sending a message again, and about returning a message to its client.
//!
//! A refusal promises the client that submitting the message again is harmless, to any sender and at any time.
//! No sender knows what became of another sender's attempts, so only a message that has certainly not taken effect
//! is refused. A message that may have taken effect is sent again as far as its class allows, and fails otherwise.

use crate::interface::*;
use crate::logic::Dispatcher;
use crate::state::*;

/// Maximum time from when a client sends a message until the sender handles it; a client waits no longer for an answer.
const MAX_SUBMISSION_DELAY_US: Micros = 400_000;
/// Maximum part of a keyed class's idempotency window that one attempt may take, so that a second attempt fits.
pub(crate) const WINDOW_ATTEMPT_SHARE: f64 = 0.45;
/// Part of a keyed message's idempotency window before which its last allowed attempt does not begin.
const LAST_ATTEMPT_SHARE: f64 = 0.8;
/// Factor by which the time until an attempt decreases for each further attempt that is left.
const ATTEMPT_SPACING_FACTOR: f64 = 0.5;

impl ClassSettings {
    /// Returns the earliest time at which a message may have taken effect that a lost sender had before.
    /// A lost sender has died or did not answer. `time_left` is the time until the deadline as the client sent it.
    ///
    /// No attempt precedes the first submission to any sender, whose time follows from the class's deadline.
    /// The result is `None` unless the class is keyed: safe messages may be repeated at any time, and clients submit
    /// unsafe messages again only if no attempt was made.
    /// Where only some endpoints remember a key, the lost sender's endpoint is not known, and the window counts as over.
    pub fn possible_run_at_lost_sender(&self, now: Micros, time_left: Micros) -> Option<Micros> {
        let age = (self.deadline - time_left).max(0);
        match (self.effect, self.dedup_scope) {
            (Effect::Safe | Effect::Unsafe, _) => None,
            (Effect::Keyed, DedupScope::All) => Some(now - age - MAX_SUBMISSION_DELAY_US),
            (Effect::Keyed, DedupScope::Zone | DedupScope::Endpoint) => Some(now - self.window),
        }
    }
}

impl Dispatcher {
    fn max_attempts(&self, message: &Message) -> u32 {
        self.class_of(message).max_attempts.unwrap_or(self.settings.max_attempts)
    }

    /// Returns the end of a keyed message's idempotency window.
    /// Returns `None` if the message has certainly not taken effect, or if its class is not keyed.
    pub(crate) fn key_window_end(&self, message: &Message) -> Option<Micros> {
        let class = self.class_of(message);
        let first_sent = message.may_have_run.map(|(sent, _)| sent)?;
        (class.effect == Effect::Keyed).then(|| first_sent + class.window)
    }

    /// Returns whether a message may get a further attempt now or later.
    pub(crate) fn may_retry(&self, id: MsgId) -> bool {
        let Some(message) = self.messages.get(&id) else { return false };
        if message.closed || message.counted_attempts() >= self.max_attempts(message) {
            return false;
        }
        match self.class_of(message).effect {
            Effect::Safe => true,
            Effect::Keyed => self.key_window_end(message).is_none_or(|end| self.now < end),
            Effect::Unsafe => message.may_have_run.is_none(),
        }
    }

    /// Returns the earliest time at which a message's next attempt may begin.
    /// Guards against keyed messages that use up their attempts at the beginning of an outage and then fail.
    /// The first repeat may begin at once; the attempts left after it are spread over the idempotency window.
    pub(crate) fn next_attempt_at(&self, message: &Message) -> Micros {
        let (Some(window_end), made) = (self.key_window_end(message), message.counted_attempts()) else {
            return Micros::MIN;
        };
        if made <= 1 {
            return Micros::MIN;
        }
        let left_after_next = self.max_attempts(message).saturating_sub(made + 1);
        let share = LAST_ATTEMPT_SHARE * ATTEMPT_SPACING_FACTOR.powf(f64::from(left_after_next));
        let window = self.class_of(message).window;
        window_end - window + (window as f64 * share) as Micros
    }

    /// Returns whether a message could be sent again if its next attempt ended with an unknown outcome.
    pub(crate) fn is_repeatable(&self, message: &Message) -> bool {
        let class = self.class_of(message);
        let first_sent = message.may_have_run.map_or(self.now, |m| m.0);
        let effect_allows = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => self.now < first_sent + (class.window as f64 * WINDOW_ATTEMPT_SHARE) as Micros,
            Effect::Unsafe => false,
        };
        effect_allows && message.counted_attempts() + 1 < self.max_attempts(message)
    }

    /// Returns whether the message may be refused, which promises the client that resubmitting is harmless.
    /// A resubmission is a new message, and no sender knows when its idempotency key was first used.
    /// Without this rule, a refused keyed message was submitted again and took effect after its idempotency window.
    pub(crate) fn may_refuse(&self, message: &Message) -> bool {
        let has_certainly_not_run = message.may_have_run.is_none() && message.in_flight.is_empty();
        match self.class_of(message).effect {
            Effect::Safe => true,
            Effect::Keyed | Effect::Unsafe => has_certainly_not_run,
        }
    }
}
