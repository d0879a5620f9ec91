//! Stand-ins for receivers: one that accepts every call, and one that refuses connections.

use super::http::request_line;
use anyhow::Result;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;

/// A receiver that answers every call with 200, until it is dropped.
pub struct Receiver {
    /// Address on which the receiver listens.
    pub address: SocketAddr,
    serving: JoinHandle<()>,
}

impl Receiver {
    /// Starts a receiver on a free loopback port.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn start() -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let serving = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // The daemon's limit on sockets bounds the number of connection tasks.
                tokio::spawn(serve(stream));
            }
        });
        Ok(Receiver { address, serving })
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

async fn serve(stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    while request_line(&mut stream).await?.is_some() {
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await?;
        stream.flush().await?;
    }
    Ok(())
}

/// An address that refuses connections: it is bound, so that no other process gets it, but nothing listens on it.
pub struct RefusingAddress {
    /// The address that refuses connections.
    pub address: SocketAddr,
    _socket: TcpSocket,
}

impl RefusingAddress {
    /// Reserves an address on loopback.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub fn new() -> Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(([127, 0, 0, 1], 0).into())?;
        Ok(RefusingAddress { address: socket.local_addr()?, _socket: socket })
    }
}
