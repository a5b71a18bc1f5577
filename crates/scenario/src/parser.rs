//! Parser for the scenario language.

use std::time::Duration;

use chumsky::prelude::{IterParser as _, Parser, choice, end};
use derive_more::{Display, Error};
use filbertwheel_core::{Text, value};

use crate::script::{
    Action, BackendState, Bound, CallPlan, LinkState, LoadPlan, Outcome, Part, PlatformState,
    SendPlan, Statement, Step, VmNumber, VmPlan,
};
use crate::words::{Extra, after_colon, limit, name, number, seconds, variable, vm_number, word};

/// Shutdown grace period of a backend server for which the scenario sets none.
const DEFAULT_GRACE: Duration = Duration::from_secs(3);

/// A syntax error in a scenario.
#[value]
#[derive(Display, Error)]
#[display("line {line}, column {column}: {detail}")]
pub struct ParseError {
    /// Line of the error, counted from 1.
    pub line: usize,
    /// Column of the error, counted from 1.
    pub column: usize,
    /// What was found and what was expected.
    pub detail: String,
}

/// Parses a scenario. Skips empty lines and lines that start with `#`.
pub fn parse(text: &str) -> Result<Vec<Step>, ParseError> {
    let mut steps = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim_end();
        if line.trim_start().is_empty() || line.trim_start().starts_with('#') {
            continue;
        }
        let statement = parse_line(line, index + 1)?;
        steps.push(Step {
            line: index + 1,
            statement,
        });
    }
    Ok(steps)
}

fn parse_line(text: &str, line: usize) -> Result<Statement, ParseError> {
    let parsed = statement().then_ignore(end()).parse(text).into_result();
    parsed.map_err(|errors| {
        let error = errors.into_iter().next();
        let (column, detail) = error.map_or((1, "not a statement".to_owned()), |error| {
            let start = error.span().start.min(text.len());
            (text[..start].chars().count() + 1, error.to_string())
        });
        ParseError {
            line,
            column,
            detail,
        }
    })
}

fn statement<'a>() -> impl Parser<'a, &'a str, Statement, Extra<'a>> {
    choice((
        start(),
        restart(),
        signal(),
        wait(),
        operator(),
        race(),
        key(),
        send(),
        load(),
        fault(),
        link(),
        expect(),
    ))
}

fn start<'a>() -> impl Parser<'a, &'a str, Statement, Extra<'a>> {
    let platform = word("platform").to(Statement::StartPlatform);
    word("start").ignore_then(choice((platform, vm_plan().map(Statement::StartVm))))
}

fn vm_plan<'a>() -> impl Parser<'a, &'a str, VmPlan, Extra<'a>> {
    let calls = word("calls").ignore_then(name().repeated().at_least(1).collect::<Vec<_>>());
    vm().then(word("in").ignore_then(name()))
        .then(word("with").ignore_then(name()))
        .then(word("slots").ignore_then(number()))
        .then(word("work").ignore_then(number()))
        .then(word("grace").ignore_then(seconds()).or_not())
        .then(word("cold").ignore_then(seconds()).or_not())
        .then(calls.or_not())
        .map(
            |(((((((vm, domain), service), slots), work), grace), cold), calls)| VmPlan {
                vm,
                domain: domain.into(),
                service: service.into(),
                slots,
                work: Duration::from_micros(work.into()),
                grace: grace.unwrap_or(DEFAULT_GRACE),
                cold: cold.unwrap_or_default(),
                calls: calls
                    .unwrap_or_default()
                    .into_iter()
                    .map(Text::from)
                    .collect(),
            },
        )
}

fn restart<'a>() -> impl Parser<'a, &'a str, Statement, Extra<'a>> {
    word("restart")
        .ignore_then(part())
        .map(|(part, vm)| Statement::Restart(part, vm))
}

fn signal<'a>() -> impl Parser<'a, &'a str, Statement, Extra<'a>> {
    let action = choice((
        word("kill").to(Action::Kill),
        word("freeze").to(Action::Freeze),
        word("thaw").to(Action::Thaw),
        word("drain").to(Action::Drain),
        word("leave").to(Action::Leave),
    ));
    action
        .then(part())
        .map(|(action, (part, vm))| Statement::Signal(action, part, vm))
}

fn wait<'a>() -> impl Parser<'a, &'a str, Statement, Extra<'a>> {
    let limit = || word("up").ignore_then(word("to")).ignore_then(seconds());
    let serving = vms()
        .then_ignore(word("to").then(word("serve")))
        .then(limit())
        .map(|(vms, limit)| Statement::AwaitServing(vms, limit));
    let root = word("root")
        .ignore_then(word("among"))
        .ignore_then(vms())
        .then(limit())
        .map(|(vms, limit)| Statement::AwaitRoot(vms, limit));
    let pause = seconds().map(Statement::Pause);
    word("wait").ignore_then(choice((
        word("for").ignore_then(choice((root, serving))),
        pause,
    )))
}

fn operator<'a>() -> impl Parser<'a, &'a str, Statement, Extra<'a>> {
    word("operator")
        .ignore_then(word("at"))
        .ignore_then(vm())
        .then(word("fails").or_not())
        .then(after_colon())
        .map(|((vm, fails), command)| Statement::Operator {
            vm,
            fails: fails.is_some(),
            command,
        })
}

fn race<'a>() -> impl Parser<'a, &'a str, Statement, Extra<'a>> {
    word("race")
        .ignore_then(number())
        .then_ignore(word("times").then(word("at")))
        .then(vms())
        .then(after_colon())
        .map(|((rounds, vms), command)| Statement::Race {
            rounds,
            vms,
            command,
        })
}

fn key<'a>() -> impl Parser<'a, &'a str, Statement, Extra<'a>> {
    word("key")
        .ignore_then(word("for"))
        .ignore_then(name())
        .then(word("as").ignore_then(variable()))
        .map(|(organisation, name)| Statement::Key {
            organisation: organisation.into(),
            name,
        })
}

fn send<'a>() -> impl Parser<'a, &'a str, Statement, Extra<'a>> {
    word("send")
        .ignore_then(number())
        .then_ignore(choice((word("calls"), word("call"))))
        .then(word("rate").ignore_then(number()).or_not())
        .then(call_plan())
        .then(word("expect").ignore_then(bounds()).or_not())
        .map(|(((count, rate), call), bounds)| {
            Statement::Send(SendPlan {
                count,
                rate,
                call,
                bounds: bounds.unwrap_or_default(),
            })
        })
}

fn load<'a>() -> impl Parser<'a, &'a str, Statement, Extra<'a>> {
    word("load")
        .ignore_then(name())
        .then(word("rate").ignore_then(number()))
        .then(word("for").ignore_then(seconds()))
        .then(call_plan())
        .map(|(((name, rate), length), call)| {
            Statement::Load(LoadPlan {
                name,
                rate,
                length,
                call,
            })
        })
}

fn call_plan<'a>() -> impl Parser<'a, &'a str, CallPlan, Extra<'a>> {
    let request = word("request").ignore_then(name());
    word("to")
        .ignore_then(name())
        .then(word("at").ignore_then(vms()))
        .then(word("as").ignore_then(variable()).or_not())
        .then(word("body").ignore_then(name()).or_not())
        .then(request.or_not())
        .then(word("retrying").ignore_then(number()).or_not())
        .map(
            |(((((path, vms), key), body), request), retries)| CallPlan {
                path,
                vms,
                key,
                body,
                request: request.map(Text::from),
                retries: retries.unwrap_or_default(),
            },
        )
}

fn fault<'a>() -> impl Parser<'a, &'a str, Statement, Extra<'a>> {
    let platform = choice((
        word("up").to(PlatformState::Up),
        word("down")
            .ignore_then(word("after").ignore_then(number()))
            .map(PlatformState::DownAfter),
        word("down").to(PlatformState::Down),
        word("slow")
            .ignore_then(number())
            .map(|millis| PlatformState::Slow(millis.into())),
        word("loses")
            .then(word("answers"))
            .to(PlatformState::LoseAnswers),
    ));
    let backend = choice((
        word("healthy").to(BackendState::Healthy),
        word("slow").ignore_then(number()).map(BackendState::Slow),
        word("reports")
            .then(word("idle"))
            .to(BackendState::ReportsIdle),
        word("crashes")
            .then(word("on"))
            .ignore_then(name())
            .map(BackendState::CrashOn),
        word("silent").to(BackendState::Silent),
        word("cuts")
            .then(word("answers"))
            .to(BackendState::CutAnswers),
    ));
    word("fault").ignore_then(choice((
        word("platform")
            .ignore_then(platform)
            .map(Statement::SetPlatform),
        word("backend")
            .ignore_then(vm_number())
            .then(backend)
            .map(|(vm, state)| Statement::SetBackend(vm, state)),
    )))
}

fn link<'a>() -> impl Parser<'a, &'a str, Statement, Extra<'a>> {
    let state = choice((
        word("cut").to(LinkState::Cut),
        word("whole").to(LinkState::Whole),
        word("slow")
            .ignore_then(number())
            .map(|millis| LinkState::Slow(millis.into())),
    ));
    word("link")
        .ignore_then(vm_number())
        .then(vm_number())
        .then(state)
        .map(|((one, other), state)| Statement::SetLink(one, other, state))
}

fn expect<'a>() -> impl Parser<'a, &'a str, Statement, Extra<'a>> {
    let of_load = word("load")
        .ignore_then(name())
        .then(bounds())
        .map(|(name, bounds)| Statement::ExpectLoad(name, bounds));
    let runs = word("runs")
        .then(word("of"))
        .ignore_then(name())
        .then(limit())
        .map(|(request, limit)| Statement::ExpectRuns(request.into(), limit));
    let invariants = word("no")
        .then(word("broken"))
        .then(word("invariants"))
        .to(Statement::ExpectInvariants);
    let agreement = word("agreement")
        .ignore_then(word("within"))
        .ignore_then(seconds())
        .map(Statement::ExpectAgreement);
    let follows = vm()
        .then_ignore(word("follows").then(word("within")))
        .then(seconds())
        .map(|(vm, within)| Statement::ExpectFollows(vm, within));
    word("expect").ignore_then(choice((
        of_load,
        runs,
        invariants,
        agreement,
        follows,
        shown(),
    )))
}

fn shown<'a>() -> impl Parser<'a, &'a str, Statement, Extra<'a>> {
    let present = choice((word("shows").to(true), word("hides").to(false)));
    vm().then(present)
        .then(name())
        .then(word("within").ignore_then(seconds()))
        .then(after_colon())
        .map(
            |((((vm, present), text), within), command)| Statement::ExpectShow {
                vm,
                text,
                present,
                within,
                command,
            },
        )
}

fn bounds<'a>() -> impl Parser<'a, &'a str, Vec<Bound>, Extra<'a>> {
    let outcome = choice((
        word("whole").to(Outcome::Whole),
        word("error").to(Outcome::Error),
        word("crossed").to(Outcome::Crossed),
        word("not-run").to(Outcome::NotRun),
        word("unknown").to(Outcome::Unknown),
        word("unsent").to(Outcome::Unsent),
        word("cut").to(Outcome::Cut),
    ));
    let reason = word("for").ignore_then(name());
    let bound = outcome
        .then(reason.or_not())
        .then(limit())
        .map(|((outcome, reason), limit)| Bound {
            outcome,
            reason,
            limit,
        });
    bound
        .separated_by(word("and"))
        .at_least(1)
        .collect::<Vec<_>>()
}

fn part<'a>() -> impl Parser<'a, &'a str, (Part, VmNumber), Extra<'a>> {
    let part = choice((
        word("node").to(Part::Node),
        word("backend").to(Part::Backend),
        word("vm").to(Part::Vm),
    ));
    part.then(vm_number())
}

fn vm<'a>() -> impl Parser<'a, &'a str, VmNumber, Extra<'a>> {
    word("vm").ignore_then(vm_number())
}

fn vms<'a>() -> impl Parser<'a, &'a str, Vec<VmNumber>, Extra<'a>> {
    word("vm").ignore_then(vm_number().repeated().at_least(1).collect::<Vec<_>>())
}
