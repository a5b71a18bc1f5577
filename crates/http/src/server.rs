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
use http_types::headers::CONTENT_LENGTH;
use smol::LocalExecutor;
use smol::net::{TcpListener, TcpStream};

use crate::message::{headers_from, is_framing, read_body, single_length};
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
            tasks.push(self.serve(stream, executor, handler));
        }
        for _ in 0..BACKLOG {
            let Some(Ok((stream, _))) = poll_once(self.socket.accept()).await else {
                break;
            };
            tasks.push(self.serve(stream, executor, handler));
        }
        tasks
    }

    fn serve(
        &self,
        stream: TcpStream,
        executor: &LocalExecutor<'static>,
        handler: &Arc<dyn Handler>,
    ) -> smol::Task<()> {
        let connection = Connection {
            stream,
            limits: self.limits,
            clock: Arc::clone(&self.clock),
            stop: self.stop.clone(),
            handler: Arc::clone(handler),
        };
        executor.spawn(connection.serve())
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
    stream: TcpStream,
    limits: Limits,
    clock: Arc<dyn Clock>,
    stop: Stop,
    handler: Arc<dyn Handler>,
}

impl Connection {
    /// Serves requests until either end closes the connection.
    async fn serve(self) {
        // Nagle's algorithm together with delayed acknowledgements costs tens of milliseconds.
        if self.stream.set_nodelay(true).is_err() {
            return;
        }
        while self.has_next().await {
            if !self.serve_one().await {
                return;
            }
        }
    }

    /// Waits for the first byte of the next request.
    async fn has_next(&self) -> bool {
        let mut byte = [0];
        let arrived = async { matches!(self.stream.peek(&mut byte).await, Ok(1)) };
        let idle = async {
            self.clock.sleep(self.limits.idle).await;
            false
        };
        let stopped = async {
            self.stop.given().await;
            self.clock.sleep(self.limits.linger).await;
            false
        };
        arrived.or(idle).or(stopped).await
    }

    /// Serves one request. Returns whether the connection can be used again.
    async fn serve_one(&self) -> bool {
        let arrival = async {
            self.clock.sleep(self.limits.arrival).await;
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

    async fn receive(&self) -> Result<Option<(Request, bool)>, Fault> {
        let decoded = async_h1::server::decode(self.stream.clone()).await;
        let Some((mut request, _rest)) = decoded.map_err(|error| fault_of(&error))? else {
            return Ok(None);
        };
        let length = single_length(request.header(CONTENT_LENGTH))?;
        let keep = request
            .header("connection")
            .is_none_or(|value| value.as_str() != "close");
        let body = read_body(request.take_body(), length, self.limits.body).await?;
        let headers = headers_from(request.iter());
        let method = request.method().to_string();
        let path = match request.url().query() {
            Some(query) => format!("{}?{query}", request.url().path()),
            None => request.url().path().to_owned(),
        };
        let request = Request {
            method: method.into(),
            path: path.into(),
            headers,
            body,
        };
        Ok(Some((request, keep)))
    }

    async fn answer(&self, request: Request, keep: bool) -> bool {
        let method = method_of(&request.method);
        let answered = async { Some(self.handler.handle(request).await) };
        let Some(response) = answered.or(self.hung_up()).await else {
            return false;
        };
        self.send(response, method, keep && !self.stop.is_given())
            .await
    }

    /// Completes once the other end has closed the connection.
    async fn hung_up(&self) -> Option<Response> {
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => None,
            Ok(_) => std::future::pending().await,
        }
    }

    /// Sends head and body in one write. Returns whether the connection can be used again.
    async fn send(&self, response: Response, method: http_types::Method, keep: bool) -> bool {
        let mut encoded = Vec::with_capacity(256 + response.body.len());
        let mut encoder = Encoder::new(encode(response, keep), method);
        if encoder.read_to_end(&mut encoded).await.is_err() {
            return false;
        }
        let mut stream = self.stream.clone();
        let sent = async { stream.write_all(&encoded).await.is_ok() };
        let late = async {
            self.clock.sleep(self.limits.arrival).await;
            false
        };
        sent.or(late).await && keep
    }
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

/// Start of the codec's message about a head over its limit.
const HEAD_LENGTH_ERROR: &str = "Head byte length";

fn status_of(fault: Fault) -> u16 {
    match fault {
        Fault::Malformed | Fault::Ambiguous | Fault::Cut => 400,
        Fault::HeadTooLarge => 431,
        Fault::BodyTooLarge => 413,
    }
}
