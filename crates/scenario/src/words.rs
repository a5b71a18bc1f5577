//! Parsers for the keywords, names and numbers of the scenario language.

use std::time::Duration;

use chumsky::error::Rich;
use chumsky::prelude::{Parser, any, choice, extra, just};

use crate::script::{Limit, VmNumber};

/// The error type of the language's parsers.
pub(crate) type Extra<'a> = extra::Err<Rich<'a, char>>;

/// Parses a colon and returns the rest of the line without surrounding white space.
pub(crate) fn after_colon<'a>() -> impl Parser<'a, &'a str, String, Extra<'a>> {
    just(':')
        .padded()
        .ignore_then(any().repeated().at_least(1).to_slice())
        .map(|text: &str| text.trim().to_owned())
}

/// Parses a name after a dollar sign.
pub(crate) fn variable<'a>() -> impl Parser<'a, &'a str, String, Extra<'a>> {
    just('$').ignore_then(name()).labelled("a name after $")
}

/// Parses the given keyword, followed by white space, a colon or the end of the line.
pub(crate) fn word<'a>(word: &'static str) -> impl Parser<'a, &'a str, &'a str, Extra<'a>> + Clone {
    any()
        .filter(|c: &char| is_name(*c))
        .repeated()
        .at_least(1)
        .to_slice()
        .try_map(move |found: &str, span| {
            if found == word {
                Ok(found)
            } else {
                let detail = format!("unexpected word {found}");
                Err(Rich::custom(span, detail))
            }
        })
        .labelled(word)
        .padded()
}

/// Parses a name: one or more characters other than white space and colons.
pub(crate) fn name<'a>() -> impl Parser<'a, &'a str, String, Extra<'a>> + Clone {
    any()
        .filter(|c: &char| is_name(*c))
        .repeated()
        .at_least(1)
        .to_slice()
        .padded()
        .map(str::to_owned)
        .labelled("a name")
}

fn is_name(character: char) -> bool {
    !character.is_whitespace() && character != ':'
}

/// Parses an unsigned decimal number.
pub(crate) fn number<'a>() -> impl Parser<'a, &'a str, u32, Extra<'a>> + Clone {
    any()
        .filter(char::is_ascii_digit)
        .repeated()
        .at_least(1)
        .to_slice()
        .padded()
        .try_map(|digits: &str, span| {
            digits
                .parse()
                .map_err(|_| Rich::custom(span, "the number is too large"))
        })
        .labelled("a number")
}

/// Parses the number of a VM.
pub(crate) fn vm_number<'a>() -> impl Parser<'a, &'a str, VmNumber, Extra<'a>> + Clone {
    number().try_map(|number, span| {
        number
            .try_into()
            .map_err(|_| Rich::custom(span, "the number is too large"))
    })
}

/// Parses a duration in whole seconds.
pub(crate) fn seconds<'a>() -> impl Parser<'a, &'a str, Duration, Extra<'a>> + Clone {
    number().map(|seconds| Duration::from_secs(seconds.into()))
}

/// Parses a limit on a count.
pub(crate) fn limit<'a>() -> impl Parser<'a, &'a str, Limit, Extra<'a>> {
    let least = || word("at").then(word("least"));
    choice((
        least()
            .ignore_then(number())
            .then_ignore(word("percent"))
            .map(Limit::AtLeastPercent),
        least().ignore_then(number()).map(Limit::AtLeast),
        word("at")
            .then(word("most"))
            .ignore_then(number())
            .map(Limit::AtMost),
        number().map(Limit::Exactly),
    ))
}
