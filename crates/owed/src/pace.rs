//! The pace of resends: they have a rate limit of their own, go only to healthy receivers, and yield to fresh messages.

use heronroute::Micros;
use std::collections::BTreeMap;

/// How many receivers are tracked: those with the latest calls. A receiver that is evicted counts as one without any
/// call.
pub const MAX_RECEIVERS: usize = 10_000;
/// How many resends may accumulate, in seconds of the rate. A pause must not be followed by a large burst.
const BURST_SECONDS: f64 = 1.0;
/// The minimum time without a call after which a receiver whose last call failed may be tried again.
const MIN_SILENCE_US: Micros = 10_000_000;
/// The maximum share of the total rate for one receiver while others have debts due.
const MAX_RECEIVER_SHARE: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Micros,
}

impl Bucket {
    fn refill(&mut self, now: Micros, rate: f64) {
        let span = (now - self.refilled_at).max(0) as f64 / 1e6;
        self.tokens = (self.tokens + span * rate).min((rate * BURST_SECONDS).max(1.0));
        // A clock that was set back must not refill the same time twice.
        self.refilled_at = now.max(self.refilled_at);
    }
}

#[derive(Clone, Copy, Debug)]
struct Receiver {
    /// The time of the first success after the last failure, if the last call succeeded.
    healthy_since: Option<Micros>,
    last_call: Micros,
    bucket: Bucket,
}

/// Paces resends, from the results of calls to receivers.
#[derive(Clone, Debug)]
pub struct Pacer {
    rate: f64,
    created_at: Micros,
    total: Bucket,
    receivers: BTreeMap<i64, Receiver>,
}

impl Pacer {
    /// Creates a pacer for `rate` resends per second in total.
    pub fn new(rate: f64, now: Micros) -> Pacer {
        let total = Bucket { tokens: 1.0, refilled_at: now };
        Pacer { rate: rate.max(1e-6), created_at: now, total, receivers: BTreeMap::new() }
    }

    /// Records the end of a call to a receiver. A call that was rejected or answered with a wait is not a success.
    pub fn record_call(&mut self, dest: i64, succeeded: bool, now: Micros) {
        let receiver = self.receiver(dest, now);
        receiver.last_call = now;
        receiver.healthy_since = if succeeded { receiver.healthy_since.or(Some(now)) } else { None };
    }

    fn receiver(&mut self, dest: i64, now: Micros) -> &mut Receiver {
        if !self.receivers.contains_key(&dest) && self.receivers.len() >= MAX_RECEIVERS {
            let oldest = self.receivers.iter().min_by_key(|(_, r)| r.last_call).map(|(dest, _)| *dest);
            oldest.and_then(|dest| self.receivers.remove(&dest));
        }
        let bucket = Bucket { tokens: 1.0, refilled_at: now };
        self.receivers.entry(dest).or_insert(Receiver { healthy_since: None, last_call: now, bucket })
    }

    /// Returns whether a receiver has been healthy for at least `healthy_for`. A receiver without any call, or without
    /// one since its last failure, may be tried after the same time without calls; otherwise a receiver that gets no
    /// fresh messages would never be tried. Each try restarts that time, so that debts are tried one by one and not all
    /// at once.
    pub fn is_healthy(&self, dest: i64, healthy_for: Micros, now: Micros) -> bool {
        match self.receivers.get(&dest) {
            Some(Receiver { healthy_since: Some(since), .. }) => now - since >= healthy_for,
            Some(receiver) => now - receiver.last_call >= healthy_for.max(MIN_SILENCE_US),
            None => now - self.created_at >= healthy_for,
        }
    }

    /// Takes a token for one resend to a receiver. Returns whether there was one.
    ///
    /// `fresh_pending` tells whether fresh messages for that receiver are pending: they go first. `others_due` tells
    /// whether debts to other receivers are due: then no receiver gets more than its share of the rate.
    pub fn try_take(&mut self, dest: i64, fresh_pending: bool, others_due: bool, now: Micros) -> bool {
        self.total.refill(now, self.rate);
        if fresh_pending || self.total.tokens < 1.0 {
            return false;
        }
        let rate = self.rate * MAX_RECEIVER_SHARE;
        let receiver = self.receiver(dest, now);
        receiver.bucket.refill(now, rate);
        if others_due && receiver.bucket.tokens < 1.0 {
            return false;
        }
        receiver.bucket.tokens = (receiver.bucket.tokens - 1.0).max(0.0);
        if receiver.healthy_since.is_none() {
            receiver.last_call = now;
        }
        self.total.tokens -= 1.0;
        true
    }

    /// Changes the rate. The state of receivers is unchanged.
    pub fn set_rate(&mut self, rate: f64, now: Micros) {
        self.total.refill(now, self.rate);
        self.rate = rate.max(1e-6);
        self.total.tokens = self.total.tokens.min((self.rate * BURST_SECONDS).max(1.0));
    }
}
