//! `vetchkeel`: experiments with fleets, and checks of operator files.
//!
//! Results go to standard output, logs and progress to standard error. Exit 0: done; 1: what was asked found a
//! failure; 2: wrong input, told as file, line, column and what was expected.

mod check;
mod lab;
mod logs;
mod plan;
mod scale;
mod slopes;

use clap::{Parser, Subcommand};
use std::io::Write;
use std::process::ExitCode;

/// Experiments with fleets, and checks of operator files.
#[derive(Parser)]
#[command(name = "vetchkeel", version, about, arg_required_else_help = true)]
struct Line {
    /// Form of the log on standard error.
    #[arg(long, global = true, value_enum, default_value_t = logs::Form::Text)]
    log: logs::Form,
    /// What is logged: off, error, warn, info, debug or trace.
    #[arg(long, global = true, default_value = "info")]
    log_level: String,
    /// Prints one JSON document instead of a text.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Runs experiments, keeps their results and shows them.
    #[command(subcommand)]
    Lab(lab::Lab),
    /// Capacity: what breaks first, how many members a target needs, what a lost zone does.
    #[command(subcommand)]
    Plan(plan::Plan),
    /// Checks an operator file without running anything.
    Check {
        /// The file.
        file: std::path::PathBuf,
    },
}

/// Why a command did not succeed.
pub enum Failed {
    /// It found a failure: exit 1.
    Found(String),
    /// Wrong input: exit 2.
    Input(String),
}

impl From<String> for Failed {
    fn from(why: String) -> Failed {
        Failed::Found(why)
    }
}

impl From<vetchkeel_records::StoreError> for Failed {
    fn from(why: vetchkeel_records::StoreError) -> Failed {
        match why {
            vetchkeel_records::StoreError::Missing(_) => Failed::Input(why.to_string()),
            other => Failed::Found(other.to_string()),
        }
    }
}

/// Writes to standard output. A reader that has gone away is no failure.
pub fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

fn main() -> ExitCode {
    let line = Line::parse();
    if let Err(why) = logs::begin(line.log, &line.log_level) {
        eprintln!("vetchkeel: {why}");
        return ExitCode::from(2);
    }
    let done = match line.what {
        What::Lab(lab) => lab::run(lab, line.json),
        What::Plan(plan) => plan::run(plan, line.json),
        What::Check { file } => check::run(&file, line.json),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failed::Found(why)) => {
            eprintln!("vetchkeel: {why}");
            ExitCode::from(1)
        }
        Err(Failed::Input(why)) => {
            eprintln!("vetchkeel: {why}");
            ExitCode::from(2)
        }
    }
}
