//! Clocks. A trait lets tests pause and advance time.

use std::fmt::Debug;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use async_channel::Sender;

/// Future returned by [`Clock::sleep`].
pub type SleepFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A source of time.
pub trait Clock: Debug + Send + Sync {
    /// Returns the monotonic time, used for timeouts and expiry. It doesn't advance while the VM
    /// is suspended.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, used for display and to order events across restarts.
    fn wall(&self) -> SystemTime;

    /// Completes once `duration` has passed.
    fn sleep(&self, duration: Duration) -> SleepFuture;
}

/// The operating system's clock, with sleeps driven by the runtime's timers.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn sleep(&self, duration: Duration) -> SleepFuture {
        Box::pin(filbertwheel_runtime::sleep(duration))
    }
}

/// A clock that only moves when it is advanced.
#[derive(Debug, Clone)]
pub struct PausedClock(Arc<Mutex<PausedState>>);

#[derive(Debug)]
struct PausedState {
    start: Instant,
    elapsed: Duration,
    sleepers: Vec<(Duration, Sender<()>)>,
}

impl PausedClock {
    /// Creates a clock paused at the current time.
    pub fn new() -> Self {
        Self(Arc::new(Mutex::new(PausedState {
            start: Instant::now(),
            elapsed: Duration::ZERO,
            sleepers: Vec::new(),
        })))
    }

    /// Advances the clock and completes all sleeps that are due.
    pub fn advance(&self, duration: Duration) {
        let mut paused = self.lock();
        paused.elapsed += duration;
        let elapsed = paused.elapsed;
        paused.sleepers.retain(|(due, wake)| {
            let pending = *due > elapsed;
            if !pending {
                wake.close();
            }
            pending
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PausedState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for PausedClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for PausedClock {
    fn now(&self) -> Instant {
        let paused = self.lock();
        paused.start + paused.elapsed
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.lock().elapsed
    }

    fn sleep(&self, duration: Duration) -> SleepFuture {
        let (wake, woken) = async_channel::bounded::<()>(1);
        if duration.is_zero() {
            wake.close();
        } else {
            let mut paused = self.lock();
            let due = paused.elapsed + duration;
            paused.sleepers.push((due, wake));
        }
        Box::pin(async move {
            let _closed = woken.recv().await;
        })
    }
}
