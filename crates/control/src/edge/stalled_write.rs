//! A connection with a timeout for stalled writes, which disconnects callers that read too slowly.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant, Sleep};

/// A TCP stream that fails once the kernel has accepted no written data for the stall timeout.
pub struct StallTimeout {
    stream: TcpStream,
    stall_timeout: Duration,
    /// When the stream fails; valid while `stalled`.
    timer: Pin<Box<Sleep>>,
    stalled: bool,
}

impl StallTimeout {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream, stall_timeout: Duration) -> Self {
        Self { stream, stall_timeout, timer: Box::pin(sleep(stall_timeout)), stalled: false }
    }

    /// Passes a write's result on, or fails once writes have stalled for too long.
    fn check_stall<T>(&mut self, cx: &mut Context<'_>, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stalled = false;
            return written;
        }
        if !self.stalled {
            self.stalled = true;
            self.timer.as_mut().reset(Instant::now() + self.stall_timeout);
        }
        self.timer.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for StallTimeout {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for StallTimeout {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.check_stall(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.check_stall(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
