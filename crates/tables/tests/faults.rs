//! Parsing a `.toml` file in `tests/faults` must report exactly the faults that are listed in the
//! `.expected` file of the same name.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use quickcheck::{Gen, QuickCheck};
use skylarkpulley_tables::{Fault, SourceFile, parse, parse_files};

const VALID_ROUTES: &str = include_str!("faults/good/routes.toml");
const VALID_POOLS: &str = include_str!("faults/good/pools.toml");

/// Returns the contents of the files in `tests/faults` by their name.
fn sample_files() -> BTreeMap<String, Vec<u8>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/faults");
    let entries =
        fs::read_dir(folder).expect("the folder exists").map(|entry| entry.expect("readable"));
    entries
        .filter(|entry| entry.path().is_file())
        .map(|entry| {
            let name = entry.file_name().into_string().expect("UTF-8");
            (name, fs::read(entry.path()).expect("readable"))
        })
        .collect()
}

/// Parses `bytes` as the kind of table that `name` ends in, together with a valid table of the
/// other kind. Returns the faults, one on each line.
fn faults_of(name: &str, bytes: &[u8]) -> String {
    let (routes, pools) = match name.ends_with(".routes.toml") {
        true => (
            SourceFile { name, bytes },
            SourceFile { name: "pools", bytes: VALID_POOLS.as_bytes() },
        ),
        false => (
            SourceFile { name: "routes", bytes: VALID_ROUTES.as_bytes() },
            SourceFile { name, bytes },
        ),
    };
    let faults = parse_files(routes, pools).expect_err(name);
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

#[test]
fn parse_faults() {
    let files = sample_files();
    let tables: Vec<_> = files.iter().filter(|(name, _)| name.ends_with(".toml")).collect();
    assert_eq!(tables.len(), 57, "a fault sample is missing or new");
    for (name, bytes) in tables {
        let reported = faults_of(name, bytes);
        let expected = files.get(&name.replace(".toml", ".expected")).map(Vec::as_slice);
        assert_eq!(
            reported,
            String::from_utf8_lossy(expected.unwrap_or_default()),
            "faults of {name}"
        );
    }
}

/// Guards against samples whose faults come only from the other table, which must be valid.
#[test]
fn parse_good() {
    let source = |name, text: &'static str| SourceFile { name, bytes: text.as_bytes() };
    assert!(parse_files(source("routes", VALID_ROUTES), source("pools", VALID_POOLS)).is_ok());
}

/// Guards against a panic in an entry that receives a damaged table, and against faults without a
/// line or column.
#[test]
fn parse_damaged() {
    fn property(damage: Vec<(u16, u8)>) -> bool {
        let damaged = |text: &str, parity: usize| {
            let mut bytes = text.as_bytes().to_vec();
            for (index, (offset, byte)) in damage.iter().enumerate() {
                let offset = usize::from(*offset) % bytes.len();
                if index % 2 == parity {
                    bytes[offset] = *byte;
                }
            }
            bytes
        };
        let (routes, pools) = (damaged(VALID_ROUTES, 0), damaged(VALID_POOLS, 1));
        let faults = parse(&routes, &pools).err().unwrap_or_default();
        let key = |fault: &Fault| (fault.file == "pools.toml", fault.line, fault.column);
        faults.is_sorted_by_key(key) && faults.iter().all(|fault| key(fault) >= (false, 1, 1))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(6, 14))
        .tests(3000)
        .quickcheck(property as fn(Vec<(u16, u8)>) -> bool);
}
