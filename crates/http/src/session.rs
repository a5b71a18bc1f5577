//! One connection of a server. Requests are read while earlier ones are handled, and their responses
//! are sent in the order of the requests.

use std::cell::Cell;
use std::future::poll_fn;
use std::net::{Shutdown, SocketAddr};
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use filbertwheel_core::{Clock, SleepFuture, copy_value};
use filbertwheel_runtime::TcpStream;
use futures_lite::{AsyncWriteExt as _, FutureExt as _};
use smol::LocalExecutor;

use crate::budget::ReceiveBudget;
use crate::connection::{Connection, Progress, write_all};
use crate::encode::encode_response;
use crate::pipeline::{PendingRequest, Pipeline, ResponseSource};
use crate::reader::Reader;
use crate::{Handler, Limits, Response, ShutdownSignal};

/// Time without a byte after which a connection is no longer read behind its last response, also if the
/// client does not close it.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Interim response for a request that is still being processed.
const PROCESSING: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";

/// One connection of a server.
pub(crate) struct Session {
    /// Address of the client.
    pub sender: SocketAddr,
    /// The connection.
    pub conn: Connection,
    /// Timer of the idle timeout.
    pub timer: SleepFuture,
    /// Limits of the listener.
    pub limits: Limits,
    /// Clock of the listener.
    pub clock: Arc<dyn Clock>,
    /// Triggered when the listener stops.
    pub shutdown: ShutdownSignal,
    /// Handles the requests.
    pub handler: Arc<dyn Handler>,
    /// Runs requests that overlap others.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Memory for the bodies of all requests of the listener.
    pub bodies: Arc<ReceiveBudget>,
}

/// How a connection ends.
#[copy_value]
enum End {
    /// Nothing more can be sent.
    Closed,
    /// The last response has been sent.
    Answered {
        /// Whether it was the response to a message that was not read to its end.
        rejected: bool,
    },
}

impl Session {
    /// Serves requests until either end closes the connection. Requests that are unanswered by then
    /// are cancelled.
    pub async fn serve(self) {
        let Self {
            sender,
            mut conn,
            timer,
            limits,
            clock,
            shutdown,
            handler,
            executor,
            bodies,
        } = self;
        let limits = Cell::new(limits);
        let pipeline = Pipeline::open(clock.now());
        let writer = Writer {
            stream: conn.stream().clone(),
            pipeline: &pipeline,
            limits: &limits,
            clock: &clock,
            shutdown: &shutdown,
        };
        let reader = Reader {
            sender,
            conn: &mut conn,
            timer,
            pipeline: &pipeline,
            limits: &limits,
            clock: &clock,
            shutdown: &shutdown,
            handler: &handler,
            executor: &executor,
            bodies: &bodies,
        };
        let end = drive(&pipeline, writer.run(), reader.run()).await;
        drop(pipeline);
        if let End::Answered { rejected } = end
            && (rejected || conn.has_buffered())
        {
            linger(&mut conn, limits.get(), &clock, &shutdown).await;
        }
    }
}

/// Polls the writer and the reader of a connection until one of them ends, and both again after each
/// change of their pipeline.
async fn drive(
    pipeline: &Pipeline<'_>,
    writer: impl Future<Output = End>,
    reader: impl Future<Output = ()>,
) -> End {
    let (mut writer, mut reader) = (pin!(writer), pin!(reader));
    poll_fn(|cx| {
        loop {
            if let Poll::Ready(end) = writer.as_mut().poll(cx) {
                return Poll::Ready(end);
            }
            if reader.as_mut().poll(cx).is_ready() {
                return Poll::Ready(End::Closed);
            }
            if !pipeline.take_change() {
                return Poll::Pending;
            }
        }
    })
    .await
}

/// Discards what the client still sends, up to the size and time of a body. Closing a connection with
/// unread bytes resets it, and the client could lose the response.
async fn linger(
    conn: &mut Connection,
    limits: Limits,
    clock: &Arc<dyn Clock>,
    shutdown: &ShutdownSignal,
) {
    let discarded = async {
        if conn.stream().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut discarded = 0;
        while discarded < limits.body_bytes {
            discarded += conn.discard_buffered();
            let silent = async {
                clock.sleep(LINGER_TIME).await;
                Ok(false)
            };
            if !matches!(conn.fill().or(silent).await, Ok(true)) {
                return;
            }
        }
    };
    let stopped = async {
        shutdown.wait().await;
        clock.sleep(LINGER_TIME).await;
    };
    let timeout = clock.sleep(limits.body_timeout);
    discarded.or(stopped).or(timeout).await;
}

/// Sends the responses of a connection.
struct Writer<'a, 'h> {
    stream: TcpStream,
    pipeline: &'a Pipeline<'h>,
    limits: &'a Cell<Limits>,
    clock: &'a Arc<dyn Clock>,
    shutdown: &'a ShutdownSignal,
}

impl Writer<'_, '_> {
    /// Sends responses until the connection closes.
    async fn run(self) -> End {
        loop {
            let PendingRequest {
                response: source,
                keep_alive,
                bodiless,
                body: _held_until_sent,
                ..
            } = self.pipeline.next().await;
            let waited = matches!(source, ResponseSource::Task(_));
            let rejected = matches!(source, ResponseSource::Rejected(_));
            let progress = report_progress(&self.stream, self.limits.get(), self.clock);
            let Some(response) = source.wait().or(progress).await else {
                return End::Closed;
            };
            let stop = self.shutdown.is_triggered();
            let keep_alive = self.pipeline.begin_send(keep_alive, stop);
            if !self.send(&response, bodiless, keep_alive).await {
                return End::Closed;
            }
            if !keep_alive {
                return End::Answered { rejected };
            }
            let now = self.clock.now();
            self.pipeline.finish(waited, response.body.len(), now);
        }
    }

    /// Sends a response. Returns whether it was sent. A client may read as slowly as it likes while it
    /// makes progress.
    async fn send(&self, response: &Response, bodiless: bool, keep_alive: bool) -> bool {
        let encoded = encode_response(response, bodiless, keep_alive);
        let progress = Progress {
            limit: self.limits.get().head_timeout,
            clock: Arc::clone(self.clock),
        };
        for part in [&encoded.start[..], &encoded.rest[..]] {
            if write_all(&self.stream, part, Some(&progress))
                .await
                .is_err()
            {
                return false;
            }
        }
        true
    }
}

/// Sends `102 Processing` at each interval. Completes when sending fails.
async fn report_progress(
    stream: &TcpStream,
    limits: Limits,
    clock: &Arc<dyn Clock>,
) -> Option<Response> {
    let Some(interval) = limits.progress_interval else {
        return std::future::pending().await;
    };
    let mut stream = stream.clone();
    loop {
        clock.sleep(interval).await;
        stream.write_all(PROCESSING).await.ok()?;
    }
}
