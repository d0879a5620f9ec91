//! Clients that hand messages in over RESP2.

use anyhow::{Context, Result};
use bytes::BytesMut;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{Instant, MissedTickBehavior, timeout};

/// An answer has come by then, or the measurement is void.
const ANSWER_TIME: Duration = Duration::from_secs(5);
/// The body of every message, as in the slopes measured before.
const BODY: [u8; 200] = [b'm'; 200];
/// Messages that one connection has open at once; the daemon works on so many together.
pub const PIPELINE: usize = 64;
/// Connections that share a paced load.
const CONNECTIONS: usize = 8;

/// How the messages of a load were answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Handed {
    /// With `+OK`.
    pub taken: u64,
    /// With anything else.
    pub refused: u64,
}

impl Handed {
    fn add(&mut self, other: Handed) {
        self.taken += other.taken;
        self.refused += other.refused;
    }
}

/// A client's connection.
pub struct Client {
    stream: BufReader<TcpStream>,
    prefix: String,
    next: u64,
}

impl Client {
    /// Connects; the ids of its messages begin with `prefix`.
    ///
    /// # Errors
    /// When nobody listens there.
    pub async fn connect(address: SocketAddr, prefix: impl Into<String>) -> Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Client { stream: BufReader::new(stream), prefix: prefix.into(), next: 0 })
    }

    /// Hands in one message for each destination, all at once, and reads all answers. `time_left` is in milliseconds.
    ///
    /// # Errors
    /// When the connection ends or an answer does not come in time.
    pub async fn put(&mut self, class: &str, time_left: u64, destinations: &[usize]) -> Result<Handed> {
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
        let mut handed = Handed::default();
        for _ in destinations {
            let mut line = String::new();
            timeout(ANSWER_TIME, self.stream.read_line(&mut line)).await.context("no answer in time")??;
            match line.as_str() {
                "+OK\r\n" => handed.taken += 1,
                "" => anyhow::bail!("the daemon ended a client's connection"),
                _ => handed.refused += 1,
            }
        }
        Ok(handed)
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

/// Offers messages for `span` at `rate` a second over several connections, to the destinations `0..destinations` in turn.
///
/// # Errors
/// When a connection ends or an answer does not come in time.
pub async fn offer(
    address: SocketAddr,
    prefix: &str,
    rate: f64,
    span: Duration,
    destinations: usize,
) -> Result<Handed> {
    let mut tasks = tokio::task::JoinSet::new();
    let period = Duration::from_secs_f64(CONNECTIONS as f64 / rate);
    for connection in 0..CONNECTIONS {
        let mut client = Client::connect(address, format!("{prefix}-{connection}")).await?;
        let first = Instant::now() + period.mul_f64(connection as f64 / CONNECTIONS as f64);
        tasks.spawn(async move {
            let (mut handed, mut ticks) = (Handed::default(), tokio::time::interval_at(first, period));
            ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
            let count = (span.as_secs_f64() / period.as_secs_f64()) as usize;
            for n in 0..count {
                ticks.tick().await;
                let destination = (n * CONNECTIONS + connection) % destinations;
                handed.add(client.put("free", 20_000, &[destination]).await?);
            }
            anyhow::Ok(handed)
        });
    }
    let mut handed = Handed::default();
    while let Some(part) = tasks.join_next().await {
        handed.add(part??);
    }
    Ok(handed)
}

/// Makes one call at the operators' door: its status and what it says, or nothing where nobody answers.
pub async fn ask(door: SocketAddr, path: &str) -> Option<(u16, String)> {
    let call = async {
        let mut stream = TcpStream::connect(door).await.ok()?;
        stream.write_all(format!("GET {path} HTTP/1.1\r\nhost: door\r\n\r\n").as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        let status = answer.split(' ').nth(1)?.parse().ok()?;
        Some((status, answer.split_once("\r\n\r\n")?.1.to_string()))
    };
    timeout(ANSWER_TIME, call).await.ok()?
}
