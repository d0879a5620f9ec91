//! A stream whose reads and writes are tried again at once where a signal has interrupted them.
//! An interrupted system call has done nothing; the runtime reports it as an error, which would end the connection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Wraps a stream and retries its interrupted reads and writes.
#[derive(Debug)]
pub struct Uninterrupted<S>(pub S);

impl<S> Uninterrupted<S> {
    /// Polls `operation` until it is not interrupted.
    fn retry<T>(&mut self, mut operation: impl FnMut(&mut S) -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        loop {
            match operation(&mut self.0) {
                Poll::Ready(Err(e)) if e.kind() == io::ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Uninterrupted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.retry(|stream| Pin::new(stream).poll_read(cx, buf))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Uninterrupted<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.retry(|stream| Pin::new(stream).poll_write(cx, buf))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.retry(|stream| Pin::new(stream).poll_flush(cx))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.retry(|stream| Pin::new(stream).poll_shutdown(cx))
    }
}
