//! Traffic threads. Each serves connections of all listeners and a part of the links.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};

use async_channel::Receiver;
use filbertwheel_http::{Handler, Listener};
use filbertwheel_peer::{LinkDriver, LinkEndpoint};
use smol::{LocalExecutor, Task};

/// A listener with the handler of its requests.
#[derive(Debug, Clone)]
pub(crate) struct BoundListener {
    pub listener: Listener,
    pub handler: Arc<dyn Handler>,
}

/// Listeners and links that a traffic thread serves.
#[derive(Debug, Clone)]
pub(crate) struct ThreadTasks {
    pub listeners: Vec<BoundListener>,
    pub links: LinkEndpoint,
    /// Drivers of outgoing links; each is run by one thread.
    pub drivers: Receiver<LinkDriver>,
}

/// A running traffic thread.
#[derive(Debug)]
pub(crate) struct TrafficThread {
    thread: JoinHandle<()>,
    ended: Receiver<()>,
}

impl TrafficThread {
    /// Starts a thread that serves the listeners until the shutdown signal. Fails with the error of
    /// the operating system.
    pub fn spawn(index: usize, tasks: ThreadTasks) -> io::Result<Self> {
        let (ended_sender, ended) = async_channel::bounded(1);
        let thread = Builder::new()
            .name(format!("traffic-{index}"))
            .spawn(move || {
                serve(tasks);
                drop(ended_sender);
            })?;
        Ok(Self { thread, ended })
    }

    /// Waits for the thread to end.
    pub async fn join(self) {
        // The channel closes when the thread has ended.
        let _closed = self.ended.recv().await;
        if self.thread.join().is_err() {
            tracing::error!("traffic: A traffic thread panicked.");
        }
    }
}

fn serve(tasks: ThreadTasks) {
    let executor = Rc::new(LocalExecutor::new());
    let listeners = tasks.listeners.into_iter().map(|bound| {
        let running = bound.listener.run(Rc::clone(&executor), bound.handler);
        executor.spawn(running)
    });
    let listeners: Vec<_> = listeners.collect();
    let links = executor.spawn(tasks.links.run(Rc::clone(&executor)));
    let dialled: DialledLinks = Rc::default();
    let dialler = executor.spawn(dial(
        tasks.drivers,
        Rc::clone(&dialled),
        Rc::clone(&executor),
    ));
    filbertwheel_runtime::block_on(executor.run(async {
        for bound in listeners {
            bound.await;
        }
        links.await;
        dialler.cancel().await;
        // The other nodes see the end of this process by the end of its links.
        for link in dialled.take() {
            link.cancel().await;
        }
    }));
}

/// Tasks of the links that a thread has opened.
type DialledLinks = Rc<RefCell<Vec<Task<()>>>>;

/// Runs the new links until it is cancelled.
async fn dial(
    drivers: Receiver<LinkDriver>,
    dialled: DialledLinks,
    executor: Rc<LocalExecutor<'static>>,
) {
    while let Ok(driver) = drivers.recv().await {
        let link = executor.spawn(driver.run());
        let mut dialled = dialled.borrow_mut();
        dialled.retain(|link| !link.is_finished());
        dialled.push(link);
    }
}
