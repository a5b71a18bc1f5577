//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request or a response. `start` is its first line, without the line break.
#[derive(Debug, Clone)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn new(start: impl Into<String>, body: impl Into<Vec<u8>>) -> Self {
        Self {
            start: start.into(),
            headers: Vec::new(),
            body: body.into(),
        }
    }

    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Returns the first value of a header. The case of its name doesn't matter.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(one, _)| one.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the path with its query, of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads the start line and the headers of a message. Returns `None` if the connection ended before its
/// first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message::new(line.trim_end().to_owned(), Vec::new());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        message
            .headers
            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(Some(message))
}

/// Bytes that are read at once at a limited rate.
const STEP: usize = 100_000;

/// Reads a message. Returns `None` if the connection ended before its first byte.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    read_at(reader, f64::INFINITY)
}

/// Reads a message whose body is read at `rate` bytes per second at the most.
fn read_at(reader: &mut BufReader<TcpStream>, rate: f64) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message.header("transfer-encoding").is_some() {
        // Neither the project's programs nor these stand-ins send chunks.
        return Err(io::ErrorKind::Unsupported.into());
    }
    let length = message.header("content-length").unwrap_or("0");
    let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
    message.body = vec![0; length];
    for part in message.body.chunks_mut(STEP) {
        reader.read_exact(part)?;
        std::thread::sleep(Duration::from_secs_f64(part.len() as f64 / rate));
    }
    Ok(Some(message))
}

/// Writes a message with its length.
pub fn write(stream: &mut TcpStream, message: &Message) -> io::Result<()> {
    let mut bytes = format!("{}\r\n", message.start).into_bytes();
    for (name, value) in &message.headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", message.body.len()).as_bytes());
    bytes.extend_from_slice(&message.body);
    stream.write_all(&bytes)
}

/// Sends one request on a new connection and returns its response.
pub fn call(address: SocketAddr, request: &Message, timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    write(&mut stream, request)?;
    read(&mut BufReader::new(stream))?.ok_or(io::ErrorKind::UnexpectedEof.into())
}

/// Serves connections until the process ends, each on a thread of its own. `None` as an answer closes
/// the connection. Bodies are read at `rate` bytes per second at the most.
pub fn serve(
    listener: TcpListener,
    rate: f64,
    answer: impl Fn(Message) -> Option<Message> + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            std::thread::spawn(move || {
                // An error means that the peer has closed the connection.
                let _closed = serve_connection(stream, rate, answer.as_ref());
            });
        }
    });
}

fn serve_connection(
    mut stream: TcpStream,
    rate: f64,
    answer: &dyn Fn(Message) -> Option<Message>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_at(&mut reader, rate)? {
        match answer(request) {
            Some(response) => write(&mut stream, &response)?,
            None => break,
        }
    }
    Ok(())
}
