//! Shutdown of a listener: it completes while clients keep connecting, and truncates no response.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertwheel_core::{Clock, SystemClock};
use filbertwheel_http::{
    Handler, Limits, Listener, LocalFuture, Pool, Request, Response, SendError, ShutdownTrigger,
};
use filbertwheel_runtime::TcpStream;
use smol::LocalExecutor;
use smol::future::FutureExt as _;

/// Time limit for the shutdown, far longer than the drain time.
const STOP_LIMIT: Duration = Duration::from_secs(13);

#[derive(Debug)]
struct Greeter;

impl Handler for Greeter {
    fn handle(&self, _request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async { Response::new(200, "hello") })
    }
}

/// Responds to `/slow` after four times the drain time, to other paths at once.
#[derive(Debug)]
struct Slow(Arc<dyn Clock>);

impl Handler for Slow {
    fn handle(&self, request: Request) -> LocalFuture<'_, Response> {
        Box::pin(async move {
            if request.path.as_bytes() == b"/slow" {
                self.0.sleep(Limits::default().drain_time * 4).await;
            }
            Response::new(200, "hello")
        })
    }
}

#[test]
fn shutdown_completes_while_clients_keep_connecting() {
    let executor = Rc::new(LocalExecutor::new());
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let ended = filbertwheel_runtime::block_on(executor.run(async {
        let (trigger, shutdown) = ShutdownTrigger::open();
        let limits = Limits::default();
        let any = (Ipv4Addr::LOCALHOST, 0).into();
        let bound = Listener::bind(any, limits, Arc::clone(&clock), shutdown).await;
        let listener = bound.expect("a port is free");
        let address = listener.address();
        let running = executor.spawn(listener.run(Rc::clone(&executor), Arc::new(Greeter)));
        trigger.trigger();
        let began = Instant::now();
        let connecting = async {
            while began.elapsed() < STOP_LIMIT {
                drop(TcpStream::connect(address).await);
                clock.sleep(limits.drain_time / 5).await;
            }
            false
        };
        let ended = async {
            running.await;
            true
        };
        ended.or(connecting).await
    }));
    assert!(
        ended,
        "the listener still runs {STOP_LIMIT:?} after the shutdown signal"
    );
}

#[test]
fn shutdown_truncates_no_response() {
    let executor = Rc::new(LocalExecutor::new());
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    filbertwheel_runtime::block_on(executor.run(async {
        let (trigger, shutdown) = ShutdownTrigger::open();
        let limits = Limits::default();
        let any = (Ipv4Addr::LOCALHOST, 0).into();
        let bound = Listener::bind(any, limits, Arc::clone(&clock), shutdown).await;
        let listener = bound.expect("a port is free");
        let pool = Rc::new(Pool::open(listener.address(), limits, Arc::clone(&clock)));
        let handler = Arc::new(Slow(Arc::clone(&clock)));
        let mut running = executor.spawn(listener.run(Rc::clone(&executor), handler));
        let slow = Rc::clone(&pool);
        let until = Instant::now() + STOP_LIMIT;
        let slow = executor.spawn(async move { slow.exchange(Request::get("/slow"), until).await });
        clock.sleep(limits.drain_time / 5).await;
        trigger.trigger();
        while smol::future::poll_once(&mut running).await.is_none() && Instant::now() < until {
            let answer = pool.exchange(Request::get("/"), until).await;
            let complete = matches!(answer, Ok(_) | Err(SendError::NotSent));
            assert!(complete, "a response was lost or truncated: {answer:?}");
            clock.sleep(limits.drain_time / 25).await;
        }
        let slow = slow.await.expect("the slow response is complete");
        assert_eq!(slow.status, 200);
    }));
}
