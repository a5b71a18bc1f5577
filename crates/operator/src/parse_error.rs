//! Syntax errors in commands, as they are shown to operators.

use std::collections::BTreeSet;

use chumsky::error::{Rich, RichPattern, RichReason};
use derive_more::{Display, Error};
use filbertwheel_core::value;

use crate::token::Token;

/// A syntax error in a command.
#[value]
#[derive(Display, Error)]
#[display("column {column}: {detail}")]
pub struct ParseError {
    /// Column of the error in characters, counted from 1.
    pub column: usize,
    /// Found and expected tokens.
    pub detail: String,
}

impl ParseError {
    /// Converts a parser error over the `tokens` of `line`.
    pub(crate) fn from_parser(
        line: &str,
        tokens: &[Token],
        error: Option<&Rich<'_, Token>>,
    ) -> Self {
        let index = error.map_or(0, |error| error.span().start);
        let found = tokens.get(index);
        let column = found.map_or(line.trim_end().chars().count() + 1, |token| token.column);
        let found = found.map_or("the end of the command".to_owned(), display_token);
        let expected = error.map(expected_list).unwrap_or_default();
        Self {
            column,
            detail: format!("found {found}, expected {expected}"),
        }
    }
}

fn expected_list(error: &Rich<'_, Token>) -> String {
    let RichReason::ExpectedFound { expected, .. } = error.reason() else {
        return "something else".to_owned();
    };
    let names: BTreeSet<String> = expected.iter().map(pattern_name).collect();
    let names: Vec<String> = names.into_iter().collect();
    match names.as_slice() {
        [] => "something else".to_owned(),
        [one] => one.clone(),
        [first @ .., last] => format!("{} or {last}", first.join(", ")),
    }
}

fn pattern_name(pattern: &RichPattern<'_, Token>) -> String {
    match pattern {
        RichPattern::Label(label) => label.to_string(),
        RichPattern::EndOfInput => "the end of the command".to_owned(),
        _ => "something else".to_owned(),
    }
}

fn display_token(token: &Token) -> String {
    if token.quoted {
        format!("\"{}\"", token.text)
    } else {
        token.text.clone()
    }
}
