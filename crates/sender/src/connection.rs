//! An HTTP/1.1 client connection to an endpoint, discovery, the platform or a control agent.
//! The connection records the traffic on its socket.

use bytes::{Bytes, BytesMut};
use embershore_protocol::call::parse_status;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
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

    fn begin_request(&self) {
        self.awaiting_response.set(true);
        self.response_began.set(None);
        self.status.set(None);
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
struct Socket<S = TcpStream> {
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

type Driver = http1::Connection<TokioIo<Socket>, Full<Bytes>>;

/// An HTTP/1.1 connection that no background task drives, so that dropping it closes the socket immediately.
/// An abandoned call is therefore never still in flight when the message's next call begins.
pub struct Connection {
    requests: http1::SendRequest<Full<Bytes>>,
    driver: Option<Driver>,
    pub traffic: Rc<Traffic>,
    addr: SocketAddr,
    /// When the last exchange of a request and its response on this connection ended.
    pub idle_since: Instant,
}

impl Connection {
    /// Connects to the peer at `addr`.
    pub async fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        let traffic = Rc::new(Traffic::default());
        let socket = TokioIo::new(Socket::new(stream, traffic.clone()));
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(socket);
        let (requests, driver) = handshake.await.map_err(io::Error::other)?;
        Ok(Connection { requests, driver: Some(driver), traffic, addr, idle_since: Instant::now() })
    }

    /// Returns the peer's address as given to [`Connection::open`].
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Drives the connection until `work` completes.
    pub async fn drive<F: Future>(&mut self, work: F) -> F::Output {
        let mut work = pin!(work);
        std::future::poll_fn(|cx| {
            if let Some(driver) = &mut self.driver
                && Pin::new(driver).poll(cx).is_ready()
            {
                self.driver = None;
            }
            work.as_mut().poll(cx)
        })
        .await
    }

    /// Sends a request and waits for the response's head.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> hyper::Result<Response<Incoming>> {
        self.traffic.begin_request();
        let answer = self.requests.send_request(request);
        let mut driver = self.driver.take();
        let mut answer = pin!(answer);
        let result = std::future::poll_fn(|cx| {
            // The request is polled twice. The connection's driver writes the request that the first poll passed to it.
            // The response may be complete once the connection's driver has been polled.
            if let Poll::Ready(r) = answer.as_mut().poll(cx) {
                return Poll::Ready(r);
            }
            if let Some(d) = &mut driver
                && Pin::new(d).poll(cx).is_ready()
            {
                driver = None;
            }
            answer.as_mut().poll(cx)
        })
        .await;
        self.driver = driver;
        result
    }

    /// Returns the connection if another request can be sent on it, and None if the peer has closed it.
    pub fn if_usable(mut self) -> Option<Self> {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        if let Some(driver) = &mut self.driver
            && Pin::new(driver).poll(&mut cx).is_ready()
        {
            self.driver = None;
        }
        (self.driver.is_some() && self.requests.is_ready()).then_some(self)
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
