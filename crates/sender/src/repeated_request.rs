//! A request that is sent again while the earlier ones have no response yet.
//!
//! A peer that is slow and a peer that is silent look alike at first. Giving a slow request up and sending it again
//! would never get the response of a peer that always takes longer than the timeout. So the earlier requests stay open,
//! each on a connection of its own, and the first response that arrives counts.

use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};

/// When a request without a response is sent again, and when it is given up.
#[derive(Clone, Copy, Debug)]
pub struct RepeatPolicy {
    /// Time after which the request is sent for the second time.
    pub first_interval: Duration,
    /// Factor by which the interval grows with each further request; it bounds the number of open requests.
    pub growth: u32,
    /// Time after the first request at which all requests are given up.
    pub timeout: Duration,
}

/// Sends a request, and again according to `policy`, and returns the first successful response.
/// Must be called in a [`tokio::task::LocalSet`]. When the returned future is dropped, all requests are cancelled.
///
/// # Errors
/// Returns the error of the last request if all requests that were sent have failed.
/// Returns an error of the kind `TimedOut` if there is no response within the policy's timeout.
pub async fn first_response<T, F>(policy: RepeatPolicy, mut send: impl FnMut() -> F) -> io::Result<T>
where
    T: 'static,
    F: Future<Output = io::Result<T>> + 'static,
{
    let deadline = Instant::now() + policy.timeout;
    let mut interval = policy.first_interval;
    let mut open = JoinSet::new();
    while Instant::now() < deadline {
        open.spawn_local(send());
        let repeat_at = deadline.min(Instant::now() + interval);
        while let Ok(Some(ended)) = timeout_at(repeat_at, open.join_next()).await {
            match ended.map_err(io::Error::other).flatten() {
                Err(e) if open.is_empty() => return Err(e),
                // An earlier request may still succeed.
                Err(_) => {}
                response => return response,
            }
        }
        interval *= policy.growth;
    }
    Err(io::Error::new(io::ErrorKind::TimedOut, "no response in time"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::Cell;
    use std::rc::Rc;
    use tokio::task::LocalSet;
    use tokio::time::sleep;

    const POLICY: RepeatPolicy = RepeatPolicy {
        first_interval: Duration::from_millis(60),
        growth: 1,
        timeout: Duration::from_millis(240),
    };

    /// Runs requests, the n-th of which ends as `nth(n)` says, after a delay. Returns the response and their number.
    async fn run(nth: impl Fn(u32) -> (u64, Result<u32, &'static str>)) -> (io::Result<u32>, u32) {
        let sent = Rc::new(Cell::new(0));
        let send = || {
            let number = sent.get();
            sent.set(number + 1);
            let (delay_ms, response) = nth(number);
            async move {
                sleep(Duration::from_millis(delay_ms)).await;
                response.map_err(io::Error::other)
            }
        };
        let response = LocalSet::new().run_until(first_response(POLICY, send)).await;
        (response, sent.get())
    }

    #[tokio::test(start_paused = true)]
    async fn a_response_that_takes_longer_than_the_interval_is_received() {
        let (response, sent) = run(|n| (200, Ok(n))).await;
        assert_eq!((response.unwrap(), sent), (0, 4));
    }

    #[tokio::test(start_paused = true)]
    async fn a_request_without_a_response_is_sent_again_and_the_later_one_counts() {
        let (response, sent) = run(|n| (if n == 0 { 10_000 } else { 10 }, Ok(n))).await;
        assert_eq!((response.unwrap(), sent), (1, 2));
    }

    #[tokio::test(start_paused = true)]
    async fn a_failure_counts_once_no_request_is_open() {
        let (response, sent) = run(|_| (10, Err("refused"))).await;
        assert_eq!((response.unwrap_err().to_string().as_str(), sent), ("refused", 1));
        let (response, sent) = run(|n| if n == 0 { (100, Ok(n)) } else { (10, Err("busy")) }).await;
        assert_eq!((response.unwrap(), sent), (0, 2));
    }

    #[tokio::test(start_paused = true)]
    async fn silence_ends_at_the_timeout() {
        let (response, sent) = run(|_| (10_000, Ok(0))).await;
        assert_eq!((response.unwrap_err().kind(), sent), (io::ErrorKind::TimedOut, 4));
    }
}
