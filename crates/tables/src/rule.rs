use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;

use toml::de::DeValue;

use crate::limits::{MAX_NAME_BYTES, MAX_PATH_BYTES};
use crate::size::{format_size, parse_size};

type Parser<T> = Box<dyn Fn(&DeValue<'_>) -> Option<T>>;

/// The values that a field may have: a description for faults, and a function that parses an
/// allowed value.
pub(crate) struct Rule<T> {
    /// Description that completes the sentence "The value ...".
    pub(crate) allowed: String,
    parse: Parser<T>,
}

impl<T> Rule<T> {
    fn new(allowed: String, parse: impl Fn(&DeValue<'_>) -> Option<T> + 'static) -> Self {
        Self { allowed, parse: Box::new(parse) }
    }

    /// Returns the parsed value; none when it is not allowed.
    pub(crate) fn parse(&self, value: &DeValue<'_>) -> Option<T> {
        (self.parse)(value)
    }
}

/// An integer within `range`.
pub(crate) fn integer<T: TryFrom<u64>>(range: RangeInclusive<u64>) -> Rule<T> {
    let allowed = format!("must be an integer from {} to {}", range.start(), range.end());
    Rule::new(allowed, move |value| {
        let DeValue::Integer(integer) = value else {
            return None;
        };
        let number = u64::from_str_radix(integer.as_str(), integer.radix()).ok()?;
        range.contains(&number).then(|| T::try_from(number).ok())?
    })
}

/// A number within `range`.
pub(crate) fn number(range: RangeInclusive<f64>) -> Rule<f64> {
    let allowed = format!("must be a number from {:?} to {:?}", range.start(), range.end());
    Rule::new(allowed, move |value| {
        let number: f64 = match value {
            DeValue::Float(float) => float.as_str().parse().ok()?,
            DeValue::Integer(integer) if integer.radix() == 10 => integer.as_str().parse().ok()?,
            _ => return None,
        };
        range.contains(&number).then_some(number)
    })
}

/// `true` or `false`.
pub(crate) fn boolean() -> Rule<bool> {
    Rule::new("must be true or false".to_owned(), |value| match value {
        DeValue::Boolean(flag) => Some(*flag),
        _ => None,
    })
}

/// A duration within `range`.
pub(crate) fn duration(range: RangeInclusive<Duration>) -> Rule<Duration> {
    let [low, high] = [*range.start(), *range.end()].map(humantime::format_duration);
    let allowed = format!("must be a duration from {low} to {high}, such as \"800ms\"");
    Rule::new(allowed, move |value| {
        let duration = humantime::parse_duration(text(value)?).ok()?;
        range.contains(&duration).then_some(duration)
    })
}

/// A size within `range`, in bytes.
pub(crate) fn size(range: RangeInclusive<u64>, example: &str) -> Rule<u64> {
    let [low, high] = [*range.start(), *range.end()].map(format_size);
    let allowed = format!("must be a size from {low} to {high}, such as \"{example}\"");
    Rule::new(allowed, move |value| {
        let bytes = parse_size(text(value)?)?;
        range.contains(&bytes).then_some(bytes)
    })
}

/// A size of whole MiB within `range`, which is in bytes.
pub(crate) fn mebibytes(range: RangeInclusive<u64>, example: &str) -> Rule<u64> {
    let [low, high] = [*range.start(), *range.end()].map(format_size);
    let allowed =
        format!("must be a size from {low} to {high} in whole MiB, such as \"{example}\"");
    let size = size(range, example);
    Rule::new(allowed, move |value| {
        let bytes = size.parse(value)?;
        bytes.is_multiple_of(1 << 20).then_some(bytes >> 20)
    })
}

/// The name of a row, team, failure domain or guarantee.
pub(crate) fn name() -> Rule<String> {
    let allowed = format!(
        "must be a name of 1 to {MAX_NAME_BYTES} characters: letters a-z or A-Z, digits, '-' or '_'"
    );
    Rule::new(allowed, |value| {
        let name = text(value)?;
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
        let valid = (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed);
        valid.then(|| name.to_owned())
    })
}

/// A path prefix of requests.
pub(crate) fn path() -> Rule<String> {
    let allowed = format!(
        "must be a path of at most {MAX_PATH_BYTES} bytes, such as \"/settle\": either '/' alone, \
         or segments that each follow a '/' and consist of letters, digits, '-', '_', '.' or '~'; \
         no segment may be empty, \".\" or \"..\", and the path must not end with '/'"
    );
    Rule::new(allowed, |value| {
        let path = text(value)?;
        let valid = path.len() <= MAX_PATH_BYTES
            && (path == "/" || path.strip_prefix('/')?.split('/').all(is_segment));
        valid.then(|| path.to_owned())
    })
}

/// One of `choices`, written as its `Display` text.
pub(crate) fn choice<T: Copy + Display + 'static>(choices: &'static [T]) -> Rule<T> {
    let texts: Vec<_> = choices.iter().map(|choice| format!("\"{choice}\"")).collect();
    let allowed = format!("must be {}", texts.join(" or "));
    Rule::new(allowed, |value| {
        let text = text(value)?;
        choices.iter().copied().find(|choice| choice.to_string() == text)
    })
}

fn is_segment(segment: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    !matches!(segment, "" | "." | "..") && segment.bytes().all(is_allowed)
}

fn text<'a>(value: &'a DeValue<'_>) -> Option<&'a str> {
    match value {
        DeValue::String(text) => Some(text),
        _ => None,
    }
}
