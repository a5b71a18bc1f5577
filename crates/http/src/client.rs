//! The client's side of HTTP connections.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::str::FromStr as _;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use async_h1::client::{Encoder, decode};
use derive_more::{Display, Error};
use filbertwheel_core::{Clock, token};
use futures_lite::future::poll_once;
use futures_lite::{AsyncReadExt as _, FutureExt as _};
use http_types::Url;
use http_types::headers::{CONTENT_LENGTH, TRANSFER_ENCODING};
use smol::net::TcpStream;

use crate::message::{Framing, framing, headers_from, is_framing, read_chunks};
use crate::server::asks_close;
use crate::wire::{Wire, has_line, made_up};
use crate::{Fault, Limits, Request, Response};

/// Connections that are kept open to one address.
const IDLE_CONNECTIONS: usize = 256;

/// Pulses of our own processes that have to stay out before a connection counts as silent.
const SILENT_PULSES: u32 = 4;
/// Start of a head that says that the request is being worked on.
const PROCESSING: &[u8] = b"HTTP/1.1 102 ";

/// What to do with a request whose connection is silent while new ones work.
#[token]
pub enum OnSilence {
    /// Wait until its deadline, where a second try isn't safe.
    Wait,
    /// Close the connection, and leave a second try to the caller.
    GiveUp,
}

/// Why a request has no whole response.
#[token]
#[derive(Display, Error)]
pub enum SendError {
    /// No byte of it was sent.
    #[display("the other end can't be reached")]
    NotSent,
    /// The request can't be written as HTTP.
    #[display("the request can't be encoded")]
    Unencodable,
    /// The connection ended after the request was sent.
    #[display("the connection was lost")]
    Lost,
    /// Time ran out after the request was sent.
    #[display("the response is late")]
    Late,
    /// The response was cut or malformed.
    #[display("the response was cut or malformed")]
    Broken,
}

impl SendError {
    /// Whether the other end can't have seen the request.
    pub fn is_unsent(self) -> bool {
        matches!(self, Self::NotSent | Self::Unencodable)
    }
}

/// Connections to one address, each used for one exchange at a time.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    limits: Limits,
    clock: Arc<dyn Clock>,
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    wire: Wire,
    since: Instant,
}

impl Pool {
    /// A pool without connections; they're opened as they're needed.
    pub fn open(address: SocketAddr, limits: Limits, clock: Arc<dyn Clock>) -> Self {
        Self {
            address,
            limits,
            clock,
            idle: Mutex::default(),
        }
    }

    /// The address that the connections lead to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and returns the whole response. The connection is used again only after
    /// a whole response; dropping the future closes it.
    pub async fn exchange(
        &self,
        request: Request,
        deadline: Instant,
    ) -> Result<Response, SendError> {
        self.exchange_with(request, deadline, OnSilence::Wait).await
    }

    /// Sends a request, and says what to do when its connection goes silent while new ones work.
    pub async fn exchange_with(
        &self,
        request: Request,
        deadline: Instant,
        on_silence: OnSilence,
    ) -> Result<Response, SendError> {
        let (encoded, method) = self.encode(request).await?;
        let (mut wire, used) = self.connection(deadline).await?;
        let silent = async {
            if !used {
                return std::future::pending().await;
            }
            self.found_silent(deadline).await;
            match on_silence {
                OnSilence::Wait => std::future::pending().await,
                OnSilence::GiveUp => Err(SendError::Lost),
            }
        };
        let received = self.send_and_receive(&mut wire, &encoded, method);
        let received = received.or(silent);
        let late = async {
            self.sleep_until(deadline).await;
            Err(SendError::Late)
        };
        let (response, keep) = received.or(late).await?;
        if keep && !wire.has_unused() {
            self.put_back(wire);
        }
        Ok(response)
    }

    /// Closes the idle connections.
    pub fn close(self) {
        drop(self);
    }

    /// Forgets the idle connections, because one of their kind has gone silent.
    pub fn discard_idle(&self) {
        self.lock().clear();
    }

    /// Completes where half of the time until a deadline has passed and a new connection can be
    /// opened. Then a connection that was used before and has been silent so far is probably
    /// dead, and so are idle ones of its age.
    async fn found_silent(&self, deadline: Instant) {
        let left = deadline.saturating_duration_since(self.clock.now());
        self.clock.sleep(left / 2).await;
        match self.connect(deadline).await {
            Ok(_probe) => self.discard_idle(),
            Err(_) => std::future::pending().await,
        }
    }

    async fn encode(&self, request: Request) -> Result<(Vec<u8>, http_types::Method), SendError> {
        let text = |text: &filbertwheel_core::Text| text.as_str().map(str::to_owned);
        let method = text(&request.method).ok_or(SendError::Unencodable)?;
        let method = http_types::Method::from_str(&method).map_err(|_| SendError::Unencodable)?;
        let path = text(&request.path).ok_or(SendError::Unencodable)?;
        let url = Url::parse(&format!("http://{}{path}", self.address))
            .map_err(|_| SendError::Unencodable)?;
        let mut encoded = http_types::Request::new(method, url);
        encoded.set_body(http_types::Body::from_bytes(request.body.to_vec()));
        encoded.remove_header("content-type");
        for header in request
            .headers
            .iter()
            .filter(|line| !is_framing(line.name.as_bytes()))
        {
            let name = header.name.as_str().ok_or(SendError::Unencodable)?;
            let value = header.value.as_str().ok_or(SendError::Unencodable)?;
            if value.bytes().any(|byte| byte == b'\r' || byte == b'\n') {
                return Err(SendError::Unencodable);
            }
            encoded.append_header(name, value);
        }
        let mut bytes = Vec::with_capacity(512 + request.body.len());
        let read = Encoder::new(encoded).read_to_end(&mut bytes).await;
        read.map_err(|_| SendError::Unencodable)?;
        Ok((bytes, method))
    }

    /// An open connection, and whether it was used before.
    async fn connection(&self, deadline: Instant) -> Result<(Wire, bool), SendError> {
        while let Some(wire) = self.take_idle() {
            if is_quiet(wire.stream()).await {
                return Ok((wire, true));
            }
        }
        let wire = self.connect(deadline).await;
        Ok((wire.map_err(|_| SendError::NotSent)?, false))
    }

    async fn connect(&self, deadline: Instant) -> io::Result<Wire> {
        let opened = async {
            let stream = TcpStream::connect(self.address).await?;
            let mut wire = Wire::open(stream)?;
            if let Some(pulse) = self.limits.pulse {
                wire.expect_progress(pulse * SILENT_PULSES, Arc::clone(&self.clock));
            }
            Ok(wire)
        };
        let late = async {
            let now = self.clock.now();
            let wait = self
                .limits
                .connect
                .min(deadline.saturating_duration_since(now));
            self.clock.sleep(wait).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        opened.or(late).await
    }

    /// Sends a request and reads the whole response. Returns whether the connection can be used
    /// again.
    async fn send_and_receive(
        &self,
        wire: &mut Wire,
        encoded: &[u8],
        method: http_types::Method,
    ) -> Result<(Response, bool), SendError> {
        let written = wire.write(encoded).await.is_ok();
        // The other end may have answered and closed before it read the whole request.
        let head = match self.final_head(wire).await {
            Ok(Some(head)) => head,
            Err(_) if wire.is_silent() => {
                self.discard_idle();
                return Err(SendError::Lost);
            }
            Err(_) if written => return Err(SendError::Broken),
            _ => return Err(SendError::Lost),
        };
        let received = self.receive(wire, head, method).await;
        if wire.is_silent() {
            self.discard_idle();
        }
        let (response, keep) = received.map_err(|_| SendError::Broken)?;
        Ok((response, keep && written))
    }

    /// The first head that isn't an interim one of our own processes.
    async fn final_head(&self, wire: &mut Wire) -> Result<Option<Vec<u8>>, Fault> {
        loop {
            let head = wire.head().await?;
            let interim = head
                .as_ref()
                .is_some_and(|head| head.starts_with(PROCESSING));
            if !interim || self.limits.pulse.is_none() {
                return Ok(head);
            }
        }
    }

    async fn receive(
        &self,
        wire: &mut Wire,
        head: Vec<u8>,
        method: http_types::Method,
    ) -> Result<(Response, bool), Fault> {
        let chunked = has_line(&head, b"transfer-encoding:");
        let made_up = made_up(&head);
        let decoded = decode(wire.feed(head, chunked)).await;
        let mut response = decoded.map_err(|_| Fault::Malformed)?;
        let status = u16::from(response.status());
        if status < 200 {
            return Err(Fault::Malformed);
        }
        let framing = framing(
            response.header(CONTENT_LENGTH),
            response.header(TRANSFER_ENCODING),
        )?;
        let bodiless = method == http_types::Method::Head || status == 204 || status == 304;
        let body = match framing {
            _ if bodiless => bytes::Bytes::new(),
            Framing::Length(None) => return Err(Fault::Ambiguous),
            Framing::Length(Some(length)) if length > self.limits.body => {
                return Err(Fault::BodyTooLarge);
            }
            Framing::Length(Some(length)) => wire.body(length).await?,
            Framing::Chunks => read_chunks(response.take_body(), self.limits.body).await?,
        };
        let keep = !chunked && !asks_close(response.header("connection"));
        let mut headers = headers_from(response.iter());
        headers.retain(|header| {
            let name = header.name.as_bytes();
            !is_framing(name) && !made_up.contains(&name)
        });
        let response = Response {
            status,
            headers,
            body,
        };
        Ok((response, keep))
    }

    async fn sleep_until(&self, deadline: Instant) {
        self.clock
            .sleep(deadline.saturating_duration_since(self.clock.now()))
            .await;
    }

    fn take_idle(&self) -> Option<Wire> {
        let now = self.clock.now();
        let mut idle = self.lock();
        // Half of the server's own bound, so that both ends never close at the same moment.
        idle.retain(|entry| now.saturating_duration_since(entry.since) < self.limits.idle / 2);
        idle.pop().map(|entry| entry.wire)
    }

    fn put_back(&self, wire: Wire) {
        let since = self.clock.now();
        let mut idle = self.lock();
        if idle.len() < IDLE_CONNECTIONS {
            idle.push(Idle { wire, since });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether nothing has arrived on an idle connection, neither bytes nor its end.
async fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0];
    poll_once(stream.peek(&mut byte)).await.is_none()
}
