//! The platform's stand-in and all VMs of a scenario.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbertwheel_http::{Limits, Pool, Request, Response};
use filbertwheel_platform_standin::StoreFault;
use filbertwheel_standin::InjectedFaults;
use serde::Serialize;

use crate::RunError;
use crate::ports::Door;
use crate::process::Process;
use crate::script::{BackendState, LinkState, PlatformState, VmNumber, VmPlan};
use crate::vm::{Relays, Site, Vm};

/// How long a stand-in or a node's operator door may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Status of the store while it is down.
const UNAVAILABLE: u16 = 503;

/// All processes of a scenario.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub site: Site,
    platform: Option<Process>,
    vms: BTreeMap<VmNumber, Vm>,
    relays: Relays,
}

impl Fleet {
    /// A fleet without processes.
    pub fn open(site: Site, relays: Relays) -> Self {
        Self {
            site,
            platform: None,
            vms: BTreeMap::new(),
            relays,
        }
    }

    /// Starts the platform's stand-in.
    pub fn start_platform(&mut self) -> Result<(), RunError> {
        let listen = self.site.ports.platform().to_string();
        let arguments = ["store".to_owned(), "--listen".to_owned(), listen];
        let places = &self.site.places;
        let program = places.program("filbertwheel-platform-standin");
        let platform = Process::spawn(&program, &arguments, &places.file("platform.log"))?;
        self.platform = Some(platform);
        Ok(())
    }

    /// Starts a VM.
    pub async fn start_vm(&mut self, plan: VmPlan) -> Result<(), RunError> {
        let number = plan.vm;
        let vm = Vm::spawn(plan, self.site.clone(), self.relays).await?;
        self.vms.insert(number, vm);
        Ok(())
    }

    /// A VM by its number.
    pub fn vm(&self, number: VmNumber) -> Result<&Vm, RunError> {
        self.vms.get(&number).ok_or(RunError::NoVm(number))
    }

    /// A VM by its number, to be changed.
    pub fn vm_mut(&mut self, number: VmNumber) -> Result<&mut Vm, RunError> {
        self.vms.get_mut(&number).ok_or(RunError::NoVm(number))
    }

    /// All VMs.
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values()
    }

    /// All VMs, to be changed.
    pub fn vms_mut(&mut self) -> impl Iterator<Item = &mut Vm> {
        self.vms.values_mut()
    }

    /// Sets the platform's faults.
    pub async fn set_platform(&self, state: PlatformState) -> Result<(), RunError> {
        let mut fault = StoreFault::default();
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
        self.post_fault(self.site.ports.platform(), &fault).await
    }

    /// Sets a backend server's faults.
    pub async fn set_backend(&self, vm: VmNumber, state: BackendState) -> Result<(), RunError> {
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
            BackendState::Silent => relay.ok_or(RunError::NoProcess)?.silence(),
            BackendState::CutAnswers => {}
        }
        self.post_fault(vm.door(Door::Backend)?, &fault).await
    }

    /// Sets the link between two nodes, both ways.
    pub fn set_link(&self, one: VmNumber, two: VmNumber, state: LinkState) -> Result<(), RunError> {
        for (from, to) in [(one, two), (two, one)] {
            let relay = self.vm(to)?.peer_relay.as_ref();
            relay.ok_or(RunError::NoProcess)?.set_link(from, state);
        }
        Ok(())
    }

    /// Asks a stand-in or a node's operator door.
    pub async fn ask(&self, address: SocketAddr, request: Request) -> Result<Response, RunError> {
        let clock = Arc::clone(&self.site.clock);
        let deadline = clock.now() + ANSWER_TIMEOUT;
        let pool = Pool::open(address, Limits::default(), clock);
        Ok(pool.exchange(request, deadline).await?)
    }

    /// Connections to a node's front door.
    pub fn front(&self, vm: VmNumber) -> Result<Rc<Pool>, RunError> {
        let address = self.site.ports.door(vm, Door::Front)?;
        let clock = Arc::clone(&self.site.clock);
        Ok(Rc::new(Pool::open(address, Limits::default(), clock)))
    }

    /// Ends all processes at once.
    pub async fn close(self) {
        for vm in self.vms.into_values() {
            vm.close().await;
        }
        if let Some(platform) = self.platform {
            platform.close().await;
        }
    }

    async fn post_fault(&self, to: SocketAddr, fault: &impl Serialize) -> Result<(), RunError> {
        let body = serde_json::to_vec(fault).unwrap_or_default();
        self.ask(to, Request::post("/fault", body)).await?;
        Ok(())
    }
}
