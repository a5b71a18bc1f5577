//! `filbertctl --trace` on collected logs.
#![expect(
    clippy::unwrap_used,
    reason = "a test may panic on an unexpected error"
)]

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

const VM1_LOG: &str = r#"{"timestamp":"2026-06-22T05:22:13.0Z","level":"INFO","message":"control: A service is overloaded; requests of this rank are shed.","service":"desk","rank":"1.2","kept":900}
{"timestamp":"2026-06-22T05:22:14.0Z","level":"INFO","message":"control: A service is overloaded; requests of this rank are shed.","service":"desk","rank":"1.2","kept":62}
{"timestamp":"2026-06-22T05:22:14.5Z","level":"INFO","message":"entry: Request ended.","request":"other","outcome":"whole"}
{"timestamp":"2026-06-22T05:22:14.9Z","level":"INFO","message":"entry: Request ended.","request":"one","outcome":"unknown","reason":"the deadline passed"}
not a line
{"timestamp":"2026-06-22T05:22:16.0Z","level":"INFO","message":"control: A service is no longer overloaded.","service":"desk"}
"#;
const VM2_LOG: &str = r#"  14.6 vm2 {"timestamp":"2026-06-22T05:22:14.8Z","level":"INFO","message":"runner: Run ended.","request":"one","running":58,"queued":3}
"#;
const VM3_LOG: &str = r#"{"timestamp":"2026-06-22T05:22:14.0Z","level":"INFO","message":"node: Started."}
"#;

fn trace(name: &str, id: &str) -> Output {
    let folder: PathBuf = [env!("CARGO_TARGET_TMPDIR"), name].iter().collect();
    fs::create_dir_all(&folder).unwrap();
    let files = [("vm1", VM1_LOG), ("vm2", VM2_LOG), ("vm3", VM3_LOG)].map(|(vm, text)| {
        let file = folder.join(format!("{vm}.log"));
        fs::write(&file, text).unwrap();
        file
    });
    let mut program = Command::new(env!("CARGO_BIN_EXE_filbertctl"));
    program.args(["--trace", id]).args(files).output().unwrap()
}

#[test]
fn request_lines_are_sorted_and_followed_by_node_state() {
    let output = trace("found", "one");
    assert!(output.status.success());
    let out = String::from_utf8(output.stdout).unwrap();
    assert_eq!(
        out,
        r#"2026-06-22T05:22:14.8Z vm2 runner: Run ended. queued=3 running=58
2026-06-22T05:22:14.9Z vm1 entry: Request ended. outcome="unknown" reason="the deadline passed"
State that its nodes had logged by then:
2026-06-22T05:22:14.0Z vm1 control: A service is overloaded; requests of this rank are shed. kept=62 rank="1.2" service="desk"
"#
    );
}

#[test]
fn request_without_lines_is_an_error() {
    let output = trace("missing", "nobody");
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("nobody"), "{error}");
}
