//! A listener on a thread of its own.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

use filbertwheel_core::SystemClock;
use filbertwheel_http::{Handler, Limits, Listener, ShutdownTrigger};
use smol::LocalExecutor;

/// A running listener.
pub struct TestListener {
    /// Its address.
    pub address: SocketAddr,
    /// Stops it.
    pub trigger: ShutdownTrigger,
    thread: JoinHandle<()>,
}

impl TestListener {
    /// Starts a listener on any port.
    pub fn spawn(limits: Limits, handler: Arc<dyn Handler>) -> Self {
        let (trigger, stop) = ShutdownTrigger::open();
        let (sender, receiver) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            filbertwheel_runtime::block_on(executor.run(async {
                let any = SocketAddr::from(([127, 0, 0, 1], 0));
                let listener = Listener::bind(any, limits, Arc::new(SystemClock), stop).await;
                let listener = listener.expect("a port is free");
                sender.send(listener.address()).expect("the test waits");
                listener.run(Rc::clone(&executor), handler).await;
            }));
        });
        Self {
            address: receiver.recv().expect("the listener is bound"),
            trigger,
            thread,
        }
    }

    /// Stops the listener and waits until it has ended.
    pub fn close(self) {
        self.trigger.trigger();
        self.thread.join().expect("the listener ends");
    }
}
