//! Classification, session settings, comment tags, SCRAM verifiers and refusals.

use model::{Refusal, RefusalReason, Verdict};
use proptest::prelude::*;
use wire::{Classifier, Effect, SessionSettings, classify, make_verifier, split_tags};

fn effects(sql: &str) -> Vec<Effect> {
    classify(sql, &["menu_of"]).effects
}

#[test]
fn only_provably_read_only_statements_are_reads() {
    let reads = [
        "SELECT 1",
        "SELECT * FROM t WHERE id = $1 ORDER BY id LIMIT 3",
        "WITH a AS (SELECT 1) SELECT count(*) FROM a",
        "SELECT lower(name), coalesce(max(seq), 0) FROM t GROUP BY name",
        "SELECT menu_of(3)",
        "SELECT pg_catalog.lower('A')",
        "VALUES (1), (2)",
        "EXPLAIN SELECT 1",
    ];
    for sql in reads {
        assert_eq!(effects(sql), [Effect::Read], "{sql}");
    }
    let writes = [
        "INSERT INTO t VALUES (1)",
        "UPDATE t SET a = 1",
        "SELECT * FROM t FOR UPDATE",
        "SELECT a INTO u FROM t",
        "SELECT nextval('s')",
        "SELECT charge_card(1)",
        "SELECT * FROM charge_cards()",
        "WITH gone AS (DELETE FROM t RETURNING *) SELECT * FROM gone",
        "SELECT 1 WHERE EXISTS (SELECT charge_card(2))",
        "EXPLAIN ANALYZE SELECT 1",
        "CREATE TABLE t (id INT)",
        "VACUUM (VERBOSE, ANALYZE) t",
    ];
    for sql in writes {
        assert_eq!(effects(sql), [Effect::Write], "{sql}");
    }
}

#[test]
fn transaction_control_and_settings_are_classified() {
    let set = |name: &str, value: Option<&str>| Effect::Set {
        name: name.to_owned(),
        value: value.map(str::to_owned),
    };
    let rows = [
        ("BEGIN", Effect::Begin { read_only: false }),
        ("START TRANSACTION READ ONLY", Effect::Begin { read_only: true }),
        ("COMMIT", Effect::Commit),
        ("END", Effect::Commit),
        ("ROLLBACK", Effect::Rollback),
        ("SAVEPOINT a", Effect::Neutral),
        ("ROLLBACK TO SAVEPOINT a", Effect::Neutral),
        ("SET LOCAL work_mem = '1MB'", Effect::Neutral),
        ("SET wardtiller.read_kind = 'menu'", set("wardtiller.read_kind", Some("menu"))),
        ("SET search_path TO a, b", set("search_path", Some("a, b"))),
        ("SET TIME ZONE 'UTC'", set("timezone", Some("UTC"))),
        ("RESET search_path", set("search_path", None)),
        ("RESET ALL", Effect::ResetAll),
        ("SHOW wardtiller.session", Effect::Show { name: "wardtiller.session".to_owned() }),
        ("DISCARD ALL", Effect::Discard),
    ];
    for (sql, expected) in rows {
        assert_eq!(effects(sql), [expected], "{sql}");
    }
}

#[test]
fn unsupported_session_state_is_refused() {
    let refused = [
        "LISTEN a",
        "UNLISTEN *",
        "CREATE TEMPORARY TABLE t (id INT)",
        "CREATE TEMP VIEW v AS SELECT 1",
        "SELECT pg_advisory_lock(1)",
        "SELECT set_config('a', 'b', false)",
        "COPY t FROM STDIN",
        "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
        "COMMIT AND CHAIN",
        "SET SESSION AUTHORIZATION x",
        "SELECT 1; SET search_path = a",
        "LOAD 'library'",
        "DISCARD SOMETHING ELSE",
    ];
    for sql in refused {
        assert!(classify(sql, &[]).unsupported_feature().is_some(), "{sql}");
    }
}

#[test]
fn invalid_texts_are_neither_reads_nor_writes() {
    for sql in ["SELEC 1", "FROBNICATE", "1 + 1", "'open"] {
        let classified = classify(sql, &[]);
        assert!(classified.parse_error().is_some(), "{sql}");
        assert!(!classified.is_read() && !classified.may_write(), "{sql}");
    }
}

#[test]
fn tags_are_parsed_from_a_trailing_comment() {
    let (plain, tags) = split_tags(
        "SELECT 1 /* traceparent='00-1-2-01', wardtiller.read_kind='menu', other='x' */;",
    );
    assert_eq!(plain, "SELECT 1");
    assert_eq!(tags.read_kind.as_deref(), Some("menu"));
    assert_eq!(tags.traceparent.as_deref(), Some("00-1-2-01"));
    for sql in ["SELECT '/* wardtiller.read_kind=''menu'' */'", "SELECT 1", "/* x */ SELECT 1"] {
        assert_eq!(split_tags(sql).0, sql);
    }
}

#[test]
fn settings_are_replayed_or_refused() {
    let mut settings = SessionSettings::default();
    settings.set_at_startup("application_name", "desk").unwrap();
    settings.set("TimeZone", Some("it's")).unwrap();
    assert!(settings.set("work_mem", Some("1MB")).is_err());
    let replay = SessionSettings::replay_statement(settings.iter());
    assert_eq!(replay, "SET application_name = 'desk';SET timezone = 'it''s';");
    let before = SessionSettings::fingerprint(settings.iter());
    settings.reset_all();
    assert_eq!(settings.get("application_name"), Some("desk"));
    assert_ne!(before, SessionSettings::fingerprint(settings.iter()));
    assert_eq!(SessionSettings::fingerprint(SessionSettings::default().iter()), 0);
}

#[test]
fn verifiers_are_salted_and_do_not_contain_the_password() {
    let (first, second) = (make_verifier("secret"), make_verifier("secret"));
    assert!(first.starts_with("SCRAM-SHA-256$4096:"));
    assert_ne!(first, second, "each verifier has its own salt");
    assert!(!first.contains("secret"));
}

#[test]
fn refusals_page_lists_every_reason() {
    let page = include_str!("../../../docs/REFUSALS.md");
    for reason in RefusalReason::ALL {
        let code = reason.sqlstate(Verdict::NotRun);
        let row = format!("| `{}` | `{code}` |", reason.as_str());
        assert!(page.contains(&row), "docs/REFUSALS.md lacks {row}");
        assert_eq!(RefusalReason::from_name(reason.as_str()), Some(reason));
        assert_eq!(reason.sqlstate(Verdict::MayHaveRun), "08007");
    }
    let refusal = Refusal::not_run(RefusalReason::Overloaded, "full").retry_after(50);
    let bytes = wire::encode_refusal(&refusal);
    let text = String::from_utf8_lossy(&bytes);
    assert!(text.contains("verdict=not_run reason=overloaded"));
    assert!(text.contains("Send it again after 50 ms."));
}

proptest! {
    #[test]
    fn classifier_handles_any_text(sql in ".{0,120}") {
        let classifier = Classifier::default();
        let (plain, _) = split_tags(&sql);
        let first = classifier.classify(plain, &[]);
        prop_assert_eq!(first, classifier.classify(plain, &[]));
    }

    /// Guards against a data-modifying statement nested in a query being classified as a read.
    #[test]
    fn nested_write_is_not_a_read(
        wrapper in prop::sample::select(vec![
            "WITH a AS ({}) SELECT 1",
            "SELECT * FROM (WITH a AS ({}) SELECT 1) b",
            "SELECT 1 UNION ALL (WITH a AS ({}) SELECT 2)",
        ]),
        inner in prop::sample::select(vec![
            "INSERT INTO t VALUES (1) RETURNING 1",
            "UPDATE t SET a = 1 RETURNING 1",
            "DELETE FROM t RETURNING 1",
            "SELECT pay(1)",
        ]),
    ) {
        let sql = wrapper.replace("{}", inner);
        prop_assert!(!classify(&sql, &[]).is_read(), "{}", sql);
    }
}
