//! Attribute macros that expand to common sets of derives.
//!
//! Each set is named after the purpose of the type, so that all types of one kind implement the
//! same traits.

use proc_macro::TokenStream;

/// Derives for plain values: `Debug`, `Clone` and equality.
#[proc_macro_attribute]
pub fn value(_: TokenStream, item: TokenStream) -> TokenStream {
    prepend_attributes("#[derive(Debug, Clone, PartialEq, Eq)]", item)
}

/// Derives for small values that are copied, ordered and used as keys in maps.
#[proc_macro_attribute]
pub fn copy_value(_: TokenStream, item: TokenStream) -> TokenStream {
    prepend_attributes(
        "#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]",
        item,
    )
}

/// Derives for messages between processes: `Debug`, `Clone`, `PartialEq` and serialization. Unknown
/// fields are rejected.
#[proc_macro_attribute]
pub fn message(_: TokenStream, item: TokenStream) -> TokenStream {
    prepend_attributes(
        "#[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)] \
         #[serde(deny_unknown_fields)]",
        item,
    )
}

/// Derives for settings loaded from TOML. Unknown keys are rejected.
#[proc_macro_attribute]
pub fn settings(_: TokenStream, item: TokenStream) -> TokenStream {
    prepend_attributes(
        "#[derive(Debug, Clone, ::serde::Deserialize)] #[serde(deny_unknown_fields)]",
        item,
    )
}

fn prepend_attributes(attributes: &str, item: TokenStream) -> TokenStream {
    let mut tokens: TokenStream = attributes.parse().expect("attributes are valid tokens");
    tokens.extend(item);
    tokens
}
