//! The log of the command line: on standard error, as text or JSON.

use clap::ValueEnum;
use std::io::IsTerminal;
use tracing_subscriber::filter::LevelFilter;

#[derive(Clone, Copy, ValueEnum)]
pub enum Form {
    Text,
    Json,
}

pub fn begin(form: Form, level: &str) -> Result<(), String> {
    let expected =
        |_| format!("expected off, error, warn, info, debug or trace for --log-level, found {level}");
    let most: LevelFilter = level.parse().map_err(expected)?;
    let log = tracing_subscriber::fmt().with_max_level(most).with_writer(std::io::stderr);
    let log = log.with_ansi(std::io::stderr().is_terminal());
    let begun = match form {
        Form::Text => log.with_target(false).try_init(),
        Form::Json => log.json().try_init(),
    };
    begun.map_err(|e| e.to_string())
}
