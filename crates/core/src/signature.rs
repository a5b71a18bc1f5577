//! Hashes of keys, and the proof that a message comes from a node of the fleet.

use std::fmt::{self, Debug, Formatter, Write};
use std::time::{Duration, SystemTime};

use derive_more::{Display, Error};
use filbertwheel_macros::value;
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

use crate::{KeyHash, Text};

/// Age at which a proof is no longer taken.
const MAX_SIGNATURE_AGE: Duration = Duration::from_secs(30);

/// The hash under which a key is kept.
pub fn sha256_hex(key: &[u8]) -> KeyHash {
    hex(&Sha256::digest(key)).into()
}

/// A secret shared by the processes of one fleet. It's never sent.
#[derive(Clone)]
pub struct FleetSecret(Text);

/// Proof that the sender of a message knows a secret.
#[value]
#[derive(Display)]
#[display("{at_ms}.{nonce:016x}.{mac}")]
pub struct Signature {
    /// Calendar time of the proof in milliseconds.
    pub at_ms: u64,
    /// Makes each proof different.
    pub nonce: u64,
    /// HMAC-SHA-256 of time, nonce and message, in hex.
    pub mac: String,
}

/// Why a proof isn't taken.
#[value]
#[derive(Display, Error)]
pub enum SignatureError {
    /// The proof can't be read.
    #[display("the proof is malformed")]
    Malformed,
    /// The proof is too old or from the future.
    #[display("the proof is out of date")]
    OutOfDate,
    /// The proof was made with another secret or for another message.
    #[display("the proof does not match")]
    Mismatch,
}

impl FleetSecret {
    /// Takes over the secret from the settings.
    pub fn new(secret: Text) -> Self {
        Self(secret)
    }

    /// Proves the parts of a message.
    pub fn sign(&self, now: SystemTime, parts: &[&[u8]]) -> Signature {
        let at_ms = millis(now);
        let nonce = rand::random();
        let mac = hex(&self.mac(at_ms, nonce, parts).finalize().into_bytes());
        Signature { at_ms, nonce, mac }
    }

    /// Checks the proof of the parts of a message.
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
            .expect("HMAC takes secrets of every length");
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
