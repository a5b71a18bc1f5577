//! The operators' command language.

use chumsky::error::Rich;
use chumsky::prelude::{Parser, any, choice, end, extra, just};
use derive_more::{Display, Error};
use filbertwheel_core::{
    Criticality, Edit, KeyHash, OrganisationId, Rate, Route, Text, hash_key, value,
};

use crate::{Command, Query};

type Extra<'a> = extra::Err<Rich<'a, char>>;

/// Hexadecimal digits of a key's hash.
const HASH_DIGITS: usize = 64;

/// What an operator wrote.
#[derive(Debug, Clone, PartialEq)]
pub enum Statement {
    /// A command as nodes take it.
    Command(Command),
    /// A new key, which the operator's side makes up.
    NewKey {
        /// The organisation that it's for.
        organisation: OrganisationId,
    },
}

/// A mistake in a command.
#[value]
#[derive(Display, Error)]
#[display("column {column}: {detail}")]
pub struct Mistake {
    /// Column of the mistake, counted from 1.
    pub column: usize,
    /// What was found and what was expected.
    pub detail: String,
}

/// Parses one command.
pub fn parse(line: &str) -> Result<Statement, Mistake> {
    statement().parse(line).into_result().map_err(|errors| {
        let error = errors.into_iter().next();
        let (column, detail) = error.map_or((1, "not a command".to_owned()), |error| {
            let column = line[..error.span().start.min(line.len())].chars().count() + 1;
            (column, error.to_string())
        });
        Mistake { column, detail }
    })
}

fn statement<'a>() -> impl Parser<'a, &'a str, Statement, Extra<'a>> {
    let command = choice((set(), withdraw(), remove(), show())).map(Statement::Command);
    choice((command, add())).padded().then_ignore(end())
}

fn set<'a>() -> impl Parser<'a, &'a str, Command, Extra<'a>> {
    word("set").ignore_then(choice((set_organisation(), set_route())))
}

fn set_organisation<'a>() -> impl Parser<'a, &'a str, Command, Extra<'a>> {
    word("organisation")
        .ignore_then(name())
        .then(word("rate").ignore_then(number()))
        .then(word("burst").ignore_then(number()))
        .map(|((name, rate), burst)| {
            Command::Edit(Edit::SetOrganisation {
                name,
                limit: Rate { rate, burst },
            })
        })
}

fn set_route<'a>() -> impl Parser<'a, &'a str, Command, Extra<'a>> {
    let criticality = choice((
        word("critical").to(Criticality::Critical),
        word("sheddable").to(Criticality::Sheddable),
        word("normal").to(Criticality::Normal),
    ));
    word("route")
        .ignore_then(name())
        .then(word("service").ignore_then(name()))
        .then(word("method").ignore_then(name()).or_not())
        .then(word("prefix").ignore_then(name()).or_not())
        .then(criticality.or_not())
        .then(word("non-idempotent").or_not())
        .then(word("open").or_not())
        .map(
            |((((((name, service), method), prefix), criticality), once), open)| {
                let prefix = prefix.unwrap_or(Text::from_static("/"));
                let criticality = criticality.unwrap_or_default();
                let (idempotent, open) = (once.is_none(), open.is_some());
                let route = Route {
                    service,
                    method,
                    prefix,
                    criticality,
                    idempotent,
                    open,
                };
                Command::Edit(Edit::SetRoute { name, route })
            },
        )
}

fn add<'a>() -> impl Parser<'a, &'a str, Statement, Extra<'a>> {
    word("add")
        .ignore_then(word("key"))
        .ignore_then(word("to"))
        .ignore_then(name())
        .map(|organisation| Statement::NewKey { organisation })
}

fn withdraw<'a>() -> impl Parser<'a, &'a str, Command, Extra<'a>> {
    word("withdraw")
        .ignore_then(word("key"))
        .ignore_then(name())
        .map(|key| {
            Command::Edit(Edit::WithdrawKey {
                hash: hash_of(&key),
            })
        })
}

/// The hash of a key, which may be given by its hash already.
fn hash_of(key: &Text) -> KeyHash {
    let bytes = key.as_bytes();
    let is_hash = bytes.len() == HASH_DIGITS && bytes.iter().all(u8::is_ascii_hexdigit);
    if is_hash {
        key.clone()
    } else {
        hash_key(bytes)
    }
}

fn remove<'a>() -> impl Parser<'a, &'a str, Command, Extra<'a>> {
    let organisation = word("organisation")
        .ignore_then(name())
        .map(|name| Command::Edit(Edit::RemoveOrganisation { name }));
    let route = word("route")
        .ignore_then(name())
        .map(|name| Command::Edit(Edit::RemoveRoute { name }));
    word("remove").ignore_then(choice((organisation, route)))
}

fn show<'a>() -> impl Parser<'a, &'a str, Command, Extra<'a>> {
    let query = choice((
        word("organisations").to(Query::Organisations),
        word("keys").to(Query::Keys),
        word("routes").to(Query::Routes),
        word("members").to(Query::Members),
        word("status").to(Query::Status),
    ));
    word("show").ignore_then(query).map(Command::Show)
}

/// A word of the language, followed by white space or the end.
fn word<'a>(word: &'static str) -> impl Parser<'a, &'a str, &'a str, Extra<'a>> + Clone {
    just(word)
        .then_ignore(any().filter(|c: &char| !c.is_whitespace()).not())
        .padded()
        .labelled(word)
}

/// A name: anything without white space.
fn name<'a>() -> impl Parser<'a, &'a str, Text, Extra<'a>> + Clone {
    any()
        .filter(|c: &char| !c.is_whitespace())
        .repeated()
        .at_least(1)
        .to_slice()
        .padded()
        .map(Text::from)
        .labelled("a name")
}

fn number<'a>() -> impl Parser<'a, &'a str, f64, Extra<'a>> + Clone {
    any()
        .filter(|c: &char| c.is_ascii_digit() || *c == '.')
        .repeated()
        .at_least(1)
        .to_slice()
        .padded()
        .try_map(|digits: &str, span| {
            digits
                .parse()
                .map_err(|_| Rich::custom(span, "a number was expected"))
        })
        .labelled("a number")
}
