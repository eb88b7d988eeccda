//! Each file in `tests/faults` has the faults that the `.expected` file of the same name lists.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use quickcheck::{Gen, QuickCheck};
use skylarkpulley_tables::{Fault, SourceFile, parse, parse_files};

const ROUTES: &str = include_str!("faults/good/routes.toml");
const POOLS: &str = include_str!("faults/good/pools.toml");

/// Reads the files of `tests/faults` by name.
fn files() -> BTreeMap<String, Vec<u8>> {
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

/// Parses `bytes` as the table that `name` ends in, together with the other table without faults.
fn faults(name: &str, bytes: &[u8]) -> String {
    let (routes, pools) = match name.ends_with(".routes.toml") {
        true => (SourceFile { name, bytes }, SourceFile { name: "pools", bytes: POOLS.as_bytes() }),
        false => {
            (SourceFile { name: "routes", bytes: ROUTES.as_bytes() }, SourceFile { name, bytes })
        }
    };
    let faults = parse_files(routes, pools).expect_err(name);
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

#[test]
fn parse_faults() {
    let files = files();
    let tables: Vec<_> = files.iter().filter(|(name, _)| name.ends_with(".toml")).collect();
    assert_eq!(tables.len(), 57, "a fault sample is missing or new");
    for (name, bytes) in tables {
        let found = faults(name, bytes);
        let expected = files.get(&name.replace(".toml", ".expected")).map(Vec::as_slice);
        assert_eq!(
            found,
            String::from_utf8_lossy(expected.unwrap_or_default()),
            "faults of {name}"
        );
    }
}

/// Guards against cases that fail only because their partner table has faults.
#[test]
fn parse_good() {
    let good = |name, text: &'static str| SourceFile { name, bytes: text.as_bytes() };
    assert!(parse_files(good("routes", ROUTES), good("pools", POOLS)).is_ok());
}

/// Guards against a panic in an entry that receives a damaged table, and against faults without a
/// place.
#[test]
fn parse_damaged() {
    fn property(damage: Vec<(u16, u8)>) -> bool {
        let damaged = |text: &str, parity: usize| {
            let mut bytes = text.as_bytes().to_vec();
            for (index, (at, byte)) in damage.iter().enumerate() {
                let at = usize::from(*at) % bytes.len();
                if index % 2 == parity {
                    bytes[at] = *byte;
                }
            }
            bytes
        };
        let (routes, pools) = (damaged(ROUTES, 0), damaged(POOLS, 1));
        let faults = parse(&routes, &pools).err().unwrap_or_default();
        let key = |fault: &Fault| (fault.file == "pools.toml", fault.line, fault.column);
        faults.is_sorted_by_key(key) && faults.iter().all(|fault| key(fault) >= (false, 1, 1))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(6, 14))
        .tests(3000)
        .quickcheck(property as fn(Vec<(u16, u8)>) -> bool);
}
