//! Processes that this one started: signals by pid while they are its own, and an end for each.

use crate::schedule::Act;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// How long a killed process may take to be gone.
const GONE: Duration = Duration::from_secs(3);

/// What is started, for each start again.
#[derive(Clone, Debug)]
pub(crate) struct Program {
    pub(crate) path: PathBuf,
    pub(crate) arguments: Vec<String>,
    /// Where its outputs go, each start after the one before; None: nowhere.
    pub(crate) log: Option<PathBuf>,
}

#[derive(Debug)]
pub(crate) enum Life {
    Never,
    Runs { child: Child, stopped: bool },
    Over(ExitStatus),
}

/// One process at a time under one name.
#[derive(Debug)]
pub(crate) struct Process {
    life: Life,
}

impl Process {
    pub(crate) fn new() -> Process {
        Process { life: Life::Never }
    }

    /// Its life as of now.
    pub(crate) fn life(&mut self) -> &Life {
        if let Life::Runs { child, .. } = &mut self.life
            && let Ok(Some(status)) = child.try_wait()
        {
            self.life = Life::Over(status);
        }
        &self.life
    }

    pub(crate) fn start(&mut self, program: &Program) -> io::Result<()> {
        if let Life::Runs { .. } = self.life() {
            return Ok(());
        }
        let output = || match &program.log {
            Some(path) => {
                Ok::<_, io::Error>(Stdio::from(File::options().create(true).append(true).open(path)?))
            }
            None => Ok(Stdio::null()),
        };
        // Its input stays open as long as this process lives: a child may take the end of it as its own.
        let child = Command::new(&program.path)
            .args(&program.arguments)
            .stdin(Stdio::piped())
            .stdout(output()?)
            .stderr(output()?)
            .spawn()?;
        self.life = Life::Runs { child, stopped: false };
        Ok(())
    }

    pub(crate) fn act(&mut self, act: Act, program: &Program) -> io::Result<()> {
        match act {
            Act::Kill => self.kill(),
            Act::Stop => self.signal(Signal::STOP, true),
            Act::Continue => self.signal(Signal::CONT, false),
            Act::Start => self.start(program),
            Act::Restart => {
                self.kill()?;
                self.start(program)
            }
        }
    }

    fn signal(&mut self, signal: Signal, stops: bool) -> io::Result<()> {
        // Danger: the number of a process that is over may be another's by now. One that was not waited for keeps its own.
        self.life();
        let Life::Runs { child, stopped } = &mut self.life else { return Ok(()) };
        if let Some(pid) = Pid::from_raw(child.id() as i32) {
            kill_process(pid, signal)?;
            *stopped = stops;
        }
        Ok(())
    }

    /// SIGKILL, and the wait until it is gone: a start at its address must find it free.
    fn kill(&mut self) -> io::Result<()> {
        let Life::Runs { child, .. } = &mut self.life else { return Ok(()) };
        child.kill()?;
        let until = Instant::now() + GONE;
        while let Life::Runs { .. } = self.life() {
            if Instant::now() >= until {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "a killed process is still there"));
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}
