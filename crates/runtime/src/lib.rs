//! Sockets and timers for smol's executor, with one reactor per thread.
//!
//! smol's own reactor is shared by all threads and has an extra thread that wakes a hundred times
//! a second and takes the reactor from the thread whose sockets are ready. Here each thread waits
//! for its own sockets and timers with one system call, and only they or a waker wake it.

mod net;
mod reactor;
mod signals;
mod timer;

pub use net::{TcpListener, TcpStream};
pub use reactor::block_on;
pub use signals::{Signal, Signals};
pub use timer::{Sleep, sleep};
