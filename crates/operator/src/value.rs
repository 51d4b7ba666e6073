//! One value of a file, with checks of its type and range, and with its position.

use crate::{FileError, OperatorFile};
use hcl_edit::Span;
use hcl_edit::expr::Expression;
use std::ops::{Range, RangeInclusive};

/// A value with its path and position.
#[derive(Clone)]
pub struct Value<'a> {
    pub(crate) file: &'a OperatorFile,
    pub(crate) expression: &'a Expression,
    pub(crate) path: String,
    /// Position for errors if the expression has none of its own.
    pub(crate) fallback_span: Range<usize>,
}

/// Parses a time such as `250ms`, `5s`, `1.5min` or `100us` into microseconds.
pub fn micros_of(text: &str) -> Option<i64> {
    let at = text.find(|c: char| c.is_ascii_alphabetic())?;
    let number: f64 = text[..at].trim().parse().ok()?;
    let unit = match &text[at..] {
        "us" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        "min" => 6e7,
        "h" => 3.6e9,
        _ => return None,
    };
    let micros = (number * unit).round();
    (micros.is_finite() && micros.abs() < 9e15).then_some(micros as i64)
}

fn format_micros(micros: i64) -> String {
    match micros {
        m if m % 1_000_000 == 0 => format!("{}s", m / 1_000_000),
        m if m % 1_000 == 0 => format!("{}ms", m / 1_000),
        m => format!("{m}us"),
    }
}

fn describe_range(range: &RangeInclusive<f64>) -> String {
    match (*range.start(), *range.end()) {
        (low, high) if high >= 1e15 && low <= f64::MIN_POSITIVE && low > 0.0 => "a number above 0".into(),
        (low, high) if high >= 1e15 => format!("a number of {low} or more"),
        (low, high) if low == f64::MIN_POSITIVE => format!("a number above 0 and up to {high}"),
        (low, high) => format!("a number from {low} to {high}"),
    }
}

impl<'a> Value<'a> {
    pub fn path(&self) -> &str {
        &self.path
    }

    pub(crate) fn expression(&self) -> &Expression {
        self.expression
    }

    /// Position in the text of the file.
    pub fn place(&self) -> Range<usize> {
        self.expression.span().unwrap_or(self.fallback_span.clone())
    }

    /// The source text of the value, at most 60 characters.
    pub fn shown(&self) -> String {
        let text = self.file.text().get(self.place()).unwrap_or_default().trim();
        let short: String = text.chars().take(60).collect();
        if short.is_empty() { "nothing".into() } else { short }
    }

    pub fn wrong(&self, expected: impl Into<String>) -> FileError {
        let expected = format!("{} for {}", expected.into(), self.path);
        self.file.wrong(self.place(), expected, self.shown())
    }

    fn as_number(&self) -> Option<f64> {
        match self.expression {
            Expression::Number(number) => number.value().as_f64(),
            Expression::UnaryOp(op) if op.operator.value() == &hcl_edit::expr::UnaryOperator::Neg => {
                Value { expression: &op.expr, ..self.clone() }.as_number().map(|n| -n)
            }
            Expression::Parenthesis(inner) => Value { expression: inner.inner(), ..self.clone() }.as_number(),
            _ => None,
        }
    }

    pub fn number(&self, range: RangeInclusive<f64>) -> Result<f64, FileError> {
        let number = self.as_number().filter(|n| n.is_finite() && range.contains(n));
        number.ok_or_else(|| self.wrong(describe_range(&range)))
    }

    pub fn whole(&self, range: RangeInclusive<u64>) -> Result<u64, FileError> {
        let number = self.as_number().filter(|n| n.fract() == 0.0 && *n >= 0.0).map(|n| n as u64);
        let expected = || self.wrong(format!("a whole number from {} to {}", range.start(), range.end()));
        number.filter(|n| range.contains(n)).ok_or_else(expected)
    }

    pub fn text(&self) -> Result<&'a str, FileError> {
        self.expression.as_str().ok_or_else(|| self.wrong("a text in quotes"))
    }

    pub fn flag(&self) -> Result<bool, FileError> {
        self.expression.as_bool().ok_or_else(|| self.wrong("true or false"))
    }

    /// A time in microseconds, written as a text such as "250ms".
    pub fn time(&self, range: RangeInclusive<i64>) -> Result<i64, FileError> {
        let time = self.expression.as_str().and_then(micros_of).filter(|t| range.contains(t));
        time.ok_or_else(|| {
            let (low, high) = (format_micros(*range.start()), format_micros(*range.end()));
            self.wrong(format!("a time such as \"250ms\" from {low} to {high}"))
        })
    }

    /// The value that belongs to one of these words.
    pub fn choice<T: Copy>(&self, words: &[(&str, T)]) -> Result<T, FileError> {
        let found = self.expression.as_str().and_then(|t| words.iter().find(|w| w.0 == t));
        found.map(|w| w.1).ok_or_else(|| {
            let words: Vec<String> = words.iter().map(|w| format!("\"{}\"", w.0)).collect();
            self.wrong(format!("one of {}", words.join(", ")))
        })
    }

    /// The elements of a list.
    pub fn list(&self) -> Result<Vec<Value<'a>>, FileError> {
        let array = self.expression.as_array().ok_or_else(|| self.wrong("a list in brackets"))?;
        Ok(array.iter().map(|e| self.element(e)).collect())
    }

    fn element(&self, expression: &'a Expression) -> Value<'a> {
        Value { expression, fallback_span: self.place(), ..self.clone() }
    }

    /// Name and arguments of a call such as `lognormal("20ms", 0.8)`; `None` if the value is not a call.
    pub fn call(&self) -> Option<(&'a str, Vec<Value<'a>>)> {
        let call = self.expression.as_func_call()?;
        Some((call.name.name.as_str(), call.args.iter().map(|e| self.element(e)).collect()))
    }
}
