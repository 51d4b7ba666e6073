//! The log of the command line: on standard error, as text or JSON.

use clap::ValueEnum;
use std::io::IsTerminal;
use tracing_subscriber::EnvFilter;

#[derive(Clone, Copy, ValueEnum)]
pub enum Form {
    Text,
    Json,
}

pub fn begin(form: Form, level: &str) -> Result<(), String> {
    let filter =
        EnvFilter::try_new(level).map_err(|e| format!("expected a level or filter for --log-level: {e}"))?;
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(std::io::stderr().is_terminal());
    let begun = match form {
        Form::Text => log.with_target(false).try_init(),
        Form::Json => log.json().try_init(),
    };
    begun.map_err(|e| e.to_string())
}
