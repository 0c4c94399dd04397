//! A connection whose writes may not stand still: who reads too slowly is cut off.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant, Sleep};

/// A TCP stream that fails once the kernel has taken nothing of what is to be written for a while.
pub struct Guarded {
    stream: TcpStream,
    stall: Duration,
    /// When it fails; counts while `stalled`.
    timer: Pin<Box<Sleep>>,
    stalled: bool,
}

impl Guarded {
    /// Guards a connected stream.
    pub fn new(stream: TcpStream, stall: Duration) -> Self {
        Self { stream, stall, timer: Box::pin(sleep(stall)), stalled: false }
    }

    fn guard<T>(&mut self, cx: &mut Context<'_>, took: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if took.is_ready() {
            self.stalled = false;
            return took;
        }
        if !self.stalled {
            self.stalled = true;
            self.timer.as_mut().reset(Instant::now() + self.stall);
        }
        self.timer.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let took = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.guard(cx, took)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let took = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.guard(cx, took)
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
