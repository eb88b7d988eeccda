//! Tests of documents, deltas between them and edits.

mod common;

use common::{document, rows};
use skylarkpulley_config::{
    ApplyOutcome, Change, Delta, Document, History, Replica, TablesRow, compare_edits, join_rows,
    split_rows,
};

/// Guards against a delta that carries unchanged rows, forgets removed ones or does not lead to
/// the newer document.
#[test]
fn delta_from_known_version() {
    let mut history = History::new(8);
    let mut replica = Replica::new();
    let first =
        document(1, &[("pool/a", "1"), ("pool/b", "a long text that stays"), ("route/x", "1")]);
    replica.install(first.clone());
    history.install(first);
    history.install(document(
        2,
        &[("pool/a", "2"), ("pool/b", "a long text that stays"), ("route/x", "1")],
    ));
    history.install(document(
        4,
        &[("pool/a", "2"), ("pool/b", "a long text that stays"), ("route/y", "1")],
    ));
    let delta = history.delta_from(1).unwrap();
    assert_eq!((delta.from, delta.to), (1, 4));
    let keys: Vec<&str> = delta.rows.iter().map(|(key, _)| key.as_str()).collect();
    assert_eq!(
        (keys, &delta.removed[..]),
        (vec!["pool/a", "route/y"], &["route/x".to_owned()][..])
    );
    assert_eq!(replica.apply(&delta), ApplyOutcome::Applied);
    assert_eq!(replica.document(), history.document());
    assert_eq!(history.delta_from(4), None);
}

/// Guards against a delta from a version that the history no longer holds or never saw.
#[test]
fn delta_from_unknown_version() {
    let mut history = History::new(2);
    for version in [1, 2, 4, 5] {
        let text = version.to_string();
        history.install(document(version, &[("pool/a", &text), ("pool/b", "same text")]));
    }
    let from = |version| history.delta_from(version).unwrap().from;
    assert_eq!([from(0), from(1), from(2), from(3), from(4)], [0, 0, 2, 0, 4]);
}

/// Guards against a replica that reverts, or that takes a delta it cannot verify.
#[test]
fn replica_apply_cases() {
    let old = document(4, &[("pool/a", "1")]);
    let now = document(5, &[("pool/a", "2")]);
    let new = document(6, &[("pool/a", "3")]);
    let step = |from, digest| Delta {
        from,
        to: 6,
        rows: vec![("pool/a".to_owned(), "3".into())],
        removed: Vec::new(),
        digest,
    };
    let damaged = Delta { digest: old.digest(), ..Delta::full(&new) };
    let cases = [
        (Delta::full(&old), ApplyOutcome::Stale, 5),
        (Delta::full(&now), ApplyOutcome::Stale, 5),
        (damaged, ApplyOutcome::FullDocumentRequired, 5),
        (step(5, old.digest()), ApplyOutcome::FullDocumentRequired, 5),
        (step(7, new.digest()), ApplyOutcome::FullDocumentRequired, 5),
        (step(5, new.digest()), ApplyOutcome::Applied, 6),
        (step(4, new.digest()), ApplyOutcome::Applied, 6),
        (Delta::full(&new), ApplyOutcome::Applied, 6),
    ];
    for (delta, expected, version) in cases {
        let mut replica = Replica::new();
        replica.install(now.clone());
        assert_eq!(replica.apply(&delta), expected, "{delta:?}");
        assert_eq!(replica.document().version(), version, "{delta:?}");
    }
}

/// Guards against a document that differs at the same version and is never repaired.
#[test]
fn replica_repairs_same_version() {
    let mut replica = Replica::new();
    replica.install(document(5, &[("pool/a", "other")]));
    let right = document(5, &[("pool/a", "1")]);
    assert_eq!(replica.apply(&Delta::full(&right)), ApplyOutcome::Applied);
    assert_eq!(replica.document(), &right);
}

/// Guards against a digest that misses a row, a text or the border between rows.
#[test]
fn document_digest_differs() {
    let documents = [
        document(1, &[("pool/a", "1")]),
        document(1, &[("pool/a", "2")]),
        document(1, &[("pool/b", "1")]),
        document(1, &[("pool/a", "1"), ("pool/b", "")]),
        document(1, &[("pool/a1", "")]),
        document(1, &[]),
    ];
    let mut digests: Vec<_> = documents.iter().map(|document| document.digest()).collect();
    digests.sort();
    digests.dedup();
    assert_eq!(digests.len(), documents.len());
}

/// Guards against a store row that does not read back as the edit that was written.
#[test]
fn tables_row_round_trip() {
    let routes = "# till\n[[route]]\nname = \"settle\"\npath = '''/x\"'''\n";
    let base = TablesRow::new("e1", "", "[[pool]]\nname = \"a\"\n");
    let row = TablesRow::new("e2", routes, "").with_base(&base);
    let read = TablesRow::decode(row.encode().unwrap().as_bytes()).unwrap();
    assert_eq!((&read, read.version), (&row, 2));
    let document = read.document().unwrap();
    assert_eq!(document.rows().keys().collect::<Vec<_>>(), ["route/settle"]);
    for bad in ["", "version = 0\nedit = ''\nroutes = ''\npools = ''", "version = 1", "\u{0}"] {
        assert!(TablesRow::decode(bad.as_bytes()).is_err(), "{bad:?}");
    }
}

/// Guards against rows that change with comments, order or layout, and against rows that are
/// dropped without a word.
#[test]
fn split_rows_cases() {
    let one = split_rows("[[route]]\nname = 'x'\npath = '/x'\n", "").unwrap();
    let two = split_rows("# new\n[[route]]\npath='/x' # same\nname=\"x\"\n", "").unwrap();
    assert_eq!(one, two);
    let named = "[[route]]\nname='x'\n";
    let cases =
        ["[[route]]\npath = '/x'", "route = 3", "[[route]", &named.repeat(2), "route = [1]"];
    for bad in cases {
        assert!(split_rows(bad, "").is_err(), "{bad}");
    }
    let pool = "[[pool]]\nname = 'p'\n[[pool.team]]\n";
    for bad in ["weight = 1", "name = 'a/b'", "name = 'a'\n[[pool.team]]\nname = 'a'"] {
        assert!(split_rows("", &format!("{pool}{bad}")).is_err(), "{bad}");
    }
}

/// Guards against a change of one team that changes the row of the whole pool, and against texts
/// that lose something on the way through rows.
#[test]
fn join_rows_round_trip() {
    let routes = "[[route]]\nname = 'r'\npath = '/r'\n";
    let pools = "[[pool]]\nname = 'p'\nslots = 8\nempty = []\n[[pool.team]]\nname = 't'\nweight = 2\n\
                 [[pool.domain]]\nname = 'd'\nracks = [3, 1]\n[[pool.team]]\nname = 'u'\n";
    let rows = split_rows(routes, pools).unwrap();
    let keys: Vec<&String> = rows.keys().collect();
    assert_eq!(keys, ["pool/p", "pool/p/domain/d", "pool/p/team/t", "pool/p/team/u", "route/r"]);
    let (joined_routes, joined_pools) = join_rows(&rows).unwrap();
    assert_eq!(split_rows(&joined_routes, &joined_pools).unwrap(), rows);
    let parse = |text: &str| toml::from_str::<toml::Table>(text).unwrap();
    assert_eq!((parse(&joined_routes), parse(&joined_pools)), (parse(routes), parse(pools)));
    for bad in ["pool/q/team/t", "other/x", "pool/p/team"] {
        let mut rows = rows.clone();
        rows.insert(bad.to_owned(), "name = 't'".into());
        assert!(join_rows(&rows).is_err(), "{bad}");
    }
}

/// Guards against a delta that grows with the number of teams in the pool: 310 teams in one row
/// were 48 KB per change, above the traffic that a node may use.
#[test]
fn delta_of_one_team_in_large_pool() {
    let pools = |changed: u32| {
        let teams = (0..310).map(|team| {
            let weight = if team == 7 { changed } else { 2 };
            format!("[[pool.team]]\nname = 'team-{team}'\nweight = {weight}\n")
        });
        format!("[[pool]]\nname = 'jobs'\n{}", teams.collect::<String>())
    };
    let mut history = History::new(8);
    for (version, changed) in [(1, 2), (2, 5)] {
        history.install(Document::new(version, split_rows("", &pools(changed)).unwrap()));
    }
    let delta = history.delta_from(1).unwrap();
    assert_eq!((delta.rows.len(), delta.removed.len()), (1, 0));
    assert!(delta.size() < 100, "{} bytes", delta.size());
}

/// Guards against a lost race that is explained wrongly.
#[test]
fn compare_edits_cases() {
    let base = rows(&[("a", "0"), ("b", "0"), ("c", "0"), ("d", "0"), ("e", "0")]);
    let mine = rows(&[("a", "1"), ("b", "0"), ("c", "1"), ("e", "1"), ("f", "1")]);
    let theirs = rows(&[("a", "1"), ("b", "2"), ("d", "2"), ("e", "0"), ("f", "2")]);
    let found = compare_edits(&base, &mine, &theirs);
    let found: Vec<_> =
        found.iter().map(|row| (row.key.as_str(), row.mine, row.theirs, row.conflict)).collect();
    use Change::{Added, Changed, Removed, Unchanged};
    let expected = [
        ("a", Changed, Changed, false),
        ("b", Unchanged, Changed, false),
        ("c", Changed, Removed, true),
        ("d", Removed, Changed, true),
        ("e", Changed, Unchanged, false),
        ("f", Added, Added, true),
    ];
    assert_eq!(found, expected);
}
