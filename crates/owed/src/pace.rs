//! How many debts are sent again at once: by a rate of their own, only to receivers that have been well, and after
//! fresh messages.

use heronroute::Micros;
use std::collections::BTreeMap;

/// Receivers that are remembered: those heard of last. One that is forgotten counts as one that was
/// never heard of.
pub const RECEIVERS_MOST: usize = 10_000;
/// Resends that may be saved up, in seconds of the rate: a pause must not be followed by a heap.
const BURST: f64 = 1.0;
/// A receiver that failed last, and of which nothing was heard for so long, may be tried again.
const QUIET: Micros = 10_000_000;
/// Share of the whole rate that one receiver gets at most while others are owed too.
const RECEIVER_SHARE: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled: Micros,
}

impl Bucket {
    fn fill(&mut self, now: Micros, rate: f64) {
        let span = (now - self.filled).max(0) as f64 / 1e6;
        self.tokens = (self.tokens + span * rate).min((rate * BURST).max(1.0));
        // A clock that was set back must not fill it twice over.
        self.filled = now.max(self.filled);
    }
}

#[derive(Clone, Copy, Debug)]
struct Receiver {
    /// Since when nothing failed there, if the last that was heard was a success.
    well_since: Option<Micros>,
    heard: Micros,
    bucket: Bucket,
}

/// Paces resends. Fed with what is heard of receivers, asked for each debt that is due.
#[derive(Clone, Debug)]
pub struct Pacer {
    rate: f64,
    born: Micros,
    all: Bucket,
    receivers: BTreeMap<i64, Receiver>,
}

impl Pacer {
    /// A pacer for so many resends a second.
    pub fn new(rate: f64, now: Micros) -> Pacer {
        let all = Bucket { tokens: 1.0, filled: now };
        Pacer { rate: rate.max(1e-6), born: now, all, receivers: BTreeMap::new() }
    }

    /// A call to a receiver has ended: well, or not. One that was told to wait or turned away is not well.
    pub fn heard(&mut self, dest: i64, well: bool, now: Micros) {
        let r = self.receiver(dest, now);
        r.heard = now;
        r.well_since = if well { r.well_since.or(Some(now)) } else { None };
    }

    fn receiver(&mut self, dest: i64, now: Micros) -> &mut Receiver {
        if !self.receivers.contains_key(&dest) && self.receivers.len() >= RECEIVERS_MOST {
            let oldest = self.receivers.iter().min_by_key(|(_, r)| r.heard).map(|(dest, _)| *dest);
            oldest.and_then(|dest| self.receivers.remove(&dest));
        }
        let bucket = Bucket { tokens: 1.0, filled: now };
        self.receivers.entry(dest).or_insert(Receiver { well_since: None, heard: now, bucket })
    }

    /// Whether a receiver has been well for so long. One of which nothing was heard, or nothing since a failure, may be
    /// tried after as long a silence: else a receiver to which nothing fresh goes would never be. Each try begins the
    /// silence anew, so that one goes and not all.
    pub fn well(&self, dest: i64, well_for: Micros, now: Micros) -> bool {
        match self.receivers.get(&dest) {
            Some(Receiver { well_since: Some(since), .. }) => now - since >= well_for,
            Some(r) => now - r.heard >= well_for.max(QUIET),
            None => now - self.born >= well_for,
        }
    }

    /// Takes the right to send one again to a receiver, if there is any now.
    ///
    /// `fresh` tells whether fresh messages wait for that receiver: then they go first. `others` whether debts to other
    /// receivers are due as well: then no receiver takes more than its share of the rate.
    pub fn take(&mut self, dest: i64, fresh: bool, others: bool, now: Micros) -> bool {
        self.all.fill(now, self.rate);
        if fresh || self.all.tokens < 1.0 {
            return false;
        }
        let rate = self.rate * RECEIVER_SHARE;
        let r = self.receiver(dest, now);
        r.bucket.fill(now, rate);
        if others && r.bucket.tokens < 1.0 {
            return false;
        }
        r.bucket.tokens = (r.bucket.tokens - 1.0).max(0.0);
        if r.well_since.is_none() {
            r.heard = now;
        }
        self.all.tokens -= 1.0;
        true
    }

    /// Takes over a new rate; what was heard stays.
    pub fn set_rate(&mut self, rate: f64, now: Micros) {
        self.all.fill(now, self.rate);
        self.rate = rate.max(1e-6);
        self.all.tokens = self.all.tokens.min((self.rate * BURST).max(1.0));
    }
}
