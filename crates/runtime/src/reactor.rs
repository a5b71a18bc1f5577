//! The reactor of a thread, which waits for its sockets, timers and wakers.

use std::collections::BTreeMap;
use std::io::{self, Read as _, Write as _};
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

use mio::event::Source;
use mio::net::UnixStream;
use mio::{Events, Interest, Registry, Token};
use slab::Slab;

/// Maximum number of events fetched by one poll.
const EVENT_CAPACITY: usize = 256;
/// Timers are rounded up to multiples of this, so that close ones expire in one wake-up.
const TIMER_TICK: Duration = Duration::from_millis(4);
/// Token for events that interrupt the wait from other threads.
const WAKE_TOKEN: Token = Token(usize::MAX);

thread_local! {
    static CURRENT: Arc<Reactor> = Arc::new(Reactor::open().expect("the system has an event queue"));
}

/// The reactor of one thread.
#[derive(Debug)]
pub(crate) struct Reactor {
    registry: Registry,
    poll: Mutex<mio::Poll>,
    wake_sender: UnixStream,
    wake_receiver: Mutex<UnixStream>,
    sources: Mutex<Slab<Arc<Readiness>>>,
    timers: Mutex<Timers>,
    started_at: Instant,
    /// Whether the thread must poll its future again.
    woken: AtomicBool,
    /// Whether the thread is waiting for events or is about to.
    waiting: AtomicBool,
}

/// Readiness of a socket, and the tasks waiting for it.
#[derive(Debug)]
pub(crate) struct Readiness {
    state: Mutex<ReadinessState>,
}

#[derive(Debug, Default)]
struct ReadinessState {
    readable: bool,
    writable: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

#[derive(Debug, Default)]
struct Timers {
    next: u64,
    due: BTreeMap<(Instant, u64), Waker>,
}

/// Direction of I/O to wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Direction {
    Read,
    Write,
}

/// Runs a future to completion on the current thread and drives the thread's sockets and timers.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let reactor = Reactor::current();
    let waker = Waker::from(Arc::clone(&reactor));
    let mut context = Context::from_waker(&waker);
    let mut future = pin!(future);
    let mut events = Events::with_capacity(EVENT_CAPACITY);
    loop {
        reactor.woken.store(false, Ordering::SeqCst);
        if let Poll::Ready(value) = future.as_mut().poll(&mut context) {
            return value;
        }
        reactor.poll_events(&mut events);
    }
}

impl Reactor {
    fn open() -> io::Result<Self> {
        let poll = mio::Poll::new()?;
        let registry = poll.registry().try_clone()?;
        let (wake_sender, mut wake_receiver) = UnixStream::pair()?;
        registry.register(&mut wake_receiver, WAKE_TOKEN, Interest::READABLE)?;
        Ok(Self {
            wake_sender,
            wake_receiver: Mutex::new(wake_receiver),
            registry,
            poll: Mutex::new(poll),
            sources: Mutex::default(),
            timers: Mutex::default(),
            started_at: Instant::now(),
            woken: AtomicBool::new(false),
            waiting: AtomicBool::new(false),
        })
    }

    /// Returns the reactor of the current thread.
    pub fn current() -> Arc<Self> {
        CURRENT.with(Arc::clone)
    }

    /// Registers a socket. Fails with the system's error.
    pub fn add(&self, source: &mut impl Source) -> io::Result<(usize, Arc<Readiness>)> {
        let readiness = Arc::new(Readiness::assumed_ready());
        let key = lock(&self.sources).insert(Arc::clone(&readiness));
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = self.registry.register(source, Token(key), interest) {
            lock(&self.sources).remove(key);
            return Err(error);
        }
        Ok((key, readiness))
    }

    /// Removes a socket that is about to be closed. Closing it removes it from the event queue.
    pub fn remove(&self, key: usize) {
        lock(&self.sources).try_remove(key);
    }

    /// Adds a timer that wakes `waker` once `due` has passed. Returns the key of the timer, which
    /// consists of the rounded time and a number.
    pub fn add_timer(&self, due: Instant, waker: &Waker) -> (Instant, u64) {
        let since = due.saturating_duration_since(self.started_at);
        let ticks = since.as_nanos().div_ceil(TIMER_TICK.as_nanos());
        let rounded = TIMER_TICK.saturating_mul(u32::try_from(ticks).unwrap_or(u32::MAX));
        let due = self.started_at + rounded;
        let mut timers = lock(&self.timers);
        timers.next += 1;
        let id = timers.next;
        timers.due.insert((due, id), waker.clone());
        drop(timers);
        self.notify_new_timer();
        (due, id)
    }

    /// Removes a timer.
    pub fn remove_timer(&self, timer: (Instant, u64)) {
        lock(&self.timers).due.remove(&timer);
    }

    /// Interrupts the thread if it is already waiting, because another thread may have added a
    /// timer that expires before the wait would end.
    fn notify_new_timer(&self) {
        if self.waiting.load(Ordering::SeqCst) {
            self.interrupt();
        }
    }

    fn interrupt(&self) {
        if self.waiting.swap(false, Ordering::SeqCst)
            && let Err(error) = (&self.wake_sender).write(&[0])
            && error.kind() != io::ErrorKind::WouldBlock
        {
            tracing::error!("runtime: Failed to wake a thread: {error}.");
        }
    }

    /// Waits for the next events and wakes the tasks waiting for them.
    fn poll_events(&self, events: &mut Events) {
        self.waiting.store(true, Ordering::SeqCst);
        let timeout = if self.woken.load(Ordering::SeqCst) {
            Some(Duration::ZERO)
        } else {
            self.next_timer()
        };
        let polled = lock(&self.poll).poll(events, timeout);
        self.waiting.store(false, Ordering::SeqCst);
        if let Err(error) = polled
            && error.kind() != io::ErrorKind::Interrupted
        {
            tracing::error!("runtime: Waiting for events failed: {error}.");
        }
        for event in events.iter() {
            if event.token() == WAKE_TOKEN {
                self.clear_wakes();
                continue;
            }
            let readiness = lock(&self.sources).get(event.token().0).cloned();
            if let Some(readiness) = readiness {
                let closed = event.is_error() || event.is_read_closed();
                readiness.set(event.is_readable() || closed, event.is_writable() || closed);
            }
        }
        self.fire_timers();
    }

    fn clear_wakes(&self) {
        let mut bytes = [0; 64];
        let mut wake_receiver = lock(&self.wake_receiver);
        while matches!(wake_receiver.read(&mut bytes), Ok(1..)) {}
    }

    fn next_timer(&self) -> Option<Duration> {
        let timers = lock(&self.timers);
        let ((due, _), _) = timers.due.first_key_value()?;
        Some(due.saturating_duration_since(Instant::now()))
    }

    fn fire_timers(&self) {
        let mut timers = lock(&self.timers);
        if timers.due.is_empty() {
            return;
        }
        let later = timers.due.split_off(&(Instant::now(), u64::MAX));
        let due = std::mem::replace(&mut timers.due, later);
        drop(timers);
        due.into_values().for_each(Waker::wake);
    }
}

impl Wake for Reactor {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.woken.swap(true, Ordering::SeqCst) {
            self.interrupt();
        }
    }
}

impl Readiness {
    /// Returns the state of a new socket, which is assumed ready until an operation would block.
    fn assumed_ready() -> Self {
        let state = ReadinessState {
            readable: true,
            writable: true,
            ..ReadinessState::default()
        };
        Self {
            state: Mutex::new(state),
        }
    }

    fn set(&self, readable: bool, writable: bool) {
        let mut state = lock(&self.state);
        state.readable |= readable;
        state.writable |= writable;
        let reader = readable.then(|| state.reader.take()).flatten();
        let writer = writable.then(|| state.writer.take()).flatten();
        drop(state);
        for waker in [reader, writer].into_iter().flatten() {
            waker.wake();
        }
    }

    /// Performs a non-blocking operation once the socket is ready, and retries it after later
    /// events as long as it would block.
    pub fn poll<T>(
        &self,
        dir: Direction,
        cx: &mut Context<'_>,
        mut op: impl FnMut() -> io::Result<T>,
    ) -> Poll<io::Result<T>> {
        loop {
            if !self.take_ready(dir, cx) {
                return Poll::Pending;
            }
            match op() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => self.set_ready(dir),
                done => {
                    // The socket may still be ready, for example with more bytes to read.
                    self.set_ready(dir);
                    return Poll::Ready(done);
                }
            }
        }
    }

    /// Clears the ready flag and returns it. If it wasn't set, registers the task to be woken once
    /// the socket is ready.
    fn take_ready(&self, dir: Direction, cx: &Context<'_>) -> bool {
        let mut state = lock(&self.state);
        let state = &mut *state;
        let (ready, waker) = match dir {
            Direction::Read => (&mut state.readable, &mut state.reader),
            Direction::Write => (&mut state.writable, &mut state.writer),
        };
        if std::mem::take(ready) {
            return true;
        }
        match waker {
            Some(current) if current.will_wake(cx.waker()) => {}
            other => *other = Some(cx.waker().clone()),
        }
        false
    }

    fn set_ready(&self, dir: Direction) {
        let mut state = lock(&self.state);
        match dir {
            Direction::Read => state.readable = true,
            Direction::Write => state.writable = true,
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
