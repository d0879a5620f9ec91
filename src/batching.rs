//! How long messages wait for a batch to fill, in a call that several may share. It does no I/O, and it knows one lane
//! at a time.
//!
//! With many senders, of whom none sees much, such calls go with one message each, and all of them together with more
//! calls than a limit takes, most of all one that is cut without word. What a sender learns by refusals comes too late
//! then; what it waits for on a calm day is lost. So the wait hangs on signs of scarcity (`docs/design/even.md`).

/// Calls are spaced to this share of an equal part of the limit: it fills them and keeps the fleet clear even of half
/// the limit.
const LINGER: f64 = 0.45;
/// Own traffic as a share of an equal part of the limit below which nothing is spaced: all alike, that is a fleet
/// which a limit cut by almost half still takes, and a sender with less than others adds too little.
const CALM: f64 = 0.6;
/// Own traffic as a share of an equal part of the limit at which the spacing is as wide as after a refusal.
const FULL: f64 = 0.9;
/// No spacing is wider than this multiple of the shortest aim; a message waits for half of it on average.
const WIDEST: f64 = 2.0;
/// The same with no sign of scarcity but that this sender's part is above the least.
const WIDEST_CALM: f64 = 0.7;
/// Share of a call that a sender with much traffic fills.
const FILL: f64 = 0.7;

/// Calls a second that carry so many messages a second where each is filled as far as one fills it.
pub(crate) fn filled_calls(own: f64, batch: f64) -> f64 {
    own / (batch * FILL)
}

/// What a sender sees of a lane whose calls several messages may share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LaneDemand {
    /// An equal part of the limit, in calls a second.
    pub(crate) equal: f64,
    /// The sender's own messages a second at the moment, and what they are at least in the longer run.
    pub(crate) own: f64,
    pub(crate) share: f64,
    /// Messages that a call takes.
    pub(crate) batch: f64,
    /// The shortest aim of all classes, in microseconds.
    pub(crate) aim: f64,
    /// It was refused lately.
    pub(crate) refused: bool,
}

impl LaneDemand {
    /// Calls a second to which the lane is spaced; nothing where there is no sign that they could be too many.
    pub(crate) fn spacing(&self) -> Option<f64> {
        let part = self.share / self.equal;
        if !self.refused && part <= CALM {
            return None;
        }
        let scarce = ((part - CALM) / (FULL - CALM)).clamp(0.0, 1.0);
        let scarce = if self.refused { 1.0 } else { scarce };
        let widest = (WIDEST_CALM + (WIDEST - WIDEST_CALM) * scarce) * self.aim / 1e6;
        Some((self.equal * LINGER).max(filled_calls(self.own, self.batch)).max(1.0 / widest))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const QUIET: LaneDemand =
        LaneDemand { equal: 1.0, own: 0.4, share: 0.4, batch: 10.0, aim: 2e6, refused: false };

    #[test]
    fn nothing_waits_below_the_limit_and_all_do_after_a_refusal() {
        assert_eq!(QUIET.spacing(), None);
        assert_eq!(LaneDemand { refused: true, ..QUIET }.spacing(), Some(0.45));
        // With little of a limit the wait is bounded by twice the shortest aim.
        assert_eq!(LaneDemand { refused: true, equal: 0.1, ..QUIET }.spacing(), Some(0.25));
    }

    #[test]
    fn the_nearer_the_limit_the_longer_the_wait() {
        let at = |share| LaneDemand { equal: 0.2, own: 0.2, share: share * 0.2, ..QUIET }.spacing().unwrap();
        assert!((at(0.61) - 1.0 / 1.4).abs() < 0.05 && at(0.8) < at(0.7) && (at(0.9) - 0.25).abs() < 1e-9);
        assert_eq!(at(3.0), at(0.9));
    }

    #[test]
    fn much_traffic_fills_calls() {
        let busy = LaneDemand { own: 30.0, share: 30.0, ..QUIET };
        assert!((busy.spacing().unwrap() - 30.0 / 7.0).abs() < 1e-9);
    }
}
