//! Entry point of the command-line programs.

use std::fmt::Display;
use std::process::ExitCode;

/// Exit code for invalid command-line arguments or settings.
pub const EXIT_USAGE: u8 = 2;

/// Runs a program with its command-line arguments. An error is printed, and `code` returns its exit code.
pub fn run_program<E: Display>(
    name: &str,
    run: impl FnOnce(&[String]) -> Result<(), E>,
    code: impl FnOnce(&E) -> u8,
) -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::from(code(&error))
        }
    }
}
