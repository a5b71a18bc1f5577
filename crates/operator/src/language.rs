//! Parser of the operators' command language.
//!
//! The grammar is documented in docs/LANGUAGE.md.

use std::time::Duration;

use chumsky::error::Rich;
use chumsky::prelude::{IterParser as _, Parser, choice, end, extra};
use chumsky::primitive::select;
use filbertwheel_core::{
    Criticality, Edit, KeyHash, OrganisationId, Rate, Route, Text, sha256_hex,
};

use crate::token::{Token, tokenize};
use crate::{Command, Filter, ParseError, Query, Sort, View};

type Extra<'a> = extra::Err<Rich<'a, Token>>;

/// Number of hexadecimal digits in a key's SHA-256 hash.
const HASH_DIGITS: usize = 64;

/// A parsed line.
#[derive(Debug, Clone, PartialEq)]
pub enum Statement {
    /// A command that is sent to a node unchanged.
    Command(Command),
    /// A query that is repeated until the operator stops it.
    Watch {
        /// The query.
        query: Query,
        /// Delay between a reply and the next query.
        interval: Duration,
    },
    /// Adds a new API key, which the client generates.
    NewKey {
        /// Organisation of the key.
        organisation: OrganisationId,
    },
}

/// Parses one line of the command language.
pub fn parse(line: &str) -> Result<Statement, ParseError> {
    let tokens = tokenize(line)?;
    let outcome = statement().parse(&tokens).into_result();
    outcome.map_err(|errors| ParseError::from_parser(line, &tokens, errors.first()))
}

fn statement<'a>() -> impl Parser<'a, &'a [Token], Statement, Extra<'a>> {
    let lift = word("lift")
        .ignore_then(word("quarantine"))
        .ignore_then(name())
        .map(|service| Command::LiftQuarantine { service });
    let rehearse = word("rehearse")
        .ignore_then(change())
        .map(|command| Command::Rehearse(Box::new(command)));
    let command = choice((change(), lift, rehearse)).map(Statement::Command);
    choice((command, add(), show())).then_ignore(end())
}

/// Parses the commands that `rehearse` accepts.
fn change<'a>() -> impl Parser<'a, &'a [Token], Command, Extra<'a>> + Clone {
    let drain = word("drain")
        .ignore_then(word("vm"))
        .ignore_then(name())
        .map(|vm| Command::Drain { vm });
    let edit = choice((set(), withdraw(), remove())).map(Command::Edit);
    choice((edit, drain))
}

fn set<'a>() -> impl Parser<'a, &'a [Token], Edit, Extra<'a>> + Clone {
    word("set").ignore_then(choice((set_organisation(), set_route())))
}

fn set_organisation<'a>() -> impl Parser<'a, &'a [Token], Edit, Extra<'a>> + Clone {
    word("organisation")
        .ignore_then(name())
        .then(word("rate").ignore_then(positive_number()))
        .then(word("burst").ignore_then(positive_number()))
        .map(|((name, rate), burst)| Edit::SetOrganisation {
            name,
            limit: Rate { rate, burst },
        })
}

fn set_route<'a>() -> impl Parser<'a, &'a [Token], Edit, Extra<'a>> + Clone {
    word("route")
        .ignore_then(name())
        .then(word("service").ignore_then(name()))
        .then(word("method").ignore_then(name()).or_not())
        .then(word("prefix").ignore_then(name()).or_not())
        .then(criticality().or_not())
        .then(word("non-idempotent").or_not())
        .then(word("open").or_not())
        .map(
            |((((((name, service), method), prefix), criticality), non_idempotent), open)| {
                let route = Route {
                    service,
                    method,
                    prefix: prefix.unwrap_or(Text::from_static("/")),
                    criticality: criticality.unwrap_or_default(),
                    idempotent: non_idempotent.is_none(),
                    open: open.is_some(),
                };
                Edit::SetRoute { name, route }
            },
        )
}

fn criticality<'a>() -> impl Parser<'a, &'a [Token], Criticality, Extra<'a>> + Clone {
    choice((
        word("critical").to(Criticality::Critical),
        word("normal").to(Criticality::Normal),
        word("sheddable").to(Criticality::Sheddable),
    ))
}

fn add<'a>() -> impl Parser<'a, &'a [Token], Statement, Extra<'a>> {
    word("add")
        .ignore_then(word("key"))
        .ignore_then(word("to"))
        .ignore_then(name())
        .map(|organisation| Statement::NewKey { organisation })
}

fn withdraw<'a>() -> impl Parser<'a, &'a [Token], Edit, Extra<'a>> + Clone {
    let key = name().map(|key| Edit::WithdrawKey {
        hash: key_hash(&key),
    });
    word("withdraw").ignore_then(word("key")).ignore_then(key)
}

/// Returns the hash of a key. A key that already looks like a hash is returned unchanged.
fn key_hash(key: &Text) -> KeyHash {
    let bytes = key.as_bytes();
    let is_hash = bytes.len() == HASH_DIGITS && bytes.iter().all(u8::is_ascii_hexdigit);
    if is_hash {
        key.clone()
    } else {
        sha256_hex(bytes)
    }
}

fn remove<'a>() -> impl Parser<'a, &'a [Token], Edit, Extra<'a>> + Clone {
    let organisation = word("organisation")
        .ignore_then(name())
        .map(|name| Edit::RemoveOrganisation { name });
    let route = word("route")
        .ignore_then(name())
        .map(|name| Edit::RemoveRoute { name });
    word("remove").ignore_then(choice((organisation, route)))
}

fn show<'a>() -> impl Parser<'a, &'a [Token], Statement, Extra<'a>> {
    let views: Vec<_> = View::ALL.into_iter().map(query).collect();
    let watch = word("watch").ignore_then(positive_number()).or_not();
    word("show")
        .ignore_then(choice(views))
        .then(watch)
        .map(|(query, watch)| match watch {
            Some(seconds) => Statement::Watch {
                query,
                interval: Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX),
            },
            None => Statement::Command(Command::Show(query)),
        })
}

fn query<'a>(view: View) -> impl Parser<'a, &'a [Token], Query, Extra<'a>> + Clone {
    let column = || choice(view.columns().iter().copied().map(word).collect::<Vec<_>>());
    let filter = column()
        .then_ignore(word("="))
        .then(name())
        .map(|(column, value)| Filter {
            column: column.into(),
            value,
        });
    let filters = word("where")
        .ignore_then(filter.separated_by(word("and")).at_least(1).collect())
        .or_not();
    let sort = word("order")
        .ignore_then(word("by"))
        .ignore_then(column())
        .then(word("descending").or_not())
        .map(|(column, descending)| Sort {
            column: column.into(),
            descending: descending.is_some(),
        });
    word(view.name())
        .ignore_then(filters)
        .then(sort.or_not())
        .then(word("limit").ignore_then(whole_number()).or_not())
        .map(move |((filters, sort), limit)| Query {
            view,
            filters: filters.unwrap_or_default(),
            sort,
            limit,
        })
}

/// Parses a keyword.
fn word<'a>(word: &'static str) -> impl Parser<'a, &'a [Token], &'static str, Extra<'a>> + Clone {
    select(move |token: Token, _| (!token.quoted && token.text == word).then_some(word))
        .labelled(word)
}

/// Parses a name. A name with white space, quotes or an equals sign must be quoted.
fn name<'a>() -> impl Parser<'a, &'a [Token], Text, Extra<'a>> + Clone {
    select(|token: Token, _| is_name(&token).then(|| Text::from(token.text))).labelled("a name")
}

fn is_name(token: &Token) -> bool {
    if token.quoted {
        !token.text.is_empty()
    } else {
        token.text != "="
    }
}

/// Parses a finite decimal number above 0.
fn positive_number<'a>() -> impl Parser<'a, &'a [Token], f64, Extra<'a>> + Clone {
    select(|token: Token, _| parse_positive(&token)).labelled("a number above 0")
}

fn parse_positive(token: &Token) -> Option<f64> {
    let is_number = |c: char| c.is_ascii_digit() || c == '.';
    if token.quoted || !token.text.chars().all(is_number) {
        return None;
    }
    let number: f64 = token.text.parse().ok()?;
    (number.is_finite() && number > 0.0).then_some(number)
}

/// Parses a non-negative integer.
fn whole_number<'a>() -> impl Parser<'a, &'a [Token], usize, Extra<'a>> + Clone {
    select(|token: Token, _| {
        if token.quoted {
            None
        } else {
            token.text.parse().ok()
        }
    })
    .labelled("a whole number")
}
