//! A VM: a backend server, the node beside it, and the relays in front of them.

use std::fs;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use filbertwheel_core::Clock;
use rustix::process::Signal;
use smol::LocalExecutor;

use crate::StepError;
use crate::ports::{Port, Ports};
use crate::process::{Paths, Process};
use crate::relay::{NodePids, Relay};
use crate::script::{Action, Part, VmPlan};

/// Fleet secret in scenarios.
const FLEET_SECRET: &str = "the-secret-of-a-scenario";
/// Operator secret in scenarios.
pub(crate) const OPERATOR_SECRET: &str = "the-operators-of-a-scenario";

/// Resources that all VMs of a scenario share.
#[derive(Debug, Clone)]
pub(crate) struct Environment {
    pub paths: Paths,
    pub ports: Rc<Ports>,
    pub clock: Arc<dyn Clock>,
    pub executor: Rc<LocalExecutor<'static>>,
    pub node_pids: NodePids,
}

/// A VM of the scenario.
#[derive(Debug)]
pub(crate) struct Vm {
    pub plan: VmPlan,
    environment: Environment,
    node: Option<Process>,
    backend: Option<Process>,
    pub peer_relay: Option<Relay>,
    pub backend_relay: Option<Relay>,
    relays: Relays,
}

/// Which connections pass through relays.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Relays {
    /// Connections between nodes.
    pub peers: bool,
    /// Connections from nodes to their backend servers.
    pub backends: bool,
}

impl Vm {
    /// Starts both processes of a VM and the relays in front of them.
    pub async fn spawn(
        plan: VmPlan,
        environment: Environment,
        relays: Relays,
    ) -> Result<Self, StepError> {
        let mut vm = Self {
            plan,
            environment,
            node: None,
            backend: None,
            peer_relay: None,
            backend_relay: None,
            relays,
        };
        vm.start(Part::Vm).await?;
        Ok(vm)
    }

    /// Returns the address of one of the VM's ports.
    pub fn address(&self, port: Port) -> Result<SocketAddr, StepError> {
        self.environment.ports.address(self.plan.vm, port)
    }

    /// Returns whether the node has been started and not stopped by the scenario.
    pub fn has_node(&self) -> bool {
        self.node.is_some()
    }

    /// Returns whether the backend server has been started and not stopped by the scenario.
    pub fn has_backend(&self) -> bool {
        self.backend.is_some()
    }

    /// Returns whether the node has exited without being stopped by the scenario.
    pub fn node_ended(&mut self) -> bool {
        self.node.as_mut().is_some_and(Process::has_ended)
    }

    /// Starts a part of the VM.
    pub async fn start(&mut self, part: Part) -> Result<(), StepError> {
        if part != Part::Backend {
            self.start_node().await?;
        }
        if part != Part::Node {
            self.start_backend().await?;
        }
        Ok(())
    }

    /// Applies an action to a part of the VM.
    pub async fn apply(&mut self, action: Action, part: Part) -> Result<(), StepError> {
        match action {
            Action::Freeze => self.signal(part, Signal::STOP),
            Action::Thaw => self.signal(part, Signal::CONT),
            Action::Leave => self.signal(part, Signal::TERM),
            Action::Kill => {
                self.kill(part).await;
                Ok(())
            }
            Action::Drain => {
                self.signal(part, Signal::TERM)?;
                self.await_stop(part).await
            }
        }
    }

    /// Kills both processes.
    pub async fn close(mut self) {
        self.kill(Part::Vm).await;
    }

    async fn start_node(&mut self) -> Result<(), StepError> {
        let name = format!("vm{}", self.plan.vm);
        let settings = self.environment.paths.work_file(&format!("{name}.toml"));
        fs::write(&settings, self.settings()?)?;
        let arguments = ["--settings".to_owned(), settings.display().to_string()];
        let paths = &self.environment.paths;
        let program = paths.program("filbertwheel-node");
        let node = Process::spawn(
            &program,
            &arguments,
            &paths.work_file(&format!("{name}.log")),
        )?;
        self.environment
            .node_pids
            .borrow_mut()
            .insert(self.plan.vm, node.id());
        self.node = Some(node);
        if self.relays.peers {
            let node_pids = Some(Rc::clone(&self.environment.node_pids));
            self.peer_relay = Some(self.relay(Port::PeerRelay, Port::Peer, node_pids).await?);
        }
        Ok(())
    }

    async fn start_backend(&mut self) -> Result<(), StepError> {
        let paths = &self.environment.paths;
        let log = paths.work_file(&format!("backend{}.log", self.plan.vm));
        let program = paths.program("filbertwheel-standin");
        self.backend = Some(Process::spawn(&program, &self.backend_arguments()?, &log)?);
        if self.relays.backends {
            self.backend_relay = Some(self.relay(Port::BackendRelay, Port::Backend, None).await?);
        }
        Ok(())
    }

    async fn relay(
        &self,
        listen: Port,
        target: Port,
        node_pids: Option<NodePids>,
    ) -> Result<Relay, StepError> {
        let environment = &self.environment;
        Relay::bind(
            self.address(listen)?,
            self.address(target)?,
            node_pids,
            Arc::clone(&environment.clock),
            Rc::clone(&environment.executor),
        )
        .await
    }

    fn settings(&self) -> Result<String, StepError> {
        let platform = self.environment.ports.platform();
        let advertise = if self.relays.peers {
            format!("advertise = \"{}\"\n", self.address(Port::PeerRelay)?)
        } else {
            String::new()
        };
        Ok(format!(
            "vm = \"vm{}\"\nregion = \"lahore\"\ndomain = \"{}\"\n\n[listen]\nfront = \"{}\"\n\
             local = \"{}\"\npeer = \"{}\"\noperator = \"{}\"\n{advertise}\n[platform]\n\
             table = \"{platform}\"\nobjects = \"{platform}\"\n\n[secrets]\n\
             fleet = \"{FLEET_SECRET}\"\noperator = \"{OPERATOR_SECRET}\"\n",
            self.plan.vm,
            self.plan.domain,
            self.address(Port::Front)?,
            self.address(Port::Local)?,
            self.address(Port::Peer)?,
            self.address(Port::Operator)?,
        ))
    }

    fn backend_arguments(&self) -> Result<Vec<String>, StepError> {
        let plan = &self.plan;
        let mut arguments = vec!["backend".to_owned()];
        let mut add = |name: &str, value: String| arguments.extend([format!("--{name}"), value]);
        add("listen", self.address(Port::Backend)?.to_string());
        add("node", self.address(Port::Local)?.to_string());
        add("service", plan.service.to_string());
        add("slots", plan.slots.to_string());
        add("work-us", plan.work.as_micros().to_string());
        add("grace-ms", plan.grace.as_millis().to_string());
        add("cold-ms", plan.cold.as_millis().to_string());
        if self.relays.backends {
            add("advertise", self.address(Port::BackendRelay)?.to_string());
        }
        for service in &plan.calls {
            add("calls", service.to_string());
        }
        Ok(arguments)
    }

    fn signal(&self, part: Part, signal: Signal) -> Result<(), StepError> {
        if part != Part::Node {
            let backend = self.backend.as_ref().ok_or(StepError::NotRunning)?;
            backend.signal(signal)?;
        }
        if part != Part::Backend {
            let node = self.node.as_ref().ok_or(StepError::NotRunning)?;
            node.signal(signal)?;
        }
        Ok(())
    }

    async fn await_stop(&mut self, part: Part) -> Result<(), StepError> {
        let vm = self.plan.vm;
        if part != Part::Backend
            && let Some(mut node) = self.take_node().await
            && !node.wait_for_exit().await
        {
            return Err(StepError::StopFailed {
                vm,
                part: Part::Node,
            });
        }
        if part != Part::Node
            && let Some(mut backend) = self.take_backend().await
            && !backend.wait_for_exit().await
        {
            return Err(StepError::StopFailed {
                vm,
                part: Part::Backend,
            });
        }
        Ok(())
    }

    async fn kill(&mut self, part: Part) {
        if part != Part::Backend
            && let Some(node) = self.take_node().await
        {
            node.kill().await;
        }
        if part != Part::Node
            && let Some(backend) = self.take_backend().await
        {
            backend.kill().await;
        }
    }

    async fn take_node(&mut self) -> Option<Process> {
        if let Some(relay) = self.peer_relay.take() {
            relay.close().await;
        }
        self.environment
            .node_pids
            .borrow_mut()
            .remove(&self.plan.vm);
        self.node.take()
    }

    async fn take_backend(&mut self) -> Option<Process> {
        if let Some(relay) = self.backend_relay.take() {
            relay.close().await;
        }
        self.backend.take()
    }
}
