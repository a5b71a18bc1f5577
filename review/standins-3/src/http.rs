//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const SockaddrIn, length: u32) -> i32;
    fn close(fd: i32) -> i32;
}

#[repr(C)]
struct SockaddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

/// Opens a connection whose receive buffer has the given size, as that of a client on a slow line.
pub fn connect_with_buffer(to: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(to) = to else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let address = SockaddrIn {
        family: 2,
        port: to.port().to_be(),
        address: u32::from_ne_bytes(to.ip().octets()),
        zero: [0; 8],
    };
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let set = setsockopt(fd, 1, 8, &bytes, 4);
        if set < 0 || connect(fd, &address, std::mem::size_of::<SockaddrIn>() as u32) < 0 {
            let error = io::Error::last_os_error();
            close(fd);
            return Err(error);
        }
        Ok(TcpStream::from_raw_fd(fd))
    }
}

/// Head of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.get("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    /// Path of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Wire {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Wire {
    pub fn open(stream: TcpStream) -> Self {
        let _set = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a head. `None` at the end of the connection before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.ahead.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Some(Head {
                    line,
                    headers: headers.collect(),
                }));
            }
            let mut part = [0; 8192];
            match self.stream.read(&mut part)? {
                0 if self.ahead.is_empty() => return Ok(None),
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                count => self.ahead.extend_from_slice(&part[..count]),
            }
        }
    }

    /// Reads a body of text. `None` if it doesn't arrive whole.
    pub fn text(&mut self, length: usize) -> Option<String> {
        while self.ahead.len() < length {
            let mut part = [0; 8192];
            match self.stream.read(&mut part) {
                Ok(count @ 1..) => self.ahead.extend_from_slice(&part[..count]),
                _ => return None,
            }
        }
        let body: Vec<u8> = self.ahead.drain(..length).collect();
        String::from_utf8(body).ok()
    }

    /// Reads a body of `length` bytes at `bytes_per_s` (as fast as possible if `None`). Returns the
    /// bytes that arrived.
    pub fn body(&mut self, length: usize, bytes_per_s: Option<usize>) -> usize {
        const STEP: usize = 32 * 1024;
        let began = Instant::now();
        let mut got = self.ahead.len().min(length);
        self.ahead.drain(..got);
        let mut part = vec![0; STEP];
        while got < length {
            let want = STEP.min(length - got);
            match self.stream.read(&mut part[..want]) {
                Ok(0) | Err(_) => break,
                Ok(count) => got += count,
            }
            if let Some(rate) = bytes_per_s {
                let due = Duration::from_secs_f64(got as f64 / rate as f64);
                std::thread::sleep(due.saturating_sub(began.elapsed()));
            }
        }
        got
    }
}
