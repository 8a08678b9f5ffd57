//! State of a connection between its socket and hyper: which bytes hyper gets, what was read ahead, and
//! which requests have begun before hyper reads them.
//!
//! hyper gets the bytes of one request at a time, so that what is behind it is known here.

use super::{
    ahead::{BegunRequest, ReadAt, SentAhead},
    head::{self, HeadScanner, Parsed},
};
use http::{HeaderValue, Method, Request, Response, header};
use hyper::body::{Body, Incoming};
use std::{
    collections::VecDeque,
    task::{Context, Waker},
    time::Instant,
};

/// Most bytes that are read ahead.
pub const MAX_READ_AHEAD_BYTES: usize = 8 * 1024;

/// What a connection holds for requests that were sent ahead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldAhead {
    /// Size of the buffer, in bytes.
    pub buffered: usize,
    /// Requests that have begun and whose turn has not come.
    pub requests: usize,
    /// Capacity of their header maps, in entries.
    pub headers: usize,
}

/// What hyper is about to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// A head whose end is not known.
    Head(HeadScanner),
    /// This many bytes of a head.
    KnownHead(usize),
    /// Nothing: it has a whole head and will call the service.
    Call,
    /// A body of which this many bytes are left.
    Body { left: u64, is_answered: bool },
    /// Nothing until the request has been answered.
    Busy,
    /// Everything, as it arrives. The connection never leaves this position.
    Any,
}

/// How hyper's call of the service is to be served.
#[derive(Debug)]
pub enum Call<R> {
    /// By the service.
    Arrived,
    /// By a request that has begun.
    Begun(BegunRequest<R>),
    /// Not at all: hyper read another request than the one that has begun.
    Mismatch,
}

/// A request that has begun.
#[derive(Debug)]
struct Begun<R> {
    head: Box<Request<()>>,
    /// Length of its head in the buffer, in bytes.
    length: usize,
    running: BegunRequest<R>,
}

/// The state of a connection. `R` is the response of its service.
#[derive(Debug)]
pub struct Pipeline<R> {
    position: Position,
    /// Bytes that were read and that hyper has not got, from the start of a head on.
    buf: Vec<u8>,
    /// Requests at the start of the buffer that have begun.
    begun: VecDeque<Begun<R>>,
    /// The request behind them, if it may begin.
    next: Option<(Box<Request<()>>, usize)>,
    /// Whether the request that hyper has read allows none beside it.
    is_exclusive: bool,
    /// Whether the request behind those that have begun must not begin before its turn.
    has_barrier: bool,
    /// Whether a response that closes the connection has been returned.
    is_closing: bool,
    /// The begun request whose head hyper is reading.
    handed: Option<Begun<R>>,
    /// When the head that hyper is reading was complete, if it was read ahead.
    handed_at: Option<ReadAt>,
    /// Wakes hyper's task.
    waker: Option<Waker>,
}

impl<R> Pipeline<R> {
    /// A connection on which nothing has arrived. If `is_framed` is false, hyper gets all bytes as they
    /// arrive.
    pub fn new(is_framed: bool) -> Self {
        let position = if is_framed {
            Position::Head(HeadScanner::default())
        } else {
            Position::Any
        };
        Self {
            position,
            buf: Vec::new(),
            begun: VecDeque::new(),
            next: None,
            is_exclusive: false,
            has_barrier: false,
            is_closing: false,
            handed: None,
            handed_at: None,
            waker: None,
        }
    }

    /// Whether hyper gets no bytes at present.
    pub fn is_busy(&self) -> bool {
        self.position == Position::Busy
    }

    /// Whether a request, or a part of one, has not been answered, as far as it is known here.
    pub fn has_unanswered(&self) -> bool {
        let is_serving = !matches!(self.position, Position::Head(_) | Position::Any);
        is_serving || !self.buf.is_empty()
    }

    /// What the connection holds for requests that were sent ahead.
    pub fn held(&self) -> HeldAhead {
        let begun = self.begun.iter().map(|begun| &begun.head);
        let next = self.next.iter().map(|(head, _)| head);
        let headers = begun.chain(next).map(|head| head.headers());
        HeldAhead {
            buffered: self.buf.capacity(),
            requests: self.begun.len(),
            headers: headers.map(|headers| headers.capacity()).sum(),
        }
    }

    /// Most bytes to read from the socket for hyper; `None` if they are not bounded.
    pub fn most_for_hyper(&self) -> Option<usize> {
        match self.position {
            Position::Any | Position::Call => None,
            Position::Body { left, .. } => usize::try_from(left).ok(),
            _ => Some(MAX_READ_AHEAD_BYTES),
        }
    }

    /// Number of bytes that may still be read ahead.
    pub fn room(&self) -> usize {
        MAX_READ_AHEAD_BYTES.saturating_sub(self.buf.len())
    }

    /// Adds bytes that were read ahead.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Remembers whom to wake once hyper may read on.
    pub fn wait(&mut self, cx: &Context<'_>) {
        match &mut self.waker {
            Some(waker) => waker.clone_from(cx.waker()),
            waker => *waker = Some(cx.waker().clone()),
        }
    }

    /// Moves bytes that were read ahead to `out`, as far as hyper gets them now and they fit.
    pub fn take(&mut self, most: usize, out: impl FnOnce(&[u8])) -> usize {
        let available = self.buf.len().min(most);
        if available == 0 {
            return 0;
        }
        let buf = std::mem::take(&mut self.buf);
        let passed = self.pass(&buf[..available]);
        out(&buf[..passed]);
        if passed < buf.len() {
            self.buf = buf;
            self.buf.drain(..passed);
        }
        passed
    }

    /// Number of bytes at the start of `bytes` that hyper gets now. Behind the end of a request it gets
    /// none.
    pub fn pass(&mut self, bytes: &[u8]) -> usize {
        match &mut self.position {
            Position::Head(scanner) => match scanner.find_end(bytes) {
                Some(length) => {
                    self.position = Position::Call;
                    length
                }
                None => bytes.len(),
            },
            Position::KnownHead(left) => {
                let passed = bytes.len().min(*left);
                *left -= passed;
                if *left == 0 {
                    self.position = Position::Call;
                }
                passed
            }
            Position::Body { left, is_answered } => {
                let passed = bytes
                    .len()
                    .min(usize::try_from(*left).unwrap_or(usize::MAX));
                *left -= passed as u64;
                if *left == 0 {
                    let is_answered = *is_answered;
                    self.position = Position::Busy;
                    if is_answered {
                        self.begin_head();
                    }
                }
                passed
            }
            Position::Busy => 0,
            // hyper does not take the head for complete.
            Position::Call => {
                self.position = Position::Any;
                bytes.len()
            }
            Position::Any => bytes.len(),
        }
    }

    /// Records that hyper calls the service for `req`.
    pub fn call(&mut self, req: &mut Request<Incoming>, ahead: Option<&SentAhead<R>>) -> Call<R> {
        if let Some(handed_at) = self.handed_at.take() {
            req.extensions_mut().insert(handed_at);
        }
        let is_framed = self.position == Position::Call;
        if let Some(begun) = self.handed.take() {
            self.position = Position::Busy;
            self.is_exclusive = false;
            return if is_framed && is_same(&begun.head, req) {
                Call::Begun(begun.running)
            } else {
                Call::Mismatch
            };
        }
        if !is_framed {
            self.position = Position::Any;
            return Call::Arrived;
        }
        let is_tunnel =
            req.method() == Method::CONNECT || req.headers().contains_key(header::UPGRADE);
        self.position = match req.body().size_hint().exact() {
            _ if is_tunnel => Position::Any,
            None => Position::Any,
            Some(0) => Position::Busy,
            Some(left) => Position::Body {
                left,
                is_answered: false,
            },
        };
        self.is_exclusive = !ahead.is_some_and(|ahead| allows_ahead(req, ahead));
        Call::Arrived
    }

    /// Records that the request that hyper read has been answered.
    pub fn answer(&mut self) {
        match &mut self.position {
            Position::Busy => self.begin_head(),
            Position::Body { is_answered, .. } => *is_answered = true,
            _ => return,
        }
        if !self.buf.is_empty()
            && let Some(waker) = self.waker.take()
        {
            waker.wake();
        }
    }

    fn begin_head(&mut self) {
        if let Some(begun) = self.begun.pop_front() {
            self.position = Position::KnownHead(begun.length);
            self.handed = Some(begun);
            return;
        }
        self.has_barrier = false;
        self.position = Position::Head(HeadScanner::default());
        if let Some((head, length)) = self.next.take() {
            self.position = Position::KnownHead(length);
            self.handed_at = head.extensions().get().copied();
        }
    }

    /// Begins requests in the buffer as far as `ahead` allows.
    pub fn begin(&mut self, ahead: &SentAhead<R>)
    where
        R: Send + 'static,
    {
        while self.position == Position::Busy && self.parse_next(ahead) {
            let Some((head, length)) = self.next.take() else {
                return;
            };
            let Some(running) = (ahead.begin)((*head).clone(), self.begun.len()) else {
                self.next = Some((head, length));
                return;
            };
            let running = BegunRequest::spawn(running);
            self.begun.push_back(Begun {
                head,
                length,
                running,
            });
        }
    }

    /// Parses the request behind those that have begun. False if there is none that may begin.
    fn parse_next(&mut self, ahead: &SentAhead<R>) -> bool {
        if self.next.is_none() && !self.has_barrier {
            let offset = self.begun.iter().map(|begun| begun.length).sum();
            match head::parse(&self.buf[offset..]) {
                Parsed::Incomplete => return false,
                Parsed::Complete(mut head, length) => {
                    head.extensions_mut().insert(ReadAt(Instant::now()));
                    self.has_barrier = !allows_ahead(&head, ahead);
                    self.next = Some((head, length));
                }
                Parsed::Barrier => self.has_barrier = true,
            }
        }
        !self.is_exclusive && !self.has_barrier && !self.is_closing
    }

    /// Adds `connection: close` to a response if the connection has to be closed and no request behind
    /// it has begun. Nothing begins any more then.
    pub fn close_if_last<B>(&mut self, response: &mut Response<B>, ahead: &SentAhead<R>) {
        if self.begun.is_empty() && (ahead.closes)() {
            self.is_closing = true;
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
    }
}

/// Whether requests may run beside this one.
fn allows_ahead<B, R>(req: &Request<B>, ahead: &SentAhead<R>) -> bool {
    head::is_plain(req) && (ahead.is_idempotent)(req.uri(), req.headers())
}

/// Whether hyper parsed the same request.
fn is_same(begun: &Request<()>, req: &Request<Incoming>) -> bool {
    begun.method() == req.method()
        && begun.uri() == req.uri()
        && begun.version() == req.version()
        && begun.headers() == req.headers()
}
