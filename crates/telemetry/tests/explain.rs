//! Timelines of requests from recorded logs.

use telemetry::explain;

const FIRST: &str = r#"
{"event":"leadership","service":"s","primary":"i-1","term":1,"changing":false,"time_unix_ms":1000,"message":"the leadership record changed"}
{"event":"leadership","service":"s","primary":"i-1","term":1,"changing":true,"time_unix_ms":1500,"message":"the leadership record changed"}
{"event":"leadership","service":"other","primary":"i-9","term":1,"changing":false,"time_unix_ms":1600,"message":"the leadership record changed"}
a line without JSON
{"event":"refused","id":"q1","service":"s","code":"overloaded","why":"the primary is being replaced","held_ms":720,"time_unix_ms":2000,"message":"a statement was refused and not run"}
{"event":"refused","id":"q2","service":"s","code":"overloaded","time_unix_ms":2001,"message":"a statement was refused and not run"}
"#;

const SECOND: &str = r#"12.5 host-b {"event":"outcome","id":"q1","service":"s","code":"in_doubt","server":"i-1","time_unix_ms":1900,"message":"a statement's connection was lost"}"#;

fn logs() -> Vec<(String, String)> {
    vec![("host-a".to_owned(), FIRST.to_owned()), ("all.log".to_owned(), SECOND.to_owned())]
}

#[test]
fn timeline_is_ordered_across_daemons_and_includes_their_state() {
    let timeline = explain("q1", &logs());
    assert_eq!(timeline.len(), 3);
    assert!(timeline[0].starts_with("1900 host-b outcome"), "{}", timeline[0]);
    assert!(timeline[1].contains("known: 1500 host-a leadership"), "{}", timeline[1]);
    assert!(timeline[1].contains("changing=true"));
    assert!(timeline[2].starts_with("2000 host-a refused"));
    assert!(timeline[2].contains("why=the primary is being replaced"));
}

#[test]
fn unknown_request_has_an_empty_timeline() {
    assert!(explain("q9", &logs()).is_empty());
    assert!(explain("q1", &[]).is_empty());
}
