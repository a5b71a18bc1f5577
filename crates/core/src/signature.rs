//! Hashing of keys and signing of messages between processes of the fleet.

use std::fmt::{self, Debug, Formatter, Write};
use std::time::{Duration, SystemTime};

use derive_more::{Display, Error};
use filbertwheel_macros::value;
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

use crate::{KeyHash, Text};

/// Maximum difference between a signature's time and the verifier's clock, in either direction.
const MAX_SIGNATURE_AGE: Duration = Duration::from_secs(30);

/// Returns the SHA-256 hash of a key in lower-case hex. Keys are stored only in this form.
pub fn sha256_hex(key: &[u8]) -> KeyHash {
    hex(&Sha256::digest(key)).into()
}

/// A secret shared by the processes of one fleet. It is never sent over the network.
#[derive(Clone)]
pub struct FleetSecret(Text);

/// Signature of a message, made with a shared secret.
#[value]
#[derive(Display)]
#[display("{at_ms}.{nonce:016x}.{mac}")]
pub struct Signature {
    /// Wall-clock time of signing in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Random number that makes each signature unique.
    pub nonce: u64,
    /// HMAC-SHA-256 of time, nonce and message in hex.
    pub mac: String,
}

/// Why a signature is rejected.
#[value]
#[derive(Display, Error)]
pub enum SignatureError {
    /// The signature can't be parsed.
    #[display("the proof is malformed")]
    Malformed,
    /// The signature is too old, or its time is in the future.
    #[display("the proof is out of date")]
    OutOfDate,
    /// The signature was made with another secret or for another message.
    #[display("the proof does not match")]
    Mismatch,
}

impl FleetSecret {
    /// Creates a secret from its text in the settings.
    pub fn new(secret: Text) -> Self {
        Self(secret)
    }

    /// Signs the parts of a message.
    pub fn sign(&self, now: SystemTime, parts: &[&[u8]]) -> Signature {
        let at_ms = millis(now);
        let nonce = rand::random();
        let mac = hex(&self.mac(at_ms, nonce, parts).finalize().into_bytes());
        Signature { at_ms, nonce, mac }
    }

    /// Verifies the signature of the parts of a message.
    pub fn verify(
        &self,
        signature: &[u8],
        now: SystemTime,
        parts: &[&[u8]],
    ) -> Result<(), SignatureError> {
        let signature = Signature::parse(signature).ok_or(SignatureError::Malformed)?;
        if millis(now).abs_diff(signature.at_ms) > MAX_SIGNATURE_AGE.as_millis() as u64 {
            return Err(SignatureError::OutOfDate);
        }
        let mac = unhex(&signature.mac).ok_or(SignatureError::Malformed)?;
        self.mac(signature.at_ms, signature.nonce, parts)
            .verify_slice(&mac)
            .map_err(|_| SignatureError::Mismatch)
    }

    fn mac(&self, at_ms: u64, nonce: u64, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.0.as_bytes())
            .expect("HMAC accepts keys of any length");
        mac.update(&at_ms.to_be_bytes());
        mac.update(&nonce.to_be_bytes());
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

impl Debug for FleetSecret {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret(..)")
    }
}

impl Signature {
    fn parse(bytes: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut parts = text.splitn(3, '.');
        let at_ms = parts.next()?.parse().ok()?;
        let nonce = u64::from_str_radix(parts.next()?, 16).ok()?;
        let mac = parts.next()?.to_owned();
        Some(Self { at_ms, nonce, mac })
    }
}

fn millis(time: SystemTime) -> u64 {
    time.duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

fn hex(bytes: &[u8]) -> String {
    bytes
        .iter()
        .fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
            write!(text, "{byte:02x}").expect("writing to a string succeeds");
            text
        })
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
        .collect()
}
