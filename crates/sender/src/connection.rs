//! An HTTP/1.1 client connection to an endpoint, discovery, the platform or a control agent.
//! The connection records the traffic on its socket.

use crate::uninterrupted::Uninterrupted;
use bytes::{Bytes, BytesMut};
use embershore_protocol::call::parse_status;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::error::Error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Size limit of a response's head, and of the read buffer.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum time from a response's first byte to the response's last byte.
/// A malformed response may never end, and its call would hold a slot until the call's timeout.
const COMPLETION_TIMEOUT: Duration = Duration::from_millis(400);

/// The traffic on a socket, as far as a call's outcome depends on it and hyper does not report it.
#[derive(Default)]
pub struct Traffic {
    pub written: Cell<u64>,
    /// The value of `written` at the last flush, when a request had been written completely.
    pub flushed: Cell<u64>,
    /// Function to call once the next request has been written.
    on_written: Cell<Option<Box<dyn FnOnce()>>>,
    /// Whether a request is in flight and its response's status line has not been read.
    awaiting_response: Cell<bool>,
    /// When the first byte of the current response, possibly an unfinished 1xx response, was read.
    pub response_began: Cell<Option<Instant>>,
    /// The status in the response's status line.
    pub status: Cell<Option<u16>>,
    /// Whether the peer has closed or reset the connection.
    pub closed_by_peer: Cell<bool>,
}

impl Traffic {
    /// Calls `on_written` once the last byte of the next request has been written.
    pub fn on_request_written(&self, on_written: impl FnOnce() + 'static) {
        self.on_written.set(Some(Box::new(on_written)));
    }

    /// Waits until a response that has begun exceeds [`COMPLETION_TIMEOUT`]. To be polled while the response is read.
    pub async fn response_overdue(&self) {
        loop {
            let began =
                std::future::poll_fn(|_| self.response_began.get().map_or(Poll::Pending, Poll::Ready)).await;
            tokio::time::sleep_until((began + COMPLETION_TIMEOUT).into()).await;
            if self.response_began.get() == Some(began) {
                return;
            }
        }
    }
}

/// A socket that records when a request's last byte has been written, and the status in the response's status line.
/// The status decides a call's outcome even if the rest of the response can't be read.
/// The flush shows that the request's last byte has been written: hyper flushes once its buffer is empty.
/// A request's head and body enter hyper's buffer together.
/// The socket drops 1xx responses, since hyper would treat a 101 as the end of HTTP on the connection.
struct Socket<S = Uninterrupted<TcpStream>> {
    stream: S,
    traffic: Rc<Traffic>,
    /// Bytes read from the socket and not given to hyper yet: an incomplete status line or an incomplete 1xx response.
    unread: BytesMut,
}

impl<S> Socket<S> {
    fn new(stream: S, traffic: Rc<Traffic>) -> Self {
        Socket { stream, traffic, unread: BytesMut::new() }
    }

    /// Scans the bytes that hyper has not been given yet, and drops complete 1xx responses.
    /// The scan stops waiting for a response once the status line is known or the head is too long.
    fn scan_head(&mut self) {
        let traffic = &self.traffic;
        while let Some(end) = self.unread.iter().position(|b| *b == b'\n') {
            let status = parse_status(&self.unread[..=end]);
            if !status.is_some_and(|s| (100..200).contains(&s)) {
                traffic.status.set(status);
                traffic.awaiting_response.set(false);
                break;
            }
            let Some(blank) = self.unread.windows(4).position(|w| w == b"\r\n\r\n") else { break };
            _ = self.unread.split_to(blank + 4);
        }
        if self.unread.len() > MAX_HEAD_BYTES {
            traffic.awaiting_response.set(false);
        }
        let began =
            (!self.unread.is_empty()).then(|| traffic.response_began.get().unwrap_or_else(Instant::now));
        traffic.response_began.set(began);
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Socket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while this.traffic.awaiting_response.get() {
            let mut chunk = [0; 1024];
            let mut chunk = ReadBuf::new(&mut chunk);
            std::task::ready!(Pin::new(&mut this.stream).poll_read(cx, &mut chunk))?;
            if chunk.filled().is_empty() {
                this.traffic.closed_by_peer.set(true);
                break;
            }
            this.unread.extend_from_slice(chunk.filled());
            this.scan_head();
        }
        if !this.unread.is_empty() {
            let n = this.unread.len().min(buf.remaining());
            buf.put_slice(&this.unread.split_to(n));
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let read = std::task::ready!(Pin::new(&mut this.stream).poll_read(cx, buf));
        if read.is_err() || buf.filled().len() == before {
            this.traffic.closed_by_peer.set(true);
        }
        Poll::Ready(read)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Socket<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let n = std::task::ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.traffic.written.set(self.traffic.written.get() + n as u64);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let (written, before) = (self.traffic.written.get(), self.traffic.flushed.get());
        if written > before {
            self.traffic.flushed.set(written);
            if let Some(on_written) = self.traffic.on_written.take() {
                on_written();
            }
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// The half of an HTTP connection that reads and writes its socket whenever the driver is polled.
struct Driver {
    connection: http1::Connection<TokioIo<Socket>, Full<Bytes>>,
    /// Whether the connection has ended, after which it must not be polled again.
    ended: bool,
}

impl Driver {
    fn poll(&mut self, cx: &mut Context<'_>) {
        self.ended = self.ended || Pin::new(&mut self.connection).poll(cx).is_ready();
    }

    /// Drives the connection until `work` completes.
    async fn drive<F: Future>(&mut self, work: F) -> F::Output {
        let mut work = pin!(work);
        std::future::poll_fn(|cx| {
            self.poll(cx);
            work.as_mut().poll(cx)
        })
        .await
    }

    /// Returns whether bytes were read that belong to no answer.
    fn has_unread_bytes(self) -> bool {
        let parts = self.connection.into_parts();
        !parts.read_buf.is_empty() || !parts.io.into_inner().unread.is_empty()
    }
}

/// Connects to `addr`, again where a signal has interrupted the attempt.
async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    loop {
        match TcpStream::connect(addr).await {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// A new HTTP/1.1 connection, which carries one request.
///
/// HTTP/1.1 does not number its answers: an answer belongs to a request only because it is the next one on the
/// connection. A peer or a proxy that writes an answer twice shifts all later answers by one. The first answer on a
/// connection is therefore the only one that certainly belongs to its request, and no connection is used again.
///
/// No background task drives the connection, so that dropping it closes the socket immediately.
/// An abandoned call is therefore never still in flight when the message's next call begins.
pub struct Connection {
    requests: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
    pub traffic: Rc<Traffic>,
    addr: SocketAddr,
}

impl Connection {
    /// Connects to the peer at `addr`.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = connect(addr).await?;
        stream.set_nodelay(true)?;
        let traffic = Rc::new(Traffic::default());
        let socket = TokioIo::new(Socket::new(Uninterrupted(stream), traffic.clone()));
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(socket);
        let (requests, connection) = handshake.await.map_err(io::Error::other)?;
        Ok(Connection { requests, driver: Driver { connection, ended: false }, traffic, addr })
    }

    /// Returns the peer's address as given to [`Connection::open`].
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the connection if the peer has neither closed it nor written anything on it.
    pub fn if_usable(mut self) -> Option<Self> {
        self.driver.poll(&mut Context::from_waker(std::task::Waker::noop()));
        (!self.driver.ended && self.requests.is_ready()).then_some(self)
    }

    /// Sends the connection's only request and waits for the answer's head.
    pub async fn send(self, request: Request<Full<Bytes>>) -> hyper::Result<Answer> {
        let Connection { mut requests, mut driver, traffic, .. } = self;
        traffic.awaiting_response.set(true);
        let response = requests.send_request(request);
        let mut response = pin!(response);
        let response = std::future::poll_fn(|cx| {
            // The request is polled twice. The connection's driver writes the request that the first poll passed to it.
            // The response may be complete once the connection's driver has been polled.
            if let Poll::Ready(r) = response.as_mut().poll(cx) {
                return Poll::Ready(r);
            }
            driver.poll(cx);
            response.as_mut().poll(cx)
        })
        .await?;
        let (head, body) = response.into_parts();
        let status = head.status.as_u16();
        Ok(Answer { status, headers: head.headers, body, driver, _requests: requests })
    }
}

/// The answer to a connection's only request. Dropping it closes the connection.
pub struct Answer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Headers of the answer.
    pub headers: HeaderMap,
    body: Incoming,
    driver: Driver,
    /// Kept so that the driver goes on reading: without it the driver would close the connection.
    _requests: http1::SendRequest<Full<Bytes>>,
}

impl Answer {
    /// Reads the next chunk of the body, of any length; None at the end of the body.
    pub async fn read_chunk(&mut self) -> Option<hyper::Result<Bytes>> {
        let frame = self.driver.drive(self.body.frame()).await?;
        Some(frame.map(|frame| frame.into_data().unwrap_or_default()))
    }

    /// Reads the body to its end.
    ///
    /// # Errors
    /// The connection breaks, the body is malformed, or it has more than `max_bytes` bytes.
    pub async fn read_body(&mut self, max_bytes: usize) -> Result<Bytes, Box<dyn Error + Send + Sync>> {
        let body = Limited::new(&mut self.body, max_bytes);
        Ok(self.driver.drive(body.collect()).await?.to_bytes())
    }

    /// Closes the connection after the body has been read to its end.
    /// Returns whether the peer had written more by then, which belongs to no request.
    pub fn close(self) -> bool {
        self.driver.has_unread_bytes()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, DuplexStream};

    /// Sends a request with a long body through a pipe of 64 bytes, from which `read` reads. Returns the traffic.
    async fn written(read: impl AsyncFnOnce(&mut DuplexStream)) -> Rc<Traffic> {
        let (near, mut far) = tokio::io::duplex(64);
        let traffic = Rc::new(Traffic::default());
        let socket = Socket::new(near, traffic.clone());
        let (mut requests, driver) = http1::handshake(TokioIo::new(socket)).await.unwrap();
        let request = Request::post("/v1/messages").body(Full::new(Bytes::from(vec![7; 10_000]))).unwrap();
        let reading = async {
            read(&mut far).await;
            drop(far);
        };
        let (answer, _, ()) = tokio::join!(requests.send_request(request), driver, reading);
        assert!(answer.is_err());
        traffic
    }

    #[tokio::test]
    async fn a_call_counts_as_written_only_with_its_last_byte() {
        let partial = written(async |far| _ = far.read_exact(&mut [0; 5_000]).await.unwrap()).await;
        assert!(partial.written.get() >= 5_000);
        assert_eq!(partial.flushed.get(), 0);
        let complete = written(async |far| {
            let mut seen = Vec::new();
            while !seen.ends_with(&[7; 10_000]) {
                far.read_buf(&mut seen).await.unwrap();
            }
            // The peer reads the last byte before the writing side is notified of the write.
            tokio::task::yield_now().await;
        });
        let complete = complete.await;
        assert!(complete.flushed.get() > 10_000);
        assert_eq!(complete.flushed.get(), complete.written.get());
    }
}
