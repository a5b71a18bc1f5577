//! A proxy between one node and the store, which can turn the node away.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Passes connections on to the store, or closes them.
pub struct Proxy {
    pub address: SocketAddr,
    refuses: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Proxy {
    pub fn start(store: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Arc::new(Self {
            address: listener.local_addr()?,
            refuses: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let accepting = Arc::clone(&proxy);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if !accepting.refuses.load(Ordering::SeqCst) {
                    accepting.pass_on(client, store);
                }
            }
        });
        Ok(proxy)
    }

    /// Turns the node away, or serves it again.
    pub fn set_refuses(&self, refuses: bool) {
        self.refuses.store(refuses, Ordering::SeqCst);
        if refuses {
            for stream in self.open.lock().unwrap().drain(..) {
                let _closed = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn pass_on(&self, client: TcpStream, store: SocketAddr) {
        let Ok(server) = TcpStream::connect(store) else {
            return;
        };
        let copies = (client.try_clone(), server.try_clone());
        let (Ok(other_client), Ok(other_server)) = copies else {
            return;
        };
        let mut open = self.open.lock().unwrap();
        open.extend(
            [&client, &server]
                .into_iter()
                .filter_map(|one| one.try_clone().ok()),
        );
        drop(open);
        thread::spawn(move || copy(client, server));
        thread::spawn(move || copy(other_server, other_client));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut part = [0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut part) {
        if to.write_all(&part[..count]).is_err() {
            break;
        }
    }
    let _closed = to.shutdown(Shutdown::Both);
    let _closed = from.shutdown(Shutdown::Both);
}
