//! A server's connection on which some answers are written a second time.
//! HTTP/1.1 answers carry no number, so the sender has to recognise by other means that the copy answers no request.

use super::World;
use crate::history::Event;
use crate::span::{Micros, duration};
use rand::Rng;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Share of the copies that are written when the connection's next request arrives.
const AT_NEXT_REQUEST_SHARE: f64 = 0.5;

/// When an answer is written a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Repeat {
    /// Some time after the answer, whatever happens on the connection meanwhile.
    After(Duration),
    /// When the next request on the connection arrives, before that request's own answer.
    AtNextRequest,
}

/// The endpoint or control agent that decides which answers are repeated.
pub(super) trait RepeatSource {
    /// Decides whether an answer, given as the bytes on the wire, is written a second time, and when.
    fn draw(&self, answer: &[u8]) -> Option<Repeat>;
}

/// Decides by chance whether an answer is repeated, and when; a delay is uniform up to `longest`.
pub(super) fn draw_repeat(rng: &mut impl Rng, share: f64, longest: Micros) -> Option<Repeat> {
    if rng.random::<f64>() >= share {
        return None;
    }
    if rng.random::<f64>() < AT_NEXT_REQUEST_SHARE {
        return Some(Repeat::AtNextRequest);
    }
    Some(Repeat::After(duration(rng.random_range(0..=longest.max(0)))))
}

/// Writes copies of answers directly to the socket.
struct CopyWriter {
    /// A second handle of the connection's socket, which is in non-blocking mode.
    socket: std::net::TcpStream,
    world: Rc<World>,
    sender: usize,
}

impl CopyWriter {
    /// Writes the copy as a whole. An answer is far smaller than the socket's buffer.
    fn write(&self, answer: &[u8]) {
        if io::Write::write_all(&mut &self.socket, answer).is_ok() {
            self.world.record(Event::AnswerRepeated { sender: self.sender });
        }
    }
}

/// Wraps a server's connection, and writes the answers that `source` selects a second time.
pub(super) struct RepeatingConnection<S> {
    inner: S,
    source: Rc<dyn RepeatSource>,
    /// Dropped with the connection, so that no pending copy keeps the socket open.
    writer: Rc<CopyWriter>,
    /// The bytes written since the last flush.
    answer: Vec<u8>,
    /// The copy to be written when the next request arrives.
    at_next_request: Option<Vec<u8>>,
}

impl<S> RepeatingConnection<S> {
    /// Wraps the server's side of the connection `stream` to the sender with the given index.
    pub(super) fn new(
        stream: TcpStream,
        world: Rc<World>,
        sender: usize,
        source: Rc<dyn RepeatSource>,
        wrap: impl FnOnce(TcpStream) -> S,
    ) -> io::Result<Self> {
        let socket = stream.into_std()?;
        let writer = Rc::new(CopyWriter { socket: socket.try_clone()?, world, sender });
        let inner = wrap(TcpStream::from_std(socket)?);
        Ok(RepeatingConnection { inner, source, writer, answer: Vec::new(), at_next_request: None })
    }

    /// Handles a complete answer, which the server has just flushed.
    fn handle_answer(&mut self) {
        let answer = std::mem::take(&mut self.answer);
        match self.source.draw(&answer) {
            None => {}
            Some(Repeat::AtNextRequest) => self.at_next_request = Some(answer),
            Some(Repeat::After(delay)) => {
                let writer: Weak<CopyWriter> = Rc::downgrade(&self.writer);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(delay).await;
                    if let Some(writer) = writer.upgrade() {
                        writer.write(&answer);
                    }
                });
            }
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for RepeatingConnection<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = std::task::ready!(Pin::new(&mut self.inner).poll_read(cx, buf));
        if buf.filled().len() > before
            && let Some(copy) = self.at_next_request.take()
        {
            self.writer.write(&copy);
        }
        Poll::Ready(read)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RepeatingConnection<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = std::task::ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.answer.extend_from_slice(&buf[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(Pin::new(&mut self.inner).poll_flush(cx))?;
        if !self.answer.is_empty() {
            self.handle_answer();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
