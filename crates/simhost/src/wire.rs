//! The simulator's line protocol: for each batch of event lines read, one reply of action lines is written.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::str::{FromStr, Split};
use vetchkeel::{
    Command, Decision, DispatchEnd, Ending, Entry, Id, Note, Phase, ProbeEnd, Report, Router, Tenths, Told,
};

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    sheets: BTreeMap<u32, Vec<Entry>>,
    line: usize,
}

struct Instance {
    /// None once the instance has failed: a `die` line has been written, and later events are ignored.
    router: Option<Router>,
    zero: Tenths,
    timer: Option<Tenths>,
}

/// The fields of one line, taken in order.
struct Fields<'a> {
    parts: Split<'a, char>,
}

impl<'a> Fields<'a> {
    fn text(&mut self, what: &str) -> Result<&'a str, String> {
        self.parts.next().ok_or_else(|| format!("expected {what}, found the end of the line"))
    }

    fn optional(&mut self, what: &str) -> Result<Option<&'a str>, String> {
        self.text(what).map(|t| Some(t).filter(|t| *t != "-" && !t.is_empty()))
    }

    fn number<T: FromStr>(&mut self, what: &str) -> Result<T, String> {
        let text = self.text(what)?;
        text.parse().map_err(|_| format!("expected {what}, found '{text}'"))
    }

    fn tenths(&mut self, what: &str) -> Result<Option<Tenths>, String> {
        self.optional(what)?.map(|t| tenths(t, what)).transpose()
    }

    fn flag(&mut self, what: &str) -> Result<bool, String> {
        match self.text(what)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => Err(format!("expected {what} as 0 or 1, found '{other}'")),
        }
    }
}

fn tenths(text: &str, what: &str) -> Result<Tenths, String> {
    let ms: f64 = text.parse().map_err(|_| format!("expected {what} in milliseconds, found '{text}'"))?;
    if !ms.is_finite() {
        return Err(format!("expected {what} in milliseconds, found '{text}'"));
    }
    // Compensates for binary rounding: a decimal such as 0.3 must not be floored to the next lower tenth.
    Ok((ms * 10.0 + 1e-6).floor() as Tenths)
}

impl Host {
    pub fn run(&mut self, mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
        let mut line = String::new();
        while self.read_line(&mut input, &mut line)? {
            if line.is_empty() {
                continue;
            }
            let place = self.line;
            self.batch(&line.clone(), &mut input, &mut line, &mut output)
                .map_err(|why| format!("line {}: {why} (batch began at line {place})", self.line))?;
        }
        Ok(())
    }

    fn read_line(&mut self, input: &mut impl BufRead, line: &mut String) -> Result<bool, String> {
        line.clear();
        let read =
            input.read_line(line).map_err(|e| format!("line {}: cannot be read: {e}", self.line + 1))?;
        self.line += 1;
        if line.ends_with('\n') {
            line.pop();
        }
        Ok(read > 0)
    }

    fn batch(
        &mut self,
        head: &str,
        input: &mut impl BufRead,
        line: &mut String,
        output: &mut impl Write,
    ) -> Result<(), String> {
        let mut head = Fields { parts: head.split('\t') };
        let word = head.text("'tick'")?;
        if word != "tick" {
            return Err(format!("expected 'tick', found '{word}'"));
        }
        let now = head.tenths("the clock")?.ok_or("expected the clock, found '-'")?;
        let number: u64 = head.number("the batch number")?;
        let mut touched = Vec::new();
        let mut reply = String::new();
        loop {
            if !self.read_line(input, line)? {
                return Err("expected an event or 'eof_batch', found the end of the input".into());
            }
            if line == "eof_batch" {
                break;
            }
            let mut fields = Fields { parts: line.split('\t') };
            let word = fields.text("an event")?;
            if word == "inventory" {
                let sheet = fields.number("the sheet")?;
                let count: usize = fields.number("the number of rows")?;
                let mut entries = Vec::new();
                for _ in 0..count {
                    if !self.read_line(input, line)? {
                        return Err("expected a row, found the end of the input".into());
                    }
                    entries.push(row(line)?);
                }
                self.sheets.insert(sheet, entries);
                continue;
            }
            let inst: u32 = fields.number("the instance")?;
            let outcome = catch_unwind(AssertUnwindSafe(|| self.event(now, inst, word, &mut fields)));
            let failure = match outcome {
                Ok(done) => done?,
                Err(cause) => Some(panic_text(cause)),
            };
            if let Some(text) = failure {
                self.fail(inst, &text, &mut reply);
            } else if !touched.contains(&inst) {
                touched.push(inst);
            }
        }
        for inst in touched {
            self.pull(now, inst, &mut reply);
        }
        reply.push_str(&format!("end\t{number}\n"));
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|e| format!("cannot reply: {e}"))
    }

    fn fail(&mut self, inst: u32, text: &str, reply: &mut String) {
        if let Some(instance) = self.instances.get_mut(&inst) {
            instance.router = None;
        }
        let text = text.replace(['\t', '\n', '\r'], " ");
        reply.push_str(&format!("die\t{inst}\t{text}\n"));
    }

    /// Handles one event. Err means a malformed line; Ok with a text means that the instance has failed.
    fn event(
        &mut self,
        now: Tenths,
        inst: u32,
        word: &str,
        f: &mut Fields,
    ) -> Result<Option<String>, String> {
        if word == "begin" {
            let seed: u64 = f.number("the seed")?;
            let mut told = Told::new();
            for pair in f.parts.by_ref().filter(|p| !p.is_empty() && *p != "-") {
                let (name, value) =
                    pair.split_once('=').ok_or_else(|| format!("expected name=value, found '{pair}'"))?;
                told.insert(name.to_owned(), value.to_owned());
            }
            let zero = match told.get("family_info.zero_ms") {
                Some(text) => tenths(text, "family_info.zero_ms")?,
                None => 0,
            };
            let (router, failure) = match Router::start(told, seed, now) {
                Ok(mut router) => {
                    router.shares_clock();
                    (Some(router), None)
                }
                Err(why) => (None, Some(why)),
            };
            self.instances.insert(inst, Instance { router, zero, timer: None });
            return Ok(failure);
        }
        if word == "down" {
            self.instances.remove(&inst);
            return Ok(None);
        }
        let Some(Instance { router: Some(router), zero, timer }) = self.instances.get_mut(&inst) else {
            return match word {
                "sync" | "arrival" | "left" | "begun" | "outcome" | "memo" | "probe_done" | "due" => Ok(None),
                _ => Err(format!("expected an event, found '{word}'")),
            };
        };
        match word {
            "sync" => {
                let sheet: u32 = f.number("the sheet").unwrap_or(u32::MAX);
                f.text("the epoch")?;
                let whole = match f.text("the form")? {
                    "delta" => false,
                    "full" | "cached" => true,
                    "failed" => {
                        router.list_failed(now);
                        return Ok(None);
                    }
                    other => return Err(format!("expected delta, full, cached or failed, found '{other}'")),
                };
                let entries =
                    self.sheets.get(&sheet).ok_or_else(|| format!("no inventory has number {sheet}"))?;
                router.members_changed(now, whole, entries);
            }
            "arrival" => {
                let id = Id::from(f.text("the command's id")?);
                let customer = f.optional("the customer")?.filter(|c| *c != "0").map(str::to_owned);
                let token_age = f.tenths("the token's age")?;
                let time_left = f.tenths("the time left")?.unwrap_or(0);
                let bits: f64 =
                    f.optional("the bits")?.unwrap_or("0").parse().map_err(|_| "expected the bits")?;
                let repeat = bits as u64 & 2 != 0;
                f.text("the effort")?;
                let set: f64 = f
                    .optional("the group")?
                    .unwrap_or("0")
                    .parse()
                    .map_err(|_| "expected the group's number")?;
                let command_group = f.text("the command group")?.to_owned();
                let session = f.optional("the session")?.map(str::to_owned);
                let command = Command {
                    id,
                    command_group,
                    customer,
                    set: set as i64,
                    time_left,
                    token_age,
                    session,
                    repeat,
                };
                if let Err(why) = router.command_arrived(now, command) {
                    return Ok(Some(why));
                }
            }
            "left" => router.command_left(f.text("the command's id")?),
            "begun" | "memo" => {}
            "outcome" => {
                let id = f.text("the command's id")?;
                let dispatch: u32 = f.number("the dispatch")?;
                let took = f.tenths("the delay")?.unwrap_or(0);
                let over = f.flag("whether the command is over")?;
                f.text("the node")?;
                let note: i64 = f
                    .optional("the note")?
                    .unwrap_or("0")
                    .parse()
                    .map_err(|_| "expected the note's number")?;
                let ending = ending(f.text("the status")?)?;
                let report = report(f.optional("the report")?, *zero)?;
                // Positions are sent in whole milliseconds after `zero`, which is itself rounded down.
                let position = if note >= 4 { *zero + (note / 4) * 10 } else { 0 };
                let primary = [None, Some(true), Some(false), None][(note % 4).unsigned_abs() as usize];
                let note = Note { primary, position };
                router.dispatch_ended(
                    now,
                    id,
                    DispatchEnd { dispatch, ending, took, idled: None, over, note, report },
                );
            }
            "probe_done" => {
                let node = f.text("the node")?;
                let ending = ending(f.text("the status")?)?;
                let took = f.tenths("the delay")?.unwrap_or(0);
                let report = report(f.optional("the report")?, *zero)?;
                router.probe_ended(now, node, ProbeEnd { ending, took, primary: None, report });
            }
            "due" => {
                f.text("the timer's name")?;
                if timer.is_some_and(|at| at <= now) {
                    *timer = None;
                }
            }
            other => return Err(format!("expected an event, found '{other}'")),
        }
        Ok(None)
    }

    fn pull(&mut self, now: Tenths, inst: u32, reply: &mut String) {
        let Some(Instance { router: Some(router), timer, .. }) = self.instances.get_mut(&inst) else {
            return;
        };
        let outcome = catch_unwind(AssertUnwindSafe(|| {
            while let Some(decision) = router.next_decision(now) {
                encode(inst, &decision, reply);
            }
            if let Some(at) = router.wake_at()
                && timer.is_none_or(|set| at < set)
            {
                let wait = (at - now).max(1) as f64 / 10.0;
                // The simulator's timers last at most 71 minutes: a longer wait is set again when the timer expires.
                reply.push_str(&format!("timer\t{inst}\t{:.1}\t0\n", wait.min(3_600_000.0)));
                *timer = Some(now + (wait.min(3_600_000.0) * 10.0) as Tenths);
            }
        }));
        if let Err(cause) = outcome {
            self.fail(inst, &panic_text(cause), reply);
        }
    }
}

fn panic_text(cause: Box<dyn std::any::Any + Send>) -> String {
    let text = cause.downcast_ref::<String>().cloned();
    text.or_else(|| cause.downcast_ref::<&str>().map(|t| (*t).to_owned())).unwrap_or_else(|| "panic".into())
}

fn row(line: &str) -> Result<Entry, String> {
    let mut f = Fields { parts: line.split('\t') };
    let word = f.text("a row")?;
    if word != "row" {
        return Err(format!("expected 'row', found '{word}'"));
    }
    let node = Id::from(f.text("the node")?);
    let zone = Id::from(f.text("the zone")?);
    let machine = Id::from(f.text("the machine")?);
    let set: i64 =
        f.optional("the group")?.unwrap_or("0").parse().map_err(|_| "expected the group's number")?;
    let phase = match f.text("the phase")? {
        "up" => Phase::Up,
        "draining" => Phase::Draining,
        "removed" => Phase::Removed,
        other => return Err(format!("expected up, draining or removed, found '{other}'")),
    };
    f.text("the scale")?;
    let started = f.tenths("the start time")?.unwrap_or(0);
    let primary = f.optional("the writer")?.is_some_and(|w| w.parse::<f64>().is_ok_and(|w| w > 0.0));
    Ok(Entry { node, zone, machine, set, phase, started, primary })
}

fn ending(text: &str) -> Result<Ending, String> {
    Ok(match text {
        "Ok" => Ending::Answered,
        "Failed" => Ending::Error,
        "QueueFull" => Ending::Full,
        "TimedOut" => Ending::TimedOut,
        "ConnectError" => Ending::ConnectFailed,
        "ResetByPeer" => Ending::Reset,
        "Canceled" => Ending::CalledOff,
        "Ignored" => Ending::NeverSent,
        "Miss" => Ending::Miss,
        other => return Err(format!("expected a status, found '{other}'")),
    })
}

fn report(text: Option<&str>, zero: Tenths) -> Result<Report, String> {
    let mut report = Report::default();
    for pair in text.unwrap_or("").split(',').filter(|p| !p.is_empty()) {
        let (name, value) =
            pair.split_once(':').ok_or_else(|| format!("expected name:value, found '{pair}'"))?;
        let value: f64 =
            value.parse().map_err(|_| format!("expected a number for {name}, found '{value}'"))?;
        match name {
            // Seconds to tenths of a millisecond, less one millisecond in case the text was rounded up.
            "x0" => report.position = Some(zero + (value * 10_000.0).floor() as Tenths - 10),
            "x1" => report.primary = Some(value > 0.5),
            _ => {}
        }
    }
    Ok(report)
}

fn encode(inst: u32, decision: &Decision, reply: &mut String) {
    use std::fmt::Write;
    let written = match decision {
        Decision::Dispatch { command, node, limit, .. } => {
            writeln!(reply, "place\t{inst}\t{command}\t{node}\t{:.1}", *limit as f64 / 10.0)
        }
        Decision::Throttle { command, hold_off } => {
            writeln!(reply, "refuse\t{inst}\t{command}\t{:.1}", *hold_off as f64 / 10.0)
        }
        Decision::Fail { command } => writeln!(reply, "end_failed\t{inst}\t{command}"),
        // On this wire a dispatch is written as soon as it is decided, so there is nothing to cancel before that.
        Decision::CallOff { written: false, .. } => Ok(()),
        // No state is kept here for each member.
        Decision::Forget { .. } => Ok(()),
        Decision::CallOff { command, dispatch, .. } => {
            writeln!(reply, "withdraw\t{inst}\t{command}\t{dispatch}")
        }
        Decision::Probe { node } => writeln!(reply, "health_check\t{inst}\t{node}"),
        Decision::LetGo { node } => writeln!(reply, "close_idle\t{inst}\t{node}"),
        Decision::WatchList => writeln!(reply, "track\t{inst}\t1"),
    };
    written.expect("writing to a string");
}

#[cfg(test)]
mod tests;
