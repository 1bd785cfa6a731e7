//! Compiles the journal's records, without an outside compiler.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto");
    let files = protox::compile(["journal.proto"], ["proto"])?;
    // The descriptors go along: the compatibility checker reads the journal's own schema from them.
    let out = std::path::PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out.join("journal.fds"), prost::Message::encode_to_vec(&files))?;
    let mut config = prost_build::Config::new();
    config.btree_map(["."]);
    config.compile_fds(files)?;
    Ok(())
}
