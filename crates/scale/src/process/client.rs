//! Clients that send messages to a daemon over RESP2, and a function that calls the management interface.

use anyhow::{Context, Result};
use bytes::BytesMut;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{Instant, MissedTickBehavior, timeout};

/// Time-out for the daemon's answer to a client; a late answer fails the measurement.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Body of every message. With another length, results can't be compared with earlier results.
const BODY: [u8; 200] = [b'm'; 200];
/// Number of unanswered messages per connection, which equals the number that the daemon processes at a time.
pub const MAX_UNANSWERED: usize = 64;
/// Number of client connections that share a load at a fixed rate.
const CONNECTIONS: usize = 8;

/// Numbers of accepted and refused messages, by the daemon's reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PutCounts {
    /// Number of messages answered with `+OK`.
    pub accepted: u64,
    /// Number of messages answered with anything but `+OK`.
    pub refused: u64,
}

impl PutCounts {
    fn add(&mut self, other: PutCounts) {
        self.accepted += other.accepted;
        self.refused += other.refused;
    }
}

/// Client with one connection to a daemon.
pub struct Client {
    stream: BufReader<TcpStream>,
    prefix: String,
    next: u64,
}

impl Client {
    /// Connects to the daemon; the ids of the client's messages begin with `prefix`.
    ///
    /// # Errors
    /// Fails if no daemon listens at the address.
    pub async fn connect(address: SocketAddr, prefix: impl Into<String>) -> Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Client { stream: BufReader::new(stream), prefix: prefix.into(), next: 0 })
    }

    /// Sends one message for each destination in a single write, and reads all answers. `time_left` is in milliseconds.
    ///
    /// # Errors
    /// Fails if the client's connection ends, or an answer does not arrive in time.
    pub async fn put(&mut self, class: &str, time_left: u64, destinations: &[usize]) -> Result<PutCounts> {
        let mut commands = BytesMut::new();
        for destination in destinations {
            self.next += 1;
            let id = format!("{}-{}", self.prefix, self.next);
            let fields = format!("c={class},t=acme,d={time_left},dest={destination}");
            let arguments: [&[u8]; 5] = [b"MSG.PUT", b"", id.as_bytes(), fields.as_bytes(), &BODY];
            write_command(&mut commands, &arguments);
        }
        self.stream.write_all(&commands).await?;
        self.stream.flush().await?;
        let mut counts = PutCounts::default();
        for _ in destinations {
            let mut line = String::new();
            timeout(ANSWER_TIMEOUT, self.stream.read_line(&mut line))
                .await
                .with_context(|| format!("no answer to a message within {ANSWER_TIMEOUT:?}"))??;
            match line.as_str() {
                "+OK\r\n" => counts.accepted += 1,
                "" => anyhow::bail!("the daemon closed a client's connection before answering all messages"),
                _ => counts.refused += 1,
            }
        }
        Ok(counts)
    }
}

fn write_command(out: &mut BytesMut, arguments: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", arguments.len()).as_bytes());
    for argument in arguments {
        out.extend_from_slice(format!("${}\r\n", argument.len()).as_bytes());
        out.extend_from_slice(argument);
        out.extend_from_slice(b"\r\n");
    }
}

/// Sends `rate` messages per second to the daemon for the duration `span`, over several connections.
/// The messages go to the destinations `0..destinations` in turn.
///
/// # Errors
/// Fails if a client connection ends, or an answer does not arrive in time.
pub async fn offer(
    address: SocketAddr,
    prefix: &str,
    rate: f64,
    span: Duration,
    destinations: usize,
) -> Result<PutCounts> {
    let mut tasks = tokio::task::JoinSet::new();
    let period = Duration::from_secs_f64(CONNECTIONS as f64 / rate);
    for connection in 0..CONNECTIONS {
        let mut client = Client::connect(address, format!("{prefix}-{connection}")).await?;
        let first = Instant::now() + period.mul_f64(connection as f64 / CONNECTIONS as f64);
        tasks.spawn(async move {
            let (mut counts, mut ticks) = (PutCounts::default(), tokio::time::interval_at(first, period));
            ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
            let count = (span.as_secs_f64() / period.as_secs_f64()) as usize;
            for n in 0..count {
                ticks.tick().await;
                let destination = (n * CONNECTIONS + connection) % destinations;
                counts.add(client.put("free", 20_000, &[destination]).await?);
            }
            anyhow::Ok(counts)
        });
    }
    let mut counts = PutCounts::default();
    while let Some(part) = tasks.join_next().await {
        counts.add(part??);
    }
    Ok(counts)
}

/// Requests a path of the daemon's management interface.
/// Returns the HTTP status and the body, or `None` if there is no valid answer in time.
pub async fn get(management_address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let call = async {
        let mut stream = TcpStream::connect(management_address).await.ok()?;
        stream.write_all(format!("GET {path} HTTP/1.1\r\nhost: door\r\n\r\n").as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        let status = answer.split(' ').nth(1)?.parse().ok()?;
        Some((status, answer.split_once("\r\n\r\n")?.1.to_string()))
    };
    timeout(ANSWER_TIMEOUT, call).await.ok()?
}
