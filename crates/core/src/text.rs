//! Text that is stored as bytes and decoded only when needed.

use std::borrow::Borrow;
use std::fmt::{self, Debug, Display, Formatter};
use std::str::FromStr;

use bytes::Bytes;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Text as received, cheap to clone.
///
/// It is decoded only when displayed or serialized. Ids can therefore be compared and hashed as the
/// bytes received over the network.
#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Text(Bytes);

impl Text {
    /// Creates a text from a literal without copying.
    pub const fn from_static(text: &'static str) -> Self {
        Self(Bytes::from_static(text.as_bytes()))
    }

    /// Returns the bytes as received.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the text, or `None` if the bytes aren't valid UTF-8.
    pub fn as_str(&self) -> Option<&str> {
        std::str::from_utf8(&self.0).ok()
    }

    /// Whether the text has no bytes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Debug for Text {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", String::from_utf8_lossy(&self.0))
    }
}

impl Display for Text {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.pad(&String::from_utf8_lossy(&self.0))
    }
}

impl From<&str> for Text {
    fn from(text: &str) -> Self {
        Self(Bytes::copy_from_slice(text.as_bytes()))
    }
}

impl From<String> for Text {
    fn from(text: String) -> Self {
        Self(Bytes::from(text))
    }
}

impl From<Bytes> for Text {
    fn from(bytes: Bytes) -> Self {
        Self(bytes)
    }
}

impl FromStr for Text {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(text.into())
    }
}

impl Borrow<[u8]> for Text {
    fn borrow(&self) -> &[u8] {
        &self.0
    }
}

impl Serialize for Text {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&String::from_utf8_lossy(&self.0))
    }
}

impl<'de> Deserialize<'de> for Text {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        if text.contains('\0') {
            return Err(D::Error::custom("text must not contain NUL"));
        }
        Ok(text.into())
    }
}
