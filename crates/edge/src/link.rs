//! An open HTTP connection to an upstream or the key-value service.

use crate::{
    bounds,
    meter::{Meter, Metered},
    socket::{self, SocketPlace},
};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::{
    future,
    io::{self, ErrorKind, IoSlice, Read},
    net::Shutdown,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, Waker, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// An open connection. It has no task of its own: whoever waits for something of it drives it, so
/// that a request is written in the turn of the thread in which it is sent, and an answer is read in
/// the turn in which it is waited for. Dropping it closes the connection.
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    /// Writes and reads; `None` once the connection has ended.
    driver: Option<Driver>,
    stream: SharedStream,
    /// Counts what is read, and notes when the first byte of a request is written.
    pub meter: Meter,
    _place: Option<SocketPlace>,
}

/// The head of an answer with its body, or how the call failed.
type Answered = Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>>;

/// A connection could not be made of a socket.
pub struct NotOpen;

type Driver = http1::Connection<TokioIo<Metered<SharedStream>>, Full<Bytes>>;

impl Link {
    /// Makes an HTTP connection of a socket.
    ///
    /// # Errors
    ///
    /// The socket cannot be used.
    pub async fn open(stream: TcpStream, place: Option<SocketPlace>) -> Result<Self, NotOpen> {
        socket::set_options(&stream).map_err(|_| NotOpen)?;
        let stream = SharedStream(Rc::new(stream));
        let (metered, meter) = Metered::new(stream.clone(), bounds::HEAD_ALLOWANCE);
        let handshake = http1::Builder::new()
            .max_buf_size(bounds::MAX_HEAD_BYTES)
            .handshake(TokioIo::new(metered));
        let (sender, driver) = handshake.await.map_err(|_| NotOpen)?;
        Ok(Self {
            sender,
            driver: Some(driver),
            stream,
            meter,
            _place: place,
        })
    }

    /// Waits until a request can be sent. A connection that was kept can take one at once.
    ///
    /// # Errors
    ///
    /// The connection has ended.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        future::poll_fn(|context| {
            let polled = self.sender.poll_ready(context);
            if polled.is_ready() {
                return polled;
            }
            self.drive(context);
            self.sender.poll_ready(context)
        })
        .await
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// How that failed; with the request if no byte of it was written.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Answered {
        let answered = self.sender.try_send_request(request);
        self.drive_until(answered).await
    }

    /// Whether the connection can take a request now, as it must to be kept.
    pub fn is_idle(&mut self) -> bool {
        // Lets hyper notice that the last answer was read.
        self.drive(&mut Context::from_waker(Waker::noop()));
        self.sender.is_ready()
    }

    /// Writes and reads what can be at the moment.
    pub fn drive(&mut self, context: &mut Context<'_>) {
        if let Some(driver) = &mut self.driver
            && Pin::new(driver).poll(context).is_ready()
        {
            // The call that uses the connection gets its errors.
            self.driver = None;
        }
    }

    /// Drives the connection until a future is ready that waits for it.
    pub async fn drive_until<F: Future>(&mut self, awaited: F) -> F::Output {
        let mut awaited = pin!(awaited);
        future::poll_fn(|context| {
            if let Poll::Ready(output) = awaited.as_mut().poll(context) {
                return Poll::Ready(output);
            }
            self.drive(context);
            awaited.as_mut().poll(context)
        })
        .await
    }

    /// Whether an idle connection can take a request.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.stream.is_quiet()
    }
}

/// A socket that is looked at beside hyper, which reads and writes it.
#[derive(Clone, Debug)]
struct SharedStream(Rc<TcpStream>);

impl SharedStream {
    /// Whether nothing has arrived that was not read, neither bytes nor the end of the connection. Asks
    /// the kernel: what the runtime knows may be as old as its last look. What has arrived is lost.
    fn is_quiet(&self) -> bool {
        let socket = SockRef::from(&*self.0);
        let read = (&*socket).read(&mut [0]);
        read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    fn poll_try_write(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match write(&self.0) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read(buffer.initialize_unfilled()) {
                Ok(length) => {
                    buffer.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A socket has no buffer of its own.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
