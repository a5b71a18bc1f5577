//! Sleep futures.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use crate::reactor::Reactor;

/// Future returned by [`sleep`]. It completes up to a few milliseconds late, but never early.
#[derive(Debug)]
pub struct Sleep {
    due: Option<Instant>,
    timer: Option<(Arc<Reactor>, (Instant, u64))>,
}

/// Completes once `duration` has passed.
pub fn sleep(duration: Duration) -> Sleep {
    Sleep {
        due: Instant::now().checked_add(duration),
        timer: None,
    }
}

impl Sleep {
    fn cancel(&mut self) {
        if let Some((reactor, timer)) = self.timer.take() {
            reactor.remove_timer(timer);
        }
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let Some(due) = self.due else {
            return Poll::Pending;
        };
        if Instant::now() >= due {
            self.cancel();
            return Poll::Ready(());
        }
        self.cancel();
        let reactor = Reactor::current();
        let timer = reactor.add_timer(due, cx.waker());
        self.timer = Some((reactor, timer));
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        self.cancel();
    }
}
