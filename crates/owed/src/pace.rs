//! Rate control for resends of debts, which have a rate limit of their own.
//! Resends are sent only to healthy receivers, and wait while fresh messages are pending.

use heronroute::Micros;
use std::collections::BTreeMap;

/// The maximum number of receivers tracked. The receiver with the oldest call is evicted.
/// An evicted receiver counts as a receiver without any call.
pub const MAX_RECEIVERS: usize = 10_000;
/// The burst limit, in seconds of the resend rate. The limit avoids a large burst of resends after a pause.
const BURST_SECONDS: f64 = 1.0;
/// The minimum time without a call after which a receiver whose last call failed may be tried again.
const MIN_SILENCE_US: Micros = 10_000_000;
/// The maximum fraction of the total resend rate for one receiver while other receivers have debts due.
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
        // Prevents a clock that was set back from refilling the bucket twice for the same time.
        self.refilled_at = now.max(self.refilled_at);
    }
}

#[derive(Clone, Copy, Debug)]
struct Receiver {
    /// The time of the first successful call since the last failed call; `None` if the last call failed.
    healthy_since: Option<Micros>,
    last_call: Micros,
    bucket: Bucket,
}

/// Decides when resends may be sent, based on the rate limit and the results of calls to receivers.
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

    /// Returns whether a receiver has been healthy for at least `healthy_for`.
    /// A receiver whose last call failed, or that had no call, counts as healthy after `healthy_for` without calls.
    /// Otherwise, a receiver that gets no fresh messages would never get a resend.
    /// A resend to a receiver whose last call failed, or that had no call, restarts the wait of `healthy_for`.
    /// The debts of such a receiver are therefore tried one by one and not all simultaneously.
    pub fn is_healthy(&self, dest: i64, healthy_for: Micros, now: Micros) -> bool {
        match self.receivers.get(&dest) {
            Some(Receiver { healthy_since: Some(since), .. }) => now - since >= healthy_for,
            Some(receiver) => now - receiver.last_call >= healthy_for.max(MIN_SILENCE_US),
            None => now - self.created_at >= healthy_for,
        }
    }

    /// Takes a token for one resend to a receiver. Returns whether the resend may be sent now.
    ///
    /// `fresh_pending` means that fresh messages for the receiver are pending, which are sent first.
    /// `others_due` means that debts to other receivers are due.
    /// If `others_due`, the receiver is limited to its maximum fraction of the total resend rate.
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

    /// Changes the total rate of resends. The tracked state of receivers is unchanged.
    pub fn set_rate(&mut self, rate: f64, now: Micros) {
        self.total.refill(now, self.rate);
        self.rate = rate.max(1e-6);
        self.total.tokens = self.total.tokens.min((self.rate * BURST_SECONDS).max(1.0));
    }
}
