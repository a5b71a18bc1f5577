//! Runs operators' commands with the real command-line client.

use std::net::SocketAddr;

use smol::process::Command;

use crate::StepError;
use crate::process::Paths;
use crate::vm::OPERATOR_SECRET;

/// Output of the client, standard error included, and whether it succeeded.
#[derive(Debug)]
pub(crate) struct CommandOutput {
    pub success: bool,
    pub text: String,
}

/// Runs an operator's command at a node.
pub(crate) async fn run_command(
    paths: &Paths,
    node: SocketAddr,
    command: &str,
) -> Result<CommandOutput, StepError> {
    let program = paths.program("filbertctl");
    let node = node.to_string();
    let output = Command::new(&program)
        .args(["--node", &node])
        .args(command.split_whitespace())
        .env("FILBERTWHEEL_OPERATOR_SECRET", OPERATOR_SECRET)
        .kill_on_drop(true)
        .output()
        .await
        .map_err(|source| StepError::Spawn { program, source })?;
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    Ok(CommandOutput {
        success: output.status.success(),
        text,
    })
}

impl CommandOutput {
    /// Returns the API key that the client generated and printed.
    pub fn created_key(&self) -> Option<String> {
        let line = self
            .text
            .lines()
            .find_map(|line| line.strip_prefix("key "))?;
        Some(line.trim().to_owned())
    }
}
