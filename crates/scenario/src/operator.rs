//! Operators, with the real client.

use std::net::SocketAddr;

use smol::process::Command;

use crate::RunError;
use crate::process::Places;
use crate::vm::OPERATOR_SECRET;

/// What the client wrote and how it ended.
#[derive(Debug)]
pub(crate) struct Said {
    pub success: bool,
    pub text: String,
}

/// Runs a command at a node.
pub(crate) async fn run_command(
    places: &Places,
    node: SocketAddr,
    command: &str,
) -> Result<Said, RunError> {
    let program = places.program("filbertctl");
    let node = node.to_string();
    let output = Command::new(&program)
        .args(["--node", &node])
        .args(command.split_whitespace())
        .env("FILBERTWHEEL_OPERATOR_SECRET", OPERATOR_SECRET)
        .kill_on_drop(true)
        .output()
        .await
        .map_err(|source| RunError::Spawn { program, source })?;
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    Ok(Said {
        success: output.status.success(),
        text,
    })
}

impl Said {
    /// The key that the client made up.
    pub fn key(&self) -> Option<String> {
        let line = self
            .text
            .lines()
            .find_map(|line| line.strip_prefix("key "))?;
        Some(line.trim().to_owned())
    }
}
