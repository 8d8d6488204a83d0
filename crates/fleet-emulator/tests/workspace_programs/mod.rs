//! The programs of other crates, as this workspace stands.

use fleet_emulator::prelude::*;

/// The programs a fleet is made of; each has the name of its crate.
const PROGRAMS: [&str; 4] = ["scheduler", "gateway", "worker-stand-in", "caller-stand-in"];

/// Where they are: beside this test's own folder, where a test of the whole workspace has put them. If one is missing
/// or older than a file it is made of, all are built first.
pub fn programs_folder() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let folder = own.ancestors().nth(2).unwrap().to_owned();
    if !PROGRAMS.iter().all(|p| is_fresh(&folder, p)) {
        build(&folder);
    }
    folder
}

/// Whether a program is there and no file it was made of is younger, going by the list that cargo puts beside it.
fn is_fresh(folder: &Path, program: &str) -> bool {
    let made = |p: &Path| fs::metadata(p).and_then(|m| m.modified()).ok();
    let Some(at) = made(&folder.join(program)) else { return false };
    let Ok(list) = fs::read_to_string(folder.join(format!("{program}.d"))) else { return false };
    let Some((_, files)) = list.split_once(": ") else { return false };
    // A blank within a path is written with a backslash before it.
    let files = files.replace("\\ ", "\0");
    files.split_whitespace().all(|f| made(Path::new(&f.replace('\0', " "))).is_some_and(|t| t <= at))
}

/// Builds them with the profile of this test, into its folder.
fn build(folder: &Path) {
    let profile = match folder.file_name().and_then(|n| n.to_str()) {
        Some("debug") | None => "dev",
        Some(p) => p,
    };
    let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    cargo.args(["build", "--profile", profile, "--target-dir"]).arg(folder.parent().unwrap());
    PROGRAMS.iter().for_each(|p| {
        cargo.args(["-p", p]);
    });
    let status = cargo.current_dir(env!("CARGO_MANIFEST_DIR")).status().unwrap();
    assert!(status.success(), "the programs of a fleet can't be built: {status}");
}
