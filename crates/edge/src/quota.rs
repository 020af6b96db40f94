//! Limits the bytes that are read from a connection between hosts in a span of time. A limit on
//! messages alone does not cover frames that belong to no message.

use crate::{
    socket::SocketPlace,
    traffic::{Counted, Tally},
};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Instant,
};
use tonic::transport::server::Connected;

/// How much may be read.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// Bytes that may be read at once.
    pub burst: u64,
    /// Bytes that may be read for each second after that.
    pub per_second: u64,
}

/// What is left of a quota.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    quota: Quota,
    left: u64,
    refilled_at: Duration,
}

impl Bucket {
    /// Creates a bucket that is full. Times are counted from then on.
    #[must_use]
    pub const fn new(quota: Quota) -> Self {
        Self {
            quota,
            left: quota.burst,
            refilled_at: Duration::ZERO,
        }
    }

    /// Takes bytes at a time. Returns whether so many were left.
    pub fn take(&mut self, now: Duration, bytes: u64) -> bool {
        let since = now.saturating_sub(self.refilled_at);
        let micros = u64::try_from(since.as_micros()).unwrap_or(u64::MAX);
        let refill = self.quota.per_second.saturating_mul(micros) / 1_000_000;
        if refill > 0 {
            self.left = self.left.saturating_add(refill).min(self.quota.burst);
            self.refilled_at = now;
        }
        let is_enough = bytes <= self.left;
        self.left = self.left.saturating_sub(bytes);
        is_enough
    }
}

/// A connection that fails once more is read from it than its quota allows.
pub struct Limited {
    stream: Counted<TcpStream>,
    bucket: Bucket,
    opened_at: Instant,
    /// Given back when the connection is closed.
    place: Option<SocketPlace>,
}

impl Limited {
    /// Limits a connection, whose bytes are counted.
    pub fn new(stream: TcpStream, quota: Quota, tally: Tally) -> Self {
        Self {
            stream: Counted::new(stream, tally),
            bucket: Bucket::new(quota),
            opened_at: Instant::now(),
            place: None,
        }
    }

    /// Has the connection take a place for as long as it is open.
    #[must_use]
    pub fn with_place(mut self, place: Option<SocketPlace>) -> Self {
        self.place = place;
        self
    }
}

impl Connected for Limited {
    type ConnectInfo = ();

    fn connect_info(&self) -> Self::ConnectInfo {}
}

impl AsyncRead for Limited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = u64::try_from(buffer.filled().len() - before).unwrap_or(u64::MAX);
        let now = self.opened_at.elapsed();
        Poll::Ready(if self.bucket.take(now, bytes) {
            Ok(())
        } else {
            Err(io::Error::other("more bytes than are read"))
        })
    }
}

impl AsyncWrite for Limited {
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
