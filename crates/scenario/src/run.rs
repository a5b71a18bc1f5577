//! Runs the statements of a scenario in order.

use std::collections::BTreeMap;
use std::fs;
use std::rc::Rc;
use std::sync::Arc;
use std::time::SystemTime;

use filbertwheel_core::{Clock, RequestId, SystemClock};
use futures_lite::FutureExt as _;
use smol::{LocalExecutor, Task};

use crate::caller::{Caller, Tally};
use crate::error::{Failure, StepError};
use crate::fleet::Fleet;
use crate::operator::{CommandOutput, run_command};
use crate::parser::parse;
use crate::ports::{Port, Ports};
use crate::process::Paths;
use crate::script::{BackendState, Bound, CallPlan, LoadPlan, SendPlan, Statement, Step, VmNumber};
use crate::vm::{Environment, Relays};

/// Text that the client prints when a concurrent change causes a command to be refused.
const CONFLICT_TEXT: &str = "another change came first";
/// Placeholder for a unique number in the command of a race.
const RACE_PLACEHOLDER: &str = "{n}";

/// Runs the scenario in `text` and calls `report` with a line after every completed statement.
/// Stops early without an error if `interrupted` completes first. In either case, kills every
/// process that it started.
pub fn run(
    text: &str,
    paths: Paths,
    report: impl Fn(&str),
    interrupted: impl Future<Output = ()>,
) -> Result<(), Failure> {
    let before = |source| Failure { line: 0, source };
    let steps = parse(text).map_err(|error| Failure {
        line: error.line,
        source: error.into(),
    })?;
    fs::create_dir_all(&paths.work_dir).map_err(|error| before(error.into()))?;
    let environment = Environment {
        paths,
        ports: Rc::new(Ports::open().map_err(before)?),
        clock: Arc::new(SystemClock),
        executor: Rc::new(LocalExecutor::new()),
        node_pids: Rc::default(),
    };
    let executor = Rc::clone(&environment.executor);
    let relays = required_relays(&steps);
    let mut runner = Runner::new(Fleet::new(environment, relays));
    filbertwheel_runtime::block_on(executor.run(async {
        let completed = runner.run_steps(&steps, &report);
        let interruption = async {
            interrupted.await;
            Ok(())
        };
        let outcome = completed.or(interruption).await;
        runner.close().await;
        outcome
    }))
}

/// Returns which relays the statements of a scenario need.
fn required_relays(steps: &[Step]) -> Relays {
    let mut relays = Relays::default();
    for step in steps {
        match step.statement {
            Statement::SetLink(..) => relays.peers = true,
            Statement::SetBackend(_, BackendState::Silent | BackendState::CutAnswers) => {
                relays.backends = true;
            }
            _ => {}
        }
    }
    relays
}

/// The state of a running scenario.
#[derive(Debug)]
struct Runner {
    fleet: Fleet,
    keys: BTreeMap<String, String>,
    loads: BTreeMap<String, Task<Tally>>,
    tallies: BTreeMap<String, Tally>,
    /// When each request with an id was first sent.
    first_sent: BTreeMap<RequestId, SystemTime>,
    race_counter: u32,
}

impl Runner {
    fn new(fleet: Fleet) -> Self {
        Self {
            fleet,
            keys: BTreeMap::new(),
            loads: BTreeMap::new(),
            tallies: BTreeMap::new(),
            first_sent: BTreeMap::new(),
            race_counter: 0,
        }
    }

    async fn run_steps(&mut self, steps: &[Step], report: &impl Fn(&str)) -> Result<(), Failure> {
        let clock = Arc::clone(&self.fleet.environment.clock);
        let start = clock.now();
        for step in steps {
            let done = self.run_step(&step.statement).await;
            let line = step.line;
            let observed = done.map_err(|source| Failure { line, source })?;
            let seconds = clock.now().saturating_duration_since(start).as_secs_f64();
            report(&format!("{seconds:7.2} s  line {line}: {observed}"));
        }
        let last = |source| Failure { line: 0, source };
        self.fleet.check_logs().map_err(last)?;
        self.fleet.check_invariants().await.map_err(last)
    }

    async fn close(self) {
        for load in self.loads.into_values() {
            load.cancel().await;
        }
        self.fleet.close().await;
    }

    /// Runs one statement. Returns a description of the result for the report.
    async fn run_step(&mut self, statement: &Statement) -> Result<String, StepError> {
        let fleet = &mut self.fleet;
        match statement {
            Statement::StartPlatform => fleet.start_platform()?,
            Statement::StartVm(plan) => fleet.start_vm(plan.clone()).await?,
            Statement::Restart(part, vm) => fleet.vm_mut(*vm)?.start(*part).await?,
            Statement::Signal(action, part, vm) => fleet.vm_mut(*vm)?.apply(*action, *part).await?,
            Statement::AwaitServing(vms, limit) => fleet.await_serving(vms, *limit).await?,
            Statement::AwaitRoot(vms, limit) => fleet.await_root(vms, *limit).await?,
            Statement::ExpectFollows(vm, within) => fleet.await_following(*vm, *within).await?,
            Statement::Pause(duration) => fleet.environment.clock.sleep(*duration).await,
            Statement::SetPlatform(state) => fleet.set_platform(*state).await?,
            Statement::SetBackend(vm, state) => fleet.set_backend(*vm, state.clone()).await?,
            Statement::SetLink(one, two, state) => fleet.set_link(*one, *two, *state)?,
            Statement::ExpectInvariants => fleet.check_invariants().await?,
            Statement::ExpectAgreement(within) => fleet.await_agreement(*within).await?,
            Statement::ExpectShow {
                vm,
                text,
                present,
                within,
                command,
            } => {
                let awaited = fleet.await_show(*vm, text, *present, *within, command);
                awaited.await?;
            }
            Statement::ExpectRuns(request, limit) => {
                let count = fleet.check_runs(request, *limit).await?;
                return Ok(format!("ran {count} times"));
            }
            Statement::Operator { vm, fails, command } => {
                return self.run_operator_command(*vm, *fails, command).await;
            }
            Statement::Race {
                rounds,
                vms,
                command,
            } => return self.race(*rounds, vms, command).await,
            Statement::Key { organisation, name } => {
                return self.add_key(&organisation.to_string(), name).await;
            }
            Statement::Send(plan) => return self.send(plan).await,
            Statement::Load(plan) => return self.load(plan),
            Statement::ExpectLoad(name, bounds) => return self.await_load(name, bounds).await,
        }
        Ok("done".to_owned())
    }

    async fn run_operator_command(
        &mut self,
        vm: VmNumber,
        fails: bool,
        command: &str,
    ) -> Result<String, StepError> {
        let reply = self
            .run_command_at(vm, &self.substitute_keys(command)?)
            .await?;
        if reply.success == fails {
            return Err(StepError::UnexpectedCommandResult { output: reply.text });
        }
        Ok(reply.text.trim().replace('\n', " | "))
    }

    /// Runs a command at all `vms` concurrently, `rounds` times. Each run must either succeed or
    /// fail with a conflict.
    async fn race(
        &mut self,
        rounds: u32,
        vms: &[VmNumber],
        command: &str,
    ) -> Result<String, StepError> {
        let (mut accepted, mut conflicts) = (0, 0);
        for _ in 0..rounds {
            let mut racing = Vec::new();
            for vm in vms {
                self.race_counter += 1;
                let command = command.replace(RACE_PLACEHOLDER, &self.race_counter.to_string());
                let paths = self.fleet.environment.paths.clone();
                let address = self.fleet.environment.ports.address(*vm, Port::Operator)?;
                racing.push(
                    self.fleet
                        .environment
                        .executor
                        .spawn(async move { run_command(&paths, address, &command).await }),
                );
            }
            for task in racing {
                let reply = task.await?;
                if reply.success {
                    accepted += 1;
                } else if reply.text.contains(CONFLICT_TEXT) {
                    conflicts += 1;
                } else {
                    return Err(StepError::UnexpectedCommandResult { output: reply.text });
                }
            }
        }
        Ok(format!("{accepted} accepted, {conflicts} conflicts"))
    }

    async fn add_key(&mut self, organisation: &str, name: &str) -> Result<String, StepError> {
        let first = self.fleet.vms().find(|vm| vm.has_node());
        let vm = first.ok_or(StepError::NotRunning)?.plan.vm;
        let reply = self
            .run_command_at(vm, &format!("add key to {organisation}"))
            .await?;
        match reply.created_key().filter(|_| reply.success) {
            Some(key) => self.keys.insert(name.to_owned(), key),
            None => return Err(StepError::UnexpectedCommandResult { output: reply.text }),
        };
        Ok("done".to_owned())
    }

    async fn send(&mut self, plan: &SendPlan) -> Result<String, StepError> {
        let caller = self.caller(&plan.call)?;
        let executor = Rc::clone(&self.fleet.environment.executor);
        let tally = caller.send(plan.count, plan.rate, executor).await;
        check_bounds(&tally, &plan.bounds)
    }

    fn load(&mut self, plan: &LoadPlan) -> Result<String, StepError> {
        let caller = self.caller(&plan.call)?;
        let executor = Rc::clone(&self.fleet.environment.executor);
        let count = plan.rate * plan.length.as_secs() as u32;
        let sending = caller.send(count, Some(plan.rate), Rc::clone(&executor));
        self.loads
            .insert(plan.name.clone(), executor.spawn(sending));
        Ok(format!("{count} calls started in the background"))
    }

    async fn await_load(&mut self, name: &str, bounds: &[Bound]) -> Result<String, StepError> {
        if let Some(load) = self.loads.remove(name) {
            self.tallies.insert(name.to_owned(), load.await);
        }
        let tally = self.tallies.get(name);
        check_bounds(
            tally.ok_or(StepError::UndefinedName(name.to_owned()))?,
            bounds,
        )
    }

    fn caller(&mut self, plan: &CallPlan) -> Result<Rc<Caller>, StepError> {
        let now = self.fleet.environment.clock.wall();
        let first_sent = match &plan.request {
            Some(id) => *self.first_sent.entry(id.clone()).or_insert(now),
            None => now,
        };
        let pools = plan.vms.iter().map(|vm| self.fleet.caller_pool(*vm));
        let key = plan.key.as_ref().map(|name| {
            let key = self.keys.get(name).cloned();
            key.ok_or(StepError::UndefinedName(name.clone()))
        });
        Ok(Rc::new(Caller {
            pools: pools.collect::<Result<_, _>>()?,
            path: plan.path.clone(),
            key: key.transpose()?,
            body: plan.body.clone(),
            request: plan.request.clone(),
            first_sent,
            retries: plan.retries,
            clock: Arc::clone(&self.fleet.environment.clock) as Arc<dyn Clock>,
        }))
    }

    async fn run_command_at(
        &self,
        vm: VmNumber,
        command: &str,
    ) -> Result<CommandOutput, StepError> {
        let address = self.fleet.environment.ports.address(vm, Port::Operator)?;
        run_command(&self.fleet.environment.paths, address, command).await
    }

    /// Replaces each `$name` in a command with the key of that name.
    fn substitute_keys(&self, command: &str) -> Result<String, StepError> {
        let words = command.split_whitespace().map(|word| {
            let Some(name) = word.strip_prefix('$') else {
                return Ok(word);
            };
            let key = self.keys.get(name).map(String::as_str);
            key.ok_or(StepError::UndefinedName(name.to_owned()))
        });
        Ok(words.collect::<Result<Vec<_>, _>>()?.join(" "))
    }
}

fn check_bounds(tally: &Tally, bounds: &[Bound]) -> Result<String, StepError> {
    match tally.first_violated(bounds) {
        None => Ok(tally.to_string()),
        Some(bound) => Err(StepError::UnexpectedOutcomes {
            expected: format!("{:?} {:?}", bound.outcome, bound.limit),
            observed: tally.to_string(),
        }),
    }
}
