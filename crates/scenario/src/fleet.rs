//! The processes of a scenario: the platform's stand-in and all VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbertwheel_http::{Limits, Pool, Request, Response};
use filbertwheel_platform_standin::InjectedStoreFaults;
use filbertwheel_standin::InjectedFaults;
use serde::Serialize;

use crate::StepError;
use crate::ports::Port;
use crate::process::Process;
use crate::script::{BackendState, LinkState, PlatformState, VmNumber, VmPlan};
use crate::vm::{Environment, Relays, Vm};

/// Time limit of a request to a stand-in or to a node's operator endpoint.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// HTTP status with which the store responds while it is down.
const UNAVAILABLE: u16 = 503;

/// All processes of a scenario.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub environment: Environment,
    platform: Option<Process>,
    vms: BTreeMap<VmNumber, Vm>,
    relays: Relays,
}

impl Fleet {
    /// Creates a fleet without processes.
    pub fn new(environment: Environment, relays: Relays) -> Self {
        Self {
            environment,
            platform: None,
            vms: BTreeMap::new(),
            relays,
        }
    }

    /// Starts the platform's stand-in.
    pub fn start_platform(&mut self) -> Result<(), StepError> {
        let listen = self.environment.ports.platform().to_string();
        let arguments = ["store".to_owned(), "--listen".to_owned(), listen];
        let paths = &self.environment.paths;
        let program = paths.program("filbertwheel-platform-standin");
        let platform = Process::spawn(&program, &arguments, &paths.work_file("platform.log"))?;
        self.platform = Some(platform);
        Ok(())
    }

    /// Starts both processes of a VM.
    pub async fn start_vm(&mut self, plan: VmPlan) -> Result<(), StepError> {
        let number = plan.vm;
        let vm = Vm::spawn(plan, self.environment.clone(), self.relays).await?;
        self.vms.insert(number, vm);
        Ok(())
    }

    /// Returns a VM by its number.
    pub fn vm(&self, number: VmNumber) -> Result<&Vm, StepError> {
        self.vms.get(&number).ok_or(StepError::UnknownVm(number))
    }

    /// Returns a mutable VM by its number.
    pub fn vm_mut(&mut self, number: VmNumber) -> Result<&mut Vm, StepError> {
        self.vms
            .get_mut(&number)
            .ok_or(StepError::UnknownVm(number))
    }

    /// Iterates over all VMs.
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values()
    }

    /// Iterates over all VMs mutably.
    pub fn vms_mut(&mut self) -> impl Iterator<Item = &mut Vm> {
        self.vms.values_mut()
    }

    /// Sets the faults that the platform's stand-in injects.
    pub async fn set_platform(&self, state: PlatformState) -> Result<(), StepError> {
        let mut fault = InjectedStoreFaults::default();
        match state {
            PlatformState::Up => {}
            PlatformState::Down => fault.status = UNAVAILABLE,
            PlatformState::Slow(millis) => fault.delay_ms = millis,
            PlatformState::LoseAnswers => fault.lose_answers = true,
            PlatformState::DownAfter(count) => {
                fault.status = UNAVAILABLE;
                fault.after = count;
            }
        }
        self.post_fault(self.environment.ports.platform(), &fault)
            .await
    }

    /// Sets the faults that a backend server, or the relay before it, injects.
    pub async fn set_backend(&self, vm: VmNumber, state: BackendState) -> Result<(), StepError> {
        let vm = self.vm(vm)?;
        let mut fault = InjectedFaults::default();
        let relay = vm.backend_relay.as_ref();
        if let Some(relay) = relay {
            relay.cut_answers(state == BackendState::CutAnswers);
        }
        match state {
            BackendState::Healthy => {}
            BackendState::Slow(factor) => fault.slowness = f64::from(factor),
            BackendState::ReportsIdle => fault.reports_idle = true,
            BackendState::CrashOn(text) => fault.crash_on = Some(text.into()),
            BackendState::Silent => relay.ok_or(StepError::NotRunning)?.silence(),
            BackendState::CutAnswers => {}
        }
        self.post_fault(vm.address(Port::Backend)?, &fault).await
    }

    /// Sets the state of the link between two nodes, in both directions.
    pub fn set_link(
        &self,
        one: VmNumber,
        two: VmNumber,
        state: LinkState,
    ) -> Result<(), StepError> {
        for (from, to) in [(one, two), (two, one)] {
            let relay = self.vm(to)?.peer_relay.as_ref();
            relay.ok_or(StepError::NotRunning)?.set_link(from, state);
        }
        Ok(())
    }

    /// Sends a request to a stand-in or to a node's operator endpoint.
    pub async fn send_request(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> Result<Response, StepError> {
        let clock = Arc::clone(&self.environment.clock);
        let deadline = clock.now() + REQUEST_TIMEOUT;
        let pool = Pool::open(address, Limits::default(), clock);
        Ok(pool.exchange(request, deadline).await?)
    }

    /// Returns a connection pool for a node's caller endpoint.
    pub fn caller_pool(&self, vm: VmNumber) -> Result<Rc<Pool>, StepError> {
        let address = self.environment.ports.address(vm, Port::Front)?;
        let clock = Arc::clone(&self.environment.clock);
        Ok(Rc::new(Pool::open(address, Limits::default(), clock)))
    }

    /// Kills all processes.
    pub async fn close(self) {
        for vm in self.vms.into_values() {
            vm.close().await;
        }
        if let Some(platform) = self.platform {
            platform.kill().await;
        }
    }

    async fn post_fault(&self, to: SocketAddr, fault: &impl Serialize) -> Result<(), StepError> {
        let body = serde_json::to_vec(fault).unwrap_or_default();
        self.send_request(to, Request::post("/fault", body)).await?;
        Ok(())
    }
}
