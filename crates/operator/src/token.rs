//! Lexer of the command language.

use chumsky::error::Rich;
use chumsky::prelude::{IterParser as _, Parser, SimpleSpan, any, choice, end, extra, just};
use filbertwheel_core::value;

use crate::ParseError;

type Extra<'a> = extra::Err<Rich<'a, char>>;

/// A word, a quoted name or an equals sign.
#[value]
pub(crate) struct Token {
    /// Text, without quotes and escapes.
    pub text: String,
    /// Whether the text was quoted; a quoted token is never a keyword.
    pub quoted: bool,
    /// Column of the first character, counted from 1.
    pub column: usize,
}

/// Splits a line into tokens.
pub(crate) fn tokenize(line: &str) -> Result<Vec<Token>, ParseError> {
    let outcome = lexer().parse(line).into_result();
    let found = outcome.map_err(|errors| ParseError {
        column: errors
            .first()
            .map_or(1, |error| column_of(line, error.span().start)),
        detail: "unterminated quoted name; expected \"".to_owned(),
    })?;
    let token = |(text, quoted, start)| Token {
        text,
        quoted,
        column: column_of(line, start),
    };
    Ok(found.into_iter().map(token).collect())
}

/// Returns the column of a byte offset.
fn column_of(line: &str, offset: usize) -> usize {
    line.char_indices()
        .take_while(|(at, _)| *at < offset)
        .count()
        + 1
}

fn lexer<'a>() -> impl Parser<'a, &'a str, Vec<(String, bool, usize)>, Extra<'a>> {
    let escaped = just('\\').ignore_then(any());
    let character = escaped.or(any().filter(|c: &char| *c != '"' && *c != '\\'));
    let quoted = character
        .repeated()
        .collect::<String>()
        .delimited_by(just('"'), just('"'))
        .map(|text| (text, true));
    let equals = just('=').map(|equals: char| (equals.to_string(), false));
    let unquoted = any()
        .filter(|c: &char| !c.is_whitespace() && *c != '"' && *c != '=')
        .repeated()
        .at_least(1)
        .collect::<String>()
        .map(|text| (text, false));
    choice((quoted, equals, unquoted))
        .map_with(|(text, quoted), extra| {
            let span: SimpleSpan = extra.span();
            (text, quoted, span.start)
        })
        .padded()
        .repeated()
        .collect()
        .then_ignore(end())
}
