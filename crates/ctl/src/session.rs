//! Runs commands from arguments, a file or standard input.

use std::fs;
use std::io::{self, IsTerminal as _, Write as _};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use filbertwheel_core::{Clock, Edit, Text, sha256_hex};
use filbertwheel_operator::{
    Command, CommandRequest, OperatorClient, Query, Reply, Statement, parse,
};

use crate::error::CliError;
use crate::printer::Printer;

/// Runs commands against one node.
#[derive(Debug)]
pub(crate) struct Session {
    client: OperatorClient,
    clock: Arc<dyn Clock>,
    printer: Printer,
}

impl Session {
    /// Creates a session with the node of `client`.
    pub fn open(client: OperatorClient, clock: Arc<dyn Clock>, printer: Printer) -> Self {
        Self {
            client,
            clock,
            printer,
        }
    }

    /// Runs one command.
    pub async fn run_line(&self, line: &str) -> Result<(), CliError> {
        self.run(parse(line)?).await
    }

    /// Runs the commands in a file until one fails. A syntax error in any line runs none of them.
    pub async fn run_file(&self, path: &Path) -> Result<(), CliError> {
        let text = fs::read_to_string(path).map_err(|source| CliError::File {
            path: path.to_owned(),
            source,
        })?;
        let (mut statements, mut errors) = (Vec::new(), Vec::new());
        for (index, line) in text.lines().enumerate() {
            match parse(line) {
                _ if is_blank(line) => {}
                Ok(statement) => statements.push(statement),
                Err(error) => errors.push((index + 1, error)),
            }
        }
        if !errors.is_empty() {
            let path = path.to_owned();
            return Err(CliError::ParseErrors { path, errors });
        }
        for statement in statements {
            self.run(statement).await?;
        }
        Ok(())
    }

    /// Runs commands from standard input until one fails. At a terminal, it continues after
    /// failures.
    pub async fn run_input(&self) -> Result<(), CliError> {
        let is_interactive = io::stdin().is_terminal() && io::stdout().is_terminal();
        loop {
            if is_interactive {
                write!(io::stdout(), "filbertctl> ")?;
                io::stdout().flush()?;
            }
            let mut line = String::new();
            if io::stdin().read_line(&mut line)? == 0 {
                return Ok(());
            }
            if is_blank(&line) {
                continue;
            }
            match self.run_line(line.trim_end()).await {
                Err(error) if is_interactive => eprintln!("{error}"),
                outcome => outcome?,
            }
        }
    }

    async fn run(&self, statement: Statement) -> Result<(), CliError> {
        match statement {
            Statement::Command(command) => self.send_command(command, None).await,
            Statement::NewKey { organisation } => {
                let key = format!("fw-{:032x}", rand::random::<u128>());
                let hash = sha256_hex(key.as_bytes());
                let edit = Edit::AddKey { hash, organisation };
                self.send_command(Command::Edit(edit), Some(key)).await
            }
            Statement::Watch { query, interval } => self.watch(query, interval).await,
        }
    }

    async fn watch(&self, query: Query, interval: Duration) -> Result<(), CliError> {
        loop {
            self.printer.clear_screen()?;
            self.send_command(Command::Show(query.clone()), None)
                .await?;
            self.clock.sleep(interval).await;
        }
    }

    async fn send_command(&self, command: Command, key: Option<String>) -> Result<(), CliError> {
        let id: Text = format!("{:032x}", rand::random::<u128>()).into();
        let request = CommandRequest { id, command };
        let outcome = self.client.run(&request).await;
        // A change with an unknown outcome may be stored, so that its key may be valid.
        let may_have_run = match &outcome {
            Ok(_) => true,
            Err(error) => error.may_have_run(),
        };
        if let Some(key) = key.filter(|_| may_have_run) {
            self.printer.print_key(&key)?;
        }
        let reply = outcome?;
        self.printer.print_reply(&reply)?;
        match reply {
            Reply::Pending { waiting, .. } => Err(CliError::Pending(waiting)),
            _ => Ok(()),
        }
    }
}

/// Returns whether a line is empty or a comment.
fn is_blank(line: &str) -> bool {
    let line = line.trim();
    line.is_empty() || line.starts_with('#')
}
