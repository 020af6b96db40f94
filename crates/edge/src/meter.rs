//! Limits the bytes that are read from a connection. A limit on bodies alone does not cover what
//! is no body: interim answers, the sizes of chunks and the trailers after them.

use crate::{holdings::Seat, traffic::Tally};
use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::Instant,
};

/// How far a connection has been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReadState {
    /// More may arrive.
    #[default]
    Open,
    /// The remote side has closed the connection.
    Closed,
    /// Reading has failed, for example as the connection was reset.
    Failed(io::ErrorKind),
}

impl ReadState {
    /// Name in log lines.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Closed => "closed",
            Self::Failed(io::ErrorKind::ConnectionReset) => "reset",
            Self::Failed(_) => "failed",
        }
    }
}

/// The bytes that may still be read from a connection.
#[derive(Clone, Debug)]
pub struct Meter {
    left: Rc<Cell<u64>>,
    exceeded: Rc<Cell<bool>>,
    /// What the last read has shown.
    read_state: Rc<Cell<ReadState>>,
    /// Time of the first write since [`Meter::expect_write`].
    written_at: Rc<Cell<Option<Instant>>>,
    /// Where the bytes are counted; `None` if nowhere.
    tally: Rc<RefCell<Option<Tally>>>,
}

impl Meter {
    /// Allows `bytes` to be read from the connection from now on.
    pub fn allow(&self, bytes: u64) {
        self.left.set(bytes);
    }

    /// Counts what is read and written from now on.
    pub fn count_in(&self, tally: &Tally) {
        *self.tally.borrow_mut() = Some(tally.clone());
    }

    /// Whether the remote side has sent more than was allowed.
    pub fn is_exceeded(&self) -> bool {
        self.exceeded.get()
    }

    /// Begins to wait for the first byte that is written next.
    pub fn expect_write(&self) {
        self.written_at.set(None);
    }

    /// Time at which the first byte was written since [`Meter::expect_write`]; `None` if none was.
    pub fn written_at(&self) -> Option<Instant> {
        self.written_at.get()
    }

    fn record_written(&self, bytes: usize) {
        if let Some(tally) = &*self.tally.borrow() {
            tally.record_sent(bytes);
        }
        if self.written_at.get().is_none() {
            self.written_at.set(Some(Instant::now()));
        }
    }

    /// How far the connection has been read.
    pub fn read_state(&self) -> ReadState {
        self.read_state.get()
    }

    /// Counts bytes that were read. Returns whether they were allowed.
    fn take(&self, bytes: usize) -> bool {
        if let Some(tally) = &*self.tally.borrow() {
            tally.record_received(bytes);
        }
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
    /// Told when the remote side reads nothing.
    seat: Option<Rc<Seat>>,
    is_blocked: bool,
    /// Whether a write has blocked since everything was written.
    is_unread: bool,
}

impl<S> Metered<S> {
    /// Meters a connection, of which `bytes` may be read at first.
    pub fn new(stream: S, bytes: u64) -> (Self, Meter) {
        let meter = Meter {
            left: Rc::new(Cell::new(bytes)),
            exceeded: Rc::default(),
            read_state: Rc::default(),
            written_at: Rc::default(),
            tally: Rc::default(),
        };
        let metered = Self {
            stream,
            meter: meter.clone(),
            seat: None,
            is_blocked: false,
            is_unread: false,
        };
        (metered, meter)
    }

    /// Tells the account of a connection when its remote side reads nothing.
    pub fn watched_by(mut self, seat: Rc<Seat>) -> Self {
        self.seat = Some(seat);
        self
    }

    /// The connection.
    pub fn into_inner(self) -> S {
        self.stream
    }

    fn record_write(&mut self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.meter.record_written(*bytes);
        }
        let is_blocked = written.is_pending();
        if is_blocked != self.is_blocked
            && let Some(seat) = &self.seat
        {
            seat.set_blocked(is_blocked);
        }
        if let (Poll::Ready(Ok(bytes)), Some(seat)) = (written, &self.seat) {
            seat.record_written(*bytes);
        }
        self.is_blocked = is_blocked;
        self.is_unread |= is_blocked;
    }

    /// All that was to be written is written.
    fn record_flush(&mut self) {
        if self.is_unread
            && let Some(seat) = &self.seat
        {
            seat.set_flushed();
        }
        self.is_unread = false;
        self.is_blocked = false;
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        let read = ready!(Pin::new(&mut self.stream).poll_read(context, buffer));
        let length = buffer.filled().len() - before;
        match &read {
            Err(error) => self.meter.read_state.set(ReadState::Failed(error.kind())),
            Ok(()) if length == 0 && has_room => self.meter.read_state.set(ReadState::Closed),
            Ok(()) => {}
        }
        read?;
        let is_allowed = self.meter.take(length);
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
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes a connection once it has written all that it has for it.
        self.record_flush();
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
