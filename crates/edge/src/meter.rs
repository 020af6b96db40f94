//! Limits the bytes that are read from a connection. A limit on bodies alone does not cover what
//! is no body: interim answers, the sizes of chunks and the trailers after them.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The bytes that may still be read from a connection.
#[derive(Clone, Debug)]
pub struct Meter {
    left: Rc<Cell<u64>>,
    exceeded: Rc<Cell<bool>>,
}

impl Meter {
    /// Allows `bytes` to be read from the connection from now on.
    pub fn allow(&self, bytes: u64) {
        self.left.set(bytes);
    }

    /// Whether the remote side has sent more than was allowed.
    pub fn is_exceeded(&self) -> bool {
        self.exceeded.get()
    }

    /// Counts bytes that were read. Returns whether they were allowed.
    fn take(&self, bytes: usize) -> bool {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let left = self.left.get();
        self.left.set(left.saturating_sub(bytes));
        if bytes > left {
            self.exceeded.set(true);
        }
        bytes <= left
    }
}

/// A connection that fails once more is read from it than its meter allows.
pub struct Metered<S> {
    stream: S,
    meter: Meter,
}

impl<S> Metered<S> {
    /// Meters a connection, of which `bytes` may be read at first.
    pub fn new(stream: S, bytes: u64) -> (Self, Meter) {
        let meter = Meter {
            left: Rc::new(Cell::new(bytes)),
            exceeded: Rc::default(),
        };
        let metered = Self {
            stream,
            meter: meter.clone(),
        };
        (metered, meter)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let is_allowed = self.meter.take(buffer.filled().len() - before);
        Poll::Ready(if is_allowed {
            Ok(())
        } else {
            Err(io::Error::other("more bytes than are read"))
        })
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
