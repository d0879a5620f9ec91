//! Many client connections to a sender that stay open and send nothing, half a command, or one PING.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Maximum number of open connections of one crowd, which use descriptors of the rehearsal's own process.
const MAX_OPEN_CONNECTIONS: usize = 300;
const PARTIAL_COMMAND: &[u8] = b"*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000";
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// Opens the connections at even intervals over the duration.
/// A third of the connections send nothing, a third half a command, and a third one PING.
/// Each connection stays open until the sender closes it or the duration is over.
pub async fn run(addr: SocketAddr, connections: usize, duration: Duration) {
    let until = tokio::time::Instant::now() + duration;
    let gap = duration / u32::try_from(connections).unwrap_or(u32::MAX).max(1);
    let mut all = JoinSet::new();
    for n in 0..connections {
        while all.len() >= MAX_OPEN_CONNECTIONS {
            all.join_next().await;
        }
        all.spawn_local(tokio::time::timeout_at(until, connect(addr, n)));
        tokio::time::sleep(gap).await;
    }
    while all.join_next().await.is_some() {}
}

async fn connect(addr: SocketAddr, n: usize) {
    // The sender may reject the crowd's connection or be down; the scenario allows both.
    let Ok(mut stream) = TcpStream::connect(addr).await else { return };
    let written = match n % 3 {
        0 => Ok(()),
        1 => stream.write_all(PARTIAL_COMMAND).await,
        _ => stream.write_all(PING).await,
    };
    let mut answer = [0; 256];
    while written.is_ok() && matches!(stream.read(&mut answer).await, Ok(1..)) {}
}
