//! Tests of documents, of deltas between them and of edits.

mod common;

use common::{document, rows};
use skylarkpulley_config::{
    ApplyOutcome, Change, Delta, Document, History, Replica, TablesRow, compare_edits, join_rows,
    split_rows,
};

/// Guards against a delta that contains unchanged rows, omits removed rows or does not result in the
/// newer document.
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

/// Guards against a partial delta from a version that the history no longer contains or never
/// contained.
#[test]
fn delta_from_unknown_version() {
    let mut history = History::new(2);
    for version in [1, 2, 4, 5] {
        let text = version.to_string();
        history.install(document(version, &[("pool/a", &text), ("pool/b", "same text")]));
    }
    let delta_start = |version| history.delta_from(version).unwrap().from;
    assert_eq!(
        [delta_start(0), delta_start(1), delta_start(2), delta_start(3), delta_start(4)],
        [0, 0, 2, 0, 4]
    );
}

/// Guards against a replica that returns to a lower version, or that applies a delta that it cannot
/// verify.
#[test]
fn replica_apply_cases() {
    let older = document(4, &[("pool/a", "1")]);
    let current = document(5, &[("pool/a", "2")]);
    let newer = document(6, &[("pool/a", "3")]);
    let partial = |from, digest| Delta {
        from,
        to: 6,
        rows: vec![("pool/a".to_owned(), "3".into())],
        removed: Vec::new(),
        digest,
    };
    let damaged = Delta { digest: older.digest(), ..Delta::full(&newer) };
    let cases = [
        (Delta::full(&older), ApplyOutcome::Stale, 5),
        (Delta::full(&current), ApplyOutcome::Stale, 5),
        (damaged, ApplyOutcome::FullDocumentRequired, 5),
        (partial(5, older.digest()), ApplyOutcome::FullDocumentRequired, 5),
        (partial(7, newer.digest()), ApplyOutcome::FullDocumentRequired, 5),
        (partial(5, newer.digest()), ApplyOutcome::Applied, 6),
        (partial(4, newer.digest()), ApplyOutcome::Applied, 6),
        (Delta::full(&newer), ApplyOutcome::Applied, 6),
    ];
    for (delta, expected, version) in cases {
        let mut replica = Replica::new();
        replica.install(current.clone());
        assert_eq!(replica.apply(&delta), expected, "{delta:?}");
        assert_eq!(replica.document().version(), version, "{delta:?}");
    }
}

/// Guards against a document with a wrong digest at the current version that is never repaired.
#[test]
fn replica_repairs_same_version() {
    let mut replica = Replica::new();
    replica.install(document(5, &[("pool/a", "other")]));
    let correct = document(5, &[("pool/a", "1")]);
    assert_eq!(replica.apply(&Delta::full(&correct)), ApplyOutcome::Applied);
    assert_eq!(replica.document(), &correct);
}

/// Guards against a digest that does not cover a row, a text or the boundary between a key and its
/// text.
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

/// Guards against a store row that does not decode to the edit that was encoded, and against
/// malformed rows that are accepted.
#[test]
fn tables_row_round_trip() {
    let routes = "# checkout\n[[route]]\nname = \"settle\"\npath = '''/x\"'''\n";
    let base = TablesRow::new("e1", "", "[[pool]]\nname = \"a\"\n");
    let row = TablesRow::new("e2", routes, "").with_base(&base);
    let decoded = TablesRow::decode(row.encode().unwrap().as_bytes()).unwrap();
    assert_eq!((&decoded, decoded.version), (&row, 2));
    let document = decoded.document().unwrap();
    assert_eq!(document.rows().keys().collect::<Vec<_>>(), ["route/settle"]);
    for malformed in ["", "version = 0\nedit = ''\nroutes = ''\npools = ''", "version = 1", "\u{0}"]
    {
        assert!(TablesRow::decode(malformed.as_bytes()).is_err(), "{malformed:?}");
    }
}

/// Guards against rows that depend on comments, order or layout, and against invalid elements that
/// are dropped without an error.
#[test]
fn split_rows_cases() {
    let original = split_rows("[[route]]\nname = 'x'\npath = '/x'\n", "").unwrap();
    let reformatted = split_rows("# new\n[[route]]\npath='/x' # same\nname=\"x\"\n", "").unwrap();
    assert_eq!(original, reformatted);
    let route = "[[route]]\nname='x'\n";
    let cases =
        ["[[route]]\npath = '/x'", "route = 3", "[[route]", &route.repeat(2), "route = [1]"];
    for invalid in cases {
        assert!(split_rows(invalid, "").is_err(), "{invalid}");
    }
    let pool = "[[pool]]\nname = 'p'\n[[pool.team]]\n";
    for invalid in ["weight = 1", "name = 'a/b'", "name = 'a'\n[[pool.team]]\nname = 'a'"] {
        assert!(split_rows("", &format!("{pool}{invalid}")).is_err(), "{invalid}");
    }
}

/// Guards against pool elements that have no row of their own, against texts that lose content when
/// they are split and joined, and against invalid rows that are accepted.
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
    for invalid in ["pool/q/team/t", "other/x", "pool/p/team"] {
        let mut rows = rows.clone();
        rows.insert(invalid.to_owned(), "name = 't'".into());
        assert!(join_rows(&rows).is_err(), "{invalid}");
    }
}

/// Guards against a delta whose size grows with the number of teams in the pool. When all 310 teams
/// were in one row, each change sent 48 KB, more than the traffic that a node may use.
#[test]
fn delta_of_one_team_in_large_pool() {
    let pools = |changed_weight: u32| {
        let teams = (0..310).map(|team| {
            let weight = if team == 7 { changed_weight } else { 2 };
            format!("[[pool.team]]\nname = 'team-{team}'\nweight = {weight}\n")
        });
        format!("[[pool]]\nname = 'jobs'\n{}", teams.collect::<String>())
    };
    let mut history = History::new(8);
    for (version, changed_weight) in [(1, 2), (2, 5)] {
        history.install(Document::new(version, split_rows("", &pools(changed_weight)).unwrap()));
    }
    let delta = history.delta_from(1).unwrap();
    assert_eq!((delta.rows.len(), delta.removed.len()), (1, 0));
    assert!(
        delta.size() < 100,
        "the delta is {} bytes long, expected fewer than 100",
        delta.size()
    );
}

/// Guards against differences that describe a conflict of concurrent edits wrongly.
#[test]
fn compare_edits_cases() {
    let base = rows(&[("a", "0"), ("b", "0"), ("c", "0"), ("d", "0"), ("e", "0")]);
    let mine = rows(&[("a", "1"), ("b", "0"), ("c", "1"), ("e", "1"), ("f", "1")]);
    let theirs = rows(&[("a", "1"), ("b", "2"), ("d", "2"), ("e", "0"), ("f", "2")]);
    let differences = compare_edits(&base, &mine, &theirs);
    let differences: Vec<_> = differences
        .iter()
        .map(|row| (row.key.as_str(), row.mine, row.theirs, row.conflict))
        .collect();
    use Change::{Added, Changed, Removed, Unchanged};
    let expected = [
        ("a", Changed, Changed, false),
        ("b", Unchanged, Changed, false),
        ("c", Changed, Removed, true),
        ("d", Removed, Changed, true),
        ("e", Changed, Unchanged, false),
        ("f", Added, Added, true),
    ];
    assert_eq!(differences, expected);
}
