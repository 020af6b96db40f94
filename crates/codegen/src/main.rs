//! Developer tool: generates the Rust code in `crates/wire/src/generated` from the definitions
//! in `crates/wire/proto`.
//!
//! `cargo run -p mulberryrack-codegen` writes the files that have changed. With `--check` it
//! writes nothing and exits with an error if a committed file is out of date. Either way it
//! prints a line for each file that was out of date.

use std::{env, error::Error, fs, path::Path, process::ExitCode};

const FILES: [&str; 7] = [
    "member.proto",
    "ledger.proto",
    "route.proto",
    "place.proto",
    "peer.proto",
    "operator.proto",
    "plan.proto",
];

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let check = env::args().any(|arg| arg == "--check");
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let committed = wire.join("src/generated");
    let fresh = env::temp_dir().join(format!("mulberryrack-codegen-{}", std::process::id()));
    fs::create_dir_all(&fresh)?;
    generate(&wire.join("proto"), &fresh)?;
    let stale = copy(&fresh, &committed, check)?;
    fs::remove_dir_all(&fresh)?;
    for name in &stale {
        println!("event=generated file={name} current=false");
    }
    Ok(if check && !stale.is_empty() {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

fn generate(protos: &Path, out: &Path) -> Result<(), Box<dyn Error>> {
    let files = protox::compile(FILES, [protos])?;
    tonic_prost_build::configure()
        .out_dir(out)
        .bytes(".")
        .compile_fds(files)?;
    Ok(())
}

/// Compares generated with committed files and returns the names of those that differ. Copies
/// these files to `committed` unless `check` is set.
fn copy(fresh: &Path, committed: &Path, check: bool) -> Result<Vec<String>, Box<dyn Error>> {
    let mut stale = Vec::new();
    for file in fs::read_dir(fresh)? {
        let file = file?;
        let name = file.file_name().to_string_lossy().into_owned();
        let text = fs::read(file.path())?;
        let target = committed.join(&name);
        if fs::read(&target).ok().as_deref() == Some(text.as_slice()) {
            continue;
        }
        if !check {
            fs::write(&target, text)?;
        }
        stale.push(name);
    }
    Ok(stale)
}
