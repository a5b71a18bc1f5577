//! Attribute macros that expand to the common sets of derives.
//!
//! Each set has a name that says what the type is for, so that types of one kind never differ
//! in what they can do.

use proc_macro::TokenStream;

/// Derives for plain values: debugged, cloned, compared.
#[proc_macro_attribute]
pub fn value(_: TokenStream, item: TokenStream) -> TokenStream {
    prepend_attributes("#[derive(Debug, Clone, PartialEq, Eq)]", item)
}

/// Derives for small values that are copied, ordered and used as map keys.
#[proc_macro_attribute]
pub fn copy_value(_: TokenStream, item: TokenStream) -> TokenStream {
    prepend_attributes(
        "#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]",
        item,
    )
}

/// Derives for values that cross a process border: debugged, cloned, compared, encoded.
#[proc_macro_attribute]
pub fn message(_: TokenStream, item: TokenStream) -> TokenStream {
    prepend_attributes(
        "#[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)] \
         #[serde(deny_unknown_fields)]",
        item,
    )
}

/// Derives for settings read from TOML: unknown keys are refused.
#[proc_macro_attribute]
pub fn settings(_: TokenStream, item: TokenStream) -> TokenStream {
    prepend_attributes(
        "#[derive(Debug, Clone, ::serde::Deserialize)] #[serde(deny_unknown_fields)]",
        item,
    )
}

fn prepend_attributes(attributes: &str, item: TokenStream) -> TokenStream {
    let mut tokens: TokenStream = attributes
        .parse()
        .expect("the derive sets are valid tokens");
    tokens.extend(item);
    tokens
}
