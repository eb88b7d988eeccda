/// Size units with their number of bytes, largest first.
const UNITS: [(&str, u64); 5] =
    [("TiB", 1 << 40), ("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

/// Parses a size such as `64KiB` into bytes. Returns none when the text is not an integer with a
/// unit or when the size does not fit in 64 bits.
pub fn parse_size(text: &str) -> Option<u64> {
    let (number, factor) = UNITS
        .iter()
        .find_map(|(unit, factor)| text.strip_suffix(unit).map(|number| (number, factor)))?;
    let number = number.trim_end();
    if !number.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    number.parse::<u64>().ok()?.checked_mul(*factor)
}

/// Formats a size in the largest unit of which it is a multiple.
pub fn format_size(bytes: u64) -> String {
    let (unit, factor) =
        UNITS.into_iter().find(|(_, factor)| bytes.is_multiple_of(*factor)).unwrap_or(("B", 1));
    if bytes == 0 { "0B".to_owned() } else { format!("{}{unit}", bytes / factor) }
}
