//! Traffic threads: each runs the listeners' connections and its part of the links.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};

use async_channel::Receiver;
use filbertwheel_http::{Handler, Listener};
use filbertwheel_peer::{LinkDriver, LinkEndpoint};
use smol::LocalExecutor;

/// A door: a listener with what answers its requests.
#[derive(Debug, Clone)]
pub(crate) struct Door {
    pub listener: Listener,
    pub handler: Arc<dyn Handler>,
}

/// What a traffic thread serves.
#[derive(Debug)]
pub(crate) struct Work {
    pub doors: Vec<Door>,
    pub links: LinkEndpoint,
    /// Links that are to be kept open; each goes to one thread.
    pub drivers: Receiver<LinkDriver>,
}

/// A running traffic thread.
#[derive(Debug)]
pub(crate) struct TrafficThread {
    thread: JoinHandle<()>,
    ended: Receiver<()>,
}

impl TrafficThread {
    /// Starts a thread that serves the doors until their stop signal. Fails with the system's
    /// error.
    pub fn spawn(index: usize, work: Work) -> io::Result<Self> {
        let (ending, ended) = async_channel::bounded(1);
        let thread = Builder::new()
            .name(format!("traffic-{index}"))
            .spawn(move || {
                serve(work);
                drop(ending);
            })?;
        Ok(Self { thread, ended })
    }

    /// Waits for the thread's end.
    pub async fn close(self) {
        // A closed channel is the sign.
        let _closed = self.ended.recv().await;
        if self.thread.join().is_err() {
            tracing::error!("traffic: A thread panicked.");
        }
    }
}

fn serve(work: Work) {
    let executor = Rc::new(LocalExecutor::new());
    let doors = work.doors.into_iter().map(|door| {
        let running = door.listener.run(Rc::clone(&executor), door.handler);
        executor.spawn(running)
    });
    let doors: Vec<_> = doors.collect();
    let links = executor.spawn(work.links.run(Rc::clone(&executor)));
    let drivers = work.drivers;
    let dialling = Rc::clone(&executor);
    let dialler = executor.spawn(async move {
        while let Ok(driver) = drivers.recv().await {
            dialling.spawn(driver.run()).detach();
        }
    });
    filbertwheel_runtime::block_on(executor.run(async {
        for door in doors {
            door.await;
        }
        links.await;
        drop(dialler);
    }));
}
