//! A VM: a backend server, the node beside it, and the relays before them.

use std::fs;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use filbertwheel_core::Clock;
use rustix::process::Signal;
use smol::LocalExecutor;

use crate::RunError;
use crate::ports::{Door, Ports};
use crate::process::{Places, Process};
use crate::relay::{NodeIds, Relay};
use crate::script::{Action, Part, VmPlan};

/// Secret of the fleet in scenarios.
const FLEET_SECRET: &str = "the-secret-of-a-scenario";
/// Secret of the operators in scenarios.
pub(crate) const OPERATOR_SECRET: &str = "the-operators-of-a-scenario";

/// What all VMs share.
#[derive(Debug, Clone)]
pub(crate) struct Site {
    pub places: Places,
    pub ports: Rc<Ports>,
    pub clock: Arc<dyn Clock>,
    pub executor: Rc<LocalExecutor<'static>>,
    pub nodes: NodeIds,
}

/// A VM of the scenario.
#[derive(Debug)]
pub(crate) struct Vm {
    pub plan: VmPlan,
    site: Site,
    node: Option<Process>,
    backend: Option<Process>,
    pub peer_relay: Option<Relay>,
    pub backend_relay: Option<Relay>,
    relays: Relays,
}

/// Where connections pass through relays.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Relays {
    /// Between nodes.
    pub peers: bool,
    /// Between nodes and their backend servers.
    pub backends: bool,
}

impl Vm {
    /// Starts both parts of a VM, behind relays if connections are to be disturbed.
    pub async fn spawn(plan: VmPlan, site: Site, relays: Relays) -> Result<Self, RunError> {
        let mut vm = Self {
            plan,
            site,
            node: None,
            backend: None,
            peer_relay: None,
            backend_relay: None,
            relays,
        };
        vm.start(Part::Vm).await?;
        Ok(vm)
    }

    /// Address of one of its doors.
    pub fn door(&self, door: Door) -> Result<SocketAddr, RunError> {
        self.site.ports.door(self.plan.vm, door)
    }

    /// Whether the node runs.
    pub fn has_node(&self) -> bool {
        self.node.is_some()
    }

    /// Whether the backend server runs.
    pub fn has_backend(&self) -> bool {
        self.backend.is_some()
    }

    /// Whether the node has ended by itself.
    pub fn node_ended(&mut self) -> bool {
        self.node.as_mut().is_some_and(Process::has_ended)
    }

    /// Starts a part that doesn't run.
    pub async fn start(&mut self, part: Part) -> Result<(), RunError> {
        if part != Part::Backend {
            self.start_node().await?;
        }
        if part != Part::Node {
            self.start_backend().await?;
        }
        Ok(())
    }

    /// Does something to a part.
    pub async fn act(&mut self, action: Action, part: Part) -> Result<(), RunError> {
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
                self.stopped(part).await
            }
        }
    }

    /// Ends everything at once.
    pub async fn close(mut self) {
        self.kill(Part::Vm).await;
    }

    async fn start_node(&mut self) -> Result<(), RunError> {
        let name = format!("vm{}", self.plan.vm);
        let settings = self.site.places.file(&format!("{name}.toml"));
        fs::write(&settings, self.settings()?)?;
        let arguments = ["--settings".to_owned(), settings.display().to_string()];
        let places = &self.site.places;
        let program = places.program("filbertwheel-node");
        let node = Process::spawn(&program, &arguments, &places.file(&format!("{name}.log")))?;
        self.site.nodes.borrow_mut().insert(self.plan.vm, node.id());
        self.node = Some(node);
        if self.relays.peers {
            let nodes = Some(Rc::clone(&self.site.nodes));
            self.peer_relay = Some(self.relay(Door::PeerRelay, Door::Peer, nodes).await?);
        }
        Ok(())
    }

    async fn start_backend(&mut self) -> Result<(), RunError> {
        let places = &self.site.places;
        let log = places.file(&format!("backend{}.log", self.plan.vm));
        let program = places.program("filbertwheel-standin");
        self.backend = Some(Process::spawn(&program, &self.backend_arguments()?, &log)?);
        if self.relays.backends {
            self.backend_relay = Some(self.relay(Door::BackendRelay, Door::Backend, None).await?);
        }
        Ok(())
    }

    async fn relay(
        &self,
        listen: Door,
        target: Door,
        nodes: Option<NodeIds>,
    ) -> Result<Relay, RunError> {
        let site = &self.site;
        Relay::bind(
            self.door(listen)?,
            self.door(target)?,
            nodes,
            Arc::clone(&site.clock),
            Rc::clone(&site.executor),
        )
        .await
    }

    fn settings(&self) -> Result<String, RunError> {
        let platform = self.site.ports.platform();
        let advertise = if self.relays.peers {
            format!("advertise = \"{}\"\n", self.door(Door::PeerRelay)?)
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
            self.door(Door::Front)?,
            self.door(Door::Local)?,
            self.door(Door::Peer)?,
            self.door(Door::Operator)?,
        ))
    }

    fn backend_arguments(&self) -> Result<Vec<String>, RunError> {
        let plan = &self.plan;
        let mut arguments = vec!["backend".to_owned()];
        let mut add = |name: &str, value: String| arguments.extend([format!("--{name}"), value]);
        add("listen", self.door(Door::Backend)?.to_string());
        add("node", self.door(Door::Local)?.to_string());
        add("service", plan.service.to_string());
        add("slots", plan.slots.to_string());
        add("work-us", plan.work.as_micros().to_string());
        add("grace-ms", plan.grace.as_millis().to_string());
        add("cold-ms", plan.cold.as_millis().to_string());
        if self.relays.backends {
            add("advertise", self.door(Door::BackendRelay)?.to_string());
        }
        for service in &plan.calls {
            add("calls", service.to_string());
        }
        Ok(arguments)
    }

    fn signal(&self, part: Part, signal: Signal) -> Result<(), RunError> {
        if part != Part::Node {
            let backend = self.backend.as_ref().ok_or(RunError::NoProcess)?;
            backend.signal(signal)?;
        }
        if part != Part::Backend {
            let node = self.node.as_ref().ok_or(RunError::NoProcess)?;
            node.signal(signal)?;
        }
        Ok(())
    }

    async fn stopped(&mut self, part: Part) -> Result<(), RunError> {
        let vm = self.plan.vm;
        if part != Part::Backend
            && let Some(mut node) = self.take_node().await
            && !node.ended().await
        {
            return Err(RunError::Stop {
                vm,
                part: Part::Node,
            });
        }
        if part != Part::Node
            && let Some(mut backend) = self.take_backend().await
            && !backend.ended().await
        {
            return Err(RunError::Stop {
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
            node.close().await;
        }
        if part != Part::Node
            && let Some(backend) = self.take_backend().await
        {
            backend.close().await;
        }
    }

    async fn take_node(&mut self) -> Option<Process> {
        if let Some(relay) = self.peer_relay.take() {
            relay.close().await;
        }
        self.site.nodes.borrow_mut().remove(&self.plan.vm);
        self.node.take()
    }

    async fn take_backend(&mut self) -> Option<Process> {
        if let Some(relay) = self.backend_relay.take() {
            relay.close().await;
        }
        self.backend.take()
    }
}
