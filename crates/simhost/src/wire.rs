//! The simulator's line protocol: for each batch of event lines read, one reply of action lines is written.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::str::{FromStr, Split};
use vetchkeel::{
    AnswerNote, Command, Decision, DispatchEnd, Ending, Id, MemberEntry, Phase, ProbeEnd, Report, Router,
    SettingValues, Tenths,
};

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    member_lists: BTreeMap<u32, Vec<MemberEntry>>,
    line: usize,
}

struct Instance {
    /// None once the instance has failed: a `die` line has been written, and later events are ignored.
    router: Option<Router>,
    position_origin: Tenths,
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
        self.optional(what)?.map(|t| parse_tenths(t, what)).transpose()
    }

    fn flag(&mut self, what: &str) -> Result<bool, String> {
        match self.text(what)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => Err(format!("expected {what} as 0 or 1, found '{other}'")),
        }
    }
}

fn parse_tenths(text: &str, what: &str) -> Result<Tenths, String> {
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
            let first_line = self.line;
            self.handle_batch(&line.clone(), &mut input, &mut line, &mut output)
                .map_err(|why| format!("line {}: {why} (batch began at line {first_line})", self.line))?;
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

    fn handle_batch(
        &mut self,
        header: &str,
        input: &mut impl BufRead,
        line: &mut String,
        output: &mut impl Write,
    ) -> Result<(), String> {
        let mut header = Fields { parts: header.split('\t') };
        let keyword = header.text("'tick'")?;
        if keyword != "tick" {
            return Err(format!("expected 'tick', found '{keyword}'"));
        }
        let now = header.tenths("the clock")?.ok_or("expected the clock, found '-'")?;
        let number: u64 = header.number("the batch number")?;
        let mut active = Vec::new();
        let mut reply = String::new();
        loop {
            if !self.read_line(input, line)? {
                return Err("expected an event or 'eof_batch', found the end of the input".into());
            }
            if line == "eof_batch" {
                break;
            }
            let mut fields = Fields { parts: line.split('\t') };
            let keyword = fields.text("an event")?;
            if keyword == "inventory" {
                let list_number = fields.number("the sheet")?;
                let count: usize = fields.number("the number of rows")?;
                let mut entries = Vec::new();
                for _ in 0..count {
                    if !self.read_line(input, line)? {
                        return Err("expected a row, found the end of the input".into());
                    }
                    entries.push(parse_row(line)?);
                }
                self.member_lists.insert(list_number, entries);
                continue;
            }
            let instance_id: u32 = fields.number("the instance")?;
            let outcome =
                catch_unwind(AssertUnwindSafe(|| self.handle_event(now, instance_id, keyword, &mut fields)));
            let failure = match outcome {
                Ok(done) => done?,
                Err(cause) => Some(panic_text(cause)),
            };
            if let Some(text) = failure {
                self.fail(instance_id, &text, &mut reply);
            } else if !active.contains(&instance_id) {
                active.push(instance_id);
            }
        }
        for instance_id in active {
            self.write_decisions(now, instance_id, &mut reply);
        }
        reply.push_str(&format!("end\t{number}\n"));
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|e| format!("cannot reply: {e}"))
    }

    fn fail(&mut self, instance_id: u32, text: &str, reply: &mut String) {
        if let Some(instance) = self.instances.get_mut(&instance_id) {
            instance.router = None;
        }
        let text = text.replace(['\t', '\n', '\r'], " ");
        reply.push_str(&format!("die\t{instance_id}\t{text}\n"));
    }

    /// Handles one event. Err means a malformed line; Ok with a text means that the instance has failed.
    fn handle_event(
        &mut self,
        now: Tenths,
        instance_id: u32,
        keyword: &str,
        fields: &mut Fields,
    ) -> Result<Option<String>, String> {
        if keyword == "begin" {
            let seed: u64 = fields.number("the seed")?;
            let mut settings = SettingValues::new();
            for pair in fields.parts.by_ref().filter(|p| !p.is_empty() && *p != "-") {
                let (name, value) =
                    pair.split_once('=').ok_or_else(|| format!("expected name=value, found '{pair}'"))?;
                settings.insert(name.to_owned(), value.to_owned());
            }
            let position_origin = match settings.get("family_info.zero_ms") {
                Some(text) => parse_tenths(text, "family_info.zero_ms")?,
                None => 0,
            };
            let (router, failure) = match Router::start(settings, seed, now) {
                Ok(mut router) => {
                    router.assume_exact_clock();
                    (Some(router), None)
                }
                Err(why) => (None, Some(why)),
            };
            self.instances.insert(instance_id, Instance { router, position_origin, timer: None });
            return Ok(failure);
        }
        if keyword == "down" {
            self.instances.remove(&instance_id);
            return Ok(None);
        }
        let Some(Instance { router: Some(router), position_origin, timer }) =
            self.instances.get_mut(&instance_id)
        else {
            return match keyword {
                "sync" | "arrival" | "left" | "begun" | "outcome" | "memo" | "probe_done" | "due" => Ok(None),
                _ => Err(format!("expected an event, found '{keyword}'")),
            };
        };
        match keyword {
            "sync" => {
                let list_number: u32 = fields.number("the sheet").unwrap_or(u32::MAX);
                fields.text("the epoch")?;
                let complete = match fields.text("the form")? {
                    "delta" => false,
                    "full" | "cached" => true,
                    "failed" => {
                        router.list_failed(now);
                        return Ok(None);
                    }
                    other => return Err(format!("expected delta, full, cached or failed, found '{other}'")),
                };
                let entries = self
                    .member_lists
                    .get(&list_number)
                    .ok_or_else(|| format!("no inventory has number {list_number}"))?;
                router.members_changed(now, complete, entries);
            }
            "arrival" => {
                let id = Id::from(fields.text("the command's id")?);
                let customer = fields.optional("the customer")?.filter(|c| *c != "0").map(str::to_owned);
                let token_age = fields.tenths("the token's age")?;
                let time_left = fields.tenths("the time left")?.unwrap_or(0);
                let flags: f64 =
                    fields.optional("the bits")?.unwrap_or("0").parse().map_err(|_| "expected the bits")?;
                let repeat = flags as u64 & 2 != 0;
                fields.text("the effort")?;
                let set: f64 = fields
                    .optional("the group")?
                    .unwrap_or("0")
                    .parse()
                    .map_err(|_| "expected the group's number")?;
                let command_group = fields.text("the command group")?.to_owned();
                let session = fields.optional("the session")?.map(str::to_owned);
                let command = Command {
                    id,
                    command_group,
                    customer,
                    set: set as i64,
                    time_left,
                    token_age,
                    session,
                    repeat,
                    // The wire states no statement.
                    statement_bytes: Some(0),
                };
                if let Err(why) = router.command_arrived(now, command) {
                    return Ok(Some(why));
                }
            }
            "left" => router.command_left(fields.text("the command's id")?),
            "begun" | "memo" => {}
            "outcome" => {
                let id = fields.text("the command's id")?;
                let dispatch: u32 = fields.number("the dispatch")?;
                let took = fields.tenths("the delay")?.unwrap_or(0);
                let command_complete = fields.flag("whether the command is over")?;
                fields.text("the node")?;
                let note: i64 = fields
                    .optional("the note")?
                    .unwrap_or("0")
                    .parse()
                    .map_err(|_| "expected the note's number")?;
                let ending = parse_ending(fields.text("the status")?)?;
                let report = parse_report(fields.optional("the report")?, *position_origin)?;
                // Positions are sent in whole milliseconds after `position_origin`, which is itself rounded down.
                let position = if note >= 4 { *position_origin + (note / 4) * 10 } else { 0 };
                let primary = [None, Some(true), Some(false), None][(note % 4).unsigned_abs() as usize];
                let note = AnswerNote { primary, position };
                router.dispatch_ended(
                    now,
                    id,
                    DispatchEnd { dispatch, ending, took, idled: None, command_complete, note, report },
                );
            }
            "probe_done" => {
                let node = fields.text("the node")?;
                let ending = parse_ending(fields.text("the status")?)?;
                let took = fields.tenths("the delay")?.unwrap_or(0);
                let report = parse_report(fields.optional("the report")?, *position_origin)?;
                router.probe_ended(now, node, ProbeEnd { ending, took, primary: None, report });
            }
            "due" => {
                fields.text("the timer's name")?;
                if timer.is_some_and(|at| at <= now) {
                    *timer = None;
                }
            }
            other => return Err(format!("expected an event, found '{other}'")),
        }
        Ok(None)
    }

    fn write_decisions(&mut self, now: Tenths, instance_id: u32, reply: &mut String) {
        let Some(Instance { router: Some(router), timer, .. }) = self.instances.get_mut(&instance_id) else {
            return;
        };
        let outcome = catch_unwind(AssertUnwindSafe(|| {
            while let Some(decision) = router.next_decision(now) {
                write_decision(instance_id, &decision, reply);
            }
            if let Some(at) = router.wake_at()
                && timer.is_none_or(|set| at < set)
            {
                let wait = (at - now).max(1) as f64 / 10.0;
                // The simulator's timers last at most 71 minutes: a longer wait is set again when the timer expires.
                reply.push_str(&format!("timer\t{instance_id}\t{:.1}\t0\n", wait.min(3_600_000.0)));
                *timer = Some(now + (wait.min(3_600_000.0) * 10.0) as Tenths);
            }
        }));
        if let Err(cause) = outcome {
            self.fail(instance_id, &panic_text(cause), reply);
        }
    }
}

fn panic_text(cause: Box<dyn std::any::Any + Send>) -> String {
    let text = cause.downcast_ref::<String>().cloned();
    text.or_else(|| cause.downcast_ref::<&str>().map(|t| (*t).to_owned())).unwrap_or_else(|| "panic".into())
}

fn parse_row(line: &str) -> Result<MemberEntry, String> {
    let mut fields = Fields { parts: line.split('\t') };
    let keyword = fields.text("a row")?;
    if keyword != "row" {
        return Err(format!("expected 'row', found '{keyword}'"));
    }
    let node = Id::from(fields.text("the node")?);
    let zone = Id::from(fields.text("the zone")?);
    let machine = Id::from(fields.text("the machine")?);
    let set: i64 =
        fields.optional("the group")?.unwrap_or("0").parse().map_err(|_| "expected the group's number")?;
    let phase = match fields.text("the phase")? {
        "up" => Phase::Up,
        "draining" => Phase::Draining,
        "removed" => Phase::Removed,
        other => return Err(format!("expected up, draining or removed, found '{other}'")),
    };
    fields.text("the scale")?;
    let started = fields.tenths("the start time")?.unwrap_or(0);
    let primary = fields.optional("the writer")?.is_some_and(|w| w.parse::<f64>().is_ok_and(|w| w > 0.0));
    Ok(MemberEntry { node, zone, machine, set, phase, started, primary })
}

fn parse_ending(text: &str) -> Result<Ending, String> {
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

fn parse_report(text: Option<&str>, position_origin: Tenths) -> Result<Report, String> {
    let mut report = Report::default();
    for pair in text.unwrap_or("").split(',').filter(|p| !p.is_empty()) {
        let (name, value) =
            pair.split_once(':').ok_or_else(|| format!("expected name:value, found '{pair}'"))?;
        let value: f64 =
            value.parse().map_err(|_| format!("expected a number for {name}, found '{value}'"))?;
        match name {
            // Seconds to tenths of a millisecond, less one millisecond in case the text was rounded up.
            "x0" => report.position = Some(position_origin + (value * 10_000.0).floor() as Tenths - 10),
            "x1" => report.primary = Some(value > 0.5),
            _ => {}
        }
    }
    Ok(report)
}

fn write_decision(instance_id: u32, decision: &Decision, reply: &mut String) {
    use std::fmt::Write;
    let written = match decision {
        Decision::Dispatch { command, node, limit, .. } => {
            writeln!(reply, "place\t{instance_id}\t{command}\t{node}\t{:.1}", *limit as f64 / 10.0)
        }
        Decision::Throttle { command, retry_after } => {
            writeln!(reply, "refuse\t{instance_id}\t{command}\t{:.1}", *retry_after as f64 / 10.0)
        }
        Decision::Fail { command } => writeln!(reply, "end_failed\t{instance_id}\t{command}"),
        // On this wire a dispatch is written as soon as it is decided, so there is nothing to cancel before that.
        Decision::CancelDispatch { written: false, .. } => Ok(()),
        // No state is kept here for each member.
        Decision::ForgetMember { .. } => Ok(()),
        Decision::CancelDispatch { command, dispatch, .. } => {
            writeln!(reply, "withdraw\t{instance_id}\t{command}\t{dispatch}")
        }
        Decision::Probe { node } => writeln!(reply, "health_check\t{instance_id}\t{node}"),
        Decision::CloseIdle { node } => writeln!(reply, "close_idle\t{instance_id}\t{node}"),
        Decision::WatchMembers => writeln!(reply, "track\t{instance_id}\t1"),
    };
    written.expect("writing to a string");
}

#[cfg(test)]
mod tests;
