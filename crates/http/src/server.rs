//! The server's side of HTTP connections.

use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;

use async_h1::server::Encoder;
use filbertwheel_core::{Clock, Text};
use futures_lite::future::poll_once;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _};
use http_types::StatusCode;
use http_types::headers::{CONTENT_LENGTH, HeaderValues, TRANSFER_ENCODING};
use smol::LocalExecutor;
use smol::net::{TcpListener, TcpStream};

use crate::message::{Framing, framing, headers_from, is_framing, read_chunks};
use crate::wire::{Wire, has_line, made_up, without_line};
use crate::{Fault, Limits, Request, Response, Stop};

/// A future that stays on its traffic thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Answers the requests of one listener.
pub trait Handler: Debug + Send + Sync {
    /// Answers a whole request. Dropped when the other end goes away.
    fn handle(&self, request: Request) -> LocalFuture<'_, Response>;

    /// Answers a message that isn't a whole request.
    fn reject(&self, fault: Fault) -> Response {
        Response::new(status_of(fault), fault.to_string())
    }
}

/// A bound listener. Clones share the socket, so that each traffic thread runs one.
#[derive(Debug, Clone)]
pub struct Listener {
    socket: TcpListener,
    address: SocketAddr,
    limits: Limits,
    clock: Arc<dyn Clock>,
    stop: Stop,
}

impl Listener {
    /// Binds an address.
    pub async fn bind(
        address: SocketAddr,
        limits: Limits,
        clock: Arc<dyn Clock>,
        stop: Stop,
    ) -> io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        Ok(Self {
            socket,
            address,
            limits,
            clock,
            stop,
        })
    }

    /// The bound address, with the port that the system chose.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts connections and serves them on `executor`. Returns once the stop signal was given
    /// and the last connection has ended.
    pub async fn run(self, executor: Rc<LocalExecutor<'static>>, handler: Arc<dyn Handler>) {
        let tasks = self.accept_all(&executor, &handler).await;
        // Callers that come later are turned down at once. In the backlog of an open socket they
        // would wait and then be cut.
        drop(self);
        for task in tasks {
            task.await;
        }
    }

    async fn accept_all(
        &self,
        executor: &LocalExecutor<'static>,
        handler: &Arc<dyn Handler>,
    ) -> Vec<smol::Task<()>> {
        let mut tasks = Vec::new();
        let mut lingered = pin!(self.lingered());
        while let Some(stream) = self.accept(lingered.as_mut()).await {
            tasks.retain(|task: &smol::Task<()>| !task.is_finished());
            tasks.extend(self.serve(stream, executor, handler));
        }
        for _ in 0..BACKLOG {
            let Some(Ok((stream, _))) = poll_once(self.socket.accept()).await else {
                break;
            };
            tasks.extend(self.serve(stream, executor, handler));
        }
        tasks
    }

    fn serve(
        &self,
        stream: TcpStream,
        executor: &LocalExecutor<'static>,
        handler: &Arc<dyn Handler>,
    ) -> Option<smol::Task<()>> {
        let connection = Connection {
            wire: Wire::open(stream).ok()?,
            limits: self.limits,
            clock: Arc::clone(&self.clock),
            stop: self.stop.clone(),
            handler: Arc::clone(handler),
        };
        Some(executor.spawn(connection.serve()))
    }

    /// Accepts a connection, unless `lingered` completes first. That one is the same for all
    /// connections, else a listener to which callers keep connecting would never stop.
    async fn accept(&self, mut lingered: Pin<&mut impl Future<Output = ()>>) -> Option<TcpStream> {
        loop {
            let accepted = async { Some(self.socket.accept().await) };
            let over = async {
                lingered.as_mut().await;
                None
            };
            match over.or(accepted).await? {
                Ok((stream, _)) => return Some(stream),
                Err(error) => {
                    tracing::warn!("http: Accepting failed: {error}.");
                    self.clock.sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Completes some time after the stop signal.
    async fn lingered(&self) {
        self.stop.given().await;
        self.clock.sleep(self.limits.linger).await;
    }
}

/// Most connections that wait to be accepted when a listener ends.
const BACKLOG: usize = 1_024;
/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

struct Connection {
    wire: Wire,
    limits: Limits,
    clock: Arc<dyn Clock>,
    stop: Stop,
    handler: Arc<dyn Handler>,
}

impl Connection {
    /// Serves requests until either end closes the connection.
    async fn serve(mut self) {
        while self.has_next().await {
            if !self.serve_one().await {
                return;
            }
        }
    }

    /// Waits for the first byte of the next request.
    async fn has_next(&mut self) -> bool {
        if self.wire.has_unused() {
            return true;
        }
        let (clock, limits, stop) = (&self.clock, self.limits, &self.stop);
        let arrived = async { matches!(self.wire.fill().await, Ok(true)) };
        let idle = async {
            clock.sleep(limits.idle).await;
            false
        };
        let stopped = async {
            stop.given().await;
            clock.sleep(limits.linger).await;
            false
        };
        arrived.or(idle).or(stopped).await
    }

    /// Serves one request. Returns whether the connection can be used again.
    async fn serve_one(&mut self) -> bool {
        let (clock, limit) = (Arc::clone(&self.clock), self.limits.arrival);
        let arrival = async move {
            clock.sleep(limit).await;
            Err(Fault::Cut)
        };
        match self.receive().or(arrival).await {
            Ok(None) => false,
            Ok(Some((request, keep))) => self.answer(request, keep).await,
            Err(fault) => {
                let method = http_types::Method::Get;
                self.send(self.handler.reject(fault), method, false).await
            }
        }
    }

    async fn receive(&mut self) -> Result<Option<(Request, bool)>, Fault> {
        let Some(head) = self.wire.head().await? else {
            return Ok(None);
        };
        // The codec would answer on a thread pool of its own.
        let expects = has_line(&head, EXPECT);
        let head = if expects {
            without_line(&head, EXPECT)
        } else {
            head
        };
        let chunked = has_line(&head, TRANSFER);
        let made_up = made_up(&head);
        let feed = self.wire.feed(head, chunked);
        let decoded = async_h1::server::decode(feed).await;
        let decoded = decoded.map_err(|error| fault_of(&error))?;
        let (mut request, _rest) = decoded.ok_or(Fault::Malformed)?;
        let framing = framing(
            request.header(CONTENT_LENGTH),
            request.header(TRANSFER_ENCODING),
        )?;
        let body = match framing {
            Framing::Length(Some(length)) if length > self.limits.body => {
                return Err(Fault::BodyTooLarge);
            }
            _ if expects && self.wire.write(CONTINUE).await.is_err() => return Ok(None),
            Framing::Length(length) => self.wire.body(length.unwrap_or(0)).await?,
            Framing::Chunks => read_chunks(request.take_body(), self.limits.body).await?,
        };
        let keep = !chunked && !asks_close(request.header("connection"));
        let mut request = request_from(&request, body);
        request
            .headers
            .retain(|header| !made_up.contains(&header.name.as_bytes()));
        Ok(Some((request, keep)))
    }

    async fn answer(&mut self, request: Request, keep: bool) -> bool {
        let method = method_of(&request.method);
        let answered = async { Some(self.handler.handle(request).await) };
        let Some(response) = answered
            .or(self.hung_up())
            .or(self.pulses(self.wire.stream().clone()))
            .await
        else {
            return false;
        };
        self.send(response, method, keep && !self.stop.is_given())
            .await
    }

    /// Completes once the other end has closed the connection.
    async fn hung_up(&self) -> Option<Response> {
        let mut byte = [0];
        match self.wire.stream().peek(&mut byte).await {
            Ok(0) | Err(_) => None,
            Ok(_) => std::future::pending().await,
        }
    }

    /// Says again and again that the request is being worked on. Completes when that fails.
    async fn pulses(&self, mut stream: TcpStream) -> Option<Response> {
        let Some(pulse) = self.limits.pulse else {
            return std::future::pending().await;
        };
        loop {
            self.clock.sleep(pulse).await;
            stream.write_all(PROCESSING).await.ok()?;
        }
    }

    /// Sends head and body in one write. Returns whether the connection can be used again.
    async fn send(&mut self, response: Response, method: http_types::Method, keep: bool) -> bool {
        let mut encoded = Vec::with_capacity(256 + response.body.len());
        let mut encoder = Encoder::new(encode(response, keep), method);
        if encoder.read_to_end(&mut encoded).await.is_err() {
            return false;
        }
        let (clock, limit) = (Arc::clone(&self.clock), self.limits.arrival);
        let sent = async { self.wire.write(&encoded).await.is_ok() };
        let late = async {
            clock.sleep(limit).await;
            false
        };
        sent.or(late).await && keep
    }
}

fn request_from(request: &http_types::Request, body: bytes::Bytes) -> Request {
    let path = match request.url().query() {
        Some(query) => format!("{}?{query}", request.url().path()),
        None => request.url().path().to_owned(),
    };
    Request {
        method: request.method().to_string().into(),
        path: path.into(),
        headers: headers_from(request.iter()),
        body,
    }
}

/// Whether a message says that its connection ends with it.
pub(crate) fn asks_close(connection: Option<&HeaderValues>) -> bool {
    let mut values = connection.into_iter().flat_map(|values| values.iter());
    values.any(|value| {
        let mut options = value.as_str().split(',');
        options.any(|option| option.trim().eq_ignore_ascii_case("close"))
    })
}

fn encode(response: Response, keep: bool) -> http_types::Response {
    let status = StatusCode::try_from(response.status).unwrap_or(StatusCode::BadGateway);
    let mut encoded = http_types::Response::new(status);
    encoded.set_body(http_types::Body::from_bytes(response.body.into()));
    encoded.remove_header("content-type");
    for header in response
        .headers
        .iter()
        .filter(|header| !is_framing(header.name.as_bytes()))
    {
        let (Some(name), Some(value)) = (header.name.as_str(), header.value.as_str()) else {
            continue;
        };
        if value.bytes().any(|byte| byte == b'\r' || byte == b'\n') {
            continue;
        }
        encoded.append_header(name, value);
    }
    if !keep {
        encoded.insert_header("connection", "close");
    }
    encoded
}

fn method_of(method: &Text) -> http_types::Method {
    method
        .as_str()
        .and_then(|text| text.parse().ok())
        .unwrap_or(http_types::Method::Get)
}

fn fault_of(error: &http_types::Error) -> Fault {
    if error.to_string().starts_with(HEAD_LENGTH_ERROR) {
        Fault::HeadTooLarge
    } else if error.status() == StatusCode::BadRequest {
        Fault::Ambiguous
    } else {
        Fault::Malformed
    }
}

/// Name of the line that asks for an interim response.
const EXPECT: &[u8] = b"expect:";
/// Name of the line that announces chunks.
const TRANSFER: &[u8] = b"transfer-encoding:";
/// Asks for the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Says that the request is being worked on.
const PROCESSING: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";
/// Start of the codec's message about a head over its limit.
const HEAD_LENGTH_ERROR: &str = "Head byte length";

fn status_of(fault: Fault) -> u16 {
    match fault {
        Fault::Malformed | Fault::Ambiguous | Fault::Cut => 400,
        Fault::HeadTooLarge => 431,
        Fault::BodyTooLarge => 413,
    }
}
