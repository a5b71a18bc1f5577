//! Checks on the state, metrics and logs of the processes.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

use filbertwheel_core::Text;
use filbertwheel_http::Request;

use crate::StepError;
use crate::fleet::Fleet;
use crate::operator::run_command;
use crate::ports::Port;
use crate::script::{Limit, VmNumber};

/// Time between two polls of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Name of the metric that counts broken invariants.
const BROKEN_METRIC: &str = "filbertwheel_broken_invariants ";
/// Texts in a log that indicate a fault of the program.
const ERROR_TEXTS: [&str; 3] = ["invariant:", "panicked at", "Work came late"];
/// The query that shows which root a node follows.
const STATUS_QUERY: &str = "show status";
/// Queries whose replies must be equal at all nodes.
const AGREED_QUERIES: [&str; 3] = ["show organisations", "show keys", "show routes"];

/// The result of one poll of an awaited condition; `Unmet` holds the observed state.
#[derive(Debug)]
enum PollResult {
    Met,
    Unmet(String),
}

impl PollResult {
    fn new(met: bool, observed: String) -> Self {
        if met {
            Self::Met
        } else {
            Self::Unmet(observed)
        }
    }
}

impl Fleet {
    /// Waits until each of the VMs is healthy and listed as serving.
    pub async fn await_serving(&self, vms: &[VmNumber], limit: Duration) -> Result<(), StepError> {
        for vm in vms {
            let text = format!("serving vm{vm}");
            self.poll_until(limit, async || {
                let observed = self.health(*vm).await?;
                Ok(PollResult::new(observed == text, observed))
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until one of the VMs is the root.
    pub async fn await_root(&self, vms: &[VmNumber], limit: Duration) -> Result<(), StepError> {
        self.poll_until(limit, async || {
            let mut observed = String::new();
            for vm in vms {
                let status = self.query(*vm, STATUS_QUERY).await?;
                if root_in(&status) == Some(format!("vm{vm}").as_str()) {
                    return Ok(PollResult::Met);
                }
                observed.push_str(&status);
            }
            Ok(PollResult::Unmet(observed))
        })
        .await
    }

    /// Waits until a node follows another node as its root.
    pub async fn await_following(&self, vm: VmNumber, limit: Duration) -> Result<(), StepError> {
        let own = format!("vm{vm}");
        self.poll_until(limit, async || {
            let status = self.query(vm, STATUS_QUERY).await?;
            let root = root_in(&status);
            let follows = root.is_some_and(|root| root.starts_with("vm") && root != own);
            Ok(PollResult::new(follows, status))
        })
        .await
    }

    /// Waits until the reply to a query contains a text or, without `present`, lacks it.
    pub async fn await_show(
        &self,
        vm: VmNumber,
        text: &str,
        present: bool,
        limit: Duration,
        command: &str,
    ) -> Result<(), StepError> {
        self.poll_until(limit, async || {
            let output = self.query(vm, command).await?;
            Ok(PollResult::new(output.contains(text) == present, output))
        })
        .await
    }

    /// Waits until all running nodes show the same configuration.
    pub async fn await_agreement(&self, limit: Duration) -> Result<(), StepError> {
        self.poll_until(limit, async || {
            let mut shown = BTreeMap::new();
            for vm in self.vms().filter(|vm| vm.has_node()) {
                let mut all = String::new();
                for query in AGREED_QUERIES {
                    all.push_str(&self.query(vm.plan.vm, query).await?);
                }
                shown.entry(all).or_insert(vm.plan.vm);
            }
            Ok(PollResult::new(shown.len() == 1, format!("{shown:?}")))
        })
        .await
    }

    /// Checks how often a request ran in total on all running backend servers. Returns the count.
    pub async fn check_runs(&self, request: &Text, limit: Limit) -> Result<u32, StepError> {
        let mut count = 0;
        for vm in self.vms().filter(|vm| vm.has_backend()) {
            let reply = self
                .send_request(vm.address(Port::Backend)?, Request::get("/runs"))
                .await?;
            let runs: BTreeMap<Text, u32> = serde_json::from_slice(&reply.body).unwrap_or_default();
            count += runs.get(request).copied().unwrap_or_default();
        }
        if limit.admits(count, count) {
            Ok(count)
        } else {
            Err(StepError::UnexpectedRunCount { count })
        }
    }

    /// Checks that no running node has reported a broken invariant in its metrics.
    pub async fn check_invariants(&self) -> Result<(), StepError> {
        for vm in self.vms().filter(|vm| vm.has_node()) {
            let address = vm.address(Port::Operator)?;
            let reply = self.send_request(address, Request::get("/metrics")).await?;
            let text = String::from_utf8_lossy(&reply.body);
            let metric = text.lines().find(|line| line.starts_with(BROKEN_METRIC));
            if metric.and_then(|line| line.strip_prefix(BROKEN_METRIC)) != Some("0") {
                let detail = metric.unwrap_or("the metric is missing").to_owned();
                return Err(StepError::CheckFailed {
                    origin: format!("vm{}", vm.plan.vm),
                    detail,
                });
            }
        }
        Ok(())
    }

    /// Checks that no log contains a fault and that no node exited unexpectedly.
    pub fn check_logs(&mut self) -> Result<(), StepError> {
        for entry in fs::read_dir(&self.environment.paths.work_dir)? {
            let path = entry?.path();
            if path.extension().is_none_or(|extension| extension != "log") {
                continue;
            }
            let log = fs::read_to_string(&path)?;
            let is_error = |line: &&str| ERROR_TEXTS.iter().any(|text| line.contains(text));
            if let Some(line) = log.lines().find(is_error) {
                let (origin, detail) = (path.display().to_string(), line.to_owned());
                return Err(StepError::CheckFailed { origin, detail });
            }
        }
        for vm in self.vms_mut() {
            if vm.node_ended() {
                return Err(StepError::CheckFailed {
                    origin: format!("vm{}", vm.plan.vm),
                    detail: "the node exited unexpectedly".to_owned(),
                });
            }
        }
        Ok(())
    }

    /// Returns the reply of a node to an operator's query.
    pub async fn query(&self, vm: VmNumber, command: &str) -> Result<String, StepError> {
        let address = self.environment.ports.address(vm, Port::Operator)?;
        let output = run_command(&self.environment.paths, address, command).await?;
        Ok(output.text)
    }

    async fn health(&self, vm: VmNumber) -> Result<String, StepError> {
        let address = self.vm(vm)?.address(Port::Operator)?;
        match self.send_request(address, Request::get("/healthz")).await {
            Ok(reply) if reply.status == 200 => {}
            _ => return Ok(format!("vm{vm} is not healthy")),
        }
        let members = self.query(vm, "show members").await?;
        let name = format!("vm{vm}");
        let mut rows = members.lines().map(|row| row.split_whitespace());
        let serves =
            rows.any(|mut row| row.next() == Some(&name) && row.any(|cell| cell == "serving"));
        Ok(if serves {
            format!("serving {name}")
        } else {
            members
        })
    }

    async fn poll_until(
        &self,
        limit: Duration,
        poll: impl AsyncFn() -> Result<PollResult, StepError>,
    ) -> Result<(), StepError> {
        let clock = &self.environment.clock;
        let until = clock.now() + limit;
        loop {
            let PollResult::Unmet(observed) = poll().await? else {
                return Ok(());
            };
            if clock.now() >= until {
                let seconds = limit.as_secs();
                return Err(StepError::TimedOut { seconds, observed });
            }
            clock.sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns the value of the `root` column in a node's status.
fn root_in(status: &str) -> Option<&str> {
    let (columns, cells) = status.split_once('\n')?;
    let column = columns.split_whitespace().position(|name| name == "root")?;
    cells.split_whitespace().nth(column)
}
