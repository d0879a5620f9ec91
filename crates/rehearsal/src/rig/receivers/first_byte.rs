//! A connection that records when the first byte of a request arrived.

use crate::rig::World;
use crate::span::Micros;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Wraps an endpoint's connection, and records when the first byte of each request arrived.
pub(super) struct FirstByteRecorder {
    pub(super) stream: TcpStream,
    pub(super) world: Rc<World>,
    pub(super) first_byte: Rc<Cell<Option<Micros>>>,
}

impl AsyncRead for FirstByteRecorder {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        if buf.filled().len() > before && self.first_byte.get().is_none() {
            self.first_byte.set(Some(self.world.now()));
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for FirstByteRecorder {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
