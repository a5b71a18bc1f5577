//! Minimal HTTP/1.1 for the stand-ins and clients of the review.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A complete message. `line` is the start line without its line ending.
#[derive(Debug, Clone)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if it can't be read.
    pub fn status(&self) -> u16 {
        let mut words = self.line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Path and query of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Buffered reader of messages on one connection.
pub struct Reader {
    stream: TcpStream,
    buffered: Vec<u8>,
}

impl Reader {
    pub fn open(stream: TcpStream) -> Self {
        Self {
            stream,
            buffered: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 65_536];
        let count = self.stream.read(&mut chunk)?;
        self.buffered.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a head. `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            let end = self
                .buffered
                .windows(4)
                .position(|part| part == b"\r\n\r\n");
            if let Some(end) = end {
                let head: Vec<u8> = self.buffered.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers =
                    headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
                return Ok(Some(Message {
                    line,
                    headers: headers.collect(),
                    body: Vec::new(),
                }));
            }
            if self.fill()? == 0 {
                return match self.buffered.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads a message whose body has a length.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.buffered.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffered.drain(..length).collect();
        Ok(Some(message))
    }

    /// Returns another handle of the connection.
    pub fn clone_stream(&self) -> io::Result<TcpStream> {
        self.stream.try_clone()
    }

    /// Takes what has been read behind a head.
    pub fn take_buffered(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffered)
    }
}

/// A response of a stand-in; `None` closes the connection without one.
pub type Reply = Option<(u16, Vec<(String, String)>, Vec<u8>)>;

pub fn write_reply(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(String, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

/// Serves a listener, with a thread for each connection.
pub fn serve(listener: TcpListener, handler: Arc<dyn Fn(&Message) -> Reply + Send + Sync>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let _closed = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = Reader::open(stream);
                while let Ok(Some(request)) = reader.message() {
                    let Some((status, headers, body)) = handler(&request) else {
                        return;
                    };
                    if write_reply(&mut writer, status, &headers, &body).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends one request on a connection of its own.
pub fn once(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: rounds.example\r\n{headers}Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let answer = Reader::open(stream).message()?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
